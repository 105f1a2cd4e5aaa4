"""Forecast of each model's demand: fast up, slow down.

Nodes tell the tokens a second that they were asked for by model; the lease
holder adds them up and smooths the sum. Rising demand is believed within
seconds, since late answers cost more than an idle replica.
"""

import math
import typing as t

from . import defaults


class Pace(t.NamedTuple):
    """How fast demand is believed, as time constants in seconds."""

    rise_s: float = defaults.DEMAND_RISE_TAU_S
    fall_s: float = defaults.DEMAND_FALL_TAU_S
    meter_s: float = defaults.DEMAND_METER_S


class Forecast:
    """Smoothed demand by model, in tokens a second."""

    def __init__(self, pace: Pace | None = None) -> None:
        self.pace = pace or Pace()
        self.levels: dict[str, float] = {}

    def update(self, seen: t.Mapping[str, float], passed: float) -> None:
        """Move each level towards what was seen.

        :param passed: seconds since the last update.
        """
        for model in set(self.levels) | set(seen):
            level = self.levels.get(model, 0.0)
            now = seen.get(model, 0.0)
            tau = self.pace.rise_s if now > level else self.pace.fall_s
            level += (now - level) * (1.0 - math.exp(-passed / tau))
            if level < 1e-3 and now <= 0.0:
                self.levels.pop(model, None)
            else:
                self.levels[model] = level


class DemandMeter:
    """Tokens asked of this node by model, as a rate over a few seconds."""

    def __init__(self, pace: Pace | None = None) -> None:
        self.pace = pace or Pace()
        self._sums: dict[str, float] = {}
        self.rates: dict[str, float] = {}

    def add(self, model: str, tokens: float) -> None:
        """Count a request that was asked for, admitted or not."""
        self._sums[model] = self._sums.get(model, 0.0) + tokens

    def roll(self, passed: float) -> None:
        """Turn the sums of the last ``passed`` seconds into rates."""
        gain = min(1.0, passed / self.pace.meter_s)
        for model in set(self._sums) | set(self.rates):
            rate = self._sums.get(model, 0.0) / max(passed, 1e-6)
            level = self.rates.get(model, 0.0)
            level += (rate - level) * gain
            if level < 1e-3:
                self.rates.pop(model, None)
            else:
                self.rates[model] = level
        self._sums.clear()


def add_rates(parts: t.Iterable[t.Mapping[str, float]]) -> dict[str, float]:
    """Add up rates by name."""
    sums: dict[str, float] = {}
    for rates in parts:
        for name, rate in rates.items():
            sums[name] = sums.get(name, 0.0) + rate
    return sums


class DemandStream:
    """One kind of demand: metered here, heard from the other nodes, and forecast.

    :param pace: how fast it is believed.
    """

    def __init__(self, pace: Pace | None = None) -> None:
        self.meter = DemandMeter(pace)
        self.forecast = Forecast(pace)
        self._heard: dict[str, dict[str, float]] = {}

    def use_pace(self, pace: Pace) -> None:
        """Believe it at another pace from now on."""
        self.meter.pace = pace
        self.forecast.pace = pace

    def hear(self, peer: str, rates: t.Iterable[tuple[str, float]]) -> None:
        """Take another node's rates, in tokens a second by model."""
        self._heard[peer] = dict(rates)

    def sum_of(self, peers: t.Iterable[str]) -> dict[str, float]:
        """Add up this node's rates and those that some others have told."""
        heard = (self._heard.get(peer, {}) for peer in peers)
        return add_rates([self.meter.rates, *heard])

    def forget(self, peer: str) -> None:
        """Drop what a node that is gone has told."""
        self._heard.pop(peer, None)

    def restart(self) -> None:
        """Begin the forecast anew, as a new lease holder does."""
        self.forecast = Forecast(self.forecast.pace)

    def sum_up(self, passed: float) -> None:
        """Add up what all nodes tell, and move the forecast towards it."""
        self.forecast.update(add_rates([self.meter.rates, *self._heard.values()]), passed)
