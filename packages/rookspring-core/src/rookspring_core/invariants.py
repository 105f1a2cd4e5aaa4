"""Invariants that are checked after every event.

Checks of a single event or effect are cheap and always on. Checks that scan the whole state are
enabled by a setting, in tests and in soak runs.
"""

import typing as t

from .effects import Dispatch
from .effects import Effect
from .effects import Forget
from .effects import HandOver
from .effects import Refuse
from .effects import SendOrder
from .effects import Stop
from .endpoints import UNKNOWN_VERSION
from .events import AttemptFailed
from .events import AttemptStarted
from .events import NoticeReceived
from .events import RunCopied
from .exceptions import InvariantBroken
from .suspects import subjects_of

if t.TYPE_CHECKING:
    from .state import NodeState

Check = t.Callable[["NodeState", t.Any, list[Effect]], str]
EVENT_CHECKS: dict[type[t.Any], dict[str, Check]] = {}
STATE_CHECKS: dict[str, Check] = {}


# How long after an endpoint's notice the first byte of a request that was dispatched before may
# still be sent, in seconds: a connection takes one at most, and a node that was suspended is
# exempt. Endpoints tolerate 2 s.
LATE_SEND_MAX_S = 1.0


def invariant(name: str, on: type[t.Any] | None = None) -> t.Callable[[Check], Check]:
    """Register a check, which returns a description of the violation, or an empty string.

    :param on: a type of effects or events; the check runs after an event of that type, or one that
        has such an effect. Without it the check runs after every event if full checks are enabled.
    """

    def register(function: Check) -> Check:
        if on is None:
            STATE_CHECKS[name] = function
        else:
            EVENT_CHECKS.setdefault(on, {})[name] = function
        return function

    return register


def check(state: "NodeState", event: t.Any, effects: list[Effect]) -> None:
    """Run the checks.

    :raises InvariantBroken: for the first invariant that does not hold.
    """
    _record_sent(state, event)
    for kind in {type(event), *(type(effect) for effect in effects)}:
        _run(EVENT_CHECKS.get(kind, {}), state, event, effects)
    for effect in effects:
        if isinstance(effect, Forget):
            state.sent_witness.discard(effect.request_id)
            state.continued_witness.discard(effect.request_id)
            state.copy_witness.pop(effect.request_id, None)
            state.backup_witness.pop(effect.request_id, None)
    if state.full_checks:
        _run(STATE_CHECKS, state, event, effects)


def _run(checks: dict[str, Check], state: "NodeState", event: t.Any, effects: list[Effect]) -> None:
    for name, function in checks.items():
        detail = function(state, event, effects)
        if detail:
            raise InvariantBroken(name, detail)


def _record_sent(state: "NodeState", event: t.Any) -> None:
    """Record which requests may have reached an endpoint, and endpoints' notices.

    The record is kept apart from the handlers' state, so that the checks do not depend on it.
    """
    if isinstance(event, NoticeReceived):
        state.notice_witness.note(event)
    if isinstance(event, RunCopied) and event.request_id in state.requests:
        state.copy_witness[event.request_id] = event.holder
    if isinstance(event, AttemptStarted):
        state.sent_witness.add(event.request_id)
    elif isinstance(event, AttemptFailed) and (event.reported_not_run or not event.sent):
        if event.request_id in state.continued_witness:
            # It says so of going on from a copy of the run.
            return
        state.sent_witness.discard(event.request_id)
    elif isinstance(event, AttemptFailed):
        state.sent_witness.add(event.request_id)


@invariant("memory", on=SendOrder)
def check_memory(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """An order never allocates more memory than its endpoint has."""
    if state.relaying:
        return _check_relayed_memory(state, effects)
    for effect in effects:
        if isinstance(effect, SendOrder) and effect.action in ("load", "attach"):
            ledger = state.control.ledgers[effect.endpoint]
            if ledger.free() < -1e-6:
                return f"{effect.endpoint}: {-ledger.free():.3f} GB overallocated"
    return ""


def _check_relayed_memory(state: "NodeState", effects: list[Effect]) -> str:
    from .residency import memory_after_load_mb

    for effect in effects:
        if not isinstance(effect, SendOrder) or effect.action != "load":
            continue
        promised, held = memory_after_load_mb(state, effect)
        if promised > held + 1e-6:
            return f"{effect.endpoint}: {promised - held:.0f} MB overallocated"
    return ""


@invariant("memory-all")
def check_all_memory(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """No endpoint's memory is overallocated, whether or not it gets an order now."""
    for ledger in state.control.ledgers.values():
        promised = any(order.action in ("load", "attach") for order in ledger.orders())
        if ledger.usable and promised and ledger.free() < -1e-6:
            return f"{ledger.endpoint}: {-ledger.free():.3f} GB overallocated"
    return ""


@invariant("lease", on=SendOrder)
def check_lease(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Only a holder whose lease has not run out sends orders."""
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
            return f"{effect.model} would have no resident replica"
    return ""


@invariant("not-run", on=Refuse)
def check_not_run(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A refusal never claims ``not_run`` if the request may have reached an endpoint."""
    for effect in effects:
        if not isinstance(effect, Refuse) or effect.outcome != "not_run":
            continue
        if effect.request_id in state.sent_witness:
            return f"{effect.request_id} may have reached an endpoint"
    return ""


@invariant("at-most-once", on=Dispatch)
def check_once(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """An unrepeatable request that may have reached an endpoint is never sent again.

    It may go on where a copy or a backup of its run is held, once at each.
    """
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        request = state.requests[effect.request_id]
        if effect.copy:
            state.continued_witness.add(effect.request_id)
            if not _holds_copy(state, effect):
                return f"{effect.request_id} would go on where no copy of its run is held"
        elif not request.arrived.repeatable and effect.request_id in state.sent_witness:
            return f"{effect.request_id} would be sent twice"
        if effect.backup:
            state.backup_witness[effect.request_id] = effect.backup
    return ""


def _holds_copy(state: "NodeState", effect: Dispatch) -> bool:
    """Return whether an endpoint was told to hold a copy or a backup of a run; use that up."""
    for witness in (state.copy_witness, state.backup_witness):
        if witness.get(effect.request_id) == effect.endpoint:
            del witness[effect.request_id]
            return True
    return False


@invariant("handed-over-once", on=HandOver)
def check_handover(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A request that may have reached an endpoint or another node is not handed over, nor on."""
    for effect in effects:
        if not isinstance(effect, HandOver):
            continue
        arrived = state.requests[effect.request_id].arrived
        if arrived.sends_before is not None:
            return f"{effect.request_id} would be handed over twice"
        if not arrived.repeatable and effect.request_id in state.sent_witness:
            return f"{effect.request_id} would be sent twice"
    return ""


@invariant("one-version", on=Dispatch)
def check_versions(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A stream that has begun goes on only at the software version that began it."""
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        version = state.requests[effect.request_id].arrived.version
        found = state.endpoints[effect.endpoint].software_version()
        if version is not None and UNKNOWN_VERSION not in (version, found) and version != found:
            return f"{effect.request_id} began at {version} and would go on at {found}"
    return ""


@invariant("suspects", on=Dispatch)
def check_suspects(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A request that is known to crash its endpoints is not sent."""
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        subjects = subjects_of(state.requests[effect.request_id].arrived)
        if any(state.suspects.verdict(one, state.now) is not None for one in subjects):
            return f"{effect.request_id} would be sent although it crashes endpoints"
    return ""


@invariant("leaving", on=Dispatch)
def check_leaving(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A leaving endpoint gets no new requests."""
    for effect in effects:
        if isinstance(effect, Dispatch) and state.endpoints[effect.endpoint].leaving:
            return f"{effect.endpoint} is leaving"
    return ""


@invariant("evacuated", on=Dispatch)
def check_evacuated(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """An endpoint of an evacuated data centre gets no new requests."""
    for effect in effects:
        if not isinstance(effect, Dispatch):
            continue
        data_centre = state.endpoints[effect.endpoint].data_centre
        if data_centre in state.evacuations.in_force:
            return f"{effect.endpoint} is in {data_centre}, which is evacuated"
    return ""


@invariant("said", on=Dispatch)
def check_notices(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Nothing is sent to a process that announced that it leaves, or that requested a back-off."""
    for effect in effects:
        if isinstance(effect, Dispatch) and (fault := _find_notice(state, effect.endpoint, 0.0)):
            return fault
    return ""


@invariant("request-rate", on=Dispatch)
def check_rates(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """An endpoint with a request rate gets only requests that hold one of its permits."""
    for effect in effects:
        if not isinstance(effect, Dispatch) or state.endpoints[effect.endpoint].rate is None:
            continue
        held = state.requests[effect.request_id].slot
        if held is None or held.endpoint != effect.endpoint or not held.counts_towards_rate:
            return f"{effect.request_id} would be sent to {effect.endpoint} without a permit"
    return ""


@invariant("said-late", on=AttemptStarted)
def check_late_sends(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A request is not sent long after its endpoint announced that it leaves."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return ""
    return _find_notice(state, request.endpoint, LATE_SEND_MAX_S)


def _find_notice(state: "NodeState", endpoint: str, late_s: float) -> str:
    view = state.endpoints.get(endpoint)
    if view is None:
        return ""
    started_ms = view.report.started_ms if view.report is not None else view.started_ms
    return state.notice_witness.find_fault(endpoint, started_ms, state.now, late_s)


@invariant("uncut", on=Stop)
def check_drained(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """A planned stop ends only after the last request has ended."""
    left = len(state.requests) + len(state.parked)
    if state.stopped and left and not state.hurry:
        return f"{left} requests in flight at the stop"
    return ""


@invariant("inflight")
def check_inflight(state: "NodeState", event: t.Any, effects: list[Effect]) -> str:
    """Every request that counts as in flight at an endpoint is known to this node."""
    for view in state.endpoints.values():
        unknown = set(view.inflight) - set(state.requests)
        if unknown:
            return f"{view.name} counts {sorted(unknown)[0]}, which has ended"
    return ""
