"""Notices that endpoints send in response headers, and the table that keeps them.

A response's status and headers describe the request, and also the endpoint: that it is leaving,
that it requests a back-off, that another process has its address. An attempt's outcome covers
only the request, so the notice is handled separately, before the outcome and even if the attempt
is already over.

Notices are kept per process, apart from the view of the endpoint. A view is deleted when its
entry lapses, and the view made for a later entry would start as that of an endpoint that stays.
"""

import typing as t

from . import defaults
from .hashing import stable_hash

# How long after its notice a leaving process that is no longer listed is remembered. It ends within
# seconds, at most about a minute; its entry may reappear late, once the store is available again.
LEAVING_KEPT_S = 600.0
# The number of leaving processes, and of processes in back-off, that are kept: more than the
# largest deployment has endpoints (7,100).
NOTICES_MAX = 10_000
# The longest back-off that is honoured. The specification sets no limit; a longer value is most
# likely in the wrong unit, and would keep this node from using the endpoint for good.
REQUESTED_BACKOFF_MAX_S = 3600.0
# The back-off after a refusal that gives no time. An endpoint that sheds load looks empty, and
# would be chosen again at once.
REQUESTED_BACKOFF_DEFAULT_S = 0.25
# What a node adds to the load estimate of an endpoint that refused another node's request, as a
# share of its slots, and for how long at most. A back-off binds only the node that it was sent
# to; the others merely prefer endpoints that have not shed load.
SHED_LOAD = 0.5
SHED_MAX_S = 3.0


class Notice(t.NamedTuple):
    """What a response's headers state about the endpoint.

    :param process_name: the name of the process that responds; empty if not given.
    :param leaving: the endpoint is shutting down and must get no new requests.
    :param turned_away: it refused the request for lack of capacity.
    :param backoff_s: how long this node is to send nothing, in seconds; None if no valid time is
        given.
    :param misdirected: the request's target is not there, or another process responds.
    :param rate: the requests per second that it accepts from all nodes together, for as long as
        it states so; None if no valid rate is given.
    :param names_rate: whether a rate is given, valid or not.
    :param malformed: a header that can't be parsed, with its value.
    """

    process_name: str = ""
    leaving: bool = False
    turned_away: bool = False
    backoff_s: float | None = None
    misdirected: bool = False
    rate: float | None = None
    names_rate: bool = False
    malformed: str = ""

    def is_empty(self) -> bool:
        """Return whether the headers state nothing about the endpoint except for its name."""
        return self._replace(process_name="") == EMPTY_NOTICE

    def without_backoff(self) -> "Notice":
        """Return what it states beside a refusal."""
        return self._replace(turned_away=False, backoff_s=None)

    def requested_backoff_s(self) -> float:
        """Return how long this node is to send it nothing, in seconds; 0 for no back-off."""
        if not self.turned_away:
            return 0.0
        return (
            REQUESTED_BACKOFF_DEFAULT_S
            if self.backoff_s is None
            else min(self.backoff_s, REQUESTED_BACKOFF_MAX_S)
        )


EMPTY_NOTICE = Notice()


class Leaving(t.NamedTuple):
    """A process that is leaving.

    :param started_ms: its start time, as its endpoint reports it; 0 if unknown.
    :param at: when it announced so, by this node's clock.
    """

    endpoint: str
    started_ms: int
    at: float


class RequestedBackoff(t.NamedTuple):
    """A back-off that a process requested of this node, and its end by this node's clock."""

    started_ms: int
    until: float


def may_be_same_process(started_ms: int, other: int) -> bool:
    """Return whether two start times may be of one process; an unknown one (0) fits any."""
    return started_ms == other or 0 in (started_ms, other)


class NoticeTable:
    """The notices of endpoints, by process.

    Nodes share which processes are leaving. These rows are merged by start time, so they may
    arrive in any order and more than once. A back-off is for one node, and is not shared.
    """

    def __init__(self) -> None:
        self._leaving: dict[str, Leaving] = {}
        self._backoffs: dict[str, RequestedBackoff] = {}
        # Current processes whose start time is earlier than their predecessor's; see
        # :mod:`restarts`.
        self._verified_starts: dict[str, int] = {}
        self._expired_at = -1e9
        self._digest: int | None = None

    def merge_leaving(self, rows: t.Iterable[Leaving], now: float) -> tuple[Leaving, ...]:
        """Merge leaving processes, and return those that were not known yet."""
        added = tuple(one for one in rows if self._merge_one(one, now))
        if added:
            self._digest = None
        return added

    def _merge_one(self, one: Leaving, now: float) -> bool:
        known = self._leaving.get(one.endpoint)
        if now - one.at > LEAVING_KEPT_S:
            return False
        if known is not None and known.started_ms >= one.started_ms:
            return False
        if self._verified_starts.get(one.endpoint, one.started_ms) != one.started_ms:
            # A late message about an earlier process.
            return False
        self._leaving[one.endpoint] = one
        _bound(self._leaving)
        return True

    def add_backoff(self, endpoint: str, started_ms: int, until: float) -> None:
        """Record a process's back-off; of several, the one that ends last holds."""
        known = self._backoffs.get(endpoint)
        if known is not None and may_be_same_process(known.started_ms, started_ms):
            until = max(until, known.until)
        self._backoffs[endpoint] = RequestedBackoff(started_ms, until)
        _bound(self._backoffs)

    def note_restart(self, endpoint: str, started_ms: int, confirmed: bool) -> None:
        """Drop the notices of earlier processes of an endpoint that has restarted.

        :param confirmed: the process is the current one, even if its start time is earlier.
        """
        if confirmed:
            self._verified_starts[endpoint] = started_ms
            _bound(self._verified_starts)
        known = self._leaving.get(endpoint)
        if known is not None and known.started_ms != started_ms:
            del self._leaving[endpoint]
            self._digest = None
        self._backoffs.pop(endpoint, None)

    def is_leaving(self, endpoint: str, started_ms: int) -> bool:
        """Return whether a process, or a later one of its endpoint, is known to be leaving."""
        known = self._leaving.get(endpoint)
        return known is not None and (
            may_be_same_process(known.started_ms, started_ms) or known.started_ms > started_ms
        )

    def backoff_end(self, endpoint: str, started_ms: int) -> float:
        """Return when a process's back-off ends; a time in the distant past if it has none."""
        known = self._backoffs.get(endpoint)
        return (
            known.until
            if known is not None and may_be_same_process(known.started_ms, started_ms)
            else -1e9
        )

    def tick(self, now: float, there: t.Container[str]) -> None:
        """Remove what has expired, every ``EXPIRE_EVERY_S``.

        A leaving process is kept for as long as its endpoint is known.

        :param there: names of the known endpoints.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return
        self._expired_at = now
        self._backoffs = {name: one for name, one in self._backoffs.items() if one.until > now}
        outdated = [
            name
            for name, one in self._leaving.items()
            if now - one.at > LEAVING_KEPT_S and name not in there
        ]
        for name in outdated:
            del self._leaving[name]
        self._digest = None

    def list_leaving(self, now: float) -> tuple[Leaving, ...]:
        """List the leaving processes that other nodes are to know of."""
        return tuple(one for one in self._leaving.values() if now - one.at <= LEAVING_KEPT_S)

    def digest(self, now: float) -> int:
        """Return a hash that is equal on nodes that know the same leaving processes."""
        if self._digest is None:
            combined = 0
            for one in self.list_leaving(now):
                combined ^= stable_hash("leaving", f"{one.endpoint}/{one.started_ms}")
            self._digest = combined
        return self._digest


Row = t.TypeVar("Row")


def _bound(table: dict[str, Row]) -> None:
    """Remove the oldest entries of a table that exceeds ``NOTICES_MAX``."""
    while len(table) > NOTICES_MAX:
        del table[next(iter(table))]
