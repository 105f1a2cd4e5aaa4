"""Counts the connections that nodes keep to an endpoint whose refusals they send again.

Each node has the daemon's own pool; endpoint and time are simulated. All nodes send a request to
the endpoint at the same moment, again and again, so that it refuses some of them. A request is not
sent again on a connection that has carried it, so each resend may need another connection.
"""

import argparse
import asyncio
import contextlib
import heapq
import itertools
import typing as t
from unittest import mock

from rookspring import _connection_pool
from rookspring import clock
from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection
from rookspring.http_client import ConnectionPool

from .registry import experiment
from .registry import report

ADDRESS = "127.0.0.1:1"
WAVE_S = 0.9
RUN_S = 0.2
RESEND_S = 0.25
ATTEMPTS = 3
SWEEP_S = 1.0
KEEP_ALIVE_S = 5
ANSWER = (
    b"HTTP/1.1 %d X\r\nX-Rookspring-Request-Id: %b\r\nKeep-Alive: timeout=%d\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class _Timeline:
    """Calls at simulated times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, t.Callable[[], None]]] = []

    def at(self, moment: float, call: t.Callable[[], None]) -> None:
        heapq.heappush(self._calls, (moment, next(self._numbers), call))

    def run(self, until: float) -> None:
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()


class _Transport:
    """The endpoint's end of a connection."""

    def __init__(self, endpoint: "_Endpoint", connection: ClientConnection) -> None:
        self._endpoint = endpoint
        self._connection = connection
        self.open = True
        endpoint.note_open(1)
        connection.connection_made(self)

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        self._endpoint.take(self._connection, data)

    def abort(self) -> None:
        if self.open:
            self.open = False
            self._endpoint.note_open(-1)


class _Endpoint:
    """Serves some requests at once, queues some, and refuses the others.

    :param connections_max: it resets connections beyond these.
    """

    def __init__(self, timeline: _Timeline, slots: int, queue: int, connections_max: float) -> None:
        self._timeline = timeline
        self._slots = slots
        self._queue = queue
        self._free_at: list[float] = []
        self.connections_max = connections_max
        self.open = self.most_open = self.opened = self.resets = self.refusals = self.runs = 0

    def note_open(self, change: int) -> None:
        self.open += change
        self.opened += change > 0
        self.most_open = max(self.most_open, self.open)

    def take(self, connection: ClientConnection, request_id: bytes) -> None:
        now = self._timeline.now
        while self._free_at and self._free_at[0] <= now:
            heapq.heappop(self._free_at)
        status, ends_at = 503, now
        if len(self._free_at) < self._slots + self._queue:
            running = sorted(self._free_at)[-self._slots :]
            begins_at = running[0] if len(running) >= self._slots else now
            status, ends_at = 200, begins_at + RUN_S
            heapq.heappush(self._free_at, ends_at)
        self.runs += status == 200
        self.refusals += status == 503
        answer = ANSWER % (status, request_id, KEEP_ALIVE_S)
        self._timeline.at(ends_at, lambda: connection.data_received(answer))


class _Node:
    """A node's pool, and its requests."""

    def __init__(self, timeline: _Timeline, endpoint: _Endpoint, number: int) -> None:
        self._timeline = timeline
        self._endpoint = endpoint
        self._number = number
        self._waves = itertools.count()
        self.pool = ConnectionPool()
        self.pool._open = self._open  # type: ignore[method-assign]
        self.without_room = 0
        self.ended_unserved = 0

    async def _open(self, address: str) -> ClientConnection:
        endpoint = self._endpoint
        if endpoint.open >= endpoint.connections_max:
            endpoint.resets += 1
            self.pool._reset_new_at[address] = self._timeline.now
            raise EndpointError("reset as it was opened", sent=False)
        connection = ClientConnection()
        _Transport(endpoint, connection)
        return connection

    def begin(self) -> None:
        """Send a request, and plan the next one."""
        self._timeline.at(self._timeline.now + WAVE_S, self.begin)
        self._send(f"w{next(self._waves)}-{self._number}", 1)

    def _send(self, request_id: str, attempt: int) -> None:
        try:
            connection = _finish(self.pool.acquire(ADDRESS, True, request_id))
        except EndpointError:
            self.without_room += 1
            return
        reply = connection.send_request(
            request_id.encode(), lambda head: True, lambda head: None, False, request_id
        )

        def look() -> None:
            if not reply.complete:
                self._timeline.at(self._timeline.now + 0.01, look)
                return
            self.pool.release_or_close(ADDRESS, connection)
            assert reply.head is not None
            if reply.head.status == 200:
                return
            if attempt == ATTEMPTS:
                self.ended_unserved += 1
                return
            resend_at = self._timeline.now + RESEND_S
            self._timeline.at(resend_at, lambda: self._send(request_id, attempt + 1))

        self._timeline.at(self._timeline.now, look)


def _finish(work: t.Coroutine[t.Any, t.Any, ClientConnection]) -> ClientConnection:
    """Run a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration as end:
        connection: ClientConnection = end.value
        return connection
    raise RuntimeError("it waits")


async def _wait_for_nothing(seconds: float) -> None:
    pass


def _never(*args: t.Any) -> bool:
    return False


def _play(args: argparse.Namespace, connections_max: float, skips: bool) -> dict[str, t.Any]:
    timeline = _Timeline()
    endpoint = _Endpoint(timeline, args.slots, args.queue, connections_max)
    nodes = [_Node(timeline, endpoint, number) for number in range(args.nodes)]
    for node in nodes:
        timeline.at(0.0, node.begin)

    def sweep() -> None:
        for node in nodes:
            node.pool.sweep(timeline.now)
        timeline.at(timeline.now + SWEEP_S, sweep)

    sweep()
    carry_again = mock.patch.object(ClientConnection, "has_carried", _never)
    with (
        contextlib.nullcontext() if skips else carry_again,
        mock.patch.object(clock, "now", lambda: timeline.now),
        mock.patch.object(_connection_pool.asyncio, "sleep", _wait_for_nothing),
    ):
        timeline.run(args.seconds)
    return {
        "a resend takes": "another connection" if skips else "any kept one",
        "takes at most": connections_max,
        "most open": endpoint.most_open,
        "opened": endpoint.opened,
        "resets": endpoint.resets,
        "runs": endpoint.runs,
        "refusals": endpoint.refusals,
        "found no room": sum(node.without_room for node in nodes),
        "unserved": sum(node.ended_unserved for node in nodes),
    }


@experiment("kept-connections")
def compare(arguments: list[str]) -> int:
    """Compare how many connections an endpoint gets, with and without resends on any."""
    parser = argparse.ArgumentParser(prog="kept-connections")
    parser.add_argument("--nodes", type=int, default=195)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--queue", type=int, default=64)
    parser.add_argument("--connections", type=int, default=370)
    parser.add_argument("--seconds", type=float, default=30.0)
    args = parser.parse_args(arguments)

    async def play_all() -> list[dict[str, t.Any]]:
        return [
            _play(args, most, skips)
            for most in (float("inf"), args.connections)
            for skips in (False, True)
        ]

    rows = asyncio.run(play_all())
    report("kept-connections", "connections of all nodes to one endpoint", rows)
    return 0
