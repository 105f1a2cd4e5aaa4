"""Wrong decisions about requests under which endpoints end."""

import typing as t

from rookspring import relay_merged
from rookspring import relay_suspects
from rookspring_core import suspect_handlers
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable

from .mutant import CRASHES
from .mutant import Mutant


def _no_effects(*given: t.Any) -> list[t.Any]:
    return []


def _nothing(*given: t.Any) -> None:
    return None


def _never(*given: t.Any) -> bool:
    return False


def _verdicts_alone(state: t.Any, arrived: t.Any) -> suspect_handlers.Quarantine | None:
    if state.suspects.verdict(arrived.fingerprint, state.now) is None:
        return None
    return suspect_handlers.Quarantine(503, "ends_endpoints", "it has not run")


def _any_end(state: t.Any, request: t.Any, event: t.Any) -> list[t.Any]:
    """Take an end that was planned for one under the request."""
    life = suspect_handlers.EndpointProcess(request.endpoint, request.endpoint_started_ms)
    sighting = suspect_handlers._record_crash(state, request, life)
    told = suspect_handlers._merge_and_share(
        state, Evidence(tuple(state.suspects.note_broken(sighting)))
    )
    return told + (suspect_handlers._note_process_end(state, life) if event.down else [])


def _whenever(self: SuspectTable, life: t.Any, now: float) -> list[t.Any]:
    """Join an end to whatever broke off there, however long before."""
    self._ended.setdefault(life, now)
    return list(self._pending.pop(life, {}).values())


MUTANTS = (
    Mutant("sees nothing broken", "ends", SuspectTable, "note_broken", _no_effects, CRASHES),
    Mutant("learns of no later end", "ends", suspect_handlers, "note_ended", _no_effects, CRASHES),
    Mutant("charges planned ends", "innocents", suspect_handlers, "note_broken", _any_end, CRASHES),
    Mutant("joins what is far apart", "innocents", SuspectTable, "note_ended", _whenever, CRASHES),
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
        _verdicts_alone,
        CRASHES,
    ),
    Mutant("tells of no trial", "ends", suspect_handlers, "begin_trial", _no_effects, CRASHES),
    Mutant(
        "runs suspects among others", "innocents", suspect_handlers, "is_suspect", _never, CRASHES
    ),
    Mutant("bounds no table", "memory", SuspectTable, "_bound", _nothing, CRASHES),
)
