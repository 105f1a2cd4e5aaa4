"""Events that the reducer takes. Each carries its time, in seconds, which never goes back.

An event says what happened, never what to do. Times are of the node's own
monotonic clock; only durations cross between nodes.
"""

import math
import typing as t

from .catalogue import Entry
from .notices import Leaving
from .notices import Notice
from .resources import Resource
from .routes import RouteTable
from .suspects import Evidence


class Ticked(t.NamedTuple):
    """Time went on; queues, leases, limits and plans look whether something is due."""

    at: float


class RouteTerms(t.NamedTuple):
    """What a route grants a request that is passed through as it is.

    :param service: whose endpoints may serve it.
    :param attempts: most endpoints that it may be sent to.
    :param patience_s: longest wait for room before it is refused, in seconds.
    :param objective_s: an answer within it is worth the most; 0 where none is known.
    """

    name: str
    service: str
    version: int
    rank: int
    attempts: int
    patience_s: float
    objective_s: float = 0.0


class RequestArrived(t.NamedTuple):
    """A caller's request was read and its team established.

    :param team: the product's team, or the organisation that holds a relayed request's
        key; empty where it needs none.
    :param key: digest of the caller's key; empty where it needs none.
    :param told_tokens: of the prompt and the most of the answer, as the caller tells them.
    :param fingerprint: the same for each time that this request comes; see :mod:`fingerprints`.
    """

    at: float
    request_id: str
    team: str
    target: str
    service: bool = False
    adapter: str = ""
    priority: str = "normal"
    deadline_at: float = 0.0
    tokens: int = 0
    prompt_tokens: int = 0
    prefix: int = 0
    repeatable: bool = True
    once_key: tuple[str, int] | None = None
    body_digest: str = ""
    stream: bool = False
    route: RouteTerms | None = None
    key: str = ""
    told_tokens: int | None = None
    fingerprint: str = ""


class ResumeAsked(t.NamedTuple):
    """A caller came back for a stream that runs at an endpoint already.

    :param endpoint: where its resume token says that it runs.
    :param continuable: the caller gave the text so far, so another endpoint may go on.
    """

    at: float
    request_id: str
    team: str
    target: str
    endpoint: str
    offset: int
    tokens: int
    deadline_at: float
    continuable: bool


class AttemptStarted(t.NamedTuple):
    """The first byte of a request may have left for its endpoint."""

    at: float
    request_id: str
    attempt: int


class AttemptProgressed(t.NamedTuple):
    """Tokens of an attempt were passed on to the caller, batched."""

    at: float
    request_id: str
    attempt: int
    tokens: int


class AttemptSucceeded(t.NamedTuple):
    """The endpoint's whole answer was passed on."""

    at: float
    request_id: str
    attempt: int
    status: int = 200
    answer: bytes = b""


class AttemptFailed(t.NamedTuple):
    """An attempt ended without a whole answer.

    :param sent: a byte of the request may have reached the endpoint.
    :param said_not_run: the endpoint's own protocol said that it did not run.
    :param down: nothing listens at the endpoint's address any more.
    :param broken: the endpoint ended the connection before its answer was whole.
    :param withheld: nothing was sent, since the endpoint was found to want nothing.
    """

    at: float
    request_id: str
    attempt: int
    sent: bool
    said_not_run: bool
    reason: str
    down: bool = False
    broken: bool = False
    withheld: bool = False


class EndpointSaid(t.NamedTuple):
    """What the head of an endpoint's answer says of the endpoint, whatever it answers.

    :param endpoint: which was asked, at this address.
    :param born: the start of its life as it was known when it was asked; 0 where it was not.
    :param target: the model that was asked for, and the adapter; empty where it was none.
    """

    at: float
    endpoint: str
    born: int
    notice: Notice
    address: str = ""
    target: str = ""
    adapter: str = ""


class ShedHeard(t.NamedTuple):
    """Another node tells that an endpoint turned a request away.

    :param for_s: how long it is spared there, in seconds.
    """

    at: float
    endpoint: str
    for_s: float


class LeavingHeard(t.NamedTuple):
    """What another node tells of endpoints that leave.

    :param source: the node that told it.
    """

    at: float
    rows: tuple[Leaving, ...]
    source: str


class CallerLeft(t.NamedTuple):
    """The caller's connection ended before its answer did."""

    at: float
    request_id: str


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


class RouteTableSeen(t.NamedTuple):
    """A route table from the platform or another node."""

    at: float
    table: RouteTable


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


class AllotmentAnswered(t.NamedTuple):
    """An organisation's owner has decided on a request.

    :param after_s: 0 where it is granted, else when there may be room, in seconds.
    """

    at: float
    request_id: str
    organisation: str
    units: float
    after_s: float


class SlotAnswered(t.NamedTuple):
    """A plain service's owner has answered a request that needs a slot.

    :param endpoint: where it has one; empty where it waits or is refused.
    :param after_s: when to come back where it is refused, in seconds; else 0.
    """

    at: float
    request_id: str
    service: str
    endpoint: str
    after_s: float


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


class PeerLost(t.NamedTuple):
    """The stream to another node ended."""

    at: float
    name: str


class PlatformAnswered(t.NamedTuple):
    """The platform answered some call, or none did for a while."""

    at: float
    reachable: bool


class LeaseSeen(t.NamedTuple):
    """The lease object as read; version 0 when it does not exist.

    :param settled: its holder was giving orders already when it wrote this.
    """

    at: float
    version: int
    holder: str
    epoch: int
    nonce: str
    settled: bool = False


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


class DrainAsked(t.NamedTuple):
    """An operator or a signal asked this node to stop as planned."""

    at: float
    hurry: bool = False


class SessionOpened(t.NamedTuple):
    """A caller asked for a session; the daemon made its identifier."""

    at: float
    session: str
    team: str


Event = (
    Ticked
    | RequestArrived
    | ResumeAsked
    | AttemptStarted
    | AttemptProgressed
    | AttemptSucceeded
    | AttemptFailed
    | EndpointSaid
    | LeavingHeard
    | ShedHeard
    | CallerLeft
    | EvidenceHeard
    | EndpointReported
    | CacheEventsCame
    | ReportMissed
    | BoxListCame
    | RouteTableSeen
    | PeerHeard
    | MembersHeard
    | PeerUnreached
    | StoreRead
    | TableProved
    | TightHeard
    | UseRecalled
    | AllotmentAnswered
    | SlotAnswered
    | PromptsHeard
    | ComingHeard
    | DownHeard
    | PeerLost
    | PlatformAnswered
    | LeaseSeen
    | LeaseWritten
    | DesiredSeen
    | RevisionSeen
    | HeadSeen
    | Published
    | OrderAnswered
    | ModelWanted
    | OrderDue
    | IntentWritten
    | IntentsSeen
    | DrainAsked
    | SessionOpened
)
