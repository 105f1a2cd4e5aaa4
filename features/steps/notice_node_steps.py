"""Endpoints' notices at one node: how long they hold, and code paths that might bypass them."""

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness
from relay_harness import RelayHarness

from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import LeavingReceived
from rookspring_core.events import NoticeReceived
from rookspring_core.events import SlotAnswered
from rookspring_core.events import Ticked
from rookspring_core.notices import Leaving
from rookspring_core.notices import Notice

LEAVES = Notice(leaving=True)
# The slots of an endpoint; as many runs fill it.
SLOTS = 8


class NoticeHarness(RelayHarness):
    """A node with endpoints that hold the model m: e1 alone unless others are named."""

    def __init__(self, *names):
        super().__init__()
        self.there = dict.fromkeys(names or ("e1",), 5)
        self.keys = 0
        self.answered = set()
        self.slots = []
        self.relist()

    def relist(self, address="", names=None):
        rows = [
            BoxListed(name, address or name, "z", "runner", "live", "llm", started_ms=born)
            for name, born in self.there.items()
            if names is None or name in names
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))
        for row in rows:
            self.tell(row.name, row.started_ms)

    def tell(self, name, born, **fields):
        token = (0, 0) if fields.get("polled") else (0, -1)
        self.submit(self.report(name, ["m"], token=token, slots=SLOTS, started_ms=born, **fields))

    def say(self, notice, name="e1", born=5, **fields):
        self.submit(NoticeReceived(self.now, name, born, notice, name, **fields))

    def come(self, **fields):
        """Submit a request, and return the endpoint that it is sent to; empty if it is not sent."""
        self.keys += 1
        before = len(self.sent)
        self.ask(model="m", key=f"k{self.keys}", **fields)
        return self.sent[-1].endpoint if len(self.sent) > before else ""

    def end(self, dispatch):
        key = (dispatch.request_id, dispatch.attempt)
        self.submit(AttemptStarted(self.now, *key))
        self.submit(AttemptSucceeded(self.now, *key))

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.submit(Ticked(self.now))


@given("a node, and an endpoint of start 5")
def one_endpoint(context):
    context.node = NoticeHarness()


@given("a node, and an endpoint of start 5 that announced in a response that it is leaving")
def one_leaving(context):
    context.node = NoticeHarness()
    context.node.say(LEAVES)


@given("a node, and an endpoint of start 5 that requested a back-off of {rest_s:g} s")
def one_at_rest(context, rest_s):
    context.node = node = NoticeHarness()
    assert node.come() == "e1"
    context.stream = node.sent[-1]
    node.submit(AttemptStarted(node.now, context.stream.request_id, 1))
    node.now += 0.1
    node.say(Notice(turned_away=True, backoff_s=rest_s))
    context.since = node.now


@given("a node, and endpoints of its model with back-offs of {first} and {second}")
def two_at_rest(context, first, second):
    context.node = node = NoticeHarness("e1", "e2")
    for name, told in (("e1", first), ("e2", second)):
        if told != "no rest":
            node.say(Notice(turned_away=True, backoff_s=float(told.split()[0])), name)


@given("a node, and endpoints of its model with a back-off of {first} s and none")
def one_of_two_at_rest(context, first):
    two_at_rest(context, first, "no rest")


@given("a node, and an endpoint of start 5 that is full")
def one_full(context):
    context.node = node = NoticeHarness()
    for _ in range(SLOTS):
        assert node.come() == "e1"
    assert node.come() == ""


# Events after a notice.

AFTER = {}


def after(text):
    def register(function):
        AFTER[text] = function
        return function

    return register


@after("nothing else")
def _nothing(context, node):
    pass


@after("its entry states that it is live")
def _relisted(context, node):
    node.relist()


@after("its entry lapses and is written again, as live")
@after("its entry lapses and is written again")
def _lapses(context, node):
    context.node.submit(CallerLeft(node.now, "k1"))
    node.relist(names=())
    assert "e1" not in node.state.endpoints
    node.submit(Ticked(node.now))
    node.relist()


@after("its entry is written again after 11 minutes without one")
def _long_gone(context, node):
    node.relist(names=())
    node.now += 660.0
    node.submit(Ticked(node.now))
    node.relist()


@after("its entry is written again with another address")
def _moved(context, node):
    node.relist("elsewhere")


@after("its own report states that it is live")
def _own_report(context, node):
    node.now += 0.1
    node.tell("e1", 5, polled=True)


@after("another node's report states that it is live")
def _peer_report(context, node):
    node.now += 0.1
    node.tell("e1", 5)


@after("another of its responses has no notice")
def _silent_answer(context, node):
    node.say(Notice())


@after("it restarts, with start 6")
def _starts(context, node):
    node.now += 0.1
    node.there["e1"] = 6
    node.relist()


@after("it restarts, with start 4, which is verified")
def _starts_earlier(context, node):
    node.now += 0.1
    node.there["e1"] = 4
    node.tell("e1", 4, start_confirmed=True)


@after("a late row of the list has start 4")
def _late_row(context, node):
    node.tell("e1", 4)


@after("it restarts, and a late message has start 5 as leaving")
def _late_word(context, node):
    _starts(context, node)
    node.submit(LeavingReceived(node.now, (Leaving("e1", 5, node.now - 1.0),), "n2"))


@after("it restarts, and a node's message has start 6 as leaving")
def _new_word(context, node):
    _starts(context, node)
    node.submit(LeavingReceived(node.now, (Leaving("e1", 6, node.now),), "n2"))


@after("it restarts, and a late response of start 5 announces it")
def _last_answer(context, node):
    _starts(context, node)
    node.say(LEAVES, born=5)


@after("it requests a longer back-off of 5 s")
def _longer(context, node):
    node.say(Notice(turned_away=True, backoff_s=5.0))


@after("it requests a shorter back-off of 1 s")
def _shorter(context, node):
    node.say(Notice(turned_away=True, backoff_s=1.0))


@after("a stream that it runs makes progress")
def _goes_on(context, node):
    stream = context.stream
    node.submit(AttemptProgressed(node.now, stream.request_id, stream.attempt, 1))


@after("the connection to it is refused once")
def _refused(context, node):
    stream = context.stream
    failed = AttemptFailed(node.now, stream.request_id, stream.attempt, False, False, "refused")
    node.submit(failed)


@when("afterwards: {then}")
def afterwards(context, then):
    AFTER[then](context, context.node)


# Which process a notice applies to.

TOLD = {
    "that it is leaving": LEAVES,
    "that it is leaving, under its own name": LEAVES._replace(process_name="e1"),
    "that it is leaving, under another's name": LEAVES._replace(process_name="other"),
    "that another process has its address": Notice(process_name="other", misdirected=True),
    "nothing but Connection: close": Notice(),
    "a value that can't be parsed": Notice(malformed="server-leaving: yes"),
    "that it is leaving, once its request was given up": LEAVES,
}


@when("a response to a request that was sent there states {told}")
def answer_tells(context, told):
    node = context.node
    assert node.come() == "e1"
    if "given up" in told:
        node.submit(CallerLeft(node.now, "k1"))
    node.say(TOLD[told])


@then("the endpoint gets {what}")
def it_gets(context, what):
    node = context.node
    expected = {"nothing": "", "work": "e1"}[what]
    # Requests in flight over a lapse or an ejection are not tested here.
    for _ in range(4):
        assert node.come() == expected, (what, node.sent)
        if expected:
            node.end(node.sent[-1])
        node.pass_time(0.5)


@then("nothing is sent there for {seconds:g} s, and a first request after that")
def nothing_for(context, seconds):
    node = context.node
    end = context.since + seconds
    step_s = max(0.25, seconds / 20.0)
    while node.now + step_s < end:
        assert node.come() == "", node.now - context.since
        node.now += step_s
        node.submit(Ticked(node.now))
    node.now = end - 0.01
    assert node.come() == ""
    node.now = end + 1.1
    node.submit(Ticked(node.now))
    assert node.come() == "e1"


@when("{seconds:g} s later three requests come")
def three_come(context, seconds):
    node = context.node
    node.now += seconds
    context.before = len(node.sent)
    for _ in range(3):
        node.come(objective_s=4.0)


@then("it has got {number:d} of them")
def got_number(context, number):
    node = context.node
    assert len(node.sent) - context.before == number, node.sent


@when("that one is answered")
def one_answered(context):
    context.node.end(context.node.sent[-1])


@when("{number:d} requests come with deadlines of {deadline_s:g} s")
def several_come(context, number, deadline_s):
    node = context.node
    context.before = len(node.refused)
    for _ in range(number):
        node.come(deadline_s=deadline_s)


@when("a request waits for it, and it requests a back-off of {rest_s:g} s")
def waits_for_rest(context, rest_s):
    node = context.node
    context.before = len(node.refused)
    node.say(Notice(turned_away=True, backoff_s=rest_s))


@then(
    "each is refused at once as not run, to be retried in {least:g} to {most:g} s, "
    "not all at one moment"
)
def told_when(context, least, most):
    refused = context.node.refused[context.before :]
    assert refused and not context.node.state.queues.get("llm/m")
    for one in refused:
        assert (one.status, one.outcome, one.reason) == (503, "not_run", "resting"), one
        assert least <= one.retry_after_s <= most, one
    assert len(refused) == 1 or len({one.retry_after_s for one in refused}) > 1


@then("no request waits")
def nothing_waits(context):
    assert not sum(len(queue) for queue in context.node.state.queues.values())


@then("the one without a back-off got {number:d}")
def other_got(context, number):
    assert [one.endpoint for one in context.node.sent] == ["e2"] * number


# Code paths that might bypass a notice.


class SlotHarness(RelayHarness):
    """A node with a plain service, the slots of which are granted by an owner."""

    def __init__(self):
        self.asked = []
        self.freed = []
        super().__init__()
        self.state.slots_by_owner = True
        self.list_endpoints(["f"], "svc", "service")
        self.ask()

    def perform(self, effect):
        if isinstance(effect, AskSlot):
            self.asked.append(effect)
        elif isinstance(effect, FreeSlot):
            self.freed.append(effect)

    def grant(self):
        self.submit(SlotAnswered(self.now, "r1", "svc", "f", 0.0))


@when("a slot there was granted before it announced that it leaves")
def slot_before_leaving(context):
    context.node = node = SlotHarness()
    node.submit(NoticeReceived(node.now, "f", 0, LEAVES, "f"))
    node.grant()
    context.before = 0


@when("a slot there was granted before it requested a back-off of 3 s")
def slot_before_rest(context):
    context.node = node = SlotHarness()
    node.submit(NoticeReceived(node.now, "f", 0, Notice(turned_away=True, backoff_s=3.0), "f"))
    node.grant()
    context.before = 0


@when("a second attempt is due, and it is the only endpoint")
def second_try(context):
    node = context.node
    assert node.come(attempts=3) == "e1"
    key = (node.sent[-1].request_id, 1)
    node.submit(AttemptStarted(node.now, *key))
    node.say(Notice(turned_away=True, backoff_s=3.0))
    context.before = len(node.sent)
    node.submit(AttemptFailed(node.now, *key, True, True, "refused with 503"))
    (refusal,) = node.refused
    assert refusal.outcome == "not_run" and refusal.retry_after_s > 1.0, refusal


@when("a stream broke off there and is to be resumed, and it {said}")
def stream_to_go_on(context, said):
    node = context.node
    assert node.come(attempts=3) == "e1"
    key = (node.sent[-1].request_id, 1)
    node.submit(AttemptStarted(node.now, *key))
    node.submit(AttemptProgressed(node.now, *key, 3))
    node.say(LEAVES if "leaves" in said else Notice(turned_away=True, backoff_s=3.0))
    context.before = len(node.sent)
    node.submit(AttemptFailed(node.now, *key, True, False, "connection closed", broken=True))


@when("it is ejected, and it requested a back-off of 3 s")
def ejected(context):
    node = context.node
    for _ in range(5):
        node.state.endpoints["e1"].fail(node.now)
    node.say(Notice(turned_away=True, backoff_s=3.0))
    context.before = len(node.sent)
    node.come()


@then("it got no request after its notice")
def got_none(context):
    assert len(context.node.sent) == context.before, context.node.sent


# The lease holder.


@given("a lease holder over runners, one of which {said}")
def holder_over(context, said):
    context.holder = holder = HolderHarness(["m", "n"])
    holder.orders.clear()
    notice = LEAVES if said == "leaves" else Notice(turned_away=True, backoff_s=60.0)
    holder.submit(NoticeReceived(holder.now, "e1", 0, notice, "e1"))


@when("a model is requested that is resident nowhere")
def asked_nowhere(context):
    holder = context.holder
    holder.runners["e2"]["models"] = []
    holder.submit(holder.report("e2", [], token=(0, 0), polled=True))
    for _ in range(80):
        holder.demand("n", 60_000.0)
        holder.pass_time(0.1)


@when("the model that it holds is requested")
def asked_for_held(context):
    holder = context.holder
    for _ in range(80):
        holder.demand("m", 60_000.0)
        holder.pass_time(0.1)


@then("it is ordered at the other runner")
def ordered_elsewhere(context):
    orders = context.holder.orders
    assert orders and {one.endpoint for one in orders} == {"e2"}, orders
    assert not [at for name, at in context.holder.reads if name == "e1" and at > 106.2]
