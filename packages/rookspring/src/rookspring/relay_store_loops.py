"""Loops of a relay node that watch or poll the platform's store.

A kind is listed, then watched from the version of the list. After a watch that failed, the kind is
listed again, since changes may have been missed.
"""

import asyncio
import contextlib
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core import control_jobs
from rookspring_core import stream_origins
from rookspring_core import watches
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import FormerVersionsRead
from rookspring_core.events import LeaseSeen
from rookspring_core.events import StoreRead
from rookspring_core.events import StoreUnread
from rookspring_core.events import TableProved
from rookspring_core.events import UsageRestored
from rookspring_core.hashing import stable_hash
from rookspring_core.state import NodeState
from rookspring_core.watches import WatchTimes

from . import clock
from . import defaults
from . import lease_objects
from . import relay_suspects
from .back_off import BackOff
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .lease_objects import LeaseFields
from .logs import LoggedOnce
from .logs import log
from .platform import Changes
from .platform import Listing
from .platform import PlatformClient
from .platform import StoredObject
from .relay_context import RelayContext
from .relay_peers import RelayPeers
from .store_reachability import StoreReachability

# Kinds of objects that relay nodes themselves write to the store.
NODE_KIND = "rookspring-nodes"
LEASE_KIND = "rookspring-lease"

TakeRows = t.Callable[[tuple[StoredObject, ...], bool], None]


class WatchTerms(t.NamedTuple):
    """How a kind is watched.

    :param wait_s: the longest wait of a watch for a change, in seconds.
    :param batch_s: pause before the next watch, in which changes collect, in seconds.
    """

    wait_s: float
    batch_s: float = 0.0


def watch_terms(context: RelayContext, endpoints: bool) -> WatchTerms:
    """Return how this node has to watch now.

    If a few watchers read the store for all nodes, they call it often enough for the others to
    notice within ``STORE_STALE_S`` that one is cut off.

    :param endpoints: the kind is that of the endpoints' entries.
    """
    if not context.state.topology.mesh:
        wait_s = defaults.SHARED_WATCH_S if endpoints else defaults.SHARED_WATCH_TABLE_S
        holding = context.state.control.holding(clock.now())
        batch_s = defaults.ENDPOINT_BATCH_S if holding else defaults.SHARED_WATCH_BATCH_S
    else:
        wait_s, batch_s = defaults.RELAY_WATCH_S, defaults.ENDPOINT_BATCH_S
    return WatchTerms(wait_s, batch_s if endpoints else 0.0)


async def watch_kind(
    context: RelayContext,
    reach: StoreReachability,
    kind: str,
    take: TakeRows,
    endpoints: bool = False,
    on_listed: t.Callable[[float], None] = lambda asked_at: None,
) -> None:
    """List a kind, then watch it from there for as long as this node is a watcher.

    Every node lists once when it starts, so that it need not wait for others.

    :param take: called with rows, and whether they are all that there are.
    :param endpoints: the kind is that of the endpoints' entries.
    :param on_listed: called with the time at which a list was requested, after it was applied.
    """
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    since = -1
    idle_s = 0.0
    while True:
        if since < 0:
            asked_at = clock.now()
            listing = await context.eras.call_in_era(context.platform.list_kind(kind))
            if isinstance(listing, Failure):
                _note_failure(context, reach, f"list {kind}", listing.failure(), endpoints)
                await _pause(context, back_off)
                continue
            _note_answer(context, reach, endpoints, asked_at)
            take(listing.unwrap().items, True)
            on_listed(asked_at)
            since = listing.unwrap().version
        if not context.watching.is_set():
            await context.watching.wait()
            since = -1
            continue
        terms = watch_terms(context, endpoints)
        times = watches.plan_watch(context.settings.changes, terms.wait_s, idle_s)
        idle_s = 0.0
        asked_at = clock.now()
        changes = await context.eras.call_in_era(_watch(context.platform, kind, since, times))
        if isinstance(changes, Failure):
            since = -1
            _note_failure(context, reach, f"watch {kind}", changes.failure(), endpoints)
            if not isinstance(changes.failure(), PlatformTooOld):
                await _pause(context, back_off)
            continue
        found = changes.unwrap()
        changed = bool(found.items)
        known_at = watches.date_answer(asked_at, clock.now(), times.wait_s, changed)
        _note_answer(context, reach, endpoints, known_at)
        back_off.reset()
        restores = context.eras.restores
        if found.items:
            take(found.items, False)
            await asyncio.sleep(terms.batch_s)
            idle_s = terms.batch_s
        since = found.version if context.eras.restores == restores else -1


async def _watch(
    platform: PlatformClient, kind: str, since: int, times: WatchTimes
) -> Result[Changes, PlatformError]:
    """Watch a kind; without an answer in time, repeat the watch by a new connection.

    The first is not given up, since the store may be slow. Returns what answers first.
    """
    calls = {asyncio.ensure_future(platform.watch(kind, since, times.wait_s))}
    try:
        done, _ = await asyncio.wait(calls, timeout=times.repeat_after_s)
        if not done:
            log("watch_repeated", "WARNING", kind=kind, since=since, after_s=times.repeat_after_s)
            repeated = platform.watch(kind, since, defaults.REPEATED_WATCH_S, anew=True)
            calls.add(asyncio.ensure_future(repeated))
        while True:
            done, left = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            for answer in (call.result() for call in done):
                if not left or not isinstance(answer, Failure) or _is_final(answer.failure()):
                    return answer
            calls = left
    finally:
        for call in calls:
            call.cancel()


def _is_final(error: PlatformError) -> bool:
    """Return whether the store can't answer the same watch otherwise on another connection."""
    return isinstance(error, PlatformTooOld)


async def _pause(context: RelayContext, back_off: BackOff) -> None:
    """Wait before the next call, longer if another node sends this one current data."""
    await back_off.pause()
    if context.state.topology.has_fresh_source(clock.now()):
        await asyncio.sleep(defaults.FRESH_SOURCE_PAUSE_S)


def _note_answer(
    context: RelayContext, reach: StoreReachability, endpoints: bool, asked_at: float
) -> None:
    reach.note_answer()
    if endpoints:
        context.submit(StoreRead(clock.now(), asked_at))


def _note_failure(
    context: RelayContext,
    reach: StoreReachability,
    call: str,
    error: PlatformError,
    endpoints: bool,
) -> None:
    reach.note_failure(call, error)
    if endpoints and not isinstance(error, (PlatformTooOld, PlatformMissing)):
        context.submit(StoreUnread(clock.now()))


async def watch_table(context: RelayContext, peers: RelayPeers, reach: StoreReachability) -> None:
    """Watch the configuration and apply it."""
    version = 0

    def take(rows: tuple[StoredObject, ...], whole: bool) -> None:
        nonlocal version
        for row in rows:
            version = peers.take_stored(row) or version

    def listed(asked_at: float) -> None:
        if version:
            context.submit(TableProved(clock.now(), asked_at, version))

    await watch_kind(context, reach, context.dialect.table_kind(), take, on_listed=listed)


async def poll_lease(context: RelayContext, reach: StoreReachability) -> None:
    """Read the lease object repeatedly while this node may take or hold the lease."""
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    logged = LoggedOnce()
    # The first read shows a restarted node whether it still holds the lease.
    has_read = False
    while True:
        context.lease_check_due.clear()
        if (
            has_read
            and not control_jobs.should_read_lease(context.state)
            and not _needs_restore(context)
            and stream_origins.knows_former(context.state)
        ):
            await _wait_lease_check(context, defaults.RELAY_LEASE_CHECK_S)
            continue
        era = context.state.store_era
        answer = await context.eras.call_in_era(context.platform.get(LEASE_KIND, lease_name(era)))
        if context.state.store_era != era:
            continue
        now = clock.now()
        match answer:
            case Success(stored):
                _restore_from_lease(context, stored)
                context.submit(_see_lease(context, stored, now, era, logged))
            case Failure(PlatformMissing()):
                await _await_rows(context)
                await _restore_from_earlier_era(context, era, has_read)
                context.submit(LeaseSeen(now, 0, "", 0, "", era=era))
                if context.ran_before is False:
                    # Nothing has served before it.
                    context.submit(FormerVersionsRead(now, ()))
            case Failure(error):
                reach.note_failure("read lease", error)
                await back_off.pause()
                continue
        has_read = True
        reach.note_answer()
        back_off.reset()
        freed_soon = control_jobs.awaits_release(context.state)
        wait_s = defaults.RELAY_LEASE_RELEASED_READ_S if freed_soon else defaults.RELAY_LEASE_READ_S
        await _wait_lease_check(context, wait_s)


async def _await_rows(context: RelayContext) -> None:
    """Wait for a short time until it is known whether a node of this one's name ran before.

    Who takes the lease first tells others by that whether anything served before.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(defaults.ROWS_WAIT_S):
            while context.ran_before is None:
                await asyncio.sleep(defaults.FORMER_CHECK_S)


def lease_name(era: int) -> str:
    """Return the name of an era's lease object.

    No backup from which the store is restored holds the object of the era that begins then.
    """
    return f"control-{era}" if era else "control"


def _see_lease(
    context: RelayContext, stored: StoredObject, now: float, era: int, logged: LoggedOnce
) -> LeaseSeen:
    """Return what is seen of the lease object; why it can't be read is logged once."""
    lease = lease_objects.read_or_log(stored, logged)
    if lease is None:
        return lease_objects.make_unreadable(stored, now, era)
    holder = _holder_of(context, lease)
    return LeaseSeen(
        now, stored.version, holder, lease.epoch, lease.nonce, lease.settled, era, lease.turn_in_s
    )


def _restore_from_lease(context: RelayContext, stored: StoredObject) -> None:
    """Restore the usage, verdicts and services of several versions that the lease stores."""
    now = clock.now()
    usage = lease_objects.read_usage(stored)
    if usage is not None:
        context.submit(UsageRestored(now, usage))
    several = lease_objects.read_several(stored)
    if several is not None:
        context.submit(FormerVersionsRead(now, several))
    kept = relay_suspects.read_verdicts(lease_objects.read_verdict_rows(stored), now)
    context.submit(EvidenceReceived(now, kept, "the lease"))


async def _restore_from_earlier_era(context: RelayContext, era: int, has_read: bool) -> None:
    """Restore from the newest lease object if that of the current era isn't written yet."""
    if era and (not has_read or _needs_restore(context)):
        listing = await context.eras.call_in_era(context.platform.list_kind(LEASE_KIND))
        newest = _find_newest(listing.value_or(Listing(0, ())).items)
        if newest is not None:
            _restore_from_lease(context, newest)
            return
    context.submit(UsageRestored(clock.now(), ()))


def _find_newest(rows: tuple[StoredObject, ...]) -> StoredObject | None:
    """Return the lease object of the greatest epoch; those that can't be read are passed over."""
    epochs: dict[int, StoredObject] = {}
    for row in rows:
        with contextlib.suppress(ValueError):
            epochs[lease_objects.read_lease(row).epoch] = row
    return epochs[max(epochs)] if epochs else None


def _needs_restore(context: RelayContext) -> bool:
    """Return whether the organisations' earlier usage is yet to be read from the lease."""
    state = context.state
    keyed = state.table is not None and state.table.directory is not None
    return keyed and state.allotments.needs_recall(clock.now())


def _holder_of(context: RelayContext, lease: LeaseFields) -> str:
    """Return the lease's holder; one of this node's name at another address is another node."""
    own = context.state.identity
    if lease.holder == own.name and lease.address != own.address:
        return f"{lease.holder}@{lease.address}"
    return lease.holder


async def _wait_lease_check(context: RelayContext, max_s: float) -> None:
    """Wait until the lease should be read at once, for ``max_s`` seconds at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max_s):
            await context.lease_check_due.wait()


async def poll_nodes(context: RelayContext, peers: RelayPeers, reach: StoreReachability) -> None:
    """Write this node's row to the store, and learn the other nodes from theirs.

    Nodes that join later are learnt from other nodes, so the list is read again only while this
    node watches the store. A node that gets no fresh data from others watches it too. A row that
    another client has overwritten meanwhile is written again, unless this node is leaving.
    """
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    while True:
        listing = await context.platform.list_kind(NODE_KIND)
        if isinstance(listing, Failure):
            reach.note_failure(f"list {NODE_KIND}", listing.failure())
            await back_off.pause()
            continue
        reach.note_answer()
        rows = listing.unwrap().items
        peers.take_node_rows(rows)
        present = {one.name: one.value for one in rows}
        if context.ran_before is None:
            context.ran_before = context.state.identity.name in present
        if not context.state.leaving and not await _write_row(context, present):
            await back_off.pause()
            continue
        back_off.reset()
        await asyncio.sleep(defaults.NODE_LIST_S)
        await context.watching.wait()


async def _write_row(context: RelayContext, rows: t.Mapping[str, t.Any]) -> bool:
    """Write this node's row unless the store has it already; return whether it has it now."""
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
    """Write this node's row again, or delete it if leaving, after each restore of the store."""
    while True:
        await context.eras.wait_restored()
        await asyncio.sleep(row_check_delay_s(context.state))
        if context.state.leaving:
            await delete_row(context)
            continue
        back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
        while not await _restore_row(context):
            await back_off.pause()


def row_check_delay_s(state: NodeState) -> float:
    """Return the delay from the start of an era until this node checks its row, in seconds.

    All nodes check theirs, so a hash of the name spreads them out, to limit the store's call rate.
    """
    share = stable_hash("row", state.identity.name) % 1000 / 1000.0
    return defaults.ROW_CHECK_PER_NODE_S * state.membership.count() * share


async def _restore_row(context: RelayContext) -> bool:
    """Write this node's row if it is missing or differs; return whether the store has it now."""
    name = context.state.identity.name
    answer = await context.eras.call_in_era(context.platform.get(NODE_KIND, name))
    match answer:
        case Success(StoredObject(_, _, value)):
            return await _write_row(context, {name: value})
        case Failure(PlatformMissing()):
            return await _write_row(context, {})
    log("store_call_failed", "WARNING", call="read own row", detail=answer.failure())
    return False


async def delete_row(context: RelayContext) -> None:
    """Delete this node's row from the store, for a planned stop."""
    answer = await context.platform.delete(NODE_KIND, context.state.identity.name, None)
    if isinstance(answer, Failure):
        log("store_call_failed", "WARNING", call="delete own row", detail=answer.failure())
