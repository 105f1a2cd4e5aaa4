from behave import given
from behave import then
from behave import when
from placement_world import PlacementWorld

SEEDS = 20


@given("placement worlds of 14 models and 10 places, in which {late:g} of the orders come late")
def worlds(context, late):
    context.worlds = [PlacementWorld(seed, late) for seed in range(SEEDS)]


@when("each is played for {seconds:g} s")
def played(context, seconds):
    for world in context.worlds:
        world.run(seconds)


@then("no model was asked for in vain six times or more, for over {most:g} s")
def none_waits(context, most):
    found = sorted((*world.longest, seed) for seed, world in enumerate(context.worlds))
    assert found[-1][0] <= most, found[-6:]
