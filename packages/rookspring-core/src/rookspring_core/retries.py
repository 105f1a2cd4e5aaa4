"""Budget for retries, so that a failing part never meets a storm.

Retries may be a share of recent successes plus a small burst. Since each
success earns only ``RETRY_SHARE`` of a retry, amplification stays below
``1 + RETRY_SHARE`` but for the burst, whatever fails.

Routed requests are budgeted by window instead: a service's resends in any window
stay within a share of its requests plus a slack that all nodes have together.
"""

import collections
import typing as t

from . import defaults


class RetryBudget:
    """A bucket that successes fill and retries empty."""

    def __init__(
        self, share: float = defaults.RETRY_SHARE, burst: float = defaults.RETRY_BURST
    ) -> None:
        self.share = share
        self.burst = burst
        self.level = burst
        self.spent = 0

    def earn(self) -> None:
        """A request succeeded."""
        self.level = min(self.burst, self.level + self.share)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        self.spent += 1
        return True


class WindowTerms(t.NamedTuple):
    """The bound on resends over the whole deployment.

    :param share: of the requests of a window, in seconds ``window_s``.
    :param slack: resends beyond that share, for all nodes together.
    :param nodes: the most nodes that can be there, each with an even part of the slack.
    """

    share: float = defaults.RETRY_SHARE
    slack: float = defaults.RETRY_BURST
    window_s: float = 10.0
    nodes: int = 1


class RetryWindow:
    """First sends and resends of one service at this node, over the last window.

    Each node keeps to its own share and its part of the slack, so the sum over all
    nodes holds without a message, whoever dies or joins.
    """

    def __init__(self, terms: WindowTerms) -> None:
        self.terms = terms
        self._firsts: collections.deque[float] = collections.deque()
        self._resends: collections.deque[float] = collections.deque()

    def earn(self, now: float) -> None:
        """A request was sent for the first time."""
        self._firsts.append(now)

    def spend(self, now: float) -> bool:
        """Take one resend, if the window has room for it."""
        self._trim(now)
        terms = self.terms
        allowed = terms.share * len(self._firsts) + terms.slack / max(1, terms.nodes)
        if len(self._resends) + 1 > allowed:
            return False
        self._resends.append(now)
        return True

    def _trim(self, now: float) -> None:
        start = now - self.terms.window_s
        while self._firsts and self._firsts[0] < start:
            self._firsts.popleft()
        while self._resends and self._resends[0] < start:
            self._resends.popleft()


def back_off(attempt: int, spread: int) -> float:
    """Give the wait before an attempt, in seconds: exponential with jitter.

    :param attempt: how many attempts came before.
    :param spread: any number that differs by request; it takes the place of chance.
    """
    full = defaults.RETRY_BACKOFF_S * float(2 ** min(attempt, 6))
    return full * (0.5 + 0.5 * (spread % 1024) / 1024.0)
