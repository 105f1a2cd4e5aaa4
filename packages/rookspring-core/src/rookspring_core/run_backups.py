"""Backups of runs: what tells a whole stream from a cut one where nothing else does.

A stream of one attempt that its endpoint closes alone in its midst, while it lives on, looks like
one that is whole. So where answers of a service end with their connection, such a stream names
another endpoint as it is sent. Its run's memory is sent there as it grows, and dropped there once
the run has ended well: it goes on there after an end that was not its own, as the same run, and is
refused there after a whole one. Each time that it is asked for there counts as a resend.

An endpoint that doesn't know these calls would take such a request for a new one and run it again.
So both endpoints have to have made or held a copy of a run before; one is made to show that.
"""

from . import close_ends
from . import routed
from . import run_copies
from .effects import Effect
from .endpoints import EndpointView
from .events import AttemptFailed
from .state import NodeState
from .state import RequestState
from .state import RunCopy

Effects = list[Effect]

# The share of a service's resends that is kept as ends are asked about that look like the answer's
# own because nothing speaks against them alone. Such ends come first: fewer are whole.
BARE_KEPT_SHARE = close_ends.KEPT_BUDGET_SHARE / 2.0
# From how many backups in a row a stream goes on without a further event.
USED_MAX = 2
# How long after a call for a first copy an endpoint is asked for another one, if it made none: it
# may have had no room for it, or no such run any more.
TRIAL_EACH_S = 10.0


def choose(state: NodeState, request: RequestState, source: EndpointView) -> str:
    """Choose the endpoint to hold a backup of a run that begins; empty if it gets none.

    :param source: the endpoint that runs it.
    """
    if not _is_exposed(state, request, source) or not source.copies_known:
        return ""
    found = run_copies.choose_holder(state, request, source, _may_hold)
    return found.name if found is not None else ""


def _may_hold(source: EndpointView, view: EndpointView) -> bool:
    same = view.software_version() == source.software_version()
    return view.copies_known and same


def _is_exposed(state: NodeState, request: RequestState, view: EndpointView) -> bool:
    """Return whether a run at an endpoint is a stream whose cut end may look whole."""
    arrived = request.arrived
    terms = arrived.route
    if terms is None or not arrived.stream or arrived.repeatable or view.role != "runner":
        return False
    if arrived.deadline_at - state.now <= run_copies.COPY_LEFT_MIN_S:
        return False
    return state.close_records.ends_by_close(terms.service, state.now)


def ask_trial(state: NodeState, request: RequestState, view: EndpointView) -> Effects:
    """Ask an endpoint for a first copy of a run, which shows that it knows these calls."""
    if view.copies_known or request.copy is not None or request.handed_to:
        return []
    if not _is_exposed(state, request, view) or view.leaving or view.gone:
        return []
    if state.now - view.copies_asked_at < TRIAL_EACH_S:
        return []
    found = run_copies.choose_holder(state, request, view)
    if found is None:
        return []
    view.copies_asked_at = state.now
    return [run_copies.have_copied(request, view, found, trial=True)]


def find_kept_share(likely: bool, clear: bool) -> float:
    """Return the share of a service's resends that is kept as an end by a close is asked about.

    :param likely: the end looks like the answer's own; see :mod:`close_ends`.
    :param clear: another answer went on behind it.
    """
    if not likely:
        return 0.0
    return close_ends.KEPT_BUDGET_SHARE if clear else BARE_KEPT_SHARE


def find_holder(
    state: NodeState, request: RequestState, kept_share: float = 0.0
) -> EndpointView | None:
    """Return the endpoint at which a request can be asked for its backup now; None if nowhere.

    :param kept_share: of its service's resends, that has to be left beside it.
    """
    terms = request.arrived.route
    if not request.backup or terms is None or request.arrived.deadline_at <= state.now:
        return None
    if request.backups_used >= USED_MAX:
        return None
    if not routed.resend_window(state, terms.service).has_left(state.now, kept_share):
        return None
    view = run_copies.find_usable(state, request, request.backup)
    return view if view is not None and view.copies_known else None


def put_in_place(state: NodeState, request: RequestState, name: str) -> Effects:
    """Put a run's backup in the place of its copy, from which it goes on, at the price of a resend.

    :param name: of the copy at the backup's holder.
    """
    holder = find_holder(state, request)
    effects = run_copies.drop(state, request)
    terms = request.arrived.route
    if holder is None or terms is None:
        return effects
    routed.resend_window(state, terms.service).spend(state.now)
    request.asked_backup = True
    request.backups_used += 1
    request.copy = RunCopy(holder.name, name)
    return effects


def note_refusal(state: NodeState, request: RequestState, event: AttemptFailed) -> None:
    """Note that an end which looked like the answer's own was, as its backup isn't there."""
    asked, request.asked_backup = request.asked_backup, False
    terms = request.arrived.route
    if asked and request.end_likely and event.reported_not_run and terms is not None:
        state.close_records.note_outcome(terms.service, True, state.now)
