"""Steps of the fake model server whose streams have comments, other line ends or a leading mark.

All are allowed by the event-stream standard. Each answer has chunks, so that its end is shown.
"""

import asyncio
import codecs
import typing as t

from .model_server import STREAM_EVENTS
from .model_server import ModelServer
from .model_server import ReceivedRequest
from .model_server import step

# How long an answer takes from its first comment to its first event, in seconds.
READING_S = 0.3
BREAK_AFTER = 3
COMMENT = b": ping\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class Shape(t.NamedTuple):
    """Streams of one kind.

    :param event: an event, with a place for its number.
    :param lead: bytes before the first event, sent ``READING_S`` earlier.
    :param tail: bytes after the last event of a whole stream.
    """

    event: bytes
    lead: bytes = b""
    tail: bytes = b""


SHAPES = {
    "with keep-alives": Shape(b": ping\nid: %d\n: ping\ndata: token\n\n: ping\n\n", COMMENT),
    "with carriage returns": Shape(b"id: %d\rdata: token\r\r"),
    "with mixed line ends": Shape(b"id: %d\r\ndata: token\n\r\n"),
    "after a mark": Shape(b"id: %d\ndata: token\n\n", codecs.BOM_UTF8),
    "and half a comment": Shape(b"id: %d\ndata: token\n\n", tail=b": pi"),
    "and half an event": Shape(b"id: %d\ndata: token\n\n", tail=b"event: a\n"),
}


async def _send_shape(
    server: ModelServer,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    shape: Shape,
    last: int,
) -> None:
    """Send the head, what leads and the events up to the last one."""
    _write_head(server, request, writer)
    if shape.lead:
        _write_chunk(writer, shape.lead)
        await writer.drain()
        await asyncio.sleep(READING_S)
    first = int(request.headers.get("last-event-id") or 0) + 1
    for number in range(first, last + 1):
        _write_chunk(writer, shape.event % number)
        await writer.drain()
        await server.pause()


def _write_head(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    server.runs.append(request.request_id)
    rows = (
        "HTTP/1.1 200 OK",
        f"X-Rookspring-Request-Id: {request.request_id}",
        f"X-Rookspring-Server-Stamp: {server.name}.{len(server.runs)}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    writer.write("".join(f"{row}\r\n" for row in rows).encode() + b"\r\n")


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


def _register(words: str, shape: Shape) -> None:
    @step(f"events {words}")
    async def _whole(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await _send_shape(server, request, writer, shape, STREAM_EVENTS)
        if shape.tail:
            _write_chunk(writer, shape.tail)
        writer.write(LAST_CHUNK)

    @step(f"{BREAK_AFTER} {words}")
    async def _broken(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await _send_shape(server, request, writer, shape, BREAK_AFTER)
        await writer.drain()
        writer.close()


for _words, _shape in SHAPES.items():
    _register(_words, _shape)


@step("keep-alives alone")
async def _comments(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send comments, and close the connection before the first event."""
    _write_head(server, request, writer)
    for _ in range(2):
        _write_chunk(writer, COMMENT)
        await writer.drain()
        await server.pause()
    writer.close()


@step("2 that reset the id")
async def _reset_id(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an event with an id and one that resets it, and close the connection."""
    _write_head(server, request, writer)
    _write_chunk(writer, b"id: 1\ndata: token\n\nid\ndata: token\n\n")
    await writer.drain()
    writer.close()
