"""Forecast of each model's demand, which rises fast and falls slowly.

Each node shares its requested tokens a second by model; the lease holder sums and smooths
them. The forecast follows rising demand within seconds, since late answers cost more than
an idle replica.
"""

import math
import typing as t

from . import defaults


class SmoothingTimes(t.NamedTuple):
    """Time constants of the smoothing of demand, in seconds."""

    rise_s: float = defaults.DEMAND_RISE_TAU_S
    fall_s: float = defaults.DEMAND_FALL_TAU_S
    meter_s: float = defaults.DEMAND_METER_S


class Forecast:
    """Smoothed demand by model, in tokens a second."""

    def __init__(self, smoothing: SmoothingTimes | None = None) -> None:
        self.smoothing = smoothing or SmoothingTimes()
        self.levels: dict[str, float] = {}

    def update(self, measured: t.Mapping[str, float], passed: float) -> None:
        """Move each level towards the measured rate.

        :param passed: seconds since the last update.
        """
        for model in set(self.levels) | set(measured):
            level = self.levels.get(model, 0.0)
            rate = measured.get(model, 0.0)
            tau = self.smoothing.rise_s if rate > level else self.smoothing.fall_s
            level += (rate - level) * (1.0 - math.exp(-passed / tau))
            if level < 1e-3 and rate <= 0.0:
                self.levels.pop(model, None)
            else:
                self.levels[model] = level


class DemandMeter:
    """Smoothed rate of the tokens requested at this node, by model."""

    def __init__(self, smoothing: SmoothingTimes | None = None) -> None:
        self.smoothing = smoothing or SmoothingTimes()
        self._sums: dict[str, float] = {}
        self.rates: dict[str, float] = {}

    def add(self, model: str, tokens: float) -> None:
        """Count a request, whether it is admitted or not."""
        self._sums[model] = self._sums.get(model, 0.0) + tokens

    def roll(self, passed: float) -> None:
        """Update the rates with the sums of the last ``passed`` seconds."""
        gain = min(1.0, passed / self.smoothing.meter_s)
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
    """One kind of demand: measured here, received from the other nodes, and forecast."""

    def __init__(self, smoothing: SmoothingTimes | None = None) -> None:
        self.meter = DemandMeter(smoothing)
        self.forecast = Forecast(smoothing)
        self._peer_rates: dict[str, dict[str, float]] = {}

    def use_smoothing(self, smoothing: SmoothingTimes) -> None:
        """Use other time constants from now on."""
        self.meter.smoothing = smoothing
        self.forecast.smoothing = smoothing

    def take_peer_rates(self, peer: str, rates: t.Iterable[tuple[str, float]]) -> None:
        """Store another node's rates, in tokens a second by model."""
        self._peer_rates[peer] = dict(rates)

    def sum_of(self, peers: t.Iterable[str]) -> dict[str, float]:
        """Return the sum of this node's rates and those received from some other nodes."""
        received = (self._peer_rates.get(peer, {}) for peer in peers)
        return add_rates([self.meter.rates, *received])

    def forget(self, peer: str) -> None:
        """Drop the rates of a node that is gone."""
        self._peer_rates.pop(peer, None)

    def restart(self) -> None:
        """Start the forecast anew, as a new lease holder does."""
        self.forecast = Forecast(self.forecast.smoothing)

    def update_forecast(self, passed: float) -> None:
        """Move the forecast towards the sum of all nodes' rates."""
        self.forecast.update(add_rates([self.meter.rates, *self._peer_rates.values()]), passed)
