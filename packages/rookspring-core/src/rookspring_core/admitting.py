"""Admission of new requests: checks, allotment, and the queue that each one enters."""

from . import admission_queue
from . import allotment_checks
from . import arrival_checks
from . import defaults
from . import handovers
from . import load_requests
from . import requests
from . import routed
from . import suspect_handlers
from .effects import Effect
from .effects import ReturnAllotment
from .events import AllotmentAnswered
from .events import RequestArrived
from .reducer import handles
from .requests import queue_key
from .state import Charge
from .state import NodeState
from .state import RequestState

Effects = list[Effect]


@handles(RequestArrived)
def admit_request(state: NodeState, event: RequestArrived) -> Effects:
    """Admit a new request: send it, queue it, replay its answer or refuse it."""
    fault = routed.check(state, event) if event.route else arrival_checks.check_target(state, event)
    fault = fault or suspect_handlers.refuse_quarantined(state, event)
    if fault is not None:
        return [fault]
    if handovers.applies(state, event):
        return handovers.begin(state, event)
    if event.once_key is not None:
        known = arrival_checks.check_once_key(state, event)
        if known is not None:
            return known
    charge = allotment_checks.charge_of(state, event)
    if charge is None:
        return _admit(state, event)
    if allotment_checks.needs_owner(state, charge):
        return allotment_checks.park(state, event, charge)
    allotment_checks.record_usage(state, charge)
    return _admit(state, event, charge)


def _admit(state: NodeState, event: RequestArrived, charge: Charge | None = None) -> Effects:
    """Queue a request, and count its work as demand for its model and adapter."""
    if not event.service:
        work = event.tokens * state.latencies.relative_cost(event.target)
        state.latencies.note_work(work)
        state.control.meter.add(event.target, work)
        if event.route:
            left_s = event.deadline_at - event.at
            state.caller_times.note_arrival(event.route.name, left_s, state.now)
            routed.meter_demand(state, event, work)
    effects = arrival_checks.check_limits(state, event) or _enqueue(state, event, charge)
    effects += requests.dispatch_waiting(state)
    return effects + load_requests.emit_load_request(state, event)


@handles(AllotmentAnswered)
def handle_allotment_answer(state: NodeState, event: AllotmentAnswered) -> Effects:
    """Admit or refuse a parked request, as its organisation's owner has decided."""
    parked = state.parked.pop(event.request_id, None)
    if parked is None:
        # The caller left or the wait timed out, so units that were granted are returned.
        return [ReturnAllotment(event.organisation, event.units)] if event.after_s <= 0 else []
    if event.after_s > 0.0:
        return [allotment_checks.refuse(state, parked, event.after_s)]
    allotment_checks.record_usage(state, parked.charge)
    return _admit(state, parked.arrived, parked.charge)


def _enqueue(state: NodeState, event: RequestArrived, charge: Charge | None) -> Effects:
    request = RequestState(event)
    request.charge = charge
    request.limited = event.team in state.catalogue.teams
    state.requests[event.request_id] = request
    pool = state.pools.setdefault(requests.pool_of(state, event), admission_queue.ThroughputMeter())
    queue = state.queues.setdefault(queue_key(event), admission_queue.AdmissionQueue(pool))
    if handovers.applies(state, event):
        return handovers.hand_over(state, request)
    if event.route is not None:
        return requests.enqueue_routed(state, request, queue)
    sort_key = admission_queue.make_sort_key(event.deadline_at, event.priority)
    rank = defaults.PRIORITY_RANK[event.priority]
    queued = admission_queue.Queued(
        sort_key, event.at, event.request_id, event.tokens, rank, event.deadline_at
    )
    earliest_at = event.at + requests.service_time(state, event.target, event.service, event.tokens)
    tokens_ahead = sum(
        other.tokens_ahead(sort_key) for other in state.queues.values() if other.pool is pool
    )
    expected_at = earliest_at + pool.predict_wait_s(tokens_ahead)
    if state.admission_on and expected_at > event.deadline_at:
        after_s = max(0.5, expected_at - event.deadline_at)
        return requests.fail_request(
            state, request, 503, "late", "cannot be served in time", after_s
        )
    queue.push(queued)
    if len(queue) <= defaults.QUEUE_MAX:
        return []
    last = queue.last()
    assert last is not None
    queue.remove(last.request_id)
    dropped = state.requests[last.request_id]
    return requests.fail_request(state, dropped, 503, "queue_full", "too many requests wait", 1.0)
