"""Relay nodes of a whole deployment in one process, on a virtual clock, without sockets.

Tests and experiments use it to see who knows what, and when, at sizes of hundreds of
nodes. The reducer and what passes between nodes are the real ones; links, the store's
list of endpoints and time are stand-ins. Faults are those of nodes and of ways between
them: a node is killed, frozen, cut off from others or from the store.
"""

import asyncio
import collections
import contextlib
import heapq
import itertools
import time
import typing as t
from unittest import mock

import msgpack

from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import defaults as core_defaults
from rookspring_core import reduce
from rookspring_core.effects import Announce
from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_core.events import Event
from rookspring_core.events import PeerLost
from rookspring_core.events import PeerUnreached
from rookspring_core.events import StoreRead
from rookspring_core.events import Ticked
from rookspring_core.retries import WindowTerms

from . import defaults
from . import relay_beats
from . import relay_members
from . import relay_news
from . import relay_peers
from .peers import Link
from .peers import decode
from .peers import encode
from .platform import Stored
from .reach import Reach
from .relay_lists import EndpointList
from .relay_peers import RelayPeers
from .relay_settings import RelaySettings

# The way between two nodes, in seconds.
WAY_S = 0.001
# The first nodes are told to all as seeds.
SEEDS = 3
# The start of the virtual clock: a node that has just started is to be told from time 0.
EPOCH_S = 1000.0


class FleetPlan(t.NamedTuple):
    """How many nodes and endpoints there are, over how many data centres."""

    nodes: int
    data_centres: int = 5
    endpoints: int = 8
    retry_slack: float = 430.0


class FleetLink:
    """One end of a link; what it sends comes to the other end a moment later."""

    def __init__(self, fleet: "Fleet", owner: "FleetNode", name: str) -> None:
        self._fleet = fleet
        self._owner = owner
        self.name = name
        self.closed = False
        self.sent_bytes = 0

    def send(self, item: t.Any) -> None:
        """Send a message."""
        self.send_encoded(encode(item))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that is encoded already."""
        if self.closed:
            return
        self._owner.sent_bytes += len(data)
        self._owner.sent += 1
        if self._fleet.nodes[self.name].place != self._owner.place:
            self._owner.far_bytes += len(data)
        self._fleet.deliver(self._owner.name, self.name, data)

    def close(self) -> None:
        """End the link at both ends."""
        self._fleet.unlink(self._owner.name, self.name)


class FleetLoop:
    """What parts of a node use of an event loop: a call after a while."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet

    def call_later(self, delay_s: float, call: t.Callable[[], None]) -> None:
        """Call something after a while of the virtual clock."""
        self._fleet.at(self._fleet.now + delay_s, call)


class FleetDialect:
    """Reads entries of endpoints as the fleet's store writes them."""

    def table_name(self) -> str:
        """Name the configuration; the fleet has none."""
        return "none"

    def read_endpoint(self, row: Stored, now: float) -> tuple[BoxListed, EndpointReported]:
        """Read an endpoint's entry."""
        state, model = row.value
        listed = BoxListed(row.name, f"at-{row.name}", "z0", "runner", state, "llm")
        report = EndpointReported(
            now,
            row.name,
            row.name,
            0.0,
            12,
            0,
            0,
            0.0,
            0.0,
            0.0,
            resident=((model, "1"),),
            leaving=state == "leaving",
            order_token=(0, -1),
        )
        return listed, report


class FleetNode:
    """One node: its reducer, its links and the parts that speak over them."""

    def __init__(self, fleet: "Fleet", number: int, place: str, start: int) -> None:
        self.fleet = fleet
        self.name = f"n{number}"
        self.place = place
        self.alive = True
        self.frozen = False
        self.sent = 0
        self.sent_bytes = 0
        self.far_bytes = 0
        self.store_calls = 0
        self.missing_since: dict[str, float] = {}
        identity = Identity(self.name, f"{self.name}#{start}", place, f"at-{self.name}", "c")
        self.state = NodeState(identity, fleet.now)
        self.state.relaying = True
        # One in ten is strong, so that relays are chosen by strength.
        self.state.strength = 2.0 if number % 10 == 0 else 0.5
        self.state.window_terms = WindowTerms(
            0.2, fleet.plan.retry_slack, 10.0, defaults.RELAY_NODES_MIN
        )
        self.settings = _settings(self.name, place)
        self.dialect = FleetDialect()
        self.loop = FleetLoop(fleet)
        self.listed = False
        self.lease_news = asyncio.Event()
        self.spawn: t.Any = None
        context = t.cast(t.Any, self)
        self.peers = RelayPeers(context)
        self.reach = Reach(context)
        self.list = EndpointList(context, self.peers, self.reach)
        self.peers.greet = lambda link: relay_beats.greet(self.peers, link)
        self.share = lambda report: relay_news.share_report(self.peers, report)
        self.share_prompts = relay_news.PromptSums(self.peers).note
        self.give_lists = self.list.give
        # Whether its row stands in the store's list of nodes.
        self.written = False
        self._next_read = -1e9
        self._listed_at = -1e9
        self._version = -1

    def submit(self, event: Event) -> None:
        """Take an event, and perform what concerns other nodes."""
        for effect in reduce(self.state, event):
            if isinstance(effect, Announce):
                relay_beats.announce(self.peers, effect.topic)

    def take_listed(self, rows: tuple[Stored, ...], whole: bool, source: str) -> None:
        """Take a list from another node."""
        self.list.take_told(rows, whole and source == self.state.topology.followed)

    def read_store(self) -> None:
        """Read the store where this node watches it and is due."""
        watches = self.state.topology.watching or self._version < 0
        if not watches or self.fleet.now < self._next_read:
            return
        if self.fleet.now - self._listed_at > defaults.NODE_LIST_S:
            self.store_calls += 1
            self._listed_at = self.fleet.now
            self.fleet.list_nodes(self)
        self.store_calls += 1
        if not self.fleet.reaches_store(self.name):
            self._next_read = self.fleet.now + defaults.RELAY_BACKOFF_MAX_S
            return
        self._next_read = self.fleet.now + defaults.FEW_FOLD_S + defaults.FEW_WATCH_S
        self.submit(StoreRead(self.fleet.now))
        rows, self._version, whole = self.fleet.store_rows(self._version)
        if rows or whole:
            self.list.take(rows, whole)


def _settings(name: str, place: str) -> RelaySettings:
    return RelaySettings(
        name, place, "c", "r", f"at-{name}", "", 0, (), "store", 0.2, 430.0, 10.0, 8.0, 1.0
    )


class Fleet:
    """All nodes, the ways between them, the store's list of endpoints, and the clock."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.now = EPOCH_S
        self.nodes: dict[str, FleetNode] = {}
        self.cut: set[tuple[str, str]] = set()
        self.cut_from_store: set[str] = set()
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._starts: collections.Counter[int] = collections.Counter()
        self._rows: dict[str, Stored] = {}
        self._revision = 1
        for number in range(plan.endpoints):
            self.write_entry(f"e{number}", "live", "m")
        with self.running():
            for number in range(plan.nodes):
                self.start(number)

    @contextlib.contextmanager
    def running(self) -> t.Iterator[None]:
        """Have the parts of the nodes read the virtual clock."""
        with mock.patch.object(time, "monotonic", lambda: self.now):
            yield

    # The store.

    def write_entry(self, name: str, state: str, model: str) -> None:
        """Write an endpoint's entry."""
        self._revision += 1
        self._rows[name] = Stored(name, self._revision, [state, model])

    def remove_entry(self, name: str) -> None:
        """Take an endpoint's entry away."""
        self._revision += 1
        self._rows[name] = Stored(name, self._revision, None)

    def store_rows(self, since: int) -> tuple[tuple[Stored, ...], int, bool]:
        """Give what changed since a revision, the revision now, and whether that is all."""
        if since < 0:
            rows = tuple(row for row in self._rows.values() if row.value is not None)
            return rows, self._revision, True
        rows = tuple(row for row in self._rows.values() if row.version > since)
        return rows, self._revision, False

    def list_nodes(self, node: "FleetNode") -> None:
        """Have a node read the store's list of nodes, which those that ended stand in yet."""
        node.peers.learn(
            (one.name, f"at-{one.name}", one.place, one.state.strength)
            for one in self.nodes.values()
            if one.written
        )
        node.written = True

    def reaches_store(self, name: str) -> bool:
        """Say whether a node reaches the store."""
        return name not in self.cut_from_store

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

    def drain(self, name: str) -> None:
        """Have a node leave as planned."""
        node = self.nodes[name]
        node.state.draining_since = self.now
        relay_beats.send_beats(node.peers)

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
            one.peers.introduce(one.peers.server.links[end.name])

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
            node.peers.told.pop(link, None)
            node.peers.followers.discard(end)
            if node.alive:
                node.submit(PeerLost(self.now, end))

    def deliver(self, name: str, other: str, data: bytes) -> None:
        """Bring a message to the other end of a link."""

        def come() -> None:
            if not self._open(name, other):
                return
            node = self.nodes[other]
            link = node.peers.server.links.get(name)
            if link is None:
                return
            item = decode(msgpack.unpackb(data, raw=False))
            receiver = relay_peers.RECEIVERS.get(type(item))
            if receiver is not None:
                receiver(node.peers, link, item)

        self.at(self.now + WAY_S, come)

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

    def _beat(self, node: FleetNode) -> None:
        if not node.alive:
            return
        self.at(self.now + defaults.RELAY_HEARTBEAT_S, lambda: self._beat(node))
        if node.frozen:
            return
        relay_beats.send_beats(node.peers)
        relay_members.send_members(node.peers)
        topology = node.state.topology
        for name in topology.dialled():
            if name in node.peers.server.links or name not in self.nodes:
                node.missing_since.pop(name, None)
                continue
            since = node.missing_since.setdefault(name, self.now)
            first = node.name < name or not topology.both_dial(name)
            if first or self.now - since > 2 * defaults.HEARTBEAT_S:
                self.link(node.name, name)
        if topology.needs_seeds():
            self._dial_seeds(node)
        node.peers.drop_idle()

    def _dial_seeds(self, node: FleetNode) -> None:
        for name in (f"n{number}" for number in range(SEEDS)):
            if name != node.name and name not in node.peers.server.links:
                self.link(node.name, name)

    # What is asked of it.

    def live(self) -> list[FleetNode]:
        """Give the nodes that run."""
        return [node for node in self.nodes.values() if node.alive and not node.frozen]
