"""Answers that show no end, as the owner of a plain service's slots is told of them."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from rookspring import relay_owners
from rookspring import relay_slots
from rookspring.messages import SlotFreed
from rookspring.messages import tag_of
from rookspring_core.effects import FreeSlot
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import CallerLeft
from rookspring_core.slot_queues import SlotEndpoint
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest

NAMES = ("e1", "e2", "e3")
SLOTS = 6
RUN_S = 0.01
OPEN_ENDS = {"open": True, "whole": False}


class Owner:
    """The owner of a service's slots, with the endpoints as it sees them."""

    def __init__(self):
        self.queue = SlotQueue()
        self.now = 100.0
        self.since = 0.0
        self.endpoints = {name: SlotEndpoint(name, SLOTS) for name in NAMES}
        self.asked = 0

    def ask(self, avoid=""):
        """Request a slot; returns its endpoint and its request."""
        self.queue.set_endpoints(self.endpoints.values(), self.since, self.now)
        self.asked += 1
        request = SlotRequest(f"n{self.asked % 2}", str(self.asked), 0, "", 1.0, avoid)
        (answer,) = self.queue.request_slot(request, self.now)
        assert answer.endpoint, answer
        return answer.endpoint, request

    def answer(self, name, ends):
        """Have an endpoint answer requests, whose nodes tell how the answers ended."""
        for end in ends.split(", "):
            held = []
            while not held or held[-1][0] != name:
                held.append(self.ask())
            for endpoint, request in held:
                if endpoint == name and end in OPEN_ENDS:
                    self.queue.note_end(name, OPEN_ENDS[end], self.now)
                took_s = RUN_S if endpoint == name else 0.0
                self.queue.free(endpoint, request.origin, request.key, took_s, self.now)

    def follow(self, number, after_s, avoid=""):
        self.now += after_s
        return [self.ask(avoid)[0] for _ in range(number)]


@given("the owner of the slots of a service with three endpoints")
def slot_owner(context):
    context.owner = Owner()


@when("one of them gives two nodes these answers: {ends}")
def one_answers(context, ends):
    context.owner.answer(NAMES[0], ends)


@when("each of them gives two nodes these answers: {ends}")
def each_answers(context, ends):
    for name in NAMES:
        context.owner.answer(name, ends)


@when("{number:d} requests for slots come {after_s:g} s later")
def requests_follow(context, number, after_s):
    context.got = context.owner.follow(number, after_s)


@when("{number:d} requests that failed at the second come {after_s:g} s later")
def failed_follow(context, number, after_s):
    context.got = context.owner.follow(number, after_s, avoid=NAMES[1])


def fill_others(owner):
    owner.follow(len(NAMES[1:]) * (SLOTS + 1), 0.0)


def drop_others(owner):
    owner.endpoints = {NAMES[0]: owner.endpoints[NAMES[0]]}


def drop_third(owner):
    del owner.endpoints[NAMES[2]]


def own_anew(owner):
    owner.since = owner.now


def restart_first(owner):
    owner.endpoints[NAMES[0]] = SlotEndpoint(NAMES[0], SLOTS, None, owner.now)


EVENTS = {
    "the others have no room": fill_others,
    "the others have left": drop_others,
    "the third has left": drop_third,
    "another node has owned them since": own_anew,
    "its process has started anew": restart_first,
}


@then("all three get some of them")
def all_get(context):
    assert set(context.got) == set(NAMES), context.got


@when("this holds at the owner: {where}")
def owner_meets(context, where):
    EVENTS[where](context.owner)


OPEN = {"open_ended": True}
ENDS = {
    "it is whole": None,
    "its connection was closed, and it may be whole": OPEN,
    "it may be whole, and nothing listens there any more": OPEN | {"down": True},
    "it may be whole, and its process has started anew": OPEN,
    "its connection broke": {"broken": True},
    "it was refused": {"reported_not_run": True},
}
TOLD = {"the end was shown": False, "nothing showed the end": True, "nothing of the end": None}


@when("its request ends as: {end}")
def request_ends_as(context, end):
    node = context.node
    node.come()
    node.answer("f")
    node.submit(AttemptStarted(node.now, "r1", 1))
    node.now += RUN_S
    if "anew" in end:
        node.state.endpoints["f"].reset_for_restart(node.now)
    if end == "its caller left":
        node.submit(CallerLeft(node.now, "r1"))
    elif end == "it is whole":
        node.submit(AttemptSucceeded(node.now, "r1", 1))
    else:
        event = AttemptFailed(node.now, "r1", 1, True, False, end)
        node.submit(event._replace(**ENDS[end]))


@then("it tells the owner that {what}")
def tells_owner(context, what):
    (freed,) = context.node.freed
    assert freed.open_end is TOLD[what], freed


@when("a node frees a slot whose answer {ended}")
def frees_slot(context, ended):
    open_end = {"was whole": False, "showed no end": True, "isn't told of": None}[ended]
    peers = mock.MagicMock()
    peers.context.state.identity.name = "n"
    with mock.patch.object(relay_owners, "notify_owner") as notify:
        relay_slots.free_slot(peers, FreeSlot("r1", "svc", "e", RUN_S, False, open_end))
    context.told = [call.args[1] for call in notify.call_args_list]


@then("the messages to the owner are {tags}")
def sends_messages(context, tags):
    assert [tag_of(one) for one in context.told] == tags.split(", "), context.told


@then("what frees the slot has the fields of the version before")
def same_fields(context):
    assert context.told[-1] == SlotFreed("n", "r1", "svc", "e", RUN_S, False, False), context.told
    known = ("origin", "key", "queue", "endpoint", "took_s", "unsent", "passed")
    assert SlotFreed._fields == known, SlotFreed._fields
