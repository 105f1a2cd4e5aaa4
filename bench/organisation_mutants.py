"""Wrong decisions about organisations, the end of their keys, allotments and slots."""

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

_JUDGE = keys.check_key
_ASK = SlotQueue.request_slot
_FORWARD_HEADERS = PlatformDialect.forward_headers


def _proved_when_heard(at: float, as_of: float, version: int) -> TableProved:
    return TableProved(at, at, version)


def _note_any(self: Freshness, as_of: float, version: int, applied: int) -> None:
    self.proved_at = max(self.proved_at, as_of)


def _never(*given: t.Any) -> bool:
    return False


def _nothing(*given: t.Any, **named: t.Any) -> None:
    return None


def _no_effects(*given: t.Any, **named: t.Any) -> list[t.Any]:
    return []


def _no_share(self: Allotments, name: str, now: float) -> float:
    return 0.0


def _denies_at_once(*given: t.Any) -> KeyVerdict:
    verdict = _JUDGE(*given)
    return KeyVerdict(401, "unknown_key") if verdict.may_wait else verdict


def _passes_the_key(self: PlatformDialect, headers: t.Any, fields: t.Any) -> list[t.Any]:
    return _FORWARD_HEADERS(self, headers, fields._replace(keyed=False))


def _granted_alone(self: Allotments, name: str, granted: t.Any, now: float, since: float) -> float:
    return float(granted.sum(now))


def _any_endpoint(self: SlotQueue, avoid: str) -> str | None:
    return next(iter(self._open), None)


def _takes_no_turns(self: SlotQueue, ask: SlotRequest, now: float) -> list[t.Any]:
    return _ASK(self, ask._replace(organisation=""), now)


def _waits_for_ever(state: t.Any, request: t.Any) -> bool:
    return request.slot_asked_at is not None


def _old_and_new(self: Topology, now: float) -> set[str]:
    # Each node takes itself for an owner.
    return {self._members.name}


MUTANTS = (
    Mutant(
        "takes when it heard for when it was so",
        "keys",
        relay_proofs,
        "TableProved",
        _proved_when_heard,
        ORGANISATIONS,
    ),
    Mutant(
        "proves what it has not got", "keys", Freshness, "record_proof", _note_any, ORGANISATIONS
    ),
    Mutant("is never cut off", "keys", ProofTerms, "stale", _never, ORGANISATIONS),
    Mutant("asks for keys at arrival alone", "keys", keys, "find_fault", _nothing, ORGANISATIONS),
    Mutant("denies new keys", "keys", keys, "check_key", _denies_at_once, ORGANISATIONS),
    Mutant(
        "passes keys on", "keys", PlatformDialect, "forward_headers", _passes_the_key, ORGANISATIONS
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
        "counts its grants alone", "allotments", Allotments, "_used", _granted_alone, ORGANISATIONS
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
    Mutant("owns everything itself", "allotments", Topology, "owners", _old_and_new, ORGANISATIONS),
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
        _takes_no_turns,
        SLOTS,
    ),
    Mutant("keeps slots", "slots", slot_requests, "free", _no_effects, SLOTS),
    Mutant(
        "waits for silent owners", "slots", slot_requests, "awaits_owner", _waits_for_ever, SLOTS
    ),
    Mutant("asks for no slot", "slots", requests.slot_requests, "ask", _no_effects, SLOTS),
)
