"""Events of the control jobs: the store, the lease, configuration, orders."""

import typing as t

from .catalogue import Entry
from .resources import Resource
from .routes import RouteTable


class RouteTableSeen(t.NamedTuple):
    """A route table from the platform or another node."""

    at: float
    table: RouteTable


class StoreEraBegan(t.NamedTuple):
    """The platform's store has come back from an older copy, or named its era first.

    :param era: how often it has come back.
    """

    at: float
    era: int


class StoreRead(t.NamedTuple):
    """The platform's store answered this node on the endpoints' list."""

    at: float


class TableProved(t.NamedTuple):
    """A version of the configuration was the newest at a moment; see ``freshness.py``.

    :param as_of: that moment, of this node's own clock.
    """

    at: float
    as_of: float
    version: int


class TightHeard(t.NamedTuple):
    """Which organisations are near their limits, as another node knew at ``as_of``."""

    at: float
    as_of: float
    names: tuple[str, ...]


class UseRecalled(t.NamedTuple):
    """Which parts of their limits organisations had used when the lease was last written."""

    at: float
    shares: tuple[tuple[str, float], ...]


class PlatformAnswered(t.NamedTuple):
    """The platform answered some call, or none did for a while."""

    at: float
    reachable: bool


class LeaseSeen(t.NamedTuple):
    """The lease object of an era of the store as read; version 0 when it does not exist.

    :param settled: its holder was giving orders already when it wrote this.
    :param turn_in_s: where it was given up, how soon after that another may give orders;
        None where nothing is told of it.
    """

    at: float
    version: int
    holder: str
    epoch: int
    nonce: str
    settled: bool = False
    era: int = 0
    turn_in_s: float | None = None


class LeaseWritten(t.NamedTuple):
    """The answer to a lease write; ``asked_at`` is when it was sent."""

    at: float
    asked_at: float
    nonce: str
    won: bool | None
    version: int = 0


class DesiredSeen(t.NamedTuple):
    """All resources as operators wrote them, read by the lease holder."""

    at: float
    resources: tuple[Resource, ...]


class RevisionSeen(t.NamedTuple):
    """A published revision with all its entries, from the platform or a peer."""

    at: float
    revision: int
    epoch: int
    entries: t.Mapping[str, Entry]


class HeadSeen(t.NamedTuple):
    """The head object as the lease holder read it before it publishes."""

    at: float
    version: int
    revision: int


class Published(t.NamedTuple):
    """The answer to a publication; ``won`` is None when it never came."""

    at: float
    revision: int
    won: bool | None
    version: int = 0


class OrderAnswered(t.NamedTuple):
    """The answer to an order; ``accepted`` is None when it never came."""

    at: float
    endpoint: str
    token: tuple[int, int]
    accepted: bool | None
    reason: str = ""


class OrderDue(t.NamedTuple):
    """The time that an adapter's order takes is over."""

    at: float
    endpoint: str
    taken_before: int


class ModelWanted(t.NamedTuple):
    """A node has a request for a model or adapter that is resident nowhere.

    :param back_s: how soon its caller will have come back at the latest, should it be refused
        first.
    """

    at: float
    service: str
    model: str
    adapter: str
    back_s: float = 0.0


class IntentWritten(t.NamedTuple):
    """The answer to an intent's write; ``won`` is None when it never came."""

    at: float
    endpoint: str
    sequence: int
    won: bool | None


class IntentsSeen(t.NamedTuple):
    """Orders that holders before this one may have sent, by endpoint, as rows of
    (action, model, version, GB).
    """

    at: float
    intents: tuple[tuple[str, tuple[tuple[str, str, str, float], ...]], ...]
