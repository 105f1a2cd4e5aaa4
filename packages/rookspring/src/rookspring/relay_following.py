"""Loops of a relay node that follow the platform's store.

Each lists a kind, then watches it from there. A watch that ends in any way but by
answering is followed by a list, since changes may have been missed.
"""

import asyncio
import contextlib
import typing as t

from returns.result import Failure
from returns.result import Success

from rookspring_core import control_jobs
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import StoreRead
from rookspring_core.events import TableProved
from rookspring_core.events import UsageRestored
from rookspring_core.hashing import stable_hash
from rookspring_core.state import NodeState

from . import clock
from . import defaults
from . import relay_suspects
from .back_off import BackOff
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .logs import log
from .platform import Listing
from .platform import StoredObject
from .reach import Reach
from .relay_context import RelayContext
from .relay_peers import RelayPeers

# Kinds of this project's own in the store.
NODE_KIND = "rookspring-nodes"
LEASE_KIND = "rookspring-lease"

Take = t.Callable[[tuple[StoredObject, ...], bool], None]


class WatchTerms(t.NamedTuple):
    """How a kind is watched.

    :param wait_s: how long a watch waits for a change, in seconds.
    :param fold_s: how long changes may gather before the next watch, in seconds.
    :param fresh: an answer tells that what this node has of the store is fresh.
    """

    wait_s: float
    fold_s: float = 0.0
    fresh: bool = False


def watch_terms(context: RelayContext, endpoints: bool) -> WatchTerms:
    """Give the terms on which this node watches now.

    Where few watch for all, they ask often enough for the others to see within
    ``STORE_STALE_S`` that one is cut off.
    """
    if not context.state.topology.mesh:
        wait_s = defaults.FEW_WATCH_S if endpoints else defaults.FEW_WATCH_TABLE_S
        holding = context.state.control.holding(clock.now())
        fold_s = defaults.ENDPOINT_FOLD_S if holding else defaults.FEW_FOLD_S
    else:
        wait_s, fold_s = defaults.RELAY_WATCH_S, defaults.ENDPOINT_FOLD_S
    return WatchTerms(wait_s, fold_s if endpoints else 0.0, endpoints)


async def follow_kind(
    context: RelayContext,
    reach: Reach,
    kind: str,
    take: Take,
    endpoints: bool = False,
    listed: t.Callable[[float], None] = lambda asked_at: None,
) -> None:
    """List a kind and watch it from there, for as long as this node watches the store.

    Every node lists once at its start, so that it need not wait for others.

    :param take: gets rows and whether they are all there are.
    :param listed: is told when the store was asked, once a list of it has been taken.
    """
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    since = -1
    while True:
        if since < 0:
            asked_at = clock.now()
            listing = await context.eras.within(context.platform.list_kind(kind))
            if isinstance(listing, Failure):
                reach.failed(f"list {kind}", listing.failure())
                await _pause(context, back_off)
                continue
            _note_answer(context, reach, endpoints)
            take(listing.unwrap().items, True)
            listed(asked_at)
            since = listing.unwrap().version
        if not context.watching.is_set():
            await context.watching.wait()
            since = -1
            continue
        terms = watch_terms(context, endpoints)
        changes = await context.eras.within(context.platform.watch(kind, since, terms.wait_s))
        if isinstance(changes, Failure):
            since = -1
            reach.failed(f"watch {kind}", changes.failure())
            if not isinstance(changes.failure(), PlatformTooOld):
                await _pause(context, back_off)
            continue
        _note_answer(context, reach, endpoints)
        back_off.reset()
        found = changes.unwrap()
        if found.items:
            take(found.items, False)
            await asyncio.sleep(terms.fold_s)
        since = found.version


async def _pause(context: RelayContext, back_off: BackOff) -> None:
    """Wait before the store is asked again: longer where another node keeps this one fresh."""
    await back_off.pause()
    if context.state.topology.has_fresh_source(clock.now()):
        await asyncio.sleep(defaults.FED_PAUSE_S)


def _note_answer(context: RelayContext, reach: Reach, endpoints: bool) -> None:
    reach.answered()
    if endpoints:
        context.submit(StoreRead(clock.now()))


async def follow_table(context: RelayContext, peers: RelayPeers, reach: Reach) -> None:
    """Follow the configuration."""
    version = 0

    def take(rows: tuple[StoredObject, ...], whole: bool) -> None:
        nonlocal version
        for row in rows:
            version = peers.take_stored(row) or version

    def listed(asked_at: float) -> None:
        if version:
            context.submit(TableProved(clock.now(), asked_at, version))

    await follow_kind(context, reach, context.dialect.table_kind(), take, listed=listed)


async def follow_lease(context: RelayContext, reach: Reach) -> None:
    """Read the lease object where this node may hold it."""
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    # The first look tells a node that was restarted whether the lease is still its own.
    looked = False
    while True:
        context.lease_news.clear()
        if looked and not control_jobs.should_read_lease(context.state) and not _recalls(context):
            await _wait_news(context, defaults.RELAY_LEASE_LOOK_S)
            continue
        era = context.state.store_era
        answer = await context.eras.within(context.platform.get(LEASE_KIND, lease_name(era)))
        if context.state.store_era != era:
            continue
        now = clock.now()
        match answer:
            case Success(StoredObject(_, version, value)):
                epoch = int(value["epoch"])
                nonce = str(value["nonce"])
                holder = _holder_of(context, value)
                settled = bool(value.get("settled", False))
                turn_in_s = value.get("turn_in_s")
                _recall(context, value)
                seen = LeaseSeen(now, version, holder, epoch, nonce, settled, era, turn_in_s)
                context.submit(seen)
            case Failure(PlatformMissing()):
                await _recall_before(context, era, looked)
                context.submit(LeaseSeen(now, 0, "", 0, "", era=era))
            case Failure(error):
                reach.failed("read lease", error)
                await back_off.pause()
                continue
        looked = True
        reach.answered()
        back_off.reset()
        freed_soon = control_jobs.awaits_release(context.state)
        look_s = defaults.RELAY_LEASE_FREED_S if freed_soon else defaults.RELAY_LEASE_READ_S
        await _wait_news(context, look_s)


def lease_name(era: int) -> str:
    """Name the lease object of an era of the store; no copy holds that of a later era."""
    return f"control-{era}" if era else "control"


def _recall(context: RelayContext, value: t.Any) -> None:
    """Take what the lease tells besides its holder: organisations' use, and verdicts."""
    now = clock.now()
    context.submit(UsageRestored(now, tuple(value.get("used", {}).items())))
    kept = relay_suspects.read_verdicts(value.get("verdicts", ()), now)
    context.submit(EvidenceReceived(now, kept, "the lease"))


async def _recall_before(context: RelayContext, era: int, looked: bool) -> None:
    """Take that from the lease of an earlier era, where nobody has written this one's yet."""
    if era and (not looked or _recalls(context)):
        listing = await context.eras.within(context.platform.list_kind(LEASE_KIND))
        rows = listing.value_or(Listing(0, ())).items
        if rows:
            _recall(context, max(rows, key=lambda row: int(row.value["epoch"])).value)
            return
    context.submit(UsageRestored(clock.now(), ()))


def _recalls(context: RelayContext) -> bool:
    """Say whether the lease is to tell what organisations had used."""
    state = context.state
    keyed = state.table is not None and state.table.directory is not None
    return keyed and state.allotments.needs_recall(clock.now())


def _holder_of(context: RelayContext, value: t.Any) -> str:
    """Name the lease's holder; another box of this one's name is another holder."""
    holder = str(value["holder"])
    address = value.get("address", "")
    own = context.state.identity
    if holder == own.name and address != own.address:
        return f"{holder}@{address}"
    return holder


async def _wait_news(context: RelayContext, most_s: float) -> None:
    """Wait until the lease may have been freed, or a time is over."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(most_s):
            await context.lease_news.wait()


async def follow_nodes(context: RelayContext, peers: RelayPeers, reach: Reach) -> None:
    """Make this node known in the store, and learn of the others there.

    The nodes tell each other of those that come later, so only who watches the store, or
    hears of nobody who does, reads the list again.
    """
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    written = False
    while True:
        listing = await context.platform.list_kind(NODE_KIND)
        if isinstance(listing, Failure):
            reach.failed(f"list {NODE_KIND}", listing.failure())
            await back_off.pause()
            continue
        reach.answered()
        rows = {one.name: one.value for one in listing.unwrap().items if one.value}
        peers.learn(
            (name, str(row["address"]), str(row["zone"]), float(row.get("strength", 0.0)))
            for name, row in rows.items()
        )
        written = written or await _write_row(context, rows)
        if not written:
            await back_off.pause()
            continue
        back_off.reset()
        await asyncio.sleep(defaults.NODE_LIST_S)
        await context.watching.wait()


async def _write_row(context: RelayContext, rows: t.Mapping[str, t.Any]) -> bool:
    """Write this node's row, unless it stands there as it is."""
    identity = context.state.identity
    row = {
        "address": identity.address,
        "zone": identity.data_centre,
        "strength": context.state.capacity,
    }
    if rows.get(identity.name) == row:
        return True
    expected = None if identity.name in rows else 0
    answer = await context.platform.put(NODE_KIND, identity.name, row, expected)
    if isinstance(answer, Failure):
        log("store_call_failed", "WARNING", call="write own row", detail=answer.failure())
        return False
    return True


async def rewrite_row(context: RelayContext) -> None:
    """Write this node's row again, or take it out, when a copy brought back what was before."""
    while True:
        await context.eras.wait_risen()
        await asyncio.sleep(row_again_s(context.state))
        if context.state.leaving:
            await forget_row(context)
            continue
        back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
        while not await _restore_row(context):
            await back_off.pause()


def row_again_s(state: NodeState) -> float:
    """Give when this node looks after its row once an era began, in seconds.

    All nodes do, so they are spread out: the store takes so many calls a second from them all.
    """
    share = stable_hash("row", state.identity.name) % 1000 / 1000.0
    return defaults.ROW_AGAIN_PER_NODE_S * state.membership.count() * share


async def _restore_row(context: RelayContext) -> bool:
    """Write this node's row, unless the store has it as it is; says whether it stands there."""
    name = context.state.identity.name
    answer = await context.eras.within(context.platform.get(NODE_KIND, name))
    match answer:
        case Success(StoredObject(_, _, value)):
            return await _write_row(context, {name: value})
        case Failure(PlatformMissing()):
            return await _write_row(context, {})
    log("store_call_failed", "WARNING", call="read own row", detail=answer.failure())
    return False


async def forget_row(context: RelayContext) -> None:
    """Take this node's row out of the store at a planned stop."""
    answer = await context.platform.delete(NODE_KIND, context.state.identity.name, None)
    if isinstance(answer, Failure):
        log("store_call_failed", "WARNING", call="delete own row", detail=answer.failure())
