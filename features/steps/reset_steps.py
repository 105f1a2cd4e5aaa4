import asyncio
import contextlib
import socket

import orjson
from behave import given
from behave import then
from behave import when
from raw_server import RawAnswer
from raw_server import RawServer
from socket_steps import FaultyService

from rookspring_fakes import Engine
from rookspring_fakes import Ledger
from rookspring_fakes import ModelServer
from rookspring_fakes import ObjectPlatform
from rookspring_fakes import PlainService
from rookspring_fakes import Runner
from rookspring_fakes import WeightStore
from rookspring_fakes.cut_links import CUTS
from rookspring_fakes.cut_links import CutPool
from rookspring_fakes.resets import close_connection
from rookspring_fakes.resets import reset_connection
from rookspring_fakes.serving import serve

LIMIT_S = 5.0
# How long a stand-in's stream runs before something is done to its process, in seconds.
BEGUN_S = 0.1
EXAMPLE_ORDER = orjson.dumps({"operation": "load", "model": "m", "fencing-token": 1})
STAND_INS = {}


def stand_in(name):
    """Register the coroutine that starts a stand-in, and returns its address and a request."""

    def register(function):
        STAND_INS[name] = function
        return function

    return register


def write_request(line, body=b""):
    head = f"{line} HTTP/1.1\r\nHost: h.example\r\nX-Rookspring-Request-Id: r1\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def read_to_end(sock):
    """Read until the connection's end.

    :raises ConnectionResetError: if that is a reset.
    """
    sock.settimeout(LIMIT_S)
    while sock.recv(65536):
        pass


def call_raw(address, request):
    """Send a request on a new connection, and read to the end."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), LIMIT_S) as sock:
        sock.sendall(request)
        read_to_end(sock)


@stand_in("the model server")
async def start_model_server(what):
    server = ModelServer("i0")
    await server.start()
    line, body = "POST /stream/x", b"body"
    if what.startswith("order: "):
        server.order_script = [what.removeprefix("order: ")]
        line, body = "POST /order", EXAMPLE_ORDER
    elif what.startswith("unframed stream: "):
        server.script = ["unframed stream"]
        server.unframed_ends = (what.removeprefix("unframed stream: "),)
    elif what == "resets a new connection":
        server.resets = 1
    elif what in ENDS_IN_STREAMS:
        server.script = ["stall after 3"]
        asyncio.get_running_loop().call_later(BEGUN_S, ENDS_IN_STREAMS[what], server)
    else:
        server.script = [what]
    request = write_request(line, body)
    # The server reads the next request only once the answer has ended.
    unread = bytes(1 << 20) if what == "ends, with a part of a request unread" else b""
    return server.address, request + unread


ENDS_IN_STREAMS = {
    "resets its streams": lambda server: server.drop_streams(resets=True),
    "closes its streams": lambda server: server.drop_streams(resets=False),
    "ends, with all read": ModelServer.end,
    "ends, with a part of a request unread": ModelServer.end,
}


@stand_in("the object store")
async def start_store(what):
    store = ObjectPlatform()
    store.faults.outage = True
    store.faults.closes = what == "outage, by closes"
    served = await serve(store.app())
    return served.address, write_request("GET /objects/servers")


@stand_in("the runner")
async def start_runner(what):
    runner = Runner(Engine("r0", WeightStore()))
    runner.engine.faults.killed = True
    served = await serve(runner.app())
    return served.address, write_request("GET /v1/report")


@stand_in("the plain service")
async def start_service(what):
    service = PlainService("s0", Ledger())
    service.faults.killed = what == "is killed"
    service.faults.lose = float(what == "loses the call")
    service.faults.applied_unanswered = float(what == "runs it, loses its answer")
    served = await serve(service.app())
    return served.address, write_request("POST /x", b'{"call": "c1"}')


@stand_in("the faulty service")
async def start_faulty_service(what):
    served = await serve(FaultyService(what).app())
    return served.address, write_request("POST /x", b"{}")


@stand_in("the raw server")
async def start_raw_server(what):
    server = await RawServer().start()
    server.answer = RawAnswer(b"HTTP/1.1 200 OK\r\n\r\n{}")
    return server.address, write_request("POST /x", b"{}")


@given("a stand-in: {name}")
def given_stand_in(context, name):
    context.stand_in = name


@when("a raw client sends it a request, reads to the end, and the stand-in does: {what}")
def read_raw(context, what):
    try:
        if context.stand_in == "the node's own links":
            read_cut_link(context, what)
        else:
            call_raw(*context.loop.run(STAND_INS[context.stand_in](what)))
    except ConnectionResetError:
        context.end = "reset"
    else:
        context.end = "close"


def read_cut_link(context, what):
    """Read to the end at the endpoint's side of a node's link as the link is cut."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        async def work():
            pool = CutPool()
            await pool.acquire(f"127.0.0.1:{listener.getsockname()[1]}", wide_margin=False)
            return pool

        pool = context.loop.run(work())
        sock, _ = listener.accept()
        with sock:
            context.loop.loop.call_soon_threadsafe(pool.cut, CUTS[what])
            read_to_end(sock)


@then("the client sees a {end}")
def sees_end(context, end):
    assert context.end == end, context.end


@given("a node's link to an endpoint that is silent")
def silent_link(context):
    async def work():
        accepted = asyncio.get_running_loop().create_future()
        served = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), "127.0.0.1", 0
        )
        context.add_cleanup(served.close)
        address = f"127.0.0.1:{served.sockets[0].getsockname()[1]}"
        context.pool = CutPool()
        context.link = await context.pool.acquire(address, wide_margin=False)
        context.pool.cut(CUTS["silenced"])
        context.far = await accepted

    context.loop.run(work())


@when("the endpoint {ends} the connection")
def endpoint_ends(context, ends):
    async def work():
        end = reset_connection if ends == "resets" else close_connection
        end(context.far.transport)
        await asyncio.sleep(BEGUN_S)

    context.loop.run(work())


@then("the node sees it only once the link is healed")
def seen_once_healed(context):
    assert context.link.open

    async def work():
        context.pool.heal()
        async with asyncio.timeout(LIMIT_S):
            while context.link.open:
                await asyncio.sleep(0.0)

    context.loop.run(work())
    assert context.link.closed_there


@given("a connection that its peer has ended, and whose socket is closed")
def ended_connection(context):
    async def work():
        served = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(
            lambda reader, writer: served.set_result((reader, writer)), "127.0.0.1", 0
        )
        async with server:
            _, caller = await asyncio.open_connection(*server.sockets[0].getsockname())
            reader, writer = await served
            reset_connection(caller.transport)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()
            return writer.transport

    context.transport = asyncio.run(work())


@when("it is reset")
def reset_ended(context):
    try:
        reset_connection(context.transport)
        context.error = None
    except OSError as error:
        context.error = error


@then("the stand-in raises no error")
def none_raised(context):
    assert context.error is None, context.error
