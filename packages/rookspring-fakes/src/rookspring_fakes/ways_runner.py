"""A model runner in a process of its own, which writes down what it runs: the load of ways uses it.

Its argument is a JSON object, :class:`RunnerSettings`. Lines of its record are ``run ID FIRST TIME
KIND``, or ``goes on ID FIRST TIME KIND`` where a run goes on from a copy of another runner's;
``made ID NUMBER``, ``end ID NUMBER FRAMING TIME LEFT`` with the seconds that were left to it,
``ended ID NUMBER CAUSE`` where the runner ends a run cleanly in its midst, ``moved ID NUMBER``
where a copy of a run was made, ``cuts TIME`` where it ends connections in the midst of answers, and
``stops TIME``; its stage adds ``gone TIME`` as it sees that the process has ended.
"""

import asyncio
import collections
import contextlib
import json
import math
import os
import pathlib
import random
import sys
import time
import typing as t

from .resets import reset_connection
from .run_copies import MOVE_CALL
from .run_copies import RunCopies

# How old the list of runs in a report is, in seconds.
LIST_AGE_S = 0.2
# The payload of an event, in bytes, where events are big, and otherwise; the step of ids.
BIG_BYTES = 6000
SMALL_BYTES = 1
ID_STEP = 3
# The pause between the two parts of a split event, in seconds.
SPLIT_PAUSE_S = 0.004
# How long a runner that stops waits at most for runs that it finishes, and how often it looks, in
# seconds.
FINISHES_S = 4.0
FINISHES_CHECK_S = 0.002
LAST_CHUNK = b"0\r\n\r\n"
# The framing of a body that ends with its connection, and shows its end by its syntax.
JSON = "json"
_KEEP_ALIVE = "Keep-Alive: timeout=5\r\n"


class RunnerSettings(t.TypedDict):
    """What a runner is started with; ``unframed`` is a share, ``port`` 0 for a free one.

    ``address`` is where others reach it; ``copies`` says whether it knows the calls about copies of
    runs, which take ``copy_s`` seconds.
    """

    name: str
    address: str
    copies: bool
    copy_s: float
    file: str
    port: int
    version: int
    lists: bool
    unframed: float
    forms: list[str]


class Stop(t.TypedDict):
    """What a runner is told to do with the runs that it has.

    :ivar share: the share of its streams that it ends cleanly in their midst; it finishes the rest.
    :ivar cause: for its record, without spaces.
    :ivar refuses: it takes no new ones.
    :ivar exit_s: how long after the stop it exits, or after the last run that it finishes; None if
        it lives on.
    """

    share: float
    cause: str
    refuses: bool
    exit_s: float | None


def write_event(name: str, ident: str, number: int, version: int, forms: t.Sequence[str]) -> bytes:
    """Return one event, in the given forms."""
    payload = "p" * (BIG_BYTES if "big" in forms else SMALL_BYTES)
    shown = number * (ID_STEP if "steps" in forms else 1)
    data = f"id: {shown}\ndata: {name} {ident} {number} {version} {payload}\n\n".encode()
    if "notes" in forms:
        data = b": still here\n\n" + data + b": note\n"
    return data.replace(b"\n", b"\r\n") if "crlf" in forms else data


def is_json(ident: str) -> bool:
    """Return whether a body that ends with its connection is JSON, which shows its end."""
    return ident[-1:] in "02468"


def write_body(ident: str) -> bytes:
    """Return the text of the answer to a request that is no stream."""
    return f"answer to {ident}".encode()


class WaysRunner:
    """The runner: its runs, with the events that each has made, and what it does to them."""

    def __init__(self, settings: RunnerSettings) -> None:
        self._settings = settings
        self._name = settings["name"]
        self._random = random.Random(self._name)
        self._runs: dict[str, int] = {}
        self._past: collections.deque[tuple[float, dict[str, int]]] = collections.deque([(0.0, {})])
        self._writers: set[asyncio.StreamWriter] = set()
        self._streams: dict[str, asyncio.StreamWriter] = {}
        # The streams that were ended cleanly in their midst, and whether new requests are refused.
        self._ended: set[asyncio.StreamWriter] = set()
        self._framed: set[asyncio.StreamWriter] = set()
        self._refuses = False
        self._leaves_at: float | None = None
        self._copies = RunCopies(self)
        self._copies.address = settings["address"]
        self._copies.known = settings["copies"]
        self._copies.copy_s = settings["copy_s"]
        # How the runs are torn within their next event: "close" or "reset".
        self._torn: dict[asyncio.StreamWriter, str] = {}

    async def serve(self) -> None:
        """Listen, write the port to the file, and serve until the process ends."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", self._settings["port"])
        path = pathlib.Path(self._settings["file"])
        path.with_suffix(".new").write_text(str(server.sockets[0].getsockname()[1]))
        path.with_suffix(".new").rename(path)
        await server.serve_forever()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._answer(reader, writer):
                await writer.drain()
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection is kept."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        rows = (line.partition(":") for line in lines[1:] if line)
        headers = {key.lower(): value.strip() for key, _, value in rows}
        headers["kind"] = lines[0].partition("/")[2].partition("/")[0]
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        ident = headers.get("x-rookspring-request-id", "")
        if lines[0].startswith("POST /cut"):
            self._cut(body.decode())
            _send(writer, 200)
        elif lines[0].startswith("POST /leave"):
            self._leaves_at = time.monotonic() + float(body)
            _send(writer, 200)
        elif lines[0].startswith("POST /stop"):
            _send(writer, 200)
            self._stopping = asyncio.ensure_future(self._stop(json.loads(body)))
        elif lines[0].startswith("GET /report"):
            _send(writer, 200, json.dumps(self._report()).encode())
        elif lines[0].startswith("GET /healthz"):
            _send(writer, 200, rows=f"X-Rookspring-Instance-Id: {self._name}\r\n")
        elif self._copies.is_call(lines[0]):
            await self._answer_copying(lines[0], body, writer)
        elif not ident:
            _send(writer, 404)
        elif headers.get("x-rookspring-expect-instance", self._name) != self._name:
            _send(writer, 421, rows=_not_run(ident))
        elif self._refuses or not self._has_copy(headers, ident):
            _send(writer, 503, rows=_not_run(ident))
        else:
            unframed = self._random.random() < self._settings["unframed"]
            return await self._run(ident, headers, reader, writer, unframed) and not unframed
        return True

    async def _answer_copying(self, line: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        reply = await self._copies.answer(line, body)
        if line.startswith(MOVE_CALL) and reply.status == 200:
            print("moved", json.loads(body)["id"], reply.body["created"], flush=True)
        _send(writer, reply.status, json.dumps(reply.body).encode())

    def _has_copy(self, headers: dict[str, str], ident: str) -> bool:
        """Return whether a request names no copy, or one that is taken up now."""
        return "kv-from" not in headers or self._copies.take(headers["kv-from"], ident)

    def stop_run(self, run: str) -> None:
        """Close the stream of a run that is stopped, without its end."""
        if run in self._streams:
            self._streams[run].close()

    def _cut(self, how: str) -> None:
        _note_cut()
        for writer in list(self._writers):
            if how.startswith("torn"):
                self._torn[writer] = how.removeprefix("torn ")
            else:
                _end(writer, how)

    async def _stop(self, stop: Stop) -> None:
        self._refuses = stop["refuses"]
        runs = sorted(self._streams)
        for ident in self._random.sample(runs, math.ceil(len(runs) * stop["share"])):
            self._end_cleanly(ident, stop["cause"])
        if stop["exit_s"] is None:
            return
        stopped_at = time.monotonic()
        print("stops", stopped_at, flush=True)
        while stop["share"] < 1.0 and self._runs and time.monotonic() < stopped_at + FINISHES_S:
            await asyncio.sleep(FINISHES_CHECK_S)
        await asyncio.sleep(stop["exit_s"])
        os._exit(0)

    def _end_cleanly(self, ident: str, cause: str) -> None:
        """End a stream in its midst as a server's library does whose handler returns."""
        writer = self._streams[ident]
        print("ended", ident, self._copies.made[ident], cause, flush=True)
        self._ended.add(writer)
        if writer in self._framed:
            writer.write(LAST_CHUNK)
        else:
            _note_cut()
            writer.close()

    def _report(self) -> dict[str, t.Any]:
        before = time.monotonic() - LIST_AGE_S
        while len(self._past) > 1 and self._past[1][0] <= before:
            self._past.popleft()
        runs = [[one, 100, made, 1] for one, made in self._past[0][1].items()]
        return (
            {
                "stage": "both",
                "models": list_models(self._settings["version"]),
                "utilization": False,
                "sequence": 0,
                "queued": 0,
                "active": len(self._runs),
                "kv-used": 0,
                "kv-total": 100000,
                "handles": self._copies.handles,
            }
            | ({"runs": runs} if self._settings["lists"] else {})
            | self._tell_leaving()
        )

    def _tell_leaving(self) -> dict[str, t.Any]:
        if self._leaves_at is None:
            return {}
        left_s = max(0.0, self._leaves_at - time.monotonic())
        return {"state": "draining", "remaining-ms": int(left_s * 1000.0)}

    def _note(self, ident: str, made: int | None) -> None:
        if made is None:
            self._runs.pop(ident, None)
        else:
            self._runs[ident] = made
        self._past.append((time.monotonic(), dict(self._runs)))

    async def _run(
        self,
        ident: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        unframed: bool,
    ) -> bool:
        step = ID_STEP if "steps" in self._settings["forms"] else 1
        first = int(headers.get("last-event-id") or 0) // step + 1
        began = "goes on" if headers.get("kv-from") else "run"
        print(began, ident, first, time.monotonic(), headers["kind"], flush=True)
        self._note(ident, first - 1)
        self._writers.add(writer)
        try:
            rows = (
                f"X-Rookspring-Request-Id: {ident}\r\n"
                f"X-Rookspring-Server-Stamp: {self._name}.{ident}\r\n"
                f"X-Rookspring-Weight-Versions: {self._settings['version']}\r\n"
            )
            if headers["x-events"] == "0":
                return await self._reply(ident, headers, rows, writer, unframed)
            rows += "Content-Type: text/event-stream\r\n"
            rows += "" if unframed else "Transfer-Encoding: chunked\r\n" + _KEEP_ALIVE
            writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
            if not unframed:
                self._framed.add(writer)
            with self._hold_stream(ident, first - 1, headers, writer):
                return await self._stream(ident, first, headers, reader, writer, unframed)
        finally:
            self._writers.discard(writer)
            self._framed.discard(writer)
            self._ended.discard(writer)
            self._note(ident, None)

    @contextlib.contextmanager
    def _hold_stream(
        self, ident: str, made: int, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> t.Iterator[None]:
        """Hold a stream as one that can be copied, and back it up where it is asked for."""
        self._streams[ident] = writer
        self._copies.made[ident] = made
        backup = headers.get("x-rookspring-kv-backup", "") if self._copies.known else ""
        keeping = asyncio.ensure_future(self._copies.back_up(ident, backup)) if backup else None
        try:
            yield
            if backup and self._copies.made.get(ident) == int(headers["x-events"]):
                self._ending = asyncio.ensure_future(self._copies.end_backup(ident, backup))
        finally:
            self._streams.pop(ident, None)
            self._copies.made.pop(ident, None)
            if keeping is not None:
                keeping.cancel()

    async def _reply(
        self,
        ident: str,
        headers: dict[str, str],
        rows: str,
        writer: asyncio.StreamWriter,
        unframed: bool,
    ) -> bool:
        until = _find_end(headers)
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        if writer.is_closing():
            return False
        body = write_body(ident)
        if not unframed:
            _send(writer, 200, body, rows)
        elif is_json(ident):
            head = f"HTTP/1.1 200 OK\r\n{rows}Content-Type: application/json\r\n\r\n"
            writer.write(head.encode() + json.dumps(body.decode()).encode())
        else:
            writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode() + body)
        framing = JSON if unframed and is_json(ident) else "close" if unframed else "length"
        _note_end(ident, 0, framing, until)
        return True

    async def _stream(
        self,
        ident: str,
        first: int,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        unframed: bool,
    ) -> bool:
        last, gap = int(headers["x-events"]), float(headers["x-gap"])
        until = _find_end(headers)
        forms = self._settings["forms"]
        held = b""
        ended = first - 1
        for number in range(first, last + 1):
            await asyncio.sleep(max(0.0, min(gap, until - time.monotonic())))
            if time.monotonic() >= until:
                break
            if reader.at_eof() or writer.is_closing():
                return False
            if writer in self._ended:
                return True
            self._note(ident, number)
            self._copies.made[ident] = number
            print("made", ident, number, flush=True)
            ended = number
            held += write_event(self._name, ident, number, self._settings["version"], forms)
            if writer in self._torn:
                _write(writer, held[: len(held) * 2 // 3], unframed)
                await asyncio.sleep(0.0)
                _note_cut()
                _end(writer, self._torn.pop(writer))
                return False
            if "batch" in forms and number % 2 and number != last:
                continue
            await self._pass(writer, held, unframed)
            held = b""
        if writer in self._ended:
            return True
        if held:
            _write(writer, held, unframed)
        if not unframed:
            writer.write(LAST_CHUNK)
        _note_end(ident, ended, "close" if unframed else "chunks", until)
        return True

    async def _pass(self, writer: asyncio.StreamWriter, data: bytes, unframed: bool) -> None:
        cut = self._random.randrange(1, len(data)) if "split" in self._settings["forms"] else 0
        if cut:
            _write(writer, data[:cut], unframed)
            await asyncio.sleep(SPLIT_PAUSE_S)
            if writer in self._ended:
                return
        _write(writer, data[cut:], unframed)
        await writer.drain()


def list_models(version: int) -> list[dict[str, t.Any]]:
    """Return the models of a runner, as its entry and its report list them."""
    return [{"name": "m1", "version": version, "adapters": []}]


def _find_end(headers: dict[str, str]) -> float:
    """Return when the time that a request was told is over, by the monotonic clock."""
    return time.monotonic() + int(headers["x-rookspring-deadline-ms"]) / 1000.0


def _note_end(ident: str, made: int, framing: str, until: float) -> None:
    now = time.monotonic()
    print("end", ident, made, framing, now, round(until - now, 4), flush=True)


def _note_cut() -> None:
    print("cuts", time.monotonic(), flush=True)


def _write(writer: asyncio.StreamWriter, data: bytes, unframed: bool) -> None:
    writer.write(data if unframed else b"%x\r\n%b\r\n" % (len(data), data))


def _not_run(ident: str) -> str:
    return f"X-Rookspring-Request-Id: {ident}\r\nX-Rookspring-Not-Executed: 1\r\n"


def _end(writer: asyncio.StreamWriter, how: str) -> None:
    if how == "reset":
        reset_connection(writer.transport)
    else:
        writer.close()


def _send(writer: asyncio.StreamWriter, status: int, body: bytes = b"", rows: str = "") -> None:
    head = f"HTTP/1.1 {status} X\r\n{rows}{_KEEP_ALIVE}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


if __name__ == "__main__":
    asyncio.run(WaysRunner(json.loads(sys.argv[1])).serve())
