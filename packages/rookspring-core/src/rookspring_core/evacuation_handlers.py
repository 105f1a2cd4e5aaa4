"""Handlers of the evacuations that the store lists: which endpoints get nothing new."""

from . import requests
from .effects import Effect
from .effects import ShareEvacuations
from .events import EvacuationsListed
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(EvacuationsListed)
def take_list(state: NodeState, event: EvacuationsListed) -> Effects:
    """Apply a list of evacuations, and share it if it says anything new.

    Requests that run in an evacuated data centre end by themselves. Those that wait go elsewhere at
    once, or wait as if nothing held what they need.
    """
    if not state.evacuations.take(event.found, state.now):
        return []
    return _apply(state, event.source)


def expire_kept(state: NodeState) -> Effects:
    """End evacuations that were not written again after a restore of the store."""
    if not state.evacuations.expire(state.now):
        return []
    return _apply(state, "")


def _apply(state: NodeState, source: str) -> Effects:
    in_force = state.evacuations.in_force
    for view in state.endpoints.values():
        view.evacuated = view.data_centre in in_force
    share = ShareEvacuations(state.evacuations.listed, in_force, source)
    return [share, *requests.refuse_backed_off(state), *requests.dispatch_waiting(state)]
