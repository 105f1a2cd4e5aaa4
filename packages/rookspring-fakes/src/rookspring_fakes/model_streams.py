"""Steps of the fake model server that send streams in chunks, whole or broken off."""

import asyncio
import typing as t

from .model_steps import STREAM_EVENTS
from .model_steps import ReceivedRequest
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .resets import reset_connection

if t.TYPE_CHECKING:
    from .model_server import ModelServer


# The path of streams that may be sent to one endpoint alone.
ONE_ATTEMPT = "POST /stream/"


@step("stream")
async def _stream(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, STREAM_EVENTS)
    if writer.is_closing():
        raise ConnectionResetError
    writer.write(b"0\r\n\r\n")
    server.end_well(request)


@step("stream anew")
async def _stream_anew(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the stream from its first event, whatever event the request names as the last."""
    request.headers.pop("last-event-id", None)
    await _stream(server, request, writer)


@step("break after 2 without ids")
async def _break_2_without_ids(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    begin_events(server, request, writer)
    for number in (1, 2):
        write_event(writer, f"data: token{number}\n\n".encode())
        await writer.drain()
    writer.close()


@step("break after 3 and one without an id")
async def _break_3_and_one_without_id(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Break off after an event that names no place at which another run could go on."""
    await send_events(server, request, writer, 3)
    write_event(writer, b"data: token4\n\n")
    await writer.drain()
    writer.close()


@step("stream of no event")
async def _stream_of_none(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    begin_events(server, request, writer)
    writer.write(b"0\r\n\r\n")


@step("comment unframed")
async def _comment_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a comment and no event, without a length or chunks, and close the connection."""
    headers = record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n: on its way\n\n".encode())
    await writer.drain()
    writer.close()


@step("stream without ids")
async def _stream_without_ids(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    begin_events(server, request, writer)
    write_event(writer, b"data: token\n\n")
    writer.write(b"0\r\n\r\n")


@step("go back after 3")
async def _go_back(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, the second again, and the rest."""
    await send_events(server, request, writer, 3)
    for number in (2, 4, 5):
        write_event(writer, f"id: {number}\ndata: token{number}\n\n".encode())
    writer.write(b"0\r\n\r\n")


@step("stand still after 3")
async def _stand_still(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and the third and the rest at once."""
    await send_events(server, request, writer, 3)
    write_event(writer, b"".join(b"id: %d\ndata: x\n\n" % number for number in (3, 4, 5)))
    writer.write(b"0\r\n\r\n")


@step("break after 3")
async def _break_3(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    await writer.drain()
    writer.close()


@step("reset after 3")
async def _reset_3(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    reset_connection(writer.transport)


@step("tear the 4th")
async def _tear_4(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of an event."""
    await send_events(server, request, writer, 3)
    writer.write(b"8\r\nid: 4\nda\r\n")
    await writer.drain()
    writer.close()


@step("end within the 4th")
async def _end_within_4(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """End the answer in the middle of an event, and keep the connection."""
    await send_events(server, request, writer, 3)
    writer.write(b"8\r\nid: 4\nda\r\n0\r\n\r\n")


@step("tear the 6th")
async def _tear_6(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of the event after the usual last one."""
    await send_events(server, request, writer, STREAM_EVENTS)
    writer.write(b"8\r\nid: 6\nda\r\n")
    await writer.drain()
    writer.close()


@step("stall after 3")
async def _stall_after_3(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await send_events(server, request, writer, 3)
    with server.send_stream(request, writer):
        await asyncio.sleep(30.0)


def make_event(server: "ModelServer", number: int) -> bytes:
    """Return an event, which names the server's version."""
    return f"id: {number}\ndata: token{number} {server.version}\n\n".encode()


async def send_events(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter, last: int
) -> None:
    """Send a stream's head and the events after the one that the request names, in chunks.

    A run of one attempt that goes on from a copy sends the last one again. No event is made once
    the time that the request states is over.

    :raises ConnectionResetError: if the connection is closing.
    """
    begin_events(server, request, writer)
    first = int(request.headers.get("last-event-id") or 0) + 1
    if request.continues and request.line.startswith(ONE_ATTEMPT):
        first = max(1, first - 1)
    with server.send_stream(request, writer) as note_made:
        for number in range(first, last + 1):
            if writer.is_closing():
                raise ConnectionResetError
            write_event(writer, make_event(server, number))
            note_made(number)
            await writer.drain()
            if await server.pause(request.time_ends_at):
                return


def begin_events(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Write the head of a stream in chunks."""
    headers = record_run(server, request)
    headers |= {
        "Content-Length": "",
        "Transfer-Encoding": "chunked",
        "Content-Type": "text/event-stream",
    }
    send(server, writer, 200, b"", headers)


def write_event(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write some bytes as one chunk."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
