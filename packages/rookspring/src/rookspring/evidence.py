"""Encoding of crash evidence in messages between nodes, and the report of verdicts to operators.

Used by :mod:`relay_suspects` (relay nodes) and :mod:`gossip` (the product's own nodes).
"""

from rookspring_core.effects import VerdictFound
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Trial
from rookspring_core.suspects import Verdict

from .logs import log
from .message_rows import ClearedRow
from .message_rows import CrashRow
from .message_rows import TrialRow
from .message_rows import VerdictRow
from .messages import EvidenceMessage
from .metrics import Metrics


def encode_evidence(evidence: Evidence, now: float) -> EvidenceMessage:
    """Encode evidence; times of this node's clock become ages and remaining times."""
    return EvidenceMessage(
        [
            CrashRow(
                one.fingerprint,
                one.organisation,
                one.process.endpoint,
                one.process.started_ms,
                now - one.at,
                one.early,
                one.request,
            )
            for one in evidence.crash_records
        ],
        [ClearedRow(one.fingerprint, now - one.at) for one in evidence.cleared],
        [
            VerdictRow(one.fingerprint, one.organisation, one.until - now)
            for one in evidence.verdicts
        ],
        [TrialRow(one.fingerprint, one.until - now) for one in evidence.trials],
    )


def decode_evidence(message: EvidenceMessage, now: float) -> Evidence:
    """Decode evidence; ages and remaining times become times of this node's clock."""
    return Evidence(
        tuple(_decode_crash_record(row, now) for row in message.crash_records),
        tuple(Cleared(row.fingerprint, now - row.age_s) for row in message.cleared),
        tuple(
            Verdict(row.fingerprint, row.organisation, now + row.left_s) for row in message.verdicts
        ),
        tuple(Trial(row.fingerprint, now + row.left_s) for row in message.trials),
    )


def _decode_crash_record(row: CrashRow, now: float) -> CrashRecord:
    process = EndpointProcess(row.endpoint, row.started_ms)
    return CrashRecord(
        row.fingerprint, row.organisation, process, now - row.age_s, row.early, row.request
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
