"""Mutants of the rate limiter for endpoints that limit their requests a second."""

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

_SET_ENDPOINTS = SlotQueue.set_endpoints
_INIT_BUCKET = RateBucket.__init__


def _nothing(*args: t.Any, **kwargs: t.Any) -> None:
    return None


def _no_effects(*args: t.Any, **kwargs: t.Any) -> list[t.Any]:
    return []


def _empty_tuple(*args: t.Any) -> tuple[t.Any, ...]:
    return ()


def _always(*args: t.Any) -> bool:
    return True


def _never(*args: t.Any) -> bool:
    return False


def _no_reason(*args: t.Any) -> str:
    return ""


def _decide_locally(peers: t.Any, asked: t.Any) -> None:
    """Let each node grant permits itself instead of asking the owner."""
    peers.context.loop.call_soon(relay_owners._handle, peers, asked, None)


def _keep_ownership(self: OwnerTable, nodes: t.Any, now: float) -> None:
    self._updated_at = now


def _start_full(self: RateBucket, rate: float, opens_at: float) -> None:
    _INIT_BUCKET(self, rate, -1e9)


def _ignore_since(self: SlotQueue, endpoints: t.Any, since: float = 0.0, now: float = 0.0) -> None:
    _SET_ENDPOINTS(self, endpoints, -1e9, now)


def _always_return_permit(self: RateBucket, before: float, taken_at: float, now: float) -> bool:
    self._permits += 1.0
    return True


def _ignore_permit(state: t.Any, event: t.Any) -> EndpointView | None:
    view: EndpointView | None = state.endpoints.get(event.endpoint)
    return view


def _unbounded_rate(state: t.Any, view: EndpointView, token_rate: float) -> float:
    return token_rate


def _first_reporter(self: Membership, name: str) -> str:
    peer = self.peers.get(name)
    return min(peer.sources, default="") if peer else ""


def _exclude_none(state: t.Any, request: t.Any, ready: list[EndpointView]) -> list[EndpointView]:
    return ready


MUTANTS = (
    Mutant("reads no rates", "LIMIT", notice_handlers, "_note_rate", _no_effects, RATES),
    Mutant(
        "each node heeds the rate alone", "LIMIT", relay_owners, "ask_owner", _decide_locally, RATES
    ),
    Mutant("owns for good", "LIMIT", OwnerTable, "update_nodes", _keep_ownership, RATES),
    Mutant("begins with all in hand", "LIMIT", RateBucket, "__init__", _start_full, RATES),
    Mutant("settles at once", "LIMIT", SlotQueue, "set_endpoints", _ignore_since, RATES),
    Mutant("tells nobody of rates", "LIMIT", relay_notices, "share_rates", _nothing, RATES),
    Mutant("a rate never ends", "reach", RateTable, "end_limit", _empty_tuple, RATES),
    Mutant("any word is newer", "LIMIT", request_rates, "_after", _always, RATES),
    Mutant("believes each end", "LIMIT", RateTable, "_contradicts", _never, RATES),
    Mutant("rates outlast their life", "reach", RateTable, "begin_incarnation", _nothing, RATES),
    Mutant("rates are kept for good", "reach", RateTable, "expire", _nothing, RATES),
    Mutant("a slot is a turn", "LIMIT", slot_requests, "usable", _ignore_permit, RATES),
    Mutant(
        "sends without a turn", "LIMIT", slot_requests, "find_missing_permit", _no_reason, RATES
    ),
    Mutant("takes late answers", "LIMIT", slot_requests, "is_current_answer", _always, RATES),
    Mutant(
        "counts given back turns twice",
        "LIMIT",
        RateBucket,
        "return_permit",
        _always_return_permit,
        RATES,
    ),
    Mutant("plans by looks", "callers", planning, "_bounded_rate", _unbounded_rate, RATES),
    Mutant("answers by any node", "callers", Membership, "reporter_of", _first_reporter, RATES),
    Mutant(
        "asks again and again", "callers", routed, "_exclude_rate_limited", _exclude_none, RATES
    ),
    Mutant("stands still and goes on", "LIMIT", core_defaults, "OWNER_GAP_S", 1e9, RATES),
)
