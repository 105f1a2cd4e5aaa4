"""Mutants of which nodes own what is decided for all."""

import math
import typing as t

from rookspring_core import defaults
from rookspring_core import owners
from rookspring_core.topology import Topology

from .mutant import OWNER_CHOICE
from .mutant import Mutant

RULE = "nodes agree on who decides for all"


def _know_late(self: Topology, now: float) -> float:
    """Know the own age as of the last update of the roles."""
    step_s = defaults.ROLES_RECOMPUTE_S
    return math.floor(_collecting_s(self, now) / step_s) * step_s


_collecting_s = Topology.collecting_s


def _by_age_alone(ages: t.Mapping[str, float]) -> set[str]:
    experienced = {name for name, age_s in ages.items() if age_s >= defaults.OWNER_AGE_S}
    return experienced or set(ages)


MUTANTS = (
    Mutant("knows its age late", RULE, Topology, "collecting_s", _know_late, OWNER_CHOICE),
    Mutant(
        "lets the first of age own all",
        "a subject moves only as nodes join or go",
        owners,
        "choose_experienced",
        _by_age_alone,
        OWNER_CHOICE,
    ),
)
