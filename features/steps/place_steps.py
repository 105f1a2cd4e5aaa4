import random
import re
from unittest import mock

from behave import given
from behave import then
from behave import when
from place_node import LATE_REPLIES
from place_node import PlaceNode

from rookspring_core import place_requests
from rookspring_core import requests
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import CallerLeft
from rookspring_core.events import GraceEnded
from rookspring_core.events import PromptsReceived
from rookspring_core.events import Ticked
from rookspring_core.suspect_handlers import Quarantine


def refuse(node):
    before = 0
    while len(node.asked) > before and not node.sent and node.owned() in node.state.endpoints:
        before = len(node.asked)
        node.answer(after_s=0.7)


ANSWERS = {
    "do not answer": lambda node: None,
    "grant it a place, too late": lambda node: None,
    "let it wait": lambda node: node.answer(),
    "let it wait for 2 s": lambda node: node.answer(avoid_s=2.0),
    "let it wait and confirm it": lambda node: node.answer(),
    "grant it a place": lambda node: node.answer(node.owned()),
    "refuse it": refuse,
    "know no such endpoint": lambda node: node.answer(after_s=0.5, blind=True),
    "grant a place that is gone": lambda node: (node.evict(), node.answer("e1")),
}


@when("200 requests come, one every 0.1 s, each read after 0.15 s")
def calm_day(context):
    node = context.node
    read_at = {}
    for number in range(200):
        node.come(f"c{number}")
        read_at[number] = node.now + 0.15
        node.now += 0.05
        node.submit(Ticked(node.now))
        node.now += 0.05
        for one in [one for one, at in read_at.items() if at <= node.now + 1e-9]:
            del read_at[one]
            node.submit(AttemptStarted(node.now, f"c{one}", 1))
            node.submit(AttemptProgressed(node.now, f"c{one}", 1, 1))
            node.submit(AttemptSucceeded(node.now, f"c{one}", 1))


@then("all are sent at once, and no owner is asked")
def all_sent(context):
    node = context.node
    assert len(node.sent) == 200 and not node.asked, (len(node.sent), node.asked)


@given("a node and two endpoints, both {filled}, whose owners {answers}")
def place_node(context, filled, answers):
    context.node = PlaceNode()
    if filled == "free":
        context.node.fill(e1=0, e2=0)
    context.answers = answers


@when("a request comes, and {what}")
def one_comes(context, what):
    node = context.node
    node.come()
    assert [one.queue for one in node.asked] == ["#e1"] and not node.sent, node.asked
    if what == "the other endpoint has room":
        node.fill(e2=0)
    if what == "the other endpoint has a rate":
        node.fill(e2=0)
        node.state.endpoints["e2"].rate = 5.0
    if what == "its key is revoked":
        fault = Quarantine(401, "key_revoked", "", 0.0)
        with mock.patch.object(requests, "find_fault", lambda *args: fault):
            ANSWERS[context.answers](node)
        return
    ANSWERS[context.answers](node)
    if "pass" in what:
        if "with room" in what:
            node.fill(e1=0, e2=0)
        confirm = node.answer if "confirm" in context.answers else lambda: None
        node.pass_time(float(what.split()[0]), confirm)
    if "too late" in context.answers:
        node.answer("e1")
    if what == "the model leaves its endpoint":
        node.evict()
        node.pass_time(0.1, node.answer)
    if what == "is confirmed":
        node.answer()
    if what == "its caller leaves":
        node.submit(CallerLeft(node.now, "r1"))
    if what == "the planned stop ends":
        node.submit(GraceEnded(node.now))


@when(
    "its request was refused by its endpoint and asks for a place there again, and a reply to its "
    "first question comes, {late}"
)
def late_place(context, late):
    node = context.node
    node.list_endpoints(["e1"], "llm", "runner")
    node.come()
    node.answer("e1")
    node.submit(AttemptStarted(node.now, "r1", 1))
    node.submit(AttemptFailed(node.now, "r1", 1, True, True, "503"))
    assert [one.queue for one in node.asked] == ["#e1", "#e1"] and len(node.sent) == 1, node.asked
    node.freed.clear()
    node.answer(*LATE_REPLIES[late], asked=node.asked[0])


@then("for its node it {state}")
def state_is(context, state):
    node = context.node
    queued = sum(len(queue) for queue in node.state.queues.values())
    refused = [one.reason for one in node.refused]
    if state.startswith("was refused"):
        assert refused == [re.split("[ ,]", state)[3]] and not node.sent, (refused, node.sent)
        assert node.refused[0].outcome == "not_run"
        assert len(node.asked) == (2 if "two owners" in state else 1), node.asked
    elif state.startswith("was sent"):
        assert len(node.sent) == 1 and not refused, (node.sent, refused)
    elif state.startswith("was withdrawn"):
        assert [one.queue for one in node.freed] == ["#e1"] and not node.state.requests
        assert not node.state.permit_requests
    elif state == "asks for a permit there":
        assert not node.sent and not refused, (node.sent, refused)
        assert [one.queue for one in node.asked] == ["#e1", "@e2"], node.asked
    else:
        assert not node.sent and not refused, (node.sent, refused)
        assert queued == ("in its node" in state), queued
        assert len(node.state.permit_requests) == 1 - queued
    if "withdrawn from its owner" in state:
        assert [one.queue for one in node.freed] == ["#e1"], node.freed
    if "one place returned" in state:
        assert {one.unsent for one in node.freed} == {True}, node.freed
        assert node.freed[-1].endpoint == "e1"


@then("its next request asks within 0.3 s although there is room, and is sent at once after that")
def next_asks(context):
    node = context.node
    node.fill(e1=0, e2=4050)
    node.now += 0.2
    node.come("r2")
    assert [one.request_id for one in node.asked] == ["r1", "r2"] and not node.sent
    node.now += 0.2
    node.come("r3")
    assert [one.request_id for one in node.sent] == ["r3"], node.sent


@then("its next request asks the other endpoint's owner")
def next_asks_other(context):
    context.node.come("r2")
    assert [one.queue for one in context.node.asked] == ["#e1", "#e2"], context.node.asked


@then("its next request is sent at once")
def next_sent(context):
    node = context.node
    node.fill(e1=3000, e2=4050)
    node.come("r2")
    assert [one.request_id for one in node.sent] == ["r1", "r2"], node.sent
    assert len(node.asked) == 1


@then("its place is returned once in each way in which its request may end")
def returned_once(context):
    ends = {
        "succeeds": AttemptSucceeded(101.0, "r1", 1),
        "breaks": AttemptFailed(101.0, "r1", 1, True, False, "reset"),
        "is rejected": AttemptFailed(101.0, "r1", 1, True, True, "503"),
        "loses its caller": CallerLeft(101.0, "r1"),
    }
    for name, event in ends.items():
        node = PlaceNode()
        node.come()
        node.answer("e1")
        node.submit(AttemptStarted(node.now, "r1", 1))
        node.submit(event)
        returned = [one for one in node.freed if one.endpoint == "e1" and not one.unsent]
        assert len(returned) == 1, (name, node.freed)


# Without the option.


def draw_effects(seed, number, node):
    drawn = random.Random(seed)
    found = []
    for step in range(number):
        node.now += drawn.uniform(0.0, 0.03)
        kind = drawn.randrange(5)
        if kind == 0:
            tokens = drawn.choice((0, 1500, 4000))
            event = PromptsReceived(node.now, "p", ((drawn.choice(("e1", "e2")), tokens),))
        elif kind == 1:
            event = Ticked(node.now)
        elif kind < 4 and node.state.requests:
            running = [one for one in node.state.requests.values() if one.running]
            event = Ticked(node.now)
            if running:
                one = drawn.choice(running)
                key = (one.arrived.request_id, one.attempt)
                event = drawn.choice(
                    (
                        AttemptProgressed(node.now, *key, 3),
                        AttemptSucceeded(node.now, *key),
                        AttemptFailed(node.now, *key, True, True, "503"),
                    )
                )
        else:
            node.come(f"r{step}")
            continue
        found += map(repr, node.submit(event))
    return found + [repr(one) for one in (*node.sent, *node.refused)]


@given("a stream of {number:d} events from seed {seed:d}")
def stream_of(context, number, seed):
    context.stream = (seed, number)


@then("its effects are the same without the option as without the code")
def same_effects(context):
    off = draw_effects(*context.stream, PlaceNode(order=False))
    on = draw_effects(*context.stream, PlaceNode())
    with (
        mock.patch.object(place_requests, "choose_owned", lambda *args: None),
        mock.patch.object(place_requests, "prefer_unqueued", lambda state, request, views: views),
    ):
        without = draw_effects(*context.stream, PlaceNode())
    assert off == without and len(off) > 1000
    assert on != off
    assert not any("AskSlot" in one for one in off)
