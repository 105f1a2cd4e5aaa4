"""Loops of a relay node that follow the platform's store.

Each lists a kind, then watches it from there. A watch that ends in any way but by
answering is followed by a list, since changes may have been missed.
"""

import asyncio
import contextlib
import time
import typing as t

from returns.result import Failure
from returns.result import Success

from rookspring_core import governing
from rookspring_core.events import BoxListCame
from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_core.events import LeaseSeen
from rookspring_core.events import PlatformAnswered

from . import defaults
from .back_off import BackOff
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .logs import log
from .platform import Stored
from .relay_context import RelayContext
from .relay_peers import RelayPeers

# Kinds of this project's own in the store.
NODE_KIND = "rookspring-nodes"
LEASE_KIND = "rookspring-lease"
LEASE_NAME = "control"

Take = t.Callable[[tuple[Stored, ...], bool], None]


class Reach:
    """Whether the store answers, told to the reducer and the log when that changes."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self.lost_at: float | None = None
        self.back_at = -1e9

    def failed(self, what: str, error: PlatformError) -> None:
        """A call failed."""
        if isinstance(error, (PlatformTooOld, PlatformMissing)):
            return
        log("store_call_failed", "WARNING", call=what, error=type(error).__name__, detail=error)
        if self.lost_at is None:
            self.lost_at = time.monotonic()
            log("platform_down", "WARNING", call=what)
            self._context.submit(PlatformAnswered(time.monotonic(), False))

    def answered(self) -> None:
        """A call was answered."""
        now = time.monotonic()
        if self.lost_at is not None:
            log("platform_up", out_s=now - self.lost_at)
            self.lost_at = None
            self.back_at = now
        self._context.submit(PlatformAnswered(now, True))


async def follow_kind(
    context: RelayContext, reach: Reach, kind: str, take: Take, fold_s: float = 0.0
) -> None:
    """List a kind and watch it from there, for ever.

    :param take: gets rows and whether they are all there are.
    :param fold_s: how long changes may gather before the next watch, in seconds.
    """
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    since = -1
    while True:
        if since < 0:
            listing = await context.platform.list_kind(kind)
            if isinstance(listing, Failure):
                reach.failed(f"list {kind}", listing.failure())
                await back_off.pause()
                continue
            reach.answered()
            take(listing.unwrap().items, True)
            since = listing.unwrap().version
        changes = await context.platform.watch(kind, since, defaults.RELAY_WATCH_S)
        if isinstance(changes, Failure):
            since = -1
            reach.failed(f"watch {kind}", changes.failure())
            if not isinstance(changes.failure(), PlatformTooOld):
                await back_off.pause()
            continue
        reach.answered()
        back_off.reset()
        found = changes.unwrap()
        if found.items:
            take(found.items, False)
            await asyncio.sleep(fold_s)
        since = found.version


async def follow_table(context: RelayContext, peers: RelayPeers, reach: Reach) -> None:
    """Follow the configuration."""

    def take(rows: tuple[Stored, ...], whole: bool) -> None:
        for row in rows:
            peers.take_table(row, "store")

    await follow_kind(context, reach, context.dialect.table_kind(), take)


class EndpointList:
    """Endpoints as the store lists them, with what lapsed while it was away.

    An entry that is missing after an outage is given ``LAPSE_GRACE_S`` to come back,
    since live endpoints write theirs anew; after that the endpoint counts as gone.
    """

    def __init__(self, context: RelayContext, reach: Reach) -> None:
        self._context = context
        self._reach = reach
        self._rows: dict[str, BoxListed] = {}
        self._missing: dict[str, float] = {}

    def take(self, rows: tuple[Stored, ...], whole: bool) -> None:
        """Take changed entries, or all that there are."""
        now = time.monotonic()
        if whole:
            for name in set(self._rows) - {row.name for row in rows}:
                self._lose(name, now)
        reports: list[EndpointReported] = []
        for row in rows:
            if row.value is None:
                self._lose(row.name, now)
                continue
            self._missing.pop(row.name, None)
            report = self._keep(row, now)
            if report is not None:
                reports.append(report)
        self.settle(now)
        for report in reports:
            self._context.submit(report)
        self._context.listed = True

    def _keep(self, row: Stored, now: float) -> EndpointReported | None:
        try:
            listed, report = self._context.dialect.read_endpoint(row, now)
        except (KeyError, TypeError, ValueError) as error:
            log("endpoint_malformed", "ERROR", endpoint=row.name, detail=repr(error))
            return None
        if self._rows.get(row.name) != listed:
            log(
                "endpoint_listed",
                endpoint=row.name,
                address=listed.address,
                service=listed.service,
                state=listed.state,
                revision=row.version,
            )
            if listed.state == "leaving":
                # Nodes that the store turns away learn of it from this one.
                self._context.share(report)
        self._rows[row.name] = listed
        return report

    def _lose(self, name: str, now: float) -> None:
        if name in self._rows:
            until = self._reach.back_at + defaults.LAPSE_GRACE_S
            self._missing.setdefault(name, max(now, until))

    def settle(self, now: float) -> None:
        """Drop what is missing for good, and tell the reducer the list."""
        for name, until in list(self._missing.items()):
            if now >= until and self._reach.lost_at is None:
                del self._missing[name]
                self._rows.pop(name, None)
                log("endpoint_gone", endpoint=name, late_s=now - until)
        self._context.submit(BoxListCame(now, tuple(self._rows.values())))

    async def settle_loop(self) -> None:
        """Look after entries that are missing."""
        while True:
            await asyncio.sleep(defaults.LAPSE_CHECK_S)
            if self._missing:
                self.settle(time.monotonic())


async def follow_lease(context: RelayContext, reach: Reach) -> None:
    """Read the lease object where this node may hold it."""
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    # The first look tells a node that was restarted whether the lease is still its own.
    looked = False
    while True:
        context.lease_news.clear()
        if looked and not governing.reads_lease(context.state):
            await _wait_news(context, defaults.RELAY_LEASE_LOOK_S)
            continue
        answer = await context.platform.get(LEASE_KIND, LEASE_NAME)
        now = time.monotonic()
        match answer:
            case Success(Stored(_, version, value)):
                epoch = int(value["epoch"])
                nonce = str(value["nonce"])
                holder = _holder_of(context, value)
                settled = bool(value.get("settled", False))
                context.submit(LeaseSeen(now, version, holder, epoch, nonce, settled))
            case Failure(PlatformMissing()):
                context.submit(LeaseSeen(now, 0, "", 0, ""))
            case Failure(error):
                reach.failed("read lease", error)
                await back_off.pause()
                continue
        looked = True
        reach.answered()
        back_off.reset()
        await _wait_news(context, defaults.RELAY_LEASE_READ_S)


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
    """Make this node known in the store, and learn of the others there."""
    back_off = BackOff(defaults.RELAY_BACKOFF_MAX_S)
    identity = context.state.identity
    row = {"address": identity.address, "zone": identity.data_centre}
    while not await _write_row(context, identity.name, row):
        await back_off.pause()
    while True:
        listing = await context.platform.list_kind(NODE_KIND)
        if isinstance(listing, Failure):
            reach.failed(f"list {NODE_KIND}", listing.failure())
            await back_off.pause()
            continue
        reach.answered()
        back_off.reset()
        peers.learn(
            (one.name, str(one.value["address"]), str(one.value["zone"]))
            for one in listing.unwrap().items
            if one.value
        )
        await asyncio.sleep(defaults.NODE_LIST_S)


async def _write_row(context: RelayContext, name: str, row: t.Any) -> bool:
    answer = await context.platform.put(NODE_KIND, name, row, None)
    if isinstance(answer, Failure) and isinstance(answer.failure(), PlatformMissing):
        answer = await context.platform.put(NODE_KIND, name, row, 0)
    if isinstance(answer, Failure):
        log("store_call_failed", "WARNING", call="write own row", detail=answer.failure())
        return False
    return True


async def forget_row(context: RelayContext) -> None:
    """Take this node's row out of the store at a planned stop."""
    answer = await context.platform.delete(NODE_KIND, context.state.identity.name, None)
    if isinstance(answer, Failure):
        log("store_call_failed", "WARNING", call="delete own row", detail=answer.failure())
