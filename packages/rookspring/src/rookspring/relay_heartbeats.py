"""Heartbeats between relay nodes, and the sums of demand and load that they carry.

In a mesh each node sends its own figures to all others. In a larger deployment a leaf sends its
own to the relay that it follows. A relay sends the other relays the sums over itself and its
followers, and sends each follower what all other nodes have in flight.
"""

import asyncio
import typing as t

from rookspring_core import attaching
from rookspring_core import cluster
from rookspring_core.demand import add_rates
from rookspring_core.events import HeartbeatReceived
from rookspring_core.state import NodeState

from . import clock
from . import defaults
from . import relay_close_records
from . import relay_merged
from . import relay_speeds
from .message_rows import CountRow
from .message_rows import RateRow
from .messages import Heartbeat
from .messages import encode
from .peers import Link
from .relay_context import RelayContext
from .relay_members import send_members
from .relay_peers import RelayPeers
from .relay_peers import receives


def send_first_heartbeat(peers: RelayPeers, link: Link) -> None:
    """Send a newly linked node a heartbeat without figures."""
    link.send(make_heartbeat(peers.context))


def send_heartbeats(peers: RelayPeers) -> None:
    """Send each linked node a heartbeat with the figures that it needs."""
    context = peers.context
    topology = context.state.topology
    bare = make_heartbeat(context)
    own = fill_own(context.state, bare) if topology.mesh or not topology.relay else bare
    group = fill_group(peers, bare) if topology.relay else bare
    unread_endpoints = _unread_endpoints(context.state) if topology.relay else []
    spent = take_spent_rows(peers)
    # A heartbeat that several nodes get is encoded once.
    encoded: dict[str, bytes] = {}
    kinds = {name: _kind_for(peers, name) for name in peers.server.links}
    for name, link in list(peers.server.links.items()):
        kind = kinds[name]
        follows = name == topology.followed
        if kind == "rest":
            link.send(fill_others(peers, bare, name, unread_endpoints)._replace(follows=follows))
            continue
        key = f"{kind}{follows}"
        if key not in encoded:
            beat = {"own": own, "group": group, "bare": bare}[kind]
            if kind != "bare":
                beat = beat._replace(spent=spent)
            encoded[key] = encode(beat._replace(follows=follows))
        link.send_encoded(encoded[key])
    group_names = leaf_followers(peers)
    relay_speeds.send_speeds(peers, kinds, group_names)
    relay_close_records.send_counts(peers, kinds, group_names)


def take_spent_rows(peers: RelayPeers) -> list[RateRow] | None:
    """Return the units admitted since the last heartbeat, as rows of organisation and units.

    The units are taken only if a linked node is to aggregate them, and kept for the next
    heartbeat otherwise; None if there are none.
    """
    context = peers.context
    topology = context.state.topology
    links = peers.server.links
    kinds = {_kind_for(peers, name) for name in links}
    if topology.mesh or topology.relay:
        received = bool(kinds & {"own", "group"})
    else:
        received = topology.followed in links
    sums = context.state.allotments.take_unreported(clock.now(), received)
    return [(name, round(units)) for name, units in sums.items()] or None


def announce(peers: RelayPeers, topic: str) -> None:
    """Send all linked nodes a heartbeat now, unless the topic is a new link.

    A newly linked node has already got a heartbeat. One to all nodes for each new link would
    flood the links when many nodes start at once.
    """
    if topic != "hello":
        send_heartbeats(peers)


def _kind_for(peers: RelayPeers, name: str) -> str:
    """Return which figures a linked node gets.

    They are ``own`` (this node's), ``group`` (the sums over this relay and its leaf followers),
    ``rest`` (the sums over all nodes but that one) or ``bare`` (none).
    """
    topology = peers.context.state.topology
    known = peers.context.state.membership.peers.get(name)
    if topology.mesh:
        return "own"
    if not topology.relay:
        return "own" if name == topology.followed or not topology.followed else "bare"
    if known is None or known.heartbeat.relay:
        return "group"
    return "rest" if name in peers.followers else "bare"


def make_heartbeat(context: RelayContext) -> Heartbeat:
    """Make this node's heartbeat without figures."""
    state = context.state
    identity = state.identity
    now = clock.now()
    return Heartbeat(
        name=identity.name,
        incarnation=identity.incarnation,
        address=identity.address,
        caller_address=identity.caller_address,
        data_centre=identity.data_centre,
        # Callers are given no node with revision 0, so a node that can't serve yet gets none.
        revision=state.revision if context.endpoints_listed else 0,
        leaving=state.leaving,
        demand=[],
        team_demand=[],
        lease_epoch=state.control.acting_epoch if state.control.holding(now) else 0,
        inflight=None,
        uptime_s=now - state.started_at,
        lease_ended=state.control.lease.ended,
        capacity=state.capacity,
        relay=state.topology.relay,
        relay_s=round(state.topology.collecting_s(now), 1),
        watches=state.topology.watching
        and now - state.topology.read_at < defaults.STORE_READ_RECENT_S,
        aggregated=True,
        # Ages of more than an hour need not be told apart.
        store_age_s=round(min(3600.0, state.topology.age_s(now)), 3),
        merged=relay_merged.combined_digest(state),
        store_era=state.store_era,
        isolated=state.reach.isolated,
    )


def fill_own(state: NodeState, beat: Heartbeat) -> Heartbeat:
    """Add this node's own figures."""
    return beat._replace(
        demand=_write_rates(state.control.meter.rates),
        inflight=list(cluster.inflight_rows(state)),
        used=list(attaching.used_rows(state)),
        urgent_demand=_write_rates(state.control.urgent_demand.meter.rates),
        refused_demand=_write_rates(state.control.refused_demand.meter.rates),
        prompts=own_prompts(state, _unread_endpoints(state)),
        aggregated=False,
    )


def fill_group(peers: RelayPeers, beat: Heartbeat) -> Heartbeat:
    """Add the sums of the figures of this relay and its leaf followers."""
    state = peers.context.state
    control = state.control
    group = leaf_followers(peers)
    demand = add_rates(
        [control.meter.rates, *(control.peer_demand.get(name, {}) for name in group)]
    )
    inflight = state.peers_work.of(group)
    for endpoint, count in cluster.inflight_rows(state):
        inflight[endpoint] = inflight.get(endpoint, 0) + count
    used = set(attaching.used_rows(state))
    for name in group:
        used.update(control.peer_used.get(name, ()))
    return beat._replace(
        demand=_write_rates(demand),
        inflight=_write_counts(inflight),
        used=list(used),
        urgent_demand=_write_rates(control.urgent_demand.sum_of(group)),
        refused_demand=_write_rates(control.refused_demand.sum_of(group)),
        prompts=group_prompts(peers, _unread_endpoints(state)),
        aggregated=False,
    )


def fill_others(
    peers: RelayPeers, beat: Heartbeat, name: str, unread_endpoints: t.Iterable[str]
) -> Heartbeat:
    """Add what all nodes except for one follower have in flight.

    :param name: the follower that gets the heartbeat.
    :param unread_endpoints: endpoints that have yet to read prompts.
    """
    state = peers.context.state
    rest = state.peers_work.without(name)
    for endpoint, count in cluster.inflight_rows(state):
        rest[endpoint] = rest.get(endpoint, 0) + count
    prompts = others_prompts(state, unread_endpoints, name)
    return beat._replace(inflight=_write_counts(rest), prompts=prompts, aggregated=False)


def leaf_followers(peers: RelayPeers) -> set[str]:
    """Return the followers whose figures this relay sums: those that are not relays."""
    known = peers.context.state.membership.peers
    return {name for name in peers.followers if name in known and not known[name].heartbeat.relay}


def own_prompts(state: NodeState, endpoints: t.Iterable[str]) -> list[CountRow]:
    """Return rows of endpoint and unread prompt tokens of this node's requests."""
    views = state.endpoints
    return [(name, views[name].own_prompts()) for name in endpoints if name in views]


def group_prompts(peers: RelayPeers, endpoints: t.Iterable[str]) -> list[CountRow]:
    """Return rows of endpoint and unread prompt tokens, of this relay and its leaf followers."""
    state = peers.context.state
    group = leaf_followers(peers)
    return [
        (name, own + state.peers_work.prompts_of(name, group))
        for name, own in own_prompts(state, endpoints)
    ]


def others_prompts(state: NodeState, endpoints: t.Iterable[str], follower: str) -> list[CountRow]:
    """Return rows of endpoint and unread prompt tokens, of all nodes except for one follower."""
    return [
        (name, state.endpoints[name].unread() - state.peers_work.prompts_of(name, (follower,)))
        for name in endpoints
        if name in state.endpoints
    ]


def _unread_endpoints(state: NodeState) -> list[str]:
    """Return the endpoints that have yet to read prompts."""
    return [name for name, view in state.endpoints.items() if view.unread()]


def _write_rates(rates: t.Mapping[str, float]) -> list[RateRow]:
    return [(name, round(rate, 2)) for name, rate in rates.items()]


def _write_counts(counts: t.Mapping[str, int]) -> list[CountRow]:
    return [(endpoint, count) for endpoint, count in counts.items() if count]


def _read_counts(rows: list[CountRow] | None) -> tuple[CountRow, ...] | None:
    return None if rows is None else tuple(rows)


@receives(Heartbeat)
def handle_heartbeat(peers: RelayPeers, link: Link, beat: Heartbeat) -> None:
    """Process a heartbeat, and request the route table if the sender has a newer one."""
    peers.context.eras.note_era(beat.store_era, f"node {beat.name}")
    new_follower = beat.follows and beat.name not in peers.followers
    if beat.follows:
        peers.followers.add(beat.name)
    else:
        peers.followers.discard(beat.name)
    peers.context.submit(
        HeartbeatReceived(
            at=clock.now(),
            name=beat.name,
            incarnation=beat.incarnation,
            address=beat.address,
            caller_address=beat.caller_address,
            data_centre=beat.data_centre,
            revision=beat.revision,
            leaving=beat.leaving,
            demand=tuple(beat.demand),
            team_demand=(),
            lease_epoch=beat.lease_epoch,
            inflight=_read_counts(beat.inflight),
            prompts=_read_counts(beat.prompts),
            uptime_s=beat.uptime_s,
            lease_ended=beat.lease_ended,
            used=tuple(beat.used or ()),
            urgent_demand=tuple(beat.urgent_demand or ()),
            refused_demand=tuple(beat.refused_demand or ()),
            capacity=beat.capacity,
            relay=beat.relay,
            watches=beat.watches,
            follows=beat.follows,
            aggregated=beat.aggregated,
            store_age_s=beat.store_age_s,
            spent=None if beat.spent is None else tuple(beat.spent),
            relay_s=beat.relay_s,
            isolated=beat.isolated,
        )
    )
    if new_follower:
        peers.context.send_endpoint_list(link)
    relay_merged.resend_if_different(peers, link, beat.merged)
    if (
        beat.leaving
        or beat.isolated
        or beat.lease_ended == peers.context.state.control.lease.epoch > 0
    ):
        peers.context.lease_check_due.set()
    peers.add_nodes([(beat.name, beat.address, beat.data_centre, beat.capacity)])
    peers.request_table(link, beat.revision)


async def heartbeat_loop(peers: RelayPeers) -> None:
    """At each interval, send heartbeats and changes of the membership, and open and close links."""
    while True:
        send_heartbeats(peers)
        send_members(peers)
        peers.dialler.dial_missing()
        peers.close_idle_links()
        await asyncio.sleep(defaults.RELAY_HEARTBEAT_S)
