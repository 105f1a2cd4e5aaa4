"""Holds endpoints back whose large answers don't fit yet, by :mod:`answer_room`.

What waits isn't taken from its connection, which therefore reads no more from its endpoint.
"""

import asyncio
import typing as t

from rookspring_core import defaults as core_defaults
from rookspring_core.answer_room import AnswerRoom
from rookspring_core.answer_room import RoomEntry

from . import clock
from . import defaults
from .logs import log

if t.TYPE_CHECKING:
    from .byte_budget import ByteBudget


class HeldBack:
    """The large answers of one budget that are being read or wait to be.

    :param budget: bounds their room, beside what waits for callers.
    """

    def __init__(self, budget: "ByteBudget") -> None:
        self._budget = budget
        self._room = AnswerRoom()
        # Called as an answer that waits is let in.
        self._waiting: dict[RoomEntry, t.Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._checked_at = 0.0

    def enter(
        self, source: str, size: int, deadline: float, on_admitted: t.Callable[[], None]
    ) -> RoomEntry:
        """Add an answer to be read, which may be let in at once.

        :param source: the endpoint whose answer it is.
        :param size: the size that it states, in bytes.
        :param deadline: when its request's time is over, by :func:`clock.now`.
        :param on_admitted: called as it is let in.
        """
        entry = self._room.enter(source, size, deadline)
        self._waiting[entry] = on_admitted
        self._admit()
        if not entry.admitted:
            log("answer_held_back", endpoint=source, bytes=size, waiting=len(self._waiting))
            self._schedule()
        return entry

    def leave(self, entry: RoomEntry) -> None:
        """Remove an answer; see :meth:`AnswerRoom.leave`.

        Whoever fits then is let in soon: its bytes may just be moving to its caller's connection.
        """
        self._room.leave(entry)
        self._waiting.pop(entry, None)

    def _admit(self) -> None:
        for entry in self._room.admit(self._budget.answer_room()):
            self._waiting.pop(entry)()

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(defaults.ROOM_LOOK_S, self._look)

    def _look(self) -> None:
        """Let in whoever fits, as others have left and callers have read."""
        self._timer = None
        now = clock.now()
        if now - self._checked_at >= core_defaults.ROOM_CHECK_S:
            self._checked_at = now
            for entry in self._room.check(now):
                log(
                    "answer_stalled",
                    "WARNING",
                    endpoint=entry.source,
                    bytes=entry.size,
                    got=entry.got,
                )
        self._admit()
        if self._waiting:
            self._schedule()
