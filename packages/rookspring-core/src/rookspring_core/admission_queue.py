"""Queue at the entry node, ordered by deadline with a head start for each priority.

A priority subtracts a fixed number of seconds from the deadline when requests are
sorted. The head start is finite, so requests of the lowest priority are not starved;
a request that can no longer meet its deadline is refused at once.
"""

import heapq
import typing as t

from . import defaults


class Queued(t.NamedTuple):
    """One waiting request; the tuples sort in the order in which requests are sent."""

    sort_key: float
    arrived_at: float
    request_id: str
    tokens: int
    rank: int
    deadline_at: float


def make_sort_key(deadline_at: float, priority: str) -> float:
    """Return a request's sort key in the queue: its deadline less its priority's head start."""
    return deadline_at - defaults.PRIORITY_HEADSTART_S[priority]


class ThroughputMeter:
    """Measures the tokens a second that this node sends to endpoints shared by several targets."""

    def __init__(self) -> None:
        self.rate = 0.0
        self._served = 0.0

    def add_sent(self, tokens: int) -> None:
        """Count the tokens of a request that was sent to an endpoint."""
        self._served += tokens

    def measure(self, elapsed_s: float) -> None:
        """Update the rate: an exponential moving average over about two seconds.

        :param elapsed_s: since the last call, in seconds.
        """
        rate = self._served / max(elapsed_s, 1e-6)
        self._served = 0.0
        self.rate += (rate - self.rate) * min(1.0, elapsed_s / 2.0)

    def predict_wait_s(self, tokens: float) -> float:
        """Predict the wait behind so many queued tokens, in seconds; 0 while no rate is known."""
        return tokens / self.rate if self.rate > 0.0 else 0.0


class AdmissionQueue:
    """Waiting requests of one target.

    :param pool: the throughput of the endpoints that it shares with other queues.
    """

    def __init__(self, pool: ThroughputMeter) -> None:
        self.pool = pool
        self._heap: list[Queued] = []
        self._queued: dict[str, Queued] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, queued: Queued) -> None:
        """Add a request."""
        self._queued[queued.request_id] = queued
        heapq.heappush(self._heap, queued)

    def peek(self) -> Queued | None:
        """Return the next request without removing it."""
        # Removed or re-queued requests leave stale heap entries behind.
        while self._heap and self._queued.get(self._heap[0].request_id) is not self._heap[0]:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def remove(self, request_id: str) -> bool:
        """Remove a request from any position.

        :return: whether it was queued.
        """
        return self._queued.pop(request_id, None) is not None

    def change(self, request_id: str, deadline_at: float, sort_key: float | None = None) -> None:
        """Change until when a request waits, and its place in the order, if it is queued."""
        queued = self._queued.get(request_id)
        if queued is not None:
            key = queued.sort_key if sort_key is None else sort_key
            self.push(queued._replace(deadline_at=deadline_at, sort_key=key))

    def tokens_ahead(self, sort_key: float) -> int:
        """Sum the tokens of the requests whose sort key is not above the given one."""
        return sum(item.tokens for item in self._queued.values() if item.sort_key <= sort_key)

    def waiting(self) -> list[Queued]:
        """List all queued requests, unsorted."""
        return list(self._queued.values())

    def infeasible(self, now: float, token_s: float) -> list[Queued]:
        """List requests that cannot meet their deadline even if they were sent now.

        :param token_s: least seconds that one token takes.
        """
        return [
            item for item in self._queued.values() if now + item.tokens * token_s > item.deadline_at
        ]

    def last(self) -> Queued | None:
        """Return the request with the highest sort key, which is dropped when the queue is full."""
        return max(self._queued.values(), default=None)
