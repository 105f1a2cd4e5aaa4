"""Requests to owners for slots, the checks of their answers, and the queues that this node owns.

:mod:`slot_queues` grants the slots. A plain service has one queue, or one for each partition of
its endpoints. If its owner does not answer, this node places the request by its own view of the
endpoints. A model runner with a rate limit has a queue of its own, and a slot there is a *permit*.
Nothing is sent to an endpoint with a rate limit without a slot that counts towards the limit: if
the owner does not answer, the request goes to another endpoint or is refused.
"""

import math

from . import defaults
from .effects import AskSlot
from .effects import Effect
from .effects import FreeSlot
from .endpoints import EndpointView
from .events import RequestArrived
from .events import SlotAnswered
from .hashing import stable_hash
from .slot_queues import SlotEndpoint
from .slot_queues import SlotQueue
from .state import NodeState
from .state import PermitRequest
from .state import RequestState
from .state import SlotHeld

# Prefix of the name of a queue for one endpoint; names of services don't begin with it.
ENDPOINT_PREFIX = "@"
# Prefix of the name of an endpoint's queue for places; see :mod:`place_requests`.
PLACE_PREFIX = "#"


def ask(state: NodeState, request: RequestState) -> list[Effect]:
    """Ask for a slot for a waiting request, if it is for a plain service.

    Not for a stream that has begun where several versions serve: owners don't tell them apart, so
    this node places it.
    """
    arrived = request.arrived
    request.slot_asked_at = None
    if arrived.route is None or not arrived.service or not state.slots_by_owner:
        return []
    service = arrived.route.service
    if arrived.version is not None and state.stream_versions.has_several(service, state.now):
        return []
    wait_s = arrived.route.objective_s - (state.now - arrived.at)
    avoid = request.endpoint if request.attempt else ""
    rank = arrived.route.rank
    queue = start_question(state, request, partition_of(state, arrived))
    question = request.slot_question
    return [
        AskSlot(arrived.request_id, queue, rank, arrived.team, wait_s, avoid, question=question)
    ]


def ask_permit(
    state: NodeState, request: RequestState, view: EndpointView, until: float
) -> list[Effect]:
    """Ask for a permit for a request at an endpoint with a rate limit.

    :param until: the time until which it may wait; not in the future if it may not wait, because
        other endpoints hold its model too.
    """
    arrived = request.arrived
    assert arrived.route is not None
    queue = start_question(state, request, ENDPOINT_PREFIX + view.name)
    state.permit_requests[arrived.request_id] = PermitRequest(view.name, until)
    wait_s = max(0.0, until - state.now)
    rank = arrived.route.rank
    question = request.slot_question
    return [
        AskSlot(
            arrived.request_id, queue, rank, arrived.team, wait_s, "", view.rate, question=question
        )
    ]


def start_question(state: NodeState, request: RequestState, queue: str) -> str:
    """Record which queue's owner a request asks from now on, and return that queue.

    A reply to an earlier question may come later, from the same owner.
    """
    request.slot_question += 1
    request.slot_asked_at = state.now
    request.slot_queued = False
    request.slot_queue = queue
    return queue


def awaits_owner(state: NodeState, request: RequestState) -> bool:
    """Return whether a request should wait for the answer of its service's owner."""
    asked_at = request.slot_asked_at
    if asked_at is None:
        return False
    return request.slot_queued or state.now - asked_at < defaults.SLOT_ANSWER_S


def is_unanswered(state: NodeState, request: RequestState) -> bool:
    """Return whether a queued request still waits for the first answer of its service's owner.

    It may be past its queue's deadline where this node stood still since it asked.
    """
    return (
        request.slot_asked_at is not None
        and not request.slot_queued
        and state.now < request.arrived.deadline_at
    )


def is_current_answer(state: NodeState, request: RequestState | None, event: SlotAnswered) -> bool:
    """Return whether an owner's answer is to the request's current question, and not too late.

    The permit of a delayed answer may have been granted to another request since.
    """
    if request is None or request.running or request.slot_asked_at is None:
        return False
    if (event.queue, event.question) != (request.slot_queue, request.slot_question):
        return False
    asked = state.permit_requests.get(event.request_id)
    latest = max(request.slot_asked_at, asked.until) if asked else math.inf
    return state.now <= latest + defaults.OWNER_ANSWER_S


def hold(request: RequestState, event: SlotAnswered, now: float) -> None:
    """Record that a request holds a slot."""
    request.slot = SlotHeld(
        request.slot_queue, event.endpoint, now, event.counts_towards_rate, event.question
    )
    request.slot_asked_at = None


def free(
    state: NodeState,
    request: RequestState,
    failed: bool,
    unsent: bool,
    open_end: bool | None = None,
) -> list[Effect]:
    """Release a request's slot, if it holds one.

    :param unsent: nothing was sent with it.
    :param open_end: see :class:`effects.FreeSlot`.
    """
    held = request.slot
    if held is None:
        return []
    request.slot = None
    identity = request.arrived.request_id
    if held.queue.startswith(ENDPOINT_PREFIX):
        # A permit is used up by the first byte sent.
        if not unsent:
            return []
        return [FreeSlot(identity, held.queue, held.endpoint, 0.0, True, question=held.question)]
    took_s = state.now - held.at
    if failed:
        # Failures are quick: their true time would make the endpoint look fast and draw requests.
        took_s = max(took_s, defaults.SLOT_FAILED_S)
    return [FreeSlot(identity, held.queue, held.endpoint, took_s, unsent, open_end, held.question)]


def usable(state: NodeState, event: SlotAnswered) -> EndpointView | None:
    """Return the endpoint of a slot; None if this node knows that the slot can't be used there."""
    view = state.endpoints.get(event.endpoint)
    if view is None or view.closed or view.in_backoff(state.now):
        return None
    if view.rate is not None and not event.counts_towards_rate:
        # It was granted by an owner that did not know of the rate limit yet.
        return None
    if not view.may_listen(state.now):
        return None
    return view


def find_missing_permit(state: NodeState, request_id: str, endpoint: str) -> str:
    """Return why a request must not be sent for lack of a valid permit; empty if it may be sent.

    The endpoint may have announced its rate limit after it was chosen, or the permit may be too
    old: requests sent late would arrive together with those of later permits.
    """
    view = state.endpoints.get(endpoint)
    request = state.requests.get(request_id)
    if view is None or view.rate is None or request is None:
        return ""
    held = request.slot
    if held is None or held.endpoint != endpoint or not held.counts_towards_rate:
        return f"it takes {view.rate:g} requests a second, and this one has no turn"
    if state.now - held.at > defaults.SLOT_SEND_S:
        return f"its turn is {state.now - held.at:.2f} s old"
    return ""


# The owner's side.


def partition_of(state: NodeState, arrived: RequestArrived) -> str:
    """Return the queue that a request is to use: its service, or one partition of its endpoints.

    A partition has at most ``SLOT_ENDPOINTS_MAX`` endpoints, as many as one node can grant slots
    for.
    """
    assert arrived.route is not None
    service = arrived.route.service
    count = _partition_count(len(state.hosts.get(arrived.target, {})))
    return f"{service}/{stable_hash('part', arrived.request_id) % count}" if count > 1 else service


def _partition_count(endpoints: int) -> int:
    return max(1, math.ceil(endpoints / defaults.SLOT_ENDPOINTS_MAX))


def subject_of(queue: str) -> str:
    """Return the subject under which the owner of a queue is chosen; see :mod:`owners`."""
    return f"slots/{queue}"


def is_obsolete(state: NodeState, queue: str) -> bool:
    """Return whether an endpoint's queue can be dropped, as this node no longer owns it.

    Its permits would start at none anyway if this node became the owner again.
    """
    return queue.startswith(ENDPOINT_PREFIX) and not state.owners.owns(subject_of(queue))


def queue_of(state: NodeState, name: str, now: float, rate: float | None = None) -> SlotQueue:
    """Return a queue that this node owns, with its endpoints updated.

    :param rate: the rate limit of its endpoint in requests a second, as the requesting node
        knows it.
    """
    queue = state.owned_queues.slots.setdefault(name, SlotQueue())
    since = state.owners.owned_since(subject_of(name), now)
    if name.startswith(ENDPOINT_PREFIX):
        endpoints = _rated_endpoint(state, name.removeprefix(ENDPOINT_PREFIX), queue, rate)
    else:
        endpoints = _service_endpoints(state, name)
    reach = state.owners.visible_share
    queue.set_endpoints(
        [one if one.rate is None else one._replace(rate=one.rate * reach) for one in endpoints],
        since,
        now,
    )
    return queue


def _rated_endpoint(
    state: NodeState, name: str, queue: SlotQueue, rate: float | None
) -> list[SlotEndpoint]:
    """Return the endpoint of its own queue, with the rate limit as known here or by a requester."""
    view = state.endpoints.get(name)
    known = view.rate if view is not None else None
    queue.requester_rate = rate or queue.requester_rate
    found = queue.requester_rate if known is None else known
    return [SlotEndpoint(name, 0, found)] if found is not None else []


def _service_endpoints(state: NodeState, service: str) -> list[SlotEndpoint]:
    """Return the endpoints of a plain service, or of one partition of it, that accept work."""
    name, _, partition = service.partition("/")
    views = sorted(state.hosts.get(name, {}).values(), key=lambda one: one.name)
    count = _partition_count(len(views))
    if partition:
        views = [one for index, one in enumerate(views) if index % count == int(partition) % count]
    present = [one for one in views if not one.closed]
    available = [one for one in present if not one.in_backoff(state.now)]
    ready = [one for one in available if one.accepts_work(state.now)] or available
    return [SlotEndpoint(one.name, one.slots(), one.rate, one.restarted_at) for one in ready]
