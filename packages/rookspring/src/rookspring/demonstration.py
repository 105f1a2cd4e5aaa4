"""The whole path on loopback in one process: three nodes, the stand-ins, real requests.

It applies one user's resources through the resource API, sends streams and
unrepeatable calls by the address lookup while one node is killed and another
drained, and counts how each request ended.
"""

import asyncio
import hashlib
import random
import time
import typing as t

import aiohttp
import orjson
import typer

from rookspring_core import InvariantBroken
from rookspring_fakes import USERS as USERS
from rookspring_fakes import Caller
from rookspring_fakes import Engine
from rookspring_fakes import Ledger
from rookspring_fakes import PlainService
from rookspring_fakes import Platform
from rookspring_fakes import Runner
from rookspring_fakes import WeightStore
from rookspring_fakes import serve
from rookspring_fakes.caller import Answer
from rookspring_fakes.caller import expected_text
from rookspring_fakes.serving import Served
from rookspring_fakes.users import declare

from .node import Node
from .settings import Settings

STREAMS = 150
CALLS = 150
TOKENS = 60


class DemoPlan(t.NamedTuple):
    """What the command line asked for."""

    user: str
    exit: bool
    as_json: bool
    base_port: int
    trace_file: str


class Tally:
    """How requests ended."""

    def __init__(self) -> None:
        self.sent = 0
        self.whole = 0
        self.not_run = 0
        self.unknown = 0
        self.cut = 0
        self.foreign = 0
        self.doubled = 0
        self.false_not_run = 0
        self.deadline_met = 0
        self.resumed = 0
        self.moves = 0
        self.broken: list[str] = []

    def take(self, answer: Answer, wanted: str, deadline_s: float) -> None:
        """Count a stream's end."""
        self.sent += 1
        self.resumed += answer.resumed
        if answer.outcome == "ran" and answer.text == wanted:
            self.whole += 1
            self.deadline_met += int(answer.total_s <= deadline_s)
        elif answer.text and not wanted.startswith(answer.text):
            self.foreign += 1
        elif answer.outcome == "not_run" and not answer.text:
            self.not_run += 1
        else:
            self.cut += 1

    def take_call(self, outcome: str, call: str, total_s: float, deadline_s: float) -> None:
        """Count an unrepeatable call's end as its caller was told."""
        self.sent += 1
        if outcome == "ran":
            self.whole += 1
            self.deadline_met += int(total_s <= deadline_s)
        elif outcome == "not_run":
            self.not_run += 1
        else:
            self.unknown += 1

    def failed(self) -> bool:
        """Say whether any promise broke."""
        return bool(self.cut or self.foreign or self.doubled or self.false_not_run or self.broken)

    def table(self) -> dict[str, t.Any]:
        """Give the counts by name."""
        return dict(vars(self).items())


class Stage:
    """All stand-ins and nodes of one demonstration."""

    def __init__(self, plan: DemoPlan) -> None:
        self.plan = plan
        self.size = USERS[plan.user]
        self.platform = Platform()
        self.store = WeightStore(self.size.loads_at_once, gb_per_s=20.0)
        self.engines: list[Engine] = []
        self.ledger = Ledger()
        self.served: list[Served] = []
        self.nodes: list[Node] = []
        self.tally = Tally()
        self.ends: list[asyncio.Task[None]] = []

    def say(self, text: str) -> None:
        """Show progress, on standard error so that JSON stays alone."""
        typer.echo(text, err=True)

    async def raise_stand_ins(self) -> str:
        """Start the platform, the runners and the services.

        :return: the platform's address.
        """
        places = self.size.data_centres
        platform = await serve(self.platform.app())
        self.served.append(platform)
        for number in range(self.size.runners):
            engine = Engine(
                f"{self.size.engine}-r{number}",
                self.store,
                token_rate=2000.0,
                checks_orders=number % 3 != 2,
                seed=number,
            )
            self.engines.append(engine)
            served = await serve(Runner(engine).app())
            self._list_box(engine.name, served, places[number % 3], "runner", self.size.engine)
        for number in range(self.size.service_endpoints):
            service = PlainService(f"{self.size.service}-{number}", self.ledger, seed=number)
            served = await serve(service.app())
            place = places[number % 3]
            self._list_box(service.name, served, place, "service", self.size.service)
        return platform.address

    def _list_box(self, name: str, served: Served, place: str, role: str, service: str) -> None:
        self.served.append(served)
        self.platform.store.boxes[name] = {
            "name": name,
            "address": served.address,
            "data_centre": place,
            "role": role,
            "state": "live",
            "service": service,
        }

    async def raise_nodes(self, platform: str) -> None:
        """Start three nodes, one in each data centre."""
        digest = hashlib.sha256(b"demo").hexdigest()
        for number, place in enumerate(self.size.data_centres):
            settings = Settings(
                name=f"box-{number + 1}",
                data_centre=place,
                port=self.plan.base_port + number + 1,
                peer_port=self.plan.base_port + number + 101,
                platform=f"http://{platform}",
                shared_key="demo-shared-key-of-three-boxes",
                signing_keys=("demo-signing-key-of-three-boxes",),
                operator_key_sha256=(digest,),
                trace_file=self.plan.trace_file,
                full_checks=True,
            )
            node = Node(settings, on_broken=self._broke)
            await node.start()
            self.nodes.append(node)
            self.platform.store.boxes[settings.name] = {
                "name": settings.name,
                "address": settings.address,
                "data_centre": place,
                "role": "node",
                "state": "live",
                "service": "",
            }

    def _broke(self, error: InvariantBroken) -> None:
        self.tally.broken.append(str(error))

    def addresses(self) -> list[str]:
        """List where callers may ask first."""
        return [node.settings.caller_address for node in self.nodes]

    async def apply(self) -> None:
        """Declare the user's resources through the resource API and wait until all serve."""
        documents = declare(self.size)
        base = f"http://{self.nodes[0].settings.caller_address}/api/v1"
        headers = {"Authorization": "Bearer demo"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for document in documents:
                url = f"{base}/resources/{document['kind']}/{document['name']}"
                body = orjson.dumps({"spec": document["spec"]})
                async with session.put(url, data=body) as response:
                    if response.status != 200:
                        raise RuntimeError(await response.text())
            self.say(f"applied {len(documents)} resources; waiting until every model is resident")
            await self._wait_resident(session, base, len(documents))

    async def _wait_resident(
        self, session: aiohttp.ClientSession, base: str, documents: int
    ) -> None:
        end = time.monotonic() + 120.0
        shown = -1
        while time.monotonic() < end:
            async with session.get(f"{base}/status") as response:
                status = orjson.loads(await response.read())
            missing = len(status["models_not_resident"])
            placed = status["models"] - missing
            if placed != shown:
                self.say(f"  {placed} of {self.size.models} models resident")
                shown = placed
            everywhere = all(
                len(node.state.catalogue.accepted) >= documents and self._sees_all(node)
                for node in self.nodes
            )
            if status["models"] == self.size.models and not missing and everywhere:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("the models did not become resident within two minutes")

    def _sees_all(self, node: Node) -> bool:
        models = {
            model
            for view in node.state.endpoints.values()
            if view.report is not None
            for model, _ in view.report.resident
        }
        services = any(
            view.role == "service" and view.report for view in node.state.endpoints.values()
        )
        return services and len(models) >= self.size.models

    async def load(self, callers: int = 10) -> None:
        """Send streams and unrepeatable calls while nodes are killed and drained."""
        teams = [Caller(self.addresses(), seed=number) for number in range(callers)]
        try:
            work = [self._run_streams(teams[number % callers], number) for number in range(callers)]
            work += [self._run_calls(teams[number % callers], number) for number in range(callers)]
            await asyncio.gather(*work, self._disturb())
        finally:
            for team in teams:
                await team.close()
        told_not_run = {call for call in self._not_run_calls if self.ledger.runs.get(call)}
        self.tally.doubled = len(self.ledger.doubled())
        self.tally.false_not_run = len(told_not_run)
        self.tally.moves = sum(engine.loads + engine.unloads for engine in self.engines)
        over = sum(engine.overcommits for engine in self.engines)
        if over:
            self.tally.broken.append(f"{over} orders beyond an endpoint's memory")

    _not_run_calls: t.ClassVar[set[str]] = set()

    async def _run_streams(self, caller: Caller, number: int) -> None:
        chance = random.Random(number)
        for turn in range(STREAMS // 10):
            model = f"{self.size.engine}-{chance.randrange(self.size.models):02d}"
            prompt = f"caller {number} turn {turn}"
            wanted = expected_text(model, prompt, TOKENS)
            answer = await caller.stream(model, prompt, TOKENS)
            self.tally.take(answer, wanted, 60.0)

    async def _run_calls(self, caller: Caller, number: int) -> None:
        session: str | None = None
        for turn in range(CALLS // 10):
            call = f"c{number}-{turn}"
            begun = time.monotonic()
            outcome = "not_run"
            for _ in range(4):
                session = session or await caller.open_session()
                key = f"{session}/{turn}"
                body = {"call": call}
                outcome = await caller.call_surely(
                    self.size.service, self.size.unrepeatable, body, key
                )
                if outcome != "not_run":
                    break
                # The session's node ended as planned; this call was never begun.
                session = None
            if outcome == "not_run":
                self._not_run_calls.add(call)
            if outcome == "unknown":
                session = None
            self.tally.take_call(outcome, call, time.monotonic() - begun, 10.0)
            await asyncio.sleep(0.15 + chance_of(number, turn))

    async def _disturb(self) -> None:
        await asyncio.sleep(2.0)
        self.say("killing box-2")
        await kill(self.nodes[1])
        await asyncio.sleep(2.0)
        self.say("draining box-3")
        self.nodes[2].drain()
        self.ends.append(asyncio.create_task(self.nodes[2].run_until_stopped()))

    async def close(self) -> None:
        """End everything."""
        for task in self.ends:
            await asyncio.wait_for(task, 60.0)
        for node in self.nodes:
            if not node.stopping.is_set():
                await node.close()
        for served in self.served:
            await served.close()


def chance_of(number: int, turn: int) -> float:
    """Give a small wait that differs by caller and turn, in seconds."""
    return random.Random(number * 1000 + turn).random() * 0.2


async def kill(node: Node) -> None:
    """End a node as a crash does: connections break and nothing is written."""
    from . import web

    node.stopping.set()
    for exchange in list(node.exchanges.values()):
        if exchange.task is not None:
            exchange.task.cancel()
    await web.abort(node.http_server)
    await node.close()


async def show(plan: DemoPlan) -> int:
    """Run the demonstration.

    :return: the exit code, non-zero when a promise broke.
    """
    stage = Stage(plan)
    stage.say(f"starting stand-ins and three boxes for {plan.user}")
    platform = await stage.raise_stand_ins()
    await stage.raise_nodes(platform)
    try:
        await stage.apply()
        if plan.exit:
            stage.say("sending requests")
            await stage.load()
            _print(plan, stage.tally)
            return int(stage.tally.failed())
        _invite(stage)
        await asyncio.Event().wait()
    finally:
        await stage.close()
    return 0


def _print(plan: DemoPlan, tally: Tally) -> None:
    table = tally.table()
    if plan.as_json:
        typer.echo(orjson.dumps(table).decode())
        return
    for name, value in table.items():
        typer.echo(f"{name:>14}  {value}")


def _invite(stage: Stage) -> None:
    address = stage.addresses()[0]
    model = f"{stage.size.engine}-00"
    typer.echo(f"up; addresses: curl http://{address}/v1/addresses")
    typer.echo(f"  rookctl --server http://{address} --key demo status")
    typer.echo(
        f"  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer demo' "
        f'-d \'{{"model":"{model}","messages":[{{"role":"user","content":"hi"}}],'
        '"max_tokens":20,"stream":true}\''
    )
