"""Fakes and nodes on loopback in one process, for the demo, tests and experiments."""

import asyncio
import hashlib
import typing as t

import aiohttp
import orjson
import typer

from rookspring_core import InvariantBroken
from rookspring_fakes import Engine
from rookspring_fakes import Ledger
from rookspring_fakes import PlainService
from rookspring_fakes import Platform
from rookspring_fakes import Runner
from rookspring_fakes import WeightStore
from rookspring_fakes import serve
from rookspring_fakes.serving import RunningServer
from rookspring_fakes.users import UserSize
from rookspring_fakes.users import list_resources

from . import web
from .node import Node
from .settings import Settings

KEY = "demo"
RESIDENT_WAIT_S = 120.0


class LocalClusterPlan(t.NamedTuple):
    """What to start.

    :param token_rate: tokens per second of each runner.
    :param step_s: interval at which a runner sends the tokens it has made, in seconds.
    """

    size: UserSize
    base_port: int = 7400
    nodes: int = 3
    trace_file: str = ""
    token_rate: float = 2000.0
    stream_rate: float = 100.0
    slots: int = 16
    step_s: float = 0.01
    full_checks: bool = True
    quiet: bool = False


class LocalCluster:
    """All fakes and nodes; they run in the current event loop."""

    def __init__(self, plan: LocalClusterPlan) -> None:
        self.plan = plan
        self.size = plan.size
        self.platform = Platform()
        self.store = WeightStore(self.size.loads_at_once, gb_per_s=20.0)
        self.engines: dict[str, Engine] = {}
        self.runners: dict[str, Runner] = {}
        self.services: dict[str, PlainService] = {}
        self.ledger = Ledger()
        self.served: dict[str, RunningServer] = {}
        self.nodes: dict[str, Node] = {}
        self.violations: list[str] = []
        self.shutdowns: list[asyncio.Task[None]] = []
        self.crashed_runners: list[str] = []
        self.platform_address = ""

    def print_progress(self, text: str) -> None:
        """Print progress to standard error, so that standard output has the JSON alone."""
        if not self.plan.quiet:
            typer.echo(text, err=True)

    async def start(self) -> None:
        """Start the fakes, then the nodes."""
        await self._start_fakes()
        for number in range(self.plan.nodes):
            await self.start_node(number + 1)

    async def _start_fakes(self) -> None:
        places = self.size.data_centres
        platform = await serve(self.platform.app())
        self.served["platform"] = platform
        self.platform_address = platform.address
        for number in range(self.size.runners):
            await self.start_runner(number)
        for number in range(self.size.service_endpoints):
            service = PlainService(f"{self.size.service}-{number}", self.ledger, seed=number)
            self.services[service.name] = service
            served = await serve(service.app())
            place = places[number % 3]
            self._list_box(service.name, served, place, "service", self.size.service)

    async def start_runner(self, number: int, fatal_text: str = "") -> None:
        """Start a runner.

        :param fatal_text: a prompt that contains it crashes the runner when it starts to run.
        """
        engine = Engine(
            f"{self.size.engine}-r{number}",
            self.store,
            token_rate=self.plan.token_rate,
            stream_rate=self.plan.stream_rate,
            slots=self.plan.slots,
            checks_orders=number % 3 != 2,
            seed=number,
        )
        self.engines[engine.name] = engine
        runner = self.runners[engine.name] = Runner(engine, self.plan.step_s)
        served = await serve(runner.app())
        runner.fatal_text = fatal_text
        runner.on_fatal = lambda: self._end_runner(engine.name, served)
        place = self.size.data_centres[number % 3]
        self._list_box(engine.name, served, place, "runner", self.size.engine)

    def _end_runner(self, name: str, served: RunningServer) -> None:
        """Stop a runner as a crash would; its box stays listed."""
        self.crashed_runners.append(name)
        self.engines.pop(name, None)
        self.served.pop(name, None)
        self.shutdowns.append(asyncio.create_task(served.close()))

    def _list_box(
        self, name: str, served: RunningServer, place: str, role: str, service: str
    ) -> None:
        self.served[name] = served
        self.platform.store.boxes[name] = {
            "name": name,
            "address": served.address,
            "data_centre": place,
            "role": role,
            "state": "live",
            "service": service,
        }

    def make_settings(self, number: int) -> Settings:
        """Return the settings of the node with a number."""
        places = self.size.data_centres
        return Settings(
            name=f"box-{number}",
            data_centre=places[(number - 1) % len(places)],
            port=self.plan.base_port + number,
            peer_port=self.plan.base_port + number + 100,
            platform=f"http://{self.platform_address}",
            shared_key="demo-shared-key-of-three-boxes",
            signing_keys=("demo-signing-key-of-three-boxes",),
            operator_key_sha256=(hashlib.sha256(KEY.encode()).hexdigest(),),
            trace_file=self.plan.trace_file,
            full_checks=self.plan.full_checks,
        )

    def list_node(self, settings: Settings) -> None:
        """Add a node to the platform's box list."""
        self.platform.store.boxes[settings.name] = {
            "name": settings.name,
            "address": settings.address,
            "data_centre": settings.data_centre,
            "role": "node",
            "state": "live",
            "service": "",
        }

    async def start_node(self, number: int) -> Node:
        """Start a node; a second start with the same number is a new incarnation."""
        settings = self.make_settings(number)
        node = Node(settings, on_broken=self._record_violation)
        await node.start()
        self.nodes[settings.name] = node
        self.list_node(settings)
        return node

    def _record_violation(self, error: InvariantBroken) -> None:
        self.violations.append(str(error))

    def addresses(self) -> list[str]:
        """List the caller addresses of all nodes."""
        return [node.settings.caller_address for node in self.nodes.values()]

    async def apply(self, documents: list[dict[str, t.Any]] | None = None) -> None:
        """Declare resources through the resource API and wait until all nodes see all models."""
        await self.apply_at(self.addresses(), documents)
        while not all(self._sees_all(node) for node in self.nodes.values()):
            await asyncio.sleep(0.05)

    async def apply_at(
        self, addresses: list[str], documents: list[dict[str, t.Any]] | None = None
    ) -> None:
        """Declare resources at the first address; wait until all report every model resident."""
        documents = list_resources(self.size, KEY) if documents is None else documents
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for document in documents:
                path = f"resources/{document['kind']}/{document['name']}"
                body = orjson.dumps({"spec": document["spec"]})
                url = f"http://{addresses[0]}/api/v1/{path}"
                async with session.put(url, data=body) as response:
                    if response.status != 200:
                        raise RuntimeError(await response.text())
            self.print_progress(
                f"applied {len(documents)} resources; waiting until every model is resident"
            )
            async with asyncio.timeout(RESIDENT_WAIT_S):
                for address in addresses:
                    await self._wait_resident(session, address, len(addresses))

    async def _wait_resident(
        self, session: aiohttp.ClientSession, address: str, nodes: int
    ) -> None:
        shown = -1
        while True:
            async with session.get(f"http://{address}/api/v1/status") as response:
                status = orjson.loads(await response.read())
            missing = len(status["models_not_resident"])
            placed = status["models"] - missing
            if placed != shown:
                self.print_progress(f"  {address}: {placed} of {self.size.models} models resident")
                shown = placed
            linked = len(status["nodes"]) >= nodes
            if status["models"] == self.size.models and not missing and linked:
                return
            await asyncio.sleep(0.1)

    def _sees_all(self, node: Node) -> bool:
        views = node.state.endpoints.values()
        models = {model for view in views for model in view.resident}
        if len(node.state.catalogue.accepted) < self.size.models:
            return False
        services = [view for view in views if view.role == "service" and view.report]
        linked = node.state.membership.size() == len(self.nodes) - 1
        return linked and len(services) > 0 and len(models) >= self.size.models

    async def kill(self, name: str) -> None:
        """Stop a node as a crash would: connections are aborted and nothing is written."""
        node = self.nodes.pop(name)
        for exchange in list(node.exchanges.values()):
            if exchange.task is not None:
                exchange.task.cancel()
        await web.abort(node.http_server)
        await node.close()
        self.platform.store.boxes.pop(name, None)

    def drain(self, name: str) -> asyncio.Task[None]:
        """Drain a node; returns the task that waits until it has stopped."""
        node = self.nodes.pop(name)
        node.drain()
        task = asyncio.create_task(node.run_until_stopped())
        self.shutdowns.append(task)
        return task

    async def close(self) -> None:
        """Wait for the shutdowns under way, then close all nodes and fakes."""
        for task in self.shutdowns:
            await asyncio.wait_for(task, 60.0)
        for node in self.nodes.values():
            await node.close()
        for served in self.served.values():
            await served.close()
