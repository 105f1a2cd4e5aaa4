from behave import given
from behave import then
from behave import when
from holder_checks import check_holders
from holder_checks import longest_pause_s

from rookspring_core.events import DrainAsked
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# Until all know each other and one holds the lease, in seconds.
SETTLED_S = 9.0
STEP_S = 0.05
# For how long it is watched after the last stop, in seconds.
AFTER_S = 8.0
# A node that was asked to stop is gone after so long, in seconds.
GONE_S = 5.0


@given("{nodes:d} nodes that contend for the lease")
def contend(context, nodes):
    context.fleet = Fleet(FleetPlan(nodes, elects=True))
    context.fleet.run(SETTLED_S)


def find_holder(fleet):
    """Give the node that holds the lease, whether or not it may give orders yet."""
    for node in fleet.live():
        if not node.state.leaving and node.state.control.holding(fleet.now):
            return node
    return None


@when("whoever holds it is stopped as planned, {times:d} times, {apart:g} s apart")
def stop_in_turn(context, times, apart):
    fleet = context.fleet
    context.since = fleet.now
    for _ in range(times):
        holder = find_holder(fleet)
        while holder is None:
            fleet.run(STEP_S)
            holder = find_holder(fleet)
        with fleet.running():
            holder.submit(DrainAsked(fleet.now))
        fleet.at(fleet.now + GONE_S, lambda name=holder.name: fleet.kill(name))
        fleet.run(apart)
    fleet.run(AFTER_S)


@when("whoever holds it is stopped as planned")
def stop_once(context):
    fleet = context.fleet
    with fleet.running():
        find_holder(fleet).submit(DrainAsked(fleet.now))


@then("another node holds it within {most:g} s")
def held_again(context, most):
    fleet = context.fleet
    since = fleet.now
    while find_holder(fleet) is None:
        fleet.run(STEP_S)
        assert fleet.now - since <= most, "nobody holds the lease"


@then("nobody gave orders for {most:g} s at most")
def soon_again(context, most):
    fleet = context.fleet
    pause_s = longest_pause_s(fleet.acts, context.since, fleet.now)
    assert pause_s <= most, pause_s


@then("no fence is used by two nodes, none falls, and orders lie 3 s apart")
def one_holder(context):
    check_holders(context.fleet.acts)
