"""Handlers of endpoints' notices, and of the messages by which nodes share them.

A notice is handled before the outcome of the attempt whose response it came with, and apart from
it: the attempt may already be over, since its caller has left, or fail by a fault of this node.
"""

from . import notices
from . import requests
from . import run_copies
from .effects import Effect
from .effects import ShareLeaving
from .effects import ShareRates
from .effects import ShareShed
from .endpoints import EndpointView
from .events import LeavingReceived
from .events import NoticeReceived
from .events import RatesReceived
from .events import ShedReceived
from .notices import Leaving
from .notices import Notice
from .reducer import handles
from .request_rates import RateRecord
from .state import NodeState

Effects = list[Effect]


@handles(NoticeReceived)
def handle_notice(state: NodeState, event: NoticeReceived) -> Effects:
    """Apply the notice in a response's headers."""
    notice = event.notice
    if notice.process_name and notice.process_name != event.endpoint:
        return _handle_other_process(state, event)
    effects: Effects = []
    if notice.leaving:
        effects += _note_leaving(state, event.endpoint, event.started_ms)
    if notice.requested_backoff_s() > 0.0:
        effects += _note_backoff(state, event, notice)
    effects += _note_rate(state, event)
    if notice.misdirected:
        _note_missing_target(state, event)
    return effects + requests.refuse_backed_off(state) + requests.dispatch_waiting(state)


def _handle_other_process(state: NodeState, event: NoticeReceived) -> Effects:
    """Handle a notice from another process than the endpoint that the request was sent to.

    The notice is about that process. The endpoint has lost its address to it, unless the list has
    given the endpoint a new address meanwhile.
    """
    asked = state.endpoints.get(event.endpoint)
    if event.notice.misdirected and asked is not None and asked.address == event.address:
        asked.leaving = True
    other = state.endpoints.get(event.notice.process_name)
    if not event.notice.leaving or other is None or other.address != event.address:
        return []
    return _note_leaving(state, other.name, known_start(other))


def known_start(view: EndpointView) -> int:
    """Return the start time of the process known at an endpoint; 0 if unknown."""
    return view.report.started_ms if view.report is not None else view.started_ms


def _note_leaving(state: NodeState, endpoint: str, started_ms: int) -> Effects:
    added = state.notices.merge_leaving((Leaving(endpoint, started_ms, state.now),), state.now)
    _restore_view(state, endpoint)
    if not added:
        return []
    state.record(endpoint, "is leaving", "stated in a response")
    return [ShareLeaving(added), *_copy_runs(state, endpoint)]


def _copy_runs(state: NodeState, endpoint: str) -> Effects:
    view = state.endpoints.get(endpoint)
    return run_copies.ask_at(state, view) if view is not None else []


def note_listed(state: NodeState, endpoint: str, started_ms: int) -> None:
    """Record that an endpoint is leaving by its entry or report.

    It is not shared, since every node reads the list. The record is kept beyond the entry, which
    may lapse and be written again.
    """
    state.notices.merge_leaving((Leaving(endpoint, started_ms, state.now),), state.now)
    view = state.endpoints.get(endpoint)
    if view is not None:
        view.leaving = True


def _note_backoff(state: NodeState, event: NoticeReceived, notice: Notice) -> Effects:
    backoff_s = notice.requested_backoff_s()
    state.notices.add_backoff(event.endpoint, event.started_ms, state.now + backoff_s)
    _restore_view(state, event.endpoint)
    given = "no time given" if notice.backoff_s is None else f"{notice.backoff_s:g} s requested"
    state.record(event.endpoint, f"back-off of {backoff_s:.2f} s", f"it refused a request; {given}")
    return _share_shed(state, event.endpoint, min(backoff_s, notices.SHED_MAX_S))


def has_news(state: NodeState, endpoint: str, notice: Notice) -> bool:
    """Return whether a response's headers state anything about its endpoint.

    The absence of a rate counts, if the endpoint stated one before.
    """
    view = state.endpoints.get(endpoint)
    return not notice.is_empty() or (view is not None and view.rate is not None)


def _note_rate(state: NodeState, event: NoticeReceived) -> Effects:
    notice = event.notice
    rates = state.rates
    added: tuple[RateRecord, ...] = ()
    if notice.rate is not None:
        added = rates.set_limit(
            event.endpoint, event.started_ms, notice.rate, event.asked_at, state.now
        )
    elif not notice.names_rate:
        added = rates.end_limit(event.endpoint, event.started_ms, event.asked_at)
    _mark_rates(state, added, "stated in a response")
    return _share_rates(added, "")


def _share_rates(rows: tuple[RateRecord, ...], source: str) -> Effects:
    return [ShareRates(rows, source)] if rows else []


def _mark_rates(state: NodeState, rows: tuple[RateRecord, ...], why: str) -> None:
    """Copy changed rates to the views of their endpoints, and record the change."""
    for one in rows:
        _restore_view(state, one.endpoint)
        change = "no request rate" if one.rate is None else f"accepts {one.rate:g} requests/s"
        state.record(one.endpoint, change, why)


@handles(RatesReceived)
def handle_rates(state: NodeState, event: RatesReceived) -> Effects:
    """Merge endpoints' rates from another node, and forward those that are new here."""
    merged = state.rates.merge(event.rows, state.now)
    _mark_rates(state, merged.updates, f"{event.source} reported it")
    _mark_rates(
        state, merged.corrections, f"stated recently, contrary to what {event.source} reports"
    )
    shared = _share_rates(merged.updates, event.source) + _share_rates(merged.corrections, "")
    return shared + (requests.dispatch_waiting(state) if merged.updates else [])


def _share_shed(state: NodeState, endpoint: str, for_s: float) -> Effects:
    """Announce to the other nodes that an endpoint sheds load, unless one of them has just done so.

    Each node that sends there finds out by itself, so with 69 nodes there could be 69 such
    messages within a second, of which one is enough.
    """
    view = state.endpoints.get(endpoint)
    if view is None or state.now < view.shed_until:
        return []
    view.shed_until = state.now + for_s
    return [ShareShed(endpoint, for_s)]


def _note_missing_target(state: NodeState, event: NoticeReceived) -> None:
    """Remove a target from the view of an endpoint that has just stated that it lacks it."""
    view = state.endpoints.get(event.endpoint)
    if (
        view is None
        or not event.target
        or not notices.may_be_same_process(event.started_ms, known_start(view))
    ):
        return
    before = view.targets()
    view.remove_target(event.target, event.adapter)
    state.index(view, before, view.targets())


def _restore_view(state: NodeState, endpoint: str) -> None:
    view = state.endpoints.get(endpoint)
    if view is not None:
        restore_notices(state, view)


def restore_notices(state: NodeState, view: EndpointView) -> None:
    """Restore the notices of an endpoint's process to its view, when either of them is new."""
    started_ms = known_start(view)
    view.leaving = view.leaving or state.notices.is_leaving(view.name, started_ms)
    view.rate = state.rates.rate_of(view.name, started_ms)
    until = state.notices.backoff_end(view.name, started_ms)
    if until > state.now:
        view.backoff_until = until


@handles(ShedReceived)
def handle_shed(state: NodeState, event: ShedReceived) -> Effects:
    """Add to the load estimate of an endpoint that refused another node's request.

    The back-off binds only that node, so this one may still send requests there.
    """
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.shed_until = max(view.shed_until, event.at + min(event.for_s, notices.SHED_MAX_S))
    return []


@handles(LeavingReceived)
def handle_leaving(state: NodeState, event: LeavingReceived) -> Effects:
    """Merge leaving processes from another node, and forward those that are new here."""
    added = state.notices.merge_leaving(event.rows, state.now)
    if not added:
        return []
    for one in added:
        _restore_view(state, one.endpoint)
        state.record(one.endpoint, "is leaving", f"{event.source} reported it")
    shared: Effects = [ShareLeaving(added, event.source)]
    for one in added:
        shared += _copy_runs(state, one.endpoint)
    return shared + requests.refuse_backed_off(state) + requests.dispatch_waiting(state)


def find_withheld(state: NodeState, endpoint: str) -> str:
    """Return why a request must not be sent to its chosen endpoint any more; empty if it may be.

    Connecting may take up to a second between the routing decision and the first byte.
    """
    view = state.endpoints.get(endpoint)
    if view is None:
        return "it is gone"
    if view.leaving:
        return "it leaves"
    if view.evacuated:
        return "its data centre is evacuated"
    return "it rests" if view.in_backoff(state.now) else ""
