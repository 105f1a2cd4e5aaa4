"""Messages between relay nodes about answers that ended with their connection, or broke off.

Counts of what came of such ends go along with heartbeats, as sums: a node sends its own to the
relay that it follows, or to all nodes of a mesh. A relay sends the other relays the sums over
itself and its leaf followers, and each follower the sums over all nodes but that one. The moment at
which an endpoint breaks an answer off is sent at once.
"""

import functools
import typing as t

from rookspring_core import close_ends
from rookspring_core.close_records import CloseCount
from rookspring_core.effects import ShareBreak
from rookspring_core.events import CloseCountsReceived
from rookspring_core.events import EndpointBroke

from . import clock
from ._client_connection import ClientConnection
from .message_rows import CloseCountRow
from .messages import BreakMessage
from .messages import CloseCountsMessage
from .messages import encode
from .peers import Link
from .relay import EndpointAnswer
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_peers import RelayPeers
from .relay_peers import receives

# Counts are sent as integers, in hundredths.
_SCALE = 100


def send_counts(peers: RelayPeers, kinds: t.Mapping[str, str], group: t.Iterable[str]) -> None:
    """Send each linked node the counts that it needs.

    :param kinds: which figures each linked node gets; see :mod:`relay_heartbeats`.
    :param group: the nodes whose counts this node sums, if it is a relay.
    """
    records = peers.context.state.close_records
    now = clock.now()
    records.forget_old(now)
    if not peers.context.state.topology.mesh:
        records.keep_sources({name for name in peers.server.links if _is_source(peers, name)})
    sums = {"own": records.sum_counts((), now), "group": records.sum_counts(group, now)}
    followers = [name for name, kind in kinds.items() if kind == "rest"]
    rest = records.sum_others(followers, now)
    data = {kind: _encode(rows) for kind, rows in sums.items()}
    for name, kind in kinds.items():
        sent = _encode(rest[name]) if kind == "rest" else data.get(kind, b"")
        if sent:
            peers.server.links[name].send_encoded(sent)


def _encode(rows: list[CloseCount]) -> bytes:
    return encode(CloseCountsMessage([_write_row(row) for row in rows])) if rows else b""


def _is_source(peers: RelayPeers, name: str) -> bool:
    """Return whether a linked node's counts are in no other node's sums that this one gets."""
    topology = peers.context.state.topology
    if topology.mesh or name in peers.followers:
        return True
    if not topology.relay:
        return name == topology.followed
    known = peers.context.state.membership.peers.get(name)
    return known is not None and known.heartbeat.relay


def _write_row(row: CloseCount) -> CloseCountRow:
    return CloseCountRow(
        row.service, round(row.age_s, 1), round(row.whole * _SCALE), round(row.cut * _SCALE)
    )


def _read_row(row: CloseCountRow) -> CloseCount:
    return CloseCount(row.service, row.age_s, row.whole / _SCALE, row.cut / _SCALE)


@receives(CloseCountsMessage)
def handle_counts(peers: RelayPeers, link: Link, message: CloseCountsMessage) -> None:
    """Submit another node's counts."""
    if _is_source(peers, link.name):
        rows = tuple(_read_row(row) for row in message.rows)
        peers.context.submit(CloseCountsReceived(clock.now(), link.name, rows))


def note_broken(context: RelayContext, address: str, connection: ClientConnection) -> None:
    """Submit that an endpoint broke an answer off as it closed or reset a connection."""
    for view in context.state.endpoints.values():
        if view.address == address:
            _submit_break(context, view.name, connection.closed_at)


def tell_of_stop(context: RelayContext, answer: EndpointAnswer) -> None:
    """Submit that an endpoint seems to have closed an answer's connection as it stopped."""
    own = answer.connection.read_times()
    times = context.pool.list_times(answer.view.address, answer.connection)
    if close_ends.is_stop(close_ends.read_moment(own, times)):
        _submit_break(context, answer.view.name, own.closed_at)


def _submit_break(context: RelayContext, endpoint: str, broke_at: float) -> None:
    context.submit(EndpointBroke(clock.now(), endpoint, broke_at))


def watch_breaks(context: RelayContext) -> None:
    """Have the breaks of endpoints' answers noted."""
    context.pool.on_broken = functools.partial(note_broken, context)


@handles_relay_effect(ShareBreak)
def handle_share_break(context: RelayContext, effect: ShareBreak) -> None:
    """Send the other nodes that an endpoint broke an answer off."""
    context.share_break(effect)


def share_break(peers: RelayPeers, effect: ShareBreak) -> None:
    """Send all nodes except for the source that an endpoint broke an answer off."""
    age_s = max(0.0, clock.now() - effect.broke_at)
    peers.broadcast(BreakMessage(effect.endpoint, age_s), effect.source)


@receives(BreakMessage)
def handle_break(peers: RelayPeers, link: Link, message: BreakMessage) -> None:
    """Process that an endpoint broke an answer off, as another node saw."""
    now = clock.now()
    event = EndpointBroke(now, message.endpoint, now - message.age_s, link.name)
    peers.context.submit(event)
