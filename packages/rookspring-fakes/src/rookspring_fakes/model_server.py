"""Fake model server of the users' platform, on bare sockets, with scripted faults.

Each request is handled by the next step of the script, and by ``answer`` once the script is used
up. The answer of a step whose name ends with ``TWICE`` is sent once more, late: in the place of the
next one on its connection. The server keeps the requests that it received and those that it ran,
for checks.
"""

import asyncio
import contextlib
import functools
import math
import random
import time
import typing as t

import orjson

from . import model_answers as model_answers
from . import model_deadlines as model_deadlines
from . import model_listed_runs as model_listed_runs
from . import model_planned_ends as model_planned_ends
from . import model_torn as model_torn
from .model_answers import LONG_ANSWER_BYTES as LONG_ANSWER_BYTES
from .model_endless import report_without_end
from .model_orders import take_order
from .model_steps import STEPS as STEPS
from .model_steps import STREAM_EVENTS as STREAM_EVENTS
from .model_steps import TWICE as TWICE
from .model_steps import ReceivedRequest as ReceivedRequest
from .model_steps import Recorder
from .model_steps import read_request
from .model_steps import record_run
from .model_steps import send
from .model_steps import shared_parts as shared_parts
from .model_steps import step as step
from .model_unframed import ENDINGS as ENDINGS
from .model_unframed import HALF_CLOSE_WORDS as HALF_CLOSE_WORDS
from .model_unframed import MUTE_S as MUTE_S
from .model_unframed import RESUMABLE_ENDS as RESUMABLE_ENDS
from .process_allowance import RatePeriod
from .process_allowance import WorkPeriod
from .resets import close_connection
from .resets import reset_connection
from .run_copies import RunCopies

STREAM_PATHS = ("POST /stream/", "POST /resumable/")


class ModelServer:
    """One endpoint, with its models, adapters and script.

    :param name: also its instance id, which a request may expect.
    :param script: the steps that handle the first requests.
    """

    # How much sooner than told it finds the time of a request over, in seconds.
    clock_ahead_s = 0.0
    # The time left to it that its entry and report state, in milliseconds; left out if None.
    remaining_ms: t.Any = None
    # From when until when it takes work.
    works_from = math.inf
    works_until = math.inf
    # When its process ended.
    ended_at = math.inf
    # Whether all its answers without a length are whole, and bodies show it.
    sound = False
    # How many connections it takes at once; more are reset.
    connections_max = math.inf

    def __init__(self, name: str, script: t.Sequence[str] = ()) -> None:
        self.name = name
        self.script = list(script)
        self.received: list[ReceivedRequest] = []
        self.runs: list[str] = []
        self.copies = RunCopies(self)
        self.connections = self.disconnects = 0
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
        self.late_answers: dict[asyncio.StreamWriter, bytes] = {}
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
        self.rate_periods: list[RatePeriod] = []
        # The state in its report, left out if empty; and the number of reports that were read.
        self.state = ""
        self.reports = 0
        # The runs that its report lists, with the events that each has made, by request; its report
        # tells none if this is None.
        self.listed_runs: dict[str, int] | None = None
        # The streams that it sends now, by their connection; whether its reports list them as runs,
        # and how old the reports' lists are, in seconds.
        self.streaming: dict[asyncio.StreamWriter, str] = {}
        # The requests whose answers nothing shows to be whole: without a length, or dropped.
        self.unshown: set[str] = set()
        self.lists_streams = False
        self.list_age_s = 0.2
        # Whether it sends the answer to each call without a request a second time, later.
        self.calls_twice = False
        # Whether its reports never end, and the bytes of them that were taken from it.
        self.reports_endlessly = False
        self.report_bytes = 0
        # Called as an answer without a length is about to end with its connection; what it then
        # does, a key of ENDINGS; and the process that has its address afterwards.
        self.before_close: t.Callable[[], None] = lambda: None
        self.successor: ModelServer | None = None
        # Whether it closes bodies without a length in their midst.
        self.halves_bodies = False
        # The share of answers that it sends without a length; how its streams end, some keys of
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

    @functools.cached_property
    def stopping(self) -> asyncio.Event:
        """Set as it begins to end its answers, since it ends as planned."""
        return asyncio.Event()

    @functools.cached_property
    def closed_well(self) -> dict[str, float]:
        """The requests whose whole answers ended with their connection, and when."""
        return {}

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = self.copies.address = f"{host}:{port}"
        self.works_from = time.monotonic()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        if self.successor is not None:
            await self.successor.close()

    def end(self) -> None:
        """End as a crashed process does: it stops listening, and all connections are closed.

        Their peers see a close where all is read that they sent, and a reset otherwise.
        """
        self.ended = True
        self.ended_at = time.monotonic()
        self.end_work()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            close_connection(writer.transport)

    def end_work(self) -> None:
        """Note that it takes no more work, since it leaves or has ended."""
        self.works_until = min(self.works_until, time.monotonic())

    def work_period(self) -> WorkPeriod:
        """Return when it took work, and the rates that it stated."""
        return WorkPeriod(self.works_from, self.works_until, tuple(self.rate_periods))

    def drop_streams(self, resets: bool) -> None:
        """Reset or close the connections of all streams and drop these runs, and live on."""
        self.unshown.update(self.streaming.values())
        for writer in list(self.streaming):
            if resets:
                reset_connection(writer.transport)
            else:
                close_connection(writer.transport)

    def drop_connections(self, resets: bool) -> None:
        """Reset or close all connections, and live on."""
        for writer in list(self._writers):
            (reset_connection if resets else close_connection)(writer.transport)

    @contextlib.contextmanager
    def send_stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> t.Iterator[t.Callable[[int], None]]:
        """Hold a stream as one that is sent now; the events that it made are noted by a call."""
        run = request.request_id
        self.streaming[writer] = run
        self._note_made(run, 0)
        backup = request.headers.get("x-rookspring-kv-backup", "")
        if backup:
            keeping = asyncio.ensure_future(self.copies.back_up(run, backup))
        try:
            yield functools.partial(self._note_made, run)
        finally:
            self.streaming.pop(writer, None)
            self.copies.made.pop(run, None)
            self._list_stream(run, None)
            if backup:
                keeping.cancel()

    def _note_made(self, run: str, made: int) -> None:
        self.copies.made[run] = made
        self._list_stream(run, made)

    def end_well(self, request: ReceivedRequest) -> None:
        """Note that a run has ended well: its backup isn't needed."""
        backup = request.headers.get("x-rookspring-kv-backup", "")
        if backup:
            self._ending = asyncio.ensure_future(self.copies.end_backup(request.request_id, backup))

    def stop_run(self, run: str) -> None:
        """Close the stream of a run that is stopped, without its end."""
        for writer in [one for one, ident in self.streaming.items() if ident == run]:
            close_connection(writer.transport)

    def _list_stream(self, request_id: str, made: int | None) -> None:
        if self.lists_streams:
            later = asyncio.get_running_loop().call_later
            later(self.list_age_s, self._set_listed, request_id, made)

    def _set_listed(self, request_id: str, made: int | None) -> None:
        if self.listed_runs is None:
            self.listed_runs = {}
        if made is None:
            self.listed_runs.pop(request_id, None)
        else:
            self.listed_runs[request_id] = made

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
        return row | self._state_remaining()

    def _state_remaining(self) -> dict[str, t.Any]:
        return {} if self.remaining_ms is None else {"remaining-ms": self.remaining_ms}

    def _list_models(self) -> list[dict[str, t.Any]]:
        return [
            {"name": name, "version": 1, "adapters": [f"{one}@1" for one in adapters]}
            for name, adapters in self.models.items()
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        if self.resets:
            self.resets -= 1
            reset_connection(writer.transport)
            return
        if len(self._writers) >= self.connections_max:
            reset_connection(writer.transport)
            return
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self._answer(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.disconnects += 1
        finally:
            self._writers.discard(writer)
            self.late_answers.pop(writer, None)
            writer.close()

    async def pause(self, time_ends_at: float = math.inf) -> bool:
        """Wait until the next event, and while the process stands still.

        :param time_ends_at: when the time of the request is over.
        :return: whether it is over, by the process's clock.
        """
        left_s = time_ends_at - self.clock_ahead_s - time.monotonic()
        await asyncio.sleep(min(self.event_pause_s, max(0.0, left_s)))
        await self._thaw()
        return self.event_pause_s >= left_s

    async def _thaw(self) -> None:
        while (left_s := self.frozen_until - time.monotonic()) > 0.0:
            await asyncio.sleep(left_s)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await self._thaw()
        if self.ended:
            return False
        if self.mute:
            await asyncio.sleep(MUTE_S)
        writer.write(self.late_answers.pop(writer, b""))
        if self.refuses_all:
            send(self, writer, 503, b"", {})
            return True
        if request.line.startswith("GET /healthz"):
            with self._record_call(writer) as recorder:
                self._check(request, recorder)
            return True
        if request.line.startswith("GET /report"):
            self.reports += 1
            expected = request.headers.get("x-rookspring-expect-instance", self.name)
            if expected != self.name:
                send(self, writer, 421, b"", {"X-Rookspring-Instance-Id": self.name})
                return True
            if self.reports_endlessly:
                await report_without_end(self, writer)
            with self._record_call(writer) as recorder:
                send(self, recorder, 200, orjson.dumps(self._report()), {})
            return True
        if request.line.startswith("POST /order"):
            return take_order(self, request, writer)
        if self.copies.is_call(request.line):
            reply = await self.copies.answer(request.line, request.body)
            with self._record_call(writer) as recorder:
                send(self, recorder, reply.status, orjson.dumps(reply.body), {})
            return True
        if not request.request_id:
            # No node has sent it. The port may have been another's before, who is dialled still.
            send(self, writer, 400, b"", {"X-Rookspring-Not-Executed": "1"})
            return True
        self.received.append(request)
        if time.monotonic() < self.shed_until:
            self._shed(request, writer)
            return True
        if self.fatal_body is not None and request.body == self.fatal_body:
            record_run(self, request)
            self.end()
            return False
        fatal = self.fatal_parts.intersection(shared_parts(request))
        if fatal:
            record_run(self, request)
            self.on_crash(min(fatal))
            self.end()
            return False
        if request.continues and not self.copies.take(request.continues, request.request_id):
            headers = {"X-Rookspring-Request-Id": request.request_id}
            send(self, writer, 503, b"", headers | {"X-Rookspring-Not-Executed": "1"})
            return True
        name = self.script.pop(0) if self.script else self._choose_step(request)
        expected = request.headers.get("x-rookspring-expect-instance", self.name)
        if expected != self.name:
            name = "elsewhere"
        await self._take_step(name, request, writer)
        await writer.drain()
        return not writer.is_closing()

    def _choose_step(self, request: ReceivedRequest) -> str:
        """Return the step of a request that the script has none for."""
        streams = self.streams and request.line.startswith(STREAM_PATHS)
        if self.random.random() >= self.unframed_share:
            return "stream" if streams else "answer"
        if streams and self.sound:
            return "unframed stream"
        if self.sound:
            return "unframed json"
        self.unshown.add(request.request_id)
        if streams:
            return "unframed stream"
        return "half unframed" if self.halves_bodies else "unframed"

    @contextlib.contextmanager
    def _record_call(self, writer: asyncio.StreamWriter) -> t.Iterator[Recorder]:
        """Record the answer to a call, which may be sent again in the place of the next one."""
        recorder = Recorder(writer)
        yield recorder
        if self.calls_twice:
            self.late_answers[writer] = bytes(recorder.written)

    def _check(self, request: ReceivedRequest, writer: Recorder) -> None:
        expected = request.headers.get("x-rookspring-expect-instance", self.name)
        self.checks.append(expected)
        if self.checks_refused:
            self.checks_refused -= 1
            send(self, writer, 503, b"", {"X-Rookspring-Not-Executed": "1"})
            return
        status = 503 if self.state == "draining" else 200
        if expected != self.name:
            status = 421
        send(self, writer, status, b"", {"X-Rookspring-Instance-Id": self.name})

    async def _take_step(
        self, name: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not name.endswith(TWICE):
            await STEPS[name](self, request, writer)
            return
        recorder = Recorder(writer)
        await STEPS[name.removesuffix(TWICE)](self, request, t.cast(asyncio.StreamWriter, recorder))
        self.late_answers[writer] = bytes(recorder.written)

    def _shed(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.backoffs.append((time.monotonic(), request.request_id, self.backoff_s))
        headers = {
            "X-Rookspring-Request-Id": request.request_id,
            "X-Rookspring-Not-Executed": "1",
            "Retry-After": f"{self.backoff_s:g}",
        }
        send(self, writer, 503, b"", headers)

    def state_rate(self, rate: float) -> t.Callable[[], None]:
        """State a rate in all answers from now on; return a function that ends this.

        :param rate: the requests per second that it accepts.
        """
        line = f"Server-Limit: {rate:g}"
        began = time.monotonic()
        self.extra_header_lines.append(line)

        def end() -> None:
            self.extra_header_lines.remove(line)
            self.rate_periods.append(RatePeriod(began, time.monotonic(), rate))

        return end

    def received_ids(self) -> set[str]:
        """Return the ids of the requests that reached it."""
        return {one.request_id for one in self.received}

    def _report(self) -> dict[str, t.Any]:
        state: dict[str, t.Any] = {"state": self.state} if self.state else {}
        if self.listed_runs is not None:
            state["runs"] = [[one, 300, made, 5] for one, made in self.listed_runs.items()]
        state |= self._state_remaining()
        return state | {
            "stage": "both",
            "models": self._list_models(),
            "utilization": False,
            "sequence": self.accepted_orders,
            "queued": 0,
            "active": 0,
            "kv-used": 0,
            "kv-total": 1000,
            "handles": self.copies.handles,
        }
