"""Waits of requests for models that are on no endpoint: whether to wait, and when to retry.

Answers a load in which more models are requested than endpoints hold. A wait for the time of a load
alone is in vain where nobody loads the model: its caller is refused late, retries once at the time
that the refusal names, and waits in vain again.
"""

import math
import typing as t

from . import defaults
from .adapter_waits import ArrivalWaits
from .caller_times import CallerTimes

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
    :param returned: its caller was refused before, and has no further try.
    :param bears_s: how long its caller bears to be held; inf if that is not known.
    """

    arrived_at: float
    objective_s: float
    deadline_at: float
    max_wait_s: float
    jitter: float
    returned: bool = False
    bears_s: float = math.inf

    def gone_at(self) -> float:
        """Return by when its caller has left, at its deadline or as it bears no longer wait."""
        return min(self.deadline_at, self.arrived_at + self.bears_s * defaults.BORNE_SHARE)

    def in_time_at(self) -> float:
        """Return by when a model has to be there for an answer in time for the objective."""
        in_time_at = self.arrived_at + self.objective_s * defaults.READY_SHARE
        # A caller that came back has less time left than its objective.
        return min(in_time_at, self.deadline_at)

    def half_at(self) -> float:
        """Return when a request has been held for ``MODEL_HOLD_SHARE`` of what its caller bears."""
        return self.arrived_at + (self.gone_at() - self.arrived_at) * defaults.MODEL_HOLD_SHARE

    def retry_most_s(self, now: float) -> float:
        """Return the longest Retry-After that the caller honours."""
        return max(0.0, self.deadline_at - now) * defaults.RETRY_AFTER_MAX_SHARE

    def retry_latest_s(self, now: float) -> float:
        """Return the longest Retry-After, spread so that callers don't all come back at once."""
        return self.retry_most_s(now) * (1.0 - self.jitter * defaults.MODEL_RETRY_SPREAD_SHARE)


class Knowledge(t.NamedTuple):
    """What a node knows of when an absent model is usable. In seconds from now; inf if unknown.

    :param announced_s: until the first announced load is usable.
    :param endpoint: where that load is.
    :param reading_s: predicted time to read the request's prompt, and those before it.
    :param demand: what is requested of the model, in tokens of the slowest model a second.
    :param waited_s: for how long the model has been missing.
    :param learnt_s: the rest of the learnt wait for missing models of the service.
    :param load_s: the least time that a load of the model takes, with its order.
    :param predicted_s: the rest of the time of a load that was ordered at the first request.
    :param answer_s: until the lease holder's announcement would be here; 0 once it is overdue.
    :param waits_s: the rest of this wait as it was in the last ones of the service.
    """

    announced_s: float
    endpoint: str
    reading_s: float
    learnt_s: float
    load_s: float
    predicted_s: float
    answer_s: float
    waits_s: tuple[float, ...] = ()
    demand: float = 0.0
    waited_s: float = 0.0

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

    def chance(self, within_s: float) -> float:
        """Return the share of the waits that were learnt which end within a time.

        Without any, a load that was ordered at the first request is taken to end as predicted.
        """
        if not self.waits_s:
            return float(self.likely_s() <= within_s)
        return sum(wait_s <= within_s for wait_s in self.waits_s) / len(self.waits_s)


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
        self.callers = CallerTimes()
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
    answer_at = now + min(known.answer_s, _answer_worth_s(need, known, now))
    if now < answer_at and (before is None or before.rule not in LOAD_RULES):
        return ModelWait(UNANSWERED, answer_at, math.inf)
    return _decide_learnt(need, known, now, before)


def _answer_worth_s(need: Need, known: Knowledge, now: float) -> float:
    """Return how long the lease holder's answer is worth waiting for, in seconds.

    A caller that has a further try comes back for the answer, unless a load could be in time for
    its objective.
    """
    if need.returned:
        return need.gone_at() - now
    if known.load_s < math.inf and not _meets_objective(need, need.arrived_at + known.load_s):
        return 0.0
    return need.arrived_at + need.max_wait_s - now


def _decide_announced(
    need: Need, known: Knowledge, now: float, before: ModelWait | None
) -> ModelWait:
    """Decide where a load is announced.

    A caller that can come back when the load has ended is told so. One that would come too early,
    or not again, is held as long as it can be answered then. One that doesn't bear that comes back
    as late as it does, and is held for the rest.
    """
    ready_at = now + known.announced_s
    if before is not None and before.rule in LOAD_RULES:
        if now > before.ready_at and now > need.half_at():
            return _refuse(OVERDUE, ready_at)
        on_time = ready_at <= before.ready_at + defaults.LOAD_OVERDUE_S
        if on_time and before.ready_at <= need.gone_at():
            return before._replace(until=min(before.until, need.gone_at()))
    if _meets_objective(need, ready_at + known.reading_s):
        return ModelWait(IN_TIME, need.gone_at(), ready_at)
    if not need.returned and known.announced_s <= need.retry_most_s(now):
        return _refuse(RETRY, ready_at)
    if ready_at + known.reading_s - defaults.REPORT_SLACK_S <= need.gone_at():
        return ModelWait(LATE, need.gone_at(), ready_at)
    if not need.returned and _reaches_by_return(need, known, now):
        return _refuse(RETRY, ready_at)
    if known.learnt_s < known.announced_s:
        # An announced time counts the longest answers that an unload may wait for.
        return _decide_learnt(need, known, now, before)
    return _refuse(TOO_LATE, ready_at)


def _reaches_by_return(need: Need, known: Knowledge, now: float) -> bool:
    """Return whether a caller that comes back as late as it does bears to be held for the rest."""
    back_at = now + need.retry_latest_s(now)
    held_until = min(need.deadline_at, back_at + need.bears_s * defaults.BORNE_SHARE)
    first_event_at = now + known.announced_s + known.reading_s
    return first_event_at - defaults.REPORT_SLACK_S <= held_until


def _decide_learnt(need: Need, known: Knowledge, now: float, before: ModelWait | None) -> ModelWait:
    """Decide where no load is announced, by the waits that were learnt.

    A request is held where its model is likely to come in time for an answer, and for half of its
    time at most, in which the load would be announced. One whose caller has no further try takes a
    smaller chance.
    """
    likely_s = known.likely_s()
    if likely_s == math.inf:
        return _refuse(UNKNOWN, math.inf)
    ready_at = now + likely_s
    if before is not None and before.rule == LIKELY:
        return before if now < before.until else _refuse(NOT_COME, math.inf)
    comes_back = not need.returned and likely_s <= need.retry_most_s(now)
    if comes_back and not _meets_objective(need, ready_at):
        return _refuse(RETRY, ready_at)
    if _is_likely(need, known, now):
        return ModelWait(LIKELY, need.half_at(), ready_at)
    if comes_back:
        return _refuse(RETRY, ready_at)
    return _refuse(TOO_LATE, ready_at)


def _is_likely(need: Need, known: Knowledge, now: float) -> bool:
    """Return whether a model of which no load is announced is likely enough to come in time.

    While nothing is learnt, it has to be in time for the objective of a first try.
    """
    if need.returned:
        return known.chance(need.gone_at() - now) >= defaults.RETURN_WAIT_CHANCE
    in_time_at = need.gone_at() if known.waits_s else need.in_time_at()
    return known.chance(in_time_at - now) >= defaults.FIRST_WAIT_CHANCE


def _meets_objective(need: Need, first_event_at: float) -> bool:
    return first_event_at <= need.in_time_at()


def _refuse(rule: str, ready_at: float) -> ModelWait:
    return ModelWait(rule, -math.inf, ready_at)


def choose_retry_after_s(need: Need, known: Knowledge, now: float) -> float:
    """Return the time after which the caller of a refused request is told to retry, in seconds.

    Where the load ends later than a caller would come back for, it is told the latest time that it
    honours, and is held for the rest; a load that it can't bear to wait for then is told as it is.
    A time that is only likely is cut likewise: by then the lease holder's answer may be known.
    """
    most_s = need.retry_most_s(now)
    spread_s = max(defaults.TICK_S, need.jitter * defaults.MODEL_RETRY_SPREAD_S)
    if known.announced_s == math.inf:
        return min(known.likely_s() + spread_s, need.retry_latest_s(now))
    after_s = known.announced_s + spread_s
    if known.announced_s <= most_s:
        return min(after_s, most_s)
    return need.retry_latest_s(now) if _reaches_by_return(need, known, now) else after_s
