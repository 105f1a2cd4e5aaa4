"""Effects that the reducer asks for; the daemon's loop performs them.

An effect is data. Its answer, if it has one, comes back as an event.
"""

import typing as t

from .catalogue import Entry
from .events import EndpointReported
from .notices import Leaving
from .request_rates import RateWord
from .suspects import Evidence

IntentRow = tuple[str, str, str, float]


class Dispatch(t.NamedTuple):
    """Send a request to an endpoint, as the given attempt.

    :param offset: tokens already with the caller, to be continued from.
    """

    request_id: str
    attempt: int
    endpoint: str
    offset: int
    not_before: float = 0.0


class Attach(t.NamedTuple):
    """Read on from a stream that runs at an endpoint already."""

    request_id: str
    attempt: int
    endpoint: str
    offset: int


class Refuse(t.NamedTuple):
    """Answer a caller with an error.

    :param outcome: ``not_run``, ``unknown`` or ``ran``.
    :param retry_after_s: when to come back, in seconds; 0 leaves it out.
    """

    request_id: str
    status: int
    reason: str
    outcome: str
    message: str
    retry_after_s: float = 0.0


class Replay(t.NamedTuple):
    """Give a remembered answer again."""

    request_id: str
    status: int
    answer: bytes


class Cancel(t.NamedTuple):
    """Stop an attempt whose caller has left."""

    request_id: str
    attempt: int
    endpoint: str


class Forget(t.NamedTuple):
    """A request is over; its I/O may be let go."""

    request_id: str


class WriteLease(t.NamedTuple):
    """Write the lease object of an era on the condition that it is still at ``version``.

    :param settled: the holder may give orders already.
    :param turn_in_s: where the lease is given up, how soon another may give orders; None
        else.
    """

    version: int
    epoch: int
    nonce: str
    settled: bool = False
    era: int = 0
    turn_in_s: float | None = None


class ReadDesired(t.NamedTuple):
    """Begin to follow operators' resources and read intents left by others."""

    epoch: int


class Publish(t.NamedTuple):
    """Write shards, then move the head on the condition of its version."""

    revision: int
    epoch: int
    head_version: int
    entries: t.Mapping[str, Entry]


class ReadHead(t.NamedTuple):
    """Read the head again, to learn whether an unanswered write took effect."""

    revision: int


class WriteIntent(t.NamedTuple):
    """Record what may reach an endpoint that does not check, before an order is sent.

    :param rows: every order that may arrive yet, as (action, model, version, GB);
        they replace what was recorded before.
    """

    endpoint: str
    epoch: int
    sequence: int
    rows: tuple[IntentRow, ...]


class SendOrder(t.NamedTuple):
    """Give an endpoint an order. ``action`` is load, unload, seal, attach or detach."""

    endpoint: str
    address: str
    token: tuple[int, int]
    action: str
    model: str = ""
    model_version: str = ""
    memory_gb: float = 0.0


class Want(t.NamedTuple):
    """Tell the lease holder that a request waits for what is resident nowhere.

    :param back_s: how soon its caller will have come back at the latest, should it be refused
        first.
    """

    service: str
    model: str
    adapter: str
    back_s: float = 0.0


class WantDeclined(t.NamedTuple):
    """Tell operators why nothing is ordered now for an adapter that requests wait for."""

    adapter: str
    why: str


class WantEnded(t.NamedTuple):
    """Tell operators what became of an adapter that requests waited for.

    :param outcome: ``attached``, or ``given up`` once nobody has asked for a while.
    :param age_s: since it was first asked for, in seconds.
    :param times: requests that asked for it.
    """

    adapter: str
    outcome: str
    age_s: float
    times: int


class AdapterLeft(t.NamedTuple):
    """Tell operators how long an adapter stayed that is being unloaded, in seconds.

    :param used: a request was seen to use it.
    """

    endpoint: str
    adapter: str
    stay_s: float
    used: bool


class ReadReport(t.NamedTuple):
    """Read an endpoint's own report, after a pause in seconds."""

    endpoint: str
    after_s: float


class Remind(t.NamedTuple):
    """Tell when a pause is over, in seconds, after which an order counts as done."""

    endpoint: str
    taken_before: int
    after_s: float


class SharePrompts(t.NamedTuple):
    """Tell every other node what an endpoint is still to read of this node's prompts."""

    endpoint: str
    tokens: int


class ShareComing(t.NamedTuple):
    """Tell every other node that a model is being loaded at an endpoint.

    :param in_s: how soon it is expected to be there, in seconds.
    """

    endpoint: str
    model: str
    in_s: float


class ShareDown(t.NamedTuple):
    """Tell every other node that nothing listens at an endpoint."""

    endpoint: str


class ShareShed(t.NamedTuple):
    """Tell the other nodes that an endpoint turned a request of this one away.

    :param for_s: how long it is spared here, in seconds.
    """

    endpoint: str
    for_s: float


class ShareLeaving(t.NamedTuple):
    """Tell the other nodes of endpoints that leave.

    :param source: the node that told it; empty where this one heard it itself.
    """

    rows: tuple[Leaving, ...]
    source: str = ""


class ShareRates(t.NamedTuple):
    """Tell the other nodes how many requests a second endpoints take.

    :param source: the node that told it; empty where this one heard it itself.
    """

    rows: tuple[RateWord, ...]
    source: str = ""


class ShareEvidence(t.NamedTuple):
    """Tell every other node of requests under which endpoints ended.

    :param source: the node that told it; empty where it was seen here.
    """

    evidence: Evidence
    source: str


class VerdictFound(t.NamedTuple):
    """Tell operators that a request was found to end the endpoints that run it.

    :param endpoints: those that ended under it, as far as this node knows.
    """

    fingerprint: str
    organisation: str
    endpoints: tuple[str, ...]
    left_s: float


class ShareReport(t.NamedTuple):
    """Tell every other node what is now true of an endpoint."""

    report: EndpointReported


class AskAllotment(t.NamedTuple):
    """Ask an organisation's owner whether a request may run within its allotment.

    :param units: what the request counts for.
    """

    request_id: str
    organisation: str
    units: float


class AskSlot(t.NamedTuple):
    """Ask the owner of a plain service, or of one endpoint, for a slot.

    :param queue: which of them; see :mod:`slotting`.
    :param rank: 0 is the most urgent.
    :param organisation: whose it is; empty where that is not asked.
    :param wait_s: how long until an answer is late, in seconds.
    :param avoid: the endpoint at which the request has failed.
    :param rate: the requests a second that the endpoint takes; None where it is a service.
    """

    request_id: str
    queue: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str
    rate: float | None = None


class FreeSlot(t.NamedTuple):
    """Tell the owner of a slot that a request's run is over.

    :param took_s: how long it took, in seconds.
    :param unsent: nothing of it was sent.
    """

    request_id: str
    queue: str
    endpoint: str
    took_s: float
    unsent: bool = False


class ReturnAllotment(t.NamedTuple):
    """Tell an organisation's owner that what it granted did not run."""

    organisation: str
    units: float


class Announce(t.NamedTuple):
    """Tell the other nodes at once, outside the heartbeat's beat."""

    topic: str


class Stop(t.NamedTuple):
    """The planned stop is complete; outcomes may be written and the process may end."""


Effect = (
    Dispatch
    | Attach
    | Refuse
    | Replay
    | Cancel
    | Forget
    | WriteLease
    | ReadDesired
    | Publish
    | ReadHead
    | WriteIntent
    | SendOrder
    | Want
    | WantDeclined
    | WantEnded
    | AdapterLeft
    | ReadReport
    | Remind
    | SharePrompts
    | ShareComing
    | ShareDown
    | ShareEvidence
    | ShareLeaving
    | ShareRates
    | ShareShed
    | VerdictFound
    | ShareReport
    | AskAllotment
    | ReturnAllotment
    | AskSlot
    | FreeSlot
    | Announce
    | Stop
)
