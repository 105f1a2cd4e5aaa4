"""When callers who are refused may come back, for requests that a route passes through.

They are told a moment at which they are likely to be served: most come back once.
"""

import typing as t

from . import defaults
from . import routed
from .endpoints import EndpointView
from .mixing import mix
from .state import NodeState
from .state import RequestState


def come_back(state: NodeState, request: RequestState) -> float:
    """Tell when to come back, in seconds: later where the model is yet to be loaded."""
    if request.sent:
        return 0.0
    rest_s = rest_back_s(state, request)
    if rest_s > 0.0:
        return rest_s
    arrived = request.arrived
    if request.turns_due and routed.turnless(state, request):
        # Owners tell each caller another moment, so they need no spread.
        due_s = max(defaults.TURN_AGAIN_S, min(request.turns_due.values()) - state.now)
        return min(due_s, (arrived.deadline_at - state.now) * defaults.COME_BACK_SHARE)
    adapter = arrived.adapter
    hosts = list(state.hosts.get(arrived.target, {}).values())
    if adapter and hosts and not any(one.has_adapter(adapter) for one in hosts):
        likely_s = state.adapter_waits.likely_s(arrived.target)
        after_s = max(defaults.COME_BACK_S, likely_s + _shut_s(state, hosts))
        return min(after_s, (arrived.deadline_at - state.now) * defaults.COME_BACK_SHARE)
    # Spread by request, so that those who are refused together do not return together.
    spread = mix("come back", arrived.request_id) % 1000 / 1000.0
    least, most = defaults.COME_BACK_ROOM_S
    if arrived.route is not None and not arrived.service and not routed.stands(state, arrived):
        ready_s = routed.ready_in_s(state, arrived.route.service, arrived.target)
        least = min(ready_s, defaults.COME_BACK_ABSENT_MAX_S)
        most = least + defaults.COME_BACK_SPREAD_S
    after_s = least + (most - least) * spread
    return min(after_s, (arrived.deadline_at - state.now) * defaults.COME_BACK_SHARE)


def rest_back_s(state: NodeState, request: RequestState) -> float:
    """Tell when to come back where all that hold the model rest, in seconds; else 0.

    Spread by request over a second, so that the first one back is not met by all at once.
    """
    left_s = routed.rest_left_s(state, request.arrived)
    if left_s <= 0.0 or request.sent:
        return 0.0
    spread = mix("come back", request.arrived.request_id) % 1000 / 1000.0
    after_s = left_s + spread * defaults.COME_BACK_SPREAD_S
    most_s = (request.arrived.deadline_at - state.now) * defaults.COME_BACK_SHARE
    # Callers heed no more than that; they are to stay apart then as well.
    return min(after_s, most_s * (1.0 - spread * defaults.COME_BACK_APART))


def _shut_s(state: NodeState, hosts: t.Iterable[EndpointView]) -> float:
    """Predict how long no endpoint of a model can attach an adapter, in seconds.

    An endpoint carries out one order at a time, and nodes are told of loads under way.
    """
    left_s = min((view.coming[1] - state.now for view in hosts), default=0.0)
    return min(max(0.0, left_s), defaults.ADAPTER_WAIT_MOST_S)
