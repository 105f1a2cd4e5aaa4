import bisect
import random

from behave import given
from behave import then
from behave import when

from rookspring_core import defaults
from rookspring_core.control import WeightStoreLimiter

WINDOW_S = 5.0
LENGTH_S = 60.0
# Length of the pauses without loads, long enough to fill the token bucket.
PAUSE_S = 8.0


@given("a weight store of {rate:g} loads a second")
def weight_store(context, rate):
    context.rate = rate


def take_all(rate, seed):
    """Take every token at each plan; return when loads began, and how long some waited."""
    generator = random.Random(seed)
    store = WeightStoreLimiter(defaults.STORE_BURST, defaults.RELAY_PLAN_INTERVAL_S)
    store.start_empty(0.0)
    now, waited_s, began = 0.0, 0.0, []
    pause_until = PAUSE_S
    while now < LENGTH_S:
        step_s = generator.uniform(0.05, defaults.RELAY_PLAN_INTERVAL_S)
        now += step_s
        store.refill(now, rate)
        if now < pause_until:
            continue
        waited_s += step_s
        while store.take():
            began.append(now)
        if generator.random() < 0.01:
            pause_until = now + PAUSE_S
    return began, waited_s


@when(
    "the lease holder starts as many loads as it may,"
    " at times drawn with {seeds:d} seeds, with pauses"
)
def start_loads(context, seeds):
    context.runs = [take_all(context.rate, seed) for seed in range(seeds)]


@then("no {seconds:g} s have more loads than {times:g} times the rate plus {more:d}")
def within_limit(context, seconds, times, more):
    most = context.rate * seconds * times + more
    for seed, (began, _) in enumerate(context.runs):
        for first, start in enumerate(began):
            count = bisect.bisect_left(began, start + seconds) - first
            assert count <= most, (seed, start, count, most)


@then("in total it uses at least {share:g} of the rate while loads wait")
def rate_used(context, share):
    loads = sum(len(began) for began, _ in context.runs)
    waited_s = sum(waited for _, waited in context.runs)
    assert loads >= share * context.rate * waited_s, (loads, waited_s)
