import asyncio
import time
import typing as t

from behave import given
from behave import then
from behave import when
from relay_fixture import Answer
from relay_fixture import RelayFixture
from relay_fixture import read_answer
from relay_fixture import request

# A process that has ended closes its connections, so callers learn then that no answer comes.
ANSWER_LIMIT_S = 8.0


class SentRequest(t.NamedTuple):
    """A caller's request, its open connection, and the answer to it."""

    sent_at: float
    writer: asyncio.StreamWriter
    answer: asyncio.Task[Answer]


async def start_node(scripts, tenants=None, **settings):
    relay = RelayFixture(scripts)
    relay.settings_changed = settings
    await relay.start(tenants=tenants)
    if tenants is not None:
        await relay.until(lambda: relay.node.context.state.freshness.proved_at > 0)
    return relay


async def send(relay, raw):
    """Send raw bytes on a new connection, which stays open until the node closes it."""
    reader, writer = await relay.connect()
    writer.write(raw)
    answer = asyncio.create_task(read_answer(reader, ANSWER_LIMIT_S))
    return SentRequest(time.monotonic(), writer, answer)


async def end_process(node):
    """Wait until the planned stop is complete, then close all connections, as the exit would."""
    await node.run_until_stopped()
    for listener in node.listeners.values():
        for connection in list(listener.connections):
            connection.abort()


@given("a relay node with an endpoint that hangs, and a grace time of {grace:g} s")
def hanging_endpoint(context, grace):
    context.relay = context.loop.run(start_node([["hang"] * 100], grace_s=grace))


@when("the node is stopped while it serves a {kind} request")
def stopped_in_request(context, kind):
    relay = context.relay

    async def work():
        sent = await send(relay, request(kind, 7))
        await relay.until(lambda: relay.asked)
        relay.node.drain()
        await end_process(relay.node)
        return await sent.answer

    context.answer = context.loop.run(work())


@then("the log says that the answer to the request waits for {what}")
def waits_for(context, what):
    lines = [line for line in context.relay.log_lines if "event=answer_owed" in line]
    assert len(lines) == 1 and " id=q7 " in lines[0] and f"waits_for={what} " in lines[0], lines
