import asyncio

from behave import given
from behave import then
from relay_fixture import request
from run_copy_socket_steps import copy_but

from rookspring import clock
from rookspring_fakes.model_steps import record_run
from rookspring_fakes.model_steps import step
from rookspring_fakes.model_streams import make_event
from rookspring_fakes.resets import reset_connection
from rookspring_fakes.run_copies import BACKUP_S

# How long a run takes beyond its events, so that its memory is sent to its backup meanwhile.
BACKED_UP_S = 1.5 * BACKUP_S
BACKUP = "x-rookspring-kv-backup"


async def send_backed_up(server, asked, writer, last):
    """Send a stream's head without a length, and the events after the one that is named."""
    headers = record_run(server, asked) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    for number in range(int(asked.headers.get("last-event-id") or 0) + 1, last + 1):
        writer.write(make_event(server, number))
        await writer.drain()


def _register(words, last, finish):
    @step(words)
    async def _backed_up(server, asked, writer):
        with server.send_stream(asked, writer) as note_made:
            await send_backed_up(server, asked, writer, last)
            note_made(last)
            await asyncio.sleep(BACKED_UP_S)
            await finish(server, asked, writer)


async def _end_well(server, asked, writer):
    server.end_well(asked)
    writer.close()


async def _close(server, asked, writer):
    writer.close()


async def _reset(server, asked, writer):
    reset_connection(writer.transport)


async def _go_on_behind(server, asked, writer):
    writer.close()
    # It goes on until it is stopped by a call, or the test ends.
    for _ in range(100):
        if asked.request_id not in server.copies.made:
            break
        await asyncio.sleep(0.01)


async def _end_process(server, asked, writer):
    server.end()


_register("5 backed up", 5, _end_well)
_register("unframed rest", 5, _end_well)
_register("3 backed up", 3, _close)
_register("3 backed up and a reset", 3, _reset)
_register("3 backed up behind which it goes on", 3, _go_on_behind)
_register("3 backed up and the end of its process", 3, _end_process)


@step("break at once")
async def _break_at_once(server, asked, writer):
    """Break a stream in chunks off before its first event."""
    headers = record_run(server, asked) | {"Content-Type": "text/event-stream"}
    headers["Transfer-Encoding"] = "chunked"
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer.transport)


@given("two streams ran there before")
def ran_before(context):
    async def work():
        for number in (2, 3):
            answer = await context.relay.ask(request("stream", number))
            assert answer.whole and answer.body.count(b"data: ") == 5, answer.body

    context.loop.run(work())


@given("no more copies are made")
def none_made(context):
    copy_but(context, "another call for the run is under way")


@given("ends of their service have turned out to be cut")
def turned_out(context):
    state = context.relay.node.context.state
    state.close_records.note_outcome("svc", False, clock.now())


@then("it was asked for at its backup {times:d} times")
def asked_for(context, times):
    found = [one for one in context.relay.asked if one.continues]
    assert len(found) == times, found


@then("no request named a backup")
def none_named(context):
    found = [one.headers[BACKUP] for one in context.relay.asked if BACKUP in one.headers]
    assert not found, found


@then("no end of their service is on record as cut")
def none_on_record(context):
    state = context.relay.node.context.state
    assert not state.close_records.is_caught("svc", clock.now())
