"""Effects that the reducer requests and the daemon's event loop carries out.

An effect is plain data. Its result, if there is one, arrives as an event.
"""

import typing as t

from .catalogue import Entry
from .evacuations import EvacuationList
from .events import EndpointReported
from .notices import Leaving
from .request_rates import RateRecord
from .slot_queues import PlaceTerms
from .suspects import Evidence

IntentRow = tuple[str, str, str, float]


class Dispatch(t.NamedTuple):
    """Send a request to an endpoint, as the given attempt.

    :param offset: tokens that the caller has received; the answer continues after them.
    :param not_before: earliest time to send it, by this node's clock.
    :param copy: the copy of its run that it goes on from there; empty if it begins a run.
    :param backup: the endpoint that is to hold a backup of its run; empty for none.
    """

    request_id: str
    attempt: int
    endpoint: str
    offset: int
    not_before: float = 0.0
    copy: str = ""
    backup: str = ""


class CopyRun(t.NamedTuple):
    """Have the run of an attempt copied from its endpoint to another one; see :mod:`run_copies`.

    :param holder: the endpoint that is to hold the copy.
    """

    request_id: str
    attempt: int
    source: str
    holder: str


class FreeCopy(t.NamedTuple):
    """Free a copy of a run that isn't needed.

    :param name: of the copy, see :class:`state.RunCopy`.
    """

    holder: str
    name: str


class AttachStream(t.NamedTuple):
    """Continue to read a stream that already runs at an endpoint.

    :param offset: tokens that the caller has received.
    """

    request_id: str
    attempt: int
    endpoint: str
    offset: int


class Refuse(t.NamedTuple):
    """Answer a caller with an error.

    :param outcome: ``not_run``, ``unknown`` or ``ran``.
    :param retry_after_s: when the caller may retry, in seconds; 0 leaves it out.
    """

    request_id: str
    status: int
    reason: str
    outcome: str
    message: str
    retry_after_s: float = 0.0


class Replay(t.NamedTuple):
    """Answer a request with the stored answer of an earlier one with the same key."""

    request_id: str
    status: int
    answer: bytes


class Cancel(t.NamedTuple):
    """Stop an attempt whose caller has left."""

    request_id: str
    attempt: int
    endpoint: str


class Forget(t.NamedTuple):
    """Release the I/O resources of a request that has ended."""

    request_id: str


class WriteLease(t.NamedTuple):
    """Write the lease object of an era, provided that it is still at ``version``.

    :param settled: the holder is already allowed to give orders.
    :param turn_in_s: when the lease is given up, how long until another holder may give orders, in
        seconds; else None.
    """

    version: int
    epoch: int
    nonce: str
    settled: bool = False
    era: int = 0
    turn_in_s: float | None = None


class ReadDesired(t.NamedTuple):
    """Start to watch operators' resources, and read the intents of earlier lease holders."""

    epoch: int


class Publish(t.NamedTuple):
    """Write the shards, then update the head, provided that its version is unchanged."""

    revision: int
    epoch: int
    head_version: int
    entries: t.Mapping[str, Entry]


class ReadHead(t.NamedTuple):
    """Read the head again, to find out whether a write without an answer took effect."""

    revision: int


class WriteIntent(t.NamedTuple):
    """Record which orders may reach an endpoint that doesn't verify them, before one is sent.

    :param rows: every order that may still arrive, as (action, model, version, GB); they replace
        the record before.
    """

    endpoint: str
    epoch: int
    sequence: int
    rows: tuple[IntentRow, ...]


class SendOrder(t.NamedTuple):
    """Send an endpoint an order; ``action`` is load, unload, seal, attach or detach."""

    endpoint: str
    address: str
    token: tuple[int, int]
    action: str
    model: str = ""
    model_version: str = ""
    memory_gb: float = 0.0


class RequestLoad(t.NamedTuple):
    """Ask the lease holder to load a model or adapter that is resident on no endpoint.

    :param latest_retry_s: when the caller will have retried at the latest if its request is
        refused, in seconds from now.
    """

    service: str
    model: str
    adapter: str
    latest_retry_s: float = 0.0


class LoadRequestDeclined(t.NamedTuple):
    """Log why nothing is ordered at present for an adapter that requests wait for."""

    adapter: str
    why: str


class ClaimChanged(t.NamedTuple):
    """Log a change of the claim of a model without a replica on a runner.

    :param change: ``made``, ``late`` once its first expected time has passed, or ``dropped``.
    :param demand: the model's aged demand, in tokens a second.
    :param in_s: time until the model is expected there, in seconds; negative if that has passed.
    """

    model: str
    endpoint: str
    change: str
    demand: float
    in_s: float


class LoadRequestEnded(t.NamedTuple):
    """Log the outcome for an adapter that requests waited for.

    :param outcome: ``attached``, or ``given up`` when no request has asked for it for a while.
    :param age_s: time since the first request asked for it, in seconds.
    :param times: requests that asked for it.
    """

    adapter: str
    outcome: str
    age_s: float
    times: int


class AdapterLeft(t.NamedTuple):
    """Log how long an adapter was attached that is now being detached.

    :param stay_s: how long, in seconds.
    :param used: at least one request used it.
    """

    endpoint: str
    adapter: str
    stay_s: float
    used: bool


class LogSpeed(t.NamedTuple):
    """Log that an endpoint's speed has changed.

    :param speed: relative to the other endpoints of its service.
    :param samples: decayed number of samples that it rests on.
    :param age_s: age of the latest sample, in seconds.
    """

    endpoint: str
    speed: float
    samples: float
    age_s: float


class ReadReport(t.NamedTuple):
    """Read an endpoint's own report.

    :param after_s: delay before the read, in seconds.
    """

    endpoint: str
    after_s: float


class ProbeReach(t.NamedTuple):
    """Connect to some endpoints, to tell whether this node reaches any."""

    endpoints: tuple[str, ...]


class HandOver(t.NamedTuple):
    """Hand a request over to another node, as this one reaches no endpoint.

    :param address: the other node's address for callers.
    :param sends: how often the request was sent to an endpoint before.
    """

    request_id: str
    attempt: int
    node: str
    address: str
    sends: int


class StartOrderTimer(t.NamedTuple):
    """Start the timer after which an order counts as done, though no report shows it.

    :param taken_before: how many orders the endpoint had taken before it.
    :param after_s: length of the timer, in seconds.
    """

    endpoint: str
    taken_before: int
    after_s: float


class SharePrompts(t.NamedTuple):
    """Send every other node how much of this node's prompts an endpoint has yet to read.

    :param tokens: unread prompt tokens.
    """

    endpoint: str
    tokens: int


class ShareLoading(t.NamedTuple):
    """Send every other node that a model is being loaded at an endpoint, or will be.

    :param model: empty if the model that was shared last is not expected there any more.
    :param in_s: time until it is expected to be resident, in seconds.
    """

    endpoint: str
    model: str
    in_s: float


class ShareDown(t.NamedTuple):
    """Send every other node that nothing listens at an endpoint's address."""

    endpoint: str


class ShareShed(t.NamedTuple):
    """Send the other nodes that an endpoint turned away a request of this one.

    :param for_s: how long this node prefers other endpoints, in seconds.
    """

    endpoint: str
    for_s: float


class ShareBreak(t.NamedTuple):
    """Send the other nodes that an endpoint broke an answer off.

    :param broke_at: when that was, by this node's clock.
    :param source: the node that this was received from; empty if this one saw it.
    """

    endpoint: str
    broke_at: float
    source: str


class ShareLeaving(t.NamedTuple):
    """Send the other nodes endpoints that are leaving.

    :param source: the node that this was received from; empty where it came from an endpoint.
    """

    rows: tuple[Leaving, ...]
    source: str = ""


class ShareEvacuations(t.NamedTuple):
    """Send the other nodes the list of evacuations, and log which are in force here now.

    :param source: the node that this was received from; empty if it came from the store.
    """

    listed: EvacuationList
    in_force: frozenset[str]
    source: str = ""


class ShareRates(t.NamedTuple):
    """Send the other nodes the request rates that endpoints accept.

    :param source: the node that this was received from; empty where it came from an endpoint.
    """

    rows: tuple[RateRecord, ...]
    source: str = ""


class ShareEvidence(t.NamedTuple):
    """Send every other node evidence of requests during which endpoints crashed.

    :param source: the node that this was received from; empty where it was observed here.
    """

    evidence: Evidence
    source: str


class VerdictFound(t.NamedTuple):
    """Log that a request was found to crash the endpoints that run it.

    :param endpoints: those that crashed while they ran it, as far as this node knows.
    :param left_s: how long the verdict remains in force, in seconds.
    """

    fingerprint: str
    organisation: str
    endpoints: tuple[str, ...]
    left_s: float


class ShareReport(t.NamedTuple):
    """Send every other node the new state of an endpoint."""

    report: EndpointReported


class AskAllotment(t.NamedTuple):
    """Ask an organisation's owner whether a request may run within its allotment.

    :param units: units that the request takes from the allotment.
    """

    request_id: str
    organisation: str
    units: float


class AskSlot(t.NamedTuple):
    """Ask the owner of a slot queue for a slot.

    :param queue: key of the queue, of a plain service or of an endpoint; see :mod:`slot_requests`.
    :param rank: 0 is the most urgent.
    :param organisation: whose request it is; empty where the queue doesn't need it.
    :param wait_s: how long an answer is of use, in seconds.
    :param avoid: the endpoint at which the request has failed.
    :param rate: requests a second that the endpoint accepts; None for a service.
    :param place: what the request takes of a model endpoint; None unless it needs a place there.
    :param question: its number among the request's questions, which the answer names.
    """

    request_id: str
    queue: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str
    rate: float | None = None
    place: PlaceTerms | None = None
    question: int = 1


class FreeSlot(t.NamedTuple):
    """Return a slot to its owner after a request's run.

    :param took_s: how long the run took, in seconds.
    :param unsent: nothing of the request was sent.
    :param open_end: nothing showed the end of its answer; None if it got no answer that counts.
    :param question: that to which the slot was the answer.
    """

    request_id: str
    queue: str
    endpoint: str
    took_s: float
    unsent: bool = False
    open_end: bool | None = None
    question: int = 1


class ReturnAllotment(t.NamedTuple):
    """Return granted units to an organisation's owner, since the request did not run."""

    organisation: str
    units: float


class Announce(t.NamedTuple):
    """Send the other nodes a heartbeat at once rather than at the next interval."""

    topic: str


class Stop(t.NamedTuple):
    """End the process: the planned stop is complete, and outcomes may be written."""


class TellOrigin(t.NamedTuple):
    """Tell the owners of a stream which version began it; see ``StreamOrigin``."""

    stream: str
    version: str
    kept_s: float


Effect = (
    Dispatch
    | CopyRun
    | FreeCopy
    | AttachStream
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
    | RequestLoad
    | LoadRequestDeclined
    | ClaimChanged
    | LoadRequestEnded
    | AdapterLeft
    | LogSpeed
    | ReadReport
    | ProbeReach
    | HandOver
    | StartOrderTimer
    | SharePrompts
    | ShareLoading
    | ShareDown
    | ShareEvidence
    | ShareLeaving
    | ShareEvacuations
    | ShareRates
    | ShareShed
    | ShareBreak
    | VerdictFound
    | ShareReport
    | AskAllotment
    | ReturnAllotment
    | AskSlot
    | FreeSlot
    | TellOrigin
    | Announce
    | Stop
)
