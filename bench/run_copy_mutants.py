"""Mutants of the copies of runs at endpoints that leave, and of the runs that go on from them."""

import typing as t

from rookspring import relay_run_copies
from rookspring.dialect import CopyReply
from rookspring_core import event_order
from rookspring_core import routed
from rookspring_core import run_copies
from rookspring_core.endpoints import EndpointView
from rookspring_platform import run_copies as formats

from .mutant import RUN_COPIES
from .mutant import RUN_COPIES_SOCKETS
from .mutant import Mutant

COPIED = "a stream at an endpoint that leaves goes on from a copy of its run"
ONCE = "an unrepeatable request never runs twice"
FREED = "a copy that isn't needed is freed"
ROOM = "a copy is held where the run can go on"

_load = EndpointView.load
_read_reply = formats.read_copy_reply


def _ask_none(*args: t.Any) -> list[t.Any]:
    return []


def _drop_silently(state: t.Any, request: t.Any) -> list[t.Any]:
    request.copy = None
    return []


def _expose_all(state: t.Any, request: t.Any, view: t.Any) -> bool:
    return bool(request.running)


def _go_on_anywhere(state: t.Any, request: t.Any, view: t.Any) -> bool:
    return True


def _load_without_copies(self: EndpointView, now: float) -> float:
    return _load(self, now) - len(self.copies) / self.slots()


def _find_none(*args: t.Any) -> str:
    return ""


async def _take_over_always(context: t.Any, exchange: t.Any, view: t.Any, error: t.Any) -> str:
    return relay_run_copies.find_copy(context, exchange)


async def _take_over_never(*args: t.Any) -> str:
    return ""


async def _free_none(*args: t.Any) -> None:
    return None


def _follow_always(event_id: str, last: str) -> bool:
    return True


def _retry_always(state: t.Any, request: t.Any, event: t.Any) -> bool:
    return True


def _read_any(head: t.Any, raw: bytes, address: str) -> CopyReply:
    return _read_reply(head, raw, address)._replace(stopped=True)


def _read_known(head: t.Any, raw: bytes, address: str) -> CopyReply:
    return _read_reply(head, raw, address)._replace(unknown=False)


MUTANTS = tuple(
    Mutant(name, rule, target, attribute, replacement, features)
    for name, rule, target, attribute, replacement, features in (
        ("copies no run", COPIED, run_copies, "_ask_for", _ask_none, RUN_COPIES),
        ("copies all runs", ROOM, run_copies, "_is_exposed", _expose_all, RUN_COPIES),
        ("copies near the deadline", ROOM, run_copies, "COPY_LEFT_MIN_S", -1.0, RUN_COPIES),
        ("asks once alone", COPIED, run_copies, "COPIES_MAX", 1, RUN_COPIES),
        ("asks on and on", ROOM, run_copies, "COPIES_MAX", 9, RUN_COPIES),
        ("holds copies anywhere", ROOM, run_copies, "_may_go_on_at", _go_on_anywhere, RUN_COPIES),
        ("counts no copies", ROOM, EndpointView, "load", _load_without_copies, RUN_COPIES),
        ("keeps what isn't needed", FREED, run_copies, "drop", _drop_silently, RUN_COPIES),
        ("uses no copy", COPIED, run_copies, "find_name", _find_none, RUN_COPIES),
        ("sends a run anew", ONCE, routed, "may_retry", _retry_always, RUN_COPIES),
        (
            "goes on beside a run",
            ONCE,
            relay_run_copies,
            "take_over",
            _take_over_always,
            RUN_COPIES_SOCKETS,
        ),
        (
            "gives up at a close",
            COPIED,
            relay_run_copies,
            "take_over",
            _take_over_never,
            RUN_COPIES_SOCKETS,
        ),
        ("frees none", FREED, relay_run_copies, "_free", _free_none, RUN_COPIES_SOCKETS),
        (
            "lets events come twice",
            COPIED,
            event_order,
            "follows",
            _follow_always,
            RUN_COPIES_SOCKETS,
        ),
        ("takes all for stopped", ONCE, formats, "read_copy_reply", _read_any, RUN_COPIES_SOCKETS),
        (
            "takes none for ended",
            COPIED,
            formats,
            "read_copy_reply",
            _read_known,
            RUN_COPIES_SOCKETS,
        ),
    )
)
