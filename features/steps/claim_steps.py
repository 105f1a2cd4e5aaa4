import hashlib
import random
import time

from behave import given
from behave import then
from behave import when
from placement_world import DISK_LOAD_S
from placement_world import PLAN_S
from placement_world import UNLOAD_S
from placement_world import Order
from placement_world import PlacementWorld
from relay_harness import HolderHarness
from relay_harness import make_table

from rookspring_core import defaults
from rookspring_core import expected_loads
from rookspring_core import placement
from rookspring_core.accounts import Order as OrderUnderWay
from rookspring_core.effects import ClaimChanged
from rookspring_core.effects import ShareLoading
from rookspring_core.events import DownReceived
from rookspring_core.events import LoadingReceived
from rookspring_core.events import RouteTableSeen
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

HOT_RATE = 3_000.0
RARE_RATE = 100.0


@given('the placement policy "{name}"')
def policy(context, name):
    context.policy = name


@then("the claims are {expected}")
def claims_are(context, expected):
    got = [f"{model} {claim.runner}" for model, claim in context.claims.items()]
    assert got == ([] if expected == "none" else expected.split(", ")), context.claims


@given("runners that all free room for rarely requested models, by policy {name}")
def all_free_room(context, name):
    context.world = world = PlacementWorld(1, 0.0, policy=name)
    world.shift_at = 1e9
    names = list(world.models)
    context.hot = names[0]
    kept, rare = names[1:6], names[6:11]
    world.demand = dict.fromkeys(names, 0.0) | dict.fromkeys(kept, HOT_RATE)
    world.demand |= dict.fromkeys(rare, RARE_RATE)
    for number, runner in enumerate(world.runners.values()):
        runner.disk = set(names)
        runner.held = {kept[number]}
        runner.room_for = rare[number]
        ends_at = PLAN_S + number * UNLOAD_S / len(world.runners)
        runner.order = Order("unload", names[11], ends_at, ends_at)
    world.levels = dict(world.demand)


@when("the hottest model loses all of its replicas")
def hottest_lost(context):
    world = context.world
    world.demand[context.hot] = world.levels[context.hot] = HOT_RATE
    world.run(PLAN_S + UNLOAD_S + 2 * DISK_LOAD_S)


@then("its load begins at the first plan after a runner is free: {answer}")
def begins_at_once(context, answer):
    moves = [line.split() for line in context.world.moves]
    loads = [
        float(at) for at, action, model, _ in moves if (action, model) == ("load", context.hot)
    ]
    in_time = bool(loads) and loads[0] <= PLAN_S + UNLOAD_S
    assert in_time == (answer == "yes"), context.world.moves


@given('simulations of 14 models with room for 10 under the policy "{name}"')
def simulations(context, name):
    context.worlds = [PlacementWorld(seed, 0.0, policy=name) for seed in range(20)]


@then("each model was resident at some time")
def each_was_resident(context):
    for world in context.worlds:
        assert set(world.models) == world.ever_resident


@then("no runner was claimed by two models at once")
def claimed_once(context):
    for world in context.worlds:
        for at, claims in world.claim_history:
            claimed = [claim.runner for claim in claims.values()]
            assert len(claimed) == len(set(claimed)), (at, claims)


@then("no claim of a model that was missed moved more than {most:d} times")
def few_moves_of_claims(context, most):
    made = 0
    for world in context.worlds:
        moved, before = {}, {}
        for at, claims in world.claim_history:
            made += len(claims.keys() - before.keys())
            moved = {model: moved.get(model, 0) for model in claims}
            for model, claim in claims.items():
                if model in before and before[model].runner != claim.runner:
                    moved[model] += 1
                assert moved[model] <= most, (at, model, moved)
            before = claims
    assert made > 1000, made


@given("simulations under the default policy")
def default_simulations(context):
    context.late = {1: 0.0, 2: 0.3, 3: 0.3}


@when("their plans are recorded for {seconds:d} s")
def record_plans(context, seconds):
    context.records = {}
    for seed, late in context.late.items():
        world = PlacementWorld(seed, late)
        world.run(seconds)
        digest = hashlib.sha256("\n".join(world.moves).encode()).hexdigest()
        context.records[str(seed)] = (str(len(world.moves)), digest[:16])


@then("the records are")
def records_are(context):
    assert defaults.RELAY_PLACEMENT == "swap"
    for row in context.table:
        assert context.records[row["seed"]] == (row["moves"], row["digest"]), context.records


class ClaimHolder(HolderHarness):
    """A lease holder with claims, whose shared expectations and log lines are recorded."""

    def __init__(self, held):
        self.expected = []
        self.logged = []
        super().__init__(held)
        self.state.options = self.state.options._replace(placement="claim")

    def perform(self, effect):
        if isinstance(effect, ShareLoading):
            self.expected.append((self.now, effect))
        elif isinstance(effect, ClaimChanged):
            self.logged.append(effect)
        super().perform(effect)

    def run(self, seconds, demand):
        for _ in range(round(seconds / 0.1)):
            for model, rate in demand.items():
                self.demand(model, rate)
            self.pass_time(0.1)

    def claims(self):
        return {name: kept.runner for name, kept in self.state.residency.claims["llm"].items()}


@given("a lease holder with claims, whose runners are loading x and y")
def loading_two(context):
    context.holder = holder = ClaimHolder(["m+n", "m+n"])
    sizes = {"m": 70_000.0, "n": 60_000.0, "x": 60_000.0, "y": 60_000.0, "z": 60_000.0}
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    context.demand = {"m": 3_000.0, "x": 3_000.0, "y": 3_000.0}
    for runner in holder.runners.values():
        runner["disk"] = ("z", "m", "n")
    holder.relist()
    holder.run(2.0, context.demand)
    loads = [one.model for one in holder.orders if one.action == "load"]
    assert sorted(loads) == ["x", "y"], holder.orders
    context.demand["z"] = 2_000.0
    holder.expected.clear()


@when("z is requested, and their loads end")
def z_requested(context):
    holder = context.holder
    holder.run(1.5, context.demand)
    context.claimed = holder.claims()["z"]
    for _ in range(100):
        if any(effect.model == "z" for _, effect in holder.expected):
            return
        holder.run(0.1, context.demand)
    raise AssertionError((holder.orders, holder.logged))


@then("z claims a runner, which the log says")
def claim_logged(context):
    first = context.holder.logged[0]
    assert (first.model, first.endpoint, first.change) == ("z", context.claimed, "made"), first


@then("the nodes learn when z is expected once no load is under way there")
def expectation_shared(context):
    at, effect = context.holder.expected[-1]
    assert (effect.endpoint, effect.model) == (context.claimed, "z"), effect
    order = context.holder.orders[-1]
    assert (order.action, order.endpoint) == ("unload", context.claimed), order
    assert context.holder.state.endpoints[context.claimed].expected_in_s("z", at) == effect.in_s


@then("they learn it again only when it has moved by more than {least:g} s")
def shared_on_change(context, least):
    context.holder.run(3.0, context.demand)
    times = [at + one.in_s for at, one in context.holder.expected if one.model == "z"]
    apart = [abs(later - sooner) for sooner, later in zip(times, times[1:], strict=False)]
    # The last one is that of the order to load it.
    assert 2 <= len(times) <= 4 and all(one > least for one in apart[:-1]), times


@when("x is loaded at the claimed runner before z")
def other_load_first(context):
    holder = context.holder
    account = holder.state.residency.accounts[context.claimed]
    context.in_s = holder.state.endpoints[context.claimed].expected_in_s("z", holder.now)
    account.order = OrderUnderWay("load", "x", "", 0, holder.now, taken=True, length_s=0.5)
    holder.submit(LoadingReceived(holder.now, context.claimed, "x", 0.5))
    assert not _keep_z(context)
    # What follows the load of x is the unload that makes room for z.
    account.order = OrderUnderWay("unload", "n", "", 1, holder.now, taken=True)


def _keep_z(context):
    """Keep the claim of z as a plan does that expects it at the same time; return the effects."""
    claims = {"z": placement.Claim(context.claimed, context.in_s)}
    plan_input = placement.PlanInput({}, (), {}, PolicySpec(), claims=claims)
    return expected_loads.keep_claims(context.holder.state, "llm", plan_input)


@then("the nodes learn again when z is expected, though that has not moved")
def shared_again(context):
    assert _keep_z(context) == [ShareLoading(context.claimed, "z", context.in_s)]
    assert not _keep_z(context)


@given("a lease holder with claims, whose runners have room for z but no copy of it")
def room_without_copy(context):
    context.holder = holder = ClaimHolder(["m+n", "m+n"])
    sizes = dict.fromkeys(("m", "n", "z"), 20_000.0)
    holder.state.control.store_limiter.take = lambda: False
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))


@when("z is requested, while the limit refuses its load for {seconds:g} s")
def limit_refuses(context, seconds):
    holder = context.holder
    holder.run(seconds, {"m": 3_000.0, "z": 2_000.0})
    context.claimed = holder.claims()["z"]
    context.shared_early = list(holder.expected)
    del holder.state.control.store_limiter.take
    holder.run(1.0, {"m": 3_000.0, "z": 2_000.0})


@then("z claims a runner, and the nodes expect it only once its load is ordered")
def shared_with_order(context):
    holder = context.holder
    assert not context.shared_early, context.shared_early
    assert [(one.action, one.model) for one in holder.orders] == [("load", "z")], holder.orders
    assert [effect.model for _, effect in holder.expected] == ["z"], holder.expected


@when("the claimed runner refuses the order to load z")
def load_refused(context):
    holder = context.holder
    carry_out = holder.carry_out

    def refuse_z(order):
        if (order.action, order.model) == ("load", "z"):
            holder.answer = "other count"
        carry_out(order)

    holder.carry_out = refuse_z
    while holder.answer == "taken":
        holder.run(0.1, context.demand)
    assert holder.state.residency.accounts[context.claimed].order is None
    assert holder.state.endpoints[context.claimed].expected_in_s("z", holder.now) > 1.0


@then("a plan that claims no runner for z takes it back, one that claims the same does not")
def taken_back(context):
    holder = context.holder
    context.in_s = 2.0
    assert not [one for one in _keep_z(context) if isinstance(one, ShareLoading)]
    holder.state.residency.claims.clear()
    nothing = placement.PlanInput({}, (), {}, PolicySpec(), claims={})
    for options, effects in (
        (holder.state.options._replace(placement="swap"), []),
        (holder.state.options, [ShareLoading(context.claimed, "", 0.0)]),
    ):
        holder.state.options = options
        assert expected_loads.keep_claims(holder.state, "llm", nothing) == effects
    assert holder.state.endpoints[context.claimed].expected_in_s("z", holder.now) is None


@when("the claimed runner is down")
def claimed_down(context):
    holder = context.holder
    holder.dead.add(context.claimed)
    holder.submit(DownReceived(holder.now, context.claimed))
    holder.run(1.0, context.demand)


@then("the log says that the claim was dropped, and the nodes do not expect z there")
def claim_dropped(context):
    holder = context.holder
    changes = [(one.endpoint, one.change) for one in holder.logged if one.model == "z"]
    assert (context.claimed, "dropped") in changes, changes
    shared = [one.model for _, one in holder.expected if one.endpoint == context.claimed]
    assert shared[-1] == "", shared
    view = holder.state.endpoints[context.claimed]
    assert view.expected_in_s("z", holder.now) is None, (
        view.expected_model,
        holder.now,
        holder.claims(),
        holder.state.residency.accounts[context.claimed].order,
        holder.expected,
        holder.orders,
    )


@when("z is requested, and its runner's load takes {late_s:g} s longer than predicted")
def load_late(context, late_s):
    holder = context.holder
    holder.run(1.0, context.demand)
    claimed = holder.claims()["z"]
    kept = holder.state.residency.claims["llm"]["z"]
    early = kept._replace(promised_at=holder.now + 0.5)
    holder.state.residency.claims["llm"]["z"] = early
    holder.run(late_s, context.demand)
    assert holder.claims()["z"] == claimed


@then("the log says once that the claim is late")
def late_once(context):
    changes = [one.change for one in context.holder.logged if one.model == "z"]
    assert changes == ["made", "late"], changes


@when("z is requested, and a new epoch begins")
def new_epoch(context):
    holder = context.holder
    holder.run(1.0, context.demand)
    context.claimed = holder.claims()["z"]
    # The holder begins anew as one with another epoch does.
    holder.state.residency.epoch = -1
    holder.run(0.1, context.demand)


@then("there are no claims at first, and z claims the same runner within {most:g} s")
def claims_anew(context, most):
    holder = context.holder
    assert not holder.state.residency.claims
    holder.logged.clear()
    holder.run(most, context.demand)
    made = [(one.endpoint, one.change) for one in holder.logged if one.model == "z"]
    assert made[0] == (context.claimed, "made"), (context.claimed, made)


@given("{models:d} models over {runners:d} runners, a fifth of them empty, half busy")
def large_pool(context, models, runners):
    rng = random.Random(7)
    names = [f"m{number}" for number in range(models)]
    specs = {name: ModelSpec("", rng.uniform(34.0, 73.0), engine="llm") for name in names}
    demand = {name: 12_000.0 / (1 + number) for number, name in enumerate(names)}
    pool = [_make_runner(rng, number, specs) for number in range(runners)]
    context.plan_input = placement.PlanInput(
        specs,
        tuple(pool),
        demand,
        PolicySpec(loads_per_s=13.0),
        urgent=demand,
        longest_s=2.0,
        deficit=dict(demand),
        declined={},
        claims={},
    )


def _make_runner(rng, number, specs):
    held = () if number % 5 == 0 else tuple(rng.sample(sorted(specs), 3))
    busy = number % 2 == 0
    return placement.RunnerSnapshot(
        f"e{number}",
        "z",
        "llm",
        200.0 - sum(specs[name].memory_gb for name in held),
        4_000.0,
        frozenset((name, "") for name in held),
        frozenset(),
        busy,
        load_s={name: rng.choice((0.7, 1.2)) for name in specs},
        free_in_s=rng.uniform(0.1, 2.0) if busy else 0.0,
        in_use=frozenset(held[:1]),
    )


def _time_plan(plan_input, name):
    began = time.process_time()
    placement.find_placement(name)(plan_input)
    return time.process_time() - began


@then('a plan with claims takes less than {times:g} times as long as one by "swap"')
def plan_time(context, times):
    least = {
        name: min(_time_plan(context.plan_input, name) for _ in range(5))
        for name in ("claim", "swap")
    }
    assert least["claim"] < times * least["swap"], least


@then('models are placed by the policy "{name}"')
def placed_by(context, name):
    assert context.settings.options.placement == name
