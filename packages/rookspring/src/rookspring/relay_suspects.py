"""What relay nodes tell each other of requests under which endpoints ended, and what is stored.

What is seen goes to all nodes at once, and what a node hears that is news to it goes on from
there; a node that is linked anew is told all, before it is told of any endpoint. The lease
keeps the verdicts, so that they outlast a moment at which every node is lost.
"""

import typing as t

from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import VerdictFound
from rookspring_core.events import EvidenceHeard
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Life
from rookspring_core.suspects import Sighting
from rookspring_core.suspects import Trial
from rookspring_core.suspects import Verdict

from . import clock
from . import defaults
from .logs import log
from .messages import EvidenceTold
from .peers import Link
from .relay_context import RelayContext
from .relay_context import relay_performs
from .relay_peers import RelayPeers
from .relay_peers import receives

if t.TYPE_CHECKING:
    from rookspring_core.state import NodeState


def encode_evidence(evidence: Evidence, now: float) -> EvidenceTold:
    """Write evidence with ages in place of this node's times."""
    return EvidenceTold(
        [
            [
                one.fingerprint,
                one.organisation,
                one.life.endpoint,
                one.life.born,
                now - one.at,
                one.young,
            ]
            for one in evidence.sightings
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


def _read_sighting(row: list[t.Any], now: float) -> Sighting:
    fingerprint, organisation, endpoint, born, age_s, young = row
    life = Life(str(endpoint), int(born))
    return Sighting(str(fingerprint), str(organisation), life, now - float(age_s), bool(young))


def share_evidence(peers: RelayPeers, evidence: Evidence, source: str) -> None:
    """Tell all nodes, but the one that told it."""
    peers.spread(encode_evidence(evidence, clock.now()), source)


def greet(peers: RelayPeers, link: Link) -> None:
    """Tell a node that has just been linked all that is known."""
    now = clock.now()
    evidence = peers.context.state.suspects.whole(now)
    if not evidence.empty():
        link.send(encode_evidence(evidence, now))


def compare(peers: RelayPeers, link: Link, digest: int) -> None:
    """Tell a node all, where it has known something else for some heartbeats.

    A message that was lost with a relay, or a link that hung, leaves no gap for longer.
    """
    now = clock.now()
    if digest == peers.context.state.suspects.digest():
        peers.differs_since.pop(link, None)
        return
    since = peers.differs_since.setdefault(link, now)
    if now - since >= defaults.EVIDENCE_DIFFERS_S:
        peers.differs_since[link] = now + defaults.EVIDENCE_AGAIN_S
        greet(peers, link)


@receives(EvidenceTold)
def take_evidence(peers: RelayPeers, link: Link, told: EvidenceTold) -> None:
    """Take what another node knows."""
    now = clock.now()
    peers.context.submit(EvidenceHeard(now, decode_evidence(told, now), link.name))


@relay_performs(ShareEvidence)
def perform_share(context: RelayContext, effect: ShareEvidence) -> None:
    """Tell the other nodes of requests under which endpoints ended."""
    context.share_evidence(effect.evidence, effect.source)


@relay_performs(VerdictFound)
def tell_verdict(context: RelayContext, effect: VerdictFound) -> None:
    """Log and count a verdict."""
    context.metrics.verdicts.inc({})
    log(
        "verdict",
        "WARNING",
        what="found to end endpoints",
        fingerprint=effect.fingerprint,
        organisation=effect.organisation,
        endpoints=",".join(effect.endpoints),
        left_s=effect.left_s,
    )


def write_verdicts(state: "NodeState", now: float) -> list[t.Any]:
    """Give the verdicts as the lease keeps them: with the rest of their time, in seconds."""
    verdicts = state.suspects.verdicts(now)
    return [[one.fingerprint, one.organisation, round(one.until - now, 1)] for one in verdicts]


def read_verdicts(rows: t.Iterable[t.Any], now: float) -> Evidence:
    """Read the verdicts that the lease keeps."""
    return Evidence(
        verdicts=tuple(Verdict(str(one[0]), str(one[1]), now + float(one[2])) for one in rows)
    )
