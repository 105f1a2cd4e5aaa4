from behave import given
from behave import then
from behave import when
from isolation_harness import TICK_S
from isolation_harness import IsolationHarness
from isolation_harness import add_others

from rookspring_core import cluster
from rookspring_core import defaults
from rookspring_core import endpoint_reach
from rookspring_core.effects import Announce
from rookspring_core.effects import ProbeReach
from rookspring_core.effects import SharePrompts
from rookspring_core.effects import WriteLease
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import DownReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten


@given("a node of data centre z with {count:d} endpoints and other nodes {nodes}")
def node_with_others(context, count, nodes):
    context.node = IsolationHarness(count)
    add_others(context.node, nodes)


@when("it finds that it reaches no endpoint")
def finds_none(context):
    context.node.isolate()


@when("connections to two endpoints fail, one refused, and it finds that it reaches none")
def connections_fail(context):
    node = context.node
    node.ask(deadline_s=2.0)
    for down in (True, False):
        last = node.sent[-1]
        node.submit(
            AttemptFailed(node.now, last.request_id, last.attempt, False, False, "no way", down)
        )
    assert sum(not view.accepts_work(node.now) for view in node.state.endpoints.values()) == 2
    node.isolate()


@when("a request can't be sent {times:d} times, and the 5th time it finds that it reaches none")
def cannot_be_sent(context, times):
    node = context.node
    node.ask(deadline_s=2.0)
    for _ in range(times):
        node.meet("unsent")
    assert len(node.sent) == times + 1
    node.isolate()
    node.meet("unsent")


@then("no endpoint counts as down, ejected or failing")
def endpoints_well(context):
    node = context.node
    for view in node.state.endpoints.values():
        assert not view.down and not view.failures and view.accepts_work(node.now), view.name


@then("this is announced at once")
def announced(context):
    assert context.node.effects(Announce)


@then("callers get the addresses of {names}")
def addresses_given(context, names):
    found = cluster.near_addresses(context.node.state, "z")
    assert found == [f"at-{name}" for name in names.split(", ")], found


@given("this node holds the lease")
def holds_lease(context):
    node = context.node
    node.state.started_at = node.now - 1000.0
    node.submit(LeaseSeen(node.now, 0, "", 0, ""))
    node.pass_time(0.2)
    context.writes = 0
    _answer_writes(context)
    assert node.state.control.holding(node.now)


def _answer_writes(context):
    node = context.node
    writes = node.effects(WriteLease)
    for one in writes[context.writes :]:
        if one.nonce:
            node.submit(LeaseWritten(node.now, node.now, one.nonce, True, one.version + 1))
        else:
            node.submit(
                LeaseSeen(node.now, one.version + 1, "", one.epoch, "", turn_in_s=one.turn_in_s)
            )
    context.writes = len(writes)


@when("it finds that it reaches no endpoint, and {seconds:g} s pass")
def isolated_for(context, seconds):
    context.node.isolate()
    _pass_with_lease(context, seconds)


def _pass_with_lease(context, seconds):
    for _ in range(round(seconds / TICK_S)):
        context.node.pass_time(TICK_S)
        _answer_writes(context)


@then("this node {holds} the lease afterwards")
def lease_held(context, holds):
    node = context.node
    assert node.state.control.holding(node.now) == (holds == "holds")
    released = [one for one in node.effects(WriteLease) if not one.nonce]
    assert len(released) == (0 if holds == "holds" else 1), released


@then("once it reaches endpoints again it {then} {seconds:g} s later")
def lease_after(context, then, seconds):
    node = context.node
    before = node.state.control.holding(node.now)
    node.isolate(reached=True)
    _pass_with_lease(context, seconds)
    assert node.state.control.holding(node.now)
    assert before == (then == "still holds it")


@when("a request at one endpoint is silent for {seconds:g} s, another's goes")
def one_silent(context, seconds):
    node = context.node
    node.ask(key="silent", deadline_s=9.0)
    node.ask(key="goes", deadline_s=9.0)
    goes = next(one for one in node.sent if one.request_id == "goes")
    node.submit(AttemptStarted(node.now, "goes", goes.attempt))
    for _ in range(round(seconds / TICK_S)):
        node.pass_time(TICK_S)
        node.submit(AttemptProgressed(node.now, "goes", goes.attempt, 1))


@when("all requests in flight are silent for {seconds:g} s")
def all_silent(context, seconds):
    node = context.node
    node.ask(key="r1", deadline_s=9.0)
    node.ask(key="r2", deadline_s=9.0)
    node.pass_time(seconds)


@when("nothing is in flight for {seconds:g} s")
def nothing_in_flight(context, seconds):
    context.node.pass_time(seconds)


@when("it finds that it reaches no endpoint, and {seconds:g} s passes")
def isolated_and_waits(context, seconds):
    context.node.isolate()
    context.node.pass_time(seconds)


@then("it asks for nothing")
def asks_nothing(context):
    assert not context.node.effects(ProbeReach)


@then("it probes {count:d} boxes")
def probes_boxes(context, count):
    found = context.node.effects(ProbeReach)
    assert found and all(len(one.endpoints) == count for one in found), found


@when("a prompt is being sent to each endpoint, and it finds that it reaches none")
def prompts_sent(context):
    node = context.node = IsolationHarness(3, role="runner")
    add_others(node, "b in z")
    for number in range(6):
        node.ask(model="m", key=f"r{number}", prompt_tokens=500, deadline_s=9.0)
    assert {one.endpoint for one in node.sent} == {"e0", "e1", "e2"}
    node.given.clear()
    node.isolate()


@then("all nodes are told that no prompt of it is unread")
def prompts_ended(context):
    node = context.node
    told = {one.endpoint: one.tokens for one in node.effects(SharePrompts)}
    assert told == {"e0": 0, "e1": 0, "e2": 0}, told


@given("a node of data centre z with {count:d} endpoints on {boxes:d} boxes")
def endpoints_on_boxes(context, count, boxes):
    context.node = IsolationHarness(count, boxes)


@then("each probe asks {count:d} boxes, without that of the failed endpoint")
def probes_other_boxes(context, count):
    state = context.node.state
    context.asked = set()
    for _ in range(20):
        state.now += defaults.REACH_RECHECK_S
        names = endpoint_reach.choose_probes(state, "e7")
        boxes = {endpoint_reach.box_of(state.endpoints[name]) for name in names}
        assert len(boxes) == count and endpoint_reach.box_of(state.endpoints["e7"]) not in boxes
        context.asked |= boxes


@then("in 10 s at least {count:d} boxes are asked")
def boxes_asked(context, count):
    assert len(context.asked) >= count, len(context.asked)


@when("a stream runs at an endpoint, another node tells that it has ended, and {what}")
def told_ended(context, what):
    node = context.node
    node.ask(key="stream", deadline_s=9.0)
    sent = node.sent[-1]
    context.view = node.state.endpoints[sent.endpoint]
    key = ("stream", sent.attempt)
    node.submit(AttemptStarted(node.now, *key))
    node.submit(AttemptProgressed(node.now, *key, 1))
    node.submit(DownReceived(node.now, sent.endpoint))
    assert not context.view.accepts_work(node.now)
    node.now += 0.02 if what == "its next event crosses" else 0.2
    if what != "nothing more comes":
        node.submit(AttemptProgressed(node.now, *key, 1))


@then("it {gets} new requests at once, and {again} after another such message")
def gets_requests(context, gets, again):
    node = context.node
    assert context.view.accepts_work(node.now) == (gets == "gets")
    node.submit(DownReceived(node.now, context.view.name))
    assert context.view.accepts_work(node.now) == (again == "gets")
