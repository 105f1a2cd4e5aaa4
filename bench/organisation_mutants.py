"""Mutants of decisions about organisations: expiry of keys, allotments and slots."""

import typing as t

from rookspring import relay_proofs
from rookspring_core import allotment_checks
from rookspring_core import keys
from rookspring_core import requests
from rookspring_core import slot_requests
from rookspring_core.allotments import Allotments
from rookspring_core.events import TableProved
from rookspring_core.freshness import Freshness
from rookspring_core.freshness import ProofTerms
from rookspring_core.keys import KeyVerdict
from rookspring_core.owners import OwnerTable
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest
from rookspring_core.topology import Topology
from rookspring_platform import PlatformDialect
from rookspring_platform import dialect

from .mutant import ORGANISATIONS
from .mutant import SLOTS
from .mutant import Mutant

_CHECK_KEY = keys.check_key
_REQUEST_SLOT = SlotQueue.request_slot
_FORWARD_HEADERS = PlatformDialect.forward_headers


def _proved_on_receipt(at: float, as_of: float, version: int) -> TableProved:
    return TableProved(at, at, version)


def _record_unapplied(self: Freshness, as_of: float, version: int, applied: int) -> None:
    self.proved_at = max(self.proved_at, as_of)


def _never(*args: t.Any) -> bool:
    return False


def _nothing(*args: t.Any, **kwargs: t.Any) -> None:
    return None


def _no_effects(*args: t.Any, **kwargs: t.Any) -> list[t.Any]:
    return []


def _no_share(self: Allotments, name: str, now: float) -> float:
    return 0.0


def _refuse_new_keys(*args: t.Any) -> KeyVerdict:
    verdict = _CHECK_KEY(*args)
    return KeyVerdict(401, "unknown_key") if verdict.may_wait else verdict


def _forward_key(self: PlatformDialect, headers: t.Any, fields: t.Any) -> list[t.Any]:
    return _FORWARD_HEADERS(self, headers, fields._replace(keyed=False))


def _count_grants_only(
    self: Allotments, name: str, granted: t.Any, now: float, since: float
) -> float:
    return float(granted.sum(now))


def _any_endpoint(self: SlotQueue, avoid: str, now: float) -> str | None:
    return next(iter(self._open), None)


def _ignore_organisation(self: SlotQueue, request: SlotRequest, now: float) -> list[t.Any]:
    return _REQUEST_SLOT(self, request._replace(organisation=""), now)


def _wait_indefinitely(state: t.Any, request: t.Any) -> bool:
    return request.slot_asked_at is not None


def _own_everything(self: Topology, now: float) -> set[str]:
    # Each node regards itself as the owner.
    return {self._members.name}


MUTANTS = (
    Mutant(
        "takes when it heard for when it was so",
        "keys",
        relay_proofs,
        "TableProved",
        _proved_on_receipt,
        ORGANISATIONS,
    ),
    Mutant(
        "proves what it has not got",
        "keys",
        Freshness,
        "record_proof",
        _record_unapplied,
        ORGANISATIONS,
    ),
    Mutant("is never cut off", "keys", ProofTerms, "stale", _never, ORGANISATIONS),
    Mutant("asks for keys at arrival alone", "keys", keys, "find_fault", _nothing, ORGANISATIONS),
    Mutant("denies new keys", "keys", keys, "check_key", _refuse_new_keys, ORGANISATIONS),
    Mutant(
        "passes keys on", "keys", PlatformDialect, "forward_headers", _forward_key, ORGANISATIONS
    ),
    Mutant(
        "lets callers name themselves",
        "keys",
        dialect,
        "SYSTEM_HEADERS",
        frozenset(),
        ORGANISATIONS,
    ),
    Mutant(
        "hears of nobody's use",
        "allotments",
        Allotments,
        "record_reported",
        _nothing,
        ORGANISATIONS,
    ),
    Mutant(
        "counts its grants alone",
        "allotments",
        Allotments,
        "_used",
        _count_grants_only,
        ORGANISATIONS,
    ),
    Mutant(
        "grants all when cut", "allotments", OwnerTable, "record_visible", _nothing, ORGANISATIONS
    ),
    Mutant(
        "knows nothing at a start",
        "allotments",
        Allotments,
        "_unseen_share",
        _no_share,
        ORGANISATIONS,
    ),
    Mutant(
        "owns everything itself", "allotments", Topology, "owners", _own_everything, ORGANISATIONS
    ),
    Mutant(
        "gives nothing back",
        "allotments",
        allotment_checks,
        "refund",
        _no_effects,
        ORGANISATIONS,
    ),
    Mutant("gives slots without count", "slots", SlotQueue, "_choose", _any_endpoint, SLOTS),
    Mutant(
        "lets organisations crowd others out",
        "slots",
        SlotQueue,
        "request_slot",
        _ignore_organisation,
        SLOTS,
    ),
    Mutant("keeps slots", "slots", slot_requests, "free", _no_effects, SLOTS),
    Mutant(
        "waits for silent owners", "slots", slot_requests, "awaits_owner", _wait_indefinitely, SLOTS
    ),
    Mutant(
        "refuses requests whose owner's answer is not read in time",
        "slots",
        requests,
        "_place_unanswered",
        _no_effects,
        SLOTS,
    ),
    Mutant(
        "places requests that wait at their owner",
        "slots",
        slot_requests,
        "is_unanswered",
        _wait_indefinitely,
        SLOTS,
    ),
    Mutant("asks for no slot", "slots", requests.slot_requests, "ask", _no_effects, SLOTS),
)
