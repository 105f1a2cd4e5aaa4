import asyncio

from behave import given
from behave import when
from close_together_steps import BEGUN_S
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import request
from run_backup_socket_steps import BACKED_UP_S
from run_backup_socket_steps import send_backed_up
from run_copy_socket_steps import FAULTS
from run_copy_socket_steps import _lack_last_room
from run_copy_socket_steps import _lose_copies

from rookspring_fakes.model_answers import send
from rookspring_fakes.model_steps import record_run
from rookspring_fakes.model_steps import step
from rookspring_fakes.model_unframed import write_events
from rookspring_fakes.model_unframed import write_unframed_events
from rookspring_fakes.resets import reset_connection

# A pause between two events that is longer than those before, in seconds.
PAUSE_S = 0.05
# How long after it has stopped a server closes what it had left, in seconds.
LATER_S = 0.02
REFUSED_S = 0.07


def _lack_room_and_copies(server):
    _lack_last_room(server)
    _lose_copies(server)


FAULTS["no room for the last part and none at the holder"] = _lack_room_and_copies


@step("4 unframed as it stops")
async def _close_behind_step(server, asked, writer):
    """Give the run up right behind an event, as a server does that looks between two steps."""
    await write_unframed_events(server, asked, writer, 2)
    await asyncio.sleep(PAUSE_S)
    await write_events(writer, 3, 3)
    await server.stopping.wait()
    writer.write(b"id: 4\ndata: token4\n\n")
    writer.close()


@step("3 unframed until a while after it stops")
async def _close_between_steps(server, asked, writer):
    await write_unframed_events(server, asked, writer, 2)
    await asyncio.sleep(PAUSE_S)
    await write_events(writer, 3, 3)
    await server.stopping.wait()
    await asyncio.sleep(LATER_S)
    writer.close()


@step("be refused a while after it stops")
async def _refuse_later(server, asked, writer):
    await server.stopping.wait()
    await asyncio.sleep(REFUSED_S)
    headers = {"X-Rookspring-Request-Id": asked.request_id, "X-Rookspring-Not-Executed": "1"}
    send(server, writer, 503, b"", headers)


@step("one more and a reset")
async def _reset_behind_event(server, asked, writer):
    headers = record_run(server, asked) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    last = int(asked.headers.get("last-event-id") or 0)
    await write_events(writer, last + 1, last + 1)
    await asyncio.sleep(LATER_S)
    reset_connection(writer.transport)


@step("backed up and a reset before an event")
async def _reset_before_event(server, asked, writer):
    last = int(asked.headers.get("last-event-id") or 0)
    with server.send_stream(asked, writer) as note_made:
        await send_backed_up(server, asked, writer, last)
        note_made(last)
        await asyncio.sleep(BACKED_UP_S)
        reset_connection(writer.transport)


@given("a node with three endpoints and four attempts, where the first to be asked do: {script}")
def three_endpoints(context, script):
    steps = script.split(", ")
    relay = RelayFixture([steps, steps, steps])
    context.relay = context.loop.run(relay.start())
    changed = configuration(6)
    for route in changed["routes"]:
        route["timeout-ms"] = 8000
        route["max-attempts"] = 4

    async def change():
        await relay.store.write("config", "main", changed)
        state = relay.node.context.state
        await relay.until(lambda: state.table.version == 6)

    context.loop.run(change())
    for server in relay.servers:
        server.script = steps
        relay.node.context.state.endpoints[server.name].role = "runner"


@when("it gives up two streams as a third request waits there")
def gives_up(context):
    async def work():
        relay = context.relay
        tasks = []
        for one in range(3):
            tasks.append(asyncio.ensure_future(relay.ask(request("stream", one + 1))))
            await relay.until(lambda begun=one: len(relay.asked) > begun)
        await asyncio.sleep(BEGUN_S)
        relay.servers[0].stopping.set()
        context.answer = await tasks[0]
        for task in tasks[1:]:
            task.cancel()

    context.loop.run(work())
