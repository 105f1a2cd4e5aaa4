"""Which nodes there are, as relays tell each other and those who follow them.

A relay vouches to other relays for the nodes of its data centre and the relays that speak
to it, and to its followers for all that it knows. Since relays tell each other of relays,
one that started before the others, and took itself for the only one, finds them. Only
differences are sent, but to a node that has just been linked or has changed its part.
"""

import typing as t

from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import MembersReceived
from rookspring_core.membership import Peer

from . import clock
from .messages import Members
from .peers import Link
from .relay_peers import RelayPeers
from .relay_peers import Told
from .relay_peers import receives


def send_members(peers: RelayPeers) -> None:
    """Tell each linked node what has changed of the nodes since it was told last."""
    state = peers.context.state
    end = state.membership.changes.end()
    for name, link in list(peers.server.links.items()):
        if not state.topology.relay:
            if peers.told.pop(link, None) is not None:
                # It vouches for nobody any more.
                link.send(Members([], [], True))
            continue
        known = state.membership.peers.get(name)
        if known is None:
            continue
        told = peers.told.get(link)
        relay = known.heard.relay
        names = None
        if told is not None and told.relay == relay:
            names = state.membership.changes.since(told.position)
        peers.told[link] = Told(end, relay)
        if names is None or names:
            link.send(_make(peers, link, relay, names))


def _make(peers: RelayPeers, link: Link, relay: bool, names: list[str] | None) -> Members:
    """Make what a link is told of some nodes, or of all where ``names`` is None."""
    members = peers.context.state.membership.peers
    now = clock.now()
    rows = []
    gone = []
    for name in members if names is None else names:
        peer = members.get(name)
        if name == link.name:
            continue
        if peer is not None and _vouches(peers, peer, relay, now):
            rows.append(_write(peer, now))
        else:
            gone.append(name)
    return Members(rows, [] if names is None else gone, names is None)


def _vouches(peers: RelayPeers, peer: Peer, relay: bool, now: float) -> bool:
    """Say whether this node vouches for another one towards a relay or a follower."""
    if not relay:
        return True
    near = peer.heard.data_centre == peers.context.state.identity.data_centre
    return (near or peer.heard.relay) and peer.direct(now)


def _write(peer: Peer, now: float) -> list[t.Any]:
    heard = peer.heard
    return [
        heard.name,
        heard.incarnation,
        heard.address,
        heard.caller_address,
        heard.data_centre,
        heard.revision,
        heard.leaving,
        round(peer.age_s(now), 2),
        heard.lease_epoch,
        heard.lease_ended,
        heard.relay,
        heard.capacity,
    ]


def _read(row: list[t.Any], now: float) -> HeartbeatReceived:
    name, incarnation, address, caller_address, data_centre, revision, leaving = row[:7]
    up_s, lease_epoch, lease_ended, relay, strength = row[7:]
    return HeartbeatReceived(
        at=now,
        name=str(name),
        incarnation=str(incarnation),
        address=str(address),
        caller_address=str(caller_address),
        data_centre=str(data_centre),
        revision=int(revision),
        leaving=bool(leaving),
        lease_epoch=int(lease_epoch),
        lease_ended=int(lease_ended),
        inflight=None,
        uptime_s=float(up_s),
        capacity=float(strength),
        relay=bool(relay),
        aggregated=True,
    )


@receives(Members)
def take_members(peers: RelayPeers, link: Link, members: Members) -> None:
    """Take what a relay says of the nodes."""
    now = clock.now()
    rows = tuple(_read(row, now) for row in members.rows)
    gone = tuple(str(name) for name in members.gone)
    peers.context.submit(MembersReceived(now, link.name, rows, gone, bool(members.whole)))
    ended = peers.context.state.control.lease.epoch
    if any(row.leaving or row.lease_ended == ended > 0 for row in rows):
        peers.context.lease_news.set()
    peers.learn((row.name, row.address, row.data_centre, row.capacity) for row in rows)
