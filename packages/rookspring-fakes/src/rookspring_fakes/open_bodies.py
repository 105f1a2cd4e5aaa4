"""Steps of the stand-in endpoint that answer with bodies without a length, ended by a close.

The bodies are the same for each request, so that two runs of one may give the same bytes.
"""

import asyncio
import gzip
import typing as t

from .model_server import ModelServer
from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import step
from .resets import reset_connection

# Of b"answer" with SHA-256, and of other bytes.
ANSWER_DIGEST = "sha-256=:DbUvQHbAglGEEq/T3TV24ssMY3A/1/7V4jreYO/vMdk=:"
OTHER_DIGEST = "sha-256=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:"


class OpenBody(t.NamedTuple):
    """An answer, all but the headers that each answer has.

    :param rows: more of its headers.
    """

    body: bytes
    rows: tuple[str, ...] = ()
    status: int = 200


JSON = "Content-Type: application/json"
OPEN_BODIES = {
    "open text": OpenBody(b"answer"),
    "open half text": OpenBody(b"ans"),
    "open nothing": OpenBody(b""),
    "open json": OpenBody(b'{"answer": 1}', (JSON,)),
    "open half json": OpenBody(b'{"answer": ', (JSON,)),
    "open json of another type": OpenBody(b'{"answer": 1}', ("Content-Type: text/plain",)),
    "open digest": OpenBody(b"answer", (f"Content-Digest: {ANSWER_DIGEST}",)),
    "open half digest": OpenBody(b"ans", (f"Content-Digest: {ANSWER_DIGEST}",)),
    "open json of another digest": OpenBody(
        b'{"answer": 1}', (JSON, f"Content-Digest: {OTHER_DIGEST}")
    ),
    "open text of another digest": OpenBody(b"answer", (f"Content-Digest: {OTHER_DIGEST}",)),
    "open text of a coding": OpenBody(b"answer", ("Transfer-Encoding: gzip",)),
    "open half text of a coding": OpenBody(b"ans", ("Transfer-Encoding: gzip",)),
    "open json of a coding": OpenBody(
        b'{"answer": 1}', (JSON, "Transfer-Encoding: chunked, identity")
    ),
    "open 500 of a coding": OpenBody(b"failed", ("Transfer-Encoding: gzip",), 500),
    "open 404": OpenBody(b"absent", (), 404),
    "open 404 json": OpenBody(b'{"error": "absent"}', (JSON,), 404),
    "open 500": OpenBody(b"failed", (), 500),
    "open answer of status 201": OpenBody(b"answer", (), 201),
}
ENDINGS = ("", "end after ", "reset after ")
# Until what was sent has been read, so that a reset does not take it away.
READ_S = 0.02


async def _write_open(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter, answer: OpenBody
) -> None:
    stated = record_run(server, request)
    rows = (*(f"{key}: {value}" for key, value in stated.items()), *answer.rows)
    head = "".join(f"{row}\r\n" for row in (f"HTTP/1.1 {answer.status} X", *rows))
    writer.write(head.encode() + b"\r\n" + answer.body)
    await writer.drain()


def _register(name: str, ending: str, answer: OpenBody) -> None:
    @step(ending + name)
    async def _send_open(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await _write_open(server, request, writer, answer)
        if ending == "end after ":
            server.end()
        if ending == "reset after ":
            await asyncio.sleep(READ_S)
            reset_connection(writer.transport)
        writer.close()


for _ending in ENDINGS:
    for _name, _answer in OPEN_BODIES.items():
        _register(_name, _ending, _answer)


def _register_held(name: str, answer: OpenBody) -> None:
    @step(f"{name} as it stops")
    async def _close_as_it_stops(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send the body, and close its connection as the server stops."""
        await _write_open(server, request, writer, answer)
        await server.stopping.wait()
        writer.close()


for _name in ("open text", "open nothing", "open json"):
    _register_held(_name, OPEN_BODIES[_name])


def _register_last(name: str, answer: OpenBody) -> None:
    @step(f"{name} once it stops")
    async def _send_as_it_stops(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send the body as the server stops, and close its connection right behind it."""
        await _write_open(server, request, writer, answer._replace(body=b""))
        await server.stopping.wait()
        writer.write(answer.body)
        writer.close()


for _name in ("open text", "open json"):
    _register_last(_name, OPEN_BODIES[_name])


@step("open refusal")
async def _refuse_open(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """State in a head without a length that the request was not run, and close the connection."""
    rows = (f"X-Rookspring-Request-Id: {request.request_id}", "X-Rookspring-Not-Executed: 1")
    head = "".join(f"{row}\r\n" for row in ("HTTP/1.1 503 X", *rows))
    writer.write(head.encode() + b"\r\nfull, co")
    await writer.drain()
    writer.close()


# The codings of a body in chunks, by their words. Its bytes are the coded ones.
CODINGS = {
    "gzip and chunks": ("Transfer-Encoding: gzip, chunked",),
    "gzip and chunks in two rows": ("Transfer-Encoding: gzip", "Transfer-Encoding: chunked"),
    "identity and chunks": ("Transfer-Encoding: identity, chunked",),
}


def _register_coded(words: str, rows: tuple[str, ...]) -> None:
    @step(f"answer in {words}")
    async def _send_coded(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = make_body(request) if "gzip" not in words else gzip.compress(make_body(request))
        stated = (f"{key}: {value}" for key, value in record_run(server, request).items())
        head = "".join(f"{row}\r\n" for row in ("HTTP/1.1 200 X", *stated, *rows))
        writer.write(head.encode() + b"\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
        await writer.drain()


for _words, _rows in CODINGS.items():
    _register_coded(_words, _rows)
