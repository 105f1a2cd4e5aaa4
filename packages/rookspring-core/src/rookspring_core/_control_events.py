"""Events of the control plane: the store, the lease, the configuration and orders."""

import typing as t

from .catalogue import Entry
from .evacuations import EvacuationList
from .resources import Resource
from .routes import RouteTable


class RouteTableSeen(t.NamedTuple):
    """A route table was received from the platform or another node."""

    at: float
    table: RouteTable


class StoreEraBegan(t.NamedTuple):
    """The platform's store was restored from a backup, or its era is known for the first time.

    :param era: how often the store has been restored.
    """

    at: float
    era: int


class StoreEraDenied(t.NamedTuple):
    """The store's answers have shown that an era that other nodes claim has not begun.

    :param era: the era that the store names.
    """

    at: float
    era: int


class EvacuationsListed(t.NamedTuple):
    """The evacuated data centres, as this node read them in the store or another node sent them.

    :param source: the node that sent them; empty if they come from the store.
    """

    at: float
    found: EvacuationList
    source: str = ""


class StoreRead(t.NamedTuple):
    """This node read the endpoint list from the platform's store.

    :param asked_at: when it asked, or until when nothing changed by the answer; that shows all
        that the store had accepted by then.
    """

    at: float
    asked_at: float


class StoreUnread(t.NamedTuple):
    """A call of this node for the endpoint list failed."""

    at: float


class TableProved(t.NamedTuple):
    """A version of the configuration was proved the newest at some moment; see ``freshness.py``.

    :param as_of: that moment, by this node's own clock.
    """

    at: float
    as_of: float
    version: int


class NearLimitReceived(t.NamedTuple):
    """Another node sent the organisations that were near their limits.

    :param as_of: when they were, by this node's own clock.
    """

    at: float
    as_of: float
    names: tuple[str, ...]


class UsageRestored(t.NamedTuple):
    """The use of the organisations' limits was read, as of the last write of the lease.

    :param shares: organisations, each with the part of its limit that was used.
    """

    at: float
    shares: tuple[tuple[str, float], ...]


class PlatformAnswered(t.NamedTuple):
    """A call to the platform was answered, or none has been for a while."""

    at: float
    reachable: bool


class LeaseSeen(t.NamedTuple):
    """The lease object of an era of the store was read; version 0 when it does not exist.

    :param settled: the holder was already allowed to give orders when it wrote this.
    :param turn_in_s: in a lease that was given up, how long after that another holder may give
        orders, in seconds; None where the object has no such field.
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
    """A write of the lease was answered, or got no answer.

    :param asked_at: when the write was sent.
    :param won: None where no answer came.
    """

    at: float
    asked_at: float
    nonce: str
    won: bool | None
    version: int = 0


class DesiredSeen(t.NamedTuple):
    """The lease holder read all resources as operators wrote them."""

    at: float
    resources: tuple[Resource, ...]


class RevisionSeen(t.NamedTuple):
    """A published revision was received, with all its entries, from the platform or a peer."""

    at: float
    revision: int
    epoch: int
    entries: t.Mapping[str, Entry]


class HeadSeen(t.NamedTuple):
    """The lease holder read the head object, before it publishes."""

    at: float
    version: int
    revision: int


class Published(t.NamedTuple):
    """A publication was answered, or got no answer.

    :param won: None where no answer came.
    """

    at: float
    revision: int
    won: bool | None
    version: int = 0


class OrderAnswered(t.NamedTuple):
    """An order was answered, or got no answer.

    :param accepted: None where no answer came.
    """

    at: float
    endpoint: str
    token: tuple[int, int]
    accepted: bool | None
    reason: str = ""


class OrderDue(t.NamedTuple):
    """The time that an adapter's order is expected to take is over.

    :param taken_before: how many orders the endpoint had taken before it.
    """

    at: float
    endpoint: str
    taken_before: int


class LoadRequested(t.NamedTuple):
    """A node has a request for a model or adapter that is resident on no endpoint.

    :param latest_retry_s: when the caller will have retried at the latest if its request is
        refused, in seconds from now.
    """

    at: float
    service: str
    model: str
    adapter: str
    latest_retry_s: float = 0.0


class IntentWritten(t.NamedTuple):
    """A write of an intent was answered, or got no answer.

    :param won: None where no answer came.
    """

    at: float
    endpoint: str
    sequence: int
    won: bool | None


class IntentsSeen(t.NamedTuple):
    """The orders that earlier lease holders may have sent were read.

    :param intents: endpoints, each with rows of (action, model, version, GB).
    """

    at: float
    intents: tuple[tuple[str, tuple[tuple[str, str, str, float], ...]], ...]
