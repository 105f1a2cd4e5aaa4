"""Copies of streams' runs at endpoints that leave, and the runs that go on from them.

An endpoint that leaves may end its runs in their midst, cleanly or not, and a stream that may be
sent to one endpoint alone has no other way on. So as soon as an endpoint is known to leave, another
one is to hold a copy of each of its runs, from which the run goes on after any end that may not be
the answer's own. It is the same run then, on any route, and costs no resend. Whether the first
answer was whole is shown by the second, which has no further event then.
"""

import math
import typing as t

from . import stream_origins
from . import suspect_handlers
from .effects import CopyRun
from .effects import Effect
from .effects import FreeCopy
from .endpoints import EndpointView
from .events import RunCopied
from .events import RunNotCopied
from .reducer import handles
from .state import NodeState
from .state import RequestState
from .state import RunCopy

Effects = list[Effect]

# How many endpoints are asked to hold a copy of one run.
COPIES_MAX = 2
# How long before its deadline a request is not worth a copy.
COPY_LEFT_MIN_S = 0.5


def begin(request: RequestState) -> None:
    """Begin a run, of which there is no copy yet."""
    request.copies_left = COPIES_MAX
    request.copy_refusers = set()


def ask(state: NodeState) -> Effects:
    """Ask for copies of the runs at all endpoints that leave or are gone."""
    effects: Effects = []
    for view in state.endpoints.values():
        if view.inflight:
            effects += ask_at(state, view)
    return effects


def ask_at(state: NodeState, view: EndpointView) -> Effects:
    """Ask for copies of this node's runs at an endpoint, if it leaves or is gone.

    All are asked for at once, since they are made one after the other.
    """
    if not (view.leaving or view.gone):
        view.left_at = math.inf
        return []
    view.left_at = min(view.left_at, state.now)
    effects: Effects = []
    for identity in list(view.inflight):
        request = state.requests.get(identity)
        if request is not None and _is_exposed(state, request, view):
            effects += _ask_for(state, request, view)
    return effects


def _is_exposed(state: NodeState, request: RequestState, view: EndpointView) -> bool:
    """Return whether a request runs at an endpoint as a stream that has begun and can be copied.

    A run that has made no event may wait there still, and none can be copied that waits.
    """
    arrived = request.arrived
    if not request.running or request.handed_to or request.endpoint != view.name:
        return False
    if arrived.route is None or not arrived.stream or view.role != "runner":
        return False
    if request.first_event_at is None or request.dispatched_at < view.restarted_at:
        return False
    return arrived.deadline_at - state.now > COPY_LEFT_MIN_S


def _ask_for(state: NodeState, request: RequestState, view: EndpointView) -> Effects:
    effects: Effects = []
    if request.copy is not None:
        holder = state.endpoints.get(request.copy.holder)
        if not request.copy.name or (holder is not None and not holder.closed):
            return effects
        effects += drop(state, request)
    found = choose_holder(state, request, view) if request.copies_left else None
    if found is None:
        return effects
    request.copies_left -= 1
    return [*effects, have_copied(request, view, found)]


def have_copied(
    request: RequestState, source: EndpointView, holder: EndpointView, trial: bool = False
) -> CopyRun:
    """Have a request's run copied.

    :param trial: see :class:`RunCopy`.
    """
    request.copy = RunCopy(holder.name, trial=trial)
    identity = request.arrived.request_id
    holder.copies.add(identity)
    return CopyRun(identity, request.attempt, source.name, holder.name)


def choose_holder(
    state: NodeState,
    request: RequestState,
    source: EndpointView,
    may_hold: t.Callable[[EndpointView, EndpointView], bool] = lambda source, view: True,
) -> EndpointView | None:
    """Choose the endpoint to hold a copy; None if none has room.

    One of the same data centre comes first, since copies take longer between them.

    :param may_hold: whether a copy of a source's run may be at another endpoint.
    """
    usable = [
        view
        for view in state.hosts.get(request.arrived.target, {}).values()
        if view is not source
        and view.name not in request.copy_refusers
        and view.accepts_work(state.now)
        and view.load(state.now) < 1.0
        and _may_go_on_at(state, request, view)
        and may_hold(source, view)
    ]
    return min(
        usable,
        key=lambda view: (
            view.data_centre != source.data_centre,
            view.load(state.now),
            view.name,
        ),
        default=None,
    )


def _may_go_on_at(state: NodeState, request: RequestState, view: EndpointView) -> bool:
    """Return whether a run may go on at an endpoint, which has what it needs.

    Not at one with a request rate: only its owner grants the permits.
    """
    arrived = request.bind_to_version()
    assert arrived.route is not None
    if view.service != arrived.route.service or view.role != "runner":
        return False
    if not arrived.service and not view.serves(arrived.target, False):
        return False
    if arrived.adapter and not view.has_adapter(arrived.adapter):
        return False
    return view.rate is None and stream_origins.may_go_on_at(state, arrived, view)


@handles(RunCopied)
def note_copy(state: NodeState, event: RunCopied) -> Effects:
    """Keep a copy of a run for as long as the run may need it.

    One that was to show that the calls are known isn't needed, unless its source leaves now.
    """
    source = state.endpoints.get(event.source)
    for view in (source, state.endpoints.get(event.holder)):
        if view is not None:
            view.copies_known = True
    request = _find_awaiting(state, event)
    if request is None or request.copy is None:
        return [FreeCopy(event.holder, event.name)]
    trial = request.copy.trial
    request.copy = RunCopy(event.holder, event.name)
    if trial and source is not None and not (source.leaving or source.gone):
        return drop(state, request)
    return []


@handles(RunNotCopied)
def note_no_copy(state: NodeState, event: RunNotCopied) -> Effects:
    """Ask another endpoint to hold the copy of a run, unless the run can't be copied."""
    request = _find_awaiting(state, event)
    if request is None:
        return []
    drop(state, request)
    request.copy_refusers.add(event.holder)
    if event.unknown:
        request.copies_left = 0
    source = state.endpoints.get(request.endpoint)
    return ask_at(state, source) if source is not None else []


def _find_awaiting(state: NodeState, event: RunCopied | RunNotCopied) -> RequestState | None:
    """Return the request whose copy an event is about; None if it isn't awaited any more."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return None
    copy = request.copy
    awaited = copy is not None and copy.holder == event.holder and not copy.name
    return request if awaited else None


def drop(state: NodeState, request: RequestState) -> Effects:
    """Free a request's copy, if it has one. One that is still being made is freed as it is told."""
    copy, request.copy = request.copy, None
    if copy is None:
        return []
    holder = state.endpoints.get(copy.holder)
    if holder is not None:
        holder.copies.discard(request.arrived.request_id)
    return [FreeCopy(copy.holder, copy.name)] if copy.name else []


def find_name(state: NodeState, request_id: str) -> str:
    """Return the name of the copy from which a request's run can go on now; empty if none."""
    request = state.requests.get(request_id)
    if request is None or request.copy is None or find_holder(state, request) is None:
        return ""
    return request.copy.name


def find_holder(state: NodeState, request: RequestState) -> EndpointView | None:
    """Return the endpoint at which a request's run can go on from its copy now; None if nowhere."""
    if request.copy is None or not request.copy.name or request.arrived.deadline_at <= state.now:
        return None
    return find_usable(state, request, request.copy.holder)


def find_usable(state: NodeState, request: RequestState, name: str) -> EndpointView | None:
    """Return the endpoint that holds a copy of a request's run, if it can go on there now."""
    view = state.endpoints.get(name)
    if view is None or view.closed or view.in_backoff(state.now):
        return None
    if not view.may_listen(state.now) or not _may_go_on_at(state, request, view):
        return None
    if suspect_handlers.find_quarantine(state, request.arrived) is not None:
        return None
    return view


def use(state: NodeState, request: RequestState) -> EndpointView:
    """Use up a request's copy, from which its run goes on now; return where."""
    copy, request.copy = request.copy, None
    assert copy is not None
    holder = state.endpoints[copy.holder]
    holder.copies.discard(request.arrived.request_id)
    return holder
