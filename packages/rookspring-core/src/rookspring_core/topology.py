"""The overlay of relay nodes: which nodes link, which act as relays, and which watch the store.

Up to ``RELAY_MESH_MAX`` nodes form a full mesh. With more, each data centre has relays: a node
links to those of its own data centre, and relays link to each other. A node *follows* one other,
from which it takes the platform's lists and the sums of all other nodes' work. Each node computes
its roles from its own view of the membership; where two views differ for a moment, there is one
link too many or one read of the store too many.
"""

import math
import typing as t

from . import defaults
from .events import BoxListed
from .events import HeartbeatReceived
from .hashing import stable_hash
from .membership import Membership
from .owners import choose_experienced


class LocalStatus(t.NamedTuple):
    """The properties by which this node is ranked for roles.

    :param up_s: how long it has run, in seconds.
    :param holding: whether it holds the lease.
    """

    strength: float = 0.0
    up_s: float = 0.0
    leaving: bool = False
    holding: bool = False


class Topology:
    """The roles of this node and the links that they need, updated at ticks."""

    def __init__(self, membership: Membership) -> None:
        self._members = membership
        self._local = LocalStatus()
        # When this node's process started, by ``_local``.
        self._started_at = math.inf
        self._unreached: dict[str, float] = {}
        self._hashes: dict[tuple[str, str], int] = {}
        self._change_position = -1
        self._updated_at = -1e9
        self._stale_since: float | None = None
        self._unfollowed_since: float | None = None
        self._relays: dict[str, list[str]] = {}
        self._watchers: set[str] = set()
        self._wanted_links: set[str] = set()
        self._watch_order: dict[str, int] = {}
        self._nodes = 1
        # Whether every node links to every other.
        self.mesh = True
        # Whether this node forwards the messages of the nodes of its data centre.
        self.relay = False
        # When it last became a relay.
        self.relay_since = -1e9
        # Whether this node watches the platform's store itself.
        self.watching = True
        # The node that this one follows; empty if none.
        self.followed = ""
        # When the store last answered this node itself.
        self.read_at = -1e9
        # When it was asked for that answer.
        self.asked_at = -1e9

    def update(self, now: float, local: LocalStatus) -> None:
        """Update roles and links after a change, or once ``ROLES_RECOMPUTE_S`` has passed."""
        position = self._members.changes.end()
        stale = now - self._updated_at >= defaults.ROLES_RECOMPUTE_S
        changed = position != self._change_position or local.holding != self._local.holding
        self._local = local
        self._started_at = now - local.up_s
        if changed or stale:
            self._change_position = position
            self._updated_at = now
            self._choose_roles(now)
        self.followed = self._choose_followed(now)
        if self.followed or self._chosen_watcher():
            self._unfollowed_since = None
        elif self._unfollowed_since is None:
            self._unfollowed_since = now
        self.watching = self._choose_watching(now)

    def note_unreached(self, name: str, now: float) -> None:
        """Exclude a node from all roles for ``UNREACHED_S``, since it could not be dialled."""
        self._unreached[name] = now

    def _choose_roles(self, now: float) -> None:
        self._nodes = self._members.count()
        self.mesh = self._nodes <= defaults.RELAY_MESH_MAX
        rankings = self._rank(now)
        self._relays = {
            data_centre: [row.name for row in rows[: defaults.RELAYS_PER_DATA_CENTRE]]
            for data_centre, rows in rankings.items()
        }
        own = self._relays.get(self._members.data_centre, [])
        chosen = self._members.name in own or self._local.holding
        relay = not self.mesh and chosen and not self._local.leaving
        if relay and not self.relay:
            self.relay_since = now
        self.relay = relay
        self._watchers = self._choose_watchers(rankings)
        # Leaves link to the relays of their data centre, relays to all relays.
        self._wanted_links = self.relays() if self.relay else set(own)

    def _rank(self, now: float) -> dict[str, list["_Candidate"]]:
        """Order the nodes of each data centre by their fitness as a relay, the best first."""
        rankings: dict[str, list[_Candidate]] = {}
        for one in self._candidates(now):
            rankings.setdefault(one.data_centre, []).append(one)
        for rows in rankings.values():
            rows.sort(key=self._relay_rank)
        return rankings

    def _relay_rank(self, one: "_Candidate") -> tuple[t.Any, ...]:
        strength = int(4 * min(one.strength, defaults.RELAY_CAPACITY))
        return (not one.settled, -strength, not one.relay, self._hash("relay", one.name))

    def _hash(self, job: str, name: str) -> int:
        found = self._hashes.get((job, name))
        if found is None:
            found = self._hashes[(job, name)] = stable_hash(job, name)
        return found

    def _candidates(self, now: float) -> t.Iterator["_Candidate"]:
        members = self._members
        local = self._local
        if not local.leaving:
            settled = local.up_s >= defaults.RELAY_SETTLED_S
            data_centre = members.data_centre
            yield _Candidate(members.name, data_centre, local.strength, settled, self.relay)
        for name, peer in members.peers.items():
            heartbeat = peer.heartbeat
            if heartbeat.leaving or self._is_excluded(name, now):
                continue
            settled = peer.age_s(now) >= defaults.RELAY_SETTLED_S
            yield _Candidate(
                name, heartbeat.data_centre, heartbeat.capacity, settled, heartbeat.relay
            )
        for name, row in members.listed.items():
            if name in members.peers or name == members.name or self._is_excluded(name, now):
                continue
            if name not in members.gone:
                yield _Candidate(name, row.data_centre, row.capacity, False, False)

    def _is_excluded(self, name: str, now: float) -> bool:
        at = self._unreached.get(name)
        return at is not None and now - at < defaults.UNREACHED_S

    def _choose_watchers(self, rankings: dict[str, list["_Candidate"]]) -> set[str]:
        """Choose the relays that watch the store; nodes with the same view choose the same."""
        relays = self.relays()
        rows = [one for ranked in rankings.values() for one in ranked if one.name in relays]
        rows.sort(key=self._watch_rank)
        self._watch_order = {one.name: rank for rank, one in enumerate(rows)}
        return {one.name for one in rows[: defaults.WATCHERS]}

    def _watch_rank(self, one: "_Candidate") -> tuple[t.Any, ...]:
        strength = int(4 * min(one.strength, defaults.RELAY_CAPACITY))
        return (not one.settled, -strength, self._hash("watch", one.name))

    def addresses_to_dial(self) -> dict[str, str]:
        """Return the nodes that this one is to dial, with their addresses."""
        members = self._members
        if self.mesh and members.count() > defaults.RELAY_MESH_MAX:
            # Many nodes have just become known, and relays are chosen at the next tick. Until
            # then nodes that start together would link each to all others, as in a mesh.
            return {}
        names = {*members.listed, *members.peers} if self.mesh else self._wanted_links
        rows = {name: row.address for name in names if (row := members.listed.get(name))}
        known = {name: peer for name in names if (peer := members.peers.get(name))}
        rows.update((name, peer.heartbeat.address) for name, peer in known.items())
        rows.pop(members.name, None)
        return rows

    def both_dial(self, name: str) -> bool:
        """Return whether both ends of a missing link dial it, rather than this node alone."""
        if self.mesh:
            return True
        peer = self._members.peers.get(name)
        return self.relay and peer is not None and peer.heartbeat.relay

    def keeps_link(self, name: str) -> bool:
        """Return whether an open link is needed by either of its ends."""
        peer = self._members.peers.get(name)
        if self.mesh or peer is None or name == self.followed:
            return True
        heartbeat = peer.heartbeat
        if heartbeat.follows or (self.relay and heartbeat.relay):
            return True
        same_data_centre = heartbeat.data_centre == self._members.data_centre
        return (same_data_centre and (self.relay or heartbeat.relay)) or name in self._wanted_links

    def needs_seeds(self) -> bool:
        """Return whether to dial the seeds: in a mesh, alone, or long without a node to follow."""
        if self.mesh or self._members.count() == 1:
            return True
        since = self._unfollowed_since
        return since is not None and self._updated_at - since > defaults.SEEDS_AFTER_S

    def _choose_followed(self, now: float) -> str:
        """Choose the node to follow: one with fresh lists, the current one if otherwise equal."""
        if self._chosen_watcher() and now - self.read_at < defaults.STORE_STALE_S:
            return ""
        rows = [
            (self._follow_rank(name, peer.heartbeat, now), name)
            for name in self._members.linked
            if (peer := self._members.peers.get(name)) is not None
            and now - peer.received_at < defaults.HOLDER_QUIET_S
            and self._may_follow(peer.heartbeat)
        ]
        return min(rows, default=((), ""))[1]

    def _may_follow(self, heartbeat: HeartbeatReceived) -> bool:
        if heartbeat.follows or heartbeat.leaving:
            return False
        if self.relay:
            return heartbeat.watches or heartbeat.store_age_s < defaults.STORE_STALE_S
        return heartbeat.relay

    def _follow_rank(
        self, name: str, heartbeat: HeartbeatReceived, now: float
    ) -> tuple[t.Any, ...]:
        stale = self._peer_store_age_s(name, now) > defaults.STORE_STALE_S
        # A relay prefers a node that watches the store; for a leaf any relay will do.
        indirect = self.relay and not heartbeat.watches
        remote = heartbeat.data_centre != self._members.data_centre
        return (
            stale,
            indirect,
            remote,
            name != self.followed,
            self._hash(self._members.name, name),
        )

    def _peer_store_age_s(self, name: str, now: float) -> float:
        peer = self._members.peers.get(name)
        if peer is None:
            return float("inf")
        return peer.heartbeat.store_age_s + now - peer.received_at

    def has_fresh_source(self, now: float) -> bool:
        """Return whether the followed node's data of the store is fresh."""
        return self._peer_store_age_s(self.followed, now) < defaults.STORE_STALE_S

    def age_s(self, now: float) -> float:
        """Return the age of this node's data of the store, in seconds."""
        return min(now - self.read_at, self._peer_store_age_s(self.followed, now))

    def complete_until(self, now: float) -> float:
        """Return a time whose changes of the store this node has, by its own clock."""
        return max(self.asked_at, now - self._peer_store_age_s(self.followed, now))

    def _choose_watching(self, now: float) -> bool:
        """Return whether to watch the store: as a chosen watcher, or for lack of fresh data."""
        if self.has_fresh_source(now):
            self._stale_since = None
        elif self._stale_since is None:
            self._stale_since = now
        if self._chosen_watcher():
            return True
        return self._stale_since is not None and now - self._stale_since > self._takeover_delay_s()

    def _chosen_watcher(self) -> bool:
        if self.mesh or self._local.holding:
            return True
        return self._members.name in self._watchers

    def _takeover_delay_s(self) -> float:
        """Return how long this node goes without fresh data before it watches the store itself.

        Relays take over in the order of their rank; other nodes wait for a time spread by hash.
        """
        name = self._members.name
        if self.relay:
            return defaults.WATCH_TAKEOVER_RELAY_S * self._watch_order.get(name, 0)
        spread = self._hash("step in", name) % 1000 / 1000.0
        return (
            defaults.WATCH_TAKEOVER_MIN_S
            + defaults.WATCH_TAKEOVER_PER_NODE_S * self._nodes * spread
        )

    def reads_configuration(self) -> bool:
        """Return whether this node is one of the two that read the configuration for all.

        In a mesh, where every node watches the store, only these two read the configuration.
        """
        return self._members.name in self._watchers

    def proof_sources(self) -> list[str]:
        """Return linked nodes that can prove how new the configuration is, the best first."""
        linked = self._members.linked
        watchers = sorted(name for name in self._watchers if name in linked)
        if watchers and (self.mesh or self.relay):
            return watchers
        if self.followed:
            return [self.followed]
        rows = [name for name in linked if name in self.relays()]
        return sorted(rows or linked)[: defaults.PROOF_SOURCES_MAX]

    def collecting_s(self, now: float) -> float:
        """Return for how long this node has collected the other nodes' figures, in seconds.

        Other nodes go by the same time: one that took itself for younger would not own what it is
        asked for.
        """
        up_s = max(0.0, now - self._started_at)
        if self.mesh:
            return up_s
        return min(up_s, now - self.relay_since) if self.relay else 0.0

    def owners(self, now: float) -> set[str]:
        """Return the nodes among which owners of organisations are chosen."""
        members = self._members
        ages = {
            name: peer.age_s(now) if self.mesh else peer.collecting_s(now)
            for name in members.linked
            if (peer := members.peers.get(name)) is not None
            and (self.mesh or peer.heartbeat.relay)
            and not peer.heartbeat.leaving
            and now - peer.received_at < defaults.HOLDER_QUIET_S
        }
        if (self.mesh or self.relay) and not self._local.leaving:
            ages[members.name] = self.collecting_s(now)
        return choose_experienced(ages)

    def relays(self) -> set[str]:
        """Return the relays of all data centres, by this node's own view."""
        return {name for names in self._relays.values() for name in names}


class _Candidate(t.NamedTuple):
    """A node to be ranked for a role; ``settled`` once it has run for ``RELAY_SETTLED_S``."""

    name: str
    data_centre: str
    strength: float
    settled: bool
    relay: bool


def listed_node(name: str, address: str, data_centre: str, strength: float) -> BoxListed:
    """Make the box list's row of a live node."""
    return BoxListed(name, address, data_centre, "node", "live", "", strength)
