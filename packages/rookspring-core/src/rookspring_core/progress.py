"""Events of requests that run: their attempt's start, tokens and answer, or their caller leaves.

:mod:`recovering` handles attempts that failed.
"""

from . import allotment_checks
from . import requests
from . import routed
from . import run_backups
from . import run_copies
from . import slot_requests
from . import stream_origins
from . import suspect_handlers
from .effects import Effect
from .effects import Refuse
from .effects import Replay
from .endpoints import EndpointView
from .events import AnswerEnded
from .events import AttemptProgressed
from .events import AttemptStarted
from .events import AttemptSucceeded
from .events import CallerLeft
from .events import CloseShown
from .reducer import handles
from .state import NodeState
from .state import RequestState

Effects = list[Effect]


@handles(AttemptStarted)
def note_start(state: NodeState, event: AttemptStarted) -> Effects:
    """Note that from now on the endpoint may have received a byte of the request."""
    request = requests.find_running(state, event.request_id, event.attempt)
    if request is not None:
        request.sent = True
        stream_origins.note_connection(state, request, event.opened_at)
    return []


@handles(AttemptProgressed)
def note_progress(state: NodeState, event: AttemptProgressed) -> Effects:
    """Count tokens that were passed on to the caller; a continuation begins after them.

    The first ones show that the prompt was read; the time that took is measured if the endpoint
    had no other prompt to read and was not busy.
    """
    request = requests.find_running(state, event.request_id, event.attempt)
    if request is not None and request.handed_to:
        # It runs at another node, so it shows nothing of this node's endpoints.
        request.delivered += event.tokens
        return []
    if request is not None:
        first = request.first_event_at is None
        request.delivered += event.tokens
        request.attempts_without_token = 0
        request.first_event_at = (
            state.now if request.first_event_at is None else request.first_event_at
        )
        state.reach.heard_at = state.now
        if (endpoint := state.endpoints.get(request.endpoint)) is not None:
            endpoint.hear(state.now)
            endpoint.progressed_at = state.now
            endpoint.answered(request.dispatched_at)
        if request.delivered == event.tokens and request.endpoint_was_idle:
            took_s = state.now - request.dispatched_at
            speed = endpoint.speed if endpoint is not None else 1.0
            state.latencies.note_first_event(
                request.arrived.target, request.arrived.prompt_tokens, took_s, speed
            )
        if request.arrived.route is not None:
            told: Effects = []
            if request.delivered == event.tokens:
                told = stream_origins.tell_origin(state, request)
            if first and request.end_doubted:
                # It wasn't whole.
                state.endpoint_stops.note_ended_run(request.arrived.route.service, state.now)
            if first:
                request.backups_used = 0
            if first and request.end_likely:
                _note_outcome(state, request, False)
            if first and endpoint is not None:
                told = told + run_copies.ask_at(state, endpoint)
                told += run_backups.ask_trial(state, request, endpoint)
            return [*told, *routed.end_prompt(state, request), *requests.dispatch_waiting(state)]
    return []


@handles(AnswerEnded)
def free_endpoint(state: NodeState, event: AnswerEnded) -> Effects:
    """Free what a request holds at its endpoint, which has ended its answer.

    The owner of a plain service's slots is told with the slot how the answer ended, so it waits.
    """
    request = requests.find_running(state, event.request_id, event.attempt)
    if request is None or request.handed_to:
        return []
    terms = request.arrived.route
    if event.by_close and terms is not None:
        request.closed_attempt = event.attempt
        if request.arrived.stream:
            state.close_records.note_close(terms.service, state.now)
    effects = routed.end_prompt(state, request)
    if not request.arrived.service:
        effects += slot_requests.free(state, request, False, False)
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is not None:
        endpoint.note_answer_end(event.request_id, event.ended_at)
        endpoint.end(event.request_id, state.now)
        if event.by_close:
            _note_framing(request, endpoint, True, state.now)
    return effects + requests.dispatch_waiting(state)


def _note_framing(
    request: RequestState, endpoint: EndpointView, by_close: bool, now: float
) -> None:
    """Note whether a stream ended with its connection, unless its process was another one."""
    if request.arrived.stream and request.dispatched_at >= endpoint.restarted_at:
        endpoint.open_ends.note_stream(by_close, now)


def _note_outcome(state: NodeState, request: RequestState, whole: bool) -> None:
    """Note what a further run showed of an answer whose end had looked like its own."""
    request.end_likely = False
    terms = request.arrived.route
    if terms is not None:
        state.close_records.note_outcome(terms.service, whole, state.now)


@handles(CloseShown)
def note_shown_close(state: NodeState, event: CloseShown) -> Effects:
    """Note what a body that ended with its connection turned out to be."""
    state.close_records.note_outcome(event.service, event.whole, event.at)
    return []


@handles(AttemptSucceeded)
def finish_request(state: NodeState, event: AttemptSucceeded) -> Effects:
    """End a request whose answer is complete; keep the answer for its key, if it has one.

    Requests that wait for the same key get the same answer.
    """
    request = requests.find_running(state, event.request_id, event.attempt)
    if request is None:
        return []
    if request.handed_to:
        return requests.close(state, request)
    state.reach.heard_at = state.now
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is not None:
        endpoint.succeed(state.now)
        endpoint.answered(request.dispatched_at)
        if request.closed_attempt != event.attempt:
            _note_framing(request, endpoint, False, state.now)
    if not request.arrived.service:
        state.latencies.note_answer(state.now - request.dispatched_at)
    state.retry_budget.earn()
    if request.end_likely:
        _note_outcome(state, request, True)
    effects = suspect_handlers.clear_suspect(state, request)
    key = request.arrived.once_key
    if key is not None:
        for waiter in state.once.record_outcome(key, "ran", event.status, event.answer):
            effects.append(Replay(waiter, event.status, event.answer))
    effects += requests.close(state, request, open_end=False)
    return effects + requests.dispatch_waiting(state)


@handles(CallerLeft)
def handle_caller_left(state: NodeState, event: CallerLeft) -> Effects:
    """End a request whose caller has left, and cancel its attempt.

    A request with a key that is running is not cancelled.
    """
    state.parked.pop(event.request_id, None)
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    if request.arrived.once_key is not None and request.running:
        # The caller may retry with the same key and get this answer.
        return []
    effects = requests.withdraw(state, request)
    if not request.sent and not request.running:
        effects += allotment_checks.refund(state, request.charge)
    suspect_handlers.note_left(state, request)
    key = request.arrived.once_key
    if key is not None:
        text = "the first caller left before it was started"
        refusal = Refuse("", 503, "caller_left", "not_run", text, 0.1)
        waiters = state.once.release(key)
        effects += [refusal._replace(request_id=waiter) for waiter in waiters]
    return effects + requests.close(state, request) + requests.dispatch_waiting(state)
