from behave import given
from behave import then
from behave import when
from placement_world import PlacementWorld

SEEDS = 20


@given("simulations of 14 models with room for 10, in which {late:g} of the orders are late")
def simulations(context, late):
    context.worlds = [PlacementWorld(seed, late) for seed in range(SEEDS)]


@when("each is run for {seconds:g} s")
def run_each(context, seconds):
    for world in context.worlds:
        world.run(seconds)


@then("no model had six or more requests without a replica over more than {most:g} s")
def none_passed_over(context, most):
    found = sorted((*world.longest, seed) for seed, world in enumerate(context.worlds))
    assert found[-1][0] <= most, found[-6:]
