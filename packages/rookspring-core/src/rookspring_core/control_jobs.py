"""Handlers of the control jobs: lease, acceptance and publication.

Only a node whose lease does not lapse within a safety margin gives orders or publishes.
"""

import typing as t

from . import acceptance
from . import defaults
from . import ordering
from .catalogue import build_catalogue
from .demand import add_rates
from .effects import Announce
from .effects import Effect
from .effects import Publish
from .effects import ReadDesired
from .effects import ReadHead
from .events import DesiredSeen
from .events import HeadSeen
from .events import LeaseSeen
from .events import LeaseWritten
from .events import Published
from .events import RevisionSeen
from .events import StoreEraBegan
from .events import StoreEraDenied
from .memory import Ledger
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(LeaseSeen)
def handle_lease_read(state: NodeState, event: LeaseSeen) -> Effects:
    """Update the lease from a read of the lease object."""
    control = state.control
    control.lease.take_read(event, state.identity.name)
    return _begin_if_new(state)


@handles(LeaseWritten)
def handle_lease_written(state: NodeState, event: LeaseWritten) -> Effects:
    """Update the lease from the answer to a write."""
    state.control.lease.answer(event, state.identity.name)
    return _begin_if_new(state)


@handles(StoreEraBegan)
def begin_era(state: NodeState, event: StoreEraBegan) -> Effects:
    """Record that the store was restored from a backup, and announce it to the other nodes."""
    if event.era <= state.store_era:
        return []
    state.store_era = event.era
    state.control.lease.begin_era(event.era, event.at)
    if state.table is not None:
        state.freshness.begin_era(event.at, state.revision)
    return [Announce("store era")]


@handles(StoreEraDenied)
def end_claimed_era(state: NodeState, event: StoreEraDenied) -> Effects:
    """Return to the store's own era; the lease is read anew before anything is done about it."""
    state.store_era = event.era
    state.control.lease.return_to_era(event.era, event.at)
    return [Announce("store era")]


def _begin_if_new(state: NodeState) -> Effects:
    control = state.control
    lease = control.lease
    if not lease.holding(state.now) or lease.own_epoch == control.acting_epoch:
        return []
    control.acting_epoch = lease.own_epoch
    control.acquired_at = state.now
    control.sequence = 0
    control.planned_at = -1e9
    control.intents_known = False
    control.publication = type(control.publication)()
    if not state.relaying:
        control.forecast = type(control.forecast)(control.forecast.smoothing)
        control.urgent_demand.restart()
        control.refused_demand.restart()
    control.ledgers = {}
    state.record("lease", f"epoch {lease.own_epoch}", "lease acquired")
    for name, view in state.endpoints.items():
        if view.role == "runner" and view.report is not None:
            ledger = control.ledgers.setdefault(name, Ledger(name))
            ledger.take_report(view.report, ordering.sizes_of(state))
    return [ReadDesired(lease.own_epoch), ReadHead(0)]


def holding(state: NodeState) -> bool:
    """Return whether this node may act as the lease holder now."""
    return state.control.holding(state.now)


@handles(RevisionSeen)
def apply_revision(state: NodeState, event: RevisionSeen) -> Effects:
    """Apply a published revision if, and only if, it is newer."""
    if event.revision <= state.catalogue.revision:
        return []
    state.control.entries = event.entries
    state.catalogue = build_catalogue(event.revision, event.entries, state.catalogue)
    return []


@handles(HeadSeen)
def handle_head_read(state: NodeState, event: HeadSeen) -> Effects:
    """Store the version of the head object, on which the next publication is conditional."""
    publication = state.control.publication
    publication.head_version = event.version
    publication.head_revision = event.revision
    publication.in_flight = 0
    publication.dirty = True
    return []


@handles(DesiredSeen)
def handle_desired(state: NodeState, event: DesiredSeen) -> Effects:
    """Store the operators' resources; they are accepted at the end of the batch window."""
    publication = state.control.publication
    if publication.desired == event.resources:
        return []
    publication.desired = event.resources
    if not publication.dirty:
        publication.desired_changed_at = event.at
    publication.dirty = True
    return []


@handles(Published)
def handle_published(state: NodeState, event: Published) -> Effects:
    """Handle the answer to a publication; unless it was written, the head is read again."""
    publication = state.control.publication
    if event.revision != publication.in_flight:
        return []
    publication.in_flight = 0
    if not event.won:
        publication.head_version = -1
        return [ReadHead(event.revision)]
    publication.head_version = event.version
    publication.head_revision = event.revision
    return []


def publish_if_due(state: NodeState) -> Effects:
    """Accept and publish the operators' changes, once the batch window has passed."""
    publication = state.control.publication
    if publication.in_flight:
        return []
    rooms = acceptance.list_runner_memory(state.control.ledgers.values(), _engines(state))
    if rooms != publication.checked_memory and state.catalogue.rejected:
        # Resources that did not fit may fit now.
        publication.dirty = True
    if publication.desired is None or not publication.dirty or publication.head_version < 0:
        return []
    if state.now - publication.desired_changed_at < defaults.PUBLISH_BATCH_S:
        return []
    if state.catalogue.revision < publication.head_revision:
        # The entries of the published revision have not arrived at this node yet.
        return []
    surveyed = state.now - state.control.acquired_at >= defaults.REPORTS_WAIT_S
    if not surveyed and (not rooms or len(rooms) < _runner_count(state)):
        # Nothing would fit without reports, so wait for those of all runners, up to SURVEY_S.
        return []
    publication.dirty = False
    publication.checked_memory = rooms
    entries = acceptance.accept(publication.desired, state.control.entries, rooms)
    if entries == state.control.entries:
        return []
    revision = publication.head_revision + 1
    publication.in_flight = revision
    return [Publish(revision, state.control.acting_epoch, publication.head_version, entries)]


def _engines(state: NodeState) -> dict[str, str]:
    return {name: view.service for name, view in state.endpoints.items()}


def _runner_count(state: NodeState) -> int:
    return sum(1 for one in state.endpoints.values() if one.role == "runner" and not one.gone)


def may_take_lease(state: NodeState) -> bool:
    """Return whether this node may take the lease when it is free."""
    if state.leaving or state.reach.isolated:
        return False
    name = state.identity.name
    if state.relaying:
        topology = state.topology
        if not topology.mesh and not topology.relay:
            return False
        among = None if topology.mesh else topology.relays()
        up_s = state.now - state.started_at
        return name in state.membership.successors(up_s, state.now, among)
    return name in state.membership.relays(state.identity.data_centre)


def drop_lapsed(state: NodeState) -> None:
    """Drop the lease for good once it has lapsed, so that a successor need not wait it out."""
    lease = state.control.lease
    if lease.own_epoch and not lease.holding(state.now):
        state.record("lease", f"epoch {lease.own_epoch} ended", "it could not be renewed in time")
        lease.forfeit()


def holder_alive(state: NodeState) -> bool:
    """Return whether another node has reported lately that it holds the lease as it was last read.

    One that reports a later epoch may have taken it since, which a read shows; until then its word
    alone would keep the lease from all others.
    """
    return any(
        peer.heartbeat.lease_epoch == max(1, state.control.lease.epoch)
        and state.now - peer.received_at < defaults.HOLDER_QUIET_S
        for peer in state.membership.peers.values()
    )


def should_read_lease(state: NodeState) -> bool:
    """Return whether this node should read the lease now.

    The holder reads it if a renewal was not answered. A node that may take it over reads it once
    no heartbeat of the holder arrives any more, which saves the platform most of these calls.
    """
    lease = state.control.lease
    if holding(state):
        return lease.unanswered(state.now) or lease.version < 0
    return may_take_lease(state) and not holder_alive(state)


def awaits_release(state: NodeState) -> bool:
    """Return whether the holder has announced that it leaves and has not released the lease."""
    holder = state.membership.peers.get(state.control.lease.holder)
    return holder is not None and holder.heartbeat.leaving and may_take_lease(state)


def write_lease_if_due(state: NodeState) -> Effects:
    """Write the lease if due, to renew it or to take it over."""
    identity = state.identity
    candidate = may_take_lease(state) and not (state.relaying and holder_alive(state))
    write = state.control.lease.due_write(state.now, identity.name, identity.incarnation, candidate)
    if write is None:
        return []
    return [write]


def run_control_jobs(state: NodeState, passed: float) -> Effects:
    """Run the control jobs that are due at a tick.

    :param passed: seconds since the last tick.
    """
    control = state.control
    control.meter.roll(passed)
    effects: Effects = [] if state.leaving else write_lease_if_due(state)
    if not holding(state):
        return effects
    sum_demand(state, passed)
    for name, view in state.endpoints.items():
        if view.role == "runner" and name not in control.ledgers:
            ledger = control.ledgers[name] = Ledger(name)
            if control.intents_known:
                ordering.inherit_late_orders(state, ledger)
    for name in [name for name in control.ledgers if name not in state.endpoints]:
        del control.ledgers[name]
    effects += publish_if_due(state)
    effects += ordering.fence_endpoints(state)
    effects += ordering.resend_orders(state)
    effects += ordering.plan_moves(state)
    return effects + ordering.attach_adapters(state)


def sum_demand(state: NodeState, passed: float) -> None:
    """Update the forecast from the demand at all nodes."""
    state.control.forecast.update(measure_demand(state), passed)
    state.control.urgent_demand.update_forecast(passed)
    state.control.refused_demand.update_forecast(passed)


def update_forecast(state: NodeState) -> None:
    """Update the forecast of a relaying node from the demand since its last update."""
    passed = state.now - state.control.forecast_at
    state.control.forecast_at = state.now
    sum_demand(state, passed)


def follow_demand(state: NodeState) -> None:
    """Update the forecast every ``DEMAND_FOLLOWED_S`` at a node that may take the lease later.

    A new holder without a forecast would unload requested models in its first plans.
    """
    if state.now - state.control.forecast_at >= defaults.DEMAND_FOLLOWED_S:
        update_forecast(state)


def follows_demand(state: NodeState) -> bool:
    """Return whether this node gets all nodes' demand, as it may take the lease later."""
    return state.topology.mesh or state.topology.relay


def measure_demand(state: NodeState) -> dict[str, float]:
    """Add up what all nodes measured last, in tokens of the slowest model a second."""
    peer_rates = (
        rates for peer, rates in state.control.peer_demand.items() if peer in state.membership.peers
    )
    return add_rates([state.control.meter.rates, *peer_rates])


def resident_models(state: NodeState) -> t.Mapping[str, list[str]]:
    """Return, for each declared model, the endpoints that report it resident."""
    hosts: dict[str, list[str]] = {name: [] for name in state.catalogue.models}
    for view in state.endpoints.values():
        if view.gone or view.report is None:
            continue
        for model, _ in view.report.resident:
            if model in hosts:
                hosts[model].append(view.name)
    return hosts
