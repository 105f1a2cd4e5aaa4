"""Messages between nodes for places at model endpoints, at the owners of their queues.

Requests for places leave by :mod:`relay_slots`, as those for slots do, and are answered alike.
"""

import typing as t

from rookspring_core import place_requests
from rookspring_core import slot_requests
from rookspring_core.place_queues import PlaceAnswer
from rookspring_core.slot_queues import PlaceTerms
from rookspring_core.slot_queues import SlotRequest

from . import clock
from . import relay_owners
from .logs import log
from .messages import AskPlaces
from .messages import SlotFreed
from .messages import SlotReply
from .peers import Link
from .relay_owners import handles_as_owner
from .relay_peers import RelayPeers

_PREFIX = slot_requests.PLACE_PREFIX


def process_queues(peers: RelayPeers) -> None:
    """Process the queues with waiting requests, and drop the idle ones that are obsolete."""
    state = peers.context.state
    for name, queue in list(state.owned_queues.places.items()):
        if not queue.idle():
            process_endpoint(peers, name.removeprefix(_PREFIX))
        elif place_requests.is_obsolete(state, name):
            del state.owned_queues.places[name]


def process_endpoint(peers: RelayPeers, endpoint: str) -> None:
    """Grant places at an endpoint whose unread prompts have changed, if requests wait for them."""
    state = peers.context.state
    name = _PREFIX + endpoint
    queue = state.owned_queues.places.get(name)
    if queue is None or queue.idle():
        return
    now = clock.now()
    answers = place_requests.queue_of(state, name, now).process_waiting(now)
    _send_replies(peers, name, answers)


def free_place(peers: RelayPeers, freed: SlotFreed) -> None:
    """Free a place, or drop a request that waits no longer; others may be granted places."""
    now = clock.now()
    queue = place_requests.queue_of(peers.context.state, freed.queue, now)
    answers = queue.free(freed.origin, freed.key, freed.took_s, freed.unsent, now)
    _send_replies(peers, freed.queue, answers)


@handles_as_owner(AskPlaces, lambda item: slot_requests.subject_of(item.queue))
def handle_request(peers: RelayPeers, asked: AskPlaces, link: Link | None) -> None:
    """Grant a request a place, enqueue it, or refuse it."""
    now = clock.now()
    queue = place_requests.queue_of(peers.context.state, asked.queue, now)
    place = PlaceTerms(asked.prompt_work, asked.work)
    request = SlotRequest(
        asked.origin,
        asked.key,
        asked.rank,
        asked.organisation,
        asked.wait_s,
        place=place,
    )
    peers.context.metrics.places.inc({"event": "asked", "rank": str(request.rank)})
    _send_replies(peers, asked.queue, queue.request_place(request, now))


def _send_replies(peers: RelayPeers, queue: str, answers: t.Iterable[PlaceAnswer]) -> None:
    for one in answers:
        _note(peers, queue, one)
        request = one.request
        endpoint = queue.removeprefix(_PREFIX) if one.outcome == "granted" else ""
        reply = SlotReply(
            request.origin,
            request.key,
            queue,
            endpoint,
            one.after_s,
            False,
            one.wait_s,
            one.blind,
        )
        relay_owners.send_reply(peers, reply)


def _note(peers: RelayPeers, queue: str, answer: PlaceAnswer) -> None:
    """Count an answer, and log one that delays or refuses its request."""
    if answer.outcome == "confirmed":
        return
    request = answer.request
    labels = {"event": answer.outcome, "rank": str(request.rank)}
    peers.context.metrics.places.inc(labels)
    if answer.outcome == "granted":
        return
    log(
        "place_waits" if answer.outcome == "waits" else "place_refused",
        queue=queue,
        origin=request.origin,
        key=request.key,
        rank=request.rank,
        organisation=request.organisation,
        work_ahead=answer.work_ahead,
        wait_s=answer.wait_s,
        longest_s=request.wait_s,
        after_s=answer.after_s,
    )
