"""Answers that ended with their connection: what is seen of their endpoint a moment later.

:mod:`rookspring_core.close_ends` decides what that tells.
"""

import math

from rookspring_core import close_ends
from rookspring_core import planned_ends
from rookspring_core import recovering
from rookspring_core import run_backups
from rookspring_core.close_ends import CloseSigns
from rookspring_core.close_records import name_bodies
from rookspring_core.events import AnswerEnded
from rookspring_core.planned_ends import EndSigns

from . import clock
from . import relay_close_records
from . import relay_planned_ends
from . import relay_run_copies
from .event_streams import is_stream
from .exceptions import EndpointError
from .logs import log
from .relay import EndpointAnswer
from .relay import RelayExchange
from .relay_context import RelayContext
from .relay_planned_ends import Doubt
from .relay_whole_ends import tell_within

NO_END = "connection closed, and nothing shows the answer's end"


async def check_stream(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, events_before: int
) -> None:
    """Check that a stream that ended with its connection is whole.

    Its rest is asked for where that is to show the end. An empty rest that another endpoint ends so
    too shows that the first was whole.

    :param events_before: how many its caller had as the attempt began.
    :raises EndpointError: if it may be cut, or if its rest is to be asked for.
    """
    likely = await look(context, exchange, answer)
    is_empty = exchange.events == events_before
    is_second = exchange.closed_by not in ("", answer.view.name)
    looked_whole = exchange.looked_whole()
    exchange.closed_by = answer.view.name if looked_whole else ""
    if looked_whole and is_empty and is_second:
        # The record of its service speaks of ends of one run, and this shows that of two.
        return
    # A close right after the head is a likely cut.
    likely = likely and not is_empty
    if likely and not _may_ask(context, exchange, likely):
        return
    exchange.looks_whole = likely or (is_empty and exchange.looks_whole)
    if likely:
        held_until = answer.connection.closed_at + planned_ends.PROMISE_HELD_S
        tell_within(context, exchange, held_until - clock.now())
    # Such an end that is doubted for the record alone is counted too: the record may get better.
    counted = looked_whole and not is_empty
    if is_empty:
        # Nor does a refusal behind it tell that it was whole.
        exchange.close_signs = None
    raise EndpointError(NO_END, sent=True, open_ended=True, likely=counted)


def heed_refusal(context: RelayContext, exchange: RelayExchange) -> None:
    """Take an end for whole that alone the record of its service spoke against.

    The endpoint that was to hold a backup of the run has none, as after a whole one.
    """
    request = context.state.requests.get(exchange.key)
    if request is not None and request.asked_backup:
        exchange.looks_whole = exchange.looked_whole()


def _may_ask(context: RelayContext, exchange: RelayExchange, likely: bool) -> bool:
    """Return whether the rest can be asked for, at a copy or at another endpoint.

    A node that stops has no time for a second run that may take as long as the first.
    """
    request = context.state.requests.get(exchange.key)
    if request is None or context.state.leaving or not exchange.may_follow():
        return False
    if relay_run_copies.find_copy(context, exchange):
        return True
    kept_share = run_backups.find_kept_share(likely, exchange.ended_clear())
    if relay_run_copies.find_backup(context, exchange, kept_share) is not None:
        return True
    return recovering.may_ask_rest(context.state, request, likely)


async def look(context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer) -> bool:
    """Return whether an end by a close looks like the answer's own, a moment after it.

    Its endpoint's room is free meanwhile.
    """
    ended_at = answer.connection.closed_at
    exchange.close_signs = None
    doubt = relay_planned_ends.make_doubt(context, exchange, answer, ended_at)
    if doubt is None:
        return False
    event = AnswerEnded(clock.now(), exchange.key, doubt.attempt, ended_at, by_close=True)
    context.submit(event)
    context.loop.call_later(
        close_ends.TOLD_AFTER_S, relay_close_records.tell_of_stop, context, answer
    )
    seen = await relay_planned_ends.look_until_told(context, exchange, answer, doubt)
    # The node may have learnt meanwhile that another process has the endpoint's name.
    renewed = relay_planned_ends.make_doubt(context, exchange, answer, ended_at)
    if renewed is not None:
        doubt = doubt._replace(replaced=renewed.replaced)
    signs = exchange.close_signs = _read_signs(context, answer, doubt, seen)
    likely = close_ends.is_likely(signs)
    log(
        "answer_close_looked_at",
        id=exchange.fields.request_id,
        key=exchange.key,
        endpoint=answer.view.name,
        likely=likely,
        events=exchange.events,
        cause=doubt.cause,
        **signs.moment._asdict(),
        **{name: value for name, value in signs._asdict().items() if name != "moment"},
        waited_s=clock.now() - ended_at,
    )
    return likely


def _read_signs(
    context: RelayContext, answer: EndpointAnswer, doubt: Doubt, seen: EndSigns
) -> CloseSigns:
    view, ended_at = answer.view, answer.connection.closed_at
    times = context.pool.list_times(view.address, answer.connection)
    broke_elsewhere = context.state.break_moments.broke_elsewhere(view.name, ended_at)
    moment = close_ends.read_moment(answer.connection.read_times(), times, broke_elsewhere)
    # At an endpoint that stays an end that comes too late for a look is believed, as in chunks.
    too_late = doubt.look_at == math.inf and not doubt.cause
    leaves = doubt.cause not in ("", planned_ends.EXIT)
    record = view.service if is_stream(answer.head) else name_bodies(view.service)
    return CloseSigns(
        moment,
        seen.lives or too_late,
        doubt.replaced,
        leaves and not planned_ends.is_shown(doubt.cause, seen),
        context.state.close_records.is_caught(record, clock.now()),
        context.state.leaving,
        answer.connection.stalled,
    )
