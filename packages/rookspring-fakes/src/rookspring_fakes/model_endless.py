"""Steps of the fake model server whose answers never end, and its report that never does."""

import asyncio
import typing as t

from .model_steps import ReceivedRequest
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .model_streams import send_events

if t.TYPE_CHECKING:
    from .model_server import ModelServer


FLOOD_EVENT_BYTES = 64 << 10
ENDLESS_PART_BYTES = 16 << 10
# Events or chunks that are written at once.
SMALL_EVENTS = 5000


@step("flood")
async def _flood(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a stream without end, as fast as it is taken."""
    headers = record_run(server, request)
    headers |= {"Content-Length": "", "Transfer-Encoding": "chunked"}
    send(server, writer, 200, b"", headers)
    data = b"id: 1\ndata: " + b"x" * FLOOD_EVENT_BYTES + b"\n\n"
    while True:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        server.flooded_bytes += len(data)


async def _send_without_end(writer: asyncio.StreamWriter, first: bytes, part: bytes) -> None:
    """Send some bytes, then others again and again, as fast as they are taken."""
    writer.write(first)
    while True:
        writer.write(part)
        await writer.drain()


def _head_without_end(server: "ModelServer", request: ReceivedRequest) -> bytes:
    rows = "".join(f"{key}: {value}\r\n" for key, value in record_run(server, request).items())
    return f"HTTP/1.1 200 OK\r\n{rows}".encode()


@step("headers without end")
async def _headers_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = _head_without_end(server, request)
    await _send_without_end(writer, head, (b"X-Row: " + b"x" * 1000 + b"\r\n") * 16)


@step("interim heads without end")
async def _interim_heads_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    record_run(server, request)
    await _send_without_end(writer, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 512)


@step("extension without end")
async def _extension_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a chunk whose extension never ends."""
    head = _head_without_end(server, request) + b"Transfer-Encoding: chunked\r\n\r\n1;"
    await _send_without_end(writer, head, b"e" * ENDLESS_PART_BYTES)


@step("body without end")
async def _body_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = _head_without_end(server, request) + b"\r\n"
    await _send_without_end(writer, head, b"b" * ENDLESS_PART_BYTES)


@step("event without end")
async def _event_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and a fourth that never ends."""
    await send_events(server, request, writer, 3)
    part = _make_chunk(b"d" * ENDLESS_PART_BYTES)
    await _send_without_end(writer, b"c\r\nid: 4\ndata: \r\n", part)


async def report_without_end(server: "ModelServer", writer: asyncio.StreamWriter) -> None:
    """Send a report that never ends, and count the bytes of it that are taken."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        writer.write(b" " * ENDLESS_PART_BYTES)
        await writer.drain()
        server.report_bytes += ENDLESS_PART_BYTES


@step("chunks without end")
async def _chunks_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = _head_without_end(server, request) + b"Transfer-Encoding: chunked\r\n\r\n"
    await _send_without_end(writer, head, _make_chunk(b"b" * ENDLESS_PART_BYTES))


@step("length without end")
async def _length_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body whose stated length is never reached."""
    head = _head_without_end(server, request) + b"Content-Length: 99999999999\r\n\r\n"
    await _send_without_end(writer, head, b"b" * ENDLESS_PART_BYTES)


@step("small events without end")
async def _small_events_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send events of a byte, many in a chunk, as fast as they are taken."""
    headers = record_run(server, request)
    headers |= {"Content-Length": "", "Transfer-Encoding": "chunked"}
    send(server, writer, 200, b"", headers | {"Content-Type": "text/event-stream"})
    await _send_without_end(writer, b"", _make_chunk(b"data: x\n\n" * SMALL_EVENTS))


@step("small chunks without end")
async def _small_chunks_without_end(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send chunks of a byte, as fast as they are taken."""
    head = _head_without_end(server, request) + b"Transfer-Encoding: chunked\r\n\r\n"
    await _send_without_end(writer, head, _make_chunk(b"b") * SMALL_EVENTS)


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
