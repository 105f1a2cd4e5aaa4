import asyncio

from behave import given
from behave import then
from behave import when
from still_transport import StillTransport

from rookspring.byte_budget import ByteBudget
from rookspring.http_server import ServerConnection
from rookspring.http_server import ServerOptions

BODY = b"DELETE /in-the-body HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
HEAD_OF_2 = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(BODY)


def write_part(name):
    """Return the bytes of a request by its target, or of a part of one."""
    if name.startswith("/"):
        return b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" % name.encode()
    parts = {"nothing": b"", "the head of /2": HEAD_OF_2, "the body of /2": b"b" * len(BODY)}
    return parts.get(name, BODY)


class CallerTransport(StillTransport):
    """A transport that may be closed once all is written, and keeps what is written."""

    def __init__(self, connection):
        self.written = b""
        super().__init__(connection)

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed


@given("a connection of a caller, whose requests take a moment")
def connection_of_caller(context):
    context.served = []


@when("it sends {first}, then {second} meanwhile, and {third} as the first answer is written")
def sends(context, first, second, third):
    async def serve(connection, request):
        await asyncio.sleep(0.01)
        context.served.append(request.target.decode())
        connection.answer(200, [], b"")
        if len(context.served) == 1:
            # As a read that was ready in the same turn of the loop.
            connection.data_received(write_part(third))

    async def work():
        connection = ServerConnection(ServerOptions(serve), set(), ByteBudget())
        CallerTransport(connection)
        connection.data_received(write_part(first))
        await asyncio.sleep(0.0)
        if second != "nothing":
            connection.data_received(write_part(second))
        await asyncio.sleep(0.1)
        connection.connection_lost(None)

    asyncio.run(work())


@then("the requests are served in this order: {served}")
def served_in_order(context, served):
    assert context.served == served.split(), context.served


@when("it sends a request with {number:d} short headers, {size:d} bytes at a time")
def sends_headers(context, number, size):
    async def serve(connection, request):
        connection.answer(200, [], b"")

    async def work():
        connection = ServerConnection(ServerOptions(serve), set(), ByteBudget())
        context.transport = CallerTransport(connection)
        data = b"POST /1 HTTP/1.1\r\nHost: h\r\n" + b"a: b\r\n" * number + b"\r\n"
        for at in range(0, len(data), size):
            if not context.transport.closed:
                connection.data_received(data[at : at + size])
        await asyncio.sleep(0.05)
        connection.connection_lost(None)

    asyncio.run(work())


@then("it is answered {status:d}")
def answered(context, status):
    line = context.transport.written.partition(b"\r\n")[0].split()
    assert line[:2] == [b"HTTP/1.1", b"%d" % status], context.transport.written
