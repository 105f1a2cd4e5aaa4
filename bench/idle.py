"""Measures the processor time, memory, bytes and platform calls of nodes without requests."""

import argparse
import asyncio
import os
import re
import typing as t

import aiohttp
import uvloop

from rookspring.local_cluster import LocalClusterPlan
from rookspring.logs import configure
from rookspring_fakes import USERS

from .live import run_deployment
from .registry import experiment
from .registry import report


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as file:
        found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
    return int(found[1]) / 1024 if found else 0.0


async def _metrics(address: str) -> dict[str, float]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/metrics") as response,
    ):
        text = await response.text()
    sums: dict[str, float] = {}
    for name, value in re.findall(r"^(\w+)\{[^}]*\} ([\d.]+)$", text, re.MULTILINE):
        sums[name] = sums.get(name, 0.0) + float(value)
    return sums


async def _run(user: str, nodes: int, seconds: float) -> dict[str, t.Any]:
    plan = LocalClusterPlan(USERS[user], base_port=8300)
    async with run_deployment(plan, range(1, nodes + 1)) as boxes:
        await asyncio.sleep(8.0)
        pids = [process.pid for process in boxes.processes.values()]
        before = [await _metrics(boxes.address(number)) for number in boxes.processes]
        cpu_s = [_cpu_s(pid) for pid in pids]
        await asyncio.sleep(seconds)
        spent = [_cpu_s(pid) - start_s for pid, start_s in zip(pids, cpu_s, strict=True)]
        after = [await _metrics(boxes.address(number)) for number in boxes.processes]
        names = ("rookspring_peer_bytes_total", "rookspring_platform_calls_total")
        sent, calls = (
            [
                (late.get(name, 0.0) - early.get(name, 0.0)) / seconds
                for early, late in zip(before, after, strict=True)
            ]
            for name in names
        )
        return {
            "user": user,
            "nodes": nodes,
            "cpu % of a core, mean": round(100 * sum(spent) / seconds / nodes, 2),
            "most": round(100 * max(spent) / seconds, 2),
            "memory MB, most": round(max(_resident_mb(pid) for pid in pids), 1),
            "sent KB/s, most": round(max(sent) / 1000, 2),
            "platform calls/s, all": round(sum(calls), 1),
        }


@experiment("idle")
def run(arguments: list[str]) -> int:
    """Measure deployments with several numbers of nodes."""
    parser = argparse.ArgumentParser("idle")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--nodes", type=int, nargs="*", default=[3, 9, 18])
    options = parser.parse_args(arguments)
    configure("ERROR")
    rows = [uvloop.run(_run("fjordlap", nodes, options.seconds)) for nodes in options.nodes]
    report("idle", "costs of nodes without requests", rows)
    return 0
