"""Mutants of where an answer ends: what is cut must be told from what is whole."""

import typing as t

import httptools
import orjson
from returns.result import Result
from returns.result import Success

from rookspring import _client_connection
from rookspring import _reply
from rookspring import endpoints
from rookspring import http_platform
from rookspring import http_server
from rookspring._client_connection import ClientConnection
from rookspring.exceptions import EndpointError
from rookspring.exceptions import PlatformError
from rookspring.http_platform import HttpPlatform
from rookspring_platform import store

from .mutant import CUT_HEADS
from .mutant import CUT_HEADS_SOCKETS
from .mutant import Mutant

RULE = "an answer that is cut short does not look complete"


def _end_at_any_close(self: ClientConnection, exc: Exception | None) -> None:
    """Take every regular close for the end of the answer."""
    self.open = False
    begun = self._reply is not None and self._reply.head is not None
    if begun and exc is None and not self._skipping:
        self._finish()
    else:
        _lose(self, exc)


_lose = ClientConnection.connection_lost


def _end_at_any_loss(self: ClientConnection, exc: Exception | None) -> None:
    """Take a reset for a close."""
    _lose(self, None)


def _go_on_with_answer(self: ClientConnection) -> None:
    """Keep what is known of the answer before, which may have been another request's."""
    if self._reply is None:
        raise ValueError("surplus answer")


async def _read_what_came(self: _reply.Reply, most: int, memory: t.Any) -> bytes:
    body = b""
    try:
        while part := await self.next_part():
            body += part
    except EndpointError:
        pass
    return body


def _decode_leniently(raw: bytes) -> t.Any:
    try:
        return _decode(raw)
    except ValueError:
        return {"items": [], "events": [], "as-of": 1, "metadata": {"name": "a", "revision": 3}}


_decode = store.decode_body


def _by_any_coding(response: t.Any, method: str) -> bool:
    return any(name in response.headers for name in ("Content-Length", "Transfer-Encoding"))


def _raise_at_a_cut_body(
    self: HttpPlatform, path: str, status: int, raw: bytes
) -> Result[t.Any, PlatformError]:
    return Success(orjson.loads(raw)) if status == 200 else _to_result(self, path, status, raw)


_to_result = HttpPlatform._to_result


def _refuse_offers(self: http_server.ServerConnection, data: bytes) -> None:
    try:
        self._parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        self._reject(400)


def _read_any_shape(answer: t.Any, read: t.Callable[[t.Any], t.Any]) -> t.Any:
    return answer.map(read)


def _read_any_chunk(line: bytes) -> endpoints.Chunk:
    raw = orjson.loads(line)
    end = raw.get("end")
    return (
        endpoints.Chunk(raw["offset"], raw["tokens"])
        if end is None
        else endpoints.Chunk(-1, (), end)
    )


MUTANTS = (
    Mutant(
        "takes any close for an end",
        RULE,
        ClientConnection,
        "connection_lost",
        _end_at_any_close,
        CUT_HEADS,
    ),
    Mutant(
        "takes a reset for a close",
        RULE,
        ClientConnection,
        "connection_lost",
        _end_at_any_loss,
        CUT_HEADS,
    ),
    Mutant(
        "goes on with the answer before",
        "an answer belongs to one request",
        ClientConnection,
        "on_message_begin",
        _go_on_with_answer,
        CUT_HEADS,
    ),
    Mutant(
        "takes what came of a body for all of it",
        RULE,
        _reply.Reply,
        "read_rest",
        _read_what_came,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "takes what the store did not say for nothing",
        "an answer of the store that can't be read is a failure",
        store,
        "decode_body",
        _decode_leniently,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "takes a status below 100 for an interim one",
        "an answer has one body",
        _client_connection,
        "STATUS_MIN",
        0,
        CUT_HEADS,
    ),
    Mutant(
        "ends a body that an answer has not",
        "an answer has one body",
        http_server,
        "BODILESS_STATUSES",
        frozenset(),
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "takes any coding for chunks",
        RULE,
        endpoints,
        "_shows_end",
        _by_any_coding,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "takes a service's interim head for its answer",
        "an answer has a final status",
        endpoints,
        "FINAL_STATUS_MIN",
        0,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "raises at a cut body of the platform",
        "an answer of the store that can't be read is a failure",
        HttpPlatform,
        "_to_result",
        _raise_at_a_cut_body,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "refuses requests that offer an upgrade",
        "an offer of another protocol may be declined, not refused",
        http_server.ServerConnection,
        "_parse",
        _refuse_offers,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "raises at a platform's answer of another shape",
        "an answer of the store that can't be read is a failure",
        http_platform,
        "_read",
        _read_any_shape,
        CUT_HEADS_SOCKETS,
    ),
    Mutant(
        "raises at a chunk of another shape",
        "an answer that can't be read is a failure",
        endpoints,
        "_read_chunk",
        _read_any_chunk,
        CUT_HEADS_SOCKETS,
    ),
)
