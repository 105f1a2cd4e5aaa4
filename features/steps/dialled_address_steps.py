import asyncio

from behave import given
from behave import then
from behave import when
from loguru import logger

from rookspring import http_client
from rookspring.connections import refuses_connections
from rookspring.exceptions import EndpointError
from rookspring.peers import PeerServer

ADDRESSES = {
    "its port and 65536": lambda port: f"127.0.0.1:{port + 65536}",
    "its port and a line break": lambda port: f"127.0.0.1:{port}\n",
    "port 0": lambda port: "127.0.0.1:0",
    "port 70000": lambda port: "127.0.0.1:70000",
    "a port of 5000 digits": lambda port: "127.0.0.1:" + "1" * 5000,
    "a port of -1": lambda port: "127.0.0.1:-1",
    "a port of text": lambda port: "127.0.0.1:x",
    "no port": lambda port: "127.0.0.1",
}


@given("a server that counts its connections")
def counting_server(context):
    context.reached = []

    async def start():
        async def accept(reader, writer):
            context.reached.append(writer)
            writer.close()

        return await asyncio.start_server(accept, "127.0.0.1", 0)

    context.server = context.loop.run(start())
    context.port = context.server.sockets[0].getsockname()[1]

    def stop():
        context.loop.loop.call_soon_threadsafe(context.server.close)

    context.add_cleanup(stop)


@when("a call is made to its host at {address}")
def call_made(context, address):
    dialled = ADDRESSES[address](context.port)

    async def work():
        pool = http_client.ConnectionPool()
        try:
            await http_client.call(pool, dialled, b"GET / HTTP/1.1\r\n\r\n", lambda head: None, 1.0)
        except EndpointError as error:
            return error, await pool.is_down(dialled), await refuses_connections(dialled)

    context.dial_result = context.loop.run(work())


@then("the call fails, nothing was sent, and the server got no connection")
def call_fails(context):
    error, down, refuses = context.dial_result
    assert error.reason.startswith("address: ") and not error.sent, error
    assert not error.down and not down and not refuses
    assert not context.reached, context.reached


@when("a node dials its host three times at {address}")
def node_dials(context, address):
    dialled = ADDRESSES[address](context.port)
    context.lines = []

    async def serve_link(link):
        return None

    async def work():
        server = PeerServer("n1", "n1", "key", serve_link, None)
        return [await server.dial(dialled) for _ in range(3)]

    sink = logger.add(context.lines.append, level="INFO", format="{message}")
    try:
        context.dial_result = context.loop.run(work())
    finally:
        logger.remove(sink)


@then("it is not reached, the server got no connection, and that was logged once")
def not_reached(context):
    assert context.dial_result == [False] * 3 and not context.reached, (
        context.dial_result,
        context.reached,
    )
    lines = [line for line in context.lines if "event=address_malformed " in line]
    assert len(lines) == 1 and len(lines[0]) < 400, lines
