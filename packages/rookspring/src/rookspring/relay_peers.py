"""Links of a relay node to the others, who follows whom, and route tables between them.

What is told over the links stands in :mod:`relay_beats` (heartbeats and sums),
:mod:`relay_members` (which nodes there are), :mod:`relay_news` (what happened at
endpoints) and :mod:`relay_endpoint_list` (the store's list of endpoints).
"""

import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import PeerLost
from rookspring_core.events import PeerUnreached
from rookspring_core.events import RouteTableSeen
from rookspring_core.topology import listed_node

from . import clock
from . import defaults
from .dialling import Dialler
from .dialling import Wanted
from .logs import log
from .messages import Nodes
from .messages import TableGiven
from .messages import WantTable
from .messages import encode
from .peers import Link
from .peers import PeerServer
from .platform import StoredObject
from .relay_context import RelayContext

Receiver = t.Callable[["RelayPeers", Link, t.Any], None]
RECEIVERS: dict[type[t.Any], Receiver] = {}
R = t.TypeVar("R", bound=t.Callable[..., None])


def receives(message_type: type[t.Any]) -> t.Callable[[R], R]:
    """Register the receiver of a message type."""

    def register(function: R) -> R:
        RECEIVERS[message_type] = function
        return function

    return register


class Told(t.NamedTuple):
    """What a linked node was told of the others: up to which change, and as what kind."""

    position: int
    relay: bool


class RelayPeers:
    """Links to the other nodes, and the configuration as it is passed on to them."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        identity = context.state.identity
        # The platform gives no secret to share, so the key only keeps out nodes of
        # another deployment; its store's address is the same on all nodes of one.
        key = f"rookspring-relay/{context.settings.store}"
        self.server = PeerServer(identity.name, identity.incarnation, key, self._serve, None)
        self.dialler = Dialler(
            identity.name,
            self._wanted,
            self.server,
            context.settings.seeds,
            context.spawn,
            self._unreached,
        )
        self.known: dict[str, BoxListed] = {}
        # Set by the node that wires the parts: what a node is told first, in this order.
        self.greeters: tuple[t.Callable[[RelayPeers, Link], None], ...] = ()
        # What each linked node was told of the others.
        self.told: dict[Link, Told] = {}
        # Since when a linked node knows other things than this one; see :mod:`relay_merged`.
        self.differs_since: dict[Link, float] = {}
        # Nodes that follow this one, by name.
        self.followers: set[str] = set()
        self.table_value: t.Any = None
        # Where the store stood at the object, and the version of the table read from it.
        self._read: tuple[tuple[int, int], int] = ((0, 0), 0)
        self._wanted_at = -1e9
        self._idle_since: dict[str, float] = {}

    async def start(self) -> None:
        """Listen for other nodes."""
        host, _, port = self.context.settings.peer_address.rpartition(":")
        await self.server.listen(host, int(port))

    async def _serve(self, link: Link) -> None:
        self.introduce(link)
        try:
            while True:
                item = await link.receive()
                receiver = RECEIVERS.get(type(item))
                if receiver is not None:
                    receiver(self, link, item)
        finally:
            self.told.pop(link, None)
            self.differs_since.pop(link, None)
            if self.server.links.get(link.name) is link:
                self.followers.discard(link.name)
                self.context.submit(PeerLost(clock.now(), link.name))

    def introduce(self, link: Link) -> None:
        """Tell a node that has just been linked of the others, and of this one."""
        link.send(Nodes([[*row] for row in self._rows()]))
        for greet in self.greeters:
            greet(self, link)

    def _rows(self) -> t.Iterator[tuple[str, str, str, float]]:
        """Give the relays, whom a node that has just come needs most, or all nodes."""
        state = self.context.state
        identity = state.identity
        yield identity.name, identity.address, identity.data_centre, state.capacity
        for name, peer in state.membership.peers.items():
            heard = peer.heard
            if heard.relay or state.topology.mesh:
                yield name, heard.address, heard.data_centre, heard.capacity

    def learn(self, rows: t.Iterable[tuple[str, str, str, float]]) -> None:
        """Add nodes to those that are known."""
        added = False
        for row in rows:
            listed = listed_node(*row)
            if listed.name != self.context.state.identity.name:
                added = added or self.known.get(listed.name) != listed
                self.known[listed.name] = listed
        if added:
            self.context.state.membership.take_list(self.known.values())

    def _wanted(self) -> Wanted:
        state = self.context.state
        topology = state.topology
        addresses = topology.addresses_to_dial()
        waits = {name for name in addresses if topology.both_dial(name)}
        linked = {
            peer.heard.address
            for name, peer in state.membership.peers.items()
            if name in self.server.links
        }
        return Wanted(addresses, waits, linked, topology.needs_seeds())

    def _unreached(self, name: str) -> None:
        self.context.submit(PeerUnreached(clock.now(), name))

    def drop_idle(self) -> None:
        """End links that are of use to neither end, a while after they ceased to be."""
        now = clock.now()
        topology = self.context.state.topology
        for name, link in list(self.server.links.items()):
            if topology.keeps_link(name):
                self._idle_since.pop(name, None)
            elif now - self._idle_since.setdefault(name, now) > defaults.IDLE_LINK_S:
                del self._idle_since[name]
                log("peer_dropped", peer=name, links=len(self.server.links))
                link.close()

    def spread(self, item: t.Any, sender: str = "") -> None:
        """Tell all nodes something, each by one way.

        Past a mesh it goes up to the node that this one follows; relays pass it on to
        each other and to their followers.

        :param sender: the node that it came from; empty where it is this node's own.
        """
        data = encode(item)
        for name in self._ways(sender):
            link = self.server.links.get(name)
            if link is not None:
                link.send_encoded(data)

    def _ways(self, sender: str) -> list[str]:
        topology = self.context.state.topology
        links = self.server.links
        if topology.mesh:
            return [] if sender else list(links)
        if not topology.relay:
            up = topology.followed
            return [] if sender else [up] if up else list(links)
        peers = self.context.state.membership.peers
        relays = {name for name in links if name in peers and peers[name].heard.relay}
        ways = self.followers - relays
        if sender not in relays:
            ways |= relays
        return [name for name in ways if name != sender]

    def find_holder(self) -> str:
        """Name the node that told last that it holds the lease; empty where none did."""
        peers = self.context.state.membership.peers
        epoch, name = max(
            ((peer.heard.lease_epoch, name) for name, peer in peers.items()), default=(0, "")
        )
        return name if epoch else ""

    def take_stored(self, stored: StoredObject) -> int:
        """Read the configuration as the store gave it; see :meth:`take_table`."""
        position, version = self._read
        if position != stored.position or not version:
            version = self.take_table(stored, "store")
            self._read = (stored.position, version)
        return version

    def take_table(self, stored: StoredObject, source: str) -> int:
        """Read a configuration and put it in force if it is newer.

        :return: its version, or 0 where it is malformed or is none.
        """
        try:
            table = self.context.dialect.read_table(stored)
        except (KeyError, TypeError, ValueError) as error:
            log("table_malformed", "ERROR", error=type(error).__name__, detail=error)
            return 0
        if table is None:
            return 0
        state = self.context.state
        if table.version > state.revision:
            self.table_value = stored.value
            log(
                "table_applied",
                version=table.version,
                before=state.revision,
                source=source,
                routes=sum(len(routes) for routes in table.hosts.values()),
            )
            self.context.submit(RouteTableSeen(clock.now(), table))
        return table.version

    def want_table(self, link: Link, version: int) -> None:
        """Ask a node for its newer route table, once at a time."""
        now = clock.now()
        if version <= self.context.state.revision or now - self._wanted_at < defaults.CONNECT_S:
            return
        self._wanted_at = now
        link.send(WantTable())


@receives(Nodes)
def take_nodes(peers: RelayPeers, link: Link, nodes: Nodes) -> None:
    """Take the nodes that another one knows."""
    peers.learn((str(row[0]), str(row[1]), str(row[2]), float(row[3])) for row in nodes.rows)


@receives(WantTable)
def give_table(peers: RelayPeers, link: Link, wanted: WantTable) -> None:
    """Send the configuration in force."""
    if peers.table_value is not None:
        link.send(TableGiven(peers.context.state.revision, peers.table_value))


@receives(TableGiven)
def take_given(peers: RelayPeers, link: Link, given: TableGiven) -> None:
    """Take a configuration from another node."""
    stored = StoredObject(peers.context.dialect.table_name(), given.version, given.value)
    peers.take_table(stored, f"node {link.name}")
