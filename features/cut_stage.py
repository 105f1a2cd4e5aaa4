"""Nodes on loopback, some of which lose their links to all endpoints while callers ask all."""

import asyncio
import time
import typing as t

import ports
from relay_fixture import RelayFixture
from relay_fixture import read_answer
from relay_fixture import request

from rookspring_fakes.cut_links import CUTS
from rookspring_fakes.cut_links import CutPool

ENDPOINTS = 3
KINDS = ("safe", "unsafe", "stream")
# Time between a caller's requests, in seconds, and the callers of each node.
PAUSE_S = 0.05
CALLERS = 2
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


class CutStage:
    """Nodes with callers at each; runs in the event loop that started it."""

    def __init__(self, count, versions=("v1",) * ENDPOINTS):
        self.relay = RelayFixture([()] * len(versions))
        for server, version in zip(self.relay.servers, versions, strict=True):
            server.version = version
        self.count = count
        self.nodes = []
        self.tries = []
        self.cut_at = 0.0
        self.healed_at = 0.0

    async def start(self):
        base = ports.find_base()
        rows = [
            {
                "name": f"n{number + 1}",
                "caller_address": f"127.0.0.1:{base + CALLER_OFFSET + number}",
                "peer_address": f"127.0.0.1:{base + PEER_OFFSET + number}",
                "seeds": (f"127.0.0.1:{base + PEER_OFFSET}",),
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
        """Have callers ask each node, one request after another, each on a new connection."""
        end = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._ask(number, f"{number}-{caller}", end)
                for number in range(self.count)
                for caller in range(CALLERS)
            )
        )

    async def _ask(self, number, name, end):
        count = 0
        while time.monotonic() < end:
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
            return await read_answer(reader)
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
        for one in failed[:TRIES_SHOWN_MAX]:
            answer = f"{one.answer.status} {'whole' if one.answer.whole else 'cut'}"
            at = one.sent_at - self.cut_at
            rows.append(f"n{one.node + 1} {one.key} {one.kind} at {at:.2f} s: {answer}")
            lines = [line.rstrip() for line in self.relay.log_lines if f"={one.key} " in line]
            rows += [f"    {line}" for line in lines[:LINES_SHOWN_MAX]]
        return "\n".join(rows)

    def share(self, cut, begin, end):
        """Return the share of the tries sent in a time that were served, and their number."""
        chosen = [one for one in self.tries if one.node in cut and begin <= one.sent_at < end]
        return sum(one.served for one in chosen) / max(1, len(chosen)), len(chosen)
