"""Which node owns what is decided by one for all, and the way to it.

Owners are relays, or in a mesh any node. A node that is no relay asks by the node that it
follows, which passes the question on; so an owner is two links away at most.
"""

import time

from rookspring_core.allotments import choose_owner

from .peers import Link
from .relay_peers import RelayPeers


def find_owner(peers: RelayPeers, name: str) -> str:
    """Name the owner of an organisation or a service, by what this node knows."""
    return choose_owner(name, peers.context.state.topology.owners(time.monotonic()))


def owns(peers: RelayPeers, name: str) -> bool:
    """Say whether this node is the owner."""
    return find_owner(peers, name) == peers.context.state.identity.name


def way_to_owner(peers: RelayPeers, name: str) -> Link | None:
    """Give the link on the way to an owner; None where this node owns, or knows no way."""
    topology = peers.context.state.topology
    links = peers.server.links
    if topology.mesh or topology.relay:
        return links.get(find_owner(peers, name))
    return links.get(topology.followed)
