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
from . import planning
from . import requests
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
from .orders import engine_of
from .orders import put_report
from .orders import resend_order
from .orders import settled
from .reducer import handles
from .rooms import OpenWant
from .rooms import Order
from .rooms import Room
from .rooms import Stay
from .rooms import split_name
from .rooms import still_there
from .rooms import used_mb
from .rooms import withdrawn_mb
from .rooms import without
from .state import NodeState

Effects = list[Effect]


@handles(ModelWanted)
def take_want(state: NodeState, event: ModelWanted) -> Effects:
    """A node has a request for what is resident nowhere."""
    if not governing.holding(state):
        return []
    key = (event.service, event.model, event.adapter)
    known = state.residency.wanted.get(key) or OpenWant(event.at, event.at, times=0)
    state.residency.wanted[key] = known.ask_again(event.at, event.back_s)
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
    attaching.note_used(state)
    effects += attaching.serve_wants(state)
    effects += attaching.unload_withdrawn(state)
    if state.now - state.residency.planned_at >= defaults.RELAY_PLAN_INTERVAL_S:
        state.residency.planned_at = state.now
        effects += planning.plan(state)
    return effects


def _survey(state: NodeState) -> Effects:
    """Read the report of each runner that is new, or whose order's end is not known."""
    residency = state.residency
    if residency.epoch != state.control.acting_epoch:
        residency.epoch = state.control.acting_epoch
        residency.rooms = {}
        residency.wanted = {}
        state.control.store = StoreBudget(defaults.STORE_BURST, defaults.RELAY_PLAN_INTERVAL_S)
        state.control.store.begin(state.now)
    effects: Effects = []
    for name, view in state.endpoints.items():
        if view.role != "runner" or view.gone or view.leaving:
            continue
        room = residency.rooms.setdefault(name, Room())
        if not view.rests(state.now) and _look_due(state, view, room):
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
    if event.own:
        _forget_gone(room, event)
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


def trust(state: NodeState, event: EndpointReported) -> None:
    """Give orders to a runner whose own report was taken.

    One that was read and dropped, as it told of fewer orders than are known, says nothing of
    what the view holds: a model that the lease before had withdrawn is in neither, and its
    memory would be promised again.
    """
    room = state.residency.rooms.get(event.endpoint)
    if room is not None and event.own and governing.holding(state):
        room.trusted = True


def _forget_gone(room: Room, report: EndpointReported) -> None:
    """Forget withdrawn models that an unload without an answer has taken after all.

    Adapters are left: a report may be older than what was attached a moment ago.
    """
    there = {name for name, _ in report.resident}
    for model in room.withdrawn_models():
        if model not in there:
            for name in _parts_of(room, model):
                room.withdrawn.pop(name)


def _settle(state: NodeState, room: Room) -> None:
    """An order is over; what it made room for is planned at the next tick."""
    order = room.order
    if order is not None and order.action == "unload":
        # A model takes its adapters with it.
        gone = {order.adapter} if order.adapter else _parts_of(room, order.model)
        for name in gone:
            room.withdrawn.pop(name, None)
    elif order is not None and state.control.forecast.levels.get(order.model, 0.0) > 0.0:
        room.kept[order.model] = _kept_until(state, order.model)
    room.order = None
    state.residency.planned_at = -1e9


def _kept_until(state: NodeState, model: str) -> float:
    """Give the moment by which the callers of a model that has come will have come back."""
    wants = state.residency.wanted.items()
    back_at = max((want.back_at for key, want in wants if key[1] == model), default=-math.inf)
    most = state.now + defaults.MODEL_KEPT_S
    return min(most, max(state.now, back_at) + defaults.PLACE_KEPT_S)


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
        return _note_lost(state, event, room, order)
    if not event.accepted:
        room.order = None
        room.trusted = False
        if event.reason == "fenced":
            # Another holder acts: give up at once, whatever the lease says.
            state.control.lease.held_until = -1e9
            return []
        room.asked_at = state.now
        return [ReadReport(event.endpoint, 0.0)]
    # Of all that were sent upon one count one alone is taken, so no other comes any more.
    room.doubts = [one for one in room.doubts if one.taken_before != order.taken_before]
    room.order = order._replace(taken=True)
    if not order.adapter and event.reason == "done":
        # It was so already, and the endpoint may count no order for that, so no report
        # would tell its end.
        _settle(state, room)
        room.trusted = False
        room.asked_at = state.now
        return [ReadReport(event.endpoint, 0.0)]
    if not order.adapter:
        return _tell_coming(state, event.endpoint, order)
    if order.action == "unload" and event.reason != "done":
        # It is in use still, and takes its place until a report shows it gone.
        return [ReadReport(event.endpoint, defaults.SURVEY_READ_S)]
    pause_s = defaults.ADAPTER_LOAD_S if order.action == "load" else 0.0
    return [Remind(event.endpoint, order.taken_before, pause_s)]


def _note_lost(state: NodeState, event: OrderAnswered, room: Room, order: Order) -> Effects:
    """An order got no answer: send it again, or look what has become of it.

    It may be carried out yet, but only upon the same count: whatever is sent upon that count,
    the same order or another, one at most is carried out. Looking alone takes half a second,
    in which nothing can be ordered there.
    """
    if order.action == "load" and order.sends == 1:
        room.doubts.append(order)
    view = state.endpoints.get(event.endpoint)
    # A node that stood still may hear of it once its lease is over, and orders nothing then.
    if view is not None and governing.holding(state) and order.sends < defaults.ORDER_SENDS_MAX:
        room.order = order._replace(sends=order.sends + 1)
        return [resend_order(state, view, order)]
    room.order = order._replace(lost=True)
    room.asked_at = state.now
    return [ReadReport(event.endpoint, defaults.ORDER_LOOK_S)]


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
        kept_until = max(state.now, order.back_at) + defaults.PLACE_KEPT_S
        room.stays[order.adapter] = Stay(state.now, kept_until, wanted_at=order.wanted_at)
    report = report._replace(order_token=(0, order.taken_before + 1))
    effects: Effects = [put_report(state, view, report)]
    effects += attaching.serve_wants(state)
    return effects + requests.pump(state)
