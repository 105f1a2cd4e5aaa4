"""Mutants of bounds and turns of answers without end, and of loads for callers alone."""

import typing as t

from rookspring import defaults as daemon_defaults
from rookspring.byte_budget import ByteBudget
from rookspring.byte_budget import Holding
from rookspring_core import defaults as core_defaults
from rookspring_core.caller_times import CallerTimes
from rookspring_core.read_turns import ReadTurns
from rookspring_core.swapping import SwapBoard

from .mutant import ENDLESS_ANSWERS
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


def _always(*args: t.Any) -> bool:
    return True


_wait = ReadTurns.wait


def _wait_by_connection(self: ReadTurns[t.Any], source: str, waiter: t.Any) -> None:
    _wait(self, f"{source} {id(waiter)}", waiter)


MUTANTS = (
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
