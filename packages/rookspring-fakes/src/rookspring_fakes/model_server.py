"""Fake model server of the users' platform, on bare sockets, with scripted faults.

Each request is handled by the next step of the script, and by ``answer`` once the script is used
up. The answer of a step whose name ends with ``TWICE`` is sent once more, late: in the place of the
next one on its connection. The server keeps the requests that it received and those that it ran,
for checks.
"""

import asyncio
import random
import socket
import struct
import time
import typing as t

import orjson

STEPS: dict[
    str, t.Callable[["ModelServer", "ReceivedRequest", asyncio.StreamWriter], t.Awaitable[None]]
] = {}
S = t.TypeVar("S", bound=t.Callable[..., t.Awaitable[None]])
STREAM_EVENTS = 5
TWICE = " twice"
STREAM_PATHS = ("POST /stream/", "POST /resumable/")
LONG_ANSWER_BYTES = 15 << 20
LATE_ANSWER_S = 0.15
MUTE_S = 30.0
FLOOD_EVENT_BYTES = 64 << 10
LONG_EVENT_BYTES = 4 << 10
ENDLESS_PART_BYTES = 16 << 10


def step(name: str) -> t.Callable[[S], S]:
    """Register the function that handles a step of a script."""

    def register(function: S) -> S:
        STEPS[name] = function
        return function

    return register


class ReceivedRequest(t.NamedTuple):
    """One request as it was received, and when."""

    line: str
    headers: dict[str, str]
    body: bytes
    raw_headers: list[str]
    at: float = 0.0

    @property
    def request_id(self) -> str:
        """The request's id, as its caller set it."""
        return self.headers.get("x-rookspring-request-id", "")


class ModelServer:
    """One endpoint, with its models, adapters and script.

    :param name: also its instance id, which a request may expect.
    :param script: the steps that handle the first requests.
    """

    def __init__(self, name: str, script: t.Sequence[str] = ()) -> None:
        self.name = name
        self.script = list(script)
        self.received: list[ReceivedRequest] = []
        self.runs: list[str] = []
        self.connections = 0
        self.disconnects = 0
        self.version = "v1"
        self.models: dict[str, list[str]] = {}
        self.orders: list[dict[str, t.Any]] = []
        self.accepted_orders = 0
        self.fence = 0
        self.order_script: list[str] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # The answers that are to be sent once more, by connection.
        self._late: dict[asyncio.StreamWriter, bytes] = {}
        # The body of a request that crashes the process as it begins to run; and whether the
        # process has ended, by that or by ``end``.
        self.fatal_body: bytes | None = None
        self.ended = False
        # Parts of prompts that crash the process as it begins to answer one, and what is called
        # then.
        self.fatal_parts: set[int] = set()
        self.on_crash: t.Callable[[int], None] = lambda part: None
        # Header lines that it adds to all its answers.
        self.extra_header_lines: list[str] = []
        # Whether it answers everything with 503, reports and orders included.
        self.refuses_all = False
        # The bytes of streams without end that were taken from it.
        self.flooded_bytes = 0
        # Whether a POST below STREAM_PATHS is answered with a stream if the script is used up.
        self.streams = False
        # Until when it sheds load, and the back-off that it requests then, in seconds; and these
        # refusals: when, of which request, and the back-off.
        self.shed_until = -1e9
        self.backoff_s = 1.0
        self.backoffs: list[tuple[float, str, float]] = []
        # The periods in which its answers stated a rate: begin, end, and requests per second.
        self.rate_periods: list[tuple[float, float, float]] = []
        # The state in its report, left out if empty; and the number of reports that were read.
        self.state = ""
        self.reports = 0
        # The runs that its report lists, with the events that each has made, by request; its report
        # tells none if this is None.
        self.listed_runs: dict[str, int] | None = None
        # Whether it sends each report a second time, later.
        self.reports_twice = False
        # Whether its reports never end, and the bytes of them that were taken from it.
        self.reports_endlessly = False
        self.report_bytes = 0
        # Called as an answer without a length is about to end with its connection; what it then
        # does, a key of ENDINGS; and the process that has its address afterwards.
        self.before_close: t.Callable[[], None] = lambda: None
        self.successor: ModelServer | None = None
        # The share of resumable streams that it sends without a length; how these end, some keys of
        # RESUMABLE_ENDS, by chance; the pause between events in seconds; and until when its
        # process stands still.
        self.unframed_share = 0.0
        self.unframed_ends: tuple[str, ...] = ("whole",)
        self.event_pause_s = 0.002
        self.frozen_until = 0.0
        self.random = random.Random(name)
        # Whether it answers nothing more, though it listens; how many health checks it refuses, as
        # if it were full; and its health checks, with what they expected.
        self.mute = False
        # How many new connections it resets.
        self.resets = 0
        self.checks_refused = 0
        self.checks: list[str] = []

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        if self.successor is not None:
            await self.successor.close()

    def end(self) -> None:
        """End as a crashed process does: it stops listening and aborts all connections."""
        self.ended = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def end_and_replace(self) -> None:
        """End as a crashed process does, while another one already listens at its address."""
        assert self._server is not None
        self._server.close()
        self.successor = ModelServer(f"{self.name}-successor")
        self.successor.streams = True
        self.successor.script = self.script
        await self.successor.start(int(self.address.rpartition(":")[2]))
        self.end()

    async def restart(self) -> None:
        """End as a crashed process does; another one has its name and address, and resets a call.

        That call was made as the first one ended, so that it came to nobody.
        """
        await self.end_and_replace()
        assert self.successor is not None
        self.successor.name = self.name
        self.successor.resets = 1

    def entry(self, service: str, state: str = "ready", slots: int = 8) -> dict[str, t.Any]:
        """Return the entry that it writes about itself in the store."""
        row: dict[str, t.Any] = {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": slots,
            "state": state,
            "cold-left-ms": 0,
            # In an entry it counts heartbeats; in a report, under the same name, orders.
            "sequence": 40,
        }
        if self.models:
            row["models"] = self._list_models()
        return row

    def _list_models(self) -> list[dict[str, t.Any]]:
        return [
            {"name": name, "version": 1, "adapters": [f"{one}@1" for one in adapters]}
            for name, adapters in self.models.items()
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        if self.resets:
            self.resets -= 1
            _reset_connection(writer)
            return
        self._writers.add(writer)
        try:
            while request := await _read(reader):
                if not await self._answer(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.disconnects += 1
        finally:
            self._writers.discard(writer)
            self._late.pop(writer, None)
            writer.close()

    async def pause(self) -> None:
        """Wait until the next event, and while the process stands still."""
        await asyncio.sleep(self.event_pause_s)
        await self._thaw()

    async def _thaw(self) -> None:
        while (left_s := self.frozen_until - time.monotonic()) > 0.0:
            await asyncio.sleep(left_s)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._thaw()
        if self.ended:
            return False
        if self.mute:
            await asyncio.sleep(MUTE_S)
        writer.write(self._late.pop(writer, b""))
        if self.refuses_all:
            _send(self, writer, 503, b"", {})
            return True
        if request.line.startswith("GET /healthz"):
            self._check(request, writer)
            return True
        if request.line.startswith("GET /report"):
            self.reports += 1
            expected = request.headers.get("x-rookspring-expect-instance", self.name)
            if expected != self.name:
                _send(self, writer, 421, b"", {"X-Rookspring-Instance-Id": self.name})
                return True
            if self.reports_endlessly:
                await self._report_without_end(writer)
            recorder = _Recorder(writer)
            _send(self, recorder, 200, orjson.dumps(self._report()), {})
            if self.reports_twice:
                self._late[writer] = bytes(recorder.written)
            return True
        if request.line.startswith("POST /order"):
            return self._order(request, writer)
        self.received.append(request)
        if time.monotonic() < self.shed_until:
            self._shed(request, writer)
            return True
        if self.fatal_body is not None and request.body == self.fatal_body:
            _record_run(self, request)
            self.end()
            return False
        fatal = self.fatal_parts.intersection(shared_parts(request))
        if fatal:
            _record_run(self, request)
            self.on_crash(min(fatal))
            self.end()
            return False
        usual = "stream" if self.streams and request.line.startswith(STREAM_PATHS) else "answer"
        if usual == "stream" and self._leaves_length_out(request):
            usual = "unframed stream"
        name = self.script.pop(0) if self.script else usual
        expected = request.headers.get("x-rookspring-expect-instance", self.name)
        if expected != self.name:
            name = "elsewhere"
        await self._take_step(name, request, writer)
        await writer.drain()
        return not writer.is_closing()

    def _leaves_length_out(self, request: ReceivedRequest) -> bool:
        resumable = request.line.startswith("POST /resumable/")
        return resumable and self.random.random() < self.unframed_share

    def _check(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-rookspring-expect-instance", self.name)
        self.checks.append(expected)
        if self.checks_refused:
            self.checks_refused -= 1
            _send(self, writer, 503, b"", {"X-Rookspring-Not-Executed": "1"})
            return
        status = 503 if self.state == "draining" else 200
        if expected != self.name:
            status = 421
        _send(self, writer, status, b"", {"X-Rookspring-Instance-Id": self.name})

    async def _take_step(
        self, name: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not name.endswith(TWICE):
            await STEPS[name](self, request, writer)
            return
        recorder = _Recorder(writer)
        await STEPS[name.removesuffix(TWICE)](self, request, t.cast(asyncio.StreamWriter, recorder))
        self._late[writer] = bytes(recorder.written)

    def _shed(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.backoffs.append((time.monotonic(), request.request_id, self.backoff_s))
        headers = {
            "X-Rookspring-Request-Id": request.request_id,
            "X-Rookspring-Not-Executed": "1",
            "Retry-After": f"{self.backoff_s:g}",
        }
        _send(self, writer, 503, b"", headers)

    def state_rate(self, rate: float) -> t.Callable[[], None]:
        """State a rate in all answers from now on; return a function that ends this.

        :param rate: the requests per second that it accepts.
        """
        line = f"Server-Limit: {rate:g}"
        began = time.monotonic()
        self.extra_header_lines.append(line)

        def end() -> None:
            self.extra_header_lines.remove(line)
            self.rate_periods.append((began, time.monotonic(), rate))

        return end

    def received_ids(self) -> set[str]:
        """Return the ids of the requests that reached it."""
        return {one.request_id for one in self.received}

    def _report(self) -> dict[str, t.Any]:
        state: dict[str, t.Any] = {"state": self.state} if self.state else {}
        if self.listed_runs is not None:
            state["runs"] = [[one, 300, made, 5] for one, made in self.listed_runs.items()]
        return state | {
            "stage": "both",
            "models": self._list_models(),
            "utilization": False,
            "sequence": self.accepted_orders,
            "queued": 0,
            "active": 0,
            "kv-used": 0,
            "kv-total": 1000,
            "handles": 0,
        }

    async def _report_without_end(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(b" " * ENDLESS_PART_BYTES)
            await writer.drain()
            self.report_bytes += ENDLESS_PART_BYTES

    def _order(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        order = orjson.loads(request.body)
        self.orders.append(order)
        script = self.order_script.pop(0) if self.order_script else "take"
        how = script.removesuffix(TWICE)
        if how == "lose":
            writer.transport.abort()
            return False
        status = self._check_order(order) if how in ("take", "take and lose") else int(how)
        if status == 202:
            self._apply_order(order)
        if how == "take and lose":
            writer.transport.abort()
            return False
        recorder = _Recorder(writer)
        _send(self, recorder, status, b"", {})
        if script.endswith(TWICE):
            self._late[writer] = bytes(recorder.written)
        return True

    def _check_order(self, order: dict[str, t.Any]) -> int:
        if order["fencing-token"] < self.fence:
            return 412
        self.fence = order["fencing-token"]
        return (
            202
            if order.get("expected-count", self.accepted_orders) == self.accepted_orders
            else 409
        )

    def _apply_order(self, order: dict[str, t.Any]) -> None:
        self.accepted_orders += 1
        model = order["model"]
        if "adapter" in order:
            held = self.models.setdefault(model, [])
            if order["operation"] == "load":
                held.append(order["adapter"])
            else:
                held.remove(order["adapter"])
        elif order["operation"] == "load":
            self.models[model] = []
        else:
            self.models.pop(model, None)


class _Recorder:
    """Passes on what is written to a connection, and keeps it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.written = bytearray()

    def write(self, data: bytes) -> None:
        self.written += data
        self._writer.write(data)

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._writer, name)


def shared_parts(request: ReceivedRequest) -> list[int]:
    """Return the parts of a request's prompt but for the last."""
    listed = request.headers.get("x-rookspring-prefix-hash", "").split(",")[:-1]
    return [int(part.partition(":")[0], 16) for part in listed]


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    rows = [line for line in lines[1:] if line]
    headers = {}
    for row in rows:
        key, _, value = row.partition(":")
        headers[key.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(lines[0], headers, body, rows, time.monotonic())


def _send(
    server: ModelServer,
    writer: "asyncio.StreamWriter | _Recorder",
    status: int,
    body: bytes,
    headers: dict[str, str],
) -> None:
    rows = {"Content-Length": str(len(body)), "Keep-Alive": "timeout=20", **headers}
    lines = [f"{key}: {value}" for key, value in rows.items() if value]
    lines += server.extra_header_lines
    head = "".join(f"{line}\r\n" for line in (f"HTTP/1.1 {status} X", *lines))
    writer.write(head.encode() + b"\r\n" + body)


def _record_run(server: ModelServer, request: ReceivedRequest) -> dict[str, str]:
    server.runs.append(request.request_id)
    stamp = f"{server.name}.{len(server.runs)}"
    return {"X-Rookspring-Request-Id": request.request_id, "X-Rookspring-Server-Stamp": stamp}


def _body(request: ReceivedRequest) -> bytes:
    return b"answer to " + request.request_id.encode()


@step("answer")
async def _answer(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _send(server, writer, 200, _body(request), _record_run(server, request))


@step("answer late")
async def _answer_late(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(LATE_ANSWER_S)
    await _answer(server, request, writer)


@step("answer at length")
async def _answer_at_length(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an answer that is larger than what the kernel buffers of a connection."""
    _send(server, writer, 200, b"x" * LONG_ANSWER_BYTES, _record_run(server, request))


@step("fail")
async def _fail(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _send(server, writer, 500, b"failed", _record_run(server, request))


@step("refuse")
async def _refuse(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {"X-Rookspring-Request-Id": request.request_id, "X-Rookspring-Not-Executed": "1"}
    _send(server, writer, 503, b"", headers)


@step("refuse quietly")
async def _refuse_quietly(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer 503 without the header that states that the request was not run, after running it."""
    _send(server, writer, 503, b"", _record_run(server, request))


@step("absent")
async def _absent(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {
        "X-Rookspring-Request-Id": request.request_id,
        "X-Rookspring-Instance-Id": server.name,
    }
    _send(server, writer, 421, b"", headers)


@step("elsewhere")
async def _elsewhere(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {
        "X-Rookspring-Request-Id": request.request_id,
        "X-Rookspring-Instance-Id": "another",
    }
    _send(server, writer, 421, b"", headers)


@step("surplus")
async def _surplus(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole answer, and a second one that belongs to no request."""
    await _answer(server, request, writer)
    _send(server, writer, 200, b"of nobody", {"X-Rookspring-Request-Id": "nobody"})


@step("foreign first")
async def _foreign(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send an answer to another request first, as if it were late."""
    _send(server, writer, 200, b"of another", {"X-Rookspring-Request-Id": "another"})
    await _answer(server, request, writer)


@step("reset")
async def _reset(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _record_run(server, request)
    _reset_connection(writer)


@step("close")
async def _close(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _record_run(server, request)
    writer.close()


@step("half")
async def _half(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = _record_run(server, request)
    headers["Content-Length"] = "100"
    _send(server, writer, 200, b"only half", headers)
    await writer.drain()
    writer.close()


@step("nonsense")
async def _nonsense(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _record_run(server, request)
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


async def _live_on(server: ModelServer) -> None:
    return None


async def _end(server: ModelServer) -> None:
    server.end()


async def _be_replaced(server: ModelServer) -> None:
    await server.end_and_replace()


async def _restart(server: ModelServer) -> None:
    await server.restart()


async def _fall_silent(server: ModelServer) -> None:
    server.mute = True


HALF_CLOSE_WORDS = "half close after "
# What a process does at the end of an answer without a length, by the words that name it in a step.
ENDINGS: dict[str, t.Callable[[ModelServer], t.Awaitable[None]]] = {
    "": _live_on,
    "end after ": _end,
    "be replaced after ": _be_replaced,
    "restart after ": _restart,
    "fall silent after ": _fall_silent,
    HALF_CLOSE_WORDS: _live_on,
}


def _register_unframed(words: str, ending: t.Callable[[ModelServer], t.Awaitable[None]]) -> None:
    """Register answers without a length, which end with their connection, by how they end."""

    async def finish(server: ModelServer, writer: asyncio.StreamWriter) -> None:
        await writer.drain()
        server.before_close()
        await ending(server)
        if words == HALF_CLOSE_WORDS:
            # The caller closes the other half.
            writer.write_eof()
            await asyncio.sleep(MUTE_S)
        writer.close()

    @step(f"{words}unframed")
    async def _unframed(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        _unframed_head(server, request, writer)
        await finish(server, writer)

    @step(f"{words}unframed events")
    async def _unframed_events(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await _write_unframed_events(server, request, writer, STREAM_EVENTS)
        await finish(server, writer)

    @step(f"{words}3 unframed")
    async def _unframed_3(
        server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await _write_unframed_events(server, request, writer, 3)
        await finish(server, writer)


for _words, _ending in ENDINGS.items():
    _register_unframed(_words, _ending)


@step("unframed reset")
async def _unframed_reset(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _unframed_head(server, request, writer)
    await writer.drain()
    await asyncio.sleep(0.02)
    _reset_connection(writer)


@step("end 1.5 s after 3 unframed")
async def _end_late_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection between two events, some time after the one before."""
    await _write_unframed_events(server, request, writer, 3)
    await asyncio.sleep(1.5)
    writer.close()


@step("pause for 0.3 s after 3 unframed")
async def _pause_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _pause_after_3_unframed(server, request, writer, 0.3)


@step("pause for 1.5 s after 3 unframed")
async def _pause_long_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _pause_after_3_unframed(server, request, writer, 1.5)


@step("run on after 3 unframed")
async def _run_on_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run, which its reports list from then on."""
    await _write_unframed_events(server, request, writer, 3)
    server.listed_runs = {request.request_id: 3}
    writer.close()


@step("drop 2 after 3 unframed")
async def _drop_2_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection before two more events that were made, and end the run."""
    await _write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("run on for 0.23 s after 3 unframed")
async def _run_on_shortly_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection just before the end of a run; some reports list more than came."""
    await _write_unframed_events(server, request, writer, 3)
    server.listed_runs = {request.request_id: 3}
    writer.close()
    await asyncio.sleep(0.02)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.21)


@step("be listed for 0.3 s after unframed events")
async def _stay_listed_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole stream; reports that are older than its end still list its run."""
    await _write_unframed_events(server, request, writer, STREAM_EVENTS)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("list no run after unframed events")
async def _list_none_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _write_unframed_events(server, request, writer, STREAM_EVENTS)
    await _list_for(server, request, writer, 0, 0.0)


@step("list no run after 3 unframed")
async def _list_none_after_3(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run and drop it; reports list no run from then on."""
    await _write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, 0, 0.0)


@step("unframed without events")
async def _no_unframed_events(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection after the head of a stream, and drop the run."""
    await _write_unframed_events(server, request, writer, 0)
    writer.close()


@step("half unframed")
async def _half_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a body without a length."""
    _unframed_head(server, request, writer, _body(request)[:10])
    await writer.drain()
    writer.close()


@step("rest of a listed run")
async def _listed_rest(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the events after the last one that is named; the report counts all of the stream."""
    headers = _record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    await _write_events(writer, int(request.headers["last-event-id"]) + 1, STREAM_EVENTS)
    await _list_for(server, request, writer, STREAM_EVENTS, 0.3)


@step("run on after a while of no list of 3 unframed")
async def _run_on_unlisted_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the midst of a run; reports of before its start don't list it yet."""
    await _write_unframed_events(server, request, writer, 3)
    await _list_for(server, request, writer, 0, 0.3)
    server.listed_runs = {request.request_id: 3}


async def _list_for(
    server: ModelServer,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    made: int,
    seconds: float,
) -> None:
    """Close the connection, and list the run for some time, if it has made events."""
    server.listed_runs = {request.request_id: made} if made else {}
    writer.close()
    await asyncio.sleep(seconds)
    server.listed_runs = {}


@step("be slow to begin 3 long unframed")
async def _slow_long_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send nothing for long, then three long events at once, and close the connection."""
    await asyncio.sleep(1.5)
    await _write_unframed_events(server, request, writer, 3, LONG_EVENT_BYTES)
    writer.close()


@step("be slow to begin unframed events")
async def _slow_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(1.5)
    await _write_unframed_events(server, request, writer, STREAM_EVENTS)
    writer.close()


async def _pause_after_3_unframed(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter, seconds: float
) -> None:
    await _write_unframed_events(server, request, writer, 3)
    await asyncio.sleep(seconds)
    await _write_events(writer, 4, STREAM_EVENTS)
    writer.close()


async def _close_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    writer.close()


async def _tear_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    writer.write(event[: len(event) // 2])
    await writer.drain()
    writer.close()


async def _reset_there(writer: asyncio.StreamWriter, event: bytes) -> None:
    _reset_connection(writer)


# How a resumable stream without a length ends, by what is done in place of an event: the one after
# the last, or one of the others.
RESUMABLE_ENDS: dict[str, t.Callable[[asyncio.StreamWriter, bytes], t.Awaitable[None]]] = {
    "whole": _close_there,
    "torn": _tear_there,
    "reset": _reset_there,
}


@step("unframed stream")
async def _unframed_stream(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the events after the last one that the request names, without a length or chunks."""
    headers = _record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    first = int(request.headers.get("last-event-id") or 0) + 1
    ending = server.random.choice(server.unframed_ends)
    stop = STREAM_EVENTS + 1
    if ending != "whole":
        stop = server.random.randrange(min(first, STREAM_EVENTS), STREAM_EVENTS + 1)
    for number in range(first, stop):
        writer.write(_event(server, number))
        await writer.drain()
        await server.pause()
    if writer.is_closing():
        raise ConnectionResetError
    await RESUMABLE_ENDS[ending](writer, _event(server, stop))


def _event(server: ModelServer, number: int) -> bytes:
    return f"id: {number}\ndata: token{number} {server.version}\n\n".encode()


async def _write_unframed_events(
    server: ModelServer,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    last: int,
    padding: int = 0,
) -> None:
    headers = _record_run(server, request) | {"Content-Type": "text/event-stream"}
    rows = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode())
    await _write_events(writer, 1, last, padding)


async def _write_events(
    writer: asyncio.StreamWriter, first: int, last: int, padding: int = 0
) -> None:
    for number in range(first, last + 1):
        writer.write(f"id: {number}\ndata: token{number}{'.' * padding}\n\n".encode())
        await writer.drain()
        await asyncio.sleep(0.002)


def _unframed_head(
    server: ModelServer,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    body: bytes | None = None,
) -> None:
    """Begin an answer without a length; its body is the usual one if none is given."""
    lines = [f"{key}: {value}" for key, value in _record_run(server, request).items()]
    rows = "".join(f"{line}\r\n" for line in (*lines, *server.extra_header_lines))
    data = _body(request) if body is None else body
    writer.write(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode() + data)


@step("stream")
async def _stream(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _events(server, request, writer, STREAM_EVENTS)
    if writer.is_closing():
        raise ConnectionResetError
    writer.write(b"0\r\n\r\n")


@step("stream anew")
async def _stream_anew(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the stream from its first event, whatever event the request names as the last."""
    request.headers.pop("last-event-id", None)
    await _stream(server, request, writer)


@step("break after 2 without ids")
async def _break_2_without_ids(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _begin_events(server, request, writer)
    for number in (1, 2):
        _write_event(writer, f"data: token{number}\n\n".encode())
        await writer.drain()
    writer.close()


@step("stream without ids")
async def _stream_without_ids(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _begin_events(server, request, writer)
    _write_event(writer, b"data: token\n\n")
    writer.write(b"0\r\n\r\n")


@step("go back after 3")
async def _go_back(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, the second again, and the rest."""
    await _events(server, request, writer, 3)
    for number in (2, 4, 5):
        _write_event(writer, f"id: {number}\ndata: token{number}\n\n".encode())
    writer.write(b"0\r\n\r\n")


@step("stand still after 3")
async def _stand_still(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and the third and the rest at once."""
    await _events(server, request, writer, 3)
    _write_event(writer, b"".join(b"id: %d\ndata: x\n\n" % number for number in (3, 4, 5)))
    writer.write(b"0\r\n\r\n")


@step("not found")
async def _not_found(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _send(server, writer, 404, b"none", _record_run(server, request))


@step("moved")
async def _moved(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _send(server, writer, 302, b"", _record_run(server, request) | {"Location": "/elsewhere"})


@step("empty")
async def _empty(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a whole answer that is no stream and has no body."""
    _send(server, writer, 200, b"", _record_run(server, request))


@step("break after 3")
async def _break_3(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _events(server, request, writer, 3)
    await writer.drain()
    writer.close()


@step("tear the 4th")
async def _tear_4(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of an event."""
    await _events(server, request, writer, 3)
    writer.write(b"8\r\nid: 4\nda\r\n")
    await writer.drain()
    writer.close()


@step("end within the 4th")
async def _end_within_4(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """End the answer in the middle of an event, and keep the connection."""
    await _events(server, request, writer, 3)
    writer.write(b"8\r\nid: 4\nda\r\n0\r\n\r\n")


@step("tear the 6th")
async def _tear_6(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of the event after the usual last one."""
    await _events(server, request, writer, STREAM_EVENTS)
    writer.write(b"8\r\nid: 6\nda\r\n")
    await writer.drain()
    writer.close()


@step("stall after 3")
async def _stall_after_3(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await _events(server, request, writer, 3)
    await asyncio.sleep(30.0)


@step("flood")
async def _flood(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a stream without end, as fast as it is taken."""
    headers = _record_run(server, request)
    headers |= {"Content-Length": "", "Transfer-Encoding": "chunked"}
    _send(server, writer, 200, b"", headers)
    data = b"id: 1\ndata: " + b"x" * FLOOD_EVENT_BYTES + b"\n\n"
    while True:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        server.flooded_bytes += len(data)


async def _send_without_end(writer: asyncio.StreamWriter, first: bytes, part: bytes) -> None:
    """Send some bytes, then others again and again, as fast as they are taken."""
    writer.write(first)
    while True:
        writer.write(part)
        await writer.drain()


def _head_without_end(server: ModelServer, request: ReceivedRequest) -> bytes:
    rows = "".join(f"{key}: {value}\r\n" for key, value in _record_run(server, request).items())
    return f"HTTP/1.1 200 OK\r\n{rows}".encode()


@step("headers without end")
async def _headers_without_end(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = _head_without_end(server, request)
    await _send_without_end(writer, head, (b"X-Row: " + b"x" * 1000 + b"\r\n") * 16)


@step("interim heads without end")
async def _interim_heads_without_end(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _record_run(server, request)
    await _send_without_end(writer, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 512)


@step("extension without end")
async def _extension_without_end(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a chunk whose extension never ends."""
    head = _head_without_end(server, request) + b"Transfer-Encoding: chunked\r\n\r\n1;"
    await _send_without_end(writer, head, b"e" * ENDLESS_PART_BYTES)


@step("body without end")
async def _body_without_end(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = _head_without_end(server, request) + b"\r\n"
    await _send_without_end(writer, head, b"b" * ENDLESS_PART_BYTES)


@step("event without end")
async def _event_without_end(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send three events, and a fourth that never ends."""
    await _events(server, request, writer, 3)
    part = b"%x\r\n%b\r\n" % (ENDLESS_PART_BYTES, b"d" * ENDLESS_PART_BYTES)
    await _send_without_end(writer, b"c\r\nid: 4\ndata: \r\n", part)


@step("hang")
async def _hang(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    _record_run(server, request)
    await asyncio.sleep(30.0)


async def _events(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter, last: int
) -> None:
    _begin_events(server, request, writer)
    first = int(request.headers.get("last-event-id") or 0) + 1
    for number in range(first, last + 1):
        if writer.is_closing():
            raise ConnectionResetError
        _write_event(writer, _event(server, number))
        await writer.drain()
        await server.pause()


def _begin_events(
    server: ModelServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = _record_run(server, request)
    headers |= {
        "Content-Length": "",
        "Transfer-Encoding": "chunked",
        "Content-Type": "text/event-stream",
    }
    _send(server, writer, 200, b"", headers)


def _write_event(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset instead of a regular close."""
    raw: t.Any = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
