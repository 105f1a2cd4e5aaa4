import asyncio
import os
import signal
import time
import typing as t

from behave import given
from behave import then
from behave import when
from relay_fixture import Answer
from relay_fixture import RelayFixture
from relay_fixture import read_answer
from relay_fixture import request

from rookspring_core.effects import Cancel
from rookspring_core.effects import Refuse
from rookspring_core.events import RequestArrived
from rookspring_core.organisations import Allotment
from rookspring_fakes.model_server import LONG_ANSWER_BYTES
from rookspring_fakes.processes import GRACE_S
from rookspring_fakes.processes import ProcessStage
from rookspring_fakes.resets import close_connection

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
            # Also a connection that is closing, but has bytes left to send.
            connection._transport.abort()


@given("a relay node with a grace time of {grace:g} s, and an endpoint that does: {script}")
def node_with_grace(context, grace, script):
    context.relay = context.loop.run(start_node([[script] * 100], grace_s=grace))


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


@given("a relay node that is being stopped, with an endpoint that does: {script}")
def node_being_stopped(context, script):
    tenants = [{"name": "org-a", "api-keys": ["key-a"], "unit": "requests"}]

    async def work():
        return StoppedNode(await start_node([[script]], tenants))

    context.stop = context.loop.run(work())
    context.relay = context.stop.relay


class StoppedNode:
    """A node whose planned stop begins at once, and how long it takes."""

    def __init__(self, relay):
        self.relay = relay
        self.serve_s = relay.node.context.state.drain_serve_s
        self.began_at = time.monotonic()
        self.took_s = None
        relay.node.drain()

    async def until(self, left_s):
        """Wait until the time to serve has only so many seconds left; negative after its end."""
        await asyncio.sleep(self.began_at + self.serve_s - left_s - time.monotonic())

    async def end(self):
        await end_process(self.relay.node)
        self.took_s = time.monotonic() - self.began_at


waits: dict[str, t.Callable] = {}


def wait(name):
    """Register a coroutine that has a request wait for something, and returns the request."""

    def register(begin):
        waits[name] = begin
        return begin

    return register


@wait("its key")
async def await_key(stop):
    stop.relay.store.faults.outage = True
    await stop.until(0.3)
    return await send(stop.relay, request("safe", 7, key="key-new"))


@wait("its organisation's owner")
async def await_owner(stop):
    state = stop.relay.node.context.state
    directory = state.table.directory
    limited = directory.by_name["org-a"]._replace(allotment=Allotment(1.0, 1.0, "requests", 1))
    directory.by_name["org-a"] = limited
    state.allotments.is_far_from_limit = lambda name, now: False
    stop.relay.node.context.ask_allotment = lambda asked: None
    await stop.until(0.1)
    return await send(stop.relay, request("safe", 7, key="key-a"))


@wait("the rest of its own bytes")
async def await_bytes(stop):
    raw = request("unsafe", 7, key="key-a")
    await stop.until(0.1)
    sent = await send(stop.relay, raw[:-2])
    await stop.until(-0.3)
    sent.writer.write(raw[-2:])
    return sent


@when("a caller's request waits for {what} as the node's time to serve ends")
def waits_at_stop(context, what):
    async def work():
        ending = asyncio.create_task(context.stop.end())
        sent = await waits[what](context.stop)
        answer = await sent.answer
        await ending
        context.stop.relay.store.faults.outage = False
        return answer

    context.answer = context.loop.run(work())


@then("its caller gets 503, not run, and the connection is closed")
def refused_and_closed(context):
    answer = context.answer
    assert answer.whole and answer.status == 503, (answer.status, answer.whole)
    assert float(answer.headers["retry-after"]) > 0
    assert answer.headers["connection"] == "close"
    assert context.relay.asked == []


@then("the stop took at most {seconds:g} s")
def stop_took(context, seconds):
    assert context.stop.took_s <= seconds, context.stop.took_s


@when("a caller reads the answer only after the node's time to serve has ended")
def read_late(context):
    stop = context.stop

    async def work():
        ending = asyncio.create_task(stop.end())
        reader, writer = await stop.relay.connect()
        writer.write(request("safe", 7, key="key-a"))
        await stop.until(-0.6)
        answer = await read_answer(reader)
        await ending
        writer.close()
        return answer

    context.answer = context.loop.run(work())


@then("it gets the whole of the long answer")
def long_answer_whole(context):
    got = len(context.answer.body)
    assert context.answer.whole and got == LONG_ANSWER_BYTES, got


@when("a caller never reads its answer")
def never_reads(context):
    stop = context.stop

    async def work():
        _, writer = await stop.relay.connect()
        writer.write(request("safe", 7, key="key-a"))
        await stop.end()
        close_connection(writer.transport)

    context.loop.run(work())


@when("{number:d} callers send safe requests and the node is stopped")
def stopped_with_many(context, number):
    relay = context.relay

    context.effects = []
    perform = relay.node.context.perform

    def record(effect):
        context.effects.append(effect)
        perform(effect)

    relay.node.context.perform = record

    async def work():
        relay.node.drain()
        sent = [await send(relay, request("safe", one)) for one in range(number)]
        await end_process(relay.node)
        return [await one.answer for one in sent]

    context.answers = context.loop.run(work())


@then("each request that reached the endpoint gets 502, and each other one 503, not run")
def answers_at_end(context):
    ran = {int(one.request_id[1:]) for one in context.relay.asked}
    assert 0 < len(ran) < len(context.answers), ran
    for number, answer in enumerate(context.answers):
        expected = 502 if number in ran else 503
        assert answer.whole and answer.status == expected, (number, answer.status, expected)


@then("the log says of each that reached it that its answer waits for {what}")
def says_of_each(context, what):
    lines = [line for line in context.relay.log_lines if "event=answer_owed" in line]
    found = [line for line in lines if f"waits_for={what} " in line]
    assert len(found) == len(context.relay.asked), lines


@then("each attempt was cancelled before its caller was answered")
def cancelled_first(context):
    cancelled = [one.request_id for one in context.effects if isinstance(one, Cancel)]
    refused = [one for one in context.effects if isinstance(one, Refuse)]
    assert len(cancelled) == len(context.relay.asked), cancelled
    for one in refused:
        if one.request_id in cancelled:
            index = context.effects.index(one)
            assert any(
                isinstance(before, Cancel) and before.request_id == one.request_id
                for before in context.effects[:index]
            ), one


@given("a relay node as a process, whose callers need keys")
def node_as_process(context):
    context.process_stage = ProcessStage(1, 1, os.getpid(), keys=("key-a",))
    context.loop.run(context.process_stage.start())


@when("it is stopped while callers send requests with unknown keys")
def process_stopped(context):
    async def work():
        try:
            await stop_under_requests(context)
        finally:
            await context.process_stage.stop()

    context.loop.run(work())


async def stop_under_requests(context):
    """Send a request every 50 ms, each on its own connection, until the node accepts no more."""
    stage = context.process_stage
    node = stage.nodes[0]
    sent = []
    node.process.send_signal(signal.SIGTERM)
    began_at = time.monotonic()
    exit_ = asyncio.create_task(node.process.wait())
    while not exit_.done():
        try:
            reader, writer = await asyncio.open_connection(*node.address)
        except OSError:
            break
        writer.write(request("safe", len(sent), key="key-x"))
        ended = asyncio.create_task(read_and_time(reader))
        sent.append((time.monotonic(), writer, ended))
        await asyncio.sleep(0.05)
    await exit_
    context.stop_took_s = time.monotonic() - began_at
    ends = [(sent_at, *await ended) for sent_at, _, ended in sent]
    context.waited_s = [at - sent_at for sent_at, at, answer in ends if not answer.whole]
    context.answered = sum(answer.whole for _, _, answer in ends)


async def read_and_time(reader):
    answer = await read_answer(reader, ANSWER_LIMIT_S)
    return time.monotonic(), answer


@then("no caller waited in vain for longer than {seconds:g} s")
def none_in_vain(context, seconds):
    assert context.answered > 10, context.answered
    assert max(context.waited_s, default=0.0) <= seconds, sorted(context.waited_s)


@then("the process ended {seconds:g} s before its grace time did")
def ended_early(context, seconds):
    assert context.stop_took_s <= GRACE_S - seconds, context.stop_took_s


@when("{what} raises an exception for a caller's request")
def serving_fails(context, what):
    relay = context.relay
    node = relay.node.context

    def fail(*args):
        raise RuntimeError("injected by the test")

    if what == "reading its fields":
        node.dialect.read_request = fail
    else:
        decide = node.submit
        node.submit = lambda event: fail() if isinstance(event, RequestArrived) else decide(event)
    started = time.monotonic()
    context.answer = context.loop.run(relay.ask(request("safe", 7)))
    context.took_s = time.monotonic() - started
    context.failed_id = "" if what == "reading its fields" else "q7"


@then("the log names the request that failed")
def log_names_failed(context):
    lines = [line for line in context.relay.log_lines if "event=task_failed" in line]
    assert len(lines) == 1 and f"id={context.failed_id or chr(34) * 2} " in lines[0], lines
    assert not context.relay.node.context.exchanges
