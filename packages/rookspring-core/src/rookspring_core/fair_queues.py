"""A queue by rank, and by start-time fair queueing between organisations within a rank.

An owner's queue of requests that wait for slots (:mod:`slot_queues`) or for places
(:mod:`place_queues`): an organisation that asks for many times its usual share does not delay the
others, whose next request has an earlier start tag.
"""

import heapq
import itertools
import typing as t

R = t.TypeVar("R")


class Waiting(t.NamedTuple, t.Generic[R]):
    """A waiting request; tuples compare in the order of service.

    :param start_tag: its start tag in start-time fair queueing between organisations.
    :param number: counts the requests, so that of equal ones the first is served first.
    :param until: time from which on it is late, in seconds of the node's clock.
    :param lane: number of the group of requests in which organisations share fairly.
    :param raise_at: time from which on its rank is to be raised by one; infinite for never.
    """

    rank: int
    start_tag: float
    number: int
    request: R
    until: float
    lane: int
    raise_at: float


class FairQueue(t.Generic[R]):
    """Waiting requests in the order of service."""

    def __init__(self) -> None:
        self._heap: list[Waiting[R]] = []
        self._numbers = itertools.count()
        # By lane: virtual time, the start tag served last; and each organisation's next start tag.
        self._virtual_times: dict[int, float] = {}
        self._next_start_tags: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> t.Iterator[Waiting[R]]:
        return iter(self._heap)

    def start_tag(self, organisation: str, lane: int = 0) -> float:
        """Return the start tag that an organisation's next request would have."""
        virtual_time = self._virtual_times.get(lane, 0.0)
        return max(virtual_time, self._next_start_tags.get((lane, organisation), 0.0))

    def push(
        self,
        request: R,
        organisation: str,
        rank: int,
        until: float,
        cost: float = 1.0,
        lane: int = 0,
        raise_at: float = float("inf"),
    ) -> None:
        """Add a request.

        :param cost: what it takes of its organisation's share.
        """
        start_tag = self.start_tag(organisation, lane)
        self._next_start_tags[lane, organisation] = start_tag + cost
        number = next(self._numbers)
        heapq.heappush(self._heap, Waiting(rank, start_tag, number, request, until, lane, raise_at))

    def peek(self) -> Waiting[R] | None:
        """Return the next request without removing it."""
        return self._heap[0] if self._heap else None

    def pop(self) -> Waiting[R]:
        """Remove the next request, which is served."""
        one = heapq.heappop(self._heap)
        self._virtual_times[one.lane] = max(self._virtual_times.get(one.lane, 0.0), one.start_tag)
        return one

    def discard(self, waiting: Waiting[R]) -> None:
        """Remove a request that is to be added again."""
        self._heap.remove(waiting)
        heapq.heapify(self._heap)

    def ahead(self, rank: int, start_tag: float) -> list[Waiting[R]]:
        """Return the requests that are served before a new one with this rank and start tag."""
        return [one for one in self._heap if (one.rank, one.start_tag) <= (rank, start_tag)]

    def overdue_heads(self, now: float) -> list[Waiting[R]]:
        """Return the requests that are next in their lane and whose rank is to be raised."""
        heads: dict[int, Waiting[R]] = {}
        for one in self._heap:
            heads[one.lane] = min(one, heads.get(one.lane, one))
        return [one for one in heads.values() if one.raise_at <= now]

    def remove(self, wanted: t.Callable[[Waiting[R]], bool]) -> list[Waiting[R]]:
        """Remove the requests for which a predicate holds, and return them."""
        found = [one for one in self._heap if wanted(one)]
        if found:
            self._heap = [one for one in self._heap if not wanted(one)]
            heapq.heapify(self._heap)
        if not self._heap:
            # An empty queue ends the busy period: organisations start anew as equals.
            self._next_start_tags.clear()
        return found
