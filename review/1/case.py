"""Case 1: a second copy of a refusal is taken for the answer to the same request, sent once more."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import tempfile
import time

from runner import Runner
from stand_ins import HOST
from stand_ins import Node
from stand_ins import Store
from stand_ins import config
from stand_ins import message
from stand_ins import node_host
from stand_ins import route

FOLDER = pathlib.Path(__file__).resolve().parent
NODES = 6
RUNNERS = 10
# The disruption `garble`, how = "extra late": the site file has it with share 0.6, x 0.03, for 5 s.
RUNNER_SHARE = 0.6
SURPLUS_SHARE = 0.03
WINDOW_S = 4.9
WINDOWS = 12
PAUSE_S = 2.0
WAVE_S = 0.9
PROMISES = (408, 421, 429, 503)


async def call(node, identity, model, answers):
    """Send one request, and record how it ended."""
    began = time.monotonic()
    end = "no answer"
    writer = None
    try:
        async with asyncio.timeout(16.0):
            reader, writer = await asyncio.open_connection(node.host, node.ports["frontend"])
            rows = {
                "Host": HOST,
                "X-Rookspring-Request-Id": identity,
                "X-Rookspring-Deadline-Ms": "15000",
                "X-Rookspring-Model": model,
                "X-Rookspring-Token-Count": "120,40",
                "X-Rookspring-Prefix-Hash": f"5c1e07a2:80,{hash(identity) & 0xFFFFFFFF:x}:40",
            }
            writer.write(message("POST /chat/x HTTP/1.1", rows, b"prompt"))
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            end = str(status)
            if status == 200:
                body = await reader.readuntil(b"0\r\n\r\n")
                end = f"200, {body.count(b'data: ')} events"
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        end = f"{end}, {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    answers[identity] = (began, node.name, model, end, time.monotonic())


async def load(nodes, models, answers, until):
    """Send each node a request for each model at the same moment, again and again."""
    tasks = set()
    wave = 0
    while time.monotonic() < until:
        wave += 1
        for model in models:
            for number, node in enumerate(nodes):
                identity = f"w{wave:03d}-{model}-{number}"
                tasks.add(asyncio.create_task(call(node, identity, model, answers)))
        await asyncio.sleep(WAVE_S)
    await asyncio.gather(*tasks)


async def disturb(runners):
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        for runner in runners:
            runner.surplus_share = SURPLUS_SHARE
        await asyncio.sleep(WINDOW_S)
        for runner in runners:
            runner.surplus_share = 0.0


async def play(folder, trouble):
    store = Store()
    await store.start()
    sizes = {f"m{number}": 60000 for number in range(1, RUNNERS + 1)}
    runners = [
        Runner(f"i-{number}", model, store, 2, 2, 70000, sizes)
        for number, model in enumerate(sizes, 1)
    ]
    chat = {**route("chat", "stream", "llm", 3, 15000), "slo-ms": 4000, "gap-slo-ms": 300}
    table = config(1, [chat], ["llm"])
    table["services"][0]["engine"] = {
        "weights-mb": 70000,
        "max-adapters": 8,
        "loads-per-s": 1.4,
        "models": [
            {"name": one, "weights-mb": mb, "load-time-s": 6, "adapters": 0, "adapter-size-mb": 12}
            for one, mb in sizes.items()
        ],
    }
    store.write("config", "main", table)
    for runner in runners:
        await runner.start()
    nodes = [Node(number, folder, store, node_host(number)) for number in range(NODES)]
    answers = {}
    try:
        for node in nodes:
            node.write_settings([f"{one.host}:{one.ports['control-plane']}" for one in nodes])
            node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(2.0)
        began = time.monotonic()
        until = began + WINDOWS * (PAUSE_S + WINDOW_S) + 1.0
        work = [load(nodes, sizes, answers, until)]
        if trouble:
            work.append(disturb(runners[: int(RUNNERS * RUNNER_SHARE)]))
        await asyncio.gather(*work)
        if any(node.process.poll() is not None for node in nodes):
            raise RuntimeError("a node has ended")
    finally:
        for node in nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            for node in nodes:
                (pathlib.Path(os.environ["KEEP_LOGS"]) / node.log.name).write_bytes(
                    node.log.read_bytes()
                )
    return began, runners, answers


def judge(began, runners, answers, trouble):
    """Write the record, and return whether a rule was broken."""
    events = sorted(event for runner in runners for event in runner.events)
    of_request = collections.defaultdict(list)
    for at, kind, identity, channel in events:
        if identity:
            of_request[identity].append(f"{at - began:8.3f} {kind} on {channel}")
    runs = collections.Counter(identity for _, kind, identity, _ in events if kind == "runs")
    twice = sorted(identity for identity, count in runs.items() if count > 1)
    promised = sorted(
        identity
        for identity, (_, _, _, end, _) in answers.items()
        if end[:3].isdigit() and int(end[:3]) in PROMISES and runs[identity]
    )
    ends = collections.Counter(end for _, _, _, end, _ in answers.values())
    lines = [
        f"trouble: {trouble}",
        f"requests sent: {len(answers)}; how they ended: {dict(ends)}",
        f"runs: {sum(runs.values())}",
    ]
    lines += [
        f"runner {one.name}: {one.answers} answers, {one.surpluses} of them to be sent twice, "
        f"{sum(1 for event in one.events if event[1] == 'surplus')} second copies sent, "
        f"{sum(1 for event in one.events if event[1].startswith('refused'))} refusals"
        for one in runners
    ]
    lines.append(f"TWICE, requests that ran more than once: {len(twice)} {twice}")
    lines.append(f"REFUSED, requests that ran and got {PROMISES}: {len(promised)} {promised}")
    lines.append("")
    for identity in sorted({*twice, *promised}):
        lines.append(f"broken: {identity} ended: {answers[identity][3]}")
        lines += [f"  {row}" for row in of_request[identity]]
    lines.append("")
    for identity, (at, node, model, end, ended) in sorted(answers.items()):
        lines.append(
            f"{at - began:8.3f} {identity} {model} sent to {node}; {ended - began:8.3f} {end}; "
            f"runs: {runs[identity]}"
        )
    (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[: RUNNERS + 5]))
    return bool(twice or promised)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended then too, on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as folder:
            began, runners, answers = asyncio.run(play(folder, trouble))
        if not any(end.startswith("200") for _, _, _, end, _ in answers.values()):
            raise RuntimeError("nothing was served")
        return 1 if judge(began, runners, answers, trouble) else 0
    except Exception as error:
        return give_up(error)


def give_up(error):
    text = f"could not run: {error!r}"
    print(text)
    (FOLDER / "record.txt").write_text(f"{text}\n")
    return 2


if __name__ == "__main__":
    sys.exit(main())
