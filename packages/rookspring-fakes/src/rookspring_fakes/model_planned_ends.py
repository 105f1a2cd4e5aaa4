"""How the fake model server ends as planned, and steps whose answers end with it, cleanly.

Servers differ in what they do first: some close their listener and finish their answers, others end
all answers cleanly in their midst and exit.
"""

import asyncio
import itertools
import typing as t

from .model_deadlines import LAST_CHUNK
from .model_steps import STREAM_EVENTS
from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .model_streams import begin_events
from .model_streams import make_event
from .model_streams import send_events
from .model_streams import write_event

if t.TYPE_CHECKING:
    from .model_server import ModelServer

# How long answers that end by themselves take after the stop began, in seconds.
FINISH_S = 0.1
# How long its answers take to be written, in seconds.
WRITTEN_S = 0.01
JSON_BODY = b'{"a": [1, 2]}'

STOPS: dict[str, t.Callable[["ModelServer"], t.Awaitable[None]]] = {}
S = t.TypeVar("S", bound=t.Callable[["ModelServer"], t.Awaitable[None]])


def stop_way(name: str) -> t.Callable[[S], S]:
    """Register a way in which a server ends as planned."""

    def register(function: S) -> S:
        STOPS[name] = function
        return function

    return register


@stop_way("ends its answers and exits")
async def _end_answers(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(WRITTEN_S)
    server.end()


@stop_way("ends its answers and exits 0.1 s later")
async def _end_answers_early(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(0.1)
    server.end()


@stop_way("ends its answers and exits 0.5 s later")
async def _end_answers_half_a_second_early(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(0.5)
    server.end()


@stop_way("ends its answers and exits 1 s later")
async def _end_answers_earlier(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(1.0)
    server.end()


@stop_way("closes its listener, ends its answers and exits")
async def _close_and_end(server: "ModelServer") -> None:
    await server.close()
    await asyncio.sleep(FINISH_S)
    await _end_answers(server)


@stop_way("closes its listener, and exits 0.1 s after its answers")
async def _close_and_finish(server: "ModelServer") -> None:
    await server.close()
    server.stopping.set()
    await asyncio.sleep(2 * FINISH_S)
    server.end()


@stop_way("closes its listener, and exits 1 s after its answers")
async def _close_and_stay(server: "ModelServer") -> None:
    await server.close()
    server.stopping.set()
    await asyncio.sleep(FINISH_S + 1.0)
    server.end()


@stop_way("exits 0.06 s after its answers")
async def _finish_and_exit(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(FINISH_S + 0.06)
    server.end()


@stop_way("ends its answers and lives on")
async def _end_answers_alone(server: "ModelServer") -> None:
    server.stopping.set()


@stop_way("ends its answers and exits beside its successor")
async def _end_beside_successor(server: "ModelServer") -> None:
    """End while another process takes the connections that are made to its address."""
    server.stopping.set()
    await asyncio.sleep(WRITTEN_S)
    await server.end_and_replace()


@stop_way("ends its answers and is replaced")
async def _be_replaced(server: "ModelServer") -> None:
    server.stopping.set()
    await asyncio.sleep(WRITTEN_S)
    await server.restart()


@stop_way("ends its answers and another takes its name")
async def _lose_name(server: "ModelServer") -> None:
    await _be_replaced(server)
    assert server.successor is not None
    server.successor.resets = 0


@step("3 until it stops")
async def _events_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    await _wait_for_stop(server, request, writer)
    writer.write(LAST_CHUNK)


@step("3 and one without an id until it stops")
async def _events_and_one_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    write_event(writer, b"data: token4\n\n")
    await _wait_for_stop(server, request, writer)
    writer.write(LAST_CHUNK)


@step("3 until it stops and closes")
async def _events_until_stop_and_close(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """End the connection too, as a server that stops serves no further request on it."""
    await _events_until_stop(server, request, writer)
    writer.close()


@step("3 and the rest as it stops")
async def _finish_events(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole stream that ends by itself after the stop has begun."""
    await send_events(server, request, writer, 3)
    await _wait_for_stop(server, request, writer)
    await asyncio.sleep(FINISH_S)
    for number in range(4, STREAM_EVENTS + 1):
        write_event(writer, make_event(server, number))
    writer.write(LAST_CHUNK)
    server.end_well(request)


@step("3 and the rest as it stops and closes")
async def _finish_events_and_close(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _finish_events(server, request, writer)
    writer.close()


@step("3 and the rest as it stops and closes as said")
async def _finish_events_and_close_as_said(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    server.extra_header_lines.append("Connection: close")
    await _finish_events_and_close(server, request, writer)


@step("an event each 0.02 s")
async def _events_on_and_on(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a stream that goes on whatever the server does."""
    begin_events(server, request, writer)
    for number in itertools.count(1):
        write_event(writer, make_event(server, number))
        await asyncio.sleep(0.02)
        if writer.is_closing():
            raise ConnectionResetError


@step("3 and no more")
async def _events_and_silence(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and nothing more for as long as the connection is open."""
    await send_events(server, request, writer, 3)
    while not writer.is_closing():
        await asyncio.sleep(0.02)
    raise ConnectionResetError


@step("no event until it stops")
async def _no_event_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    begin_events(server, request, writer)
    await server.stopping.wait()
    writer.write(LAST_CHUNK)


@step("half until it stops")
async def _half_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _send_until_stop(server, request, writer, make_body(request)[:5])


@step("half until it stops and closes")
async def _half_until_stop_and_close(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _half_until_stop(server, request, writer)
    writer.close()


@step("all until it stops")
async def _all_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _send_until_stop(server, request, writer, make_body(request))


@step("half of JSON until it stops")
async def _half_json_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _send_until_stop(server, request, writer, JSON_BODY[:9], "application/json")


@step("JSON until it stops")
async def _json_until_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _send_until_stop(server, request, writer, JSON_BODY, "application/json")


async def _wait_for_stop(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Wait until the server stops, as a run that goes on and has made three events.

    :raises ConnectionResetError: if the run was stopped by itself before.
    """
    with server.send_stream(request, writer) as note_made:
        note_made(3)
        await server.stopping.wait()
    if writer.is_closing():
        raise ConnectionResetError


async def _send_until_stop(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    body: bytes,
    type_: str = "",
) -> None:
    headers = record_run(server, request)
    headers |= {"Content-Length": "", "Transfer-Encoding": "chunked", "Content-Type": type_}
    send(server, writer, 200, b"", headers)
    write_event(writer, body)
    await server.stopping.wait()
    writer.write(LAST_CHUNK)
