"""Endpoints' notices over whole fleets: which nodes learn of them, and when."""

from unittest import mock

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
from notice_stories import NoticeStory

from rookspring import relay_notices
from rookspring_core.notices import Leaving
from rookspring_core.notices import NoticeTable
from rookspring_fakes.fleet_callers import FleetCallers

# A notice that one node gets has reached all nodes after this long, in seconds.
TOLD_S = 0.5
ASKED = "asked"


@given("{nodes:d} nodes that cannot reach the store, and a leaving endpoint")
def fleet_cut_off(context, nodes):
    context.stage = FleetCallers(nodes)
    stage = context.stage
    stage.fleet.cut_from_store = set(stage.fleet.nodes)
    stage.runners.leaving.add("e0")
    context.left_out = set()


def wait_for_notice(stage, name):
    """Have the endpoint answer a request of a node, and return when the node got the notice."""
    view = stage.fleet.nodes[name].state.endpoints["e0"]
    for _ in range(200):
        stage.send(name, ASKED)
        stage.fleet.run(0.01)
        if view.leaving:
            return stage.fleet.now
    raise AssertionError("the endpoint was never asked")


@when("its response to one node announces it")
def one_gets_notice(context):
    context.name = context.stage.names()[3]
    context.heard_at = wait_for_notice(context.stage, context.name)


@then("that node sends it nothing from then on")
def sends_nothing(context):
    stage = context.stage
    for _ in range(60):
        stage.send(context.name, ASKED)
        stage.fleet.run(0.05)
    late = [
        one
        for one in stage.runners.arrivals
        if one.endpoint == "e0" and one.node == context.name and one.at > context.heard_at
    ]
    assert not late, late
    others = [one for one in stage.runners.arrivals if one.node == context.name]
    assert len(others) >= 60, len(others)


@then("no node sends it anything 0.5 s later, whichever node gets the requests")
def nobody_sends(context):
    stage = context.stage
    for name in stage.names() * 3:
        stage.send(name, ASKED)
        stage.fleet.run(0.01)
    late = [
        one
        for one in stage.runners.arrivals
        if one.endpoint == "e0" and one.at > context.heard_at + TOLD_S
    ]
    assert not late, late


@then("the requests that ran there succeeded")
def ended_well(context):
    stage = context.stage
    stage.fleet.run(1.0)
    assert not stage.runners.crashes
    assert not [one for _, one in stage.fleet.refusals if one.outcome == "unknown"]


@when("{who} is started while its response to another announces it")
def missed_by_starting(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    other = next(one for one in stage.names() if one != name)
    stage.fleet.kill(name)
    stage.fleet.run(1.0)
    wait_for_notice(stage, other)
    # A starting node reads the list itself, in which the endpoint is still live.
    stage.fleet.cut_from_store.discard(name)
    stage.fleet.start(int(name[1:]))
    stage.fleet.run(2.0)
    context.heard_at = stage.fleet.now


@when("{who} freezes while its response to another announces it")
def missed_by_freezing(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    other = next(one for one in stage.names() if one != name)
    stage.fleet.nodes[name].frozen = True
    wait_for_notice(stage, other)
    stage.fleet.run(1.0)
    stage.fleet.thaw(name)
    stage.fleet.run(0.02)
    context.heard_at = stage.fleet.now


@when("{who} is cut off from the others while its response to another announces it")
def missed_by_cut_off(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    other = next(one for one in stage.names() if one != name)
    pairs = cut_off(stage.fleet, name)
    wait_for_notice(stage, other)
    stage.fleet.run(1.0)
    stage.fleet.cut -= pairs
    stage.fleet.run(3.0)
    context.heard_at = stage.fleet.now


@when("{who} loses the node that it follows while its response to another announces it")
def missed_by_orphaned(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    followed = stage.fleet.nodes[name].state.topology.followed
    other = next(one for one in stage.names() if one not in (name, followed))
    stage.fleet.kill(followed)
    wait_for_notice(stage, other)
    stage.fleet.run(3.0)
    context.heard_at = stage.fleet.now


@when("a node is cut off from all others, and gets the response that announces it")
def only_one_gets_notice(context):
    stage = context.stage
    context.name = pick(stage.fleet, "a leaf")
    cut_off(stage.fleet, context.name)
    stage.fleet.run(1.0)
    context.heard_at = wait_for_notice(stage, context.name)


# Back-off.

SHEDS = "e0"


@given(
    "{nodes:d} nodes, and two endpoints of their model, one of which refuses one node's requests"
)
def one_turned_away(context, nodes):
    context.stage = FleetCallers(nodes, 2)
    context.name = context.stage.names()[3]


@when("that node was given a back-off of {rest_s:g} s")
def asked_for_rest(context, rest_s):
    stage = context.stage
    fleet = stage.fleet
    stage.runners.shed(SHEDS, fleet.now + 60.0, rest_s, frozenset({context.name}))
    for _ in range(50):
        stage.send(context.name, ASKED)
        fleet.run(0.01)
        if stage.runners.turned_away:
            break
    context.heard_at = stage.runners.turned_away[0].at
    fleet.run(0.01)
    # All nodes send at once, so that their views differ only by their own requests.
    for _ in range(30):
        for name in stage.names():
            stage.send(name, ASKED)
        fleet.run(0.06)


def sent_to(context, endpoint, own):
    return [
        one
        for one in context.stage.runners.arrivals
        if one.endpoint == endpoint
        and (one.node == context.name) == own
        and one.at > context.heard_at
    ]


@then("that node sends it nothing for {seconds:g} s")
def nothing_sent(context, seconds):
    early = [one for one in sent_to(context, SHEDS, True) if one.at < context.heard_at + seconds]
    assert not early, early
    assert sent_to(context, "e1", True)


@then("the other nodes still send to both, less to the one that shed load")
def others_send(context):
    there, other = len(sent_to(context, SHEDS, False)), len(sent_to(context, "e1", False))
    assert 0 < there < 0.8 * other, (there, other)


@given("{nodes:d} nodes, and an endpoint that gives each a back-off of {rest_s:g} s")
def asks_each(context, nodes, rest_s):
    context.stage = FleetCallers(nodes, 1)
    context.stage.runners.shed(SHEDS, context.stage.fleet.now + 60.0, rest_s)


@when("one request comes to each node within a second")
def one_each(context):
    stage = context.stage
    names = stage.names()
    with mock.patch.object(relay_notices, "share_shed", wraps=relay_notices.share_shed) as told:
        for name in names:
            stage.send(name, ASKED)
            stage.fleet.run(1.0 / len(names))
    context.told = told.call_count
    assert len(stage.runners.turned_away) >= len(names) / 2


@then("the others were told of it {most:d} times at most")
def told_at_most(context, most):
    assert 1 <= context.told <= most, context.told


# Random fault sequences.


@then("{number:d} random fault sequences with {nodes:d} nodes send nothing against a notice")
def stories_hold(context, number, nodes):
    acts = strategies.lists(
        strategies.tuples(
            strategies.sampled_from([*TROUBLES, *TROUBLES, *node_troubles, "end", "end"]),
            strategies.integers(0, 20),
        ),
        min_size=6,
        max_size=10,
    )
    heard = []

    @drawing(max_examples=number, derandomize=True, deadline=None, database=None)
    @drawn(acts, strategies.integers(0, 1_000_000))
    def check(acts, seed):
        story = NoticeStory(nodes, seed)
        story.play(acts)
        heard.extend(word.notice for word in story.runners.received_notices)
        faults = story.faults()
        assert not faults, (acts, seed, faults[0])

    check()
    assert any(one.leaving for one in heard) and any(one.backoff_s for one in heard)


# Merging and bounds.


def leaving_of(table):
    return {(one.endpoint, one.started_ms) for one in table.list_leaving(10.0)}


@then(
    "{number:d} random sets of rows give the same leaving processes in any order, "
    "merged once or twice"
)
def words_merge(context, number):
    word = strategies.builds(
        Leaving, strategies.sampled_from("abc"), strategies.integers(0, 4), strategies.just(9.0)
    )

    @drawing(max_examples=number, derandomize=True, deadline=None)
    @drawn(strategies.lists(word, max_size=12), strategies.randoms(use_true_random=False))
    def check(words, random):
        first, other = NoticeTable(), NoticeTable()
        first.merge_leaving(words, 10.0)
        mixed = [*words, *words]
        random.shuffle(mixed)
        for one in mixed:
            other.merge_leaving((one,), 10.0)
        assert leaving_of(first) == leaving_of(other)
        assert first.digest(10.0) == other.digest(10.0)

    check()


@then("of {number:d} leaving processes {kept:d} are kept, the latest among them")
def table_bounded(context, number, kept):
    table = NoticeTable()
    for one in range(number):
        table.merge_leaving((Leaving(f"e{one}", 1, 0.0),), 0.0)
    assert len(table.list_leaving(0.0)) == kept
    assert table.is_leaving(f"e{number - 1}", 1) and not table.is_leaving("e0", 1)
