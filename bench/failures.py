"""Measures failures under load: loss of a data centre, of the lease holder, of the platform."""

import argparse
import random
import typing as t

from rookspring_fakes.disturbances import DISTURBANCES
from rookspring_fakes.disturbances import find_lease_holder
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


def _start_world(user: str, seed: int, checks: bool = True) -> World:
    world = World(USERS[user], seed=seed, full_checks=False, checks_orders=lambda number: checks)
    world.declare()
    world.run_until_resident(120.0)
    world.clock.run(world.clock.now + 15.0)
    return world


def _start_traffic(world: World, load: float, seed: int, length_s: float) -> RequestStats:
    start = world.clock.now
    stats = RequestStats(start, start + length_s)
    world.on_result = stats.add_result
    rates = zipf_rates(models_of(world.size), load * capacity_of(world) / MEAN_TOKENS)
    Traffic(world, lambda now: rates, seed, start + length_s)
    return stats


def _recovery_s(stats: RequestStats, failed_at: float, required: float) -> float:
    """Return how long attainment stayed low after a failure, in seconds.

    That is until the end of the last two-second window whose share of requests that met their
    deadline is less than ``required``.
    """
    last = failed_at
    windows: dict[int, list[bool]] = {}
    for at, met in stats.deadline_results:
        if at >= failed_at:
            windows.setdefault(int((at - failed_at) / 2.0), []).append(met)
    for window, ends in sorted(windows.items()):
        if sum(ends) / len(ends) < required:
            last = failed_at + 2.0 * (window + 1)
    return last - failed_at


@experiment("failover")
def run_failover(arguments: list[str]) -> int:
    """Kill a data centre's runners under load; measure retry amplification and recovery time."""
    parser = argparse.ArgumentParser("failover")
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(arguments)
    rows: list[dict[str, t.Any]] = []
    violations: list[str] = []
    for user in USERS:
        for seed in range(options.seeds):
            world = _start_world(user, seed)
            before = world.attempts
            stats = _start_traffic(world, 0.5, seed, 90.0)
            failed_at = world.clock.now + 20.0
            fault = DISTURBANCES["a data centre's runners die"]
            world.clock.call(20.0, fault, world, random.Random(seed))
            world.clock.run(world.clock.now + 120.0)
            violations += world.check()
            started = sum(1 for one in world.results.values() if one.reason != "late")
            rows.append(
                {
                    "user": user,
                    "seed": seed,
                    "attainment": round(stats.attainment(), 4),
                    "ranked": round(stats.attainment("ranked"), 4),
                    "amplification": round((world.attempts - before) / max(1, started), 4),
                    "recovered after s": _recovery_s(stats, failed_at, 0.95),
                }
            )
    report("failover", "the runners of one of three data centres are killed at half load", rows)
    return _exit_code(rows, violations, lambda row: row["amplification"] < 1.2)


def _exit_code(
    rows: list[dict[str, t.Any]],
    violations: list[str],
    good: t.Callable[[dict[str, t.Any]], bool],
) -> int:
    for violation in violations:
        print(f"BROKEN {violation}")
    return int(bool(violations) or not all(good(row) for row in rows))


LOSS_DELAYS_S = (
    ("before any change", 0.0),
    ("operators' write", 0.1),
    ("publication", 0.5),
    ("first order", 2.1),
    ("loads running", 4.0),
    ("unloads", 7.0),
)


@experiment("takeover")
def run_takeover(arguments: list[str]) -> int:
    """Kill or pause the lease holder at each step of a version change.

    Each case is run with endpoints that check orders' fencing tokens and with ones that don't.
    """
    parser = argparse.ArgumentParser("takeover")
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args(arguments)
    rows: list[dict[str, t.Any]] = []
    violations: list[str] = []
    for checks in (True, False):
        for way in ("killed", "paused"):
            for step, delay in LOSS_DELAYS_S:
                gaps: list[float] = []
                refused = 0
                found: list[str] = []
                for seed in range(options.seeds):
                    gap, more, wrong = _measure_takeover(way, delay, seed, checks)
                    gaps.append(gap)
                    refused += more
                    found += wrong
                violations += found
                rows.append(
                    {
                        "endpoints": "check" if checks else "do not check",
                        "holder": way,
                        "at": step,
                        "without control s": round(max(gaps), 2),
                        "orders refused": refused,
                        "promises broken": len(found),
                    }
                )
    report("takeover", "the lease holder lost at each step of a version change", rows)
    return _exit_code(rows, violations, lambda row: row["promises broken"] == 0)


def _measure_takeover(
    way: str, delay: float, seed: int, checks: bool
) -> tuple[float, int, list[str]]:
    world = _start_world("fjordlap", seed, checks)
    _start_traffic(world, 0.3, seed, 40.0)
    rng = random.Random(seed)
    DISTURBANCES["operators change versions"](world, rng)
    world.clock.run(world.clock.now + delay)
    holder = find_lease_holder(world)
    assert holder is not None
    lost_at = world.clock.now
    if way == "killed":
        world.kill_node(holder.name)
    else:
        world.pause_node(holder.name, 15.0)
    while world.clock.now < lost_at + 40.0:
        world.clock.run(world.clock.now + 0.1)
        following = find_lease_holder(world)
        if following is not None and following is not holder:
            break
    gap = world.clock.now - lost_at
    world.clock.run(lost_at + 80.0)
    refused = sum(engine.orders_refused for engine in world.engines.values())
    found = world.check()
    if not world.resident_everywhere():
        found.append("a model is resident nowhere at the end")
    return gap, refused, found


@experiment("outage")
def run_outage(arguments: list[str]) -> int:
    """Measure an outage of the platform while demand shifts and nodes are drained and replaced.

    Each case is also run with the platform up, for comparison.
    """
    parser = argparse.ArgumentParser("outage")
    parser.add_argument("--length", type=float, default=600.0)
    options = parser.parse_args(arguments)
    rows: list[dict[str, t.Any]] = []
    violations: list[str] = []
    for user in USERS:
        for out in (False, True):
            rows.append(_run_outage(user, out, options.length, violations))
    report("outage", f"{options.length:.0f} s with the platform down, compared with it up", rows)
    return _exit_code(rows, violations, lambda row: row["revision lost"] == 0)


def _run_outage(user: str, out: bool, length_s: float, violations: list[str]) -> dict[str, t.Any]:
    world = _start_world(user, 5)
    start = world.clock.now
    stats = RequestStats(start, start + length_s)
    world.on_result = stats.add_result
    models = models_of(world.size)
    total = 0.4 * capacity_of(world) / MEAN_TOKENS

    def rates(now: float) -> dict[str, float]:
        turn = int((now - start) // 60.0)
        return zipf_rates(models[turn % len(models) :] + models[: turn % len(models)], total, 1.0)

    Traffic(world, rates, 5, start + length_s)
    before = max(world.published)
    if out:
        world.platform_faults.outage = True
    drain = DISTURBANCES["a node is drained"]
    for turn in range(3):
        world.clock.call(100.0 + 150.0 * turn, drain, world, random.Random(turn))
    world.clock.run(start + length_s)
    world.platform_faults.outage = False
    calls = world.platform_calls
    world.clock.run(start + length_s + 10.0)
    burst = (world.platform_calls - calls) / 10.0
    world.clock.run(start + length_s + 60.0)
    violations += world.check()
    lost = sum(1 for node in world.live_nodes() if node.state.catalogue.revision < before)
    return {
        "user": user,
        "platform": "down" if out else "up",
        "attainment": round(stats.attainment(), 4),
        "moves": world.moves(),
        "nodes at the end": len(world.live_nodes()),
        "calls/s on return": round(burst, 2),
        "revision lost": lost,
    }
