"""Wrong decisions about a store that came back from an older copy."""

import asyncio
import typing as t

from rookspring import relay_store_loops
from rookspring.relay_endpoint_list import EndpointList
from rookspring.store_eras import StoreEras
from rookspring_core import defaults as core_defaults
from rookspring_core import leases
from rookspring_core.freshness import Freshness
from rookspring_core.leases import Lease
from rookspring_platform import store

from .mutant import COPIES
from .mutant import Mutant

_begin_era = Lease.begin_era


def _nothing(*given: t.Any) -> None:
    return None


def _never(*given: t.Any) -> bool:
    return False


async def _never_ends(*given: t.Any) -> None:
    await asyncio.Event().wait()


def _one_name(era: int) -> str:
    return "control"


def _unheard(self: StoreEras, era: int, source: str) -> int:
    return self._context.state.store_era


def _heard_from_the_store_alone(self: StoreEras, era: int, source: str) -> int:
    if source == "store" and era > self._context.state.store_era:
        self._begin(era, source)
    return int(self._context.state.store_era)


def _by_version(self: EndpointList, row: t.Any) -> bool:
    known = self._stored.get(row.name)
    return known is not None and row.version < known.version


def _lets_go(self: Lease, era: int, at: float) -> None:
    """Give the lease up whenever an era begins."""
    _begin_era(self, era, at)
    self.forfeit()


async def _waits_on(self: StoreEras, call: t.Any) -> t.Any:
    self._answered = True
    return await call


MUTANTS = (
    Mutant("hears of no era", "one holder", StoreEras, "note_era", _unheard, COPIES),
    Mutant(
        "takes nobody's word",
        "one holder",
        StoreEras,
        "note_era",
        _heard_from_the_store_alone,
        COPIES,
    ),
    Mutant("counts no term", "one holder", Lease, "_absent", _never, COPIES),
    Mutant("keeps one lease", "one holder", relay_store_loops, "lease_name", _one_name, COPIES),
    Mutant("numbers on", "one holder", leases, "EPOCHS_PER_ERA", 0, COPIES),
    Mutant("lets the lease go", "attainment", Lease, "begin_era", _lets_go, COPIES),
    Mutant("forgets the era", "one holder", Lease, "begin_era", _nothing, COPIES),
    Mutant("orders by version", "drain", EndpointList, "_is_outdated", _by_version, COPIES),
    Mutant("doubts nothing", "drain", EndpointList, "_may_be_from_backup", _never, COPIES),
    Mutant("believes a copy", "keys", Freshness, "_lacks", _never, COPIES),
    Mutant("believes it at once", "keys", core_defaults, "REWRITE_S", 0.0, COPIES),
    Mutant("waits on", "drain", StoreEras, "call_in_era", _waits_on, COPIES),
    Mutant("reads no era", "one holder", store, "_read_era", _nothing, COPIES),
    Mutant("writes its row once", "membership", StoreEras, "wait_restored", _never_ends, COPIES),
)
