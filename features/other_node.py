"""A node that sends a node under test whatever a test wants, over a link of its own."""

import asyncio
import typing as t
from itertools import starmap

import message_samples as samples

from rookspring.exceptions import PeerError
from rookspring.messages import MESSAGES
from rookspring.peers import Link
from rookspring.peers import PeerServer
from rookspring_core.state import NodeState

OTHER = "x1"
TAGS = {cls: tag for tag, cls in MESSAGES.items()}


class Target(t.NamedTuple):
    """The node under test."""

    server: PeerServer
    state: NodeState


def relay_target(relay):
    """Return the node of a relay fixture."""
    return Target(relay.node.peers.server, relay.node.context.state)


async def open_link(target, name=OTHER):
    port = target.server._server.sockets[0].getsockname()[1]
    link = Link(*await asyncio.open_connection("127.0.0.1", port), True)
    await link.handshake(name, f"{name}#1", target.server._key)
    return link


def knows(target, name, revision):
    peer = target.state.membership.peers.get(name)
    return peer is not None and peer.heartbeat.revision == revision


async def send_odd(target, messages, revision, name=OTHER):
    """Send raw messages and a sound one; return whether the link stayed and that was handled."""
    link = await open_link(target, name)
    for raw in messages:
        link.send_encoded(samples.pack(raw))
    link.send(samples.heartbeat(name, revision))
    try:
        async with asyncio.timeout(3.0):
            while not knows(target, name, revision):
                await link.receive()
        # What the messages begin may end the link later.
        await asyncio.sleep(0.02)
        return target.server.hears(name)
    except (PeerError, TimeoutError):
        return False
    finally:
        link.close()


async def send_kinds(target, receivers, make):
    """Send messages of each kind over a link for each; return which links stayed, by kind.

    :param receivers: the node's handlers by type of message.
    :param make: makes the messages of a kind.
    """

    async def send(number, cls):
        tag = TAGS[cls]
        return tag, await send_odd(target, list(make(tag)), -number, f"x-{tag}")

    return dict(await asyncio.gather(*starmap(send, enumerate(receivers, 1))))
