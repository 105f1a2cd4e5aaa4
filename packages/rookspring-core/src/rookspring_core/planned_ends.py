"""Ends of answers in chunks that a stop of their endpoint may have brought about.

A server that stops may end its answers cleanly in their midst, as it may finish them: its library
writes the last chunk whatever ended the run. Some tell that they leave, and some don't. A process
that lives on for a moment has not ended the answer as it exited, so each end is held back for that
moment and looked at again. Events are passed on meanwhile. An endpoint that leaves may end all that
it runs and live on, so there a stream's end is believed only if something else goes on running.
"""

import typing as t

# How old what an endpoint states of its remaining time may be: reports are some hundred ms old.
STATED_AGE_MAX_S = 0.5
# How long a process lives on, after the end of an answer, that has not ended it as it stopped.
# Callers bear pauses of 0.3 s between events. Where a wrong doubt cuts an answer that ended by
# itself shortly before the stop, only the time that a server takes to close what it has ended.
OUTLIVES_S = 0.3
OUTLIVES_CUT_S = 0.1
# How long after the end of an answer events of other runs may come that the same stop ends, since a
# server ends its runs one after the other.
STOP_SPREAD_S = 0.02
# Within what time a body comes that was written at once: no stop has ended it in its midst.
WRITTEN_AT_ONCE_S = 0.01
# How long before the request's deadline the end is looked at at the latest.
LOOKS_BEFORE_S = 0.05

# What else than the whole answer may have ended it.
TIME_OVER = "its endpoint ended, at the time that it had stated"
STOP = "its endpoint ended, as it was leaving or gone"
EXIT = "its endpoint ended just after it"


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

    An endpoint that stays and closes each connection, or has announced it, is sound, so there the
    close shows nothing. One that leaves is about to be succeeded.
    """
    if signs.own_open:
        return True
    if signs.replaced:
        return False
    if cause != EXIT:
        return signs.earlier_open
    if signs.closed_there and signs.keeps:
        return False
    return signs.earlier_open or None


def find_cause(end: PlannedEnd) -> str:
    """Return what else than the whole answer may have ended it; empty if that can't be found out.

    An end that comes too late to be looked at is believed, as no time is left to ask anew, unless
    its endpoint had stated that it would end then.
    """
    if end.at >= end.ends_at - STATED_AGE_MAX_S:
        return TIME_OVER
    if not may_look(end):
        return ""
    if end.closing:
        return STOP
    return "" if end.at_once else EXIT


def may_look(end: PlannedEnd) -> bool:
    """Return whether there is time to find out whether the endpoint lives on."""
    return end.at < end.looks_until


def find_look_time(end: PlannedEnd) -> float:
    """Return when an endpoint that is found alive has not ended the answer as it exited."""
    outlives_s = OUTLIVES_S if end.closing and end.may_ask else OUTLIVES_CUT_S
    return min(end.at + outlives_s, end.looks_until)


def is_at_work(ended_at: float, progressed_at: float) -> bool:
    """Return whether an endpoint worked on after the end of an answer, so that no stop ended it.

    :param progressed_at: when the last event of any other run there came.
    """
    return progressed_at > ended_at + STOP_SPREAD_S
