"""Allotments: usage limits of organisations over all nodes, in a sliding window.

Every node reports in its heartbeats the usage that it admitted since the last one, and relays
forward the reports of their followers. All relays thus know the total usage some heartbeats
later, and a node that fails takes none of its reported usage with it. While the observed usage
of an organisation is far from its limit, each node admits its requests on its own. Near the
limit the observed usage is too stale for that: each request needs a grant from one node, the
organisation's *owner*. The owner counts its own grants exactly, and takes the usage that it did
not grant from the reports.

"Far" means below a share of the limit from which no surge reaches the limit within the
reporting lag: see ``NEAR_LIMIT_SHARE``.
"""

import collections
import typing as t

from . import defaults
from .organisations import Allotment


class UsageWindow:
    """Usage within the last window, in steps of ``SPEND_STEP_S``."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._steps: collections.deque[list[float]] = collections.deque()
        self._sum = 0.0

    def add(self, now: float, units: float) -> None:
        """Add admitted units."""
        self._drop(now)
        if self._steps and now - self._steps[-1][0] < defaults.SPEND_STEP_S:
            self._steps[-1][1] += units
        else:
            self._steps.append([now, units])
        self._sum += units

    def subtract(self, now: float, units: float) -> None:
        """Subtract units that were admitted and did not run, from the latest steps first."""
        self._drop(now)
        for step in reversed(self._steps):
            part = min(units, step[1])
            step[1] -= part
            self._sum -= part
            units -= part
            if units <= 0.0:
                return

    def sum(self, now: float) -> float:
        """Return the units within the window."""
        self._drop(now)
        return self._sum

    def added_since(self, moment: float) -> float:
        """Return the units added after a moment."""
        total = 0.0
        for at, units in reversed(self._steps):
            if at < moment:
                break
            total += units
        return total

    def freed_in_s(self, now: float, excess: float) -> float:
        """Return the seconds until at least ``excess`` units have left the window."""
        self._drop(now)
        for at, units in self._steps:
            excess -= units
            if excess <= 0.0:
                return at + self._window_s + defaults.SPEND_STEP_S - now
        return self._window_s

    def _drop(self, now: float) -> None:
        # A step is dated by its first request; its last one may be SPEND_STEP_S younger.
        oldest = now - self._window_s - defaults.SPEND_STEP_S
        while self._steps and self._steps[0][0] <= oldest:
            self._sum -= self._steps.popleft()[1]
        if not self._steps:
            self._sum = 0.0


class WindowTolerance(t.NamedTuple):
    """The window over which usage is counted, and by how much it may exceed an allotment.

    :param window_s: the length of the window, in seconds.
    :param overage: permitted excess as a share of the allotment.
    :param slack: permitted excess in units, in addition to ``overage``.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def max_granted(self, terms: Allotment) -> float:
        """Return the most units that an owner grants within a window."""
        allotted = terms.max_units(self.window_s)
        beyond = self.overage * allotted + self.slack
        return allotted + defaults.TOLERANCE_SHARE * beyond


class Grant(t.NamedTuple):
    """An owner's decision on a request.

    :param after_s: 0 if the request may run, else the seconds until there may be room.
    :param used: units that the organisation has used in the window, by the owner's count.
    :param limit: units that it may use in any window.
    """

    after_s: float
    used: float = 0.0
    limit: float = float("inf")


class Allotments:
    """Usage of all organisations as observed by this node, and its grants as an owner.

    :param started_at: when this node started. It has observed nothing of the window before
        that; the same holds for a node that has just become a relay.
    """

    def __init__(self, tolerance: WindowTolerance | None, started_at: float) -> None:
        self.tolerance = tolerance or WindowTolerance()
        self.window_s = self.tolerance.window_s
        # Usage known to this node, including its own.
        self._seen: dict[str, UsageWindow] = {}
        # Usage to report with the next heartbeat.
        self._unreported: dict[str, float] = {}
        self._reported_at = started_at
        self._granted: dict[str, UsageWindow] = {}
        # Organisations near their limits, and the time of that information.
        self._near_limit: frozenset[str] = frozenset()
        self._near_limit_at = float("-inf")
        # Until then the window may hold usage that this node has not observed.
        self._incomplete_until = started_at + self.window_s
        # Earlier usage as shares of the limits, from the platform's store.
        self._recalled: t.Mapping[str, float] | None = None
        self._recalled_before: t.Mapping[str, float] = {}

    # Usage, of this node and of others.

    def record_usage(self, name: str, units: float, now: float) -> None:
        """Count units that this node admits; negative to take back units that did not run."""
        self._note(name, units, now)
        self._unreported[name] = self._unreported.get(name, 0.0) + units

    def record_reported(self, spent: t.Mapping[str, float], now: float, forward: bool) -> None:
        """Count usage that another node reported.

        :param forward: include it in this node's own reports.
        """
        for name, units in spent.items():
            if forward:
                self.record_usage(name, units, now)
            else:
                self._note(name, units, now)

    def _note(self, name: str, units: float, now: float) -> None:
        window = self._window(self._seen, name)
        if units >= 0.0:
            window.add(now, units)
        else:
            window.subtract(now, -units)

    def take_unreported(self, now: float, has_receiver: bool) -> dict[str, float]:
        """Return the usage to report with a heartbeat, and clear it.

        :param has_receiver: a node receives this heartbeat. Otherwise the usage is kept for a
            later one, until nothing was reported for longer than a window.
        """
        if not has_receiver:
            if now - self._reported_at > self.window_s:
                self._unreported.clear()
            return {}
        unreported, self._unreported = self._unreported, {}
        self._reported_at = now
        return unreported

    def usage(self, now: float) -> dict[str, float]:
        """Return the usage observed within the window, by organisation."""
        return {name: units for name, one in self._seen.items() if (units := one.sum(now)) > 0.0}

    # Organisations near their limits.

    def set_near_limit(self, names: t.Iterable[str], as_of: float) -> None:
        """Store which organisations are near their limits, unless newer information is known."""
        if as_of > self._near_limit_at:
            self._near_limit = frozenset(names)
            self._near_limit_at = as_of

    def near_limit(self) -> frozenset[str]:
        """Return the organisations near their limits, as last received or computed."""
        return self._near_limit

    def is_far_from_limit(self, name: str, now: float) -> bool:
        """Return whether recent information shows an organisation far from its limit."""
        return (
            now - self._near_limit_at < defaults.NEAR_LIMIT_TTL_S and name not in self._near_limit
        )

    def find_used_shares(self, terms: t.Mapping[str, Allotment], now: float) -> dict[str, float]:
        """Return the share of its limit that each organisation is known to have used.

        ``RESTORED_USE_MARGIN`` is not included: the shares are written with the lease, so the
        margin would later be read as known usage, and add up from one restart to the next.
        """
        sums = self.usage(now)
        incomplete = now < self._incomplete_until
        recalled = self._recalled if self._recalled is not None else self._recalled_before
        return {
            name: sums.get(name, 0.0) / self.tolerance.max_granted(one)
            + (recalled.get(name, 0.0) if incomplete else 0.0)
            for name, one in terms.items()
        }

    def find_near_limit(self, terms: t.Mapping[str, Allotment], now: float) -> list[str]:
        """Return the organisations that are near their limits, by observed usage."""
        sums = self.usage(now)
        threshold = defaults.NEAR_LIMIT_SHARE
        return [
            name
            for name, one in terms.items()
            if sums.get(name, 0.0) >= threshold * self.tolerance.max_granted(one)
            or self._unseen_share(name, now) >= threshold
        ]

    # Usage from before this node started or became a relay.

    def start_observing(self, now: float) -> None:
        """Start to observe other nodes; earlier usage is yet to be read from the store."""
        self._incomplete_until = now + self.window_s
        self._recalled_before = self._recalled or self._recalled_before
        self._recalled = None

    def needs_recall(self, now: float) -> bool:
        """Return whether this node should read the earlier usage from the platform's store."""
        return self._recalled is None and now < self._incomplete_until

    def recall(self, shares: t.Mapping[str, float]) -> None:
        """Store the used shares of the limits, as the last lease holder wrote them."""
        if self._recalled is None:
            self._recalled = shares

    def _unseen_share(self, name: str, now: float) -> float:
        """Return the share of a limit that may have been used without being observed."""
        if now >= self._incomplete_until:
            return 0.0
        if self._recalled is None:
            return 1.0
        return min(1.0, self._recalled.get(name, 0.0) + defaults.RESTORED_USE_MARGIN)

    # Grants as an owner.

    def grant(
        self,
        name: str,
        units: float,
        terms: Allotment,
        now: float,
        since: float,
        visible_share: float,
    ) -> Grant:
        """Decide on a request of an organisation that this node owns.

        :param since: since when this node has owned it.
        :param visible_share: share of the nodes that this one sees, from 0 to 1; it grants
            this share of the limit.
        """
        granted = self._window(self._granted, name)
        limit = self.tolerance.max_granted(terms) * visible_share
        used = self._used(name, granted, now, since)
        used += self._unseen_share(name, now) * limit
        excess = used + units - limit
        if excess <= 0.0:
            granted.add(now, units)
            return Grant(0.0, used, limit)
        after_s = max(defaults.SPEND_STEP_S, granted.freed_in_s(now, excess))
        if now < self._incomplete_until:
            after_s = min(after_s, self._incomplete_until - now)
        return Grant(after_s, used, limit)

    def _used(self, name: str, granted: UsageWindow, now: float, since: float) -> float:
        """Return an organisation's usage, including units that are not reported yet."""
        seen = self._window(self._seen, name)
        lag_s = defaults.SPEND_LAG_S
        unseen = granted.added_since(now - lag_s)
        if now - since < lag_s:
            # The previous owner may have granted units within the lag that no report shows yet;
            # they are estimated by the usage observed within the lag.
            unseen += seen.added_since(now - lag_s)
        return max(granted.sum(now), seen.sum(now) + unseen)

    def cancel_grant(self, name: str, units: float, now: float) -> None:
        """Take back granted units that did not run."""
        if name in self._granted:
            self._granted[name].subtract(now, units)

    def _window(self, windows: dict[str, UsageWindow], name: str) -> UsageWindow:
        found = windows.get(name)
        if found is None:
            found = windows[name] = UsageWindow(self.window_s)
        return found
