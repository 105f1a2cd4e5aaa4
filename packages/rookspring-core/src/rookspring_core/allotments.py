"""Allotments: how much each organisation runs, over all nodes, in a sliding window.

Every node tells with its heartbeats what it has let in since the last one, and relays
pass on what their followers told; so all relays see all that is let in some heartbeats
later, and nothing of it is lost with the node that ran it. While an organisation is far
from its limit by what was seen, each node lets its requests in by itself. Near the limit
that is too old to go by: there one node, the organisation's *owner*, is asked for each
request. It counts what it has granted exactly, and what it was not asked for as seen.

"Far" is a part of the limit that no surge passes within the lag: see ``TIGHT_SHARE``.
"""

import collections
import typing as t

from . import defaults
from .organisations import Allotment


class SpendWindow:
    """What was let in within the last window, in steps of ``SPEND_STEP_S``."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._steps: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0

    def add(self, now: float, units: float) -> None:
        """Count what was let in."""
        self._drop(now)
        if self._steps and now - self._steps[-1][0] < defaults.SPEND_STEP_S:
            self._steps[-1][1] += units
        else:
            self._steps.append([now, units])
        self._sum += units

    def take_back(self, now: float, units: float) -> None:
        """Count no more what was let in and did not run, the latest first."""
        self._drop(now)
        for step in reversed(self._steps):
            part = min(units, step[1])
            step[1] -= part
            self._sum -= part
            units -= part
            if units <= 0.0:
                return

    def sum(self, now: float) -> float:
        """Give what the window holds."""
        self._drop(now)
        return self._sum

    def since(self, moment: float) -> float:
        """Give what was let in after a moment."""
        total = 0.0
        for at, units in reversed(self._steps):
            if at < moment:
                break
            total += units
        return total

    def room_in(self, now: float, excess: float) -> float:
        """Give how long until so much has left the window, in seconds."""
        self._drop(now)
        for at, units in self._steps:
            excess -= units
            if excess <= 0.0:
                return at + self._window_s + defaults.SPEND_STEP_S - now
        return self._window_s

    def _drop(self, now: float) -> None:
        # A step begins with its first request, so it leaves once its last one is old.
        old = now - self._window_s - defaults.SPEND_STEP_S
        while self._steps and self._steps[0][0] <= old:
            self._sum -= self._steps.popleft()[1]
        if not self._steps:
            self._sum = 0.0


class WindowTolerance(t.NamedTuple):
    """How allotments are counted, and how far a count may pass them.

    :param window_s: the length of the window, in seconds.
    :param overage: part of an allotment that may be passed.
    :param slack: units that may be passed beside that.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def most(self, terms: Allotment) -> float:
        """Give the most that an owner grants within a window."""
        allotted = terms.most(self.window_s)
        beyond = self.overage * allotted + self.slack
        return allotted + defaults.TOLERANCE_SHARE * beyond


class Grant(t.NamedTuple):
    """An owner's decision.

    :param after_s: 0 where the request may run, else when there may be room, in seconds.
    :param used: what the organisation has used of the window, as the owner counts it.
    :param most: what it may use of any window.
    """

    after_s: float
    used: float = 0.0
    most: float = float("inf")


class Allotments:
    """What this node has seen of all organisations' use, and what it grants as an owner.

    :param started_at: when this node started; it has seen nothing of the window before, nor
        has a node that has just become a relay.
    """

    def __init__(self, tolerance: WindowTolerance | None, started_at: float) -> None:
        self.tolerance = tolerance or WindowTolerance()
        self.window_s = self.tolerance.window_s
        # All that this node has seen to be let in, its own as well.
        self._seen: dict[str, SpendWindow] = {}
        # What is to be told with the next heartbeat.
        self._untold: dict[str, float] = {}
        self._told_at = started_at
        self._granted: dict[str, SpendWindow] = {}
        # Organisations near their limit, as another node told, and as of when.
        self._tight: frozenset[str] = frozenset()
        self._tight_at = float("-inf")
        # Until then there is more in the window than this node has seen.
        self._blind_until = started_at + self.window_s
        # Parts of the limits that were used before, as the platform's store has it.
        self._recalled: t.Mapping[str, float] | None = None
        self._recalled_before: t.Mapping[str, float] = {}

    # What is let in, here and elsewhere.

    def spend(self, name: str, units: float, now: float) -> None:
        """Count what this node lets in; less than 0 where something did not run after all."""
        self._note(name, units, now)
        self._untold[name] = self._untold.get(name, 0.0) + units

    def hear(self, spent: t.Mapping[str, float], now: float, pass_on: bool) -> None:
        """Take what another node tells.

        :param pass_on: this node is to tell it to others.
        """
        for name, units in spent.items():
            if pass_on:
                self.spend(name, units, now)
            else:
                self._note(name, units, now)

    def _note(self, name: str, units: float, now: float) -> None:
        window = self._window(self._seen, name)
        if units >= 0.0:
            window.add(now, units)
        else:
            window.take_back(now, -units)

    def tell(self, now: float, heard: bool) -> dict[str, float]:
        """Give what is to be told with a heartbeat, once.

        :param heard: there is a node that takes it; else it waits, but not for long.
        """
        if not heard:
            if now - self._told_at > self.window_s:
                self._untold.clear()
            return {}
        untold, self._untold = self._untold, {}
        self._told_at = now
        return untold

    def sums(self, now: float) -> dict[str, float]:
        """Give what this node has seen within the window, by organisation."""
        return {name: units for name, one in self._seen.items() if (units := one.sum(now)) > 0.0}

    # Who is near its limit.

    def hear_tight(self, names: t.Iterable[str], as_of: float) -> None:
        """Take which organisations another node says are near their limits."""
        if as_of > self._tight_at:
            self._tight = frozenset(names)
            self._tight_at = as_of

    def tight(self) -> frozenset[str]:
        """Name the organisations that are near their limits, as last told or worked out."""
        return self._tight

    def far(self, name: str, now: float) -> bool:
        """Say whether an organisation is known to be far from its limit."""
        return now - self._tight_at < defaults.TIGHT_TOLD_S and name not in self._tight

    def find_shares(self, terms: t.Mapping[str, Allotment], now: float) -> dict[str, float]:
        """Give which part of its limit each organisation has used, as far as was told.

        What this node only supposes for want of knowing better is not among it: written
        with the lease it would be taken for known, and grow from one start to the next.
        """
        sums = self.sums(now)
        blind = now < self._blind_until
        recalled = self._recalled if self._recalled is not None else self._recalled_before
        return {
            name: sums.get(name, 0.0) / self.tolerance.most(one)
            + (recalled.get(name, 0.0) if blind else 0.0)
            for name, one in terms.items()
        }

    def find_tight(self, terms: t.Mapping[str, Allotment], now: float) -> list[str]:
        """Name the organisations that are near their limits, by what was seen."""
        sums = self.sums(now)
        least = defaults.TIGHT_SHARE
        return [
            name
            for name, one in terms.items()
            if sums.get(name, 0.0) >= least * self.tolerance.most(one)
            or self._unseen_share(name, now) >= least
        ]

    # What ran before this node started, or became a relay, where no other has seen it.

    def begin(self, now: float) -> None:
        """Begin to see what others let in: what ran before is yet to be recalled."""
        self._blind_until = now + self.window_s
        self._recalled_before = self._recalled or self._recalled_before
        self._recalled = None

    def wants_recall(self, now: float) -> bool:
        """Say whether this node is to ask the platform's store what was used."""
        return self._recalled is None and now < self._blind_until

    def recall(self, shares: t.Mapping[str, float]) -> None:
        """Take which parts of the limits were used, as the last lease holder wrote it."""
        if self._recalled is None:
            self._recalled = shares

    def _unseen_share(self, name: str, now: float) -> float:
        """Give the part of a limit that may have been used and was not seen."""
        if now >= self._blind_until:
            return 0.0
        if self._recalled is None:
            return 1.0
        return min(1.0, self._recalled.get(name, 0.0) + defaults.UNSEEN_MARGIN)

    # What it grants.

    def grant(
        self, name: str, units: float, terms: Allotment, now: float, since: float, reach: float
    ) -> Grant:
        """Decide on a request of an organisation that this node owns.

        :param since: since when it does.
        :param reach: the part of the nodes that it decides for.
        """
        granted = self._window(self._granted, name)
        most = self.tolerance.most(terms) * reach
        used = self._used(name, granted, now, since)
        used += self._unseen_share(name, now) * most
        excess = used + units - most
        if excess <= 0.0:
            granted.add(now, units)
            return Grant(0.0, used, most)
        after_s = max(defaults.SPEND_STEP_S, granted.room_in(now, excess))
        if now < self._blind_until:
            after_s = min(after_s, self._blind_until - now)
        return Grant(after_s, used, most)

    def _used(self, name: str, granted: SpendWindow, now: float, since: float) -> float:
        """Give what an organisation has used, with what has not been seen yet."""
        seen = self._window(self._seen, name)
        lag_s = defaults.SPEND_LAG_S
        unseen = granted.since(now - lag_s)
        if now - since < lag_s:
            # The owner before may have granted as much lately as was seen before that.
            unseen += seen.since(now - lag_s)
        return max(granted.sum(now), seen.sum(now) + unseen)

    def take_back(self, name: str, units: float, now: float) -> None:
        """Take back what was granted and did not run."""
        if name in self._granted:
            self._granted[name].take_back(now, units)

    def _window(self, windows: dict[str, SpendWindow], name: str) -> SpendWindow:
        found = windows.get(name)
        if found is None:
            found = windows[name] = SpendWindow(self.window_s)
        return found
