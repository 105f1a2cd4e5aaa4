"""Rate limits of endpoints, over whole fleets."""

import functools
import random

from behave import given
from behave import then
from behave import when
from crash_steps import cut_off
from crash_steps import pick
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from key_stories import troubles as node_troubles
from notice_stories import TROUBLES
from rate_counts import aimed
from rate_counts import all_arrivals
from rate_counts import borne
from rate_counts import first_named
from rate_counts import most_in_window
from rate_counts import told_arrivals
from rate_stories import RATE_TROUBLES
from rate_stories import RateStory

from rookspring_core import slot_requests
from rookspring_core.owners import choose_owner
from rookspring_fakes.fleet_callers import FleetCallers

LIMITED = "e0"
ASKED = "asked"
# The limit has to be used from then on: its owner grants permits only after OWNER_SETTLES_S.
USED_AFTER_S = 5.0


@given(
    "{nodes:d} nodes and {endpoints:d} endpoints, "
    "one with a rate limit of {rate:g} requests a second"
)
def limited_endpoint(context, nodes, endpoints, rate):
    context.stage = FleetCallers(nodes, endpoints)
    context.stage.runners.rates[LIMITED] = context.rate = rate
    context.drawn = random.Random(7)
    context.sent = {}


def send_requests(context, asked, seconds):
    stage = context.stage
    end = stage.fleet.now + seconds
    while stage.fleet.now < end:
        name = context.drawn.choice(stage.names())
        key = stage.send(name, ASKED, repeatable=True, attempts=2)
        context.sent[key] = stage.fleet.now
        stage.fleet.run(context.drawn.expovariate(asked))


@when("{asked:g} requests a second arrive at random nodes for {seconds:g} s")
def requests_arrive(context, asked, seconds):
    send_requests(context, asked, seconds)


@when("no requests arrive for {seconds:g} s")
def no_requests(context, seconds):
    context.stage.fleet.run(seconds)


@then("no node keeps a queue for the endpoint")
def no_queue(context):
    kept = [node.name for node in context.stage.fleet.live() if node.state.owned_queues.slots]
    assert not kept, kept


@then("in no 4 s it got more than users tolerate, from nodes that knew its limit")
def within_tolerance(context):
    found = most_in_window(told_arrivals(context.stage.runners, LIMITED))
    assert 0 < found <= borne(context.rate), (found, borne(context.rate))


@then("in no 4 s it got more than its limit, from all nodes")
def within_limit(context):
    found = most_in_window(all_arrivals(context.stage.runners, LIMITED))
    assert 0 < found <= aimed(context.rate), (found, aimed(context.rate))


@then("in no 4 s it got more than its limit with the bursts of {owners:d} owners")
def within_limit_of_owners(context, owners):
    found = most_in_window(all_arrivals(context.stage.runners, LIMITED))
    most = aimed(context.rate, owners)
    assert 0 < found <= most, (found, most)


def used_since(context, moment):
    runners = context.stage.runners
    there = [one for one in runners.arrivals if one.endpoint == LIMITED and one.at >= moment]
    return len(there) / (context.rate * (context.stage.fleet.now - moment))


@then("it got nine tenths of its limit")
def used_nine_tenths(context):
    # A permit that is due at the very end may be counted or not.
    begins = first_named(context.stage.runners, LIMITED) + USED_AFTER_S
    due = context.rate * (context.stage.fleet.now - begins)
    assert used_since(context, begins) >= 0.9 - 1.0 / due, used_since(context, begins)


@then("in the last {seconds:g} s it got at least {share:g} of its limit")
def used_lately(context, seconds, share):
    found = used_since(context, context.stage.fleet.now - seconds)
    assert found >= share, found


@then("no request was refused")
def none_refused(context):
    assert not context.stage.fleet.refusals, context.stage.fleet.refusals[0]


@then("each refusal came within {seconds:g} s, with a time to retry")
def refused_soon(context, seconds):
    refusals = context.stage.fleet.refusals
    assert refusals
    for at, one in refusals:
        assert one.outcome == "not_run" and one.retry_after_s > 0.0, one
        assert at - context.sent[one.request_id] <= seconds, (at, one)
    # With the same time to retry, all would come back for one permit.
    retry_at = {round(at + one.retry_after_s, 2) for at, one in refusals[-20:]}
    assert len(retry_at) > 10, retry_at


# Faults of the owner.


def owner_of(fleet):
    """Return the owner of the endpoint's queue, by the view of a node that may own it."""
    state = next(
        node.state for node in fleet.live() if node.state.topology.mesh or node.state.topology.relay
    )
    subject = slot_requests.subject_of(slot_requests.ENDPOINT_PREFIX + LIMITED)
    return choose_owner(subject, state.topology.owners(fleet.now))


OWNER_TROUBLES = {}


def trouble(text):
    def register(function):
        OWNER_TROUBLES[text] = function
        return function

    return register


@trouble("its owner is killed")
def _killed(fleet, owner):
    fleet.kill(owner)


@trouble("its owner freezes")
def _freezes(fleet, owner):
    fleet.nodes[owner].frozen = True


@trouble("its owner freezes and resumes 3 s later")
def _thaws(fleet, owner):
    fleet.nodes[owner].frozen = True
    fleet.at(fleet.now + 3.0, functools.partial(fleet.thaw, owner))


@trouble("its owner shuts down gracefully")
def _leaves(fleet, owner):
    with fleet.virtual_clock():
        fleet.drain(owner)


@trouble("its owner is cut off from the others")
def _is_cut(fleet, owner):
    cut_off(fleet, owner)


@trouble("its owner restarts")
def _starts(fleet, owner):
    fleet.kill(owner)
    fleet.at(fleet.now + 1.0, functools.partial(fleet.start, int(owner[1:])))


@trouble("its owner can't reach the store")
def _storeless(fleet, owner):
    fleet.cut_from_store.add(owner)


@trouble("no node can reach the store")
def _all_storeless(fleet, owner):
    fleet.cut_from_store |= set(fleet.nodes)


@trouble("a third of the nodes is cut off")
def _third_cut(fleet, owner):
    away = [node.name for node in fleet.live()][::3]
    rest = [name for name in fleet.nodes if name not in away]
    fleet.cut |= {(one, other) for one in away for other in rest}
    fleet.cut |= {(other, one) for one in away for other in rest}


@trouble("each relay is killed")
def _no_relays(fleet, owner):
    for node in fleet.live():
        if node.state.topology.relay:
            fleet.kill(node.name)


def _register(text, function):
    @when(text)
    def fault_begins(context):
        owner = owner_of(context.stage.fleet)
        assert owner
        function(context.stage.fleet, owner)


for _text, _function in OWNER_TROUBLES.items():
    _register(_text, _function)


# Nodes that were away.


@when("{node} {was}, and then receives all requests")
def was_away(context, node, was):
    fleet = context.stage.fleet
    name = context.name = pick(fleet, node)
    if was == "is started":
        fleet.kill(name)
        fleet.run(2.0)
        with fleet.virtual_clock():
            fleet.start(int(name[1:]))
        fleet.run(2.0)
    elif was.startswith("freezes"):
        fleet.nodes[name].frozen = True
        fleet.run(2.0)
        fleet.thaw(name)
    else:
        pairs = cut_off(fleet, name)
        fleet.run(2.0)
        fleet.cut -= pairs
        fleet.run(2.0)
    context.since = fleet.now
    for _ in range(160):
        context.stage.send(name, ASKED, repeatable=True, attempts=2)
        fleet.run(0.05)


@then("it sends no more than {rate:g} requests a second there")
def sends_no_more(context, rate):
    there = [
        one.at
        for one in context.stage.runners.arrivals
        if one.endpoint == LIMITED and one.node == context.name and one.at >= context.since
    ]
    seconds = context.stage.fleet.now - context.since
    assert len(there) <= rate * seconds + 2, (len(there), seconds)


# Random runs.


@then("{number:d} random runs of {nodes:d} nodes send no endpoint more than its limit")
def random_runs_hold(context, number, nodes):
    names = [*RATE_TROUBLES, *RATE_TROUBLES, *TROUBLES, *node_troubles, "end", "end"]
    acts = strategies.lists(
        strategies.tuples(strategies.sampled_from(names), strategies.integers(0, 20)),
        min_size=8,
        max_size=14,
    )
    counted = []

    @drawing(max_examples=number, derandomize=True, deadline=None, database=None)
    @drawn(acts, strategies.integers(0, 1_000_000))
    def check(acts, seed):
        story = RateStory(nodes, seed)
        story.play(acts)
        found = story.rate_faults()
        assert not found, (acts, seed, found[0])
        counted.append(len(story.named))

    check()
    assert sum(counted) > 0
