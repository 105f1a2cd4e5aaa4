import random
from unittest import mock

from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from slot_simulations import OBJECTIVE_S
from slot_simulations import PlainService
from slot_simulations import simulate_own_views
from slot_simulations import simulate_owner

from rookspring_core import requests
from rookspring_core.effects import AskSlot
from rookspring_core.effects import FreeSlot
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import SlotAnswered
from rookspring_core.events import Ticked
from rookspring_core.slot_queues import SlotEndpoint
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest
from rookspring_core.suspect_handlers import Quarantine

WAYS = {"the owner": simulate_owner, "their own views": simulate_own_views}
SOON_S = 0.001


@given("a plain service of {endpoints:d} endpoints with {slots:d} slots and runs of {ms:d} ms")
def plain_service(context, endpoints, slots, ms):
    context.service = PlainService(endpoints, slots, ms / 1000.0)


@when("69 nodes send {rate:d} requests a second for {seconds:d} s, placed by {way}")
def send_load(context, rate, seconds, way):
    WAYS[way](context.service, rate, seconds)


def share_in_time(service):
    may_run = min(service.rate, service.can_run_per_s) * service.seconds
    return sum(took <= OBJECTIVE_S for took in service.took) / may_run


@then("at least {share:g} of the requests that it can run are answered within 300 ms")
def in_time(context, share):
    found = share_in_time(context.service)
    assert found >= share, found


@then("less than {share:g} of the requests that it can run are answered within 300 ms")
def not_in_time(context, share):
    found = share_in_time(context.service)
    assert found < share, found


@then("at most {share:g} of the requests are rejected by an endpoint")
def rejected(context, share):
    assert context.service.shed <= share * len(context.service.took), context.service.shed


@then("refused requests have waited at most {ms:d} ms")
def refused_soon(context, ms):
    assert max(context.service.refused_after, default=0.0) <= ms / 1000.0


@when("one organisation sends {busy:d} requests a second and 15 others 6 each, for {seconds:d} s")
def one_is_busy(context, busy, seconds):
    context.others = 15 * 6 * seconds
    share = busy / (busy + 15 * 6)
    drawn = random.Random(3)
    names = {}

    def whose(number):
        name = "busy" if drawn.random() < share else f"other {drawn.randrange(15)}"
        return names.setdefault(number, name)

    simulate_owner(context.service, busy + 15 * 6, seconds, whose)


@then("at least {share:g} of the others' requests are answered within 300 ms")
def others_in_time(context, share):
    served = context.service.served
    others = sum(count for name, count in served.items() if name != "busy")
    assert others >= share * context.others, (others, context.others)


@then("the busy one gets at least {share:g} of the remaining capacity")
def busy_gets(context, share):
    service = context.service
    left = service.can_run_per_s * service.seconds - context.others
    assert service.served["busy"] >= share * left, (service.served["busy"], left)


@given("a service's queue with one slot that is taken")
def one_slot(context):
    queue = context.queue = SlotQueue()
    queue.set_endpoints([SlotEndpoint("e", 1)])
    # The queue grants one slot more than the endpoint has, see ``SLOT_AHEAD_SHARE``.
    for key in ("first", "second"):
        (answer,) = queue.request_slot(SlotRequest("n", key, 0, "", 9.0), 10.0)
        assert answer.endpoint == "e"


@when("requests of rank 2, 1, 2 and 0 arrive in this order")
def ranks_come(context):
    for number, rank in enumerate((2, 1, 2, 0)):
        asked = SlotRequest("n", f"rank {rank} of {number}", rank, "", 9.0)
        context.queue.request_slot(asked, 10.0 + number * 0.01)


@then("they are admitted in the order of ranks 0, 1, 2, 2")
def admitted(context):
    found = []
    key = "first"
    for _ in range(4):
        (answer,) = context.queue.free("e", "n", key, 0.1, 10.1)
        key = answer.key
        found.append(key)
    assert found == ["rank 0 of 3", "rank 1 of 1", "rank 2 of 0", "rank 2 of 2"], found


@when("{seconds:g} s pass and a request arrives")
def passes(context, seconds):
    context.answers = context.queue.request_slot(
        SlotRequest("n", "late", 0, "", 9.0), 10.0 + seconds
    )


@then("it gets the slot")
def gets_slot(context):
    assert [one.endpoint for one in context.answers] == ["e"], context.answers


@given("a service's queue with two endpoints, at one of which each run fails after 5 ms")
def failing_one(context):
    context.queue = SlotQueue()
    context.queue.set_endpoints([SlotEndpoint("good", 6), SlotEndpoint("bad", 6)])


@when("200 requests arrive, with a free slot for each")
def two_hundred(context):
    context.got = []
    for number in range(200):
        now = number * 0.02
        (answer,) = context.queue.request_slot(SlotRequest("n", str(number), 0, "", 1.0), now)
        context.got.append(answer.endpoint)
        if number < 2:
            continue
        # The run time that a node reports of a failed request; see ``SLOT_FAILED_S``.
        name = context.got[number - 2]
        took_s = 0.5 if name == "bad" else 0.06
        context.queue.free(name, "n", str(number - 2), took_s, now + 0.01)


@then("that endpoint got at most {number:d} of them")
def got_at_most(context, number):
    assert 0 < context.got.count("bad") <= number, context.got.count("bad")


class SlotNode(RelayHarness):
    """A relay node that records its messages to a service's owner."""

    def __init__(self):
        super().__init__()
        self.state.slots_by_owner = True
        self.asked = []
        self.freed = []
        # Why its requests may not be sent any more.
        self.fault = None
        self.list_endpoints(["e", "f"], "svc", "service")

    def perform(self, effect):
        if isinstance(effect, AskSlot):
            self.asked.append(effect)
        if isinstance(effect, FreeSlot):
            self.freed.append(effect)

    def come(self, deadline_s=3.0):
        terms = RouteTerms("r", "svc", 1, 1, 1, 0.075, 0.3)
        deadline_at = self.now + deadline_s
        self.submit(
            RequestArrived(
                self.now,
                "r1",
                "",
                "svc",
                True,
                deadline_at=deadline_at,
                route=terms,
                repeatable=False,
            )
        )

    def answer(self, endpoint="", after_s=0.0, blind=False):
        self.submit(SlotAnswered(self.now, "r1", "svc", endpoint, after_s, no_known_endpoint=blind))

    def refuse_blind(self):
        """Answer like an owner that knows no endpoint."""
        (answer,) = SlotQueue().request_slot(SlotRequest("n", "r1", 0, "", 0.3), self.now)
        self.answer(after_s=answer.after_s, blind=answer.blind)

    def forget_endpoints(self):
        self.submit(BoxListReceived(self.now, ()))

    def fill_endpoints(self):
        for name in self.state.endpoints:
            self.submit(self.report(name)._replace(running=8, at=self.now + SOON_S))

    def revoke_key(self):
        self.fault = Quarantine(401, "key_taken", "", 0.0)


ANSWERS = {
    "does not answer": lambda node: None,
    "does not answer, and all are full": lambda node: node.fill_endpoints(),
    "does not answer, its key is revoked": lambda node: node.revoke_key(),
    "queues it": lambda node: node.answer(),
    "grants it a slot": lambda node: node.answer("f"),
    "refuses it": lambda node: node.answer(after_s=0.7),
    "knows no endpoint": lambda node: node.refuse_blind(),
    "knows no endpoint, nor does the node": lambda node: (
        node.forget_endpoints(),
        node.refuse_blind(),
    ),
    "grants a slot at a removed endpoint": lambda node: node.answer("g"),
}


@given("a relaying node with a plain service whose owner {answers}")
def slot_node(context, answers):
    context.node = SlotNode()
    context.answers = ANSWERS[answers]


@when("a request arrives and {ms:d} ms pass")
def request_comes(context, ms):
    node = context.node
    node.come()
    assert len(node.asked) == 1 and not node.sent
    context.answers(node)
    node.now += ms / 1000.0
    with mock.patch.object(requests, "find_fault", lambda state, request: node.fault):
        node.submit(Ticked(node.now))


@then("the request {state}")
def it_is(context, state):
    node = context.node
    found = {
        "waits": not node.sent and not node.refused,
        "was sent": len(node.sent) == 1 and not node.freed,
        "was refused": [one.status for one in node.refused] == [503] and not node.sent,
        "was denied": [one.status for one in node.refused] == [401] and not node.sent,
        "was sent, and the slot released": len(node.sent) == 1 and len(node.freed) == 1,
    }
    assert found[state], (node.sent, node.refused, node.freed)


@when("its request ends in each possible way")
def request_ends(context):
    context.freed = {}
    ends = {
        "succeeds": AttemptSucceeded(101.0, "r1", 1),
        "breaks": AttemptFailed(101.0, "r1", 1, True, False, "reset"),
        "is rejected": AttemptFailed(101.0, "r1", 1, True, True, "503"),
        "loses its caller": CallerLeft(101.0, "r1"),
    }
    for name, event in ends.items():
        node = SlotNode()
        node.come()
        node.answer("f")
        node.submit(AttemptStarted(node.now, "r1", 1))
        node.submit(event)
        node.submit(Ticked(103.0))
        context.freed[name] = [one.endpoint for one in node.freed]


@then("the slot was released once")
def released_once(context):
    assert set(map(tuple, context.freed.values())) == {("f",)}, context.freed


FAILURES = {
    "its connection broke": {"broken": True},
    "its connection was closed, and it may be whole": {"open_ended": True},
    "it may be whole, and nothing listens there any more": {
        "broken": True,
        "down": True,
        "open_ended": True,
    },
}


@when("its request ends after {ms:d} ms as {end}")
def request_fails(context, ms, end):
    node = context.node
    node.come()
    node.answer("f")
    node.submit(AttemptStarted(node.now, "r1", 1))
    node.now += ms / 1000.0
    node.submit(AttemptFailed(node.now, "r1", 1, True, False, end, **FAILURES[end]))


@then("its slot was taken for {seconds:g} s")
def slot_taken(context, seconds):
    (freed,) = context.node.freed
    assert abs(freed.took_s - seconds) < 1e-6, freed


@given("a service's queue without an endpoint")
def no_endpoint(context):
    context.queue = SlotQueue()


@then("a request is refused, to be retried within {seconds:g} s")
def refused_within(context, seconds):
    (answer,) = context.queue.request_slot(SlotRequest("n", "r", 0, "", 0.3), 10.0)
    assert 0.0 < answer.after_s <= seconds, answer


@given("a plain service whose owner refuses requests for {seconds:g} s")
def refuses_for(context, seconds):
    context.node = SlotNode()
    context.after_s = seconds


@when("a request with a deadline of {seconds:g} s arrives")
def request_with_deadline(context, seconds):
    context.node.come(seconds)
    context.node.answer(after_s=context.after_s)


@then("its caller is told to retry within {seconds:g} s")
def retry_within(context, seconds):
    (refusal,) = context.node.refused
    assert 0.0 < refusal.retry_after_s <= seconds, refusal


@given("a service's queue with two endpoints, at one of which nothing runs")
def nothing_runs(context):
    context.queue = SlotQueue()
    context.queue.set_endpoints([SlotEndpoint("good", 6), SlotEndpoint("bad", 6)])


@when("60 slots there are released after {ms:d} ms because {why}")
def slots_released(context, ms, why):
    node = SlotNode()
    node.come()
    node.answer("f")
    if "rejected" in why:
        node.submit(AttemptStarted(node.now, "r1", 1))
        node.now += ms / 1000.0
        node.submit(AttemptFailed(node.now, "r1", 1, True, True, "refused with 503"))
    else:
        node.submit(CallerLeft(node.now, "r1"))
        node.freed.clear()
        node.answer("f")
    (freed,) = node.freed
    queue = context.queue
    for number in range(60):
        now = 10.0 + number
        queue.set_endpoints([SlotEndpoint("bad", 6)])
        (answer,) = queue.request_slot(SlotRequest("n", str(number), 0, "", 9.0), now)
        assert answer.endpoint == "bad"
        queue.free("bad", "n", str(number), freed.took_s, now + 0.01)


@then("the estimated run time there is at least {seconds:g} s")
def run_time_at_least(context, seconds):
    assert context.queue.run_s("bad") >= seconds, context.queue.run_s("bad")
