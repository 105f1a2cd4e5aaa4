"""Events of endpoints: what they, the platform's list and other nodes tell of them."""

import typing as t

from .notices import Leaving
from .notices import Notice
from .request_rates import RateWord
from .suspects import Evidence


class EndpointSaid(t.NamedTuple):
    """What the head of an endpoint's answer says of the endpoint, whatever it answers.

    :param endpoint: which was asked, at this address.
    :param born: the start of its life as it was known when it was asked; 0 where it was not.
    :param target: the model that was asked for, and the adapter; empty where it was none.
    :param asked_at: when the request left that it answers; None where it answers none, or it
        is not known which.
    """

    at: float
    endpoint: str
    born: int
    notice: Notice
    address: str = ""
    target: str = ""
    adapter: str = ""
    asked_at: float | None = None


class RatesHeard(t.NamedTuple):
    """What another node tells of how many requests a second endpoints take.

    :param source: the node that told it.
    """

    at: float
    rows: tuple[RateWord, ...]
    source: str


class LeavingHeard(t.NamedTuple):
    """What another node tells of endpoints that leave.

    :param source: the node that told it.
    """

    at: float
    rows: tuple[Leaving, ...]
    source: str


class ShedHeard(t.NamedTuple):
    """Another node tells that an endpoint turned a request away.

    :param for_s: how long it is spared there, in seconds.
    """

    at: float
    endpoint: str
    for_s: float


class EvidenceHeard(t.NamedTuple):
    """What another node, or the platform's store, tells of requests under which endpoints ended.

    :param source: the node that told it.
    """

    at: float
    evidence: Evidence
    source: str


class EndpointReported(t.NamedTuple):
    """A load report of one endpoint, from a poll or from a peer's digest.

    :param running: requests that run there; ``LOAD_UNTOLD`` where it does not tell.
    :param age_s: how old the figures were when they came.
    :param own: the endpoint gave it itself, on being asked by this node.
    :param in_memory: models that the endpoint keeps in its box's memory, beside those
        that are resident; they load fastest.
    :param on_disk: models that it keeps on its box's disk, also over a restart.
    :param born: when the endpoint was started, by its box's clock in milliseconds; 0 where it
        does not tell. It may start again under its name; see :mod:`lives`.
    :param sure: this is the endpoint's last life, though it tells an earlier start.
    """

    at: float
    endpoint: str
    incarnation: str
    age_s: float
    slots: int
    running: int
    queued: int
    token_rate: float
    stream_rate: float
    memory_gb: float
    resident: tuple[tuple[str, str], ...] = ()
    loading: tuple[tuple[str, str], ...] = ()
    adapters: tuple[str, ...] = ()
    held_gb: float = 0.0
    leaving: bool = False
    checks_orders: bool = False
    order_token: tuple[int, int] = (0, 0)
    own: bool = False
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    born: int = 0
    sure: bool = False


class CacheEventsCame(t.NamedTuple):
    """Prefixes that an endpoint says it holds, late and with gaps."""

    at: float
    endpoint: str
    prefixes: tuple[int, ...]


class ReportMissed(t.NamedTuple):
    """An endpoint did not answer a poll."""

    at: float
    endpoint: str


class BoxListed(t.NamedTuple):
    """One row of the platform's box list.

    :param strength: how much a node can carry, as in :class:`PeerHeard`.
    :param born: when an endpoint was started, as in :class:`EndpointReported`.
    """

    name: str
    address: str
    data_centre: str
    role: str
    state: str
    service: str = ""
    strength: float = 0.0
    born: int = 0


class BoxListCame(t.NamedTuple):
    """The platform's box list, a late hint."""

    at: float
    boxes: tuple[BoxListed, ...]


class PromptsHeard(t.NamedTuple):
    """What a node says endpoints are still to read of its requests' prompts.

    :param rows: endpoints, each with tokens.
    """

    at: float
    name: str
    rows: tuple[tuple[str, int], ...]


class ComingHeard(t.NamedTuple):
    """Another node has a model loaded at an endpoint.

    :param in_s: how soon it is expected to be there, in seconds.
    """

    at: float
    endpoint: str
    model: str
    in_s: float


class DownHeard(t.NamedTuple):
    """Another node has found that nothing listens at an endpoint."""

    at: float
    endpoint: str
