"""Real nodes that are stopped while callers go on asking them, and what became of each request."""

import asyncio
import collections
import contextlib
import functools
import random
import signal
import time
import typing as t

from relay_fixture import read_answer
from relay_fixture import request

from rookspring_fakes.model_deadlines import LAST_CHUNK
from rookspring_fakes.model_server import ModelServer
from rookspring_fakes.model_steps import STREAM_EVENTS
from rookspring_fakes.model_streams import begin_events
from rookspring_fakes.model_streams import make_event
from rookspring_fakes.model_streams import write_event
from rookspring_fakes.model_unframed import write_unframed_events
from rookspring_fakes.processes import SERVICE
from rookspring_fakes.processes import ProcessStage
from rookspring_fakes.processes import write_table

KINDS = ("safe", "unsafe", "stream", "resumable")
# How long endpoints take for an answer, in seconds: some longer than the grace period.
WORK_S = (0.02, 0.02, 0.5, 2.0, 12.0)
ROUTE_TIMEOUT_MS = 13000
CALLERS = 40
NOT_RUN = (408, 421, 429, 503)
# The time before the end of the grace period at which a node ends what is left, with some more for
# a busy machine, in seconds.
MARGIN_S = 1.2
PATIENCE_S = 16.0
# The share of streams that end with their connection, in rows that have such.
CLOSES_SHARE = 0.5


class WorkingServer(ModelServer):
    """An endpoint that works on each request for as long as its caller says."""

    # The streams that it has ended with their connection.
    closed = 0

    async def _take_step(self, name, request, writer):
        work_s = float(request.headers.get("x-work", "0"))
        if "/stream/" not in request.line and "/resumable/" not in request.line:
            await self._work(work_s, writer)
            await super()._take_step("answer", request, writer)
            return
        closes = self.random.random() < self.unframed_share
        if closes:
            await write_unframed_events(self, request, writer, 0)
        else:
            begin_events(self, request, writer)
        first = int(request.headers.get("last-event-id") or 0) + 1
        with self.send_stream(request, writer):
            for number in range(first, STREAM_EVENTS + 1):
                event = make_event(self, number)
                (writer.write if closes else functools.partial(write_event, writer))(event)
                await writer.drain()
                await self._work(work_s / STREAM_EVENTS, writer)
        if closes:
            self.closed += 1
            writer.close()
        else:
            writer.write(LAST_CHUNK)

    async def _work(self, work_s, writer):
        await asyncio.sleep(work_s)
        if writer.is_closing():
            raise ConnectionResetError


class WorkingStage(ProcessStage):
    """Nodes whose endpoints work for as long as callers say."""

    server_class = WorkingServer


class Asked(t.NamedTuple):
    """A request and what became of it; times in seconds of the monotonic clock."""

    ident: str
    kind: str
    node: str
    work_s: float
    began: float
    ended: float
    status: int
    whole: bool
    body: bytes


class StopRow:
    """One play: its nodes, its callers and what the callers saw."""

    def __init__(self, nodes, seed, grace_s):
        self.random = random.Random(seed)
        self.stage = WorkingStage(nodes, 4, seed, grace_s=grace_s)
        self.asked: list[Asked] = []
        self.term_at = 0.0
        # The endpoint that was killed, and when.
        self.killed: ModelServer | None = None

    async def start(self):
        await self.stage.start()
        self.stage.version += 1
        table = write_table(self.stage.version)
        for row in table["routes"]:
            row["timeout-ms"] = ROUTE_TIMEOUT_MS
        await self.stage.store.write("config", "main", table)
        await asyncio.sleep(1.0)
        return self

    async def play(self, stopped, trouble):
        """Stop some nodes under their callers, with a trouble; wait until they are gone."""
        nodes = self.stage.nodes[:stopped]
        gone = asyncio.Event()
        callers = [
            asyncio.create_task(self._call(nodes[number % stopped], number, gone))
            for number in range(CALLERS)
        ]
        await TROUBLES[trouble](self, nodes, before=True)
        await asyncio.sleep(1.5)
        self.term_at = time.monotonic()
        for node in nodes:
            node.signal(signal.SIGTERM)
        await TROUBLES[trouble](self, nodes, before=False)
        self.exited = [await node.wait_exit(self.stage.grace_s + 1.5) for node in nodes]
        self.took_s = time.monotonic() - self.term_at
        gone.set()
        self.stage.store.faults.outage = False
        await asyncio.gather(*callers)
        await self.stage.stop()

    async def _call(self, node, number, gone):
        """Ask again and again, on one connection or on a new one each time."""
        connection = None
        count = 0
        while not gone.is_set():
            count += 1
            try:
                if connection is None or number % 2:
                    connection = await self._reopen(node, connection)
            except OSError:
                connection = None
                await asyncio.sleep(0.1)
                continue
            keeps = await self._ask(node, f"q{number}-{count}", connection)
            if not keeps:
                connection[1].close()
                connection = None
        if connection is not None:
            connection[1].close()

    async def _reopen(self, node, connection):
        if connection is not None:
            connection[1].close()
        return await asyncio.open_connection(*node.address)

    async def _ask(self, node, ident, connection):
        reader, writer = connection
        kind = self.random.choice(KINDS)
        work_s = self.random.choice(WORK_S)
        raw = request(kind, headers=(f"X-Work: {work_s}",)).replace(
            b": q1\r\n", f": {ident}\r\n".encode()
        )
        began = time.monotonic()
        status, whole, body, keeps = 0, False, b"", False
        if reader.at_eof():
            return False
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(raw)
            answer = await read_answer(reader, PATIENCE_S)
            status, whole, body = answer.status, answer.whole, answer.body
            keeps = whole and answer.headers.get("connection", "").lower() != "close"
        self.asked.append(
            Asked(ident, kind, node.name, work_s, began, time.monotonic(), status, whole, body)
        )
        await asyncio.sleep(0.02 if status == 200 else 0.2)
        return keeps

    # What became of the requests.

    def runs(self):
        """Return how often each request reached an endpoint."""
        return collections.Counter(
            one.request_id for server in self.stage.servers for one in server.received
        )

    def faults(self):
        """Return each request that broke a promise, with what it broke."""
        runs = self.runs()
        found = []
        for one in self.asked:
            fault = self._find_fault(one, runs[one.ident])
            if fault:
                found.append((fault, *one[1:4], round(one.began - self.term_at, 2)))
        return found

    def _find_fault(self, one, ran):
        if one.status == 0:
            # A request that crosses the close of its connection may go unread.
            return "ran, no answer" if ran else ""
        if one.status in NOT_RUN and ran:
            return f"{one.status}, and ran"
        if one.kind == "unsafe" and ran > 1:
            return "ran twice"
        if one.status != 200:
            return "" if one.whole else "torn"
        if not one.whole:
            return "" if self._may_be_cut(one) else "cut"
        return "" if self._is_right(one) else "bytes"

    def _may_be_cut(self, one):
        if one.kind not in ("stream", "resumable"):
            return False
        if one.kind == "stream" and (self._ran_at_killed(one) or self._lost_its_way(one)):
            return True
        return one.began + one.work_s > self.term_at + self.stage.grace_s - MARGIN_S

    def _ran_at_killed(self, one):
        return self.killed is not None and one.ident in self.killed.received_ids()

    def _lost_its_way(self, one):
        """Return whether its node's links to endpoints were cut while it ran at one of them."""
        cuts = next(node.cuts for node in self.stage.nodes if node.name == one.node)
        return any(one.began <= cut.done and cut.began <= one.ended for cut in cuts)

    def _is_right(self, one):
        if one.kind in ("stream", "resumable"):
            ids = [line for line in one.body.split(b"\n") if line.startswith(b"id:")]
            return ids == [b"id: %d" % (number + 1) for number in range(STREAM_EVENTS)]
        return one.body == b"answer to " + one.ident.encode()

    def describe(self):
        """Return counts of ends since the stop began, by kind."""
        ends = collections.Counter(
            (one.kind, str(one.status) if one.whole or not one.status else f"{one.status} cut")
            for one in self.asked
            if one.ended >= self.term_at
        )
        return {f"{kind} {end}": number for (kind, end), number in sorted(ends.items())}


TROUBLES: dict[str, t.Callable] = {}


def trouble(name):
    """Register what happens before and as the nodes are stopped."""

    def register(function):
        TROUBLES[name] = function
        return function

    return register


@trouble("in calm")
async def calm(row, nodes, before):
    pass


@trouble("whose endpoints end half of their streams with their connection")
async def sound_closes(row, nodes, before):
    if before:
        for server in row.stage.servers:
            server.unframed_share = CLOSES_SHARE


@trouble("without a way to endpoints")
async def no_way(row, nodes, before):
    """Have the nodes hand their requests over."""
    if before:
        for node in nodes:
            node.cut("refused")
        for node in nodes:
            while not node.note_cut():
                await asyncio.sleep(0.02)


@trouble("while the store fails")
async def store_fails(row, nodes, before):
    if not before:
        row.stage.store.faults.outage = True


@trouble("without a way to endpoints, while the store fails")
async def no_way_and_store(row, nodes, before):
    await no_way(row, nodes, before)
    await store_fails(row, nodes, before)


@trouble("as an endpoint leaves")
async def endpoint_leaves(row, nodes, before):
    if not before:
        server = row.stage.servers[0]
        await row.stage.store.write("servers", server.name, server.entry(SERVICE, "draining"))


@trouble("as an endpoint is killed")
async def endpoint_killed(row, nodes, before):
    if not before:
        await asyncio.sleep(0.3)
        row.killed = row.stage.servers[1]
        row.killed.end()


@trouble("as an endpoint leaves and another is killed")
async def endpoints_go(row, nodes, before):
    await endpoint_leaves(row, nodes, before)
    await endpoint_killed(row, nodes, before)
