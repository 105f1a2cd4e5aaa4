"""The lease holder's plans: what the placement policy is told, and what becomes of its moves.

The policy sees runners as rooms, with what is on its way and what is in use counted; its
moves become orders only where they are safe now.
"""

import math
import typing as t

from . import attaching
from . import defaults
from . import placement
from . import swapping as swapping
from .effects import Effect
from .effects import WantDeclined
from .endpoints import EndpointView
from .orders import adapters_at
from .orders import give_order
from .orders import put_report
from .orders import usable
from .orders import withdraw
from .resources import ModelSpec
from .resources import PolicySpec
from .rooms import doubted_mb
from .rooms import from_store
from .rooms import load_time_s
from .rooms import order_mb
from .rooms import split_name
from .rooms import used_mb
from .rooms import withdrawn_mb
from .rooms import without
from .routes import EngineSize
from .state import NodeState

Effects = list[Effect]


def plan(state: NodeState) -> Effects:
    """Order the loads and unloads of models that the placement policy wants."""
    effects: Effects = []
    if state.table is None:
        return effects
    for service, size in state.table.services.items():
        if size.engine is not None:
            effects += _plan_service(state, service, size.engine)
    state.residency.summed_at = state.now
    return effects


def _plan_service(state: NodeState, service: str, engine: EngineSize) -> Effects:
    views = [one for one in state.endpoints.values() if one.service == service]
    models = {
        name: ModelSpec(version="", memory_gb=size.memory_mb / 1000.0, engine=service)
        for name, size in engine.models.items()
    }
    levels = {name: state.control.forecast.levels.get(name, 0.0) for name in models}
    views = [view for view in views if _plannable(state, view)]
    # Runners are to be about evenly loaded, so each may have a little over its part.
    part = sum(levels.values()) / max(1, len(views)) * defaults.EVEN_MARGIN
    rate = max(defaults.RUNNER_TOKENS_PER_S, part)
    used = attaching.list_used(state)
    awaited = _sum_awaited(state, service, models)
    rooms = tuple(
        _runner_room(state, engine, view, rate)._replace(
            in_use=frozenset(name for endpoint, name in used if endpoint == view.name),
            awaited=sum(awaited.get(model, 0.0) for model in view.resident),
        )
        for view in views
    )
    policy = PolicySpec(loads_per_s=max(0.1, engine.loads_per_s))
    store = state.control.store
    store.refill(state.now, engine.loads_per_s * defaults.STORE_RATE_SHARE)
    # A fast model is little work, but its callers miss it as much as those of another.
    asked = {name: level / state.paces.relative(name) for name, level in levels.items()}
    given = placement.PlanInput(
        models,
        rooms,
        levels,
        policy,
        asked,
        urgent=state.control.urgent.forecast.levels,
        missed=state.control.missed.forecast.levels,
        longest_s=state.paces.longest_s,
        owed=_note_owed(state, asked, rooms),
        declined={},
    )
    effects: Effects = []
    for move in placement.find_placement(defaults.RELAY_PLACEMENT)(given):
        effects += perform_move(state, engine, move)
    return effects + _tell_declined(state, given)


def _tell_declined(state: NodeState, given: placement.PlanInput) -> Effects:
    """Tell operators why models that are asked for are not brought, once for each reason."""
    told = state.residency.declined
    declined = given.declined or {}
    effects: Effects = []
    for model in given.models:
        why = declined.get(model, "")
        if why and told.get(model, "") != why:
            effects.append(WantDeclined(model, f"{why}; {given.claim(model):.0f} tokens/s claimed"))
        told[model] = why
    return effects


def _sum_awaited(state: NodeState, service: str, models: t.Container[str]) -> dict[str, float]:
    """Sum up by model what is asked of its adapters that are attached nowhere.

    :return: in tokens a second, for each endpoint that holds the model.
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


def _note_owed(
    state: NodeState,
    asked: t.Mapping[str, float],
    rooms: t.Iterable[placement.RunnerRoom],
) -> dict[str, float]:
    """Add up what is asked in vain of models that stand nowhere, in tokens.

    :param asked: of each model, in tokens a second.
    """
    residency = state.residency
    passed = min(state.now - residency.summed_at, defaults.RELAY_PLAN_INTERVAL_S)
    stand = {name for room in rooms for name, _ in room.resident}
    for model, level in asked.items():
        if model in stand:
            residency.owed.pop(model, None)
        elif level > 0.0:
            residency.owed[model] = residency.owed.get(model, 0.0) + level * passed
    return {model: residency.owed[model] for model in asked if model in residency.owed}


def _plannable(state: NodeState, view: EndpointView) -> bool:
    room = state.residency.rooms.get(view.name)
    if room is None or not room.trusted or view.report is None:
        return False
    # What a runner held that is down is lost: its models are placed elsewhere now,
    # seconds before its entry lapses. One that is gone is known for as long as a request
    # hangs there, up to its deadline, and holds nothing for others.
    return not view.leaving and not view.down and not view.gone


def _runner_room(
    state: NodeState, engine: EngineSize, view: EndpointView, token_rate: float
) -> placement.RunnerRoom:
    assert view.report is not None
    room = state.residency.rooms[view.name]
    order = room.order
    coming = (
        {(order.model, "")} if order and order.action == "load" and not order.adapter else set()
    )
    resident = {(name, "") for name, _ in view.report.resident}
    free_mb = engine.memory_mb - used_mb(engine, view.report) - _adapter_reserve_mb(engine, view)
    # What a lost order may bring yet is not there to be given away.
    free_mb -= doubted_mb(engine, room, state.now, "") + withdrawn_mb(engine, room)
    if order is not None and order.action == "load" and not order.adapter:
        free_mb -= order_mb(engine, order)
    return placement.RunnerRoom(
        name=view.name,
        data_centre=view.data_centre,
        engine=view.service,
        free_gb=free_mb / 1000.0,
        token_rate=_bounded_rate(state, view, token_rate),
        resident=frozenset(resident),
        coming=frozenset(coming),
        busy=not usable(state, view) or bool(room.withdrawn_models()),
        load_s={name: load_time_s(size, view.report) for name, size in engine.models.items()},
        free_in_s=_free_in_s(state, engine, view),
        room_for=room.room_for,
        kept=room.kept_models(state.now),
    )


def _bounded_rate(state: NodeState, view: EndpointView, token_rate: float) -> float:
    """Give what a runner serves, in tokens a second: no more than the requests that it takes.

    Beyond that its models need another replica, however idle it looks.
    """
    if view.rate is None or state.paces.mean_work <= 0.0:
        return token_rate
    return min(token_rate, view.rate * state.paces.mean_work)


def _free_in_s(state: NodeState, engine: EngineSize, view: EndpointView) -> float:
    """Predict how soon a runner's order is over; infinite where it is overdue or lost."""
    room = state.residency.rooms[view.name]
    order = room.order
    if room.withdrawn_models():
        since = min(room.withdrawn[name] for name in room.withdrawn_models())
        left_s = since + state.paces.longest_s + defaults.RUNNER_BUSY_S - state.now
        return left_s if left_s > 0 else math.inf
    if order is None or order.lost or view.report is None or not view.open_for_work(state.now):
        return math.inf
    length_s = order.length_s or defaults.UNLOAD_S
    left_s = order.sent_at + length_s + defaults.RUNNER_BUSY_S - state.now
    return left_s if left_s > 0 else math.inf


def _adapter_reserve_mb(engine: EngineSize, view: EndpointView) -> float:
    """Keep memory for as many adapters as a runner may hold, beside those it has."""
    largest = max((one.adapter_mb for one in engine.models.values()), default=0.0)
    return largest * max(0, engine.adapters_max - len(adapters_at(view)))


def perform_move(state: NodeState, engine: EngineSize, move: placement.Move) -> Effects:
    """Order what the planner wants of an endpoint, if that is safe now."""
    view = state.endpoints[move.endpoint]
    model = move.key[0]
    if not usable(state, view) or view.report is None:
        return []
    if move.action == "load":
        size = engine.models[model]
        room = state.residency.rooms[view.name]
        used = used_mb(engine, view.report) + doubted_mb(engine, room, state.now, model)
        used += withdrawn_mb(engine, room)
        if used + size.memory_mb > engine.memory_mb:
            state.record(view.name, f"cannot load {model}", "a lost order may take its room yet")
            return []
        if from_store(size, view.report) and not state.control.store.take():
            return []
        state.record(view.name, f"load {model}", move.why)
        room.room_for = ""
        return [give_order(state, view, "load", model, "")]
    others = [
        one
        for one in state.hosts.get(model, {}).values()
        if one.name != view.name and one.service == view.service and one.open_for_work(state.now)
    ]
    if not others and model in engine.models and not move.last:
        state.record(view.name, f"cannot unload {model}", "it is its last open copy")
        return []
    room = state.residency.rooms[view.name]
    room.room_for = move.room_for
    if (view.name, model) in attaching.list_used(state):
        # An unload waits for what runs there and holds up all other orders, for up to 15 s
        # where a stream is put back again and again; so its requests end first.
        state.record(view.name, f"withdraw {model}", move.why)
        room.withdraw(model, state.now, adapters_at(view))
        return [put_report(state, view, without(view.report, model, ""))]
    state.record(view.name, f"unload {model}", move.why)
    return withdraw(state, view, model, "")
