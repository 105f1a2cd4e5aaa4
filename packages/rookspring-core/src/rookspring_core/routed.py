"""Routed requests, which are passed through unchanged: their limits, queue order and retries.

They are processed by :mod:`requests` like the product's own requests; this module has the
decisions that depend on a route instead of the catalogue.
"""

import math

from . import admission_queue
from . import defaults
from . import missing_models
from . import open_ends
from . import stream_origins
from .effects import Effect
from .effects import Refuse
from .effects import SharePrompts
from .endpoints import EndpointView
from .events import AttemptFailed
from .events import RequestArrived
from .predictions import predict_first_event_s
from .predictions import predict_reading_s
from .retries import RetryWindow
from .state import NodeState
from .state import RequestState

POLICY = "even-load"


def check(state: NodeState, event: RequestArrived) -> Refuse | None:
    """Refuse a request that this node cannot serve; None where it may be admitted."""
    if state.stopped:
        text = "this node has stopped; ask for addresses"
        return Refuse(event.request_id, 503, "stopping", "not_run", text, defaults.RETRY_AFTER_S)
    if state.begins_no_requests(event.at):
        text = "this node is leaving; ask for addresses"
        return Refuse(event.request_id, 503, "leaving", "not_run", text, defaults.RETRY_AFTER_S)
    return None


def make_queue_entry(
    state: NodeState, arrived: RequestArrived, now: float, slot_asked: bool = False
) -> admission_queue.Queued:
    """Make a request's queue entry: sorted by rank and arrival, with the time it may wait until.

    :param now: start of the wait.
    :param slot_asked: a slot was requested from its service's owner, so it may wait for the
        whole objective instead of the route's ``patience_s``.
    """
    assert arrived.route is not None
    rank = arrived.route.rank
    sort_key = arrived.at + rank * defaults.RANK_HEADSTART_S
    patience_s = arrived.route.max_wait_s
    if not arrived.service and not is_resident(state, arrived):
        patience_s = _wait_for_model_s(state, arrived, slot_asked)
    if slot_asked:
        patience_s = arrived.route.objective_s
    until = min(arrived.deadline_at, now + patience_s)
    return admission_queue.Queued(sort_key, arrived.at, arrived.request_id, 0, rank, until)


def meter_demand(state: NodeState, arrived: RequestArrived, work: float) -> None:
    """Count a request's work as demand for its adapter, and as urgent demand for its model.

    Demand is urgent where the model could not be loaded within the route's objective.

    :param work: in tokens of the slowest model.
    """
    assert arrived.route is not None
    if arrived.adapter:
        state.control.meter.add(arrived.adapter, work)
    size = missing_models.find_model_size(state, arrived.route.service, arrived.target)
    if size is None:
        return
    ready_s = defaults.SWAP_S + (size.disk_s or size.load_s)
    if ready_s > arrived.route.objective_s * defaults.READY_SHARE:
        state.control.urgent_demand.meter.add(arrived.target, work)


def meter_missed_demand(state: NodeState, arrived: RequestArrived, reason: str) -> None:
    """Count a refused request as missed demand, if another replica of its model would help.

    That is so where endpoints that hold the model had no room, or none of them had a place
    for the adapter.

    :param reason: as :func:`explain_refusal` gives it.
    """
    lacks_place = reason == "absent" and bool(arrived.adapter) and is_resident(state, arrived)
    lacks_room = reason in ("no_room", "no_turn", "resting")
    if (lacks_room or lacks_place) and not arrived.service:
        work = arrived.tokens * state.latencies.relative_cost(arrived.target)
        state.control.refused_demand.meter.add(arrived.target, work)


def _wait_for_model_s(state: NodeState, arrived: RequestArrived, slot_asked: bool) -> float:
    """Return how long a request waits for a model that is on no endpoint, in seconds.

    It waits if the model can be loaded in time for the route's objective. Else the wait is 0,
    and the refusal's retry-after time is when the model is expected. With the option
    ``model_waits`` it waits by what is known of the model; see :mod:`missing_models`.
    """
    terms = arrived.route
    assert terms is not None
    if state.options.model_waits and not slot_asked:
        return missing_models.begin(state, arrived)
    wait_s = predict_model_ready_s(state, terms.service, arrived.target) * defaults.READY_MARGIN
    in_time = wait_s <= terms.objective_s * defaults.READY_SHARE
    return max(terms.max_wait_s, wait_s) if in_time else 0.0


def predict_model_ready_s(state: NodeState, service: str, model: str) -> float:
    """Predict the seconds until a model that is on no endpoint is loaded on one; may be inf."""
    coming = [
        in_s
        for view in state.endpoints.values()
        if view.service == service and (in_s := view.expected_in_s(model, state.now)) is not None
    ]
    if coming:
        return min(coming) + defaults.LOAD_REPORT_DELAY_S
    return missing_models.predict_load_s(state, service, model)


def resend_window(state: NodeState, service: str) -> RetryWindow:
    """Return the resend window of a service at this node.

    The slack is divided by the most nodes that were ever seen, and some more that may join,
    since nodes that this one cannot reach now may be using their parts.
    """
    nodes = math.ceil(state.membership.most_nodes * defaults.JOINING_SHARE)
    terms = state.retry_window_terms._replace(nodes=max(state.retry_window_terms.nodes, nodes))
    resends = state.retry_windows.setdefault(service, RetryWindow(terms))
    resends.terms = terms
    return resends


def list_candidates(state: NodeState, request: RequestState) -> list[EndpointView]:
    """List the endpoints that may get a request now.

    Prefill of long prompts stalls all streams of an endpoint, so one with many unread prompt
    tokens for its speed gets no more. Ejected endpoints are used where all that hold the model are
    ejected, and those that show no end of their answers where no other has room; those that are
    leaving or in back-off never are.
    """
    arrived = request.arrived
    assert arrived.route is not None
    holding = [
        view
        for view in state.hosts.get(arrived.target, {}).values()
        if view.service == arrived.route.service
        and view.serves(arrived.target, arrived.service)
        and stream_origins.may_go_on_at(state, arrived, view)
    ]
    if arrived.adapter:
        holding = [view for view in holding if view.has_adapter(arrived.adapter)]
    usable = [
        view for view in holding if _is_usable(state, view) and not _is_backing_off(state, view)
    ]
    ready = [view for view in usable if view.accepts_work(state.now)] or usable
    reserved = {view.name: _reserved_slots(state, view, arrived) for view in ready}
    ready = [
        view for view in ready if view.load(state.now) < 1.0 - reserved[view.name] / view.slots()
    ]
    ready = open_ends.choose_shown(ready, lambda view: view.open_ends, state.now)
    if any(view.rate is not None for view in ready):
        ready = _exclude_rate_limited(state, request, ready)
    if arrived.service:
        return ready
    work = prompt_work(state, arrived)
    roomy = [view for view in ready if _has_prompt_room(view, work, reserved[view.name] > 0)]
    soonest = min(((view.unread() + work) / view.speed for view in roomy), default=math.inf)
    names = {view.name for view in roomy}
    return [
        view
        for view in ready
        if view.name in names or (view.unread() == 0 and _reads_soonest(view, work, soonest))
    ]


def prefer_framed(
    state: NodeState, request: RequestState, endpoints: list[EndpointView]
) -> list[EndpointView]:
    """Return the endpoints that a stream goes to first, of those that may get it now."""
    if request.arrived.route is None or not request.arrived.stream:
        return endpoints
    return open_ends.choose_framed(endpoints, lambda view: view.open_ends, state.now)


def _reserved_slots(state: NodeState, endpoint: EndpointView, arrived: RequestArrived) -> int:
    """Return how many of an endpoint's slots are reserved for other adapters' requests.

    Each adapter that has just been attached gets a reserved slot. Otherwise requests for
    busier adapters took all slots, and the callers it was attached for were not served.
    """
    adapters = endpoint.recently_attached(state.now)
    if not adapters or arrived.adapter in adapters:
        return 0
    return min(len(adapters), int(endpoint.slots() * defaults.NEW_ADAPTER_RESERVE_SHARE))


def _is_usable(state: NodeState, endpoint: EndpointView) -> bool:
    """Return whether an endpoint may still get requests: it is neither closed nor down.

    An ejected one may, if there is no other. A crashed one may not, since each attempt would
    be spent on a refused connection.
    """
    return missing_models.may_serve(state, endpoint)


def _is_backing_off(state: NodeState, endpoint: EndpointView) -> bool:
    """Return whether an endpoint is in back-off, or has not answered the first request after it.

    An endpoint that rejects requests at once has the lowest load, and would attract them all.
    """
    return endpoint.in_backoff(state.now) or endpoint.probing_after_backoff(state.now)


def _exclude_rate_limited(
    state: NodeState, request: RequestState, ready: list[EndpointView]
) -> list[EndpointView]:
    """Leave out the rate-limited endpoints at which no permit may be requested now.

    Those of a plain service get requests from the service's owner alone, which counts them.
    Where all endpoints of a model are rate-limited, the request skips those that had no permit
    for it; else this node skips each one until the time that its owner set.
    """
    if request.arrived.service:
        return [view for view in ready if view.rate is None]
    if all_rate_limited(state, request.arrived):
        return [view for view in ready if view.rate is None or view.name not in request.permits_due]
    return [view for view in ready if view.rate is None or view.next_permit_at <= state.now]


def _rate_limited_hosts(state: NodeState, arrived: RequestArrived) -> list[EndpointView]:
    """List the endpoints that may serve a request if all are rate-limited; else an empty list."""
    assert arrived.route is not None
    usable = [
        view
        for view in state.hosts.get(arrived.target, {}).values()
        if view.service == arrived.route.service
        and _is_usable(state, view)
        and stream_origins.may_go_on_at(state, arrived, view)
    ]
    if arrived.adapter:
        usable = [view for view in usable if view.has_adapter(arrived.adapter)]
    return [] if any(view.rate is None for view in usable) else usable


def all_rate_limited(state: NodeState, arrived: RequestArrived) -> bool:
    """Return whether all endpoints that may serve a request are rate-limited."""
    return bool(_rate_limited_hosts(state, arrived))


def lacks_permit(state: NodeState, request: RequestState) -> bool:
    """Return whether all endpoints that may serve a request have no permit for it in time."""
    hosts = _rate_limited_hosts(state, request.arrived)
    return bool(hosts) and all(view.name in request.permits_due for view in hosts)


def backoff_left_s(state: NodeState, arrived: RequestArrived) -> float:
    """Return the seconds until one of the endpoints that hold a request's model is available.

    0 where one of them is not in back-off, or no endpoint holds the model.
    """
    assert arrived.route is not None
    ends = [
        view.backoff_until
        for view in state.hosts.get(arrived.target, {}).values()
        if view.service == arrived.route.service and not view.closed
    ]
    return max(0.0, min(ends) - state.now) if ends else 0.0


def is_resident(state: NodeState, arrived: RequestArrived) -> bool:
    """Return whether a request's model is resident on an endpoint that may get requests."""
    assert arrived.route is not None
    return missing_models.is_resident(state, arrived.route.service, arrived.target)


def prompt_work(state: NodeState, arrived: RequestArrived) -> int:
    """Return a prompt's size in tokens of the slowest model that take the same prefill time."""
    return round(arrived.prompt_tokens * state.latencies.relative_cost(arrived.target))


def _has_prompt_room(endpoint: EndpointView, tokens: int, others_first: bool) -> bool:
    """Return whether an endpoint would read all its prompts soon if it got another one.

    :param tokens: the prompt's size, see :func:`prompt_work`.
    :param others_first: part of the limit is reserved for just attached adapters.
    """
    return endpoint.unread() + tokens <= _unread_limit(endpoint, others_first)


def _unread_limit(endpoint: EndpointView, others_first: bool) -> float:
    """Return the prompt tokens that may be unread at an endpoint, fewer at a slow one."""
    most = defaults.UNREAD_TOKENS_MAX - (defaults.NEW_ADAPTER_RESERVE_TOKENS if others_first else 0)
    return most * endpoint.speed


def _reads_soonest(endpoint: EndpointView, tokens: int, soonest: float) -> bool:
    """Return whether none of the endpoints with room would read a prompt sooner than an idle one.

    A prompt beyond its limit stalls a slow endpoint for longest.

    :param soonest: the least number of unread tokens with the prompt at an endpoint with room,
        divided by its speed; infinite if there is none.
    """
    return tokens / endpoint.speed <= soonest


def speeds_differ(state: NodeState, arrived: RequestArrived) -> bool:
    """Return whether the endpoints of a request's model are known to have different speeds."""
    return len({view.speed for view in state.hosts.get(arrived.target, {}).values()}) > 1


def room_in_s(state: NodeState, arrived: RequestArrived) -> float:
    """Predict the seconds until an endpoint has room for a prompt; 0 while no pace is known."""
    work = prompt_work(state, arrived)
    times = [
        predict_reading_s(state, view, view.unread() + work - _unread_limit(view, False))
        for view in state.hosts.get(arrived.target, {}).values()
        if view.accepts_work(state.now)
        and (not arrived.adapter or view.has_adapter(arrived.adapter))
    ]
    return max(0.0, min(times, default=0.0))


def begin_prompt(state: NodeState, request: RequestState, endpoint: EndpointView) -> list[Effect]:
    """Count a prompt as unread at its endpoint, and share the new sum with the other nodes."""
    arrived = request.arrived
    if arrived.route is None or arrived.service:
        return []
    endpoint.prompts[arrived.request_id] = prompt_work(state, arrived)
    return [SharePrompts(endpoint.name, endpoint.own_prompts())]


def end_prompt(state: NodeState, request: RequestState) -> list[Effect]:
    """Count a prompt as read, or its attempt as ended; share the new sum the first time."""
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is None or endpoint.prompts.pop(request.arrived.request_id, None) is None:
        return []
    return [SharePrompts(endpoint.name, endpoint.own_prompts())]


def count_first_send(state: NodeState, request: RequestState) -> None:
    """Count a request's first send, which earns its service a part of a resend."""
    terms = request.arrived.route
    if terms is not None and request.sends == 0 and request.attempt == 1:
        resend_window(state, terms.service).earn(state.now)


def may_retry(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    """Return whether a request may be sent to another endpoint after a failed attempt.

    Never one that has run, in this attempt or an earlier one, and may run once alone: an attempt
    that goes on from a copy of its run may end as not run.

    Attempts that sent no byte are limited by ``UNSENT_TRIES_MAX`` and count towards no other
    limit. Any other attempt counts towards the route's limit, and its retry towards the
    service's resend window, also where the endpoint refused the request.
    """
    arrived = request.arrived
    terms = arrived.route
    assert terms is not None
    if arrived.deadline_at <= state.now or (request.maybe_ran and not arrived.repeatable):
        return False
    if not event.sent:
        return request.attempt <= defaults.UNSENT_TRIES_MAX and _resend_is_safe(request)
    request.sends += 1
    if not arrived.repeatable and not event.reported_not_run:
        return False
    if request.sends >= terms.attempts or not event.followable:
        return False
    return resend_window(state, terms.service).spend(state.now)


def _resend_is_safe(request: RequestState) -> bool:
    """Return whether a request may be sent again after an attempt that sent nothing."""
    return request.arrived.repeatable or request.sends == 0 or request.attempt_not_run


def explain_refusal(state: NodeState, arrived: RequestArrived) -> tuple[str, str]:
    """Return why no endpoint took a request: a reason code, and a text for logs and the caller."""
    assert arrived.route is not None
    service = arrived.route.service
    views = [view for view in state.endpoints.values() if view.service == service]
    hosts = [view for view in views if view.serves(arrived.target, arrived.service)]
    if not hosts:
        return "absent", f"{arrived.target} is on none of {len(views)} endpoints of {service}"
    fitting = [view for view in hosts if not arrived.adapter or view.has_adapter(arrived.adapter)]
    if not fitting:
        return "absent", f"{arrived.adapter} is on none of {len(hosts)} endpoints with its model"
    if backoff_left_s(state, arrived) > 0.0:
        return "resting", f"all {len(hosts)} endpoints that hold it asked for rest"
    if all_rate_limited(state, arrived):
        rate = sum(view.rate or 0.0 for view in hosts)
        return "no_turn", f"all {len(hosts)} endpoints that hold it take {rate:g} requests a second"
    ready = [view for view in fitting if view.accepts_work(state.now)]
    if not ready:
        return "none_open", f"none of {len(fitting)} endpoints that hold it takes work"
    least = min(ready, key=lambda view: view.load(state.now))
    text = f"the least loaded of {len(ready)} endpoints is at {least.load(state.now):.2f}"
    if not arrived.service:
        text += f", {least.unread()} tokens to read, {arrived.prompt_tokens} more"
    if not arrived.service and least.speed != 1.0:
        first_s = predict_first_event_s(state, least, prompt_work(state, arrived))
        text += f", speed {least.speed:.2f}, first event in {first_s:.2f} s"
    return "no_room", text
