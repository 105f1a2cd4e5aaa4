"""Slots of plain services: questions to their owners, and the answers, between nodes."""

import asyncio
import typing as t

from rookspring_core import slotting
from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import SlotAnswered
from rookspring_core.slot_queues import SlotAnswer
from rookspring_core.slot_queues import SlotAsk

from . import clock
from . import defaults
from .messages import AskSlots
from .messages import SlotFreed
from .messages import SlotTold
from .peers import Link
from .relay_owners import owns
from .relay_owners import pass_on
from .relay_owners import way_to_owner
from .relay_peers import RelayPeers
from .relay_peers import receives


def ask_slot(peers: RelayPeers, effect: AskSlot) -> None:
    """Ask a service's owner for a slot."""
    origin = peers.context.state.identity.name
    asked = AskSlots(origin, *effect, False)
    link = way_to_owner(peers, _subject(effect.service))
    if link is not None:
        link.send(asked)
    elif owns(peers, _subject(effect.service)):
        # The answer comes as any other does: after what is being performed now.
        peers.context.loop.call_soon(_take_ask, peers, asked)


def free_slot(peers: RelayPeers, effect: FreeSlot) -> None:
    """Tell a service's owner that a run is over."""
    origin = peers.context.state.identity.name
    key, service, endpoint, took_s = effect
    freed = SlotFreed(origin, key, service, endpoint, took_s, False)
    link = way_to_owner(peers, _subject(service))
    if link is not None:
        link.send(freed)
    else:
        peers.context.loop.call_soon(_take_free, peers, freed)


async def settle_loop(peers: RelayPeers) -> None:
    """Refuse in time what waits in vain at this node."""
    while True:
        await asyncio.sleep(defaults.SLOT_SETTLE_S)
        state = peers.context.state
        now = clock.now()
        for service, queue in list(state.slot_queues.items()):
            _answer(peers, service, queue.settle(now))


def _subject(service: str) -> str:
    return f"slots/{service}"


def _take_ask(peers: RelayPeers, asked: AskSlots) -> None:
    queue = slotting.queue_of(peers.context.state, asked.service)
    now = clock.now()
    wait_s = float(asked.wait_s)
    ask = SlotAsk(asked.origin, asked.key, int(asked.rank), asked.organisation, wait_s, asked.avoid)
    _answer(peers, asked.service, queue.ask(ask, now))


def _take_free(peers: RelayPeers, freed: SlotFreed) -> None:
    queue = slotting.queue_of(peers.context.state, freed.service)
    now = clock.now()
    answers = queue.free(freed.endpoint, freed.origin, freed.key, float(freed.took_s), now)
    _answer(peers, freed.service, answers)


def _answer(peers: RelayPeers, service: str, answers: t.Iterable[SlotAnswer]) -> None:
    for one in answers:
        _tell(peers, SlotTold(one.origin, one.key, service, one.endpoint, one.after_s))


def _tell(peers: RelayPeers, told: SlotTold) -> None:
    """Give an answer to the node that asked, over the relay that it follows if need be."""
    state = peers.context.state
    if told.origin == state.identity.name:
        now = clock.now()
        peers.context.submit(
            SlotAnswered(now, told.key, told.service, told.endpoint, float(told.after_s))
        )
        return
    link = peers.server.links.get(told.origin)
    if link is None:
        peer = state.membership.peers.get(told.origin)
        sources = peer.sources if peer else ()
        link = next((way for name in sources if (way := peers.server.links.get(name))), None)
    if link is not None:
        link.send(told)


@receives(AskSlots)
def take_question(peers: RelayPeers, link: Link, asked: AskSlots) -> None:
    """Give a slot, or pass the question on; one that was passed on is answered here."""
    if not pass_on(peers, link, asked, _subject(asked.service)):
        _take_ask(peers, asked)


@receives(SlotTold)
def take_told(peers: RelayPeers, link: Link, told: SlotTold) -> None:
    """Take an answer, or pass it on to the node that asked."""
    if told.origin == peers.context.state.identity.name or told.origin in peers.server.links:
        _tell(peers, told)


@receives(SlotFreed)
def take_freed(peers: RelayPeers, link: Link, freed: SlotFreed) -> None:
    """Take a slot back, or pass the word on."""
    if not pass_on(peers, link, freed, _subject(freed.service)):
        _take_free(peers, freed)
