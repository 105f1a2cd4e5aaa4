"""A simulated node's reads and writes of the lease, and its record of when it may send orders."""

import functools
import typing as t

from rookspring import defaults
from rookspring.relay_store_loops import lease_name
from rookspring_core import control_jobs
from rookspring_core.effects import WriteLease
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.orders import handover_gap_passed

from .fleet_store import LEASE

if t.TYPE_CHECKING:
    from .fleet import Fleet
    from .fleet_node import FleetNode


class FleetLease:
    """One node's store calls for the lease, each answered after the store's latency."""

    def __init__(self, fleet: "Fleet", node: "FleetNode") -> None:
        self._fleet = fleet
        self._node = node
        self._read_once = False
        self._next_read_at = -1e9
        self._era = 0

    def follow(self) -> None:
        """Read the lease if that is due, and record it if this node may send orders now."""
        if not self._fleet.plan.elects:
            return
        state = self._node.state
        now = self._fleet.now
        if self._era != state.store_era:
            self._era = state.store_era
            self._next_read_at = now
        if control_jobs.awaits_release(state):
            self._next_read_at = min(self._next_read_at, now + defaults.RELAY_LEASE_RELEASED_READ_S)
        if now >= self._next_read_at and (
            not self._read_once or control_jobs.should_read_lease(state)
        ):
            self._next_read_at = now + defaults.RELAY_LEASE_READ_S
            self._read()
        if control_jobs.holding(state) and handover_gap_passed(state) and not state.leaving:
            self._fleet.record_active_tick(self._node.name, state.control.acting_epoch)

    def _read(self) -> None:
        fleet = self._fleet
        if not fleet.reaches_store(self._node.name):
            self._next_read_at = fleet.now + defaults.RELAY_BACKOFF_MAX_S
            return
        era = self._node.state.store_era
        found = fleet.store.get(LEASE, lease_name(era))
        event = LeaseSeen(0.0, 0, "", 0, "", era=era)
        if found is not None:
            holder, epoch, nonce, was_settled, turn_in_s = found.value
            event = LeaseSeen(0.0, found.version, holder, epoch, nonce, was_settled, era, turn_in_s)
        answer_era = fleet.store.era

        def handle() -> None:
            self._node.eras.note_era(answer_era, "store")
            if self._node.state.store_era == era:
                self._read_once = True
                self._node.submit(event._replace(at=fleet.now))

        fleet.at(fleet.now + fleet.store_latency_s, lambda: fleet.run_on_node(self._node, handle))

    def write(self, effect: WriteLease) -> None:
        """Write the lease; the store applies the write after half of its latency, then answers."""
        fleet = self._fleet
        if fleet.plan.elects and fleet.reaches_store(self._node.name):
            apply = functools.partial(self._apply, effect, fleet.now)
            fleet.at(fleet.now + fleet.store_latency_s / 2, apply)

    def _apply(self, effect: WriteLease, asked_at: float) -> None:
        fleet = self._fleet
        if not fleet.reaches_store(self._node.name):
            return
        holder = self._node.name if effect.nonce else ""
        value = (holder, effect.epoch, effect.nonce, effect.settled, effect.turn_in_s)
        version = fleet.store.put_if(LEASE, lease_name(effect.era), value, effect.version)
        answer_era = fleet.store.era

        def handle() -> None:
            self._node.eras.note_era(answer_era, "store")
            won = version is not None
            event = LeaseWritten(fleet.now, asked_at, effect.nonce, won, version or 0)
            self._node.submit(event)

        fleet.at(
            fleet.now + fleet.store_latency_s / 2, lambda: fleet.run_on_node(self._node, handle)
        )
