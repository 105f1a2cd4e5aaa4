"""Events of this node and its peers: time, heartbeats, links and the planned stop."""

import math
import typing as t


class Ticked(t.NamedTuple):
    """Time passed; checks whether work is due in queues, leases, limits and plans."""

    at: float


class HeartbeatReceived(t.NamedTuple):
    """A heartbeat of another node; fields that it left out are None.

    :param caller_address: address at which callers reach it.
    :param used: models and adapters that its requests use, each with its endpoint.
    :param urgent_demand: the part of its demand that can't wait for a load, by model.
    :param refused_demand: the part of its demand that was refused for lack of room, by model.
    :param prompts: prompt tokens of its requests that endpoints have yet to read.
    :param uptime_s: how long its process has run, in seconds.
    :param capacity: load that it can carry; 1 is a whole core and the link for it.
    :param relay: it forwards the messages of the nodes of its data centre.
    :param relay_s: how long it has been a relay, in seconds.
    :param watches: it reads the platform's store itself.
    :param follows: it gets the store's lists, and the other nodes' load, from this node.
    :param aggregated: its figures are included in those of another node.
    :param store_age_s: age of what it knows of the platform's store, in seconds.
    :param isolated: it reaches no endpoint.
    :param spent: units of organisations' allotments that it has let in since it last sent this.
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
    urgent_demand: tuple[tuple[str, float], ...] = ()
    refused_demand: tuple[tuple[str, float], ...] = ()
    inflight: tuple[tuple[str, int], ...] | None = ()
    prompts: tuple[tuple[str, int], ...] | None = None
    uptime_s: float = 0.0
    capacity: float = 0.0
    relay: bool = False
    watches: bool = False
    follows: bool = False
    aggregated: bool = False
    store_age_s: float = math.inf
    spent: tuple[tuple[str, float], ...] | None = None
    relay_s: float = 0.0
    isolated: bool = False


class MembersReceived(t.NamedTuple):
    """A linked node sent what it knows of nodes that this one may have no link to.

    :param source: the node that sent it.
    :param rows: nodes that are alive, as far as the source knows.
    :param removed: nodes that it no longer vouches for.
    :param complete: the rows are all that it vouches for.
    """

    at: float
    source: str
    rows: tuple[HeartbeatReceived, ...]
    removed: tuple[str, ...] = ()
    complete: bool = False


class PeerUnreached(t.NamedTuple):
    """An attempt to open a link to a node failed."""

    at: float
    name: str


class PeerLost(t.NamedTuple):
    """The link to another node closed."""

    at: float
    name: str


class DrainAsked(t.NamedTuple):
    """An operator or a signal requested the planned stop of this node.

    :param hurry: don't continue to serve until the addresses that callers have cached expire.
    """

    at: float
    hurry: bool = False


class GraceEnded(t.NamedTuple):
    """The process has to end now, whatever the planned stop still waits for."""

    at: float
