"""Steps of the fake model server that send whole answers, refusals and failures, or none."""

import asyncio
import typing as t

from .model_steps import ReceivedRequest
from .model_steps import make_body
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .resets import reset_connection

if t.TYPE_CHECKING:
    from .model_server import ModelServer


LONG_ANSWER_BYTES = 15 << 20
LARGE_ANSWER_BYTES = 8 << 20
# What a stalled answer sends of it, and then sends nothing for, in seconds.
STALLED_BYTES = 300 << 10
STALLED_S = 60.0
FAILED_BYTES = 1 << 20
LATE_ANSWER_S = 0.15


@step("answer")
async def _answer(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    send(server, writer, 200, make_body(request), record_run(server, request))


@step("answer and close")
async def _answer_and_close(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection after the answer, without a word of it before."""
    await _answer(server, request, writer)
    await writer.drain()
    writer.close()


@step("answer late")
async def _answer_late(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(LATE_ANSWER_S)
    await _answer(server, request, writer)


@step("answer at length")
async def _answer_at_length(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an answer that is larger than what the kernel buffers of a connection."""
    send(server, writer, 200, b"x" * LONG_ANSWER_BYTES, record_run(server, request))


@step("large answer")
async def _large_answer(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an answer of which some take all that a small node may hold."""
    send(server, writer, 200, b"x" * LARGE_ANSWER_BYTES, record_run(server, request))


@step("stalled answer")
async def _stalled_answer(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """State the length of a large answer, and send a small part of it."""
    headers = record_run(server, request) | {"Content-Length": str(LARGE_ANSWER_BYTES)}
    send(server, writer, 200, b"x" * STALLED_BYTES, headers)
    await asyncio.sleep(STALLED_S)


@step("fail at length")
async def _fail_at_length(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    send(server, writer, 500, b"f" * FAILED_BYTES, record_run(server, request))


@step("fail")
async def _fail(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    send(server, writer, 500, b"failed", record_run(server, request))


@step("refuse")
async def _refuse(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {"X-Rookspring-Request-Id": request.request_id, "X-Rookspring-Not-Executed": "1"}
    send(server, writer, 503, b"", headers)


@step("refuse quietly")
async def _refuse_quietly(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer 503 without the header that states that the request was not run, after running it."""
    send(server, writer, 503, b"", record_run(server, request))


@step("absent")
async def _absent(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {
        "X-Rookspring-Request-Id": request.request_id,
        "X-Rookspring-Instance-Id": server.name,
    }
    send(server, writer, 421, b"", headers)


@step("elsewhere")
async def _elsewhere(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {
        "X-Rookspring-Request-Id": request.request_id,
        "X-Rookspring-Instance-Id": "another",
    }
    send(server, writer, 421, b"", headers)


@step("surplus")
async def _surplus(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole answer, and a second one that belongs to no request."""
    await _answer(server, request, writer)
    send(server, writer, 200, b"of nobody", {"X-Rookspring-Request-Id": "nobody"})


@step("foreign first")
async def _foreign(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an answer to another request first, as if it were late."""
    send(server, writer, 200, b"of another", {"X-Rookspring-Request-Id": "another"})
    await _answer(server, request, writer)


@step("reset")
async def _reset(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    record_run(server, request)
    reset_connection(writer.transport)


@step("close")
async def _close(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    record_run(server, request)
    writer.close()


@step("half")
async def _half(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = record_run(server, request)
    headers["Content-Length"] = "100"
    send(server, writer, 200, b"only half", headers)
    await writer.drain()
    writer.close()


@step("nonsense")
async def _nonsense(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    record_run(server, request)
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


@step("not found")
async def _not_found(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    send(server, writer, 404, b"none", record_run(server, request))


@step("moved")
async def _moved(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    send(server, writer, 302, b"", record_run(server, request) | {"Location": "/elsewhere"})


@step("empty")
async def _empty(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole answer that is no stream and has no body."""
    send(server, writer, 200, b"", record_run(server, request))


@step("hang")
async def _hang(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    record_run(server, request)
    await asyncio.sleep(30.0)
