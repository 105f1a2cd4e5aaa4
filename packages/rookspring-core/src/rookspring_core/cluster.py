"""Handlers of ticks, load reports, box lists and heartbeats."""

import math

from . import allotment_checks
from . import control_jobs
from . import defaults
from . import endpoint_reach
from . import endpoint_speeds
from . import evacuation_handlers
from . import load_requests
from . import missing_models
from . import notice_handlers
from . import ordering
from . import requests
from . import residency
from . import restarts
from . import run_copies
from . import slot_answers
from . import stops
from . import stream_origins
from . import suspect_handlers
from .effects import Announce
from .effects import Effect
from .effects import ShareReport
from .endpoints import EndpointView
from .events import BoxListed
from .events import BoxListReceived
from .events import CacheEventsReceived
from .events import DownReceived
from .events import EndpointReported
from .events import HeartbeatReceived
from .events import LoadingReceived
from .events import MembersReceived
from .events import PeerLost
from .events import PeerUnreached
from .events import PlatformAnswered
from .events import PromptsReceived
from .events import ReportMissed
from .events import RouteTableSeen
from .events import StoreRead
from .events import StoreUnread
from .events import Ticked
from .membership import AddressRow
from .reducer import handles
from .state import EntriesOutage
from .state import NodeState
from .topology import LocalStatus

Effects = list[Effect]


@handles(Ticked)
def tick(state: NodeState, event: Ticked) -> Effects:
    """Advance the node's state to the time of the tick and run all periodic work."""
    passed = max(0.0, event.at - state.ticked_at)
    state.ticked_at = event.at
    for name in state.membership.expire(event.at):
        _forget_peer(state, name)
    state.peers_work.settle()
    state.limits.decay_demand(passed)
    state.suspects.tick(event.at)
    state.notices.tick(event.at, state.endpoints)
    state.rates.expire(event.at, state.endpoints)
    state.once.expire_idle(event.at)
    state.stream_versions.tick(event.at)
    effects = suspect_handlers.confirm_sound_runs(state)
    effects += slot_answers.expire_permit_requests(state)
    effects += requests.sweep(state, passed) + allotment_checks.expire_parked(state)
    if state.relaying:
        was_relay = state.topology.relay
        update_roles(state)
        _update_owners(state)
        allotment_checks.update_near_limit(state, was_relay)
        state.adapter_waits.forget_old(event.at)
        effects += evacuation_handlers.expire_kept(state)
        effects += run_copies.ask(state)
        effects += endpoint_speeds.update(state)
        effects += endpoint_reach.probe_if_due(state)
        effects += endpoint_reach.release_lease_if_isolated(state)
        effects += residency.run_control_tick(state, passed)
        effects += load_requests.repeat_to_new_holder(state)
    else:
        effects += control_jobs.run_control_jobs(state, passed)
    return effects + stops.stop_if_due(state)


def update_roles(state: NodeState) -> None:
    """Update this relay node's roles and links from the current membership."""
    local = LocalStatus(
        state.capacity, state.now - state.started_at, state.leaving, control_jobs.holding(state)
    )
    state.topology.update(state.now, local)


def _update_owners(state: NodeState) -> None:
    """Update which organisations this node still owns, and how many nodes it sees."""
    state.owners.update_nodes(state.topology.owners(state.now), state.now)
    if state.topology.mesh or state.topology.relay:
        state.owners.record_visible(state.membership.visible(state.now), state.now)


def _forget_peer(state: NodeState, name: str) -> None:
    state.limits.forget_peer(name)
    state.control.forget(name)
    state.peers_work.forget(name)
    state.speeds.samples.forget_source(name)


@handles(EndpointReported)
def take_report(state: NodeState, event: EndpointReported) -> Effects:
    """Apply a load report, and dispatch waiting requests that it has made room for."""
    view = state.endpoints.get(event.endpoint)
    if view is None:
        return []
    ended: Effects = []
    if view.report is not None and view.report.incarnation != event.incarnation:
        ended = suspect_handlers.note_endpoint_end(state, view)
        view.leaving = False
        view.ends_at = math.inf
        view.backoff_until = -1e9
        state.notices.note_restart(view.name, event.started_ms, event.start_confirmed)
        state.rates.begin_incarnation(view.name, event.started_ms, event.start_confirmed)
        endpoint_speeds.forget_endpoint(state, view)
        view.rate = None
        view.prefixes.clear()
    before = view.targets()
    if state.relaying:
        if restarts.compare_starts(view.report, event) == "old":
            event, effects = restarts.verify_earlier_start(state, view, event)
            if not event.start_confirmed:
                return effects
        if restarts.compare_starts(view.report, event) == "new":
            ended += suspect_handlers.note_endpoint_end(state, view)
            restarts.reset_endpoint(state, view, event)
            state.index(view, before, frozenset())
            before = frozenset()
        residency.note_report(state, event)
        if event.leaving:
            notice_handlers.note_listed(state, event.endpoint, event.started_ms)
        if event.order_token[1] >= 0 and _is_outdated(view, event):
            return ended
        event = residency.complete_report(state, view, event)
    # A report that this node read itself proves that the endpoint can be reached.
    view.down = view.down and not event.polled
    if not view.take_report(event):
        return ended
    residency.trust_runner(state, event)
    notice_handlers.restore_notices(state, view)
    state.index(view, before, view.targets())
    state.adapter_waits.end(event.adapters, state.now)
    missing_models.take_arrivals(state, view)
    # On relay nodes the list is made of the endpoints' own entries, so only the list may clear
    # `gone`.
    view.gone = view.gone and state.relaying
    if control_jobs.holding(state) and view.role == "runner":
        ledger = state.control.ledgers.get(event.endpoint)
        if ledger is not None:
            ledger.take_report(event, ordering.sizes_of(state))
    shared: Effects = [ShareReport(event._replace(polled=False))] if event.polled else []
    ended += run_copies.ask_at(state, view)
    return ended + shared + requests.dispatch_waiting(state)


def _is_outdated(view: EndpointView, event: EndpointReported) -> bool:
    """Return whether a report was made before the latest order that the endpoint accepted."""
    known = view.report
    if known is None or known.incarnation != event.incarnation:
        return False
    return event.order_token < known.order_token


@handles(RouteTableSeen)
def take_table(state: NodeState, event: RouteTableSeen) -> Effects:
    """Apply a route table if its version is newer than that of the current one."""
    if state.table is not None and event.table.version <= state.table.version:
        return []
    state.table = event.table
    state.freshness.confirm_pending(event.table.version)
    return [Announce("table")]


@handles(CacheEventsReceived)
def take_hints(state: NodeState, event: CacheEventsReceived) -> Effects:
    """Remember the prompt prefixes that an endpoint reports as cached."""
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.hint(event.prefixes, event.at)
    return []


@handles(ReportMissed)
def note_missed(state: NodeState, event: ReportMissed) -> Effects:
    """Mark an endpoint as gone once its polls have failed for ``ENDPOINT_GONE_S``."""
    view = state.endpoints.get(event.endpoint)
    if view is None:
        return []
    if event.at - max(view.reported_at, state.started_at) > defaults.ENDPOINT_GONE_S:
        view.gone = True
    return []


@handles(BoxListReceived)
def take_boxes(state: NodeState, event: BoxListReceived) -> Effects:
    """Apply the platform's list: the nodes to link to, and the endpoints in use or leaving."""
    if not state.relaying:
        # On relay nodes this list holds endpoints only; nodes are listed separately.
        state.membership.take_list(event.boxes)
    seen: set[str] = set()
    serving: dict[str, set[str]] = {}
    for row in event.boxes:
        if row.role == "node":
            continue
        seen.add(row.name)
        serving.setdefault(row.service, set()).add(row.version)
        _take_row(state, row)
    several = state.stream_versions.set_serving(serving, state.now)
    if several and state.control.holding(state.now):
        state.control.lease.hasten()
    effects: Effects = stream_origins.tell_running(state, several)
    for name in set(state.endpoints) - seen:
        view = state.endpoints[name]
        if not view.gone:
            effects += suspect_handlers.note_endpoint_end(state, view)
        view.gone = True
        if not view.inflight:
            state.index(view, view.targets(), frozenset())
            del state.endpoints[name]
    return effects + run_copies.ask(state)


def _take_row(state: NodeState, row: BoxListed) -> None:
    view = state.endpoints.get(row.name)
    if view is None or view.address != row.address:
        if view is not None:
            state.index(view, view.targets(), frozenset())
            endpoint_speeds.forget_endpoint(state, view)
        view = EndpointView(
            row.name,
            row.address,
            row.data_centre,
            row.role,
            row.service,
            state.peers_work,
            row.started_ms,
        )
        state.endpoints[row.name] = view
        view.evacuated = view.data_centre in state.evacuations.in_force
        # Its entry may have lapsed and been written again in its earlier state.
        notice_handlers.restore_notices(state, view)
        state.index(view, frozenset(), view.targets())
    elif state.relaying:
        view.gone = False
    view.set_version(row.version, row.started_ms)
    if row.state == "leaving":
        notice_handlers.note_listed(state, row.name, row.started_ms)


@handles(HeartbeatReceived)
def handle_heartbeat(state: NodeState, event: HeartbeatReceived) -> Effects:
    """Apply another node's heartbeat."""
    fresh = state.membership.apply_heartbeat(event)
    state.control.lease.note_end(event.lease_ended, event.at)
    if event.name not in state.membership.peers:
        return []
    state.limits.record_demand(event.name, event.team_demand)
    state.control.apply_heartbeat(event)
    if event.spent is not None:
        pass_on = state.topology.relay and not event.relay
        state.allotments.record_reported(dict(event.spent), event.at, pass_on)
    if event.aggregated:
        # Its in-flight requests are already part of another node's sums: of the node that this
        # one follows, or of the node that the sender follows.
        state.peers_work.forget(event.name)
    else:
        # Without rows of each node the sums are incomplete; a time in the distant past makes
        # load estimates use the endpoints' reports instead.
        counted_at = event.at if event.inflight is not None else -1e9
        state.peers_work.replace(event.name, event.inflight or (), counted_at)
        if event.prompts is not None:
            state.peers_work.replace_prompts(event.name, event.prompts)
    return [Announce("hello")] if fresh else []


@handles(MembersReceived)
def handle_member_rows(state: NodeState, event: MembersReceived) -> Effects:
    """Apply a linked node's rows about nodes that need not be linked to this one."""
    for name in state.membership.apply_member_rows(event):
        _forget_peer(state, name)
    for row in event.rows:
        state.control.lease.note_end(row.lease_ended, event.at)
    return []


@handles(PeerUnreached)
def note_unreached(state: NodeState, event: PeerUnreached) -> Effects:
    """Exclude a node from all roles for a while, since it could not be dialled."""
    state.topology.note_unreached(event.name, event.at)
    return []


@handles(StoreRead)
def note_store_read(state: NodeState, event: StoreRead) -> Effects:
    """Record when this node last read the store."""
    state.topology.read_at = event.at
    state.topology.asked_at = event.asked_at
    outage = state.entries_outage
    if outage is not None and outage.ended_at == math.inf:
        state.entries_outage = outage._replace(ended_at=event.at)
    return []


@handles(StoreUnread)
def note_store_unread(state: NodeState, event: StoreUnread) -> Effects:
    """Record that the entries of endpoints can't be read, and until when they are known."""
    outage = state.entries_outage
    if outage is not None and outage.ended_at == math.inf:
        return []
    known_until = state.topology.complete_until(event.at)
    if outage is not None and event.at < outage.ended_at + defaults.REWRITE_S:
        known_until = min(known_until, outage.known_until)
    state.entries_outage = EntriesOutage(known_until)
    return []


def inflight_rows(state: NodeState) -> tuple[tuple[str, int], ...]:
    """Return this node's requests in flight by endpoint, for its heartbeat."""
    return tuple(
        (view.name, len(view.inflight)) for view in state.endpoints.values() if view.inflight
    )


@handles(PromptsReceived)
def handle_peer_prompts(state: NodeState, event: PromptsReceived) -> Effects:
    """Apply another node's counts of unread prompt tokens; lower counts may make room."""
    if event.name not in state.membership.peers:
        return []
    for endpoint, tokens in event.rows:
        state.peers_work.set_prompts(event.name, endpoint, tokens)
    return requests.dispatch_waiting(state)


@handles(LoadingReceived)
def handle_expected_load(state: NodeState, event: LoadingReceived) -> Effects:
    """Record a model load in progress and when it should end, for the callers' retry times."""
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.expected_model = (event.model, event.at + event.in_s)
    return []


@handles(DownReceived)
def handle_endpoint_down(state: NodeState, event: DownReceived) -> Effects:
    """Mark an endpoint as down after another node's connection to it was refused."""
    view = state.endpoints.get(event.endpoint)
    if view is not None and view.take_told_down(event.at):
        state.record(view.name, "down", "another node's connection was refused")
    return []


@handles(PeerLost)
def lose_peer(state: NodeState, event: PeerLost) -> Effects:
    """Unlink a node whose stream ended; it is removed unless another node reports it as live."""
    state.membership.unlink(event.name, event.at)
    _forget_peer(state, event.name)
    return []


@handles(PlatformAnswered)
def note_platform(state: NodeState, event: PlatformAnswered) -> Effects:
    """Record whether the platform can be reached."""
    state.platform_reachable = event.reachable
    if event.reachable:
        state.platform_answered_at = event.at
    return []


def list_addresses(state: NodeState) -> list[AddressRow]:
    """List the entry addresses that callers may use: those of live nodes that are not leaving."""
    rows: list[AddressRow] = []
    identity = state.identity
    if not state.leaving and state.revision > 0:
        isolated = state.reach.isolated
        rows.append(AddressRow(identity.caller_address, 1.0, identity.data_centre, isolated))
    for peer in state.membership.peers.values():
        heartbeat = peer.heartbeat
        # A node without a revision cannot serve yet, so no caller is sent there.
        if not heartbeat.leaving and heartbeat.revision > 0:
            row = AddressRow(heartbeat.caller_address, 1.0, heartbeat.data_centre)
            rows.append(row._replace(isolated=heartbeat.isolated))
    return sorted(_prefer_reaching(rows))


def _prefer_reaching(rows: list[AddressRow]) -> list[AddressRow]:
    """Leave out the nodes that reach no endpoint, unless too few are left.

    Those are still served: what callers send them is handed over.
    """
    reaching = [row for row in rows if not row.isolated]
    least = max(defaults.NEAR_ADDRESSES_MIN, len(rows) * defaults.REACHING_SHARE_MIN)
    return reaching if len(reaching) >= least else rows


def near_addresses(state: NodeState, data_centre: str) -> list[str]:
    """List entry addresses for a caller, from its own data centre if that has enough of them."""
    rows = list_addresses(state)
    local_addresses = [row.address for row in rows if row.data_centre == data_centre]
    if len(local_addresses) >= defaults.NEAR_ADDRESSES_MIN:
        return local_addresses
    return [row.address for row in rows][: defaults.ADDRESSES_MAX]
