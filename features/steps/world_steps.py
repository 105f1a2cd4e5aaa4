import os
import random

from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as given_drawn
from hypothesis import settings
from hypothesis import strategies

from rookspring_fakes.disturbances import DISTURBANCES
from rookspring_fakes.disturbances import UnrepeatableCallers
from rookspring_fakes.disturbances import send_steady_traffic
from rookspring_fakes.users import USERS
from rookspring_fakes.world import World


def build(user, seed):
    world = World(USERS[user], seed=seed, checks_orders=lambda number: number % 3 != 2)
    world.declare()
    world.run_until_resident(120.0)
    return world


@given("a world of {user} with {nodes:d} nodes and seed {seed:d}")
def build_world(context, user, nodes, seed):
    context.world = build(user, seed)
    assert context.world.resident_everywhere()


def run_faults(world, names, seed, seconds=40.0):
    start = world.clock.now
    calls = UnrepeatableCallers(world, seed, start + seconds)
    send_steady_traffic(world, seed, start + seconds, load=0.3)
    rng = random.Random(seed)
    for name in names:
        world.clock.call(5.0 + 10.0 * rng.random(), DISTURBANCES[name], world, rng)
    world.clock.run(start + seconds + 60.0)
    return calls


@when("traffic runs while {faults}")
def traffic_runs(context, faults):
    context.calls = run_faults(context.world, faults.split(", "), 5)


@when("traffic runs for {seconds:g} s by seed {seed:d} while {faults}")
def traffic_runs_by_seed(context, seconds, seed, faults):
    context.calls = run_faults(context.world, faults.split(", "), seed, seconds)


@then("every guarantee held")
def guarantees_held(context):
    assert not context.world.check(), context.world.check()[:5]


@then("at least {least:d} in 100 requests were served in time")
def served_in_time(context, least):
    world = context.world
    met = [
        one
        for one in world.sent_requests.values()
        if one.request_id in world.results
        and world.results[one.request_id].outcome == "ran"
        and world.results[one.request_id].at <= one.deadline_at
    ]
    share = 100.0 * len(met) / len(world.sent_requests)
    outcomes = {}
    for result in world.results.values():
        outcomes[result.outcome, result.reason] = (
            outcomes.get((result.outcome, result.reason), 0) + 1
        )
    unanswered = set(world.sent_requests) - set(world.results)
    assert not unanswered, f"{len(unanswered)} requests were never answered"
    assert share >= least, f"{share:.1f}: {outcomes}"


@then("every declared model is reachable at the end")
def reachable(context):
    context.world.run_until_resident(context.world.clock.now + 60.0)
    assert context.world.resident_everywhere()


@then("no model was ever refused for lack of memory")
def never_refused(context):
    for _, entries in context.world.published.values():
        refused = [entry.reason for entry in entries.values() if entry.reason]
        assert not refused, refused[0]


@then("random runs of faults violate no guarantee")
def random_runs(context):
    runs = int(os.environ.get("ROOKSPRING_RANDOM_RUNS", "12"))

    @settings(
        max_examples=runs,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_drawn(
        seed=strategies.integers(0, 10_000),
        user=strategies.sampled_from(sorted(USERS)),
        faults=strategies.lists(
            strategies.sampled_from(sorted(DISTURBANCES)), min_size=2, max_size=4
        ),
    )
    def run(seed, user, faults):
        world = build(user, seed)
        run_faults(world, faults, seed, 30.0)
        assert not world.check(), world.check()[:3]

    run()
