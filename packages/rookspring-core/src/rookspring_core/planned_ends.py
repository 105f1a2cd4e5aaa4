"""Ends of answers in chunks at endpoints that end as planned, and which of them are doubted.

A server that stops may end its answers cleanly in their midst, as it may finish them; the answer
shows no difference. A process that lives on for a moment has not ended the answer as it stopped, so
a doubted end is held back for that moment and looked at again. Events are passed on meanwhile.
"""

import typing as t

# How old what an endpoint states of its remaining time may be: reports are some hundred ms old.
STATED_AGE_MAX_S = 0.5
# How long a process lives on, after the end of an answer, that has not ended it as it stopped.
# Callers bear pauses of 0.3 s between events. Where a wrong doubt cuts an answer that ended by
# itself shortly before the stop, only the time that a server takes to close what it has ended.
OUTLIVES_S = 0.3
OUTLIVES_CUT_S = 0.1
# How long before the request's deadline the end is looked at at the latest.
LOOKS_BEFORE_S = 0.05

# What else than the whole answer may have ended it.
TIME_OVER = "its endpoint ended, at the time that it had stated"
STOP = "its endpoint ended, as it was leaving or gone"


class PlannedEnd(t.NamedTuple):
    """The end of an answer, and what is known of its endpoint, in seconds of the node's clock.

    :param at: when it arrived.
    :param closing: the endpoint is leaving, its entry is gone, or another process has its name.
    :param ends_at: when it ends at the latest, by what it stated; infinite if it stated nothing.
    :param may_ask: the rest, or another answer, can be asked of another endpoint now.
    :param looks_until: when it can be looked at at the latest, before the request's deadline.
    """

    at: float
    closing: bool
    ends_at: float
    may_ask: bool
    looks_until: float


def find_cause(end: PlannedEnd) -> str:
    """Return what else than the whole answer may have ended it; empty if nothing is known.

    An endpoint that leaves serves on, for a time that nobody knows if it stated none: an answer
    that can't be asked for elsewhere is believed then, as most end by themselves; so is one that
    comes too late to be looked at, which leaves no time to ask.
    """
    if end.at >= end.ends_at - STATED_AGE_MAX_S:
        return TIME_OVER
    return STOP if end.closing and end.may_ask and may_look(end) else ""


def may_look(end: PlannedEnd) -> bool:
    """Return whether there is time to find out whether the endpoint lives on."""
    return find_look_time(end) <= end.looks_until


def find_look_time(end: PlannedEnd) -> float:
    """Return when an endpoint that is found alive has not ended the answer as it stopped."""
    return end.at + (OUTLIVES_S if end.may_ask else OUTLIVES_CUT_S)
