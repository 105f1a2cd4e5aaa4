"""Mutants of decisions after the store was restored from an older copy."""

import asyncio
import typing as t

from rookspring import relay_store_loops
from rookspring.relay_endpoint_list import EndpointList
from rookspring.store_eras import StoreEras
from rookspring_core import defaults as core_defaults
from rookspring_core import leases
from rookspring_core.era_claims import EraClaims
from rookspring_core.freshness import Freshness
from rookspring_core.leases import Lease
from rookspring_platform import store

from .mutant import STORE_CLAIMS
from .mutant import STORE_COPIES
from .mutant import Mutant

_real_begin_era = Lease.begin_era


def _nothing(*args: t.Any) -> None:
    return None


def _never(*args: t.Any) -> bool:
    return False


async def _never_ends(*args: t.Any) -> None:
    await asyncio.Event().wait()


def _same_lease_name(era: int) -> str:
    return "control"


def _ignore_era(self: StoreEras, era: int, source: str) -> int:
    return self._context.state.store_era


def _trust_store_only(self: StoreEras, era: int, source: str) -> int:
    if source == "store" and era > self._context.state.store_era:
        self._begin(era, source)
    return int(self._context.state.store_era)


def _older_by_version(self: EndpointList, row: t.Any) -> bool:
    known = self._stored.get(row.name)
    return known is not None and row.version < known.version


def _release_in_new_era(self: Lease, era: int, at: float) -> None:
    """Give the lease up whenever an era begins."""
    _real_begin_era(self, era, at)
    self.forfeit()


def _count_any_answer(self: EraClaims, era: int, asked_at: float) -> bool:
    """Count an answer to a call that began before the claim was heard."""
    return _note_older(self, era, max(asked_at, self._heard_at + core_defaults.ERA_DENIED_AFTER_S))


_note_older = EraClaims.note_older


async def _wait_across_eras(self: StoreEras, call: t.Any) -> t.Any:
    self._answered = True
    return await call


MUTANTS = (
    Mutant("hears of no era", "one holder", StoreEras, "note_era", _ignore_era, STORE_COPIES),
    Mutant(
        "takes nobody's word", "one holder", StoreEras, "note_era", _trust_store_only, STORE_COPIES
    ),
    Mutant("counts no term", "one holder", Lease, "_absent", _never, STORE_COPIES),
    Mutant(
        "keeps one lease",
        "one holder",
        relay_store_loops,
        "lease_name",
        _same_lease_name,
        STORE_COPIES,
    ),
    Mutant("numbers on", "one holder", leases, "EPOCHS_PER_ERA", 0, STORE_COPIES),
    Mutant(
        "lets the lease go", "attainment", Lease, "begin_era", _release_in_new_era, STORE_COPIES
    ),
    Mutant("forgets the era", "one holder", Lease, "begin_era", _nothing, STORE_COPIES),
    Mutant(
        "orders by version", "drain", EndpointList, "_is_outdated", _older_by_version, STORE_COPIES
    ),
    Mutant("doubts nothing", "drain", EndpointList, "_may_be_from_backup", _never, STORE_COPIES),
    Mutant("believes a copy", "keys", Freshness, "_lacks", _never, STORE_COPIES),
    Mutant("believes it at once", "keys", core_defaults, "REWRITE_S", 0.0, STORE_COPIES),
    Mutant("waits on", "drain", StoreEras, "call_in_era", _wait_across_eras, STORE_COPIES),
    Mutant("believes for good", "drain", EraClaims, "note_older", _never, STORE_CLAIMS),
    Mutant(
        "counts late answers",
        "one holder",
        EraClaims,
        "note_older",
        _count_any_answer,
        STORE_CLAIMS,
    ),
    Mutant(
        "forgets what the store named",
        "one holder",
        EraClaims,
        "note_named",
        _nothing,
        STORE_CLAIMS,
    ),
    Mutant(
        "believes again at once", "drain", core_defaults, "ERA_DENIAL_KEPT_S", 0.0, STORE_CLAIMS
    ),
    Mutant("renews no denial", "drain", EraClaims, "note_current", _nothing, STORE_CLAIMS),
    Mutant(
        "denies by one answer", "one holder", core_defaults, "ERA_DENIALS_LEAST", 1, STORE_CLAIMS
    ),
    Mutant("denies at once", "one holder", core_defaults, "ERA_DENIED_AFTER_S", 0.0, STORE_CLAIMS),
    Mutant(
        "stays in the claimed era's lease",
        "one holder",
        Lease,
        "return_to_era",
        _nothing,
        STORE_CLAIMS,
    ),
    Mutant("reads no era", "one holder", store, "_read_era", _nothing, STORE_COPIES),
    Mutant(
        "writes its row once", "membership", StoreEras, "wait_restored", _never_ends, STORE_COPIES
    ),
)
