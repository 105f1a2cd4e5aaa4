"""The periodic tasks of each simulated node: ticks, platform reads, heartbeats and polls."""

import typing as t

from rookspring_core.cluster import inflight_rows
from rookspring_core.effects import Announce
from rookspring_core.events import BoxListReceived
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import PlatformAnswered
from rookspring_core.events import ReportMissed
from rookspring_core.events import RevisionSeen
from rookspring_core.events import Ticked

from .effect_registry import handles_effect
from .effect_registry import unpack
from .request_effects import make_report

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World

TICK_S = 0.1


def _reschedule(
    world: "World", node: "VirtualNode", period: float, loop: t.Callable[..., None]
) -> None:
    if node.alive:
        world.clock.call(period, loop, world, node)


def _tick(world: "World", node: "VirtualNode") -> None:
    if not node.paused:
        node.submit(Ticked(world.clock.now))
    _reschedule(world, node, TICK_S, _tick)


def _read_boxes(world: "World", node: "VirtualNode") -> None:
    ok = _check_platform(world, node)
    if ok:
        rows = tuple(world.boxes.values())
        world.clock.call(world.list_lag_s * 0.5, node.submit, BoxListReceived(0.0, rows))
    period = 1.0 if ok else 2.0
    _reschedule(world, node, period * (0.8 + 0.4 * world.random.random()), _read_boxes)


def _check_platform(world: "World", node: "VirtualNode") -> bool:
    if node.paused:
        return False
    world.platform_calls += 1
    ok = world.reachable(node.name, "platform")
    if node.state.platform_reachable != ok or ok:
        node.submit(PlatformAnswered(world.clock.now, ok))
    return ok


def _read_lease(world: "World", node: "VirtualNode") -> None:
    if node.state.membership.is_relay() and _check_platform(world, node):
        found = world.store.objects.get(("lease", "control"))
        event = LeaseSeen(0.0, 0, "", 0, "")
        if found is not None:
            value = unpack(found.value)
            event = LeaseSeen(0.0, found.version, value["holder"], value["epoch"], value["nonce"])
        world.clock.call(world.latency_s, node.submit, event)
    _reschedule(world, node, 2.0 * (0.8 + 0.4 * world.random.random()), _read_lease)


def _follow_head(world: "World", node: "VirtualNode") -> None:
    if node.state.membership.is_relay() and _check_platform(world, node):
        send_published_revision(world, node)
    _reschedule(world, node, 0.3, _follow_head)


def send_published_revision(world: "World", node: "VirtualNode") -> None:
    """Send a node the newest published revision, if it has an older one."""
    if not world.published:
        return
    revision = max(world.published)
    if revision > node.state.catalogue.revision:
        epoch, entries = world.published[revision]
        world.clock.call(world.latency_s, node.submit, RevisionSeen(0.0, revision, epoch, entries))


def _heartbeat(world: "World", node: "VirtualNode") -> None:
    if not node.paused:
        send_heartbeat(world, node)
    _reschedule(world, node, 1.0, _heartbeat)


def send_heartbeat(world: "World", node: "VirtualNode") -> None:
    """Send a node's heartbeat to all live nodes that it can reach."""
    state = node.state
    beat = HeartbeatReceived(
        at=0.0,
        name=node.name,
        incarnation=state.identity.incarnation,
        address=node.name,
        caller_address=node.name,
        data_centre=node.data_centre,
        revision=state.catalogue.revision,
        leaving=state.leaving,
        demand=tuple(state.control.meter.rates.items()),
        team_demand=state.limits.demand(),
        inflight=inflight_rows(state),
    )
    for other in world.live_nodes():
        if other is not node and world.reachable(node.name, other.name):
            world.clock.call(world.latency_s, _receive_heartbeat, world, other, node, beat)


def _receive_heartbeat(
    world: "World", node: "VirtualNode", sender: "VirtualNode", beat: HeartbeatReceived
) -> None:
    node.submit(beat)
    if not node.state.endpoints and sender.alive and sender.state.endpoints:
        # A node that starts during a platform outage gets the box list from a peer.
        rows = tuple(world.boxes.values())
        world.clock.call(2 * world.latency_s, node.submit, BoxListReceived(0.0, rows))
    if node.alive and beat.revision > node.state.catalogue.revision and sender.alive:
        entries = sender.state.control.entries
        event = RevisionSeen(0.0, sender.state.catalogue.revision, 0, entries)
        world.clock.call(2 * world.latency_s, node.submit, event)


def _poll(world: "World", node: "VirtualNode") -> None:
    if not node.paused and node.alive:
        for view in list(node.state.endpoints.values()):
            poller = node.state.membership.poller_of(view.name, view.data_centre)
            overdue = world.clock.now - view.reported_at > 4 * world.report_interval_s + 2.0
            if poller == node.name or overdue:
                _poll_one(world, node, view.name)
    period = world.report_interval_s * (0.9 + 0.2 * world.random.random())
    _reschedule(world, node, period, _poll)


def _poll_one(world: "World", node: "VirtualNode", endpoint: str) -> None:
    if endpoint in world.crashed_engines or not world.reachable(node.name, endpoint):
        node.submit(ReportMissed(world.clock.now, endpoint))
        return
    report = make_report(world, endpoint)
    for other in world.live_nodes():
        if other is node or world.reachable(node.name, other.name):
            world.clock.call(world.latency_s, other.submit, report)


def start_loops(world: "World", node: "VirtualNode") -> None:
    """Start all periodic tasks of a node, each after a random delay."""
    for loop, first in (
        (_tick, 0.05),
        (_read_boxes, 0.0),
        (_read_lease, 0.2),
        (_follow_head, 0.1),
        (_heartbeat, 0.3),
        (_poll, 0.25),
    ):
        world.clock.call(first * world.random.random(), loop, world, node)


@handles_effect(Announce)
def _announce(world: "World", node: "VirtualNode", effect: Announce) -> None:
    send_heartbeat(world, node)
