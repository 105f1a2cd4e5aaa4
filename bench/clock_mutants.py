"""Wrong decisions of a node that stood still."""

import time
import typing as t

from rookspring import clock
from rookspring.relay import RelayExchange
from rookspring_core import control_jobs
from rookspring_core.leases import Lease

from .mutant import CLOCKS
from .mutant import Mutant


def _nothing(*given: t.Any) -> None:
    return None


def _always(*given: t.Any) -> bool:
    return True


def _to_the_end(self: Lease, now: float) -> bool:
    """Hold the lease to its very end, with no time to spare."""
    return now < self.held_until + self.terms.margin_s


MUTANTS = (
    Mutant("counts no suspension", "ONE", clock, "now", time.monotonic, CLOCKS),
    Mutant("keeps no deadline", "callers", RelayExchange, "reschedule_timeout", _nothing, CLOCKS),
    Mutant("holds for good", "ONE", control_jobs, "holding", _always, CLOCKS),
    Mutant("holds to the end", "ONE", Lease, "holding", _to_the_end, CLOCKS),
)
