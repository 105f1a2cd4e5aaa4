"""The retry-after times of refused routed requests.

Most callers retry just once, so each gets a time at which it is likely to be served.
"""

import typing as t

from . import defaults
from . import missing_models
from . import routed
from .endpoints import EndpointView
from .hashing import retry_jitter
from .state import NodeState
from .state import RequestState


def predict_retry_after_s(state: NodeState, request: RequestState) -> float:
    """Predict in how many seconds a refused request is likely to be served.

    Later where its model is still to be loaded; 0 where a byte may have reached an endpoint.
    """
    if request.sent:
        return 0.0
    backoff_s = backoff_retry_after_s(state, request)
    if backoff_s > 0.0:
        return backoff_s
    arrived = request.arrived
    if request.permits_due and routed.lacks_permit(state, request):
        # An owner gives each request a different time, so no jitter is needed.
        due_s = max(defaults.PERMIT_RETRY_S, min(request.permits_due.values()) - state.now)
        return min(due_s, (arrived.deadline_at - state.now) * defaults.RETRY_AFTER_MAX_SHARE)
    adapter = arrived.adapter
    hosts = list(state.hosts.get(arrived.target, {}).values())
    if adapter and hosts and not any(view.has_adapter(adapter) for view in hosts):
        likely_s = state.adapter_waits.likely_s(arrived.target)
        after_s = max(defaults.RETRY_AFTER_S, likely_s + _orders_blocked_s(state, hosts))
        return min(after_s, (arrived.deadline_at - state.now) * defaults.RETRY_AFTER_MAX_SHARE)
    # Jitter by request, so that callers refused together do not retry together.
    jitter = retry_jitter(arrived.request_id)
    least_s, most_s = defaults.RETRY_AFTER_NO_ROOM_S
    if arrived.route is not None and not arrived.service and not routed.is_resident(state, arrived):
        if state.options.model_waits:
            return missing_models.predict_retry_after_s(state, arrived)
        ready_s = routed.predict_model_ready_s(state, arrived.route.service, arrived.target)
        least_s = min(ready_s, defaults.RETRY_AFTER_ABSENT_MAX_S)
        most_s = least_s + defaults.RETRY_AFTER_SPREAD_S
    elif routed.speeds_differ(state, arrived):
        # Slow endpoints may have to read for longer than that.
        least_s = min(most_s, max(least_s, routed.room_in_s(state, arrived)))
    after_s = least_s + (most_s - least_s) * jitter
    return min(after_s, (arrived.deadline_at - state.now) * defaults.RETRY_AFTER_MAX_SHARE)


def backoff_retry_after_s(state: NodeState, request: RequestState) -> float:
    """Return the retry-after time while all endpoints that hold the model back off, in seconds.

    0 where one of them does not, or where a byte may have reached an endpoint. Jitter by request
    over ``RETRY_AFTER_SPREAD_S`` keeps callers from reaching the first endpoint that is available
    again all at once.
    """
    left_s = routed.backoff_left_s(state, request.arrived)
    if left_s <= 0.0 or request.sent:
        return 0.0
    jitter = retry_jitter(request.arrived.request_id)
    after_s = left_s + jitter * defaults.RETRY_AFTER_SPREAD_S
    most_s = (request.arrived.deadline_at - state.now) * defaults.RETRY_AFTER_MAX_SHARE
    # Callers ignore longer times than this; the jitter is kept below that bound.
    return min(after_s, most_s * (1.0 - jitter * defaults.RETRY_AFTER_SPREAD_SHARE))


def _orders_blocked_s(state: NodeState, hosts: t.Iterable[EndpointView]) -> float:
    """Predict for how long no endpoint of a model can attach an adapter, in seconds.

    An endpoint carries out one order at a time, and nodes announce the loads in progress.
    """
    left_s = min((view.expected_model[1] - state.now for view in hosts), default=0.0)
    return min(max(0.0, left_s), defaults.ADAPTER_WAIT_MOST_S)
