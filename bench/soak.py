"""Runs random faults in random simulated deployments until the time is up."""

import argparse
import collections
import os
import random
import time
import typing as t

from rookspring_core import InvariantBroken
from rookspring_fakes.disturbances import DISTURBANCES
from rookspring_fakes.disturbances import UnrepeatableCallers
from rookspring_fakes.disturbances import send_steady_traffic
from rookspring_fakes.users import USERS
from rookspring_fakes.world import World

from .registry import experiment
from .registry import report


class Case(t.NamedTuple):
    """One run: its seed, its user, and its faults with their times in seconds."""

    seed: int
    user: str
    faults: tuple[tuple[float, str], ...]


def draw(seed: int) -> Case:
    """Draw a case from a seed."""
    rng = random.Random(seed)
    count = rng.randint(2, 8)
    faults = sorted(
        (round(rng.random() * 60.0, 2), rng.choice(sorted(DISTURBANCES))) for _ in range(count)
    )
    return Case(seed, rng.choice(sorted(USERS)), tuple(faults))


def simulate(case: Case) -> tuple[list[str], World]:
    """Run a case; return the invariants that it violated, and its world."""
    rng = random.Random(case.seed)
    unchecked = rng.randint(1, 3)
    world = World(
        USERS[case.user],
        seed=case.seed,
        nodes=rng.randint(3, 6),
        checks_orders=lambda number: number % 4 >= unchecked,
    )
    world.declare()
    world.run_until_resident(120.0)
    start = world.clock.now
    UnrepeatableCallers(world, case.seed, start + 70.0)
    send_steady_traffic(world, case.seed, start + 70.0, load=0.2 + 0.4 * rng.random())
    for at, name in case.faults:
        world.clock.call(at, DISTURBANCES[name], world, random.Random(case.seed))
    try:
        world.clock.run(start + 150.0)
    except InvariantBroken as error:
        return [str(error)], world
    return world.check(), world


def shorten(case: Case) -> Case:
    """Take faults out of a failing case one by one, as long as it still fails."""
    for position in reversed(range(len(case.faults))):
        fewer = case._replace(faults=case.faults[:position] + case.faults[position + 1 :])
        if simulate(fewer)[0]:
            case = fewer
    return case


@experiment("soak")
def run(arguments: list[str]) -> int:
    """Run cases until the time is up; print seeds, events, faults and failures."""
    parser = argparse.ArgumentParser("soak")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=None)
    options = parser.parse_args(arguments)
    seed = options.seed if options.seed is not None else int.from_bytes(os.urandom(4), "big")
    first = seed
    end = time.monotonic() + options.seconds
    faults: collections.Counter[str] = collections.Counter()
    steps = 0
    requests = 0
    failures: list[tuple[Case, list[str]]] = []
    while time.monotonic() < end:
        case = draw(seed)
        found, world = simulate(case)
        faults.update(name for _, name in case.faults)
        steps += world.clock.steps
        requests += len(world.sent_requests)
        if found:
            failures.append((shorten(case), found))
            print(f"FAILED seed {seed}: {found[0]}\n  shortened: {failures[-1][0]}")
        seed += 1
    rows = [{"fault": name, "times": count} for name, count in sorted(faults.items())]
    report("soak-faults", "faults by kind", rows or [{"fault": "none", "times": 0}])
    row = {
        "first seed": first,
        "runs": seed - first,
        "events": steps,
        "requests": requests,
        "failures": len(failures),
    }
    report("soak", f"{options.seconds:.0f} s of randomised runs", [row])
    return int(bool(failures))
