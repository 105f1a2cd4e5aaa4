"""Answers that are cut at each of their bytes, between sockets, and who reads them."""

import asyncio
import typing as t

import orjson
from answer_shapes import BODY
from answer_shapes import CHUNKS
from answer_shapes import END
from answer_shapes import FAULTY
from answer_shapes import INTERIM
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
from returns.result import Success

from rookspring import relay_orders
from rookspring.endpoints import GenerationRequest
from rookspring.endpoints import HttpEndpoint
from rookspring.exceptions import EndpointError
from rookspring.http_platform import HttpPlatform
from rookspring.platform import CallRateLimiter
from rookspring_core.effects import ReadReport
from rookspring_core.effects import SendOrder
from rookspring_ctl import client as operator_client
from rookspring_ctl.client import ApiServers
from rookspring_ctl.exceptions import CtlError
from rookspring_fakes.model_server import step
from rookspring_platform import ObjectStore

HEAD_END = b"\r\n\r\n"
ANSWER_S = 5.0
CALL_S = 2.0
CALLS_PER_S = 1e6
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


async def give(context, kind, data, used=False):
    """Return what a caller gets if the endpoint answers with some bytes and closes."""
    relay = context.relay
    context.number = getattr(context, "number", 0) + 1
    if used:
        await ask_once(relay.node, request("safe", f"before{context.number}"))
    relay.servers[0].given = data
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


@then("its callers get each whole whose end more than a close shows, and 502 for the others")
def each_whole(context):
    for got in context.got:
        if SOUND[got.name].by_close and not context.to_head:
            assert got.answer.status == UNKNOWN, (got.name, vars(got.answer))
            continue
        body = b"" if context.to_head else SOUND[got.name].body
        assert got.answer.whole and got.answer.status < UNKNOWN, (got.name, vars(got.answer))
        assert got.answer.body == body, (got.name, vars(got.answer))


@when("a stream is answered with 204, and a request follows on its caller's connection")
def answer_without_body(context):
    relay = context.relay
    relay.servers[0].given = SOUND["204"].data
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


def frame(value, framing, status):
    """Return an answer with a body, framed in one of the ways."""
    head = b"HTTP/1.1 %d X\r\n" % status
    length = head + b"Content-Length: %d\r\n\r\n" % len(value) + value
    return {
        "with a length": length,
        "after an interim head": INTERIM + length,
        "in chunks": head + CHUNKS + END + b"%x\r\n%b\r\n0\r\n\r\n" % (len(value), value),
        "without a length": head + END + value,
    }[framing]


class Call(t.NamedTuple):
    """A call whose answer is cut.

    :param make: makes it, and returns whether it counts as answered.
    """

    status: int
    value: bytes
    make: t.Callable[[t.Any], t.Awaitable[bool]]


CALLS: dict[str, Call] = {}


def call(name, value, status=200):
    """Register a call by its name in the rows."""

    def register(make):
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        CALLS[name] = Call(status, raw, make)
        return make

    return register


REPORT = {
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "utilization": False,
    "sequence": 7,
    "queued": 0,
    "active": 0,
    "kv-used": 0,
    "kv-total": 10,
}
OBJECT = {"metadata": {"name": "a", "revision": 3}, "spec": {"x": 1}, "status": None}
OWN_REPORT = {
    "incarnation": "i",
    "age_s": 0.0,
    "slots": 1,
    "running": 0,
    "queued": 0,
    "token_rate": 1.0,
    "stream_rate": 1.0,
    "memory_gb": 1.0,
}
GENERATED = b'{"offset":0,"tokens":["a"]}\n{"end":1}\n'


def list_lines(context, event):
    return [line for line in context.relay.log_lines if f"event={event} " in line]


@call("an order", {}, 202)
async def make_order(context):
    known = len(list_lines(context, "order_answered"))
    effect = SendOrder("i0", context.raw.address, (1, 0), "load", "m")
    relay_orders.send_order(context.relay.node.context, effect)
    await context.relay.until(lambda: len(list_lines(context, "order_answered")) > known)
    return "taken=True" in list_lines(context, "order_answered")[-1]


@call("a report", REPORT)
async def make_report(context):
    node = context.relay.node.context
    view = node.state.endpoints["i0"]
    view.address = context.raw.address
    view.report = view.report._replace(order_token=(0, 0))
    await relay_orders._read_and_submit(node, ReadReport("i0", 0.0))
    return view.report.order_token == (0, REPORT["sequence"])


def open_store(context):
    store = ObjectStore(f"objects://{context.raw.address}", lambda method, end: None)
    store._budget = CallRateLimiter(CALLS_PER_S, CALLS_PER_S)
    return store


@call("a list of the store", {"items": [OBJECT], "truncated": False, "as-of": 3})
async def make_list(context):
    found = await open_store(context).list_kind("servers")
    return isinstance(found, Success) and len(found.unwrap().items) == 1


@call("a watch of the store", {"events": [{"object": OBJECT, "deleted": False}], "as-of": 3})
async def make_watch(context):
    found = await open_store(context).watch("servers", 1, 1.0)
    return isinstance(found, Success) and len(found.unwrap().items) == 1


@call("a get of the store", OBJECT)
async def make_get(context):
    found = await open_store(context).get("servers", "a")
    return isinstance(found, Success) and found.unwrap().version == 3


@call("a put of the store", OBJECT)
async def make_put(context):
    return isinstance(await open_store(context).put("servers", "a", {"x": 1}, 2), Success)


async def call_service(context):
    """Return the answer to a service call of the product's own, or None if it failed."""
    client = HttpEndpoint()
    try:
        return await client.call(context.raw.address, "POST", "x", b"", {}, False, CALL_S)
    except EndpointError:
        return None
    finally:
        await client.close()


@call("the product's own service call", BODY)
async def make_service_call(context):
    answer = await call_service(context)
    return answer is not None and answer.body == BODY


@call("the product's own order", {"accepted": True, "reason": "done"})
async def make_own_order(context):
    order = SendOrder("i0", context.raw.address, (1, 0), "load", "m")
    accepted, _ = await HttpEndpoint().order(order, "i")
    assert accepted in (True, None)
    return accepted is True


@call("the product's own report", OWN_REPORT)
async def make_own_report(context):
    client = HttpEndpoint()
    try:
        return await client.report("i0", context.raw.address, 0.0) is not None
    finally:
        await client.close()


@call("the product's own generation", GENERATED)
async def make_generation(context):
    client = HttpEndpoint()
    asked = GenerationRequest("s", "m", "", "p", 1, 0)
    chunks = []
    try:
        async for chunk in client.generate(context.raw.address, asked, ""):
            chunks.append(chunk)
    except EndpointError:
        pass
    finally:
        await client.close()
    return any(chunk.total >= 0 for chunk in chunks)


@call(
    "the product's own platform list",
    {"version": 3, "items": [{"name": "a", "version": 1, "value": 1}]},
)
async def make_platform_list(context):
    return await ask_platform(context, lambda client: client.list_kind("k"))


async def ask_platform(context, ask):
    """Return whether a call of the product's own client of a platform succeeds."""
    client = HttpPlatform(f"http://{context.raw.address}", lambda method, end: None)
    client._caller._limiter = CallRateLimiter(CALLS_PER_S, CALLS_PER_S)
    try:
        return isinstance(await ask(client), Success)
    finally:
        await client.close()


@call("the product's own platform get", {"name": "a", "version": 1, "value": 1})
async def make_platform_get(context):
    return await ask_platform(context, lambda client: client.get("k", "a"))


@call("the product's own platform put", {"version": 12})
async def make_platform_put(context):
    return await ask_platform(context, lambda client: client.put("k", "a", 1, 11))


@call("the product's own platform watch", {"version": 12, "changes": []})
async def make_platform_watch(context):
    return await ask_platform(context, lambda client: client.watch("k", 11, CALL_S))


@call("the product's own box list", {"boxes": []})
async def make_box_list(context):
    return await ask_platform(context, lambda client: client.boxes())


@call("the product's own cache call", {"next": 12, "prefixes": [34]})
async def make_cache_call(context):
    client = HttpEndpoint()
    try:
        found = await client.cache_events(context.raw.address, 5)
    finally:
        await client.close()
    assert found in ((5, ()), (12, (34,))), found
    return found[0] == 12


@call("the product's own operator call", {"items": [12]})
async def make_operator_call(context):
    servers = ApiServers((f"http://{context.raw.address}",), "key", CALL_S)
    try:
        return await operator_client._call(servers, "GET", "x", None, None) == {"items": [12]}
    except CtlError:
        return False


@when("the answer {framing} to {name} is cut after each byte")
def cut_call(context, name, framing):
    context.call = CALLS[name]
    context.data = frame(context.call.value, framing, context.call.status)

    async def work():
        context.raw = await RawServer().start()
        counted = []
        for sent in range(len(context.data) + 1):
            context.raw.answer = RawAnswer(context.data[:sent])
            counted.append(await context.call.make(context))
        await context.raw.close()
        return counted

    context.counted = context.loop.run(work())


@then("it counts as none before {end}, and as one with it")
def counts_with(context, end):
    data = context.data
    value = context.call.value
    first = {
        "its last byte": len(data),
        "the end of its head": data.index(HEAD_END) + len(HEAD_END),
        "the end of its value": data.index(value) + len(value),
    }[end]
    wrong = [sent for sent, whole in enumerate(context.counted) if whole != (sent >= first)]
    assert not wrong, [(sent, data[:sent][-30:]) for sent in wrong[:5]]


# The library of the product's own clients reads these lines; their length shows the end.
FAULTY_LINES = {
    "with a folded line",
    "with bare line feeds",
    "with a bare line feed at the end of its head",
}


@when("the answer to the product's own service call is each of the faulty ones")
def faulty_service_call(context):
    async def work():
        context.raw = await RawServer().start()
        taken = {}
        for name, data in FAULTY.items():
            context.raw.answer = RawAnswer(data)
            if (answer := await call_service(context)) is not None:
                taken[name] = answer
        await context.raw.close()
        return taken

    context.taken = context.loop.run(work())


@then("none is taken but those whose lines alone are faulty, which are whole")
def none_taken(context):
    wrong = context.taken.keys() - FAULTY_LINES
    assert not wrong, {name: context.taken[name] for name in wrong}
    bodies = {answer.body for answer in context.taken.values()}
    assert bodies <= {BODY}, context.taken


# JSON values, each of which is no answer to a call of the product's own.
OTHER_VALUES = (b"null", b"7", b'"x"', b"[]", b"[[7]]", b"true")


@when("the product's own {name} is answered with each JSON value of another shape")
def answer_otherwise(context, name):
    made = CALLS[f"the product's own {name}"]

    async def work():
        context.raw = await RawServer().start()
        counted = []
        for value in OTHER_VALUES:
            context.raw.answer = RawAnswer(frame(value + b"\n", "with a length", made.status))
            counted.append(await made.make(context))
        await context.raw.close()
        return counted

    context.counted = context.loop.run(work())


@then("each counts as none")
def each_none(context):
    assert not any(context.counted), context.counted
