"""Whether this node reaches endpoints at all, which is a fact about the node and not about them.

A failed connection shows that an endpoint has ended, or that this node's way to it is broken. The
daemon tells these apart by connecting to some endpoints on other boxes: if none of them can be
reached, the node is *isolated*. It then tells the other nodes, which don't give its address to
callers, and hands its requests over to them; see :mod:`handovers`.
"""

import itertools
import typing as t

from . import defaults
from . import handovers
from . import requests
from . import routed
from .effects import Announce
from .effects import Effect
from .effects import ProbeReach
from .endpoints import EndpointView
from .events import ReachProbed
from .hashing import stable_hash
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


def box_of(view: EndpointView) -> str:
    """Return the box of an endpoint: the host of its address."""
    return view.address.rpartition(":")[0] or view.address


def choose_probes(state: NodeState, besides: str = "", tried: t.Collection[str] = ()) -> list[str]:
    """Choose the endpoints that tell whether this node reaches any, at most one on each box.

    The search begins elsewhere each time. Endpoints that are not known to be well are chosen only
    if there are too few others, and several on one box only if all are there.

    :param besides: an endpoint that could not be reached; it is not chosen, nor is its box if
        there are others.
    :param tried: endpoints that have just been tried in vain; none of them is chosen.
    """
    failed = state.endpoints.get(besides)
    boxes = {box_of(failed)} if failed is not None else set()
    chosen: list[str] = []
    unwell: list[EndpointView] = []
    others: list[str] = []
    for view in _walk_endpoints(state):
        if view.gone or view is failed or view.name in tried:
            continue
        if box_of(view) in boxes:
            others.append(view.name)
        elif view.closed or view.down:
            unwell.append(view)
        else:
            boxes.add(box_of(view))
            chosen.append(view.name)
        if len(chosen) == defaults.REACH_PROBES:
            return chosen
    for view in unwell:
        if box_of(view) not in boxes:
            boxes.add(box_of(view))
            chosen.append(view.name)
    if len(chosen) < 2:
        chosen += others
    return chosen[: defaults.REACH_PROBES]


def _walk_endpoints(state: NodeState) -> t.Iterator[EndpointView]:
    """Yield all endpoints, beginning at another one every ``REACH_RECHECK_S``."""
    turn = str(int(state.now / defaults.REACH_RECHECK_S))
    start = stable_hash("probe", state.identity.name, turn) % max(1, len(state.endpoints))
    yield from itertools.islice(state.endpoints.values(), start, None)
    yield from itertools.islice(state.endpoints.values(), start)


@handles(ReachProbed)
def note_probe(state: NodeState, event: ReachProbed) -> Effects:
    """Note whether any of some endpoints could be reached; a change is announced at once."""
    reach = state.reach
    reach.probed_at = event.at
    if event.reached != reach.isolated:
        return []
    reach.isolated_since = None if event.reached else event.at
    state.record("endpoints", *_describe_change(event))
    _forget_findings(state)
    effects: Effects = [Announce("reach")]
    if event.reached:
        return effects + requests.dispatch_waiting(state)
    effects += _end_prompts(state)
    return effects + handovers.hand_over_waiting(state)


def _describe_change(event: ReachProbed) -> tuple[str, str]:
    if event.reached:
        return "in reach", f"{event.endpoint} accepted a connection"
    return "out of reach", "none of several accepts a connection of this node"


def _forget_findings(state: NodeState) -> None:
    """Forget which endpoints seemed to be unwell: what was found of them were broken ways."""
    for view in state.endpoints.values():
        view.forget_failures()


def _end_prompts(state: NodeState) -> Effects:
    """Count no prompt of this node as unread: none arrives, and other nodes wait for their end."""
    effects: Effects = []
    for request in state.requests.values():
        if request.running:
            effects += routed.end_prompt(state, request)
    return effects


def probe_if_due(state: NodeState) -> Effects:
    """Probe again while this node is isolated, or while no endpoint answers any of its requests."""
    reach = state.reach
    if state.now - reach.probed_at < defaults.REACH_RECHECK_S:
        return []
    if not reach.isolated and not _is_silent(state):
        return []
    names = choose_probes(state)
    if not names:
        return []
    # A probe that gets no answer, since the node stalled, is repeated.
    reach.probed_at = state.now
    return [ProbeReach(tuple(names))]


def _is_silent(state: NodeState) -> bool:
    """Return whether requests are in flight and no endpoint has answered any of them for long."""
    before = state.now - defaults.REACH_SILENCE_S
    if state.reach.heard_at > before:
        return False
    return any(
        request.running and not request.handed_to and request.dispatched_at <= before
        for request in state.requests.values()
    )


def release_lease_if_isolated(state: NodeState) -> Effects:
    """Release the lease: orders reach no endpoint from here, but do from other nodes."""
    since = state.reach.isolated_since
    if since is None or state.now - since < defaults.LEASE_ISOLATED_S:
        return []
    if not any(True for _ in handovers.reaching_peers(state)):
        return []
    release = state.control.lease.release(state.now)
    if release is None:
        return []
    state.record("lease", "released", "this node reaches no endpoint")
    return [release]
