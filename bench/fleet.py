"""Measures what membership and coordination cost relay nodes, by the number of nodes.

    make bench B=fleet ARGS="--nodes 8 20 63 195"

A whole deployment runs in one process on a virtual clock, without sockets and callers, so
only messages between nodes, calls to the store, and the processor time of decisions and
messages are counted. ``--profile`` prints which functions use that time.
"""

import argparse
import cProfile
import pstats
import time
import typing as t

from rookspring.logs import configure
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

from .registry import experiment
from .registry import report

# Long enough for the assignment of roles to become stable.
START_S = 10.0


def measure(nodes: int, endpoints: int, seconds: float, profile: bool) -> dict[str, t.Any]:
    """Run a deployment and return its costs per node and second."""
    fleet = Fleet(FleetPlan(nodes, endpoints=endpoints))
    began = time.process_time()
    fleet.run(START_S)
    start_s = time.process_time() - began
    live = fleet.live()
    before = [
        (node.sent, node.sent_bytes, node.cross_data_centre_bytes, node.store_calls)
        for node in live
    ]
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    began = time.process_time()
    fleet.run(seconds)
    spent_s = time.process_time() - began
    profiler.disable()
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)
    after = [
        (node.sent, node.sent_bytes, node.cross_data_centre_bytes, node.store_calls)
        for node in live
    ]
    rows = [
        [(late - early) / seconds for early, late in zip(*pair, strict=True)]
        for pair in zip(before, after, strict=True)
    ]
    sent, sent_bytes, far, calls = ([row[column] for row in rows] for column in range(4))
    return {
        "nodes": nodes,
        "links, most": max(len(node.peers.server.links) for node in live),
        "messages/s, mean": round(sum(sent) / nodes, 1),
        "most": round(max(sent), 1),
        "sent KB/s, mean": round(sum(sent_bytes) / nodes / 1000, 2),
        "KB/s, most": round(max(sent_bytes) / 1000, 1),
        "far KB/s, all": round(sum(far) / 1000, 1),
        "store calls/s, all": round(sum(calls), 1),
        "cpu ms/s a node": round(spent_s / seconds / nodes * 1000, 2),
        "start, cpu s a node": round(start_s / nodes, 3),
    }


@experiment("fleet")
def main(arguments: list[str]) -> int:
    """Measure deployments of several sizes."""
    parser = argparse.ArgumentParser(prog="fleet", description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[8, 20, 63, 195])
    parser.add_argument("--endpoints", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", action="store_true")
    given = parser.parse_args(arguments)
    configure("ERROR")
    rows = [measure(nodes, given.endpoints, given.seconds, given.profile) for nodes in given.nodes]
    report("fleet", "cost of membership and coordination of relay nodes", rows)
    return 0
