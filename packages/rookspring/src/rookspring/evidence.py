"""Encoding of crash evidence in messages between nodes, and the report of verdicts to operators.

Used by :mod:`relay_suspects` (relay nodes) and :mod:`gossip` (the product's own nodes).
"""

import typing as t

from rookspring_core.effects import VerdictFound
from rookspring_core.sound_runs import RunLength
from rookspring_core.sound_runs import SoundRun
from rookspring_core.sound_runs import join_lengths
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Trial
from rookspring_core.suspects import Verdict

from .logs import log
from .message_rows import ClearedRow
from .message_rows import CrashRow
from .message_rows import RunRow
from .message_rows import SoundRunRow
from .message_rows import TrialRow
from .message_rows import VerdictRow
from .messages import EvidenceMessage
from .metrics import Metrics


def encode_evidence(evidence: Evidence, now: float) -> EvidenceMessage:
    """Encode evidence; times of this node's clock become ages and remaining times."""
    crash_records = [_encode_crash_record(one, now) for one in evidence.crash_records]
    cleared = [ClearedRow(one.fingerprint, now - one.at) for one in evidence.cleared]
    return EvidenceMessage(
        [*crash_records, *_encode_lengths(evidence)],
        [*cleared, *(_encode_sound_run(one, now) for one in evidence.sound_runs)],
        [
            VerdictRow(one.fingerprint, one.organisation, one.until - now)
            for one in evidence.verdicts
        ],
        [TrialRow(one.fingerprint, one.until - now) for one in evidence.trials],
    )


def _encode_crash_record(record: CrashRecord, now: float) -> CrashRow:
    return CrashRow(
        record.fingerprint,
        record.organisation,
        record.process.endpoint,
        record.process.started_ms,
        now - record.at,
        record.early,
        record.request,
    )


def _encode_lengths(evidence: Evidence) -> list[RunRow]:
    """Return how far the runs under crashes had come, which stands in rows of its own."""
    return [
        RunRow(one.fingerprint, *one.process, one.length.events, one.length.seconds)
        for one in evidence.crash_records
        if one.length is not None
    ]


def _encode_sound_run(run: SoundRun, now: float) -> SoundRunRow:
    return SoundRunRow(run.subject, now - run.at, run.length.events, run.length.seconds)


def decode_evidence(message: EvidenceMessage, now: float) -> Evidence:
    """Decode evidence; ages and remaining times become times of this node's clock."""
    lengths = _decode_lengths(message)
    crash_records = [row for row in message.crash_records if isinstance(row, CrashRow)]
    return Evidence(
        tuple(_decode_crash_record(row, lengths, now) for row in crash_records),
        tuple(
            Cleared(row.fingerprint, now - row.age_s)
            for row in message.cleared
            if isinstance(row, ClearedRow)
        ),
        tuple(
            Verdict(row.fingerprint, row.organisation, now + row.left_s) for row in message.verdicts
        ),
        tuple(Trial(row.fingerprint, now + row.left_s) for row in message.trials),
        tuple(
            SoundRun(row.fingerprint, now - row.age_s, RunLength(row.events, row.seconds))
            for row in message.cleared
            if isinstance(row, SoundRunRow)
        ),
    )


# What a row of a run's length is of: a request, or a part of its prompt, and a process.
RunKey = tuple[str, EndpointProcess]


def _decode_lengths(message: EvidenceMessage) -> dict[RunKey, RunLength | None]:
    lengths: dict[RunKey, RunLength | None] = {}
    for row in message.crash_records:
        if isinstance(row, RunRow):
            key = (row.fingerprint, EndpointProcess(row.endpoint, row.started_ms))
            lengths[key] = join_lengths(lengths.get(key), RunLength(row.events, row.seconds))
    return lengths


def _decode_crash_record(
    row: CrashRow, lengths: t.Mapping[RunKey, RunLength | None], now: float
) -> CrashRecord:
    process = EndpointProcess(row.endpoint, row.started_ms)
    return CrashRecord(
        row.fingerprint,
        row.organisation,
        process,
        now - row.age_s,
        row.early,
        row.request,
        lengths.get((row.fingerprint, process)),
    )


def report_verdict(metrics: Metrics, effect: VerdictFound) -> None:
    """Log and count a verdict."""
    metrics.verdicts.inc({})
    log(
        "verdict",
        "WARNING",
        what="found to end endpoints",
        fingerprint=effect.fingerprint,
        organisation=effect.organisation,
        endpoints=",".join(effect.endpoints),
        left_s=effect.left_s,
    )
