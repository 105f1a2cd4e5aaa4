"""Runs streams over real sockets while nodes are killed and drained, and runners fail."""

import argparse
import asyncio
import random
import typing as t

import uvloop

from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan
from rookspring.logs import configure
from rookspring_fakes import Caller
from rookspring_fakes.caller import Answer
from rookspring_fakes.caller import expected_text
from rookspring_fakes.users import SMALL

from .live import disturb
from .live import run_deployment
from .registry import experiment
from .registry import quantile
from .registry import report

TOKENS = 120


class StreamResult(t.NamedTuple):
    """The answer to one stream, and the text that was expected."""

    answer: Answer
    expected: str


async def _run_worker(
    caller: Caller, left: list[int], found: list[StreamResult], gaps: list[float]
) -> None:
    while left:
        number = left.pop()
        model = f"{SMALL.engine}-{number % SMALL.models:02d}"
        prompt = f"stream {number}"
        answer = await caller.stream(model, prompt, TOKENS, gaps=gaps)
        found.append(StreamResult(answer, expected_text(model, prompt, TOKENS)))


async def _fail_runners(stage: LocalCluster, until: asyncio.Event, seed: int) -> int:
    """Fail a random runner about every 2.5 s for 0.3 s, and cancel its streams.

    :return: how often a runner failed.
    """
    rng = random.Random(seed)
    count = 0
    while not until.is_set():
        await asyncio.sleep(2.5)
        engine = rng.choice(sorted(stage.engines.values(), key=lambda one: one.name))
        engine.faults.killed = True
        await asyncio.sleep(0.3)
        for name in list(engine.streams):
            engine.cancel(engine.now, name)
        engine.faults.killed = False
        count += 1
    return count


async def _run(streams: int, workers: int) -> dict[str, t.Any]:
    plan = LocalClusterPlan(SMALL, base_port=8100, slots=64, token_rate=8000.0)
    numbers = [1, 2, 3, 4, 5]
    async with run_deployment(plan, numbers) as boxes:
        seeds = [boxes.address(number) for number in numbers]
        callers = [Caller(seeds, seed=number) for number in range(workers)]
        left = list(range(streams))
        found: list[StreamResult] = []
        gaps: list[float] = []
        done = asyncio.Event()
        disturbing = asyncio.create_task(disturb(boxes, ("kill", "kill", "drain"), done))
        runners = asyncio.create_task(_fail_runners(boxes.stage, done, 1))
        await asyncio.gather(*(_run_worker(one, left, found, gaps) for one in callers))
        done.set()
        for caller in callers:
            await caller.close()
        return {
            "found": found,
            "gaps": gaps,
            "disturbances": await disturbing,
            "runners": await runners,
        }


@experiment("streams")
def run(arguments: list[str]) -> int:
    """Run the streams and compare each one's text with the expected text."""
    parser = argparse.ArgumentParser("streams")
    parser.add_argument("--streams", type=int, default=2000)
    parser.add_argument("--workers", type=int, default=80)
    options = parser.parse_args(arguments)
    configure("ERROR")
    result = uvloop.run(_run(options.streams, options.workers))
    found: list[StreamResult] = result["found"]
    gaps: list[float] = result["gaps"]
    whole = [one for one in found if one.answer.text == one.expected]
    foreign = [one for one in found if not one.expected.startswith(one.answer.text)]
    refused = [one for one in found if one.answer.outcome == "not_run" and not one.answer.text]
    cut = len(found) - len(whole) - len(foreign) - len(refused)
    resumed = [one for one in whole if one.answer.resumed]
    row = {
        "streams": len(found),
        "whole": len(whole),
        "resumed by callers": len(resumed),
        "foreign": len(foreign),
        "cut": cut,
        "not_run": len(refused),
        "resume p50 ms": round(1000 * quantile(gaps, 0.5), 1),
        "resume p95 ms": round(1000 * quantile(gaps, 0.95), 1),
        "nodes killed": result["disturbances"]["kill"],
        "drained": result["disturbances"]["drain"],
        "runners broken": result["runners"],
    }
    report("streams", f"streams of {TOKENS} tokens while nodes and runners fail", [row])
    for one in found:
        if one.answer.text != one.expected and one not in refused:
            print(f"  {one.answer.outcome} {one.answer.reason} after {len(one.answer.text)} chars")
    return int(bool(foreign) or cut > 0)
