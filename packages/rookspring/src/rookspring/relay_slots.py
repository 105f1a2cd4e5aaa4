"""Messages between nodes for slots: requests to the owners of slot queues, and their replies."""

import asyncio
import typing as t

from rookspring_core import slot_requests
from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import SlotAnswered
from rookspring_core.slot_queues import SlotAnswer
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest

from . import clock
from . import defaults
from . import relay_owners
from . import relay_places
from .logs import log
from .messages import AskPlaces
from .messages import AskSlots
from .messages import SlotEnded
from .messages import SlotFreed
from .messages import SlotReply
from .peers import Link
from .relay_owners import handles_as_owner
from .relay_owners import handles_reply
from .relay_peers import RelayPeers
from .request_keys import make_question_key
from .request_keys import split_question_key


def ask_slot(peers: RelayPeers, effect: AskSlot) -> None:
    """Request a slot, or a place at a model endpoint, from the owner of its queue."""
    name = peers.context.state.identity.name
    key = make_question_key(effect.request_id, effect.question)
    if effect.place is None:
        item = AskSlots(
            name,
            key,
            effect.queue,
            effect.rank,
            effect.organisation,
            effect.wait_s,
            effect.avoid,
            effect.rate,
            False,
        )
        relay_owners.ask_owner(peers, item)
        return
    place = AskPlaces(
        name,
        key,
        effect.queue,
        effect.rank,
        effect.organisation,
        effect.wait_s,
        *effect.place,
        False,
    )
    relay_owners.ask_owner(peers, place)


def free_slot(peers: RelayPeers, effect: FreeSlot) -> None:
    """Return a slot to the owner of its queue after a run, and tell it how the answer ended."""
    queue = effect.queue
    endpoint = effect.endpoint
    if effect.open_end is not None:
        relay_owners.notify_owner(peers, SlotEnded(queue, endpoint, effect.open_end, False))
    name = peers.context.state.identity.name
    key = make_question_key(effect.request_id, effect.question)
    freed = SlotFreed(name, key, queue, endpoint, effect.took_s, effect.unsent, False)
    relay_owners.notify_owner(peers, freed)


async def process_queues_loop(peers: RelayPeers) -> None:
    """Grant free slots and refuse overdue requests every ``SLOT_QUEUES_INTERVAL_S``."""
    while True:
        await asyncio.sleep(defaults.SLOT_QUEUES_INTERVAL_S)
        process_queues(peers)
        relay_places.process_queues(peers)


def _open_queue(peers: RelayPeers, name: str, now: float, rate: float | None = None) -> SlotQueue:
    """Return a queue that this node owns, and log when it begins to own it.

    :param rate: see :func:`slot_requests.queue_of`.
    """
    state = peers.context.state
    known = state.owned_queues.slots.get(name)
    before = known.owned_since if known is not None else None
    queue = slot_requests.queue_of(state, name, now, rate)
    if queue.owned_since != before:
        log("queue_taken_over", queue=name, candidates=len(state.topology.owners(now)))
    return queue


def process_queues(peers: RelayPeers) -> None:
    """Process the queues with waiting requests, and drop the idle ones that are obsolete."""
    now = clock.now()
    state = peers.context.state
    for name, queue in list(state.owned_queues.slots.items()):
        if not queue.idle():
            _send_replies(peers, name, _open_queue(peers, name, now).process_waiting(now))
        elif slot_requests.is_obsolete(state, name):
            del state.owned_queues.slots[name]


def _subject(item: AskSlots | SlotEnded | SlotFreed) -> str:
    return slot_requests.subject_of(item.queue)


@handles_as_owner(AskSlots, _subject)
def handle_request(peers: RelayPeers, asked: AskSlots, link: Link | None) -> None:
    """Grant a request a slot, enqueue it, or refuse it."""
    now = clock.now()
    queue = _open_queue(peers, asked.queue, now, asked.rate)
    request = SlotRequest(
        asked.origin,
        asked.key,
        asked.rank,
        asked.organisation,
        asked.wait_s,
        asked.avoid,
        asked.rate,
    )
    _send_replies(peers, asked.queue, queue.request_slot(request, now))


@handles_as_owner(SlotEnded, _subject)
def handle_ended(peers: RelayPeers, ended: SlotEnded, link: Link | None) -> None:
    """Record how an answer ended, which tells whether its endpoint is passed over."""
    now = clock.now()
    _open_queue(peers, ended.queue, now).note_end(ended.endpoint, ended.open_end, now)


@handles_as_owner(SlotFreed, _subject)
def handle_freed(peers: RelayPeers, freed: SlotFreed, link: Link | None) -> None:
    """Free a slot or place, which may be granted to waiting requests."""
    if freed.queue.startswith(slot_requests.PLACE_PREFIX):
        relay_places.free_place(peers, freed)
        return
    now = clock.now()
    queue = _open_queue(peers, freed.queue, now)
    answers = queue.free(freed.endpoint, freed.origin, freed.key, freed.took_s, now, freed.unsent)
    _send_replies(peers, freed.queue, answers)


def _send_replies(peers: RelayPeers, queue: str, answers: t.Iterable[SlotAnswer]) -> None:
    for one in answers:
        if one.after_s > 0.0 and queue.startswith(slot_requests.ENDPOINT_PREFIX):
            log("turn_denied", queue=queue, origin=one.origin, key=one.key, after_s=one.after_s)
        reply = SlotReply(
            one.origin,
            one.key,
            queue,
            one.endpoint,
            one.after_s,
            one.rated,
            one.avoid_s,
            one.blind,
        )
        relay_owners.send_reply(peers, reply)


@handles_reply(SlotReply)
def handle_reply(peers: RelayPeers, reply: SlotReply) -> None:
    """Process an owner's reply to a slot request of this node."""
    key, question = split_question_key(reply.key)
    peers.context.submit(
        SlotAnswered(
            clock.now(),
            key,
            reply.queue,
            reply.endpoint,
            reply.after_s,
            reply.counts_towards_rate,
            reply.avoid_s,
            reply.no_known_endpoint,
            question,
        )
    )
