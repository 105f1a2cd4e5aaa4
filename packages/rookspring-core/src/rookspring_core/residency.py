"""Control of which models and adapters are resident where, for endpoints of a route table.

Only the lease holder gives orders. Each carries a fence and the number of orders that the
endpoint had taken before it. The endpoint checks both, so an order that arrives late, or
comes from a replaced holder, has no effect. A new holder therefore reads each endpoint's
own report before its first order there. See ``docs/design/platform.md``.
"""

import math

from . import attaching
from . import control_jobs
from . import defaults
from . import deficits
from . import ordering
from . import planning
from . import requests
from .accounts import Attachment
from .accounts import EndpointAccount
from .accounts import Order
from .accounts import PendingLoadRequest
from .accounts import report_without
from .accounts import split_name
from .accounts import still_held
from .accounts import used_mb
from .accounts import withdrawn_mb
from .control import WeightStoreLimiter
from .effects import Effect
from .effects import ReadReport
from .effects import SendOrder
from .effects import ShareLoading
from .effects import StartOrderTimer
from .endpoints import EndpointView
from .events import EndpointReported
from .events import LoadRequested
from .events import OrderAnswered
from .events import OrderDue
from .orders import apply_and_share_report
from .orders import engine_of
from .orders import handover_gap_passed
from .orders import resend_order
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(LoadRequested)
def record_load_request(state: NodeState, event: LoadRequested) -> Effects:
    """Record that a node has a request for a model or adapter that is resident nowhere."""
    if not control_jobs.holding(state):
        return []
    # It may come before the first tick under this lease.
    _begin_epoch(state)
    key = (event.service, event.model, event.adapter)
    known = state.residency.load_requests.get(key) or PendingLoadRequest(
        event.at, event.at, times=0
    )
    state.residency.load_requests[key] = known.record_request(event.at, event.latest_retry_s)
    return attaching.serve_load_requests(state)


def run_control_tick(state: NodeState, passed: float) -> Effects:
    """Do the control work that is due at a tick: the lease, then reports and orders."""
    control = state.control
    for meter in (control.meter, control.urgent_demand.meter, control.refused_demand.meter):
        meter.roll(passed)
    control_jobs.drop_lapsed(state)
    effects: Effects = []
    # A node that has released the lease, since it reaches no endpoint, must not resume it.
    if not state.leaving and (control_jobs.holding(state) or not state.reach.isolated):
        effects += control_jobs.write_lease_if_due(state)
    if not control_jobs.holding(state) or state.leaving:
        _follow(state)
        return effects
    control_jobs.update_forecast(state)
    effects += _request_reports(state)
    if not handover_gap_passed(state):
        deficits.follow(state)
        return effects
    attaching.mark_used_adapters(state)
    effects += attaching.serve_load_requests(state)
    effects += attaching.unload_withdrawn(state)
    if state.now - state.residency.planned_at >= defaults.RELAY_PLAN_INTERVAL_S:
        state.residency.planned_at = state.now
        effects += planning.plan(state)
    return effects


def _follow(state: NodeState) -> None:
    """Keep what the node would plan by if it took the lease."""
    if control_jobs.follows_demand(state):
        control_jobs.follow_demand(state)
        deficits.follow(state)
    else:
        # What is counted without the others' demand is no deficit once it is read again.
        state.residency.deficits.clear()


def _begin_epoch(state: NodeState) -> None:
    """Start anew if the lease is of another epoch."""
    residency = state.residency
    if residency.epoch == state.control.acting_epoch:
        return
    residency.epoch = state.control.acting_epoch
    residency.accounts = {}
    residency.load_requests = {}
    residency.claims = {}
    state.control.store_limiter = WeightStoreLimiter(
        defaults.STORE_BURST, defaults.RELAY_PLAN_INTERVAL_S
    )
    state.control.store_limiter.start_empty(state.now)


def _request_reports(state: NodeState) -> Effects:
    """Read the report of each runner for which one is due, and start anew in a new epoch."""
    _begin_epoch(state)
    residency = state.residency
    effects: Effects = []
    for name, view in state.endpoints.items():
        if view.role != "runner" or view.closed:
            continue
        account = residency.accounts.setdefault(name, EndpointAccount())
        if not view.in_backoff(state.now) and _report_due(state, view, account):
            account.report_requested_at = state.now
            effects.append(ReadReport(name, 0.0))
    for name in [name for name in residency.accounts if name not in state.endpoints]:
        del residency.accounts[name]
    return effects


def _report_due(state: NodeState, view: EndpointView, account: EndpointAccount) -> bool:
    """Return whether a runner's report is to be read now.

    A runner that took an order is read when that is expected to have ended, and then often.
    One that is new, or whose state is uncertain, is read once a second.
    """
    asked_s = state.now - account.report_requested_at
    order = account.order
    if order is not None and order.taken:
        ended = state.now >= order.ends_at() + state.residency.report_lag_s
        read_since = account.report_requested_at > order.sent_at
        return ended and (not read_since or asked_s >= defaults.ORDER_POLL_S)
    # Until its first order the holder reads again, as orders of the previous one may still end.
    loading = view.report is not None and bool(view.report.loading)
    due = not account.trusted or order is not None or loading or not handover_gap_passed(state)
    # A runner that counts as down is read until its entry lapses, in case it still answers.
    return (due or view.down) and asked_s >= defaults.REPORT_READ_INTERVAL_S


def note_report(state: NodeState, event: EndpointReported) -> None:
    """Apply a runner's report, which may show that its order has ended."""
    account = state.residency.accounts.get(event.endpoint)
    if account is None or not control_jobs.holding(state):
        return
    if event.polled:
        _forget_unloaded(account, event)
    order = account.order
    if order is None or not event.polled:
        return
    if event.order_token[1] > order.taken_before:
        if not event.loading and not still_held(order, event):
            _complete_order(state, account)
    elif order.taken and not order.adapter:
        state.residency.raise_report_lag()
    elif order.unanswered:
        _complete_order(state, account)


def trust_runner(state: NodeState, event: EndpointReported) -> None:
    """Allow orders to a runner whose own report was applied.

    A report that was dropped, as it counts fewer orders than are known, does not confirm the
    view: a model that was withdrawn under the previous lease is missing from the view and
    from the account, and its memory would be promised twice.
    """
    account = state.residency.accounts.get(event.endpoint)
    if account is not None and event.polled and control_jobs.holding(state):
        account.trusted = True


def _forget_unloaded(account: EndpointAccount, report: EndpointReported) -> None:
    """Forget withdrawn models that an unanswered unload has removed after all.

    Adapters of other models are kept: the report may be older than their last change.
    """
    there = {name for name, _ in report.resident}
    for model in account.withdrawn_models():
        if model not in there:
            for name in _withdrawn_with(account, model):
                account.withdrawn.pop(name)


def _complete_order(state: NodeState, account: EndpointAccount) -> None:
    """Clear an order that has ended, and have the next tick make a plan.

    A model that was loaded while there is demand for it is protected until its callers have
    retried.
    """
    order = account.order
    if order is not None and order.action == "unload":
        # The unload of a model removes its adapters too.
        gone = {order.adapter} if order.adapter else _withdrawn_with(account, order.model)
        for name in gone:
            account.withdrawn.pop(name, None)
    elif order is not None and state.control.forecast.levels.get(order.model, 0.0) > 0.0:
        account.protected[order.model] = _protected_until(state, order.model)
    account.order = None
    state.residency.planned_at = -1e9


def _protected_until(state: NodeState, model: str) -> float:
    """Return the time until which a loaded model is protected: its callers have retried then."""
    load_requests = state.residency.load_requests.items()
    callers_back_by = max(
        (pending.callers_back_by for key, pending in load_requests if key[1] == model),
        default=-math.inf,
    )
    most = state.now + defaults.MODEL_KEEP_MAX_S
    return min(most, max(state.now, callers_back_by) + defaults.KEEP_AFTER_RETRY_S)


def _withdrawn_with(account: EndpointAccount, model: str) -> set[str]:
    return {name for name in account.withdrawn if split_name(name)[0] == model}


def complete_report(
    state: NodeState, view: EndpointView, event: EndpointReported
) -> EndpointReported:
    """Complete a report with what is known from the endpoint itself or from orders.

    A row of the endpoint list lags behind orders and does not count them, so what it shows
    as held is used only until a report of the endpoint or of the lease holder is known.
    Models and adapters that are withdrawn or being unloaded are removed, so that no new
    request uses them.
    """
    known = view.report
    if event.order_token[1] < 0 and known is not None and known.order_token[1] >= 0:
        event = event._replace(
            resident=known.resident,
            adapters=known.adapters,
            loading=known.loading,
            order_token=known.order_token,
        )
    account = state.residency.accounts.get(view.name)
    for name in account.withdrawn if account else ():
        event = report_without(event, *split_name(name))
    order = account.order if account else None
    if order is None or order.action != "unload":
        return event
    return report_without(event, order.model, order.adapter)


def memory_after_load_mb(state: NodeState, order: SendOrder) -> tuple[float, float]:
    """Return the memory in use after a load, and the endpoint's capacity, in megabytes."""
    view = state.endpoints[order.endpoint]
    engine = engine_of(state, view)
    assert engine is not None and view.report is not None
    size = engine.models[order.model]
    more = size.adapter_mb if order.model_version else size.memory_mb
    account = state.residency.accounts[view.name]
    held = used_mb(engine, view.report) + withdrawn_mb(engine, account)
    return held + more, engine.memory_mb


@handles(OrderAnswered)
def note_order(state: NodeState, event: OrderAnswered) -> Effects:
    """Apply the answer to an order, by the kind of endpoints that this node controls."""
    return _note_answer(state, event) if state.relaying else ordering.note_order(state, event)


def _note_answer(state: NodeState, event: OrderAnswered) -> Effects:
    account = state.residency.accounts.get(event.endpoint)
    order = account.order if account else None
    if (
        account is None
        or order is None
        or (state.control.acting_epoch, order.taken_before) != event.token
    ):
        return []
    if event.accepted is None:
        return _handle_unanswered(state, event, account, order)
    if not event.accepted:
        account.order = None
        account.trusted = False
        if event.reason == "fenced":
            # Another holder is active: give up the lease at once, though it has not expired.
            state.control.lease.held_until = -1e9
            return []
        account.report_requested_at = state.now
        return [ReadReport(event.endpoint, 0.0)]
    # An endpoint takes only one order for each count, so others with this count are void.
    account.unanswered_loads = [
        one for one in account.unanswered_loads if one.taken_before != order.taken_before
    ]
    account.order = order._replace(taken=True)
    if not order.adapter and event.reason == "done":
        # Nothing had to be done, and the endpoint may not have counted the order. Then no
        # report would show its end.
        _complete_order(state, account)
        account.trusted = False
        account.report_requested_at = state.now
        return [ReadReport(event.endpoint, 0.0)]
    if not order.adapter:
        return _share_loading(state, event.endpoint, order)
    if order.action == "unload" and event.reason != "done":
        # The adapter is still in use, and takes its slot until a report shows it gone.
        return [ReadReport(event.endpoint, defaults.REPORT_READ_INTERVAL_S)]
    pause_s = defaults.ADAPTER_LOAD_S if order.action == "load" else 0.0
    return [StartOrderTimer(event.endpoint, order.taken_before, pause_s)]


def _handle_unanswered(
    state: NodeState, event: OrderAnswered, account: EndpointAccount, order: Order
) -> Effects:
    """Handle an order without an answer: send it again, or read the endpoint's report.

    It may still be carried out, but of all orders with the same count, repeated or not, at
    most one is. Resending comes first, as reading takes half a second, during which nothing
    can be ordered there.
    """
    if order.action == "load" and order.sends == 1:
        account.unanswered_loads.append(order)
    view = state.endpoints.get(event.endpoint)
    # A node that was suspended may learn of this after its lease has expired; it must not
    # order anything then.
    if view is not None and control_jobs.holding(state) and order.sends < defaults.ORDER_SENDS_MAX:
        account.order = order._replace(sends=order.sends + 1)
        return [resend_order(state, view, order)]
    account.order = order._replace(unanswered=True)
    account.report_requested_at = state.now
    return [ReadReport(event.endpoint, defaults.ORDER_CHECK_S)]


def _share_loading(state: NodeState, endpoint: str, order: Order) -> Effects:
    """Record when a model under load is expected, and share it with the other nodes."""
    view = state.endpoints.get(endpoint)
    if order.action != "load" or view is None:
        return []
    view.expected_model = (order.model, order.ends_at())
    return [ShareLoading(endpoint, order.model, max(0.0, order.ends_at() - state.now))]


@handles(OrderDue)
def finish_adapter_order(state: NodeState, event: OrderDue) -> Effects:
    """Complete an adapter's order without a report: it takes less time than reports lag."""
    account = state.residency.accounts.get(event.endpoint)
    view = state.endpoints.get(event.endpoint)
    order = account.order if account else None
    if account is None or order is None or order.taken_before != event.taken_before or view is None:
        return []
    if view.report is None:
        return []
    account.order = None
    if order.action == "unload":
        account.withdrawn.pop(order.adapter, None)
    report = report_without(view.report, order.model, order.adapter)
    if order.action == "load":
        report = report._replace(adapters=(*report.adapters, order.adapter))
        protected_until = max(state.now, order.callers_back_by) + defaults.KEEP_AFTER_RETRY_S
        account.attachments[order.adapter] = Attachment(
            state.now, protected_until, requested_at=order.requested_at
        )
    report = report._replace(order_token=(0, order.taken_before + 1))
    effects: Effects = [apply_and_share_report(state, view, report)]
    effects += attaching.serve_load_requests(state)
    return effects + requests.dispatch_waiting(state)
