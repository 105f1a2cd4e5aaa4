"""Answers to requests that are cut at each of their bytes, between sockets, and who reads them."""

import asyncio
import typing as t

from answer_shapes import CHUNKS
from answer_shapes import END
from answer_shapes import FAULTY
from answer_shapes import OK
from answer_shapes import PLAIN
from answer_shapes import SOUND
from answer_shapes import Shape
from answer_shapes import head_of
from behave import then
from behave import when
from raw_server import RawAnswer
from raw_server import RawServer
from relay_fixture import Answer
from relay_fixture import request

from rookspring_fakes.model_server import step

HEAD_END = b"\r\n\r\n"
ANSWER_S = 5.0
# More than what counts as right behind an answer's bytes, less than what counts as one moment.
LATE_S = 0.005
UNKNOWN = 502
EVENTS = b"".join(b"id: %d\ndata: token\n\n" % number for number in (1, 2))
SHAPES = SOUND | {
    "of events": Shape(
        OK
        + b"Content-Type: text/event-stream\r\n"
        + CHUNKS
        + END
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
        EVENTS,
    )
}


@step("given bytes")
async def send_given(server, received, writer):
    server.runs.append(received.request_id)
    own_id = b": " + received.request_id.encode() + b"\r\n"
    writer.write(server.given.replace(b": q1\r\n", own_id))
    await writer.drain()
    await asyncio.sleep(server.closes_after_s)
    writer.close()


async def ask_once(node, raw):
    """Send a request on a connection of its own, and read until its end."""
    port = node.listeners["callers"].port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw.replace(b"Host:", b"Connection: close\r\nHost:", 1))
    received = b""
    async with asyncio.timeout(ANSWER_S):
        try:
            while part := await reader.read(1 << 16):
                received += part
        except ConnectionError:
            pass
    writer.close()
    return parse(received, raw.startswith(b"HEAD"))


def parse(received, to_head):
    """Return an answer whose connection has ended."""
    head, end, rest = received.partition(HEAD_END)
    if not end:
        return Answer(0, {}, b"", False)
    rows = [line.partition(":") for line in head.decode("latin-1").split("\r\n")[1:]]
    headers = {key.lower(): value.strip() for key, _, value in rows}
    status = int(head.split()[1])
    if to_head or status in (204, 304):
        return Answer(status, headers, rest, not rest)
    if "content-length" in headers:
        return Answer(status, headers, rest, len(rest) == int(headers["content-length"]))
    body, whole = b"", False
    while rest and not whole:
        line, _, rest = rest.partition(b"\r\n")
        size = int(line, 16)
        whole = size == 0 and rest == b"\r\n"
        body, rest = body + rest[:size], rest[size + 2 :]
    return Answer(status, headers, body, whole)


class Got(t.NamedTuple):
    """What a caller got for an answer of which some bytes were sent."""

    name: str
    sent: int
    answer: Answer


def is_right(got, shape):
    """Return whether a caller got an answer whole, or an error or a cut stream if it was cut."""
    answer = got.answer
    if got.sent == len(shape.data):
        return answer.whole and answer.status < UNKNOWN and answer.body == shape.body
    if answer.status == UNKNOWN:
        return answer.whole and not answer.body
    return not answer.whole and shape.body.startswith(answer.body)


def check_answers(context):
    shape = SHAPES[context.shape]
    wrong = [(got.sent, vars(got.answer)) for got in context.got if not is_right(got, shape)]
    assert not wrong, (len(wrong), wrong[:3])


def own_request(kind, key):
    if kind == "HEAD":
        return request("safe", key).replace(b"GET", b"HEAD", 1)
    return request(kind, key)


async def give(context, kind, data, used=False, closes_after_s=0.0):
    """Return what a caller gets if the endpoint answers with some bytes and closes."""
    relay = context.relay
    context.number = getattr(context, "number", 0) + 1
    if used:
        await ask_once(relay.node, request("safe", f"before{context.number}"))
    relay.servers[0].given = data
    relay.servers[0].closes_after_s = closes_after_s
    relay.servers[0].script = ["given bytes"]
    return await ask_once(relay.node, own_request(kind, f"own{context.number}"))


@when("its answer {shape} to a {kind} request is cut after each byte, each on a used connection")
def cut_at_endpoint(context, shape, kind):
    context.shape = shape
    data = SHAPES[shape].data

    async def work():
        return [
            Got(shape, sent, await give(context, kind, data[:sent], used=True))
            for sent in range(len(data) + 1)
        ]

    context.got = context.loop.run(work())
    # Each connection has carried a sound answer before the one that is cut.
    assert context.relay.servers[0].connections <= len(data) + 2


@then("its callers get it whole with its last byte, and an error before")
def whole_with_last(context):
    check_answers(context)


@then("nothing ran twice that must not")
def ran_once(context):
    runs = [one for one in context.relay.runs if one.startswith("qown")]
    assert len(runs) == len(set(runs)) and runs


@when("its answer to an unsafe request is each of the faulty ones, {after}")
def faulty_at_endpoint(context, after):
    used = after == "each on a used connection"

    async def work():
        return [
            Got(name, len(data), await give(context, "unsafe", data, used))
            for name, data in FAULTY.items()
        ]

    context.got = context.loop.run(work())


@then("its callers get an error or a cut answer each time")
def error_each_time(context):
    wrong = [
        (got.name, vars(got.answer))
        for got in context.got
        if got.answer.whole and got.answer.status != UNKNOWN
    ]
    assert not wrong, wrong[:3]


@when("its answer to a {kind} request is each of the sound ones")
def sound_at_endpoint(context, kind):
    context.to_head = kind == "HEAD"

    async def work():
        return [
            Got(name, 0, await give(context, kind, head_of(one) if context.to_head else one.data))
            for name, one in SOUND.items()
        ]

    context.got = context.loop.run(work())


@when(
    "it closes an answer with a length at once, and then one without a length a little after its "
    "bytes"
)
def closed_in_turn(context):
    context.to_head = False

    async def work():
        return [
            Got(name, 0, await give(context, "unsafe", SOUND[name].data, closes_after_s=late_s))
            for name, late_s in {"with a length": 0.0, "without a length": LATE_S}.items()
        ]

    context.got = context.loop.run(work())


@then("its callers get each whole")
def each_whole(context):
    for got in context.got:
        body = b"" if context.to_head else SOUND[got.name].body
        assert got.answer.whole and got.answer.status < UNKNOWN, (got.name, vars(got.answer))
        assert got.answer.body == body, (got.name, vars(got.answer))


@when("a stream is answered with 204, and a request follows on its caller's connection")
def answer_without_body(context):
    relay = context.relay
    relay.servers[0].given = SOUND["204"].data
    relay.servers[0].closes_after_s = 0.0
    relay.servers[0].script = ["given bytes"]

    async def work():
        reader, writer = await relay.connect()
        writer.write(request("stream"))
        first = await asyncio.wait_for(reader.readuntil(HEAD_END), ANSWER_S)
        writer.write(request("safe").replace(b"Host:", b"Connection: close\r\nHost:", 1))
        rest = await asyncio.wait_for(reader.read(-1), ANSWER_S)
        writer.close()
        return first, rest

    first, context.rest = context.loop.run(work())
    assert b" 204 " in first, first


@then("the answer to that request is whole")
def next_whole(context):
    answer = parse(context.rest, to_head=False) if context.rest.startswith(b"HTTP/") else None
    assert answer and answer.whole and answer.body == b"answer to q1", context.rest


@when("a caller sends a {kind} request that offers an upgrade to HTTP/2")
def offer_upgrade(context, kind):
    offer = b"Connection: Upgrade\r\nUpgrade: h2c\r\nHost:"
    context.answer = context.loop.run(context.relay.ask(request(kind).replace(b"Host:", offer, 1)))


async def replace_other(context):
    """Let a server that sends given bytes take the place of the other node's callers' address."""
    listener = context.cut_stage.nodes[1].listeners["callers"]
    port = listener.port
    listener.stop_accepting()
    return await RawServer().start(port)


async def ask_through_other(context, kind, answers):
    other = await replace_other(context)
    got = []
    node = context.cut_stage.nodes[0]
    for number, (name, data) in enumerate(answers):
        # The connection has carried a sound answer before.
        other.answer = RawAnswer(PLAIN, closes=False)
        assert (await ask_once(node, own_request("safe", f"before{number}"))).whole
        other.answer = RawAnswer(data)
        answer = await ask_once(node, own_request(kind, f"own{number}"))
        got.append(Got(name, len(data), answer))
        assert len(other.requests) == 2 * number + 2, (name, vars(answer))
    assert other.connections <= len(got) + 1
    await other.close()
    return got


@when("the other node's answer {shape} to a handed-over {kind} request is cut after each byte")
def cut_at_node(context, shape, kind):
    context.shape = shape
    data = SHAPES[shape].data
    answers = [(shape, data[:sent]) for sent in range(len(data) + 1)]
    context.got = context.loop.run(ask_through_other(context, kind, answers))


@when("the other node's answer to a handed-over request is each of the faulty ones")
def faulty_at_node(context):
    context.got = context.loop.run(ask_through_other(context, "unsafe", FAULTY.items()))
