"""Checks of a request on arrival, before it is queued: target, idempotency key, team limits."""

from . import defaults
from .effects import Effect
from .effects import Refuse
from .effects import Replay
from .events import RequestArrived
from .events import SessionOpened
from .reducer import handles
from .state import NodeState

Effects = list[Effect]


@handles(SessionOpened)
def open_session(state: NodeState, event: SessionOpened) -> Effects:
    """Register a session that this incarnation has issued."""
    state.once.open(event.session, event.team, event.at)
    return []


def check_target(state: NodeState, event: RequestArrived) -> Refuse | None:
    """Refuse a request that this node cannot serve; None where it may be admitted."""
    if state.stopped:
        return _refusal(event, 503, "stopping", "this node has stopped; ask for addresses")
    if _isolated(state):
        return _refusal(event, 503, "isolated", "this node is cut off; use another address")
    known = state.catalogue.services if event.service else state.catalogue.models
    if event.target not in known:
        what = "service" if event.service else "model"
        return _refusal(event, 404, "unknown_target", f"{what}: {event.target!r} is not declared")
    if event.adapter and event.adapter not in state.catalogue.adapters:
        return _refusal(event, 404, "unknown_adapter", f"model: adapter {event.adapter!r}")
    return None


def _isolated(state: NodeState) -> bool:
    if state.membership.size() > 0 or state.platform_reachable:
        return False
    return state.now - state.platform_answered_at > defaults.ISOLATION_GRACE_S


def _refusal(
    event: RequestArrived, status: int, reason: str, message: str, after_s: float = 0.0
) -> Refuse:
    return Refuse(event.request_id, status, reason, "not_run", message, after_s)


def check_once_key(state: NodeState, event: RequestArrived) -> Effects | None:
    """Decide on a request with an idempotency key; None where it is to be started."""
    assert event.once_key is not None
    decision = state.once.begin(
        event.once_key, event.body_digest, event.team, event.request_id, event.at
    )
    if decision.action == "start":
        return None
    if decision.action == "wait":
        # The first request with this key is still running; its answer is sent to this one too.
        return []
    if decision.action == "replay":
        assert decision.entry is not None
        return [Replay(event.request_id, decision.entry.status, decision.entry.answer)]
    if decision.action == "mismatch":
        text = "Idempotency-Key: was used before with another body"
        return [_refusal(event, 422, "key_reused", text)]
    text = "the outcome of this key is no longer known; it was not started again"
    return [Refuse(event.request_id, 409, "outcome_unknown", "unknown", text)]


def check_limits(state: NodeState, event: RequestArrived) -> Effects:
    """Refuse a request that is over its team's limits; no effects where it is within them."""
    team = state.catalogue.teams.get(event.team)
    if team is None:
        return []
    after_s = state.limits.admit(event.team, team, event.at)
    if after_s <= 0.0:
        return []
    text = f"team {event.team!r} is over its limit"
    return _refuse_keyed(state, event, _refusal(event, 429, "limited", text, after_s))


def _refuse_keyed(state: NodeState, event: RequestArrived, refusal: Refuse) -> Effects:
    """Refuse a request that did not run, and all requests that wait for the same key."""
    effects: Effects = [refusal]
    if event.once_key is not None:
        for waiter in state.once.release(event.once_key):
            effects.append(refusal._replace(request_id=waiter))
    return effects
