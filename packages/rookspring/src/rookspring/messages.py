"""Messages between nodes: ``NamedTuple`` classes in a registry, by their tags on the wire."""

import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported

from ._message_coding import MESSAGES as MESSAGES
from ._message_coding import decode as decode
from ._message_coding import encode as encode
from ._message_coding import message
from ._message_coding import tag_of as tag_of
from .message_rows import Age
from .message_rows import ClearedRow
from .message_rows import CountRow
from .message_rows import CrashRow
from .message_rows import Era
from .message_rows import HintRow
from .message_rows import LeavingRow
from .message_rows import ListedRow
from .message_rows import LoadRow
from .message_rows import MemberRow
from .message_rows import NodeRow
from .message_rows import Number
from .message_rows import Positive
from .message_rows import RateLimitRow
from .message_rows import RateRow
from .message_rows import Revision
from .message_rows import SpeedRow
from .message_rows import SpeedSampleRow
from .message_rows import TrialRow
from .message_rows import UseRow
from .message_rows import VerdictRow


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


@message("speeds")
class EndpointSpeeds(t.NamedTuple):
    """What the sender knows of endpoints' speeds; numbers are in thousandths.

    :param samples: rows of endpoint, model, weight and logarithm of seconds; see ``SampleRow``.
    :param speeds: rows of endpoint and speed.
    """

    samples: list[SpeedSampleRow]
    speeds: list[SpeedRow]


@message("members")
class Members(t.NamedTuple):
    """Nodes that the sender reports, as rows, and those that it no longer reports.

    :param complete: the rows are all that it reports.
    """

    rows: list[MemberRow]
    gone: list[str]
    complete: bool


@message("listed")
class Listed(t.NamedTuple):
    """Entries of endpoints as the store has them, for the sender's followers.

    :param rows: name, revision, value and the store's era; a value of None removes the entry.
    :param complete: the rows are all entries.
    """

    rows: list[ListedRow]
    complete: bool


@message("reports")
class Reports(t.NamedTuple):
    """Reports of endpoints; see :mod:`reports` for the rows."""

    rows: list[EndpointReported | LoadRow]


@message("hints")
class Hints(t.NamedTuple):
    """Prefixes that endpoints have cached, as rows of endpoint and prefixes."""

    rows: list[HintRow]


@message("boxes")
class Boxes(t.NamedTuple):
    """The platform's box list as a relay read it."""

    rows: list[BoxListed]


@message("want")
class RevisionRequest(t.NamedTuple):
    """Request the changes since a revision."""

    since: int


@message("delta", whole=True)
class RevisionDelta(t.NamedTuple):
    """Entries that changed from ``since`` to ``revision``; since 0 means all of them."""

    since: int
    revision: int
    epoch: int
    changed: dict[str, t.Any]
    removed: list[str]


@message("nodes")
class Nodes(t.NamedTuple):
    """Nodes that the sender knows, as rows of name, address, data centre and capacity."""

    rows: list[NodeRow]


@message("coming")
class ModelLoading(t.NamedTuple):
    """A model is being loaded at an endpoint.

    :param ready_in_s: time until it is expected to be resident, in seconds.
    """

    endpoint: str
    model: str
    ready_in_s: Number


@message("down")
class EndpointDown(t.NamedTuple):
    """Nothing listens at an endpoint, as a node has just found."""

    endpoint: str


@message("shed")
class ShedMessage(t.NamedTuple):
    """An endpoint shed a request.

    :param for_s: for how long other endpoints are to be preferred, in seconds.
    """

    endpoint: str
    for_s: Number


@message("leaving")
class LeavingMessage(t.NamedTuple):
    """Leaving endpoints, as rows of name, start time and age of the notice in seconds."""

    rows: list[LeavingRow]


@message("rates")
class RatesMessage(t.NamedTuple):
    """Endpoints' rate limits, as rows of name, start time, version and requests per second.

    The rate is None if the limit has ended; see ``RateRecord``.
    """

    rows: list[RateLimitRow]


@message("evidence")
class EvidenceMessage(t.NamedTuple):
    """Evidence of requests that crash endpoints; see ``Evidence``. All times are in seconds.

    :param crash_records: rows of fingerprint, organisation, endpoint, start time of its process,
        age, and whether the crash was early in the request.
    :param cleared: rows of fingerprint and age.
    :param verdicts: rows of fingerprint, organisation and remaining time.
    :param trials: rows of fingerprint and remaining time.
    """

    crash_records: list[CrashRow]
    cleared: list[ClearedRow]
    verdicts: list[VerdictRow]
    trials: list[TrialRow]


@message("want-table")
class TableRequest(t.NamedTuple):
    """Request the route table."""


@message("table")
class TableMessage(t.NamedTuple):
    """The configuration in the platform's form, for the receiver's dialect to parse.

    :param packed: the value, as :func:`packing.pack` gives it.
    """

    version: int
    packed: bytes


@message("evacuations", whole=True)
class EvacuationsMessage(t.NamedTuple):
    """All evacuated data centres as of a revision of the store.

    :param era: the store's era, in which the revision counts.
    """

    era: Era
    revision: Revision
    data_centres: list[str]


@message("prompts")
class Prompts(t.NamedTuple):
    """Unread prompt tokens, as rows of endpoint and tokens.

    They are those of the sender's requests, or the sum over several nodes' requests.
    """

    rows: list[CountRow]


@message("want-model")
class LoadRequestMessage(t.NamedTuple):
    """Request that the lease holder load what is resident on no endpoint; see ``RequestLoad``.

    :param latest_retry_s: when the caller will have retried at the latest if its request is
        refused, in seconds from now.
    """

    service: str
    model: str
    adapter: str
    latest_retry_s: Number


@message("ask-proof")
class AskProof(t.NamedTuple):
    """Request a proof of how new the configuration is.

    :param stamp: time of sending, by the sender's own clock.
    """

    stamp: Number


@message("proof")
class Proof(t.NamedTuple):
    """The reply: ``version`` was the newest ``age_s`` seconds before the request arrived.

    :param stamp: that of the request.
    :param near_limit: organisations near their limits; None if the sender doesn't collect their
        usage.
    """

    stamp: Number
    age_s: Age
    version: int
    near_limit: list[str] | None


@message("ask-units")
class AskUnits(t.NamedTuple):
    """Ask an organisation's owner whether a request may run.

    :param origin: the node that has the request.
    :param key: the request's id there.
    :param passed: whether another node has forwarded the message.
    """

    origin: str
    key: str
    organisation: str
    units: Number
    passed: bool


@message("units-given")
class UnitsReply(t.NamedTuple):
    """The owner's reply to :class:`AskUnits`.

    :param after_s: 0 if the request may run; else the time to retry, in seconds.
    """

    origin: str
    key: str
    organisation: str
    units: Number
    after_s: Number


@message("units-back")
class UnitsReturned(t.NamedTuple):
    """Return granted units to an organisation's owner, since the request did not run."""

    organisation: str
    units: Number
    passed: bool


@message("ask-slot")
class AskSlots(t.NamedTuple):
    """Request a slot from the owner of its queue; see ``AskSlot``.

    :param origin: the node that has the request.
    :param key: the request's id there.
    """

    origin: str
    key: str
    queue: str
    rank: int
    organisation: str
    wait_s: Number
    avoid: str
    rate: Positive | None
    passed: bool


@message("ask-place")
class AskPlaces(t.NamedTuple):
    """Request a place at a model endpoint from the owner of its queue; see ``PlaceTerms``.

    The owner replies with a :class:`SlotReply`.

    :param origin: the node that has the request.
    :param key: the request's id there.
    """

    origin: str
    key: str
    queue: str
    rank: int
    organisation: str
    wait_s: Number
    prompt_work: int
    work: Number
    passed: bool


@message("slot")
class SlotReply(t.NamedTuple):
    """The owner's reply to :class:`AskSlots` or :class:`AskPlaces`; see ``SlotAnswered``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    after_s: Number
    counts_towards_rate: bool
    avoid_s: Number
    no_known_endpoint: bool


@message("slot-end")
class SlotEnded(t.NamedTuple):
    """Tell the owner of a queue how the answer of a run ended, before its slot is freed.

    A message of its own, as an owner of an earlier version drops one of any other length, and must
    not drop that which frees the slot.

    :param open_end: nothing showed the answer's end; otherwise it was whole.
    """

    queue: str
    endpoint: str
    open_end: bool
    passed: bool


@message("slot-free")
class SlotFreed(t.NamedTuple):
    """Return a slot to the owner of its queue after a run; see ``FreeSlot``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    took_s: Number
    unsent: bool
    passed: bool


@message("stream-origin")
class OriginMessage(t.NamedTuple):
    """Tell an owner which version began a stream; see ``StreamOrigin``.

    :param subject: under which the owner is chosen.
    """

    subject: str
    stream: str
    version: str
    kept_s: Number
    passed: bool


@message("ask-origin")
class AskOrigin(t.NamedTuple):
    """Ask an owner which version began a stream that is taken up again.

    :param origin: the node that has the request.
    """

    origin: str
    subject: str
    stream: str
    service: str
    passed: bool


@message("origin")
class OriginReply(t.NamedTuple):
    """The owner's reply to :class:`AskOrigin`.

    :param version: None if the owner doesn't know it.
    :param several: whether several versions of the service serve, or did so lately.
    """

    origin: str
    subject: str
    stream: str
    service: str
    version: str | None
    several: bool


@message("fwd")
class Forward(t.NamedTuple):
    """A keyed request for the node that issued its session."""

    number: int
    kind: str
    team: str
    fields: dict[str, t.Any]
    body: bytes


@message("fwd-start")
class ForwardStart(t.NamedTuple):
    """The answer's status and headers."""

    number: int
    status: int
    headers: dict[str, str]


@message("fwd-part")
class ForwardPart(t.NamedTuple):
    """A part of the answer's body."""

    number: int
    data: bytes


@message("fwd-end")
class ForwardEnd(t.NamedTuple):
    """The answer is complete."""

    number: int
