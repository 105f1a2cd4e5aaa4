"""Answers that look whole, though nothing but a close marked their end: how they are told so."""

import typing as t

from rookspring_core.events import CallerLeft

from . import clock
from .relay import HeldAnswer
from .relay import RelayExchange
from .relay import end_exchange
from .relay_context import RelayContext


def send_answer(exchange: RelayExchange, answer: HeldAnswer) -> None:
    """Send a whole answer with a body."""
    exchange.first_event_at = clock.now()
    exchange.connection.answer(answer.status, answer.headers, answer.body)


def looks_whole(exchange: RelayExchange) -> bool:
    """Return whether what was passed on, or is kept, looks whole, though only a close ended it."""
    if exchange.started:
        return exchange.looks_whole
    return exchange.held_answer is not None and exchange.held_answer.likely


def tell_whole(context: RelayContext, exchange: RelayExchange, why: str) -> None:
    """Tell an answer that looks whole as whole.

    :param why: no further run shows it.
    """
    held = exchange.held_answer
    if held is not None and not exchange.started:
        send_answer(exchange, held)
    else:
        exchange.connection.end()
    end_exchange(context, exchange, "answered", f"its end looked like its own; {why}")


def tell_within(context: RelayContext, exchange: RelayExchange, seconds: float) -> None:
    """Tell an answer that looks whole as whole after a time, if a further run has shown nothing."""
    mark = _mark_shown(exchange)
    context.loop.call_later(max(0.0, seconds), _tell_late, context, exchange, mark)


def _tell_late(context: RelayContext, exchange: RelayExchange, mark: tuple[t.Any, ...]) -> None:
    waits = context.exchanges.get(exchange.key) is exchange and looks_whole(exchange)
    if not waits or _mark_shown(exchange) != mark:
        return
    # The further run is withdrawn.
    context.submit(CallerLeft(clock.now(), exchange.key))
    tell_whole(context, exchange, "a further run is late")


def _mark_shown(exchange: RelayExchange) -> tuple[t.Any, ...]:
    return exchange.events, exchange.held_answer
