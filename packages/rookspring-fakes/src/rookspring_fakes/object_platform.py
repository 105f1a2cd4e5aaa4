"""HTTP fake of the users' platform's store: objects with metadata, revisions and watches."""

import typing as t

import orjson
from aiohttp import web

from .platform import Platform
from .resets import close_connection
from .resets import reset_connection
from .store import Change
from .store import StoreBackup
from .store import Stored


class ObjectPlatform(Platform):
    """Serves the objects of a :class:`Platform` in the users' platform's protocol.

    During an outage it resets or closes connections. If ``answers_503`` is set, it answers each
    request with 503. Each answer has the store's era in a header, unless ``names_era`` is False,
    and how long an idle connection is kept if ``keep_alive_s``, whole seconds, is not 0.
    """

    answers_503 = False
    names_era = True
    keep_alive_s = 0

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=4 << 20, middlewares=[self._handle])
        app.router.add_get("/objects/{kind}", self._list_or_watch)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_post("/objects/{kind}", self._post)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        return app

    @web.middleware
    async def _handle(
        self,
        request: web.Request,
        handler: t.Callable[[web.Request], t.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if self.faults.outage and request.transport is not None:
            if self.faults.closes:
                close_connection(request.transport)
            else:
                reset_connection(request.transport)
        response: web.StreamResponse | web.HTTPException
        try:
            response = await self._answer(request, handler)
        except web.HTTPException as refusal:
            response = refusal
        if self.names_era:
            response.headers["Store-Era"] = str(self.store.era)
        if self.keep_alive_s:
            response.headers["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        if isinstance(response, web.HTTPException):
            raise response
        return response

    async def _answer(
        self,
        request: web.Request,
        handler: t.Callable[[web.Request], t.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if self.answers_503:
            raise web.HTTPServiceUnavailable(text="turned away")
        return await self._guard(request, handler)

    async def restore(self, copy: StoreBackup) -> None:
        """Restore the store from a backup and wake its watches, whose version may be gone."""
        self.store.restore(copy)
        await self._notify_watchers()

    async def write(self, kind: str, name: str, spec: t.Any) -> int:
        """Write an object unconditionally, as the operator or a model server does."""
        return await self.write_raw(kind, name, orjson.dumps(spec))

    async def write_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object unconditionally, with a value that is kept as these bytes."""
        stored = self.store.put(kind, name, spec, None)
        await self._notify_watchers()
        return stored.version

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.store.delete(kind, name, None)
        await self._notify_watchers()

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch_objects(request)
        version, rows = self.store.list_kind(request.match_info["kind"])
        items = b",".join(_object(one) for one in rows)
        return _respond(b'{"items":[%b],"truncated":false,"as-of":%d}' % (items, version))

    async def _watch_objects(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait-ms", "1000")) / 1000.0
        found, as_of = await self._wait_for_changes(kind, since, wait_s)
        events = b",".join(_event(one) for one in found)
        return _respond(b'{"events":[%b],"as-of":%d}' % (events, as_of))

    async def _get(self, request: web.Request) -> web.Response:
        info = request.match_info
        return _respond(_object(self.store.get(info["kind"], info["name"])))

    async def _post(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        name = body["metadata"]["name"]
        return await self._write(request.match_info["kind"], name, body["spec"], 0)

    async def _put(self, request: web.Request) -> web.Response:
        info = request.match_info
        body = orjson.loads(await request.read())
        self.store.get(info["kind"], info["name"])
        expected = body["metadata"].get("revision")
        return await self._write(info["kind"], info["name"], body["spec"], expected)

    async def _write(self, kind: str, name: str, spec: t.Any, expected: int | None) -> web.Response:
        stored = self.store.put(kind, name, orjson.dumps(spec), expected)
        await self._notify_watchers()
        return _respond(_object(stored))

    async def _delete(self, request: web.Request) -> web.Response:
        info = request.match_info
        known = self.store.get(info["kind"], info["name"])
        revision = request.query.get("revision")
        self.store.delete(info["kind"], info["name"], int(revision) if revision else None)
        await self._notify_watchers()
        return _respond(_object(known))


def _respond(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")


def _object(stored: Stored) -> bytes:
    return _row(stored.name, stored.version, stored.value)


def _event(change: Change) -> bytes:
    deleted = b"true" if change.value is None else b"false"
    row = _row(change.name, change.version, change.value or b"null")
    return b'{"deleted":%b,"object":%b}' % (deleted, row)


def _row(name: str, version: int, value: bytes) -> bytes:
    """Return an object with its value as it was written, which need not be JSON."""
    metadata = {
        "name": name,
        "revision": version,
        "created": version,
        "finalizers": [],
        "deleting": False,
    }
    return b'{"metadata":%b,"spec":%b,"status":null}' % (orjson.dumps(metadata), value)
