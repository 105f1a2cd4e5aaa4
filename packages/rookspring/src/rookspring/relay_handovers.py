"""Requests that are handed over to another node, and their answers, which are passed on unchanged.

A request is sent to the other node's address for callers, on a connection of its own, so that a
caller who reads slowly holds up its own answer alone. A connection that is closed cancels it there.
"""

from rookspring_core.effects import HandOver
from rookspring_core.event_order import EventOrder
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded

from . import clock
from . import defaults
from .event_streams import Events
from .event_streams import EventSplitter
from .event_streams import is_stream
from .exceptions import EndpointError
from .http_client import Reply
from .http_messages import HttpHead
from .http_messages import end_to_end_headers
from .http_messages import write_request
from .logs import log
from .relay import RelayExchange
from .relay import end_exchange
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_exchanges import run_until_deadline

# Statuses that tell a caller that its request has not run.
REFUSED_STATUSES = frozenset((408, 421, 429, 503))


@handles_relay_effect(HandOver)
def hand_over(context: RelayContext, effect: HandOver) -> None:
    """Hand a request over in its own task."""
    exchange = context.exchanges.get(effect.request_id)
    if exchange is None:
        error = EndpointError("the request has ended", sent=False)
        context.loop.call_soon(_submit_failure, context, effect, error)
        return
    log(
        "handover_began",
        id=exchange.fields.request_id,
        key=exchange.key,
        attempt=effect.attempt,
        route=exchange.route.name,
        node=effect.node,
        address=effect.address,
        sends=effect.sends,
        waited_s=clock.now() - exchange.arrived_at,
    )
    exchange.task = context.spawn(_run(context, effect, exchange))


async def _run(context: RelayContext, effect: HandOver, exchange: RelayExchange) -> None:
    """Hand a request over and submit how that failed."""
    error = await run_until_deadline(exchange, _exchange(context, effect, exchange))
    if error is not None:
        _submit_failure(context, effect, error)


def _submit_failure(context: RelayContext, effect: HandOver, error: EndpointError) -> None:
    context.metrics.handovers.inc({"end": "failed"})
    log(
        "handover_failed",
        key=effect.request_id,
        attempt=effect.attempt,
        node=effect.node,
        reason=error.reason,
        sent=error.sent,
    )
    exchange = context.exchanges.get(effect.request_id)
    failed = AttemptFailed(
        clock.now(),
        effect.request_id,
        effect.attempt,
        error.sent,
        False,
        error.reason,
        followable=exchange is None or exchange.may_follow(),
    )
    context.submit(failed)


async def _exchange(context: RelayContext, effect: HandOver, exchange: RelayExchange) -> None:
    connection = await context.peer_pool.acquire(effect.address, not exchange.route.repeatable)
    try:
        data = _write_request(context, effect, exchange)
        context.submit(AttemptStarted(clock.now(), exchange.key, effect.attempt))
        no_body = exchange.request.method == b"HEAD"
        reply = connection.send_request(data, lambda head: True, lambda head: None, no_body)
        head = await reply.wait_head()
        check_refusal(head, effect.sends)
        await _pass_on(context, effect, exchange, reply, head)
    finally:
        # An answer that was not read to its end is cancelled at the other node by the close.
        context.peer_pool.release_or_close(effect.address, connection)
    context.metrics.handovers.inc({"end": "answered"})
    context.submit(AttemptSucceeded(clock.now(), exchange.key, effect.attempt, head.status))
    end_exchange(context, exchange, "answered", f"node {effect.node} gave {head.status}")


def _write_request(context: RelayContext, effect: HandOver, exchange: RelayExchange) -> bytes:
    request = exchange.request
    left_s = exchange.deadline_at - clock.now()
    begun_by = exchange.stream_id if exchange.events else ""
    headers = context.dialect.handover_headers(
        request.headers, left_s, effect.sends, exchange.last_event, begun_by
    )
    return write_request(request, headers)


def check_refusal(head: HttpHead, sends: int) -> None:
    """Raise if the other node refuses a request that may have run at an endpoint before.

    Its refusal says that the request has not run, which it knows of its own attempts alone.

    :param sends: how often the request was sent before it was handed over.
    :raises EndpointError: as an attempt that may have run.
    """
    if sends > 0 and head.status in REFUSED_STATUSES:
        raise EndpointError(f"answered {head.status}", sent=True)


async def _pass_on(
    context: RelayContext,
    effect: HandOver,
    exchange: RelayExchange,
    reply: Reply,
    head: HttpHead,
) -> None:
    """Pass an answer on: one with a length once it is complete, any other as it arrives.

    The rest of a stream follows the head and the events that its caller has got before.

    :raises EndpointError: if anything but the rest of the stream came, or an answer without a
        length or chunks, which nodes don't send.
    """
    in_parts = bool(head.header(b"transfer-encoding"))
    if exchange.started:
        if not is_stream(head) or not in_parts:
            raise EndpointError(f"answered {head.status}", sent=True)
        await _pass_stream_on(context, effect, exchange, reply, EventSplitter(continues=True))
        return
    headers = end_to_end_headers(head.headers)
    if not in_parts:
        body = await reply.read_rest(defaults.ANSWER_BYTES_MAX, exchange.deadline_at)
        if reply.ended_by_close:
            raise EndpointError("nothing shows the answer's end", sent=True)
        exchange.first_event_at = clock.now()
        # From here on it counts as its caller's, and not twice.
        reply.drop()
        exchange.connection.answer(head.status, headers, body)
        return
    exchange.started = True
    exchange.connection.begin(head.status, headers, None)
    if is_stream(head):
        await _pass_stream_on(context, effect, exchange, reply, EventSplitter())
    else:
        await _pass_body_on(exchange, reply)


async def _pass_body_on(exchange: RelayExchange, reply: Reply) -> None:
    """Pass a body in chunks on as it arrives.

    :raises EndpointError: if it ends at the request's deadline, which ends it wherever it runs.
    """
    while part := await reply.next_part():
        await exchange.connection.send(part, reply.holding)
    if clock.now() >= exchange.deadline_at:
        raise EndpointError("deadline", sent=True)
    exchange.connection.end()


async def _pass_stream_on(
    context: RelayContext,
    effect: HandOver,
    exchange: RelayExchange,
    reply: Reply,
    splitter: EventSplitter,
) -> None:
    """Pass events on as they arrive, and note after which one the stream could go on.

    :raises EndpointError: if an event does not follow the last one, or if the stream ends within an
        event or at the request's deadline, which ends it wherever it runs.
    """
    last_event = exchange.last_event if exchange.route.resumable else ""
    order = EventOrder(last_event, begun=exchange.events > 0)
    while part := await reply.next_part():
        events = splitter.feed(part)
        reply.keep(splitter.held_bytes + len(events.data))
        if not events.data:
            continue
        if fault := order.accept(events.ids):
            raise EndpointError(fault, sent=True)
        _note_events(context, effect, exchange, events, order)
        await exchange.connection.send(events.data, reply.holding)
    if splitter.breaks_off():
        raise EndpointError("broke off within an event", sent=True)
    if clock.now() >= exchange.deadline_at:
        raise EndpointError("deadline", sent=True)
    if comment := splitter.incomplete():
        await exchange.connection.send(comment)
    exchange.connection.end()


def _note_events(
    context: RelayContext,
    effect: HandOver,
    exchange: RelayExchange,
    events: Events,
    order: EventOrder,
) -> None:
    """Note events that are passed on; those after which a stream can go on are progress of it."""
    now = clock.now()
    exchange.note_place(events.ids, order)
    if not events.number:
        return
    exchange.count_events(events.number, now)
    if exchange.route.resumable and order.last:
        context.submit(AttemptProgressed(now, exchange.key, effect.attempt, events.number))
