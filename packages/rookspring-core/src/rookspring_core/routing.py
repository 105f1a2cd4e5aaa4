"""Choice of an endpoint for a request, among a few candidates.

Policies register by name in ``ROUTING``; a ``Policy`` resource names the one in
force and the bench runs several side by side. All are free of randomness: the
few candidates come from hashing the request's identity.
"""

import typing as t

from . import defaults
from .endpoints import EndpointView
from .exceptions import UnknownPolicy
from .mixing import mix as mix
from .policy_names import NAMES


class RouteQuery(t.NamedTuple):
    """What a routing policy may know of a request."""

    now: float
    request_id: str
    tokens: int
    prompt_tokens: int
    prefix: int
    adapter: str
    data_centre: str


Route = t.Callable[[RouteQuery, list[EndpointView]], EndpointView]
ROUTING: dict[str, Route] = {}


def routing(name: str) -> t.Callable[[Route], Route]:
    """Register a routing policy.

    :param name: how ``Policy.routing`` names it.
    """

    def register(function: Route) -> Route:
        ROUTING[name] = function
        NAMES["routing"].append(name)
        return function

    return register


def find_routing(name: str) -> Route:
    """Look a policy up.

    :raises UnknownPolicy: when no module registered the name.
    """
    try:
        return ROUTING[name]
    except KeyError:
        raise UnknownPolicy(f"routing: {name!r} is not one of {', '.join(ROUTING)}") from None


def predict_finish(query: RouteQuery, endpoint: EndpointView) -> float:
    """Predict seconds until the whole answer, were it sent to this endpoint now."""
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
    """Choose the least predicted finish, with a bounded pull to a cached prefix."""
    few = sorted(endpoints, key=lambda one: mix(query.request_id, one.name))
    holders = [one for one in endpoints if query.prefix and one.may_hold(query.prefix, query.now)]
    few = few[: defaults.CANDIDATES] + holders[:2]
    average = sum(one.load(query.now) for one in endpoints) / len(endpoints)

    def score(endpoint: EndpointView) -> float:
        finish = predict_finish(query, endpoint)
        near = endpoint in holders
        if near and endpoint.load(query.now) <= defaults.AFFINITY_LOAD_BOUND * average + 0.1:
            finish -= defaults.AFFINITY_BONUS_S
        return finish

    return min(few, key=lambda one: (score(one), one.name))


@routing("even-load")
def route_even_load(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose the least loaded, with a small pull to the near and to a cached prefix."""
    average = sum(one.load(query.now) for one in endpoints) / len(endpoints)

    def score(endpoint: EndpointView) -> float:
        load = endpoint.load(query.now) + endpoint.unread() / defaults.UNREAD_TOKENS_FULL
        bounded = load <= defaults.AFFINITY_LOAD_BOUND * average + 0.1
        if query.prefix and bounded and endpoint.may_hold(query.prefix, query.now):
            load -= defaults.PREFIX_LOAD_BONUS
        if endpoint.data_centre != query.data_centre:
            load += defaults.REMOTE_LOAD
        return load

    return min(endpoints, key=lambda one: (score(one), mix(query.request_id, one.name)))


@routing("least-inflight")
def route_least_inflight(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose the endpoint with the fewest of this node's own requests (a baseline)."""
    return min(endpoints, key=lambda one: (len(one.inflight), mix(query.request_id, one.name)))


@routing("round-robin")
def route_round_robin(query: RouteQuery, endpoints: list[EndpointView]) -> EndpointView:
    """Choose evenly, blind to load (a baseline)."""
    return min(endpoints, key=lambda one: mix(query.request_id, one.name))
