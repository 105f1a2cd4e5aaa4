"""Endpoints that start again under the name that they had, holding nothing.

Each tells when it was started. Of two such times of one name the greater is the newer life,
and what was known of the other ends at once: what it held, its count of orders, the order
under way, that it was leaving or ejected. Words of the older life come late (a row of the
list, a report on its way, another node's word) and revive nothing.

A box whose clock stepped back starts with an earlier time than before. That is told apart
from a late word by the endpoint itself: asked twice in a row, it gives the earlier time both
times, while the one life that has ended answers nothing. What has been found so is ``sure``,
and counts with all nodes whatever its time. Where nobody asks it, the list's row decides once
it has stood for longer than any late word can (``relay_lists`` of the daemon).
"""

import typing as t

from . import defaults
from .effects import Effect
from .effects import ReadReport
from .endpoints import EndpointView
from .events import EndpointReported
from .rooms import Room
from .state import NodeState

Life = t.Literal["same", "new", "old"]


def judge(known: EndpointReported | None, event: EndpointReported) -> Life:
    """Say which life of its endpoint a report tells of, beside the one that is known.

    One that tells no start is taken for the same life.
    """
    if known is None or not known.born or not event.born or known.born == event.born:
        return "same"
    if event.sure or event.born > known.born:
        return "new"
    return "old"


def doubt(
    state: NodeState, view: EndpointView, event: EndpointReported
) -> tuple[EndpointReported, list[Effect]]:
    """Take a word that an endpoint is of an earlier start than is known.

    The lease holder asks the endpoint itself, and once more where it says so too: then it is
    sure.
    """
    room = state.residency.rooms.get(view.name)
    if event.own and view.doubted_born == event.born:
        return event._replace(sure=True), []
    if event.own:
        view.doubted_born = event.born
    asked_s = state.now - room.asked_at if room is not None else 0.0
    if room is None or not (event.own or asked_s >= defaults.LIFE_LOOK_S):
        return event, []
    room.asked_at = state.now
    return event, [ReadReport(view.name, defaults.LIFE_LOOK_S if event.own else 0.0)]


def begin(state: NodeState, view: EndpointView, event: EndpointReported) -> None:
    """Forget what was known of the life before."""
    view.begin_life(state.now)
    state.notices.begin(view.name, event.born, event.sure)
    state.rates.begin(view.name, event.born, event.sure)
    room = state.residency.rooms.get(view.name)
    if room is not None:
        state.residency.rooms[view.name] = _begin_room(room)
    state.record(view.name, f"began anew at {event.born}", "it was started again under its name")


def _begin_room(before: Room) -> Room:
    """Give a new life's account.

    An order to the life before names the endpoint alone, which has the same name now, and a
    count that the new life may come to; so a load that got no answer may be carried out yet.
    """
    room = Room()
    room.doubts = before.doubts
    order = before.order
    if order is not None and order.action == "load" and not order.taken:
        room.doubts.append(order)
    return room
