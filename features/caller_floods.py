"""Callers that fill a node's memory: bodies, answers that they don't read, pipelined bytes."""

import asyncio
import collections
import secrets
import time

from memory_stage import FAULTY
from memory_stage import HOST
from memory_stage import SOUND
from memory_stage import MemoryStage

FLOOD_HOST = "127.0.0.3"
OTHER_HOST = "127.0.0.2"
BODY_BYTES = 4 << 20
PART_BYTES = 64 << 10
PIPELINED_BYTES = 200 << 10
# How long a caller keeps a connection, and the pause between a slow one's parts, in seconds.
KEPT_S = 4.0
SLOW_PAUSE_S = 0.02
OTHERS_INTERVAL_S = 0.05
# What each kind does, and the step by which the endpoints handle its requests.
KINDS = {}


def kind(name, step):
    """Register what one caller of a kind does, given streams, until it is cut or done."""

    def register(work):
        KINDS[name] = work, step
        return work

    return register


def write_request(route, length, *rows):
    """Return the head of a request."""
    lines = [f"POST /{route}/x HTTP/1.1", f"Host: {HOST}", f"Content-Length: {length}"]
    lines += [f"X-Rookspring-Request-Id: {secrets.token_hex(6)}", "X-Rookspring-Deadline-Ms: 2000"]
    return "\r\n".join([*lines, *rows, "", ""]).encode()


@kind("bodies that never end", "answer")
async def _send_body_slowly(reader, writer):
    writer.write(write_request(f"{FAULTY}-safe", BODY_BYTES))
    for _ in range(BODY_BYTES // PART_BYTES - 1):
        writer.write(b"b" * PART_BYTES)
        await writer.drain()
        await asyncio.sleep(SLOW_PAUSE_S)
    await asyncio.sleep(KEPT_S)


@kind("bodies that run", "hang")
async def _send_body(reader, writer):
    writer.write(write_request(f"{FAULTY}-unsafe", BODY_BYTES) + b"b" * BODY_BYTES)
    await reader.readline()


@kind("answers that aren't read", "answer at length")
async def _read_nothing(reader, writer):
    writer.transport.pause_reading()
    writer.write(write_request(f"{FAULTY}-safe", 1, "Connection: close") + b"x")
    await asyncio.sleep(KEPT_S)


@kind("answers that are read slowly", "answer at length")
async def _read_slowly(reader, writer):
    writer.write(write_request(f"{FAULTY}-safe", 1) + b"x")
    while await reader.read(PART_BYTES):
        await asyncio.sleep(SLOW_PAUSE_S)


@kind("pipelined bytes", "hang")
async def _pipeline(reader, writer):
    writer.write(write_request(f"{FAULTY}-unsafe", 1) + b"x")
    await asyncio.sleep(SLOW_PAUSE_S)
    writer.write(b"p" * PIPELINED_BYTES)
    await reader.readline()


@kind("streams that aren't read", "flood")
async def _read_no_events(reader, writer):
    writer.transport.pause_reading()
    writer.write(write_request(f"{FAULTY}-stream", 1) + b"x")
    await asyncio.sleep(KEPT_S)


class FloodStage(MemoryStage):
    """A node process, and callers of one kind that flood it.

    :param memory_mb: the limit that the node's settings state, in megabytes.
    :param name: a key of ``KINDS``.
    """

    def __init__(self, memory_mb, name):
        self._work, step = KINDS[name]
        super().__init__(memory_mb, step)

    async def start(self):
        await super().start()
        for server in self.servers:
            # Their bodies are as many bytes in this process.
            server.received = collections.deque(maxlen=1)
        return self

    async def play(self, many, seconds):
        """Keep many connections that flood, and send requests of another address."""
        until = time.monotonic() + seconds
        tasks = [asyncio.ensure_future(self._flood(until)) for _ in range(many)]
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self._call(SOUND, "safe", OTHER_HOST)))
            await asyncio.sleep(OTHERS_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _flood(self, until):
        while time.monotonic() < until:
            writer = None
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + KEPT_S):
                    reader, writer = await asyncio.open_connection(
                        *self.node.address, local_addr=(FLOOD_HOST, 0)
                    )
                    await self._work(reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(SLOW_PAUSE_S)
