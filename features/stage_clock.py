"""A clock of a stage's own, which stands still while the stage has no processor time.

By it a stage tells that it had too little time for what a check counts, and goes on. It omits only
time in which the stage's thread was runnable without a processor, or in which its event loop stood
still and the thread used none.
"""

import asyncio
import contextlib
import pathlib
import time
import typing as t

# Time between two readings, in seconds.
TICK_S = 0.05
# Lacking time in one of them that is a stall, in seconds: it can fail a request with a deadline of
# one second.
STALL_S = 0.7
# Of a thread: its time on a processor, then its time of waiting for one, in nanoseconds.
SCHEDULER_TIMES = pathlib.Path("/proc/thread-self/schedstat")


class Stall(t.NamedTuple):
    """A time in which the stage stood still, by the monotonic clock."""

    begun_at: float
    ended_at: float


class StageClock:
    """Counts in the event loop that runs it, in steps of about ``TICK_S``."""

    def __init__(self):
        self.now = 0.0
        self.stalls = []
        # Up to when it has counted, by the monotonic clock.
        self.read_at = 0.0

    @contextlib.asynccontextmanager
    async def run(self):
        counting = asyncio.ensure_future(self._count())
        try:
            yield
        finally:
            counting.cancel()

    async def wait(self, task, seconds):
        """Return whether a task has ended before this clock has counted a time."""
        end = self.now + seconds
        while not task.done() and self.now < end:
            await asyncio.wait([task], timeout=max(TICK_S, end - self.now))
        return task.done()

    async def _count(self):
        before = _read()
        self.read_at = before.at
        while True:
            await asyncio.sleep(TICK_S)
            after = _read()
            passed_s = after.at - before.at
            used_s = after.used_s - before.used_s
            stood_s = passed_s - TICK_S - used_s
            lacked_s = max(0.0, stood_s, after.waited_s - before.waited_s)
            self.now += max(0.0, passed_s - lacked_s)
            if lacked_s > STALL_S:
                self.stalls.append(Stall(before.at, after.at))
            before = after
            self.read_at = after.at


class _Reading(t.NamedTuple):
    """The time, and what this thread has had of a processor and waited for one, in seconds."""

    at: float
    used_s: float
    waited_s: float


def _read():
    return _Reading(time.monotonic(), time.thread_time(), _read_waited_s())


def _read_waited_s():
    """Return how long this thread has waited for a processor; 0 where the system doesn't tell."""
    if not SCHEDULER_TIMES.exists():
        return 0.0
    _, waited_ns, _ = SCHEDULER_TIMES.read_text().split()
    return int(waited_ns) / 1e9
