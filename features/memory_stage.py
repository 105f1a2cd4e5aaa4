"""A node process with a limit on its memory, between faulty endpoints, sound ones and callers."""

import asyncio
import collections
import os
import pathlib
import secrets
import tempfile
import time

from rookspring_fakes.model_server import ModelServer
from rookspring_fakes.object_platform import ObjectPlatform
from rookspring_fakes.processes import NodeProcess
from rookspring_fakes.serving import serve

FAULTY = "faulty"
SOUND = "sound"
ROUTE_TIMEOUT_S = 2.0
DEADLINE_MS = 2000
ANSWER_TIMEOUT_S = 4.0
# The pause between requests to sound endpoints, in seconds.
SOUND_INTERVAL_S = 0.05
# Longer than any play needs.
SCRIPT_STEPS = 100_000
KINDS = {"safe": 2, "unsafe": 1, "stream": 1}
HOST = "h.example"


class MemoryStage:
    """One node process, two faulty endpoints and two sound ones.

    :param memory_mb: the limit that the node's settings state, in megabytes.
    :param script: the step by which the faulty endpoints handle each request.
    :param faulty: how many of the two endpoints of the one service are faulty.
    """

    # The time of each route and of each request, in seconds.
    route_timeout_s = ROUTE_TIMEOUT_S
    # Requests that each endpoint takes at once.
    slots = 8

    def __init__(self, memory_mb, script, faulty=2):
        self._memory_mb = memory_mb
        self._script = script
        self._faulty = faulty
        self._folder = tempfile.TemporaryDirectory()
        self.store = ObjectPlatform()
        self.servers = []
        # Counts of the statuses that callers got, by service.
        self.ends = collections.Counter()
        # The longest wait of a caller of a faulty endpoint, in seconds.
        self.longest_wait_s = 0.0

    async def start(self):
        self._served = await serve(self.store.app())
        await self.store.write("config", "main", write_table(self.route_timeout_s))
        for number in range(4):
            service = FAULTY if number < 2 else SOUND
            server = ModelServer(
                f"i{number}", [self._script] * SCRIPT_STEPS * (number < self._faulty)
            )
            self.servers.append(server)
            await server.start()
            await self.store.write("servers", server.name, server.entry(service, slots=self.slots))
        host = f"127.{130 + os.getpid() // 250 % 60}.{os.getpid() % 250}.11"
        folder = pathlib.Path(self._folder.name)
        self.node = NodeProcess(0, host, folder, self._served.address)
        self.node.write_settings([self.node])
        with self.node.path.open("a") as settings:
            settings.write(f"limits.memory-mb={self._memory_mb}\n")
        await self.node.start()
        await self.node.wait_ready()
        await asyncio.sleep(0.5)
        return self

    async def play(self, many, seconds):
        """Keep many requests at the faulty endpoints, and send some to the sound ones."""
        until = time.monotonic() + seconds
        tasks = [
            asyncio.ensure_future(self._ask_faulty(list(KINDS)[number % 3], until))
            for number in range(many)
        ]
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self._call(SOUND, "safe")))
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _ask_faulty(self, kind, until):
        while time.monotonic() < until:
            await self._call(FAULTY, kind)

    async def _call(self, service, kind, host="127.0.0.1"):
        status = "none"
        writer = None
        began = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *self.node.address, local_addr=(host, 0)
                )
                path = f"/{service}-{kind}/x"
                rows = f"Host: {HOST}\r\nX-Rookspring-Request-Id: {secrets.token_hex(6)}\r\n"
                rows += f"X-Rookspring-Deadline-Ms: {DEADLINE_MS}\r\n"
                rows += "Content-Length: 1\r\nConnection: close"
                writer.write(f"POST {path} HTTP/1.1\r\n{rows}\r\n\r\nx".encode())
                status = (await reader.readline()).decode().split(" ")[1]
                while await reader.read(1 << 16):
                    pass
        except (OSError, TimeoutError, IndexError) as error:
            status += f" {type(error).__name__}"
        finally:
            if writer is not None:
                writer.transport.abort()
        self.ends[service, status] += 1
        if service == FAULTY:
            self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - began)

    def number_runs(self):
        """Return how many requests the first endpoint got."""
        return len(self.servers[0].runs)

    def peak_mib(self):
        """Return the largest resident size that the node's process had."""
        rows = pathlib.Path(f"/proc/{self.node.process.pid}/status").read_text().splitlines()
        (peak,) = (row.split()[1] for row in rows if row.startswith("VmHWM"))
        return int(peak) / 1024

    async def close(self):
        for server in self.servers:
            await server.close()
        if self.node.process.returncode is None:
            self.node.process.kill()
            await self.node.process.wait()
        self.node.read_log()
        await self._served.close()
        self._folder.cleanup()


def write_table(route_timeout_s=ROUTE_TIMEOUT_S):
    """Return a configuration with a route of each kind to each service."""
    routes = [
        {
            "name": f"r-{service}-{kind}",
            "host": HOST,
            "path-prefix": f"/{service}-{kind}/",
            "type": kind,
            "timeout-ms": int(route_timeout_s * 1000),
            "slo-ms": 800,
            "priority": 1,
            "service": service,
            "max-attempts": attempts,
            "resumable": False,
        }
        for service in (FAULTY, SOUND)
        for kind, attempts in KINDS.items()
    ]
    services = [
        {"name": one, "health-path": "/healthz", "max-conns": 400} for one in (FAULTY, SOUND)
    ]
    limits = {
        "max-header-bytes": 8192,
        "max-body-bytes": 4 << 20,
        "header-timeout-ms": 500,
        "idle-timeout-ms": 5000,
    }
    return {"version": 1, "routes": routes, "services": services, "limits": limits}
