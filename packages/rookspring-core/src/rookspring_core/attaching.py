"""Adapters come on demand: attached where a request waits for one, in a place that is free.

An endpoint has few places and carries out one order at a time, so what each of these costs
those who wait decides who gets it:

- Whoever has gone unserved for longest is first, so that each has its turn.
- What was attached for a request is kept until its callers can have come back and been
  seen; else most leave before anyone has used them.
- Nothing is unloaded that may be in use: an unload waits for what runs, and all orders
  there wait for it, for many seconds. So an adapter is withdrawn from new requests first;
  once all nodes know and none uses it, it stands by: the next want takes its place at once,
  and a want for itself takes it back without an order.

A model that is in use is withdrawn and unloaded likewise, with its adapters.
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
from .rooms import OpenWant
from .rooms import Room
from .rooms import Stay
from .rooms import WantKey
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
    effects = _review(state)
    wanted = state.residency.wanted
    under_way = _list_under_way(state)
    waiting = [key for key, want in wanted.items() if key[2] and not want.given_up]
    for key in sorted(waiting, key=lambda one: (wanted[one].first_at, one)):
        if key[2] not in under_way:
            effects += _serve(state, key)
    return effects + _keep_standby(state)


def _review(state: NodeState) -> Effects:
    """End the wants that are served, and give up those for which nobody asks now.

    One that was given up keeps its place in the order for a while, should it be asked for
    again: its callers come and go while it waits for its turn.
    """
    effects: Effects = []
    for key, want in list(state.residency.wanted.items()):
        adapter = key[2]
        quiet_s = state.now - want.asked_at
        live = want.live(state.now)
        if adapter and any(one.has_adapter(adapter) for one in _open_hosts(state, key)):
            effects += _end_want(state, key, "attached")
        elif quiet_s > defaults.WANT_REMEMBERED_S or (not adapter and not live):
            del state.residency.wanted[key]
        elif not live and not want.given_up:
            effects += _end_want(state, key, "given up")
            state.residency.wanted[key] = want._replace(given_up=True)
    return effects


def _hosts(state: NodeState, key: WantKey) -> list[EndpointView]:
    service, model, _ = key
    return [one for one in state.hosts.get(model, {}).values() if one.service == service]


def _open_hosts(state: NodeState, key: WantKey) -> list[EndpointView]:
    return [one for one in _hosts(state, key) if one.open_for_work(state.now)]


def _end_want(state: NodeState, key: WantKey, outcome: str) -> Effects:
    want = state.residency.wanted.pop(key)
    return [WantEnded(key[2], outcome, state.now - want.first_at, want.times)]


def _serve(state: NodeState, key: WantKey) -> Effects:
    """Order what is to be done for one want, or tell once why nothing is."""
    _, model, adapter = key
    hosts = _open_hosts(state, key)
    ready = [one for one in hosts if usable(state, one)]
    want = state.residency.wanted[key]
    effects = _take_back(state, hosts, adapter, want) or _attach(state, ready, key, want)
    why = "" if effects else _why_not(state, hosts, ready)
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


def _list_under_way(state: NodeState) -> set[str]:
    """List the adapters that are on their way to some endpoint."""
    orders = (room.order for room in state.residency.rooms.values())
    return {one.adapter for one in orders if one is not None and one.action == "load"}


def note_used(state: NodeState) -> None:
    """See which of the adapters that were attached are used, as often as nodes tell."""
    residency = state.residency
    if state.now - residency.used_noted_at < defaults.USED_NOTED_S:
        return
    residency.used_noted_at = state.now
    for rows in (used_rows(state), *state.control.peer_used.values()):
        for name, adapter in rows:
            room = residency.rooms.get(name)
            stay = room.stays.get(adapter) if room is not None else None
            if room is not None and stay is not None and not stay.used:
                room.stays[adapter] = stay._replace(used=True)


def _attach(state: NodeState, hosts: list[EndpointView], key: WantKey, want: OpenWant) -> Effects:
    """Load an adapter where the fewest are, making a place where all are taken."""
    if not hosts:
        return []
    _, model, adapter = key
    view = min(hosts, key=lambda one: (len(adapters_at(one)), one.load(state.now), one.name))
    engine = engine_of(state, view)
    if engine is None or view.report is None or model not in engine.models:
        return []
    room = state.residency.rooms[view.name]
    size = engine.models[model]
    used = used_mb(engine, view.report) + doubted_mb(engine, room, state.now, adapter)
    used += withdrawn_mb(engine, room)
    places = _places(state, view, room, adapter)
    if used + size.adapter_mb <= engine.memory_mb and places < engine.adapters_max:
        order = give_order(state, view, "load", model, adapter)
        assert room.order is not None
        room.order = room.order._replace(back_at=want.back_at, wanted_at=want.first_at)
        return [order]
    return _make_place(state, view, room)


def _places(state: NodeState, view: EndpointView, room: Room, but: str = "") -> int:
    """Count the places that are taken, or may be by a load of another adapter that comes late."""
    doubted = doubted_places(room, state.now, but)
    return len(adapters_at(view)) + doubted + len(room.withdrawn_adapters())


def _make_place(state: NodeState, view: EndpointView, room: Room) -> Effects:
    """Unload what stands by, or have more stand by: at most as many as wants wait.

    What is in use and waits for its requests to end does not keep idle ones from making
    room; else a few such hold up all places of an endpoint.
    """
    in_use = list_used(state)
    idle = [one for one in room.going_adapters() if (view.name, one) not in in_use]
    for adapter in sorted(idle, key=lambda one: room.withdrawn[one]):
        if state.now - room.withdrawn[adapter] >= defaults.WITHDRAWN_TOLD_S:
            left = _end_stay(state, view, room, adapter)
            return [*left, give_order(state, view, "unload", *split_name(adapter))]
    waiting = sum(1 for key, want in state.residency.wanted.items() if key[2] and not want.given_up)
    ranked = _list_least_missed(state, view, room, in_use)
    if not ranked or len(idle) >= waiting:
        return []
    if (view.name, ranked[0]) in in_use:
        if len(room.going_adapters()) >= min(defaults.WITHDRAWN_MAX, waiting):
            return []
        state.record(view.name, f"withdraw {ranked[0]}", "all places are in use")
    return [_withdraw_adapter(state, view, room, ranked[0])]


def _list_least_missed(
    state: NodeState, view: EndpointView, room: Room, in_use: set[tuple[str, str]]
) -> list[str]:
    """List the adapters that may be withdrawn: the idle first, then the least asked for."""
    levels = state.control.forecast.levels
    free = [one for one in adapters_at(view) if not room.keeps(one, state.now)]
    return sorted(free, key=lambda one: ((view.name, one) in in_use, levels.get(one, 0.0), one))


def _withdraw_adapter(state: NodeState, view: EndpointView, room: Room, adapter: str) -> Effect:
    assert view.report is not None
    room.withdraw(adapter, state.now)
    return put_report(state, view, without(view.report, split_name(adapter)[0], adapter))


def _keep_standby(state: NodeState) -> Effects:
    """Have idle adapters stand by where all places are taken and more are asked for.

    A want is then served in two orders of some 30 ms. Otherwise it first waits until all
    nodes have heard of a withdrawal, for longer than its requests wait.
    """
    effects: Effects = []
    pressed = {
        view.name: view
        for key, want in state.residency.wanted.items()
        if key[2] and state.now - want.asked_at <= defaults.PRESSED_S
        for view in _open_hosts(state, key)
    }
    in_use = list_used(state) if pressed else set()
    for name, view in pressed.items():
        room = state.residency.rooms.get(name)
        engine = engine_of(state, view)
        if room is None or not room.trusted or engine is None or view.report is None:
            continue
        idle_going = [one for one in room.going_adapters() if (name, one) not in in_use]
        lacking = defaults.STANDBY - len(idle_going)
        if lacking <= 0 or _places(state, view, room) < engine.adapters_max:
            continue
        ranked = _list_least_missed(state, view, room, in_use)
        idle = [one for one in ranked if (name, one) not in in_use]
        effects += [_withdraw_adapter(state, view, room, one) for one in idle[:lacking]]
    return effects


def _end_stay(state: NodeState, view: EndpointView, room: Room, adapter: str) -> Effects:
    """An adapter gives its place away: say whether it was of use.

    One that nobody used has served none of those who waited for it, so its want goes on
    since when it began, and is not the last in line when they ask again.
    """
    stay = room.stays.pop(adapter, None)
    if stay is None:
        return []
    if not stay.used and stay.wanted_at < state.now:
        key = (view.service, split_name(adapter)[0], adapter)
        want = state.residency.wanted.get(key)
        want = want or OpenWant(stay.wanted_at, state.now, times=0, given_up=True)
        first_at = min(want.first_at, stay.wanted_at)
        state.residency.wanted[key] = want._replace(first_at=first_at)
    return [AdapterLeft(view.name, adapter, state.now - stay.since, stay.used)]


def _take_back(
    state: NodeState, hosts: list[EndpointView], adapter: str, want: OpenWant
) -> Effects:
    """Let requests use an adapter again that was withdrawn and is there yet.

    That needs no order, so it goes while a model is being loaded there as well.
    """
    for view in hosts:
        room = state.residency.rooms.get(view.name)
        if room is None or view.report is None or adapter not in room.going_adapters():
            continue
        if room.order is not None and room.order.adapter == adapter:
            continue
        del room.withdrawn[adapter]
        kept_until = max(state.now, want.back_at) + defaults.PLACE_KEPT_S
        stay = room.stays.get(adapter, Stay(state.now, kept_until, wanted_at=want.first_at))
        room.stays[adapter] = stay._replace(kept_until=kept_until)
        report = view.report._replace(adapters=(*view.report.adapters, adapter))
        return [put_report(state, view, report)]
    return []


def unload_withdrawn(state: NodeState) -> Effects:
    """Unload models that were withdrawn and that nobody uses any more."""
    effects: Effects = []
    rooms = {name: room for name, room in state.residency.rooms.items() if room.withdrawn_models()}
    in_use = list_used(state) if rooms else set()
    for name, room in rooms.items():
        view = state.endpoints.get(name)
        if view is None or not usable(state, view):
            continue
        for model in room.withdrawn_models():
            told = state.now - room.withdrawn[model] >= defaults.WITHDRAWN_TOLD_S
            if told and (name, model) not in in_use:
                effects.append(give_order(state, view, "unload", model, ""))
                break
    return effects


def used_rows(state: NodeState) -> tuple[tuple[str, str], ...]:
    """Give the adapters and models that this node's requests use, each with its endpoint.

    A request that waits for room at an endpoint uses the adapter there as well.
    """
    rows: set[tuple[str, str]] = set()
    for one in state.requests.values():
        arrived = one.arrived
        if arrived.service:
            continue
        if one.running:
            names = (arrived.adapter, arrived.target)
            rows.update((one.endpoint, name) for name in names if name)
        elif arrived.adapter:
            hosts = state.hosts.get(arrived.target, {}).values()
            rows.update(
                (view.name, arrived.adapter) for view in hosts if view.has_adapter(arrived.adapter)
            )
    return tuple(rows)


def list_used(state: NodeState) -> set[tuple[str, str]]:
    """Give the adapters and models that any node's requests use, as far as heartbeats tell."""
    in_use = set(used_rows(state))
    for rows in state.control.peer_used.values():
        in_use.update(rows)
    return in_use
