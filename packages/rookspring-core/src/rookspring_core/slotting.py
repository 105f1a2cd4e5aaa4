"""Requests that need a slot of its owner before they are sent, and what the owner says.

:mod:`slot_queues` gives out the slots. Those of a plain service are one queue, or one for each
part of its endpoints. A request that hears nothing of that owner is placed by this node itself, by
what it knows of the endpoints. A model runner that names how many requests a second it takes has a
queue of its own, and a slot there is a *turn*. Nothing is sent to an endpoint that names a rate
without a slot that counts towards it: whoever hears nothing of the owner goes elsewhere, or is
refused.
"""

import math

from . import defaults
from .effects import AskSlot
from .effects import Effect
from .effects import FreeSlot
from .endpoints import EndpointView
from .events import RequestArrived
from .events import SlotAnswered
from .mixing import mix
from .slot_queues import SlotEndpoint
from .slot_queues import SlotQueue
from .state import NodeState
from .state import RequestState
from .state import SlotHeld
from .state import TurnAsked

# Begins the name of the queue of one endpoint; services have no such names.
ENDPOINT_MARK = "@"


def ask(state: NodeState, request: RequestState) -> list[Effect]:
    """Ask for a slot for a request that waits, where its service is a plain one."""
    arrived = request.arrived
    request.slot_asked_at = None
    if arrived.route is None or not arrived.service or not state.slots_by_owner:
        return []
    wait_s = arrived.route.objective_s - (state.now - arrived.at)
    avoid = request.endpoint if request.attempt else ""
    rank = arrived.route.rank
    queue = _begin(state, request, share_of(state, arrived))
    return [AskSlot(arrived.request_id, queue, rank, arrived.team, wait_s, avoid)]


def ask_turn(
    state: NodeState, request: RequestState, view: EndpointView, until: float
) -> list[Effect]:
    """Ask for a turn for a request at an endpoint that names a rate.

    :param until: how long it may wait for one; not at all where others hold its model as well.
    """
    arrived = request.arrived
    assert arrived.route is not None
    queue = _begin(state, request, ENDPOINT_MARK + view.name)
    state.turns_asked[arrived.request_id] = TurnAsked(view.name, until)
    wait_s = max(0.0, until - state.now)
    rank = arrived.route.rank
    return [AskSlot(arrived.request_id, queue, rank, arrived.team, wait_s, "", view.rate)]


def _begin(state: NodeState, request: RequestState, queue: str) -> str:
    request.slot_asked_at = state.now
    request.slot_heard = False
    request.slot_queue = queue
    return queue


def waits(state: NodeState, request: RequestState) -> bool:
    """Say whether a request is to wait for its service's owner."""
    asked_at = request.slot_asked_at
    if asked_at is None:
        return False
    return request.slot_heard or state.now - asked_at < defaults.SLOT_ANSWER_S


def answers(state: NodeState, request: RequestState | None, event: SlotAnswered) -> bool:
    """Say whether an owner's answer is to what a request asks for yet.

    One that was held up says nothing of now: its turn may have been another's since.
    """
    if request is None or request.running or request.slot_asked_at is None:
        return False
    if event.queue != request.slot_queue:
        return False
    asked = state.turns_asked.get(event.request_id)
    latest = max(request.slot_asked_at, asked.until) if asked else math.inf
    return state.now <= latest + defaults.OWNER_ANSWER_S


def hold(request: RequestState, event: SlotAnswered, now: float) -> None:
    """Note that a request has a slot."""
    request.slot = SlotHeld(request.slot_queue, event.endpoint, now, event.rated)
    request.slot_asked_at = None


def free(state: NodeState, request: RequestState, failed: bool, unsent: bool) -> list[Effect]:
    """Give a slot back, once.

    :param unsent: nothing was sent by it.
    """
    held = request.slot
    if held is None:
        return []
    request.slot = None
    identity = request.arrived.request_id
    if held.queue.startswith(ENDPOINT_MARK):
        # A turn is over with its first byte.
        return [FreeSlot(identity, held.queue, held.endpoint, 0.0, True)] if unsent else []
    took_s = state.now - held.at
    if failed:
        # A failure is quick; counted as such it would draw more requests there.
        took_s = max(took_s, defaults.SLOT_FAILED_S)
    return [FreeSlot(identity, held.queue, held.endpoint, took_s, unsent)]


def usable(state: NodeState, event: SlotAnswered) -> EndpointView | None:
    """Give the endpoint of a slot, unless this node knows that it takes no work by it."""
    view = state.endpoints.get(event.endpoint)
    if view is None or view.leaving or view.gone or view.rests(state.now):
        return None
    if view.rate is not None and not event.rated:
        # It was given by an owner that did not know of the rate yet.
        return None
    if not view.listens(state.now):
        return None
    return view


def find_turnless(state: NodeState, request_id: str, endpoint: str) -> str:
    """Say why a request that is about to be sent has no slot that counts; empty where it may go.

    The endpoint may have named its rate since it was chosen, or the slot may be too old: what
    waited with it would come together with what was given since.
    """
    view = state.endpoints.get(endpoint)
    request = state.requests.get(request_id)
    if view is None or view.rate is None or request is None:
        return ""
    held = request.slot
    if held is None or held.endpoint != endpoint or not held.rated:
        return f"it takes {view.rate:g} requests a second, and this one has no turn"
    if state.now - held.at > defaults.SLOT_SEND_S:
        return f"its turn is {state.now - held.at:.2f} s old"
    return ""


# The owner's side.


def share_of(state: NodeState, arrived: RequestArrived) -> str:
    """Name the service, or the part of its endpoints that a request is to use.

    A part has no more endpoints than one node can give out slots for.
    """
    assert arrived.route is not None
    service = arrived.route.service
    parts = _parts(len(state.hosts.get(arrived.target, {})))
    return f"{service}/{mix('part', arrived.request_id) % parts}" if parts > 1 else service


def _parts(endpoints: int) -> int:
    return max(1, math.ceil(endpoints / defaults.SLOT_ENDPOINTS_MAX))


def subject_of(queue: str) -> str:
    """Name what the owner of a queue decides on; see :mod:`owners`."""
    return f"slots/{queue}"


def forgotten(state: NodeState, queue: str) -> bool:
    """Say whether an endpoint's queue is of no use: it would begin anew if it were asked of."""
    return queue.startswith(ENDPOINT_MARK) and not state.owners.decides(subject_of(queue))


def queue_of(state: NodeState, name: str, now: float, rate: float | None = None) -> SlotQueue:
    """Give a queue that this node owns, with its endpoints as they are now.

    :param rate: the requests a second that its endpoint takes, as whoever asks knows it.
    """
    queue = state.slot_queues.setdefault(name, SlotQueue())
    since = state.owners.begin(subject_of(name), now)
    if name.startswith(ENDPOINT_MARK):
        endpoints = _endpoint_of(state, name.removeprefix(ENDPOINT_MARK), queue, rate)
    else:
        endpoints = _endpoints_of(state, name)
    reach = state.owners.reach
    queue.use(
        [one if one.rate is None else one._replace(rate=one.rate * reach) for one in endpoints],
        since,
        now,
    )
    return queue


def _endpoint_of(
    state: NodeState, name: str, queue: SlotQueue, rate: float | None
) -> list[SlotEndpoint]:
    """Give the endpoint of a queue of its own, with its rate as this node or the other knows it."""
    view = state.endpoints.get(name)
    known = view.rate if view is not None else None
    queue.asked_rate = rate or queue.asked_rate
    found = queue.asked_rate if known is None else known
    return [SlotEndpoint(name, 0, found)] if found is not None else []


def _endpoints_of(state: NodeState, service: str) -> list[SlotEndpoint]:
    """Give the endpoints of a plain service, or of a part of it, that take work."""
    name, _, part = service.partition("/")
    views = sorted(state.hosts.get(name, {}).values(), key=lambda one: one.name)
    parts = _parts(len(views))
    if part:
        views = [one for place, one in enumerate(views) if place % parts == int(part) % parts]
    there = [one for one in views if not one.leaving and not one.gone]
    awake = [one for one in there if not one.rests(state.now)]
    ready = [one for one in awake if one.open_for_work(state.now)] or awake
    return [SlotEndpoint(one.name, one.slots(), one.rate) for one in ready]
