"""Membership of the cluster, and the assignment of shared jobs to nodes.

Jobs are assigned by rendezvous hashing over the nodes believed live. Where nodes disagree on
who is live, a job is done twice: two nodes poll one endpoint, or there is a relay too many.
"""

import typing as t

from . import defaults
from .events import BoxListed
from .events import HeartbeatReceived
from .events import MembersReceived
from .routing import stable_hash


class Peer:
    """Another node, by its latest heartbeat; times are of this node's monotonic clock.

    ``received_at`` is when its own heartbeat last came over a link; ``sources`` names the linked
    nodes that report it as live, and ``source_lost_at`` is when a link to one of them was last
    lost.
    """

    __slots__ = ("heartbeat", "received_at", "source_lost_at", "sources")

    def __init__(self, heartbeat: HeartbeatReceived, received_at: float) -> None:
        self.heartbeat = heartbeat
        self.received_at = received_at
        self.sources: set[str] = set()
        self.source_lost_at = heartbeat.at

    def direct(self, now: float) -> bool:
        """Return whether its own heartbeats reach this node."""
        return now - self.received_at <= defaults.PEER_DEAD_S

    def alive(self, now: float) -> bool:
        """Return whether it counts as live, by its own heartbeats or by another node's report."""
        if self.sources or self.direct(now):
            return True
        return now - self.source_lost_at <= defaults.PEER_DEAD_S

    def age_s(self, now: float) -> float:
        """Return how long the node has run, in seconds."""
        return self.heartbeat.uptime_s + now - self.heartbeat.at

    def collecting_s(self, now: float) -> float:
        """Return how long the node has been a relay that collects others' figures, in seconds."""
        return self.heartbeat.relay_s + now - self.heartbeat.at


class Membership:
    """The nodes that heartbeats show as live, and those of the platform's box list, which lags."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}
        # Nodes whose heartbeats come over a link of their own.
        self.linked: set[str] = set()
        self._expired_at = -1e9
        self.listed: dict[str, BoxListed] = {}
        self.gone: dict[str, str] = {}
        # The highest number of nodes, live or listed, at any one time, this one included.
        self.most_nodes = 1
        # Names of nodes whose row changed, the latest last; read by the daemon's ``relay_members``.
        self.changes = ChangeLog()

    def reporter_of(self, name: str) -> str:
        """Return the linked node with the latest heartbeat that reports a node as live.

        Empty where none does. The latest is chosen since a frozen node stays a source for as long
        as its link is open, and what is sent through it is lost.
        """
        peer = self.peers.get(name)
        sources = peer.sources & self.linked if peer else ()
        return max(sources, key=lambda one: (self.peers[one].received_at, one), default="")

    def visible(self, now: float) -> int:
        """Count this node, those with a recent heartbeat, and those that the latter report."""
        connected = {
            name
            for name in self.linked
            if now - self.peers[name].received_at < defaults.VISIBLE_QUIET_S
        }
        reported = sum(
            1
            for name, peer in self.peers.items()
            if name not in connected and not connected.isdisjoint(peer.sources)
        )
        return 1 + len(connected) + reported

    def count(self) -> int:
        """Return how many nodes are known, live or listed, this one included."""
        return len({self.name, *self.peers, *self.listed})

    def size(self) -> int:
        """Return how many other nodes are live."""
        return len(self.peers)

    def apply_heartbeat(self, event: HeartbeatReceived) -> bool:
        """Apply a heartbeat.

        :return: whether the node is new or restarted as another incarnation.
        """
        if event.name == self.name:
            return False
        known = self.peers.get(event.name)
        if known is None and self.gone.get(event.name) == event.incarnation and event.leaving:
            return False
        self.linked.add(event.name)
        fresh = known is None or known.heartbeat.incarnation != event.incarnation
        if known is None:
            self.peers[event.name] = Peer(event, event.at)
            self._update_most_nodes()
        else:
            changed = _shared_fields(known.heartbeat) != _shared_fields(event) or not known.direct(
                event.at
            )
            known.heartbeat = event
            known.received_at = event.at
            if not changed:
                return fresh
        self.changes.add(event.name)
        return fresh

    def apply_member_rows(self, event: MembersReceived) -> list[str]:
        """Apply a linked node's rows, and add it to the sources of the nodes in them.

        :return: the nodes that were removed, since no source and no recent heartbeat is left.
        """
        lost: list[str] = []
        for row in event.rows:
            if row.name != self.name:
                self._take_row(row, event)
        row_names = {row.name for row in event.rows}
        dropped = set(event.removed)
        if event.complete:
            dropped |= {
                name
                for name, peer in self.peers.items()
                if event.source in peer.sources and name not in row_names
            }
        for name in dropped:
            peer = self.peers.get(name)
            if peer is None or event.source not in peer.sources:
                continue
            peer.sources.discard(event.source)
            if not peer.sources and not peer.direct(event.at):
                self.remove(name)
                lost.append(name)
        return lost

    def _take_row(self, row: HeartbeatReceived, event: MembersReceived) -> None:
        known = self.peers.get(row.name)
        if known is None:
            known = self.peers[row.name] = Peer(row, -1e9)
            self._update_most_nodes()
        elif known.direct(event.at) or _is_older_incarnation(row, known.heartbeat):
            known.sources.add(event.source)
            return
        elif _shared_fields(known.heartbeat) == _shared_fields(row):
            known.sources.add(event.source)
            known.heartbeat = row
            return
        else:
            same = known.heartbeat.incarnation == row.incarnation
            known.heartbeat = row._replace(
                leaving=row.leaving or (same and known.heartbeat.leaving)
            )
        known.sources.add(event.source)
        self.changes.add(row.name)

    def _update_most_nodes(self) -> None:
        self.most_nodes = max(self.most_nodes, self.count())

    def remove(self, name: str) -> bool:
        """Remove a node that sends no heartbeats and that no linked node reports as live.

        :return: whether it was known.
        """
        self.linked.discard(name)
        peer = self.peers.pop(name, None)
        if peer is None:
            return False
        self.gone[name] = peer.heartbeat.incarnation
        self.changes.add(name)
        return True

    def unlink(self, name: str, now: float) -> bool:
        """Remove a node, whose stream ended, from the links and from the sources of all others.

        :return: whether the node itself was removed, since no other node reports it as live.
        """
        self.linked.discard(name)
        for other in self.peers.values():
            if name in other.sources:
                other.sources.discard(name)
                other.source_lost_at = now
        peer = self.peers.get(name)
        if peer is None:
            return False
        peer.received_at = -1e9
        if peer.sources:
            self.changes.add(name)
            return False
        return self.remove(name)

    def expire(self, now: float) -> list[str]:
        """Remove the nodes that have been silent for ``PEER_DEAD_S``, and return their names.

        Runs every ``EXPIRE_EVERY_S``: with hundreds of nodes, a check at each tick would be a
        large part of an idle node's work.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return []
        self._expired_at = now
        silent = {name for name in self.linked if not self.peers[name].direct(now)}
        for name in silent:
            # Other nodes may still report it as live; this node no longer does.
            self.linked.discard(name)
            self.changes.add(name)
        expired = [name for name, peer in self.peers.items() if not peer.alive(now)]
        for name in expired:
            self.unlink(name, now)
        return expired

    def staying(self) -> list[str]:
        """Return the live nodes that are not leaving, this one included."""
        names = [name for name, peer in self.peers.items() if not peer.heartbeat.leaving]
        return sorted([*names, self.name])

    def _staying_in(self, data_centre: str, self_leaving: bool) -> list[str]:
        names = [
            name
            for name, peer in self.peers.items()
            if not peer.heartbeat.leaving and peer.heartbeat.data_centre == data_centre
        ]
        if data_centre == self.data_centre and not self_leaving:
            names.append(self.name)
        return sorted(names)

    def poller_of(self, endpoint: str, data_centre: str) -> str:
        """Return the node that polls an endpoint, one of its data centre if there is any."""
        names = self._staying_in(data_centre, False) or self.staying()
        return max(names, key=lambda name: stable_hash(name, endpoint))

    def relays(self, data_centre: str, self_leaving: bool = False) -> list[str]:
        """Return the nodes of a data centre that watch the platform for the others."""
        names = self._staying_in(data_centre, self_leaving)
        ranked = sorted(names, key=lambda name: stable_hash("relay", name))
        return ranked[: defaults.RELAYS_PER_DATA_CENTRE]

    def data_centres(self) -> set[str]:
        """Return the data centres with live nodes."""
        return {peer.heartbeat.data_centre for peer in self.peers.values()} | {self.data_centre}

    def successors(self, up_s: float, now: float, among: t.Collection[str] | None) -> list[str]:
        """Return the nodes that may take the relay nodes' lease next, the youngest first.

        Boxes are restarted in turn, so the one restarted last is the least likely to be next.
        Ages within one step of ``AGE_STEP_S`` count as equal; a node that has run for less than
        ``SETTLED_S`` is left out.

        :param up_s: how long this node has run, in seconds.
        :param among: the nodes that may be chosen; None for all.
        """
        ages = {self.name: up_s}
        for name in self.peers if among is None else among:
            peer = self.peers.get(name)
            if peer is None or peer.heartbeat.isolated:
                continue
            if not peer.heartbeat.leaving:
                ages[name] = peer.age_s(now)
        names = [name for name, age_s in ages.items() if age_s >= defaults.SETTLED_S]
        names.sort(key=lambda name: (ages[name] // defaults.AGE_STEP_S, stable_hash("lease", name)))
        return names[: defaults.LEASE_CANDIDATES]

    def is_relay(self) -> bool:
        """Return whether this node watches the platform for its data centre."""
        return self.name in self.relays(self.data_centre)

    def is_full_mesh(self) -> bool:
        """Return whether there are few enough nodes that each holds a stream to every other."""
        return len(self.listed) <= defaults.MESH_LIMIT

    def links(self) -> list[BoxListed]:
        """Choose the nodes to hold a stream to.

        With up to ``MESH_LIMIT`` listed nodes these are all others. With more, they are the
        node's neighbours in the hash ring of its data centre and the relays of every data centre.
        """
        rows = [
            row
            for row in self.listed.values()
            if row.role == "node" and row.name != self.name and row.state == "live"
        ]
        if self.is_full_mesh():
            return rows
        own = [row for row in rows if row.data_centre == self.data_centre]
        ring = sorted(
            [*(row.name for row in own), self.name], key=lambda name: stable_hash("ring", name)
        )
        index = ring.index(self.name)
        reach = defaults.MESH_LIMIT // 4
        group = {ring[(index + step) % len(ring)] for step in range(-reach, reach + 1)}
        wanted = group | self._relays_of_all(rows)
        return [row for row in rows if row.name in wanted]

    def _relays_of_all(self, rows: list[BoxListed]) -> set[str]:
        by_data_centre: dict[str, list[str]] = {}
        for row in [*rows]:
            by_data_centre.setdefault(row.data_centre, []).append(row.name)
        wanted: set[str] = set()
        for names in by_data_centre.values():
            ranked = sorted(names, key=lambda name: stable_hash("relay", name))
            wanted.update(ranked[: defaults.RELAYS_PER_DATA_CENTRE])
        return wanted

    def take_list(self, boxes: t.Iterable[BoxListed]) -> None:
        """Store the nodes of the platform's list."""
        self.listed = {row.name: row for row in boxes if row.role == "node"}
        self._update_most_nodes()


class ChangeLog:
    """A bounded log of changed names, read from a position; the oldest are dropped."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._dropped = 0

    def add(self, name: str) -> None:
        """Append a name that has changed."""
        self._names.append(name)
        if len(self._names) > defaults.CHANGES_KEPT:
            half = len(self._names) // 2
            del self._names[:half]
            self._dropped += half

    def end(self) -> int:
        """Return the position after the latest change."""
        return self._dropped + len(self._names)

    def since(self, position: int) -> list[str] | None:
        """Return the names changed since a position, each once; None if some were dropped."""
        if position < self._dropped:
            return None
        return list(dict.fromkeys(self._names[position - self._dropped :]))


def _shared_fields(heartbeat: HeartbeatReceived) -> tuple[t.Any, ...]:
    """Return the fields of a node whose change is sent to other nodes at once."""
    return (
        heartbeat.incarnation,
        heartbeat.address,
        heartbeat.caller_address,
        heartbeat.data_centre,
        heartbeat.revision > 0,
        heartbeat.leaving,
        heartbeat.lease_epoch,
        heartbeat.lease_ended,
        heartbeat.relay,
        heartbeat.capacity,
        heartbeat.isolated,
    )


def _is_older_incarnation(row: HeartbeatReceived, known: HeartbeatReceived) -> bool:
    """Return whether a row is of an earlier incarnation of its node than the known one."""
    if row.incarnation == known.incarnation:
        return False
    started, known_started = row.at - row.uptime_s, known.at - known.uptime_s
    return started < known_started - defaults.SAME_START_S


class AddressRow(t.NamedTuple):
    """One entry address, in the form that callers get, and whether its node reaches no endpoint."""

    address: str
    weight: float
    data_centre: str
    isolated: bool = False
