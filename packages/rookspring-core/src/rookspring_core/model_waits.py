"""Waits of requests for models that are on no endpoint: whether to wait, and when to retry.

Answers a load in which more models are requested than endpoints hold. A wait for the time of a load
alone is in vain where nobody loads the model: its caller is refused late, retries once at the time
that the refusal names, and waits in vain again.
"""

import math
import typing as t

from . import defaults
from .adapter_waits import ArrivalWaits

# Rules by which a request waits.
IN_TIME = "in time for the objective"
LATE = "late, but before the deadline"
LIKELY = "likely to come in time"
UNANSWERED = "waits for the lease holder's word"
ARRIVED = "its model has arrived"
# Rules by which it is refused.
RETRY = "too late for the objective, in time for a retry"
TOO_LATE = "too late for the deadline"
OVERDUE = "its load is overdue"
NOT_COME = "did not come in the learnt wait"
UNKNOWN = "nobody is known to load it"

# Rules by which a request waits for an announced load.
LOAD_RULES = (IN_TIME, LATE)


class Need(t.NamedTuple):
    """What a request can bear. Times are of the node's clock, in seconds.

    :param max_wait_s: longest wait that its route allows for room.
    :param jitter: part of the spread of retries that this request's caller gets, 0 to 1.
    """

    arrived_at: float
    objective_s: float
    deadline_at: float
    max_wait_s: float
    jitter: float

    def half_at(self) -> float:
        """Return when a request has been held for ``MODEL_HOLD_SHARE`` of its time."""
        return self.arrived_at + (self.deadline_at - self.arrived_at) * defaults.MODEL_HOLD_SHARE

    def retry_most_s(self, now: float) -> float:
        """Return the longest Retry-After that the caller honours."""
        return max(0.0, self.deadline_at - now) * defaults.RETRY_AFTER_MAX_SHARE


class Knowledge(t.NamedTuple):
    """What a node knows of when an absent model is usable. In seconds from now; inf if unknown.

    :param announced_s: until the first announced load is usable.
    :param endpoint: where that load is.
    :param reading_s: predicted time to read the request's prompt.
    :param learnt_s: the rest of the learnt wait for missing models of the service.
    :param predicted_s: the rest of the time of a load that was ordered at the first request.
    :param answer_s: until the lease holder's announcement would be here; 0 once it is overdue.
    """

    announced_s: float
    endpoint: str
    reading_s: float
    learnt_s: float
    predicted_s: float
    answer_s: float

    def describe(self) -> str:
        """Describe the knowledge for the log and the caller."""
        if self.announced_s < math.inf:
            return f"announced at {self.endpoint} in {self.announced_s:.2f} s"
        if self.learnt_s < math.inf:
            return f"nothing announced, learnt wait {self.learnt_s:.2f} s more"
        return "nothing announced or learnt"

    def likely_s(self) -> float:
        """Return in how many seconds the model is likely to be there, while none is announced."""
        return self.learnt_s if self.learnt_s < math.inf else self.predicted_s


class ModelWait(t.NamedTuple):
    """A decision on a request whose model is absent.

    :param rule: one of the rules above, by which it waits or is refused.
    :param until: end of the wait, by this node's clock; ``-inf`` if the request is refused.
    :param ready_at: when the model is expected to be usable, by this node's clock; may be inf.
    :param why: what was known when it was decided, for the log and the caller.
    """

    rule: str
    until: float
    ready_at: float
    why: str = ""


class ModelWaits:
    """What a node has learnt of missing models, and its requests that wait for them."""

    def __init__(self) -> None:
        self.arrivals = ArrivalWaits(defaults.MODEL_WAIT_MOST_S, starts_at_first=True)
        self.waiting: dict[str, ModelWait] = {}
        # Waits by their end. One that lapsed was decided again, and ends in another way later.
        self.ends = {"served": 0, "refused": 0, "lapsed": 0, "left": 0}

    def end(self, request_id: str, how: str) -> ModelWait | None:
        """End a request's wait, and count it; return the decision that was in force."""
        wait = self.waiting.pop(request_id, None)
        if wait is not None:
            self.ends[how] += 1
        return wait


def decide(need: Need, known: Knowledge, now: float, before: ModelWait | None = None) -> ModelWait:
    """Decide on a request whose model is on no endpoint.

    :param before: the decision in force, which a wait for a load keeps while the load is on time.
    """
    if known.announced_s < math.inf:
        return _decide_announced(need, known, now, before)
    answer_at = min(now + known.answer_s, need.arrived_at + need.max_wait_s)
    if now < answer_at and (before is None or before.rule not in LOAD_RULES):
        return ModelWait(UNANSWERED, answer_at, math.inf)
    return _decide_learnt(need, known, now, before)


def _decide_announced(
    need: Need, known: Knowledge, now: float, before: ModelWait | None
) -> ModelWait:
    ready_at = now + known.announced_s
    if before is not None and before.rule in LOAD_RULES:
        if now > before.ready_at and now > need.half_at():
            return _refuse(OVERDUE, ready_at)
        if ready_at <= before.ready_at + defaults.LOAD_OVERDUE_S:
            return before
    if _meets_objective(need, ready_at + known.reading_s):
        return ModelWait(IN_TIME, need.deadline_at, ready_at)
    if known.announced_s <= need.retry_most_s(now):
        return _refuse(RETRY, ready_at)
    if ready_at + known.reading_s - defaults.REPORT_SLACK_S <= need.deadline_at:
        return ModelWait(LATE, need.deadline_at, ready_at)
    if known.learnt_s < known.announced_s:
        # An announced time counts the longest answers that an unload may wait for.
        return _decide_learnt(need, known, now, before)
    return _refuse(TOO_LATE, ready_at)


def _decide_learnt(need: Need, known: Knowledge, now: float, before: ModelWait | None) -> ModelWait:
    """Decide where no load is announced, by the learnt wait.

    A model is as likely to come in any part of the rest of that wait. A request waits for what is
    only likely for half of its time: the rest is needed for its caller's retry.
    """
    if before is not None and before.rule == LIKELY:
        return before if now < before.until else _refuse(NOT_COME, math.inf)
    likely_s = known.likely_s()
    if likely_s == math.inf:
        return _refuse(UNKNOWN, math.inf)
    ready_at = now + likely_s
    left_s = need.half_at() - now
    if likely_s <= left_s and _meets_objective(need, ready_at):
        return ModelWait(LIKELY, need.half_at(), ready_at)
    if likely_s <= need.retry_most_s(now):
        return _refuse(RETRY, ready_at)
    if left_s >= likely_s * defaults.MODEL_WAIT_CHANCE:
        return ModelWait(LIKELY, need.half_at(), ready_at)
    return _refuse(TOO_LATE, ready_at)


def _meets_objective(need: Need, first_event_at: float) -> bool:
    # A caller that came back has less time left than its objective.
    in_time_at = need.arrived_at + need.objective_s * defaults.READY_SHARE
    return first_event_at <= min(in_time_at, need.deadline_at)


def _refuse(rule: str, ready_at: float) -> ModelWait:
    return ModelWait(rule, -math.inf, ready_at)


def choose_retry_after_s(need: Need, known: Knowledge, now: float) -> float:
    """Return the time after which the caller of a refused request is told to retry, in seconds.

    An announced load that ends too late for any retry is told as it is. A time that is only likely
    is cut to what callers honour: by their retry the lease holder's answer may be known.
    """
    most_s = need.retry_most_s(now)
    spread_s = need.jitter * defaults.MODEL_RETRY_SPREAD_S
    if known.announced_s < math.inf:
        after_s = known.announced_s + spread_s
        return min(after_s, most_s) if known.announced_s <= most_s else after_s
    likely_s = known.likely_s()
    spread_of_cut = 1.0 - need.jitter * defaults.MODEL_RETRY_SPREAD_SHARE
    return min(likely_s + spread_s, most_s * spread_of_cut)
