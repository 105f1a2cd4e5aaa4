"""Test double of a plain service, which counts how often each call ran."""

import asyncio
import time

import orjson
from aiohttp import web

from .faults import Faults
from .resets import close_connection
from .resets import reset_connection


class Ledger:
    """The number of runs by call id, shared by all endpoints of a service."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}

    def repeated_calls(self) -> list[str]:
        """List the ids of calls that ran more than once."""
        return sorted(call for call, count in self.runs.items() if count > 1)


class PlainService:
    """An endpoint of a plain service.

    A request's body holds the id of the call in ``call``, and the bytes by which its answer is to
    be longer in ``padding``.
    """

    def __init__(self, name: str, ledger: Ledger, work_s: float = 0.002, seed: int = 0) -> None:
        self.name = name
        self.ledger = ledger
        self.work_s = work_s
        self.faults = Faults(seed)
        self.leaving = False
        self.running = 0
        self.calls_while_leaving = 0
        self.started_at = time.monotonic()

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_get("/v1/report", self._report)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "incarnation": self.name,
                "age_s": 0.0,
                "slots": 64,
                "running": self.running,
                "queued": 0,
                "token_rate": 1e5,
                "stream_rate": 1e5,
                "memory_gb": 0.0,
                "leaving": self.leaving,
            }
        )

    async def _call(self, request: web.Request) -> web.Response:
        raw = await request.read()
        if self.leaving:
            self.calls_while_leaving += 1
            return web.json_response({"not_run": True, "reason": "leaving"}, status=409)
        if self.faults.killed:
            close_connection(request.transport)
            return web.Response()
        if self.faults.draw("lose"):
            reset_connection(request.transport)
            return web.Response()
        try:
            body = orjson.loads(raw) if raw else {}
        except orjson.JSONDecodeError:
            return web.json_response({"error": "body: JSON was expected"}, status=400)
        fields = body if isinstance(body, dict) else {}
        call = str(fields.get("call", ""))
        padding = "." * int(fields.get("padding", 0))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s + self.faults.delay())
        finally:
            self.running -= 1
        if call:
            self.ledger.runs[call] = self.ledger.runs.get(call, 0) + 1
        if self.faults.draw("applied_unanswered"):
            reset_connection(request.transport)
        return web.json_response(
            {"call": call, "by": self.name, "path": request.path, "padding": padding}
        )
