"""How long a node waits for an answer of the store to a watch before it asks by a new connection.

A connection can go silent for good without a reset, while the kernel at its other end still
acknowledges what it is sent, so that only a missing answer shows it. Until it is noticed, a node
goes by data that the store has not confirmed. All watches of all nodes may go silent at once, just
after they began.
"""

import typing as t

from . import defaults


class ChangeBounds(t.NamedTuple):
    """How soon a node has to act on what the store has accepted, by the platform's settings.

    :param apply_s: from the store's confirmation of a change, in seconds.
    :param contact_s: how long after the failure of its connections a node may still be out of
        date, in seconds.
    """

    apply_s: float = defaults.CHANGE_APPLY_S
    contact_s: float = defaults.CONTACT_S

    def unconfirmed_s(self) -> float:
        """Return how long a node may go by data that the store has not confirmed, in seconds.

        A change that is confirmed as the connections fail is due at the later of the two bounds,
        and one that is confirmed later is due no sooner.
        """
        return max(self.apply_s, self.contact_s)


class WatchTimes(t.NamedTuple):
    """The times of one watch.

    :param wait_s: how long the store is to wait for a change, in seconds.
    :param repeat_after_s: time without an answer after which the watch is repeated by a new
        connection, in seconds.
    """

    wait_s: float
    repeat_after_s: float


def plan_watch(bounds: ChangeBounds, longest_s: float, idle_s: float = 0.0) -> WatchTimes:
    """Choose the times of a watch, whose connection may have been silent since before it began.

    :param longest_s: longest wait that the caller wants, in seconds.
    :param idle_s: how long the connection has carried nothing, in seconds.
    """
    spare_s = bounds.unconfirmed_s() - idle_s - defaults.WATCH_REPEAT_S
    wait_s = max(defaults.WATCH_LEAST_S, min(longest_s, spare_s - defaults.WATCH_ANSWER_S))
    return WatchTimes(wait_s, wait_s + defaults.WATCH_ANSWER_S)


def date_answer(asked_at: float, answered_at: float, wait_s: float, changed: bool) -> float:
    """Return a time before which the answer to a watch contains all changes, by this node's clock.

    The store answers that nothing has changed no sooner than after the wait. When it answered with
    a change isn't known: the answer may have been on its way, or this node have stood still.

    :param wait_s: how long the store was to wait for a change, in seconds.
    :param changed: the answer has a change.
    """
    if changed or answered_at < asked_at + wait_s:
        return asked_at
    return asked_at + wait_s
