"""Two linked nodes that answer the rows of a table of ends; the first reaches no endpoint.

Requests are sent to the second node, or to the first, which hands them over to it. Endpoints of
which a row has told the nodes something are replaced before the next row.
"""

import asyncio
import contextlib
import socket
import time

from cut_stage import STAMP
from cut_stage import CutStage
from relay_fixture import configuration
from relay_fixture import read_answer
from relay_fixture import request
from stage_clock import TICK_S

from rookspring import clock
from rookspring_core.break_moments import BreakMoments
from rookspring_core.close_records import CloseRecords
from rookspring_core.events import ReachProbed
from rookspring_core.planned_ends import EndpointStops
from rookspring_fakes import ends_checks
from rookspring_fakes.ends_checks import Outcome
from rookspring_fakes.ends_checks import View
from rookspring_fakes.ends_table import STREAMS
from rookspring_fakes.planned_runs import SOME_EVENTS
from rookspring_fakes.planned_runs import PlannedServer
from rookspring_fakes.planned_runs import RunBook
from rookspring_fakes.planned_runs import RunPlan

ENDPOINTS = 2
ROUTE_MS = 8000
# So that the rows before leave enough resends for each: a row has up to ATTEMPTS for each request.
RETRY_SHARE = 4.0
# What callers state where an endpoint sends nothing more, or ends at its deadline.
SHORT_MS = 300
# The longest time that a caller waits, and until all runs have ended after it, in seconds.
ANSWER_S = 12.0
RUNS_END_S = 1.5
# A caller that reads slowly: its socket buffer and what each event is longer by, in bytes, and the
# time before each read, in seconds.
SLOW_BUFFER_BYTES = 16 << 10
SLOW_PADDING_BYTES = 200 << 10
SLOW_READ_S = 0.01
# A caller leaves so long after its run began, which is about when that ends, in seconds.
LEAVES_S = 0.01
RUN_COMES_S = 1.0
# After half of its body a run is ended by a crash so long after, which is no body that was written
# at once, in seconds.
HALF_BODY_S = 0.02
TAKE_UPS_MAX = 4
TAKE_UP_S = 0.1
LINES_SHOWN_MAX = 40
# A row is played again if its run has not come about, or if a rule is broken while the stage lacked
# this much of its time, in seconds.
LACKED_S = 0.1
PLAYS_MAX = 5
# How the run before a resumed one ends.
BROKEN = RunPlan("chunks", "fin", "dropped", "some")
# A run that its caller breaks off, to take its stream up.
HELD = RunPlan("chunks", "silence", "dropped", "some")


class SlowReader:
    """Reads after a pause."""

    def __init__(self, reader):
        self._reader = reader

    async def readuntil(self, separator):
        await asyncio.sleep(SLOW_READ_S)
        return await self._reader.readuntil(separator)

    async def readexactly(self, number):
        await asyncio.sleep(SLOW_READ_S)
        return await self._reader.readexactly(number)


class EndsStage:
    """The nodes and the endpoints of the row that runs; used in the event loop that started it."""

    def __init__(self):
        self._stage = CutStage(2, versions=("v1",), retry_share=RETRY_SHARE)
        self._relay = self._stage.relay
        self._servers = []
        self._rows = 0

    async def start(self):
        await self._stage.start()
        await self._take_configuration()
        await self._isolate_first()
        return self

    async def close(self):
        await self._relay.close()
        for server in self._servers:
            await server.close()

    async def _take_configuration(self):
        changed = configuration(6)
        for route in changed["routes"]:
            route["timeout-ms"] = ROUTE_MS
        await self._relay.store.write("config", "main", changed)
        states = self._states()
        await self._relay.until(lambda: all(one.table.version == 6 for one in states))

    async def _isolate_first(self):
        node = self._stage.nodes[0].context
        self._stage.cut(1, "refused")
        node.submit(ReachProbed(clock.now(), False))
        peers = self._states()[1].membership.peers
        name = node.state.identity.name
        await self._relay.until(lambda: peers[name].heartbeat.isolated)

    def _states(self):
        return [node.context.state for node in self._stage.nodes]

    async def play(self, row):
        """Play one row, and return what came of it.

        Rows have short deadlines, so one that had too little processor time for them is played
        again.
        """
        clock = self._stage.clock
        for _ in range(PLAYS_MAX):
            async with clock.run():
                begun_at, own_at = time.monotonic(), clock.now
                outcome = await self._play(row)
                if outcome.met and not ends_checks.find_broken(outcome):
                    return outcome
                # The clock counts in steps.
                await asyncio.sleep(2 * TICK_S)
                lacked_s = clock.read_at - begun_at - (clock.now - own_at)
            if outcome.met and lacked_s < LACKED_S:
                return outcome
        return outcome

    async def _play(self, row):
        self._rows += 1
        padding = SLOW_PADDING_BYTES if row.caller == "reads slowly" else 0
        book = RunBook(f"row{self._rows}", _plan(row), padding, self._have_leave)
        await self._prepare_servers(book)
        view = await self._ask(row, book)
        ended_at = time.monotonic()
        while _count_open(book) and time.monotonic() < ended_at + RUNS_END_S:
            await asyncio.sleep(0.005)
        open_runs = _count_open(book)
        if view.left_at:
            left_s = view.left_at + ends_checks.ON_ITS_WAY_S - time.monotonic()
            await asyncio.sleep(max(0.0, left_s) + 0.02)
        whole = book.make_whole(row.kind)
        return Outcome(row, view, whole, list(book.runs), open_runs, met=not book.plans)

    async def _prepare_servers(self, book):
        """Have the endpoints run by a book, and replace them if one has ended or is leaving.

        Failures that rows before have counted against them are forgotten, and how endpoints ended
        and closed their answers.
        """
        for state in self._states():
            state.endpoint_stops = EndpointStops(state.endpoint_stops.serves_s)
            state.close_records = CloseRecords()
            state.break_moments = BreakMoments()
        views = [s.endpoints[one.name] for s in self._states() for one in self._servers]
        gone = any(view.leaving or view.gone or view.down for view in views)
        if gone or not self._servers or any(server.ended for server in self._servers):
            await self._replace_servers(book)
        for view in views:
            view.forget_failures()
        for server in self._servers:
            server.book = book

    async def _replace_servers(self, book):
        """List endpoints for a row, and then remove those of the rows before."""
        before = [*self._relay.servers, *self._servers]
        self._relay.servers = []
        names = [f"{book.tag}-{number}" for number in range(ENDPOINTS)]
        self._servers = [PlannedServer(name, book) for name in names]
        for server in self._servers:
            await server.start()
            await self._relay.store.write("servers", server.name, server.entry("svc"))
        for server in before:
            await self._relay.store.remove("servers", server.name)
        await self._relay.until(lambda: all(_list_used(one) == names for one in self._states()))
        for server in before:
            await server.close()

    async def _have_leave(self, server):
        await self._relay.store.write("servers", server.name, server.entry("svc", "draining"))
        views = [state.endpoints[server.name] for state in self._states()]
        await self._relay.until(lambda: all(view.leaving for view in views))

    async def _ask(self, row, book):
        if row.caller == "leaves":
            return await self._ask_and_leave(row, book)
        if row.caller == "takes up":
            return await self._take_up(row, book)
        async with self._send(row, f"{book.tag}-0", row.caller == "reads slowly") as reader:
            return _read_view([await read_answer(reader, ANSWER_S)])

    async def _ask_and_leave(self, row, book):
        async with self._send(row, f"{book.tag}-0"):
            with contextlib.suppress(AssertionError):
                await self._relay.until(lambda: not book.plans, RUN_COMES_S)
            await asyncio.sleep(LEAVES_S)
        return View(0, b"", False, True, time.monotonic())

    async def _take_up(self, row, book):
        """Break off a stream, and take it up until it is told as complete."""
        answers = []
        async with self._send(row, f"{book.tag}-0") as reader:
            answer = _Partial()
            await answer.read_events(reader, SOME_EVENTS)
            answers.append(answer)
        for number in range(TAKE_UPS_MAX):
            events = sum(one.body.count(b"\n\n") for one in answers)
            headers = (f"Resumes: {book.tag}-0", f"Last-Event-Id: {events}")
            key = f"{book.tag}-{number + 1}"
            short = number == 0
            async with self._send(row, key, headers=headers, short=short) as reader:
                answer = await read_answer(reader, ANSWER_S)
            if answer.status == 200:
                answers.append(answer)
                if answer.whole:
                    break
            await asyncio.sleep(TAKE_UP_S)
        return _read_view(answers)

    @contextlib.asynccontextmanager
    async def _send(self, row, key, slow=False, headers=(), short=None):
        """Send a request on a connection of its own, and close that at the end.

        :param short: whether its caller waits for a short time, if the row is one of these.
        """
        node = self._stage.nodes[0 if row.place == "handed over" else 1]
        raw = socket.socket()
        if slow:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        raw.setblocking(False)
        port = node.listeners["callers"].port
        await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", port))
        limit = SLOW_BUFFER_BYTES if slow else 1 << 20
        reader, writer = await asyncio.open_connection(sock=raw, limit=limit)
        is_short = row.caller != "takes up" if short is None else short
        deadline_ms = SHORT_MS if is_short and _is_short(row) else None
        data = request(row.kind, key, deadline_ms, headers=headers)
        # Paths are part of what a request is known by.
        writer.write(data.replace(b"/x HTTP", f"/{key} HTTP".encode(), 1))
        try:
            yield SlowReader(reader) if slow else reader
        finally:
            writer.close()

    def describe(self, outcome):
        """Return what came of a row, and the log of its last requests."""
        view = outcome.view
        runs = "; ".join(f"{one.request_id}: {', '.join(one.plan[:4])}" for one in outcome.runs)
        told = "complete" if view.complete else "cut"
        size = f"{len(view.body)} of {len(outcome.whole)} bytes"
        rows = [f"    {view.status}, {told}, {size}, open {outcome.open_runs}; runs: {runs}"]
        lines = [line.rstrip() for line in self._relay.log_lines if f"=qrow{self._rows}-" in line]
        return "\n".join([*rows, *(f"    {line}" for line in lines[-LINES_SHOWN_MAX:])])


class _Partial:
    """The beginning of a stream, which its caller breaks off."""

    status = 200
    whole = False

    def __init__(self):
        self.headers = {}
        self.body = b""

    async def read_events(self, reader, number):
        async with asyncio.timeout(ANSWER_S):
            head = await reader.readuntil(b"\r\n\r\n")
            self.headers[STAMP] = STAMP.encode() in head.lower()
            while self.body.count(b"\n\n") < number:
                size = int(await reader.readuntil(b"\r\n"), 16)
                self.body += (await reader.readexactly(size + 2))[:-2]


def _plan(row):
    """Return the plans of a row's runs: those before it, and its own."""
    plans = []
    if row.caller == "takes up":
        plans.append(HELD)
    if row.place == "resumed":
        # Its caller has all that came before, so that the rest has still to come.
        plans.append(BROKEN._replace(point="head") if row.caller == "takes up" else BROKEN)
    hold_s = LEAVES_S if row.caller == "leaves" else 0.0
    if row.cause == "crash" and row.point == "some" and row.kind not in STREAMS:
        hold_s = HALF_BODY_S
    return [*plans, RunPlan(row.framing, row.end, row.cause, row.point, hold_s)]


def _is_short(row):
    return row.cause == "deadline" or row.end == "silence"


def _list_used(state):
    return sorted(name for name, view in state.endpoints.items() if not view.gone)


def _count_open(book):
    return sum(not run.ended_at for run in book.runs)


def _read_view(answers):
    last = answers[-1]
    good = [one for one in answers if one.status == 200]
    stamped = all(one.headers.get(STAMP) for one in good)
    return View(last.status, b"".join(one.body for one in good), last.whole, stamped, 0.0)
