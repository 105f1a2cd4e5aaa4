"""Answers in chunks that end at endpoints that end as planned: whether the process lives on.

:mod:`rookspring_core.planned_ends` decides which ends are doubted; the signs of life are read here.
"""

import asyncio
import math
import typing as t

from rookspring_core import planned_ends
from rookspring_core import recovering
from rookspring_core.planned_ends import PlannedEnd

from . import clock
from .logs import log
from .relay import EndpointAnswer
from .relay import RelayExchange
from .relay_context import RelayContext

# Time to read what has come, in seconds.
READ_S = 0.005


class Doubt(t.NamedTuple):
    """The end of an answer that its endpoint's stop may have brought about.

    :param cause: for the log and the outcome of the attempt.
    :param look_at: when an endpoint that lives has not brought it about, by this node's clock;
        infinite if there is no time left to find out.
    :param replaced: another process has the endpoint's name, and maybe its address.
    """

    cause: str
    look_at: float
    replaced: bool


def find_doubt(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer
) -> Doubt | None:
    """Return why the last chunk of an answer shows nothing yet; None if it is believed."""
    request = context.state.requests.get(exchange.key)
    if answer.head.framing() != "chunks" or request is None:
        return None
    view = answer.view
    replaced = request.dispatched_at < view.restarted_at
    closing = view.leaving or view.gone or replaced
    # The rest of a stream without ids can't be asked for.
    known = not exchange.events or bool(exchange.last_event)
    end = PlannedEnd(
        at=answer.connection.idle_since,
        closing=closing,
        ends_at=view.ends_at,
        may_ask=closing and known and recovering.may_ask_another(context.state, request),
        looks_until=exchange.deadline_at - planned_ends.LOOKS_BEFORE_S,
    )
    cause = planned_ends.find_cause(end)
    look_at = planned_ends.find_look_time(end) if planned_ends.may_look(end) else math.inf
    return Doubt(cause, look_at, replaced) if cause else None


async def lives_on(
    context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer, doubt: Doubt
) -> bool:
    """Return whether an endpoint's process lives on beyond the end of its answer.

    A process that ends closes all its connections and listens no more. Some that finish their
    answers first close their listener, and each connection after its answer.
    """
    if doubt.look_at == math.inf:
        return False
    await asyncio.sleep(max(0.0, doubt.look_at - clock.now()))
    # A close that came while this node stood still is read first.
    await asyncio.sleep(READ_S)
    if answer.connection.open:
        return True
    if doubt.replaced:
        return False
    if context.pool.has_open(answer.view.address):
        return True
    left_s = exchange.deadline_at - planned_ends.LOOKS_BEFORE_S / 2 - clock.now()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            return not await context.pool.is_down(answer.view.address)
    except TimeoutError:
        return False


def follow_end(context: RelayContext, exchange: RelayExchange, answer: EndpointAnswer) -> None:
    """Log it if an endpoint ends its connection soon after the end of an answer in chunks."""
    if answer.head.framing() != "chunks":
        return
    ended_at = answer.connection.idle_since

    def check() -> None:
        if answer.connection.lost_at < math.inf:
            log(
                "answer_end_followed",
                id=exchange.fields.request_id,
                endpoint=answer.view.name,
                closed_s=answer.connection.lost_at - ended_at,
            )

    context.loop.call_later(planned_ends.OUTLIVES_S, check)
