"""Model of a runner: continuous batching, memory, loads, streams and orders.

The model does no I/O: :meth:`Engine.advance` moves it to a point in time. ``runner.py`` serves it
over HTTP; in the simulation the virtual clock drives it directly. All running streams share the
token rate evenly, so one counter of tokens per stream, ``progress``, stands for all of them: a
stream ends when the counter reaches the stream's ``end_progress``.
"""

import heapq
import typing as t
import zlib

from .faults import Faults

WeightsKey = tuple[str, str]


class NotRun(Exception):
    """The engine refused a request without running any of it."""


class Order(t.NamedTuple):
    """An order to an endpoint; ``token`` is its fencing token, (epoch, sequence)."""

    token: tuple[int, int]
    action: str
    key: WeightsKey
    gb: float
    incarnation: str = ""


class GenerationRequest(t.NamedTuple):
    """A request for the tokens from ``offset`` up to ``total``.

    :param rank: priority in the engine's queue; a higher rank runs first.
    :param prefill: number of prompt tokens to process before the first token.
    """

    stream_id: str
    model: str
    adapter: str
    prompt: str
    total: int
    offset: int = 0
    rank: int = 1
    prefill: int = 0


class Stream:
    """The state of one stream of an engine."""

    __slots__ = (
        "request",
        "cancelled",
        "end_progress",
        "ended_at",
        "reader",
        "start_progress",
        "started",
    )

    def __init__(self, request: GenerationRequest) -> None:
        self.request = request
        self.started = False
        self.cancelled = False
        self.ended_at: float | None = None
        self.start_progress = 0.0
        self.end_progress = 0.0
        # The number of times the stream was resumed, which identifies its latest connection.
        self.reader = 0


def token_text(model: str, prompt: str, index: int) -> str:
    """Return one token; it holds a hash of the prompt, so that tests detect another's tokens."""
    digest = zlib.crc32(f"{model}\x00{prompt}".encode())
    return f"{digest:08x}.{index} "


class WeightStore:
    """The store that all runners load weights from, which slows down under concurrent loads."""

    def __init__(self, loads_at_once: int = 10, gb_per_s: float = 6.0) -> None:
        self.loads_at_once = loads_at_once
        self.gb_per_s = gb_per_s
        self.running = 0
        self.loads = 0

    def begin(self, gb: float) -> float:
        """Start a load and return its duration in seconds.

        Beyond ``loads_at_once`` loads, the duration grows in proportion to their number.
        """
        self.running += 1
        self.loads += 1
        slowdown = max(1.0, self.running / self.loads_at_once)
        return max(0.5, gb / self.gb_per_s) * slowdown

    def end(self) -> None:
        """Record that a load has ended."""
        self.running -= 1


class Engine:
    """The state of one runner.

    :param store: the store that weights are loaded from.
    :param slots: the highest number of streams that run at once.
    :param token_rate: tokens per second of all streams together.
    :param stream_rate: the highest number of tokens per second of one stream.
    :param checks_orders: whether outdated orders are rejected by their fencing token.
    """

    def __init__(
        self,
        name: str,
        store: WeightStore,
        memory_gb: float = 80.0,
        slots: int = 16,
        token_rate: float = 800.0,
        stream_rate: float = 100.0,
        checks_orders: bool = True,
        incarnation: str = "1",
        seed: int = 0,
    ) -> None:
        self.name = name
        self.store = store
        self.memory_gb = memory_gb
        self.slots = slots
        self.token_rate = token_rate
        self.stream_rate = stream_rate
        self.checks_orders = checks_orders
        self.incarnation = incarnation
        self.faults = Faults(seed)
        self.now = 0.0
        self.progress = 0.0
        self.next_check_at = -1.0
        self.streams: dict[str, Stream] = {}
        self.running: set[str] = set()
        self._ends: list[tuple[float, str]] = []
        self._queue: list[tuple[int, float, str]] = []
        self._ended: list[str] = []
        self.resident: dict[WeightsKey, float] = {}
        self.loading: dict[WeightsKey, tuple[float, float]] = {}
        self.adapters: dict[str, float] = {}
        self.order_token = (0, 0)
        self.leaving = False
        self.orders_refused = 0
        self.overcommits = 0
        self.loads = 0
        self.unloads = 0
        self.served_tokens = 0.0
        self.cache: dict[int, float] = {}
        self._reports: list[tuple[float, dict[str, t.Any]]] = []

    def rate(self) -> float:
        """Return the tokens per second of each running stream."""
        if not self.running:
            return 0.0
        return min(self.stream_rate, self.token_rate / len(self.running))

    def next_change(self) -> float:
        """Return when the next stream or load ends, if nothing else happens before."""
        times = [done for done, _ in self.loading.values()]
        self._drop_ended()
        if self._ends:
            times.append(self.now + max(0.0, self._ends[0][0] - self.progress) / self.rate())
        return min(times, default=float("inf"))

    def _drop_ended(self) -> None:
        while self._ends and self._ends[0][1] not in self.running:
            heapq.heappop(self._ends)

    def advance(self, now: float) -> None:
        """Advance to a point in time, with all ends of streams and loads that are due up to it."""
        while True:
            due = self.next_change()
            if due > now:
                break
            self._advance_progress(due)
            self._complete_due()
        self._advance_progress(now)
        self._complete_due()

    def take_ended(self) -> list[str]:
        """Return the ids of the streams that ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def _advance_progress(self, now: float) -> None:
        passed = max(0.0, now - self.now)
        self.served_tokens += passed * self.rate() * len(self.running)
        self.progress += passed * self.rate()
        self.now = max(self.now, now)

    def _complete_due(self) -> None:
        for key, (done, gb) in list(self.loading.items()):
            if done <= self.now + 1e-9:
                del self.loading[key]
                self.resident[key] = gb
                self.store.end()
        self._drop_ended()
        while self._ends and self._ends[0][0] <= self.progress + 1e-6:
            _, name = heapq.heappop(self._ends)
            if name in self.running:
                self.running.discard(name)
                self.streams[name].ended_at = self.now
                self._ended.append(name)
            self._drop_ended()
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self.running) < self.slots:
            _, _, name = heapq.heappop(self._queue)
            stream = self.streams[name]
            if stream.cancelled:
                continue
            stream.started = True
            stream.start_progress = self.progress + stream.request.prefill / 50.0
            stream.end_progress = (
                stream.start_progress + stream.request.total - stream.request.offset
            )
            self.running.add(name)
            heapq.heappush(self._ends, (stream.end_progress, name))

    def hosts(self, model: str) -> bool:
        """Return whether any version of a model is resident."""
        return any(key[0] == model for key in self.resident)

    def submit(self, now: float, request: GenerationRequest) -> Stream:
        """Queue a request.

        :raises NotRun: if the engine refuses it.
        """
        self.advance(now)
        if self.leaving:
            raise NotRun("leaving")
        if not self.hosts(request.model):
            raise NotRun("not_resident")
        if request.adapter and request.adapter not in self.adapters:
            raise NotRun("adapter_not_attached")
        known = self.streams.get(request.stream_id)
        if known is not None:
            raise NotRun("duplicate")
        prefix = zlib.crc32(request.prompt[:64].encode())
        if prefix in self.cache:
            request = request._replace(prefill=0)
        self.cache[prefix] = now
        stream = Stream(request)
        self.streams[request.stream_id] = stream
        heapq.heappush(self._queue, (-request.rank, now, request.stream_id))
        self._start_queued()
        return stream

    def produced(self, stream: Stream) -> int:
        """Return the offset up to which a stream's tokens have been generated."""
        if not stream.started:
            return stream.request.offset
        if stream.ended_at is not None:
            return stream.request.total
        made = int(self.progress - stream.start_progress + 1e-6)
        return min(stream.request.total, stream.request.offset + max(0, made))

    def cancel(self, now: float, stream_id: str, reader: int | None = None) -> bool:
        """Cancel a stream, unless a later connection than ``reader`` reads it now."""
        self.advance(now)
        stream = self.streams.get(stream_id)
        if stream is None or (reader is not None and reader < stream.reader):
            return False
        stream.cancelled = True
        self.running.discard(stream_id)
        if stream.ended_at is None:
            stream.ended_at = now
        del self.streams[stream_id]
        self._queue = [row for row in self._queue if row[2] != stream_id]
        heapq.heapify(self._queue)
        self._start_queued()
        return True

    def used_memory_gb(self) -> float:
        """Return the memory used by resident and loading weights and adapters, in gigabytes."""
        loading = sum(gb for _, gb in self.loading.values())
        return sum(self.resident.values()) + loading + sum(self.adapters.values())

    def apply_order(self, now: float, order: Order) -> tuple[bool, str]:
        """Carry out an order.

        An engine that checks orders refuses one that is meant for another incarnation, or whose
        fencing token is older than the last one.

        :return: whether the order was accepted, and why not.
        """
        self.advance(now)
        if self.checks_orders:
            if order.incarnation and order.incarnation != self.incarnation:
                self.orders_refused += 1
                return False, "restarted"
            if order.token < self.order_token:
                self.orders_refused += 1
                return False, "stale"
            if order.token == self.order_token:
                return True, "repeated"
            self.order_token = order.token
        return self._execute(order)

    def _execute(self, order: Order) -> tuple[bool, str]:
        if order.action == "seal":
            return True, ""
        if order.action == "unload":
            if self.resident.pop(order.key, None) is not None:
                self.unloads += 1
            return True, ""
        if order.action == "detach":
            self.adapters.pop(order.key[0].removeprefix("adapter/"), None)
            return True, ""
        if order.key in self.resident or order.key in self.loading:
            return True, "there already"
        if self.used_memory_gb() + order.gb > self.memory_gb + 1e-6:
            self.overcommits += 1
            return False, "no memory"
        if order.action == "attach":
            self.adapters[order.key[0].removeprefix("adapter/")] = order.gb
            return True, ""
        if order.action != "load":
            return False, f"unknown action {order.action}"
        self.loads += 1
        self.loading[order.key] = (self.now + self.store.begin(order.gb), order.gb)
        return True, ""

    def report(self, now: float) -> dict[str, t.Any]:
        """Return a load report, delayed by the fault ``report_lag_s``."""
        self.advance(now)
        fresh = {
            "incarnation": self.incarnation,
            "slots": self.slots,
            "running": len(self.running),
            "queued": len(self._queue),
            "token_rate": self.token_rate,
            "stream_rate": self.stream_rate,
            "memory_gb": self.memory_gb,
            "resident": [list(key) for key in sorted(self.resident)],
            "loading": [list(key) for key in sorted(self.loading)],
            "adapters": sorted(self.adapters),
            "held_gb": self.used_memory_gb(),
            "leaving": self.leaving,
            "checks_orders": self.checks_orders,
            "order_token": list(self.order_token),
        }
        self._reports.append((now, fresh))
        lag = self.faults.report_lag_s
        chosen = self._reports[0]
        for row in self._reports:
            if row[0] <= now - lag:
                chosen = row
        self._reports = [row for row in self._reports if row[0] >= chosen[0]]
        return {**chosen[1], "age_s": max(0.0, now - chosen[0])}

    def drop_ended_streams(self, now: float, keep_s: float = 30.0) -> None:
        """Delete streams that ended more than ``keep_s`` seconds ago."""
        for name, stream in list(self.streams.items()):
            if stream.ended_at is not None and now - stream.ended_at > keep_s:
                del self.streams[name]
