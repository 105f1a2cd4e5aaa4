import time

from behave import given
from behave import then
from behave import when
from isolation_harness import IsolationHarness
from relay_harness import make_table

from rookspring_core import routed
from rookspring_core.effects import AskSlot
from rookspring_core.effects import Cancel
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import HandOver
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import GraceEnded
from rookspring_core.events import OriginReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import SlotAnswered
from rookspring_core.organisations import Allotment
from rookspring_core.organisations import Organisation
from rookspring_core.organisations import make_directory


@given('organisation "{name}" may use {rate:g} units a second')
def organisation_limited(context, name, rate):
    node = context.node
    organisation = Organisation(name, ("k",), Allotment(rate))
    table = make_table(2)._replace(directory=make_directory([organisation]))
    node.submit(RouteTableSeen(node.now, table))


@when('a request of "{name}" for model m arrives')
def organisations_request(context, name):
    node = context.node
    terms = RouteTerms("r", "llm", 1, 1, 2, 0.1, 0.4)
    node.submit(
        RequestArrived(
            node.now,
            "r1",
            name,
            "m",
            deadline_at=node.now + 5.0,
            tokens=100,
            route=terms,
        )
    )


@then("it is handed over to {name} with {sends:d} sends")
def handed_over(context, name, sends):
    found = context.node.effects(HandOver)
    assert [(one.node, one.address, one.sends) for one in found] == [(name, f"at-{name}", sends)]


@then("no units, demand or resend window are counted here")
def nothing_counted(context):
    state = context.node.state
    rows = state.allotments.take_unreported(context.node.now, True)
    assert not any(rows.values()), rows
    state.control.meter.roll(1.0)
    assert not any(state.control.meter.rates.values()), state.control.meter.rates
    assert not state.retry_windows, state.retry_windows


@when("a request waits for a slot, another is being sent, and it finds that it reaches none")
def one_waits(context):
    node = context.node
    node.ask(key="sent", deadline_s=2.0)
    node.state.slots_by_owner = True
    node.ask(key="waits", deadline_s=2.0)
    assert [one.request_id for one in node.sent] == ["sent"]
    assert [one.request_id for one in node.effects(AskSlot)] == ["waits"]
    node.isolate()


@then("the waiting one is handed over at once")
def waiting_handed(context):
    assert [one.request_id for one in context.node.effects(HandOver)] == ["waits"]


@then("the other one is handed over once its connection has failed")
def other_handed(context):
    node = context.node
    node.meet("unsent")
    assert [one.request_id for one in node.effects(HandOver)] == ["waits", "sent"]


@then("a slot that is granted late is returned")
def late_slot(context):
    node = context.node
    queue = node.effects(AskSlot)[0].queue
    node.submit(SlotAnswered(node.now, "waits", queue, "e1", 0.0))
    assert [one.endpoint for one in node.effects(FreeSlot)] == ["e1"]
    assert len(node.sent) == 1


@when("{kind} request is handed over, which {what}")
def handed_request(context, kind, what):
    node = context.node
    node.ask(kind=kind.split()[-1], deadline_s=2.0)
    effect = node.effects(HandOver)[0]
    key = (effect.request_id, effect.attempt)
    if what == "is answered":
        node.meet_handover()
    elif what == "can't be sent to three nodes":
        for _ in range(3):
            node.meet_handover((False, "TimeoutError"))
    elif what == "can't be sent once and then answers":
        node.meet_handover((False, "TimeoutError"))
        node.meet_handover()
    elif what == "is cut after it was sent":
        node.meet_handover((True, "connection reset"))
    elif what == "is late after it was sent":
        node.now += 2.5
        node.meet_handover((True, "deadline"))
    elif what == "is left by its caller":
        node.submit(AttemptStarted(node.now, *key))
        node.submit(CallerLeft(node.now, effect.request_id))
    else:
        node.submit(AttemptStarted(node.now, *key))
        node.submit(GraceEnded(node.now))


@when("{kind} stream of {sends:d} sends is handed over, and {times:d} times {what}")
def handed_stream(context, kind, sends, times, what):
    node = context.node
    window = routed.resend_window(node.state, "svc")
    for _ in range(REQUESTS_BEFORE):
        window.earn(node.now)
    while "no resend left" in what and window.spend(node.now):
        pass
    node.ask(kind="safe" if kind == "a resumable" else "unsafe", attempts=sends, deadline_s=2.0)
    for _ in range(times):
        effect = node.effects(HandOver)[-1]
        if "before an event" not in what:
            node.submit(AttemptStarted(node.now, effect.request_id, effect.attempt))
            node.submit(AttemptProgressed(node.now, effect.request_id, effect.attempt, 1))
        if "late" in what:
            node.now += 2.5
        node.meet_handover((True, "connection reset"))
    if node.state.requests:
        node.meet_handover()


# Requests that earned their service resends before.
REQUESTS_BEFORE = 200
# The versions of the three endpoints, and that which is known to have begun the stream.
VERSIONS = {
    "one version": (("",) * 3, ""),
    "two versions": (("v1", "v2", "v2"), ""),
    "two versions, and the second is known to have begun it": (("v1", "v2", "v2"), "v2"),
}


@given("its endpoints are of {which}")
def endpoint_versions(context, which):
    node = context.node
    versions, context.origin = VERSIONS[which]
    rows = [
        BoxListed(f"e{one}", f"10.0.0.{one}:{one}", "z", "service", "live", "svc", version=version)
        for one, version in enumerate(versions)
    ]
    node.submit(BoxListReceived(node.now, tuple(rows)))


@when("a resumable stream is handed over and has an event, and this node reaches endpoints again")
def reaches_again(context):
    node = context.node
    terms = RouteTerms("r", "svc", 1, 1, 2, 0.1, 0.4)
    arrived = RequestArrived(
        node.now,
        "r1",
        "",
        "svc",
        service=True,
        deadline_at=node.now + 5.0,
        route=terms,
        stream=True,
        stream_id="s1",
    )
    node.submit(arrived)
    context.effect = effect = node.effects(HandOver)[-1]
    if context.origin:
        node.submit(OriginReceived(node.now, "s1", context.origin, 30.0))
    node.submit(AttemptStarted(node.now, "r1", effect.attempt))
    node.submit(AttemptProgressed(node.now, "r1", effect.attempt, 3))
    node.isolate(reached=True)


@when("the other node is lost")
def other_node_lost(context):
    failed = AttemptFailed(
        context.node.now, "r1", context.effect.attempt, True, False, "connection reset"
    )
    context.node.submit(failed)


@then("the handed-over stream {then}")
def stream_goes_on(context, then):
    node = context.node
    sent = [one for one in node.sent if one.request_id == "r1"]
    if then == "is cut":
        assert not sent and [one.status for one in node.refused] == [502], node.refused
        return
    assert len(sent) == 1 and not node.refused, (sent, node.refused)
    if "second" in then:
        assert node.state.endpoints[sent[0].endpoint].software_version() == "v2"
    assert not node.state.reach.handed, node.state.reach.handed


@when("it can't be sent to b either")
def unsent_to_b(context):
    context.node.meet_handover((False, "ConnectionRefusedError"))


@then("it ends as {end} after {times:d} handovers")
def ends_as(context, end, times):
    node = context.node
    found = node.effects(HandOver)
    assert len(found) == times and len({one.node for one in found}) == times, found
    refused = [f"{one.status} {one.outcome}" for one in node.refused]
    if end == "cancelled":
        assert node.effects(Cancel) and not refused
    else:
        assert refused == ([] if end == "answered" else [end]), refused
    assert not node.state.requests and not node.state.reach.handed, node.state.reach.handed
    assert not node.sent


@then("it is ended with {end}, after one handover")
def ended_with(context, end):
    node = context.node
    refused = [f"{one.status} {one.outcome}" for one in node.refused]
    assert refused == [end] and len(node.effects(HandOver)) == 1, (refused, node.given)


@when("a request arrives that another node has handed over")
def arrives_handed(context):
    node = context.node
    terms = RouteTerms("r", "svc", 1, 1, 2, 0.1, 0.4)
    arrived = RequestArrived(
        node.now, "r1", "", "svc", True, deadline_at=node.now + 2.0, route=terms, sends_before=0
    )
    node.submit(arrived)


@then("it is not handed over")
def not_handed(context):
    assert not context.node.effects(HandOver)


@when("a safe request was sent once and broke off, and it finds that it reaches none")
def sent_once(context):
    node = context.node
    node.ask(deadline_s=2.0)
    node.isolate()
    node.meet("broken")


@then("at {name} it is sent once more at most")
def once_more(context, name):
    other = IsolationHarness(3, name=name)
    terms = RouteTerms("r", "svc", 1, 1, 2, 0.1, 0.4)
    other.submit(
        RequestArrived(
            other.now,
            "r1",
            "",
            "svc",
            True,
            deadline_at=other.now + 2.0,
            route=terms,
            sends_before=context.node.effects(HandOver)[0].sends,
        )
    )
    assert len(other.sent) == 1
    other.meet("broken")
    assert len(other.sent) == 1 and [one.status for one in other.refused] == [502]


@when("{count:d} requests arrive")
def many_arrive(context, count):
    for number in range(count):
        context.node.ask(key=f"r{number}", deadline_s=2.0)


@then("they are handed over to {names}")
def handed_to(context, names):
    found = {one.node for one in context.node.effects(HandOver)}
    assert found == (set() if names == "none" else set(names.split(", "))), found


@given(
    "{count:d} nodes in {centres:d} data centres, of which {cut:d} of one data centre's reach "
    "no endpoint"
)
def many_nodes(context, count, centres, cut):
    # The first of every ``centres`` nodes is in data centre 0.
    rows = [(f"n{one}", f"dc{one % centres}") for one in range(count)]
    isolated = {name for name, data_centre in rows if data_centre == "dc0"}
    isolated = set(sorted(isolated)[:cut])
    assert len(isolated) == cut
    context.rows = [(name, data_centre, name in isolated) for name, data_centre in rows]


@when("each of those hands {count:d} requests over")
def each_hands_over(context, count):
    context.handed = {}
    context.took_s = 0.0
    context.choices = 0
    known = IsolationHarness(1, name="observer")
    known.state.full_checks = False
    for row in context.rows:
        known.beat(*row)
    peers = known.state.membership.peers
    for own, own_centre, cut in context.rows:
        if not cut:
            continue
        node = IsolationHarness(1, name=own, data_centre=own_centre)
        node.state.full_checks = False
        node.state.membership.peers = {name: one for name, one in peers.items() if name != own}
        node.isolate()
        began = time.process_time()
        for number in range(count):
            node.ask(key=f"{own}-{number}", deadline_s=2.0)
        context.took_s += time.process_time() - began
        context.choices += count
        context.handed[own] = [one.node for one in node.effects(HandOver)]
        assert len(context.handed[own]) == count


@then("each has handed over to {most:d} nodes at most")
def few_peers(context, most):
    assert all(len(set(names)) <= most for names in context.handed.values())


@then("no node got over four times the mean of those that got any")
def work_spread(context):
    got = {}
    for names in context.handed.values():
        for name in names:
            got[name] = got.get(name, 0) + 1
    mean = sum(got.values()) / len(got)
    assert max(got.values()) <= 4.0 * mean, (max(got.values()), mean)


@then("a choice takes under 1 ms on average")
def choice_time(context):
    assert context.took_s / context.choices < 0.001, context.took_s / context.choices
