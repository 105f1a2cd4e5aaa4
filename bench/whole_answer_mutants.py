"""Mutants of what shows that an answer is whole, and that an event follows the last one."""

import typing as t

from rookspring import defaults
from rookspring import endpoints as service_endpoints
from rookspring import relay_attempts
from rookspring import relay_handovers
from rookspring.relay_processes import Finding
from rookspring.relay_processes import ProcessChecks
from rookspring_core import event_order
from rookspring_core.event_order import EventOrder
from rookspring_platform import endpoints
from rookspring_platform.dialect import PlatformDialect

from .mutant import BEGUN_STREAMS
from .mutant import RESUMED_STREAMS
from .mutant import SOCKETS
from .mutant import UNFRAMED
from .mutant import UNREAD
from .mutant import Mutant

ORDER_RULE = "no event comes twice or goes back"
RULE = "an answer that is cut short does not look complete"


def _always(*args: t.Any) -> bool:
    return True


async def _take_for_whole(*args: t.Any) -> None:
    return None


async def _spare_leavers(context: t.Any, exchange: t.Any, reply: t.Any, view: t.Any) -> None:
    if not view.leaving and not view.gone:
        await _check_process(context, exchange, reply, view)


_check_process = relay_attempts._check_process


async def _ask_address(self: ProcessChecks, view: t.Any, process: t.Any, left_s: float) -> Finding:
    """Take whatever accepts a connection for the process."""
    down = await self._context.pool.is_down(view.address)
    return Finding("", runs=not down, ended=down, down=down)


async def _share_any_call(self: ProcessChecks, view: t.Any, process: t.Any, at: float) -> Finding:
    return await _check(self, view, process, -1e9)


_check = ProcessChecks.check


async def _ask_in_back_off(self: ProcessChecks, view: t.Any, process: t.Any) -> Finding:
    return await self._call(view, process, 1.0)


def _ignore_start(raw: bytes) -> int:
    return 0


def _name_nobody(address: str, process: t.Any, health_path: str) -> bytes:
    return _identity_request(address, process._replace(name="another"), health_path)


_identity_request = endpoints.identity_request


def _accept_any(self: EventOrder, ids: t.Sequence[str]) -> str:
    self.last = ids[-1] if ids else self.last
    return ""


def _begin_anew(self: EventOrder, last: str = "", begun: bool = False) -> None:
    _init_order(self)


_init_order = EventOrder.__init__


def _by_letters(event_id: str) -> tuple[int, str]:
    return 0, event_id


async def _pass_closed(exchange: t.Any, reply: t.Any, head: t.Any, answers: t.Any) -> None:
    reply.ended_by_close = False
    await _pass_on(exchange, reply, head, answers)


_pass_on = relay_handovers._pass_on


MUTANTS = (
    Mutant(
        "takes a close for an end",
        RULE,
        relay_attempts,
        "_check_process",
        _take_for_whole,
        UNFRAMED,
    ),
    Mutant("asks no leavers", RULE, relay_attempts, "_check_process", _spare_leavers, UNFRAMED),
    Mutant("passes any event", ORDER_RULE, EventOrder, "accept", _accept_any, RESUMED_STREAMS),
    Mutant("forgets what came", ORDER_RULE, EventOrder, "__init__", _begin_anew, RESUMED_STREAMS),
    Mutant("ranks by letters", ORDER_RULE, event_order, "_rank", _by_letters, RESUMED_STREAMS),
    Mutant(
        "writes any answer into a stream",
        "an answer has one head",
        relay_attempts,
        "is_stream",
        _always,
        RESUMED_STREAMS,
    ),
    Mutant(
        "passes any answer on as the rest",
        "an answer has one head",
        relay_handovers,
        "is_stream",
        _always,
        BEGUN_STREAMS,
    ),
    Mutant(
        "takes a node's close for an end",
        RULE,
        relay_handovers,
        "_pass_on",
        _pass_closed,
        UNFRAMED,
    ),
    Mutant(
        "takes a service's close for whole",
        RULE,
        service_endpoints,
        "_shows_end",
        _always,
        SOCKETS,
    ),
    Mutant("asks the address alone", RULE, ProcessChecks, "_call", _ask_address, UNFRAMED),
    Mutant("shares any call", RULE, ProcessChecks, "check", _share_any_call, UNFRAMED),
    Mutant(
        "asks in a back-off",
        "an endpoint that requests a back-off gets none of its calls",
        ProcessChecks,
        "_ask",
        _ask_in_back_off,
        UNFRAMED,
    ),
    Mutant("takes any process", RULE, PlatformDialect, "read_identity", _always, UNFRAMED),
    Mutant("ignores a restart", RULE, endpoints, "_read_start", _ignore_start, UNFRAMED),
    Mutant("expects another process", RULE, endpoints, "identity_request", _name_nobody, UNFRAMED),
    Mutant(
        "takes an answer after a long silence for whole",
        RULE,
        defaults,
        "UNREAD_SILENCE_S",
        1e9,
        UNREAD,
    ),
)
