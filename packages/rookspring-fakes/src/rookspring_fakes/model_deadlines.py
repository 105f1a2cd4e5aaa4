"""Steps of the fake model server that end an answer in chunks, cleanly, as its time is over."""

import asyncio
import time
import typing as t

from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .model_streams import begin_events
from .model_streams import send_events

if t.TYPE_CHECKING:
    from .model_server import ModelServer

LAST_CHUNK = b"0\r\n\r\n"


async def wait_for_deadline(server: "ModelServer", request: ReceivedRequest) -> None:
    """Wait until the time that a request states is over, by a clock that runs ahead."""
    until = request.time_ends_at - server.clock_ahead_s
    await asyncio.sleep(max(0.0, until - time.monotonic()))


@step("3 until its deadline")
async def _events_until_deadline(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    await wait_for_deadline(server, request)
    writer.write(LAST_CHUNK)


@step("no event until its deadline")
async def _no_event_until_deadline(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    begin_events(server, request, writer)
    await wait_for_deadline(server, request)
    writer.write(LAST_CHUNK)


@step("half until its deadline")
async def _half_until_deadline(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send half of a body in chunks."""
    headers = record_run(server, request)
    headers |= {"Content-Length": "", "Transfer-Encoding": "chunked"}
    send(server, writer, 200, b"", headers)
    half = make_body(request)[:5]
    writer.write(b"%x\r\n%b\r\n" % (len(half), half))
    await wait_for_deadline(server, request)
    writer.write(LAST_CHUNK)
