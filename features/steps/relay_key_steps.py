import asyncio

from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import request

from rookspring.platform import StoredObject


def tenants(*keys):
    return [{"name": "org-a", "api-keys": list(keys), "unit": "requests"}]


@given("a relay node with an endpoint, and an organisation with the key {key}")
def relay_with_key(context, key):
    relay = context.relay = RelayFixture([["answer"]])
    context.loop.run(relay.start(tenants=tenants(key)))
    context.loop.run(relay.until(lambda: relay.node.context.state.freshness.proved_at > 0))


def send(context, key, deadline_ms=None):
    key = None if key == "no key" else key
    raw = request("safe", key=key, deadline_ms=deadline_ms)
    return context.relay.ask(raw)


@when("a caller sends a safe request with {key}")
def send_with(context, key):
    context.answer = context.loop.run(send(context, key))


@when(
    "a caller who waits {ms:d} ms sends a safe request with {key}, "
    "which the node learns {seconds:g} s later"
)
def send_with_new(context, ms, key, seconds):
    relay = context.relay
    peers = relay.node.peers

    async def work():
        take, peers.take_stored = peers.take_stored, lambda stored: 0
        raw = configuration(6, tenants("key-a", key))
        await relay.store.write("config", "main", raw)
        asked = asyncio.create_task(send(context, key, ms))
        await asyncio.sleep(seconds)
        peers.take_stored = take
        peers.take_stored(StoredObject("main", 99, raw))
        return await asked

    context.answer = context.loop.run(work())


@when("the key {old} is replaced by {new}, and a caller sends a safe request with {key}")
def replaced(context, old, new, key):
    relay = context.relay

    async def work():
        await relay.store.write("config", "main", configuration(6, tenants(new)))
        await relay.until(lambda: relay.node.context.state.revision == 6)
        other = await send(context, new)
        assert other.status == 200, other.status
        relay.servers[0].received.clear()
        return await send(context, key)

    context.answer = context.loop.run(work())


@when("the store fails for {seconds:g} s and a caller sends a safe request with {key}")
def store_fails(context, seconds, key):
    relay = context.relay

    async def work():
        relay.store.faults.outage = True
        await asyncio.sleep(seconds)
        answer = await send(context, key)
        relay.store.faults.outage = False
        return answer

    context.answer = context.loop.run(work(), 20.0)


@then("the status is {status:d}, and the endpoint saw {seen}")
def endpoint_saw(context, status, seen):
    assert context.answer.status == status, context.answer.status
    asked = context.relay.asked
    if seen == "nothing":
        assert asked == []
        return
    (one,) = asked
    assert one.headers["x-rookspring-tenant"] == "org-a"
    assert "authorization" not in one.headers, one.headers
