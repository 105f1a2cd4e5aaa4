import base64
import hashlib

from behave import given
from behave import then
from behave import when

from rookspring import relay_bodies
from rookspring.http_messages import HttpHead
from rookspring_core import body_ends
from rookspring_core.body_ends import Sign

SIGNS = {
    "json": Sign.JSON,
    "digest": Sign.DIGEST,
    "an equal run": Sign.EQUAL,
    "other bytes": Sign.DIFFERS,
    "a cut": Sign.CUT,
    "nothing": Sign.NONE,
}
NAMES = {"content": b"Content-Digest", "representation": b"Repr-Digest"}
VALUES = (
    b'{"a": [1, {"b": "\\"}]"}], "c": 1e5}',
    b'[[], {}, "x", -1.5, null]',
    b'"a\\\\ \xc3\xa9"',
)
# Ways to state a digest, from its algorithm and the value in base64.
FORMS = {
    "": "{name}=:{value}:",
    "with a parameter": "{name}=:{value}:;p=1",
    "short": "{name}=:AAAA:",
    "bare": "{name}={value}",
    "no base64": "{name}=:{value}!:",
    "empty": "{name}=::",
    "cut": "{name}=:",
}


def make_head(context, status, rows):
    context.head = relay_bodies._read_head(HttpHead(status, tuple(rows)))
    context.earlier = set()
    context.longer = b""


@given("an answer of the type {media_type} without a length")
def answer_of_type(context, media_type):
    rows = []
    if media_type.endswith(", coded"):
        rows.append((b"Content-Encoding", b"gzip"))
    if media_type.endswith(", not coded"):
        rows.append((b"content-encoding", b"Identity"))
    named = media_type.removesuffix(", coded").removesuffix(", not coded")
    for one in named.split(" and ") if named != "none" else ():
        rows.append((b"Content-Type", one.encode()))
    make_head(context, 200, rows)


@given("an answer with {status:d} whose head states {digests}")
def answer_with_digests(context, status, digests):
    rows = []
    if digests.startswith("json, "):
        rows.append((b"Content-Type", b"application/json"))
    for one in digests.removeprefix("json, ").split("; "):
        rows += make_rows(one)
    make_head(context, status, rows)


def make_rows(stated):
    if stated == "nothing":
        return []
    if stated == "coded":
        return [(b"Content-Encoding", b"gzip")]
    where, _, members = stated.partition(" ")
    return [(NAMES[where], ", ".join(map(state_digest, members.split(", "))).encode())]


def state_digest(member):
    words = member.split(" ")
    name = next(word for word in words if word.startswith(("sha", "md5")))
    form = member.replace(name, "").replace("wrong", "").strip()
    data = b"other" if "wrong" in words else b"answer"
    digest = hashlib.new(name.replace("-", ""), data).digest()
    return FORMS[form].format(name=name, value=base64.b64encode(digest).decode())


def to_bytes(text):
    return b"" if text == "none" else text.replace("\\n", "\n").replace("\\r", "\r").encode()


@given("an earlier run gave the same")
def same_before(context):
    context.earlier = None


@given("earlier runs gave {earlier}")
def given_before(context, earlier):
    for one in earlier.split(", ") if earlier != "nothing" else ():
        status, _, text = one.partition(" ")
        text, same, _ = text.partition(" of its own")
        endpoint = "this" if same else "another"
        context.earlier.add(body_ends.copy_body(endpoint, int(status), to_bytes(text)))


def find_sign(context, body):
    earlier = context.earlier
    if earlier is None:
        earlier = {body_ends.copy_body("another", 200, body)}
    return body_ends.find_sign(
        context.head, body, relay_bodies._is_json, earlier, "this", context.longer
    )


@when("its bytes are {levels:d} arrays within each other, and {more:d} blanks")
def nested_bytes(context, levels, more):
    context.sign = find_sign(context, b"[" * levels + b" " * more + b"]" * levels)


@when("its bytes are {text}")
def bytes_are(context, text):
    context.sign = find_sign(context, to_bytes(text))


@then("it is shown to be whole by {sign}")
def shown_by(context, sign):
    assert context.sign is SIGNS[sign], context.sign


@given("an earlier run's longer body is kept: {earlier}")
def kept_before(context, earlier):
    context.longer = to_bytes(earlier)


@when("a later run gives {status:d} and {later}")
def later_gives(context, status, later):
    (copy,) = context.earlier
    context.shown = body_ends.judge_earlier(copy, status, to_bytes(later))


@then("the earlier body was {shown}")
def earlier_was(context, shown):
    assert context.shown is {"whole": True, "cut": False, "neither shown": None}[shown]


@when("a run took {took_s:g} s and {left_s:g} s are left")
def run_took(context, took_s, left_s):
    context.may_run = body_ends.may_run_again(took_s, left_s)


@then("another run {may} be asked for")
def may_ask(context, may):
    assert context.may_run == (may == "may")


@then("each beginning of some values is shown to be whole by a cut, or nothing if it is empty")
def no_beginning(context):
    for value in VALUES:
        assert find_sign(context, value) is Sign.JSON, value
        for stop in range(len(value)):
            expected = Sign.CUT if stop else Sign.NONE
            assert find_sign(context, value[:stop]) is expected, value[:stop]
