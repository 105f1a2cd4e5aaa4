"""Whole bodies of endpoints' answers, which are passed on only where something shows their end.

Checked once a body has come: one that a length or chunks end is whole; see
:mod:`rookspring_core.body_ends` for one that has ended with its connection.
"""

import asyncio

import msgspec

from rookspring_core import body_ends
from rookspring_core.body_ends import BodyHead
from rookspring_core.body_ends import Sign

from . import defaults
from .exceptions import EndpointError
from .http_messages import HttpHead
from .logs import log
from .relay import EndpointAnswer
from .relay import RelayExchange
from .relay_context import RelayContext
from .relay_planned_ends import find_doubt
from .relay_planned_ends import is_whole

NO_END = "nothing shows the answer's end"
# Time to read what follows an answer and was sent with it, in seconds.
FOLLOWS_S = 0.01
# The least status that tells a failure of the endpoint.
SERVER_ERROR = 500
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
            raise EndpointError(NO_END, sent=True, open_ended=sound) from None
        raise
    doubt = None
    if not reply.ended_by_close:
        exchange.check_last_chunk(head)
        doubt = find_doubt(context, exchange, answer)
        if doubt is None:
            await _check_filled(context, exchange, answer, body)
            return body
    stated = _read_head(head)
    sign = body_ends.find_sign(stated, body, _is_json, exchange.open_bodies, answer.view.name)
    log(
        "body_checked",
        id=exchange.fields.request_id,
        endpoint=answer.view.name,
        status=head.status,
        type=repr(stated.types)[: defaults.DETAIL_MAX],
        bytes=len(body),
        sign=sign.value,
    )
    unshown = sign in (Sign.DIFFERS, Sign.NONE)
    if unshown and doubt is not None and await is_whole(context, exchange, answer, doubt):
        if reply.given_up:
            raise EndpointError(reply.failure, sent=True)
        return body
    if sign is Sign.DIFFERS:
        raise EndpointError("the answer's body is of other bytes", sent=True, open_ended=sound)
    if sign is Sign.NONE:
        if exchange.route.repeatable:
            exchange.open_bodies.add(body_ends.copy_body(answer.view.name, head.status, body))
        raise EndpointError(doubt.cause if doubt else NO_END, sent=True, open_ended=sound)
    return body


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


def _is_json(body: bytes) -> bool:
    try:
        _JSON.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True
