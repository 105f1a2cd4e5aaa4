"""Orders to endpoints of the catalogue: fencing, sending, resending and planning them.

Used only by the lease holder; see ``docs/design/fencing.md``.
"""

from . import defaults
from .control import ControlState
from .effects import Effect
from .effects import SendOrder
from .effects import WriteIntent
from .events import IntentsSeen
from .events import IntentWritten
from .events import OrderAnswered
from .memory import LateOrder
from .memory import Ledger
from .memory import PendingOrder
from .memory import Weights
from .placement import Move
from .placement import PlanInput
from .placement import RunnerSnapshot
from .placement import find_placement
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


def sizes_of(state: NodeState) -> dict[Weights, float]:
    """Return the memory of all declared models and adapters, in gigabytes."""
    sizes = {(name, spec.version): spec.memory_gb for name, spec in state.catalogue.models.items()}
    for name, adapter in state.catalogue.adapters.items():
        sizes[(f"adapter/{name}", "")] = adapter.memory_gb
    return sizes


def fence_endpoints(state: NodeState) -> Effects:
    """Seal endpoints that check orders, and claim the intents of those that do not."""
    effects: Effects = []
    control = state.control
    for ledger in control.ledgers.values():
        view = state.endpoints.get(ledger.endpoint)
        if view is None or view.gone or not ledger.usable or ledger.pending is not None:
            continue
        if ledger.checks_orders and not ledger.sealed:
            effects.append(_send(state, ledger, "seal", ("", ""), 0.0))
        elif ledger.checks_orders or not control.intents_known:
            continue
        elif not ledger.claimed or (ledger.recorded and not ledger.late_orders):
            effects.append(_claim(state, ledger))
    return effects


def _next_token(control: ControlState) -> tuple[int, int]:
    control.sequence += 1
    return (control.acting_epoch, control.sequence)


def _send(state: NodeState, ledger: Ledger, action: str, key: Weights, gb: float) -> SendOrder:
    token = _next_token(state.control)
    ledger.pending = PendingOrder(token, action, key, gb, state.now)
    address = state.endpoints[ledger.endpoint].address
    return SendOrder(ledger.endpoint, address, token, action, key[0], key[1], gb)


def _claim(state: NodeState, ledger: Ledger) -> WriteIntent:
    """Record the orders that may still arrive; this also makes other holders' writes fail."""
    token = _next_token(state.control)
    ledger.pending = PendingOrder(token, "claim", ("", ""), 0.0, state.now)
    rows = ledger.intent_rows()
    ledger.recorded = bool(rows)
    return WriteIntent(ledger.endpoint, token[0], token[1], rows)


@handles(IntentsSeen)
def inherit_intents(state: NodeState, event: IntentsSeen) -> Effects:
    """Count the intents of earlier holders as orders that may still arrive."""
    state.control.intents_known = True
    state.control.inherited_intents = dict(event.intents)
    for ledger in state.control.ledgers.values():
        inherit_late_orders(state, ledger)
    return []


def inherit_late_orders(state: NodeState, ledger: Ledger) -> None:
    """Add the orders that earlier holders recorded for one endpoint to its ledger."""
    for action, model, version, gb in state.control.inherited_intents.get(ledger.endpoint, ()):
        until = state.now + defaults.LATE_ORDER_BOUND_S
        ledger.late_orders.append(LateOrder(action, (model, version), gb, until))


@handles(IntentWritten)
def note_intent(state: NodeState, event: IntentWritten) -> Effects:
    """Send the order whose intent was written, or complete a claim."""
    ledger = state.control.ledgers.get(event.endpoint)
    order = ledger.pending if ledger else None
    if ledger is None or order is None or order.sequence != event.sequence:
        return []
    if not event.won:
        # Another holder wrote there, or the outcome is unknown: claim again before any order.
        ledger.claimed = False
        ledger.pending = None
        return []
    if order.action == "claim":
        ledger.claim(event.at)
        return []
    if not state.control.holding(state.now):
        ledger.pending = None
        return []
    order.sent_at = state.now
    address = state.endpoints[ledger.endpoint].address
    return [
        SendOrder(
            ledger.endpoint,
            address,
            order.token,
            order.action,
            order.key[0],
            order.key[1],
            order.gb,
        )
    ]


def note_order(state: NodeState, event: OrderAnswered) -> Effects:
    """Apply an endpoint's answer to an order."""
    ledger = state.control.ledgers.get(event.endpoint)
    if ledger is None or ledger.pending is None or ledger.pending.token != event.token:
        return []
    order = ledger.pending
    if event.accepted and order.action == "seal":
        ledger.seal(order.token)
        return []
    if event.accepted is False:
        state.record(event.endpoint, f"order {order.action} refused", event.reason)
        if event.reason == "stale" and ledger.checks_orders:
            # It has seen a newer epoch; only a new seal shows whether this one is outdated.
            ledger.sealed = False
    ledger.answer(event.token, event.accepted, state.now)
    return []


def resend_orders(state: NodeState) -> Effects:
    """Resend unanswered orders with the same token.

    An endpoint that does not check orders gets none twice: there the order is given up.
    """
    effects: Effects = []
    for ledger in state.control.ledgers.values():
        order = ledger.pending
        if order is None or order.action == "claim":
            if order is not None and state.now - order.sent_at > 2 * defaults.ORDER_RESEND_S:
                ledger.pending = None
            continue
        if order.accepted or state.now - order.sent_at < defaults.ORDER_RESEND_S:
            continue
        view = state.endpoints.get(ledger.endpoint)
        if view is None or view.gone:
            continue
        if not ledger.checks_orders:
            ledger.give_up_order(state.now)
            continue
        order.sent_at = state.now
        key = order.key
        effects.append(
            SendOrder(
                ledger.endpoint, view.address, order.token, order.action, key[0], key[1], order.gb
            )
        )
    return effects


def plan_moves(state: NodeState) -> Effects:
    """Run the placement policy and order those of its moves that are allowed now."""
    control = state.control
    policy = state.catalogue.policy
    control.store_limiter.refill(state.now, policy.loads_per_s)
    # The cost of a plan grows with the runners; fewer plans keep its share of a core constant.
    interval_s = max(defaults.PLAN_INTERVAL_S, len(control.ledgers) / defaults.PLANNED_PER_S)
    if state.now - control.planned_at < interval_s:
        return []
    control.planned_at = state.now
    if state.now - control.acquired_at < defaults.REPORTS_WAIT_S:
        return []
    plan_input = PlanInput(
        state.catalogue.models, _snapshot_runners(state), dict(control.forecast.levels), policy
    )
    planner = find_placement(control.placement_override or policy.placement)
    effects: Effects = []
    for move in planner(plan_input):
        effects += _order_move(state, move)
    return effects


def _snapshot_runners(state: NodeState) -> tuple[RunnerSnapshot, ...]:
    snapshots: list[RunnerSnapshot] = []
    for ledger in state.control.ledgers.values():
        view = state.endpoints.get(ledger.endpoint)
        if view is None or view.gone or view.leaving or view.report is None or not ledger.usable:
            continue
        loading = (set(ledger.held) - ledger.resident) | ledger.keys_of("load")
        busy = not ledger.ready()
        snapshots.append(
            RunnerSnapshot(
                name=ledger.endpoint,
                data_centre=view.data_centre,
                engine=view.service,
                free_gb=ledger.free(),
                token_rate=view.report.token_rate,
                resident=frozenset(ledger.staying()),
                loading=frozenset(loading),
                busy=busy,
                barred=frozenset(ledger.late_unloads()),
            )
        )
    return tuple(sorted(snapshots))


def loading_now(state: NodeState) -> int:
    """Count the loads that run or are ordered, for the limit on concurrent loads."""
    count = 0
    for ledger in state.control.ledgers.values():
        view = state.endpoints.get(ledger.endpoint)
        loading = set(view.report.loading) if view and view.report else set()
        count += len(loading | ledger.keys_of("load"))
    return count


def _order_move(state: NodeState, move: Move) -> Effects:
    control = state.control
    ledger = control.ledgers[move.endpoint]
    if not ledger.ready():
        return []
    if move.action == "load":
        if ledger.free() < move.gb:
            return []
        if (
            loading_now(state) >= state.catalogue.policy.loads_at_once
            or not control.store_limiter.take()
        ):
            return []
        control.loads += 1
    elif not _other_resident(state, move.key, move.endpoint):
        return []
    control.moves += 1
    state.record(move.endpoint, f"{move.action} {move.key[0]}@{move.key[1]}", move.why)
    return [_issue(state, ledger, move.action, move.key, move.gb)]


def _issue(state: NodeState, ledger: Ledger, action: str, key: Weights, gb: float) -> Effect:
    order = _send(state, ledger, action, key, gb)
    if ledger.checks_orders:
        return order
    ledger.recorded = True
    return WriteIntent(ledger.endpoint, order.token[0], order.token[1], ledger.intent_rows())


def _other_resident(state: NodeState, key: Weights, endpoint: str) -> bool:
    """Return whether a model stays reachable without its replica on one endpoint."""
    if key[0] not in state.catalogue.models:
        return True
    others = model_hosts(state, key[0]) - {endpoint}
    # A replica that was not reported just now may be gone already.
    return any(
        state.now - state.endpoints[other].reported_at <= defaults.CONFIRMED_S for other in others
    )


def model_hosts(state: NodeState, model: str) -> set[str]:
    """Return the endpoints where a model is resident and not about to be unloaded."""
    hosts: set[str] = set()
    for ledger in state.control.ledgers.values():
        view = state.endpoints.get(ledger.endpoint)
        if view is None or view.gone or view.leaving:
            continue
        if any(key[0] == model for key in ledger.staying()):
            hosts.add(ledger.endpoint)
    return hosts


def _has_weights(ledger: Ledger, key: Weights) -> bool:
    return key in ledger.held or key in ledger.keys_of("attach")


def attach_adapters(state: NodeState) -> Effects:
    """Attach each adapter to up to two runners of its model, those with the fewest adapters."""
    effects: Effects = []
    ledgers = state.control.ledgers
    hosts_of: dict[str, set[str]] = {}
    incomplete: list[tuple[str, float, set[str]]] = []
    for name, spec in state.catalogue.adapters.items():
        if spec.model not in hosts_of:
            hosts_of[spec.model] = model_hosts(state, spec.model)
        hosts = hosts_of[spec.model]
        key = (f"adapter/{name}", "")
        lacking = {host for host in hosts if not _has_weights(ledgers[host], key)}
        if len(hosts) - len(lacking) < min(2, len(hosts)):
            incomplete.append((name, spec.memory_gb, lacking))
    if not incomplete:
        return effects
    counts = {
        name: sum(1 for key in ledger.held if key[0].startswith("adapter/"))
        for name, ledger in ledgers.items()
    }
    for name, gb, lacking in incomplete:
        for host in sorted(lacking, key=lambda one: (counts[one], one)):
            ledger = ledgers[host]
            if ledger.ready() and ledger.free() >= gb:
                effects.append(_issue(state, ledger, "attach", (f"adapter/{name}", ""), gb))
                counts[host] += 1
                break
    return effects
