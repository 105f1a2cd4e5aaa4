"""Replication of merged sets: data that all relay nodes merge from what each has observed.

Changes are sent to all nodes at once. A newly linked node is sent every set in full, and so is a
linked node whose digest has differed for several heartbeats. So the entries of a message that was
lost with a relay, or on a link that hung, are sent again after that time.
"""

import typing as t

from rookspring_core.state import NodeState

from . import clock
from . import defaults
from .peers import Link
from .relay_peers import RelayPeers

Digest = t.Callable[[NodeState], int]
SendAll = t.Callable[[RelayPeers, Link], None]


class MergedSet(t.NamedTuple):
    """One merged set: its digest, and the function that sends all of it to a linked node."""

    digest: Digest
    send_all: SendAll


MERGED_SETS: dict[str, MergedSet] = {}


def merged_set(name: str, digest: Digest) -> t.Callable[[SendAll], SendAll]:
    """Register the function that sends all of a merged set to a linked node.

    :param digest: computes a number that is equal on nodes that hold the same entries.
    """

    def register(send_all: SendAll) -> SendAll:
        MERGED_SETS[name] = MergedSet(digest, send_all)
        return send_all

    return register


def combined_digest(state: NodeState) -> int:
    """Return a digest over all merged sets, equal on nodes whose sets are equal."""
    combined = 0
    for merged in MERGED_SETS.values():
        combined ^= merged.digest(state)
    return combined


def send_merged_sets(peers: RelayPeers, link: Link) -> None:
    """Send a linked node all merged sets in full."""
    for merged in MERGED_SETS.values():
        merged.send_all(peers, link)


def resend_if_different(peers: RelayPeers, link: Link, peer_digest: int) -> None:
    """Send a linked node all merged sets if its digest has differed for ``MERGED_MISMATCH_S``.

    :param peer_digest: the digest in the node's heartbeat.
    """
    now = clock.now()
    if peer_digest == combined_digest(peers.context.state):
        peers.differs_since.pop(link, None)
        return
    since = peers.differs_since.setdefault(link, now)
    if now - since >= defaults.MERGED_MISMATCH_S:
        peers.differs_since[link] = now + defaults.MERGED_RESEND_S
        send_merged_sets(peers, link)
