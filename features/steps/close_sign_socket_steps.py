import asyncio
import socket

from behave import then
from behave import when
from close_together_steps import BEGUN_S
from relay_fixture import read_answer
from relay_fixture import request
from run_backup_socket_steps import ran_before

from rookspring_core import notice_handlers
from rookspring_fakes import ModelServer
from rookspring_fakes.model_steps import make_body
from rookspring_fakes.model_steps import record_run
from rookspring_fakes.model_steps import step
from rookspring_fakes.model_unframed import write_unframed_events
from rookspring_fakes.resets import reset_connection

WAIT_S = 0.02
# More than a node keeps unread, and less than the kernel takes.
MUCH_EVENTS = 450
PADDING = 16 << 10


def write_head(server, asked, writer, *more):
    headers = record_run(server, asked) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{row}\r\n" for row in (*(f"{k}: {v}" for k, v in headers.items()), *more))
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _register_torn(words, more, data, end):
    @step(words)
    async def _torn(server, asked, writer):
        write_head(server, asked, writer, *more)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(WAIT_S)
        end(writer)


HALF = b"id: 4\ndata: tok"
CHUNKS = ("Transfer-Encoding: chunked",)
_close = lambda writer: writer.close()  # noqa: E731
_reset = lambda writer: reset_connection(writer.transport)  # noqa: E731
_register_torn("half an event unframed and a close", (), HALF, _close)
_register_torn("half an event unframed and a reset", (), HALF, _reset)
_register_torn("half an event in a chunk and a reset", CHUNKS, chunk(HALF), _reset)
_register_torn("half an event in a chunk and a close", CHUNKS, chunk(HALF), _close)
_register_torn("half a chunk of an event and a close", CHUNKS, chunk(HALF)[:10], _close)


@step("say nothing")
async def _say_nothing(server, asked, writer):
    record_run(server, asked)
    while not writer.is_closing():
        await asyncio.sleep(0.01)


@step("the last unframed as it stops")
async def _last_at_once(server, asked, writer):
    await write_unframed_events(server, asked, writer, 3)
    await server.stopping.wait()
    writer.write(b"id: 4\ndata: token4\n\nid: 5\ndata: token5\n\n")
    writer.close()


def _register_third(words, *more):
    @step(words)
    async def _third(server, asked, writer):
        write_head(server, asked, writer, *CHUNKS, *more)
        for number in (1, 2, 3):
            writer.write(chunk(b"id: %d\ndata: token%d\n\n" % (number, number)))
        await writer.drain()
        await server.stopping.wait()
        await asyncio.sleep(0.04)
        writer.write(chunk(b"id: 4\ndata: token4\n\n") + b"0\r\n\r\n")
        await writer.drain()


_register_third("3 and a keepable end 0.04 s after it stops")
_register_third("3 and an announced close 0.04 s after it stops", "Connection: close")


@step("a body whose end comes 0.04 s after it stops")
async def _body_later(server, asked, writer):
    rows = "".join(f"{key}: {value}\r\n" for key, value in record_run(server, asked).items())
    body = make_body(asked)
    head = f"HTTP/1.1 200 OK\r\n{rows}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body[:3])
    await server.stopping.wait()
    await asyncio.sleep(0.04)
    writer.write(body[3:])


@step("much and no more")
async def _much(server, asked, writer):
    await _send_much(server, asked, writer, CHUNKS)


@step("much unframed and no more")
async def _much_unframed(server, asked, writer):
    await _send_much(server, asked, writer, ())


async def _send_much(server, asked, writer, more):
    write_head(server, asked, writer, *more)
    for number in range(1, MUCH_EVENTS + 1):
        data = f"id: {number}\ndata: token{number}{'.' * PADDING}\n\n".encode()
        writer.write(chunk(data) if more else data)
        await writer.drain()
    while not writer.is_closing():
        await asyncio.sleep(0.002)


@step("be gone behind a proxy after 3 unframed")
async def _gone_behind_proxy(server, asked, writer):
    """End as a process does behind a proxy, which takes connections and closes them."""
    await write_unframed_events(server, asked, writer, 3)
    server.resets = 1000
    server.drop_connections(resets=False)


@step("be closed without an answer as it stops")
async def _turned_away(server, asked, writer):
    await server.stopping.wait()
    writer.close()


@when("two streams ran there before")
def ran(context):
    ran_before(context)


@when("it ends the first of two streams beside a body, whose connection takes another request")
def reused(context):
    async def work():
        relay = context.relay
        tasks = []
        for one, kind in enumerate(("stream", "stream", "unsafe"), 1):
            tasks.append(asyncio.ensure_future(relay.ask(request(kind, one))))
            await relay.until(lambda one=one: len(relay.runs) >= one)
        await asyncio.sleep(BEGUN_S)
        relay.servers[0].stopping.set()
        await tasks[2]
        await relay.ask(request("unsafe", 4))
        context.answer = await tasks[0]
        tasks[1].cancel()

    context.loop.run(work())


@when("it ends the first of three requests")
def first_of_three(context):
    async def work():
        relay = context.relay
        tasks = []
        for one in (1, 2, 3):
            tasks.append(asyncio.ensure_future(relay.ask(request("stream", one))))
            await relay.until(lambda one=one: len(relay.asked) >= one)
        await asyncio.sleep(BEGUN_S)
        relay.servers[0].stopping.set()
        context.answer = await tasks[0]
        for task in tasks[1:]:
            task.cancel()

    context.loop.run(work())


def held_up(relay):
    """Return whether the node has stopped to read an answer, as its caller doesn't."""
    pool = relay.node.context.pool
    return any(one._slow for made in pool._connections.values() for one in made)


async def slow_caller(relay, number):
    """Begin a stream whose caller takes nothing at first."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    address = ("127.0.0.1", relay.node.listeners["callers"].port)
    await asyncio.get_running_loop().sock_connect(raw, address)
    reader, writer = await asyncio.open_connection(sock=raw, limit=1024)
    writer.transport.pause_reading()
    writer.write(request("stream", number))
    await relay.until(lambda: len(relay.runs) >= number)
    return reader, writer


@when("it closes the streams of two callers and of a third who reads on 0.04 s later")
def reads_on(context):
    async def work():
        relay = context.relay
        tasks = []
        for one in (1, 2):
            tasks.append(asyncio.ensure_future(relay.ask(request("stream", one))))
            await relay.until(lambda one=one: len(relay.runs) >= one)
        reader, writer = await slow_caller(relay, 3)
        await asyncio.sleep(1.0)
        assert held_up(relay)
        # Between two events.
        await asyncio.sleep(0.01)
        relay.servers[0].drop_connections(resets=False)
        await asyncio.sleep(0.04)
        writer.transport.resume_reading()
        taking = asyncio.ensure_future(reader.read(1 << 24))
        reader._limit = 1 << 24
        context.answer = await tasks[0]
        taking.cancel()
        tasks[1].cancel()
        writer.close()

    context.loop.run(work())


@when("its process ends with a stream, beside one that its caller doesn't read")
def killed_beside_unread(context):
    async def work():
        relay = context.relay
        reader, writer = await slow_caller(relay, 1)
        await asyncio.sleep(0.8)
        task = asyncio.ensure_future(relay.ask(request("stream", 2)))
        await relay.until(lambda: len(relay.runs) >= 2)
        await asyncio.sleep(0.2)
        assert held_up(relay)
        relay.servers[0].end()
        context.answer = await task
        writer.close()

    context.loop.run(work())


@when("it closes the streams of a caller who reads on 1 s later and of another")
def reads_late(context):
    async def work():
        relay = context.relay
        reader, writer = await slow_caller(relay, 1)
        await asyncio.sleep(0.8)
        task = asyncio.ensure_future(relay.ask(request("stream", 2)))
        await relay.until(lambda: len(relay.runs) >= 2)
        await asyncio.sleep(1.0)
        assert held_up(relay)
        relay.servers[0].drop_connections(resets=False)
        await asyncio.sleep(1.0)
        reader._limit = 1 << 24
        writer.transport.resume_reading()
        context.answer = await read_answer(reader)
        context.beside = await task
        writer.close()

    context.loop.run(work())


@then("the answer of the slow caller is cut")
def slow_cut(context):
    events = context.answer.body.count(b"\n\n")
    assert not context.answer.whole, f"{events} of more events told as whole"


@when(
    "its process ends with a stream, and another one that the node learns of meanwhile takes the "
    "listener over {seconds:g} s later"
)
def replaced_within_look(context, seconds):
    async def work():
        relay = context.relay
        server = relay.servers[0]
        view = relay.node.context.state.endpoints[server.name]
        await relay.store.write("servers", server.name, server.entry("svc") | {"born": 1000})
        await relay.until(lambda: notice_handlers.known_start(view) == 1000)
        task = asyncio.ensure_future(relay.ask(request("stream")))
        exchanges = relay.node.context.exchanges
        await relay.until(lambda: any(one.events == 3 for one in exchanges.values()))
        # The connections that come meanwhile wait in the listener, as for a process that is begun.
        host, port = server.address.split(":")
        server._server.close()
        listener = socket.create_server((host, int(port)))
        server.end()
        successor = ModelServer(server.name)
        await asyncio.sleep(0.05)
        await relay.store.write("servers", server.name, server.entry("svc") | {"born": 2000})
        await relay.until(lambda: notice_handlers.known_start(view) == 2000)
        assert not task.done(), "the answer was told before the node learnt of the successor"
        await asyncio.sleep(seconds)
        successor._server = await asyncio.start_server(successor._serve, sock=listener)
        context.answer = await task
        await successor.close()

    context.loop.run(work())


@step("an unframed event each 0.02 s")
async def _unframed_each(server, asked, writer):
    await write_unframed_events(server, asked, writer, 0)
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(f"id: {number}\ndata: token{number}\n\n".encode())
        await asyncio.sleep(0.02)


@then("it is cut")
def is_cut(context):
    events = context.answer.body.count(b"\n\n")
    assert not context.answer.whole, f"{events} events told as whole"
