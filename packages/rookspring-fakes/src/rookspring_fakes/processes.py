"""Real nodes in processes of their own, with fakes of the users' platform on loopback.

Each node has its own loopback address, so that several stages can run at once. A stage ends the
processes that it started, through their handles.
"""

import asyncio
import contextlib
import math
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import typing as t

from .cut_node import CUT_FILE_VARIABLE
from .cut_node import DONE_SUFFIX
from .model_server import ModelServer
from .object_platform import ObjectPlatform
from .serving import RunningServer
from .serving import serve

SERVICE = "svc"
# The time limit of each route, in seconds.
ROUTE_TIMEOUT_S = 2.0
# The grace period of a node after SIGTERM, and the time after it until the process must have
# exited, in seconds.
GRACE_S = 4.0
EXIT_SLACK_S = 1.5
# The time within which a node must become ready, in seconds.
READY_S = 15.0
# Lines of its log that are told of a node that does not become ready.
LOG_END_LINES = 30
# The pause between events of long streams, in seconds, and the share of them without a length.
LONG_PAUSE_S = 0.03
UNFRAMED_SHARE = 0.3
# How much sooner than told endpoints find the time of a request over, in seconds.
CLOCK_AHEAD_S = 0.002
ROUTES = {
    "safe": ("safe", False, 2),
    "unsafe": ("unsafe", False, 1),
    "stream": ("stream", False, 1),
    "resumable": ("stream", True, 2),
}


# The organisation of all callers in a stage whose requests need keys, and the bound within which
# a revoked key must not be accepted any more, in milliseconds.
ORGANISATION = "org-a"
REVOKE_MS = 5000


def write_table(version: int, keys: t.Sequence[str] = ()) -> dict[str, t.Any]:
    """Return a configuration of one service with three routes to it.

    :param keys: the keys of the organisation; without any, requests need none.
    """
    routes = [
        {
            "name": f"r-{name}",
            "host": "h.example",
            "path-prefix": f"/{name}/",
            "type": kind,
            "timeout-ms": int(ROUTE_TIMEOUT_S * 1000),
            "slo-ms": 800,
            "priority": 1,
            "service": SERVICE,
            "max-attempts": attempts,
            "resumable": resumable,
        }
        for name, (kind, resumable, attempts) in ROUTES.items()
    ]
    limits = {
        "max-header-bytes": 8192,
        "max-body-bytes": 4096,
        "header-timeout-ms": 500,
        "idle-timeout-ms": 5000,
    }
    services = [{"name": SERVICE, "health-path": "/healthz", "max-conns": 100}]
    table = {"version": version, "routes": routes, "services": services, "limits": limits}
    if keys:
        table["tenants"] = [{"name": ORGANISATION, "api-keys": list(keys), "unit": "requests"}]
    return table


class CutPeriod(t.NamedTuple):
    """When a node had no link to any endpoint; the end is infinite while it has none.

    :param began: when the cut was requested.
    :param done: when the node had cut its links, a little later.
    """

    began: float
    done: float
    ended: float


class NodeProcess:
    """One node and its process, which may be stopped, frozen, killed and restarted."""

    def __init__(self, number: int, host: str, folder: pathlib.Path, store: str) -> None:
        self.name = f"n{number}"
        self.host = host
        self.ports = {name: _free_port(host) for name in ("frontend", "ready", "control-plane")}
        self.path = folder / f"{self.name}.settings"
        self._log = folder / f"{self.name}.log"
        self._cut_file = folder / f"{self.name}.cut"
        self.cuts: list[CutPeriod] = []
        self._store = store
        self.process: asyncio.subprocess.Process | None = None
        # Its log, once the stage has stopped.
        self.log_text = ""
        self.stopping = False
        # When it was started or sent a signal. Checks pass over requests around these times, since
        # the node may have lost what it had learnt.
        self.disturbed_at: list[float] = []

    @property
    def address(self) -> tuple[str, int]:
        """The host and the port that callers connect to."""
        return self.host, self.ports["frontend"]

    def write_settings(self, peers: t.Iterable["NodeProcess"], grace_s: float = GRACE_S) -> None:
        """Write its settings file.

        :param peers: all nodes of the stage, which become its seeds.
        :param grace_s: its grace period, in seconds.
        """
        seeds = ",".join(
            f"{one.host}:{one.ports['control-plane']}" for one in peers if one is not self
        )
        rows = {
            "node-name": self.name,
            "zone": "z1",
            **{f"listen.{name}": f"{self.host}:{port}" for name, port in self.ports.items()},
            "seeds": seeds,
            "platform.address": self._store,
            "bounds.grace-s": grace_s,
            "bounds.revoke-strict": "true",
            "bounds.revoke-ms": REVOKE_MS,
            "bounds.retry-budget": 0.2,
            "bounds.retry-slack": 160,
        }
        self.path.write_text("".join(f"{key}={value}\n" for key, value in rows.items()))

    async def start(self) -> None:
        """Start its process, which appends to the log."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rookspring_fakes.cut_node",
                env={
                    **os.environ,
                    "ROOKSPRING_CONFIG": str(self.path),
                    CUT_FILE_VARIABLE: str(self._cut_file),
                },
                stdout=log,
                stderr=log,
            )
        self.stopping = False
        self.disturbed_at.append(time.monotonic())

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal if it is running, and record when."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.disturbed_at.append(time.monotonic())

    @property
    def is_cut(self) -> bool:
        """Whether its links to all endpoints are cut now."""
        return bool(self.cuts) and self.cuts[-1].ended == math.inf

    def cut(self, how: str) -> None:
        """Cut its links to all endpoints, by a name of ``CUTS``."""
        self._cut_file.with_suffix(DONE_SUFFIX).unlink(missing_ok=True)
        self.cuts.append(CutPeriod(time.monotonic(), math.inf, math.inf))
        self._cut_file.write_text(how)

    def heal(self) -> None:
        """Restore its links to endpoints."""
        cut = self.cuts[-1]
        self._cut_file.write_text("")
        self.cuts[-1] = cut._replace(done=min(cut.done, time.monotonic()), ended=time.monotonic())

    def note_cut(self) -> bool:
        """Return whether the node has cut its links as requested, and record when it did first."""
        done = self._cut_file.with_suffix(DONE_SUFFIX)
        if self.cuts[-1].done == math.inf and done.exists():
            self.cuts[-1] = self.cuts[-1]._replace(done=time.monotonic())
        return self.cuts[-1].done != math.inf

    async def wait_ready(self) -> None:
        """Wait until its readiness check succeeds.

        :raises TimeoutError: if that takes longer than ``READY_S``; with the end of its log.
        """
        try:
            async with asyncio.timeout(READY_S):
                while not await _is_ready(self.host, self.ports["ready"]):
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            self.read_log()
            end = "\n".join(self.log_text.splitlines()[-LOG_END_LINES:])
            raise TimeoutError(f"{self.name} is not ready; its log ends:\n{end}") from error

    async def wait_exit(self, within_s: float) -> bool:
        """Wait until its process exits, and kill it after a timeout.

        :param within_s: the timeout, in seconds.
        :return: whether it exited in time.
        """
        assert self.process is not None
        try:
            async with asyncio.timeout(within_s):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
            return False
        return True

    def read_log(self) -> None:
        """Read its log into memory before the folder is deleted."""
        self.log_text = self._log.read_text(errors="replace")


class ProcessStage:
    """Nodes in processes, their store and their endpoints.

    :param nodes: the number of nodes.
    :param servers: the number of endpoints at the start.
    :param host_block: selects the loopback addresses, so that stages on one box don't share any.
    :param keys: the callers' keys at the start; without any, requests need none.
    :param versions: the software versions of the endpoints, in turn.
    :param lists_streams: whether the endpoints' reports list their streams as runs.
    :param grace_s: the grace period of the nodes, in seconds.
    """

    # The class of its endpoints.
    server_class: type[ModelServer] = ModelServer

    def __init__(
        self,
        nodes: int,
        servers: int,
        host_block: int,
        keys: t.Sequence[str] = (),
        versions: t.Sequence[str] = ("v1",),
        lists_streams: bool = False,
        grace_s: float = GRACE_S,
    ) -> None:
        self.grace_s = grace_s
        self._folder = tempfile.TemporaryDirectory()
        self._block = host_block
        self._sizes = (nodes, servers)
        self.store = ObjectPlatform()
        self._served: RunningServer | None = None
        self.nodes: list[NodeProcess] = []
        # All endpoints, ended ones included.
        self.servers: list[ModelServer] = []
        self.version = 1
        self.keys = tuple(keys)
        self._versions = versions
        self._lists_streams = lists_streams
        # Whether streams are long enough that troubles meet some, and partly without a length.
        self.long_streams = len(versions) > 1
        # The share of answers that are whole and end with their connection.
        self.sound_share = 0.0
        # Parts of prompts that crash endpoints now, and when each has crashed one.
        self.fatal_parts: set[int] = set()
        self.crashes: dict[int, list[float]] = {}
        # When each key was revoked that callers have used.
        self.revoked_at: dict[str, float] = {}
        # The entries that endpoints rewrite after a restore of the store.
        self._entries: dict[str, dict[str, t.Any]] = {}

    async def start(self) -> "ProcessStage":
        """Start the store, the endpoints and the nodes, and wait until all nodes are ready."""
        self._served = await serve(self.store.app())
        await self.write_version()
        nodes, servers = self._sizes
        for _ in range(servers):
            await self.add_server()
        folder = pathlib.Path(self._folder.name)
        for number in range(nodes):
            host = f"127.{1 + self._block // 250 % 120}.{self._block % 250}.{number + 11}"
            self.nodes.append(NodeProcess(number, host, folder, self._served.address))
        for node in self.nodes:
            node.write_settings(self.nodes, self.grace_s)
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        return self

    async def write_version(self) -> None:
        """Write the configuration under the next version."""
        self.version += 1
        await self.store.write("config", "main", write_table(self.version, self.keys))

    async def replace_keys(self, keys: t.Sequence[str]) -> None:
        """Write a version with other keys, and record which ones it revokes, and when."""
        revoked = set(self.keys) - set(keys)
        self.keys = tuple(keys)
        await self.write_version()
        self.revoked_at |= dict.fromkeys(revoked, time.monotonic())

    async def add_server(self, version: str = "") -> ModelServer:
        """Start another endpoint and write its entry.

        :param version: of its software; the next one in turn if empty.
        """
        server = self.server_class(f"i{len(self.servers)}")
        server.version = version or self._versions[len(self.servers) % len(self._versions)]
        await self._start_server(server)
        self._entries[server.name] = server.entry(SERVICE)
        await self.store.write("servers", server.name, self._entries[server.name])
        return server

    async def _start_server(self, server: ModelServer, port: int = 0) -> None:
        server.streams = True
        server.lists_streams = self._lists_streams
        if self.long_streams:
            server.event_pause_s = LONG_PAUSE_S
            server.clock_ahead_s = CLOCK_AHEAD_S
            server.unframed_share = UNFRAMED_SHARE
        elif self.sound_share:
            server.unframed_share, server.sound = self.sound_share, True
        server.fatal_parts = self.fatal_parts
        server.on_crash = self._note_crash
        self.servers.append(server)
        await server.start(port)

    async def restart_server(self, server: ModelServer, after_s: float) -> None:
        """End an endpoint as a crashed process does, and start it again at its address."""
        server.end()
        await asyncio.sleep(after_s)
        again = ModelServer(server.name)
        again.version = server.version
        await self._start_server(again, int(server.address.rpartition(":")[2]))

    async def remove_server(self, server: ModelServer) -> None:
        """End an endpoint and delete its entry."""
        del self._entries[server.name]
        # The store may have been restored from a backup that lacks the entry.
        if ("servers", server.name) in self.store.store.objects:
            await self.store.remove("servers", server.name)
        server.end()

    def _note_crash(self, part: int) -> None:
        self.crashes.setdefault(part, []).append(time.monotonic())

    def listed_names(self) -> set[str]:
        """Return the endpoints whose entries are written."""
        return set(self._entries)

    async def replace_server(self, server: ModelServer) -> None:
        """Delete a crashed endpoint's entry, and start another of the same version."""
        await self.remove_server(server)
        await self.add_server(server.version)

    async def rewrite_objects(self) -> None:
        """Rewrite what a restored store lacks, and delete entries of ended endpoints."""
        objects = self.store.store.objects
        for name, entry in list(self._entries.items()):
            if ("servers", name) not in objects:
                await self.store.write("servers", name, entry)
        for kind, name in list(objects):
            if kind == "servers" and name not in self._entries:
                await self.store.remove("servers", name)
        await self.store.write("config", "main", write_table(self.version, self.keys))

    async def stop(self) -> list[str]:
        """Stop everything, nodes with SIGTERM.

        :return: the nodes that did not exit within their grace period.
        """
        late = []
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGTERM)
        started = [node for node in self.nodes if node.process is not None]
        for node in started:
            if not await node.wait_exit(self.grace_s + EXIT_SLACK_S):
                late.append(node.name)
        for server in self.servers:
            await server.close()
        if self._served is not None:
            await self._served.close()
        for node in started:
            node.read_log()
        self._folder.cleanup()
        return late


def _free_port(host: str) -> int:
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(f"GET /readyz HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
