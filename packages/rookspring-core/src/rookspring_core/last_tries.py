"""Requests of callers that have no further try: whether they wait for a load.

A caller that has come back is told a time that it can't use any more. Where its model is being
loaded, and usable in the time that it has left, it is held instead of refused. Where no load is
announced it is held for a part of its time, so that one is ordered for it.
"""

import math

from . import defaults
from . import missing_models
from .effects import Effect
from .effects import RequestLoad
from .events import RequestArrived
from .state import NodeState
from .state import RequestState


def extend_wait_s(state: NodeState, request: RequestState) -> float:
    """Return for how much longer a request waits whose wait is over; 0 if it is refused.

    While its load is on time that is until the next look at it. When the model has come it is the
    wait for room that its route allows.
    """
    arrived = request.arrived
    if arrived.route is None or arrived.service or request.sent or state.options.model_waits:
        return 0.0
    if missing_models.is_resident(state, arrived.route.service, arrived.target):
        waits_s = arrived.route.max_wait_s if request.awaits_load else 0.0
        request.awaits_load = False
        return waits_s
    request.awaits_load = find_end(state, arrived) is not None
    return defaults.LOAD_LOOK_S if request.awaits_load else 0.0


def find_end(state: NodeState, arrived: RequestArrived) -> float | None:
    """Find until when a request waits for a load at most; None if it isn't to wait for one.

    That is so where its caller can come back, and where no load can be in time.
    """
    terms = arrived.route
    assert terms is not None
    time_s = arrived.deadline_at - arrived.at
    if not state.caller_times.is_return(terms.name, time_s):
        return None
    latest_at = min(arrived.deadline_at, arrived.at + terms.stays_s)
    known = missing_models.know(state, arrived)
    if known.announced_s < math.inf:
        usable_at = state.now + known.announced_s + known.reading_s
        return usable_at if usable_at <= latest_at else None
    # The lease holder orders a load that is quick only while a caller waits for it.
    load_s = missing_models.predict_load_s(state, terms.service, arrived.target)
    ends_at = arrived.at + time_s * defaults.LAST_TRY_WAIT_SHARE
    return ends_at if state.now < ends_at and state.now + load_s <= latest_at else None


def announce_wait(state: NodeState, request: RequestState) -> list[Effect]:
    """Tell the lease holder until when a request waits, so that it loads the model for it."""
    arrived = request.arrived
    assert arrived.route is not None
    ends_at = find_end(state, arrived)
    if ends_at is None:
        return []
    back_s = ends_at - state.now
    asked = RequestLoad(arrived.route.service, arrived.target, arrived.adapter, back_s)
    return [state.sent_load_requests.add(asked, state.now)]
