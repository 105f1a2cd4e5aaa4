import re

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness
from relay_harness import make_table

from rookspring_core import placement
from rookspring_core import swapping as swapping
from rookspring_core.events import RouteTableSeen
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

MODELS = {"m": 70.0, "n": 60.0, "o": 60.0, "big": 150.0}
LOAD_S = {"store": 8.0, "disk": 1.5, "memory": 1.2}
RUNNER_GB = 200.0
RUNNER_RATE = 4000.0


def read_runner(text):
    """Read a runner as NAME[RESIDENT; disk MODELS; memory MODELS; busy]."""
    name, inside = re.fullmatch(r"(\w+)\[(.*)\]", text).groups()
    held, *notes = [part.strip() for part in inside.split(";")]
    resident = [one for one in held.split(",") if one]
    near = dict.fromkeys(MODELS, "store")
    for note in notes:
        place, _, models = note.partition(" ")
        near.update(dict.fromkeys(models.split(","), place) if models else {})
    return placement.RunnerRoom(
        name=name,
        data_centre="z",
        engine="llm",
        free_gb=RUNNER_GB - sum(MODELS[one] for one in resident),
        token_rate=RUNNER_RATE,
        resident=frozenset((one, "") for one in resident),
        coming=frozenset(),
        busy="busy" in notes,
        load_s={model: LOAD_S[place] for model, place in near.items()},
    )


@given("runners {rows}")
def runners(context, rows):
    context.runners = tuple(read_runner(one) for one in re.findall(r"\w+\[[^]]*\]", rows))


@when("a plan is made for demand {rows}")
def demand(context, rows):
    wishes = {} if rows == "none" else dict(row.split() for row in rows.split(", "))
    # Only what a scenario names is declared, so that nothing else is missing.
    named = set(wishes) | {model for one in context.runners for model, _ in one.resident}
    models = {
        name: ModelSpec(version="", memory_gb=gb, engine="llm")
        for name, gb in MODELS.items()
        if name in named
    }
    levels = {model: float(rate) for model, rate in wishes.items()}
    given_ = placement.PlanInput(models, context.runners, levels, PolicySpec())
    context.moves = placement.find_placement("swap")(given_)


@then("the moves are {expected}")
def moves_are(context, expected):
    got = [f"{one.action} {one.key[0]} {one.endpoint}" for one in context.moves]
    assert got == ([] if expected == "none" else expected.split(", ")), got


@given("a lease holder whose weight store allows {rate:g} loads a second")
def store_allows(context, rate):
    context.holder = HolderHarness(["m", "n"])
    context.rate = rate


@when("two models are wanted that are {where}")
def two_wanted(context, where):
    holder = context.holder
    if where == "on a runner's disk":
        for runner in holder.runners.values():
            runner["disk"] = ("x", "y")
    sizes = {"m": 70_000.0, "n": 60_000.0, "x": 50_000.0, "y": 50_000.0}
    table = make_table(2, sizes=sizes, loads_per_s=context.rate)
    holder.orders.clear()
    # What was saved up at another rate does not count.
    holder.state.control.store.begin(holder.now)
    holder.relist()
    holder.submit(RouteTableSeen(holder.now, table))
    for model in ("x", "y"):
        holder.demand(model, 9_000.0)
    holder.pass_time(1.0)


@then("{loads:d} are ordered within a second")
def loads_ordered(context, loads):
    assert len([one for one in context.holder.orders if one.action == "load"]) == loads
