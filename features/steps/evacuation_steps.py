"""Evacuations of data centres: at one node, at a lease holder, and in a simulated fleet."""

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness
from relay_harness import RelayHarness
from size_steps import within

from rookspring_core import notice_handlers
from rookspring_core.effects import ShareEvacuations
from rookspring_core.evacuations import EvacuationList
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EvacuationsListed
from rookspring_core.events import Ticked
from rookspring_fakes.fleet_store import EVACUATIONS

SLOTS = 2
# The data centre of all endpoints of a fleet.
FLEET_DATA_CENTRE = "z0"


def read_names(text):
    return frozenset() if text in ("none", "neither") else frozenset(text.split(" and "))


class EvacuationNode(RelayHarness):
    """A node, with one endpoint in each of the data centres a and b that both hold the model m."""

    def __init__(self):
        self.rows = {"ea": ("a", 5), "eb": ("b", 5)}
        self.revision = 0
        self.keys = 0
        self.shared = []
        super().__init__()
        self.relist()

    def submit(self, event):
        effects = super().submit(event)
        self.shared += [one for one in effects if isinstance(one, ShareEvacuations)]
        return effects

    def relist(self):
        rows = [
            BoxListed(name, name, where, "runner", "live", "llm", started_ms=started_ms)
            for name, (where, started_ms) in self.rows.items()
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))
        for name in self.rows:
            self.tell(name)

    def tell(self, name, **fields):
        self.now += 0.1
        started_ms = self.rows[name][1]
        report = self.report(
            name, ["m"], token=(0, -1), slots=SLOTS, started_ms=started_ms, **fields
        )
        self.submit(report)

    def evacuate(self, names):
        self.revision += 1
        self.take(EvacuationList(0, self.revision, names))

    def take(self, found):
        self.submit(EvacuationsListed(self.now, found))

    def come(self):
        """Submit a request, and return its key."""
        self.keys += 1
        key = f"k{self.keys}"
        self.ask(model="m", key=key)
        return key

    def place_of(self, key):
        """Return the data centre that a request was sent to last; empty if to none."""
        sent = [one.endpoint for one in self.sent if one.request_id == key]
        return self.rows[sent[-1]][0] if sent else ""

    def fill(self, place):
        others = {"a", "b"} - {place}
        self.evacuate(frozenset(others))
        for _ in range(SLOTS):
            assert self.place_of(self.come()) == place
        self.evacuate(frozenset())

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.submit(Ticked(self.now))


@given("a node, and endpoints with a model in the data centres a and b")
def a_node(context):
    context.node = EvacuationNode()


@given("a node, and endpoints with a model in the data centres a and b, those in {place} full")
def a_full_node(context, place):
    a_node(context)
    if place != "none":
        context.node.fill(place)


@given("the data centres {names} are evacuated")
@when("the data centres {names} are evacuated")
def evacuated(context, names):
    context.node.evacuate(read_names(names))


@then("a request goes to an endpoint in {places}")
def request_goes(context, places):
    found = context.node.place_of(context.node.come())
    assert found in (places.split(" or ") if places != "neither" else [""]), found


@then("what has been decided may be sent to endpoints in {places}")
def may_be_sent(context, places):
    node = context.node
    allowed = {
        place
        for name, (place, _) in node.rows.items()
        if not notice_handlers.find_withheld(node.state, name)
    }
    assert allowed == read_names(places), allowed


@when("a request waits, and then the data centres {names} are evacuated")
def request_waits(context, names):
    node = context.node
    context.key = node.come()
    assert node.place_of(context.key) in ("", "b"), node.place_of(context.key)
    node.evacuate(read_names(names))


@then("it goes to an endpoint in {place}")
def it_goes(context, place):
    assert context.node.place_of(context.key) == place, context.node.place_of(context.key)


@when("a request arrives, and {seconds:g} s pass")
def request_arrives(context, seconds):
    context.key = context.node.come()
    context.node.pass_time(seconds)


@then("it is refused with {status:d}, with a time to come back")
def it_is_refused(context, status):
    (refusal,) = context.node.refused
    assert refusal.request_id == context.key and refusal.status == status, refusal
    assert refusal.outcome == "not_run" and refusal.retry_after_s > 0.0, refusal
    assert not context.node.sent


@when("requests run in a and b, and then the data centres {names} are evacuated")
def requests_run(context, names):
    node = context.node
    context.keys = [node.come() for _ in range(2 * SLOTS)]
    assert {node.place_of(key) for key in context.keys} == {"a", "b"}
    for key in context.keys:
        node.submit(AttemptStarted(node.now, key, 1))
    node.evacuate(read_names(names))
    node.pass_time(1.0)


@then("they end where they run")
def they_end(context):
    node = context.node
    assert len(node.sent) == len(context.keys) and not node.refused
    for key in context.keys:
        node.submit(AttemptSucceeded(node.now, key, 1))
    assert not node.state.requests


@when("its entry lapses and is written again")
def entry_lapses(context):
    node = context.node
    rows = node.rows
    node.rows = {"eb": rows["eb"]}
    node.relist()
    assert "ea" not in node.state.endpoints
    node.rows = rows
    node.relist()


@when("its process restarts")
def process_restarts(context):
    node = context.node
    node.rows["ea"] = ("a", 6)
    node.relist()


@when("its report states that it is live")
def report_live(context):
    context.node.tell("ea", polled=True)


@when("another endpoint joins in the data centre a")
def another_joins(context):
    context.node.rows["ec"] = ("a", 5)
    context.node.relist()


@when("it gets the lists {lists}")
def gets_lists(context, lists):
    for text in lists.split(", "):
        position, _, names = text.partition(": ")
        era, _, revision = position.partition(".")
        context.node.take(EvacuationList(int(era), int(revision), read_names(names)))


@when("{seconds:g} s pass afterwards")
def passes(context, seconds):
    context.node.pass_time(seconds)


@then("the data centres {names} are evacuated, and {shared:d} lists were shared")
def are_evacuated(context, names, shared):
    node = context.node
    expected = read_names(names)
    assert node.state.evacuations.in_force == expected, node.state.evacuations.in_force
    closed = {node.rows[name][0] for name, view in node.state.endpoints.items() if view.evacuated}
    assert closed == expected, closed
    assert len(node.shared) == shared, node.shared


# The lease holder.


class EvacuationHolder(HolderHarness):
    """A lease holder with the runner e1 in the data centre a, and the others in b."""

    def list_endpoints(self, names, service, role, state="live"):
        rows = [
            BoxListed(name, name, "a" if name == "e1" else "b", role, state, service)
            for name in names
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))


@given("a lease holder with runners of m in a and of n in b")
def a_holder(context):
    context.holder = EvacuationHolder(["m", "n"])
    context.revision = 0


@given("the runner in a is to be read, as its orders are uncertain")
def runner_uncertain(context):
    context.holder.state.residency.accounts["e1"].trusted = False


@when("the data centres {names} are evacuated, and m is requested for {seconds:g} s")
def holder_evacuates(context, names, seconds):
    holder = context.holder
    context.revision += 1
    context.before = (len(holder.orders), len(holder.reads))
    found = EvacuationList(0, context.revision, read_names(names))
    holder.submit(EvacuationsListed(holder.now, found))
    for _ in range(round(seconds / 0.1)):
        holder.demand("m", 20.0)
        holder.pass_time(0.1)


@then("a runner in b holds m")
def runner_holds(context):
    assert "m" in context.holder.runners["e2"]["models"], context.holder.runners


def calls_to_a(context):
    holder = context.holder
    orders, reads = context.before
    ordered = [one.endpoint for one in holder.orders[orders:]]
    return [name for name in ordered + [one[0] for one in holder.reads[reads:]] if name == "e1"]


@then("no order and no read went to a")
def nothing_to_a(context):
    assert not calls_to_a(context), calls_to_a(context)


@then("reads went to a")
def reads_to_a(context):
    assert calls_to_a(context)


# A fleet.


@when("an evacuation of all endpoints begins")
def fleet_evacuates(context):
    context.fleet.store.put(EVACUATIONS, FLEET_DATA_CENTRE, {})


@when("that evacuation is taken back")
def fleet_takes_back(context):
    context.fleet.store.put(EVACUATIONS, FLEET_DATA_CENTRE, None)


@when("a node starts that the store does not answer")
def node_starts(context):
    fleet = context.fleet
    fleet.run(1.0)
    number = len(fleet.nodes)
    fleet.cut_from_store.add(f"n{number}")
    with fleet.virtual_clock():
        fleet.start(number)
    fleet.run(1.0)


@when("a leaf is cut off while that evacuation is taken back")
def leaf_cut_off(context):
    fleet = context.fleet
    leaf = next(one for one in fleet.live() if not one.state.topology.relay)
    pairs = {(leaf.name, other) for other in fleet.nodes} | {
        (other, leaf.name) for other in fleet.nodes
    }
    fleet.cut |= pairs
    fleet.cut_from_store.add(leaf.name)
    fleet_takes_back(context)
    fleet.run(2.0)
    fleet.cut -= pairs


def list_wrong(fleet, withheld):
    return [
        node.name
        for node in fleet.live()
        if bool(notice_handlers.find_withheld(node.state, "e0")) != withheld
    ]


@then("all running nodes withhold requests within {seconds:g} s")
def all_withhold(context, seconds):
    wrong = within(context.fleet, seconds, lambda: list_wrong(context.fleet, True))
    assert not wrong, wrong


@then("all running nodes may send within {seconds:g} s")
def all_may_send(context, seconds):
    wrong = within(context.fleet, seconds, lambda: list_wrong(context.fleet, False))
    assert not wrong, wrong
