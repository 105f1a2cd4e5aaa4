"""Which models and adapters are resident where, for endpoints of a route table.

The lease holder alone gives orders. An endpoint checks the fence of each and how
many orders it has taken, so an order that comes late, or from a holder that has
been replaced, changes nothing. A new holder therefore reads each endpoint's own
report before its first order there. See ``docs/design/platform.md``.
"""

import math

from . import attaching
from . import defaults
from . import governing
from . import ordering
from . import placement
from . import requests
from . import swapping as swapping
from .control import StoreBudget
from .effects import Effect
from .effects import ReadReport
from .effects import Remind
from .effects import SendOrder
from .effects import ShareComing
from .endpoints import EndpointView
from .events import EndpointReported
from .events import ModelWanted
from .events import OrderAnswered
from .events import OrderDue
from .orders import adapters_at
from .orders import engine_of
from .orders import give_order
from .orders import put_report
from .orders import settled
from .orders import usable
from .orders import withdraw
from .reducer import handles
from .resources import ModelSpec
from .resources import PolicySpec
from .rooms import Order
from .rooms import Room
from .rooms import doubted_mb
from .rooms import from_store
from .rooms import load_time_s
from .rooms import order_mb
from .rooms import split_name
from .rooms import still_there
from .rooms import used_mb
from .rooms import withdrawn_mb
from .rooms import without
from .routes import EngineSize
from .state import NodeState

Effects = list[Effect]


@handles(ModelWanted)
def take_want(state: NodeState, event: ModelWanted) -> Effects:
    """A node has a request for what is resident nowhere."""
    if not governing.holding(state):
        return []
    state.residency.wanted[(event.service, event.model, event.adapter)] = event.at
    return attaching.serve_wants(state)


def steer(state: NodeState, passed: float) -> Effects:
    """Do whatever is due at a tick: the lease, then orders."""
    control = state.control
    for meter in (control.meter, control.urgent.meter, control.missed.meter):
        meter.roll(passed)
    governing.forfeit_lapsed(state)
    effects: Effects = [] if state.leaving else governing.lease_due(state)
    if not governing.holding(state) or state.leaving:
        return effects
    governing.sum_demand(state, passed)
    effects += _survey(state)
    if not settled(state):
        return effects
    effects += attaching.serve_wants(state)
    effects += attaching.unload_withdrawn(state)
    if state.now - state.residency.planned_at >= defaults.RELAY_PLAN_INTERVAL_S:
        state.residency.planned_at = state.now
        effects += _plan(state)
    return effects


def _survey(state: NodeState) -> Effects:
    """Read the report of each runner that is new, or whose order's end is not known."""
    residency = state.residency
    if residency.epoch != state.control.acting_epoch:
        residency.epoch = state.control.acting_epoch
        residency.rooms = {}
        residency.wanted = {}
        state.control.store = StoreBudget(defaults.STORE_BURST)
        state.control.store.begin(state.now)
    effects: Effects = []
    for name, view in state.endpoints.items():
        if view.role != "runner" or view.gone or view.leaving:
            continue
        room = residency.rooms.setdefault(name, Room())
        if _look_due(state, view, room):
            room.asked_at = state.now
            effects.append(ReadReport(name, 0.0))
    for name in [name for name in residency.rooms if name not in state.endpoints]:
        del residency.rooms[name]
    return effects


def _look_due(state: NodeState, view: EndpointView, room: Room) -> bool:
    """Say whether a runner's report is to be read now.

    One whose order is under way is read when that is expected to be over, and then often;
    one that is new, or whose state is in doubt, is read once a second.
    """
    asked_s = state.now - room.asked_at
    order = room.order
    if order is not None and order.taken:
        ended = state.now >= order.ends_at() + state.residency.look_s
        looked = room.asked_at > order.sent_at
        return ended and (not looked or asked_s >= defaults.ORDER_POLL_S)
    # Until its turn the holder reads again: what the one before ordered may end yet.
    loading = view.report is not None and bool(view.report.loading)
    due = not room.trusted or order is not None or loading or not settled(state)
    # One that is down is looked after until its entry lapses, should it be there yet.
    return (due or view.down) and asked_s >= defaults.SURVEY_READ_S


def note_report(state: NodeState, event: EndpointReported) -> None:
    """Take a runner's report; it may settle the order there."""
    room = state.residency.rooms.get(event.endpoint)
    if room is None or not governing.holding(state):
        return
    room.trusted = room.trusted or event.own
    order = room.order
    if order is None or not event.own:
        return
    if event.order_token[1] > order.taken_before:
        if not event.loading and not still_there(order, event):
            _settle(state, room)
    elif order.taken and not order.adapter:
        state.residency.note_lag()
    elif order.lost:
        _settle(state, room)


def _settle(state: NodeState, room: Room) -> None:
    """An order is over; what it made room for is planned at the next tick."""
    order = room.order
    if order is not None and order.action == "unload":
        # A model takes its adapters with it.
        gone = {order.adapter} if order.adapter else _parts_of(room, order.model)
        for name in gone:
            room.withdrawn.pop(name, None)
    room.order = None
    state.residency.planned_at = -1e9


def _parts_of(room: Room, model: str) -> set[str]:
    return {name for name in room.withdrawn if split_name(name)[0] == model}


def refine(state: NodeState, view: EndpointView, event: EndpointReported) -> EndpointReported:
    """Complete a report by what only this node, or the endpoint itself, can know.

    A row of the list lags behind orders and does not tell how many were taken, so what
    is held is taken from it only until the endpoint itself, or the holder, has told.
    What is being unloaded is there for no new request.
    """
    known = view.report
    if event.order_token[1] < 0 and known is not None and known.order_token[1] >= 0:
        event = event._replace(
            resident=known.resident,
            adapters=known.adapters,
            loading=known.loading,
            order_token=known.order_token,
        )
    room = state.residency.rooms.get(view.name)
    for name in room.withdrawn if room else ():
        event = without(event, *split_name(name))
    order = room.order if room else None
    if order is None or order.action != "unload":
        return event
    return without(event, order.model, order.adapter)


def promised_mb(state: NodeState, order: SendOrder) -> tuple[float, float]:
    """Give what an endpoint would hold after a load, and what it can, in megabytes."""
    view = state.endpoints[order.endpoint]
    engine = engine_of(state, view)
    assert engine is not None and view.report is not None
    size = engine.models[order.model]
    more = size.adapter_mb if order.model_version else size.memory_mb
    room = state.residency.rooms[view.name]
    held = used_mb(engine, view.report) + withdrawn_mb(engine, room)
    return held + more, engine.memory_mb


@handles(OrderAnswered)
def note_order(state: NodeState, event: OrderAnswered) -> Effects:
    """Take the answer to an order, by the kind of endpoints that this node controls."""
    return _note_order(state, event) if state.relaying else ordering.note_order(state, event)


def _note_order(state: NodeState, event: OrderAnswered) -> Effects:
    room = state.residency.rooms.get(event.endpoint)
    order = room.order if room else None
    if (
        room is None
        or order is None
        or (state.control.acting_epoch, order.taken_before) != event.token
    ):
        return []
    if event.accepted is None:
        # It may be carried out yet, but only upon the same count: what is ordered next
        # expects that count as well, so one of the two at most is carried out.
        room.order = order._replace(lost=True)
        if order.action == "load":
            room.doubts.append(order)
        room.asked_at = state.now
        return [ReadReport(event.endpoint, defaults.ORDER_LOOK_S)]
    if not event.accepted:
        room.order = None
        room.trusted = False
        if event.reason == "fenced":
            # Another holder acts: give up at once, whatever the lease says.
            state.control.lease.held_until = -1e9
            return []
        room.asked_at = state.now
        return [ReadReport(event.endpoint, 0.0)]
    room.order = order._replace(taken=True)
    if not order.adapter:
        return _tell_coming(state, event.endpoint, order)
    if order.action == "unload" and event.reason != "done":
        # It is in use still, and takes its place until a report shows it gone.
        return [ReadReport(event.endpoint, defaults.SURVEY_READ_S)]
    pause_s = defaults.ADAPTER_LOAD_S if order.action == "load" else 0.0
    return [Remind(event.endpoint, order.taken_before, pause_s)]


def _tell_coming(state: NodeState, endpoint: str, order: Order) -> Effects:
    """Know, and tell the other nodes, when a model that is being loaded can be there."""
    view = state.endpoints.get(endpoint)
    if order.action != "load" or view is None:
        return []
    view.coming = (order.model, order.ends_at())
    return [ShareComing(endpoint, order.model, max(0.0, order.ends_at() - state.now))]


@handles(OrderDue)
def finish_adapter(state: NodeState, event: OrderDue) -> Effects:
    """Count an adapter's order as done: it takes milliseconds, fewer than a report lags."""
    room = state.residency.rooms.get(event.endpoint)
    view = state.endpoints.get(event.endpoint)
    order = room.order if room else None
    if room is None or order is None or order.taken_before != event.taken_before or view is None:
        return []
    if view.report is None:
        return []
    room.order = None
    if order.action == "unload":
        room.withdrawn.pop(order.adapter, None)
    report = without(view.report, order.model, order.adapter)
    if order.action == "load":
        report = report._replace(adapters=(*report.adapters, order.adapter))
    report = report._replace(order_token=(0, order.taken_before + 1))
    effects: Effects = [put_report(state, view, report)]
    effects += attaching.serve_wants(state)
    return effects + requests.pump(state)


def _plan(state: NodeState) -> Effects:
    """Order the loads and unloads of models that the placement policy wants."""
    effects: Effects = []
    if state.table is None:
        return effects
    for service, size in state.table.services.items():
        if size.engine is not None:
            effects += _plan_service(state, service, size.engine)
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
    rooms = tuple(
        _runner_room(state, engine, view, rate)._replace(
            in_use=frozenset(name for endpoint, name in used if endpoint == view.name)
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
    )
    effects: Effects = []
    for move in placement.find_placement(defaults.RELAY_PLACEMENT)(given):
        effects += perform_move(state, engine, move)
    return effects


def _plannable(state: NodeState, view: EndpointView) -> bool:
    room = state.residency.rooms.get(view.name)
    if room is None or not room.trusted or view.report is None:
        return False
    # What a runner held that is down is lost: its models are placed elsewhere now,
    # seconds before its entry lapses.
    return not view.leaving and not view.down


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
        token_rate=token_rate,
        resident=frozenset(resident),
        coming=frozenset(coming),
        busy=not usable(state, view) or bool(room.withdrawn_models()),
        load_s={name: load_time_s(size, view.report) for name, size in engine.models.items()},
        free_in_s=_free_in_s(state, engine, view),
        room_for=room.room_for,
    )


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
