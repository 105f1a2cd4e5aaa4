"""What relay nodes tell each other of requests under which endpoints ended, and what is stored.

What is seen goes to all nodes at once, and what a node hears that is news to it goes on from
there; a node that is linked anew is told all, before it is told of any endpoint. The lease
keeps the verdicts, so that they outlast a moment at which every node is lost.
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
from .evidence import tell_verdict
from .messages import EvidenceTold
from .peers import Link
from .relay_context import RelayContext
from .relay_context import relay_performs
from .relay_merged import merged_set
from .relay_peers import RelayPeers
from .relay_peers import receives

if t.TYPE_CHECKING:
    from rookspring_core.state import NodeState


def share_evidence(peers: RelayPeers, evidence: Evidence, source: str) -> None:
    """Tell all nodes, but the one that told it."""
    peers.spread(encode_evidence(evidence, clock.now()), source)


@merged_set("evidence", lambda state: state.suspects.digest())
def tell_all(peers: RelayPeers, link: Link) -> None:
    """Tell a node all that is known."""
    now = clock.now()
    evidence = peers.context.state.suspects.snapshot(now)
    if not evidence.empty():
        link.send(encode_evidence(evidence, now))


@receives(EvidenceTold)
def take_evidence(peers: RelayPeers, link: Link, told: EvidenceTold) -> None:
    """Take what another node knows."""
    now = clock.now()
    peers.context.submit(EvidenceReceived(now, decode_evidence(told, now), link.name))


@relay_performs(ShareEvidence)
def perform_share(context: RelayContext, effect: ShareEvidence) -> None:
    """Tell the other nodes of requests under which endpoints ended."""
    context.share_evidence(effect.evidence, effect.source)


@relay_performs(VerdictFound)
def perform_verdict(context: RelayContext, effect: VerdictFound) -> None:
    """Log and count a verdict."""
    tell_verdict(context.metrics, effect)


def write_verdicts(state: "NodeState", now: float) -> list[t.Any]:
    """Give the verdicts as the lease keeps them: with the rest of their time, in seconds."""
    verdicts = state.suspects.verdicts(now)
    return [[one.fingerprint, one.organisation, round(one.until - now, 1)] for one in verdicts]


def read_verdicts(rows: t.Iterable[t.Any], now: float) -> Evidence:
    """Read the verdicts that the lease keeps."""
    return Evidence(
        verdicts=tuple(Verdict(str(one[0]), str(one[1]), now + float(one[2])) for one in rows)
    )
