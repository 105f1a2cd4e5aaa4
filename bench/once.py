"""Sends unrepeatable calls over real sockets while nodes are killed, paused and drained.

Every key is sent a second time, to another node. The outcomes that callers got are compared
with the number of times that the service itself ran each call.
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

from .live import NodeProcesses
from .live import disturb
from .live import run_deployment
from .registry import experiment
from .registry import quantile
from .registry import report

AUTH = {"Authorization": f"Bearer {KEY}"}


class CallRecords:
    """The outcomes of calls, as their callers got them.

    :param sends_attempt_numbers: whether callers number the sends of a key in a header.
    """

    def __init__(self, sends_attempt_numbers: bool) -> None:
        self.sends_attempt_numbers = sends_attempt_numbers
        self.answers: dict[str, list[tuple[str, str]]] = {}
        self.unknown_causes: collections.Counter[str] = collections.Counter()
        self.first_send_times: list[float] = []


async def _open_session(session: aiohttp.ClientSession, address: str) -> str:
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

    :param attempt: the number of the send, from 1; 0 omits the header.
    :return: the outcome and the error's code; without a response, ``broken`` and the name of the
        exception.
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


async def _run_worker(
    boxes: NodeProcesses,
    records: CallRecords,
    calls: list[str],
    seed: int,
    numbers: list[int],
    pause_s: float,
) -> None:
    rng = random.Random(seed)
    limit = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=limit) as session:
        while calls:
            call = calls.pop()
            first, second = rng.sample(numbers, 2)
            token = await _open_session(session, boxes.address(first))
            if not token:
                calls.append(call)
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(pause_s * rng.random())
            begun = time.monotonic()
            entry = rng.choice([first, second])
            attempt = int(records.sends_attempt_numbers)
            key = f"{token}/1"
            answers = [await _send(session, boxes.address(entry), key, call, attempt)]
            records.first_send_times.append(time.monotonic() - begun)
            # Every key is retried at the other node, whatever the first outcome was.
            other = boxes.address(first + second - entry)
            answers.append(await _send(session, other, key, call, 2 * attempt))
            records.answers[call] = answers
            if classify_outcome(answers) == "unknown":
                cause = next(
                    (code for outcome, code in answers if outcome == "unknown"), answers[-1][1]
                )
                records.unknown_causes[cause] += 1


def classify_outcome(answers: list[tuple[str, str]]) -> str:
    """Return what a caller knows about its call after both sends of a key.

    The second send may start a call whose first send ended ``not_run``. So the result is
    ``not_run`` only if the second send did not start the call either: it also ended ``not_run``,
    or as ``unknown`` with the code ``outcome_unknown``, as the session's node was gone.
    """
    outcomes = [outcome for outcome, _ in answers]
    if "ran" in outcomes:
        return "ran"
    if outcomes[0] == "not_run" and answers[1] in (
        ("unknown", "outcome_unknown"),
        ("not_run", answers[1][1]),
    ):
        return "not_run"
    return "unknown"


async def _run(
    calls: int, workers: int, pause_s: float, sends_attempt_numbers: bool
) -> tuple[CallRecords, LocalCluster, dict[str, int], float]:
    numbers = [1, 2, 3, 4, 5, 6]
    async with run_deployment(LocalClusterPlan(SMALL, base_port=7900), numbers) as boxes:
        stage = boxes.stage
        for service in stage.services.values():
            service.faults.applied_unanswered = 0.01
            service.faults.lose = 0.01
        records = CallRecords(sends_attempt_numbers)
        left = [f"call-{number}" for number in range(calls)]
        done = asyncio.Event()
        begun = time.monotonic()
        disturbing = asyncio.create_task(disturb(boxes, ("kill", "pause", "drain"), done))
        work = [
            _run_worker(boxes, records, left, seed, numbers, pause_s) for seed in range(workers)
        ]
        await asyncio.gather(*work)
        wall = time.monotonic() - begun
        done.set()
        return records, stage, await disturbing, wall


@experiment("once")
def run(arguments: list[str]) -> int:
    """Send the calls and compare their outcomes with what the service ran."""
    parser = argparse.ArgumentParser("once")
    parser.add_argument("--calls", type=int, default=10_000)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--pause", type=float, default=0.3, help="mean pause of a worker, s")
    parser.add_argument("--plain", action="store_true", help="callers do not number their attempts")
    options = parser.parse_args(arguments)
    configure("ERROR")
    records, stage, disturbances, wall = uvloop.run(
        _run(options.calls, options.workers, options.pause, not options.plain)
    )
    runs = stage.ledger.runs
    outcomes: collections.Counter[str] = collections.Counter()
    false_not_run = 0
    false_ran = 0
    for call, answers in records.answers.items():
        outcome = classify_outcome(answers)
        outcomes[outcome] += 1
        false_not_run += int(outcome == "not_run" and runs.get(call, 0) > 0)
        if outcome == "not_run" and runs.get(call, 0) > 0:
            print(f"FALSE not_run {call}: {answers}")
        false_ran += int(outcome == "ran" and runs.get(call, 0) != 1)
    doubled = len(stage.ledger.repeated_calls())
    row: dict[str, t.Any] = {
        "calls": len(records.answers),
        "sends": 2 * len(records.answers),
        "wall s": round(wall, 1),
        "doubled": doubled,
        "false not_run": false_not_run,
        "false ran": false_ran,
        "ran": outcomes["ran"],
        "not_run": outcomes["not_run"],
        "unknown %": round(100 * outcomes["unknown"] / len(records.answers), 3),
        "p50 ms": round(1000 * quantile(records.first_send_times, 0.5), 2),
        **disturbances,
    }
    report("once", "unrepeatable calls, each key sent twice", [row])
    causes = [
        {"cause": cause, "calls": count} for cause, count in records.unknown_causes.most_common()
    ]
    report("once-causes", "unknown by cause", causes or [{"cause": "none", "calls": 0}])
    return int(doubled + false_not_run + false_ran > 0)
