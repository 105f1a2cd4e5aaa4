"""Wrong decisions about what is passed over: handed on, kept in line, given room, told when."""

import math
import typing as t

from rookspring_core import attaching
from rookspring_core import defaults
from rookspring_core import residency
from rookspring_core import retry_after
from rookspring_core import routed
from rookspring_core.control import WeightStoreLimiter
from rookspring_core.effects import AdapterLeft
from rookspring_core.leases import Lease
from rookspring_core.slot_queues import SlotAnswer
from rookspring_core.slot_queues import SlotQueue

from .mutant import ADAPTERS
from .mutant import HANDOVER
from .mutant import RELAY
from .mutant import SLOTS
from .mutant import STORE
from .mutant import Mutant

_refuse = SlotQueue._refuse
_come_back = retry_after.predict_retry_after_s


def _waits_anew(self: Lease, now: float, turn_in_s: float) -> float:
    return now + self.terms.gap_s


def _at_once(self: Lease, now: float, turn_in_s: float) -> float:
    return now


def _asks_later(self: Lease) -> None:
    self.held_until = -1e9


def _forgets_line(state: t.Any, view: t.Any, room: t.Any, adapter: str) -> list[t.Any]:
    stay = room.attachments.pop(adapter, None)
    if stay is None:
        return []
    return [AdapterLeft(view.name, adapter, state.now - stay.since, stay.used)]


def _keeps_none(state: t.Any, endpoint: t.Any, arrived: t.Any) -> int:
    return 0


def _keeps_for_long(state: t.Any, model: str) -> float:
    return float(state.now) + defaults.MODEL_KEEP_MAX_S


def _keeps_nothing(state: t.Any, model: str) -> float:
    return -math.inf


def _told_soon(state: t.Any, request: t.Any) -> float:
    return min(3.25, _come_back(state, request))


def _keeps_a_second(self: WeightStoreLimiter, now: float, rate: float) -> None:
    if self.refilled_at is not None:
        self.level = min(max(self.burst, rate), self.level + (now - self.refilled_at) * rate)
    self.refilled_at = now


def _sees_all(self: SlotQueue, ask: t.Any, wait_s: float, now: float) -> SlotAnswer:
    return _refuse(self, ask, wait_s, now)._replace(blind=False)


MUTANTS = (
    Mutant("waits anew", "reach", Lease, "_turn_after_release", _waits_anew, HANDOVER),
    Mutant("orders at once", "ONE", Lease, "_turn_after_release", _at_once, HANDOVER),
    Mutant("asks upon what is outdated", "reach", Lease, "_note_outdated", _asks_later, HANDOVER),
    Mutant(
        "forgets who was in line", "reach", attaching, "_end_attachment", _forgets_line, ADAPTERS
    ),
    Mutant("gives no first call", "reach", routed, "_reserved_slots", _keeps_none, ADAPTERS),
    Mutant(
        "keeps what nobody wants", "reach", residency, "_protected_until", _keeps_for_long, RELAY
    ),
    Mutant("keeps nothing", "reach", residency, "_protected_until", _keeps_nothing, RELAY),
    Mutant(
        "has callers back too soon",
        "callers",
        retry_after,
        "predict_retry_after_s",
        _told_soon,
        RELAY,
    ),
    Mutant(
        "keeps a second's loads", "CEILING", WeightStoreLimiter, "refill", _keeps_a_second, STORE
    ),
    Mutant("refuses blindly", "callers", SlotQueue, "_refuse", _sees_all, SLOTS),
)
