"""Mutants of the quarantine of requests that crash endpoints."""

import typing as t

from rookspring import relay_merged
from rookspring import relay_suspects
from rookspring_core import suspect_handlers
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable

from .mutant import CRASHES
from .mutant import Mutant


def _no_effects(*args: t.Any) -> list[t.Any]:
    return []


def _nothing(*args: t.Any) -> None:
    return None


def _never(*args: t.Any) -> bool:
    return False


def _refuse_by_verdict_only(state: t.Any, arrived: t.Any) -> suspect_handlers.Quarantine | None:
    if state.suspects.verdict(arrived.fingerprint, state.now) is None:
        return None
    return suspect_handlers.Quarantine(503, "ends_endpoints", "it has not run")


def _record_planned_end(state: t.Any, request: t.Any, event: t.Any) -> list[t.Any]:
    """Record a planned end of an endpoint as a crash that the request caused."""
    process = suspect_handlers.EndpointProcess(request.endpoint, request.endpoint_started_ms)
    crash = suspect_handlers._record_crash(state, request, process)
    effects = suspect_handlers._merge_and_share(
        state, Evidence(tuple(state.suspects.note_broken_request(crash)))
    )
    return effects + (suspect_handlers._note_process_end(state, process) if event.down else [])


def _match_any_end(self: SuspectTable, process: t.Any, now: float) -> list[t.Any]:
    """Attribute an end to every request that broke off there, however long before."""
    self._ended.setdefault(process, now)
    return list(self._pending.pop(process, {}).values())


MUTANTS = (
    Mutant(
        "sees nothing broken", "ends", SuspectTable, "note_broken_request", _no_effects, CRASHES
    ),
    Mutant(
        "learns of no later end",
        "ends",
        suspect_handlers,
        "note_endpoint_end",
        _no_effects,
        CRASHES,
    ),
    Mutant(
        "charges planned ends",
        "innocents",
        suspect_handlers,
        "note_failed_attempt",
        _record_planned_end,
        CRASHES,
    ),
    Mutant(
        "joins what is far apart",
        "innocents",
        SuspectTable,
        "note_process_end",
        _match_any_end,
        CRASHES,
    ),
    Mutant("clears nobody", "innocents", suspect_handlers, "clear_suspect", _no_effects, CRASHES),
    Mutant("tells nobody of ends", "ends", relay_suspects, "share_evidence", _nothing, CRASHES),
    Mutant("greets with no evidence", "ends", relay_merged, "send_merged_sets", _nothing, CRASHES),
    Mutant("compares no evidence", "ends", relay_merged, "resend_if_different", _nothing, CRASHES),
    Mutant("keeps no verdict", "ends", relay_suspects, "write_verdicts", _no_effects, CRASHES),
    Mutant(
        "tries suspects at once",
        "ends",
        suspect_handlers,
        "find_quarantine",
        _refuse_by_verdict_only,
        CRASHES,
    ),
    Mutant("tells of no trial", "ends", suspect_handlers, "begin_trial", _no_effects, CRASHES),
    Mutant(
        "runs suspects among others", "innocents", suspect_handlers, "is_suspect", _never, CRASHES
    ),
    Mutant("bounds no table", "memory", SuspectTable, "_bound", _nothing, CRASHES),
)
