"""Which relay nodes are linked, which pass on what others tell, and which watch the store.

Up to ``RELAY_MESH_MAX`` nodes each holds a link to every other. Past that each data centre
has relays: a node links to those of its own, and relays link to each other. A node
*follows* one other, from which it takes the platform's lists and the sums of all others'
work. Each node works this out for itself from what it knows of the others; where two
differ for a moment a link too many is held, or the store is asked once more.
"""

import typing as t

from . import defaults
from .events import BoxListed
from .events import PeerHeard
from .membership import Membership
from .mixing import mix


class Standing(t.NamedTuple):
    """This node as the others rank it.

    :param up_s: how long it has run, in seconds.
    :param holding: it holds the lease.
    """

    strength: float = 0.0
    up_s: float = 0.0
    leaving: bool = False
    holding: bool = False


class Topology:
    """The roles of this node and the links that they need, worked out at ticks."""

    def __init__(self, membership: Membership) -> None:
        self._members = membership
        self._standing = Standing()
        self._unreached: dict[str, float] = {}
        self._hashes: dict[tuple[str, str], int] = {}
        self._position = -1
        self._worked_at = -1e9
        self._unfed_since: float | None = None
        self._unfollowed_since: float | None = None
        self._relays: dict[str, list[str]] = {}
        self._watchers: set[str] = set()
        self._wanted: set[str] = set()
        self._watch_order: dict[str, int] = {}
        self._nodes = 1
        # Whether every node links to every other.
        self.mesh = True
        # This node passes on what the nodes of its data centre tell.
        self.relay = False
        # Since when.
        self.relay_since = -1e9
        # This node watches the platform's store itself.
        self.watching = True
        # The node that this one follows; empty where there is none.
        self.followed = ""
        # When the store last answered this node itself.
        self.read_at = -1e9

    def work_out(self, now: float, standing: Standing) -> None:
        """Take what has changed since the last time."""
        position = self._members.changes.end()
        stale = now - self._worked_at >= defaults.RELAY_WORK_OUT_S
        changed = position != self._position or standing.holding != self._standing.holding
        if changed or stale:
            self._position = position
            self._worked_at = now
            self._standing = standing
            self._choose_roles(now)
        self.followed = self._choose_followed(now)
        if self.followed or self._chosen_watcher():
            self._unfollowed_since = None
        elif self._unfollowed_since is None:
            self._unfollowed_since = now
        self.watching = self._choose_watching(now)

    def note_unreached(self, name: str, now: float) -> None:
        """Leave a node out for a while, since it could not be dialled."""
        self._unreached[name] = now

    def _choose_roles(self, now: float) -> None:
        self._nodes = self._members.count()
        self.mesh = self._nodes <= defaults.RELAY_MESH_MAX
        ranked = self._rank(now)
        self._relays = {
            place: [row.name for row in rows[: defaults.RELAYS_PER_DATA_CENTRE]]
            for place, rows in ranked.items()
        }
        own = self._relays.get(self._members.data_centre, [])
        chosen = self._members.name in own or self._standing.holding
        relay = not self.mesh and chosen and not self._standing.leaving
        if relay and not self.relay:
            self.relay_since = now
        self.relay = relay
        self._watchers = self._choose_watchers(ranked)
        # Leaves reach their relays, and relays each other.
        self._wanted = self.relays() if self.relay else set(own)

    def _rank(self, now: float) -> dict[str, list["_Candidate"]]:
        """Order the nodes of each data centre by how well they serve as a relay."""
        places: dict[str, list[_Candidate]] = {}
        for one in self._candidates(now):
            places.setdefault(one.data_centre, []).append(one)
        for rows in places.values():
            rows.sort(key=self._relay_rank)
        return places

    def _relay_rank(self, one: "_Candidate") -> tuple[t.Any, ...]:
        strength = int(4 * min(one.strength, defaults.RELAY_STRENGTH))
        return (not one.settled, -strength, not one.relay, self._hash("relay", one.name))

    def _hash(self, job: str, name: str) -> int:
        found = self._hashes.get((job, name))
        if found is None:
            found = self._hashes[(job, name)] = mix(job, name)
        return found

    def _candidates(self, now: float) -> t.Iterator["_Candidate"]:
        members = self._members
        mine = self._standing
        if not mine.leaving:
            settled = mine.up_s >= defaults.RELAY_SETTLED_S
            place = members.data_centre
            yield _Candidate(members.name, place, mine.strength, settled, self.relay)
        for name, peer in members.peers.items():
            heard = peer.heard
            if heard.leaving or self._out(name, now):
                continue
            settled = peer.age_s(now) >= defaults.RELAY_SETTLED_S
            yield _Candidate(name, heard.data_centre, heard.strength, settled, heard.relay)
        for name, row in members.listed.items():
            if name in members.peers or name == members.name or self._out(name, now):
                continue
            if name not in members.gone:
                yield _Candidate(name, row.data_centre, row.strength, False, False)

    def _out(self, name: str, now: float) -> bool:
        at = self._unreached.get(name)
        return at is not None and now - at < defaults.UNREACHED_S

    def _choose_watchers(self, ranked: dict[str, list["_Candidate"]]) -> set[str]:
        """Choose the nodes that watch the store for all, the same on every node."""
        relays = self.relays()
        rows = [one for place in ranked.values() for one in place if one.name in relays]
        rows.sort(key=self._watch_rank)
        self._watch_order = {one.name: place for place, one in enumerate(rows)}
        return {one.name for one in rows[: defaults.WATCHERS]}

    def _watch_rank(self, one: "_Candidate") -> tuple[t.Any, ...]:
        strength = int(4 * min(one.strength, defaults.RELAY_STRENGTH))
        return (not one.settled, -strength, self._hash("watch", one.name))

    def dialled(self) -> dict[str, str]:
        """Give the nodes that this one is to dial, with their addresses."""
        members = self._members
        if self.mesh and members.count() > defaults.RELAY_MESH_MAX:
            # They have just become known. As a mesh, nodes that start together would link each
            # to all before they know their relays a tick later.
            return {}
        names = {*members.listed, *members.peers} if self.mesh else self._wanted
        rows = {name: row.address for name in names if (row := members.listed.get(name))}
        known = {name: peer for name in names if (peer := members.peers.get(name))}
        rows.update((name, peer.heard.address) for name, peer in known.items())
        rows.pop(members.name, None)
        return rows

    def both_dial(self, name: str) -> bool:
        """Say whether the other end of a link is to dial as well, if it is not there."""
        if self.mesh:
            return True
        peer = self._members.peers.get(name)
        return self.relay and peer is not None and peer.heard.relay

    def keeps(self, name: str) -> bool:
        """Say whether a link that is there is of use to one of its ends."""
        peer = self._members.peers.get(name)
        if self.mesh or peer is None or name == self.followed:
            return True
        heard = peer.heard
        if heard.follows or (self.relay and heard.relay):
            return True
        near = heard.data_centre == self._members.data_centre
        return (near and (self.relay or heard.relay)) or name in self._wanted

    def needs_seeds(self) -> bool:
        """Say whether this node knows too little to do without the seeds."""
        if self.mesh or self._members.count() == 1:
            return True
        since = self._unfollowed_since
        return since is not None and self._worked_at - since > defaults.SEEDS_AFTER_S

    def _choose_followed(self, now: float) -> str:
        """Choose the node to follow: a relay with fresh lists, and the same one as before."""
        if self._chosen_watcher() and now - self.read_at < defaults.STORE_STALE_S:
            return ""
        rows = [
            (self._follow_rank(name, peer.heard, now), name)
            for name in self._members.linked
            if (peer := self._members.peers.get(name)) is not None
            and now - peer.heard_at < defaults.HOLDER_QUIET_S
            and self._may_follow(peer.heard)
        ]
        return min(rows, default=((), ""))[1]

    def _may_follow(self, heard: PeerHeard) -> bool:
        if heard.follows or heard.leaving:
            return False
        if self.relay:
            return heard.watches or heard.store_age_s < defaults.STORE_STALE_S
        return heard.relay

    def _follow_rank(self, name: str, heard: PeerHeard, now: float) -> tuple[t.Any, ...]:
        stale = self._told_age_s(name, now) > defaults.STORE_STALE_S
        # A leaf's relay need not follow the store itself.
        indirect = self.relay and not heard.watches
        far = heard.data_centre != self._members.data_centre
        return (stale, indirect, far, name != self.followed, self._hash(self._members.name, name))

    def _told_age_s(self, name: str, now: float) -> float:
        peer = self._members.peers.get(name)
        if peer is None:
            return float("inf")
        return peer.heard.store_age_s + now - peer.heard_at

    def fed(self, now: float) -> bool:
        """Say whether another node keeps this one fresh about the store."""
        return self._told_age_s(self.followed, now) < defaults.STORE_STALE_S

    def age_s(self, now: float) -> float:
        """Give how old what this node knows of the store is, in seconds."""
        return min(now - self.read_at, self._told_age_s(self.followed, now))

    def _choose_watching(self, now: float) -> bool:
        """Watch the store where that falls to this node, or nobody fresh is heard."""
        if self.fed(now):
            self._unfed_since = None
        elif self._unfed_since is None:
            self._unfed_since = now
        if self._chosen_watcher():
            return True
        return self._unfed_since is not None and now - self._unfed_since > self._patience_s()

    def _chosen_watcher(self) -> bool:
        if self.mesh or self._standing.holding:
            return True
        return self._members.name in self._watchers

    def _patience_s(self) -> float:
        """Give how long this node waits for others to step in for a silent watcher."""
        name = self._members.name
        if self.relay:
            return defaults.STEP_IN_RELAY_S * self._watch_order.get(name, 0)
        spread = self._hash("step in", name) % 1000 / 1000.0
        return defaults.STEP_IN_LEAST_S + defaults.STEP_IN_PER_NODE_S * self._nodes * spread

    def proves(self) -> bool:
        """Say whether this node reads the configuration for all; two do, in a mesh too."""
        return self._members.name in self._watchers

    def proof_sources(self) -> list[str]:
        """Name linked nodes that can tell how new the configuration is, the best first."""
        linked = self._members.linked
        watchers = sorted(name for name in self._watchers if name in linked)
        if watchers and (self.mesh or self.relay):
            return watchers
        if self.followed:
            return [self.followed]
        rows = [name for name in linked if name in self.relays()]
        return sorted(rows or linked)[: defaults.PROOF_SOURCES_MAX]

    def gathers_s(self, now: float) -> float:
        """Give how long this node has gathered what others tell of themselves, in seconds."""
        if self.mesh:
            return self._standing.up_s
        return min(self._standing.up_s, now - self.relay_since) if self.relay else 0.0

    def owners(self, now: float) -> set[str]:
        """Name the nodes among which organisations have their owners."""
        members = self._members
        ages = {
            name: peer.age_s(now) if self.mesh else peer.heard.relay_s
            for name in members.linked
            if (peer := members.peers.get(name)) is not None
            and (self.mesh or peer.heard.relay)
            and not peer.heard.leaving
            and now - peer.heard_at < defaults.HOLDER_QUIET_S
        }
        if (self.mesh or self.relay) and not self._standing.leaving:
            ages[members.name] = self.gathers_s(now)
        # One that has gathered the others' sums for less does not know what ran before.
        elders = {name for name, age_s in ages.items() if age_s >= defaults.OWNER_AGE_S}
        return elders or set(ages)

    def relays(self) -> set[str]:
        """Name the relays of all data centres, this node's own view."""
        return {name for names in self._relays.values() for name in names}


class _Candidate(t.NamedTuple):
    """A node as it is ranked for a job; ``settled`` where it has run for long enough."""

    name: str
    data_centre: str
    strength: float
    settled: bool
    relay: bool


def listed_node(name: str, address: str, data_centre: str, strength: float) -> BoxListed:
    """Make the row of a node that is listed."""
    return BoxListed(name, address, data_centre, "node", "live", "", strength)
