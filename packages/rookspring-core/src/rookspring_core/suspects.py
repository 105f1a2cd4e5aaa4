"""Detection of requests, and of parts of prompts, that crash the endpoints that run them.

A request may crash every process that runs it, and callers retry it, through any node. All
requests in flight on a process when it crashed are suspects. Over several crashes the cause
becomes clear: it was in flight at each, while other requests succeed in between, which clears
them.

A part of a prompt may do the same in whatever request it is, so the shared parts of a request are
suspects as it is itself. Popular parts are under each crash, but in whole answers as well.

The evidence is merged by its keys, so nodes may exchange it in any order and more than once:
crash records (a request, by its fingerprint, in flight at the crash of one process), the times
at which a request was cleared, and verdicts. Times are of this node's clock.
"""

import collections
import math
import typing as t

from . import defaults
from .crash_moments import count_moments
from .evidence import Cleared as Cleared
from .evidence import CrashRecord as CrashRecord
from .evidence import EndpointProcess as EndpointProcess
from .evidence import Evidence as Evidence
from .evidence import Trial as Trial
from .evidence import Verdict as Verdict
from .evidence import is_part as is_part
from .evidence import subjects_of as subjects_of
from .hashing import stable_hash
from .sound_runs import EndedRun
from .sound_runs import SoundRun
from .sound_runs import SoundRuns
from .sound_runs import is_over
from .sound_runs import join_lengths
from .sound_runs import note_heard
from .sound_runs import shows_life

# Weighs the crash records of one request; at a weight of ``CRASHES_MAX`` there is a verdict.
Weigh = t.Callable[[t.Iterable[CrashRecord]], float]
WEIGHTS: dict[str, Weigh] = {}
WeighFunction = t.TypeVar("WeighFunction", bound=Weigh)


def weight(name: str) -> t.Callable[[WeighFunction], WeighFunction]:
    """Register a function that weighs crash records, under a name."""

    def register(function: WeighFunction) -> WeighFunction:
        WEIGHTS[name] = function
        return function

    return register


@weight("count")
def count_ends(records: t.Iterable[CrashRecord]) -> float:
    """Count each process that crashed while it ran the request as 1."""
    return float(sum(1 for _ in records))


@weight("young")
def weigh_young(records: t.Iterable[CrashRecord]) -> float:
    """Count a crash less if the request had been producing its response for long by then."""
    return sum(1.0 if one.early else defaults.LONG_RUN_WEIGHT for one in records)


class SuspectTable:
    """A node's evidence on suspects.

    :param weigh: the function that weighs crash records, by its name in :data:`WEIGHTS`.
    :param since: when the node began to keep evidence.
    """

    def __init__(self, weigh: str = defaults.SUSPECT_WEIGHT, since: float = -math.inf) -> None:
        self._since = since
        self._weigh = WEIGHTS[weigh]
        self._records: dict[str, dict[EndpointProcess, CrashRecord]] = {}
        self._cleared: dict[str, float] = {}
        self._verdicts: dict[str, Verdict] = {}
        self._trials: dict[str, float] = {}
        # When each process was found to have ended; and the crash records of processes that may
        # have ended, which count only once that is confirmed.
        self._ended: dict[EndpointProcess, float] = {}
        self._pending: dict[EndpointProcess, dict[str, CrashRecord]] = {}
        self._expired_at = -1e9
        self._digest: int | None = 0
        # When each part was last in a whole answer of this node; the latest at the end.
        self._sound: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Runs that this node ended, of which it is not known yet whether their process lives on;
        # and those of which it is.
        self._ended_runs: list[EndedRun] = []
        self._sound_runs = SoundRuns()

    def use(self, weigh: str) -> None:
        """Weigh crash records with another function from now on."""
        self._weigh = WEIGHTS[weigh]

    def __len__(self) -> int:
        return len(self._records) + len(self._verdicts)

    # Events that this node observes itself.

    def note_broken_request(self, record: CrashRecord) -> list[CrashRecord]:
        """Record a request whose connection broke, pending the end of its process.

        :return: the record, if the process is already known to have ended.
        """
        if record.process in self._ended:
            return [record]
        pending = self._pending.setdefault(record.process, {})
        pending[record.fingerprint] = _with_length(record, pending.get(record.fingerprint))
        return []

    def note_left(self, record: CrashRecord) -> None:
        """Record a request whose caller left; its endpoint may still run it for a while.

        A crash counts against it only if it is detected within ``ABANDONED_RUN_S``.
        """
        backdated = record._replace(
            at=record.at - defaults.CRASH_DETECTION_S + defaults.ABANDONED_RUN_S
        )
        pending = self._pending.setdefault(record.process, {})
        known = pending.get(record.fingerprint, backdated)
        pending[record.fingerprint] = _with_length(known, backdated)

    def note_ended_run(self, run: EndedRun) -> None:
        """Record a run that this node ended, which is sound if its process lives on."""
        if len(self._ended_runs) < defaults.ENDED_RUNS_MAX:
            self._ended_runs.append(run)

    def find_sound_runs(
        self, heard_at: t.Callable[[EndpointProcess], float], now: float
    ) -> tuple[SoundRun, ...]:
        """Return the runs of which it shows now that their process has lived on.

        :param heard_at: returns when something last came from a process; -inf if it has ended.
        """
        waiting: list[EndedRun] = []
        found: list[SoundRun] = []
        for known in self._ended_runs:
            run = note_heard(known, heard_at(known.process), now)
            if run.process in self._ended or is_over(run, now):
                continue
            if shows_life(run, now):
                found += [SoundRun(subject, run.at, run.length) for subject in run.subjects]
            else:
                waiting.append(run)
        self._ended_runs = waiting
        return tuple(found)

    def note_process_end(self, process: EndpointProcess, now: float) -> list[CrashRecord]:
        """Record that a process has ended, and return the crash records that this confirms.

        They are of requests that broke there within the last ``CRASH_DETECTION_S``.
        """
        self._ended.setdefault(process, now)
        pending = self._pending.pop(process, {}).values()
        return [one for one in pending if now - one.at <= defaults.CRASH_DETECTION_S]

    def note_sound(self, part: str, now: float) -> None:
        """Record that a part was in a whole answer, which voids the crash records up to then."""
        self._sound[part] = max(now, self._sound.get(part, now))
        self._sound.move_to_end(part)
        if len(self._sound) > defaults.SOUND_PARTS_MAX:
            self._sound.popitem(last=False)
        if part in self._records:
            self._void_records(part, now)
            self._digest = None
        if part in self._verdicts and self.crash_score(part) < self.crashes_needed(part):
            del self._verdicts[part]
            self._digest = None

    def disputes(self, evidence: Evidence) -> tuple[Cleared, ...]:
        """Return when parts were in whole answers here that evidence may convict elsewhere.

        They have crashes enough for other nodes, which don't know of these answers.
        """
        parts = {one.fingerprint for one in evidence.crash_records if is_part(one.fingerprint)}
        suspects = {part for part in parts if self.crash_score(part) >= defaults.SUSPECT_CRASHES}
        suspects |= {one.fingerprint for one in evidence.verdicts}
        return tuple(
            Cleared(part, self._sound[part]) for part in sorted(suspects) if self._is_doubted(part)
        )

    def dispute_runs(self, subjects: t.Collection[str]) -> tuple[SoundRun, ...]:
        """Return the sound runs here that speak against evidence by which others may convict."""
        return tuple(
            run
            for subject in sorted(subjects)
            if self.crash_score(subject) < self._raw_score(subject) >= defaults.SUSPECT_CRASHES
            for run in self._sound_runs.of(subject)
        )

    def _is_doubted(self, subject: str) -> bool:
        """Return whether a subject that is convicted elsewhere was sound here."""
        if subject in self._sound and self.crash_score(subject) < self.crashes_needed(subject):
            return True
        return self._is_voided(subject)

    def _is_voided(self, subject: str) -> bool:
        """Return whether evidence would convict a subject if nothing spoke against it.

        A node that has a verdict without its evidence can't tell what speaks against it.
        """
        return self.crash_score(subject) < self.crashes_needed(subject) <= self._raw_score(subject)

    def _was_sound(self, subject: str, at: float) -> bool:
        """Return whether a part was in a whole answer shortly before, or may have been.

        A node that has just started has seen no whole answers yet.
        """
        sound_at = self._sound.get(subject, self._since)
        return is_part(subject) and sound_at > at - defaults.PART_SOUND_S

    # Merging.

    def merge(self, evidence: Evidence, now: float) -> Evidence:
        """Merge evidence of this or another node, and return the part that was not known yet."""
        sound_runs = tuple(one for one in evidence.sound_runs if self._merge_sound_run(one))
        cleared = tuple(one for one in evidence.cleared if self._merge_cleared(one))
        verdicts = tuple(one for one in evidence.verdicts if self._merge_verdict(one, now))
        records = tuple(one for one in evidence.crash_records if self._merge_record(one, now))
        trials = tuple(one for one in evidence.trials if self._merge_trial(one, now))
        if records:
            # Their crashes may show that verdicts rest on one moment.
            for subject in list(self._verdicts):
                self._lift_voided(subject)
        self._digest = None
        return Evidence(records, cleared, verdicts, trials, sound_runs)

    def _merge_sound_run(self, run: SoundRun) -> bool:
        added = self._sound_runs.add(run)
        self._lift_voided(run.subject)
        return added

    def _lift_voided(self, subject: str) -> None:
        """Remove the verdict on a subject if something speaks against its evidence."""
        if subject in self._verdicts and self._is_voided(subject):
            del self._verdicts[subject]
            self._digest = None

    def _merge_cleared(self, cleared: Cleared) -> bool:
        if self._cleared.get(cleared.fingerprint, -1e9) >= cleared.at - defaults.SAME_MOMENT_S:
            return False
        self._cleared[cleared.fingerprint] = cleared.at
        if is_part(cleared.fingerprint):
            self.note_sound(cleared.fingerprint, cleared.at)
        else:
            self._void_records(cleared.fingerprint, cleared.at)
        return True

    def _void_records(self, subject: str, until: float) -> None:
        rows = self._records.get(subject, {})
        for process in [process for process, one in rows.items() if one.at <= until]:
            del rows[process]
        if not rows:
            self._records.pop(subject, None)
        self._trials.pop(subject, None)

    def _merge_record(self, record: CrashRecord, now: float) -> bool:
        fingerprint = record.fingerprint
        self._ended.setdefault(record.process, record.at)
        expired = now - record.at > defaults.EVIDENCE_S
        if expired or record.at <= self._cleared.get(fingerprint, -1e9):
            return False
        rows = self._records.setdefault(fingerprint, {})
        known = rows.get(record.process)
        kept = known if known is not None and known.request <= record.request else record
        kept = _with_length(kept, known, record)
        if kept == known:
            return False
        rows[record.process] = kept
        self._trials.pop(fingerprint, None)
        if self.crash_score(fingerprint) >= self.crashes_needed(fingerprint):
            until = record.at + self._verdict_s(fingerprint)
            self._merge_verdict(Verdict(fingerprint, record.organisation, until), now)
        self._lift_voided(fingerprint)
        self._bound(record.organisation)
        return True

    def _verdict_s(self, subject: str) -> float:
        """Return how long a suspect that is convicted now stays so, in seconds."""
        if not is_part(subject):
            return defaults.EVIDENCE_S
        further = max(0.0, self.crash_score(subject) - self.crashes_needed(subject))
        grown_s: float = defaults.PART_VERDICT_S * defaults.PART_VERDICT_GROWTH**further
        return min(grown_s, defaults.EVIDENCE_S)

    def _merge_verdict(self, verdict: Verdict, now: float) -> bool:
        known = self._verdicts.get(verdict.fingerprint)
        if verdict.until <= now or self._is_doubted(verdict.fingerprint):
            return False
        if known is not None and known.until >= verdict.until - defaults.SAME_MOMENT_S:
            return False
        self._verdicts[verdict.fingerprint] = verdict
        while len(self._verdicts) > defaults.VERDICTS_MAX:
            del self._verdicts[next(iter(self._verdicts))]
        return True

    def _merge_trial(self, trial: Trial, now: float) -> bool:
        if trial.until <= now or trial.fingerprint in self._trials:
            return False
        self._trials[trial.fingerprint] = trial.until
        return True

    def end_trial(self, fingerprint: str) -> None:
        """Forget the trial of a suspect that was not run after all."""
        self._trials.pop(fingerprint, None)

    def _bound(self, organisation: str) -> None:
        """Remove the least suspects beyond the limits, so that no caller can fill the table."""
        if len(self._records) <= defaults.SUSPECTS_EACH_MAX:
            return
        suspects = [
            name for name, rows in self._records.items() if _organisation_of(rows) == organisation
        ]
        if organisation and len(suspects) > defaults.SUSPECTS_EACH_MAX:
            del self._records[self._least(suspects)]
        if len(self._records) > defaults.SUSPECTS_MAX:
            del self._records[self._least(self._records)]

    def _least(self, subjects: t.Iterable[str]) -> str:
        """Return the subject with the fewest crashes, the oldest of them."""
        return min(subjects, key=lambda subject: len(self._records[subject]))

    def tick(self, now: float) -> None:
        """Remove expired evidence, every ``EXPIRE_EVERY_S``."""
        if now - self._expired_at >= defaults.EXPIRE_EVERY_S:
            self._expired_at = now
            self._expire(now)

    def _expire(self, now: float) -> None:
        oldest = now - defaults.EVIDENCE_S
        self._digest = None
        for fingerprint, rows in list(self._records.items()):
            kept = {process: one for process, one in rows.items() if one.at > oldest}
            if kept:
                self._records[fingerprint] = kept
            else:
                del self._records[fingerprint]
        self._verdicts = {name: one for name, one in self._verdicts.items() if one.until > now}
        self._cleared = {name: at for name, at in self._cleared.items() if at > oldest}
        self._trials = {name: until for name, until in self._trials.items() if until > now}
        self._ended = {process: at for process, at in self._ended.items() if at > oldest}
        self._sound_runs.expire(oldest)
        oldest_pending = now - defaults.CRASH_DETECTION_S
        for process, pending in list(self._pending.items()):
            if all(one.at < oldest_pending for one in pending.values()):
                del self._pending[process]

    # Queries.

    def known(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect."""
        return fingerprint in self._records

    def crashes_needed(self, subject: str) -> float:
        """Return the weight of evidence that convicts a suspect."""
        if self._was_sound(subject, self.last_crash_at(subject)):
            return defaults.PART_CRASHES_SOUND
        return defaults.CRASHES_MAX

    def is_suspect(self, subject: str) -> bool:
        """Return whether one more crash would convict a suspect."""
        missing = defaults.CRASHES_MAX - defaults.SUSPECT_CRASHES
        return self.crash_score(subject) >= self.crashes_needed(subject) - missing

    def crash_score(self, fingerprint: str) -> float:
        """Return the weight of the evidence against a suspect, in crashes.

        Crashes that a later sound run speaks against don't count, and of those of one moment that a
        part is no cause of, only one does.
        """
        rows = self._records.get(fingerprint, {}).values()
        counted = [one for one in rows if not self._sound_runs.void(one)]
        if is_part(fingerprint) and len(counted) > 1:
            counted = count_moments(counted, self._ended.values())
        return self._score(fingerprint, counted)

    def _raw_score(self, fingerprint: str) -> float:
        """Return the weight of the evidence where nothing is known that speaks against it."""
        return self._score(fingerprint, self._records.get(fingerprint, {}).values())

    def _score(self, fingerprint: str, rows: t.Iterable[CrashRecord]) -> float:
        """Return the weight of crash records of a subject.

        Each request counts once against a part: one that is retried may be under several crashes.
        """
        if not is_part(fingerprint):
            return self._weigh(rows)
        by_request: dict[str, CrashRecord] = {}
        for one in sorted(rows, key=lambda record: record.early):
            by_request[one.request] = one
        return self._weigh(by_request.values())

    def last_crash_at(self, fingerprint: str) -> float:
        """Return when a process last crashed while it ran a request."""
        rows = self._records.get(fingerprint, {})
        return max((one.at for one in rows.values()), default=-1e9)

    def crashed_processes(self, fingerprint: str) -> list[EndpointProcess]:
        """Return the processes that crashed while they ran a request."""
        return list(self._records.get(fingerprint, {}))

    def verdict(self, fingerprint: str, now: float) -> Verdict | None:
        """Return the verdict in force on a request, if there is one."""
        found = self._verdicts.get(fingerprint)
        return found if found is not None and found.until > now else None

    def trial_until(self, fingerprint: str) -> float:
        """Return when the latest trial of a suspect is over, before which no other may begin."""
        return self._trials.get(fingerprint, -1e9)

    def verdicts(self, now: float) -> list[Verdict]:
        """List the verdicts in force."""
        return [one for one in self._verdicts.values() if one.until > now]

    def snapshot(self, now: float) -> Evidence:
        """Return the evidence that other nodes are to have.

        Of a convicted part its records too: a node that had whole answers with it goes by them.
        """
        records = [
            one
            for fingerprint, rows in self._records.items()
            if fingerprint not in self._verdicts or is_part(fingerprint)
            for one in rows.values()
        ]
        cleared = [Cleared(name, at) for name, at in self._cleared.items()]
        trials = [Trial(name, until) for name, until in self._trials.items() if until > now]
        return Evidence(
            tuple(records),
            tuple(cleared),
            tuple(self.verdicts(now)),
            tuple(trials),
            self.dispute_runs(set(self._records)),
        )

    def digest(self) -> int:
        """Return a hash that is equal on nodes that have the same suspects and verdicts."""
        if self._digest is None:
            combined = 0
            for fingerprint, rows in self._records.items():
                if fingerprint not in self._verdicts:
                    for process in rows:
                        combined ^= stable_hash(
                            fingerprint, f"{process.endpoint}/{process.started_ms}"
                        )
            for fingerprint in self._verdicts:
                combined ^= stable_hash(fingerprint, "verdict")
            self._digest = combined
        return self._digest


def _organisation_of(rows: t.Mapping[EndpointProcess, CrashRecord]) -> str:
    return next((one.organisation for one in rows.values()), "")


def _with_length(record: CrashRecord, *others: CrashRecord | None) -> CrashRecord:
    """Return a record with the length that covers its own and those of others."""
    length = record.length
    for other in others:
        length = join_lengths(length, other.length if other is not None else None)
    return record._replace(length=length)
