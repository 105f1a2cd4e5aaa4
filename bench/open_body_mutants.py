"""Mutants of what shows that a body is whole that has ended with its connection."""

import typing as t

from rookspring import defaults
from rookspring import relay_attempts
from rookspring import relay_bodies
from rookspring._client_connection import ClientConnection
from rookspring.http_client import ConnectionPool
from rookspring.http_messages import HttpHead
from rookspring_core import body_ends
from rookspring_core import defaults as core_defaults
from rookspring_core import recovering
from rookspring_core.body_ends import BodyCopy
from rookspring_core.body_ends import Sign

from .mutant import OPEN_BODIES
from .mutant import OPEN_BODIES_SOCKETS
from .mutant import Mutant

RULE = "an answer that is cut short does not look complete"
SOUND = "an endpoint that answers is neither ejected nor suspected"


def _always(*args: t.Any) -> bool:
    return True


async def _take_for_whole(
    context: t.Any, exchange: t.Any, reply: t.Any, head: t.Any, view: t.Any
) -> bytes:
    return t.cast(bytes, await reply.read_rest(defaults.ANSWER_BYTES_MAX, context.pool.answers))


def _compare_nothing(head: t.Any, body: bytes) -> None:
    return None


def _compare_one(head: t.Any, body: bytes) -> bool | None:
    """Take one digest that matches for enough."""
    stated = body_ends._read_digests(head.content_digests)
    found = [body_ends.DIGESTS[name](body).digest() == value for name, value in stated]
    return any(found) if found else _compare(head, body)


_compare = body_ends._compare_digests


def _take_empty(head: t.Any, body: bytes, check_json: t.Any, earlier: t.Any = ()) -> Sign:
    sign = _find_sign(head, body, check_json, earlier)
    if sign is Sign.NONE and body_ends.copy_body(head.status, body) in earlier:
        return Sign.EQUAL
    return sign


def _ignore_runs(head: t.Any, body: bytes, check_json: t.Any, earlier: t.Any = ()) -> Sign:
    return _find_sign(head, body, check_json)


def _keep_differing(head: t.Any, body: bytes, check_json: t.Any, earlier: t.Any = ()) -> Sign:
    sign = _find_sign(head, body, check_json, earlier)
    return Sign.NONE if sign is Sign.DIFFERS else sign


_find_sign = body_ends.find_sign


def _copy_no_status(status: int, body: bytes) -> BodyCopy:
    return _copy_body(200, body)


def _copy_beginning(status: int, body: bytes) -> BodyCopy:
    return _copy_body(status, body[:3])


_copy_body = body_ends.copy_body


def _count_as_failure(state: t.Any, request: t.Any, event: t.Any) -> t.Any:
    return _count_failure(state, request, event._replace(open_ended=False))


_count_failure = recovering._count_failure


def _submit_broken(context: t.Any, effect: t.Any, error: t.Any) -> None:
    error.broken = error.broken or error.open_ended
    _submit_failure(context, effect, error)


_submit_failure = relay_attempts._submit_failure


async def _never_down(self: ConnectionPool, address: str) -> bool:
    return False


def _frame_by_any_coding(self: HttpHead) -> str:
    return "chunks" if self.header(b"transfer-encoding") else _framing(self)


_framing = HttpHead.framing


def _lose_as_closed(self: ClientConnection, exc: Exception | None) -> None:
    """Take the reset of a body in a coding for its close."""
    reply = self._reply
    _connection_lost(self, exc)
    if reply is not None and reply.head is not None:
        reply.failed_by_close = reply.head.framing() == "close"


_connection_lost = ClientConnection.connection_lost


def _mutant(
    name: str, target: t.Any, attribute: str, replacement: t.Any, socket: bool = False
) -> Mutant:
    features = OPEN_BODIES_SOCKETS if socket else OPEN_BODIES
    return Mutant(name, RULE, target, attribute, replacement, features)


MUTANTS = (
    _mutant("takes any body for whole", relay_attempts, "read_body", _take_for_whole, True),
    _mutant("reads any type as JSON", body_ends, "_may_end_itself", _always),
    _mutant("takes numbers for whole", body_ends, "CLOSED_JSON", (b"",)),
    _mutant("takes JSON types for whole", relay_bodies, "_is_json", _always),
    _mutant("takes JSON types for whole, at sockets", relay_bodies, "_is_json", _always, True),
    _mutant("compares no digests", body_ends, "_compare_digests", _compare_nothing),
    _mutant("compares one digest", body_ends, "_compare_digests", _compare_one),
    _mutant("takes a part for a representation", body_ends, "WHOLE_REPRESENTATION", 206),
    _mutant("takes empty bodies for equal", body_ends, "find_sign", _take_empty),
    _mutant("ignores another run", body_ends, "find_sign", _ignore_runs, True),
    _mutant("keeps bodies of another digest", body_ends, "find_sign", _keep_differing, True),
    _mutant("compares no status", body_ends, "copy_body", _copy_no_status),
    _mutant("compares how bodies begin", body_ends, "copy_body", _copy_beginning),
    _mutant("checks any size", core_defaults, "CHECKED_JSON_BYTES_MAX", 1 << 40),
    Mutant(
        "takes any coding for chunks",
        SOUND,
        HttpHead,
        "framing",
        _frame_by_any_coding,
        OPEN_BODIES_SOCKETS,
    ),
    Mutant(
        "takes a 5xx of a coding for sound",
        SOUND,
        relay_bodies,
        "SERVER_ERROR",
        600,
        OPEN_BODIES_SOCKETS,
    ),
    Mutant(
        "takes the reset of a coding for its close",
        SOUND,
        ClientConnection,
        "connection_lost",
        _lose_as_closed,
        OPEN_BODIES_SOCKETS,
    ),
    Mutant(
        "ejects for an open end",
        SOUND,
        recovering,
        "_count_failure",
        _count_as_failure,
        OPEN_BODIES_SOCKETS,
    ),
    Mutant(
        "suspects for an open end",
        SOUND,
        relay_attempts,
        "_submit_failure",
        _submit_broken,
        OPEN_BODIES_SOCKETS,
    ),
    Mutant(
        "records no crash at an open end",
        "a request that crashes endpoints is found",
        ConnectionPool,
        "is_down",
        _never_down,
        OPEN_BODIES_SOCKETS,
    ),
)
