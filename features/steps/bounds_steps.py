import json
import math
import time

from behave import then
from behave import when
from entry_steps import VALID

from rookspring.addresses import parse_address
from rookspring.addresses import parse_ip_address
from rookspring.bounds import check_value


def nest(levels, innermost=None):
    value = [] if innermost is None else innermost
    for _ in range(levels - 1):
        value = [value]
    return value


VALUES = {
    "32 levels": lambda: nest(32),
    "33 levels": lambda: nest(33),
    "100000 levels": lambda: nest(100_000),
    "a deep field": lambda: {"w": 1, "x": {"y": nest(60)}},
    "64 bits": lambda: [2**64 - 1, -(2**63)],
    "65 bits": lambda: {"x": 2**64},
    "-64 bits": lambda: {"x": -(2**63) - 1},
    "5000 digits": lambda: {"x": [0, 10**5000]},
    "infinite": lambda: {"x": math.inf},
    "no number": lambda: {"x": math.nan},
    "half a pair": lambda: {"x": "a\ud800"},
    "half a pair as key": lambda: {"x": {"a\ud800": 1}},
    "a number as key": lambda: {7: 1},
    "bytes": lambda: {"x": b"a"},
    "text of the world": lambda: {"é": ["ü", "\U0001f600", True, None, 1.5, "\x01"]},
    "itself infinite": lambda: math.inf,
    "long keys": lambda: {"k" * 1_000_000: {"l" * 1_000_000: math.inf}},
    "a key with a break": lambda: {"a\nb": math.inf},
    "two million values": lambda: [[0] * 1_000_000, [0] * 1_000_000],
}
# Longest error about a value, in characters.
ERROR_MAX = 250


@when("the value {value} is checked under the name spec")
def value_checked(context, value):
    try:
        check_value(VALUES[value](), "spec")
    except ValueError as error:
        context.error = str(error)
    else:
        context.error = "nothing"


@then("the check says {error}")
def check_says(context, error):
    assert error in context.error, context.error
    assert len(context.error) <= ERROR_MAX, len(context.error)


@then(
    "{count:d} entries of {models:d} models with {adapters:d} adapters are checked in {most_s:g} s"
)
def checked_in(context, count, models, adapters, most_s):
    held = [
        {"name": f"m{one}", "version": 1, "adapters": [f"a{two}@1" for two in range(adapters)]}
        for one in range(models)
    ]
    value = VALID | {"models": held}
    began = time.process_time()
    for _ in range(count):
        check_value(value, "spec")
    took_s = time.process_time() - began
    assert took_s <= most_s, took_s


def parse_with(parse, text):
    try:
        return parse(text), ""
    except ValueError as error:
        return None, str(error)


@when("the address {address} is parsed")
def address_parsed(context, address):
    text = json.loads(address)
    context.parsed = parse_with(parse_address, text)
    context.ip_parsed = parse_with(parse_ip_address, text)


@then("the address is rejected for {what}")
def address_rejected(context, what):
    for found, error in (context.parsed, context.ip_parsed):
        assert found is None and what in error and len(error) <= ERROR_MAX, (found, error)


@then("the address is a name")
def address_is_name(context):
    assert context.parsed[0] is not None and context.ip_parsed[0] is None


@then("the address is {host} and {port:d}")
def address_is(context, host, port):
    assert context.parsed == ((host, port), ""), context.parsed
    assert context.ip_parsed == ((host, port), ""), context.ip_parsed
