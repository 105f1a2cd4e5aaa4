"""Measured times between events by endpoint and model, summed over the nodes with decay.

One node sees a stream at one endpoint only every some seconds, so what all nodes measure is added
up. The sums decay, so that they follow an endpoint that changes within seconds. How much one
node's measurements count at an endpoint is bounded, and so is the speed that they can imply.
"""

import itertools
import math
import statistics
import typing as t

from . import defaults

# What the bounds of a speed add to the logarithm of the seconds at speed 1.
_SLOWEST_LOG = -math.log(defaults.SPEED_RANGE[0])
_FASTEST_LOG = -math.log(defaults.SPEED_RANGE[1])
# Key of this node's own measurements among the sources.
_OWN = ""


class SampleRow(t.NamedTuple):
    """Measurements at one endpoint with one model.

    :param weight: decayed number of samples.
    :param log_s: mean natural logarithm of the seconds from one event to the next.
    """

    endpoint: str
    model: str
    weight: float
    log_s: float


class _Cell:
    """Samples of one source, endpoint and model; the weight is as of the time ``at``."""

    __slots__ = ("at", "log_s", "weight")

    def __init__(self, weight: float, log_s: float, at: float) -> None:
        self.weight = weight
        self.log_s = log_s
        self.at = at

    def weight_at(self, now: float) -> float:
        return self.weight * math.exp((self.at - now) / defaults.SPEED_DECAY_S)


# The samples of one source, by endpoint and model.
_Cells = dict[str, dict[str, _Cell]]
# Sums by endpoint and model: of weights, and of weighted logarithms of seconds.
_Sums = dict[tuple[str, str], tuple[float, float]]


class SampleTable:
    """The samples that this node has measured or received, by their source."""

    def __init__(self) -> None:
        self._cells: dict[str, _Cells] = {_OWN: {}}
        # Most samples of each source that count at one endpoint, over all its models.
        self._most = {_OWN: defaults.SPEED_NODE_WEIGHT}
        # Endpoints and models with samples that were not sent on yet, the oldest first.
        self._unsent: dict[str, dict[tuple[str, str], None]] = {_OWN: {}}
        # Typical logarithm of the seconds from event to event by model, which bounds the speeds
        # that samples can imply.
        self._typical: dict[str, float] = {}
        # When endpoints were last restarted; what nodes measured before may still arrive.
        self._restarted: dict[str, float] = {}

    def note(self, endpoint: str, model: str, gap_s: float, now: float) -> None:
        """Add a sample of this node.

        :param gap_s: seconds from one event to the next.
        """
        if self.restarted_lately(endpoint, now):
            return
        log_s = _bound_log(math.log(max(gap_s, defaults.SPEED_GAP_LEAST_S)))
        cell = self._cells[_OWN].setdefault(endpoint, {}).setdefault(model, _Cell(0.0, 0.0, now))
        weight = cell.weight_at(now)
        cell.log_s = (cell.log_s * weight + log_s) / (weight + 1.0)
        cell.weight = weight + 1.0
        cell.at = now
        self._unsent[_OWN][endpoint, model] = None

    def take_rows(
        self, source: str, rows: t.Iterable[SampleRow], now: float, nodes: int, to_send: bool
    ) -> None:
        """Replace samples of another node.

        :param nodes: of how many nodes the rows are the sums.
        :param to_send: whether this node sends them on.
        """
        cells = self._cells.setdefault(source, {})
        unsent = self._unsent.setdefault(source, {})
        most = self._most[source] = defaults.SPEED_NODE_WEIGHT * nodes
        for row in rows:
            if self.restarted_lately(row.endpoint, now):
                continue
            models = cells.setdefault(row.endpoint, {})
            models[row.model] = _Cell(min(row.weight, most), _bound_log(row.log_s), now)
            if to_send:
                unsent[row.endpoint, row.model] = None

    def take_unsent(self, sources: t.Iterable[str], now: float) -> list[SampleRow]:
        """Return sums over this node and some others where there are new samples.

        The rows are bounded in number; the rest stays for the next time.
        """
        group = (_OWN, *sources)
        keys = {key: None for one in group for key in self._unsent.get(one, ())}
        chosen = list(itertools.islice(keys, defaults.SPEED_ROWS_MAX))
        for one in group:
            for key in chosen:
                self._unsent.get(one, {}).pop(key, None)
        sums = _Sums()
        for one in group:
            cells = self._cells.get(one, {})
            for endpoint in {endpoint: None for endpoint, _ in chosen if endpoint in cells}:
                self._add(sums, endpoint, cells[endpoint], self._most[one], now)
        return _make_rows({key: sums[key] for key in chosen if key in sums})

    def sums(self, now: float) -> list[SampleRow]:
        """Return the sums over all sources.

        Samples that have decayed are dropped before, and the models' typical times computed anew.
        """
        self._drop_decayed(now)
        logs: dict[str, list[float]] = {}
        for *_, model, cell in self._iterate():
            logs.setdefault(model, []).append(cell.log_s)
        # A few wrong measurements don't move a median far.
        self._typical = {model: statistics.median(values) for model, values in logs.items()}
        sums = _Sums()
        for source, cells in self._cells.items():
            for endpoint, models in cells.items():
                self._add(sums, endpoint, models, self._most[source], now)
        return _make_rows(sums)

    def _iterate(self) -> t.Iterator[tuple[str, str, str, _Cell]]:
        for source, cells in self._cells.items():
            for endpoint, models in cells.items():
                for model, cell in models.items():
                    yield source, endpoint, model, cell

    def sampled_at(self, endpoint: str) -> float:
        """Return when the latest sample of an endpoint was measured or arrived."""
        cells = (cells.get(endpoint, {}) for cells in self._cells.values())
        return max((cell.at for models in cells for cell in models.values()), default=-math.inf)

    def number(self) -> int:
        """Return how many sums of other nodes and of this one are kept."""
        return sum(len(models) for cells in self._cells.values() for models in cells.values())

    def forget_source(self, source: str) -> None:
        """Drop the samples of a node that is gone."""
        self._cells.pop(source, None)
        self._unsent.pop(source, None)
        self._most.pop(source, None)

    def forget_endpoint(self, endpoint: str, now: float) -> None:
        """Drop the samples of an endpoint that was restarted, and those that arrive late."""
        self._restarted[endpoint] = now
        for cells in self._cells.values():
            cells.pop(endpoint, None)
        for unsent in self._unsent.values():
            for key in [one for one in unsent if one[0] == endpoint]:
                del unsent[key]

    def restarted_lately(self, endpoint: str, now: float) -> bool:
        """Return whether other nodes may not have learnt yet that an endpoint was restarted."""
        at = self._restarted.get(endpoint)
        return at is not None and now - at < defaults.SPEED_RESTART_S

    def _add(
        self, sums: _Sums, endpoint: str, models: dict[str, _Cell], most: float, now: float
    ) -> None:
        """Add one source's samples of an endpoint.

        Too many count for less in proportion: if the first models took all of the bound, an
        endpoint whose hot model is nowhere else would never be compared by its other ones.
        """
        weights = {model: cell.weight_at(now) for model, cell in models.items()}
        factor = min(1.0, most / max(sum(weights.values()), defaults.SPEED_WEIGHT_LEAST))
        for model, cell in models.items():
            weight = weights[model] * factor
            total, weighted = sums.get((endpoint, model), (0.0, 0.0))
            log_s = self._bound_speed(model, cell.log_s)
            sums[endpoint, model] = (total + weight, weighted + weight * log_s)

    def _bound_speed(self, model: str, log_s: float) -> float:
        """Bound a logarithm of seconds to what the least and the highest speed explain."""
        typical = self._typical.get(model)
        if typical is None:
            return log_s
        return min(max(log_s, typical + _FASTEST_LOG), typical + _SLOWEST_LOG)

    def _drop_decayed(self, now: float) -> None:
        decayed = [
            (source, endpoint, model)
            for source, endpoint, model, cell in self._iterate()
            if cell.weight_at(now) < defaults.SPEED_WEIGHT_LEAST
        ]
        for source, endpoint, model in decayed:
            models = self._cells[source][endpoint]
            del models[model]
            if not models:
                del self._cells[source][endpoint]
        for source, unsent in self._unsent.items():
            kept = self._cells.get(source, {})
            for endpoint, model in [key for key in unsent if key[1] not in kept.get(key[0], {})]:
                del unsent[endpoint, model]
        for endpoint in [one for one in self._restarted if not self.restarted_lately(one, now)]:
            del self._restarted[endpoint]


def _make_rows(sums: _Sums) -> list[SampleRow]:
    return [
        SampleRow(endpoint, model, weight, weighted / weight)
        for (endpoint, model), (weight, weighted) in sums.items()
        if weight >= defaults.SPEED_WEIGHT_LEAST
    ]


def _bound_log(log_s: float) -> float:
    """Bound the logarithm of the seconds between two events to possible values."""
    least, most = defaults.SPEED_GAP_LEAST_S, defaults.SPEED_GAP_MOST_S
    return min(max(log_s, math.log(least)), math.log(most))
