"""Forecast of each model's demand: fast up, slow down.

Nodes tell the tokens a second that they were asked for by model; the lease
holder adds them up and smooths the sum. Rising demand is believed within
seconds, since late answers cost more than an idle replica.
"""

import math
import typing as t

from . import defaults


class Forecast:
    """Smoothed demand by model, in tokens a second."""

    def __init__(self) -> None:
        self.levels: dict[str, float] = {}

    def update(self, seen: t.Mapping[str, float], passed: float) -> None:
        """Move each level towards what was seen.

        :param passed: seconds since the last update.
        """
        for model in set(self.levels) | set(seen):
            level = self.levels.get(model, 0.0)
            now = seen.get(model, 0.0)
            tau = defaults.DEMAND_RISE_TAU_S if now > level else defaults.DEMAND_FALL_TAU_S
            level += (now - level) * (1.0 - math.exp(-passed / tau))
            if level < 1e-3 and now <= 0.0:
                self.levels.pop(model, None)
            else:
                self.levels[model] = level


class DemandMeter:
    """Tokens asked of this node by model, as a rate over about two seconds."""

    def __init__(self) -> None:
        self._sums: dict[str, float] = {}
        self.rates: dict[str, float] = {}

    def add(self, model: str, tokens: int) -> None:
        """Count a request that was asked for, admitted or not."""
        self._sums[model] = self._sums.get(model, 0.0) + tokens

    def roll(self, passed: float) -> None:
        """Turn the sums of the last ``passed`` seconds into rates."""
        gain = min(1.0, passed / 2.0)
        for model in set(self._sums) | set(self.rates):
            rate = self._sums.get(model, 0.0) / max(passed, 1e-6)
            level = self.rates.get(model, 0.0)
            level += (rate - level) * gain
            if level < 1e-3:
                self.rates.pop(model, None)
            else:
                self.rates[model] = level
        self._sums.clear()
