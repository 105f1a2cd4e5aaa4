"""The evacuations in the platform's store: watched by a few nodes, which tell the others."""

import asyncio

from returns.result import Failure

from rookspring_core.effects import ShareEvacuations
from rookspring_core.evacuations import EvacuationList
from rookspring_core.events import EvacuationsListed

from . import clock
from . import defaults
from .back_off import BackOff
from .exceptions import PlatformError
from .exceptions import PlatformTooOld
from .logs import log
from .messages import EvacuationsMessage
from .peers import Link
from .platform import StoredObject
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_merged import merged_set
from .relay_peers import RelayPeers
from .relay_peers import receives
from .store_reachability import StoreReachability


class EvacuationWatch:
    """Reads and watches the evacuations while this node watches the store.

    Each node lists them once when it starts. Where the settings state no bound for evacuations, the
    platform asks for none, and the store isn't called.
    """

    def __init__(self, context: RelayContext, reach: StoreReachability) -> None:
        self._context = context
        self._reach = reach
        self._back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
        self._data_centres: frozenset[str] = frozenset()
        # The revision to watch from; negative if all have to be listed again.
        self._since = -1

    async def run(self) -> None:
        """Read the evacuations, over and over."""
        self._since = -1
        while True:
            if not self._context.settings.evacuation_s:
                self._since = -1
                await asyncio.sleep(defaults.SETTINGS_CHECK_S)
            elif self._since < 0:
                await self._list()
            elif not self._context.watching.is_set():
                await self._context.watching.wait()
                self._since = -1
            else:
                await self._watch()

    async def _list(self) -> None:
        context = self._context
        kind = context.dialect.evacuation_kind()
        listing = await context.eras.call_in_era(context.platform.list_kind(kind))
        if isinstance(listing, Failure):
            await self._fail(f"list {kind}", listing.failure())
            return
        self._data_centres = frozenset()
        self._take(listing.unwrap().items, listing.unwrap().version)

    async def _watch(self) -> None:
        context = self._context
        kind = context.dialect.evacuation_kind()
        wait_s = defaults.EVACUATION_WATCH_S
        changes = await context.eras.call_in_era(context.platform.watch(kind, self._since, wait_s))
        if isinstance(changes, Failure):
            await self._fail(f"watch {kind}", changes.failure())
            return
        self._take(changes.unwrap().items, changes.unwrap().version)

    async def _fail(self, what: str, error: PlatformError) -> None:
        self._since = -1
        self._reach.note_failure(what, error)
        if not isinstance(error, PlatformTooOld):
            await self._back_off.pause()

    def _take(self, rows: tuple[StoredObject, ...], version: int) -> None:
        """Apply rows from the store to the known evacuations.

        :param version: the store's revision, as of which the evacuations are known then.
        """
        self._reach.note_answer()
        self._back_off.reset()
        for row in rows:
            name = self._context.dialect.read_evacuation(row)
            known = self._data_centres - {name}
            self._data_centres = known if row.value is None else known | {name}
        self._since = version
        era = self._context.state.store_era
        found = EvacuationList(era, version, self._data_centres)
        self._context.submit(EvacuationsListed(clock.now(), found))


@handles_relay_effect(ShareEvacuations)
def handle_share(context: RelayContext, effect: ShareEvacuations) -> None:
    """Log the evacuations that are in force now, and send the list to the other nodes."""
    listed = effect.listed
    log(
        "evacuations_changed",
        in_force=",".join(sorted(effect.in_force)),
        era=listed.era,
        revision=listed.revision,
        source=effect.source or "store",
    )
    context.share_evacuations(effect)


def share_evacuations(peers: RelayPeers, effect: ShareEvacuations) -> None:
    """Send the list of evacuations to all nodes except for the source."""
    peers.broadcast(_encode(effect.listed), effect.source)


@merged_set("evacuations", lambda state: state.evacuations.digest())
def send_list(peers: RelayPeers, link: Link) -> None:
    """Send a node the list of evacuations, if any has been read."""
    listed = peers.context.state.evacuations.listed
    if listed.revision:
        link.send(_encode(listed))


def _encode(listed: EvacuationList) -> EvacuationsMessage:
    return EvacuationsMessage(listed.era, listed.revision, sorted(listed.data_centres))


@receives(EvacuationsMessage)
def handle_list(peers: RelayPeers, link: Link, message: EvacuationsMessage) -> None:
    """Process a list of evacuations that another node sent."""
    names = frozenset(message.data_centres)
    found = EvacuationList(message.era, message.revision, names)
    peers.context.submit(EvacuationsListed(clock.now(), found, link.name))
