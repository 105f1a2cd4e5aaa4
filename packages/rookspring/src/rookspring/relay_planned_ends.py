"""Answers in chunks that end at endpoints that may be ending: what shows that they are whole.

:mod:`rookspring_core.planned_ends` decides which ends are doubted; the signs of life are read here.
"""

import asyncio
import math
import typing as t

from rookspring_core import close_ends
from rookspring_core import planned_ends
from rookspring_core import recovering
from rookspring_core.events import AnswerEnded
from rookspring_core.planned_ends import EndSigns
from rookspring_core.planned_ends import LifeSigns
from rookspring_core.planned_ends import PlannedEnd

from . import clock
from . import relay_processes
from .event_streams import is_stream
from .logs import log
from .relay import EndpointAnswer
from .relay import RelayExchange
from .relay_context import RelayContext

# Time to read what has come, in seconds.
READ_S = 0.005


class Doubt(t.NamedTuple):
    """The end of an answer that its endpoint's stop may have brought about.

    :param cause: for the log and the outcome of the attempt.
    :param attempt: whose answer ended.
    :param may_ask: the rest can be asked of another endpoint now.
    :param ended_at: when it came, by this node's clock.
    :param look_at: when an endpoint that lives has not brought it about; infinite if there is no
        time left to find out.
    :param replaced: another process has the endpoint's name, and maybe its address.
    :param promised_until: see :func:`planned_ends.find_promise`.
    :param last_look_at: when it is looked at at the latest if its endpoint has promised to live.
    """

    cause: str
    attempt: int
    may_ask: bool
    ended_at: float
    look_at: float
    replaced: bool
    promised_until: float
    last_look_at: float


def find_doubt(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer
) -> Doubt | None:
    """Return why the last chunk of an answer shows nothing yet; None if it is believed."""
    if answer.head.framing() != "chunks":
        return None
    doubt = make_doubt(context, exchange, answer, answer.connection.idle_since)
    return doubt if doubt is not None and doubt.cause else None


def make_doubt(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, ended_at: float
) -> Doubt | None:
    """Return what else than the whole answer may have ended it; None if its request is gone.

    The cause is empty if that can't be found out.

    :param ended_at: when its end came.
    """
    request = context.state.requests.get(exchange.key)
    if request is None:
        return None
    view = answer.view
    replaced = request.dispatched_at < view.restarted_at
    closing = view.leaving or view.gone or replaced
    # A node that stops has no time for a second run that may take as long as the first.
    may_ask = closing and exchange.may_follow() and not context.state.leaving
    written_s = ended_at - answer.began_at
    end = PlannedEnd(
        at=ended_at,
        closing=closing,
        ends_at=view.ends_at,
        may_ask=may_ask and recovering.may_ask_another(context.state, request),
        looks_until=exchange.deadline_at - planned_ends.LOOKS_BEFORE_S,
        # A stream that was taken up may come without an event.
        at_once=not is_stream(answer.head) and written_s < planned_ends.WRITTEN_AT_ONCE_S,
    )
    cause = planned_ends.find_cause(end)
    look_at = planned_ends.find_look_time(end) if planned_ends.may_look(end) else math.inf
    serves_s = context.state.endpoint_stops.serves_s
    promised_until = planned_ends.find_promise(view.left_at, serves_s, view.ends_at)
    last_at = planned_ends.find_last_look(ended_at, promised_until, end.looks_until)
    return Doubt(
        cause, request.attempt, end.may_ask, ended_at, look_at, replaced, promised_until, last_at
    )


async def is_whole(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, doubt: Doubt
) -> bool:
    """Return whether a doubted end is shown to be the answer's own.

    Its endpoint's room is free meanwhile.
    """
    context.submit(AnswerEnded(clock.now(), exchange.key, doubt.attempt, doubt.ended_at))
    signs = await look_until_told(context, exchange, answer, doubt)
    shown = planned_ends.is_shown(doubt.cause, signs)
    log(
        "answer_end_doubted",
        id=exchange.fields.request_id,
        endpoint=answer.view.name,
        cause=doubt.cause,
        shown=shown,
        **signs._asdict(),
        waited_s=clock.now() - doubt.ended_at,
    )
    return shown


async def look_until_told(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, doubt: Doubt
) -> EndSigns:
    """Look at an endpoint a moment after a doubted end, until what is seen tells."""
    await asyncio.sleep(0.0 if doubt.look_at == math.inf else doubt.look_at - clock.now())
    signs = await _look(context, exchange, answer, doubt)
    while _may_tell_later(doubt, signs):
        await asyncio.sleep(min(planned_ends.LOOKS_EACH_S, doubt.last_look_at - clock.now()))
        signs = await _look(context, exchange, answer, doubt)
    return signs


def _may_tell_later(doubt: Doubt, signs: EndSigns) -> bool:
    """Return whether an end is believed only as its endpoint lives, and that may end too soon."""
    believed = planned_ends.is_shown(doubt.cause, signs)
    tells = doubt.cause == planned_ends.STOP and not (signs.body or signs.at_work)
    return believed and tells and signs.promised and clock.now() < doubt.last_look_at


async def _look(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, doubt: Doubt
) -> EndSigns:
    """Look at an endpoint after a doubted end."""
    lives = await _lives_on(context, exchange, answer, doubt)
    view = answer.view
    others = [at for one, at in view.answer_ends.items() if one != exchange.key]
    at_work = planned_ends.is_at_work(doubt.ended_at, view.progressed_at)
    times = context.pool.list_times(view.address, answer.connection)
    return EndSigns(
        lives,
        at_work and not doubt.replaced,
        # A planned stop of this node cuts nothing on suspicion alone.
        not context.state.leaving and planned_ends.ended_together(doubt.ended_at, others),
        context.state.endpoint_stops.ends_runs(view.service, clock.now()),
        doubt.replaced or clock.now() < doubt.promised_until,
        not is_stream(answer.head),
        doubt.may_ask,
        close_ends.has_worked_on(doubt.ended_at, times),
    )


async def _lives_on(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, doubt: Doubt
) -> bool:
    """Return whether an endpoint's process lives on beyond the end of its answer.

    A process that ends closes all its connections. Some that finish their answers first close their
    listener, and each connection after its answer.
    """
    if doubt.look_at == math.inf:
        return False
    # A close that came while this node stood still is read first.
    await asyncio.sleep(READ_S)
    address = answer.view.address
    signs = LifeSigns(
        own_open=answer.connection.open,
        # A close that is the answer's only end says nothing more.
        closed_there=answer.connection.closed_there and answer.head.framing() == "chunks",
        earlier_open=context.pool.shows_life(address, doubt.ended_at),
        keeps=context.pool.keeps_connections(address),
        replaced=doubt.replaced,
    )
    lives = planned_ends.find_life(doubt.cause, signs)
    if lives is not None:
        return lives
    left_s = exchange.deadline_at - planned_ends.LOOKS_BEFORE_S / 2 - clock.now()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            return await relay_processes.is_there(context, answer.view, doubt.ended_at)
    except TimeoutError:
        return False
