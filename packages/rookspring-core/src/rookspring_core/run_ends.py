"""Whether a run has ended, by reports of its endpoint that list the runs.

Asked where nothing but the close of a connection shows the end of an answer: its run may go on
behind the close, or may have made more than came. A report tells how things stood up to
``REPORT_LAG_S`` earlier: what it counts was made, but a run that it lists may have ended since, and
one that it does not list may have begun since.
"""

import enum
import typing as t

from . import defaults


class AnsweredRun(t.NamedTuple):
    """A run, as its answer has shown it; times by the node's clock.

    :param request_id: the id under which reports list it.
    :param events: how many of its events have come; None if a report may count earlier ones too.
    :param began_at: when its answer began to come.
    :param closed_at: when the connection of its answer was closed.
    """

    request_id: str
    events: int | None
    began_at: float
    closed_at: float


class RunEnd(enum.Enum):
    """What a report shows of a run whose connection was closed.

    ``CUT``: it goes on, or has made more than came. ``UNCLEAR``: a later report may show more.
    """

    ENDED = "ended"
    CUT = "cut"
    UNCLEAR = "unclear"


def judge_end(run: AnsweredRun, listed: t.Mapping[str, int] | None, asked_at: float) -> RunEnd:
    """Judge by a report whether a run has ended; none asked for ``REPORT_LAG_S`` later is unclear.

    :param listed: the events that each listed run has made, by request; None if it lists none.
    :param asked_at: when it was asked for, by the node's clock.
    """
    if listed is None:
        return RunEnd.ENDED
    tells_of_at = asked_at - defaults.REPORT_LAG_S
    made = listed.get(run.request_id)
    if made is None:
        return RunEnd.ENDED if tells_of_at >= run.began_at else RunEnd.UNCLEAR
    if run.events is not None and made > run.events:
        return RunEnd.CUT
    return RunEnd.CUT if tells_of_at >= run.closed_at else RunEnd.UNCLEAR
