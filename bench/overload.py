"""Attainment per accelerator from half to twice the capacity, candidate and baselines."""

import argparse
import typing as t

from rookspring_fakes.users import USERS
from rookspring_fakes.world import World

from .registry import experiment
from .registry import report
from .traffic import MEAN_TOKENS
from .traffic import Account
from .traffic import Traffic
from .traffic import capacity_of
from .traffic import models_of
from .traffic import skewed

LOADS = (0.5, 0.9, 1.2, 1.5, 2.0)


class Policy(t.NamedTuple):
    """A routing policy with or without admission."""

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
) -> tuple[Account, World, float]:
    """Run one load at one policy.

    :return: the account, the world, and the goodput's bound in tokens a second.
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
    account = Account(start + 10.0, end)
    world.on_result = account.take
    capacity = capacity_of(world)
    rates = skewed(models_of(size), load * capacity / MEAN_TOKENS)
    Traffic(world, lambda now: rates, seed, end)
    world.clock.run(end + 15.0)
    return account, world, min(1.0, load) * capacity


@experiment("overload")
def run(arguments: list[str]) -> int:
    """Run all loads, users, seeds and policies."""
    parser = argparse.ArgumentParser("overload")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--length", type=float, default=40.0)
    parser.add_argument("--user", choices=[*USERS, "both"], default="both")
    options = parser.parse_args(arguments)
    users = list(USERS) if options.user == "both" else [options.user]
    rows: list[dict[str, t.Any]] = []
    broken: list[str] = []
    for user in users:
        for load in LOADS:
            for policy in POLICIES:
                row = _measure(user, policy, load, options.seeds, options.length, broken)
                rows.append(row)
    report("overload", "attainment by load; goodput against the bound", rows)
    _sweep_lag(options.length, broken)
    for one in broken:
        print(f"BROKEN {one}")
    return int(bool(broken))


def _measure(
    user: str, policy: Policy, load: float, seeds: int, length_s: float, broken: list[str]
) -> dict[str, t.Any]:
    accounts: list[Account] = []
    good = 0.0
    bound = 0.0
    for seed in range(seeds):
        account, world, at_most = run_once(user, policy, load, seed, length_s=length_s)
        broken += world.check()
        accounts.append(account)
        good += account.good_tokens / length_s
        bound += at_most
    runners = USERS[user].runners
    met = sum(account.attainment() for account in accounts) / seeds
    return {
        "user": user,
        "load": load,
        "policy": policy.name,
        "attainment": round(met, 4),
        "per runner": round(met / runners, 4),
        "ranked": round(sum(one.attainment("ranked") for one in accounts) / seeds, 4),
        "casual": round(sum(one.attainment("casual") for one in accounts) / seeds, 4),
        "goodput/bound": round(good / bound, 4),
        "late": sum(one.reasons.get("ran late", 0) for one in accounts),
    }


def _sweep_lag(length_s: float, broken: list[str]) -> None:
    rows: list[dict[str, t.Any]] = []
    for lag_s in (0.1, 0.5, 1.0, 3.0, 10.0):
        for load in (0.9, 1.5):
            account, world, bound = run_once(
                "fjordlap", POLICIES[0], load, 7, lag_s, length_s=length_s
            )
            broken += world.check()
            rows.append(
                {
                    "report lag s": lag_s,
                    "load": load,
                    "attainment": round(account.attainment(), 4),
                    "ranked": round(account.attainment("ranked"), 4),
                    "goodput/bound": round(account.good_tokens / length_s / bound, 4),
                }
            )
    report("overload-lag", "candidate by age of load reports", rows)
