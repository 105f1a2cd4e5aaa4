"""Who the other nodes are, and which of them does which shared job.

Jobs are shared by rendezvous hashing over the nodes believed live. A wrong
belief only costs a duplicate: two pollers of one endpoint, or two relays.
"""

import typing as t

from . import defaults
from .events import BoxListed
from .events import PeerHeard
from .routing import mix


class Peer:
    """Another node as last heard; times are of this node's monotonic clock."""

    __slots__ = ("heard", "heard_at")

    def __init__(self, heard: PeerHeard) -> None:
        self.heard = heard
        self.heard_at = heard.at


class Membership:
    """The live nodes by heartbeat, with the platform's box list as a late hint."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}
        self.listed: dict[str, BoxListed] = {}
        self.gone: dict[str, str] = {}
        # The most nodes that were live at once, this one included.
        self.most_nodes = 1

    def size(self) -> int:
        """Give how many other nodes are live."""
        return len(self.peers)

    def hear(self, event: PeerHeard) -> bool:
        """Take a heartbeat.

        :return: whether the node is new or came back as another incarnation.
        """
        if event.name == self.name:
            return False
        known = self.peers.get(event.name)
        if known is None and self.gone.get(event.name) == event.incarnation and event.leaving:
            return False
        fresh = known is None or known.heard.incarnation != event.incarnation
        self.peers[event.name] = Peer(event)
        self.most_nodes = max(self.most_nodes, len(self.peers) + 1)
        return fresh

    def lose(self, name: str) -> bool:
        """Forget a node whose stream ended or whose heartbeats stopped."""
        peer = self.peers.pop(name, None)
        if peer is None:
            return False
        self.gone[name] = peer.heard.incarnation
        return True

    def expire(self, now: float) -> list[str]:
        """Forget the nodes that were silent for too long, and name them."""
        late = [
            name for name, peer in self.peers.items() if now - peer.heard_at > defaults.PEER_DEAD_S
        ]
        for name in late:
            self.lose(name)
        return late

    def staying(self) -> list[str]:
        """Name the live nodes that are not leaving, this one included."""
        names = [name for name, peer in self.peers.items() if not peer.heard.leaving]
        return sorted([*names, self.name])

    def _staying_in(self, data_centre: str, self_leaving: bool) -> list[str]:
        names = [
            name
            for name, peer in self.peers.items()
            if not peer.heard.leaving and peer.heard.data_centre == data_centre
        ]
        if data_centre == self.data_centre and not self_leaving:
            names.append(self.name)
        return sorted(names)

    def poller_of(self, endpoint: str, data_centre: str) -> str:
        """Name the node that polls an endpoint, one of its data centre if there is any."""
        names = self._staying_in(data_centre, False) or self.staying()
        return max(names, key=lambda name: mix(name, endpoint))

    def relays(self, data_centre: str, self_leaving: bool = False) -> list[str]:
        """Name the nodes of a data centre that watch the platform for the others."""
        names = self._staying_in(data_centre, self_leaving)
        ranked = sorted(names, key=lambda name: mix("relay", name))
        return ranked[: defaults.RELAYS_PER_DATA_CENTRE]

    def data_centres(self) -> set[str]:
        """Name the data centres with live nodes."""
        return {peer.heard.data_centre for peer in self.peers.values()} | {self.data_centre}

    def successors(self, up_s: float) -> list[str]:
        """Name the nodes that may take the relay nodes' lease next, the youngest first.

        Boxes are restarted in turn, so one that has been is the least likely to go next.
        Ages are told apart by ``AGE_STEP_S``; a node that has just come is left out.

        :param up_s: how long this node has run, in seconds.
        """
        ages = {name: peer.heard.up_s for name, peer in self.peers.items()}
        ages[self.name] = up_s
        names = [name for name in self.staying() if ages[name] >= defaults.SETTLED_S]
        names.sort(key=lambda name: (ages[name] // defaults.AGE_STEP_S, mix("lease", name)))
        return names[: defaults.SUCCESSORS]

    def is_relay(self) -> bool:
        """Say whether this node watches the platform for its data centre."""
        return self.name in self.relays(self.data_centre)

    def small(self) -> bool:
        """Say whether every node holds a stream to every other."""
        return len(self.listed) <= defaults.MESH_LIMIT

    def links(self) -> list[BoxListed]:
        """Choose the nodes to hold a stream to.

        Up to ``MESH_LIMIT`` nodes in a data centre hold a stream to each other.
        Past that a node holds streams to its group (nodes next to it in hashed
        order) and relays to the relays of every data centre.
        """
        rows = [
            row
            for row in self.listed.values()
            if row.role == "node" and row.name != self.name and row.state == "live"
        ]
        if self.small():
            return rows
        own = [row for row in rows if row.data_centre == self.data_centre]
        ring = sorted([*(row.name for row in own), self.name], key=lambda name: mix("ring", name))
        place = ring.index(self.name)
        reach = defaults.MESH_LIMIT // 4
        group = {ring[(place + step) % len(ring)] for step in range(-reach, reach + 1)}
        wanted = group | self._far_relays(rows)
        return [row for row in rows if row.name in wanted]

    def _far_relays(self, rows: list[BoxListed]) -> set[str]:
        by_place: dict[str, list[str]] = {}
        for row in [*rows]:
            by_place.setdefault(row.data_centre, []).append(row.name)
        wanted: set[str] = set()
        for names in by_place.values():
            ranked = sorted(names, key=lambda name: mix("relay", name))
            wanted.update(ranked[: defaults.RELAYS_PER_DATA_CENTRE])
        return wanted

    def take_list(self, boxes: t.Iterable[BoxListed]) -> None:
        """Keep the platform's list of nodes, late as it is."""
        self.listed = {row.name: row for row in boxes if row.role == "node"}


class AddressRow(t.NamedTuple):
    """One entry address as callers get it."""

    address: str
    weight: float
    data_centre: str
