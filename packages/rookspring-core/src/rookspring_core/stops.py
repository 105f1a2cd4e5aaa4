"""The planned stop of a node: how long it serves on, and when no request is left."""

from .effects import Announce
from .effects import Effect
from .effects import Stop
from .effects import WriteLease
from .events import DrainAsked
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(DrainAsked)
def begin_drain(state: NodeState, event: DrainAsked) -> Effects:
    """Begin the planned stop.

    The node's address is no longer given out, and it serves on for as long as callers may still
    use the address.
    """
    state.hurry = state.hurry or event.hurry
    if state.leaving:
        return stop_if_due(state)
    state.draining_since = event.at
    effects: Effects = [Announce("leaving")]
    release = state.control.lease.release(event.at)
    if release is not None:
        effects.append(WriteLease(*release))
    return effects


def begins_no_requests(state: NodeState, at: float) -> bool:
    """Return whether this node is stopping and has served for as long as its address was known.

    A request that it began now might not be answered before its process ends.
    """
    since = state.draining_since
    return state.stopped or (since is not None and at - since > state.drain_serve_s)


def stop_if_due(state: NodeState) -> Effects:
    """End the planned stop once the time to serve has passed and no request is left."""
    if state.draining_since is None or state.stopped:
        return []
    if not state.hurry and state.now - state.draining_since < state.drain_serve_s:
        return []
    if state.requests or state.parked:
        return []
    state.stopped = True
    return [Stop()]
