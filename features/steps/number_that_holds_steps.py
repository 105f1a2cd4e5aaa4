import asyncio
import typing as t

import message_samples as samples
import orjson
from behave import given
from behave import then
from behave import when
from odd_entry_steps import LEASE
from other_node import OTHER
from other_node import open_link
from other_node import relay_target
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import request

from rookspring import clock
from rookspring import lease_objects
from rookspring.exceptions import PeerError
from rookspring.messages import MESSAGES
from rookspring.messages import decode
from rookspring.platform import StoredObject
from rookspring_fakes import ModelServer

HANDLED_S = 0.2
LEASE_OBJECT = ("rookspring-lease", "control")
# A lease term, and the margin of the fixture.
TAKEN_S = 9.0


def entry(version, era):
    value = {"service": "svc", "address": "127.0.0.1:9", "zone": "z1", "slots": 8, "state": "ready"}
    return ["listed", [["i0", version, value, era]], False]


def beat(era):
    return samples.heartbeat(OTHER)._replace(store_era=era)


RAW = {
    "an entry of revision 2**63": entry(2**63, 0),
    "an entry of era 2**63": entry(1, 2**63),
    "a start of 2**63 that is leaving": ["leaving", [["i0", 2**63, 1.0]]],
    "a leaving process of age -1e15": ["leaving", [["i0", 1, -1e15]]],
    "evacuations of revision 2**63": ["evacuations", 0, 2**63, []],
    "an era of 2**64 - 1": ["beat", *beat(2**64 - 1)],
    "an era below 0": ["beat", *beat(-1)],
    "an era of 1": ["beat", *beat(1)],
}


def read_with(tag, path, value):
    """Decode a message with one value; return whether it is read with the value."""
    cls = MESSAGES[tag]
    raw = samples.sample_message(tag)
    name, _, field = path.partition(".")
    place = cls._fields.index(name)
    if field:
        kind = next(one for one in row_types(cls, name) if field in one._fields)
        row = samples.sample(kind)
        row[kind._fields.index(field)] = value
        raw[place + 1] = [row]
    else:
        raw[place + 1] = value
    try:
        found = decode(raw)[place]
    except PeerError:
        return False
    return bool(found) if field else found == value


def row_types(cls, name):
    (rows,) = t.get_args(samples.hints_of(cls)[name])
    found = t.get_args(rows) or (rows,)
    # Of several types the shortest is the one that is for changes alone.
    return sorted(found, key=lambda one: len(one._fields))


@then("of the message {tag} the value {most} as {path} is read, and {beyond} is dropped")
def bounded(context, tag, most, path, beyond):
    number = float if "." in most + beyond or "e" in beyond else int
    assert read_with(tag, path, number(most)), most
    assert not read_with(tag, path, number(beyond)), beyond


@given("a relay node with one endpoint, which heeds evacuations")
def heeds(context):
    context.relay = RelayFixture([["answer"]])
    context.relay.settings_changed = {"evacuation_s": 3.0}
    context.loop.run(context.relay.start())


@when("another node sends it the message {message}")
def sends(context, message):
    async def work():
        link = await open_link(relay_target(context.relay))
        link.send(samples.heartbeat(OTHER))
        raw = RAW.get(message) or ["proof", clock.now(), -1e15, 5, None]
        link.send_encoded(samples.pack(raw))
        await asyncio.sleep(HANDLED_S)
        link.close()

    context.loop.run(work())


@then("a new configuration and a new endpoint count within {seconds:g} s, and the endpoint serves")
def store_counts(context, seconds):
    stage = context.relay
    state = stage.node.context.state
    entry_changed = stage.servers[0].entry("svc") | {"slots": 77}

    async def work():
        answer = await stage.ask(request("unsafe"))
        assert answer.status == 200, answer.status
        server = ModelServer("i7", [])
        await server.start()
        stage.servers.append(server)
        await stage.store.write("servers", "i7", server.entry("svc"))
        await stage.store.write("servers", "i0", entry_changed)
        await stage.store.write("config", "main", configuration(6))
        await stage.until(lambda: state.revision == 6 and "i7" in state.endpoints, seconds)
        await stage.until(lambda: state.endpoints["i0"].slots() == 77, seconds)

    context.loop.run(work())


@then("an evacuation that is written is in force within {seconds:g} s")
def evacuation_counts(context, seconds):
    stage = context.relay
    listed = stage.node.context.state.evacuations

    async def work():
        await stage.store.write("evacuations", "z1", {})
        await stage.until(lambda: "z1" in listed.in_force, seconds)

    context.loop.run(work())


@then("the node's configuration is not proved for a time to come")
def not_proved(context):
    proved_at = context.relay.node.context.state.freshness.proved_at
    assert proved_at <= clock.now(), proved_at - clock.now()


def is_read(version, value):
    try:
        return lease_objects.read_lease(StoredObject("control", version, value))
    except ValueError:
        return None


@then("a lease of the epoch {epoch:d} at revision {version:d} {expected}")
def lease_read(context, epoch, version, expected):
    found = is_read(version, LEASE | {"epoch": epoch})
    assert (found is not None) == (expected == "is read"), found


@given("a lease object of epoch {epoch:d} that is there before a node starts")
def lease_there(context, epoch):
    context.relay = RelayFixture([["answer"]])
    raw = orjson.dumps(LEASE | {"epoch": epoch})
    context.relay.store.store.put(*LEASE_OBJECT, raw, None)
    context.loop.run(context.relay.start())


@when("the node has taken the lease")
def lease_taken(context):
    control = context.relay.node.context.state.control
    context.loop.run(context.relay.until(lambda: control.holding(clock.now()), TAKEN_S))


@then("the lease object that it wrote is read, and its holder is the node")
def own_lease_read(context):
    stored = context.relay.store.store.objects[LEASE_OBJECT]
    found = is_read(stored.version, orjson.loads(stored.value))
    assert found is not None, stored.value[:200]
    assert found.holder == "n1", found


@when("another node claims the epoch {epoch:d} of the lease again and again")
def claims(context, epoch):
    claim = samples.heartbeat(OTHER)._replace(lease_epoch=epoch)

    async def send(link):
        while True:
            link.send(claim)
            await asyncio.sleep(HANDLED_S)

    async def work():
        context.link = await open_link(relay_target(context.relay))
        context.claiming = asyncio.ensure_future(send(context.link))

    context.loop.run(work())


@then("the node holds the lease within {seconds:g} s while the other claims it")
def holds_lease(context, seconds):
    control = context.relay.node.context.state.control

    async def work():
        try:
            await context.relay.until(lambda: control.holding(clock.now()), seconds)
        finally:
            context.claiming.cancel()
            context.link.close()

    context.loop.run(work())
