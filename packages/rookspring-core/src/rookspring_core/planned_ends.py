"""Ends of answers in chunks that a stop of their endpoint may have brought about.

A server that stops may end its answers cleanly in their midst, as it may finish them: its library
writes the last chunk whatever ended the run. Some tell that they leave, and some don't. So each end
is held back for a moment and looked at again; events are passed on meanwhile. A process that lives
on has not ended the answer as it exited, and one that works on another run has not stopped.

An endpoint that leaves as announced finishes what it runs and goes then, each connection after its
answer, so its going alone speaks against no end; ends at one moment do, its going while it had
promised to serve on, and that endpoints of its service have ended runs in their midst before.
"""

import math
import typing as t

# How old what an endpoint states of its remaining time may be: reports are some hundred ms old.
STATED_AGE_MAX_S = 0.5
# How long a process lives on, after the end of an answer, that has not ended it as it stopped.
# Callers bear pauses of 0.3 s between events. Where a wrong doubt cuts an answer that ended by
# itself shortly before the stop, only the time that a server takes to close what it has ended.
OUTLIVES_S = 0.3
OUTLIVES_CUT_S = 0.1
# Within what time a server that stops ends its runs, one after the other.
STOP_SPREAD_S = 0.02
# How old the notice may be by which this node knows that an endpoint leaves.
NOTICE_AGE_MAX_S = 1.0
# For how long an end is held back at most while its leaving endpoint has promised to serve on:
# callers leave a stream that is silent for 2 s.
PROMISE_HELD_S = 1.5
# Between two looks meanwhile.
LOOKS_EACH_S = 0.1
# For how long it is remembered that endpoints of a service end runs in their midst.
ENDS_RUNS_KEPT_S = 600.0
# Within what time a body comes that was written at once: no stop has ended it in its midst.
WRITTEN_AT_ONCE_S = 0.01
# How long before the request's deadline the end is looked at at the latest.
LOOKS_BEFORE_S = 0.05

# What else than the whole answer may have ended it.
TIME_OVER = "its endpoint ended, at the time that it had stated"
STOP = "its endpoint ended, as it was leaving or gone"
EXIT = "its endpoint ended just after it"
CAUSES = frozenset({TIME_OVER, STOP, EXIT})


class PlannedEnd(t.NamedTuple):
    """The end of an answer, and what is known of its endpoint, in seconds of the node's clock.

    :param at: when it arrived.
    :param closing: the endpoint is leaving, its entry is gone, or another process has its name.
    :param ends_at: when it ends at the latest, by what it stated; infinite if it stated nothing.
    :param may_ask: the rest, or another answer, can be asked of another endpoint now.
    :param looks_until: when it can be looked at at the latest, before the request's deadline.
    :param at_once: it is the end of a body that came at once.
    """

    at: float
    closing: bool
    ends_at: float
    may_ask: bool
    looks_until: float
    at_once: bool = False


class LifeSigns(t.NamedTuple):
    """What the connections to an endpoint show of the process that ended an answer, a moment later.

    A new connection shows only that something listens at its address: it may be a successor, or a
    parent that holds the listener for one.

    :param own_open: the connection of the answer is open.
    :param closed_there: the endpoint closed it without having announced that in the answer's head.
    :param earlier_open: another one is open that was made before the end.
    :param keeps: it has lately kept connections open after an answer.
    :param replaced: another process has its name, and maybe the others of its connections.
    """

    own_open: bool
    closed_there: bool
    earlier_open: bool
    keeps: bool
    replaced: bool = False


def find_life(cause: str, signs: LifeSigns) -> bool | None:
    """Return whether the process lives on; None if it does where something listens there.

    A close right after an answer shows nothing at an endpoint that stays, nor where each connection
    is closed or that was announced.
    """
    if signs.own_open:
        return True
    if signs.replaced:
        return False
    if signs.closed_there and signs.keeps and cause != EXIT:
        return signs.earlier_open
    return signs.earlier_open or None


def find_cause(end: PlannedEnd) -> str:
    """Return what else than the whole answer may have ended it; empty if that can't be found out.

    An end that comes too late to be looked at is believed at an endpoint that stays, as no time is
    left to ask anew.
    """
    if _is_time_over(end):
        return TIME_OVER
    if end.closing:
        return STOP
    return EXIT if may_look(end) and not end.at_once else ""


def _is_time_over(end: PlannedEnd) -> bool:
    return end.at >= end.ends_at - STATED_AGE_MAX_S


def may_look(end: PlannedEnd) -> bool:
    """Return whether there is time to find out whether the endpoint lives on.

    A shorter time than usual does, unless the time is over that it had stated.
    """
    if _is_time_over(end):
        return end.at + _outlives_s(end) <= end.looks_until
    return end.at < end.looks_until


def find_look_time(end: PlannedEnd) -> float:
    """Return when an endpoint that is found alive has not ended the answer as it exited."""
    return min(end.at + _outlives_s(end), end.looks_until)


def _outlives_s(end: PlannedEnd) -> float:
    return OUTLIVES_S if end.closing and end.may_ask else OUTLIVES_CUT_S


def is_at_work(ended_at: float, progressed_at: float) -> bool:
    """Return whether an endpoint worked on after the end of an answer, so that no stop ended it.

    :param progressed_at: when the last event of any other run there came.
    """
    return progressed_at > ended_at + STOP_SPREAD_S


class EndpointStops:
    """How endpoints stop, as far as a node knows.

    :param serves_s: for how long they serve on after they have told that they leave, at the least.
    """

    def __init__(self, serves_s: float = 0.0) -> None:
        self.serves_s = serves_s
        # Until when it is remembered that endpoints of a service end runs in their midst.
        self._ends_runs: dict[str, float] = {}

    def note_ended_run(self, service: str, now: float) -> None:
        """Note that an endpoint of a service has ended a run in its midst."""
        self._ends_runs[service] = now + ENDS_RUNS_KEPT_S

    def ends_runs(self, service: str, now: float) -> bool:
        """Return whether endpoints of a service have lately ended runs in their midst."""
        return now < self._ends_runs.get(service, -math.inf)


class EndSigns(t.NamedTuple):
    """What was seen of an endpoint after a doubted end.

    :param lives: its process lives on.
    :param at_work: see :func:`is_at_work`.
    :param together: another answer of this node ended there within ``STOP_SPREAD_S``.
    :param ends_runs: endpoints of its service have lately ended runs in their midst.
    :param promised: it had promised to serve on then; see :func:`find_promise`.
    :param body: it is the end of a body, which is written in a moment.
    :param may_ask: the rest can be asked of another endpoint, which shows the end.
    :param worked: bytes of an answer that had been asked for before were read behind it; see
        :func:`close_ends.read_moment`.
    """

    lives: bool
    at_work: bool
    together: bool
    ends_runs: bool
    promised: bool
    body: bool = False
    may_ask: bool = False
    worked: bool = False


def is_shown(cause: str, signs: EndSigns) -> bool:
    """Return whether a doubted end counts as the answer's own."""
    if signs.body:
        return signs.lives
    suspected = signs.together or signs.ends_runs or signs.may_ask
    if cause == TIME_OVER:
        return signs.lives and (signs.at_work or not suspected)
    if cause == EXIT:
        # One that finishes its answers exits right after the last. Bytes alone may be ends of
        # others, and events alone may have been read before and taken late.
        worked_on = signs.at_work and signs.worked
        return signs.lives or (worked_on and not (signs.together or signs.ends_runs))
    if signs.at_work:
        return True
    return not suspected and (signs.lives or not signs.promised)


def find_promise(left_at: float, serves_s: float, ends_at: float) -> float:
    """Return until when a leaving endpoint has promised to serve on.

    :param left_at: when this node learnt that it leaves; infinite if it hasn't.
    :param serves_s: for how long endpoints serve on after their notice, at the least.
    :param ends_at: when it ends at the latest, by what it stated, which holds instead.
    """
    if left_at == math.inf or ends_at < math.inf:
        return -math.inf
    return left_at + serves_s - NOTICE_AGE_MAX_S


def find_last_look(ended_at: float, promised_until: float, looks_until: float) -> float:
    """Return until when an end is looked at whose endpoint lives and has promised to."""
    return min(promised_until, ended_at + PROMISE_HELD_S, looks_until)


def ended_together(ended_at: float, ends: t.Iterable[float]) -> bool:
    """Return whether others of an endpoint's answers ended with one.

    :param ends: when these others ended there.
    """
    return any(abs(one - ended_at) <= STOP_SPREAD_S for one in ends)
