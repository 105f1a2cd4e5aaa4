"""Slots: questions to the nodes that give them out, and the answers, as messages between nodes."""

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
from . import relay_owners
from .messages import AskSlots
from .messages import SlotFreed
from .messages import SlotTold
from .peers import Link
from .relay_owners import comes_home
from .relay_owners import owner_takes
from .relay_peers import RelayPeers


def ask_slot(peers: RelayPeers, effect: AskSlot) -> None:
    """Ask a service's owner for a slot."""
    relay_owners.ask_owner(peers, AskSlots(peers.context.state.identity.name, *effect, False))


def free_slot(peers: RelayPeers, effect: FreeSlot) -> None:
    """Tell a service's owner that a run is over."""
    relay_owners.tell_owner(peers, SlotFreed(peers.context.state.identity.name, *effect, False))


async def settle_loop(peers: RelayPeers) -> None:
    """Refuse in time what waits in vain at this node."""
    while True:
        await asyncio.sleep(defaults.SLOT_SETTLE_S)
        now = clock.now()
        for service, queue in list(peers.context.state.slot_queues.items()):
            _answer(peers, service, queue.settle(now))


def _subject(item: AskSlots | SlotFreed) -> str:
    return f"slots/{item.service}"


@owner_takes(AskSlots, _subject)
def take_question(peers: RelayPeers, asked: AskSlots, link: Link | None) -> None:
    """Give a slot, have the request wait for one, or refuse it."""
    queue = slotting.queue_of(peers.context.state, asked.service)
    now = clock.now()
    wait_s = float(asked.wait_s)
    ask = SlotAsk(asked.origin, asked.key, int(asked.rank), asked.organisation, wait_s, asked.avoid)
    _answer(peers, asked.service, queue.ask(ask, now))


@owner_takes(SlotFreed, _subject)
def take_freed(peers: RelayPeers, freed: SlotFreed, link: Link | None) -> None:
    """Take a slot back."""
    queue = slotting.queue_of(peers.context.state, freed.service)
    now = clock.now()
    answers = queue.free(freed.endpoint, freed.origin, freed.key, float(freed.took_s), now)
    _answer(peers, freed.service, answers)


def _answer(peers: RelayPeers, service: str, answers: t.Iterable[SlotAnswer]) -> None:
    for one in answers:
        told = SlotTold(one.origin, one.key, service, one.endpoint, one.after_s)
        relay_owners.answer(peers, told)


@comes_home(SlotTold)
def take_told(peers: RelayPeers, told: SlotTold) -> None:
    """Take what an owner says of a request of this node."""
    now = clock.now()
    peers.context.submit(
        SlotAnswered(now, told.key, told.service, told.endpoint, float(told.after_s))
    )
