"""Switches that make a stand-in fail in the ways the real part does."""

import random
import typing as t


class Faults:
    """Fault switches of one stand-in, drawn from a seeded generator.

    Shares are probabilities from 0 to 1; times are in seconds.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.outage = False
        self.paused = False
        self.killed = False
        self.lose = 0.0
        self.repeat = 0.0
        self.delay_share = 0.0
        self.delay_s = 0.0
        self.slow_s = 0.0
        self.applied_unanswered = 0.0
        self.report_lag_s = 0.0
        self.cache_gap = 0.0
        self.counts: dict[str, int] = {}

    def draw(self, kind: t.Literal["lose", "repeat", "applied_unanswered", "cache_gap"]) -> bool:
        """Say whether a fault of this kind strikes now, and count it."""
        share = float(getattr(self, kind))
        if share <= 0.0 or self.random.random() >= share:
            return False
        self.count(kind)
        return True

    def delay(self) -> float:
        """Give how long a message is held, in seconds."""
        if self.delay_share <= 0.0 or self.random.random() >= self.delay_share:
            return 0.0
        self.count("delay")
        return self.random.random() * self.delay_s

    def count(self, kind: str) -> None:
        """Count a fault that struck."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
