"""Attempts of relayed requests at endpoints, and the answers to their callers."""

import functools
import typing as t

from rookspring_core import notice_handlers
from rookspring_core import slot_requests
from rookspring_core import stream_origins
from rookspring_core.effects import Announce
from rookspring_core.effects import Cancel
from rookspring_core.effects import Dispatch
from rookspring_core.effects import Forget
from rookspring_core.effects import Refuse
from rookspring_core.endpoints import EndpointView
from rookspring_core.event_order import EventOrder
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import EventGapMeasured

from . import clock
from . import defaults
from . import relay_close_ends
from . import relay_run_copies
from . import relay_versions
from .attempt_failures import make_failure
from .dialect import AnswerMatch
from .dialect import ForwardFields
from .event_gaps import GapMeter
from .event_streams import EventSplitter
from .event_streams import is_stream
from .exceptions import EndpointError
from .http_client import OnHead
from .http_client import Reply
from .http_messages import HttpHead
from .http_messages import end_to_end_headers
from .http_messages import write_request
from .logs import log
from .relay import EndpointAnswer
from .relay import HeldAnswer
from .relay import RelayExchange
from .relay import end_exchange
from .relay_bodies import read_body
from .relay_closed_bodies import SERVER_ERROR
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_exchanges import run_until_deadline
from .relay_notices import EndpointCall
from .relay_notices import make_notice_handler
from .relay_planned_ends import find_doubt
from .relay_planned_ends import is_whole
from .relay_reach import is_down
from .relay_whole_ends import looks_whole
from .relay_whole_ends import send_answer
from .relay_whole_ends import tell_whole

# The refusal of a request that was to go on from a copy which isn't there.
NO_COPY_STATUS = 503


@handles_relay_effect(Dispatch)
def dispatch(context: RelayContext, effect: Dispatch) -> None:
    """Start an attempt in its own task."""
    exchange = context.exchanges.get(effect.request_id)
    view = context.state.endpoints.get(effect.endpoint)
    if exchange is None or view is None:
        error = EndpointError("endpoint is gone", sent=False)
        context.loop.call_soon(_submit_failure, context, effect, error)
        return
    table = context.state.table
    speed: dict[str, t.Any] = {"speed": view.speed} if context.state.options.endpoint_speeds else {}
    log(
        "attempt_began",
        id=exchange.fields.request_id,
        key=exchange.key,
        attempt=effect.attempt,
        fingerprint=exchange.fingerprint,
        route=exchange.route.name,
        organisation=exchange.organisation,
        table=table.version if table else 0,
        proved_age_s=context.state.freshness.age_s(context.state.now),
        endpoint=view.name,
        version=view.software_version(),
        address=view.address,
        resumes=exchange.fields.resumes,
        after=exchange.last_event,
        copy=effect.copy,
        backup=effect.backup,
        parts=",".join(f"{part:x}" for part in exchange.fields.parts),
        load=view.load(context.state.now),
        report_age_s=context.state.now - view.reported_at,
        waited_s=clock.now() - exchange.arrived_at,
        **speed,
    )
    exchange.task = context.spawn(run_attempt(context, effect, exchange, view))


async def run_attempt(
    context: RelayContext, effect: Dispatch, exchange: RelayExchange, view: EndpointView
) -> None:
    """Run one attempt and submit how it failed."""
    error = await run_until_deadline(exchange, _attempt(context, effect, exchange, view))
    if error is None:
        return
    look_again, exchange.look_again = exchange.look_again, None
    if error.reported_not_run:
        relay_close_ends.heed_refusal(context, exchange)
    if error.copy:
        exchange.look_again = look_again
    elif _is_refused(effect, error) and look_again is not None and await look_again():
        _end_stream(context, effect, exchange, "the end before was its own")
        return
    was_cut = error.broken or error.open_ended
    if error.broken and not error.down:
        # The cause that is recorded for the failure depends on whether the endpoint's process
        # has ended. That is checked at once: the next request to it would detect it later,
        # on another node, or never.
        error.down = await is_down(context, view.address, exchange.deadline_at)
    elif error.open_ended:
        # Such an end is that of a crash only if the process has ended as well.
        error.down = await is_down(context, view.address, exchange.deadline_at)
        error.broken = error.down
    if error.down or not (error.sent or error.withheld):
        await _check_reach(context, view, error)
    if was_cut and not error.copy:
        error.copy = await relay_run_copies.take_over(context, exchange, view, error)
    _submit_failure(context, effect, error)


def _is_refused(effect: Dispatch, error: EndpointError) -> bool:
    """Return whether a run didn't go on from its copy, which is gone or can't be reached."""
    return bool(effect.copy) and (error.reported_not_run or not error.sent)


async def _check_reach(context: RelayContext, view: EndpointView, error: EndpointError) -> None:
    """Tell no end of an endpoint where this node reaches none, since its own way is broken."""
    if not await context.reach_probes.confirm(view.name):
        error.down = False
        error.broken = False


def _submit_failure(context: RelayContext, effect: Dispatch, error: EndpointError) -> None:
    context.metrics.attempts.inc({"end": "not_run" if error.reported_not_run else "failed"})
    exchange = context.exchanges.get(effect.request_id)
    log(
        "attempt_failed",
        id=exchange.fields.request_id if exchange else "",
        key=effect.request_id,
        attempt=effect.attempt,
        fingerprint=exchange.fingerprint if exchange else "",
        endpoint=effect.endpoint,
        events=exchange.events if exchange else 0,
        framing=exchange.framing if exchange else "",
        **(exchange.describe_time() if exchange else {}),
        last_event=exchange.last_event if exchange else "",
        reason=error.reason,
        sent=error.sent,
        said_not_run=error.reported_not_run,
        broken=error.broken,
        down=error.down,
        withheld=error.withheld,
        open_ended=error.open_ended,
        copy=error.copy,
        backup=error.backup,
    )
    followable = exchange is None or exchange.may_follow()
    context.submit(make_failure(effect, error, followable))


async def _attempt(
    context: RelayContext, effect: Dispatch, exchange: RelayExchange, view: EndpointView
) -> None:
    request_id = exchange.fields.request_id
    unrepeatable = not exchange.route.repeatable
    connection = await context.pool.acquire(
        view.address,
        unrepeatable,
        request_id,
        stream_origins.trusted_until(context.state, view),
    )
    await relay_versions.confirm(context, exchange, view, connection)
    why = notice_handlers.find_withheld(
        context.state, view.name
    ) or slot_requests.find_missing_permit(context.state, exchange.key, view.name)
    if why:
        # The reason arose while connecting, which takes up to a second.
        context.pool.release(view.address, connection)
        raise EndpointError(why, sent=False, withheld=True)
    data = _write_request(context, exchange, view, effect)
    context.submit(AttemptStarted(clock.now(), exchange.key, effect.attempt, connection.opened_at))
    verdicts: list[AnswerMatch] = []

    def accept(head: HttpHead) -> bool:
        verdict = context.dialect.match_answer(head, request_id)
        if verdict.matches:
            verdicts.append(verdict)
        else:
            log(
                "answer_skipped",
                "WARNING",
                endpoint=view.name,
                asked=request_id,
                status=head.status,
            )
        return verdict.matches

    try:
        arrived = context.state.requests[exchange.key].arrived
        call = EndpointCall(request_id, arrived.target, arrived.adapter, is_request=True)
        hear = make_notice_handler(context, view.name, call)
        if effect.copy:
            hear = _hear_holder(hear)
        no_body = exchange.request.method == b"HEAD"
        reply = connection.send_request(data, accept, hear, no_body, request_id)
        head = await reply.wait_head()
        answer = EndpointAnswer(reply, head, view, connection, clock.now())
        await _relay_answer(context, effect, exchange, answer, verdicts[-1])
    finally:
        # Closes the connection if the answer was not read to its end, which also shows the
        # endpoint that no caller waits for it.
        context.pool.release_or_close(view.address, connection)


def _hear_holder(hear: OnHead) -> OnHead:
    """Return the handler of the answer to a request that goes on from a copy.

    Its refusal says that there is no copy, and nothing of the endpoint's load.
    """

    def handle(head: HttpHead) -> None:
        if head.status != NO_COPY_STATUS:
            hear(head)

    return handle


def _write_request(
    context: RelayContext, exchange: RelayExchange, view: EndpointView, effect: Dispatch
) -> bytes:
    request = exchange.request
    exchange.endpoint = view
    exchange.told_until = exchange.deadline_at + defaults.TOLD_BEYOND_S
    left_s = exchange.told_until - clock.now()
    table = context.state.table
    holder = context.state.endpoints.get(effect.backup)
    fields = ForwardFields(
        left_s,
        view.name,
        exchange.rank,
        exchange.last_event,
        exchange.organisation,
        keyed=table is not None and table.directory is not None,
        copy=effect.copy,
        backup=holder.address if holder is not None else "",
    )
    headers = context.dialect.forward_headers(request.headers, fields)
    return write_request(request, headers)


async def _relay_answer(
    context: RelayContext,
    effect: Dispatch,
    exchange: RelayExchange,
    answer: EndpointAnswer,
    verdict: AnswerMatch,
) -> None:
    head = answer.head
    exchange.framing = head.framing()
    if verdict.not_run:
        raise EndpointError(
            f"refused with {head.status}",
            sent=True,
            reported_not_run=True,
        )
    if exchange.started and not is_stream(head):
        # Its head would stand in the midst of the answer that was begun.
        raise EndpointError(f"answered {head.status} to the rest of a stream", sent=True)
    if head.framing() == "chunks" and head.is_coded():
        # It is in a header of this connection, without which the caller can't read the body.
        sound = head.status < SERVER_ERROR
        raise EndpointError("a transfer coding that isn't read", sent=True, open_ended=sound)
    success = 200 <= head.status < 300
    if success and exchange.route.kind == "stream":
        await _relay_stream(context, effect, exchange, answer)
        return
    body = await read_body(context, exchange, answer)
    if head.status >= 500 and exchange.route.repeatable:
        answer.reply.drop()
        if exchange.held_answer is None or not exchange.held_answer.likely:
            kept = HeldAnswer(head.status, end_to_end_headers(head.headers), body)
            exchange.hold_answer(kept, context.budget.open(answer.view.address))
        raise EndpointError(f"answered {head.status}", sent=True)
    # From here on it counts as its caller's, and not twice.
    answer.reply.drop()
    send_answer(exchange, HeldAnswer(head.status, end_to_end_headers(head.headers), body))
    context.submit(AttemptSucceeded(clock.now(), exchange.key, effect.attempt, head.status))
    end_exchange(context, exchange, "answered", f"endpoint {effect.endpoint} gave {head.status}")


async def _relay_stream(
    context: RelayContext,
    effect: Dispatch,
    exchange: RelayExchange,
    answer: EndpointAnswer,
) -> None:
    """Send events to the caller as they arrive; an incomplete event is held back."""
    reply, head = answer.reply, answer.head
    last_event = exchange.last_event if exchange.route.resumable or effect.copy else ""
    skips = last_event if effect.copy else ""
    splitter = EventSplitter(exchange.started, head.framing() != "chunks", skips)
    meter = GapMeter()
    order = EventOrder(last_event, begun=exchange.events > 0)
    events_before = exchange.events
    if effect.copy:
        # A backup goes once the run has ended well, so the end before is no sign any more.
        exchange.forget_close()
    while not splitter.overrun and (part := await _next_part(exchange, reply, splitter)):
        if reply.chunk_open:
            splitter.expect_torn()
        events = splitter.feed(part)
        reply.keep(splitter.held_bytes + len(events.data))
        if not events.data:
            continue
        if fault := order.accept(events.ids):
            # A run that gives other events says nothing of what came before.
            exchange.forget_close()
            raise EndpointError(fault, sent=True)
        _begin_stream(exchange, head)
        exchange.note_place(events.ids, order)
        if events.number:
            now = clock.now()
            exchange.count_events(events.number, now)
            context.submit(AttemptProgressed(now, exchange.key, effect.attempt, events.number))
        if events.number and context.state.options.endpoint_speeds:
            gap_s = meter.add(events.number, reply.part_arrived_at)
            _submit_gap(context, effect, exchange, reply, gap_s)
        await exchange.connection.send(events.data, reply.holding)
    got_something = exchange.events > events_before or bool(last_event)
    if splitter.overrun:
        raise _open_end("another answer follows, and nothing shows the end", got_something)
    if splitter.breaks_off():
        exchange.forget_close()
        raise EndpointError("broke off within an event", sent=True, broken=reply.ended_by_close)
    if events_before and not last_event:
        raise EndpointError("the rest of a stream without ids can't be asked for", sent=True)
    exchange.check_last_chunk(head)
    _check_has_event(exchange, reply, head, got_something)
    if reply.ended_by_close:
        await relay_close_ends.check_stream(context, exchange, answer, events_before)
    else:
        await _check_stop(context, exchange, answer, got_something)
    _begin_stream(exchange, head)
    if comment := splitter.incomplete():
        await exchange.connection.send(comment)
    _submit_gap(context, effect, exchange, reply, meter.end())
    _end_stream(context, effect, exchange, f"endpoint {effect.endpoint} ended its stream")


async def _next_part(exchange: RelayExchange, reply: Reply, splitter: EventSplitter) -> bytes:
    """Return the next part of a stream; a run that breaks off within an event had more to give.

    :raises EndpointError: if it breaks off.
    """
    try:
        return await reply.next_part()
    except EndpointError:
        if splitter.breaks_off() or reply.torn:
            exchange.forget_close()
        raise


def _end_stream(context: RelayContext, effect: Dispatch, exchange: RelayExchange, why: str) -> None:
    """End a stream whose end is shown."""
    exchange.connection.end()
    context.submit(AttemptSucceeded(clock.now(), exchange.key, effect.attempt))
    end_exchange(context, exchange, "answered", why)


async def _check_stop(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, got_something: bool
) -> None:
    """Check that no stop of its endpoint has ended a stream in chunks.

    One that goes on from a copy does so at once: that shows its end.

    :raises EndpointError: if it may have.
    """
    doubt = find_doubt(context, exchange, answer)
    if doubt is None:
        return
    copy = relay_run_copies.find_copy(context, exchange)
    if copy:
        exchange.look_again = functools.partial(is_whole, context, exchange, answer, doubt)
    elif await is_whole(context, exchange, answer, doubt):
        return
    error = _open_end(doubt.cause, got_something)
    error.copy = copy or relay_run_copies.find_copy(context, exchange)
    raise error


def _check_has_event(
    exchange: RelayExchange, reply: Reply, head: HttpHead, got_something: bool
) -> None:
    """Check that a stream has an event, or is the rest of one whose caller may have all.

    A run begins with its first token, so that one without an event was given up before.

    :raises EndpointError: if it has none.
    """
    has_body = exchange.request.method != b"HEAD"
    if has_body and is_stream(head) and not got_something:
        broken = reply.ended_by_close
        raise EndpointError("a stream without an event", sent=True, broken=broken)


def _open_end(reason: str, got_something: bool) -> EndpointError:
    return EndpointError(reason, sent=True, broken=not got_something, open_ended=got_something)


def _submit_gap(
    context: RelayContext,
    effect: Dispatch,
    exchange: RelayExchange,
    reply: Reply,
    gap_s: float | None,
) -> None:
    """Submit a sample of the times between events, if there is one and it is in use."""
    if gap_s is None or not context.state.options.endpoint_speeds or not exchange.fields.model:
        return
    if reply.held_up:
        return
    model = exchange.fields.model
    context.submit(EventGapMeasured(clock.now(), effect.endpoint, model, gap_s))


def _begin_stream(exchange: RelayExchange, head: HttpHead) -> None:
    """Send the head before the first bytes; a resumed stream keeps the head that was sent."""
    if exchange.started:
        return
    exchange.started = True
    exchange.connection.begin(head.status, end_to_end_headers(head.headers), None)


@handles_relay_effect(Refuse)
def refuse(context: RelayContext, effect: Refuse) -> None:
    """End a failed request: cut a stream that has begun, else send an error answer."""
    exchange = context.exchanges.get(effect.request_id)
    if exchange is None:
        return
    context.metrics.refusals.inc({"reason": effect.reason, "outcome": effect.outcome})
    held = exchange.held_answer
    if looks_whole(exchange):
        # No further run could be had that would have shown it.
        tell_whole(context, exchange, f"{effect.reason}: {effect.message}")
        return
    if exchange.started:
        # The head was sent already, so only a cut connection shows that the answer is incomplete.
        exchange.connection.abort()
    elif held is not None and not held.doubted:
        send_answer(exchange, held)
    else:
        headers = context.dialect.refusal_headers(exchange.fields.request_id, effect.retry_after_s)
        exchange.connection.answer(effect.status, headers, b"")
    why = f"{effect.status} {effect.reason}: {effect.message}"
    end_exchange(context, exchange, f"refused-{effect.outcome}", why)


@handles_relay_effect(Cancel)
def cancel(context: RelayContext, effect: Cancel) -> None:
    """Cancel an attempt, which closes its connection, so that the endpoint stops too."""
    exchange = context.exchanges.get(effect.request_id)
    if exchange is not None and exchange.task is not None:
        exchange.task.cancel()


@handles_relay_effect(Forget)
def forget(context: RelayContext, effect: Forget) -> None:
    """Do nothing: an exchange is removed once it has been answered."""


@handles_relay_effect(Announce)
def announce(context: RelayContext, effect: Announce) -> None:
    """Send a heartbeat to the linked nodes at once."""
    context.announce(effect.topic)
