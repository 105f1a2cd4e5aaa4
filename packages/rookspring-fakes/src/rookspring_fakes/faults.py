"""Fault injection for the test doubles."""

import random
import typing as t


class Faults:
    """The faults to inject at one test double, drawn from a seeded generator.

    Fractions are probabilities from 0 to 1; fields that end in ``_s`` are in seconds.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.outage = False
        # Whether an outage closes connections; it resets them otherwise.
        self.closes = False
        self.paused = False
        self.killed = False
        # Fractions of messages that are lost, delivered twice, or delayed by up to ``delay_s``.
        self.lose = 0.0
        self.repeat = 0.0
        self.delay_share = 0.0
        self.delay_s = 0.0
        self.slow_s = 0.0
        # The fraction of writes and calls that are carried out but whose answer is lost.
        self.applied_unanswered = 0.0
        self.report_lag_s = 0.0
        # The fraction of cache events that are left out.
        self.cache_gap = 0.0
        self.counts: dict[str, int] = {}

    def draw(self, kind: t.Literal["lose", "repeat", "applied_unanswered", "cache_gap"]) -> bool:
        """Draw whether to inject a fault of this kind now, and count it if so."""
        share = float(getattr(self, kind))
        if share <= 0.0 or self.random.random() >= share:
            return False
        self.count(kind)
        return True

    def delay(self) -> float:
        """Draw the delay of a message, in seconds; most often zero."""
        if self.delay_share <= 0.0 or self.random.random() >= self.delay_share:
            return 0.0
        self.count("delay")
        return self.random.random() * self.delay_s

    def count(self, kind: str) -> None:
        """Count an injected fault."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
