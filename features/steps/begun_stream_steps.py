import asyncio

from behave import then
from behave import when
from relay_fixture import read_raw
from relay_fixture import request

from rookspring import clock
from rookspring_core.events import ReachProbed
from rookspring_fakes.resets import close_connection
from rookspring_fakes.resets import reset_connection

LOSSES = {"close": close_connection, "reset": reset_connection}
# What the endpoints do with the rest of a stream.
LATER_STEPS = {
    "go on after the third": "stream",
    "break off after the fifth": "tear the 6th",
    "refuse it": "refuse",
    "fail it": "fail",
    "do not find it": "not found",
    "answer it with nothing": "empty",
    "send it anew": "stream anew",
    "send the rest after a mark": "events after a mark",
}


@when("the first node loses its way to all endpoints in the midst of a resumable stream")
def way_lost(context):
    stage = context.cut_stage
    context.script = ["stall after 3"]
    for server in stage.relay.servers:
        server.script = context.script

    async def work():
        port = stage.nodes[0].listeners["callers"].port
        context.reader, context.writer = await asyncio.open_connection("127.0.0.1", port)
        context.writer.write(request("resumable"))
        context.raw = b""
        while b"id: 3" not in context.raw:
            context.raw += await asyncio.wait_for(context.reader.read(65536), 2.0)

    context.loop.run(work())


@when("a {kind} stream is handed over, and the other node is lost after event 3, by a {how}")
def handed_over_and_lost(context, kind, how):
    context.kind = kind
    context.loss = LOSSES[how]


@when("the first node reaches endpoints again before that")
def reaches_before(context):
    stage = context.cut_stage
    for server in stage.relay.servers:
        server.script = ["stall after 3"]

    async def work():
        first, second = stage.nodes
        port = first.listeners["callers"].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request(context.kind))
        context.raw = b""
        while b"id: 3" not in context.raw:
            context.raw += await asyncio.wait_for(reader.read(65536), 2.0)
        stage.heal()
        for server in stage.relay.servers:
            server.script = []
        first.context.submit(ReachProbed(clock.now(), True))
        for connection in list(second.listeners["callers"].connections):
            context.loss(connection._transport)
        context.raw += await read_raw(reader)
        writer.close()

    context.loop.run(work())


@when("the endpoints then {do}")
def endpoints_then(context, do):
    stage = context.cut_stage
    context.script += [LATER_STEPS[do]] * 3

    async def work():
        stage.cut(1, "refused")
        context.raw += await read_raw(context.reader)
        context.writer.close()

    context.loop.run(work())


@then("the bytes that its caller got are one head and the events 1 to {last:d}, each once")
def one_head(context, last):
    assert context.raw.count(b"HTTP/1.1 ") == 1, context.raw
    assert context.raw.startswith(b"HTTP/1.1 200 "), context.raw
    ids = [line for line in context.raw.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % number for number in range(1, last + 1)], ids


@then("its stream {ends}")
def stream_ends(context, ends):
    assert context.raw.endswith(b"0\r\n\r\n") == (ends == "ends whole"), context.raw[-60:]
