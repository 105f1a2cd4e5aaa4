"""Test double of the platform's object service over HTTP, with rate limits and faults."""

import asyncio
import time
import typing as t

import orjson
from aiohttp import web

from .faults import Faults
from .serving import wait_for_change
from .store import Change
from .store import ObjectStore
from .store import Stored
from .store import StoreError

WRITES_PER_S = 500
READS_PER_S = 2000


class Platform:
    """Serves an :class:`ObjectStore`, and a list of boxes that is up to ``list_lag_s`` old."""

    def __init__(self, store: ObjectStore | None = None, seed: int = 0) -> None:
        self.store = store or ObjectStore()
        self.faults = Faults(seed)
        self.list_lag_s = 0.3
        self._changed = asyncio.Condition()
        self._window = 0
        self._used = {"read": 0, "write": 0}
        self._listed: list[t.Any] = []
        self._listed_at = -1e9

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=4 << 20, middlewares=[self._guard])
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_get("/watch/{kind}", self._watch)
        app.router.add_get("/boxes", self._boxes)
        return app

    @web.middleware
    async def _guard(
        self,
        request: web.Request,
        handler: t.Callable[[web.Request], t.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if self.faults.outage:
            self.faults.count("outage")
            raise web.HTTPServiceUnavailable(text="outage")
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        kind = "read" if request.method == "GET" else "write"
        if not self._within_rate(kind):
            raise web.HTTPTooManyRequests(text="rate")
        try:
            response = await handler(request)
        except StoreError as error:
            return web.json_response({"error": str(error)}, status=error.status)
        unanswered = kind == "write" and self.faults.draw("applied_unanswered")
        if unanswered and request.transport is not None:
            # The write was applied, but its answer is not sent.
            request.transport.close()
        return response

    def _within_rate(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._window:
            self._window = second
            self._used = {"read": 0, "write": 0}
        self._used[kind] += 1
        return self._used[kind] <= (READS_PER_S if kind == "read" else WRITES_PER_S)

    async def _list(self, request: web.Request) -> web.Response:
        version, rows = self.store.list_kind(request.match_info["kind"])
        return web.json_response({"version": version, "items": [_row(one) for one in rows]})

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.store.get(request.match_info["kind"], request.match_info["name"])
        return web.json_response(_row(stored))

    async def _put(self, request: web.Request) -> web.Response:
        info = request.match_info
        stored = self.store.put(info["kind"], info["name"], await request.read(), _match(request))
        await self._notify_watchers()
        return web.json_response({"version": stored.version})

    async def _delete(self, request: web.Request) -> web.Response:
        info = request.match_info
        version = self.store.delete(info["kind"], info["name"], _match(request))
        await self._notify_watchers()
        return web.json_response({"version": version})

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _watch(self, request: web.Request) -> web.Response:
        """Answer with the changes of a kind after a version; waits for one up to the timeout."""
        self.store.count("watch")
        kind = request.match_info["kind"]
        since = int(request.query.get("from", "0"))
        wait_s = min(60.0, float(request.query.get("timeout_s", "10")))
        found, bookmark = await self._wait_for_changes(kind, since, wait_s)
        rows = [
            {
                "name": one.name,
                "version": one.version,
                "value": None if one.value is None else orjson.loads(one.value),
            }
            for one in found
        ]
        return web.json_response({"version": bookmark, "changes": rows})

    async def _wait_for_changes(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """Return the changes of a kind after a version, and the version that they reach.

        Waits for one up to some seconds.
        """
        end = time.monotonic() + wait_s
        while True:
            found = self.store.changes(kind, since)
            left = end - time.monotonic()
            if found or left <= 0 or self.faults.outage:
                break
            await wait_for_change(self._changed, min(left, 0.5))
        return found, found[-1].version if found else max(since, self.store.version)

    async def _boxes(self, request: web.Request) -> web.Response:
        self.store.count("boxes")
        now = time.monotonic()
        if now - self._listed_at >= self.list_lag_s:
            self._listed = [dict(row) for row in self.store.boxes.values()]
            self._listed_at = now
        return web.json_response({"boxes": self._listed})


def _row(stored: Stored) -> dict[str, t.Any]:
    return {
        "name": stored.name,
        "version": stored.version,
        "value": orjson.loads(stored.value),
    }


def _match(request: web.Request) -> int | None:
    text = request.headers.get("If-Match")
    return int(text) if text is not None else None
