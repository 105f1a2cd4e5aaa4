"""Measures the latency that nodes add to streams, through none, one and two nodes.

Nodes, fakes and callers each run in a process of their own, so that the processor time is
that of the nodes alone and every hop crosses a process boundary. Every round measures all
three paths in turn, so that ratios and differences compare figures of the same run.
"""

import argparse
import asyncio
import multiprocessing
import os
import time
import typing as t

import aiohttp
import orjson
import uvloop

from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan
from rookspring.logs import configure
from rookspring.node import Node
from rookspring.settings import Settings
from rookspring_fakes.users import SMALL

from .registry import experiment
from .registry import quantile
from .registry import report

MODEL = "pitwall-llm-00"
AUTH = {"Authorization": "Bearer demo"}


def _serve_nodes(settings: list[Settings], profile: str) -> None:
    """Run nodes in this process until it is terminated.

    :param profile: a file for a profile of the nodes, which then stop after 25 s; empty for none.
    """
    configure("ERROR")

    async def run() -> None:
        for one in settings:
            await Node(one).start()
        await asyncio.sleep(3600)

    if profile:
        import cProfile

        profiler = cProfile.Profile()
        loop = uvloop.new_event_loop()
        task = loop.create_task(run())
        loop.call_later(25.0, task.cancel)
        try:
            profiler.runcall(loop.run_until_complete, task)
        except asyncio.CancelledError:
            profiler.dump_stats(profile)
        return
    uvloop.run(run())


class StreamTiming(t.NamedTuple):
    """Durations of one stream in seconds, and the numbers of its tokens and events."""

    first_token_s: float
    total_s: float
    tokens: int
    events: int = 0


async def _read_direct(
    session: aiohttp.ClientSession, address: str, name: str, tokens: int
) -> StreamTiming:
    body = {"id": name, "model": MODEL, "prompt": name, "max_tokens": tokens}
    begun = time.perf_counter()
    first = 0.0
    async with session.post(f"http://{address}/v1/generate", data=orjson.dumps(body)) as response:
        async for line in response.content:
            if not first and b"tokens" in line:
                first = time.perf_counter() - begun
    return StreamTiming(first, time.perf_counter() - begun, tokens)


async def _read_node(
    session: aiohttp.ClientSession, address: str, name: str, tokens: int, key: str = ""
) -> StreamTiming:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": name}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {**AUTH, "Idempotency-Key": key} if key else AUTH
    begun = time.perf_counter()
    first = 0.0
    done = False
    events = 0
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, data=orjson.dumps(body), headers=headers) as response:
        async for line in response.content:
            if line.startswith(b"id: "):
                events += 1
                first = first or time.perf_counter() - begun
            done = done or line.startswith(b"data: [DONE]")
    assert done, name
    return StreamTiming(first, time.perf_counter() - begun, tokens, events)


def _serve_fakes(plan: LocalClusterPlan, pipe: t.Any) -> None:
    """Run the platform and the runners in this process until it is terminated.

    :param pipe: gets the settings of two nodes, then the address of a runner that hosts the model.
    """
    configure("ERROR")

    async def run() -> None:
        stage = LocalCluster(plan)
        await stage.start()
        settings = [
            stage.make_settings(number + 1)._replace(full_checks=False) for number in range(2)
        ]
        for one in settings:
            stage.list_node(one)
        pipe.send(settings)
        while not any(engine.hosts(MODEL) for engine in stage.engines.values()):
            await asyncio.sleep(0.05)
        names = [name for name, engine in stage.engines.items() if engine.hosts(MODEL)]
        pipe.send(stage.served[names[0]].address)
        await asyncio.sleep(3600)

    uvloop.run(run())


async def _measure(
    runner: str, nodes: list[str], rounds: int, flood: int, pid: int
) -> dict[str, t.Any]:
    samples: dict[str, list[StreamTiming]] = {"direct": [], "one node": [], "two nodes": []}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        async with session.post(f"http://{nodes[1]}/v1/sessions", headers=AUTH) as response:
            key = orjson.loads(await response.read())["session"]
        for number in range(rounds):
            samples["direct"].append(await _read_direct(session, runner, f"d{number}", 20))
            samples["one node"].append(await _read_node(session, nodes[0], f"o{number}", 20))
            two = await _read_node(session, nodes[0], f"t{number}", 20, f"{key}/{number}")
            samples["two nodes"].append(two)
        throughput = await _measure_throughput(session, nodes[0], flood, pid)
    return {"samples": samples, "flood": throughput}


async def _measure_throughput(
    session: aiohttp.ClientSession, node: str, streams: int, pid: int
) -> dict[str, float]:
    before = _cpu_of(pid)
    begun = time.perf_counter()
    work = [_read_node(session, node, f"f{number}", 2000) for number in range(streams)]
    found = await asyncio.gather(*work)
    wall = time.perf_counter() - begun
    cpu = _cpu_of(pid) - before
    tokens = streams * 2000
    events = sum(one.events for one in found)
    return {
        "tokens": tokens,
        "events": events,
        "wall s": wall,
        "cpu s": cpu,
        "tokens/s a core": tokens / cpu,
        "events/s a core": events / cpu,
    }


def _cpu_of(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


@experiment("relay")
def run(arguments: list[str]) -> int:
    """Measure the latency of each path, then the throughput of concurrent streams."""
    parser = argparse.ArgumentParser("relay")
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument(
        "--step", type=float, default=0.01, help="interval at which runners send tokens, s"
    )
    parser.add_argument("--stream-rate", type=float, default=100.0, help="tokens/s of a stream")
    parser.add_argument("--profile", default="")
    options = parser.parse_args(arguments)
    plan = LocalClusterPlan(
        SMALL,
        base_port=7700,
        nodes=0,
        token_rate=1e6,
        stream_rate=options.stream_rate,
        slots=256,
        step_s=options.step,
        quiet=True,
        full_checks=False,
    )
    configure("ERROR")
    result = uvloop.run(_run(plan, options))
    samples = result["samples"]
    rows: list[dict[str, t.Any]] = []
    base: dict[str, float] = {}
    for path, found in samples.items():
        first = quantile([one.first_token_s for one in found], 0.5) * 1000
        each = (
            quantile([(one.total_s - one.first_token_s) / one.tokens for one in found], 0.5) * 1000
        )
        base.setdefault("first", first)
        base.setdefault("each", each)
        rows.append(
            {
                "way": path,
                "first token ms": round(first, 3),
                "p95 ms": round(quantile([one.first_token_s for one in found], 0.95) * 1000, 3),
                "added ms": round(first - base["first"], 3),
                "per token ms": round(each, 3),
                "added per token ms": round(each - base["each"], 4),
            }
        )
    report("relay", f"{options.rounds} streams per path, medians", rows)
    throughput = {key: round(value, 3) for key, value in result["flood"].items()}
    report("relay-flood", "throughput of one node's process", [throughput])
    return 0


async def _run(plan: LocalClusterPlan, options: argparse.Namespace) -> dict[str, t.Any]:
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    fakes = context.Process(target=_serve_fakes, args=(plan, child_pipe), daemon=True)
    fakes.start()
    settings = pipe.recv()
    nodes = context.Process(target=_serve_nodes, args=(settings, options.profile), daemon=True)
    nodes.start()
    try:
        addresses = [one.caller_address for one in settings]
        await _wait_listening(addresses)
        await LocalCluster(plan).apply_at(addresses)
        return await _measure(
            pipe.recv(), addresses, options.rounds, options.streams, nodes.pid or 0
        )
    finally:
        if options.profile:
            await asyncio.sleep(12.0)
        for child in (nodes, fakes):
            child.terminate()
            child.join(5.0)


async def _wait_listening(addresses: list[str]) -> None:
    async with aiohttp.ClientSession() as session:
        for address in addresses:
            for _ in range(200):
                try:
                    async with session.get(f"http://{address}/healthz"):
                        break
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)
