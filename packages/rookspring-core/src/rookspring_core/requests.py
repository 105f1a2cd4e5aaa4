"""Requests at their entry node, from the queue through their attempts to a single end."""

import heapq
import typing as t

from . import admission_queue
from . import allotment_checks
from . import defaults
from . import keys
from . import last_tries
from . import missing_models
from . import place_requests
from . import retries
from . import retry_after
from . import routed
from . import routing
from . import run_copies
from . import slot_requests
from . import stream_origins
from . import suspect_handlers
from .effects import Cancel
from .effects import Dispatch
from .effects import Effect
from .effects import Forget
from .effects import Refuse
from .endpoints import UNKNOWN_VERSION
from .endpoints import EndpointView
from .events import RequestArrived
from .hashing import retry_jitter
from .state import NodeState
from .state import RequestState

Effects = list[Effect]


def queue_key(arrived: RequestArrived) -> str:
    """Name a request's queue: its target, or if it is routed its service and adapter or model.

    Streams that have begun have one for each version, so that they hold up no others.
    """
    if arrived.route is None:
        return arrived.target
    name = f"{arrived.route.service}/{arrived.adapter or arrived.target}"
    return name if arrived.version is None else f"{name}@{arrived.version}"


def service_time(state: NodeState, target: str, service: bool, tokens: int) -> float:
    """Predict the least seconds in which an endpoint of a model could serve a request.

    0 for a service, or where no endpoint has reported.
    """
    shortest_s = 0.0
    if service:
        return shortest_s
    rates = [
        min(view.report.stream_rate, view.report.token_rate / view.slots())
        for view in state.hosts.get(target, {}).values()
        if view.report is not None
    ]
    if not rates:
        return shortest_s
    return tokens / max(1e-9, *rates)


def dispatch_waiting(state: NodeState) -> Effects:
    """Send as many queued requests as endpoints have room for.

    Models share runners, so the heads of all queues are merged in one order. A queue whose
    head finds no room is skipped until the next call.
    """
    effects: Effects = []
    if not state.queues:
        return effects
    heads = [
        (queued.sort_key, target)
        for target, queue in state.queues.items()
        if (queued := queue.peek()) is not None
    ]
    heapq.heapify(heads)
    while heads:
        _, target = heapq.heappop(heads)
        queue = state.queues[target]
        queued = queue.peek()
        assert queued is not None
        request = state.requests[queued.request_id]
        if slot_requests.awaits_owner(state, request):
            continue
        fault = find_fault(state, request)
        if fault is not None:
            queue.remove(queued.request_id)
            effects += refuse_quarantined(state, request, fault)
            _push_head(heads, queue, target)
            continue
        endpoint = choose_endpoint(state, request)
        owned = place_requests.choose_owned(state, request, endpoint)
        if owned is not None:
            queue.remove(queued.request_id)
            effects += place_requests.ask(state, request, owned)
            _push_head(heads, queue, target)
            continue
        if endpoint is None:
            continue
        queue.remove(queued.request_id)
        if endpoint.rate is not None and request.arrived.route is not None:
            until = (
                queued.deadline_at if routed.all_rate_limited(state, request.arrived) else state.now
            )
            effects += slot_requests.ask_permit(state, request, endpoint, until)
        else:
            effects += send(state, request, endpoint)
        _push_head(heads, queue, target)
    return effects


def send(state: NodeState, request: RequestState, endpoint: EndpointView) -> Effects:
    """Send a request that was removed from its queue."""
    missing_models.end_served(state, request)
    state.pools[pool_of(state, request.arrived)].add_sent(request.arrived.tokens)
    sent = dispatch(state, request, endpoint)
    return sent + routed.begin_prompt(state, request, endpoint)


def _push_head(
    heads: list[tuple[float, str]], queue: admission_queue.AdmissionQueue, target: str
) -> None:
    head = queue.peek()
    if head is not None:
        heapq.heappush(heads, (head.sort_key, target))


def find_fault(state: NodeState, request: RequestState) -> suspect_handlers.Quarantine | None:
    """Return why a request that was admitted may not be sent now; None where it may."""
    arrived = request.arrived
    fault = keys.find_fault(state, arrived)
    if fault is not None:
        after_s = defaults.RETRY_AFTER_UNPROVED_S if fault.status == 503 else 0.0
        return suspect_handlers.Quarantine(fault.status, fault.reason, fault.text, after_s)
    return suspect_handlers.find_quarantine(state, arrived)


def refuse_quarantined(
    state: NodeState, request: RequestState, quarantine: suspect_handlers.Quarantine
) -> Effects:
    """End a request that may not be sent now."""
    status = 502 if request.sent else quarantine.status
    return fail_request(
        state, request, status, quarantine.reason, quarantine.text, quarantine.after_s
    )


def pool_of(state: NodeState, arrived: RequestArrived) -> str:
    """Name the endpoints that a target shares with other targets: an engine or a service."""
    if arrived.service:
        return f"service/{arrived.target}"
    if arrived.route is not None:
        return f"engine/{arrived.route.service}"
    spec = state.catalogue.models.get(arrived.target)
    return f"engine/{spec.engine}" if spec else "engine/"


def _list_candidates(state: NodeState, arrived: RequestArrived) -> list[EndpointView]:
    candidates = [
        view
        for view in state.hosts.get(arrived.target, {}).values()
        if view.accepts_work(state.now)
        and view.serves(arrived.target, arrived.service)
        and (not state.admission_on or view.load(state.now) < 1.0)
    ]
    if arrived.adapter:
        return [view for view in candidates if view.has_adapter(arrived.adapter)]
    return candidates


def choose_endpoint(state: NodeState, request: RequestState) -> EndpointView | None:
    """Choose the endpoint to send a request to now; None while none has room.

    Endpoints that an earlier attempt went to are used only if there is no other, and ones whose
    streams end with their connection after others.
    """
    arrived = request.arrived
    if arrived.route is not None:
        candidates = routed.list_candidates(state, request)
    else:
        candidates = _list_candidates(state, arrived)
    usable = [view for view in candidates if view.name not in request.tried] or candidates
    usable = place_requests.prefer_unqueued(state, request, usable)
    usable = routed.prefer_framed(state, request, usable)
    if not usable:
        return None
    query = routing.RouteQuery(
        now=state.now,
        request_id=f"{arrived.request_id}/{request.attempt}",
        tokens=arrived.tokens,
        prompt_work=routed.prompt_work(state, arrived),
        prefix=arrived.prefix,
        adapter=arrived.adapter,
        data_centre=state.identity.data_centre,
    )
    if suspect_handlers.is_suspect(state, request):
        return min(usable, key=lambda view: (view.load(state.now), view.name))
    name = state.routing_override or state.catalogue.policy.routing
    if arrived.route is not None:
        name = state.routing_override or routed.POLICY
    return routing.find_routing(name)(query, usable)


def dispatch(
    state: NodeState, request: RequestState, endpoint: EndpointView, copy: str = ""
) -> Effects:
    """Begin a request's next attempt, at the given endpoint.

    Retries of requests without a route wait for a back-off, unless the last attempt brought
    the caller tokens.

    :param copy: the copy of its run that it goes on from there; empty if it begins a run.
    """
    request.attempt += 1
    request.endpoint = endpoint.name
    request.tried.add(endpoint.name)
    request.running = True
    request.dispatched_at = state.now
    request.permits_due = {}
    request.places_itself = False
    request.endpoint_version = endpoint.software_version()
    request.connected_at = 0.0
    request.endpoint_started_ms = suspect_handlers.process_of(endpoint).started_ms
    request.first_event_at = None
    run_copies.begin(request)
    idle = endpoint.load(state.now) <= defaults.PACE_LOAD_MAX
    request.endpoint_was_idle = idle and endpoint.unread() == 0
    identity = request.arrived.request_id
    endpoint.begin(identity, state.now)
    if request.arrived.prefix:
        endpoint.hint((request.arrived.prefix,), state.now)
    wait_s = 0.0
    if request.arrived.route is not None:
        routed.count_first_send(state, request)
    elif request.attempt > 1 and (request.delivered == 0 or request.attempts_without_token > 1):
        failed = request.attempts_without_token or request.attempt - 1
        wait_s = retries.back_off(failed, routing.stable_hash(identity))
    effects = suspect_handlers.begin_trial(state, request)
    at = state.now + wait_s
    sent = Dispatch(identity, request.attempt, endpoint.name, request.delivered, at, copy)
    return [*effects, sent]


def find_running(state: NodeState, request_id: str, attempt: int) -> RequestState | None:
    """Return the request if this attempt of it runs now; None for an event of an earlier one."""
    request = state.requests.get(request_id)
    if request is None or request.attempt != attempt or not request.running:
        return None
    return request


def enqueue_routed(
    state: NodeState, request: RequestState, queue: admission_queue.AdmissionQueue
) -> Effects:
    """Queue a routed request, or refuse it if no endpoint will take it for long.

    All its endpoints back off, or none is left of the version that began its stream.
    """
    if request.arrived.version is not None and not stream_origins.is_served(state, request.arrived):
        return _refuse_for_version(state, request, request.arrived.version)
    effects = slot_requests.ask(state, request)
    queued = routed.make_queue_entry(state, request.arrived, state.now, bool(effects))
    if routed.backoff_left_s(state, request.arrived) > queued.deadline_at - state.now:
        return _refuse_for_backoff(state, request)
    queue.push(queued)
    return effects


def _refuse_for_version(state: NodeState, request: RequestState, version: str) -> Effects:
    """Refuse the rest of a stream, which no endpoint may write.

    One whose origin is not known won't be known later either, so no time to retry is given.
    """
    status = 502 if request.sent else 503
    if version == UNKNOWN_VERSION:
        text = "no node knows which version began the stream, and several serve"
        return fail_request(state, request, status, "version_unknown", text)
    text = f"no endpoint of {version} is left, which began the stream"
    after_s = defaults.RETRY_AFTER_FAILURE_S
    return fail_request(state, request, status, "version_gone", text, after_s)


def refuse_backed_off(state: NodeState) -> Effects:
    """Refuse queued requests whose endpoints all back off for longer than they may wait.

    Requests without a route wait until their deadline, since their endpoints request no back-off.
    """
    effects: Effects = []
    for queue in list(state.queues.values()):
        head = queue.peek()
        if head is None or state.requests[head.request_id].arrived.route is None:
            continue
        left_s = routed.backoff_left_s(state, state.requests[head.request_id].arrived)
        for queued in queue.waiting() if left_s > 0.0 else ():
            if left_s > queued.deadline_at - state.now:
                queue.remove(queued.request_id)
                effects += _refuse_for_backoff(state, state.requests[queued.request_id])
    return effects


def _refuse_for_backoff(state: NodeState, request: RequestState) -> Effects:
    """Refuse a request with the time until the back-off ends as its retry-after time."""
    request.slot_asked_at = None
    return end_waiting(state, request)


def fail_request(
    state: NodeState,
    request: RequestState,
    status: int,
    reason: str,
    message: str,
    after_s: float = 0.0,
) -> Effects:
    """End a request without an answer: refuse it, and all requests that wait for its key.

    Its outcome is ``unknown`` once a byte may have reached an endpoint, else ``not_run``.

    :param after_s: retry-after time in seconds; 0 for none.
    """
    arrived = request.arrived
    outcome = "unknown" if request.sent or request.delivered else "not_run"
    if arrived.route is not None and after_s > 0.0:
        message += f"; told {after_s:.2f} s of {arrived.deadline_at - state.now:.2f} s"
    refusal = Refuse(arrived.request_id, status, reason, outcome, message, after_s)
    state.record(arrived.request_id, f"refused {reason}", message)
    effects: Effects = [refusal]
    if outcome == "not_run":
        effects += allotment_checks.refund(state, request.charge)
    if arrived.once_key is not None:
        if outcome == "not_run":
            waiters = state.once.release(arrived.once_key)
        else:
            waiters = state.once.record_outcome(arrived.once_key, "unknown", status, b"")
        effects += [refusal._replace(request_id=waiter) for waiter in waiters]
    return effects + close(state, request)


def close(state: NodeState, request: RequestState, open_end: bool | None = None) -> Effects:
    """End a request, and free what it held at its endpoint and at the owners of its queues."""
    identity = request.arrived.request_id
    effects = routed.end_prompt(state, request)
    unsent = not request.running
    effects += slot_requests.free(state, request, False, unsent, open_end=open_end)
    effects += place_requests.withdraw(state, request)
    effects += run_copies.drop(state, request)
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is not None:
        endpoint.end(identity, state.now)
    state.requests.pop(identity, None)
    if request.handed_to:
        state.reach.count_handed(request.handed_to, -1)
    if request.limited:
        state.limits.release(request.arrived.team)
    return [*effects, Forget(identity)]


def requeue(state: NodeState, request: RequestState, until: float) -> Effects:
    """Put a request back into its queue, to wait at least until ``until``."""
    arrived = request.arrived
    pool = state.pools.setdefault(pool_of(state, arrived), admission_queue.ThroughputMeter())
    queue = state.queues.setdefault(queue_key(arrived), admission_queue.AdmissionQueue(pool))
    placed = routed.make_queue_entry(state, arrived, arrived.at)
    queue.push(placed._replace(deadline_at=max(until, placed.deadline_at)))
    return dispatch_waiting(state)


def refuse_after(state: NodeState, request: RequestState, after_s: float) -> Effects:
    """Refuse a request for which an owner had neither slot nor place.

    :param after_s: seconds until there should be one.
    """
    reason, text = routed.explain_refusal(state, request.arrived)
    status = 502 if request.sent else 503
    # Jitter by request, so that callers refused together don't retry together.
    jitter = retry_jitter(request.arrived.request_id)
    left_s = request.arrived.deadline_at - state.now
    after_s = min(after_s * (1.0 + jitter), left_s * defaults.RETRY_AFTER_MAX_SHARE)
    return fail_request(state, request, status, reason, text, after_s)


def withdraw(state: NodeState, request: RequestState) -> Effects:
    """Remove a request that is about to end from its queue, or cancel its attempt."""
    queue = state.queues.get(queue_key(request.arrived))
    if queue is not None:
        queue.remove(request.arrived.request_id)
    if not request.running:
        return []
    return [Cancel(request.arrived.request_id, request.attempt, request.endpoint)]


def sweep(state: NodeState, elapsed_s: float) -> Effects:
    """Refuse queued requests that can no longer meet their deadline, and send what has room.

    :param elapsed_s: since the last call, in seconds.
    """
    effects: Effects = []
    for pool in state.pools.values():
        pool.measure(elapsed_s)
    effects += missing_models.review(state)
    for target, queue in list(state.queues.items()):
        effects += _expire(state, target, queue)
        if len(queue) == 0:
            del state.queues[target]
    return effects + dispatch_waiting(state)


def _expire(state: NodeState, target: str, queue: admission_queue.AdmissionQueue) -> Effects:
    token_s = 0.0
    if state.admission_on:
        token_s = service_time(state, target, target in state.catalogue.services, 1)
    effects: Effects = []
    for queued in queue.infeasible(state.now, token_s):
        request = state.requests[queued.request_id]
        queue.remove(queued.request_id)
        placed: Effects = []
        if slot_requests.is_unanswered(state, request):
            placed = _place_unanswered(state, request)
        effects += placed or end_waiting(state, request)
    return effects


def _place_unanswered(state: NodeState, request: RequestState) -> Effects:
    """Place an overdue request whose service's owner has not answered; no effects without room.

    A node that stood still finds it overdue at once, without having placed it in time.
    """
    fault = find_fault(state, request)
    if fault is not None:
        return refuse_quarantined(state, request, fault)
    endpoint = choose_endpoint(state, request)
    return send(state, request, endpoint) if endpoint is not None else []


def end_waiting(state: NodeState, request: RequestState) -> Effects:
    """Refuse a queued request that was not sent within its time, or would not be.

    It waits on where its caller has no further try and its model is being loaded.
    """
    awaited = request.awaits_load
    longer_s = last_tries.extend_wait_s(state, request)
    if longer_s > 0.0:
        _queue_longer(state, request, longer_s)
        return [] if awaited else last_tries.announce_wait(state, request)
    status = 502 if request.sent else 503
    if request.arrived.route is not None:
        reason, text = routed.explain_refusal(state, request.arrived)
        text += missing_models.end_refused(state, request)
        if reason == "absent" and not request.arrived.adapter:
            text += f"; {missing_models.describe_absence(state, request.arrived)}"
        routed.meter_missed_demand(state, request.arrived, reason)
        return fail_request(
            state, request, status, reason, text, retry_after.predict_retry_after_s(state, request)
        )
    text = "cannot be served before its deadline any more"
    return fail_request(state, request, status, "late", text, 1.0)


def _queue_longer(state: NodeState, request: RequestState, seconds: float) -> None:
    arrived = request.arrived
    pool = state.pools.setdefault(pool_of(state, arrived), admission_queue.ThroughputMeter())
    queue = state.queues.setdefault(queue_key(arrived), admission_queue.AdmissionQueue(pool))
    placed = routed.make_queue_entry(state, arrived, arrived.at)
    until = min(arrived.deadline_at, state.now + seconds)
    queue.push(placed._replace(deadline_at=until))


def queue_lengths(state: NodeState) -> t.Mapping[str, int]:
    """Return the length of each queue by name."""
    return {target: len(queue) for target, queue in state.queues.items()}
