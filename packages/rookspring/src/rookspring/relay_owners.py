"""Which node owns what is decided by one for all, and the way to it.

Owners are relays, or in a mesh any node. A node that is no relay asks by the node that it
follows, which passes the question on; so an owner is two links away at most.
"""

import typing as t

from rookspring_core.allotments import choose_owner

from . import clock
from .peers import Link
from .relay_peers import RelayPeers


def find_owner(peers: RelayPeers, name: str) -> str:
    """Name the owner of an organisation or a service, by what this node knows."""
    return choose_owner(name, peers.context.state.topology.owners(clock.now()))


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


def pass_on(peers: RelayPeers, link: Link, item: t.Any, name: str) -> bool:
    """Pass a question or a word on to an owner, once.

    :param item: a message with ``passed``, which says that another node has done so.
    :return: False where this node is to take it itself.
    """
    way = None if item.passed else way_to_owner(peers, name)
    if way is None or way is link:
        return False
    way.send(item._replace(passed=True))
    return True
