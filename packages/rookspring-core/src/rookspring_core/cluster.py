"""Handlers of ticks, reports, box lists and heartbeats, and of the planned stop."""

from . import allotting
from . import defaults
from . import governing
from . import granting
from . import lives
from . import noticing
from . import ordering
from . import requests
from . import residency
from . import suspecting
from .effects import Announce
from .effects import Effect
from .effects import ShareReport
from .effects import Stop
from .effects import WriteLease
from .endpoints import EndpointView
from .events import BoxListCame
from .events import BoxListed
from .events import CacheEventsCame
from .events import ComingHeard
from .events import DownHeard
from .events import DrainAsked
from .events import EndpointReported
from .events import MembersHeard
from .events import PeerHeard
from .events import PeerLost
from .events import PeerUnreached
from .events import PlatformAnswered
from .events import PromptsHeard
from .events import ReportMissed
from .events import RouteTableSeen
from .events import StoreRead
from .events import Ticked
from .membership import AddressRow
from .reducer import handles
from .state import NodeState
from .topology import Standing

Effects = list[Effect]


@handles(Ticked)
def tick(state: NodeState, event: Ticked) -> Effects:
    """Do all that is due."""
    passed = max(0.0, event.at - state.ticked_at)
    state.ticked_at = event.at
    for name in state.membership.expire(event.at):
        _forget_peer(state, name)
    state.peers_work.settle()
    state.limits.tick(passed)
    state.suspects.tick(event.at)
    state.notices.tick(event.at, state.endpoints)
    state.rates.tick(event.at, state.endpoints)
    state.once.tick(event.at)
    effects = granting.expire_turns(state)
    effects += requests.sweep(state, passed) + allotting.expire(state)
    if state.relaying:
        was_relay = state.topology.relay
        work_out_roles(state)
        _keep_owned(state)
        allotting.watch(state, was_relay)
        state.adapter_waits.forget_old(event.at)
        effects += residency.steer(state, passed)
    else:
        effects += governing.govern(state, passed)
    return effects + _stop_due(state)


def work_out_roles(state: NodeState) -> None:
    """Work out this relay node's roles and links."""
    standing = Standing(
        state.strength, state.now - state.started_at, state.leaving, governing.holding(state)
    )
    state.topology.work_out(state.now, standing)


def _keep_owned(state: NodeState) -> None:
    """Go on deciding for all what falls to this node yet, for the nodes that it hears of."""
    state.owners.keep(state.topology.owners(state.now), state.now)
    if state.topology.mesh or state.topology.relay:
        state.owners.note_visible(state.membership.visible(state.now), state.now)


def _forget_peer(state: NodeState, name: str) -> None:
    state.limits.lose(name)
    state.control.forget(name)
    state.peers_work.forget(name)


@handles(EndpointReported)
def take_report(state: NodeState, event: EndpointReported) -> Effects:
    """Take a load report; waiting requests may have found room."""
    view = state.endpoints.get(event.endpoint)
    if view is None:
        return []
    ended: Effects = []
    if view.report is not None and view.report.incarnation != event.incarnation:
        ended = suspecting.note_ended(state, view)
        view.leaving = False
        view.rest_until = -1e9
        state.notices.begin(view.name, event.born, event.sure)
        state.rates.begin(view.name, event.born, event.sure)
        view.rate = None
        view.prefixes.clear()
    before = view.targets()
    if state.relaying:
        if lives.judge(view.report, event) == "old":
            event, effects = lives.doubt(state, view, event)
            if not event.sure:
                return effects
        if lives.judge(view.report, event) == "new":
            ended += suspecting.note_ended(state, view)
            lives.begin(state, view, event)
            state.index(view, before, frozenset())
            before = frozenset()
        residency.note_report(state, event)
        if event.leaving:
            noticing.note_listed(state, event.endpoint, event.born)
        if event.order_token[1] >= 0 and _overtaken(view, event):
            return ended
        event = residency.refine(state, view, event)
    # Whoever has just read its report has reached it.
    view.down = view.down and not event.own
    if not view.take_report(event):
        return ended
    residency.trust(state, event)
    noticing.recall(state, view)
    state.index(view, before, view.targets())
    state.adapter_waits.end(event.adapters, state.now)
    # Where the list follows the endpoints' own entries, it alone brings one back.
    view.gone = view.gone and state.relaying
    if governing.holding(state) and view.role == "runner":
        ledger = state.control.ledgers.get(event.endpoint)
        if ledger is not None:
            ledger.take_report(event, ordering.sizes_of(state))
    told: Effects = [ShareReport(event._replace(own=False))] if event.own else []
    return ended + told + requests.pump(state)


def _overtaken(view: EndpointView, event: EndpointReported) -> bool:
    """Say whether more orders were taken there already than a report knows of."""
    known = view.report
    if known is None or known.incarnation != event.incarnation:
        return False
    return event.order_token < known.order_token


@handles(RouteTableSeen)
def take_table(state: NodeState, event: RouteTableSeen) -> Effects:
    """Put a newer route table in force; an older one changes nothing, ever."""
    if state.table is not None and event.table.version <= state.table.version:
        return []
    state.table = event.table
    state.freshness.settle(event.table.version)
    return [Announce("table")]


@handles(CacheEventsCame)
def take_hints(state: NodeState, event: CacheEventsCame) -> Effects:
    """Remember prefixes that an endpoint says it holds."""
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.hint(event.prefixes, event.at)
    return []


@handles(ReportMissed)
def note_missed(state: NodeState, event: ReportMissed) -> Effects:
    """An endpoint did not answer; after a while it counts as gone."""
    view = state.endpoints.get(event.endpoint)
    if view is None:
        return []
    if event.at - max(view.reported_at, state.started_at) > defaults.ENDPOINT_GONE_S:
        view.gone = True
    return []


@handles(BoxListCame)
def take_boxes(state: NodeState, event: BoxListCame) -> Effects:
    """Take the platform's list: nodes to link to, endpoints to know and to leave alone."""
    if not state.relaying:
        # There the list holds endpoints alone; nodes have a list of their own.
        state.membership.take_list(event.boxes)
    seen: set[str] = set()
    for row in event.boxes:
        if row.role == "node":
            continue
        seen.add(row.name)
        _take_row(state, row)
    effects: Effects = []
    for name in set(state.endpoints) - seen:
        view = state.endpoints[name]
        if not view.gone:
            effects += suspecting.note_ended(state, view)
        view.gone = True
        if not view.inflight:
            state.index(view, view.targets(), frozenset())
            del state.endpoints[name]
    return effects


def _take_row(state: NodeState, row: BoxListed) -> None:
    view = state.endpoints.get(row.name)
    if view is None or view.address != row.address:
        if view is not None:
            state.index(view, view.targets(), frozenset())
        view = EndpointView(
            row.name,
            row.address,
            row.data_centre,
            row.role,
            row.service,
            state.peers_work,
            row.born,
        )
        state.endpoints[row.name] = view
        # It may have lapsed and come back with what its entry said before.
        noticing.recall(state, view)
        state.index(view, frozenset(), view.targets())
    elif state.relaying:
        view.gone = False
    if row.state == "leaving":
        noticing.note_listed(state, row.name, row.born)


@handles(PeerHeard)
def hear_peer(state: NodeState, event: PeerHeard) -> Effects:
    """Take another node's heartbeat."""
    fresh = state.membership.hear(event)
    state.control.lease.note_end(event.lease_ended, event.at)
    if event.name not in state.membership.peers:
        return []
    state.limits.hear(event.name, event.team_demand)
    state.control.hear(event)
    if event.spent is not None:
        pass_on = state.topology.relay and not event.relay
        state.allotments.hear(dict(event.spent), event.at, pass_on)
    if event.summed:
        # Its work comes in the sums of the node that this one follows, or that it follows.
        state.peers_work.forget(event.name)
    else:
        # Where a node's rows are left out, the sums say nothing and reports serve alone.
        told_at = event.at if event.inflight is not None else -1e9
        state.peers_work.replace(event.name, event.inflight or (), told_at)
        if event.prompts is not None:
            state.peers_work.replace_prompts(event.name, event.prompts)
    return [Announce("hello")] if fresh else []


@handles(MembersHeard)
def hear_members(state: NodeState, event: MembersHeard) -> Effects:
    """Take what a linked node says of nodes that are not linked to this one."""
    for name in state.membership.hear_rows(event):
        _forget_peer(state, name)
    for row in event.rows:
        state.control.lease.note_end(row.lease_ended, event.at)
    return []


@handles(PeerUnreached)
def note_unreached(state: NodeState, event: PeerUnreached) -> Effects:
    """Give no job to a node that could not be dialled."""
    state.topology.note_unreached(event.name, event.at)
    return []


@handles(StoreRead)
def note_store_read(state: NodeState, event: StoreRead) -> Effects:
    """Know that what this node has of the store is fresh."""
    state.topology.read_at = event.at
    return []


def inflight_rows(state: NodeState) -> tuple[tuple[str, int], ...]:
    """Give this node's requests in flight by endpoint, for its heartbeat."""
    return tuple(
        (view.name, len(view.inflight)) for view in state.endpoints.values() if view.inflight
    )


@handles(PromptsHeard)
def hear_prompts(state: NodeState, event: PromptsHeard) -> Effects:
    """Take what another node's requests have an endpoint read; less may make room."""
    if event.name not in state.membership.peers:
        return []
    for endpoint, tokens in event.rows:
        state.peers_work.set_prompts(event.name, endpoint, tokens)
    return requests.pump(state)


@handles(ComingHeard)
def hear_coming(state: NodeState, event: ComingHeard) -> Effects:
    """Know of a load under way, so that callers are told when their model can be there."""
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.coming = (event.model, event.at + event.in_s)
    return []


@handles(DownHeard)
def hear_down(state: NodeState, event: DownHeard) -> Effects:
    """Take another node's word that nothing listens at an endpoint."""
    view = state.endpoints.get(event.endpoint)
    if view is not None and view.found_down(event.at):
        state.record(view.name, "down", "another node's connection was refused")
    return []


@handles(PeerLost)
def lose_peer(state: NodeState, event: PeerLost) -> Effects:
    """A node's stream ended; it is gone unless another node vouches for it."""
    state.membership.unlink(event.name, event.at)
    _forget_peer(state, event.name)
    return []


@handles(PlatformAnswered)
def note_platform(state: NodeState, event: PlatformAnswered) -> Effects:
    """Know whether the platform can be reached."""
    state.platform_reachable = event.reachable
    if event.reachable:
        state.platform_at = event.at
    return []


@handles(DrainAsked)
def begin_drain(state: NodeState, event: DrainAsked) -> Effects:
    """Begin the planned stop: out of the addresses at once, serving on for their life."""
    state.hurry = state.hurry or event.hurry
    if state.leaving:
        return _stop_due(state)
    state.draining_since = event.at
    effects: Effects = [Announce("leaving")]
    wish = state.control.lease.give_up(event.at)
    if wish is not None:
        effects.append(WriteLease(*wish))
    return effects


def _stop_due(state: NodeState) -> Effects:
    if state.draining_since is None or state.stopped:
        return []
    served = state.now - state.draining_since
    if not state.hurry and served < state.drain_serve_s:
        return []
    if state.requests:
        return []
    state.stopped = True
    return [Stop()]


def list_addresses(state: NodeState) -> list[AddressRow]:
    """List the entry addresses that callers may use, those of live nodes that stay."""
    rows: list[AddressRow] = []
    identity = state.identity
    if not state.leaving and state.revision > 0:
        rows.append(AddressRow(identity.caller_address, 1.0, identity.data_centre))
    for peer in state.membership.peers.values():
        heard = peer.heard
        # A node without a revision cannot serve yet, so no caller is sent there.
        if not heard.leaving and heard.revision > 0:
            rows.append(AddressRow(heard.caller_address, 1.0, heard.data_centre))
    return sorted(rows)


def near_addresses(state: NodeState, data_centre: str) -> list[str]:
    """List entry addresses for a caller: those of its data centre if two or more are there."""
    rows = list_addresses(state)
    near = [row.address for row in rows if row.data_centre == data_centre]
    if len(near) >= defaults.NEAR_ADDRESSES_MIN:
        return near
    return [row.address for row in rows][: defaults.ADDRESSES_MAX]
