"""Callers of the load of ways, who read streams and answers, and what each of them saw."""

import asyncio
import json
import random
import time
import typing as t

from .ways_processes import WaysNode
from .ways_records import KINDS
from .ways_records import Call
from .ways_records import Part
from .ways_records import read_events
from .ways_runner import ID_STEP
from .ways_runner import is_json
from .ways_runner import write_body
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

DRAWN_KINDS = ("save", "save", "stock", "stock", "chat", "safe", "unsafe")
# The longest pause before what a caller pipelines first, and before the rest, in seconds.
PIPED_S = 0.05
PIPED_REST_S = 0.3

BODY = b"prompt"
# The row by which an answer states its request.
STATED = "\r\nx-rookspring-request-id: "

Link = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Answer(t.NamedTuple):
    status: int
    body: bytes
    whole: bool
    kept: bool
    stated: str
    waited: bool


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
            kind = self._random.choice(DRAWN_KINDS)
            share = self._stage.settings.piped
            if share and self._random.random() < share:
                self.calls += await self._pipeline()
            else:
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
            parts.append(await self.ask(node, name, kind, [] if again else parts))
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
            "Content-Length": len(BODY),
        }
        if self._random.random() < self._stage.settings.short:
            rows["X-Rookspring-Deadline-Ms"] = self._random.randint(*SHORT_MS)
        begun = [part for part in before if part.events]
        if begun:
            step = ID_STEP if "steps" in self._stage.settings.forms else 1
            rows["Resumes"] = begun[0].ident
            rows["Last-Event-Id"] = begun[-1].events[-1].number * step
        lines = [f"POST /{kind}/x HTTP/1.1", *(f"{key}: {value}" for key, value in rows.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + BODY

    async def ask(self, node: WaysNode, ident: str, kind: str, before: list[Part]) -> Part:
        """Send a request to a node; return what it brought.

        :param before: what came of the stream that it takes up.
        """
        request = self._write_request(ident, kind, before)
        late = self._random.random() < self._stage.settings.late
        keeps = self._random.random() < self._stage.settings.kept
        began = time.monotonic()
        answer = await self._exchange(node, request, late, keeps)
        part = self._read_part(node, ident, kind, answer)
        return part._replace(began=began, ended_at=time.monotonic())

    def _read_part(self, node: WaysNode, ident: str, kind: str, answer: _Answer) -> Part:
        status, whole, stated = answer.status, answer.whole, answer.stated
        if status != 200:
            return Part(ident, node.name, status, whole, (), "", stated, answer.waited)
        if not KINDS[kind].events:
            text = write_body(ident)
            wanted = (text, json.dumps(text.decode()).encode() if is_json(ident) else text)
            bent = "" if answer.body in wanted or not whole else repr(answer.body[:120])
            return Part(ident, node.name, 200, whole, (), bent, stated)
        events, bent = read_events(answer.body, whole, self._stage.settings.forms)
        return Part(ident, node.name, 200, whole, events, bent, stated)

    async def _pipeline(self) -> list[Call]:
        """Send two or three requests on one connection, the later ones before their turn."""
        node = self._random.choice(self._stage.nodes)
        wishes: list[tuple[str, str, bytes]] = []
        for _ in range(self._random.randint(2, 3)):
            self._count += 1
            ident, kind = f"q{self._count:05d}", self._random.choice(DRAWN_KINDS)
            wishes.append((ident, kind, self._write_request(ident, kind, [])))
        buffers = [_Buffer() for _ in wishes]
        began = time.monotonic()
        await self._pipe(node, [request for _, _, request in wishes], buffers)
        ended_at = time.monotonic()
        parts = [
            (kind, self._read_part(node, ident, kind, buffer.answer))
            for (ident, kind, _), buffer in zip(wishes, buffers, strict=True)
        ]
        return [
            Call(kind, (part._replace(began=began, ended_at=ended_at),), piped=True)
            for kind, part in parts
        ]

    async def _pipe(self, node: WaysNode, requests: list[bytes], buffers: list["_Buffer"]) -> None:
        """Send the first request, then a part of the rest, and the others as its answer comes."""
        host, _, port = node.front.address.rpartition(":")
        rest = b"".join(requests[1:])
        begun = self._random.choice((0, len(requests[1]) - len(BODY), len(requests[1])))
        writer: asyncio.StreamWriter | None = None
        timer: asyncio.TimerHandle | None = None
        try:
            async with asyncio.timeout(ANSWER_S * len(requests)):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(requests[0])
                await asyncio.sleep(self._random.uniform(0.0, PIPED_S))
                _Late(writer, rest[:begun]).send()
                late = _Late(writer, rest[begun:], self._random.choice((0, 7, 8, 39, 40)))
                buffers[0].seen = late.see
                pause_s = self._random.uniform(0.0, PIPED_REST_S)
                if self._random.random() < 0.5:
                    timer = asyncio.get_running_loop().call_later(pause_s, late.send)
                for buffer in buffers:
                    await buffer.read(reader, late=False)
                    late.send()
                    if not buffer.kept:
                        break
        except TimeoutError:
            for buffer in buffers:
                buffer.waited = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        if timer is not None:
            timer.cancel()
        if writer is not None:
            writer.close()

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
        except TimeoutError:
            buffer.waited = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        if writer is not None and keeps and not late and buffer.kept and self._running:
            links.append((reader, writer))
        elif writer is not None:
            writer.close()
        return buffer.answer


class _Late:
    """What a caller pipelines once some events of the answer before have come."""

    def __init__(self, writer: asyncio.StreamWriter, data: bytes, events: int = 0) -> None:
        self._writer = writer
        self._data = data
        self._events = events

    def see(self, body: bytearray) -> None:
        """Send it if there are enough events."""
        if body.count(b"data: ") >= self._events:
            self.send()

    def send(self) -> None:
        """Send it unless it was sent, or the connection has ended."""
        if not self._writer.is_closing():
            self._writer.write(self._data)
        self._data = b""


class _Buffer:
    """One answer as far as it came."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.whole = False
        self.kept = False
        self.stated = ""
        self.waited = False
        self.seen: t.Callable[[bytearray], None] = lambda body: None

    @property
    def answer(self) -> _Answer:
        """What has come."""
        body = bytes(self.body)
        return _Answer(self.status, body, self.whole, self.kept, self.stated, self.waited)

    async def read(self, reader: asyncio.StreamReader, late: bool) -> None:
        """Read an answer to its end."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        self.status = int(head.split(" ")[1])
        if STATED in head:
            self.stated = head.split(STATED)[1].split("\r\n")[0]
        self.seen(self.body)
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
                self.seen(self.body)
        self.whole = True
        self.kept = "connection: close" not in head

    async def _read_chunks(self, reader: asyncio.StreamReader, late: bool) -> None:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            self.body += (await reader.readexactly(size + 2))[:-2]
            self.seen(self.body)
            await asyncio.sleep(LATE_PAUSE_S if late else 0.0)
        await reader.readexactly(2)
