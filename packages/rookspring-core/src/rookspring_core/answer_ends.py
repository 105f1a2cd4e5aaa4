"""Ends of answers in chunks, and what else than the whole answer may have brought them about.

An endpoint that ends a run early may end its answer cleanly all the same: its last chunk then shows
nothing. This node knows some of the causes, since it brought them about itself or was told of them.
"""

import typing as t


class AnswerEnd(t.NamedTuple):
    """The end of an answer, and what is known of the request, in seconds of the node's clock.

    :param at: when it was read here.
    :param deadline_at: when the request's time is over. Its endpoint was told more than that, so an
        end that its time brought about comes later.
    """

    at: float
    deadline_at: float


def find_other_cause(end: AnswerEnd) -> str:
    """Return what else than the whole answer may have ended it; empty if nothing is known."""
    if end.at >= end.deadline_at:
        return "deadline"
    return ""
