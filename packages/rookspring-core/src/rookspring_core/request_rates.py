"""Rate limits that endpoints announce: requests a second from all nodes together.

An overloaded endpoint announces a rate limit in its answers. It applies until an answer of the
same incarnation carries none, or another figure. Every node has to know it, since it bounds the
sum of what all nodes send; :mod:`slot_queues` enforces that bound.

Announcements may arrive out of order: with the heads of streams that began long ago, in late
answers, from other nodes. One is newer than another if its request was sent after the other was
received, by this node's clock. Where the order is unknown, the stricter limit applies until the
next answer. Between nodes, records carry versions instead of times: a node that learns of a newer
limit increments the version. Of two records with one version, the stricter applies.
"""

import typing as t

from . import defaults
from .hashing import stable_hash
from .notices import LEAVING_KEPT_S
from .notices import NOTICES_MAX
from .notices import may_be_same_process

# Lower limits are raised to this: an endpoint that accepts none gets one request in 10 s, whose
# answer shows when it accepts more.
RATE_MIN_PER_S = 0.1
# Limits from here on have no effect and count as none: the busiest endpoints of the largest
# deployment get some tens of requests a second (34,000 over 7,100 endpoints), and their slots
# limit them too.
RATE_MAX_PER_S = 1_000.0
# A node that received an answer with a rate limit within this time rejects another node's record
# that the limit has ended.
RATE_CONFIRMED_S = 1.0


class RateRecord(t.NamedTuple):
    """The rate limit of one incarnation of an endpoint.

    :param started_ms: the start of the incarnation as the endpoint reports it; 0 if unknown.
    :param rate: in requests a second; None if the limit has ended.
    """

    endpoint: str
    started_ms: int
    version: int
    rate: float | None


class _Known:
    """A record, when this node last learnt its figure, and when an answer last carried a limit."""

    __slots__ = ("received_at", "learnt_at", "record")

    def __init__(self, record: RateRecord, learnt_at: float, received_at: float) -> None:
        self.record = record
        self.learnt_at = learnt_at
        self.received_at = received_at


class RateTable:
    """The rate limits of endpoints, merged from the answers that all nodes receive."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        # Latest incarnations that report an earlier start than previous ones; see :mod:`restarts`.
        self._confirmed: dict[str, int] = {}
        self._expired_at = -1e9
        self._digest: int | None = None

    def set_limit(
        self, endpoint: str, started_ms: int, rate: float, asked_at: float | None, now: float
    ) -> tuple[RateRecord, ...]:
        """Apply a rate limit carried by an answer; returns the records to send to other nodes.

        :param asked_at: when the request of the answer was sent; None if unknown.
        """
        limit = None if rate >= RATE_MAX_PER_S else max(rate, RATE_MIN_PER_S)
        if limit is None:
            return self.end_limit(endpoint, started_ms, asked_at)
        known = self._of_incarnation(endpoint, started_ms)
        if known is None:
            return self._keep(RateRecord(endpoint, started_ms, 1, limit), now, now)
        before = known.record.rate
        known.received_at = now
        if before is not None and limit > before and not _after(asked_at, known.learnt_at):
            return ()
        known.learnt_at = now
        if limit == before:
            return ()
        return self._keep(
            known.record._replace(version=known.record.version + 1, rate=limit), now, now
        )

    def end_limit(
        self, endpoint: str, started_ms: int, asked_at: float | None
    ) -> tuple[RateRecord, ...]:
        """Apply an answer that carries no rate limit; returns the records to send to other nodes.

        It ends the limit only if its request was sent after the limit was learnt.
        """
        known = self._of_incarnation(endpoint, started_ms)
        if known is None or known.record.rate is None or not _after(asked_at, known.learnt_at):
            return ()
        record = known.record._replace(version=known.record.version + 1, rate=None)
        return self._keep(record, known.learnt_at, -1e9)

    def merge(self, rows: t.Iterable[RateRecord], now: float) -> "RateMerge":
        """Merge records of another node."""
        updates: list[RateRecord] = []
        corrections: list[RateRecord] = []
        for one in rows:
            known = self._known.get(one.endpoint)
            if self._confirmed.get(one.endpoint, one.started_ms) != one.started_ms:
                # A late record of a previous incarnation.
                continue
            if known is not None and _rank(one) <= _rank(known.record):
                continue
            if known is not None and self._contradicts(known, one, now):
                renewed = known.record._replace(version=one.version + 1)
                corrections += self._keep(renewed, now, known.received_at)
            else:
                updates += self._keep(one, now, -1e9)
        return RateMerge(tuple(updates), tuple(corrections))

    def _contradicts(self, known: _Known, one: RateRecord, now: float) -> bool:
        """Return whether a record ends a limit that an answer to this node has just carried."""
        if (
            one.rate is not None
            or known.record.rate is None
            or one.started_ms != known.record.started_ms
        ):
            return False
        return now - known.received_at < RATE_CONFIRMED_S

    def _keep(
        self, record: RateRecord, learnt_at: float, received_at: float
    ) -> tuple[RateRecord, ...]:
        self._known[record.endpoint] = _Known(record, learnt_at, received_at)
        while len(self._known) > NOTICES_MAX:
            del self._known[next(iter(self._known))]
        self._digest = None
        return (record,)

    def _of_incarnation(self, endpoint: str, started_ms: int) -> _Known | None:
        known = self._known.get(endpoint)
        return (
            known
            if known is not None and may_be_same_process(known.record.started_ms, started_ms)
            else None
        )

    def rate_of(self, endpoint: str, started_ms: int) -> float | None:
        """Return the rate limit of an incarnation, in requests a second; None if it has none."""
        known = self._of_incarnation(endpoint, started_ms)
        return known.record.rate if known is not None else None

    def begin_incarnation(self, endpoint: str, started_ms: int, confirmed: bool) -> None:
        """Start a new incarnation of an endpoint; limits of other incarnations are dropped.

        :param confirmed: it is the latest one, although it reports an earlier start.
        """
        if confirmed:
            self._confirmed[endpoint] = started_ms
            while len(self._confirmed) > NOTICES_MAX:
                del self._confirmed[next(iter(self._confirmed))]
        known = self._known.get(endpoint)
        if known is not None and known.record.started_ms != started_ms:
            del self._known[endpoint]
            self._digest = None

    def expire(self, now: float, present: t.Container[str]) -> None:
        """Remove, every ``EXPIRE_EVERY_S``, old records of endpoints that are no longer known.

        :param present: names of the endpoints that are known.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return
        self._expired_at = now
        late = [
            name
            for name, one in self._known.items()
            if name not in present and now - one.learnt_at > LEAVING_KEPT_S
        ]
        for name in late:
            del self._known[name]
            self._digest = None

    def records(self) -> tuple[RateRecord, ...]:
        """Return all records, for other nodes."""
        return tuple(one.record for one in self._known.values())

    def digest(self) -> int:
        """Return a hash of all records, for comparison with other nodes."""
        if self._digest is None:
            found = 0
            for one in self.records():
                found ^= stable_hash(
                    "rate", f"{one.endpoint}/{one.started_ms}/{one.version}/{one.rate}"
                )
            self._digest = found
        return self._digest


class RateMerge(t.NamedTuple):
    """The result of a merge.

    :param updates: records that were newer, to be forwarded to other nodes.
    :param corrections: this node's own records with a raised version, in place of rejected ones,
        to be sent to all nodes.
    """

    updates: tuple[RateRecord, ...]
    corrections: tuple[RateRecord, ...]


def _after(asked_at: float | None, learnt_at: float) -> bool:
    """Return whether an answer is certainly newer than what was learnt at a moment."""
    return asked_at is not None and asked_at > learnt_at


def _rank(record: RateRecord) -> tuple[int, int, bool, float]:
    """Order records by incarnation and version; of one version the stricter is the greater."""
    return record.started_ms, record.version, record.rate is not None, -(record.rate or 0.0)
