"""Events of this node and the others: time, heartbeats, links and the planned stop."""

import math
import typing as t


class Ticked(t.NamedTuple):
    """Time went on; queues, leases, limits and plans look whether something is due."""

    at: float


class PeerHeard(t.NamedTuple):
    """A heartbeat of another node; what is None was left out.

    :param prompts: tokens of its requests that endpoints are still to read.
    :param up_s: how long it has run, in seconds.
    :param strength: how much it can carry; 1 is a whole core and the link for it.
    :param relay: it passes on what the nodes of its data centre tell.
    :param relay_s: for how long, in seconds.
    :param watches: it asks the platform's store itself.
    :param follows: it takes the store's lists, and the others' work, from this node.
    :param summed: its figures come within those of another node.
    :param store_age_s: how old what it knows of the platform's store is, in seconds.
    :param spent: what it has let in of organisations since it told last.
    """

    at: float
    name: str
    incarnation: str
    address: str
    caller_address: str
    data_centre: str
    revision: int
    leaving: bool
    demand: tuple[tuple[str, float], ...] = ()
    team_demand: tuple[tuple[str, float], ...] = ()
    lease_epoch: int = 0
    lease_ended: int = 0
    used: tuple[tuple[str, str], ...] = ()
    urgent: tuple[tuple[str, float], ...] = ()
    missed: tuple[tuple[str, float], ...] = ()
    inflight: tuple[tuple[str, int], ...] | None = ()
    prompts: tuple[tuple[str, int], ...] | None = None
    up_s: float = 0.0
    strength: float = 0.0
    relay: bool = False
    watches: bool = False
    follows: bool = False
    summed: bool = False
    store_age_s: float = math.inf
    spent: tuple[tuple[str, float], ...] | None = None
    relay_s: float = 0.0


class MembersHeard(t.NamedTuple):
    """What a linked node says of nodes that need not be linked to this one.

    :param source: the node that says so.
    :param gone: nodes that it vouches for no more.
    :param whole: these are all that it vouches for.
    """

    at: float
    source: str
    rows: tuple[PeerHeard, ...]
    gone: tuple[str, ...] = ()
    whole: bool = False


class PeerUnreached(t.NamedTuple):
    """A node was dialled and no link came about."""

    at: float
    name: str


class PeerLost(t.NamedTuple):
    """The stream to another node ended."""

    at: float
    name: str


class DrainAsked(t.NamedTuple):
    """An operator or a signal asked this node to stop as planned."""

    at: float
    hurry: bool = False
