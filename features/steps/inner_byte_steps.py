import asyncio
import time
import tracemalloc
import types
from unittest import mock

import msgpack
import orjson
from behave import given
from behave import then
from behave import when
from entry_steps import VALID
from odd_body_steps import OBJECTS
from relay_fixture import request

from rookspring import relay_bodies
from rookspring.byte_budget import REASON
from rookspring.byte_budget import ByteBudget
from rookspring.exceptions import EndpointError
from rookspring.exceptions import PeerError
from rookspring.http_client import Reply
from rookspring.http_messages import HttpHead
from rookspring.messages import TableMessage
from rookspring.messages import encode
from rookspring.peers import Link
from rookspring.relay import EndpointAnswer
from rookspring.relay_planned_ends import Doubt
from rookspring_platform import bodies
from rookspring_platform import endpoints
from rookspring_platform import store as store_module

KB = 1 << 10
MB = 1 << 20
# More parts than come.
PARTS = 8_000_000
# Bytes that a test sends before it finds that a message has no bound.
ENDLESS_BYTES = 32 * MB
WAIT_S = 5.0


class UnreadWriter:
    """A writer, and its transport, to a node that reads nothing."""

    def __init__(self, reader):
        self.transport = self
        self.unsent = 0
        self.ended = False
        self._reader = reader

    def get_extra_info(self, name):
        return ("127.0.0.9", 1) if name == "peername" else None

    def get_write_buffer_size(self):
        return self.unsent

    def is_closing(self):
        return self.ended

    def write(self, data):
        self.unsent += len(data)

    def close(self):
        """Keep what is unsent, as a transport does until it is read."""
        self.ended = True

    def abort(self):
        self.unsent = 0
        if not self.ended:
            self._reader.feed_eof()
        self.ended = True


class PlayedLink:
    """A link to a node that a test plays, and a task that reads it.

    :param name: of that node; empty before the handshake.
    """

    def __init__(self, budget, name):
        self.reader = asyncio.StreamReader(limit=MB)
        self.writer = UnreadWriter(self.reader)
        self.link = Link(self.reader, self.writer, dialled=False, budget=budget)
        if name:
            self.link.know(name, f"{name}#1")
        self.messages = []
        self.error = ""
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        try:
            while True:
                self.messages.append(await self.link.receive())
        except PeerError as error:
            self.error = str(error)

    async def feed(self, data):
        self.reader.feed_data(data)
        while self.reader._buffer and not self.task.done():
            await asyncio.sleep(0)
        await asyncio.sleep(0)


def begin_list():
    return b"\xdd" + PARTS.to_bytes(4, "big")


def make_part(size):
    return msgpack.packb(b"x" * size)


@given("a link to another node, {when} its handshake")
def one_link(context, when):
    async def make():
        context.budget = ByteBudget()
        context.played = PlayedLink(context.budget, "n2" if when == "after" else "")

    context.loop.run(make())


@when("the other node sends a list whose parts never end, {kb:d} KB at a time")
def endless_list(context, kb):
    async def send():
        context.sent = 0
        await context.played.feed(begin_list())
        part = make_part(kb * KB)
        while not context.played.task.done() and context.sent < ENDLESS_BYTES:
            for at in range(0, len(part), 4 * KB):
                if not context.played.task.done():
                    await context.played.feed(part[at : at + 4 * KB])
                    context.sent += 4 * KB
        context.played.task.cancel()

    context.loop.run(send())


@then('the link has failed as "{reason}" after {most:d} KB at most')
def link_failed(context, reason, most):
    assert context.played.error == reason, (context.played.error, context.sent)
    assert context.sent <= most * KB, context.sent


def make_links(context, many):
    async def make():
        context.budget = ByteBudget()
        context.large = [PlayedLink(context.budget, f"n{number}") for number in range(many)]
        context.short = PlayedLink(context.budget, "short")
        context.held = 0

    context.loop.run(make())


@given(
    "{many:d} links whose other nodes send a list of {mb:d} MB without its end, "
    "and one of {kb:d} KB"
)
def links_without_end(context, many, mb, kb):
    make_links(context, many)
    context.parts = mb * MB // (256 * KB)
    context.short_part = kb * KB


@when("the node reads them at the same time")
def reads_links(context):
    async def read():
        every = [*context.large, context.short]
        for played in every:
            await played.feed(begin_list())
        await context.short.feed(make_part(context.short_part))
        part = make_part(256 * KB)
        for _ in range(context.parts):
            for played in context.large:
                if not played.task.done():
                    await played.feed(part)
                count_links(context)
        for played in every:
            played.task.cancel()

    context.fed = True
    context.loop.run(read())


def count_links(context):
    """Count what the links that stay keep, by what was sent to them or to their nodes."""
    held = sum(one.link.unfinished_bytes + one.writer.unsent for one in context.large)
    context.held = max(context.held, held)


@given("{many:d} links whose other nodes read nothing, and one that has read all but {kb:d} KB")
def unread_links(context, many, kb):
    make_links(context, many)
    context.loop.run(send_one(context.short, kb * KB))


async def send_one(played, size):
    played.link.send(TableMessage(1, b"x" * size))
    await asyncio.sleep(0)


@when("the node sends each of the former {mb:d} MB")
def sends_each(context, mb):
    async def send():
        for _ in range(mb * 4):
            for played in context.large:
                await send_one(played, 256 * KB)
                count_links(context)
        for played in [*context.large, context.short]:
            played.task.cancel()

    context.loop.run(send())


@then("at most {mb:d} MB of them were held at any time")
def held_at_most(context, mb):
    assert 0 < context.held <= mb * MB, context.held


@then("the short one stays, and {least:d} of the others at least have ended")
def short_stays(context, least):
    assert not context.short.error and not context.short.link.closed, context.short.error
    ended = sum(one.link.closed for one in context.large)
    assert ended >= least, ended


@when("the other node sends a sound message of {mb:d} MB")
def sound_message(context, mb):
    async def send():
        data = encode(TableMessage(1, b"x" * mb * MB))
        for at in range(0, len(data), 64 * KB):
            await context.played.feed(data[at : at + 64 * KB])
        context.played.task.cancel()

    context.loop.run(send())


@then("the link has read it, and nothing is counted")
def counted_none(context):
    assert len(context.played.messages) == 1, context.played.error
    assert context.budget.held_bytes == 0, context.budget.held_bytes


def fill(budget):
    """Hold what is left, by senders that each hold less than the one with the most."""
    size = MB // 2
    holdings = []
    for number in range(budget.most // size + 1):
        holdings.append(budget.open(f"other {number}", lambda reason: None))
        holdings[-1].resize(size)
    for holding in holdings:
        holding.close()


FILLS = {"nothing happens": lambda budget: None, "others hold all that may be held": fill}


@when("a caller sends a safe request, and {event} as the second endpoint has it")
def request_and_event(context, event):
    relay = context.relay
    budget = relay.node.context.budget

    async def work():
        asked = asyncio.ensure_future(relay.ask(request("safe", deadline_ms=1000)))
        await relay.until(lambda: len(relay.asked) == 2)
        context.counted = budget.held_bytes
        FILLS[event](budget)
        context.answer = await asked
        await asyncio.sleep(0.05)
        context.left = budget.held_bytes

    context.loop.run(work())


@then("{before:g} MB at least was counted by then, and less than {after:g} MB after the answer")
def counted_then(context, before, after):
    assert context.counted >= before * MB, context.counted
    assert context.left < after * MB, context.left


@then("the caller has got the status {status:d}")
def got_status(context, status):
    assert context.answer.status == status, context.answer


@given("an answer whose end its endpoint's stop may have brought about")
def doubted_answer(context):
    context.reply = Reply(holding=ByteBudget().open("endpoint"))
    context.reply.add_part(b"body")
    context.reply.complete = True
    head = HttpHead(200, ((b"transfer-encoding", b"chunked"),))
    view = types.SimpleNamespace(name="i0")
    context.doubted = EndpointAnswer(context.reply, head, view, None, 0.0)


@when("it is given up while the node looks whether the endpoint lives on, which it does")
def given_up_while_looking(context):
    exchange = mock.MagicMock(open_bodies=set())

    async def give_up(*_):
        context.reply.fail(REASON)
        return True

    async def read():
        try:
            return await relay_bodies.read_body(None, exchange, context.doubted)
        except EndpointError as error:
            return error.reason

    found = mock.patch.object(
        relay_bodies, "find_doubt", return_value=Doubt("ends", 1, False, 0.0, 0.0, False, 0.0, 0.0)
    )
    with found, mock.patch.object(relay_bodies, "is_whole", give_up):
        context.end = asyncio.run(read())


@then('its request has failed as "{reason}"')
def request_failed(context, reason):
    assert context.end == reason, context.end


def make_row(name, spec):
    return b'{"metadata":{"name":"%b","revision":4},"spec":%b}' % (name, spec)


def make_list(rows):
    return b'{"items":[%b],"truncated":false,"as-of":9}' % b",".join(rows)


def make_values(value, size):
    return b"[%b]" % b",".join([value.encode()] * size)


def make_sound(models):
    names = [{"name": f"m-{one}", "version": 1, "adapters": []} for one in range(models)]
    return orjson.dumps(VALID | {"models": names})


def make_named(prefix, count, spec):
    return [make_row(b"%b-%d" % (prefix, number), spec) for number in range(count)]


@given(
    "a list of the store of {rows:d} endpoints, and {many:d} odd ones of {size:d} values {value}"
)
def store_list(context, rows, many, size, value):
    odd = make_named(b"odd", many, make_values(value, size))
    sound = make_named(b"sound", rows, make_sound(3))
    half = rows // 2
    context.raw = make_list(sound[:half] + odd + sound[half:])
    context.names = {"sound": rows, "odd": many}
    context.decode = bodies.decode_body


@given("a list of the store of {rows:d} rows without a name")
def nameless_list(context, rows):
    context.raw = make_list([b"{}"] * rows)
    context.decode = lambda raw: store_module._parse_page(bodies.decode_body(raw), 0)


@given("a list of the store with the odd objects {names}, and one of {size:d} values")
def odd_list(context, names, size):
    context.beside = [OBJECTS[name] for name in names.split(", ")]
    context.beside += make_named(b"sound", 2, make_sound(3))
    many = make_row(b"many", make_values("[]", size))
    context.raw = make_list([*context.beside[:2], many, *context.beside[2:]])
    context.decode = bodies.decode_body


@given(
    "a list of the store of {endpoint_count:d} endpoints of {held:d} models, {models:d} models "
    "and {nodes:d} nodes"
)
def fleet_list(context, endpoint_count, held, models, nodes):
    rows = make_named(b"endpoint", endpoint_count, make_sound(held))
    rows += make_named(b"model", models, b'{"replicas":3,"adapters":["a","b"]}')
    rows += make_named(b"node", nodes, b'{"address":"127.0.0.9:80","zone":"z1"}')
    context.raw = make_list(rows)


@when("a node that may hold {mb:d} MB decodes it")
def fleet_decoded(context, mb):
    context.decoded = bodies.decode_body(context.raw, bodies.bound_values(mb * MB))


@then("every row of it is whole")
def fleet_whole(context):
    assert bodies.count_marks(context.raw) > bodies.VALUES_MIN
    assert context.decoded == orjson.loads(context.raw)


@given("a report of {size:d} values {value}")
def large_report(context, size, value):
    context.raw = orjson.dumps(REPORT)[:-1] + b',"x":%b}' % make_values(value, size)
    context.decode = read_report


@given("a report of {count:d} models")
def models_report(context, count):
    models = [{"name": f"m-{one}", "version": 1, "adapters": []} for one in range(count)]
    context.raw = orjson.dumps(REPORT | {"models": models})
    context.decode = read_report


REPORT = {"models": [], "utilization": False, "sequence": 0, "queued": 0, "active": 0}


def read_report(raw):
    stored = store_module.StoredObject("i1", 1, VALID)
    return endpoints.read_report(raw, endpoints.read_entry(stored, 0.0)[1], 1.0)


def decode_or_fail(context):
    try:
        return context.decode(context.raw)
    except ValueError:
        return None


@when("the node decodes it")
def decode_raw(context):
    began = time.process_time()
    decode_or_fail(context)
    context.took_s = time.process_time() - began
    tracemalloc.start()
    context.decoded = decode_or_fail(context)
    context.peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("at most {mb:d} MB were taken for it, and it took {most:d} s at most")
def taken_for_it(context, mb, most):
    assert context.peak <= mb * MB, context.peak / MB
    assert context.took_s <= most, context.took_s


def list_rows(body):
    return store_module._decode_objects("servers", body["items"], 0)


@then("all sound endpoints are in it, and the names of the odd ones")
def all_sound(context):
    rows = list_rows(context.decoded)
    for prefix, count in context.names.items():
        found = [row for row in rows if row.name.startswith(prefix)]
        assert {row.name for row in found} == {f"{prefix}-{one}" for one in range(count)}
        assert prefix == "odd" or all(row.value == found[0].value for row in found)
    sound = next(row for row in rows if row.name == "sound-0")
    endpoints.read_entry(sound, 0.0)


@then("the objects beside are as they are without it")
def as_without(context):
    rows = list_rows(context.decoded)
    without = list_rows(bodies.decode_body(make_list(context.beside)))
    assert [row for row in rows if row.name != "many"] == without, rows
    many = next(row for row in rows if row.name == "many")
    assert many.value.detail == "spec: too many values", many


@then("it has failed as a whole")
def failed_whole(context):
    assert context.decoded is None


@then("there is no report")
def no_report(context):
    assert context.decoded is None


@then("there is a report of {count:d} models")
def report_of(context, count):
    assert len(context.decoded.resident) == count
