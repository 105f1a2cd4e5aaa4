"""Mutants of bounds and turns of answers without end, and of loads for callers alone."""

import contextlib
import typing as t

from rookspring import defaults as daemon_defaults
from rookspring.byte_budget import ByteBudget
from rookspring.byte_budget import GiveUp
from rookspring.byte_budget import Holding
from rookspring.http_server import ServerConnection
from rookspring.peers import Link
from rookspring.relay import HeldAnswer
from rookspring.relay import RelayExchange
from rookspring_core import defaults as core_defaults
from rookspring_core.caller_times import CallerTimes
from rookspring_core.read_turns import ReadTurns
from rookspring_core.swapping import SwapBoard

from .mutant import ENDLESS_ANSWERS
from .mutant import INNER_BYTES
from .mutant import MEMORY_CALLERS
from .mutant import READ_TURNS
from .mutant import SWAPPING
from .mutant import Mutant

NO_BOUND = 1 << 40


def _never(*args: t.Any) -> bool:
    return False


def _count_all_refused(self: SwapBoard, model: str, replicas: int) -> float:
    return self.plan_input.missed.get(model, 0.0)


def _give_up_newest(self: ByteBudget, holding: Holding, size: int) -> None:
    """Give up what would exceed the sum, however little it is."""
    self._count(holding, size)
    if self.held_bytes > self.most:
        self._give_up(holding)


def _hold_uncounted(self: RelayExchange, answer: HeldAnswer, holding: Holding) -> None:
    self.held_answer = answer


def _ignore(*args: t.Any) -> None:
    return None


def _always(*args: t.Any) -> bool:
    return True


def _do_nothing(*args: t.Any) -> None:
    pass


@contextlib.contextmanager
def _lend_nothing(self: Holding, source: str, give_up: GiveUp) -> t.Iterator[None]:
    yield


def _refuse_later(self: ServerConnection, reason: str) -> None:
    """Refuse a request as more of it comes."""
    self._body.clear()
    self._reject_status = 503


def _cut_open(self: ServerConnection, reason: str) -> None:
    """Cut a connection unless it waits to be closed."""
    self.abort()


def _close_now(self: ServerConnection) -> None:
    """Close a connection at which its caller still sends."""
    self._transport.close()


def _keep_running(self: ServerConnection, request: t.Any) -> t.Any:
    """Serve a request, and count its body for ever if its caller has left."""
    return self._run(request)


_wait = ReadTurns.wait


def _wait_by_connection(self: ReadTurns[t.Any], source: str, waiter: t.Any) -> None:
    _wait(self, f"{source} {id(waiter)}", waiter)


MUTANTS = (
    Mutant(
        "lets running bodies fill all",
        "callers give way to each other",
        ByteBudget,
        "may_fix",
        _always,
        MEMORY_CALLERS,
    ),
    Mutant(
        "counts what waits for callers as the endpoint's",
        "callers give way to each other",
        Holding,
        "lend",
        _lend_nothing,
        MEMORY_CALLERS,
    ),
    Mutant(
        "refuses unread requests late",
        "callers give way to each other",
        ServerConnection,
        "_refuse_unread",
        _refuse_later,
        MEMORY_CALLERS,
    ),
    Mutant(
        "keeps answers of connections that are closing",
        "callers give way to each other",
        ServerConnection,
        "_cut_unread",
        _cut_open,
        MEMORY_CALLERS,
    ),
    Mutant(
        "keeps pipelined bytes",
        "callers give way to each other",
        ServerConnection,
        "_drop_pipelined",
        _do_nothing,
        MEMORY_CALLERS,
    ),
    Mutant(
        "closes while a refused caller sends",
        "callers give way to each other",
        ServerConnection,
        "_close_sent",
        _close_now,
        MEMORY_CALLERS,
    ),
    Mutant(
        "counts bodies that ran",
        "callers give way to each other",
        ServerConnection,
        "_serve",
        _keep_running,
        MEMORY_CALLERS,
    ),
    Mutant(
        "handles all that was read in one turn",
        "endpoints share the turns of reads",
        core_defaults,
        "TURN_WORK_BYTES",
        NO_BOUND,
        READ_TURNS,
    ),
    Mutant(
        "counts the bytes of reads alone",
        "endpoints share the turns of reads",
        core_defaults,
        "LINE_WORK_BYTES",
        0,
        READ_TURNS,
    ),
    Mutant(
        "lets connections take turns, and not endpoints",
        "endpoints share the turns of reads",
        ReadTurns,
        "wait",
        _wait_by_connection,
        READ_TURNS,
    ),
    Mutant(
        "handles all reads at once",
        "endpoints share the turns of reads",
        ReadTurns,
        "admit",
        _always,
        READ_TURNS,
    ),
    Mutant(
        "makes sound streams wait for floods",
        "endpoints share the turns of reads",
        ReadTurns,
        "admit",
        _never,
        READ_TURNS,
    ),
    Mutant(
        "reads framing without end",
        "bytes without end are given up",
        daemon_defaults,
        "FRAMING_BYTES_MAX",
        NO_BOUND,
        ENDLESS_ANSWERS,
    ),
    Mutant(
        "skips answers without end",
        "bytes without end are given up",
        daemon_defaults,
        "SKIPPED_BYTES_MAX",
        NO_BOUND,
        ENDLESS_ANSWERS,
    ),
    Mutant(
        "keeps events without end",
        "bytes without end are given up",
        daemon_defaults,
        "EVENT_BYTES_MAX",
        NO_BOUND,
        ENDLESS_ANSWERS,
    ),
    Mutant(
        "gives up heads that are long",
        "whole answers with much framing arrive",
        daemon_defaults,
        "FRAMING_BYTES_MAX",
        8 << 10,
        ENDLESS_ANSWERS,
    ),
    Mutant(
        "gives up short answers for long ones",
        "whole answers that are held together are bounded",
        ByteBudget,
        "resize",
        _give_up_newest,
        ENDLESS_ANSWERS,
    ),
    Mutant(
        "reads parts of a message without end",
        "messages between nodes are bounded",
        Link,
        "_count_unfinished",
        _ignore,
        INNER_BYTES,
    ),
    Mutant(
        "bounds each link and not all of them",
        "messages between nodes are bounded together",
        Link,
        "_count_held",
        _ignore,
        INNER_BYTES,
    ),
    Mutant(
        "takes hellos as long as other messages",
        "messages between nodes are bounded",
        daemon_defaults,
        "HELLO_BYTES_MAX",
        daemon_defaults.FRAME_BYTES_MAX,
        INNER_BYTES,
    ),
    Mutant(
        "keeps error answers uncounted",
        "error answers that are kept are bounded together",
        RelayExchange,
        "hold_answer",
        _hold_uncounted,
        INNER_BYTES,
    ),
    Mutant(
        "loads quick models for nobody",
        "loads serve callers who are there",
        SwapBoard,
        "may_wait",
        _never,
        SWAPPING,
    ),
    Mutant(
        "expects callers that have come back again",
        "loads serve callers who are there",
        CallerTimes,
        "is_return",
        _never,
        SWAPPING,
    ),
    Mutant(
        "counts refusals for each further replica",
        "places go to those who are refused now",
        SwapBoard,
        "refused_demand",
        _count_all_refused,
        SWAPPING,
    ),
)
