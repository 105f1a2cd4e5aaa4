"""Independent records for the invariant checks, kept apart from the handlers' own state."""

import collections
import typing as t

from . import defaults
from . import notices
from .exceptions import InvariantBroken

if t.TYPE_CHECKING:
    from .events import NoticeReceived

# Shorter than the handlers keep notices, so that a notice they have dropped is no violation.
REMEMBERED_S = notices.LEAVING_KEPT_S / 2.0
# A process, by its endpoint and its start time.
ProcessKey = tuple[str, int]


class NoticeChecker:
    """Records the processes that announced that they leave, or requested a back-off."""

    def __init__(self) -> None:
        self._leaving: dict[ProcessKey, float] = {}
        self._backoffs: dict[ProcessKey, float] = {}

    def note(self, event: "NoticeReceived") -> None:
        """Record an endpoint's notice about itself."""
        if event.notice.process_name not in ("", event.endpoint):
            return
        process = (event.endpoint, event.started_ms)
        if event.notice.leaving:
            self._leaving.setdefault(process, event.at)
        backoff_s = event.notice.backoff_s
        if event.notice.turned_away and backoff_s:
            until = event.at + min(backoff_s, notices.REQUESTED_BACKOFF_MAX_S)
            self._backoffs[process] = max(until, self._backoffs.get(process, until))
        self._bound(event.at)

    def _bound(self, now: float) -> None:
        oldest = now - REMEMBERED_S
        while self._leaving and next(iter(self._leaving.values())) < oldest:
            del self._leaving[next(iter(self._leaving))]
        if len(self._backoffs) > notices.NOTICES_MAX:
            self._backoffs = {
                process: until for process, until in self._backoffs.items() if until > now
            }

    def find_fault(self, endpoint: str, started_ms: int, now: float, late_s: float) -> str:
        """Return why a process must get no requests; empty if it may get some.

        :param late_s: for how long requests in transit may still arrive, in seconds.
        """
        announced_at = self._leaving.get((endpoint, started_ms), now)
        if late_s < now - announced_at < REMEMBERED_S:
            return f"{endpoint} announced {now - announced_at:.2f} s ago that it is leaving"
        until = self._backoffs.get((endpoint, started_ms), now)
        if until > now and late_s == 0.0:
            return f"{endpoint} is in back-off for another {until - now:.2f} s"
        return ""


# The window over which the permits granted at an endpoint are counted, in seconds.
RATE_WINDOW_S = 4.0


class RateChecker:
    """Counts the permits that an owner grants at an endpoint, independently of the rate limiter."""

    def __init__(self) -> None:
        self._granted: collections.deque[tuple[float, float]] = collections.deque()

    def note(self, now: float, rate: float) -> None:
        """Count a permit granted at a rate.

        :raises InvariantBroken: if the window holds more permits than its highest rate allows.
        """
        self._granted.append((now, rate))
        while now - self._granted[0][0] > RATE_WINDOW_S:
            self._granted.popleft()
        highest = max(one for _, one in self._granted)
        allowed = highest * (RATE_WINDOW_S + defaults.PERMIT_BURST_S) + defaults.PERMIT_BURST
        if len(self._granted) > allowed + 1e-6:
            text = f"{len(self._granted)} permits in {RATE_WINDOW_S} s; {allowed:.1f} are allowed"
            raise InvariantBroken("request-rate", text)

    def forget(self, at: float) -> None:
        """Remove a permit, granted at a moment, that was not used."""
        for place, (granted_at, _) in enumerate(self._granted):
            if granted_at == at:
                del self._granted[place]
                return
