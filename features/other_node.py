"""A node that sends a relay node whatever a test wants, over a link of its own."""

import asyncio

import message_samples as samples

from rookspring.exceptions import PeerError
from rookspring.peers import Link

OTHER = "x1"


async def open_link(relay, name=OTHER):
    port = relay.node.peers.server._server.sockets[0].getsockname()[1]
    link = Link(*await asyncio.open_connection("127.0.0.1", port), True)
    await link.handshake(name, f"{name}#1", f"rookspring-relay/{relay.settings.store}")
    return link


def knows(relay, name, revision):
    peer = relay.node.context.state.membership.peers.get(name)
    return peer is not None and peer.heartbeat.revision == revision


async def send_odd(relay, messages, revision, name=OTHER):
    """Send raw messages and a sound one; return whether the link stayed and that was handled."""
    link = await open_link(relay, name)
    for raw in messages:
        link.send_encoded(samples.pack(raw))
    link.send(samples.heartbeat(name, revision))
    try:
        async with asyncio.timeout(3.0):
            while not knows(relay, name, revision):
                await link.receive()
        # What the messages begin may end the link later.
        await asyncio.sleep(0.02)
        return relay.node.peers.server.hears(name)
    except (PeerError, TimeoutError):
        return False
    finally:
        link.close()
