"""State of the control plane; every node has it, the lease holder acts on it."""

import typing as t

from . import defaults
from .acceptance import RunnerMemory
from .catalogue import Entry
from .demand import DemandMeter
from .demand import DemandStream
from .demand import Forecast
from .events import HeartbeatReceived
from .leases import Lease
from .memory import Ledger
from .resources import Resource


class Publication:
    """The holder's progress from declared resources to the published head."""

    def __init__(self) -> None:
        self.desired: tuple[Resource, ...] | None = None
        self.desired_changed_at = -1e9
        self.dirty = False
        self.head_version = -1
        self.head_revision = 0
        self.in_flight = 0
        self.checked_memory: tuple[RunnerMemory, ...] = ()


class WeightStoreLimiter:
    """Token bucket for loads from the weight store.

    :param burst: loads that may start at once, at least.
    :param accrual_s: tokens of at most this many seconds accumulate for the next plan. More would
        break the limit, since a window of time may spend what had accumulated before it as well.
    """

    def __init__(self, burst: float = 2.0, accrual_s: float = defaults.PLAN_INTERVAL_S) -> None:
        self.burst = burst
        self.accrual_s = accrual_s
        self.level = 1.0
        self.refilled_at: float | None = None

    def start_empty(self, now: float) -> None:
        """Start with an empty bucket, since an earlier holder may have used the burst."""
        self.level = 0.0
        self.refilled_at = now

    def refill(self, now: float, rate: float) -> None:
        """Add the tokens for the time since the last refill, up to the bucket's size.

        :param rate: loads a second.
        """
        if self.refilled_at is not None:
            size = max(self.burst, rate * self.accrual_s)
            self.level = min(size, self.level + (now - self.refilled_at) * rate)
        self.refilled_at = now

    def take(self) -> bool:
        """Take a token for one load, if there is one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class ControlState:
    """Lease, publication, memory ledgers and plans of one node."""

    def __init__(self) -> None:
        self.lease = Lease()
        self.publication = Publication()
        self.entries: t.Mapping[str, Entry] = {}
        self.ledgers: dict[str, Ledger] = {}
        self.meter = DemandMeter()
        self.forecast = Forecast()
        # When a relaying node last updated its forecasts.
        self.forecast_at = -1e9
        self.peer_demand: dict[str, dict[str, float]] = {}
        # The part of the demand that can't wait for its model to be loaded.
        self.urgent_demand = DemandStream()
        # The part of the demand that was refused for lack of room although its model is resident.
        self.refused_demand = DemandStream()
        # Adapters and models that requests of other nodes use, each with its endpoint, by node.
        self.peer_used: dict[str, tuple[tuple[str, str], ...]] = {}
        self.store_limiter = WeightStoreLimiter()
        self.acquired_at = -1e9
        self.acting_epoch = 0
        self.sequence = 0
        self.planned_at = -1e9
        self.intents_known = False
        self.inherited_intents: dict[str, tuple[tuple[str, str, str, float], ...]] = {}
        self.moves = 0
        self.loads = 0
        self.placement_override = ""

    def apply_heartbeat(self, event: HeartbeatReceived) -> None:
        """Store another node's demand, and what its requests use, from its heartbeat."""
        self.peer_demand[event.name] = dict(event.demand)
        self.peer_used[event.name] = event.used
        self.urgent_demand.take_peer_rates(event.name, event.urgent_demand)
        self.refused_demand.take_peer_rates(event.name, event.refused_demand)

    def forget(self, name: str) -> None:
        """Drop the data of a node that is gone."""
        self.peer_demand.pop(name, None)
        self.peer_used.pop(name, None)
        self.urgent_demand.forget(name)
        self.refused_demand.forget(name)

    def holding(self, now: float) -> bool:
        """Return whether this node may act as the holder: its lease is valid and it has begun."""
        return self.lease.holding(now) and self.acting_epoch == self.lease.own_epoch
