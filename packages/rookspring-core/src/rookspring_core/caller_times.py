"""What time a route's callers bring, by which a node sees that one has come back.

A request does not tell whether its caller was refused before. A first try brings the whole of its
caller's time, and one that comes back what is left of it.
"""

import typing as t

from . import defaults


class LongestTime(t.NamedTuple):
    """The longest time that callers of a route brought, in this period and in the last one.

    :param since: when this period began.
    """

    since: float
    longest_s: float
    before_s: float


class CallerTimes:
    """The longest time that callers bring, by route."""

    def __init__(self) -> None:
        self._brought: dict[str, LongestTime] = {}

    def note_arrival(self, route: str, left_s: float, now: float) -> None:
        """Record the time that a request of a route has until its deadline, in seconds."""
        known = self._brought.get(route, LongestTime(now, 0.0, 0.0))
        if now - known.since > defaults.CALLER_TIMES_KEPT_S:
            known = LongestTime(now, 0.0, known.longest_s)
        self._brought[route] = known._replace(longest_s=max(left_s, known.longest_s))

    def is_return(self, route: str, left_s: float) -> bool:
        """Return whether a request has so little time left that its caller must have come back."""
        known = self._brought.get(route)
        if known is None:
            return False
        return left_s < defaults.FIRST_TRY_SHARE * max(known.longest_s, known.before_s)
