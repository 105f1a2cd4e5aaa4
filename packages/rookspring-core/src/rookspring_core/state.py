"""All that a node knows, in one place, changed by the reducer alone."""

import typing as t

from . import defaults
from .adapter_waits import AdapterWaits
from .admission import AdmissionQueue
from .admission import Pace
from .allotments import Allotments
from .catalogue import Catalogue
from .control import ControlState
from .endpoints import EndpointView
from .endpoints import PeersWork
from .events import RequestArrived
from .freshness import Freshness
from .freshness import ProofTerms
from .limits import LimitTable
from .membership import Membership
from .notices import NoticeTable
from .once import OnceTable
from .owners import OwnerTable
from .paces import PaceTable
from .request_rates import RateTable
from .retries import RetryBudget
from .retries import RetryWindow
from .retries import WindowTerms
from .rooms import Residency
from .routes import RouteTable
from .slot_queues import SlotQueue
from .suspects import SuspectTable
from .topology import Topology
from .witness import ToldWitness


class Identity(t.NamedTuple):
    """Who a node is; the incarnation is new at each start."""

    name: str
    incarnation: str
    data_centre: str
    address: str = ""
    caller_address: str = ""


class Charge(t.NamedTuple):
    """What a request counts for in its organisation's allotment.

    :param asked: the organisation's owner granted it.
    """

    organisation: str
    units: float
    asked: bool


class Parked(t.NamedTuple):
    """A request that waits for its organisation's owner, and until when."""

    arrived: RequestArrived
    charge: Charge
    until: float


class SlotHeld(t.NamedTuple):
    """A slot that an owner has given to a request, and since when.

    :param queue: of which owner; see :mod:`slotting`.
    :param rated: it counts towards the requests a second that its endpoint takes.
    """

    queue: str
    endpoint: str
    at: float
    rated: bool = False


class TurnAsked(t.NamedTuple):
    """A request that asks for a turn at an endpoint, and until when it may wait for that."""

    endpoint: str
    until: float


class RequestState:
    """One request at its entry node."""

    __slots__ = (
        "alone",
        "arrived",
        "attempt",
        "barren",
        "born",
        "charge",
        "delivered",
        "dispatched_at",
        "endpoint",
        "first_at",
        "limited",
        "maybe_ran",
        "not_run_said",
        "running",
        "sends",
        "sent",
        "slot",
        "slot_asked_at",
        "slot_heard",
        "slot_queue",
        "tried",
        "turns_due",
    )

    def __init__(self, arrived: RequestArrived) -> None:
        self.arrived = arrived
        self.attempt = 0
        self.endpoint = ""
        self.tried: set[str] = set()
        # Whether a byte may be with an endpoint that has not said "not run".
        self.sent = False
        self.not_run_said = False
        self.maybe_ran = False
        # Attempts of which a byte may have left, for the bound of a route.
        self.sends = 0
        self.limited = False
        self.charge: Charge | None = None
        # The slot that its service's owner gave it; when it was asked for, and whether the
        # owner has said that the request waits in its queue.
        self.slot: SlotHeld | None = None
        self.slot_asked_at: float | None = None
        self.slot_heard = False
        self.slot_queue = ""
        # Endpoints that had no turn for it, and when they have one.
        self.turns_due: dict[str, float] = {}
        self.running = False
        # Whether its endpoint had no other prompt to read, and was not busy, when it was sent.
        self.alone = False
        self.delivered = 0
        self.barren = 0
        self.dispatched_at = 0.0
        # When its endpoint's process was started, and when it gave the first event of this attempt.
        self.born = 0
        self.first_at: float | None = None


class Decision(t.NamedTuple):
    """One recorded decision, for ``rookctl explain``."""

    at: float
    subject: str
    what: str
    why: str


class NodeState:
    """The state of one node. Handlers change it; nothing else does."""

    def __init__(self, identity: Identity, started_at: float = 0.0) -> None:
        self.identity = identity
        self.started_at = started_at
        self.now = started_at
        self.ticked_at = started_at
        self.catalogue = Catalogue()
        # Whether the configuration is a route table that the platform accepts.
        self.relaying = False
        self.table: RouteTable | None = None
        self.residency = Residency()
        self.windows: dict[str, RetryWindow] = {}
        self.window_terms = WindowTerms()
        self.endpoints: dict[str, EndpointView] = {}
        self.hosts: dict[str, dict[str, EndpointView]] = {}
        self.peers_work = PeersWork()
        self.paces = PaceTable()
        self.suspects = SuspectTable()
        self.notices = NoticeTable()
        self.rates = RateTable()
        self.adapter_waits = AdapterWaits()
        self.requests: dict[str, RequestState] = {}
        self.queues: dict[str, AdmissionQueue] = {}
        self.pools: dict[str, Pace] = {}
        self.limits = LimitTable()
        self.freshness = Freshness()
        self.proof_terms = ProofTerms()
        self.allotments = Allotments(None, started_at)
        self.owners = OwnerTable(identity.name)
        self.parked: dict[str, Parked] = {}
        # Requests that ask for a turn at an endpoint; they stand in no queue meanwhile.
        self.turns_asked: dict[str, TurnAsked] = {}
        # Whether owners give out the slots of plain services, and the queues of those that
        # this node owns.
        self.slots_by_owner = False
        self.slot_queues: dict[str, SlotQueue] = {}
        self.budget = RetryBudget()
        self.once = OnceTable()
        self.membership = Membership(identity.name, identity.data_centre)
        self.topology = Topology(self.membership)
        # How much this node can carry; see ``PeerHeard``.
        self.strength = 0.0
        self.control = ControlState()
        # How often the platform's store has come back from a copy, as far as is known here.
        self.store_era = 0
        self.platform_at = started_at
        self.platform_reachable = False
        self.draining_since: float | None = None
        # How long a leaving node goes on serving, in seconds, for callers who still
        # hold its address.
        self.drain_serve_s = defaults.ADDRESS_TTL_S + defaults.DRAIN_MARGIN_S
        self.hurry = False
        self.stopped = False
        self.witness: set[str] = set()
        self.told = ToldWitness()
        self.decisions: list[Decision] = []
        self.full_checks = False
        self.admission_on = True
        self.routing_override = ""

    def index(self, view: EndpointView, before: frozenset[str], after: frozenset[str]) -> None:
        """Keep the index of endpoints by target, so that a request looks only at its own."""
        for target in before - after:
            self.hosts.get(target, {}).pop(view.name, None)
        for target in after:
            self.hosts.setdefault(target, {})[view.name] = view

    def record(self, subject: str, what: str, why: str) -> None:
        """Keep a decision for later questions, the oldest given up first."""
        self.decisions.append(Decision(self.now, subject, what, why))
        if len(self.decisions) > defaults.DECISIONS_MAX:
            del self.decisions[: defaults.DECISIONS_MAX // 4]

    @property
    def revision(self) -> int:
        """Give the version of the configuration in force, whichever kind it is of."""
        return self.table.version if self.table else self.catalogue.revision

    @property
    def leaving(self) -> bool:
        """Whether this node is on its planned way out."""
        return self.draining_since is not None
