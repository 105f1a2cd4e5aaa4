"""Mutants of the bounds on answers without end, and of loads for callers alone."""

import typing as t

from rookspring import defaults as daemon_defaults
from rookspring.byte_budget import ByteBudget
from rookspring.byte_budget import Holding
from rookspring.peers import Link
from rookspring.relay import HeldAnswer
from rookspring.relay import RelayExchange
from rookspring_core.caller_times import CallerTimes
from rookspring_core.swapping import SwapBoard
from rookspring_platform import bodies
from rookspring_platform import endpoints

from .mutant import ENDLESS_ANSWERS
from .mutant import INNER_BYTES
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


MUTANTS = (
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
        "decodes all rows at once",
        "values of the store's lists are bounded",
        bodies,
        "MARKS_MAX",
        NO_BOUND,
        INNER_BYTES,
    ),
    Mutant(
        "decodes reports of any number of values",
        "values of reports are bounded",
        endpoints,
        "REPORT_MARKS_MAX",
        NO_BOUND,
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
