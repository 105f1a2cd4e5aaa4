"""What becomes of a request whose attempt failed, or whose entry node was lost.

It is tried elsewhere where that is safe and worth it; else it ends with a true outcome.
"""

from . import admission
from . import comebacks
from . import defaults
from . import requests
from . import routed
from . import slotting
from . import suspecting
from .effects import Attach
from .effects import Effect
from .effects import ShareDown
from .events import AttemptFailed
from .events import RequestArrived
from .events import ResumeAsked
from .reducer import handles
from .state import NodeState
from .state import RequestState

Effects = list[Effect]


@handles(ResumeAsked)
def resume_request(state: NodeState, event: ResumeAsked) -> Effects:
    """Take over a stream whose entry node was lost; it may go on elsewhere if it must."""
    arrived = RequestArrived(
        at=event.at,
        request_id=event.request_id,
        team=event.team,
        target=event.target,
        deadline_at=event.deadline_at,
        tokens=event.tokens,
        repeatable=event.continuable,
        stream=True,
    )
    request = RequestState(arrived)
    state.requests[event.request_id] = request
    request.attempt = 1
    request.endpoint = event.endpoint
    request.tried.add(event.endpoint)
    request.running = True
    request.sent = True
    request.maybe_ran = True
    request.delivered = event.offset
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        failed = AttemptFailed(event.at, event.request_id, 1, True, False, "endpoint is gone")
        return recover_request(state, failed)
    endpoint.begin(event.request_id, event.at)
    return [Attach(event.request_id, 1, event.endpoint, event.offset)]


@handles(AttemptFailed)
def recover_request(state: NodeState, event: AttemptFailed) -> Effects:
    """Try elsewhere if that is safe and worth it; else end with a true outcome."""
    request = requests.current(state, event.request_id, event.attempt)
    if request is None:
        return []
    # What an earlier attempt may have run stays so, whatever a later one says.
    request.maybe_ran = request.maybe_ran or (event.sent and not event.said_not_run)
    request.sent = request.maybe_ran
    request.not_run_said = event.said_not_run
    told = routed.end_prompt(state, request)
    told += slotting.free(state, request, failed=True, unsent=not event.sent)
    told += suspecting.note_broken(state, request, event)
    told += _blame(state, request, event)
    request.running = False
    terms = request.arrived.route
    if routed.may_retry(state, request, event) if terms else _may_retry(state, request, event):
        return told + _requeue(state, request)
    status = 503 if not request.sent else 502
    if terms is not None and request.sent and request.arrived.deadline_at <= state.now:
        status = 504
    text = f"endpoint failed: {event.reason}"
    after_s = max(defaults.FAILED_BACK_S, comebacks.rest_back_s(state, request) if terms else 0.0)
    effects = requests.give_up(state, request, status, "endpoint_failed", text, after_s)
    return told + effects + requests.pump(state)


def _blame(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is None:
        return []
    endpoint.end(request.arrived.request_id, state.now)
    if request.dispatched_at < endpoint.began_at:
        # It ended with the process that it was sent to, which says nothing of this one.
        return []
    if event.withheld or (event.said_not_run and endpoint.leaving):
        # What it says of itself has come ahead of this; see :mod:`noticing`.
        return []
    if event.said_not_run:
        endpoint.heard_at = state.now
    else:
        endpoint.fail(state.now)
    if event.down and endpoint.found_down(state.now):
        return [ShareDown(endpoint.name)]
    if not event.sent:
        endpoint.unreached(state.now)
    return []


def _may_retry(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    if request.arrived.deadline_at <= state.now:
        return False
    if not request.arrived.repeatable and request.sent:
        # In doubt an unrepeatable request is never sent again.
        return False
    if request.delivered > 0:
        # What a caller has the half of is worth more than a retry; only attempts
        # that bring nothing are bounded.
        request.barren += 1
        return request.barren <= defaults.BARREN_ATTEMPTS_MAX
    if request.attempt >= defaults.ATTEMPTS_MAX:
        return False
    endpoint = state.endpoints.get(request.endpoint)
    if event.said_not_run and endpoint is not None and endpoint.leaving:
        # The refusal of a leaving endpoint costs it nothing, so it is no retry.
        return True
    return state.budget.spend()


def _requeue(state: NodeState, request: RequestState) -> Effects:
    arrived = request.arrived
    pool = state.pools.setdefault(requests.pool_of(state, arrived), admission.Pace())
    queue = state.queues.setdefault(requests.queue_key(arrived), admission.AdmissionQueue(pool))
    if arrived.route is not None:
        return requests.wait_routed(state, request, queue) + requests.pump(state)
    # What is begun goes before what waits: it has the caller's time in it already.
    order = arrived.at - defaults.PRIORITY_HEADSTART_S["ledger"]
    rank = defaults.PRIORITY_RANK[arrived.priority]
    left = max(1, arrived.tokens - request.delivered)
    queue.push(
        admission.Queued(order, arrived.at, arrived.request_id, left, rank, arrived.deadline_at)
    )
    return requests.pump(state)
