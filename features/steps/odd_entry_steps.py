import asyncio
import time
from unittest import mock

import orjson
import ports
from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import configuration

from rookspring import defaults
from rookspring_platform import PlatformDialect

SERVERS = "servers"
NODES = "rookspring-nodes"
ENTRY = {
    "service": "svc",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
}
LEASE = {
    "holder": "n9",
    "epoch": 3,
    "nonce": "x/1",
    "settled": True,
    "turn_in_s": None,
    "address": "127.0.0.9:9",
    "used": {},
    "verdicts": [],
}
ROW = {"address": "127.0.0.1:9", "zone": "z2", "strength": 1.0}


def nest(levels):
    return b"[" * levels + b"]" * levels


def with_field(value, field, raw):
    """Encode an object with one field that is given as bytes."""
    whole = orjson.dumps(value | {field: "@"})
    return whole.replace(b'"@"', raw)


def with_values(value, **changed):
    return orjson.dumps(value | changed)


def a_route(**changed):
    """Encode a configuration whose first route is changed; its version is newer."""
    raw = configuration(7)
    fields = {name.replace("_", "-"): value for name, value in changed.items()}
    raw["routes"][0] |= fields
    return orjson.dumps(raw)


ENTRIES = {
    "100,000 levels": nest(100_000),
    "2,000 levels in x": with_field(ENTRY, "x", nest(2000)),
    "300 levels in x": with_field(ENTRY, "x", nest(300)),
    "40 levels in x": with_field(ENTRY, "x", nest(40)),
    "400 digits in x": with_field(ENTRY, "x", b"1" + b"0" * 400),
    "5,000 digits in x": with_field(ENTRY, "x", b"1" * 5000),
    "5,000 digits slots": with_field(ENTRY, "slots", b"1" * 5000),
    "half a pair in x": with_field(ENTRY, "x", rb'"a\ud800"'),
    "half a pair as key": with_field(ENTRY, "x", rb'{"a\ud800": 1}'),
    "no JSON": with_field(ENTRY, "x", b"nul"),
    "port 0": with_values(ENTRY, address="127.0.0.1:0"),
    "port 65536": with_values(ENTRY, address="127.0.0.1:65536"),
    "host 999.0.0.1": with_values(ENTRY, address="999.0.0.1:80"),
    "an address and CRLF": with_values(ENTRY, address="127.0.0.1:9\r\n"),
    "a long state": with_values(ENTRY, state="s" * 10_000),
}
MODELS = [{"name": f"m{number}", "version": 1} for number in range(20_000)]
ENTRIES |= {
    "990 models": with_values(ENTRY, models=MODELS[:990]),
    "20,000 models": with_values(ENTRY, models=MODELS),
    "20,000 copies": with_values(ENTRY, available={"on-disk": [one["name"] for one in MODELS]}),
    "100,000 fields": with_values(ENTRY, x={str(number): 0 for number in range(90_000)}),
    "a text of 900,000": with_values(ENTRY, x="x" * 900_000),
    "a text of 60,000": with_values(ENTRY, x="x" * 60_000),
    "a name of 300": with_values(ENTRY, models=[{"name": "m" * 300, "version": 1}]),
}
CONFIGURATION = configuration(7)
VALUES = {
    "nothing": b"null",
    "an empty object": b"{}",
    "a list": b"[1, 2]",
    "a number": b"7",
    "100,000 levels": nest(100_000),
    "no JSON": b"{nul}",
    "an epoch of text": with_values(LEASE, epoch="three"),
    "an epoch of 400 digits": with_field(LEASE, "epoch", b"1" * 400),
    "a strength of text": with_values(ROW, strength="x"),
    "a strength of 1e400": with_field(ROW, "strength", b"1e400"),
    "a negative strength": with_values(ROW, strength=-1.0),
    "a zone of a list": with_values(ROW, zone=["z"]),
    "an address without a port": with_values(ROW, address="127.0.0.1"),
    "a node's port of 99999": with_values(ROW, address="127.0.0.1:99999"),
    "an address of a name": with_values(ROW, address="box.example:80"),
    "a version of 1e400": with_field(CONFIGURATION, "version", b"1e400"),
    "a negative version": with_values(CONFIGURATION, version=-7),
    "routes of numbers": with_values(CONFIGURATION, routes=[7]),
    "a time of 1e400": a_route(timeout_ms="@").replace(b'"@"', b"1e400"),
    "a negative time": a_route(timeout_ms=-1),
    "a time of text": a_route(timeout_ms="soon"),
    "attempts of 1e300": a_route(max_attempts=1e300),
    "no limits": orjson.dumps({k: v for k, v in CONFIGURATION.items() if k != "limits"}),
    "limits of a list": with_values(CONFIGURATION, limits=[1]),
    "services of text": with_values(CONFIGURATION, services="svc"),
    "a service of null": with_values(CONFIGURATION, services=[None]),
}
# A field of this many digits, in whatever object.
DIGITS = b"1" * 5000
# What the field is called in objects of each kind.
DIGITS_FIELDS = {"config": "version", NODES: "strength", "evacuations": "x"}
ODD_REWRITES = 8
# Shorter than in service, as the tests wait for lists.
NODE_LIST_S = 0.5
REWRITE_S = 0.15


def value_of(kind, value):
    if value == "5,000 digits":
        base = {"config": CONFIGURATION, NODES: ROW}.get(kind, {})
        return with_field(base, DIGITS_FIELDS[kind], DIGITS)
    return VALUES[value]


async def start_beside(stage, kind, rows, written):
    """Start a node and two endpoints, and write odd objects before or after that."""
    stage.settings_changed = {"evacuation_s": 3.0}
    if written == "before the node starts":
        await write_all(stage, kind, rows)
        await stage.start()
        return
    await stage.start()
    # The node has to watch each kind by now.
    await asyncio.sleep(0.3)
    repeats = ODD_REWRITES if written == "again and again" else 1
    for _ in range(repeats):
        await write_all(stage, kind, rows)
        await asyncio.sleep(REWRITE_S)


def run_beside(context, kind, rows, written):
    # A node that can't start is closed as well.
    context.relay = RelayFixture([[], []])
    context.loop.run(start_beside(context.relay, kind, rows, written))


async def write_all(stage, kind, rows):
    for name, raw in rows[:-1]:
        stage.store.store.put(kind, name, raw, None)
    await stage.store.write_raw(kind, *rows[-1])


@given("two endpoints, and the odd entry {entry} that is written {written}")
def odd_entry(context, entry, written):
    rows = [("odd", ENTRIES[entry])]
    run_beside(context, SERVERS, rows, written)


@given("two endpoints, and the odd entry {entry} that is rewritten again and again")
def odd_entry_rewritten(context, entry):
    rows = [("odd", ENTRIES[entry])]
    run_beside(context, SERVERS, rows, "again and again")


@given("two endpoints, and an entry whose reading fails with {error}, written {written}")
def unforeseen(context, error, written):
    errors = {
        "RecursionError": RecursionError,
        "OverflowError": OverflowError,
        "KeyError": KeyError,
    }
    read = PlatformDialect.read_endpoint

    def fail(self, row, now):
        if row.name == "odd":
            raise errors[error]("deep")
        return read(self, row, now)

    failing = mock.patch.object(PlatformDialect, "read_endpoint", fail)
    failing.start()
    context.add_cleanup(failing.stop)
    run_beside(context, SERVERS, [("odd", orjson.dumps(ENTRY))], written)


@then("the third endpoint is listed, and the odd one {is_}")
def third_listed(context, is_):
    listed = context.relay.node.context.state.endpoints
    assert "i2" in listed and ("odd" in listed) == (is_ == "is listed"), set(listed)
    if is_ != "is listed":
        assert_logged_once(context, "endpoint_malformed", "endpoint=odd ", is_.split()[-1])


@given("two endpoints, and {count:d} odd entries of all kinds that are written {written}")
def many_odd_entries(context, count, written):
    raws = [raw for raw in ENTRIES.values() if len(raw) < 6000]
    rows = [(f"odd{number}", raws[number % len(raws)]) for number in range(count)]
    run_beside(context, SERVERS, rows, written)


@given("two endpoints, and the odd {kind} {name}, {value}, that is written {written}")
def odd_object(context, kind, name, value, written):
    shortened = mock.patch.object(defaults, "NODE_LIST_S", NODE_LIST_S)
    shortened.start()
    context.add_cleanup(shortened.stop)
    rows = [(name, value_of(kind, value))]
    run_beside(context, kind, rows, written)


def lines_of(context, event):
    return [line for line in context.relay.log_lines if f"event={event} " in line]


def assert_logged_once(context, event, name, field):
    async def work():
        await context.relay.until(lambda: lines_of(context, event))
        await asyncio.sleep(0.3)

    context.loop.run(work())
    lines = lines_of(context, event)
    assert len(lines) == 1, (len(lines), [line[:300] for line in lines[:3]])
    assert name in lines[0] and field in lines[0] and len(lines[0]) < 600, lines[0][:600]


@then("the odd entry is logged once, and the line names {field}")
def entry_logged(context, field):
    assert_logged_once(context, "endpoint_malformed", "endpoint=odd ", field)


@then("the node's odd row is logged once, and the line names {field}")
def node_row_logged(context, field):
    assert_logged_once(context, "node_malformed", "name=odd ", field)


@then("the configuration is logged once as malformed, and the line names {field}")
def configuration_logged(context, field):
    assert_logged_once(context, "table_malformed", "", field)


@then("no task has failed, and no call to the store")
def nothing_failed(context):
    events = ("task_failed", "effect_failed", "store_call_failed")
    found = [line for event in events for line in lines_of(context, event)]
    assert not found, (len(found), [line[:300] for line in found[:2]])


@then("version {version:d} stays in force, and no task has failed")
def stays_in_force(context, version):
    assert context.relay.node.context.state.revision == version
    nothing_failed(context)


@then("at most {most:d} lines name an odd entry, none longer than {length:d} characters")
def lines_bounded(context, most, length):
    lines = lines_of(context, "endpoint_malformed")
    assert len(lines) <= most and max(map(len, lines)) <= length, (len(lines), max(map(len, lines)))


@when("the entry {entry} is written in place of the first endpoint's, which writes its own again")
def written_in_place(context, entry):
    stage = context.relay

    async def work():
        await stage.store.write_raw(SERVERS, "i0", ENTRIES[entry])
        await asyncio.sleep(0.5)
        await stage.store.write(SERVERS, "i0", stage.servers[0].entry("svc"))

    context.relay_began = time.monotonic()
    context.loop.run(work())


class KeptNames(set):
    """Names that stay, whatever heartbeats say."""

    def discard(self, name):
        """Keep the name."""


@given("a second node that gets the entries from it")
def follower(context):
    stage = context.relay
    base = ports.find_base()

    async def refuse(*args, **named):
        await asyncio.sleep(3600.0)

    async def work():
        first, second = (f"127.0.0.1:{base + offset}" for offset in ports.OFFSETS[-2:])
        await stage.restart(peer_address=first)
        context.second = await stage.add_node(name="n2", peer_address=second, seeds=(first,))
        context.second.context.platform.list_kind = refuse
        context.second.context.platform.watch = refuse
        await stage.until(lambda: "n2" in stage.node.context.state.membership.peers)
        await asyncio.sleep(defaults.RELAY_WATCH_S)
        stage.node.peers.followers = KeptNames({"n2"})

    context.loop.run(work())


@then("the second node lists all three endpoints within {seconds:g} s, and no other")
def second_lists(context, seconds):
    endpoints = context.second.context.state.endpoints
    context.loop.run(context.relay.until(lambda: "i2" in endpoints, seconds))
    assert set(endpoints) == {"i0", "i1", "i2"}, set(endpoints)


@when("the configuration of version {version:d} is written")
def configuration_written(context, version):
    context.loop.run(context.relay.store.write("config", "main", configuration(version)))


@then("{name} is evacuated within {seconds:g} s")
def is_evacuated(context, name, seconds):
    state = context.relay.node.context.state
    context.loop.run(
        context.relay.until(lambda: name in state.evacuations.listed.data_centres, seconds)
    )


@when("another node's row is written")
def another_row(context):
    row = ROW | {"address": "127.0.0.2:9"}
    context.loop.run(context.relay.store.write(NODES, "n7", row))


def own_row(context):
    stored = context.relay.store.store.objects.get((NODES, "n1"))
    return stored is not None and b'"address"' in stored.value


@then("the node's own row is in the store, and it knows the other node within {seconds:g} s")
def knows_other(context, seconds):
    known = context.relay.node.peers.known_nodes
    context.loop.run(context.relay.until(lambda: own_row(context) and "n7" in known, seconds))


@then("the node's own row is in the store within {seconds:g} s")
def own_row_written(context, seconds):
    context.loop.run(context.relay.until(lambda: own_row(context), seconds))


@then("it knows no odd node")
def knows_no_odd(context):
    assert "odd" not in context.relay.node.peers.known_nodes
