"""Steps of the fake model server's scripts, and what they read and write requests and answers with.

The modules of steps fill the registry, each with those of one form of answer.
"""

import asyncio
import time
import typing as t

if t.TYPE_CHECKING:
    from .model_server import ModelServer


STEPS: dict[
    str, t.Callable[["ModelServer", "ReceivedRequest", asyncio.StreamWriter], t.Awaitable[None]]
] = {}
S = t.TypeVar("S", bound=t.Callable[..., t.Awaitable[None]])
STREAM_EVENTS = 5
TWICE = " twice"


def step(name: str) -> t.Callable[[S], S]:
    """Register the function that handles a step of a script."""

    def register(function: S) -> S:
        STEPS[name] = function
        return function

    return register


class ReceivedRequest(t.NamedTuple):
    """One request as it was received, and when."""

    line: str
    headers: dict[str, str]
    body: bytes
    raw_headers: list[str]
    at: float = 0.0

    @property
    def request_id(self) -> str:
        """The request's id, as its caller set it."""
        return self.headers.get("x-rookspring-request-id", "")

    @property
    def continues(self) -> str:
        """The copy of a run that it goes on from; empty if it begins one."""
        return self.headers.get("kv-from", "")

    @property
    def time_ends_at(self) -> float:
        """When the time that it states is over; infinite if it states none."""
        return self.at + float(self.headers.get("x-rookspring-deadline-ms", "inf")) / 1000.0


class Recorder:
    """Passes on what is written to a connection, and keeps it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.written = bytearray()

    def write(self, data: bytes) -> None:
        """Write bytes to the connection."""
        self.written += data
        self._writer.write(data)

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._writer, name)


def shared_parts(request: ReceivedRequest) -> list[int]:
    """Return the parts of a request's prompt but for the last."""
    listed = request.headers.get("x-rookspring-prefix-hash", "").split(",")[:-1]
    return [int(part.partition(":")[0], 16) for part in listed]


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read a request with its body.

    :raises asyncio.IncompleteReadError: if the connection ends first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    rows = [line for line in lines[1:] if line]
    headers = {}
    for row in rows:
        key, _, value = row.partition(":")
        headers[key.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(lines[0], headers, body, rows, time.monotonic())


def send(
    server: "ModelServer",
    writer: "asyncio.StreamWriter | Recorder",
    status: int,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Write an answer; a header of the server's own is left out by an empty value."""
    rows = {"Content-Length": str(len(body)), "Keep-Alive": "timeout=20", **headers}
    lines = [f"{key}: {value}" for key, value in rows.items() if value]
    lines += server.extra_header_lines
    head = "".join(f"{line}\r\n" for line in (f"HTTP/1.1 {status} X", *lines))
    writer.write(head.encode() + b"\r\n" + body)


def record_run(server: "ModelServer", request: ReceivedRequest) -> dict[str, str]:
    """Record that a request ran, or went on; return the headers that its answer bears then."""
    (server.copies.continued if request.continues else server.runs).append(request.request_id)
    stamp = f"{server.name}.{len(server.runs)}"
    return {"X-Rookspring-Request-Id": request.request_id, "X-Rookspring-Server-Stamp": stamp}


def make_body(request: ReceivedRequest) -> bytes:
    """Return the usual body of the answer to a request."""
    return b"answer to " + request.request_id.encode()
