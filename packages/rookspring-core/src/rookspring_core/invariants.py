"""Promises that must hold after every event, asserted inside the program.

Cheap ones look at what the event touched and are always on; full ones walk the
whole state and are switched on by a setting, in tests and in soak runs.
"""

import typing as t

from .effects import Dispatch
from .effects import Effect
from .effects import Forget
from .effects import Refuse
from .effects import SendOrder
from .effects import Stop
from .events import AttemptFailed
from .events import AttemptStarted
from .events import EndpointSaid
from .exceptions import InvariantBroken

if t.TYPE_CHECKING:
    from .state import NodeState

Check = t.Callable[["NodeState", t.Any, list[Effect]], str]
CHEAP: dict[type[t.Any], dict[str, Check]] = {}
FULL: dict[str, Check] = {}


# How long a request that was decided before may take until its first byte leaves, in seconds:
# a connection takes one at most, and a node that stood still is excused. Endpoints bear 2 s.
SAID_ON_WAY_S = 1.0


def invariant(name: str, on: type[t.Any] | None = None) -> t.Callable[[Check], Check]:
    """Register a check; it gives a text when the promise is broken, else nothing.

    :param on: a type of effects or events; the check runs whenever such an effect is
        asked for, or after such an event. Without one it runs after every event, where full
        checks are on.
    """

    def register(function: Check) -> Check:
        if on is None:
            FULL[name] = function
        else:
            CHEAP.setdefault(on, {})[name] = function
        return function

    return register


def check(state: "NodeState", event: t.Any, effects: list[Effect]) -> None:
    """Run the checks.

    :raises InvariantBroken: at the first promise that does not hold.
    """
    _witness(state, event)
    for kind in {type(event), *(type(effect) for effect in effects)}:
        _run(CHEAP.get(kind, {}), state, event, effects)
    for effect in effects:
        if isinstance(effect, Forget):
            state.witness.discard(effect.request_id)
    if state.full_checks:
        _run(FULL, state, event, effects)


def _run(checks: dict[str, Check], state: "NodeState", event: t.Any, effects: list[Effect]) -> None:
    for name, function in checks.items():
        detail = function(state, event, effects)
        if detail:
            raise InvariantBroken(name, detail)


def _witness(state: "NodeState", event: t.Any) -> None:
    """Keep a record of its own of what may be with an endpoint, apart from the handlers'."""
    if isinstance(event, EndpointSaid):
        state.told.note(event)
    if isinstance(event, AttemptStarted):
        state.witness.add(event.request_id)
    elif isinstance(event, AttemptFailed) and (event.said_not_run or not event.sent):
        state.witness.discard(event.request_id)
    elif isinstance(event, AttemptFailed):
        state.witness.add(event.request_id)


@invariant("memory", on=SendOrder)
def check_memory(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """No endpoint's memory is promised beyond what it holds."""
    if state.relaying:
        return _check_relayed_memory(state, effects)
    for effect in effects:
        if isinstance(effect, SendOrder) and effect.action in ("load", "attach"):
            ledger = state.control.ledgers[effect.endpoint]
            if ledger.free() < -1e-6:
                return f"{effect.endpoint}: {-ledger.free():.3f} GB too much"
    return ""


def _check_relayed_memory(state: "NodeState", effects: list[Effect]) -> str:
    from .residency import promised_mb

    for effect in effects:
        if not isinstance(effect, SendOrder) or effect.action != "load":
            continue
        promised, held = promised_mb(state, effect)
        if promised > held + 1e-6:
            return f"{effect.endpoint}: {promised - held:.0f} MB too much"
    return ""


@invariant("memory-all")
def check_all_memory(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """The same for every endpoint, not only for those that get an order."""
    for ledger in state.control.ledgers.values():
        promised = any(order.action in ("load", "attach") for order in ledger.orders())
        if ledger.usable and promised and ledger.free() < -1e-6:
            return f"{ledger.endpoint}: {-ledger.free():.3f} GB too much"
    return ""


@invariant("lease", on=SendOrder)
def check_lease(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Only a holder with time to spare gives orders."""
    for effect in effects:
        if isinstance(effect, SendOrder) and not state.control.lease.holding(state.now):
            return f"order {effect.token} without the lease"
    return ""


@invariant("reachable", on=SendOrder)
def check_reachable(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """No order unloads the last resident replica of a declared model."""
    from .ordering import model_hosts

    for effect in effects:
        if not isinstance(effect, SendOrder) or effect.action != "unload":
            continue
        if effect.model in state.catalogue.models and not model_hosts(state, effect.model):
            return f"{effect.model} would be resident nowhere"
    return ""


@invariant("not-run", on=Refuse)
def check_not_run(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A request that may be with an endpoint is never told ``not_run``."""
    for effect in effects:
        if not isinstance(effect, Refuse) or effect.outcome != "not_run":
            continue
        if effect.request_id in state.witness:
            return f"{effect.request_id} was sent"
    return ""


@invariant("at-most-once", on=Dispatch)
def check_once(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """An unrepeatable request that may be with an endpoint is never sent again."""
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        request = state.requests[effect.request_id]
        if not request.arrived.repeatable and effect.request_id in state.witness:
            return f"{effect.request_id} would be sent twice"
    return ""


@invariant("suspects", on=Dispatch)
def check_suspects(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A request that is known here to end what runs it is sent nowhere."""
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        fingerprint = state.requests[effect.request_id].arrived.fingerprint
        if state.suspects.verdict(fingerprint, state.now) is not None:
            return f"{effect.request_id} would be sent, and ends endpoints"
    return ""


@invariant("leaving", on=Dispatch)
def check_leaving(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A leaving endpoint gets no new work."""
    for effect in effects:
        if isinstance(effect, Dispatch) and state.endpoints[effect.endpoint].leaving:
            return f"{effect.endpoint} is leaving"
    return ""


@invariant("said", on=Dispatch)
def check_said(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Nothing is sent to a life that said to this node that it leaves or wants rest."""
    for effect in effects:
        if isinstance(effect, Dispatch) and (fault := _find_said(state, effect.endpoint, 0.0)):
            return fault
    return ""


@invariant("request-rate", on=Dispatch)
def check_rates(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Nothing is sent to an endpoint that names a rate without a slot that counts towards it."""
    for effect in effects:
        if not isinstance(effect, Dispatch) or state.endpoints[effect.endpoint].rate is None:
            continue
        held = state.requests[effect.request_id].slot
        if held is None or held.endpoint != effect.endpoint or not held.rated:
            return f"{effect.request_id} would be sent to {effect.endpoint} without a turn"
    return ""


@invariant("said-late", on=AttemptStarted)
def check_said_late(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """What was decided before a life said that it leaves has left soon after."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return ""
    return _find_said(state, request.endpoint, SAID_ON_WAY_S)


def _find_said(state: "NodeState", endpoint: str, late_s: float) -> str:
    view = state.endpoints.get(endpoint)
    if view is None:
        return ""
    born = view.report.born if view.report is not None else view.born
    return state.told.find_fault(endpoint, born, state.now, late_s)


@invariant("uncut", on=Stop)
def check_uncut(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A planned stop ends only after the last request has."""
    if state.stopped and state.requests and not state.hurry:
        return f"{len(state.requests)} requests in flight at the stop"
    return ""


@invariant("inflight")
def check_inflight(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Every request in flight at an endpoint is one that this node knows."""
    for view in state.endpoints.values():
        lost = set(view.inflight) - set(state.requests)
        if lost:
            return f"{view.name} counts {sorted(lost)[0]}, which is over"
    return ""
