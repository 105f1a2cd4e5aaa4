"""Orders to endpoints that count the orders they take: when one may be given, and sending it.

Changes that the lease holder knows of are shared with the other nodes at once.
"""

from . import defaults
from .accounts import Order
from .accounts import load_time_s
from .accounts import report_without
from .effects import Effect
from .effects import SendOrder
from .effects import ShareReport
from .endpoints import EndpointView
from .events import EndpointReported
from .routes import EngineSize
from .state import NodeState

Effects = list[Effect]


def handover_gap_passed(state: NodeState) -> bool:
    """Return whether the gap since the last order of the previous lease holder has passed."""
    return state.now >= state.control.lease.turn_at


def accepts_orders(state: NodeState, view: EndpointView) -> bool:
    """Return whether an endpoint can be given an order now."""
    account = state.residency.accounts.get(view.name)
    return (
        account is not None
        and account.trusted
        and account.order is None
        and view.report is not None
        and view.report.order_token[1] >= 0
        and not view.report.loading
        and view.accepts_work(state.now)
    )


def engine_of(state: NodeState, view: EndpointView) -> EngineSize | None:
    """Return the declared engine of an endpoint's service, if it has one."""
    if state.table is None:
        return None
    size = state.table.services.get(view.service)
    return size.engine if size else None


def adapters_at(view: EndpointView) -> tuple[str, ...]:
    """Return the adapters that requests may use at an endpoint."""
    return view.report.adapters if view.report else ()


def give_order(
    state: NodeState, view: EndpointView, action: str, model: str, adapter: str
) -> Effect:
    """Send an endpoint an order, conditional on the number of orders that it has taken."""
    assert view.report is not None
    count = view.report.order_token[1]
    account = state.residency.accounts[view.name]
    length_s = 0.0
    engine = engine_of(state, view)
    if action == "load" and not adapter and engine is not None:
        length_s = load_time_s(engine.models[model], view.report)
    account.order = Order(action, model, adapter, count, state.now, length_s=length_s)
    account.report_requested_at = state.now
    token = (state.control.acting_epoch, count)
    return SendOrder(view.name, view.address, token, action, model, adapter)


def resend_order(state: NodeState, view: EndpointView, order: Order) -> Effect:
    """Send an order again, conditional on the same count as before."""
    token = (state.control.acting_epoch, order.taken_before)
    return SendOrder(view.name, view.address, token, order.action, order.model, order.adapter)


def withdraw_and_unload(state: NodeState, view: EndpointView, model: str, adapter: str) -> Effects:
    """Withdraw a model or adapter from new requests, and order its unload."""
    assert view.report is not None
    order = give_order(state, view, "unload", model, adapter)
    return [apply_and_share_report(state, view, report_without(view.report, model, adapter)), order]


def apply_and_share_report(
    state: NodeState, view: EndpointView, report: EndpointReported
) -> Effect:
    """Apply a report that this lease holder derived for an endpoint, and share it."""
    before = view.targets()
    # It takes precedence over a report that arrived at the same time.
    at = max(state.now, view.reported_at + defaults.CLOCK_STEP_S)
    view.take_report(report._replace(at=at, age_s=0.0, polled=False))
    state.index(view, before, view.targets())
    assert view.report is not None
    return ShareReport(view.report)
