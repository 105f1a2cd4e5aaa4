"""Fit of the speeds of a service's endpoints to measured times between events.

The logarithm of the seconds from one event to the next is a model's part minus the logarithm of
the endpoint's speed. Models differ in cost by more than endpoints in speed, and not every model is
on every endpoint, so both parts are fitted together.
"""

import math
import typing as t

from . import defaults
from .speed_samples import SampleRow


class FittedSpeed(t.NamedTuple):
    """An endpoint's speed by the samples alone.

    :param log_speed: natural logarithm of the speed, relative to the fitted endpoints' median once
        the fit is complete.
    :param weight: number of samples that compare it with other endpoints.
    """

    log_speed: float
    weight: float


class _ModelSums:
    """Sums over the endpoints of one model: weights, and weighted logarithms at speed 1."""

    __slots__ = ("total", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.total = 0.0


def fit_speeds(rows: t.Iterable[SampleRow]) -> dict[str, FittedSpeed]:
    """Fit the endpoints' speeds, relative to their median.

    Each endpoint is compared with the other endpoints of its models, one after another, in
    ``SPEED_SWEEPS`` rounds. A model that is on one endpoint only says nothing about it. Few
    samples move a speed less, as if ``SPEED_SHRINK`` samples of speed 1 were among them.

    :return: the speeds of the endpoints with ``SPEED_SAMPLES_MIN`` samples that compare them.
    """
    by_endpoint: dict[str, list[SampleRow]] = {}
    models: dict[str, _ModelSums] = {}
    for row in rows:
        by_endpoint.setdefault(row.endpoint, []).append(row)
        sums = models.setdefault(row.model, _ModelSums())
        sums.weight += row.weight
        sums.total += row.weight * row.log_s
    fits = dict.fromkeys(by_endpoint, FittedSpeed(0.0, 0.0))
    for _ in range(defaults.SPEED_SWEEPS):
        for endpoint, own in by_endpoint.items():
            before = fits[endpoint].log_speed
            fits[endpoint] = _compare(own, models, before)
            for row in own:
                models[row.model].total += row.weight * (fits[endpoint].log_speed - before)
    return _relate_to_median(fits)


def _compare(
    own: list[SampleRow], models: t.Mapping[str, _ModelSums], log_speed: float
) -> FittedSpeed:
    """Fit an endpoint's speed to the present ones of the others.

    :param own: the endpoint's rows.
    :param log_speed: logarithm of its own present speed, as it is in the sums of its models.
    """
    difference = 0.0
    compared = 0.0
    for row in own:
        sums = models[row.model]
        others = sums.weight - row.weight
        if others <= defaults.SPEED_WEIGHT_LEAST:
            continue
        others_mean = (sums.total - row.weight * (row.log_s + log_speed)) / others
        # The fewer samples either side has, the less the comparison counts.
        weight = row.weight * others / sums.weight
        difference += weight * (others_mean - row.log_s)
        compared += weight
    return FittedSpeed(difference / (compared + defaults.SPEED_SHRINK), compared)


def _relate_to_median(fits: t.Mapping[str, FittedSpeed]) -> dict[str, FittedSpeed]:
    """Relate the speeds that rest on enough samples to their median, and drop the others.

    So the usual endpoint has speed 1, however slow or fast a few others are.
    """
    enough = {
        endpoint: fitted
        for endpoint, fitted in fits.items()
        if fitted.weight >= defaults.SPEED_SAMPLES_MIN
    }
    if not enough:
        return {}
    # The upper of two in the middle: of two endpoints one slows down sooner than one speeds up.
    usual = sorted(fitted.log_speed for fitted in enough.values())[len(enough) // 2]
    return {
        endpoint: FittedSpeed(fitted.log_speed - usual, fitted.weight)
        for endpoint, fitted in enough.items()
    }


def deviates(fitted: FittedSpeed, differing: bool) -> bool:
    """Return whether a speed differs by more than noise and fullness explain.

    :param differing: the endpoint has counted as different until now, so that a smaller
        difference suffices.
    """
    band = defaults.SPEED_BAND + defaults.SPEED_NOISE / math.sqrt(fitted.weight)
    if differing:
        band *= defaults.SPEED_BAND_LEAVE
    return abs(fitted.log_speed) > band
