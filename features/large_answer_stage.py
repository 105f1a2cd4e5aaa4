"""Large sound answers that are asked for at once of a node process with little memory."""

import asyncio
import collections
import secrets
import time

from memory_stage import FAULTY
from memory_stage import HOST
from memory_stage import SCRIPT_STEPS
from memory_stage import MemoryStage

from rookspring_fakes.model_answers import LARGE_ANSWER_BYTES

SOUND = "sound"
DEADLINE_S = 10.0
FLOOD_AT_ONCE = 60
# What the node's log has of an answer that was not delivered whole.
GIVEN_UP = ("answer_cut", "bytes_given_up", "answer_stalled", "attempt_failed", "stood_still")
GIVEN_UP_SHOWN = 4
# For how long a flood comes before the answers are asked for, in seconds.
FLOOD_FIRST_S = 1.0


class LargeAnswerStage(MemoryStage):
    """A node process between two endpoints with large answers and two that may be faulty.

    :param memory_mb: the limit that the node's settings state, in megabytes.
    :param script: the step by which the faulty endpoints handle each request; empty for none.
    """

    route_timeout_s = DEADLINE_S
    slots = 64

    def __init__(self, memory_mb, script=""):
        super().__init__(memory_mb, script or "answer")
        self._floods = bool(script)
        # How the requests for large answers ended, and how long each took in seconds.
        self.answers = []
        self.waits_s = []

    async def start(self):
        await super().start()
        for server in self.servers[2:]:
            server.script = ["large answer"] * SCRIPT_STEPS
        return self

    async def ask(self, many):
        """Ask for some large answers at once, beside the flood if there is one."""
        flood = []
        if self._floods:
            kinds = ("safe", "unsafe", "stream")
            flood = [
                asyncio.ensure_future(self._flood(kinds[number % 3]))
                for number in range(FLOOD_AT_ONCE)
            ]
            await asyncio.sleep(FLOOD_FIRST_S)
        await asyncio.gather(*(self._ask_large() for _ in range(many)))
        for task in flood:
            task.cancel()
        await asyncio.gather(*flood, return_exceptions=True)

    def list_given_up(self):
        """Return how many lines the closed node's log has of what was given up, and the latest."""
        lines = self.node.log_text.splitlines()
        found = [line for line in lines if any(f"event={one} " in line for one in GIVEN_UP)]
        counts = collections.Counter(line.split(" ")[0] for line in found)
        return "\n".join([str(dict(counts)), *found[-GIVEN_UP_SHOWN:]])

    async def _flood(self, kind):
        while True:
            await self._call(FAULTY, kind)

    async def _ask_large(self):
        began = time.monotonic()
        reader, writer = await asyncio.open_connection(*self.node.address)
        rows = f"Host: {HOST}\r\nX-Rookspring-Request-Id: {secrets.token_hex(6)}\r\n"
        rows += f"X-Rookspring-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
        rows += "Content-Length: 1\r\nConnection: close"
        writer.write(f"POST /{SOUND}-unsafe/x HTTP/1.1\r\n{rows}\r\n\r\nx".encode())
        size = 0
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            while part := await reader.read(1 << 16):
                size += len(part)
            status = head.split(b" ")[1].decode()
        except (OSError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        writer.close()
        self.answers.append("whole" if size == LARGE_ANSWER_BYTES else f"{status}, {size} bytes")
        self.waits_s.append(time.monotonic() - began)
