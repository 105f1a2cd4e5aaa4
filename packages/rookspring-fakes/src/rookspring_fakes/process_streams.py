"""Callers of streams at real node processes, who take them up at other nodes, and their checks.

The checks read raw bytes: one head, each event once, and events of one software version alone.
"""

import asyncio
import random
import re
import time
import typing as t

from .model_server import STREAM_EVENTS
from .model_server import shared_parts
from .process_callers import RESUMABLE_KEY
from .processes import NodeProcess
from .processes import ProcessStage

# How long a caller waits for a stream, and how often it takes one up again.
STREAM_TIMEOUT_S = 3.0
TAKE_UPS_MAX = 2
# The share of streams that callers leave after an event, and of requests that have a fatal part
# while there is one.
LEAVE_SHARE = 0.3
FATAL_SHARE = 0.2
# The share of callers who leave a stream but forget its connection for some time, and of those who
# read slowly, with their pause after each read; times in seconds.
FORGET_SHARE = 0.5
FORGOTTEN_S = 1.0
SLOW_SHARE = 0.1
SLOW_PAUSE_S = 0.1
# The share of requests whose callers state less time than a stream may take, and that time in
# milliseconds; its endpoint ends it then.
SHORT_SHARE = 0.2
SHORT_MS = (40, 160)
# The part that all prompts share, and those that some do.
FIRST_PART = 0x10
SOME_PARTS = range(0x100, 0x110)
# After the fifth crash under a part: when the check begins, in seconds, and how many requests with
# the part may still arrive. Nodes that were disturbed for so long before don't count.
FATAL_CRASHES = 5
FATAL_CONTACT_S = 3.0
FATAL_ARRIVALS_MAX = 3
_EVENT = re.compile(rb"^id: (\d+)\ndata: token\d+ (\S+)$", re.MULTILINE)
_ATTEMPT = re.compile(r"event=attempt_began .*?\bid=(\S+) .*?\bendpoint=(\S+)")


class StreamPart(t.NamedTuple):
    """What one request of a stream's caller brought."""

    key: str
    raw: bytes

    @property
    def events(self) -> list[tuple[int, str]]:
        """Its events: the number of each, and the version of the endpoint that wrote it."""
        return [(int(number), version.decode()) for number, version in _EVENT.findall(self.raw)]

    @property
    def whole(self) -> bool:
        """Whether its answer ended as a whole one."""
        return self.raw.endswith(b"\r\n0\r\n\r\n")


class StreamCallers:
    """Callers, each of which reads one stream after another."""

    def __init__(self, stage: ProcessStage, callers: int, seed: int) -> None:
        self._stage = stage
        self._random = random.Random(f"streams {seed}")
        self._count = 0
        self.streams: list[list[StreamPart]] = []
        self._running = True
        self._tasks = [asyncio.ensure_future(self._call()) for _ in range(callers)]

    async def stop(self) -> None:
        """Stop all callers once their current streams have ended."""
        self._running = False
        await asyncio.gather(*self._tasks)

    async def _call(self) -> None:
        while self._running:
            await self._read_stream()
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    async def _read_stream(self) -> None:
        parts: list[StreamPart] = []
        self.streams.append(parts)
        prompt = self._make_prompt()
        node: NodeProcess | None = None
        for _ in range(1 + TAKE_UPS_MAX):
            node = self._random.choice([one for one in self._stage.nodes if one is not node])
            parts.append(await self._send(node, prompt, parts))
            if parts[-1].whole or not any(part.events for part in parts):
                return

    def _make_prompt(self) -> str:
        middle = self._random.choice(SOME_PARTS)
        if self._stage.fatal_parts and self._random.random() < FATAL_SHARE:
            middle = max(self._stage.fatal_parts)
        self._count += 1
        return f"{FIRST_PART:x}:100,{middle:x}:50,{0x100000 + self._count:x}:10"

    async def _send(self, node: NodeProcess, prompt: str, before: list[StreamPart]) -> StreamPart:
        self._count += 1
        key = f"{RESUMABLE_KEY}{self._count}"
        lines = [
            "POST /resumable/x HTTP/1.1",
            "Host: h.example",
            f"X-Rookspring-Request-Id: {key}",
            f"X-Rookspring-Prefix-Hash: {prompt}",
            f"Content-Length: {len(key)}",
        ]
        begun = [part for part in before if part.events]
        if begun:
            lines.append(f"Resumes: {begun[0].key}")
            lines.append(f"Last-Event-Id: {begun[-1].events[-1][0]}")
        if self._random.random() < SHORT_SHARE:
            lines.append(f"X-Rookspring-Deadline-Ms: {self._random.randint(*SHORT_MS)}")
        leaves_after = 0
        if self._random.random() < LEAVE_SHARE:
            leaves_after = self._random.randrange(1, STREAM_EVENTS)
        request = ("\r\n".join(lines) + "\r\n\r\n" + key).encode()
        forgets = bool(leaves_after) and self._random.random() < FORGET_SHARE
        pause_s = SLOW_PAUSE_S if self._random.random() < SLOW_SHARE else 0.0
        return StreamPart(key, await _read(node, request, leaves_after, forgets, pause_s))


async def _read(
    node: NodeProcess, request: bytes, leaves_after: int, forgets: bool, pause_s: float
) -> bytes:
    """Send a request on a new connection, and return the bytes that come.

    :param leaves_after: the event after which its caller leaves; 0 if it stays.
    :param forgets: whether its connection is closed only ``FORGOTTEN_S`` after that.
    :param pause_s: the caller's pause after each read, in seconds.
    """
    raw = b""
    try:
        reader, writer = await asyncio.open_connection(*node.address)
    except OSError:
        return raw
    try:
        writer.write(request)
        async with asyncio.timeout(STREAM_TIMEOUT_S):
            while part := await reader.read(65536):
                raw += part
                if raw.endswith(b"\r\n0\r\n\r\n") or not raw.startswith(b"HTTP/1.1 200"):
                    break
                await asyncio.sleep(pause_s)
                if leaves_after and b"id: %d\n" % leaves_after in raw and raw.endswith(b"\n\r\n"):
                    break
    except (OSError, TimeoutError):
        pass
    finally:
        asyncio.get_running_loop().call_later(FORGOTTEN_S if forgets else 0.0, writer.close)
    return raw


def find_stream_violations(stage: ProcessStage, streams: list[list[StreamPart]]) -> list[str]:
    """Return the violations of what holds for streams, each with its guarantee."""
    found = []
    for parts in streams:
        events = [event for part in parts for event in part.events]
        numbers = [number for number, _ in events]
        name = parts[0].key if parts else ""
        if any(part.raw.count(b"HTTP/1.1 ") > 1 for part in parts):
            found.append(f"one head: {name}")
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"each event once: {name} got {numbers}")
        if len({version for _, version in events}) > 1:
            found.append(f"one version: {name} got {events}")
        if parts and parts[-1].whole and len(numbers) != STREAM_EVENTS:
            found.append(f"whole streams: {name} got {numbers}")
    return found + _find_late_arrivals(stage)


def _find_late_arrivals(stage: ProcessStage) -> list[str]:
    """Return the fatal parts that reached endpoints too often after the fifth crash."""
    nodes = {found: node for node in stage.nodes for found in _ATTEMPT.findall(node.log_text)}
    violations = []
    for part, crashes in stage.crashes.items():
        if len(crashes) < FATAL_CRASHES:
            continue
        known_at = crashes[FATAL_CRASHES - 1] + FATAL_CONTACT_S
        late = [
            one.request_id
            for server in stage.servers
            for one in server.received
            if one.at > known_at
            and part in shared_parts(one)
            and _is_in_touch(nodes.get((one.request_id, server.name)), one.at)
        ]
        if len(late) > FATAL_ARRIVALS_MAX:
            violations.append(f"fatal parts: {part:x} arrived {len(late)} times late")
    return violations


def _is_in_touch(node: NodeProcess | None, at: float) -> bool:
    if node is None or any(0.0 <= at - one <= FATAL_CONTACT_S for one in node.disturbed_at):
        return False
    return not any(cut.began <= at <= cut.ended + FATAL_CONTACT_S for cut in node.cuts)


async def replace_crashed(stage: ProcessStage, until: float) -> None:
    """Start another endpoint of the same version for each that crashes, until a time."""
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        for server in stage.servers:
            if server.ended and server.name in stage.listed_names():
                await stage.replace_server(server)
