"""One bound on all bytes of others that wait at a node: answers, callers' bodies, messages.

Each place where such bytes wait has a bound of its own, and many that are just below it would fill
a node's memory together. So every place counts what it keeps here, by the sender that the bytes
are waiting for or came from. From a sum on, the sender that has cost the most gives way, by its
largest part first: a flood costs its own requests, and not those that come next. What a sender has
cost is what waits of it and what was given up of it lately, so that a flood which comes from many
senders is told from the sound answers of a busy one.
"""

import contextlib
import typing as t

from . import defaults
from .held_back import HeldBack
from .logs import log

GiveUp = t.Callable[[str], None]

REASON = "too many bytes are held"


class Holding:
    """What waits at one place: a connection, a link.

    :param source: whose bytes they are: an endpoint's, a caller's or a node's address.
    :param give_up: drops the bytes, given the reason, and fails what they are for; it must not
        raise. None while they can't be dropped.
    :param fixed: whether they never can, as the body of a request that may be running.
    :ivar spared: see :meth:`spare`.
    """

    __slots__ = ("_budget", "fixed", "give_up", "size", "source", "spared")

    def __init__(
        self, budget: "ByteBudget", source: str, give_up: GiveUp | None, fixed: bool = False
    ) -> None:
        self._budget = budget
        self.fixed = fixed
        self.source = source
        self.give_up = give_up
        self.size = 0
        self.spared = False

    @property
    def held_back(self) -> HeldBack:
        """The large answers that count at the same budget."""
        return self._budget.held_back

    def spare(self, spared: bool) -> None:
        """Set whether other bytes give way first, as long as half of the bound is enough for these.

        So answers that have run and wait for their callers, and what the node itself lives on.
        """
        if spared != self.spared:
            size = self.size
            self._budget.resize(self, 0)
            self.spared = spared
            self._budget.resize(self, size)

    def resize(self, size: int) -> None:
        """Set the number of bytes that wait; some of those of the largest sender may be given up.

        It may be this holding, whose ``give_up`` has been called then.
        """
        if size != self.size:
            self._budget.resize(self, size)

    def close(self) -> None:
        """Set the number to 0; the holding can be used again."""
        self.resize(0)

    @contextlib.contextmanager
    def lend(self, source: str, give_up: GiveUp) -> t.Iterator[None]:
        """Count the bytes under another sender for a time: the one that they wait for.

        An endpoint sends at its pace; what waits as a caller reads slowly is that caller's.
        """
        own = self.source, self.give_up
        self._budget.move(self, source)
        self.give_up = give_up
        try:
            yield
        finally:
            self._budget.move(self, own[0])
            self.give_up = own[1]


class ByteBudget:
    """The bytes of others that wait at a node, by sender.

    :param most: the largest sum, in bytes.
    :ivar held_bytes: the sum now.
    :ivar given_up: how many holdings were given up.
    :ivar held_back: the large answers that wait for room, or are read.
    """

    def __init__(self, most: int = defaults.HELD_BYTES_DEFAULT) -> None:
        self.most = most
        self.held_bytes = 0
        self.given_up = 0
        self.held_back = HeldBack(self)
        self._holdings: dict[str, set[Holding]] = {}
        self._sums: dict[str, int] = {}
        self._spared_bytes = 0
        # Bytes that were given up lately, by sender.
        self._wasted: dict[str, float] = {}
        # Bytes that can't be given up, by sender, and their sum.
        self._fixed: dict[str, int] = {}
        self._fixed_bytes = 0

    def open(self, source: str, give_up: GiveUp | None = None) -> Holding:
        """Begin to count what waits at one place; see :class:`Holding`."""
        return Holding(self, source, give_up)

    def open_fixed(self, source: str) -> Holding:
        """Begin to count what can't be given up; ask :meth:`may_fix` first."""
        return Holding(self, source, None, fixed=True)

    def may_fix(self, source: str, size: int) -> bool:
        """Return whether some more bytes of a sender may be held that can't be given up.

        A sender may hold as many as stay free of such bytes: half of the bound if it is alone. So
        one that sends many large bodies leaves room for answers and for the bodies of others.
        """
        return self._fixed.get(source, 0) + size <= self.most - self._fixed_bytes

    def move(self, holding: Holding, source: str) -> None:
        """Count a holding under another sender."""
        size = holding.size
        if size:
            self._count(holding, 0)
        holding.source = source
        if size:
            self._count(holding, size)

    def resize(self, holding: Holding, size: int) -> None:
        """Count a holding with another size, and give up what has cost the most if need be."""
        self._count(holding, size)
        while self.held_bytes > self.most:
            spares = self._spared_bytes <= self.most // 2
            costly = self._find_costly(spares) or self._find_costly(False)
            if costly is None:
                return
            self._give_up(costly)

    def forget_some(self) -> None:
        """Forget a share of what was given up; to be called once in ``MEMORY_CHECK_S``."""
        kept = {source: size * defaults.WASTE_KEPT for source, size in self._wasted.items()}
        self._wasted = {source: size for source, size in kept.items() if size >= 1.0}

    def answer_room(self) -> int:
        """Return how many bytes large answers may take together now."""
        room = self.most * defaults.ANSWER_ROOM_SHARE - self._spared_bytes
        return int(max(self.most * defaults.ANSWER_ROOM_SHARE_MIN, room))

    def sum_of(self, source: str) -> int:
        """Return how many bytes wait of one sender."""
        return self._sums.get(source, 0)

    def _count(self, holding: Holding, size: int) -> None:
        added = size - holding.size
        holding.size = size
        self.held_bytes += added
        source = holding.source
        self._sums[source] = self._sums.get(source, 0) + added
        if holding.spared:
            self._spared_bytes += added
        if holding.fixed:
            self._fixed_bytes += added
            self._fixed[source] = self._fixed.get(source, 0) + added
            if not self._fixed[source]:
                del self._fixed[source]
        holdings = self._holdings.setdefault(source, set())
        if size:
            holdings.add(holding)
            return
        holdings.discard(holding)
        if not holdings:
            del self._holdings[source]
            del self._sums[source]

    def _find_costly(self, spares: bool) -> Holding | None:
        """Return the largest holding of the sender that has cost the most; None if there is none.

        :param spares: leave out those that are spared.
        """
        for source in sorted(self._sums, key=self._cost_of, reverse=True):
            droppable = [
                one
                for one in self._holdings[source]
                if one.give_up is not None and not (spares and one.spared)
            ]
            if droppable:
                return max(droppable, key=lambda one: one.size)
        return None

    def _cost_of(self, source: str) -> float:
        return self._sums[source] + self._wasted.get(source, 0.0)

    def _give_up(self, holding: Holding) -> None:
        self.given_up += 1
        log(
            "bytes_given_up",
            "WARNING",
            source=holding.source,
            bytes=holding.size,
            of_source=self._sums[holding.source],
            held=self.held_bytes,
            most=self.most,
        )
        give_up = holding.give_up
        self._wasted[holding.source] = self._wasted.get(holding.source, 0.0) + holding.size
        self._count(holding, 0)
        assert give_up is not None
        give_up(REASON)
