"""Retry budgets, which keep retries from overloading a failing endpoint.

Retries are limited to a share of recent successes plus a small burst. Since each
success earns only ``RETRY_SHARE`` of a retry, amplification stays below
``1 + RETRY_SHARE`` apart from the burst, whatever fails.

Routed requests have a budget by window instead: a service's resends in any window
are limited to a share of its requests plus a slack that all nodes share.
"""

import collections
import typing as t

from . import defaults


class RetryBudget:
    """A token bucket: each success adds ``share`` of a retry, each retry takes a whole one."""

    def __init__(
        self, share: float = defaults.RETRY_SHARE, burst: float = defaults.RETRY_BURST
    ) -> None:
        self.share = share
        self.burst = burst
        self.level = burst
        self.spent = 0

    def earn(self) -> None:
        """Credit the budget for a request that succeeded."""
        self.level = min(self.burst, self.level + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget.

        :return: whether there was one.
        """
        if self.level < 1.0:
            return False
        self.level -= 1.0
        self.spent += 1
        return True


class WindowTerms(t.NamedTuple):
    """The limit on resends over the whole deployment.

    :param share: resends allowed for each first send within a window of ``window_s`` seconds.
    :param slack: resends allowed beyond that share, for all nodes together.
    :param nodes: the most nodes that may exist; each gets an even part of the slack.
    """

    share: float = defaults.RETRY_SHARE
    slack: float = defaults.RETRY_BURST
    window_s: float = 10.0
    nodes: int = 1


class RetryWindow:
    """First sends and resends of one service at this node, over the last window.

    Each node stays within its own share and its part of the slack, so the limit holds over
    all nodes without coordination, also while nodes join or fail.
    """

    def __init__(self, terms: WindowTerms) -> None:
        self.terms = terms
        self._firsts: collections.deque[float] = collections.deque()
        self._resends: collections.deque[float] = collections.deque()

    def earn(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)

    def spend(self, now: float) -> bool:
        """Count one resend, if the window allows it.

        :return: whether it does.
        """
        if not self.has_left(now):
            return False
        self._resends.append(now)
        return True

    def has_left(self, now: float, kept_share: float = 0.0) -> bool:
        """Return whether the window allows one more resend, and a share of all beside it."""
        self._trim(now)
        terms = self.terms
        allowed = terms.share * len(self._firsts) + terms.slack / max(1, terms.nodes)
        return len(self._resends) + 1 <= allowed * (1.0 - kept_share)

    def _trim(self, now: float) -> None:
        start = now - self.terms.window_s
        while self._firsts and self._firsts[0] < start:
            self._firsts.popleft()
        while self._resends and self._resends[0] < start:
            self._resends.popleft()


def back_off(attempt: int, jitter_seed: int) -> float:
    """Return the wait before an attempt, in seconds: exponential with jitter.

    :param attempt: how many attempts failed before.
    :param jitter_seed: any number that differs by request, used in place of a random one.
    """
    longest_s = defaults.RETRY_BACKOFF_S * float(2 ** min(attempt, 6))
    return longest_s * (0.5 + 0.5 * (jitter_seed % 1024) / 1024.0)
