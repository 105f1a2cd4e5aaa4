"""Unrepeatable calls over real sockets while nodes are killed, paused and drained.

Every key is sent a second time, at another node. What ran is read from the
service's own count.
"""

import argparse
import asyncio
import collections
import random
import time
import typing as t

import aiohttp
import orjson
import uvloop

from rookspring.local_cluster import KEY
from rookspring.local_cluster import LocalCluster
from rookspring.local_cluster import LocalClusterPlan
from rookspring.logs import configure
from rookspring_fakes.users import SMALL

from .live import Boxes
from .live import disturb
from .live import raised
from .registry import experiment
from .registry import quantile
from .registry import report

AUTH = {"Authorization": f"Bearer {KEY}"}


class Ledgerbook:
    """What callers were told, by call."""

    def __init__(self, tells_attempts: bool) -> None:
        self.tells_attempts = tells_attempts
        self.told: dict[str, list[tuple[str, str]]] = {}
        self.causes: collections.Counter[str] = collections.Counter()
        self.times: list[float] = []


async def _open(session: aiohttp.ClientSession, address: str) -> str:
    url = f"http://{address}/v1/sessions"
    limit = aiohttp.ClientTimeout(total=5.0, connect=1.0)
    try:
        async with session.post(url, headers=AUTH, timeout=limit) as response:
            if response.status == 201:
                return str(orjson.loads(await response.read())["session"])
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    return ""


async def _send(
    session: aiohttp.ClientSession, address: str, key: str, call: str, attempt: int
) -> tuple[str, str]:
    """Send a key once.

    :return: the outcome told, and the error's code; ``broken`` when nothing was told.
    """
    url = f"http://{address}/v1/services/{SMALL.service}/{SMALL.unrepeatable}"
    headers = {**AUTH, "Idempotency-Key": key, "X-Rookspring-Deadline-Ms": "5000"}
    if attempt:
        headers["X-Rookspring-Attempt"] = str(attempt)
    limit = aiohttp.ClientTimeout(total=8.0, connect=1.0)
    body = orjson.dumps({"call": call})
    try:
        async with session.post(url, headers=headers, data=body, timeout=limit) as response:
            raw = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return "broken", type(error).__name__
    if response.status < 400:
        return "ran", ""
    answer = orjson.loads(raw)
    return str(answer["outcome"]), str(answer["error"]["code"])


async def _work(
    boxes: Boxes, book: Ledgerbook, calls: list[str], seed: int, numbers: list[int], pause_s: float
) -> None:
    chance = random.Random(seed)
    limit = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=limit) as session:
        while calls:
            call = calls.pop()
            first, second = chance.sample(numbers, 2)
            token = await _open(session, boxes.address(first))
            if not token:
                calls.append(call)
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(pause_s * chance.random())
            begun = time.monotonic()
            entry = chance.choice([first, second])
            tell = int(book.tells_attempts)
            key = f"{token}/1"
            told = [await _send(session, boxes.address(entry), key, call, tell)]
            book.times.append(time.monotonic() - begun)
            # Every key is retried at the other node, whatever was told.
            other = boxes.address(first + second - entry)
            told.append(await _send(session, other, key, call, 2 * tell))
            book.told[call] = told
            if judge(told) == "unknown":
                worst = next((why for what, why in told if what == "unknown"), told[-1][1])
                book.causes[worst] += 1


def judge(told: list[tuple[str, str]]) -> str:
    """Give what a caller knows after both sends of a key.

    A key told ``not_run`` may be started by its next send, so that fact stands
    only if the next send was not started either: it was told ``not_run`` too, or
    found the session's node gone.
    """
    outcomes = [outcome for outcome, _ in told]
    if "ran" in outcomes:
        return "ran"
    if outcomes[0] == "not_run" and told[1] in (
        ("unknown", "outcome_unknown"),
        ("not_run", told[1][1]),
    ):
        return "not_run"
    return "unknown"


async def _run(
    calls: int, workers: int, pause_s: float, tells: bool
) -> tuple[Ledgerbook, LocalCluster, dict[str, int], float]:
    numbers = [1, 2, 3, 4, 5, 6]
    async with raised(LocalClusterPlan(SMALL, base_port=7900), numbers) as boxes:
        stage = boxes.stage
        for service in stage.services.values():
            service.faults.applied_unanswered = 0.01
            service.faults.lose = 0.01
        book = Ledgerbook(tells)
        left = [f"call-{number}" for number in range(calls)]
        done = asyncio.Event()
        begun = time.monotonic()
        chaos = asyncio.create_task(disturb(boxes, ("kill", "pause", "drain"), done))
        work = [_work(boxes, book, left, seed, numbers, pause_s) for seed in range(workers)]
        await asyncio.gather(*work)
        wall = time.monotonic() - begun
        done.set()
        return book, stage, await chaos, wall


@experiment("once")
def run(arguments: list[str]) -> int:
    """Run the calls and compare what was told with what ran."""
    parser = argparse.ArgumentParser("once")
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--pause", type=float, default=0.3, help="mean pause of a worker, s")
    parser.add_argument("--plain", action="store_true", help="callers do not tell attempts")
    options = parser.parse_args(arguments)
    configure("ERROR")
    book, stage, chaos, wall = uvloop.run(
        _run(options.calls, options.workers, options.pause, not options.plain)
    )
    runs = stage.ledger.runs
    ends: collections.Counter[str] = collections.Counter()
    false_not_run = 0
    false_ran = 0
    for call, told in book.told.items():
        end = judge(told)
        ends[end] += 1
        false_not_run += int(end == "not_run" and runs.get(call, 0) > 0)
        if end == "not_run" and runs.get(call, 0) > 0:
            print(f"FALSE not_run {call}: {told}")
        false_ran += int(end == "ran" and runs.get(call, 0) != 1)
    doubled = len(stage.ledger.repeated_calls())
    row: dict[str, t.Any] = {
        "calls": len(book.told),
        "sends": 2 * len(book.told),
        "wall s": round(wall, 1),
        "doubled": doubled,
        "false not_run": false_not_run,
        "false ran": false_ran,
        "ran": ends["ran"],
        "not_run": ends["not_run"],
        "unknown %": round(100 * ends["unknown"] / len(book.told), 3),
        "p50 ms": round(1000 * quantile(book.times, 0.5), 2),
        **chaos,
    }
    report("once", "unrepeatable calls, each key sent twice", [row])
    causes = [{"cause": cause, "calls": count} for cause, count in book.causes.most_common()]
    report("once-causes", "unknown by cause", causes or [{"cause": "none", "calls": 0}])
    return int(doubled + false_not_run + false_ran > 0)
