"""The log of values of messages between nodes that were dropped, bounded for each sender."""

import typing as t

from . import clock
from . import defaults
from .logs import log


class _Count:
    """How many values were dropped since the last line, and when that was logged."""

    __slots__ = ("logged_at", "number")

    def __init__(self) -> None:
        self.logged_at = -1e9
        self.number = 0


class DroppedValues:
    """Logs what is dropped: one line for each node and kind in ``DROPPED_LOG_INTERVAL_S``.

    A sender may repeat an odd value with each heartbeat.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str, str], _Count] = {}

    def note(self, peer: str, step: str, kind: str, reason: str) -> None:
        """Count a dropped value, and log it unless one like it was logged lately.

        :param peer: the node that sent it; empty for this node.
        :param step: what could not be done with it: ``decode``, ``handle`` or ``encode``.
        :param kind: tag of its message.
        """
        now = clock.now()
        if len(self._counts) >= defaults.DROPPED_KINDS_MAX:
            self._counts.clear()
        count = self._counts.setdefault((peer, step, kind), _Count())
        count.number += 1
        if now - count.logged_at < defaults.DROPPED_LOG_INTERVAL_S:
            return
        log(
            "value_dropped",
            "WARNING",
            peer=peer,
            step=step,
            message=kind,
            number=count.number,
            reason=reason[: defaults.DROPPED_REASON_MAX],
        )
        count.logged_at = now
        count.number = 0


# One for the process: a message for several nodes is encoded before its links are known.
DROPPED = DroppedValues()


def note_unsendable(kind: str, reason: str) -> None:
    """Note a value of this node's own that no message can carry."""
    DROPPED.note("", "encode", kind, reason)


def note_from(peer: str, step: str) -> t.Callable[[str, str], None]:
    """Return a function that notes values of a node's messages, by kind and reason."""
    return lambda kind, reason: DROPPED.note(peer, step, kind, reason)
