import asyncio
import collections
import time
import tracemalloc

from behave import given
from behave import then
from behave import when
from still_transport import StillTransport

from rookspring import defaults
from rookspring import relay_orders
from rookspring.byte_budget import ByteBudget
from rookspring.event_streams import EventSplitter
from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection
from rookspring.http_client import Reply
from rookspring_core.effects import ReadReport

KB = 1 << 10
PART_BYTES = 256 * KB
REQUEST = b"GET / HTTP/1.1\r\nHost: e\r\n\r\n"
# For how long bytes without end are sent before a test gives up.
ENDLESS_S = 2.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ROW = b"X-Row: " + b"x" * 1015 + b"\r\n"

# What is sent first, and then again and again.
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"O" * KB),
    "headers": (OK, ROW),
    "small headers": (OK, b"a: b\r\n"),
    "one header": (OK + b"X-Row: ", b"x" * KB),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "the size of a chunk": (CHUNKED, b"0" * KB),
    "the extension of a chunk": (CHUNKED + b"1;", b"e" * KB),
    "the extension of each chunk": (CHUNKED, b"1;" + b"e" * 100 * KB + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", ROW),
    "what is no answer": (b"", b"\x00\xff" * 512),
    "an answer to another request": (OK + b"X-Of: another\r\n\r\n", b"b" * KB),
}
CHUNK = b"1\r\nx\r\n"
WHOLE = {
    "a head of 48 KB": OK + ROW * 47 + b"Content-Length: 5\r\n\r\nwhole",
    "40,000 chunks of a byte": CHUNKED + CHUNK * 40_000 + b"0\r\n\r\n",
    "500 chunks with long extensions": CHUNKED
    + (b"1;" + b"e" * 4 * KB + b"\r\nx\r\n") * 500
    + b"0\r\n\r\n",
}


@given("a connection on which a request is in flight")
def in_flight(context):
    context.client = ClientConnection()
    context.transport = StillTransport(context.client)
    context.reply = context.client.send_request(
        REQUEST, lambda head: not head.header(b"x-of"), lambda head: None
    )


@when("its endpoint sends {what} without end, {size:d} KB at a time")
def sends_without_end(context, what, size):
    first, more = ENDLESS[what]
    part = more * max(1, size * KB // len(more))
    tracemalloc.start()
    began = time.monotonic()
    context.transport.deliver(first)
    while not context.transport.closed and time.monotonic() - began < ENDLESS_S:
        for at in range(0, len(part), size * KB):
            if not context.transport.closed:
                context.transport.deliver(part[at : at + size * KB])
    context.kept = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then(
    'the connection is closed after {most:d} KB at most, and the request has failed as "{reason}"'
)
def closed_after(context, most, reason):
    assert context.transport.closed, f"still open after {context.transport.delivered} bytes"
    assert context.transport.delivered <= most * KB, context.transport.delivered
    assert context.reply.failure == reason, context.reply.failure


@then("at most {most:d} KB were kept")
def kept_at_most(context, most):
    assert context.kept <= most * KB, context.kept


@when("its endpoint sends {what}, {size:d} KB at a time")
def sends_whole(context, what, size):
    data = WHOLE[what]
    for at in range(0, len(data), size * KB):
        context.transport.deliver(data[at : at + size * KB])


@then("the answer is whole, with a body of {number:d} bytes")
def whole_of(context, number):
    async def read():
        body = b""
        while part := await context.reply.next_part():
            body += part
        return body

    assert context.reply.complete, context.reply.failure
    assert len(asyncio.run(read())) == number


@given("a stream of events")
def stream_of_events(context):
    context.splitter = EventSplitter()


@when("{size:d} KB at a time of one event arrive without end")
def event_without_end(context, size):
    part = b"d" * (size * KB)
    context.fed = 0
    context.given_up = False
    began = time.monotonic()
    while not context.given_up and time.monotonic() - began < ENDLESS_S:
        context.fed += len(part)
        try:
            context.splitter.feed(part)
        except EndpointError as error:
            context.given_up = error.reason == "too large an event"
    context.took_s = time.monotonic() - began


@then("it is given up after {most:d} KB at most, in less than {most_s:g} s")
def event_given_up(context, most, most_s):
    assert context.given_up
    assert context.fed <= most * KB, context.fed
    assert context.took_s < most_s, context.took_s


@when("{number:d} events of {event:d} KB arrive, {size:d} KB at a time")
def long_events(context, number, event, size):
    context.sent = (b"id: 1\ndata: " + b"d" * (event * KB) + b"\n\n") * number
    context.passed_on = [
        context.splitter.feed(context.sent[at : at + size * KB])
        for at in range(0, len(context.sent), size * KB)
    ]


@then("all {number:d} are passed on whole")
def events_whole(context, number):
    assert sum(one.number for one in context.passed_on) == number
    assert b"".join(one.data for one in context.passed_on) == context.sent
    assert context.splitter.incomplete() == b""


@then('the log has one failed attempt for each endpoint without end, as "{reason}"')
def failed_attempts(context, reason):
    failed = [line for line in context.relay.log_lines if "event=attempt_failed" in line]
    assert len(failed) == 1 and f'reason="{reason}"' in failed[0], failed


@when("the endpoint's report never ends and the node reads it")
def report_without_end(context):
    relay = context.relay
    node = relay.node

    async def work():
        relay.servers[0].reports_endlessly = True
        relay_orders.read_report(node.context, ReadReport("i0", 0.0))
        await relay.until(lambda: list_failed_reports(context), 2.0 * defaults.REPORT_CALL_S)
        relay.servers[0].reports_endlessly = False

    context.loop.run(work())


def list_failed_reports(context):
    return [line for line in context.relay.log_lines if "event=report_failed" in line]


@then('the report has failed as "{reason}" after {most:d} MB at most')
def report_failed(context, reason, most):
    failed = list_failed_reports(context)
    assert f'reason="{reason}"' in failed[0], failed
    assert context.relay.servers[0].report_bytes <= most << 20


class HeldAnswers:
    """Answers that a node reads at the same time: some never end, and some are short."""

    def __init__(self, endless, endless_bytes, short, short_bytes, senders=1):
        self.memory = ByteBudget()
        self.parts = [PART_BYTES] * (endless_bytes // PART_BYTES)
        self.endless = [
            self._make_reply(f"faulty endpoint {number % senders}") for number in range(endless)
        ]
        self.short = [self._make_reply("another") for _ in range(short)]
        self.short_bytes = short_bytes
        self.most_held = 0

    def _make_reply(self, source):
        return Reply(holding=self.memory.open(source))

    async def read(self, reply):
        try:
            return len(await reply.read_rest(defaults.ANSWER_BYTES_MAX))
        except EndpointError as error:
            return error.reason
        finally:
            reply.drop()

    async def play(self):
        tasks = [asyncio.ensure_future(self.read(one)) for one in self.endless + self.short]
        for number, size in enumerate(self.parts):
            for reply in self.endless:
                reply.add_part(bytes(size))
            if number < len(self.short):
                self.short[number].add_part(bytes(self.short_bytes))
                self.short[number].complete = True
                self.short[number].notify()
            await asyncio.sleep(0.0)
            self.most_held = max(self.most_held, self.memory.held_bytes)
        for reply in self.endless:
            reply.complete = True
            reply.notify()
        self.ends = await asyncio.gather(*tasks)


@given("{endless:d} answers of {mb:d} MB, beside {short:d} of {kb:d} KB")
def held_answers(context, endless, mb, short, kb):
    context.held = HeldAnswers(endless, mb << 20, short, kb * KB)


@given(
    "{endless:d} answers of {mb:d} MB of {senders:d} senders, beside {short:d} of {kb:d} KB of "
    "another"
)
def held_answers_of_many(context, endless, mb, senders, short, kb):
    context.held = HeldAnswers(endless, mb << 20, short, kb * KB, senders)


@when("a node reads them at the same time")
def read_together(context):
    asyncio.run(context.held.play())


@then("it held at most {mb:d} MB of them at any time")
def held_at_most(context, mb):
    assert 0 < context.held.most_held <= mb << 20, context.held.most_held
    assert context.held.memory.held_bytes == 0


@then("the {number:d} short answers are whole")
def short_whole(context, number):
    assert context.held.ends[-number:] == [context.held.short_bytes] * number


@then("{least:d} of 100 of the short answers are whole")
def most_short_whole(context, least):
    ends = context.held.ends[-len(context.held.short) :]
    whole = ends.count(context.held.short_bytes)
    assert whole >= least / 100 * len(ends) > 0, collections.Counter(ends)


@then('{least:d} of the others at least have failed as "{reason}"')
def others_failed(context, least, reason):
    ends = context.held.ends[: len(context.held.endless)]
    failed = [one for one in ends if isinstance(one, str)]
    assert len(failed) >= least and set(failed) == {reason}, set(ends)
