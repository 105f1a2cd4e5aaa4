"""Mutants of the decisions of a node that reaches no endpoint, and of what others do for it."""

import typing as t

from rookspring import relay_attempts
from rookspring import relay_handovers
from rookspring_core import cluster
from rookspring_core import defaults
from rookspring_core import endpoint_reach
from rookspring_core import handovers
from rookspring_core.endpoints import EndpointView
from rookspring_core.event_order import EventOrder
from rookspring_core.reach import Reach

from .mutant import BEGUN_STREAMS
from .mutant import HANDOVERS
from .mutant import HANDOVERS_SOCKETS
from .mutant import ISOLATION
from .mutant import PASSED_ON
from .mutant import Mutant


def _never(*args: t.Any) -> bool:
    return False


def _nothing(*args: t.Any) -> list[t.Any]:
    return []


def _applies_to_all(state: t.Any, arrived: t.Any) -> bool:
    return state.reach.isolated and arrived.route is not None


def _send_again(state: t.Any, request: t.Any, event: t.Any) -> list[t.Any]:
    request.handed_to = ""
    request.running = False
    return handovers.hand_over(state, request)


def _any_peer(state: t.Any) -> t.Iterator[t.Any]:
    yield from state.membership.peers.values()


def _near_alone(state: t.Any) -> tuple[str, ...]:
    own = state.identity.data_centre
    near = [p for p in handovers.reaching_peers(state) if p.heartbeat.data_centre == own]
    return tuple(sorted(p.heartbeat.name for p in near or handovers.reaching_peers(state)))


def _first_peer(state: t.Any, request: t.Any) -> t.Any:
    names = [name for name in handovers._peers(state) if name not in request.nodes_tried]
    return state.membership.peers.get(min(names, default=""))


async def _trust_refusals(context: t.Any, view: t.Any, error: t.Any) -> None:
    await context.reach_probes.confirm(view.name)


def _all_rows(rows: list[t.Any]) -> list[t.Any]:
    return rows


def _only_reaching(rows: list[t.Any]) -> list[t.Any]:
    return [row for row in rows if not row.isolated]


def _one_box(state: t.Any, besides: str = "", tried: t.Collection[str] = ()) -> list[str]:
    return sorted(state.endpoints)[:3]


def _count_nothing(self: Reach, node: str, change: int) -> None:
    self.handed[node] = self.handed.get(node, 0) + 1


def _may_always_take(state: t.Any) -> bool:
    return not state.leaving


def _find_any_silence(state: t.Any) -> bool:
    return any(request.running for request in state.requests.values())


def _hear_alone(self: EndpointView, now: float) -> None:
    self.responded_at = now


def _doubt_always(self: EndpointView, now: float) -> None:
    self.responded_at = now
    if self.told_down_at < now:
        self.down = False
        self.ejected_until = -1e9


async def _pass_all_on(
    context: t.Any, effect: t.Any, exchange: t.Any, reply: t.Any, head: t.Any, answers: t.Any
) -> None:
    exchange.started = False
    await _pass_on(context, effect, exchange, reply, head, answers)


_pass_on = relay_handovers._pass_on


def _forget_events(context: t.Any, effect: t.Any, exchange: t.Any) -> bytes:
    exchange.last_event = ""
    return _write_request(context, effect, exchange)


_write_request = relay_handovers._write_request


class _AnyOrder(EventOrder):
    """Takes events in any order."""

    def accept(self, ids: t.Sequence[str | None]) -> str:
        self.last = next((one for one in reversed(ids) if one), self.last)
        return ""


def _note_progress_alone(
    context: t.Any, effect: t.Any, exchange: t.Any, events: t.Any, last: str
) -> None:
    before = exchange.last_event
    _note_events(context, effect, exchange, events, last)
    exchange.last_event = before


def _tell_all_events(
    context: t.Any, effect: t.Any, exchange: t.Any, events: t.Any, last: str
) -> None:
    _note_events(context, effect, exchange, events, last or "0")


_note_events = relay_handovers._note_events


def _take_all_up(state: t.Any, request: t.Any, event: t.Any) -> bool:
    """Take every cut handover up, within the limits."""
    return bool(event.sent) and handovers.routed.may_retry(state, request, event)


def _take_up_freely(state: t.Any, request: t.Any, event: t.Any) -> bool:
    return bool(event.sent and request.delivered and request.arrived.repeatable)


def _retry_anywhere(state: t.Any, request: t.Any, event: t.Any) -> bool:
    """Hand over within the route's limit, to however many nodes."""
    delivered = bool(event.sent and request.delivered)
    return delivered and handovers.routed.may_retry(state, request, event)


def _take_back_for_any(state: t.Any, request: t.Any) -> None:
    before = request.arrived
    _take_back(state, request)
    request.arrived = before


_take_back = handovers.take_back


MUTANTS = (
    Mutant("takes up nothing", "isolated node", handovers, "may_go_on", _never, ISOLATION),
    Mutant(
        "takes up what is not begun",
        "isolated node",
        handovers,
        "may_go_on",
        _take_all_up,
        ISOLATION,
    ),
    Mutant(
        "takes up without limits",
        "isolated node",
        handovers,
        "may_go_on",
        _take_up_freely,
        ISOLATION,
    ),
    Mutant(
        "hands over to all in turn",
        "isolated node",
        handovers,
        "may_go_on",
        _retry_anywhere,
        ISOLATION,
    ),
    Mutant(
        "goes on at any version",
        "isolated node",
        handovers,
        "take_back",
        _take_back_for_any,
        ISOLATION,
    ),
    Mutant(
        "passes events in any order on",
        "isolated node",
        relay_handovers,
        "EventOrder",
        _AnyOrder,
        PASSED_ON,
    ),
    Mutant(
        "forgets what it passed on",
        "isolated node",
        relay_handovers,
        "_note_events",
        _note_progress_alone,
        PASSED_ON,
    ),
    Mutant(
        "takes events without ids as progress",
        "isolated node",
        relay_handovers,
        "_note_events",
        _tell_all_events,
        PASSED_ON,
    ),
    Mutant(
        "sends a second head",
        "isolated node",
        relay_handovers,
        "_pass_on",
        _pass_all_on,
        BEGUN_STREAMS,
    ),
    Mutant(
        "begins streams anew",
        "isolated node",
        relay_handovers,
        "_write_request",
        _forget_events,
        BEGUN_STREAMS,
    ),
    Mutant("believes all", "isolated node", EndpointView, "hear", _hear_alone, ISOLATION),
    Mutant("doubts at once", "isolated node", EndpointView, "hear", _doubt_always, ISOLATION),
    Mutant("hands nothing over", "isolated node", handovers, "applies", _never, ISOLATION),
    Mutant("hands on", "isolated node", handovers, "applies", _applies_to_all, ISOLATION),
    Mutant(
        "hands over what was sent", "isolated node", handovers, "recover", _send_again, ISOLATION
    ),
    Mutant(
        "leaves waiting ones", "isolated node", handovers, "hand_over_waiting", _nothing, ISOLATION
    ),
    Mutant("leaves unsent ones", "isolated node", handovers, "may_hand_over", _never, ISOLATION),
    Mutant(
        "hands over to any node", "isolated node", handovers, "reaching_peers", _any_peer, ISOLATION
    ),
    Mutant("hands over nearby alone", "isolated node", handovers, "_peers", _near_alone, ISOLATION),
    Mutant(
        "hands all over to one", "isolated node", handovers, "_choose_peer", _first_peer, ISOLATION
    ),
    Mutant("never counts ends", "isolated node", Reach, "count_handed", _count_nothing, ISOLATION),
    Mutant(
        "keeps what it found", "isolated node", EndpointView, "forget_failures", _never, ISOLATION
    ),
    Mutant("leaves prompts", "isolated node", endpoint_reach, "_end_prompts", _nothing, ISOLATION),
    Mutant("asks one box", "isolated node", endpoint_reach, "choose_probes", _one_box, ISOLATION),
    Mutant("ignores silence", "isolated node", endpoint_reach, "_is_silent", _never, ISOLATION),
    Mutant(
        "probes whatever goes on",
        "isolated node",
        endpoint_reach,
        "_is_silent",
        _find_any_silence,
        ISOLATION,
    ),
    Mutant(
        "keeps the lease",
        "isolated node",
        endpoint_reach,
        "release_lease_if_isolated",
        _nothing,
        ISOLATION,
    ),
    Mutant("takes the lease back", "isolated node", defaults, "LEASE_ISOLATED_S", 0.0, ISOLATION),
    Mutant("invites to all", "isolated node", cluster, "_prefer_reaching", _all_rows, ISOLATION),
    Mutant(
        "invites to too few",
        "isolated node",
        cluster,
        "_prefer_reaching",
        _only_reaching,
        ISOLATION,
    ),
    Mutant(
        "passes on refusals of what was sent before",
        "isolated node",
        relay_handovers,
        "check_refusal",
        _nothing,
        HANDOVERS_SOCKETS,
    ),
    Mutant(
        "tells refusals as ends",
        "isolated node",
        relay_attempts,
        "_check_reach",
        _trust_refusals,
        HANDOVERS,
    ),
)
