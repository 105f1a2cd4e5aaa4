"""Uses of models' loads, from the nodes' logs: which answered nobody, and which came too late.

A spell is a series of refusals of one model, as on no endpoint, with less than ``SPELL_GAP_S``
between them. Its callers come back within it, so an order after its last refusal is for nobody.
"""

import math
import statistics
import typing as t

SPELL_GAP_S = 4.0


class ModelAsk(t.NamedTuple):
    """One ended request for a model.

    :param absent: it was refused since no endpoint held the model.
    """

    at: float
    answered: bool
    absent: bool


class Load(t.NamedTuple):
    """The time for which an endpoint loaded and held a model."""

    ordered_at: float
    model: str
    until: float


class LoadUses(t.NamedTuple):
    """Counts of loads and spells.

    :param unused: loads during which no request for the model was answered.
    :param forgotten: those whose model was not requested again.
    :param late: spells of two refusals or more that ended before the next order, if any.
    :param delay_s: median time from a spell's first refusal to the next order, in seconds.
    """

    loads: int
    unused: int
    forgotten: int
    spells: int
    late: int
    delay_s: float


def count_uses(asks: t.Mapping[str, list[ModelAsk]], loads: list[Load]) -> LoadUses:
    """Count the loads that answered nobody, and the spells whose order came too late."""
    unused = [load for load in loads if not _is_used(load, asks.get(load.model, ()))]
    forgotten = [
        load
        for load in unused
        if not any(ask.at > load.ordered_at for ask in asks.get(load.model, ()))
    ]
    late, spells = 0, 0
    delays: list[float] = []
    for model, rows in asks.items():
        ordered = sorted(load.ordered_at for load in loads if load.model == model)
        for first_at, last_at in _list_spells(rows):
            spells += 1
            order_at = next((at for at in ordered if at >= first_at), None)
            late += order_at is None or order_at > last_at
            if order_at is not None:
                delays.append(order_at - first_at)
    delay_s = statistics.median(delays) if delays else 0.0
    return LoadUses(len(loads), len(unused), len(forgotten), spells, late, delay_s)


def _is_used(load: Load, asks: t.Iterable[ModelAsk]) -> bool:
    return any(ask.answered and load.ordered_at < ask.at <= load.until for ask in asks)


def _list_spells(asks: t.Iterable[ModelAsk]) -> list[tuple[float, float]]:
    """Return the first and last refusal of each spell of two refusals or more."""
    spells: list[list[float]] = []
    for ask in asks:
        if not ask.absent:
            continue
        if spells and ask.at - spells[-1][-1] < SPELL_GAP_S:
            spells[-1].append(ask.at)
        else:
            spells.append([ask.at])
    return [(spell[0], spell[-1]) for spell in spells if len(spell) > 1]


class LastRefusals(t.NamedTuple):
    """Callers who met an absent model and were answered by no try, by what their last refusal knew.

    :param untrue: a load was announced that would end before their deadline.
    :param late: a load was announced that would end after it.
    :param unknown: no load was announced.
    """

    untrue: int
    late: int
    unknown: int


class CallerTry(t.NamedTuple):
    """One ended request, by the caller who sent it.

    :param announced_s: until its model's announced load ends, in seconds; inf if there is none.
    :param left_s: time that the caller had left, in seconds.
    """

    at: float
    answered: bool
    absent: bool
    announced_s: float
    left_s: float


def count_last_refusals(tries: t.Mapping[t.Any, list[CallerTry]]) -> LastRefusals:
    """Count the callers whose last try was refused as their model was absent."""
    counts = [0, 0, 0]
    for rows in tries.values():
        last = max(rows)
        if any(one.answered for one in rows) or not last.absent:
            continue
        known = last.announced_s < math.inf
        counts[0 if known and last.announced_s < last.left_s else 1 if known else 2] += 1
    return LastRefusals(*counts)
