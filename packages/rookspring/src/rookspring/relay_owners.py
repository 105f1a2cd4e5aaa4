"""Messages to the owner of a subject, the node that decides on it for all, and its replies.

Owners are relays, or in a mesh any node. A leaf sends its messages to the relay that it follows,
which forwards them, so an owner is at most two links away. :mod:`relay_allotments` and
:mod:`relay_slots` define the messages and how owners handle them.
"""

import typing as t

from rookspring_core.owners import choose_owner

from . import clock
from .peers import Link
from .relay_peers import RelayPeers
from .relay_peers import receives

Subject = t.Callable[[t.Any], str]
# Handles a message at the owner. The link is the one that it arrived on; None if it was sent here.
OwnerHandler = t.Callable[[RelayPeers, t.Any, Link | None], None]
ReplyHandler = t.Callable[[RelayPeers, t.Any], None]
OWNER_HANDLERS: dict[type[t.Any], tuple[Subject, OwnerHandler]] = {}
REPLY_HANDLERS: dict[type[t.Any], ReplyHandler] = {}
T = t.TypeVar("T", bound=OwnerHandler)
H = t.TypeVar("H", bound=ReplyHandler)


def handles_as_owner(message_type: type[t.Any], subject: Subject) -> t.Callable[[T], T]:
    """Register an owner's handler of a message type; its ``passed`` is set once it is forwarded.

    :param subject: returns the subject that a message is about.
    """

    def register(function: T) -> T:
        OWNER_HANDLERS[message_type] = (subject, function)
        receives(message_type)(_handle_or_forward)
        return function

    return register


def handles_reply(message_type: type[t.Any]) -> t.Callable[[H], H]:
    """Register the handler of an owner's reply at its ``origin``, the requesting node."""

    def register(function: H) -> H:
        REPLY_HANDLERS[message_type] = function
        receives(message_type)(_handle_or_forward_reply)
        return function

    return register


def find_owner(peers: RelayPeers, subject: str) -> str:
    """Return the owner of a subject by this node's view of the nodes."""
    return choose_owner(subject, peers.context.state.topology.owners(clock.now()))


def owns(peers: RelayPeers, subject: str) -> bool:
    """Return whether this node is the owner of a subject by its own view."""
    return find_owner(peers, subject) == peers.context.state.identity.name


def ask_owner(peers: RelayPeers, request: t.Any) -> bool:
    """Send a request to its subject's owner.

    :return: whether a reply may come; there is none without a link towards the owner.
    """
    subject = OWNER_HANDLERS[type(request)][0](request)
    link = _link_to_owner(peers, subject)
    if link is not None:
        link.send(request)
        return True
    if owns(peers, subject):
        # Handled later, so that the reply comes after the current effect, as from another node.
        peers.context.loop.call_soon(_handle, peers, request, None)
        return True
    return False


def notify_owner(peers: RelayPeers, notification: t.Any) -> None:
    """Send a notification to its subject's owner, or handle it here without a link towards it."""
    link = _link_to_owner(peers, OWNER_HANDLERS[type(notification)][0](notification))
    if link is not None:
        link.send(notification)
    else:
        peers.context.loop.call_soon(_handle, peers, notification, None)


def send_reply(peers: RelayPeers, reply: t.Any, link: Link | None = None) -> None:
    """Send an owner's reply to its origin, if need be through the relay that the origin follows.

    :param link: the link that the request arrived on, if known.
    """
    state = peers.context.state
    links = peers.server.links
    if reply.origin == state.identity.name:
        REPLY_HANDLERS[type(reply)](peers, reply)
        return
    target = (
        links.get(reply.origin) or link or links.get(state.membership.reporter_of(reply.origin))
    )
    if target is not None:
        target.send(reply)


def _handle(peers: RelayPeers, item: t.Any, link: Link | None) -> None:
    OWNER_HANDLERS[type(item)][1](peers, item, link)


def _link_to_owner(peers: RelayPeers, subject: str) -> Link | None:
    """Return the link towards an owner; None if this node is the owner or has no such link."""
    topology = peers.context.state.topology
    links = peers.server.links
    if topology.mesh or topology.relay:
        return links.get(find_owner(peers, subject))
    return links.get(topology.followed)


def _handle_or_forward(peers: RelayPeers, link: Link, item: t.Any) -> None:
    """Forward a message towards its owner, at most once; handle it here if that is not possible."""
    target = None if item.passed else _link_to_owner(peers, OWNER_HANDLERS[type(item)][0](item))
    if target is None or target is link:
        _handle(peers, item, link)
    else:
        target.send(item._replace(passed=True))


def _handle_or_forward_reply(peers: RelayPeers, link: Link, reply: t.Any) -> None:
    """Handle a reply if this node is its origin, else forward it if linked to the origin."""
    if reply.origin == peers.context.state.identity.name or reply.origin in peers.server.links:
        send_reply(peers, reply)
