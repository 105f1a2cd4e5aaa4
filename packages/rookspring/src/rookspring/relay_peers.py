"""Links of a relay node to other nodes, its followers, and the exchange of route tables.

Other messages on the links are handled by :mod:`relay_heartbeats` (heartbeats and sums),
:mod:`relay_members` (the membership), :mod:`relay_updates` (changes at endpoints) and
:mod:`relay_endpoint_list` (the store's list of endpoints).
"""

import functools
import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import PeerLost
from rookspring_core.events import PeerUnreached
from rookspring_core.events import RouteTableSeen

from . import clock
from . import defaults
from . import packing
from .bounds import quote_text
from .dialling import Dialler
from .dialling import LinkPlan
from .logs import LoggedOnce
from .logs import log
from .message_rows import NodeRow
from .messages import Nodes
from .messages import TableMessage
from .messages import TableRequest
from .messages import encode
from .node_rows import make_row
from .node_rows import read_row
from .peers import Link
from .peers import PeerServer
from .peers import handle_messages
from .platform import StoredObject
from .relay_context import RelayContext

Receiver = t.Callable[["RelayPeers", Link, t.Any], None]
RECEIVERS: dict[type[t.Any], Receiver] = {}
R = t.TypeVar("R", bound=t.Callable[..., None])


def receives(message_type: type[t.Any]) -> t.Callable[[R], R]:
    """Register the handler of a message type."""

    def register(function: R) -> R:
        RECEIVERS[message_type] = function
        return function

    return register


class SentMembers(t.NamedTuple):
    """Which changes of the membership a linked node was sent.

    :param position: up to which change.
    :param relay: whether it got them as a relay.
    """

    position: int
    relay: bool


class RelayPeers:
    """Links to the other nodes, and the configuration that is sent to them."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        identity = context.state.identity
        # The platform provides no shared secret. The key is derived from the store's address,
        # which is the same on all nodes of a deployment; it only excludes other deployments.
        key = f"rookspring-relay/{context.settings.store}"
        self.server = PeerServer(
            identity.name,
            identity.incarnation,
            key,
            self._serve,
            None,
            defaults.RELAY_LINK_SILENT_S,
            context.budget,
        )
        self.dialler = Dialler(
            identity.name,
            self._wanted,
            self.server,
            context.settings.seeds,
            context.spawn,
            self._handle_unreached,
        )
        self.known_nodes: dict[str, BoxListed] = {}
        # Called in this order for each new link; set by the node that assembles the parts.
        self.link_callbacks: tuple[t.Callable[[RelayPeers, Link], None], ...] = ()
        # Which changes of the membership each linked node was sent.
        self.sent_members: dict[Link, SentMembers] = {}
        # Since when a linked node's merged sets have differed; see :mod:`relay_merged`.
        self.differs_since: dict[Link, float] = {}
        # Names of the nodes that follow this one.
        self.followers: set[str] = set()
        # The applied configuration, in the platform's form and as nodes send it to each other.
        self._table_value: t.Any = None
        self._packed_table = b""
        # The store's position of the object last read, and the version of its table.
        self._read: tuple[tuple[int, int], int] = ((0, 0), 0)
        # What is wrong with the configuration that was read last, as it was logged; or empty.
        self._table_fault = ""
        self._table_requested_at = -1e9
        self._idle_since: dict[str, float] = {}
        self._logged = LoggedOnce()

    async def start(self) -> None:
        """Listen for other nodes."""
        host, _, port = self.context.settings.peer_address.rpartition(":")
        await self.server.listen(host, int(port))

    async def _serve(self, link: Link) -> None:
        self.send_first_messages(link)
        try:
            await handle_messages(link, RECEIVERS, self)
        finally:
            self.sent_members.pop(link, None)
            self.differs_since.pop(link, None)
            if self.server.links.get(link.name) is link:
                self.followers.discard(link.name)
                self.context.submit(PeerLost(clock.now(), link.name))

    def send_first_messages(self, link: Link) -> None:
        """Send a newly linked node the relays, or in a mesh all nodes, and call the callbacks."""
        link.send(Nodes([NodeRow(*row) for row in self._rows()]))
        for callback in self.link_callbacks:
            callback(self, link)

    def _rows(self) -> t.Iterator[tuple[str, str, str, float]]:
        """Yield this node and the relays, which a new node needs first; in a mesh all nodes."""
        state = self.context.state
        identity = state.identity
        yield identity.name, identity.address, identity.data_centre, state.capacity
        for name, peer in state.membership.peers.items():
            heartbeat = peer.heartbeat
            if heartbeat.relay or state.topology.mesh:
                yield name, heartbeat.address, heartbeat.data_centre, heartbeat.capacity

    def add_nodes(self, rows: t.Iterable[tuple[str, str, str, float]]) -> None:
        """Add or update known nodes; a malformed row is logged once and ignored."""
        self._add(self._try_row(row[0], functools.partial(make_row, *row)) for row in rows)

    def take_node_rows(self, rows: t.Iterable[StoredObject]) -> None:
        """Add or update the nodes of the store's rows, as :meth:`add_nodes`."""
        self._add(self._try_row(row.name, functools.partial(read_row, row)) for row in rows)

    def _try_row(self, name: str, read: t.Callable[[], BoxListed]) -> BoxListed | None:
        """Read a row; None if it is this node's own, or malformed."""
        if name == self.context.state.identity.name:
            return None
        try:
            return read()
        except ValueError as error:
            quoted = quote_text(name, defaults.DETAIL_MAX)
            detail = str(error)[: defaults.DETAIL_MAX]
            if self._logged.is_new((quoted, detail)):
                log("node_malformed", "ERROR", name=quoted, detail=detail)
            return None

    def _add(self, rows: t.Iterable[BoxListed | None]) -> None:
        added = False
        for listed in rows:
            if listed is not None:
                added = added or self.known_nodes.get(listed.name) != listed
                self.known_nodes[listed.name] = listed
        if added:
            self.context.state.membership.take_list(self.known_nodes.values())

    def _wanted(self) -> LinkPlan:
        state = self.context.state
        topology = state.topology
        addresses = topology.addresses_to_dial()
        waits = {name for name in addresses if topology.both_dial(name)}
        linked = {
            peer.heartbeat.address
            for name, peer in state.membership.peers.items()
            if name in self.server.links
        }
        return LinkPlan(addresses, waits, linked, topology.needs_seeds())

    def _handle_unreached(self, name: str) -> None:
        self.context.submit(PeerUnreached(clock.now(), name))

    def close_idle_links(self) -> None:
        """Close links that neither end has needed for ``IDLE_LINK_S``."""
        now = clock.now()
        topology = self.context.state.topology
        for name, link in list(self.server.links.items()):
            if topology.keeps_link(name):
                self._idle_since.pop(name, None)
            elif now - self._idle_since.setdefault(name, now) > defaults.IDLE_LINK_S:
                del self._idle_since[name]
                log("peer_dropped", peer=name, links=len(self.server.links))
                link.close()

    def broadcast(self, item: t.Any, sender: str = "") -> None:
        """Send a message to all nodes, to each by one path.

        Outside a mesh a leaf sends it to the node that it follows, and relays forward it to
        each other and to their followers.

        :param sender: the node that it was received from; empty for this node's own message.
        """
        data = encode(item)
        for name in self._next_hops(sender):
            link = self.server.links.get(name)
            if link is not None:
                link.send_encoded(data)

    def _next_hops(self, sender: str) -> list[str]:
        topology = self.context.state.topology
        links = self.server.links
        if topology.mesh:
            return [] if sender else list(links)
        if not topology.relay:
            followed = topology.followed
            return [] if sender else [followed] if followed else list(links)
        peers = self.context.state.membership.peers
        relays = {name for name in links if name in peers and peers[name].heartbeat.relay}
        names = self.followers - relays
        if sender not in relays:
            names |= relays
        return [name for name in names if name != sender]

    def find_holder(self) -> str:
        """Return the node that announced the newest epoch of the lease; empty if none did."""
        peers = self.context.state.membership.peers
        epoch, name = max(
            ((peer.heartbeat.lease_epoch, name) for name, peer in peers.items()), default=(0, "")
        )
        return name if epoch else ""

    def take_stored(self, stored: StoredObject) -> int:
        """Parse the configuration as read from the store; see :meth:`take_table`."""
        position, version = self._read
        if position != stored.position or not version:
            version = self.take_table(stored, "store")
            self._read = (stored.position, version)
        return version

    def take_table(self, stored: StoredObject, source: str, packed_bytes: int = 0) -> int:
        """Parse a configuration, and apply it if it is newer.

        :param packed_bytes: its size as another node sent it, for the log.
        :return: its version; 0 if it is malformed or contains no table.
        """
        try:
            table = self.context.dialect.read_table(stored)
        except ValueError as error:
            detail = str(error)[: defaults.DETAIL_MAX]
            if detail != self._table_fault:
                log("table_malformed", "ERROR", source=source, detail=detail)
            self._table_fault = detail
            return 0
        if table is None:
            return 0
        self._table_fault = ""
        state = self.context.state
        if table.version > state.revision:
            self._table_value = stored.value
            self._packed_table = b""
            log(
                "table_applied",
                version=table.version,
                before=state.revision,
                source=source,
                routes=sum(len(routes) for routes in table.hosts.values()),
                packed_bytes=packed_bytes,
            )
            self.context.submit(RouteTableSeen(clock.now(), table))
        return table.version

    def packed_table(self) -> bytes:
        """Return the applied configuration for other nodes, empty if there is none."""
        if not self._packed_table and self._table_value is not None:
            self._packed_table = packing.pack(self._table_value)
        return self._packed_table

    def request_table(self, link: Link, version: int) -> None:
        """Request a newer route table, at most once per ``CONNECT_S``."""
        now = clock.now()
        if (
            version <= self.context.state.revision
            or now - self._table_requested_at < defaults.CONNECT_S
        ):
            return
        self._table_requested_at = now
        link.send(TableRequest())


@receives(Nodes)
def handle_nodes(peers: RelayPeers, link: Link, nodes: Nodes) -> None:
    """Add the nodes that another node knows."""
    peers.add_nodes((row.name, row.address, row.data_centre, row.capacity) for row in nodes.rows)


@receives(TableRequest)
def handle_table_request(peers: RelayPeers, link: Link, wanted: TableRequest) -> None:
    """Send the applied configuration."""
    packed = peers.packed_table()
    if packed:
        link.send(TableMessage(peers.context.state.revision, packed))


@receives(TableMessage)
def handle_table(peers: RelayPeers, link: Link, given: TableMessage) -> None:
    """Apply a configuration received from another node, if it is newer."""
    value = packing.unpack(given.packed)
    stored = StoredObject(peers.context.dialect.table_name(), given.version, value)
    peers.take_table(stored, f"node {link.name}", len(given.packed))
