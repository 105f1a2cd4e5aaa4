"""The rate limit of an endpoint at one node: how long it applies, and how it is enforced."""

import random

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from notice_node_steps import SLOTS
from notice_node_steps import NoticeHarness
from notice_node_steps import SlotHarness
from place_node import LATE_REPLIES
from rate_counts import aimed
from rate_counts import most_in_window
from relay_harness import HolderHarness

from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import CallerLeft
from rookspring_core.events import NoticeReceived
from rookspring_core.events import RatesReceived
from rookspring_core.events import SlotAnswered
from rookspring_core.events import Ticked
from rookspring_core.notices import Notice
from rookspring_core.request_rates import RateRecord
from rookspring_core.request_rates import RateTable
from rookspring_core.slot_queues import SlotEndpoint
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest


def naming(rate):
    return Notice(rate=rate, names_rate=rate is not None)


class RateHarness(NoticeHarness):
    """A node with endpoints that hold the model m, the first of which has a rate limit."""

    def __init__(self, *names):
        self.asked = []
        self.freed = []
        super().__init__(*names)
        self.heard_at = self.now
        self.hear(2.0, self.now - 0.1)

    def perform(self, effect):
        if isinstance(effect, AskSlot):
            self.asked.append(effect)
        if isinstance(effect, FreeSlot):
            self.freed.append(effect)

    def hear(self, rate, asked_at, **fields):
        notice = fields.pop("notice", None) or naming(rate)
        self.submit(
            NoticeReceived(self.now, "e1", fields.pop("born", 5), notice, "e1", "", "", asked_at)
        )

    def grant(self, asked=None, rated=True):
        self.answer("e1", 0.0, asked, rated)

    def answer(self, endpoint, after_s, asked=None, rated=True):
        """Answer a question as its owner does: the last one, unless another is given."""
        asked = asked or self.asked[-1]
        key, queue = asked.request_id, asked.queue
        self.submit(
            SlotAnswered(self.now, key, queue, endpoint, after_s, rated, question=asked.question)
        )

    @property
    def rate(self):
        view = self.state.endpoints.get("e1")
        return view.rate if view is not None else None


@given("a node, and an endpoint with start 5 and a rate limit of 2 requests a second")
def limited_endpoint(context):
    context.node = RateHarness()
    assert context.node.rate == 2.0


# How long the limit applies.

AFTER = {}


def after(text):
    def register(function):
        AFTER[text] = function
        return function

    return register


def _answer(sent, heard, rate=None, **fields):
    def play(node):
        node.now = node.heard_at + heard
        node.hear(rate, node.heard_at + sent, **fields)

    return play


def _told(after_s, *words):
    def play(node):
        node.now = node.heard_at + after_s
        node.submit(RatesReceived(node.now, words, "n2"))

    return play


def _born(born, **fields):
    def play(node):
        node.now += 0.1
        node.there["e1"] = born
        node.tell("e1", born, **fields)

    return play


def _starts_and_late(node):
    _born(6)(node)
    node.hear(3.0, node.now - 1.0, born=5)


def _earlier_and_late(node):
    _born(4, start_confirmed=True)(node)
    node.hear(3.0, node.now, born=4)
    node.submit(RatesReceived(node.now, (RateRecord("e1", 5, 9, 1.0),), "n2"))


def _lapses(node):
    node.relist(names=())
    assert "e1" not in node.state.endpoints
    node.submit(Ticked(node.now))
    node.relist()


def _long_gone(node):
    node.relist(names=())
    node.now += 660.0
    node.submit(Ticked(node.now))
    node.relist()


def _long_there(node):
    node.now += 660.0
    node.submit(Ticked(node.now))
    node.relist()


AFTER.update(
    {
        "nothing else happens": lambda node: None,
        "an answer to a request of 1 s, received at 2 s, has no limit": _answer(1.0, 2.0),
        "an answer to a request of -1 s, received at 2 s, has no limit": _answer(-1.0, 2.0),
        "an answer to a request of -1 s, received at 2 s, has limit 5": _answer(-1.0, 2.0, 5.0),
        "an answer to a request of -1 s, received at 2 s, has limit 1": _answer(-1.0, 2.0, 1.0),
        "an answer to a request of 1 s, received at 2 s, has limit 5": _answer(1.0, 2.0, 5.0),
        "an answer to a request of 1 s, received at 2 s, has limit 1e9": _answer(1.0, 2.0, 1e9),
        "an answer to a request of 1 s, received at 2 s, has limit 0": _answer(1.0, 2.0, 0.0),
        "an answer to a request of 1 s, received at 2 s, has a malformed limit": _answer(
            1.0, 2.0, notice=Notice(names_rate=True, malformed="x")
        ),
        "an answer to an unknown request has no limit": lambda node: node.hear(None, None),
        "its report has no limit": lambda node: node.hear(None, None),
        "its report has limit 1": lambda node: node.hear(1.0, None),
        "its entry expires and is listed again": _lapses,
        "it restarts, with start 6": _born(6),
        "it restarts, with the earlier start 4 confirmed": _born(4, start_confirmed=True),
        "it restarts, and an answer of the previous process has limit 3": _starts_and_late,
        "its confirmed start 4 has limit 3, and a record of start 5 comes late": _earlier_and_late,
        "another node's record at 0.5 s ends the limit": _told(0.5, RateRecord("e1", 5, 2, None)),
        "another node's record at 3 s ends the limit": _told(3.0, RateRecord("e1", 5, 2, None)),
        "another node's record of an older version arrives": _told(
            3.0, RateRecord("e1", 5, 0, None)
        ),
        "another node's record of the same version has limit 4": _told(
            3.0, RateRecord("e1", 5, 1, 4.0)
        ),
        "another node's record of the same version has limit 1": _told(
            3.0, RateRecord("e1", 5, 1, 1.0)
        ),
        "it is not listed for 11 minutes": _long_gone,
        "it is listed for 11 minutes and sends no answer": _long_there,
    }
)


@when("afterwards {event}")
def afterwards(context, event):
    AFTER[event](context.node)


@then("its known limit is {limit}")
def known_limit_is(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.node.rate == expected, context.node.rate


@then(
    "{number:d} random sets of records merge to the same state in any order, received once or twice"
)
def records_merge(context, number):
    word = strategies.builds(
        RateRecord,
        strategies.sampled_from("ab"),
        strategies.integers(0, 2),
        strategies.integers(1, 3),
        strategies.sampled_from((None, 1.0, 2.0)),
    )

    @drawing(max_examples=number, derandomize=True, deadline=None)
    @drawn(strategies.lists(word, max_size=12), strategies.randoms(use_true_random=False))
    def check(words, chance):
        first, other = RateTable(), RateTable()
        first.merge(words, 10.0)
        mixed = [*words, *words]
        chance.shuffle(mixed)
        for one in mixed:
            other.merge((one,), 10.0)
        assert set(first.records()) == set(other.records())
        assert first.digest() == other.digest()

    check()


# Nothing is sent without a permit.


def _sent_with_permit(node, **fields):
    """Have a request sent there with its permit; returns its dispatch."""
    assert node.come(**fields) == ""
    node.grant()
    return node.sent[-1]


def _retry(node):
    one = _sent_with_permit(node, attempts=3)
    node.submit(AttemptStarted(node.now, one.request_id, 1))
    node.submit(AttemptFailed(node.now, one.request_id, 1, True, True, "refused with 503"))


def _resumed_stream(node):
    one = _sent_with_permit(node, attempts=3)
    node.submit(AttemptStarted(node.now, one.request_id, 1))
    node.submit(AttemptProgressed(node.now, one.request_id, 1, 3))
    failed = AttemptFailed(
        node.now, one.request_id, 1, True, False, "connection closed", broken=True
    )
    node.submit(failed)


def _owner_silent(node):
    node.come()
    node.pass_time(1.0)
    assert [one.outcome for one in node.refused] == ["not_run"], node.refused
    assert node.refused[0].retry_after_s > 0.0


def _owner_late(node):
    node.come()
    asked = node.asked[-1]
    node.now += 0.6
    node.grant(asked)
    assert [one.unsent for one in node.freed] == [True], node.freed


def _earlier_question(node):
    node.come()
    asked = node.asked[-1]._replace(queue="@e9")
    node.grant(asked)
    assert [one.unsent for one in node.freed] == [True], node.freed


def _caller_left(node):
    node.come()
    asked = node.asked[-1]
    node.submit(CallerLeft(node.now, asked.request_id))
    node.grant(asked)
    assert [one.unsent for one in node.freed] == [True], node.freed


def _in_back_off(node):
    node.come()
    node.say(Notice(turned_away=True, backoff_s=3.0, rate=2.0, names_rate=True))
    node.grant()
    assert [one.unsent for one in node.freed] == [True], node.freed


def _ejected(node):
    for _ in range(5):
        node.state.endpoints["e1"].fail(node.now)
    node.come()


def _queued_before(node):
    node.hear(None, node.now + 1.0)
    node.now += 2.0
    node.hear(None, node.now)
    for _ in range(SLOTS):
        assert node.come() == "e1", node.rate
    assert node.come(objective_s=4.0) == ""
    node.hear(2.0, node.now)
    node.sent_before = len(node.sent)
    node.end(node.sent[0])


CASES = {
    "a retry is due, and it is the only endpoint": _retry,
    "a stream broke there and is to be resumed": _resumed_stream,
    "its owner does not answer": _owner_silent,
    "its owner's answer comes 0.3 s late": _owner_late,
    "its owner's answer is to an earlier question": _earlier_question,
    "the caller disconnects before the owner's answer": _caller_left,
    "the endpoint is in back-off when the permit comes": _in_back_off,
    "it is ejected, and it is the only endpoint": _ejected,
    "a request was queued before the limit was known": _queued_before,
}


@when("this happens: {case}")
def case_happens(context, case):
    node = context.node
    context.before = len(node.sent)
    CASES[case](node)
    context.before = getattr(node, "sent_before", context.before)


@then("it got no request without a permit")
def none_without(context):
    node = context.node
    sent = node.sent[context.before :]
    assert len(sent) <= 1, sent
    if sent:
        # The first attempt used its permit; the next one has asked for another.
        assert sent[0].attempt == 1 and len(node.asked) == 2, node.asked


@when("another endpoint holds the model, and a request needs the first one's adapter")
def needs_adapter(context):
    node = context.node
    node.there["e2"] = 5
    node.relist()
    node.now += 0.1
    node.tell("e1", 5, adapters=["m/a1"])
    node.come(adapter="m/a1")


@then("its owner is asked for a permit, and the request may wait for it")
def may_wait(context):
    (asked,) = context.node.asked
    assert asked.queue == "@e1" and asked.wait_s > 0.0, asked


@when("its permit comes, and nothing can be sent")
def permit_unused(context):
    node = context.node
    one = _sent_with_permit(node)
    node.submit(AttemptFailed(node.now, one.request_id, 1, False, False, "no way", withheld=True))


@when(
    "its request was refused there and asks for a permit again, and a reply to its first question "
    "comes, {late}"
)
def late_permit(context, late):
    node = context.node
    _retry(node)
    assert len(node.asked) == 2 and len(node.sent) == 1, node.asked
    node.freed.clear()
    node.answer(*LATE_REPLIES[late], asked=node.asked[0])


@then("it waits for the second reply, and is sent with that")
def waits_for_second(context):
    node = context.node
    first, second = node.asked
    assert len(node.sent) == 1 and not node.refused, (node.sent, node.refused)
    assert not node.state.requests[second.request_id].slot_queued
    assert all(one.unsent and one.question == first.question for one in node.freed), node.freed
    node.answer("e1", 0.0, asked=second)
    assert [one.endpoint for one in node.sent] == ["e1", "e1"], node.sent


@then("the permit was returned as unsent, once")
def unsent_once(context):
    assert [(one.queue, one.unsent) for one in context.node.freed] == [("@e1", True)]


class RatedSlots(SlotHarness):
    """A node with a plain service of one endpoint; the owner has not answered its request yet."""

    def give(self, rated):
        self.submit(SlotAnswered(self.now, "r1", "svc", "f", 0.0, rated))


@given("a node, and a plain service whose endpoint has a rate limit of 2 requests a second")
def rated_service(context):
    context.node = node = RatedSlots()
    node.submit(NoticeReceived(node.now, "f", 0, naming(2.0), "f"))


@when("its owner grants a slot that {counts}")
def gives_slot(context, counts):
    context.node.give(counts == "counts towards the limit")


@then("that endpoint gets {what}")
def rated_gets(context, what):
    expected = {"nothing": [], "work": ["f"]}[what]
    assert [one.endpoint for one in context.node.sent] == expected
    if not expected:
        assert [one.unsent for one in context.node.freed] == [True]


# The owner's queue.


@given("the queue of an endpoint with a rate limit of 2 requests a second and no permits left")
def rated_queue(context):
    queue = context.queue = SlotQueue()
    queue.set_endpoints([SlotEndpoint("e", 0, 2.0)], 0.0, 100.0)


@when("requests of ranks 2, 1, 0 and of a loud and a quiet organisation arrive at once")
def ranks_come(context):
    rows = [(2, "loud"), (2, "loud"), (2, "loud"), (2, "quiet"), (1, "loud"), (0, "loud")]
    for number, (rank, whose) in enumerate(rows):
        ask = SlotRequest("n", f"{rank} {whose} {number}", rank, whose, 9.0, "", 2.0)
        (answer,) = context.queue.request_slot(ask, 100.0)
        assert not answer.endpoint and not answer.after_s


@then("they are admitted by rank, and the quiet organisation's between the loud one's")
def admitted(context):
    keys = []
    for step in range(80):
        now = 100.0 + step * 0.05
        keys += [(now, one.key) for one in context.queue.process_waiting(now) if one.endpoint]
    order = [key for _, key in keys]
    assert order[0].startswith("0") and order[1].startswith("1"), order
    assert "quiet" in order[2] or "quiet" in order[3], order
    assert most_in_window([at for at, _ in keys]) <= aimed(2.0)


@then(
    "in {number:d} random sequences of permits taken and returned, what is sent keeps to the limit"
)
def permits_returned(context, number):
    @drawing(max_examples=number, derandomize=True, deadline=None)
    @drawn(strategies.integers(0, 1_000_000), strategies.sampled_from((0.5, 1.4, 6.0, 30.0)))
    def check(seed, rate):
        chance = random.Random(seed)
        queue = SlotQueue()
        queue.set_endpoints([SlotEndpoint("e", 0, rate)], 0.0, 100.0)
        now, sent, held = 100.0, [], {}
        for step in range(400):
            now += chance.expovariate(4.0 * rate)
            ask = SlotRequest("n", f"r{step}", 0, "", 0.0, "", rate)
            answers = queue.request_slot(ask, now)
            held.update({one.key: now for one in answers if one.endpoint})
            for key, at in list(held.items()):
                if chance.random() < 0.5:
                    del held[key]
                    if chance.random() < 0.5:
                        queue.free("e", "n", key, 0.0, now, unsent=True)
                    else:
                        sent.append(at)
        assert most_in_window(sent) <= aimed(rate), (rate, most_in_window(sent))

    check()


# The planner.


@given(
    "a lease holder over runners, and the one with the model has a limit of 0.5 requests a second"
)
def rated_holder(context):
    context.holder = holder = HolderHarness(["m", "n"])
    holder.orders.clear()
    for _ in range(200):
        holder.state.latencies.note_work(3_000.0)
    holder.submit(NoticeReceived(holder.now, "e1", 0, naming(0.5), "e1", asked_at=holder.now))


@when("8 requests a second arrive for that model")
def many_arrive(context):
    holder = context.holder
    for _ in range(80):
        holder.demand("m", 24_000.0)
        holder.pass_time(0.1)
