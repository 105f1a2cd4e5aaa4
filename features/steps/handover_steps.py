from behave import given
from behave import then
from behave import when
from holder_checks import check_holders
from holder_checks import longest_pause_s

from rookspring_core.events import DrainAsked
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# Time until all nodes know each other and one holds the lease, in seconds.
STARTUP_S = 9.0
STEP_S = 0.05
# Time observed after the last stop, in seconds.
AFTER_S = 8.0
# Time from a node's planned stop until its process ends, in seconds.
STOP_S = 5.0


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
