"""Slots: the right to send one request to an endpoint, granted by one node for all nodes.

A plain service has a few endpoints with a few slots each, and its requests run for less time
than passes between the heartbeats that carry the load of other nodes. When each of 69 nodes chose
endpoints on its own, endpoints with 6 slots were sent 30 requests, which took 0.35 s instead of
0.06 s, and the endpoints rejected the rest. So one node, the service's *owner*, grants the slots:
by rank, and fairly between organisations within a rank. A request that can't be answered within
its objective is refused at once.

This handles overload: admitted requests are answered in time, and the rest are refused before
they wait. See ``docs/design/shifted.md`` for the alternative and the figures.

An endpoint may limit how many requests a second it accepts from all nodes together. Its owner
grants no more slots than that, for endpoints of plain services and for model runners, which have
a queue each. If every node kept to the whole limit by itself, the sum would exceed it; with a
fixed part of the limit each, nodes would serve nothing: see ``docs/design/request-rates.md``.
"""

import typing as t

from . import defaults
from . import open_ends
from .fair_queues import FairQueue
from .invariant_checkers import RateChecker
from .open_ends import OpenEnds
from .rate_buckets import RateBucket


class PlaceTerms(t.NamedTuple):
    """What a request takes of a model endpoint; see :mod:`place_queues`.

    :param prompt_work: its prompt's size in tokens of the slowest model.
    :param work: its prompt and weighted answer, in tokens of the slowest model.
    """

    prompt_work: int
    work: float


class SlotRequest(t.NamedTuple):
    """A request that needs a slot.

    :param origin: the node that received it; ``key`` is its id there.
    :param rank: 0 is the most urgent and is served first.
    :param organisation: the customer; organisations share the slots of a rank fairly.
    :param wait_s: seconds that it may wait; the time of its run is not deducted.
    :param avoid: the endpoint at which it failed before.
    :param rate: the endpoint's rate limit in requests a second, as known to the origin; None
        if any endpoint of a service will do.
    :param place: what it takes of its model endpoint; None unless it needs a place there.
    """

    origin: str
    key: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str = ""
    rate: float | None = None
    place: PlaceTerms | None = None


class SlotAnswer(t.NamedTuple):
    """The owner's answer to a request for a slot.

    :param endpoint: where the slot was granted; empty if the request waits or is refused.
    :param after_s: seconds after which to retry if it is refused; else 0.
    :param rated: the slot counts towards the endpoint's rate limit.
    :param avoid_s: seconds for which its node should prefer other endpoints, if there are any.
    :param blind: it is refused because the owner knows no endpoint that accepts work; the
        request's own node may know one.
    """

    origin: str
    key: str
    endpoint: str = ""
    after_s: float = 0.0
    rated: bool = False
    avoid_s: float = 0.0
    blind: bool = False


class SlotEndpoint(t.NamedTuple):
    """An endpoint that accepts work.

    :param slots: how many requests run there at once; 0 if the queue does not limit that.
    :param rate: its rate limit in requests a second; None if it has none.
    :param restarted_at: when its process was found to be another one.
    """

    name: str
    slots: int
    rate: float | None = None
    restarted_at: float = -1e9


class _Grant(t.NamedTuple):
    """A granted slot: when it was granted, and how many permits its endpoint had before."""

    at: float
    permits_before: float


class _EndpointSlots:
    """The granted slots of one endpoint, and how long requests run there."""

    __slots__ = ("bucket", "grants", "open_ends", "restarted_at", "run_s", "witness")

    def __init__(self) -> None:
        self.grants: dict[tuple[str, str], _Grant] = {}
        self.run_s = defaults.SLOT_RUN_S
        # The answers to all nodes of which nothing showed the end, by one process.
        self.open_ends = OpenEnds()
        self.restarted_at = -1e9
        # None unless the endpoint has a rate limit.
        self.bucket: RateBucket | None = None
        # For the invariant check on the rate of all grants.
        self.witness = RateChecker()

    def record_run(self, took_s: float) -> None:
        self.run_s += (took_s - self.run_s) * defaults.SLOT_RUN_GAIN

    def set_restarted(self, restarted_at: float) -> None:
        """Forget how the answers of another process ended."""
        if restarted_at != self.restarted_at:
            self.restarted_at = restarted_at
            self.open_ends.end_row()

    def set_rate(self, rate: float | None, opens_at: float, now: float) -> None:
        """Set the rate limit; an endpoint that had none starts without permits."""
        if rate is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = RateBucket(rate, max(opens_at, now))
        else:
            self.bucket.set_rate(rate, now)

    def grant(self, key: tuple[str, str], now: float) -> None:
        permits_before = 0.0
        if self.bucket is not None:
            permits_before = self.bucket.take(now)
            self.witness.note(now, self.bucket.rate)
        self.grants[key] = _Grant(now, permits_before)

    def return_unsent(self, grant: _Grant, now: float) -> None:
        """Return the permit of a slot with which nothing was sent."""
        if self.bucket is None:
            return
        self.witness.forget(grant.at)
        if not self.bucket.return_permit(grant.permits_before, grant.at, now):
            return
        # Later grants would have found one more permit in the bucket.
        for key, one in self.grants.items():
            if one.at >= grant.at:
                self.grants[key] = one._replace(permits_before=one.permits_before + 1.0)


class _PermitRequesters:
    """Nodes that have requested permits lately, and for how long each avoids the endpoint.

    A node avoids it for a share of the time in which all these nodes could get one permit each.
    If 195 nodes requested whenever they could, each would compete for every permit, and only one
    would get it. The share falls while permits are left unused, and rises with each request that
    finds none.
    """

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}
        self._share = defaults.PERMIT_AVOID_SHARE

    def avoid_s(self, origin: str, rate: float, permits: float, now: float) -> float:
        """Return the seconds for which a node should prefer other endpoints.

        :param permits: how many were available when it asked.
        """
        if permits < 1.0:
            self._share = min(defaults.PERMIT_AVOID_SHARE, self._share * defaults.PERMIT_AVOID_RISE)
        elif permits >= defaults.PERMIT_BURST:
            self._share = max(defaults.PERMIT_AVOID_LEAST, self._share * defaults.PERMIT_AVOID_FALL)
        self._requested_at.pop(origin, None)
        self._requested_at[origin] = now
        kept_s = max(defaults.PERMIT_REQUESTERS_S, 2.0 * len(self._requested_at) / rate)
        while now - next(iter(self._requested_at.values())) > kept_s:
            del self._requested_at[next(iter(self._requested_at))]
        share_s = len(self._requested_at) / rate * self._share
        return min(defaults.PERMIT_AVOID_MAX_S, share_s)


class SlotQueue:
    """Slots and waiting requests of a service, of one of its partitions, or of one endpoint."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _EndpointSlots] = {}
        # Endpoints that accept work, and how many requests each may have at once.
        self._open: dict[str, float] = {}
        self._requesters = _PermitRequesters()
        # The rate limit of its one endpoint, as the last requesting node knew it.
        self.requester_rate: float | None = None
        # Since when its node has owned it; see :meth:`set_endpoints`.
        self.owned_since = -1e9
        # The latest time at which a refused caller was told to retry.
        self._latest_retry_at = -1e9
        self._waiting: FairQueue[SlotRequest] = FairQueue()

    def run_s(self, endpoint: str) -> float:
        """Return the estimated time that a request runs at an endpoint, in seconds."""
        return self._endpoints[endpoint].run_s

    def idle(self) -> bool:
        """Return whether no request waits."""
        return not self._waiting

    def set_endpoints(
        self, endpoints: t.Iterable[SlotEndpoint], since: float = -1e9, now: float = 0.0
    ) -> None:
        """Set the endpoints that accept work now.

        :param since: since when this node owns the queue. The previous owner may have granted up
            to the full rate until then, and for ``OWNER_TAKEOVER_S`` after, while both nodes may
            regard themselves as the owner; so permits start at none after that time. How answers
            ended in between, that owner was told.
        """
        if since != self.owned_since:
            self.owned_since = since
            for slots in self._endpoints.values():
                slots.bucket = None
                slots.open_ends.end_row()
        self._open = {}
        for one in endpoints:
            self._open[one.name] = concurrency_limit(one.slots)
            slots = self._endpoints.setdefault(one.name, _EndpointSlots())
            slots.set_restarted(one.restarted_at)
            slots.set_rate(one.rate, since + defaults.OWNER_TAKEOVER_S, now)
        for name in set(self._endpoints) - set(self._open):
            if not self._endpoints[name].grants:
                del self._endpoints[name]

    def request_slot(self, request: SlotRequest, now: float) -> list[SlotAnswer]:
        """Grant a request a slot, queue it, or refuse it at once."""
        self._expire(now)
        start_tag = self._waiting.start_tag(request.organisation)
        wait_s = self._wait_s(request.rank, start_tag, now)
        spare_s = request.wait_s
        if request.rate is None:
            spare_s -= defaults.SLOT_RUN_MARGIN * self._run_s()
        if not self._open or wait_s > max(0.0, spare_s):
            return [self._refuse(request, wait_s, now)]
        until = now + max(0.0, spare_s)
        self._waiting.push(request, request.organisation, request.rank, until)
        answers = self._grant(now)
        if not any(one.key == request.key and one.origin == request.origin for one in answers):
            answers.append(SlotAnswer(request.origin, request.key))
        return answers

    def note_end(self, endpoint: str, open_end: bool, now: float) -> None:
        """Record how an answer with a slot ended, before the slot is free.

        :param open_end: nothing showed its end; otherwise it was whole.
        """
        slots = self._endpoints.get(endpoint)
        if slots is None:
            return
        if open_end:
            slots.open_ends.note(now)
        else:
            slots.open_ends.end_row()

    def free(
        self,
        endpoint: str,
        origin: str,
        key: str,
        took_s: float,
        now: float,
        unsent: bool = False,
    ) -> list[SlotAnswer]:
        """Release the slot of a request that is over, and grant free slots to waiting requests.

        :param took_s: how long it ran, in seconds; 0 if nothing ran.
        :param unsent: nothing of it was sent.
        """
        slots = self._endpoints.get(endpoint)
        grant = slots.grants.pop((origin, key), None) if slots is not None else None
        if slots is not None and grant is not None:
            if took_s > 0.0:
                slots.record_run(took_s)
            if unsent:
                slots.return_unsent(grant, now)
        return self.process_waiting(now)

    def process_waiting(self, now: float) -> list[SlotAnswer]:
        """Grant free slots, and refuse requests that have waited for too long."""
        self._expire(now)
        return [*self._grant(now), *self._refuse_late(now)]

    def _refuse(self, request: SlotRequest, wait_s: float, now: float) -> SlotAnswer:
        least, most = defaults.RETRY_AFTER_NO_SLOT_S
        if request.rate is None:
            after_s = min(most, max(least, wait_s))
            return SlotAnswer(request.origin, request.key, "", after_s, blind=not self._open)
        avoid_s = self._requesters.avoid_s(request.origin, request.rate, 0.0, now)
        after_s = max(defaults.PERMIT_RETRY_S, wait_s)
        if request.wait_s > 0.0:
            # Each refused caller gets a later retry time, one permit interval apart: with the
            # same time, all would retry for the same permit.
            due_at = max(now + after_s, self._latest_retry_at + 1.0 / request.rate)
            self._latest_retry_at = min(due_at, now + most)
            after_s = max(after_s, self._latest_retry_at - now)
        return SlotAnswer(request.origin, request.key, "", after_s, False, max(avoid_s, wait_s))

    def _grant(self, now: float) -> list[SlotAnswer]:
        answers = []
        while (head := self._waiting.peek()) is not None:
            request = head.request
            name = self._choose(request.avoid, now)
            if name is None:
                break
            self._waiting.pop()
            slots = self._endpoints[name]
            slots.grant((request.origin, request.key), now)
            rated = slots.bucket is not None
            avoid_s = 0.0
            if request.rate is not None:
                permits = slots.grants[(request.origin, request.key)].permits_before
                avoid_s = self._requesters.avoid_s(request.origin, request.rate, permits, now)
            answers.append(SlotAnswer(request.origin, request.key, name, 0.0, rated, avoid_s))
        return answers

    def _choose(self, avoid: str, now: float) -> str | None:
        """Choose the endpoint with a free slot that is expected to finish a request soonest.

        Not one that is passed over, if there is another, nor the one to avoid.
        """
        free = {
            name: slots.run_s * (1.0 + len(slots.grants) / limit)
            for name, limit in self._open.items()
            if len((slots := self._endpoints[name]).grants) < limit
            and (slots.bucket is None or slots.bucket.permits(now) >= 1.0)
        }
        shown = open_ends.choose_shown(list(free), self._open_ends_of, now)
        others = [name for name in shown if name != avoid]
        return min(others or shown, key=free.__getitem__, default=None)

    def _open_ends_of(self, endpoint: str) -> OpenEnds:
        return self._endpoints[endpoint].open_ends

    def _refuse_late(self, now: float) -> list[SlotAnswer]:
        late = self._waiting.remove(lambda one: one.until <= now)
        return [
            self._refuse(one.request, self._wait_s(one.rank, one.start_tag, now), now)
            for one in late
        ]

    def _expire(self, now: float) -> None:
        """Drop slots held for longer than ``SLOT_LEASE_S``: their node is gone or cut off."""
        for slots in self._endpoints.values():
            old = [key for key, one in slots.grants.items() if now - one.at > defaults.SLOT_LEASE_S]
            for key in old:
                del slots.grants[key]

    def _run_s(self) -> float:
        """Return the mean estimated run time over the open endpoints, in seconds."""
        times = [self._endpoints[name].run_s for name in self._open]
        return sum(times) / len(times) if times else defaults.SLOT_RUN_S

    def _wait_s(self, rank: int, start_tag: float, now: float) -> float:
        """Predict how long a request waits for a slot, in seconds."""
        if self._choose("", now) is not None and not self._waiting:
            return 0.0
        ahead = 1 + len(self._waiting.ahead(rank, start_tag))
        throughput = sum(self._throughput(name) for name in self._open)
        buckets = [self._endpoints[name].bucket for name in self._open]
        rated = [one for one in buckets if one is not None]
        if throughput <= 0.0:
            return float("inf")
        if len(rated) < len(buckets):
            return ahead / throughput
        return min(one.due_in_s(now) for one in rated) + (ahead - 1) / throughput

    def _throughput(self, name: str) -> float:
        """Return how many requests a second an endpoint can be sent."""
        slots = self._endpoints[name]
        throughput = self._open[name] / slots.run_s
        return throughput if slots.bucket is None else min(throughput, slots.bucket.rate)


def concurrency_limit(slots: int) -> float:
    """Return how many requests to send an endpoint at once, so that its slots are never idle."""
    if slots == 0:
        return float("inf")
    return slots + max(1, round(slots * defaults.SLOT_AHEAD_SHARE))
