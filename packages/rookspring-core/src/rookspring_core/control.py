"""State of the control jobs, held by every node and used by the lease holder."""

import typing as t

from . import defaults
from .acceptance import Room
from .catalogue import Entry
from .demand import DemandMeter
from .demand import DemandStream
from .demand import Forecast
from .events import PeerHeard
from .leases import Lease
from .memory import Ledger
from .resources import Resource


class Publication:
    """Where the holder stands between operators' wishes and the published head."""

    def __init__(self) -> None:
        self.desired: tuple[Resource, ...] | None = None
        self.desired_changed_at = -1e9
        self.dirty = False
        self.head_version = -1
        self.head_revision = 0
        self.in_flight = 0
        self.judged_rooms: tuple[Room, ...] = ()


class StoreBudget:
    """The weight store's rate, as the holder may use it.

    :param burst: loads that may begin at once, at least.
    :param kept_s: what comes in during so many seconds is kept, for the next plan; no more, since
        whatever is kept may be spent beside what a window of time brings by itself.
    """

    def __init__(self, burst: float = 2.0, kept_s: float = defaults.PLAN_INTERVAL_S) -> None:
        self.burst = burst
        self.kept_s = kept_s
        self.level = 1.0
        self.at: float | None = None

    def begin(self, now: float) -> None:
        """Begin with nothing, since a holder before may have used the burst."""
        self.level = 0.0
        self.at = now

    def refill(self, now: float, rate: float) -> None:
        """Earn loads at the store's rate, up to what is kept.

        :param rate: loads a second.
        """
        if self.at is not None:
            most = max(self.burst, rate * self.kept_s)
            self.level = min(most, self.level + (now - self.at) * rate)
        self.at = now

    def take(self) -> bool:
        """Spend one load, if there is one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class ControlState:
    """Lease, publication, ledgers and plans of one node."""

    def __init__(self) -> None:
        self.lease = Lease()
        self.publication = Publication()
        self.entries: t.Mapping[str, Entry] = {}
        self.ledgers: dict[str, Ledger] = {}
        self.meter = DemandMeter()
        self.forecast = Forecast()
        self.peer_demand: dict[str, dict[str, float]] = {}
        # Of the demand, what cannot wait for its model to be loaded.
        self.urgent = DemandStream()
        # Of the demand, what was refused for want of room where its model stands.
        self.missed = DemandStream()
        # Adapters and models that other nodes' requests use, each with its endpoint, by
        # node.
        self.peer_used: dict[str, tuple[tuple[str, str], ...]] = {}
        self.store = StoreBudget()
        self.acquired_at = -1e9
        self.acting_epoch = 0
        self.sequence = 0
        self.planned_at = -1e9
        self.intents_known = False
        self.inherited: dict[str, tuple[tuple[str, str, str, float], ...]] = {}
        self.moves = 0
        self.loads = 0
        self.placement_override = ""

    def hear(self, event: PeerHeard) -> None:
        """Take what another node tells of its demand and of what its requests use."""
        self.peer_demand[event.name] = dict(event.demand)
        self.peer_used[event.name] = event.used
        self.urgent.hear(event.name, event.urgent)
        self.missed.hear(event.name, event.missed)

    def forget(self, name: str) -> None:
        """Drop what a node that is gone has told."""
        self.peer_demand.pop(name, None)
        self.peer_used.pop(name, None)
        self.urgent.forget(name)
        self.missed.forget(name)

    def holding(self, now: float) -> bool:
        """Say whether this node may act as the lease holder: in time, and begun."""
        return self.lease.holding(now) and self.acting_epoch == self.lease.own_epoch
