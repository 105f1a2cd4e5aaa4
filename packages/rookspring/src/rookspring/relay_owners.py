"""Questions to the node that decides for all, its answers, and words for it, between nodes.

Owners are relays, or in a mesh any node. A node that is no relay asks by the node that it
follows, which passes the question on; so an owner is two links away at most. What is asked and
what is decided stands with each subject: :mod:`relay_allotments`, :mod:`relay_slots`.
"""

import typing as t

from rookspring_core.owners import choose_owner

from . import clock
from .peers import Link
from .relay_peers import RelayPeers
from .relay_peers import receives

Subject = t.Callable[[t.Any], str]
# Takes a message at its subject's owner; the link is the one that it came by, if it came by any.
Take = t.Callable[[RelayPeers, t.Any, Link | None], None]
Home = t.Callable[[RelayPeers, t.Any], None]
TAKES: dict[type[t.Any], tuple[Subject, Take]] = {}
HOMES: dict[type[t.Any], Home] = {}
T = t.TypeVar("T", bound=Take)
H = t.TypeVar("H", bound=Home)


def owner_takes(message_type: type[t.Any], subject: Subject) -> t.Callable[[T], T]:
    """Register what an owner does with a message; it has ``passed``, set once it was passed on.

    :param subject: names what the message is about.
    """

    def register(function: T) -> T:
        TAKES[message_type] = (subject, function)
        receives(message_type)(_take_or_pass)
        return function

    return register


def comes_home(message_type: type[t.Any]) -> t.Callable[[H], H]:
    """Register what a node does with an owner's answer to it, which names it as ``origin``."""

    def register(function: H) -> H:
        HOMES[message_type] = function
        receives(message_type)(_bring_home)
        return function

    return register


def find_owner(peers: RelayPeers, subject: str) -> str:
    """Name the owner of a subject, by what this node knows."""
    return choose_owner(subject, peers.context.state.topology.owners(clock.now()))


def owns(peers: RelayPeers, subject: str) -> bool:
    """Say whether this node is the owner."""
    return find_owner(peers, subject) == peers.context.state.identity.name


def ask_owner(peers: RelayPeers, asked: t.Any) -> None:
    """Bring a question to its subject's owner; nothing answers where there is no way to it."""
    subject = TAKES[type(asked)][0](asked)
    link = _way_to_owner(peers, subject)
    if link is not None:
        link.send(asked)
    elif owns(peers, subject):
        # The answer comes as any other does: after what is being performed now.
        peers.context.loop.call_soon(_take, peers, asked, None)


def tell_owner(peers: RelayPeers, word: t.Any) -> None:
    """Bring a word to its subject's owner; this node takes it where it knows no other."""
    link = _way_to_owner(peers, TAKES[type(word)][0](word))
    if link is not None:
        link.send(word)
    else:
        peers.context.loop.call_soon(_take, peers, word, None)


def answer(peers: RelayPeers, told: t.Any, link: Link | None = None) -> None:
    """Bring an owner's answer to the node that asked, over the relay that it follows if need be.

    :param link: by which the question came, where that is known.
    """
    state = peers.context.state
    links = peers.server.links
    if told.origin == state.identity.name:
        HOMES[type(told)](peers, told)
        return
    way = links.get(told.origin) or link or links.get(state.membership.reporter_of(told.origin))
    if way is not None:
        way.send(told)


def _take(peers: RelayPeers, item: t.Any, link: Link | None) -> None:
    TAKES[type(item)][1](peers, item, link)


def _way_to_owner(peers: RelayPeers, subject: str) -> Link | None:
    """Give the link on the way to an owner; None where this node owns, or knows no way."""
    topology = peers.context.state.topology
    links = peers.server.links
    if topology.mesh or topology.relay:
        return links.get(find_owner(peers, subject))
    return links.get(topology.followed)


def _take_or_pass(peers: RelayPeers, link: Link, item: t.Any) -> None:
    """Pass a question or a word on to its owner, once; else it is taken here."""
    way = None if item.passed else _way_to_owner(peers, TAKES[type(item)][0](item))
    if way is None or way is link:
        _take(peers, item, link)
    else:
        way.send(item._replace(passed=True))


def _bring_home(peers: RelayPeers, link: Link, told: t.Any) -> None:
    """Take an answer, or pass it on to the node that asked."""
    if told.origin == peers.context.state.identity.name or told.origin in peers.server.links:
        answer(peers, told)
