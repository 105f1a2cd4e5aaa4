"""Requests that wait at a node for models that are on no endpoint; see :mod:`model_waits`."""

import math
import typing as t

from . import defaults
from . import model_waits
from . import predictions
from .accounts import load_time_s
from .effects import Effect
from .effects import RequestLoad
from .endpoints import EndpointView
from .events import RequestArrived
from .hashing import retry_jitter
from .routes import ModelSize
from .state import NodeState
from .state import RequestState


def key_of(service: str, model: str) -> str:
    """Return the name under which waits for a service's model are learnt and queued."""
    return f"{service}/{model}"


def need_of(arrived: RequestArrived) -> model_waits.Need:
    """Return what a routed request can bear."""
    terms = arrived.route
    assert terms is not None
    jitter = retry_jitter(arrived.request_id)
    return model_waits.Need(
        arrived.at, terms.objective_s, arrived.deadline_at, terms.max_wait_s, jitter
    )


def know(state: NodeState, arrived: RequestArrived) -> model_waits.Knowledge:
    """Return what this node knows of when a request's model is usable."""
    assert arrived.route is not None
    known = _know_model(state, arrived.route.service, arrived.target, _list_announced(state))
    return _add_reading(state, arrived, known)


def describe_absence(state: NodeState, arrived: RequestArrived) -> str:
    """Describe, for the log, whether a load of a request's model is announced, and its time."""
    assert arrived.route is not None
    load = _list_announced(state).get(key_of(arrived.route.service, arrived.target))
    text = f"announced at {load[1]} in {load[0]:.2f} s" if load else "no load is announced"
    return f"{text}; {arrived.deadline_at - state.now:.2f} s left"


def _know_model(
    state: NodeState, service: str, model: str, announced: t.Mapping[str, tuple[float, str]]
) -> model_waits.Knowledge:
    """Return what is known of a model, whatever the request.

    :param announced: as :func:`_list_announced` gives it.
    """
    announced_s, endpoint = announced.get(key_of(service, model), (math.inf, ""))
    arrivals = state.model_waits.arrivals
    waited_s = arrivals.waited_s(key_of(service, model), state.now)
    likely_s = arrivals.likely_s(service)
    # A wait that is longer already says nothing of its rest: the learnt wait counts from now on.
    left_s = likely_s - waited_s if waited_s < likely_s else likely_s
    # The time of a load matters only where nothing better is known.
    load_s = math.inf if endpoint or likely_s else predict_load_s(state, service, model)
    return model_waits.Knowledge(
        announced_s=announced_s,
        endpoint=endpoint,
        reading_s=0.0,
        learnt_s=left_s if likely_s > 0.0 else math.inf,
        predicted_s=load_s - waited_s if waited_s < load_s else math.inf,
        answer_s=max(0.0, defaults.HOLDER_ANSWER_S - waited_s),
    )


def _add_reading(
    state: NodeState, arrived: RequestArrived, known: model_waits.Knowledge
) -> model_waits.Knowledge:
    """Add the time in which the endpoint of the announced load reads the request's prompt."""
    if not known.endpoint:
        return known
    work = arrived.prompt_tokens * state.latencies.relative_cost(arrived.target)
    endpoint = state.endpoints[known.endpoint]
    return known._replace(reading_s=predictions.predict_reading_s(state, endpoint, work))


def _list_announced(state: NodeState) -> dict[str, tuple[float, str]]:
    """List in how many seconds each announced model is usable first, and at which endpoint.

    A load at an endpoint that is leaving, gone or down isn't counted.
    """
    announced: dict[str, tuple[float, str]] = {}
    for view in state.endpoints.values():
        model = view.expected_model[0]
        in_s = view.expected_in_s(model, state.now) if model else None
        if in_s is None or not may_serve(state, view):
            continue
        load = (in_s + defaults.LOAD_REPORT_DELAY_S, view.name)
        key = key_of(view.service, model)
        announced[key] = min(load, announced.get(key, load))
    return announced


def may_serve(state: NodeState, endpoint: EndpointView) -> bool:
    """Return whether an endpoint is to get requests at all: not if closed or down."""
    return not endpoint.closed and endpoint.may_listen(state.now)


def is_resident(state: NodeState, service: str, model: str) -> bool:
    """Return whether a model is resident on an endpoint of a service that may get requests."""
    hosts = state.hosts.get(model, {}).values()
    return any(view.service == service and may_serve(state, view) for view in hosts)


def find_model_size(state: NodeState, service: str, model: str) -> ModelSize | None:
    """Return the configured size of a service's model; None if there is none."""
    spec = state.table.services.get(service) if state.table else None
    if spec is None or spec.engine is None:
        return None
    return spec.engine.models.get(model)


def predict_load_s(state: NodeState, service: str, model: str) -> float:
    """Predict the seconds until a load that is requested now ends at some endpoint; may be inf."""
    size = find_model_size(state, service, model)
    if size is None:
        return math.inf
    times = [
        load_time_s(size, view.report)
        for view in state.endpoints.values()
        if view.service == service and view.report is not None and view.accepts_work(state.now)
    ]
    return defaults.SWAP_S + min(times, default=math.inf)


def begin(state: NodeState, arrived: RequestArrived) -> float:
    """Decide on a request on its arrival, and return how long it waits, in seconds.

    One that is refused stays in its queue until the next tick, so that its load request is sent.
    """
    assert arrived.route is not None
    waits = state.model_waits
    waits.arrivals.begin(key_of(arrived.route.service, arrived.target), state.now)
    known = know(state, arrived)
    wait = model_waits.decide(need_of(arrived), known, state.now)
    waits.waiting[arrived.request_id] = wait._replace(why=known.describe())
    return max(0.0, wait.until - state.now)


def review(state: NodeState) -> list[Effect]:
    """Decide anew on all requests that wait for a model, by what is known now.

    Each change is sent to the lease holder, which keeps the model until its callers are back.
    """
    effects: list[Effect] = []
    waits = state.model_waits
    waits.arrivals.forget_old(state.now)
    if not waits.waiting:
        return effects
    announced = _list_announced(state)
    known: dict[str, model_waits.Knowledge] = {}
    for identity, wait in list(waits.waiting.items()):
        request = state.requests.get(identity)
        if request is None:
            waits.end(identity, "left")
        elif _is_arrived(state, request.arrived):
            # It may have come without a report, as where an endpoint is no longer down.
            if wait.rule != model_waits.ARRIVED:
                _begin_wait_for_room(state, request.arrived, wait)
        else:
            effects += _review_one(state, request, wait, announced, known)
    return effects


def _is_arrived(state: NodeState, arrived: RequestArrived) -> bool:
    assert arrived.route is not None
    return is_resident(state, arrived.route.service, arrived.target)


def _review_one(
    state: NodeState,
    request: RequestState,
    before: model_waits.ModelWait,
    announced: t.Mapping[str, tuple[float, str]],
    models: dict[str, model_waits.Knowledge],
) -> list[Effect]:
    """Decide anew on one request.

    :param announced: as :func:`_list_announced` gives it.
    :param models: what is known of each model now; filled here.
    """
    arrived = request.arrived
    assert arrived.route is not None
    service, model = arrived.route.service, arrived.target
    key = key_of(service, model)
    if key not in models:
        models[key] = _know_model(state, service, model, announced)
    known = _add_reading(state, arrived, models[key])
    wait = model_waits.decide(need_of(arrived), known, state.now, before)
    if before.rule in model_waits.LOAD_RULES and known.announced_s == math.inf:
        state.model_waits.ends["lapsed"] += 1
    if wait._replace(why=before.why) == before:
        return []
    state.model_waits.waiting[arrived.request_id] = wait._replace(why=known.describe())
    _queue_again(state, arrived, min(wait.until, arrived.deadline_at))
    back_s = predict_back_s(state, arrived) or 0.0
    asked = RequestLoad(service, model, arrived.adapter, back_s)
    return [state.sent_load_requests.add(asked, state.now)]


def _queue_again(
    state: NodeState, arrived: RequestArrived, until: float, sort_key: float | None = None
) -> None:
    assert arrived.route is not None
    queue = state.queues.get(key_of(arrived.route.service, arrived.adapter or arrived.target))
    if queue is not None:
        queue.change(arrived.request_id, until, sort_key)


def take_arrivals(state: NodeState, endpoint: EndpointView) -> None:
    """End the waits for the models that an endpoint has now.

    Those who waited go out by rank: patient requests that came earlier would take all the room
    for unread prompts before urgent ones. From here on they wait for room, as others do.
    """
    if not may_serve(state, endpoint):
        return
    present = {key_of(endpoint.service, model) for model in endpoint.resident}
    waits = state.model_waits
    waits.arrivals.end(present, state.now)
    for identity, wait in list(waits.waiting.items()):
        request = state.requests.get(identity)
        if request is None or request.arrived.route is None or wait.rule == model_waits.ARRIVED:
            continue
        arrived = request.arrived
        if key_of(request.arrived.route.service, arrived.target) in present:
            _begin_wait_for_room(state, arrived, wait)


def _begin_wait_for_room(
    state: NodeState, arrived: RequestArrived, wait: model_waits.ModelWait
) -> None:
    terms = arrived.route
    assert terms is not None
    until = min(arrived.deadline_at, state.now + terms.max_wait_s)
    state.model_waits.waiting[arrived.request_id] = model_waits.ModelWait(
        model_waits.ARRIVED, until, state.now, wait.why
    )
    sort_key = state.now + terms.rank * defaults.RANK_HEADSTART_S
    _queue_again(state, arrived, until, sort_key)


def end_served(state: NodeState, request: RequestState) -> None:
    """End the wait of a request that is sent."""
    state.model_waits.end(request.arrived.request_id, "served")


def end_refused(state: NodeState, request: RequestState) -> str:
    """End the wait of a request that is refused; return the rule and what was known, or ""."""
    wait = state.model_waits.end(request.arrived.request_id, "refused")
    if wait is None or wait.rule == model_waits.ARRIVED:
        return ""
    return f"; {wait.rule}: {wait.why}"


def predict_retry_after_s(state: NodeState, arrived: RequestArrived) -> float:
    """Predict in how many seconds a request's absent model is usable, as its caller is told."""
    return model_waits.choose_retry_after_s(need_of(arrived), know(state, arrived), state.now)


def predict_back_s(state: NodeState, arrived: RequestArrived) -> float | None:
    """Predict in how many seconds the caller will have used the model, or have come back for it.

    None if the request doesn't wait for a model.
    """
    wait = state.model_waits.waiting.get(arrived.request_id)
    if wait is None or wait.rule == model_waits.ARRIVED:
        return None
    if wait.rule in model_waits.LOAD_RULES:
        return max(0.0, wait.ready_at - state.now)
    waits_s = max(0.0, wait.until - state.now)
    known = know(state, arrived)
    later = known._replace(learnt_s=max(0.0, known.learnt_s - waits_s))
    return waits_s + model_waits.choose_retry_after_s(need_of(arrived), later, state.now + waits_s)
