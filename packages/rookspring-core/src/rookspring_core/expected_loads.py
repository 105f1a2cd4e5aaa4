"""Claims that the lease holder keeps between plans, and what it shares of them.

The other nodes learn when a model is expected at a runner that is not free yet, so that
requests for it wait or retry at the right time. Claims are in memory only: the next holder
makes its own. See ``docs/design/claims.md``.
"""

import typing as t

from . import defaults
from .accounts import KeptClaim
from .effects import ClaimChanged
from .effects import Effect
from .effects import ShareLoading
from .orders import accepts_orders
from .placement import Claim
from .placement import PlanInput
from .state import NodeState

Effects = list[Effect]


def claimed_runners(state: NodeState, service: str) -> dict[str, str]:
    """Return the runner that each model of a service claims, by model."""
    kept = state.residency.claims.get(service, {})
    return {model: claim.runner for model, claim in kept.items()}


def keep_claims(state: NodeState, service: str, plan_input: PlanInput) -> Effects:
    """Replace the claims of a service by those of a plan whose moves were ordered.

    A claim ends with the order to load its model.
    """
    before = state.residency.claims.get(service, {})
    after: dict[str, KeptClaim] = {}
    effects: Effects = []
    claims = {
        model: claim
        for model, claim in (plan_input.claims or {}).items()
        if not _is_loading(state, model, claim.runner)
    }
    for model, old in before.items():
        if model not in claims or claims[model].runner != old.runner:
            effects += _drop(state, model, old, plan_input)
    for model, claim in claims.items():
        after[model], changes = _keep(state, model, before.get(model), claim, plan_input)
        effects += changes
    state.residency.claims[service] = after
    if state.options.placement != defaults.RELAY_PLACEMENT:
        effects += _take_back_others(state, service, after)
    return effects


def _take_back_others(state: NodeState, service: str, claims: t.Mapping[str, KeptClaim]) -> Effects:
    """Take back the loads that are expected at free runners, and that no claim is for.

    Their orders were refused or lost, or the claim was one of the last lease holder.
    """
    effects: Effects = []
    for view in state.endpoints.values():
        model = view.expected_model[0]
        if view.service != service or not model or model in view.resident:
            continue
        claimed = model in claims and claims[model].runner == view.name
        lapsed = view.expected_in_s(model, state.now) is None
        if not claimed and not lapsed and accepts_orders(state, view):
            view.expected_model = ("", state.now)
            effects.append(ShareLoading(view.name, "", 0.0))
    return effects


def _is_loading(state: NodeState, model: str, runner: str) -> bool:
    account = state.residency.accounts.get(runner)
    order = account.order if account else None
    return order is not None and (order.action, order.model, order.adapter) == ("load", model, "")


def _drop(state: NodeState, model: str, old: KeptClaim, plan_input: PlanInput) -> Effects:
    """Log a claim that ends without a load at its runner, and take back what was shared of it."""
    view = state.endpoints.get(old.runner)
    if _is_loading(state, model, old.runner) or (view is not None and model in view.resident):
        return []
    demand = plan_input.aged_demand(model)
    in_s = old.expected_at - state.now
    effects: Effects = [ClaimChanged(model, old.runner, "dropped", demand, in_s)]
    if view is not None and old.shared_at is not None and view.expected_model[0] == model:
        view.expected_model = ("", state.now)
        effects.append(ShareLoading(old.runner, "", 0.0))
    return effects


def _keep(
    state: NodeState, model: str, old: KeptClaim | None, claim: Claim, plan_input: PlanInput
) -> tuple[KeptClaim, Effects]:
    """Update a claim, log it if it is new or late, and share its time if that has moved."""
    expected_at = state.now + claim.in_s
    effects: Effects = []
    demand = plan_input.aged_demand(model)
    if old is None or old.runner != claim.runner:
        kept = KeptClaim(claim.runner, expected_at, expected_at)
        effects.append(ClaimChanged(model, claim.runner, "made", demand, claim.in_s))
    else:
        kept = old._replace(expected_at=expected_at)
    if not kept.late and state.now > kept.promised_at:
        kept = kept._replace(late=True)
        effects.append(ClaimChanged(model, claim.runner, "late", demand, claim.in_s))
    if _is_to_be_shared(state, model, kept):
        kept = kept._replace(shared_at=expected_at)
        state.endpoints[claim.runner].expected_model = (model, expected_at)
        effects.append(ShareLoading(claim.runner, model, claim.in_s))
    return kept, effects


def _is_to_be_shared(state: NodeState, model: str, kept: KeptClaim) -> bool:
    """Return whether the nodes don't know the expected time, or it moved by more than the margin.

    Nodes keep one expected model for each runner, so that of a load under way goes first. At a
    runner that takes orders, the plan's own order was refused, and nobody knows for how long.
    """
    account = state.residency.accounts[kept.runner]
    order = account.order
    if order is not None and order.action == "load" and not order.adapter:
        return False
    view = state.endpoints[kept.runner]
    if accepts_orders(state, view) and not account.withdrawn_models():
        return False
    if kept.shared_at is None or view.expected_model[0] != model:
        return True
    return abs(kept.expected_at - kept.shared_at) > defaults.CLAIM_SHARE_MARGIN_S
