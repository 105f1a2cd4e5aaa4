"""Deficits: what callers requested of models while these were on no endpoint.

The lease holder's planner counts them, and so does each node that may take the lease later, from
the demand and the reports that all nodes get. A holder that began without them would load last
what has been missed longest.
"""

import typing as t

from . import defaults
from .state import NodeState


def requested_rates(state: NodeState, models: t.Iterable[str]) -> dict[str, float]:
    """Return what callers request of models by the forecast, in tokens a second."""
    levels = state.control.forecast.levels
    # A fast model is less work for a token, but its callers lose as much without it.
    return {name: levels.get(name, 0.0) / state.latencies.relative_cost(name) for name in models}


def follow(state: NodeState) -> None:
    """Count the deficits at a node that makes no plans now, twice a second."""
    since_s = state.now - state.residency.deficits_updated_at
    if state.table is None or since_s < defaults.DEMAND_FOLLOWED_S:
        return
    for service, size in state.table.services.items():
        if size.engine is not None:
            count(state, service, requested_rates(state, size.engine.models))
    state.residency.deficits_updated_at = state.now


def count(state: NodeState, service: str, requested: t.Mapping[str, float]) -> dict[str, float]:
    """Add what has been requested of a service's models since the last count.

    :param requested: of each model, in tokens a second.
    :return: the deficits of these models, in tokens.
    """
    residency = state.residency
    passed = min(state.now - residency.deficits_updated_at, defaults.RELAY_PLAN_INTERVAL_S)
    for model, level in requested.items():
        if _is_held(state, service, model):
            residency.deficits.pop(model, None)
        elif level > 0.0:
            residency.deficits[model] = residency.deficits.get(model, 0.0) + level * passed
    return {model: residency.deficits[model] for model in requested if model in residency.deficits}


def _is_held(state: NodeState, service: str, model: str) -> bool:
    hosts = state.hosts.get(model, {}).values()
    return any(one.service == service and not one.closed and not one.down for one in hosts)
