"""Steps of the fake model server whose answers have no length and end with their connection."""

import asyncio
import time
import typing as t

import orjson

from .model_steps import STREAM_EVENTS
from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import step
from .model_streams import make_event
from .resets import reset_connection

if t.TYPE_CHECKING:
    from .model_server import ModelServer


MUTE_S = 30.0
LONG_EVENT_BYTES = 4 << 10


async def _live_on(server: "ModelServer") -> None:
    return None


async def _end(server: "ModelServer") -> None:
    server.end()


async def _be_replaced(server: "ModelServer") -> None:
    await server.end_and_replace()


async def _restart(server: "ModelServer") -> None:
    await server.restart()


async def _fall_silent(server: "ModelServer") -> None:
    server.mute = True


HALF_CLOSE_WORDS = "half close after "
# What a process does at the end of an answer without a length, by the words that name it in a step.
ENDINGS: dict[str, t.Callable[["ModelServer"], t.Awaitable[None]]] = {
    "": _live_on,
    "end after ": _end,
    "be replaced after ": _be_replaced,
    "restart after ": _restart,
    "fall silent after ": _fall_silent,
    HALF_CLOSE_WORDS: _live_on,
}


def _register_unframed(words: str, ending: t.Callable[["ModelServer"], t.Awaitable[None]]) -> None:
    """Register answers without a length, which end with their connection, by how they end."""

    async def finish(server: "ModelServer", writer: asyncio.StreamWriter) -> None:
        await writer.drain()
        server.before_close()
        await ending(server)
        if words == HALF_CLOSE_WORDS:
            # The caller closes the other half.
            writer.write_eof()
            await asyncio.sleep(MUTE_S)
        writer.close()

    @step(f"{words}unframed")
    async def _unframed(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        write_unframed_head(server, request, writer)
        await finish(server, writer)

    @step(f"{words}half unframed")
    async def _half_unframed(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Close the connection in the midst of a body without a length."""
        write_unframed_head(server, request, writer, make_body(request)[:10])
        await finish(server, writer)

    @step(f"{words}unframed events")
    async def _unframed_events(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await write_unframed_events(server, request, writer, STREAM_EVENTS)
        await finish(server, writer)

    @step(f"{words}3 unframed")
    async def _unframed_3(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await write_unframed_events(server, request, writer, 3)
        await finish(server, writer)


for _words, _ending in ENDINGS.items():
    _register_unframed(_words, _ending)


@step("unframed reset")
async def _unframed_reset(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    write_unframed_head(server, request, writer)
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer.transport)


@step("reset after 3 unframed")
async def _reset_3_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await write_unframed_events(server, request, writer, 3)
    reset_connection(writer.transport)


@step("end 1.5 s after 3 unframed")
async def _end_late_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection between two events, some time after the one before."""
    await write_unframed_events(server, request, writer, 3)
    await asyncio.sleep(1.5)
    writer.close()


@step("end 1.5 s after 4 unframed and a pause")
async def _end_late_after_pause_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection some time after an event that comes after a pause."""
    await write_unframed_events(server, request, writer, 3)
    await asyncio.sleep(0.5)
    await write_events(writer, 4, 4)
    await asyncio.sleep(1.5)
    writer.close()


@step("pause for 0.3 s after 3 unframed")
async def _pause_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _pause_after_3_unframed(server, request, writer, 0.3)


@step("pause for 1.5 s after 3 unframed")
async def _pause_long_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _pause_after_3_unframed(server, request, writer, 1.5)


@step("3 unframed and no more")
async def _events_and_silence_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and nothing more for as long as the connection is open."""
    await write_unframed_events(server, request, writer, 3)
    while not writer.is_closing():
        await asyncio.sleep(0.002)


@step("unframed events as it stops")
async def _unframed_as_it_stops(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the events after the third as the server stops, and close the connection."""
    await write_unframed_events(server, request, writer, 3)
    await server.stopping.wait()
    await write_events(writer, 4, STREAM_EVENTS)
    writer.close()


@step("unframed events that it closes as it stops")
async def _close_as_it_stops(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send all events, and close the connection as the server stops."""
    await write_unframed_events(server, request, writer, STREAM_EVENTS)
    await server.stopping.wait()
    writer.close()


@step("unframed without events")
async def _no_unframed_events(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection after the head of a stream, and drop the run."""
    await write_unframed_events(server, request, writer, 0)
    writer.close()


# Answers to a request of nobody, which stand behind an answer without a length.
OTHERS = {
    "of events": b"id: 6\ndata: another\n\nid: 7\ndata: another\n\n",
    "of text": b"another",
}


def _register_followed(words: str, events: int, other: bytes) -> None:
    """Register streams without a length that another answer follows on their connection."""

    @step(words)
    async def _followed(
        server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await write_unframed_events(server, request, writer, events)
        head = b"HTTP/1.1 200 OK\r\nX-Rookspring-Request-Id: nobody\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % len(other) + other)
        await writer.drain()
        writer.close()


for _words, _other in OTHERS.items():
    _register_followed(f"unframed events and another answer {_words}", STREAM_EVENTS, _other)
    _register_followed(f"no unframed event and another answer {_words}", 0, _other)


@step("be slow to begin 3 long unframed")
async def _slow_long_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send nothing for long, then three long events at once, and close the connection."""
    await asyncio.sleep(1.5)
    await write_unframed_events(server, request, writer, 3, LONG_EVENT_BYTES)
    writer.close()


@step("be slow to begin unframed events")
async def _slow_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(1.5)
    await write_unframed_events(server, request, writer, STREAM_EVENTS)
    writer.close()


async def _pause_after_3_unframed(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter, seconds: float
) -> None:
    await write_unframed_events(server, request, writer, 3)
    await asyncio.sleep(seconds)
    await write_events(writer, 4, STREAM_EVENTS)
    writer.close()


async def _close_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    writer.close()


async def _tear_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    writer.write(event[: len(event) // 2])
    await writer.drain()
    writer.close()


async def _reset_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    reset_connection(writer.transport)


# How a resumable stream without a length ends, by what is done in place of an event: the one after
# the last, or one of the others.
RESUMABLE_ENDS: dict[str, t.Callable[[asyncio.StreamWriter, bytes], t.Awaitable[None]]] = {
    "whole": _close_there,
    "closed": _close_there,
    "torn": _tear_there,
    "reset": _reset_there,
}


@step("unframed stream")
async def _unframed_stream(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the events after the last one that the request names, without a length or chunks."""
    headers = record_run(server, request) | {"Content-Type": "text/event-stream"}
    lines = [f"{key}: {value}" for key, value in headers.items()]
    rows = "".join(f"{line}\r\n" for line in (*lines, *server.extra_header_lines))
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    first = int(request.headers.get("last-event-id") or 0) + 1
    ending = server.random.choice(server.unframed_ends)
    stop = STREAM_EVENTS + 1
    if ending != "whole":
        stop = server.random.randrange(min(first, STREAM_EVENTS), STREAM_EVENTS + 1)
    with server.send_stream(request, writer) as note_made:
        for number in range(first, stop):
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(make_event(server, number))
            note_made(number)
            await writer.drain()
            await server.pause()
    if writer.is_closing():
        raise ConnectionResetError
    await RESUMABLE_ENDS[ending](writer, make_event(server, stop))
    if ending == "whole":
        server.closed_well[request.request_id] = time.monotonic()


@step("unframed json")
async def _unframed_json(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body that ends with its connection, and shows its end by its syntax."""
    body = orjson.dumps(make_body(request).decode())
    write_unframed_head(server, request, writer, body, ("Content-Type: application/json",))
    await writer.drain()
    writer.close()
    server.closed_well[request.request_id] = time.monotonic()


async def write_unframed_events(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    last: int,
    padding: int = 0,
) -> None:
    """Send a stream's head without a length, and its events to the last."""
    headers = record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    await write_events(writer, 1, last, padding)


async def write_events(
    writer: asyncio.StreamWriter, first: int, last: int, padding: int = 0
) -> None:
    """Write some events as they are, each longer by the padding in bytes."""
    for number in range(first, last + 1):
        writer.write(f"id: {number}\ndata: token{number}{'.' * padding}\n\n".encode())
        await writer.drain()
        await asyncio.sleep(0.002)


def write_unframed_head(
    server: "ModelServer",
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    body: bytes | None = None,
    more: t.Sequence[str] = (),
) -> None:
    """Begin an answer without a length; its body is the usual one if none is given."""
    lines = [f"{key}: {value}" for key, value in record_run(server, request).items()]
    rows = "".join(f"{line}\r\n" for line in (*lines, *more, *server.extra_header_lines))
    data = make_body(request) if body is None else body
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode() + data)
