"""The room that a node has for large answers, and who may be read into it now.

Load: more large answers are asked for at once than a node may hold. If all are read side by side
none ends before the bytes of others have to be given up, though each would fit by itself. So an
answer whose size is stated is read once there is room for all of it, and waits at its endpoint
until then. Endpoints come in the order of what they have in the room, the least first.

An endpoint may state a size and send too little for its request's time, or nothing. What its answer
was let in for is then taken back but for what has come, and the endpoint comes after others for a
while: it holds up nobody for longer.
"""

import typing as t

from . import defaults


class Progress(t.NamedTuple):
    """What had come of an answer at a time.

    :ivar at: in seconds.
    :ivar got: in bytes.
    """

    at: float
    got: int


class RoomEntry:
    """An answer that is to be read.

    :param source: the endpoint whose answer it is.
    :param size: the size that it states, in bytes.
    :param deadline: when its request's time is over, in seconds by the caller's clock.
    :ivar admitted: whether it may be read now.
    :ivar got: what has come of it, in bytes.
    """

    __slots__ = ("_last", "admitted", "deadline", "got", "lapsed", "size", "source")

    def __init__(self, source: str, size: int, deadline: float) -> None:
        self.source = source
        self.size = size
        self.deadline = deadline
        self.admitted = False
        self.got = 0
        self.lapsed = False
        # The last check since it was let in.
        self._last: Progress | None = None

    @property
    def reserved(self) -> int:
        """What it takes of the room, in bytes."""
        if not self.admitted:
            return 0
        return self.got if self.lapsed else self.size

    @property
    def holds(self) -> bool:
        """Whether it has room for all of it."""
        return self.admitted and not self.lapsed

    def check(self, now: float) -> bool:
        """Return whether it has lapsed now: since the last check too little came of it."""
        if not self.holds or self.got >= self.size:
            return False
        last, self._last = self._last, Progress(now, self.got)
        if last is not None:
            came = self.got - last.got
            would_come = came * (self.deadline - now) / max(now - last.at, defaults.ROOM_CHECK_S)
            too_late = would_come < self.size - self.got
            self.lapsed = came < defaults.ROOM_PROGRESS_BYTES or too_late
        return self.lapsed


class AnswerRoom:
    """The answers that are being read or wait to be, in the order in which they came."""

    def __init__(self) -> None:
        self._entries: dict[RoomEntry, None] = {}
        # How many answers of a source have lapsed lately.
        self._lapses: dict[str, float] = {}

    def enter(self, source: str, size: int, deadline: float) -> RoomEntry:
        """Add an answer, which waits until :meth:`admit` lets it in; see :class:`RoomEntry`."""
        entry = RoomEntry(source, size, deadline)
        self._entries[entry] = None
        return entry

    def leave(self, entry: RoomEntry) -> None:
        """Remove an answer that has been passed on or given up, or that nobody wants any more."""
        self._entries.pop(entry, None)

    def admit(self, room: int) -> list[RoomEntry]:
        """Let in those that fit, and return them.

        One is always let in if no other has room, however large: it would wait for ever.

        :param room: what all together may take, in bytes.
        """
        reserved = {one.source: 0 for one in self._entries}
        for one in self._entries:
            reserved[one.source] += one.reserved
        taken = sum(reserved.values())
        anyone = any(one.holds for one in self._entries)
        waiting = [one for one in self._entries if not one.admitted]
        admitted = []
        while waiting:
            first = min(
                waiting, key=lambda one: (self._lapses.get(one.source, 0.0), reserved[one.source])
            )
            if anyone and taken + first.size > room:
                break
            first.admitted = True
            waiting.remove(first)
            admitted.append(first)
            reserved[first.source] += first.size
            taken += first.size
            anyone = True
        return admitted

    def check(self, now: float) -> list[RoomEntry]:
        """Take room back from those that bring too little, and return them.

        To be called once in ``ROOM_CHECK_S`` while anyone waits.

        :param now: in seconds, by the clock of the deadlines.
        """
        kept = {source: n * defaults.LAPSES_KEPT for source, n in self._lapses.items()}
        self._lapses = {source: n for source, n in kept.items() if n >= defaults.LAPSES_MIN}
        lapsed = [one for one in self._entries if one.check(now)]
        for one in lapsed:
            self._lapses[one.source] = self._lapses.get(one.source, 0.0) + 1.0
        return lapsed
