"""A virtual clock: callbacks in order of time, with no waiting."""

import heapq
import typing as t


class VirtualClock:
    """Runs callbacks at their times; equal times run in the order they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.steps = 0
        self._heap: list[tuple[float, int, t.Callable[..., None], tuple[t.Any, ...]]] = []
        self._count = 0

    def call(self, delay_s: float, function: t.Callable[..., None], *args: t.Any) -> None:
        """Run a function after a delay."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay_s), self._count, function, args))

    def run(self, until: float) -> None:
        """Run all that is due up to a time."""
        while self._heap and self._heap[0][0] <= until:
            due, _, function, args = heapq.heappop(self._heap)
            self.now = max(self.now, due)
            self.steps += 1
            function(*args)
        self.now = max(self.now, until)
