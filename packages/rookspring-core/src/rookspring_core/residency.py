"""Which models and adapters are resident where, for endpoints of a route table.

The lease holder alone gives orders. An endpoint checks the fence of each and how
many orders it has taken, so an order that comes late, or from a holder that has
been replaced, changes nothing. A new holder therefore reads each endpoint's own
report before its first order there. See ``docs/design/platform.md``.
"""

import math

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
from .effects import ShareReport
from .endpoints import EndpointView
from .events import EndpointReported
from .events import ModelWanted
from .events import OrderAnswered
from .events import OrderDue
from .reducer import handles
from .resources import ModelSpec
from .resources import PolicySpec
from .rooms import Order
from .rooms import Room
from .rooms import doubted_mb
from .rooms import doubted_places
from .rooms import from_store
from .rooms import load_time_s
from .rooms import still_there
from .rooms import used_mb
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
    return _serve_wants(state)


def steer(state: NodeState, passed: float) -> Effects:
    """Do whatever is due at a tick: the lease, then orders."""
    control = state.control
    control.meter.roll(passed)
    governing.forfeit_lapsed(state)
    effects: Effects = [] if state.leaving else governing.lease_due(state)
    if not governing.holding(state) or state.leaving:
        return effects
    governing.sum_demand(state, passed)
    effects += _survey(state)
    if not _settled(state):
        return effects
    effects += _serve_wants(state)
    if state.now - state.residency.planned_at >= defaults.RELAY_PLAN_INTERVAL_S:
        state.residency.planned_at = state.now
        effects += _plan(state)
    return effects


def _settled(state: NodeState) -> bool:
    """Say whether orders of the holder before lie far enough back."""
    return state.now >= state.control.lease.turn_at


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
        pause_s = defaults.SURVEY_READ_S if room.order is None else _look_after_s(room.order)
        due = not room.trusted or room.order is not None
        if due and state.now - room.asked_at >= pause_s:
            room.asked_at = state.now
            effects.append(ReadReport(name, 0.0))
    for name in [name for name in residency.rooms if name not in state.endpoints]:
        del residency.rooms[name]
    return effects


def _look_after_s(order: Order) -> float:
    """Give how often a report is read while an order runs, in seconds."""
    return defaults.ORDER_POLL_S if order.taken else defaults.SURVEY_READ_S


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
    elif order.lost:
        _settle(state, room)


def _settle(state: NodeState, room: Room) -> None:
    """An order is over; what it made room for is planned at the next tick."""
    room.order = None
    state.residency.planned_at = -1e9


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
    order = room.order if room else None
    if order is None or order.action != "unload":
        return event
    return without(event, order.model, order.adapter)


def _usable(state: NodeState, view: EndpointView) -> bool:
    room = state.residency.rooms.get(view.name)
    return (
        room is not None
        and room.trusted
        and room.order is None
        and view.report is not None
        and view.report.order_token[1] >= 0
        and not view.report.loading
        and view.open_for_work(state.now)
    )


def _engine(state: NodeState, view: EndpointView) -> EngineSize | None:
    if state.table is None:
        return None
    size = state.table.services.get(view.service)
    return size.engine if size else None


def promised_mb(state: NodeState, order: SendOrder) -> tuple[float, float]:
    """Give what an endpoint would hold after a load, and what it can, in megabytes."""
    view = state.endpoints[order.endpoint]
    engine = _engine(state, view)
    assert engine is not None and view.report is not None
    size = engine.models[order.model]
    more = size.adapter_mb if order.model_version else size.memory_mb
    return used_mb(engine, view.report) + more, engine.memory_mb


def _serve_wants(state: NodeState) -> Effects:
    """Order the adapters that requests wait for; models are the planner's."""
    if not _settled(state):
        return []
    effects: Effects = []
    for want, at in list(state.residency.wanted.items()):
        _, model, adapter = want
        if state.now - at > defaults.WANT_LIFE_S or not adapter:
            if state.now - at > defaults.WANT_LIFE_S:
                del state.residency.wanted[want]
            continue
        hosts = [one for one in state.hosts.get(model, {}).values() if one.service == want[0]]
        if any(one.has_adapter(adapter) and one.open_for_work(state.now) for one in hosts):
            del state.residency.wanted[want]
            continue
        if _under_way(state, adapter):
            continue
        effects += _attach(state, [one for one in hosts if _usable(state, one)], model, adapter)
    return effects


def _under_way(state: NodeState, adapter: str) -> bool:
    return any(
        room.order is not None and room.order.action == "load" and room.order.adapter == adapter
        for room in state.residency.rooms.values()
    )


def _attach(state: NodeState, hosts: list[EndpointView], model: str, adapter: str) -> Effects:
    """Load an adapter where the fewest are, making a place where all are taken."""
    if not hosts:
        return []
    view = min(hosts, key=lambda one: (len(_adapters(one)), one.load(state.now), one.name))
    engine = _engine(state, view)
    if engine is None or view.report is None or model not in engine.models:
        return []
    need_mb = engine.models[model].adapter_mb
    room = state.residency.rooms[view.name]
    used = used_mb(engine, view.report) + doubted_mb(engine, room, state.now, adapter)
    places = len(_adapters(view)) + doubted_places(room, state.now, adapter)
    if used + need_mb <= engine.memory_mb and places < engine.adapters_max:
        return [_order(state, view, "load", model, adapter)]
    idle = _least_used(state, view)
    if idle is None:
        return []
    return _withdraw(state, view, idle.partition("/")[0], idle)


def _adapters(view: EndpointView) -> tuple[str, ...]:
    return view.report.adapters if view.report else ()


def _least_used(state: NodeState, view: EndpointView) -> str | None:
    """Give the adapter there that was asked for least; None where all are in use."""
    levels = state.control.forecast.levels
    ranked = sorted(_adapters(view), key=lambda one: (levels.get(one, 0.0), one))
    return ranked[0] if ranked else None


def _order(state: NodeState, view: EndpointView, action: str, model: str, adapter: str) -> Effect:
    assert view.report is not None
    count = view.report.order_token[1]
    room = state.residency.rooms[view.name]
    room.order = Order(action, model, adapter, count, state.now)
    room.asked_at = state.now
    token = (state.control.acting_epoch, count)
    return SendOrder(view.name, view.address, token, action, model, adapter)


def _withdraw(state: NodeState, view: EndpointView, model: str, adapter: str) -> Effects:
    """Unload, once no node sends requests for it there any more."""
    assert view.report is not None
    order = _order(state, view, "unload", model, adapter)
    return [_put(state, view, without(view.report, model, adapter)), order]


def _put(state: NodeState, view: EndpointView, report: EndpointReported) -> Effect:
    """Take what this holder knows to be true of an endpoint, and share it."""
    before = view.targets()
    # What this holder knows goes before any report that came at the same moment.
    at = max(state.now, view.reported_at + defaults.CLOCK_STEP_S)
    view.take_report(report._replace(at=at, age_s=0.0, own=False))
    state.index(view, before, view.targets())
    assert view.report is not None
    return ShareReport(view.report)


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
        return [ReadReport(event.endpoint, defaults.ORDER_LOOK_S)]
    if order.action == "unload" and event.reason != "done":
        # It is in use still, and takes its place until a report shows it gone.
        return [ReadReport(event.endpoint, defaults.SURVEY_READ_S)]
    pause_s = defaults.ADAPTER_LOAD_S if order.action == "load" else 0.0
    return [Remind(event.endpoint, order.taken_before, pause_s)]


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
    report = without(view.report, order.model, order.adapter)
    if order.action == "load":
        report = report._replace(adapters=(*report.adapters, order.adapter))
    report = report._replace(order_token=(0, order.taken_before + 1))
    effects: Effects = [_put(state, view, report)]
    effects += _serve_wants(state)
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
    rooms = tuple(_runner_room(state, engine, view, rate) for view in views)
    policy = PolicySpec(loads_per_s=max(0.1, engine.loads_per_s))
    store = state.control.store
    store.refill(state.now, engine.loads_per_s * defaults.STORE_RATE_SHARE)
    given = placement.PlanInput(models, rooms, levels, policy)
    effects: Effects = []
    for move in placement.find_placement(defaults.RELAY_PLACEMENT)(given):
        effects += _move(state, engine, move)
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
    if order is not None and order.action == "load" and not order.adapter:
        free_mb -= engine.models[order.model].memory_mb
    return placement.RunnerRoom(
        name=view.name,
        data_centre=view.data_centre,
        engine=view.service,
        free_gb=free_mb / 1000.0,
        token_rate=token_rate,
        resident=frozenset(resident),
        coming=frozenset(coming),
        busy=not _usable(state, view),
        load_s={name: load_time_s(size, view.report) for name, size in engine.models.items()},
        free_in_s=_free_in_s(state, engine, view),
        room_for=room.room_for,
    )


def _free_in_s(state: NodeState, engine: EngineSize, view: EndpointView) -> float:
    """Predict how soon a runner's order is over; infinite where it is overdue or lost."""
    order = state.residency.rooms[view.name].order
    if order is None or order.lost or view.report is None or not view.open_for_work(state.now):
        return math.inf
    length_s = defaults.UNLOAD_S
    if order.action == "load" and not order.adapter:
        length_s = load_time_s(engine.models[order.model], view.report)
    left_s = order.sent_at + length_s + defaults.RUNNER_BUSY_S - state.now
    return left_s if left_s > 0 else math.inf


def _adapter_reserve_mb(engine: EngineSize, view: EndpointView) -> float:
    """Keep memory for as many adapters as a runner may hold, beside those it has."""
    largest = max((one.adapter_mb for one in engine.models.values()), default=0.0)
    return largest * max(0, engine.adapters_max - len(_adapters(view)))


def _move(state: NodeState, engine: EngineSize, move: placement.Move) -> Effects:
    view = state.endpoints[move.endpoint]
    model = move.key[0]
    if not _usable(state, view) or view.report is None:
        return []
    if move.action == "load":
        size = engine.models[model]
        room = state.residency.rooms[view.name]
        used = used_mb(engine, view.report) + doubted_mb(engine, room, state.now, model)
        if used + size.memory_mb > engine.memory_mb:
            state.record(view.name, f"cannot load {model}", "a lost order may take its room yet")
            return []
        if from_store(size, view.report) and not state.control.store.take():
            return []
        state.record(view.name, f"load {model}", move.why)
        room.room_for = ""
        return [_order(state, view, "load", model, "")]
    others = [
        one
        for one in state.hosts.get(model, {}).values()
        if one.name != view.name and one.service == view.service and one.open_for_work(state.now)
    ]
    if not others and model in engine.models and not move.last:
        state.record(view.name, f"cannot unload {model}", "it is its last open copy")
        return []
    state.record(view.name, f"unload {model}", move.why)
    state.residency.rooms[view.name].room_for = move.room_for
    return _withdraw(state, view, model, "")
