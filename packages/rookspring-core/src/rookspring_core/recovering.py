"""Recovery of requests whose attempt failed or whose entry node was lost.

A request is retried at another endpoint where that is safe and within the retry limits;
otherwise it ends with the outcome that is known: ``not_run`` or ``unknown``.
"""

from . import admission_queue
from . import close_ends
from . import defaults
from . import handovers
from . import planned_ends
from . import requests
from . import retry_after
from . import routed
from . import run_backups
from . import run_copies
from . import slot_requests
from . import stream_origins
from . import suspect_handlers
from .effects import AttachStream
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
    """Take over a stream whose entry node was lost.

    It is read from its endpoint, or continued at another one if that endpoint is gone.
    """
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
    return [AttachStream(event.request_id, 1, event.endpoint, event.offset)]


@handles(AttemptFailed)
def recover_request(state: NodeState, event: AttemptFailed) -> Effects:
    """Retry after a failed attempt where that is safe and allowed; else end the request."""
    request = requests.find_running(state, event.request_id, event.attempt)
    if request is None:
        return []
    if request.handed_to and handovers.may_go_on(state, request, event):
        handovers.take_back(state, request)
        return _requeue(state, request)
    if request.handed_to:
        return handovers.recover(state, request, event)
    run_backups.note_refusal(state, request, event)
    request.end_doubted = event.reason in planned_ends.CAUSES
    request.end_likely = event.likely
    put = run_backups.put_in_place(state, request, event.copy) if event.backup else []
    if event.copy and run_copies.find_holder(state, request) is not None:
        return put + _go_on(state, request, event.copy)
    # Once any attempt may have run, a later "not run" from another endpoint does not undo it.
    request.maybe_ran = request.maybe_ran or (event.sent and not event.reported_not_run)
    request.sent = request.maybe_ran
    # An attempt that sent nothing leaves it as the attempt before has.
    request.attempt_not_run = event.reported_not_run or (request.attempt_not_run and not event.sent)
    effects = put + routed.end_prompt(state, request) + run_copies.drop(state, request)
    failed = event.down or not event.open_ended
    open_end = _shows_no_end(state, request, event) or None
    effects += slot_requests.free(state, request, failed, not event.sent, open_end=open_end)
    effects += suspect_handlers.note_failed_attempt(state, request, event)
    effects += _count_failure(state, request, event)
    request.running = False
    effects += _bind_to_version(state, request)
    if event.doubted:
        doubted_there = request.arrived.doubted_at | {request.endpoint}
        request.arrived = request.arrived._replace(doubted_at=doubted_there)
    if handovers.may_hand_over(state, request, event):
        return effects + handovers.hand_over(state, request)
    terms = request.arrived.route
    if routed.may_retry(state, request, event) if terms else _may_retry(state, request, event):
        return effects + _requeue(state, request)
    status = 503 if not request.sent else 502
    if terms is not None and request.sent and request.arrived.deadline_at <= state.now:
        status = 504
    text = f"endpoint failed: {event.reason}"
    after_s = max(
        defaults.RETRY_AFTER_FAILURE_S,
        retry_after.backoff_retry_after_s(state, request) if terms else 0.0,
    )
    ended = requests.fail_request(state, request, status, "endpoint_failed", text, after_s)
    return effects + ended + requests.dispatch_waiting(state)


def _go_on(state: NodeState, request: RequestState, copy: str) -> Effects:
    """Go on from a copy of a request's run, at the endpoint that holds it.

    That is the same run: it counts as no resend, and the copy has its slot there.
    """
    request.maybe_ran = request.sent = True
    effects = routed.end_prompt(state, request)
    effects += slot_requests.free(state, request, False, False)
    source = state.endpoints.get(request.endpoint)
    if source is not None:
        source.note_answer_end(request.arrived.request_id, state.now)
        source.end(request.arrived.request_id, state.now)
    effects += _bind_to_version(state, request)
    holder = run_copies.use(state, request)
    effects += requests.dispatch(state, request, holder, copy)
    return effects + requests.dispatch_waiting(state)


def _bind_to_version(state: NodeState, request: RequestState) -> Effects:
    """Let a stream that has begun go on only at the version that began it."""
    begun = request.delivered and request.arrived.version is None
    doubted = stream_origins.doubt_begin(state, request)
    request.arrived = request.bind_to_version()
    return stream_origins.tell_origin(state, request) if begun and doubted else []


def _shows_no_end(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    """Return whether an attempt counts as an answer whose end nothing showed.

    It does not if its process has ended, since such an answer is cut.
    """
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is None or request.dispatched_at < endpoint.restarted_at:
        return False
    return event.open_ended and not event.down


def _count_failure(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is None:
        return []
    if event.open_ended or event.broken:
        endpoint.note_answer_end(request.arrived.request_id, state.now)
    endpoint.end(request.arrived.request_id, state.now)
    if request.dispatched_at < endpoint.restarted_at:
        # The attempt ended with an earlier process, so it does not count against this one.
        return []
    if event.withheld or (event.reported_not_run and endpoint.leaving):
        # The endpoint's own notice was processed before this event; see :mod:`notice_handlers`.
        return []
    if event.reported_not_run:
        endpoint.hear(state.now)
        state.reach.heard_at = state.now
    elif _shows_no_end(state, request, event):
        # A sound endpoint may answer so. It would be ejected for some failures among many such
        # answers if these did not end the row of failures.
        endpoint.end_open(state.now)
        state.reach.heard_at = state.now
    else:
        endpoint.fail(state.now)
    if event.down and endpoint.mark_down(state.now):
        return [ShareDown(endpoint.name)]
    if not event.sent:
        endpoint.unreached(state.now)
    return []


def may_ask_another(state: NodeState, request: RequestState) -> bool:
    """Return whether an answer, or the rest of it, can be had from another endpoint now.

    Where this node's attempts or its service's resends are used up, the caller may ask again.
    """
    arrived = request.bind_to_version()
    if arrived.route is None or not arrived.repeatable:
        return False
    return stream_origins.is_served(state, arrived)


def may_ask_rest(state: NodeState, request: RequestState, likely: bool) -> bool:
    """Return whether the rest of a stream, which ended with its connection, can be asked for now.

    :param likely: the end looks like the answer's own, so a part of the resends is kept.
    """
    if request.handed_to or not may_ask_another(state, request):
        return False
    terms = request.arrived.route
    assert terms is not None
    if request.arrived.deadline_at <= state.now or request.sends + 1 >= terms.attempts:
        return False
    kept = close_ends.KEPT_BUDGET_SHARE if likely else 0.0
    return routed.resend_window(state, terms.service).has_left(state.now, kept)


def _may_retry(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    if request.arrived.deadline_at <= state.now:
        return False
    if not request.arrived.repeatable and request.sent:
        # An unrepeatable request that may have run is never sent again.
        return False
    if request.delivered > 0:
        # A stream that has begun is continued outside the retry budget; only consecutive
        # attempts without a token are limited.
        request.attempts_without_token += 1
        return request.attempts_without_token <= defaults.ATTEMPTS_WITHOUT_TOKEN_MAX
    if request.attempt >= defaults.ATTEMPTS_MAX:
        return False
    endpoint = state.endpoints.get(request.endpoint)
    if event.reported_not_run and endpoint is not None and endpoint.leaving:
        # Refusing costs a leaving endpoint nothing, so this retry is not charged to the budget.
        return True
    return state.retry_budget.spend()


def _requeue(state: NodeState, request: RequestState) -> Effects:
    arrived = request.arrived
    pool = state.pools.setdefault(
        requests.pool_of(state, arrived), admission_queue.ThroughputMeter()
    )
    queue = state.queues.setdefault(
        requests.queue_key(arrived), admission_queue.AdmissionQueue(pool)
    )
    if handovers.applies(state, arrived):
        return handovers.hand_over(state, request)
    if arrived.route is not None:
        return requests.enqueue_routed(state, request, queue) + requests.dispatch_waiting(state)
    # A request that was sent before goes ahead of new ones: its caller has waited longer.
    sort_key = arrived.at - defaults.PRIORITY_HEADSTART_S["ledger"]
    rank = defaults.PRIORITY_RANK[arrived.priority]
    tokens = max(1, arrived.tokens - request.delivered)
    queue.push(
        admission_queue.Queued(
            sort_key, arrived.at, arrived.request_id, tokens, rank, arrived.deadline_at
        )
    )
    return requests.dispatch_waiting(state)
