"""Mutants of what shows that an answer is whole, and that an event follows the last one."""

import types
import typing as t

from rookspring import defaults
from rookspring import endpoints as service_endpoints
from rookspring import relay_attempts
from rookspring import relay_ends
from rookspring import relay_handovers
from rookspring.exceptions import EndpointError
from rookspring.http_client import ConnectionPool
from rookspring.relay_processes import Finding
from rookspring.relay_processes import ProcessChecks
from rookspring_core import defaults as core_defaults
from rookspring_core import event_order
from rookspring_core import recovering
from rookspring_core import run_ends
from rookspring_core import slot_requests
from rookspring_core.event_order import EventOrder
from rookspring_core.run_ends import AnsweredRun
from rookspring_core.run_ends import RunEnd
from rookspring_platform import endpoints
from rookspring_platform.dialect import PlatformDialect

from .mutant import BEGUN_STREAMS
from .mutant import RESUMED_STREAMS
from .mutant import RUN_ENDS
from .mutant import SLOTS
from .mutant import SOCKETS
from .mutant import UNFRAMED
from .mutant import UNKNOWN_ENDS
from .mutant import UNREAD
from .mutant import Mutant

ORDER_RULE = "no event comes twice or goes back"
RULE = "an answer that is cut short does not look complete"


def _always(*args: t.Any) -> bool:
    return True


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


def _list_one(self: ConnectionPool, address: str) -> list[t.Any]:
    return [types.SimpleNamespace(open=True)]


def _list_none(self: ConnectionPool, address: str) -> list[t.Any]:
    return []


def _end_any(run: AnsweredRun, listed: t.Any, asked_at: float) -> RunEnd:
    return RunEnd.ENDED


def _count_nothing(run: AnsweredRun, listed: t.Any, asked_at: float) -> RunEnd:
    return _judge_end(run._replace(events=None), listed, asked_at)


def _count_all(run: AnsweredRun, listed: t.Any, asked_at: float) -> RunEnd:
    return _judge_end(run._replace(events=run.events or 0), listed, asked_at)


_judge_end = run_ends.judge_end


async def _ask_once(
    context: t.Any, exchange: t.Any, view: t.Any, run: AnsweredRun, found: Finding
) -> tuple[Finding, RunEnd]:
    """Take a report that leaves the end open for one that shows it."""
    end = run_ends.judge_end(run, found.listed, found.asked_at)
    return found, RunEnd.ENDED if end is RunEnd.UNCLEAR else end


async def _find_up(self: ConnectionPool, address: str) -> bool:
    return False


def _pass_stream(exchange: t.Any, reply: t.Any) -> None:
    return None


def _check_stream(**changed: t.Any) -> t.Callable[[t.Any, t.Any], None]:
    """Return a check of a stream's end whose error has other fields."""

    def check(exchange: t.Any, reply: t.Any) -> None:
        try:
            _check_stream_end(exchange, reply)
        except EndpointError as error:
            for name, value in changed.items():
                setattr(error, name, value)
            raise

    return check


_check_stream_end = relay_attempts._check_stream_end


def _blame(state: t.Any, request: t.Any, event: t.Any) -> t.Any:
    return _count_failure(state, request, event._replace(open_ended=False))


def _excuse(state: t.Any, request: t.Any, event: t.Any) -> t.Any:
    return _count_failure(state, request, event._replace(down=False))


_count_failure = recovering._count_failure


def _free_failed(state: t.Any, request: t.Any, failed: bool, unsent: bool) -> t.Any:
    return _free(state, request, True, unsent)


def _free_sound(state: t.Any, request: t.Any, failed: bool, unsent: bool) -> t.Any:
    return _free(state, request, False, unsent)


_free = slot_requests.free


def _read_all_or_none(raw: bytes) -> dict[str, int] | None:
    try:
        rows = endpoints.validate(endpoints.orjson.loads(raw), endpoints.RunList).runs
        return {run.request_id: run.events for run in map(_read_strictly, rows or ())}
    except ValueError:
        return None


def _read_strictly(row: t.Any) -> t.Any:
    return endpoints.validate(row, endpoints.Run)


SPARED = "an endpoint that gives sound answers without a length gets its share of requests"
CRASHED = "a request that crashes its endpoints is found"

MUTANTS = (
    Mutant(
        "takes a stream's close for its end",
        RULE,
        relay_attempts,
        "_check_stream_end",
        _pass_stream,
        UNKNOWN_ENDS,
    ),
    Mutant(
        "takes a stream without an event for one that may be whole",
        "an endpoint that closes all streams is ejected",
        relay_attempts,
        "_check_stream_end",
        _check_stream(open_ended=True),
        UNKNOWN_ENDS,
    ),
    Mutant(
        "calls nobody after a stream's close",
        CRASHED,
        ConnectionPool,
        "is_down",
        _find_up,
        UNKNOWN_ENDS,
    ),
    Mutant(
        "sends a cut stream again as if nothing was sent",
        "an unsafe request runs once",
        relay_attempts,
        "_check_stream_end",
        _check_stream(sent=False),
        UNKNOWN_ENDS,
    ),
    Mutant("ejects for closes", SPARED, recovering, "_count_failure", _blame, UNKNOWN_ENDS),
    Mutant(
        "calls an ended endpoint sound",
        CRASHED,
        recovering,
        "_count_failure",
        _excuse,
        UNKNOWN_ENDS,
    ),
    Mutant("takes closes for slow runs", SPARED, slot_requests, "free", _free_failed, SLOTS),
    Mutant(
        "takes failures for quick runs",
        "endpoints that fail at once attract no requests",
        slot_requests,
        "free",
        _free_sound,
        SLOTS,
    ),
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
    Mutant("forgets a broken call", RULE, ConnectionPool, "list_idle", _list_one, UNFRAMED),
    Mutant(
        "trusts no connection",
        "a whole answer is passed on as one",
        ConnectionPool,
        "list_idle",
        _list_none,
        UNFRAMED,
    ),
    Mutant("takes any run for ended", RULE, run_ends, "judge_end", _end_any, UNFRAMED),
    Mutant("counts no events", RULE, run_ends, "judge_end", _count_nothing, UNFRAMED),
    Mutant(
        "counts what came before",
        "the rest of a stream is passed on as a whole one",
        run_ends,
        "judge_end",
        _count_all,
        UNFRAMED,
    ),
    Mutant("asks for one report", RULE, relay_ends, "_ask_until_clear", _ask_once, UNFRAMED),
    Mutant(
        "takes reports for new",
        "a whole answer is passed on as one",
        core_defaults,
        "REPORT_LAG_S",
        0.0,
        UNFRAMED,
    ),
    Mutant(
        "reads all runs or none",
        "a run that can't be read leaves the others in force",
        endpoints,
        "read_runs",
        _read_all_or_none,
        RUN_ENDS,
    ),
    Mutant("takes a slow head for none", RULE, defaults, "UNREAD_BYTES_MIN", 1 << 30, UNREAD),
    Mutant(
        "takes any slow head for a cut",
        "a whole answer is passed on as one",
        defaults,
        "UNREAD_BYTES_MIN",
        0,
        UNREAD,
    ),
    Mutant(
        "takes an answer after a long silence for whole",
        RULE,
        defaults,
        "UNREAD_SILENCE_S",
        1e9,
        UNREAD,
    ),
)
