import typing as t

from behave import given
from behave import then
from behave import when
from holder_checks import check_holders
from holder_checks import longest_pause_s
from relay_harness import RelayHarness

from rookspring_core.effects import ReadReport
from rookspring_core.effects import WriteLease
from rookspring_core.events import DrainAsked
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import Ticked
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# Time until all nodes know each other and one holds the lease, in seconds.
STARTUP_S = 9.0
STEP_S = 0.05
# Time observed after the last stop, in seconds.
AFTER_S = 8.0
# Time from a node's planned stop until its process ends, in seconds.
STOP_S = 5.0
# How often a node hears of another's demand, and for how long, in seconds.
BEAT_S = 0.4
FOLLOWED_S = 6.0
HELD_S = 1.0


class Heard(t.NamedTuple):
    """What a runner does, and what was announced of it.

    :param coming_s: when its load ends, in seconds from the takeover; None if none was announced.
    :param busy: it carries out an order.
    """

    coming_s: float | None
    busy: bool = True


LOADS = {
    "is to have loaded it in 8 s": Heard(8.0),
    "was to have loaded it 3 s ago": Heard(-3.0),
    "was to load it and carries out no order": Heard(8.0, busy=False),
    "carries out an order that nobody has heard of": Heard(None),
}


@given("{nodes:d} nodes that contend for the lease")
def contend(context, nodes):
    context.fleet = Fleet(FleetPlan(nodes, elects=True))
    context.fleet.run(STARTUP_S)


def find_holder(fleet):
    """Return the node that holds the lease, whether or not it may give orders yet."""
    for node in fleet.live():
        if not node.state.leaving and node.state.control.holding(fleet.now):
            return node
    return None


@when("the lease holder is stopped as planned, {times:d} times, {apart:g} s apart")
def stop_in_turn(context, times, apart):
    fleet = context.fleet
    context.since = fleet.now
    for _ in range(times):
        holder = find_holder(fleet)
        while holder is None:
            fleet.run(STEP_S)
            holder = find_holder(fleet)
        with fleet.virtual_clock():
            holder.submit(DrainAsked(fleet.now))
        fleet.at(fleet.now + STOP_S, lambda name=holder.name: fleet.kill(name))
        fleet.run(apart)
    fleet.run(AFTER_S)


@when("the lease holder is stopped as planned")
def stop_once(context):
    fleet = context.fleet
    with fleet.virtual_clock():
        find_holder(fleet).submit(DrainAsked(fleet.now))


@then("another node holds the lease within {most:g} s")
def held_again(context, most):
    fleet = context.fleet
    since = fleet.now
    while find_holder(fleet) is None:
        fleet.run(STEP_S)
        assert fleet.now - since <= most, "nobody holds the lease"


@then("at most {most:g} s passed without orders")
def orders_resumed(context, most):
    fleet = context.fleet
    pause_s = longest_pause_s(fleet.active_ticks, context.since, fleet.now)
    assert pause_s <= most, pause_s


@then("each fence belongs to one node, fences rise, and orders of two nodes are 3 s apart")
def one_holder(context):
    check_holders(context.fleet.active_ticks)


class Follower(RelayHarness):
    """A node that has not read the lease yet, and gets it with its first write."""

    def perform(self, effect):
        if isinstance(effect, WriteLease):
            self.submit(LeaseWritten(self.now, self.now, effect.nonce, True, effect.version + 1))

    def hear(self, demand, name="b", lease_epoch=0):
        beat = HeartbeatReceived(
            self.now, name, f"{name}#1", name, name, "z", 1, False, uptime_s=100.0, demand=demand
        )
        self.submit(beat._replace(lease_epoch=lease_epoch))


def follow(node, rate, seconds):
    """Have a node hear from another for some seconds that a model is asked for."""
    for _ in range(round(seconds / BEAT_S)):
        node.now += BEAT_S
        node.hear((("m", float(rate)),))
        node.submit(Ticked(node.now))


@given("a node that hears from another that {rate:d} tokens a second are asked of a model, for 6 s")
def hears_demand(context, rate):
    context.node = Follower()
    follow(context.node, rate, FOLLOWED_S)


@given(
    "a node that hears from another that {rate:d} tokens a second are asked of a model, for 6 s, "
    "which no runner holds"
)
def hears_missed(context, rate):
    hears_demand(context, rate)


@given(
    "a node that hears from another that {rate:d} tokens a second are asked of a model, for 6 s, "
    "which a runner has held for the last second"
)
def hears_held(context, rate):
    context.node = node = Follower()
    follow(node, rate, FOLLOWED_S - HELD_S)
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ["m"], token=(0, 1)))
    follow(node, rate, HELD_S)


@when("it takes the lease, and has not ticked since")
def takes_lease(context):
    node = context.node
    assert not node.state.control.lease.own_epoch
    node.submit(LeaseSeen(node.now, 0, "", 0, ""))
    for _ in range(int(BEAT_S / STEP_S)):
        if node.state.control.lease.own_epoch:
            return
        node.now += STEP_S
        node.submit(Ticked(node.now))


@then("its forecast for the model is {rate:d} tokens a second, to {percent:d} in 100")
def forecast_is(context, rate, percent):
    found = context.node.state.control.forecast.levels.get("m", 0.0)
    assert abs(found - rate) <= rate * percent / 100.0, found


@then("its deficit for the model is between {least:d} and {most:d} tokens")
def deficit_is(context, least, most):
    found = context.node.state.residency.deficits.get("m", 0.0)
    assert least <= found <= most, found


class Successor(Follower):
    """A node whose endpoint e1 may carry out an order of the lease holder before it."""

    def __init__(self, busy):
        self.busy = busy
        super().__init__()

    def perform(self, effect):
        if not isinstance(effect, ReadReport):
            super().perform(effect)
            return
        loading = (("order", ""),) if self.busy and effect.endpoint == "e1" else ()
        fields = {"polled": True, "on_disk": ("m",), "loading": loading}
        self.submit(self.report(effect.endpoint, token=(0, 1), **fields))


@given("two runners with a copy of a model that is asked for, one of which {does}")
def runner_loads(context, does):
    heard = LOADS[does]
    context.node = node = Successor(heard.busy)
    node.list_endpoints(["e1", "e2"], "llm", "runner")
    follow(node, 1000, FOLLOWED_S)
    if heard.coming_s is not None:
        node.submit(LoadingReceived(node.now, "e1", "m", heard.coming_s))


@when("another node takes the lease, and {seconds:d} s pass")
def takes_lease_for(context, seconds):
    takes_lease(context)
    for _ in range(round(seconds / BEAT_S)):
        context.node.submit(LoadRequested(context.node.now, "llm", "m", "", 0.0))
        follow(context.node, 1000, BEAT_S)


@then("it has ordered {loads:d} loads of the model")
def loads_of_model(context, loads):
    orders = [(one.action, one.endpoint) for one in context.node.orders if one.model == "m"]
    assert [action for action, _ in orders] == ["load"] * loads, orders


@given(
    "a node that asks the holder of epoch {epoch:d} for a model that its caller is due for "
    "within {most:g} s"
)
def asks_for_model(context, epoch, most):
    context.node = node = Follower()
    node.hear((), "b", epoch)
    node.submit(Ticked(node.now))
    node.ask(model="m")
    assert [(one.model, one.latest_retry_s <= most) for one in node.wants] == [("m", True)]


@when("{who} reports epoch {epoch:d}, {seconds:d} s later")
def holder_reports(context, who, epoch, seconds):
    node = context.node
    context.left_s = node.wants[0].latest_retry_s - seconds
    node.now += seconds
    node.wants.clear()
    node.hear((), "b" if who == "the same holder" else "c", epoch)
    # The requests of its callers end at this tick, and whoever is due is due by the load request.
    for _ in range(2):
        node.submit(Ticked(node.now))


@then("the node asks for the model {times:d} times more")
def asks_again(context, times):
    asked = [(one.model, round(one.latest_retry_s, 6)) for one in context.node.wants]
    assert asked == [("m", round(context.left_s, 6))] * times, asked
