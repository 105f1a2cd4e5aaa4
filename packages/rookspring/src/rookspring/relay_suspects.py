"""Exchange and storage of evidence about requests during which endpoints crashed.

A node sends new evidence to all nodes at once, and forwards what it receives if that was new to
it. A newly linked node is sent all evidence, before any report of an endpoint. Verdicts are also
stored with the lease, so that they survive the loss of all nodes.
"""

import typing as t

from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import VerdictFound
from rookspring_core.events import EvidenceReceived
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Verdict

from . import clock
from .evidence import decode_evidence
from .evidence import encode_evidence
from .evidence import report_verdict
from .messages import EvidenceMessage
from .peers import Link
from .relay_context import RelayContext
from .relay_context import handles_relay_effect
from .relay_merged import merged_set
from .relay_peers import RelayPeers
from .relay_peers import receives

if t.TYPE_CHECKING:
    from rookspring_core.state import NodeState


def share_evidence(peers: RelayPeers, evidence: Evidence, source: str) -> None:
    """Send evidence to all nodes except for the source."""
    peers.broadcast(encode_evidence(evidence, clock.now()), source)


@merged_set("evidence", lambda state: state.suspects.digest())
def send_all_evidence(peers: RelayPeers, link: Link) -> None:
    """Send a node all evidence."""
    now = clock.now()
    evidence = peers.context.state.suspects.snapshot(now)
    if not evidence.empty():
        link.send(encode_evidence(evidence, now))


@receives(EvidenceMessage)
def handle_evidence(peers: RelayPeers, link: Link, message: EvidenceMessage) -> None:
    """Process evidence that another node sent."""
    now = clock.now()
    peers.context.submit(EvidenceReceived(now, decode_evidence(message, now), link.name))


@handles_relay_effect(ShareEvidence)
def handle_share_evidence(context: RelayContext, effect: ShareEvidence) -> None:
    """Send the other nodes new evidence."""
    context.share_evidence(effect.evidence, effect.source)


@handles_relay_effect(VerdictFound)
def handle_verdict_found(context: RelayContext, effect: VerdictFound) -> None:
    """Log and count a verdict."""
    report_verdict(context.metrics, effect)


def write_verdicts(state: "NodeState", now: float) -> list[t.Any]:
    """Return the verdicts as the lease stores them, with their remaining time in seconds."""
    verdicts = state.suspects.verdicts(now)
    return [[one.fingerprint, one.organisation, round(one.until - now, 1)] for one in verdicts]


def read_verdicts(rows: t.Iterable[t.Any], now: float) -> Evidence:
    """Parse the verdicts stored with the lease."""
    return Evidence(
        verdicts=tuple(Verdict(str(one[0]), str(one[1]), now + float(one[2])) for one in rows)
    )
