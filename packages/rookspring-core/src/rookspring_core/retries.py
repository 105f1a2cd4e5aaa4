"""Budget for retries, so that a failing part never meets a storm.

Retries may be a share of recent successes plus a small burst. Since each
success earns only ``RETRY_SHARE`` of a retry, amplification stays below
``1 + RETRY_SHARE`` but for the burst, whatever fails.
"""

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
        self.denied = 0

    def earn(self) -> None:
        """A request succeeded."""
        self.level = min(self.burst, self.level + self.share)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self.level < 1.0:
            self.denied += 1
            return False
        self.level -= 1.0
        self.spent += 1
        return True


def back_off(attempt: int, spread: int) -> float:
    """Give the wait before an attempt, in seconds: exponential with jitter.

    :param attempt: how many attempts came before.
    :param spread: any number that differs by request; it takes the place of chance.
    """
    full = defaults.RETRY_BACKOFF_S * float(2 ** min(attempt, 6))
    return full * (0.5 + 0.5 * (spread % 1024) / 1024.0)
