"""Which node decides for all, and since when.

A bound on a sum over all nodes is kept by one of them, the *owner* of its subject: an
organisation's allotment, the slots of a plain service, the requests a second that an endpoint
takes. Every node works out the owners for itself, so two may think that they own one subject
for a moment: while word of a node that came, left, froze or was cut off goes round. An owner that
has just begun, or begins anew, therefore takes as spent what another may have given; how, is up
to what it gives.
"""

import collections
import typing as t

from . import defaults
from .mixing import mix


def choose_owner(subject: str, nodes: t.Iterable[str]) -> str:
    """Choose the node that decides on a subject: the same one wherever all know all.

    By rendezvous hashing, so a node that goes moves only what it owned.
    """
    return max(nodes, key=lambda node: mix("allotment", subject, node), default="")


class _Tenure:
    """Since when this node decides on a subject without a gap, and when it was asked last."""

    __slots__ = ("asked_at", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self.asked_at = now


class OwnerTable:
    """What this node decides for all, and which part of the nodes it may decide for.

    :param name: this node's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._tenures: dict[str, _Tenure] = {}
        self._kept_at = -1e9
        # Among which nodes the owners were at the last look, and what has begun since.
        self._nodes: frozenset[str] = frozenset()
        self._begun: set[str] = set()
        # Part of the nodes of the last while that this node hears of.
        self.reach = 1.0
        self._visible: collections.deque[tuple[float, int]] = collections.deque()

    def begin(self, subject: str, now: float) -> float:
        """Give since when this node decides on a subject without a gap: now, at the latest."""
        self._end_gap(now)
        tenure = self._tenures.get(subject)
        if tenure is None:
            tenure = self._tenures[subject] = _Tenure(now)
            self._begun.add(subject)
        tenure.asked_at = now
        return tenure.since

    def decides(self, subject: str) -> bool:
        """Say whether this node has decided on a subject lately, without a gap."""
        return subject in self._tenures

    def keep(self, nodes: t.Collection[str], now: float) -> None:
        """Take, at a tick, among which nodes the owners are; what others own now has ended."""
        self._end_gap(now)
        self._kept_at = now
        looked = self._begun if self._nodes == nodes else set(self._tenures)
        self._nodes = frozenset(nodes)
        lost = {one for one in looked if choose_owner(one, nodes) != self._name}
        lost |= {one for one, tenure in self._tenures.items() if _idle(tenure, now)}
        self._begun = set()
        for subject in lost:
            self._tenures.pop(subject, None)

    def _end_gap(self, now: float) -> None:
        """End all where this node stood still: others have taken over meanwhile."""
        if now - self._kept_at > defaults.OWNER_GAP_S:
            self._tenures.clear()

    def note_visible(self, nodes: int, now: float) -> None:
        """Take how many nodes this one hears of now, itself among them.

        What is cut off may have an owner of its own, so a part of the nodes gives a part of
        each limit until the others are back, or have long been gone.
        """
        while self._visible and now - self._visible[0][0] > defaults.VISIBLE_KEPT_S:
            self._visible.popleft()
        while self._visible and self._visible[-1][1] <= nodes:
            self._visible.pop()
        self._visible.append((now, nodes))
        self.reach = nodes / self._visible[0][1]


def _idle(tenure: _Tenure, now: float) -> bool:
    return now - tenure.asked_at > defaults.OWNER_IDLE_S
