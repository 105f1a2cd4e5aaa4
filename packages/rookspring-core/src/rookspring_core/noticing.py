"""Handlers of what endpoints say of themselves, and of what nodes tell each other of it.

All of it comes in by one door, ahead of the outcome of the attempt with whose answer it came:
an attempt may be over by then, as its caller has left, or fail by a fault of this node.
"""

from . import notices
from . import requests
from .effects import Effect
from .effects import ShareLeaving
from .effects import ShareRates
from .effects import ShareShed
from .endpoints import EndpointView
from .events import EndpointSaid
from .events import LeavingHeard
from .events import RatesHeard
from .events import ShedHeard
from .notices import Leaving
from .notices import Notice
from .reducer import handles
from .request_rates import RateWord
from .state import NodeState

Effects = list[Effect]


@handles(EndpointSaid)
def take_notice(state: NodeState, event: EndpointSaid) -> Effects:
    """Take what the head of an answer says of its endpoint."""
    notice = event.notice
    if notice.life and notice.life != event.endpoint:
        return _take_other(state, event)
    effects: Effects = []
    if notice.leaving:
        effects += _note_leaving(state, event.endpoint, event.born)
    if notice.asked_rest_s() > 0.0:
        effects += _note_rest(state, event, notice)
    effects += _note_rate(state, event)
    if notice.misdirected:
        _note_lacking(state, event)
    return effects + requests.end_hopeless(state) + requests.pump(state)


def _take_other(state: NodeState, event: EndpointSaid) -> Effects:
    """Another process answers where an endpoint was asked: its word is of itself.

    The one that was asked is there no more, unless it has another address by now.
    """
    asked = state.endpoints.get(event.endpoint)
    if event.notice.misdirected and asked is not None and asked.address == event.address:
        asked.leaving = True
    other = state.endpoints.get(event.notice.life)
    if not event.notice.leaving or other is None or other.address != event.address:
        return []
    return _note_leaving(state, other.name, born_of(other))


def born_of(view: EndpointView) -> int:
    """Give the start of the life that is known of an endpoint; 0 where it is not told."""
    return view.report.born if view.report is not None else view.born


def _note_leaving(state: NodeState, endpoint: str, born: int) -> Effects:
    news = state.notices.take_leaving((Leaving(endpoint, born, state.now),), state.now)
    _mark(state, endpoint)
    if not news:
        return []
    state.record(endpoint, "leaves", "it said so with an answer")
    return [ShareLeaving(news)]


def note_listed(state: NodeState, endpoint: str, born: int) -> None:
    """Take that an endpoint's entry or report says that it leaves.

    All nodes learn of that by the list. It outlasts the entry, which may lapse and come back.
    """
    state.notices.take_leaving((Leaving(endpoint, born, state.now),), state.now)
    view = state.endpoints.get(endpoint)
    if view is not None:
        view.leaving = True


def _note_rest(state: NodeState, event: EndpointSaid, notice: Notice) -> Effects:
    rest_s = notice.asked_rest_s()
    state.notices.take_rest(event.endpoint, event.born, state.now + rest_s)
    _mark(state, event.endpoint)
    told = "no time told" if notice.rest_s is None else f"{notice.rest_s:g} s asked for"
    state.record(event.endpoint, f"rests for {rest_s:.2f} s", f"it turned a request away; {told}")
    return _tell_shed(state, event.endpoint, min(rest_s, notices.SHED_TOLD_S))


def says_anything(state: NodeState, endpoint: str, notice: Notice) -> bool:
    """Say whether an answer's head tells anything of its endpoint.

    That it names no rate does, of one that named one.
    """
    view = state.endpoints.get(endpoint)
    return not notice.says_nothing() or (view is not None and view.rate is not None)


def _note_rate(state: NodeState, event: EndpointSaid) -> Effects:
    notice = event.notice
    rates = state.rates
    news: tuple[RateWord, ...] = ()
    if notice.rate is not None:
        news = rates.name(event.endpoint, event.born, notice.rate, event.asked_at, state.now)
    elif not notice.names_rate:
        news = rates.cease(event.endpoint, event.born, event.asked_at)
    _mark_rates(state, news, "it said so with an answer")
    return _share_rates(news, "")


def _share_rates(rows: tuple[RateWord, ...], source: str) -> Effects:
    return [ShareRates(rows, source)] if rows else []


def _mark_rates(state: NodeState, rows: tuple[RateWord, ...], why: str) -> None:
    """Have the views of endpoints hold their rates."""
    for one in rows:
        _mark(state, one.endpoint)
        told = "names no rate now" if one.rate is None else f"takes {one.rate:g} requests a second"
        state.record(one.endpoint, told, why)


@handles(RatesHeard)
def hear_rates(state: NodeState, event: RatesHeard) -> Effects:
    """Take what another node says of endpoints' rates; what is news goes on from here."""
    merged = state.rates.merge(event.rows, state.now)
    _mark_rates(state, merged.news, f"{event.source} says so")
    _mark_rates(state, merged.denied, f"it said so lately, whatever {event.source} says")
    told = _share_rates(merged.news, event.source) + _share_rates(merged.denied, "")
    return told + (requests.pump(state) if merged.news else [])


def _tell_shed(state: NodeState, endpoint: str, for_s: float) -> Effects:
    """Tell the other nodes that an endpoint sheds, unless one of them has told all just now.

    Each node finds it out by itself; of 69 words in a second one says all.
    """
    view = state.endpoints.get(endpoint)
    if view is None or state.now < view.shed_until:
        return []
    view.shed_until = state.now + for_s
    return [ShareShed(endpoint, for_s)]


def _note_lacking(state: NodeState, event: EndpointSaid) -> None:
    """It does not hold what was asked for, whatever was believed."""
    view = state.endpoints.get(event.endpoint)
    if view is None or not event.target or not notices.same_life(event.born, born_of(view)):
        return
    before = view.targets()
    view.lacks(event.target, event.adapter)
    state.index(view, before, view.targets())


def _mark(state: NodeState, endpoint: str) -> None:
    view = state.endpoints.get(endpoint)
    if view is not None:
        recall(state, view)


def recall(state: NodeState, view: EndpointView) -> None:
    """Have a view hold what its endpoint's life has said: when it is made, or its life begins."""
    born = born_of(view)
    view.leaving = view.leaving or state.notices.leaves(view.name, born)
    view.rate = state.rates.rate_of(view.name, born)
    until = state.notices.rests_until(view.name, born)
    if until > state.now:
        view.rest_until = until


@handles(ShedHeard)
def hear_shed(state: NodeState, event: ShedHeard) -> Effects:
    """Prefer others for a while to what turned another node's request away.

    Rest is asked of one node, so this one may go on to send there.
    """
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.shed_until = max(view.shed_until, event.at + min(event.for_s, notices.SHED_TOLD_S))
    return []


@handles(LeavingHeard)
def hear_leaving(state: NodeState, event: LeavingHeard) -> Effects:
    """Take what another node says of endpoints that leave; what is news goes on from here."""
    news = state.notices.take_leaving(event.rows, state.now)
    if not news:
        return []
    for one in news:
        _mark(state, one.endpoint)
        state.record(one.endpoint, "leaves", f"{event.source} says so")
    told: Effects = [ShareLeaving(news, event.source)]
    return told + requests.end_hopeless(state) + requests.pump(state)


def find_withheld(state: NodeState, endpoint: str) -> str:
    """Say why a request that is about to be sent to an endpoint must not be; empty where it may.

    Between the decision and the first byte lies the making of a connection, up to a second.
    """
    view = state.endpoints.get(endpoint)
    if view is None:
        return "it is gone"
    if view.leaving:
        return "it leaves"
    return "it rests" if view.rests(state.now) else ""
