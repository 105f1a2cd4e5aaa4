"""Relay nodes of a whole deployment in one process, on a virtual clock, without sockets.

Tests and experiments use it to see who knows what, and when, at sizes of hundreds of
nodes. The reducer and what passes between nodes are the real ones; links, the store's
list of endpoints and time are stand-ins. Faults are those of nodes and of ways between
them: a node is killed, frozen, cut off from others or from the store.
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
from rookspring_core.events import PeerLost
from rookspring_core.events import PeerUnreached
from rookspring_core.events import RequestArrived
from rookspring_core.events import Ticked
from rookspring_core.freshness import NEVER
from rookspring_core.organisations import Directory

from .fleet_node import FleetLink
from .fleet_node import FleetNode
from .fleet_node import write_table
from .fleet_runners import FleetRunners
from .fleet_store import ENDPOINTS
from .fleet_store import NODES
from .fleet_store import TABLE
from .fleet_store import FleetCopy
from .fleet_store import FleetStore

# The way between two nodes, in seconds.
WAY_S = 0.001
# The first nodes are told to all as seeds.
SEEDS = 3
# Ticks from one look at how new the configuration is to the next.
PROOF_TICKS = round(defaults.PROOF_REQUEST_INTERVAL_S / core_defaults.TICK_S)
# The node that holds the lease, and ticks from one renewal to the next.
HOLDER = "n0"
RENEW_TICKS = round(core_defaults.RELAY_LEASE_RENEW_S / core_defaults.TICK_S)
# Endpoints and the operator write again what a copy lacks, spread over so long; the entry of an
# endpoint that is gone lapses after so long, in seconds.
AGAIN_S = 1.2
LAPSE_S = 3.6
# The start of the virtual clock: a node that has just started is to be told from time 0.
EPOCH_S = 1000.0


class FleetPlan(t.NamedTuple):
    """How many nodes and endpoints there are, over how many data centres.

    :param directory: organisations from the start on; None where requests need no keys.
    :param elects: nodes contend for the lease; without, nobody holds it.
    """

    nodes: int
    data_centres: int = 5
    endpoints: int = 8
    retry_slack: float = 430.0
    proof_s: float = 5.0
    allotments: WindowTolerance = WindowTolerance()
    directory: Directory | None = None
    elects: bool = False


class Act(t.NamedTuple):
    """A moment at which a node might give orders, with its fence."""

    at: float
    node: str
    fence: int


class Fleet:
    """All nodes, the ways between them, the store's list of endpoints, and the clock."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.now = EPOCH_S
        self.nodes: dict[str, FleetNode] = {}
        self.cut: set[tuple[str, str]] = set()
        self.cut_from_store: set[str] = set()
        # Time to an answer of the store, and whether watches of it hear nothing.
        self.store_s = 0.004
        self.deaf = False
        # Time on the way between two nodes, where it is not the usual.
        self.ways: dict[tuple[str, str], float] = {}
        # What the lease holder wrote last of organisations' use; node 0 holds the lease.
        self.used: dict[str, float] = {}
        self.verdicts: list[t.Any] = []
        # Each moment at which a node might give orders.
        self.acts: list[Act] = []
        self.store = FleetStore()
        # What endpoints and the operator would write again.
        self._entries: dict[str, list[t.Any]] = {}
        self._table_value = write_table(1, plan.directory)
        self.store.put(TABLE, "main", self._table_value)
        # Requests that ran, with when they were sent and when they began; and refusals.
        self.runs: list[tuple[float, float, RequestArrived]] = []
        self.refusals: list[tuple[float, Refuse]] = []
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._starts: collections.Counter[int] = collections.Counter()
        self.runners = FleetRunners(self)
        for number in range(plan.endpoints):
            self.write_entry(f"e{number}", "live", "m", 1)
        with self.running():
            for number in range(plan.nodes):
                self.start(number)

    @contextlib.contextmanager
    def running(self) -> t.Iterator[None]:
        """Have the parts of the nodes read the virtual clock."""
        with mock.patch.object(clock, "now", lambda: self.now):
            yield

    # The store.

    @property
    def table(self) -> StoredObject:
        """The configuration as the store holds it."""
        found = self.store.get(TABLE, "main")
        assert found is not None
        return found

    def write_entry(self, name: str, state: str, model: str, born: int = 0) -> None:
        """Write an endpoint's entry; ``born`` tells its start, if it is told."""
        self._entries[name] = [state, model, born]
        if not self.store.away:
            self.store.put(ENDPOINTS, name, self._entries[name])

    def entry(self, name: str) -> list[t.Any]:
        """Give what a live endpoint writes of itself."""
        return self._entries[name]

    def remove_entry(self, name: str) -> None:
        """Take an endpoint's entry away."""
        self._entries.pop(name, None)
        self.store.put(ENDPOINTS, name, None)

    def write_table(self, directory: Directory | None) -> int:
        """Write a configuration; gives its version."""
        version = int(self._table_value[0]) + 1
        self._table_value = write_table(version, directory)
        self.store.put(TABLE, "main", self._table_value)
        return version

    def come_back(self, copy: FleetCopy) -> None:
        """Have the store come back from a copy; endpoints and the operator write theirs again."""
        self.store.come_back(copy)
        names = sorted({*self._entries, *(row.name for row in self.store.rows(ENDPOINTS))})
        for place, name in enumerate(names):
            again_s = AGAIN_S * (place + 1) / len(names) if name in self._entries else LAPSE_S
            self.at(self.now + again_s, functools.partial(self._write_again, name))
        self.at(self.now + AGAIN_S, self._write_table_again)

    def _write_again(self, name: str) -> None:
        """Have an endpoint write its entry where it is not so, or one that is gone lapse."""
        found = self.store.get(ENDPOINTS, name)
        value = self._entries.get(name)
        if (found.value if found else None) != value:
            self.store.put(ENDPOINTS, name, value)

    def _write_table_again(self) -> None:
        if self.table.value != self._table_value:
            self.store.put(TABLE, "main", self._table_value)

    def watch_table(self, node: FleetNode) -> None:
        """Have a node hear of the configuration, unless watches are deaf."""
        if not self.deaf or node.state.table is None:
            node.peers.take_stored(self.table)

    def store_rows(self, since: int) -> tuple[tuple[StoredObject, ...], int, bool]:
        """Give what changed since a revision, the revision now, and whether that is all.

        Where the store has no such revision it says so, and is asked for all.
        """
        rows = self.store.changes(ENDPOINTS, since) if since >= 0 else None
        whole = rows is None
        found = self.store.rows(ENDPOINTS) if rows is None else rows
        return found, self.store.revision, whole

    def list_nodes(self, node: "FleetNode") -> None:
        """Have a node read the store's list of nodes, in which those that ended stand yet."""
        listed = (self.nodes[row.name] for row in self.store.rows(NODES))
        node.peers.add_nodes(
            (one.name, f"at-{one.name}", one.place, one.state.capacity) for one in listed
        )
        if not node.written:
            node.written = True
            self.store.put(NODES, node.name, node.place)

    def reaches_store(self, name: str) -> bool:
        """Say whether a node reaches the store."""
        return not self.store.away and name not in self.cut_from_store

    # Nodes and links.

    def start(self, number: int) -> FleetNode:
        """Start a node, or start it again in another process."""
        self._starts[number] += 1
        place = f"z{number % self.plan.data_centres}"
        node = FleetNode(self, number, place, self._starts[number])
        self.nodes[node.name] = node
        self.at(self.now, lambda: self._tick(node))
        self.at(self.now + number % 7 * 0.03, lambda: self._beat(node))
        return node

    def kill(self, name: str) -> None:
        """End a node's process; its links end as well."""
        node = self.nodes[name]
        node.alive = False
        for other in list(node.peers.server.links):
            self.unlink(name, other)

    def thaw(self, name: str) -> None:
        """Let a frozen node go on, with what came in the meantime first."""
        node = self.nodes[name]
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        with self.running():
            for take in inbox:
                take()

    def hand(self, node: FleetNode, take: t.Callable[[], None]) -> None:
        """Have a node take something, now or once it goes on."""
        if node.frozen:
            node.inbox.append(take)
        elif node.alive:
            take()

    def drain(self, name: str) -> None:
        """Have a node leave as planned."""
        node = self.nodes[name]
        node.state.draining_since = self.now
        relay_heartbeats.send_heartbeats(node.peers)

    def link(self, name: str, other: str) -> None:
        """Link two nodes, if each can reach the other."""
        first, second = self.nodes[name], self.nodes[other]
        if not self._open(name, other) or not self._open(other, name):
            first.submit(PeerUnreached(self.now, other))
            return
        for one, end in ((first, second), (second, first)):
            link = t.cast(Link, FleetLink(self, one, end.name))
            one.peers.server.links[end.name] = link
        for one, end in ((first, second), (second, first)):
            one.peers.send_first_messages(one.peers.server.links[end.name])

    def _open(self, name: str, other: str) -> bool:
        there = self.nodes[other]
        return there.alive and not there.frozen and (name, other) not in self.cut

    def unlink(self, name: str, other: str) -> None:
        """End the link of two nodes; each is told."""
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
        """Bring a message to the other end of a link."""

        node = self.nodes[other]

        def take() -> None:
            link = node.peers.server.links.get(name)
            if link is None:
                return
            item = decode(msgpack.unpackb(data, raw=False))
            receiver = relay_peers.RECEIVERS.get(type(item))
            if receiver is not None:
                receiver(node.peers, link, item)

        def come() -> None:
            if node.alive and (name, other) not in self.cut:
                self.hand(node, take)

        self.at(self.now + self.ways.get((name, other), WAY_S), come)

    # Time.

    def at(self, moment: float, call: t.Callable[[], None]) -> None:
        """Have something happen at a moment."""
        heapq.heappush(self._queue, (moment, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        with self.running():
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
            node.keep_proved()

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

    # What is asked of it.

    def note_act(self, node: str, fence: int) -> None:
        """Note that a node might give orders now."""
        self.acts.append(Act(self.now, node, fence))

    def live(self) -> list[FleetNode]:
        """Give the nodes that run."""
        return [node for node in self.nodes.values() if node.alive and not node.frozen]
