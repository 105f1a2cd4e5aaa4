"""Predicted times of requests at an endpoint, from its speed and what it has yet to read."""

import math

from .endpoints import EndpointView
from .state import NodeState


def predict_reading_s(state: NodeState, endpoint: EndpointView, work: float) -> float:
    """Predict the seconds in which an endpoint reads prompts; 0 while no pace is known.

    :param work: the prompts' size in tokens of the slowest model.
    """
    return work * state.latencies.slowest_s_per_token() / endpoint.speed


def predict_first_event_s(state: NodeState, endpoint: EndpointView, work: float) -> float:
    """Predict the seconds to the first event of a request that is sent to an endpoint now.

    :param work: its prompt's size in tokens of the slowest model.
    """
    overhead_s = state.latencies.overhead_s
    reading_s = predict_reading_s(state, endpoint, endpoint.unread() + work)
    return reading_s + (overhead_s if math.isfinite(overhead_s) else 0.0)
