"""Loops that read or watch the platform: lease, box list, head and operators' resources.

Each backs off with jitter while the platform does not answer, so that retries do not
overload it after an outage. Only relays watch the head and read the box list often. Other
nodes get revisions and box lists from relays, and read them seldom, as a fallback.
"""

import asyncio
import random
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core import Resource
from rookspring_core import control_jobs
from rookspring_core import defaults as core_defaults
from rookspring_core.events import BoxListReceived
from rookspring_core.events import DesiredSeen
from rookspring_core.events import HeadSeen
from rookspring_core.events import IntentsSeen
from rookspring_core.events import LeaseSeen
from rookspring_core.events import PlatformAnswered

from . import clock
from . import defaults
from . import lease_objects
from .back_off import BackOff
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .exceptions import PlatformUnreachable
from .logs import LoggedOnce
from .logs import log
from .node_context import NodeContext
from .platform import StoredObject
from .published import HEAD
from .published import KIND
from .published import MALFORMED
from .published import Head
from .published import read_stored_head

A = t.TypeVar("A")
# Action, model, version and memory of an order, in gigabytes.
Intent = tuple[str, str, str, float]
# More memory than any endpoint has, in gigabytes.
MEMORY_MAX_GB = 1e6


def report_reachability(
    node: NodeContext, answer: Result[A, PlatformError]
) -> Result[A, PlatformError]:
    """Submit whether the platform could be reached, and log it when that changes.

    :return: the answer, unchanged.
    """
    down = isinstance(answer, Failure) and isinstance(answer.failure(), PlatformUnreachable)
    if node.state.platform_reachable == down:
        log("platform_down" if down else "platform_up", "WARNING" if down else "INFO")
    node.submit(PlatformAnswered(clock.now(), not down))
    return answer


async def follow_lease(node: NodeContext) -> None:
    """Read the lease object, while this node is a relay."""
    back_off = BackOff()
    logged = LoggedOnce()
    while True:
        if not node.state.membership.is_relay():
            await asyncio.sleep(defaults.LEASE_READ_S)
            continue
        match report_reachability(node, await node.platform.get("lease", "control")):
            case Success(stored):
                node.submit(_see_lease(stored, logged))
            case Failure(PlatformMissing()):
                node.submit(LeaseSeen(clock.now(), 0, "", 0, ""))
            case _:
                await back_off.pause()
                continue
        back_off.reset()
        await asyncio.sleep(defaults.LEASE_READ_S * (0.8 + 0.4 * random.random()))


def _see_lease(stored: StoredObject, logged: LoggedOnce) -> LeaseSeen:
    """Return what is seen of the lease object; why it can't be read is logged once."""
    now = clock.now()
    lease = lease_objects.read_or_log(stored, logged)
    if lease is None:
        return lease_objects.make_unreadable(stored, now, stored.era)
    return LeaseSeen(now, stored.version, lease.holder, lease.epoch, lease.nonce)


async def follow_boxes(node: NodeContext) -> None:
    """Read the box list: every ``BOX_LIST_S`` on relays, ``BOX_LIST_BACKSTOP_S`` elsewhere."""
    back_off = BackOff()
    while True:
        match report_reachability(node, await node.platform.boxes()):
            case Success(rows):
                node.update_boxes(rows, share=True)
            case _:
                await back_off.pause()
                continue
        back_off.reset()
        relay = node.state.membership.is_relay()
        pause = defaults.BOX_LIST_S if relay else defaults.BOX_LIST_BACKSTOP_S
        await asyncio.sleep(pause * (0.8 + 0.4 * random.random()))


async def follow_head(node: NodeContext) -> None:
    """Watch the published head as a relay; else read it every ``HEAD_BACKSTOP_S`` or so."""
    back_off = BackOff()
    since = -1
    while True:
        if since < 0 or not node.state.membership.is_relay():
            answer = report_reachability(node, await node.published.read_head())
            if isinstance(answer, Failure):
                await back_off.pause()
                continue
            head = answer.unwrap()
            if not await apply_head(node, head):
                await back_off.pause()
                continue
            since = head.version
            back_off.reset()
            if not node.state.membership.is_relay():
                await asyncio.sleep(defaults.HEAD_BACKSTOP_S * (0.5 + random.random()))
                since = -1
            continue
        changes = report_reachability(
            node, await node.platform.watch(KIND, since, defaults.WATCH_S)
        )
        if isinstance(changes, Failure):
            since = -1
            await back_off.pause()
            continue
        found = changes.unwrap()
        heads = [one for one in found.items if one.name == HEAD and one.value is not None]
        if heads and not await _apply_stored_head(node, heads[-1]):
            since = -1
            await back_off.pause()
            continue
        back_off.reset()
        since = found.version


async def _apply_stored_head(node: NodeContext, stored: StoredObject) -> bool:
    """Apply a head object as :func:`apply_head`; a malformed one is not applied."""
    head = read_stored_head(stored)
    return isinstance(head, Success) and await apply_head(node, head.unwrap())


async def apply_head(node: NodeContext, head: Head) -> bool:
    """Read the shards of a newer head and put its revision in force.

    :return: whether the revision in force is now that of the head or a later one.
    """
    if head.revision <= node.state.catalogue.revision:
        return True
    answer = report_reachability(node, await node.published.read_revision(head, clock.now()))
    if isinstance(answer, Failure):
        return False
    node.submit(answer.unwrap())
    return True


async def read_head_until_success(node: NodeContext) -> None:
    """Read the head and its entries, retried until that succeeds or the lease is lost."""
    back_off = BackOff()
    while control_jobs.holding(node.state):
        answer = report_reachability(node, await node.published.read_head())
        if isinstance(answer, Success):
            head = answer.unwrap()
            if await apply_head(node, head):
                node.submit(HeadSeen(clock.now(), head.version, head.revision))
                return
        await back_off.pause()


def _resource(stored: StoredObject) -> Resource:
    """Parse a resource.

    :raises ValueError: if it is malformed; the message names the field.
    """
    raw = stored.read_value()
    if not isinstance(raw, dict) or not isinstance(raw.get("spec"), dict):
        raise ValueError("spec: an object was expected")
    if not isinstance(raw.get("kind"), str) or not isinstance(raw.get("name"), str):
        raise ValueError("kind, name: texts were expected")
    return Resource(raw["kind"], raw["name"], raw["spec"], stored.version)


def _take_resource(known: dict[str, Resource], stored: StoredObject, logged: LoggedOnce) -> None:
    """Add or replace a resource; a malformed one is logged once, and the known one stays."""
    try:
        known[stored.name] = _resource(stored)
    except ValueError as error:
        detail = str(error)[: defaults.DETAIL_MAX]
        if logged.is_new((stored.name, detail)):
            log("object_malformed", "ERROR", kind="resource", name=stored.name, detail=detail)


async def follow_desired(node: NodeContext, epoch: int) -> None:
    """List and watch operators' resources while this node holds the lease of an epoch."""
    back_off = BackOff()
    known: dict[str, Resource] = {}
    logged = LoggedOnce()
    since = -1
    while node.state.control.acting_epoch == epoch and not node.state.stopped:
        if since < 0:
            listing = report_reachability(node, await node.platform.list_kind("resource"))
            if isinstance(listing, Failure):
                await back_off.pause()
                continue
            items = listing.unwrap().items
            names = {one.name for one in items}
            known = {name: one for name, one in known.items() if name in names}
            for one in items:
                _take_resource(known, one, logged)
            since = listing.unwrap().version
        else:
            changes = report_reachability(
                node, await node.platform.watch("resource", since, defaults.WATCH_S)
            )
            if isinstance(changes, Failure):
                # What is known stays in use: after ``PlatformTooOld`` until it is listed again,
                # else until a watch from the same version succeeds.
                since = -1 if isinstance(changes.failure(), PlatformTooOld) else since
                await back_off.pause()
                continue
            for one in changes.unwrap().items:
                if one.value is None:
                    known.pop(one.name, None)
                else:
                    _take_resource(known, one, logged)
            since = changes.unwrap().version
        back_off.reset()
        if not control_jobs.holding(node.state):
            await asyncio.sleep(defaults.LEASE_READ_S)
            continue
        node.submit(DesiredSeen(clock.now(), tuple(known.values())))


def _read_intent(stored: StoredObject) -> tuple[Intent, ...] | None:
    """Return the orders of a stored intent; None if it can't be read, which is logged."""
    try:
        rows = stored.read_value()["rows"]
        return tuple((str(row[0]), str(row[1]), str(row[2]), _read_gb(row[3])) for row in rows)
    except MALFORMED as error:
        detail = repr(error)[: defaults.DETAIL_MAX]
        log("object_malformed", "ERROR", kind="intent", name=stored.name, detail=detail)
        return None


def _read_gb(raw: t.Any) -> float:
    gb = float(raw)
    if not 0.0 <= gb <= MEMORY_MAX_GB:
        raise ValueError(f"a number from 0 to {MEMORY_MAX_GB:g} was expected")
    return gb


async def read_intents(node: NodeContext, epoch: int) -> None:
    """Read all stored intents, of earlier lease holders too, and keep their versions."""
    back_off = BackOff()
    while node.state.control.acting_epoch == epoch:
        answer = report_reachability(node, await node.platform.list_kind("intent"))
        if isinstance(answer, Success):
            found = answer.unwrap().items
            node.intent_versions = {one.name: one.version for one in found}
            intents = {one.name: _read_intent(one) for one in found}
            if None in intents.values():
                # What can't be read may be any order: it has arrived, or can't any more, by then.
                await asyncio.sleep(core_defaults.LATE_ORDER_BOUND_S)
                if node.state.control.acting_epoch != epoch:
                    return
            rows = tuple((name, orders) for name, orders in intents.items() if orders is not None)
            node.submit(IntentsSeen(clock.now(), rows))
            return
        await back_off.pause()


def make_box_list_event(node: NodeContext, rows: t.Any) -> BoxListReceived:
    """Build the event that a box list was received."""
    return BoxListReceived(clock.now(), tuple(rows))
