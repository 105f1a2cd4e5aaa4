"""What all relay nodes are to know alike, merged from what each has seen.

It is told to all at once. A node that is linked anew is told all of it, and so is one that has
known something else for some heartbeats: a message that was lost with a relay, or a link that
hung, leaves no gap for longer.
"""

import typing as t

from rookspring_core.state import NodeState

from . import clock
from . import defaults
from .peers import Link
from .relay_peers import RelayPeers

Digest = t.Callable[[NodeState], int]
Tell = t.Callable[[RelayPeers, Link], None]


class Merged(t.NamedTuple):
    """One kind of what all are to know: a number for it, and how a node is told all of it."""

    digest: Digest
    tell: Tell


MERGED: dict[str, Merged] = {}


def merges(name: str, digest: Digest) -> t.Callable[[Tell], Tell]:
    """Register what tells a node all of one kind.

    :param digest: a number that is the same on nodes that know the same of it.
    """

    def register(tell: Tell) -> Tell:
        MERGED[name] = Merged(digest, tell)
        return tell

    return register


def digest(state: NodeState) -> int:
    """Give a number that is the same on nodes that know the same."""
    found = 0
    for one in MERGED.values():
        found ^= one.digest(state)
    return found


def greet(peers: RelayPeers, link: Link) -> None:
    """Tell a node all that is known."""
    for one in MERGED.values():
        one.tell(peers, link)


def compare(peers: RelayPeers, link: Link, told: int) -> None:
    """Tell a node all, where it has known something else for some heartbeats."""
    now = clock.now()
    if told == digest(peers.context.state):
        peers.differs_since.pop(link, None)
        return
    since = peers.differs_since.setdefault(link, now)
    if now - since >= defaults.MERGED_DIFFERS_S:
        peers.differs_since[link] = now + defaults.MERGED_AGAIN_S
        greet(peers, link)
