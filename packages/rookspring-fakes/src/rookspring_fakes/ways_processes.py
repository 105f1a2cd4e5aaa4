"""Nodes and runners of the load of ways, each in a process of its own behind proxies.

Started, ordered about and ended by :mod:`ways_stage`.
"""

import asyncio
import json
import os
import pathlib
import sys
import time
import typing as t

from .cut_node import CUT_FILE_VARIABLE
from .processes import GRACE_S
from .processes import NodeProcess
from .ways_node import CLOCK_FILE_VARIABLE
from .ways_node import LISTEN_VARIABLE
from .ways_proxy import WaysProxy
from .ways_records import Run
from .ways_records import read_runs
from .ways_runner import Stop
from .ways_runner import list_models

if t.TYPE_CHECKING:
    from .ways_stage import WaysStage

# Most descriptors and memory of a limited node, in files and megabytes.
FDS_MAX = 1638
MEMORY_MB = 160
EXIT_S = 6.0


class WaysNode(NodeProcess):
    """A node of any program, with a proxy before it and one that other nodes reach it by.

    :param program: the folder with its libraries; those of this process if empty.
    """

    limited = False
    program = ""
    front: WaysProxy
    link: WaysProxy

    @property
    def pid(self) -> int:
        """The id of its process; 0 if it has none."""
        return self.process.pid if self.process is not None else 0

    def write_settings(self, peers: t.Iterable[NodeProcess], grace_s: float = GRACE_S) -> None:
        """Write its settings file, whose seeds are the proxies of the other nodes."""
        super().write_settings(peers, grace_s)
        seeds = ",".join(
            one.link.address for one in peers if isinstance(one, WaysNode) and one is not self
        )
        rows = {
            "seeds": seeds,
            # What it states as its address; where it listens is in the environment.
            "listen.control-plane": self.link.address,
            "zones.z1": "r1",
            "discovery": "platform",
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
            "bounds.lease-ms": 3000,
            "bounds.contact-ms": 3000,
            "platform.form": "objects",
        }
        if self.limited:
            rows |= {"limits.memory-mb": MEMORY_MB, "limits.max-fds": FDS_MAX}
        known = dict(line.split("=", 1) for line in self.path.read_text().splitlines())
        known |= {key: str(value) for key, value in rows.items()}
        self.path.write_text("".join(f"{key}={value}\n" for key, value in known.items()))

    async def start(self) -> None:
        """Start its process, which appends to the log."""
        env = {
            **os.environ,
            "ROOKSPRING_CONFIG": str(self.path),
            CUT_FILE_VARIABLE: str(self._cut_file),
            LISTEN_VARIABLE: f"{self.host}:{self.ports['control-plane']}",
            CLOCK_FILE_VARIABLE: str(self._clock_file),
        }
        if self.program:
            env["PYTHONPATH"] = f"{self.program}:{self._find_fakes()}"
        module = "rookspring_fakes.cut_node" if self.can_cut else "rookspring_platform"
        bound = f"ulimit -Sn {FDS_MAX}; " if self.limited else ""
        # Its own folder would hide modules of the standard library.
        script = pathlib.Path(__file__).with_name("ways_node.py")
        command = f'{bound}exec "$0" -P "{script}" {module}'
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "sh", "-c", command, sys.executable, env=env, stdout=log, stderr=log
            )

    @property
    def _clock_file(self) -> pathlib.Path:
        return self.path.with_suffix(".clock")

    def step_clock(self, ahead_s: float) -> None:
        """Set its wall clock ahead by some seconds, or back if negative."""
        written = self.path.with_suffix(".step")
        written.write_text(str(ahead_s))
        written.rename(self._clock_file)

    def _find_fakes(self) -> pathlib.Path:
        """Return the fakes of the program's own checkout."""
        return pathlib.Path(self.program, "..", "..", "packages", "rookspring-fakes", "src")

    @property
    def can_cut(self) -> bool:
        """Whether its program can cut its links to endpoints itself, besides its proxies."""
        return not self.program or (self._find_fakes() / "rookspring_fakes/cut_node.py").exists()


class Prepared(t.NamedTuple):
    """A runner's process, and the port that it listens on."""

    process: asyncio.subprocess.Process
    port: int


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


class RunnerProcess:
    """A runner in a process of its own, behind a proxy; its record is kept over its lives."""

    def __init__(self, name: str, service: str, version: int, stage: "WaysStage") -> None:
        self.name = name
        self.service = service
        self.version = version
        self.proxy: WaysProxy | None = None
        self._stage = stage
        self._file = stage.folder / f"{name}.port"
        self._out = stage.folder / f"{name}.out"
        self.process: asyncio.subprocess.Process | None = None
        # All processes that it ever had, and the tasks that wait for their ends.
        self._all: list[asyncio.subprocess.Process] = []
        self._watches: list[asyncio.Future[None]] = []
        self.busy = False

    async def start(self, port: int = 0) -> None:
        """Start its process, and its proxy if it has none.

        :raises TimeoutError: if it doesn't listen within some seconds.
        """
        await self.switch(await self.prepare(port))

    async def switch(self, prepared: "Prepared") -> None:
        """Have another process at its address."""
        assert self.proxy is not None
        self.process, self.proxy.port = prepared
        await self.proxy.listen()
        self._watches.append(asyncio.ensure_future(self._watch(prepared.process)))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if process is self.process and self.proxy is not None:
            self.proxy.refuse()
        with self._out.open("a") as out:
            out.write(f"gone {time.monotonic()}\n")

    async def prepare(self, port: int = 0) -> "Prepared":
        """Start another process for its address, which nobody reaches yet.

        :raises TimeoutError: if it doesn't listen within some seconds.
        """
        self._file.unlink(missing_ok=True)
        drawn = self._stage.settings
        if self.proxy is None:
            self.proxy = await self._stage.add_proxy("127.0.0.1", 0, self.name)
            self.proxy.owner = self.name
        given = {
            "name": self.name,
            "address": self.proxy.address,
            "copies": drawn.copies,
            "copy_s": drawn.copy_s,
            "file": str(self._file),
            "port": port,
            "version": self.version,
            "lists": drawn.lists,
            "unframed": drawn.unframed,
            "forms": list(drawn.forms),
        }
        with self._out.open("ab") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "rookspring_fakes.ways_runner", json.dumps(given), stdout=out
            )
        self._all.append(process)
        async with asyncio.timeout(EXIT_S * 2):
            while not self._file.exists():
                await asyncio.sleep(0.02)
        return Prepared(process, int(self._file.read_text()))

    async def kill(self) -> None:
        """Kill its process."""
        assert self.process is not None
        await _kill(self.process)

    async def end(self) -> None:
        """Kill all its processes, those that were succeeded among them."""
        for process in self._all:
            await _kill(process)
        for watch in self._watches:
            await watch

    async def cut(self, how: str) -> None:
        """Have it end the connections of its runs: by a key of its own, ``close`` to ``torn``."""
        await self._order("cut", how)

    async def leave(self, seconds: float) -> None:
        """Have its reports say that it leaves, and in how many seconds it ends."""
        await self._order("leave", str(seconds))

    async def end_runs(self, stop: Stop) -> None:
        """Have it end or finish the runs that it has, and then exit or live on."""
        await self._order("stop", json.dumps(stop))

    async def _order(self, name: str, text: str) -> None:
        assert self.proxy is not None
        body = text.encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        head = f"POST /{name} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await reader.readline()
        writer.close()

    def entry(self, state: str = "ready") -> dict[str, t.Any]:
        """Return its entry in the store."""
        assert self.proxy is not None
        return {
            "service": self.service,
            "address": self.proxy.address,
            "zone": "z1",
            "version": f"v{self.version}",
            "slots": 64,
            "state": state,
            "cold-left-ms": 0,
            "sequence": 1,
            "models": list_models(self.version),
        }

    def read_runs(self) -> list[Run]:
        """Return its runs, by its record."""
        runs = read_runs(self.name, self.read_record())
        return [run._replace(service=self.service) for run in runs]

    def count_moves(self) -> int:
        """Return how many copies of its runs it made as nodes had asked for, by its record."""
        return self.read_record().count("\nmoved ")

    def read_record(self) -> str:
        """Return its record."""
        return self._out.read_text()
