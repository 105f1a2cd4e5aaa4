"""Requests that a route passes through as they are: their bounds, order and retries.

They live the same life as the product's own requests, in :mod:`requests`; this
module holds what a route decides in place of the catalogue.
"""

import math

from . import admission
from . import defaults
from .effects import Effect
from .effects import Refuse
from .effects import SharePrompts
from .endpoints import EndpointView
from .events import AttemptFailed
from .events import RequestArrived
from .retries import RetryWindow
from .rooms import load_time_s
from .routes import ModelSize
from .state import NodeState
from .state import RequestState

POLICY = "even-load"


def check(state: NodeState, event: RequestArrived) -> Refuse | None:
    """Refuse what this node cannot begin; None where it may go on."""
    if state.stopped:
        text = "this node has stopped; ask for addresses"
        return Refuse(event.request_id, 503, "stopping", "not_run", text, defaults.COME_BACK_S)
    since = state.draining_since
    if since is not None and event.at - since > state.drain_serve_s:
        # It could not be whole before the process ends.
        text = "this node is leaving; ask for addresses"
        return Refuse(event.request_id, 503, "leaving", "not_run", text, defaults.COME_BACK_S)
    return None


def place(
    state: NodeState, arrived: RequestArrived, now: float, slot_asked: bool = False
) -> admission.Queued:
    """Give a request's place in its queue: by rank and arrival, for as long as it may wait.

    :param slot_asked: its service's owner decides how long it waits.
    """
    assert arrived.route is not None
    rank = arrived.route.rank
    order = arrived.at + rank * defaults.RANK_HEADSTART_S
    patience_s = arrived.route.patience_s
    if not arrived.service and not stands(state, arrived):
        patience_s = _wait_for_model_s(state, arrived)
    if slot_asked:
        patience_s = arrived.route.objective_s
    until = min(arrived.deadline_at, now + patience_s)
    return admission.Queued(order, arrived.at, arrived.request_id, 0, rank, until)


def meter(state: NodeState, arrived: RequestArrived, work: float) -> None:
    """Count what a request asks of its adapter, and of its model if it can't be waited for.

    :param work: in tokens of the slowest model.
    """
    assert arrived.route is not None
    if arrived.adapter:
        state.control.meter.add(arrived.adapter, work)
    size = _model_size(state, arrived.route.service, arrived.target)
    if size is None:
        return
    ready_s = defaults.SWAP_S + (size.disk_s or size.load_s)
    if ready_s > arrived.route.objective_s * defaults.READY_SHARE:
        state.control.urgent.meter.add(arrived.target, work)


def note_missed(state: NodeState, arrived: RequestArrived, reason: str) -> None:
    """Count what was refused for want of room, or of a place, where its model stands.

    Adapters that find no place call for a second replica as tokens do.

    :param reason: as :func:`lacking` gives it.
    """
    no_place = reason == "absent" and bool(arrived.adapter) and stands(state, arrived)
    lacks_room = reason in ("no_room", "no_turn", "resting")
    if (lacks_room or no_place) and not arrived.service:
        work = arrived.tokens * state.paces.relative(arrived.target)
        state.control.missed.meter.add(arrived.target, work)


def _model_size(state: NodeState, service: str, model: str) -> ModelSize | None:
    size = state.table.services.get(service) if state.table else None
    if size is None or size.engine is None:
        return None
    return size.engine.models.get(model)


def _wait_for_model_s(state: NodeState, arrived: RequestArrived) -> float:
    """Give how long a request waits for a model that is on no endpoint, in seconds.

    It waits if the model can be there in time for the route's objective. Else it is
    refused at once, and told when the model can be there.
    """
    terms = arrived.route
    assert terms is not None
    wait_s = ready_in_s(state, terms.service, arrived.target) * defaults.READY_MARGIN
    in_time = wait_s <= terms.objective_s * defaults.READY_SHARE
    return max(terms.patience_s, wait_s) if in_time else 0.0


def ready_in_s(state: NodeState, service: str, model: str) -> float:
    """Predict how soon a model that is on no endpoint can be there, in seconds."""
    coming = [
        in_s
        for view in state.endpoints.values()
        if view.service == service and (in_s := view.brings(model, state.now)) is not None
    ]
    if coming:
        return min(coming) + defaults.COMING_TOLD_S
    size = _model_size(state, service, model)
    if size is None:
        return math.inf
    times = [
        load_time_s(size, view.report)
        for view in state.endpoints.values()
        if view.service == service and view.report is not None and view.open_for_work(state.now)
    ]
    return defaults.SWAP_S + min(times, default=math.inf)


def window(state: NodeState, service: str) -> RetryWindow:
    """Give the resend window of a service at this node.

    Its part of the slack is for as many nodes as were ever seen, and some that may
    join, since those that are out of sight now may be spending theirs.
    """
    nodes = math.ceil(state.membership.most_nodes * defaults.JOINING_SHARE)
    terms = state.window_terms._replace(nodes=max(state.window_terms.nodes, nodes))
    found = state.windows.setdefault(service, RetryWindow(terms))
    found.terms = terms
    return found


def choose_among(state: NodeState, request: RequestState) -> list[EndpointView]:
    """List the endpoints that may get a request now.

    Long prompts that an endpoint reads at once make pauses in all its streams, so one
    with much unread gets no more. Where every endpoint that holds the model is ejected, those
    are better than none; those that leave or want rest are not.
    """
    arrived = request.arrived
    assert arrived.route is not None
    holding = [
        one
        for one in state.hosts.get(arrived.target, {}).values()
        if one.service == arrived.route.service and one.serves(arrived.target, arrived.service)
    ]
    if arrived.adapter:
        holding = [one for one in holding if one.has_adapter(arrived.adapter)]
    staying = [one for one in holding if _stays(state, one) and not _spared(state, one)]
    ready = [one for one in staying if one.open_for_work(state.now)] or staying
    kept = {one.name: _kept_slots(state, one, arrived) for one in ready}
    ready = [one for one in ready if one.load(state.now) < 1.0 - kept[one.name] / one.slots()]
    if any(one.rate is not None for one in ready):
        ready = _with_turns(state, request, ready)
    if arrived.service:
        return ready
    work = _prompt_work(state, arrived)
    return [one for one in ready if _takes(one, work, kept[one.name] > 0)]


def _kept_slots(state: NodeState, endpoint: EndpointView, arrived: RequestArrived) -> int:
    """Give how many of an endpoint's slots a request is to leave free.

    An adapter that was attached for callers who wait is of no use where all slots go to those
    of others, which ask more often; so each that has just come has a slot kept for it.
    """
    first = endpoint.first_calls(state.now)
    if not first or arrived.adapter in first:
        return 0
    return min(len(first), int(endpoint.slots() * defaults.FIRST_CALL_SHARE))


def _stays(state: NodeState, endpoint: EndpointView) -> bool:
    """Say whether an endpoint may take requests yet; ejected ones may if there is no other.

    What crashed takes none: each try there would be spent on a refused connection.
    """
    return not endpoint.leaving and not endpoint.gone and endpoint.listens(state.now)


def _spared(state: NodeState, endpoint: EndpointView) -> bool:
    """Say whether an endpoint is to get nothing now, as it asked for rest.

    What turns requests away at once looks emptier than its neighbours, and would draw them all.
    """
    return endpoint.rests(state.now) or endpoint.returns(state.now)


def _with_turns(
    state: NodeState, request: RequestState, ready: list[EndpointView]
) -> list[EndpointView]:
    """Leave out endpoints that name a rate, and are not to be asked for a turn now.

    Of a plain service they are reached by its owner alone, which counts what it gives. Where others
    hold the model too, a node stays away for as long as the owner told it.
    """
    if request.arrived.service:
        return [one for one in ready if one.rate is None]
    if all_rated(state, request.arrived):
        return [one for one in ready if one.rate is None or one.name not in request.turns_due]
    return [one for one in ready if one.rate is None or one.turn_at <= state.now]


def _rated_hosts(state: NodeState, arrived: RequestArrived) -> list[EndpointView]:
    """List the endpoints that may serve a request, where all of them name a rate; else none."""
    assert arrived.route is not None
    staying = [
        one
        for one in state.hosts.get(arrived.target, {}).values()
        if one.service == arrived.route.service and _stays(state, one)
    ]
    if arrived.adapter:
        staying = [one for one in staying if one.has_adapter(arrived.adapter)]
    return [] if any(one.rate is None for one in staying) else staying


def all_rated(state: NodeState, arrived: RequestArrived) -> bool:
    """Say whether all endpoints that may serve a request name a rate."""
    return bool(_rated_hosts(state, arrived))


def turnless(state: NodeState, request: RequestState) -> bool:
    """Say whether no endpoint that may serve a request has a turn for it in time."""
    hosts = _rated_hosts(state, request.arrived)
    return bool(hosts) and all(one.name in request.turns_due for one in hosts)


def rest_left_s(state: NodeState, arrived: RequestArrived) -> float:
    """Give how long all endpoints that hold a request's model rest yet, in seconds.

    0 where one of them does not, or none holds it.
    """
    assert arrived.route is not None
    ends = [
        one.rest_until
        for one in state.hosts.get(arrived.target, {}).values()
        if one.service == arrived.route.service and not one.leaving and not one.gone
    ]
    return max(0.0, min(ends) - state.now) if ends else 0.0


def stands(state: NodeState, arrived: RequestArrived) -> bool:
    """Say whether a request's model is on an endpoint that stays."""
    assert arrived.route is not None
    return any(
        one.service == arrived.route.service and _stays(state, one)
        for one in state.hosts.get(arrived.target, {}).values()
    )


def _prompt_work(state: NodeState, arrived: RequestArrived) -> int:
    """Give a prompt's size as the slowest model's tokens that take as long to read."""
    return round(arrived.prompt_tokens * state.paces.relative(arrived.target))


def _takes(endpoint: EndpointView, tokens: int, others_first: bool) -> bool:
    """Say whether an endpoint may be given another prompt to read.

    :param others_first: a part is kept for requests that have the first call.
    """
    unread = endpoint.unread()
    most = defaults.UNREAD_TOKENS_MAX - (defaults.FIRST_CALL_TOKENS if others_first else 0)
    return unread == 0 or unread + tokens <= most


def begin_prompt(state: NodeState, request: RequestState, endpoint: EndpointView) -> list[Effect]:
    """Count a prompt as unread there, and tell the other nodes."""
    arrived = request.arrived
    if arrived.route is None or arrived.service:
        return []
    endpoint.prompts[arrived.request_id] = _prompt_work(state, arrived)
    return [SharePrompts(endpoint.name, endpoint.own_prompts())]


def end_prompt(state: NodeState, request: RequestState) -> list[Effect]:
    """A prompt was read, or will not be; tell the other nodes once."""
    endpoint = state.endpoints.get(request.endpoint)
    if endpoint is None or endpoint.prompts.pop(request.arrived.request_id, None) is None:
        return []
    return [SharePrompts(endpoint.name, endpoint.own_prompts())]


def count(state: NodeState, request: RequestState) -> None:
    """Count a first send, which earns a part of a resend."""
    terms = request.arrived.route
    if terms is not None and request.sends == 0 and request.attempt == 1:
        window(state, terms.service).earn(state.now)


def may_retry(state: NodeState, request: RequestState, event: AttemptFailed) -> bool:
    """Say whether another endpoint may be asked.

    An attempt of which no byte left is free. Anything else counts towards the
    route's bound and the service's window, also where the endpoint refused it.
    """
    arrived = request.arrived
    terms = arrived.route
    assert terms is not None
    if arrived.deadline_at <= state.now:
        return False
    if not event.sent:
        return request.attempt <= defaults.UNSENT_TRIES_MAX and _clean(request)
    request.sends += 1
    if not arrived.repeatable and not event.said_not_run:
        return False
    if request.sends >= terms.attempts:
        return False
    return window(state, terms.service).spend(state.now)


def _clean(request: RequestState) -> bool:
    """Say whether the request may go out again after an attempt that sent nothing."""
    return request.arrived.repeatable or request.sends == 0 or request.not_run_said


def lacking(state: NodeState, arrived: RequestArrived) -> tuple[str, str]:
    """Say what a request waited for in vain, as a reason and a text for the log."""
    assert arrived.route is not None
    service = arrived.route.service
    views = [one for one in state.endpoints.values() if one.service == service]
    hosts = [one for one in views if one.serves(arrived.target, arrived.service)]
    if not hosts:
        return "absent", f"{arrived.target} is on none of {len(views)} endpoints of {service}"
    held = [one for one in hosts if not arrived.adapter or one.has_adapter(arrived.adapter)]
    if not held:
        return "absent", f"{arrived.adapter} is on none of {len(hosts)} endpoints with its model"
    if rest_left_s(state, arrived) > 0.0:
        return "resting", f"all {len(hosts)} endpoints that hold it asked for rest"
    if all_rated(state, arrived):
        rate = sum(one.rate or 0.0 for one in hosts)
        return "no_turn", f"all {len(hosts)} endpoints that hold it take {rate:g} requests a second"
    ready = [one for one in held if one.open_for_work(state.now)]
    if not ready:
        return "none_open", f"none of {len(held)} endpoints that hold it takes work"
    least = min(ready, key=lambda one: one.load(state.now))
    text = f"the least loaded of {len(ready)} endpoints is at {least.load(state.now):.2f}"
    if not arrived.service:
        text += f", {least.unread()} tokens to read, {arrived.prompt_tokens} more"
    return "no_room", text
