"""Handing requests over to another node while this one reaches no endpoint.

The other node admits a request as its own work: it checks the key, charges the organisation's
allotment, chooses an endpoint and counts the sends. Here nothing is charged or counted for it. Its
outcome is unknown from the first byte handed over until the other node has answered, so it is
handed over again only if nothing was sent. A stream that may be resumed, and of which events were
passed on, goes on after the last of them as one does whose endpoint was lost: at another node, or
at an endpoint if this node reaches one again. What was handed over is not handed on.
"""

import typing as t

from . import allotment_checks
from . import defaults
from . import missing_models
from . import place_requests
from . import requests
from . import routed
from . import slot_requests
from .effects import Effect
from .effects import HandOver
from .endpoints import UNKNOWN_VERSION
from .events import AttemptFailed
from .events import RequestArrived
from .hashing import stable_hash
from .membership import Peer
from .reach import ReachingPeers
from .state import NodeState
from .state import RequestState

Effects = list[Effect]


def applies(state: NodeState, arrived: RequestArrived) -> bool:
    """Return whether a request is to be handed over: only other nodes reach endpoints."""
    if not state.reach.isolated or arrived.route is None or arrived.sends_before is not None:
        return False
    return bool(_peers(state))


def begin(state: NodeState, arrived: RequestArrived) -> Effects:
    """Hand a new request over, without admitting it here."""
    request = RequestState(arrived)
    state.requests[arrived.request_id] = request
    return hand_over(state, request)


def hand_over(state: NodeState, request: RequestState) -> Effects:
    """Hand over a request that is in no queue, or refuse it where too many are handed over."""
    effects = allotment_checks.refund(state, request.charge)
    request.charge = None
    request.slot_asked_at = None
    effects += place_requests.withdraw(state, request)
    effects += slot_requests.free(state, request, failed=False, unsent=True)
    if sum(state.reach.handed.values()) >= defaults.HANDOVERS_MAX:
        text = "this node reaches no endpoint, and has handed over as many requests as it may"
        return effects + _refuse(state, request, "handover_full", text)
    peer = _choose_peer(state, request)
    if peer is None:
        text = "this node reaches no endpoint, and no other node that does takes the request"
        return effects + _refuse(state, request, "isolated", text)
    missing_models.end_served(state, request)
    request.attempt += 1
    request.endpoint = ""
    request.handed_to = peer.heartbeat.name
    request.nodes_tried.add(request.handed_to)
    request.running = True
    request.dispatched_at = state.now
    state.reach.count_handed(request.handed_to, 1)
    identity = request.arrived.request_id
    address = peer.heartbeat.caller_address
    return [
        *effects,
        HandOver(identity, request.attempt, request.handed_to, address, request.sends),
    ]


def _refuse(state: NodeState, request: RequestState, reason: str, text: str) -> Effects:
    """Refuse a request that no node takes; one that was sent before may have run."""
    if request.sent:
        return requests.fail_request(state, request, 502, reason, text)
    return requests.fail_request(state, request, 503, reason, text, defaults.RETRY_AFTER_S)


def hand_over_waiting(state: NodeState) -> Effects:
    """Hand over the requests that wait in this node's queues, or for an owner's answer."""
    effects: Effects = []
    for queue in list(state.queues.values()):
        for queued in list(queue.waiting()):
            request = state.requests[queued.request_id]
            if applies(state, request.arrived) and not request.sent:
                queue.remove(queued.request_id)
                effects += hand_over(state, request)
    for identity in list(state.permit_requests):
        waiting = state.requests.get(identity)
        if waiting is not None and applies(state, waiting.arrived) and not waiting.sent:
            effects += hand_over(state, waiting)
    return effects


def may_hand_over(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    """Return whether a request whose attempt at an endpoint failed is handed over.

    Nothing of it may have been sent, whatever other attempts are left here.
    """
    if event.sent or request.sent or request.arrived.deadline_at <= state.now:
        return False
    return applies(state, request.arrived)


def recover(state: NodeState, request: RequestState, event: AttemptFailed) -> Effects:
    """Hand a request over to another node if nothing of it was sent; else end it."""
    node = request.handed_to
    request.handed_to = ""
    state.reach.count_handed(node, -1)
    request.running = False
    request.sent = request.sent or event.sent
    left = request.arrived.deadline_at > state.now
    if not event.sent and left and len(request.nodes_tried) < defaults.HANDOVER_TRIES_MAX:
        return hand_over(state, request)
    status = 503
    if request.sent:
        status = 502 if left else 504
    text = f"node {node} failed: {event.reason}"
    after_s = defaults.RETRY_AFTER_FAILURE_S
    return requests.fail_request(state, request, status, "handover_failed", text, after_s)


def may_go_on(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    """Return whether a stream that was handed over goes on elsewhere after its node was lost.

    The handover counts as one send towards the route's limit, and what follows towards the
    service's resend window; how often the lost node sent it is not known.
    """
    if not event.sent or not request.delivered or not request.arrived.repeatable:
        return False
    isolated = applies(state, request.arrived)
    if isolated and len(request.nodes_tried) >= defaults.HANDOVER_TRIES_MAX:
        return False
    return routed.may_retry(state, request, event)


def take_back(state: NodeState, request: RequestState) -> None:
    """Take a stream back that was handed over, to go on at the version that began it."""
    state.reach.count_handed(request.handed_to, -1)
    request.handed_to = ""
    request.running = False
    request.sent = True
    request.maybe_ran = True
    arrived = request.arrived
    if arrived.version is None:
        version = state.stream_versions.find(arrived.stream_id, state.now)
        request.arrived = arrived._replace(version=version or UNKNOWN_VERSION)


def reaching_peers(state: NodeState) -> t.Iterator[Peer]:
    """Yield the live nodes that reach endpoints and serve callers."""
    for peer in state.membership.peers.values():
        heartbeat = peer.heartbeat
        if heartbeat.isolated or heartbeat.leaving or heartbeat.revision == 0:
            continue
        if heartbeat.caller_address:
            yield peer


def _peers(state: NodeState) -> tuple[str, ...]:
    """Return the nodes that this one hands requests over to, at most ``HANDOVER_PEERS``.

    They are of this node's data centre if at least half of that reaches endpoints; otherwise those
    few would carry the work of all. Each node has others, so that the work is spread.
    """
    known = state.reach.peers
    position = state.membership.changes.end()
    if known is not None and known.names and known.position == position:
        return known.names
    own = state.identity.data_centre
    found = list(reaching_peers(state))
    near = [peer for peer in found if peer.heartbeat.data_centre == own]
    size = 1 + sum(
        1 for peer in state.membership.peers.values() if peer.heartbeat.data_centre == own
    )
    if len(near) >= size * defaults.NEAR_REACHING_SHARE:
        found = near
    names = sorted(
        (peer.heartbeat.name for peer in found),
        key=lambda name: stable_hash("handover", state.identity.name, name),
    )
    state.reach.peers = ReachingPeers(position, tuple(names[: defaults.HANDOVER_PEERS]))
    return state.reach.peers.names


def _choose_peer(state: NodeState, request: RequestState) -> Peer | None:
    """Choose the node with the fewest requests handed over by this one, and not tried before."""
    members = state.membership.peers
    names = [name for name in _peers(state) if name not in request.nodes_tried and name in members]
    identity = request.arrived.request_id
    chosen = min(
        names,
        key=lambda name: (state.reach.handed.get(name, 0), stable_hash(identity, name)),
        default="",
    )
    return members.get(chosen)
