"""Routing policies, which choose an endpoint for a request among candidates.

Policies register by name in ``ROUTING``; a ``Policy`` resource selects one, and the bench
compares several. All are deterministic: candidates and ties are picked by a hash of the
request's identifier.
"""

import typing as t

from . import defaults
from .endpoints import EndpointView
from .exceptions import UnknownPolicy
from .hashing import stable_hash as stable_hash
from .policy_names import REGISTERED


class RouteQuery(t.NamedTuple):
    """What a routing policy is given of a request.

    :param prompt_work: the prompt's size in tokens of the slowest model.
    """

    now: float
    request_id: str
    tokens: int
    prompt_work: int
    prefix: int
    adapter: str
    data_centre: str


RoutingPolicy = t.Callable[[RouteQuery, list[EndpointView]], EndpointView]
ROUTING: dict[str, RoutingPolicy] = {}


def routing(name: str) -> t.Callable[[RoutingPolicy], RoutingPolicy]:
    """Register a routing policy.

    :param name: its value in ``Policy.routing``.
    """

    def register(function: RoutingPolicy) -> RoutingPolicy:
        ROUTING[name] = function
        REGISTERED["routing"].append(name)
        return function

    return register


def find_routing(name: str) -> RoutingPolicy:
    """Look up a policy.

    :raises UnknownPolicy: when no module registered the name.
    """
    try:
        return ROUTING[name]
    except KeyError:
        raise UnknownPolicy(f"routing: {name!r} is not one of {', '.join(ROUTING)}") from None


def predict_finish(query: RouteQuery, endpoint: EndpointView) -> float:
    """Predict the seconds to the whole answer if a request is sent to this endpoint now."""
    load = endpoint.load(query.now)
    report = endpoint.report
    slots = endpoint.slots()
    token_rate = report.token_rate if report else 1000.0
    stream_rate = report.stream_rate if report else 50.0
    sharing = min(load * slots + 1.0, float(slots))
    rate = min(stream_rate, token_rate / sharing)
    wait = max(0.0, load - 1.0) * slots * max(query.tokens, 1) / max(token_rate, 1e-9)
    finish = wait + query.tokens / max(rate, 1e-9)
    if query.data_centre != endpoint.data_centre:
        finish += defaults.REMOTE_COST_S
    if query.adapter and report and query.adapter not in report.adapters:
        finish += defaults.ADAPTER_MISS_S
    return finish


@routing("least-finish")
def route_least_finish(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose the earliest predicted finish, with a bounded preference for a cached prefix."""
    candidates = sorted(endpoints, key=lambda view: stable_hash(query.request_id, view.name))
    holders = [
        view for view in endpoints if query.prefix and view.may_hold(query.prefix, query.now)
    ]
    candidates = candidates[: defaults.CANDIDATES] + holders[:2]
    average = sum(view.load(query.now) for view in endpoints) / len(endpoints)

    def score(endpoint: EndpointView) -> float:
        finish = predict_finish(query, endpoint)
        cached = endpoint in holders
        if cached and endpoint.load(query.now) <= defaults.AFFINITY_LOAD_BOUND * average + 0.1:
            finish -= defaults.AFFINITY_BONUS_S
        return finish

    return min(candidates, key=lambda view: (score(view), view.name))


@routing("even-load")
def route_even_load(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose the least loaded for its speed; prefer cached prefixes and the own data centre a bit.

    Load counts as the time in which an endpoint works it off, since callers wait for that. On one
    that is slower than the others the request itself takes longer, and on a faster one less long.
    """
    average = sum(view.load(query.now) / view.speed for view in endpoints) / len(endpoints)
    own_prompt = query.prompt_work / defaults.UNREAD_TOKENS_FULL

    def score(endpoint: EndpointView) -> float:
        load = endpoint.load(query.now) + endpoint.unread() / defaults.UNREAD_TOKENS_FULL
        load /= endpoint.speed
        load += (1.0 / endpoint.slots() + own_prompt) * (1.0 / endpoint.speed - 1.0)
        bounded = load <= defaults.AFFINITY_LOAD_BOUND * average + 0.1
        if query.prefix and bounded and endpoint.may_hold(query.prefix, query.now):
            load -= defaults.PREFIX_LOAD_BONUS
        if endpoint.data_centre != query.data_centre:
            load += defaults.REMOTE_LOAD
        return load

    return min(endpoints, key=lambda view: (score(view), stable_hash(query.request_id, view.name)))


@routing("least-inflight")
def route_least_inflight(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose the endpoint with the fewest of this node's own requests (a baseline)."""
    return min(
        endpoints, key=lambda view: (len(view.inflight), stable_hash(query.request_id, view.name))
    )


@routing("round-robin")
def route_round_robin(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose by hash alone, which spreads requests evenly whatever the load (a baseline)."""
    return min(endpoints, key=lambda view: stable_hash(query.request_id, view.name))
