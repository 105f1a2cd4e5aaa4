import asyncio
import time

from behave import given
from behave import then
from behave import when
from relay_fixture import read_answer
from relay_fixture import request

from rookspring import clock
from rookspring_core.events import ReachProbed
from rookspring_fakes.model_server import STREAM_EVENTS
from rookspring_fakes.model_steps import make_body
from rookspring_fakes.model_steps import record_run
from rookspring_fakes.model_steps import send
from rookspring_fakes.model_steps import step
from rookspring_fakes.resets import close_connection
from rookspring_fakes.resets import reset_connection

TIMEOUT_MS = 1000
SHORT_TIME = b"X-Rookspring-Deadline-Ms: 200\r\nHost:"
# Long enough for a request to be handed over, in seconds.
HANDED_S = 0.1
LOSSES = {"close": close_connection, "reset": reset_connection}
REQUESTS = {
    "a GET": request("safe"),
    "a HEAD": request("safe").replace(b"GET", b"HEAD"),
    "a POST with a body": request("unsafe"),
    "a POST whose body comes in parts": request("unsafe").replace(
        b"Content-Length: 4\r\n\r\nbody",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    ),
    "a stream": request("stream"),
    "a POST that the endpoint fails": request("unsafe"),
    "a POST with a header of ours": request("unsafe").replace(
        b"Host:", b"rookspring-sends-before: x\r\nX-Own: kept, as it is\r\nHost:"
    ),
    "a GET of a path without a route": request("safe").replace(b"/safe/", b"/none/"),
    "a GET without a request id": request("safe").replace(b"X-Rookspring-Request-Id", b"X-Other"),
    "a GET that the other node can't send": request("safe"),
}


@given("the first node reaches no endpoint, which is known")
def first_isolated(context):
    stage = context.cut_stage

    async def work():
        stage.cut(1, "refused")
        node = stage.nodes[0].context
        node.submit(ReachProbed(clock.now(), False))
        other = stage.nodes[1].context.state.membership.peers
        await stage.relay.until(lambda: other[node.state.identity.name].heartbeat.isolated)

    context.loop.run(work())


async def open_first(context):
    port = context.cut_stage.nodes[0].listeners["callers"].port
    return await asyncio.open_connection("127.0.0.1", port)


async def ask_first(context, raw):
    reader, writer = await open_first(context)
    try:
        writer.write(raw)
        if raw.startswith(b"HEAD"):
            return (await reader.readuntil(b"\r\n\r\n")).decode()
        return await read_answer(reader)
    finally:
        writer.close()


@when("{what} is sent to the first node")
def sent_to_first(context, what):
    stage = context.cut_stage
    context.raw = REQUESTS[what]
    if what == "a POST that the endpoint fails":
        for server in stage.relay.servers:
            server.script = ["fail"]
    if what == "a GET that the other node can't send":
        for server in stage.relay.servers:
            server.refuses_all = True
        stage.cut(2, "refused")
    context.answer = context.loop.run(ask_first(context, context.raw))


@then("an endpoint got it once, as its caller sent it, with less time left and no header of ours")
def endpoint_got(context):
    found = context.cut_stage.relay.asked
    assert len(found) == 1, found
    line, own = context.raw.split(b"\r\n", 1)
    one = found[0]
    assert one.line == line.decode()
    assert one.body == (b"" if one.line.split()[0] in ("GET", "HEAD") else b"body")
    assert one.headers.get("x-own", "") == ("kept, as it is" if b"X-Own" in own else "")
    # Endpoints are told 100 ms more than is left.
    assert 0 < int(one.headers["x-rookspring-deadline-ms"]) - 100 <= TIMEOUT_MS
    assert one.request_id == "q1"
    assert "rookspring-sends-before" not in one.headers


@then("its caller got {what}")
def caller_got(context, what):
    answer = context.answer
    if what == "the endpoint's head":
        assert " 200 " in answer and "X-Rookspring-Server-Stamp" in answer, answer
        return
    answered = getattr(context, "answered_id", "q1").encode()
    expected = {
        "the endpoint's whole answer": (200, b"answer to " + answered, True),
        "the endpoint's own 500": (500, b"failed", True),
    }
    if what in expected:
        assert (answer.status, answer.body, answer.whole) == expected[what], vars(answer)
        assert "x-rookspring-server-stamp" in answer.headers
        return
    assert what == "all events"
    _check_events(answer)


def _check_events(answer):
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert answer.status == 200 and answer.whole, vars(answer)
    assert ids == [f"id: {number + 1}".encode() for number in range(STREAM_EVENTS)], ids


@when("a GET runs as the first node loses all endpoints, and the other node can't send it")
def lost_while_running(context):
    stage = context.cut_stage
    node = stage.nodes[0].context
    stage.heal()
    for server in stage.relay.servers:
        server.script = ["hang"]

    async def work():
        node.submit(ReachProbed(clock.now(), True))
        reader, writer = await open_first(context)
        writer.write(request("safe"))
        await stage.relay.until(lambda: stage.relay.runs)
        node.submit(ReachProbed(clock.now(), False))
        began = time.monotonic()
        stage.cut(2, "refused")
        context.answer = await read_answer(reader)
        context.took_s = time.monotonic() - began
        writer.close()

    context.loop.run(work())


@then("it ran once")
def ran_just_once(context):
    assert context.cut_stage.relay.runs == ["q1"], context.cut_stage.relay.runs


@then("it is refused with {status:d}, and no endpoint got it")
def refused(context, status):
    assert context.answer.status == status, vars(context.answer)
    assert not context.cut_stage.relay.runs


@when("a caller of the first node reads nothing of a stream without end for {seconds:g} s")
def reads_nothing(context, seconds):
    servers = context.cut_stage.relay.servers
    for server in servers:
        server.script = ["flood"]

    async def work():
        _, slow = await open_first(context)
        slow.transport.pause_reading()
        slow.write(request("stream", "slow"))
        await asyncio.sleep(0.1)
        for server in servers:
            server.script = []
        context.meanwhile = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            began = time.monotonic()
            answer = await ask_first(context, request("safe", "quick"))
            context.meanwhile.append((answer.status, time.monotonic() - began))
            await asyncio.sleep(0.05)
        context.taken = sum(server.flooded_bytes for server in servers)
        slow.close()

    context.loop.run(work())


@then("at most {mb:d} MB of it were taken from its endpoint")
def taken_at_most(context, mb):
    assert 0 < context.taken <= mb << 20, context.taken


@then("other callers' requests were answered within {seconds:g} s meanwhile")
def others_answered(context, seconds):
    assert len(context.meanwhile) > 3
    assert all(row[0] == 200 and row[1] < seconds for row in context.meanwhile), context.meanwhile


@when("a caller of the first node leaves while its endpoint is at work")
def caller_leaves(context):
    stage = context.cut_stage
    for server in stage.relay.servers:
        server.script = ["hang"]

    async def work():
        _, writer = await open_first(context)
        writer.write(request("unsafe"))
        await stage.relay.until(lambda: stage.relay.runs)

        writer.close()

    context.loop.run(work())


@then("within {seconds:g} s neither node counts it any more")
def handover_ended(context, seconds):
    stage = context.cut_stage

    async def work():
        states = [node.context.state for node in stage.nodes]
        await stage.relay.until(lambda: not any(one.requests for one in states), seconds)
        await stage.relay.until(lambda: not any(one.reach.handed for one in states), seconds)

    context.loop.run(work())


@when("{what} is handed over, and the other node is lost {when}, by a {how}")
def other_lost(context, what, when, how):
    stage = context.cut_stage
    steps = {"after a part of the answer": "stall after 3", "before the answer": "hang"}
    for server in stage.relay.servers:
        server.script = [steps.get(when, "answer")]

    async def work():
        reader, writer = await open_first(context)
        other = stage.nodes[1]
        listener = other.listeners["callers"]
        if when == "before it is connected to":
            listener.stop_accepting()
        writer.write(REQUESTS[what])
        answer = asyncio.ensure_future(read_answer(reader))
        if when != "before it is connected to":
            await stage.relay.until(lambda: stage.relay.runs)
            await asyncio.sleep(0.1)
            for connection in list(listener.connections):
                LOSSES[how](connection._transport)
        began = time.monotonic()
        context.answer = await answer
        context.took_s = time.monotonic() - began
        writer.close()

    context.loop.run(work())


@then("within {seconds:g} s its caller got {what}")
def caller_got_within(context, what, seconds):
    answer = context.answer
    assert context.took_s < seconds, context.took_s
    if what == "a broken stream":
        assert answer.status == 200 and not answer.whole, vars(answer)
        return
    assert answer.status == int(what.split()[0]), vars(answer)
    assert "x-rookspring-server-stamp" not in answer.headers


@then("nothing ran twice")
def ran_once(context):
    assert len(context.cut_stage.relay.runs) <= 1


@step("answer once released")
async def _answer_once_released(server, asked, writer):
    headers = record_run(server, asked)
    await server.released.wait()
    send(server, writer, 200, make_body(asked), headers)


@when("{first} is handed over, {end}, and its answer comes once {following} was handed over")
def late_at_other(context, first, end, following):
    stage = context.cut_stage
    released = asyncio.Event()
    for server in stage.relay.servers:
        server.released = released
        server.script = ["answer once released"]

    async def work():
        reader, writer = await open_first(context)
        writer.write(REQUESTS[first].replace(b"Host:", SHORT_TIME, 1))
        await stage.relay.until(lambda: stage.relay.runs)
        for server in stage.relay.servers:
            server.script = []
        if end == "its caller leaves":
            writer.close()
        else:
            assert (await read_answer(reader)).status == 504
        await stage.relay.until(lambda: not stage.nodes[0].context.state.requests)
        raw = REQUESTS[following].replace(b"Id: q1", b"Id: q2")
        second = asyncio.ensure_future(ask_first(context, raw))
        await asyncio.sleep(HANDED_S)
        released.set()
        context.answer = await second

    context.answered_id = "q2"
    context.loop.run(work())


@then("it belongs to the next request")
def belongs_to_next(context):
    stated = context.answer.headers["x-rookspring-request-id"]
    assert stated == context.answered_id, context.answer.headers


@when("a stream is handed over, and both nodes are told to stop")
def both_stop(context):
    stage = context.cut_stage

    async def work():
        reader, writer = await open_first(context)
        writer.write(REQUESTS["a stream"])
        answer = asyncio.ensure_future(read_answer(reader))
        await asyncio.sleep(0.003)
        for node in reversed(stage.nodes):
            node.drain()
        context.answer = await answer
        writer.close()

    context.loop.run(work())
