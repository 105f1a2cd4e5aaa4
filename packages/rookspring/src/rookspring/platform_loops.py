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
from rookspring_core.events import BoxListReceived
from rookspring_core.events import DesiredSeen
from rookspring_core.events import HeadSeen
from rookspring_core.events import IntentsSeen
from rookspring_core.events import LeaseSeen
from rookspring_core.events import PlatformAnswered

from . import clock
from . import defaults
from .back_off import BackOff
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .exceptions import PlatformUnreachable
from .logs import log
from .node_context import NodeContext
from .platform import StoredObject
from .published import HEAD
from .published import KIND
from .published import Head
from .published import parse_head

A = t.TypeVar("A")


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
    while True:
        if not node.state.membership.is_relay():
            await asyncio.sleep(defaults.LEASE_READ_S)
            continue
        match report_reachability(node, await node.platform.get("lease", "control")):
            case Success(StoredObject(_, version, value)):
                node.submit(
                    LeaseSeen(
                        clock.now(),
                        version,
                        str(value["holder"]),
                        int(value["epoch"]),
                        str(value["nonce"]),
                    )
                )
            case Failure(PlatformMissing()):
                node.submit(LeaseSeen(clock.now(), 0, "", 0, ""))
            case _:
                await back_off.pause()
                continue
        back_off.reset()
        await asyncio.sleep(defaults.LEASE_READ_S * (0.8 + 0.4 * random.random()))


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
        back_off.reset()
        found = changes.unwrap()
        heads = [one for one in found.items if one.name == HEAD and one.value is not None]
        if heads and not await apply_head(node, parse_head(heads[-1].version, heads[-1].value)):
            since = -1
            continue
        since = found.version


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
    raw = stored.value
    return Resource(str(raw["kind"]), str(raw["name"]), dict(raw["spec"]), stored.version)


async def follow_desired(node: NodeContext, epoch: int) -> None:
    """List and watch operators' resources while this node holds the lease of an epoch."""
    back_off = BackOff()
    known: dict[str, Resource] = {}
    since = -1
    while node.state.control.acting_epoch == epoch and not node.state.stopped:
        if since < 0:
            listing = report_reachability(node, await node.platform.list_kind("resource"))
            if isinstance(listing, Failure):
                await back_off.pause()
                continue
            known = {one.name: _resource(one) for one in listing.unwrap().items}
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
                    known[one.name] = _resource(one)
            since = changes.unwrap().version
        back_off.reset()
        if not control_jobs.holding(node.state):
            await asyncio.sleep(defaults.LEASE_READ_S)
            continue
        node.submit(DesiredSeen(clock.now(), tuple(known.values())))


async def read_intents(node: NodeContext, epoch: int) -> None:
    """Read all stored intents, of earlier lease holders too, and keep their versions."""
    back_off = BackOff()
    while node.state.control.acting_epoch == epoch:
        answer = report_reachability(node, await node.platform.list_kind("intent"))
        if isinstance(answer, Success):
            found = answer.unwrap().items
            node.intent_versions = {one.name: one.version for one in found}
            intents = tuple(
                (
                    one.name,
                    tuple((str(row[0]), str(row[1]), str(row[2]), float(row[3])) for row in rows),
                )
                for one in found
                for rows in [one.value["rows"]]
            )
            node.submit(IntentsSeen(clock.now(), intents))
            return
        await back_off.pause()


def make_box_list_event(node: NodeContext, rows: t.Any) -> BoxListReceived:
    """Build the event that a box list was received."""
    return BoxListReceived(clock.now(), tuple(rows))
