"""What one lease holder leaves to the next, beside the lease itself.

It lies in the lease object, which its holder writes each second anyhow. So it outlasts
the end of all processes at once: without it the first plans after such an end knew of
no demand, and unloaded what was asked for most.
"""

import typing as t

from . import defaults
from .events import Handover
from .events import Rates
from .state import NodeState


def make_handover(state: NodeState) -> Handover:
    """Make what this node, as the holder, leaves."""
    control = state.control
    return Handover(
        _list_most(control.forecast.levels),
        _list_most(control.urgent.forecast.levels),
        _list_most(control.missed.forecast.levels),
        tuple(state.paces.token_s.items()),
        state.paces.base_s if state.paces.token_s else 0.0,
        state.paces.longest_s,
    )


def _list_most(levels: t.Mapping[str, float]) -> Rates:
    rows = sorted(levels.items(), key=lambda row: (-row[1], row[0]))
    return tuple((name, round(level, 1)) for name, level in rows[: defaults.HANDOVER_ROWS])


def take_paces(state: NodeState, left: Handover) -> None:
    """Know the paces that were left, where this node has seen none itself."""
    if state.paces.token_s or not left.paces:
        return
    state.paces.token_s.update(left.paces)
    state.paces.base_s = left.base_s or state.paces.base_s
    state.paces.longest_s = max(state.paces.longest_s, left.longest_s)


def take_demand(state: NodeState, left: Handover) -> None:
    """Begin a new holder's forecasts with the demand that was left."""
    control = state.control
    for forecast, rows in (
        (control.forecast, left.demand),
        (control.urgent.forecast, left.urgent),
        (control.missed.forecast, left.missed),
    ):
        forecast.levels.update(rows)
