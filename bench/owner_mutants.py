"""Mutants of which nodes own what is decided for all."""

import math
import secrets
import typing as t

from rookspring import request_keys
from rookspring_core import defaults
from rookspring_core import owners
from rookspring_core.topology import Topology

from .mutant import OWNER_CHOICE
from .mutant import OWNER_REPLIES
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


def _same_life(size: int | None = None) -> str:
    """Give requests the keys that those of the node's earlier life had."""
    return "00" * size if size == request_keys.LIFE_BYTES else _draw(size)


_draw = secrets.token_hex


MUTANTS = (
    Mutant(
        "uses keys of an earlier life",
        "a reply to a node's earlier life decides on none of its requests",
        secrets,
        "token_hex",
        _same_life,
        OWNER_REPLIES,
    ),
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
