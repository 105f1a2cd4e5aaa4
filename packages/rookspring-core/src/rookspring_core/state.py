"""The complete state of a node. Only the reducer's handlers change it."""

import math
import typing as t

from . import defaults
from .accounts import Residency
from .adapter_waits import ArrivalWaits
from .admission_queue import AdmissionQueue
from .admission_queue import ThroughputMeter
from .allotments import Allotments
from .break_moments import BreakMoments
from .caller_times import CallerTimes
from .catalogue import Catalogue
from .close_records import CloseRecords
from .control import ControlState
from .endpoints import EndpointView
from .evacuations import EvacuationTable
from .events import RequestArrived
from .freshness import Freshness
from .freshness import ProofTerms
from .invariant_checkers import NoticeChecker
from .latencies import LatencyTable
from .limits import LimitTable
from .membership import Membership
from .model_waits import ModelWaits
from .notices import NoticeTable
from .once import OnceTable
from .options import DecisionOptions
from .owners import OwnerTable
from .peer_loads import PeerLoad
from .place_queues import PlaceQueue
from .planned_ends import EndpointStops
from .reach import Reach
from .request_rates import RateTable
from .retries import RetryBudget
from .retries import RetryWindow
from .retries import WindowTerms
from .routes import RouteTable
from .sent_load_requests import SentLoadRequests
from .slot_queues import SlotQueue
from .speed_table import SpeedTable
from .stream_versions import StreamVersions
from .suspects import SuspectTable
from .topology import Topology


class Identity(t.NamedTuple):
    """Identifies a node; its incarnation is new at each start."""

    name: str
    incarnation: str
    data_centre: str
    address: str = ""
    caller_address: str = ""


class Charge(t.NamedTuple):
    """The units that a request takes from its organisation's allotment.

    :param granted_by_owner: the organisation's owner granted the units.
    """

    organisation: str
    units: float
    granted_by_owner: bool


class EntriesOutage(t.NamedTuple):
    """The last time during which this node's calls for the entries of endpoints failed.

    :param known_until: a time before it whose changes of the store this node had.
    :param ended_at: when it ended; infinite while it lasts.
    """

    known_until: float
    ended_at: float = math.inf


class Parked(t.NamedTuple):
    """A request that waits for a decision of its organisation's owner.

    :param until: when the wait ends, by this node's clock.
    """

    arrived: RequestArrived
    charge: Charge
    until: float


class SlotHeld(t.NamedTuple):
    """A slot that an owner has granted to a request.

    :param queue: key of the slot queue that granted it; see :mod:`slot_requests`.
    :param at: when it was granted.
    :param counts_towards_rate: the slot is a permit of the endpoint's request rate as well.
    :param question: that to which it was the answer.
    """

    queue: str
    endpoint: str
    at: float
    counts_towards_rate: bool = False
    question: int = 1


class PermitRequest(t.NamedTuple):
    """A request that waits for an endpoint's owner: for a permit of its rate, or for a place.

    :param until: when the wait ends, by this node's clock.
    """

    endpoint: str
    until: float


class RunCopy(t.NamedTuple):
    """A copy of a request's run, see :mod:`run_copies`.

    :param holder: the endpoint that holds it, or is to.
    :param name: by which the holder is told to use it, as the platform's dialect writes it; empty
        while it is being made.
    :param trial: it is made to show that both endpoints know the calls; see :mod:`run_backups`.
    """

    holder: str
    name: str = ""
    trial: bool = False


class OwnedQueues(t.NamedTuple):
    """The queues of an owner by name: for slots, and for places at model endpoints."""

    slots: dict[str, SlotQueue]
    places: dict[str, PlaceQueue]


class RequestState:
    """A request on its entry node, from its arrival to its end."""

    __slots__ = (
        "endpoint_was_idle",
        "arrived",
        "attempt",
        "attempts_without_token",
        "endpoint_started_ms",
        "endpoint_version",
        "connected_at",
        "charge",
        "delivered",
        "dispatched_at",
        "endpoint",
        "first_event_at",
        "limited",
        "handed_to",
        "nodes_tried",
        "maybe_ran",
        "attempt_not_run",
        "running",
        "sends",
        "sent",
        "slot",
        "slot_asked_at",
        "slot_question",
        "slot_queued",
        "slot_queue",
        "tried",
        "permits_due",
        "places_itself",
        "awaits_load",
        "copy",
        "copies_left",
        "copy_refusers",
        "backup",
        "asked_backup",
        "backups_used",
        "end_doubted",
        "end_likely",
        "closed_attempt",
    )

    def __init__(self, arrived: RequestArrived) -> None:
        self.arrived = arrived
        self.attempt = 0
        self.endpoint = ""
        self.tried: set[str] = set()
        # Whether a byte may have reached an endpoint that has not reported "not run".
        self.sent = False
        # Whether the endpoint of the last failed attempt that sent something reported "not run".
        self.attempt_not_run = False
        self.maybe_ran = False
        # Attempts of which a byte may have left; a route limits their number.
        self.sends = arrived.sends_before or 0
        self.limited = False
        self.charge: Charge | None = None
        # The slot granted by the owner of the queue, when one was requested, and whether the
        # owner has confirmed that the request waits in its queue.
        self.slot: SlotHeld | None = None
        self.slot_asked_at: float | None = None
        # How many questions it has asked owners, the last of which an answer must name.
        self.slot_question = 0
        self.slot_queued = False
        self.slot_queue = ""
        # Endpoints whose owner refused a permit or a place, with the time when one is expected.
        self.permits_due: dict[str, float] = {}
        # Whether this node places its next attempt by itself, as an owner of places gave no answer.
        self.places_itself = False
        # Whether it waits for a load, as its caller has no further try.
        self.awaits_load = False
        # The node that has it now, if it is handed over, and all nodes that it was handed to.
        self.handed_to = ""
        self.nodes_tried: set[str] = set()
        self.running = False
        # Whether its endpoint had no unread prompt and a low load when the request was sent, so
        # that the time to the first event measures this prompt alone.
        self.endpoint_was_idle = False
        self.delivered = 0
        # Consecutive attempts that delivered no token.
        self.attempts_without_token = 0
        self.dispatched_at = 0.0
        # When its endpoint's process started (ms, by that box's clock), and when the first event
        # of this attempt came from it (by this node's clock).
        self.endpoint_started_ms = 0
        # The version of its endpoint's software as this attempt was sent.
        self.endpoint_version = ""
        # When the connection of this attempt was opened; 0 if that is unknown.
        self.connected_at = 0.0
        self.first_event_at: float | None = None
        # The copy of its run, how many more may be asked for, and the endpoints that have no room.
        self.copy: RunCopy | None = None
        self.copies_left = 0
        # The endpoint that was named to hold a backup of its run; and whether it was asked for it.
        self.backup = ""
        self.asked_backup = False
        # How many backups it went on from since its last event.
        self.backups_used = 0
        # Whether its last attempt's end in chunks was doubted.
        self.end_doubted = False
        # Whether its latest answer ended with its connection and looked whole, so that a further
        # run shows whether it was.
        self.end_likely = False
        # Its latest attempt whose answer ended with its connection; 0 if none did.
        self.closed_attempt = 0
        self.copy_refusers: set[str] = set()

    def bind_to_version(self) -> RequestArrived:
        """Return what may go on only at the version of the endpoint that began its stream."""
        arrived = self.arrived
        if arrived.route is not None and arrived.version is None and self.delivered:
            return arrived._replace(version=self.endpoint_version)
        return arrived


class Decision(t.NamedTuple):
    """A recorded decision, shown by ``rookctl explain``."""

    at: float
    subject: str
    what: str
    why: str


class NodeState:
    """The state of one node. Only the reducer's handlers change it."""

    def __init__(self, identity: Identity, started_at: float = 0.0) -> None:
        self.identity = identity
        self.started_at = started_at
        self.now = started_at
        self.ticked_at = started_at
        self.catalogue = Catalogue()
        # Whether the configuration is a route table that the platform has accepted, in place of
        # declared resources.
        self.relaying = False
        self.table: RouteTable | None = None
        self.residency = Residency()
        # Optional decisions, as the settings call for them.
        self.options = DecisionOptions()
        self.retry_windows: dict[str, RetryWindow] = {}
        self.retry_window_terms = WindowTerms()
        self.endpoints: dict[str, EndpointView] = {}
        self.hosts: dict[str, dict[str, EndpointView]] = {}
        self.peers_work = PeerLoad()
        self._make_endpoint_tables()
        self.requests: dict[str, RequestState] = {}
        self.queues: dict[str, AdmissionQueue] = {}
        self.pools: dict[str, ThroughputMeter] = {}
        self.limits = LimitTable()
        self.freshness = Freshness()
        self.proof_terms = ProofTerms()
        self.allotments = Allotments(None, started_at)
        self.owners = OwnerTable(identity.name)
        self.parked: dict[str, Parked] = {}
        # Requests that wait for an endpoint's owner. Meanwhile they are in none of this node's
        # queues.
        self.permit_requests: dict[str, PermitRequest] = {}
        # Whether owner nodes grant the slots of plain services, and the queues that this node owns.
        self.slots_by_owner = False
        self.owned_queues = OwnedQueues({}, {})
        self.retry_budget = RetryBudget()
        self.once = OnceTable()
        self.membership = Membership(identity.name, identity.data_centre)
        self.topology = Topology(self.membership)
        self.reach = Reach()
        # What this node can carry, in cores with the link for them; see ``HeartbeatReceived``.
        self.capacity = 0.0
        self.control = ControlState()
        # How often the platform's store has been restored from a backup, as far as this node knows.
        self.store_era = 0
        self.platform_answered_at = started_at
        self.platform_reachable = False
        self.entries_outage: EntriesOutage | None = None
        self.draining_since: float | None = None
        # How long a leaving node continues to serve, in seconds, since callers may have its
        # address cached.
        self.drain_serve_s = defaults.ADDRESS_TTL_S + defaults.DRAIN_MARGIN_S
        self.hurry = self.stopped = False
        self.sent_witness: set[str] = set()
        # The copies and the backups of runs by request, and the requests that went on from one.
        self.copy_witness: dict[str, str] = {}
        self.backup_witness: dict[str, str] = {}
        self.continued_witness: set[str] = set()
        self.notice_witness = NoticeChecker()
        self.decisions: list[Decision] = []
        self.full_checks = False
        self.admission_on = True
        self.routing_override = ""

    def _make_endpoint_tables(self) -> None:
        """Make the tables of what is measured at endpoints, or learnt of them."""
        self.latencies = LatencyTable()
        self.speeds = SpeedTable()
        self.suspects = SuspectTable(since=self.started_at)
        self.notices = NoticeTable()
        self.rates = RateTable()
        self.evacuations = EvacuationTable()
        self.adapter_waits = ArrivalWaits(defaults.ADAPTER_WAIT_MOST_S)
        self.model_waits = ModelWaits()
        self.caller_times = CallerTimes()
        self.sent_load_requests = SentLoadRequests()
        self.stream_versions = StreamVersions()
        self.endpoint_stops = EndpointStops()
        self.close_records = CloseRecords()
        self.break_moments = BreakMoments()

    def index(self, view: EndpointView, before: frozenset[str], after: frozenset[str]) -> None:
        """Update the index of endpoints by target.

        It spares a request the scan of endpoints that can't serve its target.

        :param before: targets that the endpoint served until now.
        :param after: targets that it serves from now on.
        """
        for target in before - after:
            self.hosts.get(target, {}).pop(view.name, None)
        for target in after:
            self.hosts.setdefault(target, {})[view.name] = view

    def record(self, subject: str, what: str, why: str) -> None:
        """Record a decision; drops the oldest quarter of the records when there are too many."""
        self.decisions.append(Decision(self.now, subject, what, why))
        if len(self.decisions) > defaults.DECISIONS_MAX:
            del self.decisions[: defaults.DECISIONS_MAX // 4]

    @property
    def revision(self) -> int:
        """Version of the configuration in force: of the route table if there is one."""
        return self.table.version if self.table else self.catalogue.revision

    @property
    def leaving(self) -> bool:
        """Whether the planned stop of this node has begun."""
        return self.draining_since is not None

    def begins_no_requests(self, at: float) -> bool:
        """Return whether this node is stopping and has served for as long as its address was known.

        A request that it began now might not be answered before its process ends.
        """
        since = self.draining_since
        return self.stopped or (since is not None and at - since > self.drain_serve_s)
