"""The lease holder's planner: builds the input of the placement policy and orders its moves.

The input counts loads under way, and memory that an unanswered order may still take. Moves
become orders only where that is safe now.
"""

import math
import typing as t

from . import attaching
from . import claims as claims
from . import defaults
from . import deficits
from . import expected_loads
from . import placement
from . import placement_log
from . import swapping as swapping
from .accounts import load_time_s
from .accounts import loads_from_store
from .accounts import model_mb
from .accounts import report_without
from .accounts import split_name
from .accounts import unanswered_mb
from .accounts import used_mb
from .accounts import withdrawn_mb
from .effects import Effect
from .endpoints import EndpointView
from .orders import accepts_orders
from .orders import adapters_at
from .orders import apply_and_share_report
from .orders import give_order
from .orders import withdraw_and_unload
from .resources import ModelSpec
from .resources import PolicySpec
from .routes import EngineSize
from .state import NodeState

Effects = list[Effect]


def plan(state: NodeState) -> Effects:
    """Run the placement policy for each service with engines and order its moves."""
    effects: Effects = []
    if state.table is None:
        return effects
    for service, size in state.table.services.items():
        if size.engine is not None:
            effects += _plan_service(state, service, size.engine)
    state.residency.deficits_updated_at = state.now
    return effects


def _plan_service(state: NodeState, service: str, engine: EngineSize) -> Effects:
    views = [one for one in state.endpoints.values() if one.service == service]
    models = {
        name: ModelSpec(version="", memory_gb=size.memory_mb / 1000.0, engine=service)
        for name, size in engine.models.items()
    }
    levels = {name: state.control.forecast.levels.get(name, 0.0) for name in models}
    views = [view for view in views if _plannable(state, view)]
    # Load is to be spread evenly for the runners' speeds, so each is planned for little more than
    # its part.
    speeds = sum(view.speed for view in views) or 1.0
    part = sum(levels.values()) / speeds * defaults.EVEN_MARGIN
    rate = max(defaults.RUNNER_TOKENS_PER_S, part)
    used = attaching.list_used(state)
    unattached = _sum_unattached_demand(state, service, models)
    snapshots = tuple(
        _snapshot_runner(state, engine, view, rate)._replace(
            in_use=frozenset(name for endpoint, name in used if endpoint == view.name),
            unattached_demand=sum(unattached.get(model, 0.0) for model in view.resident),
        )
        for view in views
    )
    policy = PolicySpec(loads_per_s=max(0.1, engine.loads_per_s))
    store = state.control.store_limiter
    store.refill(state.now, engine.loads_per_s * defaults.STORE_RATE_SHARE)
    requested = deficits.requested_rates(state, models)
    plan_input = placement.PlanInput(
        models,
        snapshots,
        levels,
        policy,
        requested,
        urgent=state.control.urgent_demand.forecast.levels,
        missed=state.control.refused_demand.forecast.levels,
        longest_s=state.latencies.longest_answer_s,
        deficit=deficits.count(state, service, requested),
        awaited=_list_awaited(state, service),
        declined={},
        claimed=expected_loads.claimed_runners(state, service),
        claims={},
    )
    effects: Effects = []
    for move in placement.find_placement(state.options.placement)(plan_input):
        effects += perform_move(state, engine, move)
    effects += expected_loads.keep_claims(state, service, plan_input)
    return effects + placement_log.log_declined(state, plan_input)


def _sum_unattached_demand(
    state: NodeState, service: str, models: t.Container[str]
) -> dict[str, float]:
    """Sum the demand for unattached adapters, by their model.

    :return: in tokens a second, divided by the number of endpoints that hold the model.
    """
    sums: dict[str, float] = {}
    for adapter, level in state.control.forecast.levels.items():
        model = split_name(adapter)[0]
        if model == adapter or model not in models:
            continue
        hosts = [one for one in state.hosts.get(model, {}).values() if one.service == service]
        if hosts and not any(one.has_adapter(adapter) for one in hosts):
            sums[model] = sums.get(model, 0.0) + level / len(hosts)
    return sums


def _plannable(state: NodeState, view: EndpointView) -> bool:
    account = state.residency.accounts.get(view.name)
    if account is None or not account.trusted or view.report is None:
        return False
    # A runner that is down has lost its models, so they are placed elsewhere at once,
    # seconds before its entry lapses. A runner that is gone stays known while a request
    # hangs there, up to the request's deadline, but its models serve no other request.
    return not view.closed and not view.down


def _snapshot_runner(
    state: NodeState, engine: EngineSize, view: EndpointView, token_rate: float
) -> placement.RunnerSnapshot:
    """Make the planner's input for one runner.

    :param token_rate: of a runner of speed 1.0, in tokens a second.
    """
    assert view.report is not None
    account = state.residency.accounts[view.name]
    loading = _model_under_load(state, view)
    resident = {(name, "") for name, _ in view.report.resident}
    free_mb = engine.memory_mb - used_mb(engine, view.report) - _adapter_reserve_mb(engine, view)
    # Memory that an unanswered load may still take is not free.
    free_mb -= unanswered_mb(engine, account, state.now, "") + withdrawn_mb(engine, account)
    free_mb -= model_mb(engine, loading) if loading else 0.0
    return placement.RunnerSnapshot(
        name=view.name,
        data_centre=view.data_centre,
        engine=view.service,
        free_gb=free_mb / 1000.0,
        token_rate=_bounded_rate(state, view, token_rate * view.speed),
        resident=frozenset(resident),
        loading=frozenset([(loading, "")] if loading else []),
        busy=not accepts_orders(state, view) or bool(account.withdrawn_models()),
        load_s={name: load_time_s(size, view.report) for name, size in engine.models.items()},
        free_in_s=_free_in_s(state, engine, view),
        room_for=account.room_for,
        freeing_gb=withdrawn_mb(engine, account) / 1000.0,
        protected=account.protected_models(state.now),
        speed=view.speed,
    )


def _model_under_load(state: NodeState, view: EndpointView) -> str:
    """Return the model that a runner loads; empty if it loads none.

    The load may be an order of the last lease holder, which all nodes have heard of.
    """
    order = state.residency.accounts[view.name].order
    if order is not None:
        return order.model if order.action == "load" and not order.adapter else ""
    assert view.report is not None
    model = view.expected_model[0]
    if not model or not view.report.loading or model in view.resident:
        return ""
    return model if view.expected_in_s(model, state.now) is not None else ""


def _bounded_rate(state: NodeState, view: EndpointView, token_rate: float) -> float:
    """Return a runner's rate in tokens a second, bounded by its rate of requests.

    Demand beyond that needs another replica, even if the runner looks idle.
    """
    if view.rate is None or state.latencies.mean_work <= 0.0:
        return token_rate
    return min(token_rate, view.rate * state.latencies.mean_work)


def _free_in_s(state: NodeState, engine: EngineSize, view: EndpointView) -> float:
    """Predict the seconds until a runner takes orders again.

    :return: infinite if unknown, as its order is overdue or unanswered.
    """
    account = state.residency.accounts[view.name]
    order = account.order
    if account.withdrawn_models():
        since = min(account.withdrawn[name] for name in account.withdrawn_models())
        left_s = since + state.latencies.longest_answer_s + defaults.RUNNER_BUSY_S - state.now
        return left_s if left_s > 0 else math.inf
    if order is None or order.unanswered or view.report is None or not view.accepts_work(state.now):
        return math.inf
    length_s = order.length_s or defaults.UNLOAD_S
    left_s = order.sent_at + length_s + defaults.RUNNER_BUSY_S - state.now
    return left_s if left_s > 0 else math.inf


def _adapter_reserve_mb(engine: EngineSize, view: EndpointView) -> float:
    """Return the memory to reserve for the adapters that a runner may hold beyond its own."""
    largest = max((one.adapter_mb for one in engine.models.values()), default=0.0)
    return largest * max(0, engine.adapters_max - len(adapters_at(view)))


def _list_awaited(state: NodeState, service: str) -> frozenset[str]:
    """List the models of a service that callers wait for, or are to come back for."""
    load_requests = state.residency.load_requests.items()
    return frozenset(
        key[1] for key, pending in load_requests if key[0] == service and not pending.given_up
    )


def perform_move(state: NodeState, engine: EngineSize, move: placement.Move) -> Effects:
    """Order one move at its endpoint, if that is safe now."""
    view = state.endpoints[move.endpoint]
    model = move.key[0]
    if not accepts_orders(state, view) or view.report is None:
        return []
    if move.action == "load":
        size = engine.models[model]
        account = state.residency.accounts[view.name]
        used = used_mb(engine, view.report) + unanswered_mb(engine, account, state.now, model)
        used += withdrawn_mb(engine, account)
        if used + size.memory_mb > engine.memory_mb:
            state.record(
                view.name, f"cannot load {model}", "an unanswered order may still take its memory"
            )
            return []
        if loads_from_store(size, view.report) and not state.control.store_limiter.take():
            return []
        state.record(
            view.name,
            f"load {model}",
            f"{move.why}; {placement_log.describe_callers(state, model)}",
        )
        account.room_for = ""
        return [give_order(state, view, "load", model, "")]
    others = [
        one
        for one in state.hosts.get(model, {}).values()
        if one.name != view.name and one.service == view.service and one.accepts_work(state.now)
    ]
    if not others and model in engine.models and not move.last:
        state.record(view.name, f"cannot unload {model}", "no other open endpoint holds it")
        return []
    account = state.residency.accounts[view.name]
    account.room_for = move.room_for
    if (view.name, model) in attaching.list_used(state):
        # An unload waits for the requests that run there and blocks all other orders, for up
        # to 15 s if a stream is put back repeatedly. So the model is withdrawn first, and
        # unloaded once its requests have ended.
        state.record(view.name, f"withdraw {model}", move.why)
        account.withdraw(model, state.now, adapters_at(view))
        return [apply_and_share_report(state, view, report_without(view.report, model, ""))]
    state.record(view.name, f"unload {model}", move.why)
    return withdraw_and_unload(state, view, model, "")
