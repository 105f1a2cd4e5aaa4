"""Decisions by the software version that began a stream: where it may go on, and who is told.

What endpoints of two versions write doesn't fit together, so a stream goes on only at the version
that began it; see ``docs/design/stream-versions.md``. A caller may take its stream up at any node,
so each node keeps the origins of the streams that it sends, and owners keep copies. While one
version alone serves, nothing is kept.
"""

import math
import typing as t

from . import defaults
from .effects import Effect
from .effects import TellOrigin
from .endpoints import UNKNOWN_VERSION
from .endpoints import EndpointView
from .events import FormerVersionsMissed
from .events import FormerVersionsRead
from .events import OriginReceived
from .events import RequestArrived
from .events import SeveralVersionsTold
from .reducer import handles
from .state import NodeState
from .state import RequestState
from .stream_versions import StreamOrigin

Effects = list[Effect]


def tell_origin(state: NodeState, request: RequestState) -> Effects:
    """Keep the origin of a stream as its first event is passed on, and tell its owners.

    Told before the event is written, so before its caller can come to another node for the rest;
    and not sooner, since attempts that bring no event may be at other versions. Only if versions
    differ.
    """
    arrived = request.arrived
    if not arrived.stream_id or arrived.route is None:
        return []
    if not state.stream_versions.has_several(arrived.route.service, state.now):
        return []
    version = request.endpoint_version if arrived.version is None else arrived.version
    kept_s = max(0.0, arrived.resumable_until - state.now)
    origin = StreamOrigin(arrived.stream_id, version, min(kept_s, defaults.STREAM_KEPT_S))
    state.stream_versions.keep(origin, state.now)
    return [TellOrigin(*origin)]


def tell_running(state: NodeState, services: t.Container[str]) -> Effects:
    """Tell the origins of the streams that run as a service gets its second version."""
    effects: Effects = []
    for request in state.requests.values():
        route = request.arrived.route
        if request.delivered and route is not None and route.service in services:
            effects += tell_origin(state, request)
    return effects


@handles(OriginReceived)
def keep_origin(state: NodeState, event: OriginReceived) -> Effects:
    """Keep the origin of a stream that another node has sent, as one of its owners."""
    origin = StreamOrigin(event.stream, event.version, event.kept_s)
    state.stream_versions.keep(origin, state.now)
    return []


@handles(SeveralVersionsTold)
def note_several(state: NodeState, event: SeveralVersionsTold) -> Effects:
    """Note that versions of a service differ, which a node that has just started may not see."""
    state.stream_versions.note_several(event.service, state.now)
    return []


@handles(FormerVersionsRead)
def restore_former(state: NodeState, event: FormerVersionsRead) -> Effects:
    """Restore which services had several versions before this node started."""
    state.stream_versions.restore(event.left, state.now)
    if state.control.holding(state.now):
        state.control.lease.hasten()
    return []


@handles(FormerVersionsMissed)
def doubt_former(state: NodeState, event: FormerVersionsMissed) -> Effects:
    """Hold a stream back whose service may have had several versions, and others after it."""
    state.stream_versions.doubt(event.service, state.now)
    return []


def knows_former(state: NodeState, told_by: t.Iterable[str] = ()) -> bool:
    """Return whether it is known which services had several versions while streams began.

    Each node knows of its own time. What was before is kept in the store, by the lease's holder.

    :param told_by: the nodes that replied for a stream; one that has run for long enough knows.
    """
    if state.stream_versions.former_known:
        return True
    if state.now - state.started_at >= defaults.STREAM_KEPT_S:
        return True
    known = (state.membership.peers.get(name) for name in told_by)
    return any(
        peer is not None and peer.age_s(state.now) >= defaults.STREAM_KEPT_S for peer in known
    )


def must_ask(state: NodeState, service: str) -> bool:
    """Return whether it matters here which version began a stream that is taken up again.

    A node that has just started has not seen which versions served before.
    """
    started_s = state.now - state.started_at
    several = state.stream_versions.has_several(service, state.now)
    return several or started_s < defaults.STREAM_KEPT_S


def may_go_on_at(state: NodeState, arrived: RequestArrived, view: EndpointView) -> bool:
    """Return whether a request may be sent to an endpoint, by the version that began its stream.

    An endpoint that may have restarted at another version is of none, unless there is only one. One
    at which that was found is not tried again for the same request.
    """
    if arrived.version is None:
        return True
    if view.name in arrived.doubted_at:
        return False
    if UNKNOWN_VERSION in (arrived.version, view.software_version()):
        return not state.stream_versions.has_several(view.service, state.now)
    return arrived.version == view.software_version()


def may_be_another(state: NodeState, view: EndpointView, opened_at: float) -> bool:
    """Return whether a connection may lead to another process than the endpoint's entry describes.

    :param opened_at: when the connection was opened.
    """
    return opened_at > trusted_until(state, view)


def trusted_until(state: NodeState, view: EndpointView) -> float:
    """Return until when a connection must have been opened to lead to what the entry describes.

    While the store is read, a process that restarts under its name is known by its new entry. While
    it is not, one before may be listed still. But a process keeps its connections for its life, so
    one that was opened before the entry was read leads to no later process. It matters only where
    several versions serve; infinite elsewhere.
    """
    if not state.stream_versions.has_several(view.service, state.now):
        return math.inf
    if _entries_are_current(state):
        return math.inf
    known_at = _entries_known_until(state)
    if view.states_its_process():
        known_at = max(known_at, view.reported_at)
    return known_at - defaults.ENTRY_WRITTEN_S


def _entries_are_current(state: NodeState) -> bool:
    """Return whether the entries of endpoints are read as they are written."""
    known_at = state.topology.complete_until(state.now)
    if state.now - known_at > defaults.ENTRIES_STALE_S:
        return False
    return state.topology.has_fresh_source(state.now) or not _was_away(state)


def _was_away(state: NodeState) -> bool:
    """Return whether the store is away, or was and what endpoints wrote again isn't read yet."""
    outage = state.entries_outage
    if outage is None:
        return False
    return state.topology.complete_until(state.now) < outage.ended_at + defaults.REWRITE_S


def are_entries_read(state: NodeState) -> bool:
    """Return whether the last call for the entries of endpoints was answered."""
    return state.entries_outage is None or state.entries_outage.ended_at != math.inf


def _entries_known_until(state: NodeState) -> float:
    """Return a time whose entries of endpoints this node has, by its own clock.

    Processes that restart during an outage of the store write their entries after its end.
    """
    known_at = state.topology.complete_until(state.now)
    if state.entries_outage is None or not _was_away(state):
        return known_at
    return min(known_at, state.entries_outage.known_until)


def note_connection(state: NodeState, request: RequestState, opened_at: float) -> None:
    """Note the connection of an attempt, whose endpoint may be of another version than listed.

    Its entry may have changed since the endpoint was chosen, as connecting takes up to a second.
    """
    view = state.endpoints.get(request.endpoint)
    if view is None:
        return
    request.connected_at = opened_at
    request.endpoint_version = view.software_version()
    doubt_begin(state, request)


def doubt_begin(state: NodeState, request: RequestState) -> bool:
    """Drop the version of an attempt whose endpoint may have been another process than listed.

    It is checked again as the attempt fails: entries were old for some time before that was seen.

    :return: whether its version was known until now.
    """
    view = state.endpoints.get(request.endpoint)
    if view is None or not request.connected_at or request.endpoint_version == UNKNOWN_VERSION:
        return False
    if not may_be_another(state, view, request.connected_at):
        return False
    request.endpoint_version = UNKNOWN_VERSION
    return True


def is_served(state: NodeState, arrived: RequestArrived) -> bool:
    """Return whether an endpoint serves a request's target at a version that it may go on at."""
    assert arrived.route is not None
    return any(
        view.service == arrived.route.service
        and not view.closed
        and may_go_on_at(state, arrived, view)
        for view in state.hosts.get(arrived.target, {}).values()
    )
