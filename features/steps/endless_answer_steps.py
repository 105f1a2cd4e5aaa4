import asyncio
import time
import tracemalloc

from behave import given
from behave import then
from behave import when

from rookspring.event_streams import EventSplitter
from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection

KB = 1 << 10
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


class Transport:
    """A transport that counts what it delivers until the connection is closed."""

    def __init__(self, connection):
        self.connection = connection
        self.delivered = 0
        self.closed = False
        connection.connection_made(self)

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        pass

    def abort(self):
        self.closed = True

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def deliver(self, data):
        self.delivered += len(data)
        self.connection.data_received(data)


@given("a connection on which a request is in flight")
def in_flight(context):
    context.client = ClientConnection()
    context.transport = Transport(context.client)
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
