"""Requests to owners for places at model endpoints, and the queues for them that this node owns.

:mod:`place_queues` orders the places. A request asks where its node sees no room for it, sees
little, or knows of a queue; else it is sent at once. If an owner does not answer, the request's
node places it by its own view. In use where ``DecisionOptions.place_order`` is set.
"""

from . import defaults
from . import predictions
from . import slot_requests
from . import stream_origins
from . import suspect_handlers
from .effects import AskSlot
from .effects import Effect
from .effects import FreeSlot
from .endpoints import EndpointView
from .place_queues import PlaceQueue
from .place_queues import Room
from .slot_queues import PlaceTerms
from .slot_requests import PLACE_PREFIX
from .state import NodeState
from .state import PermitRequest
from .state import RequestState


def choose_owned(
    state: NodeState, request: RequestState, chosen: EndpointView | None
) -> EndpointView | None:
    """Choose the endpoint whose owner a queued request asks for a place; None if it asks none.

    :param chosen: where this node would send it now; None while it sees no room.
    """
    if not _is_ordered(state, request):
        return None
    if chosen is not None:
        return chosen if _may_ask(request, chosen) and _needs_owner(state, chosen) else None
    hosts = _list_hosts(state, request)
    usable = [view for view in hosts if view.name not in request.tried] or hosts
    return min(usable, key=lambda view: (_predict_wait(state, view), view.name), default=None)


def prefer_unqueued(
    state: NodeState, request: RequestState, views: list[EndpointView]
) -> list[EndpointView]:
    """Return those of some endpoints at which a request needs no owner, or all if there is none."""
    if not _is_ordered(state, request):
        return views
    return [view for view in views if not _needs_owner(state, view)] or views


def ask(state: NodeState, request: RequestState, view: EndpointView) -> list[Effect]:
    """Ask an endpoint's owner for a place for a request that was removed from its queue."""
    arrived = request.arrived
    assert arrived.route is not None
    queue = slot_requests.start_question(state, request, PLACE_PREFIX + view.name)
    cost = state.latencies.relative_cost(arrived.target)
    prompt_work = round(arrived.prompt_tokens * cost)
    wait_s = _longest_wait_s(state, request, view, prompt_work)
    identity = arrived.request_id
    state.permit_requests[identity] = PermitRequest(view.name, state.now + wait_s)
    place = PlaceTerms(prompt_work, arrived.tokens * cost)
    rank = arrived.route.rank
    question = request.slot_question
    return [AskSlot(identity, queue, rank, arrived.team, wait_s, "", None, place, question)]


def withdraw(state: NodeState, request: RequestState) -> list[Effect]:
    """End a request's wait for an owner; one of places is told, so that it grants none in vain."""
    asked = state.permit_requests.pop(request.arrived.request_id, None)
    if asked is None or not request.slot_queue.startswith(PLACE_PREFIX):
        return []
    identity = request.arrived.request_id
    question = request.slot_question
    return [FreeSlot(identity, request.slot_queue, asked.endpoint, 0.0, True, question=question)]


def _is_ordered(state: NodeState, request: RequestState) -> bool:
    """Return whether owners order the places of a request; those of suspects are chosen alone."""
    arrived = request.arrived
    if not state.options.place_order or arrived.route is None or arrived.service:
        return False
    return not request.places_itself and not suspect_handlers.is_suspect(state, request)


def _needs_owner(state: NodeState, view: EndpointView) -> bool:
    """Return whether a request asks for a place at an endpoint although its node sees room there.

    So it does where the node knows of a queue, or where much of the room is taken. Endpoints with
    a rate limit grant permits instead, and an owner that gave no answer is left alone for a while.
    """
    if view.rate is not None or state.now < view.owner_silent_until:
        return False
    if state.now < view.queue_known_until:
        return True
    return view.unread() > defaults.UNREAD_TOKENS_MAX * view.speed * defaults.PLACE_UNASKED_SHARE


def _may_ask(request: RequestState, view: EndpointView) -> bool:
    """Return whether the endpoint's owner has not refused this request yet."""
    return view.name not in request.permits_due


def _list_hosts(state: NodeState, request: RequestState) -> list[EndpointView]:
    """List the endpoints that take a request once they have room, and whose owners may be asked."""
    arrived = request.arrived
    assert arrived.route is not None
    return [
        view
        for view in state.hosts.get(arrived.target, {}).values()
        if view.service == arrived.route.service
        and stream_origins.may_go_on_at(state, arrived, view)
        and _takes(state, view, request)
        and view.rate is None
        and state.now >= view.owner_silent_until
        and _may_ask(request, view)
    ]


def _takes(state: NodeState, view: EndpointView, request: RequestState) -> bool:
    """Return whether an endpoint accepts work and has what a request needs.

    Room that is reserved for adapters just attached is not ordered by owners.
    """
    arrived = request.arrived
    if not view.accepts_work(state.now) or not view.may_listen(state.now):
        return False
    if arrived.adapter and not view.has_adapter(arrived.adapter):
        return False
    reserved = view.recently_attached(state.now)
    return not reserved or arrived.adapter in reserved


def _predict_wait(state: NodeState, view: EndpointView) -> tuple[bool, float]:
    """Predict how soon an endpoint can take a request; the least is the soonest.

    :return: whether its slots are all taken; and the seconds until it has read what it has, or that
        its owner predicted last.
    """
    waiting_s = view.queue_wait_s if state.now < view.queue_known_until else 0.0
    reading_s = predictions.predict_reading_s(state, view, view.unread())
    return view.load(state.now) >= 1.0, max(waiting_s, reading_s)


def _longest_wait_s(
    state: NodeState, request: RequestState, view: EndpointView, prompt_work: int
) -> float:
    """Return how long a request may wait until its prompt begins to be read, in seconds.

    So long that its first event is in time. One whose objective is over waits as long as its route
    allows, and until the endpoint has read what it has now.
    """
    arrived = request.arrived
    assert arrived.route is not None
    left_s = arrived.route.objective_s - (state.now - arrived.at)
    wait_s = left_s - predictions.predict_reading_s(state, view, prompt_work)
    if left_s <= 0.0:
        unread_s = predictions.predict_reading_s(state, view, view.unread())
        wait_s = arrived.route.max_wait_s + unread_s
    return max(0.0, min(wait_s, arrived.deadline_at - state.now))


# The owner's side.


def queue_of(state: NodeState, name: str, now: float) -> PlaceQueue:
    """Return a queue that this node owns, with its endpoint's room as it is known now."""
    queue = state.owned_queues.places.setdefault(name, PlaceQueue())
    since = state.owners.owned_since(slot_requests.subject_of(name), now)
    queue.set_room(_room_of(state, name.removeprefix(PLACE_PREFIX), now), since)
    return queue


def is_obsolete(state: NodeState, name: str) -> bool:
    """Return whether a queue in which no request waits can be dropped."""
    return not state.owners.owns(slot_requests.subject_of(name))


def waiting_by_rank(state: NodeState) -> dict[int, int]:
    """Count the requests of all nodes that wait in this node's queues, for each rank."""
    hosts = state.table.hosts.values() if state.table else ()
    counts = {route.rank: 0 for routes in hosts for route in routes}
    for queue in state.owned_queues.places.values():
        for rank in queue.ranks():
            counts[rank] = counts.get(rank, 0) + 1
    return counts


def _room_of(state: NodeState, name: str, now: float) -> Room | None:
    view = state.endpoints.get(name)
    if view is None or not view.accepts_work(now) or not view.may_listen(now):
        return None
    slots = view.slots()
    return Room(
        view.unread(),
        defaults.UNREAD_TOKENS_MAX * view.speed,
        slots * (1.0 - view.load(now)),
        slots,
        state.table.least_pause_s(view.service) if state.table else 0.0,
    )
