"""Mutants of the quarantine of requests that crash endpoints."""

import typing as t

from rookspring import evidence as evidence_coding
from rookspring import relay_merged
from rookspring import relay_suspects
from rookspring_core import crash_moments
from rookspring_core import defaults
from rookspring_core import suspect_handlers
from rookspring_core import suspects
from rookspring_core.sound_runs import EndedRun
from rookspring_core.sound_runs import RunLength
from rookspring_core.sound_runs import SoundRun
from rookspring_core.sound_runs import SoundRuns
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable

from .mutant import CRASHES
from .mutant import PARTS
from .mutant import SOUND_RUNS
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
    crashes = [
        one
        for record in suspect_handlers._record_crash(state, request, process)
        for one in state.suspects.note_broken_request(record)
    ]
    effects = suspect_handlers._merge_and_share(state, Evidence(tuple(crashes)))
    return effects + (suspect_handlers._note_process_end(state, process) if event.down else [])


def _match_any_end(self: SuspectTable, process: t.Any, now: float) -> list[t.Any]:
    """Attribute an end to every request that broke off there, however long before."""
    self._ended.setdefault(process, now)
    return list(self._pending.pop(process, {}).values())


def _whole_alone(arrived: t.Any) -> tuple[str, ...]:
    return (arrived.fingerprint,) if arrived.fingerprint else ()


def _count_all(self: SuspectTable, subject: str) -> float:
    return self._weigh(self._records.get(subject, {}).values())


def _need_three(self: SuspectTable, subject: str) -> float:
    return defaults.CRASHES_MAX


def _dispute_nothing(self: SuspectTable, evidence: Evidence) -> tuple[t.Any, ...]:
    return ()


def _oldest(self: SuspectTable, subjects: t.Iterable[str]) -> str:
    return next(iter(subjects))


def _keep_records(self: SuspectTable, part: str, now: float) -> None:
    self._sound[part] = now


def _always(*args: t.Any) -> bool:
    return True


def _count_voided(self: SuspectTable, subject: str) -> float:
    return self._raw_score(subject)


def _void_earlier(self: SoundRuns, record: t.Any) -> bool:
    """Let a run speak against crashes that came after it."""
    runs = self.of(record.fingerprint)
    return any(one.length.covers(record.length) for one in runs if record.length)


def _hear_at_once(run: EndedRun, heard_at: float, now: float) -> EndedRun:
    return run._replace(heard_at=min(run.heard_at, now)) if heard_at > run.at else run


def _heard_now(run: EndedRun, now: float) -> bool:
    return now >= run.heard_at


def _void_without_evidence(self: SuspectTable, subject: str) -> bool:
    sound = bool(self._sound_runs.of(subject))
    return sound and self.crash_score(subject) < self.crashes_needed(subject)


def _accept_every_run(self: SoundRuns, run: SoundRun) -> bool:
    """Keep the latest run alone."""
    self._runs[run.subject] = [run]
    return True


def _begin_counting(state: t.Any, request: t.Any) -> RunLength:
    """Take a run without an event as one that has come as far as the shortest."""
    measured = _measure_run(state, request)
    return measured._replace(events=max(1, measured.events))


_measure_run = suspect_handlers._measure_run


def _no_lengths(message: t.Any) -> dict[t.Any, t.Any]:
    return {}


def _count_each(records: t.Iterable[t.Any], ended_at: t.Any) -> list[t.Any]:
    return list(records)


def _count_once(records: t.Iterable[t.Any], ended_at: t.Any) -> list[t.Any]:
    """Count a moment once, also what was under all of its crashes."""
    return [max(one, key=lambda record: record.early) for one in crash_moments._group(records)]


def _one_moment(records: t.Iterable[t.Any]) -> list[list[t.Any]]:
    return [sorted(records, key=lambda record: record.at)]


MUTANTS = (
    Mutant("counts each of a moment", "innocents", suspects, "count_moments", _count_each, PARTS),
    Mutant("counts moments once", "ends", suspects, "count_moments", _count_once, PARTS),
    Mutant("joins moments", "ends", crash_moments, "_group", _one_moment, PARTS),
    Mutant(
        "counts what is voided", "innocents", SuspectTable, "crash_score", _count_voided, SOUND_RUNS
    ),
    Mutant("covers longer runs", "ends", RunLength, "covers", _always, SOUND_RUNS),
    Mutant("voids later crashes", "ends", SoundRuns, "void", _void_earlier, SOUND_RUNS),
    Mutant("hears what was on its way", "ends", suspects, "note_heard", _hear_at_once, SOUND_RUNS),
    Mutant("takes a sign as life", "ends", suspects, "shows_life", _heard_now, SOUND_RUNS),
    Mutant("hears the silent", "ends", suspects, "shows_life", _always, SOUND_RUNS),
    Mutant(
        "lifts without evidence",
        "ends",
        SuspectTable,
        "_is_voided",
        _void_without_evidence,
        SOUND_RUNS,
    ),
    Mutant("keeps one sound run", "innocents", SoundRuns, "add", _accept_every_run, SOUND_RUNS),
    Mutant(
        "counts runs without events",
        "ends",
        suspect_handlers,
        "_measure_run",
        _begin_counting,
        SOUND_RUNS,
    ),
    Mutant(
        "notes no ended run", "innocents", suspect_handlers, "_note_ended_run", _nothing, SOUND_RUNS
    ),
    Mutant(
        "tells no sound runs",
        "innocents",
        suspect_handlers,
        "_dispute_runs",
        _no_effects,
        SOUND_RUNS,
    ),
    Mutant(
        "reads no lengths", "innocents", evidence_coding, "_decode_lengths", _no_lengths, SOUND_RUNS
    ),
    Mutant("names no parts", "ends", suspect_handlers, "subjects_of", _whole_alone, PARTS),
    Mutant("counts retries", "innocents", SuspectTable, "crash_score", _count_all, PARTS),
    Mutant("needs three ever", "innocents", SuspectTable, "crashes_needed", _need_three, PARTS),
    Mutant("disputes nothing", "innocents", SuspectTable, "disputes", _dispute_nothing, PARTS),
    Mutant("drops the oldest", "ends", SuspectTable, "_least", _oldest, PARTS),
    Mutant("voids nothing", "innocents", SuspectTable, "note_sound", _keep_records, PARTS),
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
