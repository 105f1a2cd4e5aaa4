"""What a node learns of its callers' time: what they bring at first, and how long they bear a wait.

A request does not tell whether its caller was refused before, nor how long it waits for a first
event. Both are seen: who comes back brings less time than the route's callers do at first, and who
can't bear a wait leaves.
"""

import collections
import math
import typing as t

from . import defaults


class HeldTime(t.NamedTuple):
    """How long a request was held before its first event, in objectives of its route.

    :param left: its caller left then; else it was answered, or refused.
    """

    objectives: float
    at: float
    left: bool


class LongestTime(t.NamedTuple):
    """The longest time that callers of a route brought, in this period and in the last one."""

    since: float
    longest_s: float
    before_s: float


class CallerTimes:
    """Times that were seen of callers: by route what they bring, by service what they bear."""

    def __init__(self) -> None:
        self._brought: dict[str, LongestTime] = {}
        self._held: dict[str, collections.deque[HeldTime]] = {}

    def note_arrival(self, route: str, left_s: float, now: float) -> None:
        """Record the time that a request of a route has until its deadline."""
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

    def note_held(self, service: str, held: HeldTime) -> None:
        """Record the end of a wait; short ones say nothing of what callers bear."""
        if held.objectives >= 1.0:
            known = self._held.setdefault(
                service, collections.deque(maxlen=defaults.HELD_TIMES_KEPT)
            )
            known.append(held)

    def bears_objectives(self, service: str, now: float) -> float:
        """Return how many objectives callers of a service bear to be held; inf if none left.

        That is the least time by which half of those who were held for so long had left.
        """
        since = now - defaults.CALLER_TIMES_KEPT_S
        rows = sorted(one for one in self._held.get(service, ()) if one.at >= since)
        held_still = 1.0
        for number, row in enumerate(rows):
            if row.left:
                held_still *= 1.0 - 1.0 / (len(rows) - number)
            if held_still <= 0.5:
                return row.objectives
        return math.inf
