"""Detection of endpoints that restart under the same name, with empty memory.

Each endpoint reports its start time. Of two start times under one name the later one is the
current process, and everything known of the earlier process is dropped at once: its resident
models, its order count, the order in progress, and its leaving or ejected state. Messages about
the earlier process may still arrive late (a row of the list, a report in transit, another node's
message) and are ignored.

If the box's clock was stepped back, the new process has an earlier start time than the old one.
The endpoint itself distinguishes this case from a late message: read twice in a row, it reports
the earlier time both times, whereas a process that has ended doesn't answer. Such a report is
marked ``start_confirmed``, and every node accepts it whatever its start time. If no node reads the
endpoint, the list's row is accepted once it has stayed unchanged for longer than any message can
be late (``relay_endpoint_list`` of the daemon).
"""

import typing as t

from . import defaults
from . import endpoint_speeds
from .accounts import EndpointAccount
from .effects import Effect
from .effects import ReadReport
from .endpoints import EndpointView
from .events import EndpointReported
from .state import NodeState

StartOrder = t.Literal["same", "new", "old"]


def compare_starts(known: EndpointReported | None, event: EndpointReported) -> StartOrder:
    """Return whether a report is of the known process of its endpoint, a newer or an older one.

    A report without a start time counts as one of the known process.
    """
    if (
        known is None
        or not known.started_ms
        or not event.started_ms
        or known.started_ms == event.started_ms
    ):
        return "same"
    if event.start_confirmed or event.started_ms > known.started_ms:
        return "new"
    return "old"


def verify_earlier_start(
    state: NodeState, view: EndpointView, event: EndpointReported
) -> tuple[EndpointReported, list[Effect]]:
    """Verify a report whose start time is earlier than the known one.

    The lease holder reads the endpoint itself, and reads it once more if the first read gives
    that start time too; the second such read in a row is marked
    ``start_confirmed``.

    :return: the report, with ``start_confirmed`` set if it is verified, and the reads to make.
    """
    room = state.residency.accounts.get(view.name)
    if event.polled and view.unverified_start == event.started_ms:
        return event._replace(start_confirmed=True), []
    if event.polled:
        view.unverified_start = event.started_ms
    since_asked_s = state.now - room.report_requested_at if room is not None else 0.0
    if room is None or not (event.polled or since_asked_s >= defaults.RESTART_CHECK_S):
        return event, []
    room.report_requested_at = state.now
    return event, [ReadReport(view.name, defaults.RESTART_CHECK_S if event.polled else 0.0)]


def reset_endpoint(state: NodeState, view: EndpointView, event: EndpointReported) -> None:
    """Drop everything known of an endpoint's earlier process."""
    view.reset_for_restart(state.now)
    endpoint_speeds.forget_endpoint(state, view)
    state.notices.note_restart(view.name, event.started_ms, event.start_confirmed)
    state.rates.begin_incarnation(view.name, event.started_ms, event.start_confirmed)
    room = state.residency.accounts.get(view.name)
    if room is not None:
        state.residency.accounts[view.name] = _reset_room(room)
    state.record(view.name, f"restarted at {event.started_ms}", "it was restarted under its name")


def _reset_room(previous: EndpointAccount) -> EndpointAccount:
    """Return an empty account of memory and orders for a new process.

    An order to the earlier process names only the endpoint, whose name is unchanged, and an
    order count that the new process may reach. So a load that was not answered may still be
    carried out, and its memory is kept among the doubts.
    """
    room = EndpointAccount()
    room.unanswered_loads = previous.unanswered_loads
    order = previous.order
    if order is not None and order.action == "load" and not order.taken:
        room.unanswered_loads.append(order)
    return room
