"""Mutants of which nodes own what is decided for all."""

import math
import secrets
import typing as t

from rookspring import relay_slots
from rookspring import relay_streams
from rookspring import request_keys
from rookspring.messages import OriginReply
from rookspring_core import defaults
from rookspring_core import owners
from rookspring_core import slot_requests
from rookspring_core.events import SlotAnswered
from rookspring_core.state import NodeState
from rookspring_core.state import RequestState
from rookspring_core.topology import Topology

from .mutant import OWNER_CHOICE
from .mutant import OWNER_REPLIES
from .mutant import Mutant

RULE = "nodes agree on who decides for all"
QUESTIONS = "an owner's reply decides on the question that it answers"


def _know_late(self: Topology, now: float) -> float:
    """Know the own age as of the last update of the roles."""
    step_s = defaults.ROLES_RECOMPUTE_S
    return math.floor(_collecting_s(self, now) / step_s) * step_s


_collecting_s = Topology.collecting_s


def _by_age_alone(ages: t.Mapping[str, float]) -> set[str]:
    experienced = {name for name, age_s in ages.items() if age_s >= defaults.OWNER_AGE_S}
    return experienced or set(ages)


def _same_life(size: int | None = None) -> str:
    """Give requests the keys that those of the node's earlier life had."""
    return "00" * size if size == request_keys.LIFE_BYTES else _draw(size)


_draw = secrets.token_hex


def _answers_any(state: NodeState, request: RequestState | None, event: SlotAnswered) -> bool:
    """Take a reply to any of a request's questions for that to the last one."""
    if request is not None:
        event = event._replace(question=request.slot_question)
    return _is_current(state, request, event)


_is_current = slot_requests.is_current_answer


def _ask_alike(key: str, question: int) -> str:
    """Give all questions of a request one key."""
    return key


def _hold_for_first(request: RequestState, event: SlotAnswered, now: float) -> None:
    """Return a slot later as that of the request's first question."""
    _hold(request, event._replace(question=1), now)


_hold = slot_requests.hold


def _reply_to_all(self: relay_streams.OriginQuestions, reply: OriginReply) -> None:
    """Take what an owner doesn't know for the reply to all questions on a stream."""
    for question in self._waiting.get(reply.stream, ()):
        question.take(reply.subject, reply.version)


MUTANTS = (
    Mutant(
        "takes a reply on a stream's begin for all questions on it",
        QUESTIONS,
        relay_streams.OriginQuestions,
        "take_reply",
        _reply_to_all,
        OWNER_REPLIES,
    ),
    Mutant(
        "takes a reply to an earlier question",
        QUESTIONS,
        slot_requests,
        "is_current_answer",
        _answers_any,
        OWNER_REPLIES,
    ),
    Mutant(
        "names all questions alike",
        QUESTIONS,
        relay_slots,
        "make_question_key",
        _ask_alike,
        OWNER_REPLIES,
    ),
    Mutant(
        "returns a slot as an earlier question's",
        QUESTIONS,
        slot_requests,
        "hold",
        _hold_for_first,
        OWNER_REPLIES,
    ),
    Mutant(
        "uses keys of an earlier life",
        "a reply to a node's earlier life decides on none of its requests",
        secrets,
        "token_hex",
        _same_life,
        OWNER_REPLIES,
    ),
    Mutant("knows its age late", RULE, Topology, "collecting_s", _know_late, OWNER_CHOICE),
    Mutant(
        "lets the first of age own all",
        "a subject moves only as nodes join or go",
        owners,
        "choose_experienced",
        _by_age_alone,
        OWNER_CHOICE,
    ),
)
