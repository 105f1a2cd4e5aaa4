"""Counts of what reached an endpoint that names the requests a second it takes from all nodes."""

import bisect

# The bound that users hold us to: in any so many seconds, from so long after the endpoint first
# named a rate, summed over the nodes that heard it half a second before or earlier.
WINDOW_S = 4.0
BEGINS_S = 3.0
TOLD_S = 0.5
# What is borne beyond the rate: a part of it, and so many requests.
BORNE_SHARE = 1.5
BORNE = 5
# What is aimed at: the rate itself, with two requests in hand and a quarter of a second's.
IN_HAND = 2
IN_HAND_S = 0.25


def borne(rate):
    """Give the most that users bear in a window."""
    return BORNE_SHARE * rate * WINDOW_S + BORNE


def aimed(rate, owners=1):
    """Give the most that a rate allows in a window, with what may be in hand at its begin.

    :param owners: how many nodes give parts of the rate.
    """
    return rate * (WINDOW_S + IN_HAND_S) + IN_HAND * owners


def most_in_window(moments):
    """Give the most that fall into any window."""
    moments = sorted(moments)
    ends = (bisect.bisect_right(moments, at + WINDOW_S) for at in moments)
    return max((end - begin for begin, end in enumerate(ends)), default=0)


def first_named(runners, endpoint, start=0):
    """Give when a node first heard a process name its rate."""
    return min(
        word.at
        for word in runners.words
        if (word.endpoint, word.start) == (endpoint, start) and word.notice.rate is not None
    )


def told_arrivals(runners, endpoint, start=0, excused=()):
    """List when requests reached a process from nodes that it had told, once the bound holds.

    :param excused: nodes that do not count, as they were started again, froze or were cut off.
    """
    told = {}
    for word in runners.words:
        if (word.endpoint, word.start) == (endpoint, start) and word.notice.rate is not None:
            told.setdefault(word.node.name, word.at)
    begins = first_named(runners, endpoint, start) + BEGINS_S
    return [
        one.at
        for one in runners.arrived
        if (one.endpoint, one.start) == (endpoint, start)
        and one.at >= begins
        and one.node not in excused
        and one.at >= told.get(one.node, one.at + 1.0) + TOLD_S
    ]


def all_arrivals(runners, endpoint, start=0):
    """List when requests reached a process from any node, once the bound holds."""
    begins = first_named(runners, endpoint, start) + BEGINS_S
    return [
        one.at
        for one in runners.arrived
        if (one.endpoint, one.start) == (endpoint, start) and one.at >= begins
    ]
