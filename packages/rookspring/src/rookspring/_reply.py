"""The answer to one request on a connection to an endpoint, as it arrives."""

import asyncio
import collections
import typing as t

from rookspring_core.answer_room import RoomEntry

from . import clock
from . import defaults
from .byte_budget import ByteBudget
from .byte_budget import Holding
from .digits import parse_digits
from .exceptions import EndpointError
from .http_messages import HttpHead


class Reply:
    """The answer to one request, as it arrives.

    :param on_unread: called with the number of bytes that were received and not taken yet, when
        it changes.
    :param holding: counts the bytes that wait here or with the reader; it gives this answer up.
    """

    def __init__(
        self,
        on_unread: t.Callable[[int], None] = lambda unread: None,
        holding: Holding | None = None,
    ) -> None:
        self.head: HttpHead | None = None
        self._on_unread = on_unread
        # What waits here; it may be lent while the reader waits for somebody else.
        self.holding = holding or ByteBudget().open("")
        self.holding.give_up = self.fail
        # What the reader keeps of the parts that it has taken, and the connection of the next one.
        self._kept_bytes = 0
        self._held_back_bytes = 0
        # Its place among large answers, if it is one that is read whole.
        self._entry: RoomEntry | None = None
        # Whether reading from the endpoint was ever stopped. From then on parts may arrive when the
        # caller has taken others, and not when the endpoint sent them.
        self.held_up = False
        # Whether part of a chunk was handed on that may yet be broken off.
        self.chunk_open = False
        # Whether it failed within a chunk.
        self.torn = False
        self._unread_bytes = 0
        self._parts: collections.deque[bytes] = collections.deque()
        # When each of the parts arrived, and when the part arrived that was taken last.
        self._arrivals: collections.deque[float] = collections.deque()
        self.part_arrived_at = 0.0
        self.complete = False
        self.failure = ""
        # Whether the endpoint closed or reset the connection; false if it stopped responding.
        self.closed_by_endpoint = False
        # Whether it ended with its connection, so that nothing but the close shows its end.
        self.ended_by_close = False
        # The same of an answer in a coding that isn't read here, which fails and may be whole.
        self.failed_by_close = False
        # Whether it was given up, as too many bytes wait at this node.
        self.given_up = False
        # Called then; its connection is of no use any more.
        self.on_given_up: t.Callable[[], None] = lambda: None
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the task that waits for the head or the next part."""
        self._changed.set()

    def begin(self, head: HttpHead) -> None:
        """Take the head, which has just arrived."""
        self.head = head

    def add_part(self, body: bytes) -> None:
        """Append a part of the body, which has just arrived."""
        if self.given_up:
            return
        self._parts.append(body)
        self._arrivals.append(clock.now())
        self._count_unread(len(body))
        self.notify()

    def end(self) -> None:
        """Note that nothing more arrives: what is unread holds up the endpoint no longer."""
        self._on_unread(0)
        self._on_unread = lambda unread: None

    def _count_unread(self, added: int) -> None:
        self._unread_bytes += added
        self._on_unread(self._unread_bytes)
        self._count_held()

    def _count_held(self) -> None:
        parts = len(self._parts) * defaults.PART_COST_BYTES
        waiting = self._unread_bytes + parts + self._held_back_bytes
        self.holding.resize(waiting + self._kept_bytes)

    def hold_back(self, size: int) -> None:
        """Note how many bytes its connection keeps until a part is complete."""
        if size != self._held_back_bytes:
            self._held_back_bytes = size
            self._count_held()

    def keep(self, size: int) -> None:
        """Note how many bytes its reader keeps of the parts that it has taken.

        :raises EndpointError: if the answer was given up.
        """
        if size != self._kept_bytes:
            self._kept_bytes = size
            self._count_held()
        if self.given_up:
            raise EndpointError(self.failure, sent=True)

    def drop(self) -> None:
        """Drop what waits, since nobody reads it any more."""
        self._parts.clear()
        self._arrivals.clear()
        self._unread_bytes = 0
        self._held_back_bytes = 0
        self._kept_bytes = 0
        self.holding.close()
        entry, self._entry = self._entry, None
        if entry is not None:
            self.holding.held_back.leave(entry)

    async def wait_head(self) -> HttpHead:
        """Wait for status and headers.

        :raises EndpointError: if the connection ended before them.
        """
        while self.head is None:
            if self.failure:
                raise EndpointError(self.failure, sent=True, broken=self.closed_by_endpoint)
            self._changed.clear()
            await self._changed.wait()
        return self.head

    async def next_part(self) -> bytes:
        """Wait for the next part of the body; empty at its end.

        :raises EndpointError: if the answer was cut off.
        """
        while not self._parts:
            if self.complete:
                return b""
            if self.failure:
                raise EndpointError(self.failure, sent=True, broken=self.closed_by_endpoint)
            self._changed.clear()
            await self._changed.wait()
        self.part_arrived_at = self._arrivals.popleft()
        part = self._parts.popleft()
        self._count_unread(-len(part))
        return part

    def fail(self, reason: str) -> None:
        """Give the answer up: its reader gets an error, whatever arrives."""
        self.failure = reason
        self.given_up = True
        self.complete = False
        self.drop()
        self.on_given_up()
        self.notify()

    async def read_rest(self, most: int, room_until: float | None = None) -> bytes:
        """Read the whole body, which counts as kept until :meth:`drop`.

        :param most: largest accepted size in bytes.
        :param room_until: a large answer of a stated size waits for room, and this is when its
            request's time is over, by :func:`clock.now`. None for calls of the node's own, which
            don't wait.
        :raises EndpointError: if the body was cut off, is larger, or if too much is held in all.
        """
        if room_until is not None:
            await self._wait_room(most, room_until)
        parts = []
        size = 0
        while part := await self.next_part():
            parts.append(part)
            size += len(part)
            if size > most:
                raise EndpointError("too large an answer", sent=True)
            self.keep(size + len(parts) * defaults.PART_COST_BYTES)
            if self._entry is not None:
                self._entry.got = size
        return b"".join(parts)

    async def _wait_room(self, most: int, until: float) -> None:
        """Wait until a large answer fits; its endpoint is held back meanwhile.

        :param most: an answer that states more won't be read to its end, and doesn't wait.
        """
        size = self._find_stated_bytes()
        if self.complete or not defaults.SMALL_ANSWER_BYTES < size <= most:
            return
        held_back = self.holding.held_back
        self._entry = entry = held_back.enter(self.holding.source, size, until, self.notify)
        while not entry.admitted and not self.failure:
            self._changed.clear()
            await self._changed.wait()

    def _find_stated_bytes(self) -> int:
        """Return the size that the head states; 0 if it states none."""
        if self.head is None or self.head.framing() != "length":
            return 0
        return parse_digits(self.head.header(b"content-length")) or 0
