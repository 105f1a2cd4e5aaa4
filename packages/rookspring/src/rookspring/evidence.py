"""Evidence against requests under which endpoints ended, as nodes send it, and told to operators.

Both fronts use it: :mod:`relay_suspects` between relay nodes, :mod:`gossip` between the product's.
"""

import typing as t

from rookspring_core.effects import VerdictFound
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Trial
from rookspring_core.suspects import Verdict

from .logs import log
from .messages import EvidenceTold
from .metrics import Metrics


def encode_evidence(evidence: Evidence, now: float) -> EvidenceTold:
    """Write evidence with ages in place of this node's times."""
    return EvidenceTold(
        [
            [
                one.fingerprint,
                one.organisation,
                one.process.endpoint,
                one.process.born,
                now - one.at,
                one.early,
            ]
            for one in evidence.crash_records
        ],
        [[one.fingerprint, now - one.at] for one in evidence.cleared],
        [[one.fingerprint, one.organisation, one.until - now] for one in evidence.verdicts],
        [[one.fingerprint, one.until - now] for one in evidence.trials],
    )


def decode_evidence(told: EvidenceTold, now: float) -> Evidence:
    """Read evidence into times of this node's clock."""
    return Evidence(
        tuple(_read_sighting(row, now) for row in told.sightings),
        tuple(Cleared(str(row[0]), now - float(row[1])) for row in told.cleared),
        tuple(Verdict(str(row[0]), str(row[1]), now + float(row[2])) for row in told.verdicts),
        tuple(Trial(str(row[0]), now + float(row[1])) for row in told.trials),
    )


def _read_sighting(row: list[t.Any], now: float) -> CrashRecord:
    fingerprint, organisation, endpoint, born, age_s, young = row
    life = EndpointProcess(str(endpoint), int(born))
    return CrashRecord(str(fingerprint), str(organisation), life, now - float(age_s), bool(young))


def tell_verdict(metrics: Metrics, effect: VerdictFound) -> None:
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
