import time

from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from relay_harness import make_table

from rookspring_core import Identity
from rookspring_core import cluster
from rookspring_core import defaults
from rookspring_core import endpoint_reach
from rookspring_core.effects import Announce
from rookspring_core.effects import AskSlot
from rookspring_core.effects import Cancel
from rookspring_core.effects import FreeSlot
from rookspring_core.effects import HandOver
from rookspring_core.effects import ProbeReach
from rookspring_core.effects import SharePrompts
from rookspring_core.effects import WriteLease
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import DownReceived
from rookspring_core.events import GraceEnded
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import ReachProbed
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import SlotAnswered
from rookspring_core.events import Ticked
from rookspring_core.organisations import Allotment
from rookspring_core.organisations import Organisation
from rookspring_core.organisations import make_directory

TICK_S = 0.1


class IsolationHarness(RelayHarness):
    """A relaying node ``a`` with plain endpoints, other nodes, and all effects that it gave."""

    def __init__(self, endpoints=3, boxes=0, role="service", name="a", data_centre="z"):
        self.given = []
        super().__init__()
        state = self.state
        identity = Identity(name, f"{name}#1", data_centre, f"peer-{name}", f"at-{name}")
        state.identity = identity
        state.membership.name, state.membership.data_centre = name, data_centre
        count = boxes or endpoints
        service = "svc" if role == "service" else "llm"
        rows = [
            BoxListed(f"e{one}", f"10.0.0.{one % count}:{one}", "z", role, "live", service)
            for one in range(endpoints)
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))
        for row in rows:
            self.submit(self.report(row.name, ["m"] if role == "runner" else []))
        self.others = []

    def perform(self, effect):
        self.given.append(effect)

    def effects(self, kind):
        return [one for one in self.given if isinstance(one, kind)]

    def beat(self, name, data_centre="z", isolated=False, leaving=False, revision=1):
        one = HeartbeatReceived(
            self.now,
            name,
            f"{name}#1",
            f"peer-{name}",
            f"at-{name}",
            data_centre,
            revision,
            leaving,
            uptime_s=100.0,
            isolated=isolated,
        )
        self.submit(one)
        return one

    def pass_time(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.submit(Ticked(self.now))
            for one in self.others:
                self.submit(one._replace(at=self.now))

    def isolate(self, reached=False):
        self.submit(ReachProbed(self.now, reached, "e0" if reached else ""))

    def meet_handover(self, failed=None, number=-1):
        """End a handover: with an answer, or with (sent, reason)."""
        effect = self.effects(HandOver)[number]
        key = (effect.request_id, effect.attempt)
        if failed is None or failed[0]:
            self.submit(AttemptStarted(self.now, *key))
        if failed is None:
            self.submit(AttemptSucceeded(self.now, *key, 200))
        else:
            self.submit(AttemptFailed(self.now, *key, failed[0], False, failed[1]))


def add_others(harness, text):
    """Add nodes from a text like ``b in z, c in y isolated, d in z leaving``."""
    for part in text.split(", "):
        name, _, data_centre, *rest = part.split()
        how = " ".join(rest)
        one = harness.beat(
            name,
            data_centre,
            isolated=how == "isolated",
            leaving=how == "leaving",
            revision=0 if how == "without a table" else 1,
        )
        harness.others.append(one)


@given("a node of data centre z with {count:d} endpoints and other nodes {nodes}")
def node_with_others(context, count, nodes):
    context.node = IsolationHarness(count)
    add_others(context.node, nodes)


@given('organisation "{name}" may use {rate:g} units a second')
def organisation_limited(context, name, rate):
    node = context.node
    organisation = Organisation(name, ("k",), Allotment(rate))
    table = make_table(2)._replace(directory=make_directory([organisation]))
    node.submit(RouteTableSeen(node.now, table))


@when("it finds that it reaches no endpoint")
def finds_none(context):
    context.node.isolate()


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
