"""What has to hold for every row of :mod:`ends_table`: the caller's view against what runs made."""

import typing as t

from . import ends_table
from .ends_table import Row
from .planned_runs import PlannedRun

# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
ATTEMPTS = 2
# Whose process has ended right after the answer, so that a close is no sign of its own end.
ENDED = ends_table.EXITS
# For which a run may begin after its caller has left, in seconds: it was on its way.
ON_ITS_WAY_S = 0.2


class View(t.NamedTuple):
    """What a caller got, by all its requests for the row together.

    :param status: of its last answer; 0 if its connection ended without one.
    :param body: the bytes of all its answers together.
    :param complete: whether the last answer was told as complete.
    :param stamped: whether each success bore the stamp of an endpoint.
    :param left_at: when it left, in seconds; 0 if it did not.
    """

    status: int
    body: bytes
    complete: bool
    stamped: bool
    left_at: float


class Outcome(t.NamedTuple):
    """What came of a row.

    :param whole: the whole answer, as an endpoint makes it.
    :param open_runs: the runs that their endpoints had not ended some time after the answer.
    :param met: whether the run that the row is about has come about.
    """

    row: Row
    view: View
    whole: bytes
    runs: list[PlannedRun]
    open_runs: int
    met: bool


CHECKS: dict[str, t.Callable[[Outcome], bool]] = {}
F = t.TypeVar("F", bound=t.Callable[[Outcome], bool])


def check(name: str) -> t.Callable[[F], F]:
    """Register a check by what it means that it returns true: the rule is broken."""

    def register(function: F) -> F:
        CHECKS[name] = function
        return function

    return register


def find_broken(outcome: Outcome) -> list[str]:
    """Return the names of the checks that an outcome breaks."""
    return [name for name, is_broken in CHECKS.items() if is_broken(outcome)]


def is_served(outcome: Outcome) -> bool:
    """Return whether its caller was told of a complete success."""
    return outcome.view.complete and outcome.view.status == 200


@check("told as complete, and is not whole")
def _is_early(outcome: Outcome) -> bool:
    early = is_served(outcome) and outcome.view.body != outcome.whole
    return early and not ends_table.find_untold(outcome.row)


@check("an end that nothing tells is told now: take it from UNTOLD and from docs/questions.md")
def _is_told(outcome: Outcome) -> bool:
    return bool(ends_table.find_untold(outcome.row)) and not (
        is_served(outcome) and len(outcome.view.body) < len(outcome.whole)
    )


@check("bytes that are no beginning of the answer")
def _is_mixed(outcome: Outcome) -> bool:
    if outcome.view.status != 200:
        return False
    return not (outcome.whole.startswith(outcome.view.body) and outcome.view.stamped)


@check("sound and in time, and not delivered whole")
def _is_withheld(outcome: Outcome) -> bool:
    return _must_be_whole(outcome.row) and not is_served(outcome)


@check("an end that is doubted is believed now: take it from DOUBTED")
def _is_believed(outcome: Outcome) -> bool:
    return bool(ends_table.find_doubted(outcome.row)) and is_served(outcome)


def _must_be_whole(row: Row) -> bool:
    if row.caller == "leaves" or ends_table.find_doubted(row):
        return False
    if row.caller == "takes up":
        return True
    if row.end == "last byte" and (row.framing != "neither" or row.cause not in ENDED):
        # A body without a length and chunks shows its end by its JSON.
        return True
    if row.end == "last byte" and row.kind not in ends_table.STREAMS:
        return True
    # Another run follows, in chunks, where an attempt and time are left.
    in_time = row.cause != "deadline" and row.end != "silence"
    return in_time and row.kind in ends_table.REPEATABLE and row.place != "resumed"


@check("the run that the row is about does not come about")
def _is_missed(outcome: Outcome) -> bool:
    return not outcome.met


@check("no answer")
def _is_unanswered(outcome: Outcome) -> bool:
    return not outcome.view.left_at and outcome.view.status == 0


@check("a run goes on after its request has ended")
def _lingers(outcome: Outcome) -> bool:
    return outcome.open_runs > 0


@check("a run begins after its caller has left")
def _begins_late(outcome: Outcome) -> bool:
    left_at = outcome.view.left_at
    return left_at > 0 and any(run.begun_at > left_at + ON_ITS_WAY_S for run in outcome.runs)


@check("more runs than its route allows")
def _runs_again(outcome: Outcome) -> bool:
    most = ATTEMPTS if outcome.row.kind in ends_table.REPEATABLE else 1
    ids = [run.request_id for run in outcome.runs]
    return any(ids.count(one) > most for one in ids)


@check("told as not run, and it has run")
def _is_denied(outcome: Outcome) -> bool:
    once = outcome.row.kind not in ends_table.REPEATABLE
    return once and outcome.view.status in NOT_RUN_STATUSES and bool(outcome.runs)
