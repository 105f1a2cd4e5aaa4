"""Fake model server whose runs end as a row of :mod:`ends_table` plans, and what each run made."""

import asyncio
import time
import typing as t

from .ends_table import EXITS
from .ends_table import STOPS
from .model_deadlines import wait_for_deadline
from .model_server import ModelServer
from .model_steps import ReceivedRequest
from .model_steps import record_run
from .model_steps import send
from .model_steps import step
from .resets import reset_connection

EVENTS = 5
# Events that a run sends before it ends early.
SOME_EVENTS = 2
BODY_BYTES = 200
STEP = "planned run"
LAST_CHUNK = b"0\r\n\r\n"
# The time between two events, for which a preempted run stands still, and after which a run ends
# that no one has ended, in seconds.
PAUSE_S = 0.003
PREEMPTED_S = 0.03
SILENT_S = 8.0
CHECK_S = 0.002


class RunPlan(t.NamedTuple):
    """How a run ends; the fields are those of :class:`ends_table.Row`.

    :param hold_s: the time between what was sent and its end.
    """

    framing: str = "chunks"
    end: str = "last byte"
    cause: str = "done"
    point: str = "all"
    hold_s: float = 0.0


class PlannedRun:
    """A run of a request, and when it began and ended at the endpoint, in seconds."""

    def __init__(self, request_id: str, plan: RunPlan) -> None:
        self.request_id = request_id
        self.plan = plan
        self.begun_at = time.monotonic()
        self.ended_at = 0.0


class RunBook:
    """What the endpoints of one row make: the plan of each run, in their order, and the runs.

    Runs beyond the plans are whole and in chunks.

    :param tag: stands in each event and body, so that those of other rows are told apart.
    :param padding: bytes that each event or body is longer.
    :param leave: has all nodes know that an endpoint is leaving.
    """

    def __init__(
        self,
        tag: str,
        plans: t.Sequence[RunPlan],
        padding: int,
        leave: t.Callable[[ModelServer], t.Awaitable[None]],
    ) -> None:
        self.tag = tag
        self.plans = list(plans)
        self.padding = padding
        self.leave = leave
        self.runs: list[PlannedRun] = []

    def make_event(self, number: int) -> bytes:
        """Return an event of the stream."""
        return f"id: {number}\ndata: {self.tag} {number}{'.' * self.padding}\n\n".encode()

    def make_whole(self, kind: str) -> bytes:
        """Return the whole answer to a request of a kind: events, or a value of JSON."""
        if kind in ("stream", "resumable"):
            return b"".join(self.make_event(number + 1) for number in range(EVENTS))
        text = f"{self.tag} "
        return f'"{text * ((BODY_BYTES + self.padding) // len(text))}"'.encode()

    def list_parts(self, request: ReceivedRequest) -> list[bytes]:
        """Return what is left to send to a request, each event or half of a body by itself."""
        kind = request.line.split("/")[1]
        if kind in ("stream", "resumable"):
            last = int(request.headers.get("last-event-id") or 0)
            return [self.make_event(number) for number in range(last + 1, EVENTS + 1)]
        body = self.make_whole(kind)
        return [body[: len(body) // 2], body[len(body) // 2 :]]


class PlannedServer(ModelServer):
    """An endpoint whose runs are those of a book."""

    clock_ahead_s = 0.005

    def __init__(self, name: str, book: RunBook) -> None:
        super().__init__(name)
        self.book = book
        self._readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers[writer] = reader
        await super()._serve(reader, writer)

    def _choose_step(self, request: ReceivedRequest) -> str:
        return STEP

    def stop_listening(self) -> None:
        """End without a trace on the open connections, as a machine without power does."""
        self.ended = True
        if self._server is not None:
            self._server.close()

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    async def wait(self, writer: asyncio.StreamWriter, seconds: float) -> None:
        """Wait for a time.

        :raises ConnectionResetError: if the other side has closed the connection.
        """
        until = time.monotonic() + seconds
        while True:
            if writer.is_closing() or self._readers[writer].at_eof():
                raise ConnectionResetError
            if (left_s := until - time.monotonic()) <= 0.0:
                return
            await asyncio.sleep(min(left_s, CHECK_S))


@step(STEP)
async def _run_as_planned(
    server: "ModelServer", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    assert isinstance(server, PlannedServer)
    book = server.book
    plan = book.plans.pop(0) if book.plans else RunPlan()
    run = PlannedRun(request.request_id, plan)
    book.runs.append(run)
    try:
        await _Answer(server, request, writer, plan).send()
    finally:
        run.ended_at = time.monotonic()


class _Answer:
    """One answer on its connection."""

    def __init__(
        self,
        server: PlannedServer,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        plan: RunPlan,
    ) -> None:
        self._server = server
        self._request = request
        self._writer = writer
        self._plan = plan
        self._parts = server.book.list_parts(request)

    async def send(self) -> None:
        """Send what the run makes, and end as planned.

        One that ends early at an endpoint that is leaving ends without a pause: its endpoint has
        told that before it began.
        """
        if self._plan.point != "all":
            await self._have_left()
        self._write_head()
        sent = self._count_before_end()
        await self._write_parts(self._parts[:sent])
        if self._plan.point == "torn" and sent < len(self._parts):
            part = self._parts[sent]
            self._write(part[: len(part) // 2])
        await self._flush()
        await self._server.wait(self._writer, self._plan.hold_s)
        await self._await_cause()
        if self._plan.point == "all":
            await self._have_left()
            await self._write_parts(self._parts[sent:])
        await self._end()

    def _count_before_end(self) -> int:
        """Return how many parts are sent before the cause of the end comes about."""
        if self._plan.point == "head":
            return 0
        if self._plan.point == "all":
            return len(self._parts) // 2
        return min(SOME_EVENTS, len(self._parts) - 1)

    def _write_head(self) -> None:
        headers = record_run(self._server, self._request)
        headers["Content-Length"] = ""
        if self._request.line.split("/")[1] in ("stream", "resumable"):
            headers["Content-Type"] = "text/event-stream"
        else:
            headers["Content-Type"] = "application/json"
        if self._plan.framing == "length":
            headers["Content-Length"] = str(sum(len(part) for part in self._parts))
        elif self._plan.framing == "chunks":
            headers["Transfer-Encoding"] = "chunked"
        send(self._server, self._writer, 200, b"", headers)

    async def _write_parts(self, parts: t.Iterable[bytes]) -> None:
        for part in parts:
            self._write(part)
            await self._writer.drain()
            await self._server.wait(self._writer, PAUSE_S)

    def _write(self, data: bytes) -> None:
        if self._plan.framing == "chunks":
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._writer.write(data)

    async def _flush(self) -> None:
        """Wait until the kernel has all that was written, which a reset or a crash may drop."""
        while self._writer.transport.get_write_buffer_size():
            await self._server.wait(self._writer, CHECK_S)

    async def _await_cause(self) -> None:
        cause = self._plan.cause
        if cause == "deadline":
            await wait_for_deadline(self._server, self._request)
        elif cause == "preempted":
            await self._server.wait(self._writer, PREEMPTED_S)

    async def _have_left(self) -> None:
        if self._plan.cause in STOPS:
            await self._server.book.leave(self._server)

    async def _end(self) -> None:
        plan = self._plan
        ends_process = plan.cause in EXITS
        whole = plan.end == "last byte"
        if plan.framing == "chunks" and (whole or plan.end == "clean early"):
            self._writer.write(LAST_CHUNK)
        await self._flush()
        if plan.end == "silence":
            if ends_process:
                self._server.stop_listening()
            await self._server.wait(self._writer, SILENT_S)
        elif plan.end == "rst":
            reset_connection(self._writer.transport)
            if ends_process:
                self._server.reset_all()
                self._server.end()
        elif ends_process:
            self._server.end()
        elif plan.end == "fin" or plan.framing == "neither":
            self._writer.close()
