"""Who the other nodes are, and which of them does which shared job.

Jobs are shared by rendezvous hashing over the nodes believed live. A wrong
belief only costs a duplicate: two pollers of one endpoint, or two relays.
"""

import typing as t

from . import defaults
from .events import BoxListed
from .events import MembersHeard
from .events import PeerHeard
from .routing import mix


class Peer:
    """Another node as last heard; times are of this node's monotonic clock.

    ``heard_at`` is when it last spoke itself, over a link; ``sources`` names the linked
    nodes that vouch for it, and ``orphaned_at`` is when the last of them was lost.
    """

    __slots__ = ("heard", "heard_at", "orphaned_at", "sources")

    def __init__(self, heard: PeerHeard, heard_at: float) -> None:
        self.heard = heard
        self.heard_at = heard_at
        self.sources: set[str] = set()
        self.orphaned_at = heard.at

    def direct(self, now: float) -> bool:
        """Say whether it speaks to this node itself."""
        return now - self.heard_at <= defaults.PEER_DEAD_S

    def alive(self, now: float) -> bool:
        """Say whether it spoke, or was vouched for, lately enough."""
        if self.sources or self.direct(now):
            return True
        return now - self.orphaned_at <= defaults.PEER_DEAD_S

    def age_s(self, now: float) -> float:
        """Give how long the node has run, in seconds."""
        return self.heard.up_s + now - self.heard.at


class Membership:
    """The live nodes by heartbeat, with the platform's box list as a late hint."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}
        # Nodes that speak to this one over a link.
        self.linked: set[str] = set()
        self._expired_at = -1e9
        self.listed: dict[str, BoxListed] = {}
        self.gone: dict[str, str] = {}
        # The most nodes that were live or listed at once, this one included.
        self.most_nodes = 1
        # Names of nodes whose row changed, the latest last; see :mod:`members`.
        self.changes = ChangeLog()

    def voucher_of(self, name: str) -> str:
        """Name the linked node that vouches for a node and spoke last; empty where none does.

        One that is frozen vouches for its followers for as long as its link stands, and what is
        sent by it is lost.
        """
        peer = self.peers.get(name)
        sources = peer.sources & self.linked if peer else ()
        return max(sources, key=lambda one: (self.peers[one].heard_at, one), default="")

    def visible(self, now: float) -> int:
        """Count this node and those that it hears of now: itself, or by one that it hears."""
        heard = {
            name
            for name in self.linked
            if now - self.peers[name].heard_at < defaults.VISIBLE_QUIET_S
        }
        vouched = sum(
            1
            for name, peer in self.peers.items()
            if name not in heard and not heard.isdisjoint(peer.sources)
        )
        return 1 + len(heard) + vouched

    def count(self) -> int:
        """Count the nodes that are known, live or listed, this one included."""
        return len({self.name, *self.peers, *self.listed})

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
        self.linked.add(event.name)
        fresh = known is None or known.heard.incarnation != event.incarnation
        if known is None:
            self.peers[event.name] = Peer(event, event.at)
            self._count()
        else:
            changed = _row(known.heard) != _row(event) or not known.direct(event.at)
            known.heard = event
            known.heard_at = event.at
            if not changed:
                return fresh
        self.changes.add(event.name)
        return fresh

    def hear_rows(self, event: MembersHeard) -> list[str]:
        """Take what a linked node says of others; it vouches for them from now on.

        :return: the nodes that nobody vouches for any more.
        """
        lost: list[str] = []
        for row in event.rows:
            if row.name != self.name:
                self._take_row(row, event)
        named = {row.name for row in event.rows}
        dropped = set(event.gone)
        if event.whole:
            dropped |= {
                name
                for name, peer in self.peers.items()
                if event.source in peer.sources and name not in named
            }
        for name in dropped:
            peer = self.peers.get(name)
            if peer is None or event.source not in peer.sources:
                continue
            peer.sources.discard(event.source)
            if not peer.sources and not peer.direct(event.at):
                self.lose(name)
                lost.append(name)
        return lost

    def _take_row(self, row: PeerHeard, event: MembersHeard) -> None:
        known = self.peers.get(row.name)
        if known is None:
            known = self.peers[row.name] = Peer(row, -1e9)
            self._count()
        elif known.direct(event.at) or _older(row, known.heard):
            known.sources.add(event.source)
            return
        elif _row(known.heard) == _row(row):
            known.sources.add(event.source)
            known.heard = row
            return
        else:
            same = known.heard.incarnation == row.incarnation
            known.heard = row._replace(leaving=row.leaving or (same and known.heard.leaving))
        known.sources.add(event.source)
        self.changes.add(row.name)

    def _count(self) -> None:
        self.most_nodes = max(self.most_nodes, self.count())

    def lose(self, name: str) -> bool:
        """Forget a node whose heartbeats stopped, and whom nobody vouches for."""
        self.linked.discard(name)
        peer = self.peers.pop(name, None)
        if peer is None:
            return False
        self.gone[name] = peer.heard.incarnation
        self.changes.add(name)
        return True

    def unlink(self, name: str, now: float) -> bool:
        """Take that a node's stream ended: it vouches for nobody any more.

        :return: whether it is forgotten, since nobody else vouches for it.
        """
        self.linked.discard(name)
        for other in self.peers.values():
            if name in other.sources:
                other.sources.discard(name)
                other.orphaned_at = now
        peer = self.peers.get(name)
        if peer is None:
            return False
        peer.heard_at = -1e9
        if peer.sources:
            self.changes.add(name)
            return False
        return self.lose(name)

    def expire(self, now: float) -> list[str]:
        """Forget the nodes that were silent for too long, and name them.

        At hundreds of nodes a look at each tick would be much of an idle node's work.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return []
        self._expired_at = now
        silent = {name for name in self.linked if not self.peers[name].direct(now)}
        for name in silent:
            # Others may vouch for it yet; this node does no more.
            self.linked.discard(name)
            self.changes.add(name)
        late = [name for name, peer in self.peers.items() if not peer.alive(now)]
        for name in late:
            self.unlink(name, now)
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

    def successors(self, up_s: float, now: float, among: t.Collection[str] | None) -> list[str]:
        """Name the nodes that may take the relay nodes' lease next, the youngest first.

        Boxes are restarted in turn, so one that has been is the least likely to go next.
        Ages are told apart by ``AGE_STEP_S``; a node that has just come is left out.

        :param up_s: how long this node has run, in seconds.
        :param among: the nodes that may be chosen; None for all.
        """
        ages = {self.name: up_s}
        for name in self.peers if among is None else among:
            peer = self.peers.get(name)
            if peer is not None and not peer.heard.leaving:
                ages[name] = peer.age_s(now)
        names = [name for name, age_s in ages.items() if age_s >= defaults.SETTLED_S]
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
        self._count()


class ChangeLog:
    """Names in the order in which they changed, read by position; the oldest are dropped."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._dropped = 0

    def add(self, name: str) -> None:
        """Note that a name has changed."""
        self._names.append(name)
        if len(self._names) > defaults.CHANGES_KEPT:
            half = len(self._names) // 2
            del self._names[:half]
            self._dropped += half

    def end(self) -> int:
        """Give the position after the latest change."""
        return self._dropped + len(self._names)

    def since(self, position: int) -> list[str] | None:
        """Name what changed from a position on, each once; None where that is not kept."""
        if position < self._dropped:
            return None
        return list(dict.fromkeys(self._names[position - self._dropped :]))


def _row(heard: PeerHeard) -> tuple[t.Any, ...]:
    """Give what others are told of a node when it changes."""
    return (
        heard.incarnation,
        heard.address,
        heard.caller_address,
        heard.data_centre,
        heard.revision > 0,
        heard.leaving,
        heard.lease_epoch,
        heard.lease_ended,
        heard.relay,
        heard.strength,
    )


def _older(row: PeerHeard, known: PeerHeard) -> bool:
    """Say whether a row is of an earlier process of its node than the one that is known."""
    if row.incarnation == known.incarnation:
        return False
    started, known_started = row.at - row.up_s, known.at - known.up_s
    return started < known_started - defaults.SAME_START_S


class AddressRow(t.NamedTuple):
    """One entry address as callers get it."""

    address: str
    weight: float
    data_centre: str
