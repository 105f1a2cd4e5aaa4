"""Simulation of a deployment's relay nodes in one process, on a virtual clock, without sockets.

Tests and experiments use it to check which node has which information, and when, with up to
hundreds of nodes. The reducer and the messages between nodes are the real ones; links, the
platform's store and the clock are fakes. A node may be killed, frozen, or partitioned from other
nodes or from the store.
"""

import collections
import contextlib
import functools
import heapq
import itertools
import typing as t
from unittest import mock

import msgpack

from rookspring import clock
from rookspring import defaults
from rookspring import relay_heartbeats
from rookspring import relay_members
from rookspring import relay_peers
from rookspring import relay_slots
from rookspring import relay_suspects
from rookspring.messages import decode
from rookspring.peers import Link
from rookspring.platform import StoredObject
from rookspring_core import allotment_checks
from rookspring_core import defaults as core_defaults
from rookspring_core.allotments import WindowTolerance
from rookspring_core.effects import Refuse
from rookspring_core.evacuations import EvacuationList
from rookspring_core.events import PeerLost
from rookspring_core.events import PeerUnreached
from rookspring_core.events import RequestArrived
from rookspring_core.events import Ticked
from rookspring_core.freshness import NEVER
from rookspring_core.organisations import Directory

from .fleet_node import FleetLink
from .fleet_node import FleetNode
from .fleet_node import address_of
from .fleet_node import write_table
from .fleet_runners import FleetRunners
from .fleet_store import ENDPOINTS
from .fleet_store import EVACUATIONS
from .fleet_store import NODES
from .fleet_store import TABLE
from .fleet_store import FleetBackup
from .fleet_store import FleetStore

# The one-way delay of a message between two nodes, in seconds.
LINK_DELAY_S = 0.001
# The number of nodes, the first ones, that all nodes know as seeds.
SEEDS = 3
# The number of ticks between two renewals of the proof that the configuration is the newest.
PROOF_TICKS = round(defaults.PROOF_REQUEST_INTERVAL_S / core_defaults.TICK_S)
# The node that records organisations' usage and verdicts as the lease holder does, and the number
# of ticks between two lease renewals.
HOLDER = "n0"
RENEW_TICKS = round(core_defaults.RELAY_LEASE_RENEW_S / core_defaults.TICK_S)
# After a restore from a backup, endpoints and the operator rewrite what the backup lacks, spread
# over REWRITE_S; entries of endpoints that have ended lapse after LAPSE_S. Both in seconds.
REWRITE_S = 1.2
LAPSE_S = 3.6
# The start of the virtual clock; not 0, so that the start of a node differs from time 0.
EPOCH_S = 1000.0


class FleetPlan(t.NamedTuple):
    """The size and the settings of a simulated deployment.

    :param directory: the organisations in the first configuration; None if requests need no keys.
    :param elects: whether nodes compete for the lease; otherwise no node holds it.
    """

    nodes: int
    data_centres: int = 5
    endpoints: int = 8
    retry_slack: float = 430.0
    proof_s: float = 5.0
    allotments: WindowTolerance = WindowTolerance()
    directory: Directory | None = None
    elects: bool = False


class ActiveTick(t.NamedTuple):
    """A tick at which a node may send orders, with its fencing token."""

    at: float
    node: str
    fence: int


class Fleet:
    """The nodes, the links between them, the store, the endpoints and the virtual clock."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.now = EPOCH_S
        self.nodes: dict[str, FleetNode] = {}
        self.cut: set[tuple[str, str]] = set()
        self.cut_from_store: set[str] = set()
        # The latency of the store's answers in seconds; whether its watches deliver no changes.
        self.store_latency_s = 0.004
        self.watches_silent = False
        # The one-way delays, in seconds, of pairs (sender, receiver) that differ from the default.
        self.link_delays: dict[tuple[str, str], float] = {}
        # The usage of organisations and the verdicts that HOLDER recorded last.
        self.used: dict[str, float] = {}
        self.verdicts: list[t.Any] = []
        # The ticks at which some node might send orders.
        self.active_ticks: list[ActiveTick] = []
        self.store = FleetStore()
        # The entries and the configuration that endpoints and the operator rewrite after a restore.
        self._entries: dict[str, list[t.Any]] = {}
        self._table_value = write_table(1, plan.directory)
        self.store.put(TABLE, "main", self._table_value)
        # Dispatched requests, with the times of arrival and dispatch; refusals, with their time.
        self.runs: list[tuple[float, float, RequestArrived]] = []
        self.refusals: list[tuple[float, Refuse]] = []
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._starts: collections.Counter[int] = collections.Counter()
        self.runners = FleetRunners(self)
        for number in range(plan.endpoints):
            self.write_entry(f"e{number}", "live", "m", 1)
        with self.virtual_clock():
            for number in range(plan.nodes):
                self.start(number)

    @contextlib.contextmanager
    def virtual_clock(self) -> t.Iterator[None]:
        """Make the code of the nodes read the virtual clock."""
        with mock.patch.object(clock, "now", lambda: self.now):
            yield

    # The store.

    @property
    def table(self) -> StoredObject:
        """The configuration that the store holds."""
        found = self.store.get(TABLE, "main")
        assert found is not None
        return found

    def write_entry(self, name: str, state: str, model: str, started_ms: int = 0) -> None:
        """Write an endpoint's entry.

        :param started_ms: when its process started, in milliseconds; 0 if not stated.
        """
        self._entries[name] = [state, model, started_ms]
        if not self.store.unavailable:
            self.store.put(ENDPOINTS, name, self._entries[name])

    def entry(self, name: str) -> list[t.Any]:
        """Return the entry that a live endpoint writes about itself."""
        return self._entries[name]

    def remove_entry(self, name: str) -> None:
        """Delete an endpoint's entry."""
        self._entries.pop(name, None)
        self.store.put(ENDPOINTS, name, None)

    def write_table(self, directory: Directory | None) -> int:
        """Write a configuration and return its version."""
        version = int(self._table_value[0]) + 1
        self._table_value = write_table(version, directory)
        self.store.put(TABLE, "main", self._table_value)
        return version

    def restore(self, copy: FleetBackup) -> None:
        """Restore the store from a backup; afterwards, endpoints and operator rewrite theirs."""
        self.store.restore(copy)
        names = sorted({*self._entries, *(row.name for row in self.store.rows(ENDPOINTS))})
        for index, name in enumerate(names):
            delay_s = REWRITE_S * (index + 1) / len(names) if name in self._entries else LAPSE_S
            self.at(self.now + delay_s, functools.partial(self._rewrite_entry, name))
        self.at(self.now + REWRITE_S, self._rewrite_table)

    def _rewrite_entry(self, name: str) -> None:
        """Rewrite an entry that differs in the store, or delete that of an ended endpoint."""
        found = self.store.get(ENDPOINTS, name)
        value = self._entries.get(name)
        if (found.value if found else None) != value:
            self.store.put(ENDPOINTS, name, value)

    def _rewrite_table(self) -> None:
        if self.table.value != self._table_value:
            self.store.put(TABLE, "main", self._table_value)

    def watch_table(self, node: FleetNode) -> None:
        """Pass the configuration to a node, unless watches are silent and it has one already."""
        if not self.watches_silent or node.state.table is None:
            node.peers.take_stored(self.table)

    def read_evacuations(self) -> EvacuationList:
        """Return the evacuated data centres that the store lists."""
        names = frozenset(row.name for row in self.store.rows(EVACUATIONS))
        return EvacuationList(self.store.era, self.store.revision, names)

    def store_rows(self, since: int) -> tuple[tuple[StoredObject, ...], int, bool]:
        """Return the entries of endpoints that changed after a revision.

        All entries are returned if the revision is negative or newer than the store's, as after a
        restore from a backup.

        :return: the entries, the current revision, and whether these are all entries.
        """
        rows = self.store.changes(ENDPOINTS, since) if since >= 0 else None
        whole = rows is None
        found = self.store.rows(ENDPOINTS) if rows is None else rows
        return found, self.store.revision, whole

    def list_nodes(self, node: "FleetNode") -> None:
        """Have a node read the list of nodes, which keeps ended ones, and add itself once."""
        listed = (self.nodes[row.name] for row in self.store.rows(NODES))
        node.peers.add_nodes(
            (one.name, address_of(one.name), one.data_centre, one.state.capacity) for one in listed
        )
        if not node.row_written:
            node.row_written = True
            self.store.put(NODES, node.name, node.data_centre)

    def reaches_store(self, name: str) -> bool:
        """Return whether a node can reach the store."""
        return not self.store.unavailable and name not in self.cut_from_store

    # Nodes and links.

    def start(self, number: int) -> FleetNode:
        """Start a node, or restart it as a new process."""
        self._starts[number] += 1
        data_centre = f"z{number % self.plan.data_centres}"
        node = FleetNode(self, number, data_centre, self._starts[number])
        self.nodes[node.name] = node
        self.at(self.now, lambda: self._tick(node))
        self.at(self.now + number % 7 * 0.03, lambda: self._beat(node))
        return node

    def kill(self, name: str) -> None:
        """End a node's process and its links."""
        node = self.nodes[name]
        node.alive = False
        for other in list(node.peers.server.links):
            self.unlink(name, other)

    def thaw(self, name: str) -> None:
        """Resume a frozen node; it first handles what arrived in the meantime."""
        node = self.nodes[name]
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        with self.virtual_clock():
            for take in inbox:
                take()

    def run_on_node(self, node: FleetNode, take: t.Callable[[], None]) -> None:
        """Run a callback at a node: now, or once it resumes if it is frozen; never if it ended."""
        if node.frozen:
            node.inbox.append(take)
        elif node.alive:
            take()

    def drain(self, name: str) -> None:
        """Start a node's planned shutdown."""
        node = self.nodes[name]
        node.state.draining_since = self.now
        relay_heartbeats.send_heartbeats(node.peers)

    def link(self, name: str, other: str) -> None:
        """Connect two nodes, if each can reach the other."""
        first, second = self.nodes[name], self.nodes[other]
        if not self._is_reachable(name, other) or not self._is_reachable(other, name):
            first.submit(PeerUnreached(self.now, other))
            return
        for one, end in ((first, second), (second, first)):
            link = t.cast(Link, FleetLink(self, one, end.name))
            one.peers.server.links[end.name] = link
        for one, end in ((first, second), (second, first)):
            one.peers.send_first_messages(one.peers.server.links[end.name])

    def _is_reachable(self, name: str, other: str) -> bool:
        there = self.nodes[other]
        return there.alive and not there.frozen and (name, other) not in self.cut

    def unlink(self, name: str, other: str) -> None:
        """Close the link of two nodes; each that is alive gets a ``PeerLost`` event."""
        for one, end in ((name, other), (other, name)):
            node = self.nodes[one]
            link = node.peers.server.links.pop(end, None)
            if link is None:
                continue
            link.closed = True
            node.peers.sent_members.pop(link, None)
            node.peers.differs_since.pop(link, None)
            node.peers.followers.discard(end)
            if node.alive:
                node.submit(PeerLost(self.now, end))

    def deliver(self, name: str, other: str, data: bytes) -> None:
        """Deliver a message to the other end of a link, after the link's delay."""

        node = self.nodes[other]

        def handle() -> None:
            link = node.peers.server.links.get(name)
            if link is None:
                return
            item = decode(msgpack.unpackb(data, raw=False))
            receiver = relay_peers.RECEIVERS.get(type(item))
            if receiver is not None:
                receiver(node.peers, link, item)

        def arrive() -> None:
            if node.alive and (name, other) not in self.cut:
                self.run_on_node(node, handle)

        self.at(self.now + self.link_delays.get((name, other), LINK_DELAY_S), arrive)

    # Time.

    def at(self, moment: float, call: t.Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self._queue, (moment, next(self._sequence), call))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and run what is due."""
        end = self.now + seconds
        with self.virtual_clock():
            while self._queue and self._queue[0][0] <= end:
                moment, _, call = heapq.heappop(self._queue)
                self.now = max(self.now, moment)
                call()
        self.now = end

    def _tick(self, node: FleetNode) -> None:
        if not node.alive:
            return
        self.at(self.now + core_defaults.TICK_S, lambda: self._tick(node))
        if node.frozen:
            return
        node.submit(Ticked(self.now))
        node.read_store()
        node.read_lease()
        node.lease.follow()
        relay_slots.process_queues(node.peers)
        if node.name == HOLDER and node.ticks % RENEW_TICKS == RENEW_TICKS - 1:
            self.used = allotment_checks.used_shares(node.state, self.now)
            self.verdicts = relay_suspects.write_verdicts(node.state, self.now)
        node.ticks += 1
        if node.ticks % PROOF_TICKS == 0 or node.state.freshness.proved_at == NEVER:
            node.renew_proof()

    def _beat(self, node: FleetNode) -> None:
        if not node.alive:
            return
        self.at(self.now + defaults.RELAY_HEARTBEAT_S, lambda: self._beat(node))
        if node.frozen:
            return
        relay_heartbeats.send_heartbeats(node.peers)
        relay_members.send_members(node.peers)
        topology = node.state.topology
        for name in topology.addresses_to_dial():
            if name in node.peers.server.links or name not in self.nodes:
                node.missing_since.pop(name, None)
                continue
            since = node.missing_since.setdefault(name, self.now)
            first = node.name < name or not topology.both_dial(name)
            if first or self.now - since > 2 * defaults.HEARTBEAT_S:
                self.link(node.name, name)
        if topology.needs_seeds():
            self._dial_seeds(node)
        node.peers.close_idle_links()

    def _dial_seeds(self, node: FleetNode) -> None:
        for name in (f"n{number}" for number in range(SEEDS)):
            if name != node.name and name not in node.peers.server.links:
                self.link(node.name, name)

    # Records and queries.

    def record_active_tick(self, node: str, fence: int) -> None:
        """Record that a node may send orders now."""
        self.active_ticks.append(ActiveTick(self.now, node, fence))

    def live(self) -> list[FleetNode]:
        """Return the nodes that are neither ended nor frozen."""
        return [node for node in self.nodes.values() if node.alive and not node.frozen]
