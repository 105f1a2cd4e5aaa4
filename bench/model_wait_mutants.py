"""Mutants of the waits for models that are on no endpoint."""

import math
import typing as t

from rookspring_core import defaults as core_defaults
from rookspring_core import last_tries
from rookspring_core import missing_models
from rookspring_core import model_waits
from rookspring_core.adapter_waits import ArrivalWaits
from rookspring_core.caller_times import CallerTimes
from rookspring_core.routes import Route

from .mutant import MODEL_WAITS
from .mutant import RETURNED_CALLERS
from .mutant import Mutant


def _nothing(*args: t.Any, **kwargs: t.Any) -> None:
    return None


def _no_effects(*args: t.Any) -> list[t.Any]:
    return []


def _always(*args: t.Any) -> bool:
    return True


def _wait_till_deadline(
    need: model_waits.Need, known: t.Any, now: float, before: t.Any
) -> model_waits.ModelWait:
    """Wait until the deadline for a model that nobody is known to load."""
    return model_waits.ModelWait(model_waits.LIKELY, need.deadline_at, now)


def _no_retry(need: t.Any, now: float) -> float:
    return 0.0


def _stays_for_ever(route: Route) -> float:
    return math.inf


MUTANTS = (
    Mutant("decides once", "callers", missing_models, "review", _no_effects, MODEL_WAITS),
    Mutant(
        "counts loads of the lost", "callers", missing_models, "may_serve", _always, MODEL_WAITS
    ),
    Mutant(
        "waits for nothing",
        "callers",
        model_waits,
        "_decide_learnt",
        _wait_till_deadline,
        MODEL_WAITS,
    ),
    Mutant("keeps the arrival", "callers", missing_models, "take_arrivals", _nothing, MODEL_WAITS),
    Mutant("learns no absence", "callers", ArrivalWaits, "forget_old", _nothing, MODEL_WAITS),
    Mutant("waits for no word", "callers", core_defaults, "HOLDER_ANSWER_S", 0.0, MODEL_WAITS),
    Mutant("never sends away", "callers", model_waits.Need, "retry_most_s", _no_retry, MODEL_WAITS),
    Mutant(
        "sends last tries away",
        "callers",
        last_tries,
        "find_end",
        _nothing,
        RETURNED_CALLERS,
    ),
    Mutant(
        "holds who can come back", "callers", CallerTimes, "is_return", _always, RETURNED_CALLERS
    ),
    Mutant(
        "holds who leaves", "callers", Route, "stays_s", property(_stays_for_ever), RETURNED_CALLERS
    ),
    Mutant(
        "hopes to the end",
        "callers",
        core_defaults,
        "LAST_TRY_WAIT_SHARE",
        1.0,
        RETURNED_CALLERS,
    ),
    Mutant(
        "keeps no model for them",
        "callers",
        last_tries,
        "announce_wait",
        _no_effects,
        RETURNED_CALLERS,
    ),
)
