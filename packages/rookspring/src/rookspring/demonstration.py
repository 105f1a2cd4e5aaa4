"""The demo: three nodes and the fakes on loopback in one process, with real requests.

It applies one user's resources through the resource API. Then it sends streams and
unrepeatable calls to addresses from the lookup, while one node is killed and another
drained, and counts how each request ended.
"""

import asyncio
import random
import typing as t

import orjson
import typer

from rookspring_fakes import SIZES as SIZES
from rookspring_fakes import Caller
from rookspring_fakes.caller import Answer
from rookspring_fakes.caller import expected_text

from .local_cluster import LocalCluster
from .local_cluster import LocalClusterPlan

STREAMS = 150
CALLS = 150
TOKENS = 60


class DemoPlan(t.NamedTuple):
    """Options of the command line."""

    user: str
    exit: bool
    as_json: bool
    base_port: int
    trace_file: str


class Tally:
    """Counts of how requests ended; the attributes are the rows of the printed table."""

    def __init__(self) -> None:
        self.sent = 0
        self.whole = 0
        self.not_run = 0
        self.unknown = 0
        self.cut = 0
        self.foreign = 0
        self.doubled = 0
        self.false_not_run = 0
        self.resumed = 0
        self.moves = 0
        self.broken: list[str] = []

    def count_stream(self, answer: Answer, wanted: str) -> None:
        """Count the end of a stream."""
        self.sent += 1
        self.resumed += answer.resumed
        if answer.outcome == "ran" and answer.text == wanted:
            self.whole += 1
        elif answer.text and not wanted.startswith(answer.text):
            self.foreign += 1
        elif answer.outcome == "not_run" and not answer.text:
            self.not_run += 1
        else:
            self.cut += 1

    def count_call(self, outcome: str) -> None:
        """Count the end of an unrepeatable call by the outcome that its caller got."""
        self.sent += 1
        if outcome == "ran":
            self.whole += 1
        elif outcome == "not_run":
            self.not_run += 1
        else:
            self.unknown += 1

    def failed(self) -> bool:
        """Return whether any guarantee was violated."""
        return bool(self.cut or self.foreign or self.doubled or self.false_not_run or self.broken)

    def table(self) -> dict[str, t.Any]:
        """Return the counts by name."""
        return dict(vars(self).items())


class DemoLoad:
    """Requests of ten callers to a local cluster, while nodes are killed and drained."""

    def __init__(self, cluster: LocalCluster) -> None:
        self.cluster = cluster
        self.size = cluster.size
        self.tally = Tally()
        self._not_run_calls: set[str] = set()

    async def run(self, callers: int = 10) -> None:
        """Send streams and unrepeatable calls while nodes are killed and drained."""
        clients = [Caller(self.cluster.addresses(), seed=number) for number in range(callers)]
        try:
            work = [
                self._run_streams(clients[number % callers], number) for number in range(callers)
            ]
            work += [
                self._run_calls(clients[number % callers], number) for number in range(callers)
            ]
            await asyncio.gather(*work, self._stop_nodes())
        finally:
            for client in clients:
                await client.close()
        cluster = self.cluster
        runs = cluster.ledger.runs
        self.tally.doubled = len(cluster.ledger.repeated_calls())
        self.tally.false_not_run = sum(1 for call in self._not_run_calls if runs.get(call))
        engines = cluster.engines.values()
        self.tally.moves = sum(engine.loads + engine.unloads for engine in engines)
        over = sum(engine.overcommits for engine in engines)
        self.tally.broken = list(cluster.violations)
        if over:
            self.tally.broken.append(f"{over} orders beyond an endpoint's memory")

    async def _run_streams(self, caller: Caller, number: int) -> None:
        rng = random.Random(number)
        for turn in range(STREAMS // 10):
            model = f"{self.size.engine}-{rng.randrange(self.size.models):02d}"
            prompt = f"caller {number} turn {turn}"
            wanted = expected_text(model, prompt, TOKENS)
            answer = await caller.stream(model, prompt, TOKENS)
            self.tally.count_stream(answer, wanted)

    async def _run_calls(self, caller: Caller, number: int) -> None:
        session: str | None = None
        for turn in range(CALLS // 10):
            call = f"c{number}-{turn}"
            outcome = "not_run"
            for _ in range(4):
                session = session or await caller.open_session()
                key = f"{session}/{turn}"
                body = {"call": call}
                outcome = await caller.call_until_known(
                    self.size.service, self.size.unrepeatable, body, key
                )
                if outcome != "not_run":
                    break
                # The session's node was drained; this call was never started.
                session = None
            if outcome == "not_run":
                self._not_run_calls.add(call)
            if outcome == "unknown":
                session = None
            self.tally.count_call(outcome)
            await asyncio.sleep(0.15 + jitter_s(number, turn))

    async def _stop_nodes(self) -> None:
        await asyncio.sleep(2.0)
        self.cluster.print_progress("killing box-2")
        await self.cluster.kill("box-2")
        await asyncio.sleep(2.0)
        self.cluster.print_progress("draining box-3")
        self.cluster.drain("box-3")


def jitter_s(number: int, turn: int) -> float:
    """Return a short pause that differs by caller and turn, in seconds."""
    return random.Random(number * 1000 + turn).random() * 0.2


async def run_demo(plan: DemoPlan) -> int:
    """Run the demo.

    :return: the exit code, non-zero if a guarantee was violated.
    """
    size = SIZES[plan.user]
    cluster = LocalCluster(LocalClusterPlan(size, plan.base_port, trace_file=plan.trace_file))
    cluster.print_progress(f"starting stand-ins and three boxes for {plan.user}")
    await cluster.start()
    try:
        await cluster.apply()
        if plan.exit:
            cluster.print_progress("sending requests")
            load = DemoLoad(cluster)
            await load.run()
            _print(plan, load.tally)
            return int(load.tally.failed())
        _print_commands(cluster)
        await asyncio.Event().wait()
    finally:
        await cluster.close()
    return 0


def _print(plan: DemoPlan, tally: Tally) -> None:
    table = tally.table()
    if plan.as_json:
        typer.echo(orjson.dumps(table).decode())
        return
    for name, value in table.items():
        typer.echo(f"{name:>14}  {value}")


def _print_commands(cluster: LocalCluster) -> None:
    address = cluster.addresses()[0]
    model = f"{cluster.size.engine}-00"
    typer.echo(f"up; addresses: curl http://{address}/v1/addresses")
    typer.echo(f"  rookctl --server http://{address} --key demo status")
    typer.echo(
        f"  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer demo' "
        f'-d \'{{"model":"{model}","messages":[{{"role":"user","content":"hi"}}],'
        '"max_tokens":20,"stream":true}\''
    )
