"""Membership rows that relays send to each other and to their followers.

A relay sends other relays the rows of the nodes of its data centre and of the relays that it has
a live link to, and sends its followers all rows that it knows. Since relays report relays, one
that started before the others, and knew of no other relay, learns of them. Only changed rows
are sent, except to a node that has just linked or has become a relay or ceased to be one.
"""

from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import MembersReceived
from rookspring_core.membership import Peer

from . import clock
from .message_rows import MemberRow
from .messages import Members
from .peers import Link
from .relay_peers import RelayPeers
from .relay_peers import SentMembers
from .relay_peers import receives


def send_members(peers: RelayPeers) -> None:
    """Send each linked node the membership rows that changed since the last message to it."""
    state = peers.context.state
    end = state.membership.changes.end()
    for name, link in list(peers.server.links.items()):
        if not state.topology.relay:
            if peers.sent_members.pop(link, None) is not None:
                # No longer a relay, so it reports no nodes: an empty, complete list.
                link.send(Members([], [], True))
            continue
        known = state.membership.peers.get(name)
        if known is None:
            continue
        sent = peers.sent_members.get(link)
        relay = known.heartbeat.relay
        names = None
        if sent is not None and sent.relay == relay:
            names = state.membership.changes.since(sent.position)
        peers.sent_members[link] = SentMembers(end, relay)
        if names is None or names:
            link.send(_make_message(peers, link, relay, names))


def _make_message(peers: RelayPeers, link: Link, relay: bool, names: list[str] | None) -> Members:
    """Return the message on some nodes for a link, or on all of them if ``names`` is None.

    :param relay: the linked node is a relay.
    """
    members = peers.context.state.membership.peers
    now = clock.now()
    rows = []
    removed = []
    for name in members if names is None else names:
        peer = members.get(name)
        if name == link.name:
            continue
        if peer is not None and _is_reported(peers, peer, relay, now):
            rows.append(_encode_row(peer, now))
        else:
            removed.append(name)
    return Members(rows, [] if names is None else removed, names is None)


def _is_reported(peers: RelayPeers, peer: Peer, relay: bool, now: float) -> bool:
    """Return whether this node reports a node to a relay, or else to a follower."""
    if not relay:
        return True
    near = peer.heartbeat.data_centre == peers.context.state.identity.data_centre
    return (near or peer.heartbeat.relay) and peer.direct(now)


def _encode_row(peer: Peer, now: float) -> MemberRow:
    heartbeat = peer.heartbeat
    return MemberRow(
        heartbeat.name,
        heartbeat.incarnation,
        heartbeat.address,
        heartbeat.caller_address,
        heartbeat.data_centre,
        heartbeat.revision,
        heartbeat.leaving,
        round(peer.age_s(now), 2),
        heartbeat.lease_epoch,
        heartbeat.lease_ended,
        heartbeat.relay,
        heartbeat.capacity,
        heartbeat.isolated,
    )


def _decode_row(row: MemberRow, now: float) -> HeartbeatReceived:
    return HeartbeatReceived(
        at=now,
        name=row.name,
        incarnation=row.incarnation,
        address=row.address,
        caller_address=row.caller_address,
        data_centre=row.data_centre,
        revision=row.revision,
        leaving=row.leaving,
        lease_epoch=row.lease_epoch,
        lease_ended=row.lease_ended,
        inflight=None,
        uptime_s=row.uptime_s,
        capacity=row.capacity,
        relay=row.relay,
        isolated=row.isolated,
        aggregated=True,
    )


@receives(Members)
def take_members(peers: RelayPeers, link: Link, members: Members) -> None:
    """Apply the membership rows that a relay sent."""
    now = clock.now()
    rows = tuple(_decode_row(row, now) for row in members.rows)
    removed = tuple(members.gone)
    peers.context.submit(MembersReceived(now, link.name, rows, removed, members.complete))
    ended = peers.context.state.control.lease.epoch
    if any(row.leaving or row.lease_ended == ended > 0 for row in rows):
        peers.context.lease_check_due.set()
    peers.add_nodes((row.name, row.address, row.data_centre, row.capacity) for row in rows)
