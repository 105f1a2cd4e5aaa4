"""Handling of owners' answers to requests for slots, and of missing answers.

A request is sent with the slot that it was granted, placed at another endpoint, or refused.
:mod:`slot_requests` asks for the slots.
"""

from . import defaults
from . import place_answers
from . import requests
from . import routed
from . import slot_requests
from .effects import Effect
from .effects import FreeSlot
from .events import SlotAnswered
from .reducer import handles
from .state import NodeState
from .state import PermitRequest
from .state import RequestState

Effects = list[Effect]


@handles(SlotAnswered)
def handle_slot_answer(state: NodeState, event: SlotAnswered) -> Effects:
    """Send a request to the endpoint of its slot, let it wait, or refuse it, by the answer."""
    request = state.requests.get(event.request_id)
    if request is None or not slot_requests.is_current_answer(state, request, event):
        if event.endpoint:
            # The request has ended, or was placed without an answer.
            question = event.question
            return [
                FreeSlot(
                    event.request_id, event.queue, event.endpoint, 0.0, True, question=question
                )
            ]
        return []
    asked = state.permit_requests.get(event.request_id)
    if asked is not None and event.queue.startswith(slot_requests.PLACE_PREFIX):
        return place_answers.take_answer(state, request, asked, event)
    if asked is not None:
        return _take_permit(state, request, asked, event)
    if event.after_s > 0.0:
        if event.no_known_endpoint and routed.list_candidates(state, request):
            # This node knows endpoints that the owner does not; the owner may have just started.
            state.record(event.request_id, "placed without a slot", "its owner knows no endpoint")
            request.slot_asked_at = None
            return requests.dispatch_waiting(state)
        return _refuse_unslotted(state, request, event.after_s)
    if not event.endpoint:
        request.slot_queued = True
        return []
    slot_requests.hold(request, event, state.now)
    fault = requests.find_fault(state, request)
    view = slot_requests.usable(state, event)
    if fault is not None or view is None:
        # This node refuses it, or places it by itself.
        freed = slot_requests.free(state, request, failed=view is None, unsent=True)
        return freed + requests.dispatch_waiting(state)
    state.queues[requests.queue_key(request.arrived)].remove(event.request_id)
    return requests.dispatch(state, request, view)


def _take_permit(
    state: NodeState, request: RequestState, asked: PermitRequest, event: SlotAnswered
) -> Effects:
    """Send a request with its permit, let it wait for one, or look for another endpoint."""
    endpoint = state.endpoints.get(asked.endpoint)
    if endpoint is not None:
        endpoint.next_permit_at = state.now + event.avoid_s
    if event.after_s > 0.0:
        return _place_elsewhere(state, request, event.after_s)
    if not event.endpoint:
        request.slot_queued = True
        return []
    del state.permit_requests[event.request_id]
    slot_requests.hold(request, event, state.now)
    fault = requests.find_fault(state, request)
    view = slot_requests.usable(state, event)
    if fault is None and view is not None:
        return requests.send(state, request, view)
    freed = slot_requests.free(state, request, failed=False, unsent=True)
    if fault is not None:
        return freed + requests.refuse_quarantined(state, request, fault)
    return freed + requests.requeue(state, request, asked.until)


def _place_elsewhere(state: NodeState, request: RequestState, after_s: float) -> Effects:
    """Place a request anew that gets no permit at an endpoint.

    :param after_s: seconds until a permit may be available there.
    """
    asked = state.permit_requests.pop(request.arrived.request_id)
    request.slot_asked_at = None
    request.permits_due[asked.endpoint] = state.now + after_s
    if routed.lacks_permit(state, request):
        return requests.end_waiting(state, request)
    return requests.requeue(state, request, asked.until)


def expire_permit_requests(state: NodeState) -> Effects:
    """Place requests anew whose endpoint's owner does not answer.

    Without a permit none may be sent to an endpoint with a rate limit.
    """
    effects: Effects = []
    for identity, asked in list(state.permit_requests.items()):
        request = state.requests.get(identity)
        if request is None or request.slot_asked_at is None:
            continue
        if request.slot_queue.startswith(slot_requests.PLACE_PREFIX):
            effects += place_answers.expire(state, request, asked)
            continue
        latest = asked.until if request.slot_queued else request.slot_asked_at
        if state.now <= latest + defaults.OWNER_ANSWER_S:
            continue
        endpoint = state.endpoints.get(asked.endpoint)
        if endpoint is not None:
            endpoint.next_permit_at = state.now + defaults.RETRY_AFTER_UNPROVED_S
        state.record(identity, f"no permit at {asked.endpoint}", "its owner does not answer")
        effects += _place_elsewhere(state, request, defaults.RETRY_AFTER_UNPROVED_S)
    return effects


def _refuse_unslotted(state: NodeState, request: RequestState, after_s: float) -> Effects:
    """Refuse a request that can't get a slot in time."""
    state.queues[requests.queue_key(request.arrived)].remove(request.arrived.request_id)
    return requests.refuse_after(state, request, after_s)
