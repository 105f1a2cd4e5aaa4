"""Simulation of runners under the lease holder's placement policy, on a virtual clock.

Rates of requests move between models, and the runners have room for fewer models than there
are. Orders take time, some are carried out seconds late, and runners are lost. The simulation
records how long a model is requested while it is resident nowhere.
"""

import dataclasses
import math
import random

from rookspring_core import defaults
from rookspring_core.placement import PlanInput
from rookspring_core.placement import RunnerSnapshot
from rookspring_core.placement import find_placement
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

PLAN_S = 0.5
MODEL_GB = 95.0
RUNNER_GB = 200.0
RUNNER_RATE = 4_000.0
REQUEST_TOKENS = 1_500.0
# How long orders take, in seconds: loads from the runner's disk and the weight store, and unloads.
DISK_LOAD_S = 1.5
STORE_LOAD_S = 8.0
UNLOAD_S = 0.7
# How much later a late order ends, in seconds, and how long a lost runner is down.
LATE_S = (2.0, 8.0)
DOWN_S = 4.0
LOST_SHARE = 0.02
# Time between two changes of the demand, in seconds.
SHIFT_S = (6.0, 15.0)
# Requests without a replica from which on a model counts as passed over. After three of them its
# aged demand is to suffice to replace a model with as much demand.
UNSERVED_MIN = 6


@dataclasses.dataclass
class Order:
    """An order under way, with its predicted and its actual end."""

    action: str
    model: str
    due_at: float
    ends_at: float


@dataclasses.dataclass
class Runner:
    """A runner's models in memory and on disk, and its order under way."""

    disk: set
    held: set = dataclasses.field(default_factory=set)
    order: Order | None = None
    room_for: str = ""
    down_until: float = 0.0


class PlacementWorld:
    """Models, runners and demand, drawn at random from a seed.

    :param late: share of the orders that are carried out late.
    :param hot: number of models with high demand.
    :param policy: name of the placement policy.
    """

    def __init__(self, seed, late, models=14, runners=5, hot=4, policy=defaults.RELAY_PLACEMENT):
        self.policy = policy
        self.claims = {}
        # All moves as lines, and each plan's claims by model.
        self.moves = []
        self.claim_history = []
        self.lost_at = {}
        self.ever_resident = set()
        self.random = random.Random(seed)
        self.late = late
        self.now = 0.0
        names = [f"m{number}" for number in range(models)]
        self.models = {name: ModelSpec("", MODEL_GB, engine="llm") for name in names}
        self.runners = {
            f"e{number}": Runner(set(self.random.sample(names, self.random.randint(3, 9))))
            for number in range(runners)
        }
        for number, name in enumerate(self.random.sample(names, 2 * runners)):
            self.runners[f"e{number % runners}"].held.add(name)
        rates = [self.random.uniform(800.0, 2500.0) for _ in range(hot)]
        rates += [self.random.uniform(60.0, 400.0) for _ in range(models - hot)]
        self.demand = dict(zip(self.random.sample(names, models), rates, strict=True))
        self.shift_at = self.random.uniform(*SHIFT_S)
        self.levels = dict.fromkeys(names, 0.0)
        self.deficits = {}
        # Times of the requests for each model since it was last resident.
        self.unserved = {}
        # The longest time over which an absent model had ``UNSERVED_MIN`` requests, and which one.
        self.longest = (0.0, "")

    def run(self, seconds):
        while self.now < seconds:
            self.now += PLAN_S
            self._shift_demand()
            self._lose_runner()
            self._carry_out()
            self._request()
            self._note_waits()
            self.plan()

    def plan(self):
        """Run the policy on the present state and give the orders that it plans."""
        plan_input = self._plan_input()
        for move in find_placement(self.policy)(plan_input):
            self._order(move)
        self.claims = dict(plan_input.claims)
        self.claim_history.append((self.now, self.claims))

    def _available(self):
        return {name: one for name, one in self.runners.items() if one.down_until <= self.now}

    def _shift_demand(self):
        if self.now < self.shift_at:
            return
        self.shift_at = self.now + self.random.uniform(*SHIFT_S)
        rates = list(self.demand.values())
        self.random.shuffle(rates)
        self.demand = dict(zip(self.demand, rates, strict=True))

    def _lose_runner(self):
        available = self._available()
        if self.random.random() >= LOST_SHARE or len(available) < len(self.runners):
            return
        runner_name = self.random.choice(sorted(available))
        runner = available[runner_name]
        runner.down_until = self.now + DOWN_S
        self.lost_at = {**self.lost_at, runner_name: self.now}
        runner.held, runner.order, runner.room_for = set(), None, ""

    def _carry_out(self):
        for runner in self.runners.values():
            order = runner.order
            if order is None or self.now < order.ends_at:
                continue
            runner.order = None
            runner.disk.add(order.model)
            if order.action == "load":
                runner.held.add(order.model)
            else:
                runner.held.discard(order.model)

    def _request(self):
        for name, rate in self.demand.items():
            requested = self.random.random() < min(1.0, rate * PLAN_S / REQUEST_TOKENS)
            tokens_per_s = REQUEST_TOKENS / PLAN_S if requested else 0.0
            gain = 0.4 if tokens_per_s > self.levels[name] else 0.15
            if requested:
                self.unserved.setdefault(name, []).append(self.now)
            self.levels[name] += (tokens_per_s - self.levels[name]) * gain

    def _note_waits(self):
        resident = {model for one in self._available().values() for model in one.held}
        self.ever_resident |= resident
        for name, level in self.levels.items():
            if name in resident:
                self.deficits.pop(name, None)
                self.unserved.pop(name, None)
                continue
            self.deficits[name] = self.deficits.get(name, 0.0) + level * PLAN_S
            times = self.unserved.get(name, ())
            if len(times) >= UNSERVED_MIN:
                self.longest = max(self.longest, (times[-1] - times[0], name))

    def _plan_input(self):
        snapshots = tuple(self._snapshot(name, one) for name, one in self._available().items())
        return PlanInput(
            self.models,
            snapshots,
            self.levels,
            PolicySpec(loads_per_s=2.0),
            self.levels,
            urgent={name: level / 2.0 for name, level in self.levels.items()},
            longest_s=2.0,
            deficit=dict(self.deficits),
            declined={},
            claimed={model: one.runner for model, one in self.claims.items()},
            claims={},
        )

    def _snapshot(self, name, runner):
        order = runner.order
        left_s = order.due_at + defaults.RUNNER_BUSY_S - self.now if order else 0.0
        coming = {order.model} if order is not None and order.action == "load" else set()
        return RunnerSnapshot(
            name=name,
            data_centre="z",
            engine="llm",
            free_gb=RUNNER_GB - MODEL_GB * len(runner.held | coming),
            token_rate=RUNNER_RATE,
            resident=frozenset((model, "") for model in runner.held),
            loading=frozenset((model, "") for model in coming),
            busy=order is not None,
            load_s={model: self._load_time_s(runner, model) for model in self.models},
            free_in_s=left_s if left_s >= 0.0 else math.inf,
            room_for=runner.room_for,
            freeing_gb=MODEL_GB if order is not None and order.action == "unload" else 0.0,
        )

    def _load_time_s(self, runner, model):
        return DISK_LOAD_S if model in runner.disk else STORE_LOAD_S

    def _order(self, move):
        runner = self.runners[move.endpoint]
        model = move.key[0]
        self.moves.append(f"{self.now:.1f} {move.action} {model} {move.endpoint}")
        if runner.order is not None:
            return
        load = move.action == "load"
        if load and MODEL_GB * (len(runner.held) + 1) > RUNNER_GB:
            return
        takes_s = self._load_time_s(runner, model) if load else UNLOAD_S
        runner.room_for = "" if load else move.room_for
        late_s = self.random.uniform(*LATE_S) if self.random.random() < self.late else 0.0
        due_at = self.now + takes_s
        runner.order = Order(move.action, model, due_at, due_at + late_s)
