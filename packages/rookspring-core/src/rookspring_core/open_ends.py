"""Answers in a row of which nothing showed the end, and which endpoints are passed over for them.

A sound endpoint may answer so every time, so it is not ejected. Yet callers are better served where
an end is shown: after some such answers in a row, other endpoints that have room are preferred for
a while. A node counts the answers to its own requests; the owner of a plain service's slots counts
those of all nodes.

Most streams that end with their connection are believed by what is seen of their endpoint, which
tells less than a framed end does. So streams go to endpoints that lately framed theirs, where there
are some with room; endpoints that do now one and now the other aren't told apart.
"""

import typing as t

from . import defaults

E = t.TypeVar("E")

# How many streams in a row have to end with their connection: one that frames some of its streams
# is as good as any.
CLOSES_ROW = 3
# For how long they count, in seconds: long enough that few streams are spent on finding out anew,
# and short enough to find out that its software was changed.
CLOSES_KEPT_S = 30.0


class OpenEnds:
    """The latest answers of one endpoint: how many in a row showed no end, or ended by a close."""

    __slots__ = ("closes", "closes_until", "number", "passed_over_until")

    def __init__(self) -> None:
        self.closes = 0
        # Until when its streams are taken to end with their connection, by the same clock.
        self.closes_until = -1e9
        self.number = 0
        # Until when others are preferred, in seconds of the node's monotonic clock.
        self.passed_over_until = -1e9

    def end_row(self) -> None:
        """Forget the answers that showed no end: one was whole, or the process is another."""
        self.number = 0
        self.passed_over_until = -1e9

    def note(self, now: float) -> None:
        """Record an answer that showed no end.

        After ``EJECT_AFTER_FAILURES`` in a row the endpoint is passed over for ``EJECT_S``.
        """
        self.number += 1
        if self.number >= defaults.EJECT_AFTER_FAILURES:
            self.passed_over_until = now + defaults.EJECT_S

    def note_stream(self, by_close: bool, now: float) -> None:
        """Record how a stream ended that was believed: with its connection, or framed."""
        self.closes = self.closes + 1 if by_close else 0
        self.closes_until = now + CLOSES_KEPT_S if self.closes >= CLOSES_ROW else -1e9


def choose_shown(endpoints: list[E], ends_of: t.Callable[[E], OpenEnds], now: float) -> list[E]:
    """Return the endpoints that are not passed over now, or all if there is none.

    :param endpoints: those that have room.
    :param ends_of: returns the answers of one.
    """
    return [one for one in endpoints if now >= ends_of(one).passed_over_until] or endpoints


def choose_framed(endpoints: list[E], ends_of: t.Callable[[E], OpenEnds], now: float) -> list[E]:
    """Return the endpoints whose streams lately were framed, or all if there is none.

    :param endpoints: those that may get a stream now, with room for it.
    :param ends_of: returns the answers of one.
    """
    return [one for one in endpoints if now >= ends_of(one).closes_until] or endpoints
