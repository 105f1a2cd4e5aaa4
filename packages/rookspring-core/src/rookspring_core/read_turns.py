"""Turns among the senders whose bytes a node has read and has still to handle.

Load: faulty endpoints send small events or chunks as fast as they are taken, on many connections
each. All that one round of reads brings takes seconds to handle, and nothing else is done
meanwhile: others' deadlines pass, and calls to the store end without an answer. So the work of a
turn is bounded, and senders share it in rotation, however many connections each has. What a turn
leaves unused is for whoever waits: a sender that is alone is as fast as the node.

Work is measured in bytes: those of the data, and ``LINE_WORK_BYTES`` for each line end in it, since
events and chunks are what takes time and both have line ends.
"""

import collections
import typing as t

from . import defaults

Waiter = t.TypeVar("Waiter")


def measure_work(data: bytes) -> int:
    """Return the work of handling some bytes, in bytes."""
    lines = data.count(b"\n") + data.count(b"\r")
    return len(data) + lines * defaults.LINE_WORK_BYTES


class ReadTurns(t.Generic[Waiter]):
    """Who may be handled in this turn; the others wait, in rotation by sender.

    :ivar work: what the waiters of each sender took since it began to wait, in bytes.
    """

    def __init__(self) -> None:
        self._left = defaults.TURN_WORK_BYTES
        self._at_once: dict[str, int] = {}
        # The next sender is first, and so is the next waiter of each.
        self._waiting: collections.OrderedDict[str, collections.deque[Waiter]] = (
            collections.OrderedDict()
        )
        self.work: dict[str, int] = {}

    def begin(self) -> None:
        """Begin a turn."""
        self._left = defaults.TURN_WORK_BYTES
        self._at_once.clear()

    def admit(self, source: str, work: int) -> bool:
        """Return whether bytes that have just been read may be handled at once.

        Each sender may have a little in each turn, whatever waits of others, as long as nothing of
        its own does.
        """
        if source in self._waiting:
            return False
        sum_bytes = self._at_once.get(source, 0) + work
        if sum_bytes > defaults.AT_ONCE_WORK_BYTES:
            return False
        self._at_once[source] = sum_bytes
        return True

    def wait(self, source: str, waiter: Waiter) -> None:
        """Add a waiter of a sender, behind its others."""
        self._waiting.setdefault(source, collections.deque()).append(waiter)

    def take(self) -> tuple[str, Waiter] | None:
        """Remove and return the next waiter and its sender; None at the end of the turn."""
        if self._left <= 0 or not self._waiting:
            return None
        source, waiters = self._waiting.popitem(last=False)
        waiter = waiters.popleft()
        if waiters:
            self._waiting[source] = waiters
        return source, waiter

    def spend(self, source: str, work: int) -> None:
        """Count the work that a waiter has taken."""
        self._left -= work
        self.work[source] = self.work.get(source, 0) + work

    def number_waiting(self, source: str) -> int:
        """Return how many wait of one sender."""
        return len(self._waiting.get(source, ()))

    @property
    def anyone_waits(self) -> bool:
        """Whether anyone waits for a further turn."""
        return bool(self._waiting)

    def forget_served(self) -> None:
        """Forget the work of the senders that no longer wait."""
        self.work = {one: work for one, work in self.work.items() if one in self._waiting}
