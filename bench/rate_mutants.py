"""Wrong decisions about the requests a second that endpoints name."""

import typing as t

from rookspring import relay_notices
from rookspring import relay_owners
from rookspring_core import defaults as core_defaults
from rookspring_core import notice_handlers
from rookspring_core import planning
from rookspring_core import request_rates
from rookspring_core import routed
from rookspring_core import slot_requests
from rookspring_core.endpoints import EndpointView
from rookspring_core.membership import Membership
from rookspring_core.owners import OwnerTable
from rookspring_core.rate_buckets import RateBucket
from rookspring_core.request_rates import RateTable
from rookspring_core.slot_queues import SlotQueue

from .mutant import RATES
from .mutant import Mutant

_USE = SlotQueue.set_endpoints
_BUCKET = RateBucket.__init__


def _nothing(*given: t.Any, **named: t.Any) -> None:
    return None


def _no_effects(*given: t.Any, **named: t.Any) -> list[t.Any]:
    return []


def _no_words(*given: t.Any) -> tuple[t.Any, ...]:
    return ()


def _always(*given: t.Any) -> bool:
    return True


def _never(*given: t.Any) -> bool:
    return False


def _no_reason(*given: t.Any) -> str:
    return ""


def _itself(peers: t.Any, asked: t.Any) -> None:
    """Each node decides for itself."""
    peers.context.loop.call_soon(relay_owners._handle, peers, asked, None)


def _keeps_all(self: OwnerTable, nodes: t.Any, now: float) -> None:
    self._updated_at = now


def _begins_full(self: RateBucket, rate: float, opens_at: float) -> None:
    _BUCKET(self, rate, -1e9)


def _whole_of_a_part(
    self: SlotQueue, endpoints: t.Any, since: float = 0.0, now: float = 0.0
) -> None:
    _USE(self, endpoints, -1e9, now)


def _always_back(self: RateBucket, before: float, taken_at: float, now: float) -> bool:
    self._permits += 1.0
    return True


def _any_slot(state: t.Any, event: t.Any) -> EndpointView | None:
    view: EndpointView | None = state.endpoints.get(event.endpoint)
    return view


def _as_idle_as_it_looks(state: t.Any, view: EndpointView, token_rate: float) -> float:
    return token_rate


def _any_voucher(self: Membership, name: str) -> str:
    peer = self.peers.get(name)
    return min(peer.sources, default="") if peer else ""


def _asks_for_all(state: t.Any, request: t.Any, ready: list[EndpointView]) -> list[EndpointView]:
    return ready


MUTANTS = (
    Mutant("reads no rates", "LIMIT", notice_handlers, "_note_rate", _no_effects, RATES),
    Mutant("each node heeds the rate alone", "LIMIT", relay_owners, "ask_owner", _itself, RATES),
    Mutant("owns for good", "LIMIT", OwnerTable, "update_nodes", _keeps_all, RATES),
    Mutant("begins with all in hand", "LIMIT", RateBucket, "__init__", _begins_full, RATES),
    Mutant("settles at once", "LIMIT", SlotQueue, "set_endpoints", _whole_of_a_part, RATES),
    Mutant("tells nobody of rates", "LIMIT", relay_notices, "share_rates", _nothing, RATES),
    Mutant("a rate never ends", "reach", RateTable, "end_limit", _no_words, RATES),
    Mutant("any word is newer", "LIMIT", request_rates, "_after", _always, RATES),
    Mutant("believes each end", "LIMIT", RateTable, "_contradicts", _never, RATES),
    Mutant("rates outlast their life", "reach", RateTable, "begin_incarnation", _nothing, RATES),
    Mutant("rates are kept for good", "reach", RateTable, "expire", _nothing, RATES),
    Mutant("a slot is a turn", "LIMIT", slot_requests, "usable", _any_slot, RATES),
    Mutant(
        "sends without a turn", "LIMIT", slot_requests, "find_missing_permit", _no_reason, RATES
    ),
    Mutant("takes late answers", "LIMIT", slot_requests, "is_current_answer", _always, RATES),
    Mutant(
        "counts given back turns twice", "LIMIT", RateBucket, "return_permit", _always_back, RATES
    ),
    Mutant("plans by looks", "callers", planning, "_bounded_rate", _as_idle_as_it_looks, RATES),
    Mutant("answers by any node", "callers", Membership, "reporter_of", _any_voucher, RATES),
    Mutant(
        "asks again and again", "callers", routed, "_exclude_rate_limited", _asks_for_all, RATES
    ),
    Mutant("stands still and goes on", "LIMIT", core_defaults, "OWNER_GAP_S", 1e9, RATES),
)
