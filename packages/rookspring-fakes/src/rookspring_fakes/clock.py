"""A virtual clock, which runs callbacks in order of time without waiting."""

import heapq
import typing as t


class VirtualClock:
    """Runs callbacks in order of time; those due at the same time in the order of registration."""

    def __init__(self) -> None:
        self.now = 0.0
        self.steps = 0
        self._heap: list[tuple[float, int, t.Callable[..., None], tuple[t.Any, ...]]] = []
        self._count = 0

    def call(self, delay_s: float, function: t.Callable[..., None], *args: t.Any) -> None:
        """Schedule a function to run after a delay; a negative delay counts as zero."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + max(0.0, delay_s), self._count, function, args))

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time, then set the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            due, _, function, args = heapq.heappop(self._heap)
            self.now = max(self.now, due)
            self.steps += 1
            function(*args)
        self.now = max(self.now, until)
