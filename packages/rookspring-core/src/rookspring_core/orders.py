"""Orders to endpoints that count what they take: when one may be given, and giving it.

What the lease holder knows to be true of an endpoint goes to the other nodes at once.
"""

from . import defaults
from .effects import Effect
from .effects import SendOrder
from .effects import ShareReport
from .endpoints import EndpointView
from .events import EndpointReported
from .rooms import Order
from .rooms import load_time_s
from .rooms import without
from .routes import EngineSize
from .state import NodeState

Effects = list[Effect]


def settled(state: NodeState) -> bool:
    """Say whether orders of the holder before lie far enough back."""
    return state.now >= state.control.lease.turn_at


def usable(state: NodeState, view: EndpointView) -> bool:
    """Say whether an endpoint can be given an order now."""
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


def engine_of(state: NodeState, view: EndpointView) -> EngineSize | None:
    """Give what an endpoint has, as the configuration declares it."""
    if state.table is None:
        return None
    size = state.table.services.get(view.service)
    return size.engine if size else None


def adapters_at(view: EndpointView) -> tuple[str, ...]:
    """List the adapters that requests may use there."""
    return view.report.adapters if view.report else ()


def give_order(
    state: NodeState, view: EndpointView, action: str, model: str, adapter: str
) -> Effect:
    """Give an endpoint an order, upon the count of those it has taken."""
    assert view.report is not None
    count = view.report.order_token[1]
    room = state.residency.rooms[view.name]
    length_s = 0.0
    engine = engine_of(state, view)
    if action == "load" and not adapter and engine is not None:
        length_s = load_time_s(engine.models[model], view.report)
    room.order = Order(action, model, adapter, count, state.now, length_s=length_s)
    room.asked_at = state.now
    token = (state.control.acting_epoch, count)
    return SendOrder(view.name, view.address, token, action, model, adapter)


def resend_order(state: NodeState, view: EndpointView, order: Order) -> Effect:
    """Give an order again, upon the same count."""
    token = (state.control.acting_epoch, order.taken_before)
    return SendOrder(view.name, view.address, token, order.action, order.model, order.adapter)


def withdraw(state: NodeState, view: EndpointView, model: str, adapter: str) -> Effects:
    """Unload, once no node sends requests for it there any more."""
    assert view.report is not None
    order = give_order(state, view, "unload", model, adapter)
    return [put_report(state, view, without(view.report, model, adapter)), order]


def put_report(state: NodeState, view: EndpointView, report: EndpointReported) -> Effect:
    """Take what this holder knows to be true of an endpoint, and share it."""
    before = view.targets()
    # What this holder knows goes before any report that came at the same moment.
    at = max(state.now, view.reported_at + defaults.CLOCK_STEP_S)
    view.take_report(report._replace(at=at, age_s=0.0, own=False))
    state.index(view, before, view.targets())
    assert view.report is not None
    return ShareReport(view.report)
