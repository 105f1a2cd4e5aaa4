"""Counts of the requests that reached an endpoint with a rate limit over all nodes."""

import bisect

# The bound that users require: it applies to any WINDOW_S seconds from BEGINS_S after the endpoint
# first announced a limit, to the sum over the nodes that received it at least TOLD_S before.
WINDOW_S = 4.0
BEGINS_S = 3.0
TOLD_S = 0.5
# The tolerated requests in a window: BORNE_SHARE times the limit, and BORNE more.
BORNE_SHARE = 1.5
BORNE = 5
# The bound that the program itself enforces: the limit, with a burst of IN_HAND requests and of
# what the limit allows in IN_HAND_S.
IN_HAND = 2
IN_HAND_S = 0.25


def borne(rate):
    """Return the most requests that users tolerate in a window."""
    return BORNE_SHARE * rate * WINDOW_S + BORNE


def aimed(rate, owners=1):
    """Return the most requests that a limit allows in a window, with the burst at its start.

    :param owners: how many nodes grant shares of the limit, each with a burst of its own.
    """
    return rate * (WINDOW_S + IN_HAND_S) + IN_HAND * owners


def most_in_window(moments):
    """Return the largest number of moments within any window."""
    moments = sorted(moments)
    ends = (bisect.bisect_right(moments, at + WINDOW_S) for at in moments)
    return max((end - begin for begin, end in enumerate(ends)), default=0)


def first_named(runners, endpoint, start=0):
    """Return when a node first received the limit of a process."""
    return min(
        word.at
        for word in runners.received_notices
        if (word.endpoint, word.start) == (endpoint, start) and word.notice.rate is not None
    )


def told_arrivals(runners, endpoint, start=0, excused=()):
    """List when requests reached a process from nodes that knew its limit, once the bound applies.

    :param excused: nodes that are not counted, as they restarted, froze or were cut off.
    """
    told = {}
    for word in runners.received_notices:
        if (word.endpoint, word.start) == (endpoint, start) and word.notice.rate is not None:
            told.setdefault(word.node.name, word.at)
    begins = first_named(runners, endpoint, start) + BEGINS_S
    return [
        one.at
        for one in runners.arrivals
        if (one.endpoint, one.start) == (endpoint, start)
        and one.at >= begins
        and one.node not in excused
        and one.at >= told.get(one.node, one.at + 1.0) + TOLD_S
    ]


def all_arrivals(runners, endpoint, start=0):
    """List when requests reached a process from any node, once the bound applies."""
    begins = first_named(runners, endpoint, start) + BEGINS_S
    return [
        one.at
        for one in runners.arrivals
        if (one.endpoint, one.start) == (endpoint, start) and one.at >= begins
    ]
