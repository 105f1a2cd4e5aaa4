import asyncio
import math
import time

import orjson
from behave import given
from behave import then
from behave import when
from planned_end_steps import begin
from planned_end_steps import tell
from relay_fixture import read_answer
from relay_fixture import request

from rookspring.event_streams import EventSplitter
from rookspring.http_messages import HttpHead
from rookspring_core.event_order import EventOrder
from rookspring_fakes import ModelServer
from rookspring_fakes import model_planned_ends
from rookspring_fakes.model_steps import step
from rookspring_fakes.model_streams import send_events
from rookspring_fakes.run_copies import CopyReply
from rookspring_platform import run_copies

ADDRESS = "10.0.0.1:1"
# Longer than a stop takes to come.
SLOW_S = 1.0


@step("3 and a close behind which it goes on")
async def _close_and_go_on(server, request, writer):
    await send_events(server, request, writer, 3)
    with server.send_stream(request, writer) as note_made:
        note_made(3)
        await server.stopping.wait()
        writer.close()
        # It goes on until it is stopped by a call.
        while request.request_id in server.copies.made:
            server.behind = getattr(server, "behind", 0) + 1
            await asyncio.sleep(0.01)
    raise ConnectionResetError


@step("3 and a close behind which it ends")
async def _close_and_end(server, request, writer):
    await send_events(server, request, writer, 3)
    with server.send_stream(request, writer) as note_made:
        note_made(3)
        await server.stopping.wait()
    writer.close()
    raise ConnectionResetError


def _know_nothing(server):
    server.copies.known = False


def _answer_always(reply, last=None):
    """Return what has all calls for copies answered so, or those for a last or another one."""

    def change(server):
        move = server.copies._move

        async def answer(asked):
            if last is None or last == bool(asked.get("last")):
                await asyncio.sleep(SLOW_S if reply is None else 0.0)
                return reply or CopyReply(503)
            return await move(asked)

        server.copies._move = answer

    return change


def _lack_room(server):
    server.copies.has_room = False


def _lack_last_room(server):
    move = server.copies._move

    async def answer(asked):
        reply = await move(asked)
        return CopyReply(503, reply.body) if asked.get("last") else reply

    server.copies._move = answer


def _lose_copies(server):
    server.copies.take = lambda name, run: False


FAULTS = {
    "nothing is wrong": lambda server: None,
    "they don't know the call": _know_nothing,
    "another call for the run is under way": _answer_always(CopyReply(409)),
    "there is no room for it": _lack_room,
    "there is no answer in time": _answer_always(None),
    "the handle has odd letters": _answer_always(CopyReply(200, {"handle": "\u20ac"})),
    "the handle is no text": _answer_always(CopyReply(200, {"handle": 7})),
    "the copy is gone as it is used": _lose_copies,
    "there is no room for the last part": _lack_last_room,
    "the last call is refused for another": _answer_always(CopyReply(409), last=True),
    "there is no answer to the last call": _answer_always(None, last=True),
}


@given("the endpoints copy their runs to each other, but {fault}")
def copy_but(context, fault):
    for server in context.relay.servers:
        server.copies.known = True
        FAULTS[fault](server)


@then("it went on at a copy {times:d} times")
def went_on(context, times):
    went = [one for server in context.relay.servers for one in server.copies.continued]
    assert len(went) == times, went


@then("no run goes on beside another one")
def none_beside(context):
    """A run behind a close has ended, or nothing else runs."""
    went = [one for server in context.relay.servers for one in server.copies.continued]
    made = [one for server in context.relay.servers for one in server.copies.made]
    assert not (went and made), (went, made)
    for server in context.relay.servers:
        server.copies.made.clear()


@given("another endpoint that holds copies and refuses them")
def add_refusing(context):
    async def work():
        relay = context.relay
        server = ModelServer("i9", [])
        await server.start()
        relay.servers.append(server)
        await relay.store.write("servers", server.name, server.entry("svc"))
        views = relay.node.context.state.endpoints
        await relay.until(lambda: server.name in views)
        views[server.name].role = "runner"
        # It gets no requests until the copies are made.
        views[server.name].ejected_until = math.inf
        copy_but(context, "the copy is gone as it is used")

    context.loop.run(work())


@when("a stream and another one run at the first, which leaves and {stops}")
def leaves_beside_another(context, stops):
    async def work():
        relay = context.relay
        task, server = await begin(context, "stream")
        beside = asyncio.ensure_future(relay.ask(request("stream", 2)))
        await relay.until(lambda: len(relay.runs) > 1)
        await asyncio.sleep(0.05)
        relay.node.context.state.endpoints["i9"].ejected_until = 0.0
        await tell(relay, server, "leaving")
        await relay.until(lambda: relay.servers[1].copies.held)
        await asyncio.sleep(0.05)
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task
        beside.cancel()
        assert relay.servers[1].received, "it was asked for nothing"

    context.loop.run(work())


async def _kill(context, server, writer):
    server.end()


async def _leave(context, server, writer):
    writer.close()


async def _leave_closed(context, server, writer):
    await server.close()
    writer.close()


FATES = {
    "its endpoint is killed": _kill,
    "its caller leaves": _leave,
    "its caller leaves, whose endpoint takes no calls": _leave_closed,
}


@when("the run of a {kind} request was copied, and {fate}")
def was_copied(context, kind, fate):
    async def work():
        relay = context.relay
        reader, writer = await relay.connect()
        writer.write(request(kind))
        await relay.until(lambda: relay.runs)
        await asyncio.sleep(0.05)
        server = next(one for one in relay.servers if one.runs)
        await tell(relay, server, "leaving")
        await relay.until(lambda: any(one.copies.held for one in relay.servers))
        await asyncio.sleep(0.05)
        await FATES[fate](context, server, writer)
        if "caller" not in fate:
            context.answer = await read_answer(reader)

    context.loop.run(work())


@then("no endpoint holds a copy soon")
def none_held(context):
    async def work():
        servers = context.relay.servers
        await context.relay.until(lambda: not any(one.copies.held for one in servers), 2.0)
        for server in servers:
            server.stopping.set()

    context.loop.run(work())
    time.sleep(0.05)
    assert any("event=run_copy_freed" in line for line in context.relay.log_lines)


@when("a rest of a stream after event {last} comes with the events {events} in {parts}")
def rest_comes(context, last, events, parts):
    ids = [("" if one == "none" else f"id: {one}\n") for one in events.split(",")]
    raw = b"".join(f"{row}data: {row}\n\n".encode().replace(b"\n\n\n", b"\n\n") for row in ids)
    splitter = EventSplitter(continues=True, skips=last)
    order = EventOrder(last, begun=True)
    context.passed = []
    context.fault = ""
    size = len(raw) if parts == "one" else 3
    for start in range(0, len(raw), size):
        found = splitter.feed(raw[start : start + size])
        context.fault = context.fault or order.accept(found.ids)
        context.passed += found.ids


@then("the events {passed} are passed on, and there is {fault}")
def are_passed(context, passed, fault):
    expected = {"none": [], "none,4": [None, "4"]}.get(passed, passed.split(","))
    assert context.passed == expected, context.passed
    assert bool(context.fault) == (fault == "a fault"), context.fault


@when("an endpoint answers a call for a copy with {status:d} and {body}")
def answers_call(context, status, body):
    raw = body.encode()
    if body == "no JSON":
        raw = b"{"
    else:
        orjson.loads(raw)
    head = HttpHead(status, [])
    context.reply = run_copies.read_copy_reply(head, raw, ADDRESS)


@then("the copy is {copy}, the run {known} and it {stopped}")
def is_read(context, copy, known, stopped):
    expected = ("" if copy == "none" else copy, known == "is unknown", stopped == "is named")
    assert tuple(context.reply) == expected, context.reply
