"""Requests for plain services that wait for a slot, and what their service's owner says.

:mod:`slot_queues` gives out the slots. A request whose owner does not answer is placed by
this node itself, by what it knows of the endpoints.
"""

import math

from . import defaults
from .effects import AskSlot
from .effects import Effect
from .effects import FreeSlot
from .endpoints import EndpointView
from .events import RequestArrived
from .mixing import mix
from .slot_queues import SlotEndpoint
from .slot_queues import SlotQueue
from .state import NodeState
from .state import RequestState
from .state import SlotHeld


def ask(state: NodeState, request: RequestState) -> list[Effect]:
    """Ask for a slot for a request that waits, where its service is a plain one."""
    arrived = request.arrived
    request.slot_asked_at = None
    if arrived.route is None or not arrived.service or not state.slots_by_owner:
        return []
    request.slot_asked_at = state.now
    request.slot_heard = False
    service = share_of(state, arrived)
    wait_s = arrived.route.objective_s - (state.now - arrived.at)
    request.slot_service = service
    avoid = request.endpoint if request.attempt else ""
    rank = arrived.route.rank
    return [AskSlot(arrived.request_id, service, rank, arrived.team, wait_s, avoid)]


def waits(state: NodeState, request: RequestState) -> bool:
    """Say whether a request is to wait for its service's owner."""
    asked_at = request.slot_asked_at
    if asked_at is None:
        return False
    return request.slot_heard or state.now - asked_at < defaults.SLOT_ANSWER_S


def hold(request: RequestState, endpoint: str, now: float) -> None:
    """Note that a request has a slot."""
    request.slot = SlotHeld(request.slot_service, endpoint, now)
    request.slot_asked_at = None


def free(state: NodeState, request: RequestState, failed: bool) -> list[Effect]:
    """Give a slot back, once."""
    held = request.slot
    if held is None:
        return []
    request.slot = None
    took_s = state.now - held.at
    if failed:
        # A failure is quick; counted as such it would draw more requests there.
        took_s = max(took_s, defaults.SLOT_FAILED_S)
    return [FreeSlot(request.arrived.request_id, held.service, held.endpoint, took_s)]


def usable(state: NodeState, endpoint: str) -> EndpointView | None:
    """Give the endpoint of a slot, unless this node knows that it takes no work."""
    view = state.endpoints.get(endpoint)
    if view is None or view.leaving or view.gone or view.rests(state.now):
        return None
    if not view.listens(state.now):
        return None
    return view


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


def queue_of(state: NodeState, service: str) -> SlotQueue:
    """Give the queue of a service that this node owns, with the endpoints as they are now."""
    queue = state.slot_queues.setdefault(service, SlotQueue())
    name, _, part = service.partition("/")
    views = sorted(state.hosts.get(name, {}).values(), key=lambda one: one.name)
    parts = _parts(len(views))
    if part:
        views = [one for place, one in enumerate(views) if place % parts == int(part) % parts]
    there = [one for one in views if not one.leaving and not one.gone]
    awake = [one for one in there if not one.rests(state.now)]
    ready = [one for one in awake if one.open_for_work(state.now)] or awake
    queue.use(SlotEndpoint(one.name, one.slots()) for one in ready)
    return queue
