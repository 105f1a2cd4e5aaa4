"""What is judged of a request when it arrives, before it waits for an endpoint."""

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
    """Begin a session that this incarnation issues."""
    state.once.open(event.session, event.team, event.at)
    return []


def check_target(state: NodeState, event: RequestArrived) -> Refuse | None:
    """Refuse what this node cannot begin; None where it may go on."""
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
    return state.now - state.platform_at > defaults.ISOLATION_GRACE_S


def _refusal(
    event: RequestArrived, status: int, reason: str, message: str, after_s: float = 0.0
) -> Refuse:
    return Refuse(event.request_id, status, reason, "not_run", message, after_s)


def judge_once(state: NodeState, event: RequestArrived) -> Effects | None:
    """Say what becomes of a keyed request; None where it is to be started."""
    assert event.once_key is not None
    verdict = state.once.begin(
        event.once_key, event.body_digest, event.team, event.request_id, event.at
    )
    if verdict.action == "start":
        return None
    if verdict.action == "wait":
        # The key's first run goes on; its end answers this request too.
        return []
    if verdict.action == "replay":
        assert verdict.entry is not None
        return [Replay(event.request_id, verdict.entry.status, verdict.entry.answer)]
    if verdict.action == "mismatch":
        text = "Idempotency-Key: was used before with another body"
        return [_refusal(event, 422, "key_reused", text)]
    text = "the outcome of this key is no longer known; it was not started again"
    return [Refuse(event.request_id, 409, "outcome_unknown", "unknown", text)]


def check_limits(state: NodeState, event: RequestArrived) -> Effects:
    """Refuse what is over its team's limits; nothing where it is within them."""
    team = state.catalogue.teams.get(event.team)
    if team is None:
        return []
    after_s = state.limits.admit(event.team, team, event.at)
    if after_s <= 0.0:
        return []
    text = f"team {event.team!r} is over its limit"
    return _refuse_keyed(state, event, _refusal(event, 429, "limited", text, after_s))


def _refuse_keyed(state: NodeState, event: RequestArrived, refusal: Refuse) -> Effects:
    """Refuse a request that did not run, and with it all who wait for its key."""
    effects: Effects = [refusal]
    if event.once_key is not None:
        for waiter in state.once.release(event.once_key):
            effects.append(refusal._replace(request_id=waiter))
    return effects
