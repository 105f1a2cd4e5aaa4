"""Messages about nodes: the greeting on a link, heartbeats, and who else is known."""

import typing as t

from ._message_coding import message
from .message_rows import CountRow
from .message_rows import Era
from .message_rows import MemberRow
from .message_rows import NodeRow
from .message_rows import Number
from .message_rows import RateRow
from .message_rows import UseRow


@message("hello")
class Hello(t.NamedTuple):
    """First message of each side."""

    version: int
    name: str
    incarnation: str
    challenge: bytes


@message("hello-proof")
class HelloProof(t.NamedTuple):
    """Keyed hash over the other side's challenge."""

    digest: bytes


@message("beat")
class Heartbeat(t.NamedTuple):
    """State and load of the sender; fields that :class:`HeartbeatReceived` has mean the same here.

    :param demand: rows of model and rate; ``urgent_demand`` and ``refused_demand`` are parts of it.
    :param inflight: rows of endpoint and count; None if left out.
    :param lease_ended: last epoch of the lease that the sender held and that has lapsed.
    :param used: rows of endpoint and the name of an adapter or model.
    :param prompts: rows of endpoint and unread prompt tokens.
    :param spent: rows of organisation and units.
    :param merged: digest of the sets that all nodes merge; see :mod:`relay_merged`.
    :param store_era: how often the store has been restored from an older backup.
    :param isolated: the sender reaches no endpoint.
    """

    name: str
    incarnation: str
    address: str
    caller_address: str
    data_centre: str
    revision: int
    leaving: bool
    demand: list[RateRow]
    team_demand: list[RateRow]
    lease_epoch: int
    inflight: list[CountRow] | None
    uptime_s: Number = 0.0
    lease_ended: int = 0
    used: list[UseRow] | None = None
    urgent_demand: list[RateRow] | None = None
    refused_demand: list[RateRow] | None = None
    capacity: Number = 0.0
    relay: bool = False
    watches: bool = False
    follows: bool = False
    aggregated: bool = False
    store_age_s: Number = 0.0
    prompts: list[CountRow] | None = None
    spent: list[RateRow] | None = None
    relay_s: Number = 0.0
    merged: int = 0
    store_era: Era = 0
    isolated: bool = False


@message("members")
class Members(t.NamedTuple):
    """Nodes that the sender reports, as rows, and those that it no longer reports.

    :param complete: the rows are all that it reports.
    """

    rows: list[MemberRow]
    gone: list[str]
    complete: bool


@message("nodes")
class Nodes(t.NamedTuple):
    """Nodes that the sender knows, as rows of name, address, data centre and capacity."""

    rows: list[NodeRow]
