"""Mutants of decisions by a node whose process or machine was suspended."""

import time
import typing as t

from rookspring import clock
from rookspring.relay import RelayExchange
from rookspring_core import control_jobs
from rookspring_core.leases import Lease

from .mutant import CLOCKS
from .mutant import Mutant


def _nothing(*args: t.Any) -> None:
    return None


def _always(*args: t.Any) -> bool:
    return True


def _hold_without_margin(self: Lease, now: float) -> bool:
    """Hold the lease until it expires, without its safety margin."""
    return now < self.held_until + self.terms.margin_s


MUTANTS = (
    Mutant("counts no suspension", "ONE", clock, "now", time.monotonic, CLOCKS),
    Mutant("keeps no deadline", "callers", RelayExchange, "reschedule_timeout", _nothing, CLOCKS),
    Mutant("holds for good", "ONE", control_jobs, "holding", _always, CLOCKS),
    Mutant("holds to the end", "ONE", Lease, "holding", _hold_without_margin, CLOCKS),
)
