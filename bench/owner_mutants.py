"""Mutants of which nodes own what is decided for all."""

import math

from rookspring_core import defaults
from rookspring_core.topology import Topology

from .mutant import OWNER_CHOICE
from .mutant import Mutant

RULE = "nodes agree on who decides for all"


def _know_late(self: Topology, now: float) -> float:
    """Know the own age as of the last update of the roles."""
    step_s = defaults.ROLES_RECOMPUTE_S
    return math.floor(_collecting_s(self, now) / step_s) * step_s


_collecting_s = Topology.collecting_s


MUTANTS = (Mutant("knows its age late", RULE, Topology, "collecting_s", _know_late, OWNER_CHOICE),)
