"""Test double of a runner over HTTP: streams, resume, cancel, orders, reports, cache events."""

import asyncio
import time
import typing as t

import orjson
from aiohttp import web

from .engine import Engine
from .engine import GenerationRequest
from .engine import NotRun
from .engine import Order
from .engine import Stream
from .engine import token_text
from .resets import close_connection

STEP_S = 0.01
# The time within which the process has exited after a fatal prompt, in seconds.
EXIT_TIMEOUT_S = 5.0


class Runner:
    """Serves an :class:`Engine` over HTTP."""

    def __init__(self, engine: Engine, step_s: float = STEP_S) -> None:
        self.engine = engine
        self.step_s = step_s
        self.started_at = time.monotonic()
        # A prompt that holds this text crashes the runner: ``on_fatal`` is called to end it.
        self.fatal_text = ""
        self.on_fatal: t.Callable[[], None] = lambda: None
        self._cache_log: list[int] = []
        self._delayed_orders: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the seconds since the runner started."""
        return time.monotonic() - self.started_at

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=8 << 20, middlewares=[self._guard])
        app.router.add_post("/v1/generate", self._generate)
        app.router.add_get("/v1/streams/{id}", self._resume)
        app.router.add_delete("/v1/streams/{id}", self._cancel)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_get("/v1/report", self._report)
        app.router.add_get("/v1/cache_events", self._cache_events)
        return app

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: t.Callable[[web.Request], t.Awaitable[t.Any]]
    ) -> web.StreamResponse:
        while self.engine.faults.paused:
            await asyncio.sleep(0.05)
        if self.engine.faults.killed and request.transport is not None:
            close_connection(request.transport)
        try:
            return t.cast(web.StreamResponse, await handler(request))
        except ConnectionError:
            # The reader has disconnected; the stream continues and may be resumed.
            return web.Response()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        generation = GenerationRequest(
            stream_id=str(body["id"]),
            model=str(body["model"]),
            adapter=str(body.get("adapter", "")),
            prompt=str(body["prompt"]),
            total=int(body["max_tokens"]),
            offset=int(body.get("offset", 0)),
            rank=int(body.get("rank", 1)),
            prefill=len(str(body["prompt"])) // 4,
        )
        if self.fatal_text and self.fatal_text in generation.prompt:
            self.on_fatal()
            # Waits for the process to be ended, so that the request gets no answer.
            await asyncio.sleep(EXIT_TIMEOUT_S)
        try:
            stream = self.engine.submit(self.now(), generation)
        except NotRun as error:
            return web.json_response({"not_run": True, "reason": str(error)}, status=409)
        return await self._send(request, stream, generation.offset)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream = self.engine.streams.get(request.match_info["id"])
        offset = int(request.query.get("offset", "0"))
        if stream is None or offset < stream.request.offset:
            return web.json_response({"reason": "no such stream"}, status=404)
        stream.reader += 1
        return await self._send(request, stream, offset)

    async def _send(self, request: web.Request, stream: Stream, offset: int) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "application/x-ndjson", "X-Reader": str(stream.reader)}
        )
        await response.prepare(request)
        generation = stream.request
        while True:
            if self.engine.faults.killed:
                if request.transport is not None:
                    close_connection(request.transport)
                return response
            if not self.engine.faults.paused:
                self.engine.advance(self.now())
                self.engine.take_ended()
            made = self.engine.produced(stream)
            if made > offset:
                tokens = [
                    token_text(generation.model, generation.prompt, i) for i in range(offset, made)
                ]
                await response.write(orjson.dumps({"offset": offset, "tokens": tokens}) + b"\n")
                offset = made
            if stream.cancelled:
                return response
            if offset >= generation.total:
                await response.write(orjson.dumps({"end": generation.total}) + b"\n")
                await response.write_eof()
                return response
            await asyncio.sleep(self.step_s)

    async def _cancel(self, request: web.Request) -> web.Response:
        reader = request.query.get("reader")
        known = self.engine.cancel(
            self.now(), request.match_info["id"], int(reader) if reader else None
        )
        return web.json_response({"cancelled": known})

    async def _order(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        order = Order(
            token=(int(body["token"][0]), int(body["token"][1])),
            action=str(body["action"]),
            key=(str(body["model"]), str(body["version"])),
            gb=float(body["memory_gb"]),
            incarnation=str(body.get("incarnation", "")),
        )
        faults = self.engine.faults
        if faults.draw("lose"):
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        late = faults.delay()
        if late:
            self._deliver_late(order, late)
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        accepted, reason = self.engine.apply_order(self.now(), order)
        if faults.draw("repeat"):
            self._deliver_late(order, faults.delay_s)
        return web.json_response(
            {"accepted": accepted, "reason": reason}, status=200 if accepted else 409
        )

    def _deliver_late(self, order: Order, late_s: float) -> None:
        async def deliver() -> None:
            await asyncio.sleep(late_s)
            self.engine.apply_order(self.now(), order)

        task = asyncio.create_task(deliver())
        self._delayed_orders.add(task)
        task.add_done_callback(self._delayed_orders.discard)

    async def _report(self, request: web.Request) -> web.Response:
        self.engine.drop_ended_streams(self.now())
        return web.json_response(self.engine.report(self.now()))

    async def _cache_events(self, request: web.Request) -> web.Response:
        since = int(request.query.get("from", "0"))
        for prefix in self.engine.cache:
            if prefix not in self._cache_log and not self.engine.faults.draw("cache_gap"):
                self._cache_log.append(prefix)
        return web.json_response(
            {"next": len(self._cache_log), "prefixes": self._cache_log[since : since + 256]}
        )
