"""Mutants of lease handover, adapter attachments, protected models, retry times and slots."""

import math
import typing as t

from rookspring_core import attaching
from rookspring_core import control_jobs
from rookspring_core import defaults
from rookspring_core import deficits
from rookspring_core import planning
from rookspring_core import residency
from rookspring_core import retry_after
from rookspring_core import routed
from rookspring_core.control import WeightStoreLimiter
from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import RequestLoad
from rookspring_core.leases import Lease
from rookspring_core.sent_load_requests import SentLoadRequests
from rookspring_core.slot_queues import SlotAnswer
from rookspring_core.slot_queues import SlotQueue

from .mutant import ADAPTERS
from .mutant import HANDOVER
from .mutant import RELAY
from .mutant import SLOTS
from .mutant import WEIGHT_STORE
from .mutant import Mutant

_real_refuse = SlotQueue._refuse
_real_retry_after_s = retry_after.predict_retry_after_s


def _restart_gap(self: Lease, now: float, turn_in_s: float) -> float:
    return now + self.terms.gap_s


def _no_gap(self: Lease, now: float, turn_in_s: float) -> float:
    return now


def _expire_lease(self: Lease) -> None:
    self.held_until = -1e9


def _drop_attachment(state: t.Any, view: t.Any, account: t.Any, adapter: str) -> list[t.Any]:
    attachment = account.attachments.pop(adapter, None)
    if attachment is None:
        return []
    return [AdapterLeft(view.name, adapter, state.now - attachment.since, attachment.used)]


def _reserve_none(state: t.Any, endpoint: t.Any, arrived: t.Any) -> int:
    return 0


def _protect_too_long(state: t.Any, model: str) -> float:
    return float(state.now) + defaults.MODEL_KEEP_MAX_S


def _protect_nothing(state: t.Any, model: str) -> float:
    return -math.inf


def _retry_too_soon(state: t.Any, request: t.Any) -> float:
    return min(3.25, _real_retry_after_s(state, request))


def _accrue_one_second(self: WeightStoreLimiter, now: float, rate: float) -> None:
    if self.refilled_at is not None:
        self.level = min(max(self.burst, rate), self.level + (now - self.refilled_at) * rate)
    self.refilled_at = now


def _drop_blind_flag(self: SlotQueue, request: t.Any, wait_s: float, now: float) -> SlotAnswer:
    return _real_refuse(self, request, wait_s, now)._replace(blind=False)


def _follow_demand(state: t.Any) -> None:
    control_jobs.follow_demand(state)


def _never(*args: t.Any) -> bool:
    return False


def _ask_nothing(*args: t.Any) -> list[t.Any]:
    return []


def _ask_all(self: SentLoadRequests, epoch: int, now: float) -> list[RequestLoad]:
    if epoch <= self._epoch:
        return []
    self._epoch = epoch
    return [RequestLoad(*key, at - now) for key, at in self._back_by.items()]


def _own_load(state: t.Any, view: t.Any) -> str:
    order = state.residency.accounts[view.name].order
    return order.model if order and order.action == "load" and not order.adapter else ""


def _announced_load(state: t.Any, view: t.Any) -> str:
    return _own_load(state, view) or str(view.expected_model[0])


MUTANTS = (
    Mutant("waits anew", "reach", Lease, "_turn_after_release", _restart_gap, HANDOVER),
    Mutant("orders at once", "ONE", Lease, "_turn_after_release", _no_gap, HANDOVER),
    Mutant("asks upon what is outdated", "reach", Lease, "_note_outdated", _expire_lease, HANDOVER),
    Mutant("counts as holder alone", "reach", residency, "_follow", _follow_demand, HANDOVER),
    Mutant("owes for what is held", "reach", deficits, "_is_held", _never, HANDOVER),
    Mutant("asks one holder alone", "reach", SentLoadRequests, "repeat", _ask_nothing, HANDOVER),
    Mutant("asks for callers who left", "reach", SentLoadRequests, "repeat", _ask_all, HANDOVER),
    Mutant("counts own loads alone", "reach", planning, "_model_under_load", _own_load, HANDOVER),
    Mutant(
        "believes in late loads", "reach", planning, "_model_under_load", _announced_load, HANDOVER
    ),
    Mutant("reinstates what others wait for", "reach", attaching, "_is_slot_due", _never, ADAPTERS),
    Mutant(
        "forgets who was in line", "reach", attaching, "_end_attachment", _drop_attachment, ADAPTERS
    ),
    Mutant("gives no first call", "reach", routed, "_reserved_slots", _reserve_none, ADAPTERS),
    Mutant(
        "keeps what nobody wants", "reach", residency, "_protected_until", _protect_too_long, RELAY
    ),
    Mutant("keeps nothing", "reach", residency, "_protected_until", _protect_nothing, RELAY),
    Mutant(
        "has callers back too soon",
        "callers",
        retry_after,
        "predict_retry_after_s",
        _retry_too_soon,
        RELAY,
    ),
    Mutant(
        "keeps a second's loads",
        "CEILING",
        WeightStoreLimiter,
        "refill",
        _accrue_one_second,
        WEIGHT_STORE,
    ),
    Mutant("refuses blindly", "callers", SlotQueue, "_refuse", _drop_blind_flag, SLOTS),
)
