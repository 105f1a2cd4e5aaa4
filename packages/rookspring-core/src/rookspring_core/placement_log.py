"""What the log says of a plan: why requested models are not loaded, and whom a load is for."""

import typing as t

from . import control_jobs
from . import defaults
from .effects import Effect
from .effects import LoadRequestDeclined
from .placement import PlanInput
from .state import NodeState


def log_declined(state: NodeState, plan_input: PlanInput) -> list[Effect]:
    """Log why requested models are not loaded, each reason once while it stays the same."""
    logged = state.residency.declined
    declined = plan_input.declined or {}
    changed = [name for name, why in declined.items() if why and logged.get(name, "") != why]
    logged.update((name, declined.get(name, "")) for name in plan_input.models)
    if not changed:
        return []
    places = _sort_runners(state, plan_input)
    return [
        LoadRequestDeclined(
            name,
            f"{declined[name]}; {plan_input.aged_demand(name):.0f} tokens/s of aged demand; "
            + places.describe_without(state.hosts.get(name, {}).keys()),
        )
        for name in changed
    ]


class _SortedRunners(t.NamedTuple):
    """Names of runners, for the log: all, those busy, and others that hold an unasked model."""

    names: frozenset[str]
    busy: frozenset[str]
    unasked: frozenset[str]

    def describe_without(self, held: t.AbstractSet[str]) -> str:
        """Describe which runners could make room for a model.

        :param held: the runners that hold it.
        """
        others, busy, unasked = (len(one) - len(one & held) for one in self)
        return (
            f"of {others} runners without it {busy} are busy, "
            f"{unasked} others hold a model that hardly anybody requests now"
        )


def _sort_runners(state: NodeState, plan_input: PlanInput) -> _SortedRunners:
    measured = control_jobs.measure_demand(state)
    runners = plan_input.runners
    return _SortedRunners(
        frozenset(one.name for one in runners),
        frozenset(one.name for one in runners if one.busy),
        frozenset(
            one.name
            for one in runners
            if not one.busy
            and any(
                measured.get(name, 0.0) < defaults.IDLE_TOKENS_PER_S for name, _ in one.resident
            )
        ),
    )


def describe_callers(state: NodeState, model: str) -> str:
    """Describe, for the log, by when the callers of a model without a replica are expected."""
    back_by = [
        pending.callers_back_by
        for key, pending in state.residency.load_requests.items()
        if key[1] == model and not pending.given_up
    ]
    if not back_by:
        return "no caller is known to wait"
    return f"the last of its callers is due in {max(back_by) - state.now:.2f} s"
