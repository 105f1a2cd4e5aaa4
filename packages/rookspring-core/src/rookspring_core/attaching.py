"""Adapters come on demand: attached where a request waits for one, in a place that is free.

Where all places are taken, one that no request uses makes room, at once. If all are in
use, the least asked for is withdrawn from new requests first and unloaded once the last
of its requests has ended: an unload that waits would hold up every other order there. A
model that is in use is withdrawn and unloaded likewise, with its adapters.
"""

from . import defaults
from .effects import AdapterLeft
from .effects import Effect
from .effects import WantDeclined
from .effects import WantEnded
from .endpoints import EndpointView
from .orders import adapters_at
from .orders import engine_of
from .orders import give_order
from .orders import put_report
from .orders import settled
from .orders import usable
from .orders import withdraw
from .rooms import Room
from .rooms import doubted_mb
from .rooms import doubted_places
from .rooms import split_name
from .rooms import used_mb
from .rooms import withdrawn_mb
from .rooms import without
from .state import NodeState

Effects = list[Effect]


def serve_wants(state: NodeState) -> Effects:
    """Order the adapters that requests wait for; models are the planner's."""
    if not settled(state):
        return []
    effects: Effects = []
    for key, want in list(state.residency.wanted.items()):
        service, model, adapter = key
        hosts = [one for one in state.hosts.get(model, {}).values() if one.service == service]
        if state.now - want.asked_at > defaults.WANT_LIFE_S:
            effects += _end_want(state, key, "given up")
        elif not adapter:
            continue
        elif any(one.has_adapter(adapter) and one.open_for_work(state.now) for one in hosts):
            effects += _end_want(state, key, "attached")
        elif not _under_way(state, adapter):
            effects += _serve(state, key, hosts)
    return effects


def _end_want(state: NodeState, key: tuple[str, str, str], outcome: str) -> Effects:
    want = state.residency.wanted.pop(key)
    if not key[2]:
        return []
    return [WantEnded(key[2], outcome, state.now - want.first_at, want.times)]


def _serve(state: NodeState, key: tuple[str, str, str], hosts: list[EndpointView]) -> Effects:
    """Order what is to be done for one want, or tell once why nothing is."""
    _, model, adapter = key
    ready = [one for one in hosts if usable(state, one)]
    effects = _attach(state, ready, model, adapter)
    why = "" if effects else _why_not(state, hosts, ready)
    want = state.residency.wanted[key]
    if why == want.declined:
        return effects
    state.residency.wanted[key] = want._replace(declined=why)
    return [*effects, WantDeclined(adapter, why)] if why else effects


def _why_not(state: NodeState, hosts: list[EndpointView], ready: list[EndpointView]) -> str:
    """Say why nothing can be ordered for an adapter now."""
    if not hosts:
        return "its model is on no endpoint"
    if ready:
        return "no place can be made"
    busy = []
    for view in hosts:
        room = state.residency.rooms.get(view.name)
        order = room.order if room else None
        if order is not None:
            busy.append(f"{view.name}: {order.action} {order.adapter or order.model} is under way")
    return "; ".join(busy) or "no endpoint of its model can be given orders"


def _under_way(state: NodeState, adapter: str) -> bool:
    return any(
        room.order is not None and room.order.action == "load" and room.order.adapter == adapter
        for room in state.residency.rooms.values()
    )


def note_used(state: NodeState) -> None:
    """See which of the adapters that were attached are used."""
    rooms = state.residency.rooms
    for name, adapter in list_used(state):
        room = rooms.get(name)
        stay = room.stays.get(adapter) if room else None
        if room is not None and stay is not None and not stay.used:
            room.stays[adapter] = stay._replace(used=True)


def _attach(state: NodeState, hosts: list[EndpointView], model: str, adapter: str) -> Effects:
    """Load an adapter where the fewest are, making a place where all are taken."""
    if not hosts:
        return []
    view = min(hosts, key=lambda one: (len(adapters_at(one)), one.load(state.now), one.name))
    engine = engine_of(state, view)
    if engine is None or view.report is None or model not in engine.models:
        return []
    room = state.residency.rooms[view.name]
    if adapter in room.withdrawn:
        return _take_back(state, view, room, adapter)
    size = engine.models[model]
    used = used_mb(engine, view.report) + doubted_mb(engine, room, state.now, adapter)
    used += withdrawn_mb(engine, room)
    places = len(adapters_at(view)) + doubted_places(room, state.now, adapter)
    places += len(room.withdrawn_adapters())
    if used + size.adapter_mb <= engine.memory_mb and places < engine.adapters_max:
        return [give_order(state, view, "load", model, adapter)]
    return _make_place(state, view, room)


def _make_place(state: NodeState, view: EndpointView, room: Room) -> Effects:
    """Unload the least asked for that nobody uses, or withdraw one that is in use."""
    levels = state.control.forecast.levels
    ranked = sorted(adapters_at(view), key=lambda one: (levels.get(one, 0.0), one))
    in_use = list_used(state)
    for adapter in ranked:
        if (view.name, adapter) not in in_use:
            told = _tell_stay(state, view.name, room, adapter)
            return [*told, *withdraw(state, view, adapter.partition("/")[0], adapter)]
    waiting = sum(1 for _, _, adapter in state.residency.wanted if adapter)
    most = min(defaults.WITHDRAWN_MAX, waiting)
    if not ranked or view.report is None or len(room.going_adapters()) >= most:
        return []
    adapter = ranked[0]
    room.withdraw(adapter, state.now)
    state.record(view.name, f"withdraw {adapter}", "all places are in use")
    return [put_report(state, view, without(view.report, adapter.partition("/")[0], adapter))]


def _tell_stay(state: NodeState, endpoint: str, room: Room, adapter: str) -> Effects:
    stay = room.stays.pop(adapter, None)
    if stay is None:
        return []
    return [AdapterLeft(endpoint, adapter, state.now - stay.since, stay.used)]


def _take_back(state: NodeState, view: EndpointView, room: Room, adapter: str) -> Effects:
    """Let requests use an adapter again that was withdrawn and is there yet."""
    del room.withdrawn[adapter]
    assert view.report is not None
    report = view.report._replace(adapters=(*view.report.adapters, adapter))
    return [put_report(state, view, report)]


def unload_withdrawn(state: NodeState) -> Effects:
    """Unload what was withdrawn and is used by nobody any more."""
    effects: Effects = []
    rooms = {name: room for name, room in state.residency.rooms.items() if room.withdrawn}
    in_use = list_used(state) if rooms else set()
    for name, room in rooms.items():
        view = state.endpoints.get(name)
        if view is None or not usable(state, view):
            continue
        for what in (*room.withdrawn_models(), *room.going_adapters()):
            since = room.withdrawn[what]
            told = state.now - since >= defaults.WITHDRAWN_TOLD_S
            if told and (name, what) not in in_use:
                effects += _tell_stay(state, name, room, what)
                effects.append(give_order(state, view, "unload", *split_name(what)))
                break
    return effects


def used_rows(state: NodeState) -> tuple[tuple[str, str], ...]:
    """Give the adapters and models that this node's requests use, each with its endpoint."""
    return tuple(
        {
            (one.endpoint, name)
            for one in state.requests.values()
            if one.running and not one.arrived.service
            for name in (one.arrived.adapter, one.arrived.target)
            if name
        }
    )


def list_used(state: NodeState) -> set[tuple[str, str]]:
    """Give the adapters and models that any node's requests use, as far as heartbeats tell."""
    in_use = set(used_rows(state))
    for rows in state.control.peer_used.values():
        in_use.update(rows)
    return in_use
