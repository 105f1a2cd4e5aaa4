"""Attaching of adapters on demand, for requests that wait for them.

A node sends the lease holder a load request when a request needs a model or adapter that no
endpoint holds. An endpoint has few adapter slots and carries out one order at a time, so both
are given out as follows:

- Load requests are served in the order in which they began, so that none starves.
- An adapter that was attached for a load request is protected until its callers can have retried
  and their use was reported; otherwise most are evicted before any request uses them.
- Nothing is unloaded while it may be in use: an unload waits for running requests, for many
  seconds, and blocks all other orders there. So an adapter is withdrawn from new requests
  first. Once all nodes know of that and none uses it, it is on standby: it can be unloaded
  at once for the next load request, and be reinstated without an order if it is requested itself.

A model that is in use is withdrawn and unloaded likewise, with its adapters.
"""

from . import defaults
from .accounts import Attachment
from .accounts import EndpointAccount
from .accounts import LoadRequestKey
from .accounts import PendingLoadRequest
from .accounts import report_without
from .accounts import split_name
from .accounts import unanswered_mb
from .accounts import unanswered_slots
from .accounts import used_mb
from .accounts import withdrawn_mb
from .effects import AdapterLeft
from .effects import Effect
from .effects import LoadRequestDeclined
from .effects import LoadRequestEnded
from .endpoints import EndpointView
from .orders import accepts_orders
from .orders import adapters_at
from .orders import apply_and_share_report
from .orders import engine_of
from .orders import give_order
from .orders import handover_gap_passed
from .state import NodeState

Effects = list[Effect]


def serve_load_requests(state: NodeState) -> Effects:
    """Order the adapters that requests wait for; models are left to the planner."""
    if not handover_gap_passed(state):
        return []
    effects = _update_load_requests(state)
    load_requests = state.residency.load_requests
    under_way = _list_under_way(state)
    waiting = [key for key, pending in load_requests.items() if key[2] and not pending.given_up]
    for key in sorted(waiting, key=lambda one: (load_requests[one].first_at, one)):
        if key[2] not in under_way:
            effects += _serve(state, key)
    return effects + _keep_standby(state)


def _update_load_requests(state: NodeState) -> Effects:
    """End the load requests that are served, and give up those that no caller waits for now.

    One that was given up is remembered for a while, so that it keeps its place in the
    queue if it is requested again: callers come and go while it waits.
    """
    effects: Effects = []
    for key, pending in list(state.residency.load_requests.items()):
        adapter = key[2]
        quiet_s = state.now - pending.asked_at
        active = pending.is_active(state.now)
        if adapter and any(one.has_adapter(adapter) for one in _open_hosts(state, key)):
            effects += _end_load_request(state, key, "attached")
        elif quiet_s > defaults.LOAD_REQUEST_KEPT_S or (not adapter and not active):
            del state.residency.load_requests[key]
        elif not active and not pending.given_up:
            effects += _end_load_request(state, key, "given up")
            state.residency.load_requests[key] = pending._replace(given_up=True)
    return effects


def _hosts(state: NodeState, key: LoadRequestKey) -> list[EndpointView]:
    service, model, _ = key
    return [one for one in state.hosts.get(model, {}).values() if one.service == service]


def _open_hosts(state: NodeState, key: LoadRequestKey) -> list[EndpointView]:
    return [one for one in _hosts(state, key) if one.accepts_work(state.now)]


def _end_load_request(state: NodeState, key: LoadRequestKey, outcome: str) -> Effects:
    pending = state.residency.load_requests.pop(key)
    return [LoadRequestEnded(key[2], outcome, state.now - pending.first_at, pending.times)]


def _serve(state: NodeState, key: LoadRequestKey) -> Effects:
    """Give the order for one load request, or log the reason why none is given, once."""
    _, model, adapter = key
    hosts = _open_hosts(state, key)
    ready = [one for one in hosts if accepts_orders(state, one)]
    pending = state.residency.load_requests[key]
    effects = _reinstate(state, hosts, key, pending) or _attach(state, ready, key, pending)
    why = "" if effects else _decline_reason(state, hosts, ready)
    if why == pending.declined:
        return effects
    state.residency.load_requests[key] = pending._replace(declined=why)
    return [*effects, LoadRequestDeclined(adapter, why)] if why else effects


def _decline_reason(state: NodeState, hosts: list[EndpointView], ready: list[EndpointView]) -> str:
    """Return the reason why nothing can be ordered for an adapter now."""
    if not hosts:
        return "its model is on no endpoint"
    if ready:
        return "no adapter slot can be freed"
    busy = []
    for view in hosts:
        account = state.residency.accounts.get(view.name)
        order = account.order if account else None
        if order is not None:
            busy.append(f"{view.name}: {order.action} {order.adapter or order.model} is under way")
    return "; ".join(busy) or "no endpoint of its model can be given orders"


def _list_under_way(state: NodeState) -> set[str]:
    """Return the adapters for which a load is under way at some endpoint."""
    orders = (account.order for account in state.residency.accounts.values())
    return {one.adapter for one in orders if one is not None and one.action == "load"}


def mark_used_adapters(state: NodeState) -> None:
    """Mark the attached adapters that requests use, about as often as nodes report their use."""
    residency = state.residency
    if state.now - residency.used_noted_at < defaults.USE_SCAN_INTERVAL_S:
        return
    residency.used_noted_at = state.now
    for rows in (used_rows(state), *state.control.peer_used.values()):
        for name, adapter in rows:
            account = residency.accounts.get(name)
            attachment = account.attachments.get(adapter) if account is not None else None
            if account is not None and attachment is not None and not attachment.used:
                account.attachments[adapter] = attachment._replace(used=True)


def _attach(
    state: NodeState, hosts: list[EndpointView], key: LoadRequestKey, pending: PendingLoadRequest
) -> Effects:
    """Load an adapter where the fewest are attached, or free a slot there if all are taken.

    Adapters and load count for less at a fast endpoint; of equal ones the fastest is taken.
    """
    if not hosts:
        return []
    _, model, adapter = key
    engine = engine_of(state, hosts[0])
    most = engine.adapters_max if engine is not None else 0

    def rank(one: EndpointView) -> tuple[bool, float, float, float, str]:
        attached = len(adapters_at(one))
        load = one.load(state.now) / one.speed
        return attached >= most, attached / one.speed, load, -one.speed, one.name

    view = min(hosts, key=rank)
    if engine is None or view.report is None or model not in engine.models:
        return []
    account = state.residency.accounts[view.name]
    size = engine.models[model]
    used = used_mb(engine, view.report) + unanswered_mb(engine, account, state.now, adapter)
    used += withdrawn_mb(engine, account)
    slots_taken = _count_slots(state, view, account, adapter)
    if used + size.adapter_mb <= engine.memory_mb and slots_taken < engine.adapters_max:
        order = give_order(state, view, "load", model, adapter)
        assert account.order is not None
        account.order = account.order._replace(
            callers_back_by=pending.callers_back_by, requested_at=pending.first_at
        )
        return [order]
    return _free_slot(state, view, account)


def _count_slots(
    state: NodeState, view: EndpointView, account: EndpointAccount, except_name: str = ""
) -> int:
    """Count the adapter slots that are taken, or may be by unanswered loads of other adapters."""
    unanswered = unanswered_slots(account, state.now, except_name)
    return len(adapters_at(view)) + unanswered + len(account.withdrawn_adapters())


def _free_slot(state: NodeState, view: EndpointView, account: EndpointAccount) -> Effects:
    """Unload an adapter on standby, or withdraw one more: at most as many as load requests wait.

    Withdrawn adapters that are still in use don't count against that limit for idle ones;
    otherwise a few of them would block all adapter slots of an endpoint.
    """
    in_use = list_used(state)
    idle = [one for one in account.adapters_withdrawn_alone() if (view.name, one) not in in_use]
    for adapter in sorted(idle, key=lambda one: account.withdrawn[one]):
        if state.now - account.withdrawn[adapter] >= defaults.WITHDRAWN_PROPAGATION_S:
            left = _end_attachment(state, view, account, adapter)
            return [*left, give_order(state, view, "unload", *split_name(adapter))]
    waiting = sum(
        1
        for key, pending in state.residency.load_requests.items()
        if key[2] and not pending.given_up
    )
    ranked = _list_least_missed(state, view, account, in_use)
    if not ranked or len(idle) >= waiting:
        return []
    if (view.name, ranked[0]) in in_use:
        if len(account.adapters_withdrawn_alone()) >= min(defaults.WITHDRAWN_MAX, waiting):
            return []
        state.record(view.name, f"withdraw {ranked[0]}", "all adapter slots are in use")
    return [_withdraw_adapter(state, view, account, ranked[0])]


def _list_least_missed(
    state: NodeState, view: EndpointView, account: EndpointAccount, in_use: set[tuple[str, str]]
) -> list[str]:
    """List the adapters that may be withdrawn: idle ones first, then by demand, lowest first."""
    levels = state.control.forecast.levels
    free = [one for one in adapters_at(view) if not account.protects(one, state.now)]
    return sorted(free, key=lambda one: ((view.name, one) in in_use, levels.get(one, 0.0), one))


def _withdraw_adapter(
    state: NodeState, view: EndpointView, account: EndpointAccount, adapter: str
) -> Effect:
    assert view.report is not None
    account.withdraw(adapter, state.now)
    return apply_and_share_report(
        state, view, report_without(view.report, split_name(adapter)[0], adapter)
    )


def _keep_standby(state: NodeState) -> Effects:
    """Put idle adapters on standby where all slots are taken and other adapters are requested.

    A load request is then served by two orders of about 30 ms each. Otherwise it would first wait
    until all nodes know of a withdrawal, which takes longer than its requests wait.
    """
    effects: Effects = []
    contended = {
        view.name: view
        for key, pending in state.residency.load_requests.items()
        if key[2] and state.now - pending.asked_at <= defaults.ADAPTER_PRESSURE_S
        for view in _open_hosts(state, key)
    }
    in_use = list_used(state) if contended else set()
    for name, view in contended.items():
        account = state.residency.accounts.get(name)
        engine = engine_of(state, view)
        if account is None or not account.trusted or engine is None or view.report is None:
            continue
        idle_going = [
            one for one in account.adapters_withdrawn_alone() if (name, one) not in in_use
        ]
        lacking = defaults.STANDBY_ADAPTERS - len(idle_going)
        if lacking <= 0 or _count_slots(state, view, account) < engine.adapters_max:
            continue
        ranked = _list_least_missed(state, view, account, in_use)
        idle = [one for one in ranked if (name, one) not in in_use]
        effects += [_withdraw_adapter(state, view, account, one) for one in idle[:lacking]]
    return effects


def _end_attachment(
    state: NodeState, view: EndpointView, account: EndpointAccount, adapter: str
) -> Effects:
    """End the attachment of an adapter that is to be unloaded, and report whether it was used.

    If no request used it, the callers that waited for it are still unserved. Its load request
    then keeps the time at which it began, so that it is not last in the queue when they retry.
    """
    attachment = account.attachments.pop(adapter, None)
    if attachment is None:
        return []
    if not attachment.used and attachment.requested_at < state.now:
        key = (view.service, split_name(adapter)[0], adapter)
        pending = state.residency.load_requests.get(key)
        pending = pending or PendingLoadRequest(
            attachment.requested_at, state.now, times=0, given_up=True
        )
        first_at = min(pending.first_at, attachment.requested_at)
        state.residency.load_requests[key] = pending._replace(first_at=first_at)
    return [AdapterLeft(view.name, adapter, state.now - attachment.since, attachment.used)]


def _reinstate(
    state: NodeState, hosts: list[EndpointView], key: LoadRequestKey, pending: PendingLoadRequest
) -> Effects:
    """Reinstate an adapter that was withdrawn but is not unloaded yet, if its slot is not due.

    That needs no order, so it is possible even while a model is being loaded there.
    """
    adapter = key[2]
    for view in hosts:
        account = state.residency.accounts.get(view.name)
        if (
            account is None
            or view.report is None
            or adapter not in account.adapters_withdrawn_alone()
        ):
            continue
        if account.order is not None and account.order.adapter == adapter:
            continue
        if _is_slot_due(state, view, account, key, pending):
            continue
        del account.withdrawn[adapter]
        protected_until = max(state.now, pending.callers_back_by) + defaults.KEEP_AFTER_RETRY_S
        attachment = account.attachments.get(
            adapter, Attachment(state.now, protected_until, requested_at=pending.first_at)
        )
        account.attachments[adapter] = attachment._replace(protected_until=protected_until)
        report = view.report._replace(adapters=(*view.report.adapters, adapter))
        return [apply_and_share_report(state, view, report)]
    return []


def _is_slot_due(
    state: NodeState,
    view: EndpointView,
    account: EndpointAccount,
    key: LoadRequestKey,
    pending: PendingLoadRequest,
) -> bool:
    """Return whether a withdrawn adapter's slot is for a load request that waited for too long.

    Adapters that are requested all the time would otherwise be reinstated whenever they are
    withdrawn, and no slot would become free. Too long is longer than refused callers are told to
    wait: they would be refused again. The first slot that becomes free is for such a request if it
    began earlier; an adapter that was not used since it was attached counts from the load request
    for which it was attached. Other slots are not for it, and none is while an order for a model
    blocks the endpoint.
    """
    engine = engine_of(state, view)
    if engine is None or (account.order is not None and not account.order.adapter):
        return False
    if _count_slots(state, view, account) < engine.adapters_max:
        return False
    before = min(pending.first_at, state.now - defaults.ADAPTER_WAIT_MOST_S)
    attachment = account.attachments.get(key[2])
    if attachment is not None and not attachment.used:
        before = min(before, attachment.requested_at)
    waits_too_long = any(
        adapter
        and model in view.resident
        and one.first_at < before
        and state.now - one.asked_at <= defaults.ADAPTER_PRESSURE_S
        for (_, model, adapter), one in state.residency.load_requests.items()
    )
    return waits_too_long and key[2] == _first_drained(state, view, account)


def _first_drained(state: NodeState, view: EndpointView, account: EndpointAccount) -> str:
    """Return the withdrawn adapter of an endpoint that can be unloaded first."""
    in_use = list_used(state)
    return min(
        account.adapters_withdrawn_alone(),
        key=lambda one: ((view.name, one) in in_use, account.withdrawn[one]),
    )


def unload_withdrawn(state: NodeState) -> Effects:
    """Order the unload of withdrawn models that no request uses any more."""
    effects: Effects = []
    accounts = {
        name: account
        for name, account in state.residency.accounts.items()
        if account.withdrawn_models()
    }
    in_use = list_used(state) if accounts else set()
    for name, account in accounts.items():
        view = state.endpoints.get(name)
        if view is None or not accepts_orders(state, view):
            continue
        for model in account.withdrawn_models():
            known_to_all = state.now - account.withdrawn[model] >= defaults.WITHDRAWN_PROPAGATION_S
            if known_to_all and (name, model) not in in_use:
                effects.append(give_order(state, view, "unload", model, ""))
                break
    return effects


def used_rows(state: NodeState) -> tuple[tuple[str, str], ...]:
    """Return the adapters and models that this node's requests use, each with its endpoint.

    A request that waits for room counts as a use of its adapter at each endpoint with it.
    """
    rows: set[tuple[str, str]] = set()
    for one in state.requests.values():
        arrived = one.arrived
        if arrived.service:
            continue
        if one.running:
            names = (arrived.adapter, arrived.target)
            rows.update((one.endpoint, name) for name in names if name)
        elif arrived.adapter:
            hosts = state.hosts.get(arrived.target, {}).values()
            rows.update(
                (view.name, arrived.adapter) for view in hosts if view.has_adapter(arrived.adapter)
            )
    return tuple(rows)


def list_used(state: NodeState) -> set[tuple[str, str]]:
    """Return the adapters and models that requests of any node use, as known from heartbeats."""
    in_use = set(used_rows(state))
    for rows in state.control.peer_used.values():
        in_use.update(rows)
    return in_use
