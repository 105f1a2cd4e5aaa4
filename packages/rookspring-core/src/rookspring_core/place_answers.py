"""Handling of owners' answers to requests for places, and of missing answers.

A request is sent with the place that it was granted, asks one other endpoint's owner, is placed by
its own node, or is refused. :mod:`place_requests` asks for the places.
"""

from . import defaults
from . import place_requests
from . import requests
from . import routed
from . import slot_requests
from .effects import Effect
from .endpoints import EndpointView
from .events import SlotAnswered
from .state import NodeState
from .state import PermitRequest
from .state import RequestState

Effects = list[Effect]


def take_answer(
    state: NodeState, request: RequestState, asked: PermitRequest, event: SlotAnswered
) -> Effects:
    """Send a request to its place, let it wait, look for another endpoint, or refuse it."""
    view = state.endpoints.get(asked.endpoint)
    if not event.endpoint and view is not None:
        view.queue_known_until = state.now + defaults.PLACE_QUEUE_KNOWN_S
        if event.after_s > 0.0 or not request.slot_queued:
            # The owner sends its predicted wait in this field, and 0 with a confirmation.
            view.queue_wait_s = event.avoid_s
    if event.no_known_endpoint:
        state.record(event.request_id, "placed by itself", "its owner knows no such endpoint")
        return _place_itself(state, request)
    if event.after_s > 0.0:
        return _place_elsewhere(state, request, asked, event.after_s)
    if not event.endpoint:
        # Its owner confirms each request that waits, so the answer is due anew from now on.
        request.slot_queued = True
        request.slot_asked_at = state.now
        return []
    del state.permit_requests[event.request_id]
    slot_requests.hold(request, event, state.now)
    return _use_place(state, request, event)


def _use_place(state: NodeState, request: RequestState, event: SlotAnswered) -> Effects:
    fault = requests.find_fault(state, request)
    view = slot_requests.usable(state, event)
    if fault is None and view is not None and _serves(view, request):
        return requests.send(state, request, view)
    freed = slot_requests.free(state, request, failed=False, unsent=True)
    if fault is not None:
        return freed + requests.refuse_quarantined(state, request, fault)
    return freed + _place_itself(state, request)


def _serves(view: EndpointView, request: RequestState) -> bool:
    arrived = request.arrived
    if not view.serves(arrived.target, arrived.service):
        return False
    return not arrived.adapter or view.has_adapter(arrived.adapter)


def _place_elsewhere(
    state: NodeState, request: RequestState, asked: PermitRequest, after_s: float
) -> Effects:
    """Send a request that was refused to another endpoint, ask its owner, or refuse the request.

    :param after_s: seconds until there should be room at the endpoint that refused it.
    """
    del state.permit_requests[request.arrived.request_id]
    request.slot_asked_at = None
    request.permits_due[asked.endpoint] = state.now + after_s
    if len(request.permits_due) < defaults.PLACE_OWNERS_MAX:
        view = requests.choose_endpoint(state, request)
        if view is not None and view.name in request.permits_due:
            view = None
        owned = place_requests.choose_owned(state, request, view)
        if owned is not None:
            return place_requests.ask(state, request, owned)
        if view is not None and view.rate is None:
            return requests.send(state, request, view)
        if view is not None:
            return slot_requests.ask_permit(state, request, view, state.now)
    reason, _ = routed.explain_refusal(state, request.arrived)
    routed.meter_missed_demand(state, request.arrived, reason)
    least_s = min(request.permits_due.values()) - state.now
    return requests.refuse_after(state, request, least_s)


def _place_itself(state: NodeState, request: RequestState) -> Effects:
    """Let a request wait in this node's own queue, as long as its route allows from now on."""
    assert request.arrived.route is not None
    state.permit_requests.pop(request.arrived.request_id, None)
    request.slot_asked_at = None
    request.places_itself = True
    until = state.now + request.arrived.route.max_wait_s
    return requests.requeue(state, request, min(until, request.arrived.deadline_at))


def expire(state: NodeState, request: RequestState, asked: PermitRequest) -> Effects:
    """Place a request by this node's own view if waiting for the owner can't help it.

    That is so if the endpoint no longer has the request's model or adapter, which its owner does
    not know, or if the owner is silent for ``OWNER_ANSWER_S``. A silent one is not asked again for
    ``RETRY_AFTER_UNPROVED_S``, so that this node's next requests don't wait for it as well.
    """
    asked_at = request.slot_asked_at
    if asked_at is None:
        return []
    view = state.endpoints.get(asked.endpoint)
    why = ""
    if view is None or not _serves(view, request):
        why = "the endpoint no longer has its model or adapter"
    elif state.now > asked_at + defaults.OWNER_ANSWER_S:
        why = "its owner does not answer"
        view.owner_silent_until = state.now + defaults.RETRY_AFTER_UNPROVED_S
    if not why:
        return []
    state.record(request.arrived.request_id, f"no place at {asked.endpoint}", why)
    return place_requests.withdraw(state, request) + _place_itself(state, request)
