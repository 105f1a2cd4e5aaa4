"""Requests of callers that have no further try: whether they wait for an announced load.

A caller that has come back is told a time that it can't use any more. Where its model is being
loaded, and usable in the time that it has left, it is held instead of refused.
"""

from . import defaults
from . import missing_models
from .effects import Effect
from .effects import RequestLoad
from .events import RequestArrived
from .state import NodeState
from .state import RequestState


def extend_wait_s(state: NodeState, request: RequestState) -> float:
    """Return for how much longer a request waits whose wait is over; 0 if it is refused.

    While its load is on time that is until the next look at it, then the wait for room that its
    route allows.
    """
    arrived = request.arrived
    if arrived.route is None or arrived.service or request.sent or state.options.model_waits:
        return 0.0
    if missing_models.is_resident(state, arrived.route.service, arrived.target):
        waits_s = arrived.route.max_wait_s if request.awaits_load else 0.0
        request.awaits_load = False
        return waits_s
    request.awaits_load = predict_usable_at(state, arrived) is not None
    return defaults.LOAD_LOOK_S if request.awaits_load else 0.0


def predict_usable_at(state: NodeState, arrived: RequestArrived) -> float | None:
    """Predict when a request gets its first event from a load; None if it isn't to wait for one.

    That is so where none is announced, or none that its caller lives to see, and where its caller
    can come back.
    """
    terms = arrived.route
    assert terms is not None
    if not state.caller_times.is_return(terms.name, arrived.deadline_at - arrived.at):
        return None
    known = missing_models.know(state, arrived)
    usable_at = state.now + known.announced_s + known.reading_s
    latest_at = min(arrived.deadline_at, arrived.at + terms.stays_s)
    return usable_at if usable_at <= latest_at else None


def announce_wait(state: NodeState, request: RequestState) -> list[Effect]:
    """Tell the lease holder until when a request waits, so that it keeps the model for it."""
    arrived = request.arrived
    assert arrived.route is not None
    usable_at = predict_usable_at(state, arrived)
    if usable_at is None:
        return []
    back_s = usable_at - state.now
    return [RequestLoad(arrived.route.service, arrived.target, arrived.adapter, back_s)]
