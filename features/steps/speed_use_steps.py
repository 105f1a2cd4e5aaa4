import math
import re
import statistics
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness
from relay_harness import RelayHarness
from speed_simulation import KnowingWorld
from speed_simulation import NodeWorld

from rookspring import relay_attempts
from rookspring_core import placement
from rookspring_core import planning
from rookspring_core import swapping as swapping
from rookspring_core.effects import Dispatch
from rookspring_core.events import LoadRequested
from rookspring_core.events import Ticked
from rookspring_core.latencies import LatencyTable
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

SEEDS = range(1, 6)
SECONDS = 12.0
# When the slow runner's speed falls and returns, and how much later the nodes know of either.
SLOW_FROM, SLOW_UNTIL = 104.0, 110.0
KNOWN_AFTER_S = 1.0
MODELS = {"m": 70.0, "big": 150.0}
RUNNER_GB = 200.0
RUNNER_RATE = 4_000.0


def play(world):
    world.run()
    return world


def mean_share(worlds):
    return sum(world.share_in_time() for world in worlds) / len(worlds)


def make_informed(*args, **fields):
    world = NodeWorld(*args, **fields)
    usual = statistics.median_high(runner.speed for runner in world.runners.values())
    for name, runner in world.runners.items():
        world.tell(name, runner.speed / usual)
    return world


@given("three nodes before runners of speeds {speeds}, at {load:g} of their joint capacity")
def nodes_before(context, speeds, load):
    context.load = tuple(float(one) for one in re.findall(r"[\d.]+", speeds)), load, SECONDS


@when("the load is played with the speeds known, unknown, and to a scheduler that knows all")
def play_three(context):
    kinds = {"known": make_informed, "unknown": NodeWorld, "scheduler": KnowingWorld}
    context.shares = {
        kind: mean_share([play(make(*context.load, seed)) for seed in SEEDS])
        for kind, make in kinds.items()
    }


@then("with the speeds {kind} the share in time is at most {most:g} below that of the scheduler")
def near_best(context, kind, most):
    assert context.shares["scheduler"] - context.shares[kind] <= most, context.shares


@then("with the speeds {kind} it is at least {least:g} below that")
def far_below(context, kind, least):
    assert context.shares["known"] - context.shares[kind] >= least, context.shares


@given("three nodes before three equal runners, one of which is five times slower for 6 s")
def one_turns_slow(context):
    context.worlds = [NodeWorld((1.0, 1.0, 1.0), 0.5, 15.0, seed) for seed in SEEDS]
    for world in context.worlds:
        runner = world.runners["e0"]
        world.at(SLOW_FROM, setattr, runner, "speed", 0.2)
        world.at(SLOW_UNTIL, setattr, runner, "speed", 1.0)


@when("the load is played, and its speed is known 1 s late")
def play_slow(context):
    for world in context.worlds:
        world.at(SLOW_FROM + KNOWN_AFTER_S, world.tell, "e0", 0.2)
        world.at(SLOW_UNTIL + KNOWN_AFTER_S, world.tell, "e0", 1.0)
        world.run()


@then("each node has at most one run's length of late requests of those that arrive after that")
def few_late(context):
    """A run's length of requests: as many as a node sends the runner while one request runs."""
    for world in context.worlds:
        streams = [one for one in world.streams.values() if one.runner == "e0"]
        before = [one for one in streams if one.at < SLOW_FROM]
        run_s = sum(one.ended_at - one.at for one in before) / len(before)
        most = math.ceil(len(before) / (SLOW_FROM - 100.0) * run_s / len(world.nodes))
        known = [one for one in streams if SLOW_FROM + KNOWN_AFTER_S <= one.at < SLOW_UNTIL]
        for number in range(len(world.nodes)):
            late = [
                one for one in known if one.node % len(world.nodes) == number and not one.in_time
            ]
            assert len(late) <= most, (len(late), most)


@then("no request is sent twice")
def sent_once(context):
    for world in context.worlds:
        sent = [one.request_id for node in world.nodes for one in node.sent]
        assert len(sent) == len(set(sent))


@given("events at three nodes before equal runners, at {load:g} of their joint capacity")
def equal_runners(context, load):
    context.load = load


@when("they are decided with the default options, and with endpoint speeds in use")
def decide_both(context):
    context.worlds = [NodeWorld((1.0,) * 3, context.load, 8.0, 7, prefixes=5) for _ in range(2)]
    for node in context.worlds[1].nodes:
        node.state.options = node.state.options._replace(endpoint_speeds=True)
    for world in context.worlds:
        world.run()


@then("the effects are the same")
def same_effects(context):
    first, second = (world.recorded for world in context.worlds)
    assert len(first) > 5_000 and first == second


@given("a node before runners of m: {runners}")
def node_before(context, runners):
    """Runners as NAME speed S unread N running N, cached (its prefix), new adapter."""
    context.node = node = RelayHarness()
    rows = {row.split()[0]: row for row in runners.split("; ")}
    node.list_endpoints(rows, "llm", "runner")
    for name, row in rows.items():
        numbers = {key: float(value) for key, value in re.findall(r"(\w+) ([\d.]+)", row)}
        report = node.report(name, ("m",))
        if "new adapter" in row:
            node.submit(report)
            node.now += 1.0
            report = node.report(name, ("m",), ("m/a1",))
        node.submit(report._replace(running=int(numbers.get("running", 0))))
        view = node.state.endpoints[name]
        view.speed = numbers["speed"]
        if numbers.get("unread"):
            view.prompts["earlier"] = int(numbers["unread"])
        if "cached" in row:
            view.hint((1,), node.now)


@given("a pace of {pace:g} tokens a second")
def pace_known(context, pace):
    context.node.state.latencies.seconds_per_token["m"] = 1.0 / pace


@when("a prompt of {tokens:d} tokens arrives for m")
def prompt_for_m(context, tokens):
    context.node.ask(model="m", key="r1", prompt_tokens=tokens, prefix=1)


@then("its runner is {runner}")
def runner_is(context, runner):
    sent = [one.endpoint for one in context.node.sent]
    assert sent == ([] if runner == "none" else [runner]), sent


@when("a prompt of {tokens:d} tokens arrives for m and waits in vain")
def waits_in_vain(context, tokens):
    node = context.node
    for number in range(40):
        node.ask(model="m", key=f"r{number}", prompt_tokens=tokens, deadline_s=60.0)
    node.now += 1.0
    node.submit(Ticked(node.now))


@then("its retry-after time is {least:g} to 3 s, and its text {telling} the speed")
def refused_with(context, least, telling):
    refused = context.node.refused
    times = [one.retry_after_s for one in refused]
    assert len(times) == 40 and min(times) >= least - 1e-9 and max(times) <= 3.0, times
    assert min(times) <= least + 0.2, times
    assert all(("speed 0.50" in one.message) == (telling == "has") for one in refused)


@given(
    "a node that measured 3 prompts of 2000 tokens for each of m and n, after an overhead of 40 ms"
)
def measured(context):
    context.paces = LatencyTable()
    context.paces.note_first_event("m", 10, 0.04)


@when(
    "those of m took {slow:d} ms at a runner of speed {low:g},"
    " and those of n {fast:d} ms at one of speed {high:g}"
)
def measured_at(context, slow, low, fast, high):
    for _ in range(3):
        context.paces.note_first_event("m", 2000, slow / 1000.0, low)
        context.paces.note_first_event("n", 2000, fast / 1000.0, high)


@then("a token of m is as much work as one of n")
def as_much_work(context):
    costs = [context.paces.relative_cost(name) for name in "mn"]
    assert abs(costs[0] - costs[1]) < 0.01, costs


@when("an attempt begins at an endpoint of speed 0.7 with endpoint speeds {use}")
def attempt_begins(context, use):
    node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.state.endpoints["e1"].speed = 0.7
    node.state.options = node.state.options._replace(endpoint_speeds=use == "in use")
    daemon = mock.MagicMock(state=node.state)
    daemon.exchanges = {"r1": types.SimpleNamespace(**exchange_fields())}
    with (
        mock.patch.object(relay_attempts, "log") as log,
        mock.patch.object(relay_attempts, "run_attempt", mock.Mock()),
    ):
        relay_attempts.dispatch(daemon, Dispatch("r1", 1, "e1", 0, node.now))
    context.line = log.call_args.kwargs


def exchange_fields():
    named = types.SimpleNamespace(request_id="q1", name="r", resumes="", parts=())
    return {
        "fields": named,
        "last_event": "",
        "route": named,
        "key": "r1",
        "fingerprint": "",
        "organisation": "",
        "arrived_at": 0.0,
    }


@then("its line {has} the speed")
def line_has(context, has):
    assert context.line.get("speed") == (0.7 if has == "has" else None), context.line


@given("placement over {runners}")
def placement_over(context, runners):
    context.runners = tuple(snapshot(*row.split()) for row in runners.split("; "))


def snapshot(name, speed, held):
    resident = [] if held == "none" else held.split(",")
    return placement.RunnerSnapshot(
        name=name,
        data_centre="z",
        engine="llm",
        free_gb=RUNNER_GB - sum(MODELS[one] for one in resident),
        token_rate=RUNNER_RATE * float(speed),
        resident=frozenset((one, "") for one in resident),
        loading=frozenset(),
        busy=False,
        load_s=dict.fromkeys(MODELS, 1.5),
        speed=float(speed),
    )


@when("a plan is made for the demand {rows}")
def plan_made(context, rows):
    levels = {row.split()[0]: float(row.split()[1]) for row in rows.split(", ")}
    models = {name: ModelSpec(version="", memory_gb=MODELS[name], engine="llm") for name in levels}
    context.moves = placement.find_placement("swap")(
        placement.PlanInput(models, context.runners, levels, PolicySpec(), urgent=levels)
    )


@then("its moves are {expected}")
def its_moves(context, expected):
    got = [f"{one.action} {one.key[0]} {one.endpoint}" for one in context.moves]
    assert got == expected.split(", "), got


def set_speeds(holder, speeds):
    for name, speed in speeds.items():
        holder.state.endpoints[name].speed = speed


@given("a lease holder with runners of speeds {speeds}")
def holder_of_speeds(context, speeds):
    numbers = [float(one) for one in re.findall(r"[\d.]+", speeds)]
    context.holder = HolderHarness(["m"] * len(numbers))
    names = [f"e{number}" for number in range(1, len(numbers) + 1)]
    set_speeds(context.holder, dict(zip(names, numbers, strict=True)))


@when("it plans for a demand of {demand:d} tokens a second")
def plans_for(context, demand):
    holder = context.holder
    holder.state.control.forecast.levels["m"] = float(demand)
    with mock.patch.object(placement, "find_placement") as find:
        find.return_value.return_value = []
        planning.plan(holder.state)
    context.planned = find.return_value.call_args.args[0]


@then("the rates of its runners are {rates} tokens a second")
def rates_are(context, rates):
    got = [round(one.token_rate) for one in context.planned.runners]
    assert got == [int(one) for one in re.findall(r"\d+", rates)], got


@given("a lease holder whose runners hold m and adapters: {runners}")
def holder_with_adapters(context, runners):
    rows = [row.split() for row in runners.split("; ")]
    held = ["m" if adapters == "none" else f"m+{adapters}" for _, _, adapters in rows]
    context.holder = HolderHarness([one.replace(",", "+") for one in held])
    set_speeds(context.holder, {name: float(speed) for name, speed, _ in rows})


@when("an adapter of m is requested")
def adapter_requested(context):
    holder = context.holder
    holder.submit(LoadRequested(holder.now, "llm", "m", "m/a9"))
    holder.pass_time(0.3)


@then("it is attached at {runner}")
def attached_at(context, runner):
    loads = [one for one in context.holder.orders if one.model_version == "m/a9"]
    assert [(one.action, one.endpoint) for one in loads] == [("load", runner)], loads
