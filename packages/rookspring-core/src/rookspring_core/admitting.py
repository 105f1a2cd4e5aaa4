"""How requests are let in: what is judged of each when it comes, before it waits its turn."""

from . import admission
from . import allotting
from . import arrivals
from . import defaults
from . import requests
from . import routed
from . import suspecting
from . import wants
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
    """Judge a new request: start it, queue it, replay its answer or refuse it."""
    fault = routed.check(state, event) if event.route else arrivals.check_target(state, event)
    fault = fault or suspecting.check(state, event)
    if fault is not None:
        return [fault]
    if event.once_key is not None:
        early = arrivals.judge_once(state, event)
        if early is not None:
            return early
    charge = allotting.charge_of(state, event)
    if charge is None:
        return _let_in(state, event)
    if allotting.needs_owner(state, charge):
        return allotting.park(state, event, charge)
    allotting.spend(state, charge)
    return _let_in(state, event, charge)


def _let_in(state: NodeState, event: RequestArrived, charge: Charge | None = None) -> Effects:
    """Let a request wait for its endpoint, and count what it asks for."""
    if not event.service:
        work = event.tokens * state.paces.relative(event.target)
        state.paces.note_work(work)
        state.control.meter.add(event.target, work)
        if event.route:
            routed.meter(state, event, work)
    effects = arrivals.check_limits(state, event) or _enqueue(state, event, charge)
    effects += requests.pump(state)
    return effects + wants.miss(state, event)


@handles(AllotmentAnswered)
def take_answer(state: NodeState, event: AllotmentAnswered) -> Effects:
    """Go on with a request whose organisation's owner has decided."""
    parked = state.parked.pop(event.request_id, None)
    if parked is None:
        # Its caller has left, or it waited for too long: what was granted did not run.
        return [ReturnAllotment(event.organisation, event.units)] if event.after_s <= 0 else []
    if event.after_s > 0.0:
        return [allotting.refuse(state, parked, event.after_s)]
    allotting.spend(state, parked.charge)
    return _let_in(state, parked.arrived, parked.charge)


def _enqueue(state: NodeState, event: RequestArrived, charge: Charge | None) -> Effects:
    request = RequestState(event)
    request.charge = charge
    request.limited = event.team in state.catalogue.teams
    state.requests[event.request_id] = request
    pool = state.pools.setdefault(requests.pool_of(state, event), admission.Pace())
    queue = state.queues.setdefault(queue_key(event), admission.AdmissionQueue(pool))
    if event.route is not None:
        return requests.wait_routed(state, request, queue)
    order = admission.order_of(event.deadline_at, event.priority)
    rank = defaults.PRIORITY_RANK[event.priority]
    queued = admission.Queued(
        order, event.at, event.request_id, event.tokens, rank, event.deadline_at
    )
    best = event.at + requests.service_time(state, event.target, event.service, event.tokens)
    ahead = sum(one.ahead(order) for one in state.queues.values() if one.pool is pool)
    expected = best + pool.wait(ahead)
    if state.admission_on and expected > event.deadline_at:
        after_s = max(0.5, expected - event.deadline_at)
        return requests.give_up(state, request, 503, "late", "cannot be served in time", after_s)
    queue.push(queued)
    if len(queue) <= defaults.QUEUE_MAX:
        return []
    worst = queue.worst()
    assert worst is not None
    queue.remove(worst.request_id)
    last = state.requests[worst.request_id]
    return requests.give_up(state, last, 503, "queue_full", "too many requests wait", 1.0)
