"""Queue at the entry node, ordered by deadline within weighted priority.

A weight moves a request ahead in the deadline order by a fixed number of
seconds. Since that head start is finite, a request of the lowest weight is
reached in the end; one that can no longer meet its deadline is refused at once.
"""

import heapq
import typing as t

from . import defaults


class Queued(t.NamedTuple):
    """One waiting request; the tuple's order is the order of service."""

    order: float
    arrived_at: float
    request_id: str
    tokens: int
    rank: int
    deadline_at: float


def order_of(deadline_at: float, priority: str) -> float:
    """Give a request's place in the queue: its deadline less its head start."""
    return deadline_at - defaults.PRIORITY_HEADSTART_S[priority]


class Pace:
    """Tokens a second that this node sends to endpoints which several targets share."""

    def __init__(self) -> None:
        self.rate = 0.0
        self._served = 0.0

    def served(self, tokens: int) -> None:
        """Count work that was sent on."""
        self._served += tokens

    def measure(self, passed: float) -> None:
        """Learn the pace over about two seconds."""
        rate = self._served / max(passed, 1e-6)
        self._served = 0.0
        self.rate += (rate - self.rate) * min(1.0, passed / 2.0)

    def wait(self, ahead: float) -> float:
        """Predict the wait behind so many tokens, in seconds."""
        return ahead / self.rate if self.rate > 0.0 else 0.0


class AdmissionQueue:
    """Waiting requests of one target.

    :param pool: the pace of the endpoints that it shares.
    """

    def __init__(self, pool: Pace) -> None:
        self.pool = pool
        self._heap: list[Queued] = []
        self._live: dict[str, Queued] = {}

    def __len__(self) -> int:
        return len(self._live)

    def push(self, queued: Queued) -> None:
        """Add a request."""
        self._live[queued.request_id] = queued
        heapq.heappush(self._heap, queued)

    def peek(self) -> Queued | None:
        """Give the request that is next, and leave it in place."""
        # A request may have been taken out, or put in again at another place.
        while self._heap and self._live.get(self._heap[0].request_id) is not self._heap[0]:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def remove(self, request_id: str) -> bool:
        """Take a request out, wherever it stands."""
        return self._live.pop(request_id, None) is not None

    def ahead(self, order: float) -> int:
        """Count the tokens that wait before a request with this order."""
        return sum(one.tokens for one in self._live.values() if one.order <= order)

    def waiting(self) -> list[Queued]:
        """List all requests that wait."""
        return list(self._live.values())

    def hopeless(self, now: float, token_s: float) -> list[Queued]:
        """List requests that cannot meet their deadline even if served now.

        :param token_s: seconds that a token takes at best.
        """
        return [one for one in self._live.values() if now + one.tokens * token_s > one.deadline_at]

    def worst(self) -> Queued | None:
        """Give the request that stands last, the one to give way when the queue is full."""
        return max(self._live.values(), default=None)
