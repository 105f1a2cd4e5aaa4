"""Whole bodies of endpoints' answers, which are passed on only where something shows their end.

Checked once a body has come: one that a length or chunks end is whole; see
:mod:`rookspring_core.body_ends` and :mod:`relay_closed_bodies` for one that has ended with its
connection.
"""

import asyncio

import msgspec

from rookspring_core import body_ends
from rookspring_core.body_ends import BodyHead
from rookspring_core.body_ends import Sign

from . import defaults
from . import relay_closed_bodies
from .exceptions import EndpointError
from .http_messages import HttpHead
from .logs import log
from .relay import EndpointAnswer
from .relay import RelayExchange
from .relay_closed_bodies import SERVER_ERROR
from .relay_context import RelayContext
from .relay_planned_ends import Doubt
from .relay_planned_ends import find_doubt
from .relay_planned_ends import is_whole

# What the error says of bytes that end within a value.
TRUNCATED = "truncated"
# Time to read what follows an answer and was sent with it, in seconds.
FOLLOWS_S = 0.01
# Checks the syntax and keeps nothing; it stops at the interpreter's limit of nested calls.
_JSON = msgspec.json.Decoder(msgspec.Raw)


async def read_body(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer
) -> bytes:
    """Read the body of an answer, and check that it is whole.

    :raises EndpointError: if it is cut, or if nothing shows that it is whole; the request may have
        run.
    """
    reply, head = answer.reply, answer.head
    # A failure that the status tells is one whatever the body's end.
    sound = head.status < SERVER_ERROR
    try:
        body = await reply.read_rest(defaults.ANSWER_BYTES_MAX, exchange.deadline_at)
    except EndpointError:
        if reply.failed_by_close:
            raise EndpointError(relay_closed_bodies.NO_END, sent=True, open_ended=sound) from None
        raise
    if reply.ended_by_close:
        sign = _find_sign(exchange, answer, body)
        await relay_closed_bodies.check(context, exchange, answer, body, sign)
        return body
    exchange.check_last_chunk(head)
    doubt = find_doubt(context, exchange, answer)
    if doubt is None:
        await _check_filled(context, exchange, answer, body)
    else:
        await _check_doubted(context, exchange, answer, body, doubt)
    relay_closed_bodies.judge_earlier(context, exchange, answer, body, shown=True)
    return body


async def _check_doubted(
    context: RelayContext,
    exchange: RelayExchange,
    answer: EndpointAnswer,
    body: bytes,
    doubt: Doubt,
) -> None:
    """Check that no stop of its endpoint has ended a body in chunks.

    :raises EndpointError: if it may have.
    """
    reply, head = answer.reply, answer.head
    sound = head.status < SERVER_ERROR
    sign = _find_sign(exchange, answer, body)
    if sign in body_ends.WHOLE:
        return
    if await is_whole(context, exchange, answer, doubt):
        if reply.given_up:
            raise EndpointError(reply.failure, sent=True)
        return
    if sign is Sign.DIFFERS:
        raise EndpointError(relay_closed_bodies.DIFFERS, sent=True, open_ended=sound)
    if exchange.route.repeatable:
        exchange.open_bodies.add(body_ends.copy_body(answer.view.name, head.status, body))
    raise EndpointError(doubt.cause, sent=True, open_ended=sound)


def _find_sign(exchange: RelayExchange, answer: EndpointAnswer, body: bytes) -> Sign:
    """Find what shows that a body is whole, or cut, whose end is not shown by its framing."""
    head, held = answer.head, exchange.held_answer
    longer = held.body if held is not None and held.status == head.status else b""
    stated = _read_head(head)
    sign = body_ends.find_sign(
        stated, body, _is_json, exchange.open_bodies, answer.view.name, longer
    )
    log(
        "body_checked",
        id=exchange.fields.request_id,
        endpoint=answer.view.name,
        status=head.status,
        type=repr(stated.types)[: defaults.DETAIL_MAX],
        bytes=len(body),
        sign=sign.value,
    )
    return sign


async def _check_filled(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, body: bytes
) -> None:
    """Check that no other answer has filled the length of a body that was broken off.

    :raises EndpointError: if one has: the body holds its head, and its rest, which begins no
        answer, follows the length.
    """
    head, connection = answer.head, answer.connection
    if head.framing() != "length" or not body_ends.may_hold_head(body):
        return
    sign = body_ends.find_sign(_read_head(head), body, _is_json)
    if sign in (Sign.JSON, Sign.DIGEST):
        return
    if connection.open:
        await asyncio.sleep(FOLLOWS_S)
    if answer.reply.given_up:
        raise EndpointError(answer.reply.failure, sent=True)
    if connection.surplus_torn:
        raise EndpointError("another answer fills the length of its body", sent=True)


def _read_head(head: HttpHead) -> BodyHead:
    codings = [one.lower() for one in head.values(b"content-encoding")]
    return BodyHead(
        head.status,
        _read_values(head, b"content-type"),
        any(one not in (b"", b"identity") for one in codings),
        _read_values(head, b"content-digest"),
        _read_values(head, b"repr-digest"),
    )


def _read_values(head: HttpHead, name: bytes) -> list[str]:
    return [value.decode("latin-1") for value in head.values(name)]


def _is_json(body: bytes) -> bool | None:
    """Return whether bytes are one JSON value; None if not, and not the beginning of one either.

    Nor does one show that is nested too deep to be read.
    """
    try:
        _JSON.decode(body)
    except RecursionError:
        return None
    except msgspec.DecodeError as error:
        return False if TRUNCATED in str(error) else None
    return True
