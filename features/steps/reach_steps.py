"""A simulated pool of runners under a skewed demand, with a plan every half second."""

import collections
import random

from behave import given
from behave import then
from behave import when

from rookspring_core import defaults
from rookspring_core import placement
from rookspring_core import swapping as swapping
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

MODEL_GB = 70.0
RUNNER_GB = 230.0
MODELS_PER_RUNNER = 3
STORE_S = 6.0
DISK_S = 1.5
SPARE_COPIES = 4
SEED = 11


class SimRunner:
    """A runner that carries out one order at a time and keeps copies of unloaded models."""

    def __init__(self, name, models):
        self.name = name
        self.models = set(models)
        self.copies = collections.OrderedDict.fromkeys(models)
        self.order = None
        self.room_for = ""

    def snapshot(self, specs, now):
        coming = {(self.order[1], "")} if self.order and self.order[0] == "load" else set()
        held = len(self.models) + len(coming)
        return placement.RunnerSnapshot(
            name=self.name,
            data_centre="z",
            engine="llm",
            free_gb=RUNNER_GB - MODEL_GB * held,
            token_rate=4000.0,
            resident=frozenset((one, "") for one in self.models),
            loading=frozenset(coming),
            busy=self.order is not None,
            load_s={name: DISK_S if name in self.copies else STORE_S for name in specs},
            free_in_s=self.order[2] - now if self.order else 0.0,
            room_for=self.room_for,
        )

    def take(self, move, now):
        if self.order is not None:
            return
        model = move.key[0]
        if move.action == "unload":
            self.models.discard(model)
            self.room_for = move.room_for
            self.order = ("unload", model, now + 0.3)
            return
        self.room_for = ""
        self.order = ("load", model, now + (DISK_S if model in self.copies else STORE_S))

    def end_due(self, now):
        if self.order is None or now < self.order[2]:
            return
        action, model, _ = self.order
        self.order = None
        if action == "load":
            self.models.add(model)
            self.copies[model] = None
            self.copies.move_to_end(model)
            while len(self.copies) > SPARE_COPIES + MODELS_PER_RUNNER:
                self.copies.popitem(last=False)


@given("{models:d} models of skewed demand over {runners:d} runners with room for three models")
def skewed(context, models, runners):
    rng = random.Random(SEED)
    names = [f"m{number}" for number in range(models)]
    # Demand falls with the model's number; the last is requested once in some seconds.
    context.demand = {name: 12_000.0 / (1 + number) for number, name in enumerate(names)}
    context.specs = {
        name: ModelSpec(version="", memory_gb=MODEL_GB, engine="llm") for name in names
    }
    placed = names[: runners * MODELS_PER_RUNNER]
    rng.shuffle(placed)
    context.pool = [SimRunner(f"r{number}", placed[number::runners]) for number in range(runners)]


@when("plans are made for {seconds:d} s")
def planned_for(context, seconds):
    context.steps_resident = collections.Counter()
    context.gap = {}
    absent_since = {}
    last = dict.fromkeys(context.demand, 0.0)
    for step in range(seconds * 2):
        now = step / 2
        for runner in context.pool:
            runner.end_due(now)
        resident = {model for runner in context.pool for model in runner.models}
        for model in context.demand:
            if model in resident:
                absent_since.pop(model, None)
                last[model] = now
                context.steps_resident[model] += 1
            else:
                absent_since.setdefault(model, now)
            gap = now - last[model]
            context.gap[model] = max(context.gap.get(model, 0.0), gap)
        given_ = placement.PlanInput(
            context.specs,
            tuple(runner.snapshot(context.specs, now) for runner in context.pool),
            context.demand,
            PolicySpec(loads_per_s=13.0),
            urgent=context.demand,
            deficit={
                model: (now - at) * context.demand[model] for model, at in absent_since.items()
            },
        )
        by_name = {runner.name: runner for runner in context.pool}
        for move in placement.find_placement(defaults.RELAY_PLACEMENT)(given_):
            by_name[move.endpoint].take(move, now)


@then("each model was resident, and none was absent for longer than {seconds:d} s")
def each_resident(context, seconds):
    never = [model for model in context.demand if not context.steps_resident[model]]
    late = {model: gap for model, gap in context.gap.items() if gap > seconds}
    assert not never and not late, (len(never), sorted(late.values())[-5:], len(late))


@then("the {number:d} models with the most demand were resident {per_cent:d} % of the time")
def most_requested(context, number, per_cent):
    steps = max(context.steps_resident.values())
    busy = sorted(context.demand, key=context.demand.get, reverse=True)[:number]
    shares = {model: context.steps_resident[model] / steps for model in busy}
    assert min(shares.values()) >= per_cent / 100, min(shares.items(), key=lambda row: row[1])
