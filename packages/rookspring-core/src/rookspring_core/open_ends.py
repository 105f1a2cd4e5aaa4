"""Answers in a row of which nothing showed the end, and which endpoints are passed over for them.

A sound endpoint may answer so every time, so it is not ejected. Yet callers are better served where
an end is shown: after some such answers in a row, other endpoints that have room are preferred for
a while. A node counts the answers to its own requests; the owner of a plain service's slots counts
those of all nodes.
"""

import typing as t

from . import defaults

E = t.TypeVar("E")


class OpenEnds:
    """The latest answers of one endpoint: how many in a row showed no end."""

    __slots__ = ("number", "passed_over_until")

    def __init__(self) -> None:
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


def choose_shown(endpoints: list[E], ends_of: t.Callable[[E], OpenEnds], now: float) -> list[E]:
    """Return the endpoints that are not passed over now, or all if there is none.

    :param endpoints: those that have room.
    :param ends_of: returns the answers of one.
    """
    return [one for one in endpoints if now >= ends_of(one).passed_over_until] or endpoints
