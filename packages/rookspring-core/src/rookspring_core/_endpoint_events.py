"""Events about endpoints, from the endpoints, the platform's list and other nodes."""

import typing as t

from .close_records import CloseCount
from .notices import Leaving
from .notices import Notice
from .request_rates import RateRecord
from .speed_samples import SampleRow
from .suspects import Evidence


class NoticeReceived(t.NamedTuple):
    """The head of an endpoint's answer carried a notice about the endpoint itself.

    :param endpoint: the endpoint that the request was sent to, at this address.
    :param started_ms: start of the endpoint's process as known when the request was sent, as in
        :class:`EndpointReported`.
    :param target: the model of the request; empty where there was none.
    :param adapter: the adapter of the request; empty where there was none.
    :param asked_at: when the request was sent that this answers; None where it answers none, or
        it is not known which.
    """

    at: float
    endpoint: str
    started_ms: int
    notice: Notice
    address: str = ""
    target: str = ""
    adapter: str = ""
    asked_at: float | None = None


class RatesReceived(t.NamedTuple):
    """Another node sent the request rates that endpoints accept.

    :param source: the node that sent them.
    """

    at: float
    rows: tuple[RateRecord, ...]
    source: str


class LeavingReceived(t.NamedTuple):
    """Another node sent endpoints that are leaving.

    :param source: the node that sent them.
    """

    at: float
    rows: tuple[Leaving, ...]
    source: str


class ShedReceived(t.NamedTuple):
    """An endpoint turned away a request of another node.

    :param for_s: how long that node prefers other endpoints, in seconds.
    """

    at: float
    endpoint: str
    for_s: float


class EndpointBroke(t.NamedTuple):
    """An endpoint broke an answer off, or closed answers together; see :mod:`break_moments`.

    :param broke_at: when that was, by this node's clock.
    :param source: the node that told it; empty if this one saw it.
    """

    at: float
    endpoint: str
    broke_at: float
    source: str = ""


class CloseCountsReceived(t.NamedTuple):
    """Another node's counts of answers that ended with their connection."""

    at: float
    source: str
    rows: tuple[CloseCount, ...]


class EvidenceReceived(t.NamedTuple):
    """Evidence of requests during which endpoints crashed came from a node or the store.

    :param source: the node that sent it.
    """

    at: float
    evidence: Evidence
    source: str


class EndpointReported(t.NamedTuple):
    """A load report of one endpoint, from a poll or from a peer's digest.

    :param age_s: age of the figures when they were received, in seconds.
    :param running: requests that run there; ``LOAD_UNREPORTED`` where the report lacks it.
    :param polled: the endpoint itself sent the report in answer to this node.
    :param in_memory: models that are not resident but cached in its box's memory, from where they
        load fastest.
    :param on_disk: models that are cached on its box's disk; they survive a restart of the box.
    :param started_ms: when the endpoint's process started, by its box's clock in milliseconds; 0
        where it is not reported. It may restart under the same name; see :mod:`restarts`.
    :param start_confirmed: this is the endpoint's latest process although its start is earlier than
        that of a process before it, as after a step back of the box's clock.
    :param ends_in_s: in how many seconds the endpoint ends at the latest, as it states; None if it
        states nothing.
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
    polled: bool = False
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    started_ms: int = 0
    start_confirmed: bool = False
    ends_in_s: float | None = None


class CacheEventsReceived(t.NamedTuple):
    """An endpoint sent prefixes that it has cached; these events may be late or lost."""

    at: float
    endpoint: str
    prefixes: tuple[int, ...]


class ReportMissed(t.NamedTuple):
    """An endpoint did not answer a poll."""

    at: float
    endpoint: str


class BoxListed(t.NamedTuple):
    """One row of the platform's box list.

    :param capacity: load that a node can carry, as in :class:`HeartbeatReceived`.
    :param started_ms: when an endpoint's process started, as in :class:`EndpointReported`.
    :param version: of an endpoint's software, not of its models; empty if it states none.
    """

    name: str
    address: str
    data_centre: str
    role: str
    state: str
    service: str = ""
    capacity: float = 0.0
    started_ms: int = 0
    version: str = ""


class BoxListReceived(t.NamedTuple):
    """The platform's box list was received; it may be out of date."""

    at: float
    boxes: tuple[BoxListed, ...]


class PromptsReceived(t.NamedTuple):
    """A node sent how much of its requests' prompts endpoints have yet to read.

    :param name: the node.
    :param rows: endpoints, each with its unread prompt tokens.
    """

    at: float
    name: str
    rows: tuple[tuple[str, int], ...]


class LoadingReceived(t.NamedTuple):
    """Another node has ordered a model's load at an endpoint.

    :param in_s: time until it is expected to be resident, in seconds.
    """

    at: float
    endpoint: str
    model: str
    in_s: float


class DownReceived(t.NamedTuple):
    """Another node found that nothing listens at an endpoint's address."""

    at: float
    endpoint: str


class ReachProbed(t.NamedTuple):
    """This node has tried to connect to several endpoints.

    :param reached: one of them accepted a connection.
    :param endpoint: that one.
    """

    at: float
    reached: bool
    endpoint: str = ""


class EventGapMeasured(t.NamedTuple):
    """The time between events of a stream was measured at this node.

    :param endpoint: the endpoint that sent the events.
    :param gap_s: low quantile of the times from one event to the next, in seconds.
    """

    at: float
    endpoint: str
    model: str
    gap_s: float


class SpeedsReceived(t.NamedTuple):
    """Another node sent what it knows of endpoints' speeds.

    :param source: the node that sent it.
    :param samples: its samples, or the sums over a relay's group.
    :param speeds: endpoints with the speeds that the source has computed.
    """

    at: float
    source: str
    samples: tuple[SampleRow, ...]
    speeds: tuple[tuple[str, float], ...]
