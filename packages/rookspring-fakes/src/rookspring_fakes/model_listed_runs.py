"""Steps of the fake model server whose answers have no length, and whose runs its reports list."""

import asyncio
import typing as t

from .model_steps import STREAM_EVENTS
from .model_steps import ReceivedRequest
from .model_steps import record_run
from .model_steps import step
from .model_unframed import write_events
from .model_unframed import write_unframed_events

if t.TYPE_CHECKING:
    from .model_server import ModelServer


@step("run on after 3 unframed")
async def _run_on_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run, which its reports list from then on."""
    await write_unframed_events(server, request, writer, 3)
    server.listed_runs = {request.request_id: 3}
    writer.close()


@step("drop 2 after 3 unframed")
async def _drop_2_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection before two more events that were made, and end the run."""
    await write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("run on for 0.23 s after 3 unframed")
async def _run_on_shortly_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection just before the end of a run; some reports list more than came."""
    await write_unframed_events(server, request, writer, 3)
    server.listed_runs = {request.request_id: 3}
    writer.close()
    await asyncio.sleep(0.02)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.21)


@step("be listed for 0.3 s after unframed events")
async def _stay_listed_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole stream; reports that are older than its end still list its run."""
    await write_unframed_events(server, request, writer, STREAM_EVENTS)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("list no run after unframed events")
async def _list_none_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await write_unframed_events(server, request, writer, STREAM_EVENTS)
    await _list_for(server, request, writer, 0, 0.0)


@step("list no run after 3 unframed")
async def _list_none_after_3(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run and drop it; reports list no run from then on."""
    await write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, 0, 0.0)


@step("rest of a listed run")
async def _listed_rest(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the events after the last one that is named; the report counts all of the stream."""
    headers = record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    await write_events(writer, int(request.headers["last-event-id"]) + 1, STREAM_EVENTS)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("run on after a while of no list of 3 unframed")
async def _run_on_unlisted_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run; reports of before its start don't list it yet."""
    await write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, 0, 0.3)
    server.listed_runs = {request.request_id: 3}


async def _list_for(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    made: int,
    seconds: float,
) -> None:
    """Close the connection, and list the run for some time, if it has made events."""
    server.listed_runs = {request.request_id: made} if made else {}
    writer.close()
    await asyncio.sleep(seconds)
    server.listed_runs = {}
