"""Model runners under the lease holder's placement, on a clock of their own.

Models are asked for at rates that move on, and there are fewer places than models. Orders take
their time; some are carried out seconds late, and runners are lost. What a model is asked for
while it stands nowhere is noted.
"""

import dataclasses
import math
import random

from rookspring_core import defaults
from rookspring_core.placement import PlanInput
from rookspring_core.placement import RunnerRoom
from rookspring_core.placement import find_placement
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

PLAN_S = 0.5
MODEL_GB = 95.0
RUNNER_GB = 200.0
RUNNER_RATE = 4_000.0
REQUEST_TOKENS = 1_500.0
# How long orders take, in seconds: from the runner's disk, the weight store, and an unload.
NEAR_S = 1.5
FAR_S = 8.0
UNLOAD_S = 0.7
# How much later a late order is carried out, in seconds, and for how long a lost runner is away.
LATE_S = (2.0, 8.0)
AWAY_S = 4.0
LOST_SHARE = 0.02
# From one move of the demand to the next, in seconds.
SHIFT_S = (6.0, 15.0)
# A model that was asked for so often in vain counts as passed over: after three times it is to take
# the place of one that is asked for as much.
IN_VAIN = 6


@dataclasses.dataclass
class Order:
    """An order under way: when it ought to be over, and when it is."""

    action: str
    model: str
    due_at: float
    ends_at: float


@dataclasses.dataclass
class Runner:
    """What a runner holds, has on its disk, and is carrying out."""

    disk: set
    held: set = dataclasses.field(default_factory=set)
    order: Order | None = None
    room_for: str = ""
    away_until: float = 0.0


class PlacementWorld:
    """Models, runners and demand, drawn by a seed."""

    def __init__(self, seed, late, models=14, runners=5, hot=4):
        self.drawn = random.Random(seed)
        self.late = late
        self.now = 0.0
        names = [f"m{number}" for number in range(models)]
        self.models = {name: ModelSpec("", MODEL_GB, engine="llm") for name in names}
        self.runners = {
            f"e{number}": Runner(set(self.drawn.sample(names, self.drawn.randint(3, 9))))
            for number in range(runners)
        }
        for number, name in enumerate(self.drawn.sample(names, 2 * runners)):
            self.runners[f"e{number % runners}"].held.add(name)
        rates = [self.drawn.uniform(800.0, 2500.0) for _ in range(hot)]
        rates += [self.drawn.uniform(60.0, 400.0) for _ in range(models - hot)]
        self.demand = dict(zip(self.drawn.sample(names, models), rates, strict=True))
        self.shift_at = self.drawn.uniform(*SHIFT_S)
        self.levels = dict.fromkeys(names, 0.0)
        self.owed = {}
        # When absent models were asked for since they stood last.
        self.in_vain = {}
        # The longest time for which a model was asked for in vain, often enough, and which.
        self.longest = (0.0, "")

    def run(self, seconds):
        while self.now < seconds:
            self.now += PLAN_S
            self._shift()
            self._lose()
            self._carry_out()
            self._ask()
            self._note_waits()
            for move in find_placement(defaults.RELAY_PLACEMENT)(self._given()):
                self._order(move)

    def _there(self):
        return {name: one for name, one in self.runners.items() if one.away_until <= self.now}

    def _shift(self):
        if self.now < self.shift_at:
            return
        self.shift_at = self.now + self.drawn.uniform(*SHIFT_S)
        rates = list(self.demand.values())
        self.drawn.shuffle(rates)
        self.demand = dict(zip(self.demand, rates, strict=True))

    def _lose(self):
        there = self._there()
        if self.drawn.random() >= LOST_SHARE or len(there) < len(self.runners):
            return
        runner = there[self.drawn.choice(sorted(there))]
        runner.away_until = self.now + AWAY_S
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

    def _ask(self):
        for name, rate in self.demand.items():
            asked = self.drawn.random() < min(1.0, rate * PLAN_S / REQUEST_TOKENS)
            came = REQUEST_TOKENS / PLAN_S if asked else 0.0
            gain = 0.4 if came > self.levels[name] else 0.15
            if asked:
                self.in_vain.setdefault(name, []).append(self.now)
            self.levels[name] += (came - self.levels[name]) * gain

    def _note_waits(self):
        stands = {model for one in self._there().values() for model in one.held}
        for name, level in self.levels.items():
            if name in stands:
                self.owed.pop(name, None)
                self.in_vain.pop(name, None)
                continue
            self.owed[name] = self.owed.get(name, 0.0) + level * PLAN_S
            asked = self.in_vain.get(name, ())
            if len(asked) >= IN_VAIN:
                self.longest = max(self.longest, (asked[-1] - asked[0], name))

    def _given(self):
        rooms = tuple(self._room(name, one) for name, one in self._there().items())
        return PlanInput(
            self.models,
            rooms,
            self.levels,
            PolicySpec(loads_per_s=2.0),
            self.levels,
            urgent={name: level / 2.0 for name, level in self.levels.items()},
            longest_s=2.0,
            owed=dict(self.owed),
            declined={},
        )

    def _room(self, name, runner):
        order = runner.order
        left_s = order.due_at + defaults.RUNNER_BUSY_S - self.now if order else 0.0
        coming = {order.model} if order is not None and order.action == "load" else set()
        return RunnerRoom(
            name=name,
            data_centre="z",
            engine="llm",
            free_gb=RUNNER_GB - MODEL_GB * len(runner.held | coming),
            token_rate=RUNNER_RATE,
            resident=frozenset((model, "") for model in runner.held),
            coming=frozenset((model, "") for model in coming),
            busy=order is not None,
            load_s={model: self._takes_s(runner, model) for model in self.models},
            free_in_s=left_s if left_s >= 0.0 else math.inf,
            room_for=runner.room_for,
        )

    def _takes_s(self, runner, model):
        return NEAR_S if model in runner.disk else FAR_S

    def _order(self, move):
        runner = self.runners[move.endpoint]
        model = move.key[0]
        if runner.order is not None:
            return
        load = move.action == "load"
        if load and MODEL_GB * (len(runner.held) + 1) > RUNNER_GB:
            return
        takes_s = self._takes_s(runner, model) if load else UNLOAD_S
        runner.room_for = "" if load else move.room_for
        late_s = self.drawn.uniform(*LATE_S) if self.drawn.random() < self.late else 0.0
        due_at = self.now + takes_s
        runner.order = Order(move.action, model, due_at, due_at + late_s)
