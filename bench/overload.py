"""Compares attainment and goodput of routing policies at half to twice the capacity."""

import argparse
import typing as t

from rookspring_fakes.users import USERS
from rookspring_fakes.world import World

from .registry import experiment
from .registry import report
from .traffic import MEAN_TOKENS
from .traffic import RequestStats
from .traffic import Traffic
from .traffic import capacity_of
from .traffic import models_of
from .traffic import zipf_rates

LOADS = (0.5, 0.9, 1.2, 1.5, 2.0)


class Policy(t.NamedTuple):
    """A routing policy, with or without admission control."""

    name: str
    routing: str
    admission: bool


POLICIES = (
    Policy("candidate", "least-finish", True),
    Policy("round-robin", "round-robin", False),
    Policy("least-inflight", "least-inflight", False),
    Policy("no-admission", "least-finish", False),
)


def run_once(
    user: str,
    policy: Policy,
    load: float,
    seed: int,
    lag_s: float = 0.2,
    length_s: float = 40.0,
    report_s: float = 0.5,
) -> tuple[RequestStats, World, float]:
    """Measure one policy at one load.

    :param load: demand as a share of the capacity.
    :param lag_s: how old load reports are at least when they are sent, in seconds.
    :param report_s: the interval between load reports, in seconds.
    :return: the statistics of requests, the world, and the upper bound of the goodput, in tokens
        per second.
    """
    size = USERS[user]
    world = World(size, seed=seed, full_checks=False, report_interval_s=report_s)
    world.declare()
    world.run_until_resident(90.0)
    for engine in world.engines.values():
        engine.faults.report_lag_s = lag_s
    for node in world.live_nodes():
        node.state.routing_override = policy.routing
        node.state.admission_on = policy.admission
    start = world.clock.now
    end = start + 10.0 + length_s
    stats = RequestStats(start + 10.0, end)
    world.on_result = stats.add_result
    capacity = capacity_of(world)
    rates = zipf_rates(models_of(size), load * capacity / MEAN_TOKENS)
    Traffic(world, lambda now: rates, seed, end)
    world.clock.run(end + 15.0)
    return stats, world, min(1.0, load) * capacity


@experiment("overload")
def run(arguments: list[str]) -> int:
    """Measure every policy at every load for each user, on several seeds."""
    parser = argparse.ArgumentParser("overload")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--length", type=float, default=40.0)
    parser.add_argument("--user", choices=[*USERS, "both"], default="both")
    options = parser.parse_args(arguments)
    users = list(USERS) if options.user == "both" else [options.user]
    rows: list[dict[str, t.Any]] = []
    violations: list[str] = []
    for user in users:
        for load in LOADS:
            for policy in POLICIES:
                row = _measure(user, policy, load, options.seeds, options.length, violations)
                rows.append(row)
    report("overload", "attainment by load; goodput as a share of its upper bound", rows)
    _sweep_lag(options.length, violations)
    for violation in violations:
        print(f"BROKEN {violation}")
    return int(bool(violations))


def _measure(
    user: str, policy: Policy, load: float, seeds: int, length_s: float, violations: list[str]
) -> dict[str, t.Any]:
    all_stats: list[RequestStats] = []
    good = 0.0
    bound = 0.0
    for seed in range(seeds):
        stats, world, load_bound = run_once(user, policy, load, seed, length_s=length_s)
        violations += world.check()
        all_stats.append(stats)
        good += stats.good_tokens / length_s
        bound += load_bound
    runners = USERS[user].runners
    met = sum(stats.attainment() for stats in all_stats) / seeds
    return {
        "user": user,
        "load": load,
        "policy": policy.name,
        "attainment": round(met, 4),
        "per runner": round(met / runners, 4),
        "ranked": round(sum(one.attainment("ranked") for one in all_stats) / seeds, 4),
        "casual": round(sum(one.attainment("casual") for one in all_stats) / seeds, 4),
        "goodput/bound": round(good / bound, 4),
        "late": sum(one.reasons.get("ran late", 0) for one in all_stats),
    }


def _sweep_lag(length_s: float, violations: list[str]) -> None:
    rows: list[dict[str, t.Any]] = []
    for lag_s in (0.1, 0.5, 1.0, 3.0, 10.0):
        for load in (0.9, 1.5):
            stats, world, bound = run_once(
                "fjordlap", POLICIES[0], load, 7, lag_s, length_s=length_s
            )
            violations += world.check()
            rows.append(
                {
                    "report lag s": lag_s,
                    "load": load,
                    "attainment": round(stats.attainment(), 4),
                    "ranked": round(stats.attainment("ranked"), 4),
                    "goodput/bound": round(stats.good_tokens / length_s / bound, 4),
                }
            )
    report("overload-lag", "candidate policy by lag of load reports", rows)
