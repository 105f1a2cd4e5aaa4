"""Compares placement policies while the demand for models changes tenfold without warning."""

import argparse
import random
import typing as t

from rookspring_core.resources import PolicySpec
from rookspring_fakes.users import USERS
from rookspring_fakes.world import World

from .registry import experiment
from .registry import report
from .traffic import MEAN_TOKENS
from .traffic import RequestStats
from .traffic import Traffic
from .traffic import capacity_of
from .traffic import models_of

POLICIES = ("gain", "static", "greedy", "proportional")
PERIOD_S = 40.0


class Bursts:
    """Demand of which two models get 70 %, and all models together the rest.

    The two are drawn anew every ``PERIOD_S``, without warning.

    :param total: total demand, in requests per second.
    :param start: when the first period begins, in seconds of the virtual clock.
    """

    def __init__(self, models: list[str], total: float, seed: int, start: float) -> None:
        self.models = models
        self.total = total
        self.start = start
        rng = random.Random(seed)
        self.hot = [rng.sample(models, 2) for _ in range(64)]

    def rates(self, now: float) -> dict[str, float]:
        """Return each model's requests per second at a time."""
        hot = self.hot[int((now - self.start) // PERIOD_S) % len(self.hot)]
        cold = self.total * 0.3 / len(self.models)
        rates = dict.fromkeys(self.models, cold)
        for model in hot:
            rates[model] += self.total * 0.7 / len(hot)
        return rates


def run_once(
    user: str, placement: str, seed: int, load: float, length_s: float
) -> tuple[RequestStats, World, int]:
    """Measure one placement policy for one user.

    :param load: total demand as a share of the capacity.
    :return: the statistics of requests, the world and the number of moves within the measured time.
    """
    size = USERS[user]
    world = World(size, seed=seed, full_checks=False)
    world.declare()
    for node in world.live_nodes():
        node.state.control.placement_override = placement
    world.run_until_resident(90.0)
    world.clock.run(world.clock.now + 20.0)
    start = world.clock.now
    before = world.moves()
    end = start + length_s
    stats = RequestStats(start, end)
    world.on_result = stats.add_result
    total = load * capacity_of(world) / MEAN_TOKENS
    bursts = Bursts(models_of(size), total, seed, start)
    Traffic(world, bursts.rates, seed, end)
    world.clock.run(end + 15.0)
    return stats, world, world.moves() - before


@experiment("burst")
def run(arguments: list[str]) -> int:
    """Measure every placement policy for each user, on several seeds."""
    parser = argparse.ArgumentParser("burst")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--length", type=float, default=240.0)
    parser.add_argument("--load", type=float, default=0.7)
    options = parser.parse_args(arguments)
    rows: list[dict[str, t.Any]] = []
    violations: list[str] = []
    for user, size in USERS.items():
        weight = PolicySpec(move_weight=size.move_weight).move_weight
        for placement in POLICIES:
            met = 0.0
            moves = 0
            good = 0
            for seed in range(options.seeds):
                stats, world, moved = run_once(user, placement, seed, options.load, options.length)
                violations += world.check()
                met += stats.attainment() / options.seeds
                moves += moved
                good += stats.good_tokens
            rows.append(
                {
                    "user": user,
                    "move weight": weight,
                    "placement": placement,
                    "attainment": round(met, 4),
                    "per runner": round(met / size.runners, 4),
                    "moves": moves,
                    "good tokens": good,
                }
            )
    report("burst", f"demand for models changes tenfold every {PERIOD_S:.0f} s", rows)
    for violation in violations:
        print(f"BROKEN {violation}")
    return int(bool(violations))
