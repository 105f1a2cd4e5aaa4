"""The planned stop of a node: its begin, and its end with the last request or the grace time."""

from . import defaults
from . import requests
from .effects import Announce
from .effects import Effect
from .effects import Refuse
from .effects import Stop
from .events import DrainAsked
from .events import GraceEnded
from .reducer import handles
from .state import NodeState
from .state import RequestState

Effects = list[Effect]
_LEFT_TEXT = "this node's time to stop is over; ask for addresses"


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
        effects.append(release)
    return effects


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


@handles(GraceEnded)
def refuse_rest(state: NodeState, event: GraceEnded) -> Effects:
    """End the planned stop, and refuse the requests that are left.

    The outcome of one that was sent is unknown; none of the others has run, nor will it.
    """
    effects: Effects = [_refuse_parked(identity) for identity in state.parked]
    state.parked.clear()
    for request in list(state.requests.values()):
        effects += requests.withdraw(state, request) + _refuse(state, request)
    if state.stopped:
        return effects
    state.stopped = True
    return [*effects, Stop()]


def _refuse_parked(identity: str) -> Refuse:
    return Refuse(identity, 503, "stopping", "not_run", _LEFT_TEXT, defaults.RETRY_AFTER_S)


def _refuse(state: NodeState, request: RequestState) -> Effects:
    status, after_s = (502, 0.0) if request.sent else (503, defaults.RETRY_AFTER_S)
    return requests.fail_request(state, request, status, "stopping", _LEFT_TEXT, after_s)
