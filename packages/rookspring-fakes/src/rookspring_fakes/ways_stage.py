"""The stage of the load of ways: real nodes and runners in processes, proxies between all of them.

A seed draws the settings of a stage, so that the same seed plays the same way with any program.
"""

import contextlib
import math
import pathlib
import random
import signal
import tempfile
import time
import typing as t

from .object_platform import ObjectPlatform
from .processes import write_table
from .serving import RunningServer
from .serving import serve
from .store import StoreError
from .ways_processes import RunnerProcess
from .ways_processes import WaysNode
from .ways_proxy import WaysProxy
from .ways_records import GOES_S
from .ways_records import KINDS
from .ways_records import Call
from .ways_records import Part
from .ways_records import Run

SERVICES = ("llm", "llm-b")
# How long after a disturbance its effects last, in seconds.
SETTLES_S = 0.5
# The share of plays whose runners know the calls about copies of runs.
COPIES_SHARE = 0.7
# The forms of events, of which a seed draws some.
FORMS = ("crlf", "split", "steps", "big", "notes", "batch")


class Settings(t.NamedTuple):
    """What a seed draws before a play.

    :param unframed: the share of answers without a length.
    :param route_ms: the routes' time limit, in milliseconds.
    :param limited: whether nodes have little memory and few descriptors.
    :param kept: the share of callers who keep their connections.
    :param late: the share of callers who read late.
    :param short: the share of callers who state a short deadline.
    :param again: the share of callers who send a request again under its id, where it was cut.
    :param piped: the share of callers who send requests before their last answer came.
    :param troubles: the names of the troubles that are drawn from.
    :param copies: whether runners know the calls about copies of runs.
    :param copy_s: how long a copy takes, in seconds.
    """

    nodes: int
    runners: int
    lists: bool
    unframed: float
    forms: tuple[str, ...]
    route_ms: int
    limited: bool
    kept: float
    late: float
    short: float
    again: float
    troubles: tuple[str, ...]
    piped: float
    copies: bool = False
    copy_s: float = 0.0


def draw_settings(seed: int, troubles: t.Iterable[str]) -> Settings:
    """Draw the settings of a play, with a few of the troubles, whose times may overlap."""
    rng = random.Random(f"settings {seed}")
    names = sorted(troubles)
    return Settings(
        nodes=rng.choice((2, 3, 3, 4)),
        runners=rng.choice((4, 6)),
        lists=rng.random() < 0.5,
        unframed=rng.choice((0.0, 0.5, 0.5, 0.9)),
        forms=tuple(one for one in FORMS if rng.random() < 0.25),
        route_ms=rng.choice((900, 2500, 12000)),
        limited=rng.random() < 0.4,
        kept=rng.choice((0.0, 0.5, 0.9)),
        late=rng.choice((0.0, 0.1, 0.3)),
        short=rng.choice((0.0, 0.2)),
        again=rng.choice((0.0, 0.0, 0.1)),
        troubles=tuple(rng.sample(names, min(len(names), rng.randint(3, 7)))),
        piped=rng.choice((0.0, 0.2, 0.4)),
        copies=rng.random() < COPIES_SHARE,
        copy_s=rng.choice((0.0, 0.05, 0.2)),
    )


class Disturbance(t.NamedTuple):
    """When something befell a node, a runner or its links, by the monotonic clock, in seconds."""

    name: str
    began: float
    ended: float


class WaysStage:
    """Nodes, runners, the store, and the proxies between them.

    :param program: the folder of the nodes' libraries; those of this process if empty.
    """

    def __init__(self, settings: Settings, host_block: int, seed: int, program: str) -> None:
        self.settings = settings
        self._kept = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._kept.name)
        self._block = host_block
        self._seed = seed
        self._program = program
        self.store = ObjectPlatform()
        self._served: RunningServer | None = None
        self.nodes: list[WaysNode] = []
        self.runners: list[RunnerProcess] = []
        # All runners that ever were, for their records.
        self._all_runners: list[RunnerProcess] = []
        self.proxies: list[WaysProxy] = []
        self._version = 1
        # What the routes are: the service and the time limit of each, in milliseconds.
        self.routes = dict.fromkeys(KINDS, (SERVICES[0], settings.route_ms))
        # When a route was moved to another service, by the monotonic clock: the time, its kind, and
        # the service.
        self._moves: list[tuple[float, str, str]] = []
        self.logs: dict[str, str] = {}
        self._disturbances: list[Disturbance] = []

    @contextlib.contextmanager
    def disturb(self, *names: str) -> t.Iterator[None]:
        """Record that something befalls nodes or runners until this is left, and a little longer.

        Planned stops, reloads and changes aren't such.
        """
        began = time.monotonic()
        at = len(self._disturbances)
        self._disturbances += [Disturbance(name, began, math.inf) for name in names]
        try:
            yield
        finally:
            ended = time.monotonic() + SETTLES_S
            for number in range(at, at + len(names)):
                self._disturbances[number] = self._disturbances[number]._replace(ended=ended)

    def _is_disturbed(self, name: str, began: float, ended: float) -> bool:
        return any(
            one.name == name and one.began <= ended and began <= one.ended
            for one in self._disturbances
        )

    def mark_calls(self, calls: t.Iterable[Call]) -> list[Call]:
        """Return calls whose parts tell whether something befell their nodes."""
        return [call._replace(parts=tuple(map(self._mark_part, call.parts))) for call in calls]

    def _mark_part(self, part: Part) -> Part:
        disturbed = self._is_disturbed(part.node, part.began, part.ended_at)
        return part._replace(disturbed=disturbed)

    async def start(self) -> "WaysStage":
        """Start everything, and wait until all nodes are ready."""
        self._served = await serve(self.store.app())
        await self.write_routes()
        for number in range(self.settings.runners):
            service = SERVICES[0] if number < self.settings.runners - 1 else SERVICES[1]
            await self.add_runner(service, 1 + number % 2)
        for number in range(self.settings.nodes):
            await self._add_node(number, self._served.address)
        for node in self.nodes:
            node.write_settings(self.nodes)
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        return self

    async def _add_node(self, number: int, store: str) -> None:
        host = f"127.{1 + self._block // 250 % 120}.{self._block % 250}.{number + 11}"
        node = WaysNode(number, host, self.folder, store)
        node.limited, node.program = self.settings.limited, self._program
        node.front = await self.add_proxy(host, node.ports["frontend"], f"front {number}")
        node.link = await self.add_proxy(host, node.ports["control-plane"], f"link {number}")
        node.front.owner = node.link.owner = node.name
        self.nodes.append(node)

    async def add_proxy(self, host: str, port: int, name: str) -> WaysProxy:
        """Start a proxy before an address."""
        proxy = await WaysProxy(host, port, f"{self._seed} {name}").start()
        self.proxies.append(proxy)
        return proxy

    async def write_routes(self) -> None:
        """Write the routes as they are now, under the next version."""
        self._version += 1
        table = write_table(self._version)
        row = table["routes"][0]
        table["routes"] = [
            {
                **row,
                "name": f"r-{name}",
                "path-prefix": f"/{name}/",
                "type": kind.route_type,
                "timeout-ms": self.routes[name][1],
                "service": self.routes[name][0],
                "max-attempts": kind.attempts,
                "resumable": kind.resumable,
            }
            for name, kind in KINDS.items()
        ]
        model = {
            "name": "m1",
            "weights-mb": 60000,
            "load-time-s": 6,
            "adapters": 0,
            "adapter-size-mb": 12,
        }
        engine = {"weights-mb": 70000, "max-adapters": 8, "loads-per-s": 1.4, "models": [model]}
        service = table["services"][0]
        table["services"] = [{**service, "name": one, "engine": engine} for one in SERVICES]
        await self.store.write("config", "main", table)

    async def move_route(self, kind: str, service: str, limit_ms: int) -> None:
        """Write a route to a service and a time limit, and record when it moved."""
        if self.routes[kind][0] != service:
            self._moves.append((time.monotonic(), kind, service))
        self.routes[kind] = (service, limit_ms)
        await self.write_routes()

    async def add_runner(self, service: str, version: int) -> RunnerProcess:
        """Start another runner, and write its entry."""
        runner = RunnerProcess(f"i{len(self._all_runners):02d}", service, version, self)
        self._all_runners.append(runner)
        await runner.start()
        self.runners.append(runner)
        await self.write_entry(runner)
        return runner

    async def write_entry(self, runner: RunnerProcess, state: str = "ready", **more: int) -> None:
        """Write a runner's entry, with the version that it has now."""
        await self.store.write("servers", runner.name, runner.entry(state) | more)

    async def remove_entry(self, runner: RunnerProcess) -> None:
        """Delete a runner's entry, if it is there."""
        with contextlib.suppress(StoreError):
            await self.store.remove("servers", runner.name)

    async def remove_runner(self, runner: RunnerProcess) -> None:
        """Kill a runner, and delete its entry."""
        self.runners.remove(runner)
        await runner.kill()
        await self.remove_entry(runner)

    def read_runs(self) -> list[Run]:
        """Return the runs of all runners, by their records."""
        found = [run for runner in self._all_runners for run in runner.read_runs()]
        return [
            run._replace(
                moved_at=self._find_move(run),
                disturbed=self._is_disturbed(run.runner, run.at, run.ended_at + GOES_S),
            )
            for run in found
        ]

    def _find_move(self, run: Run) -> float:
        where = run.kind, run.service
        times = (at for at, *move in self._moves if tuple(move) == where and at < run.at)
        return max(times, default=0.0)

    def count_moves(self) -> int:
        """Return how many copies of runs were made as nodes had asked for, by the records."""
        return sum(runner.count_moves() for runner in self._all_runners)

    async def stop(self) -> None:
        """End everything; the nodes' logs and the runners' records are kept."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
            node.read_log()
            self.logs[node.name] = node.log_text
        for runner in self._all_runners:
            await runner.end()
            self.logs[runner.name] = runner.read_record()
        for proxy in self.proxies:
            proxy.stop()
        if self._served is not None:
            await self._served.close()

    def clean(self) -> None:
        """Delete the records."""
        self._kept.cleanup()
