import asyncio

from behave import given
from behave import then
from behave import when
from still_transport import StillTransport

from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection
from rookspring.http_client import ConnectionPool
from rookspring_fakes.resets import reset_connection

MB = 1 << 20
PART = b"x" * 16_384
REQUEST = b"GET / HTTP/1.1\r\nHost: e\r\n\r\n"


class UnreadAnswer:
    """An answer that is read only after a pause."""

    def __init__(self, whole, breaks_at=None, resets=False):
        self.whole = whole
        self.resets = resets
        self.breaks_at = breaks_at or whole
        self.sent = 0
        self.sent_unread = 0
        self.read = 0
        self.error = None
        self.connection = None

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.whole)
        while self.sent < self.breaks_at:
            writer.write(PART)
            self.sent += len(PART)
            await writer.drain()
        if self.resets:
            reset_connection(writer.transport)
        writer.close()

    async def play(self, pause_s):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool()
        connection = await pool.acquire(f"127.0.0.1:{port}", wide_margin=False)
        reply = connection.send_request(REQUEST, lambda head: True, lambda head: None)
        await reply.wait_head()
        await asyncio.sleep(pause_s)
        self.sent_unread = self.sent
        try:
            while part := await reply.next_part():
                self.read += len(part)
        except EndpointError as error:
            self.error = error
        self.connection = connection
        connection.close()
        server.close()


@given("an endpoint whose answer has {mb:d} MB, sent as fast as it is taken")
def endpoint_of(context, mb):
    context.answer = UnreadAnswer(mb * MB)


@given("an endpoint that {ends} the connection after {sent:d} of {mb:d} MB")
def endpoint_breaks_off(context, ends, sent, mb):
    context.answer = UnreadAnswer(mb * MB, sent * MB, resets=ends == "resets")


@when("the answer is not read for {pause_s:f} s")
def not_read(context, pause_s):
    asyncio.run(context.answer.play(pause_s))


@then("at most {mb:d} MB were taken from the endpoint")
def taken_at_most(context, mb):
    assert context.answer.sent_unread <= mb * MB, context.answer.sent_unread


@then("read from then on, it is complete")
def is_complete(context):
    assert context.answer.error is None, context.answer.error
    assert context.answer.read == context.answer.whole, context.answer.read


@then("reading it ends with an error, not as complete")
def ends_with_error(context):
    assert context.answer.error is not None
    assert context.answer.read < context.answer.whole


def deliver_chunked(transport, parts):
    """Hand over a whole answer in chunks, unless reading is paused."""
    if not transport.paused:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        transport.deliver(head + chunks + b"0\r\n\r\n")


def ask(connection):
    return connection.send_request(REQUEST, lambda head: True, lambda head: None)


class UnreadClose(UnreadAnswer):
    """An answer without a length, whose connection is closed some time after its last bytes."""

    def __init__(self, whole, waits_s):
        super().__init__(whole)
        self.waits_s = waits_s

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * self.whole)
        await writer.drain()
        await asyncio.sleep(self.waits_s)
        writer.close()


@given("an endpoint that closes the connection {waits_s:g} s after an answer of {kb:d} KB")
def closes_after(context, waits_s, kb):
    context.answer = UnreadClose(kb * 1024, waits_s)


@then("the answer {has} stalled before its close")
def has_stalled_before(context, has):
    answer = context.answer
    assert answer.read == answer.whole, answer.read
    assert answer.connection.stalled == (has == "has")


@given("a connection on which an answer of {kb:d} KB has arrived at once")
def arrived_at_once(context, kb):
    context.client = ClientConnection()
    context.transport = StillTransport(context.client)
    context.reply = ask(context.client)
    deliver_chunked(context.transport, [b"x" * 1024] * kb)


@when("its caller goes after reading {parts:d} parts of it")
def caller_goes(context, parts):
    async def read():
        for _ in range(parts):
            await context.reply.next_part()

    asyncio.run(read())


@then("the connection is pooled, and the next answer on it arrives")
def next_arrives(context):
    pool = ConnectionPool()
    pool.release_or_close("e", context.client)
    assert asyncio.run(pool.acquire("e", wide_margin=False)) is context.client
    reply = ask(context.client)
    deliver_chunked(context.transport, [b"y"])
    assert reply.complete
