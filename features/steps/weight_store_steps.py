import bisect
import random

from behave import given
from behave import then
from behave import when

from rookspring_core import defaults
from rookspring_core.control import StoreBudget

WINDOW_S = 5.0
LENGTH_S = 60.0
# For so long nothing is loaded, before and between, so that as much is kept as may be.
PAUSE_S = 8.0


@given("a weight store of {rate:g} loads a second")
def weight_store(context, rate):
    context.rate = rate


def take_all(rate, seed):
    """Take what there is at each plan; say when each load began, and for how long some waited."""
    drawn = random.Random(seed)
    store = StoreBudget(defaults.STORE_BURST, defaults.RELAY_PLAN_INTERVAL_S)
    store.begin(0.0)
    now, waited_s, began = 0.0, 0.0, []
    pause_until = PAUSE_S
    while now < LENGTH_S:
        passed = drawn.uniform(0.05, defaults.RELAY_PLAN_INTERVAL_S)
        now += passed
        store.refill(now, rate)
        if now < pause_until:
            continue
        waited_s += passed
        while store.take():
            began.append(now)
        if drawn.random() < 0.01:
            pause_until = now + PAUSE_S
    return began, waited_s


@when("the lease holder takes all that it may, at moments drawn by {seeds:d} seeds, after pauses")
def taken(context, seeds):
    context.plays = [take_all(context.rate, seed) for seed in range(seeds)]


@then("no {seconds:g} s see more than {times:g} times the rate and {more:d} loads beside")
def within_ceiling(context, seconds, times, more):
    most = context.rate * seconds * times + more
    for seed, (began, _) in enumerate(context.plays):
        for first, moment in enumerate(began):
            count = bisect.bisect_left(began, moment + seconds) - first
            assert count <= most, (seed, moment, count, most)


@then("over all it takes at least {share:g} of the rate while loads wait")
def used(context, share):
    taken_in_all = sum(len(began) for began, _ in context.plays)
    waited_s = sum(waited for _, waited in context.plays)
    assert taken_in_all >= share * context.rate * waited_s, (taken_in_all, waited_s)
