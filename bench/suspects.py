"""Compares ways to weigh crash records: how often a fatal request crashes endpoints, and how
many innocent requests are refused.

Simulates days with crashes on the virtual clock; every way runs on the same seeds.
"""

import argparse

from rookspring.logs import configure
from rookspring_core.suspects import WEIGHTS
from rookspring_fakes.fleet_callers import FATAL
from rookspring_fakes.fleet_callers import CrashRun
from rookspring_fakes.fleet_callers import CrashScenario

from .registry import experiment
from .registry import report

DAYS = {
    "ordinary": CrashScenario(),
    "often, come thrice": CrashScenario(crashes=120, retries=3),
    "often, long, come thrice": CrashScenario(crashes=120, retries=3, durations_s=(2.0, 9.0)),
    "one fatal": CrashScenario(crashes=0, fatal=True),
    "one fatal, ends beside": CrashScenario(crashes=40, fatal=True),
    "one fatal, come thrice": CrashScenario(crashes=40, retries=3, fatal=True),
}


@experiment("suspects")
def run(arguments: list[str]) -> int:
    """Measure every way on all days."""
    parser = argparse.ArgumentParser(prog="suspects")
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args(arguments).seeds
    configure("ERROR")
    rows = []
    for name, day in DAYS.items():
        for way in WEIGHTS:
            played = [CrashRun(day, seed, weigh=way) for seed in range(1, seeds + 1)]
            rows.append(
                {
                    "day": name,
                    "way": way,
                    "ends under the fatal one": sum(
                        one.callers.runners.crashes_during(FATAL) for one in played
                    )
                    / seeds,
                    "others broken off by it": sum(one.interrupted_by_fatal() for one in played)
                    / seeds,
                    "innocents refused": sum(len(one.innocent_verdicts()) for one in played)
                    / seeds,
                    "came again": sum(one.retried for one in played) / seeds,
                }
            )
    report("suspects", f"Weights of crash records, means of {seeds} seeds", rows)
    return 0
