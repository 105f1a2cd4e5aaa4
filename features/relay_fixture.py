"""A relay node on loopback with fakes of the users' platform, on ports that the system picks."""

import asyncio
import time

from loguru import logger

from rookspring.relay_node import RelayNode
from rookspring.relay_settings import RelaySettings
from rookspring_fakes import ModelServer
from rookspring_fakes import ObjectPlatform
from rookspring_fakes import serve
from rookspring_platform import ObjectStore
from rookspring_platform import PlatformDialect

assert ObjectStore

ROUTES = {
    # name: kind, resumable, attempts
    "safe": ("safe", False, 2),
    "unsafe": ("unsafe", False, 1),
    "stream": ("stream", False, 1),
    "resumable": ("stream", True, 2),
}
TIMEOUT_MS = 1000


def make_settings(store):
    return RelaySettings(
        name="n1",
        data_centre="z1",
        caller_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        lookup_address="127.0.0.1:00",
        metrics_port=0,
        seeds=(),
        store=store,
        retry_share=0.2,
        retry_slack=160.0,
        retry_window_s=10.0,
        grace_s=4.0,
        lookup_ttl_s=0.2,
    )


def configuration(version, tenants=None):
    routes = [
        {
            "name": f"r-{name}",
            "host": "h.example",
            "path-prefix": f"/{name}/",
            "type": kind,
            "timeout-ms": TIMEOUT_MS,
            "slo-ms": 400,
            "priority": 1,
            "service": "svc",
            "max-attempts": attempts,
            "resumable": resumable,
        }
        for name, (kind, resumable, attempts) in ROUTES.items()
    ]
    raw = {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "health-path": "/healthz", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 8192,
            "max-body-bytes": 4096,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 2000,
        },
    }
    return raw if tenants is None else raw | {"tenants": tenants}


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


class RelayFixture:
    """The node, its store and its endpoints; used only in the event loop that started it."""

    def __init__(self, scripts):
        self.store = ObjectPlatform()
        self.others = []
        # Settings that differ from those of :func:`make_settings`.
        self.settings_changed = {}
        self.servers = [ModelServer(f"i{number}", script) for number, script in enumerate(scripts)]

    async def start(self, version=5, tenants=None):
        self.served = await serve(self.store.app())
        for server in self.servers:
            await server.start()
            await self.store.write("servers", server.name, server.entry("svc"))
        if version:
            await self.store.write("config", "main", configuration(version, tenants))
        self.settings = make_settings(self.served.address)._replace(**self.settings_changed)
        if tenants is not None:
            self.settings = self.settings._replace(proof_s=5.0)
        self.log_lines = []
        self.sink = logger.add(self.log_lines.append, level="INFO", format="{message}")
        self.node = RelayNode(self.settings, PlatformDialect())
        await self.node.start()
        await self.until(lambda: self.node.context.endpoints_listed)
        if version:
            await self.until(self.node.context.ready)
        return self

    async def restart(self, **changed):
        """Stop the node without a planned stop, and start another with changed settings."""
        await self.kill(self.node)
        self.settings = self.settings._replace(**changed)
        self.node = RelayNode(self.settings, PlatformDialect())
        await self.node.start()
        await self.until(self.node.context.ready)

    async def kill(self, node):
        """End a node without a planned stop; its connections end as those of a process do."""
        for task in list(node.context.tasks):
            task.cancel()
        await asyncio.gather(*node.context.tasks, return_exceptions=True)
        for listener in node.listeners.values():
            listener.stop_accepting()
            for connection in list(listener.connections):
                connection.abort()
        await node.peers.server.close()
        await node.context.platform.close()

    async def add_node(self, **changed):
        """Start another node, which is closed together with the first."""
        node = RelayNode(self.settings._replace(**changed), PlatformDialect())
        await node.start()
        await self.until(node.context.ready)
        self.others.append(node)
        return node

    async def until(self, condition, limit_s=5.0):
        end = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < end, "the condition did not become true in time"
            await asyncio.sleep(0.01)

    async def close(self):
        for node in (self.node, *self.others):
            node.end_grace()
            await node.run_until_stopped()
        for server in self.servers:
            await server.close()
        await self.served.close()
        logger.remove(self.sink)

    async def connect(self, which="callers"):
        return await asyncio.open_connection("127.0.0.1", self.node.listeners[which].port)

    async def ask(self, raw, which="callers"):
        """Send raw bytes on a new connection, and read one answer."""
        reader, writer = await self.connect(which)
        try:
            writer.write(raw)
            return await read_answer(reader)
        finally:
            writer.close()

    @property
    def runs(self):
        return [run for server in self.servers for run in server.runs]

    @property
    def asked(self):
        return [one for server in self.servers for one in server.received]


def request(kind, number=1, deadline_ms=None, key=None, body=b"body", headers=()):
    method = "GET" if kind == "safe" else "POST"
    lines = [
        f"{method} /{kind}/x HTTP/1.1",
        "Host: h.example",
        f"X-Rookspring-Request-Id: q{number}",
    ]
    lines += headers
    if deadline_ms:
        lines.append(f"X-Rookspring-Deadline-Ms: {deadline_ms}")
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body if method == "POST" else b"")


async def read_raw(reader, limit_s=5.0):
    """Read all bytes until the end of a chunked answer or of the connection."""
    raw = b""
    async with asyncio.timeout(limit_s):
        try:
            while part := await reader.read(65536):
                raw += part
                if raw.endswith(b"\r\n0\r\n\r\n"):
                    break
        except ConnectionError:
            pass
    return raw


async def read_answer(reader, limit_s=5.0):
    async with asyncio.timeout(limit_s):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        lines = head.decode("latin-1").split("\r\n")
        rows = [line.partition(":") for line in lines[1:] if line]
        headers = {key.lower(): value.strip() for key, _, value in rows}
        status = int(lines[0].split()[1])
        body, whole = await _read_body(reader, headers)
        return Answer(status, headers, body, whole)


async def _read_body(reader, headers):
    body = b""
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
