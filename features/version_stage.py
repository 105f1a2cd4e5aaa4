"""Streams of callers, and changes of endpoints, where endpoints have several software versions."""

import asyncio
import re
import typing as t

from relay_fixture import read_raw
from relay_fixture import request

NOT_RUN = (408, 421, 429, 503)
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Part(t.NamedTuple):
    """What one request of a caller brought: its raw bytes."""

    request_id: str
    raw: bytes

    @property
    def events(self):
        return [int(one) for one in EVENT_ID.findall(self.raw)]

    @property
    def status(self):
        return int(self.raw.split()[1]) if self.raw else 0

    @property
    def whole(self):
        return self.raw.endswith(b"\r\n0\r\n\r\n")


async def send_stream(node, request_id, headers=(), until=None):
    """Send a resumable request; read its bytes to the end, or to an event after which to leave."""
    port = node.listeners["callers"].port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request("resumable", request_id, headers=headers))
        if until is None:
            return Part(f"q{request_id}", await read_raw(reader))
        raw = b""
        while b"id: %d\n" % until not in raw or not raw.endswith(b"\r\n"):
            part = await asyncio.wait_for(reader.read(65536), 2.0)
            raw += part
            if not part or not raw.startswith(b"HTTP/1.1 200"):
                break
        return Part(f"q{request_id}", raw)
    finally:
        writer.close()


async def restart_as(server, version):
    """Restart an endpoint under its name at its address, as another version."""
    port = int(server.address.rpartition(":")[2])
    server.end()
    server.version = version
    server.ended = False
    await server.start(port)


async def end_version(stage, version):
    """End the endpoints of a version, as planned, and wait until all nodes know."""
    ended = [server for server in stage.relay.servers if server.version == version]
    for server in ended:
        await stage.relay.store.remove("servers", server.name)
    await stage.relay.until(
        lambda: (
            not any(
                server.name in node.context.state.endpoints
                and not node.context.state.endpoints[server.name].gone
                for node in stage.nodes
                for server in ended
            )
        )
    )
