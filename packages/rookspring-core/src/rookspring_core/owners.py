"""Ownership of limits: which node decides on a subject for all nodes, and since when.

A limit on a sum over all nodes is enforced by one of them, the *owner* of its subject: an
organisation's allotment, the slots of a plain service, the rate limit of an endpoint. Every node
computes the owners from its own view of the nodes, so two may regard themselves as the owner of
one subject for a short time, until the nodes have learnt that one has joined, left, frozen or was
cut off. An owner that has just become one, or becomes one again, therefore allows for what
another may have granted; how depends on the kind of subject.
"""

import collections
import typing as t

from . import defaults
from .hashing import stable_hash


def choose_owner(subject: str, nodes: t.Iterable[str]) -> str:
    """Choose the owner of a subject; nodes with the same view of the nodes choose the same one.

    Rendezvous hashing: when a node goes, only its own subjects move to other nodes.
    """
    return max(nodes, key=lambda node: stable_hash("allotment", subject, node), default="")


def choose_experienced(ages: t.Mapping[str, float]) -> set[str]:
    """Choose the nodes among which owners are chosen.

    A node that has seen for less time what runs misses a part that others know of. Nodes that have
    started together stay candidates together: if the first that is old enough were the only one, it
    would take the subjects of all others, which would take them back a moment later, and each that
    takes a rate limit over grants nothing for a while.

    :param ages: for how long each node has seen what runs, in seconds.
    """
    longest_s = max(ages.values(), default=0.0)
    least_s = min(defaults.OWNER_AGE_S, longest_s - defaults.OWNER_AGE_SPREAD_S)
    return {name for name, age_s in ages.items() if age_s >= least_s}


class _Tenure:
    """Since when this node has owned a subject without a gap, and when it last decided on it."""

    __slots__ = ("asked_at", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self.asked_at = now


class OwnerTable:
    """The subjects that this node owns, and the share of the nodes that it sees.

    :param name: this node's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tenures: dict[str, _Tenure] = {}
        self._updated_at = -1e9
        # The candidate nodes at the last update, and the subjects added since.
        self._nodes: frozenset[str] = frozenset()
        self._added: set[str] = set()
        # Nodes visible now, as a share of the most that were visible within VISIBLE_KEPT_S.
        self.visible_share = 1.0
        self._visible: collections.deque[tuple[float, int]] = collections.deque()

    def owned_since(self, subject: str, now: float) -> float:
        """Return since when this node has owned a subject without a gap, starting now if new."""
        self._drop_after_gap(now)
        tenure = self._tenures.get(subject)
        if tenure is None:
            tenure = self._tenures[subject] = _Tenure(now)
            self._added.add(subject)
        tenure.asked_at = now
        return tenure.since

    def owns(self, subject: str) -> bool:
        """Return whether this node owns a subject that it has recently decided on."""
        return subject in self._tenures

    def update_nodes(self, nodes: t.Collection[str], now: float) -> None:
        """Update the candidate nodes, at each tick; drops idle subjects and those of others."""
        self._drop_after_gap(now)
        self._updated_at = now
        unchecked = self._added if self._nodes == nodes else set(self._tenures)
        self._nodes = frozenset(nodes)
        lost = {one for one in unchecked if choose_owner(one, nodes) != self._name}
        lost |= {one for one, tenure in self._tenures.items() if _idle(tenure, now)}
        self._added = set()
        for subject in lost:
            self._tenures.pop(subject, None)

    def _drop_after_gap(self, now: float) -> None:
        """Drop all subjects if this node did not run for a while: others may have taken over."""
        if now - self._updated_at > defaults.OWNER_GAP_S:
            self._tenures.clear()

    def record_visible(self, nodes: int, now: float) -> None:
        """Record how many nodes are visible to this one now, including itself.

        In a network partition each side may have an owner. Each side therefore grants only its
        share of each limit, until the others are visible again or ``VISIBLE_KEPT_S`` has passed.
        """
        while self._visible and now - self._visible[0][0] > defaults.VISIBLE_KEPT_S:
            self._visible.popleft()
        while self._visible and self._visible[-1][1] <= nodes:
            self._visible.pop()
        self._visible.append((now, nodes))
        self.visible_share = nodes / self._visible[0][1]


def _idle(tenure: _Tenure, now: float) -> bool:
    return now - tenure.asked_at > defaults.OWNER_IDLE_S
