"""Callers of the load of ways, who read streams and answers, and what each of them saw."""

import asyncio
import random
import typing as t

from .ways_checks import KINDS
from .ways_checks import Call
from .ways_checks import Part
from .ways_checks import read_events
from .ways_runner import ID_STEP
from .ways_stage import WaysNode
from .ways_stage import WaysStage

# The time that a caller waits for one answer, the pause before a take-up, and a late reader's
# first and later pauses, in seconds.
ANSWER_S = 6.0
TAKE_UP_PAUSE_S = 0.3
LATE_S = 1.0
LATE_PAUSE_S = 0.02
# The bytes that a late reader's connection buffers.
LATE_BYTES = 1 << 12
READ_BYTES = 1 << 16
# The longest time left that callers state, and the short ones, in milliseconds.
DEADLINE_MS = 5500
SHORT_MS = (50, 900)
REQUESTS_MAX = 3

Link = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Answer(t.NamedTuple):
    status: int
    body: bytes
    whole: bool
    kept: bool


class WaysCallers:
    """Callers, each of which sends one request after another to nodes' proxies."""

    def __init__(self, stage: WaysStage, callers: int, seed: int) -> None:
        self._stage = stage
        self._random = random.Random(f"callers {seed}")
        self._count = 0
        self._idle: dict[str, list[Link]] = {}
        self.calls: list[Call] = []
        self._running = True
        self._tasks = [asyncio.ensure_future(self._send_all()) for _ in range(callers)]

    async def stop(self) -> None:
        """Stop all callers once their current requests have ended."""
        self._running = False
        await asyncio.gather(*self._tasks)
        for links in self._idle.values():
            for _, writer in links:
                writer.close()

    async def _send_all(self) -> None:
        while self._running:
            kind = self._random.choice(("save", "save", "stock", "stock", "chat", "safe", "unsafe"))
            self.calls.append(await self._call(kind))
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _call(self, kind: str) -> Call:
        self._count += 1
        ident = f"q{self._count:05d}"
        parts: list[Part] = []
        node = self._random.choice(self._stage.nodes)
        again = self._random.random() < self._stage.settings.again
        while len(parts) < REQUESTS_MAX:
            name = ident if again or not parts else f"{ident}t{len(parts)}"
            parts.append(await self._ask(node, name, kind, [] if again else parts))
            cut = not parts[-1].whole and parts[-1].status in (0, 200)
            if not cut or not (again or KINDS[kind].resumable):
                break
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            node = self._random.choice([one for one in self._stage.nodes if one is not node])
        return Call(kind, tuple(parts), again and len(parts) > 1)

    def _write_request(self, ident: str, kind: str, before: list[Part]) -> bytes:
        rows = {
            "Host": "h.example",
            "X-Rookspring-Request-Id": ident,
            "X-Rookspring-Deadline-Ms": DEADLINE_MS,
            "X-Rookspring-Model": "m1",
            "X-Rookspring-Token-Count": "120,180",
            "X-Rookspring-Prefix-Hash": f"5c1e07a2:80,{self._count + 0x100000:x}:40",
            "X-Events": KINDS[kind].events,
            "X-Gap": KINDS[kind].gap_s,
            "Content-Length": 6,
        }
        if self._random.random() < self._stage.settings.short:
            rows["X-Rookspring-Deadline-Ms"] = self._random.randint(*SHORT_MS)
        begun = [part for part in before if part.events]
        if begun:
            step = ID_STEP if "steps" in self._stage.settings.forms else 1
            rows["Resumes"] = begun[0].ident
            rows["Last-Event-Id"] = begun[-1].events[-1].number * step
        lines = [f"POST /{kind}/x HTTP/1.1", *(f"{key}: {value}" for key, value in rows.items())]
        return ("\r\n".join(lines) + "\r\n\r\nprompt").encode()

    async def _ask(self, node: WaysNode, ident: str, kind: str, before: list[Part]) -> Part:
        request = self._write_request(ident, kind, before)
        late = self._random.random() < self._stage.settings.late
        keeps = self._random.random() < self._stage.settings.kept
        answer = await self._exchange(node, request, late, keeps)
        if answer.status != 200:
            return Part(ident, node.name, answer.status, answer.whole, ())
        if not KINDS[kind].events:
            wanted = f"answer to {ident}".encode()
            bent = "" if answer.body == wanted or not answer.whole else repr(answer.body[:120])
            return Part(ident, node.name, 200, answer.whole, (), bent)
        events, bent = read_events(answer.body, answer.whole, self._stage.settings.forms)
        return Part(ident, node.name, 200, answer.whole, events, bent)

    async def _exchange(self, node: WaysNode, request: bytes, late: bool, keeps: bool) -> _Answer:
        links = self._idle.setdefault(node.name, [])
        buffer = _Buffer()
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(ANSWER_S):
                if keeps and not late and links and not links[-1][0].at_eof():
                    reader, writer = links.pop()
                else:
                    host, _, port = node.front.address.rpartition(":")
                    limit = LATE_BYTES if late else READ_BYTES
                    reader, writer = await asyncio.open_connection(host, int(port), limit=limit)
                writer.write(request)
                await buffer.read(reader, late)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        if writer is not None and keeps and not late and buffer.kept and self._running:
            links.append((reader, writer))
        elif writer is not None:
            writer.close()
        return _Answer(buffer.status, bytes(buffer.body), buffer.whole, buffer.kept)


class _Buffer:
    """One answer as far as it came."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.whole = False
        self.kept = False

    async def read(self, reader: asyncio.StreamReader, late: bool) -> None:
        """Read an answer to its end."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        self.status = int(head.split(" ")[1])
        if late:
            await asyncio.sleep(LATE_S)
        if "chunked" in head:
            await self._read_chunks(reader, late)
        elif "content-length: " in head:
            size = int(head.split("content-length: ")[1].split("\r\n")[0])
            self.body += await reader.readexactly(size)
        else:
            while data := await reader.read(READ_BYTES):
                self.body += data
        self.whole = True
        self.kept = "connection: close" not in head

    async def _read_chunks(self, reader: asyncio.StreamReader, late: bool) -> None:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            self.body += (await reader.readexactly(size + 2))[:-2]
            await asyncio.sleep(LATE_PAUSE_S if late else 0.0)
        await reader.readexactly(2)
