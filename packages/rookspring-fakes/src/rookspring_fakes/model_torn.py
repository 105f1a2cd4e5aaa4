"""Steps of the fake model server that break an answer off and send another behind it.

The other answer begins on the same connection without a line end before it, so that its first bytes
stand in the line, the chunk or the length that was broken off.
"""

import asyncio
import typing as t

from .model_steps import STREAM_EVENTS
from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import step

if t.TYPE_CHECKING:
    from .model_server import ModelServer

# What is sent of the event after the third.
TEARS = {
    "half a line": b"id: 4\ndata: tok",
    "half a name": b"id: 4\nda",
    "half a first line": b"i",
    "half a comment": b": pi",
    "half a mark": b"\xef\xbb",
}
OTHER_BODY = b"id: 6\ndata: another\n\nid: 7\ndata: another\n\n"
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nX-Rookspring-Request-Id: nobody\r\nContent-Length: %d\r\n\r\n"
# What stands behind the tear, by its words.
OTHERS = {
    "another answer": OTHER_HEAD % len(OTHER_BODY) + OTHER_BODY,
    "an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n" + OTHER_HEAD % len(OTHER_BODY),
    "half a status line": b"HTTP/1.1 2",
}
# Size of the chunk that is broken off, in bytes: the other answer ends within it, or goes on.
TORN_CHUNK_BYTES = 400
TORN_COMMENT_BYTES = 40
LARGE_EVENT_BYTES = 30 << 10
# Between parts that are read one by one, in seconds.
PART_PAUSE_S = 0.002
QUOTE = "GET / gives HTTP/1.1 200 OK"


def _event(number: int, text: str = "token") -> bytes:
    return f"id: {number}\ndata: {text}\n\n".encode()


def _write_head(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    framing: dict[str, str],
) -> None:
    headers = record_run(server, request) | {"Content-Type": "text/event-stream"} | framing
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())


def _in_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _register_torn(tear: bytes, other: bytes, words: str) -> None:
    @step(f"3 unframed and {words}")
    async def _torn_unframed(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        _write_head(server, request, writer, {})
        writer.write(b"".join(_event(number) for number in (1, 2, 3)) + tear)
        await writer.drain()
        writer.write(other)
        await writer.drain()
        writer.close()

    @step(f"3 in chunks and {words}")
    async def _torn_chunk(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        _write_head(server, request, writer, {"Transfer-Encoding": "chunked"})
        writer.write(b"".join(_in_chunk(_event(number)) for number in (1, 2, 3)))
        size = TORN_COMMENT_BYTES if tear.startswith(b":") else TORN_CHUNK_BYTES
        writer.write(b"%x\r\n" % size + tear)
        await writer.drain()
        writer.write(other)
        await writer.drain()
        writer.close()


@step("3 in a large chunk and half a line before another answer")
async def _torn_large_chunk(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Break off a chunk that is too large to be held until its end, and send another answer."""
    _write_head(server, request, writer, {"Transfer-Encoding": "chunked"})
    own = b"".join(_event(number, "token" + "x" * LARGE_EVENT_BYTES) for number in (1, 2, 3))
    writer.write(b"%x\r\n" % (2 * len(own)) + own + TEARS["half a line"])
    await writer.drain()
    writer.write(OTHERS["another answer"])
    await writer.drain()
    writer.close()


@step("3 with a length and half a line before another answer")
async def _torn_length(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    own = b"".join(_event(number) for number in (1, 2, 3)) + TEARS["half a line"]
    other = OTHERS["another answer"]
    _write_head(server, request, writer, {"Content-Length": str(len(own + other))})
    writer.write(own)
    await writer.drain()
    writer.write(other)
    await writer.drain()


# A part of a body, and the length that is stated of the whole.
TORN_BODY = b"answer to"
TORN_BODY_BYTES = 60
OTHER_ANSWER = OTHER_HEAD % 12 + b"of another q"
QUOTED_ANSWER = b"it said " + OTHER_ANSWER
# What stands behind a whole body, by its words.
SURPLUS = {"nothing": b"", "a surplus answer": OTHER_ANSWER, "surplus bytes": b"\x00\x01\x02"}


def _write_body(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    stated: int,
    data: bytes,
) -> None:
    headers = record_run(server, request) | {"Content-Length": str(stated)}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode() + data)


@step("another answer within the length of a body")
async def _filled_body(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _write_body(server, request, writer, TORN_BODY_BYTES, TORN_BODY + OTHER_ANSWER)
    await writer.drain()


@step("another answer in parts within the length of a body")
async def _filled_in_parts(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    data = TORN_BODY + OTHER_ANSWER
    _write_body(server, request, writer, TORN_BODY_BYTES, b"")
    for part in (TORN_BODY, data[len(TORN_BODY) : TORN_BODY_BYTES], data[TORN_BODY_BYTES:]):
        await writer.drain()
        writer.write(part)
        await asyncio.sleep(PART_PAUSE_S)


def _register_quote(words: str, surplus: bytes) -> None:
    @step(f"a body that quotes an answer before {words}")
    async def _quoted_body(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        _write_body(server, request, writer, len(QUOTED_ANSWER), QUOTED_ANSWER + surplus)
        await writer.drain()

    @step(f"a body before {words}")
    async def _body(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = make_body(request)
        _write_body(server, request, writer, len(body), body + surplus)
        await writer.drain()


for _words, _surplus in SURPLUS.items():
    _register_quote(_words, _surplus)
for _words, _tear in TEARS.items():
    _register_torn(_tear, OTHERS["another answer"], f"{_words} before another answer")
for _words, _other in OTHERS.items():
    if _words != "another answer":
        _register_torn(TEARS["half a line"], _other, f"half a line before {_words}")


@step("unframed events that quote a status line")
async def _quoted_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _write_head(server, request, writer, {})
    for number in range(1, STREAM_EVENTS + 1):
        writer.write(b": " + QUOTE.encode() + b"\n" + _event(number, QUOTE))
    await writer.drain()
    writer.close()


@step("a chunk in parts")
async def _chunk_in_parts(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send events in chunks that come in two parts each."""
    _write_head(server, request, writer, {"Transfer-Encoding": "chunked"})
    for number in range(1, STREAM_EVENTS + 1):
        data = _in_chunk(_event(number, QUOTE))
        for part in (data[:9], data[9:]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
