"""Moments at which endpoints broke answers off, which nodes tell each other.

A process that ends, or gives its runs up, closes the connections of all nodes at one moment. A node
that had only one answer there, which ends with its connection, sees nothing else; another node may
have seen an answer break off. Each tells at once, before the others look at their own ends.
"""

import collections
import math
import typing as t

from . import planned_ends

# How much later than it was such a moment seems to another node: the way of a message over two
# relays, which is sent with the moment's age. The ends are looked at 0.1 s after the close.
WAY_MAX_S = 0.06
# How many moments of one endpoint a node tells others, or passes on, within a second.
TOLD_MAX_PER_S = 4
# For how long moments are kept: an end may be held back for 1.5 s before it is looked at.
KEPT_S = 2.0
KEPT_MAX = 16


class _Moment(t.NamedTuple):
    """A moment in seconds of this node's clock.

    :param told_by_other: another node saw it.
    :param shared: this node told others of it.
    """

    at: float
    told_by_other: bool
    shared: bool


class BreakMoments:
    """The latest moments at which endpoints broke answers off, by endpoint."""

    def __init__(self) -> None:
        self._moments: dict[str, collections.deque[_Moment]] = {}
        self._swept_at = -math.inf

    def note(self, endpoint: str, broke_at: float, told_by_other: bool, now: float) -> bool:
        """Note a moment; return whether the other nodes are to be told.

        They are unless they have been told of it already, or of too many.
        """
        self._forget_old(now)
        moments = self._moments.setdefault(endpoint, collections.deque(maxlen=KEPT_MAX))
        shared = [one for one in moments if one.shared]
        late_s = WAY_MAX_S if told_by_other else 0.0
        known = any(_is_same(broke_at, one, late_s) for one in shared)
        lately = sum(now - one.at < 1.0 for one in shared)
        shares = not known and lately < TOLD_MAX_PER_S
        if shares or told_by_other:
            moments.append(_Moment(broke_at, told_by_other, shares))
        return shares

    def broke_elsewhere(self, endpoint: str, ended_at: float) -> bool:
        """Return whether another node saw an answer break off as one of this node's ended."""
        moments = self._moments.get(endpoint, ())
        return any(one.told_by_other and _is_same(ended_at, one) for one in moments)

    def _forget_old(self, now: float) -> None:
        """Forget old ones now and then, as all endpoints of a data centre may break at once."""
        if now - self._swept_at < KEPT_S:
            return
        self._swept_at = now
        for endpoint, moments in list(self._moments.items()):
            if not moments or now - moments[-1].at > KEPT_S:
                del self._moments[endpoint]


def _is_same(at: float, moment: _Moment, late_s: float = 0.0) -> bool:
    """Return whether a moment may be another one.

    :param late_s: how much later than it was the first may seem.
    """
    later_s = moment.at - at
    most_s = planned_ends.STOP_SPREAD_S + (WAY_MAX_S if moment.told_by_other else 0.0)
    return -planned_ends.STOP_SPREAD_S - late_s <= later_s <= most_s
