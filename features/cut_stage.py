"""Nodes on loopback, some of which lose their links to all endpoints while callers ask all."""

import asyncio
import collections
import contextlib
import time
import typing as t

import ports
from relay_fixture import Answer
from relay_fixture import RelayFixture
from relay_fixture import read_answer
from relay_fixture import request
from stage_clock import TICK_S
from stage_clock import StageClock

from rookspring_fakes.cut_links import CUTS
from rookspring_fakes.cut_links import CutPool

ENDPOINTS = 3
KINDS = ("safe", "unsafe", "stream")
# Time between a caller's requests, in seconds, and the callers of each node.
PAUSE_S = 0.05
CALLERS = 2
# The longest time for which a caller waits for an answer, in seconds of the stage's clock.
ANSWER_S = 5.0
# A stall fails up to one request of each caller, two of a node. So many more tries of each node let
# 98 in 100 be told beside these; an idle machine takes so many seconds for them.
TRIES_AFTER_STALL = 100
ASK_AFTER_STALL_S = 4.0
# Stalls that a stage goes on for: it would never end where they come faster than it asks.
STALLS_MAX = 3
UNANSWERED = Answer(0, {}, b"", False)
CALLER_OFFSET = 1
PEER_OFFSET = 101
STAMP = "x-rookspring-server-stamp"
NOT_RUN = (408, 421, 429, 503)
# What is printed of a failed step: tries that were not served, and the log's lines on each.
TRIES_SHOWN_MAX = 20
LINES_SHOWN_MAX = 12


class Try(t.NamedTuple):
    """One request at a node, and how it ended."""

    node: int
    key: str
    kind: str
    sent_at: float
    answer: t.Any

    @property
    def served(self):
        return self.answer.whole and self.answer.status == 200

    @property
    def answered(self):
        return self.answer is not UNANSWERED


class CutStage:
    """Nodes with callers at each; runs in the event loop that started it.

    :param changed: settings of all nodes that differ from the usual ones.
    """

    def __init__(self, count, versions=("v1",) * ENDPOINTS, **changed):
        self.changed = changed
        self.relay = RelayFixture([()] * len(versions))
        for server, version in zip(self.relay.servers, versions, strict=True):
            server.version = version
        self.count = count
        self.nodes = []
        self.tries = []
        self.cut_at = 0.0
        self.healed_at = 0.0
        self.clock = StageClock()

    async def start(self):
        base = ports.find_base()
        rows = [
            {
                "name": f"n{number + 1}",
                "caller_address": f"127.0.0.1:{base + CALLER_OFFSET + number}",
                "peer_address": f"127.0.0.1:{base + PEER_OFFSET + number}",
                "seeds": (f"127.0.0.1:{base + PEER_OFFSET}",),
                **self.changed,
            }
            for number in range(self.count)
        ]
        for server in self.relay.servers:
            server.streams = True
        self.relay.settings_changed = rows[0]
        await self.relay.start()
        for row in rows[1:]:
            await self.relay.add_node(**row)
        self.nodes = [self.relay.node, *self.relay.others]
        for node in self.nodes:
            node.context.pool = CutPool()
        await self.relay.until(self._linked)
        return self

    def _linked(self):
        """Return whether each node knows that all others serve callers."""
        for node in self.nodes:
            peers = node.context.state.membership.peers.values()
            ready = sum(peer.heartbeat.revision > 0 for peer in peers)
            if ready != self.count - 1:
                return False
        return True

    async def ask_all(self, seconds):
        """Have callers ask each node for a time."""
        async with self.asking():
            await asyncio.sleep(seconds)

    @contextlib.asynccontextmanager
    async def asking(self):
        """Have callers ask each node, one request after another, each on a new connection."""
        over = asyncio.Event()
        callers = asyncio.gather(
            *(
                self._ask(number, f"{number}-{caller}", over)
                for number in range(self.count)
                for caller in range(CALLERS)
            )
        )
        async with self.clock.run():
            try:
                yield
            finally:
                over.set()
                await callers
        silent = [one for one in self.tries if not one.answered]
        assert not silent, f"no answer in {ANSWER_S:g} s\n" + "\n".join(self._describe(silent))

    async def ask_on(self, seconds, settle_s=0.0, tries=0):
        """Wait while callers ask for a time, and longer if this stage had too little of it.

        It goes on until it has sent enough, whether served or not, but no longer than its own clock
        takes for that time; a stage that had all its time ends at once.

        :param settle_s: count what is sent so long after the call.
        :param tries: enough of them at each node.
        """
        begun_at, own_at = time.monotonic(), self.clock.now
        stalls = len(self.clock.stalls)
        await asyncio.sleep(seconds)
        while True:
            # Not before the clock has seen the stalls up to the end.
            await asyncio.sleep(TICK_S)
            if self.clock.read_at < begun_at + seconds:
                continue
            new = min(STALLS_MAX, len(self.clock.stalls) - stalls)
            least = self._count_least(begun_at + settle_s)
            if least >= tries + new * TRIES_AFTER_STALL:
                return
            if self.clock.now >= own_at + seconds + new * ASK_AFTER_STALL_S:
                return

    def _count_least(self, begin):
        """Return how many tries were sent from a time on to the node with the fewest."""
        counts = collections.Counter(one.node for one in self.tries if one.sent_at >= begin)
        return min(counts[number] for number in range(self.count))

    async def _ask(self, number, name, over):
        count = 0
        while not over.is_set():
            kind = KINDS[count % len(KINDS)]
            key = f"{name}-{count}"
            count += 1
            sent_at = time.monotonic()
            answer = await self._send(number, request(kind, key))
            self.tries.append(Try(number, f"q{key}", kind, sent_at, answer))
            await asyncio.sleep(PAUSE_S)

    async def _send(self, number, raw):
        port = self.nodes[number].listeners["callers"].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(raw)
            reading = asyncio.ensure_future(read_answer(reader, limit_s=None))
            if await self.clock.wait(reading, ANSWER_S):
                return reading.result()
            reading.cancel()
            return UNANSWERED
        finally:
            writer.close()

    def cut(self, count, how):
        """Cut the links of the first nodes to all endpoints."""
        self.cut_at = time.monotonic()
        for node in self.nodes[:count]:
            node.context.pool.cut(CUTS[how])

    def heal(self):
        self.healed_at = time.monotonic()
        for node in self.nodes:
            node.context.pool.heal()

    def explain(self, nodes, begin, end):
        """Return how often each node served in a time, and the log of tries that were not served.

        Times are in seconds after the cut.
        """
        rows = []
        for number in range(self.count):
            share, count = self.share([number], begin, end)
            rows.append(f"n{number + 1}: {share:.3f} of {count}")
        failed = [
            one
            for one in self.tries
            if one.node in nodes and begin <= one.sent_at < end and not one.served
        ]
        return "\n".join(rows + self._describe(failed))

    def _describe(self, tries):
        """Return when the stage stood still, and the log of some tries."""
        rows = []
        for stall in self.clock.stalls:
            at = stall.begun_at - self.cut_at
            rows.append(f"stood still for {stall.ended_at - stall.begun_at:.2f} s at {at:.2f} s")
        for one in tries[:TRIES_SHOWN_MAX]:
            answer = f"{one.answer.status} {'whole' if one.answer.whole else 'cut'}"
            at = one.sent_at - self.cut_at
            rows.append(f"n{one.node + 1} {one.key} {one.kind} at {at:.2f} s: {answer}")
            lines = [line.rstrip() for line in self.relay.log_lines if f"={one.key} " in line]
            rows += [f"    {line}" for line in lines[:LINES_SHOWN_MAX]]
        return rows

    def share(self, cut, begin, end):
        """Return the share of the tries sent in a time that were served, and their number."""
        chosen = [one for one in self.tries if one.node in cut and begin <= one.sent_at < end]
        return sum(one.served for one in chosen) / max(1, len(chosen)), len(chosen)
