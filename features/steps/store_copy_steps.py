"""A store that is restored from an older copy, and nodes of a fleet on a virtual clock."""

from behave import given
from behave import register_type
from behave import then
from behave import when
from copy_simulations import CopySimulation
from entry_copy_simulations import EntrySimulation
from holder_checks import check_holders
from parse_type import TypeBuilder
from relay_harness import RelayHarness
from relay_harness import make_table

from rookspring_core import notice_handlers
from rookspring_core.events import DrainAsked
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import StoreEraBegan
from rookspring_core.events import TableProved
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan
from rookspring_fakes.fleet_store import NODES

register_type(Accepted=TypeBuilder.make_choice(["accepted", "not accepted"]))

# Time until all nodes know each other and one holds the lease, in seconds.
SETTLED_S = 9.0
# Interval of the checks of the nodes, in seconds.
STEP_S = 0.05
# How long the nodes are checked after the restore, in seconds.
CHECKED_S = 14.0
LEAVING = "e0"
DISTURBANCES = {}


def disturbance(name):
    def register(function):
        DISTURBANCES[name] = function
        return function

    return register


def holder_of(fleet):
    return fleet.nodes[fleet.active_ticks[-1].node]


@disturbance("nothing happens")
def _nothing(context):
    pass


@disturbance("the holder is killed")
def _kill(context):
    context.fleet.kill(holder_of(context.fleet).name)


@disturbance("the holder stops as planned")
def _stop(context):
    fleet = context.fleet
    holder_of(fleet).submit(DrainAsked(fleet.now))


@disturbance("the holder is cut off from it")
def _cut(context):
    context.fleet.cut_from_store.add(holder_of(context.fleet).name)


def freeze(fleet, seconds):
    name = holder_of(fleet).name
    fleet.nodes[name].frozen = True
    fleet.at(fleet.now + seconds, lambda: fleet.thaw(name))


@disturbance("the holder freezes for 2 s")
def _freeze_short(context):
    freeze(context.fleet, 2.0)


@disturbance("the holder freezes for 6 s")
def _freeze_long(context):
    freeze(context.fleet, 6.0)


@disturbance("all but the holder are cut off")
def _cut_others(context):
    fleet = context.fleet
    others = set(fleet.nodes) - {holder_of(fleet).name}
    fleet.cut_from_store |= others

    def heal():
        fleet.cut_from_store -= others

    fleet.at(fleet.now + 3.0, heal)


@disturbance("it is restored from the copy again")
def _restore_again(context):
    fleet = context.fleet
    fleet.at(fleet.now + 0.7, lambda: fleet.restore(context.copy))


@disturbance("all nodes are killed and restart")
def _restart(context):
    fleet = context.fleet
    for name in list(fleet.nodes):
        fleet.kill(name)

    def start():
        for number in range(fleet.plan.nodes):
            fleet.start(number)

    fleet.at(fleet.now + 1.0, start)


@given("{nodes:d} nodes that contend for the lease, and a copy of the store")
def contend(context, nodes):
    fleet = context.fleet = Fleet(FleetPlan(nodes, elects=True))
    fleet.run(SETTLED_S)
    context.copy = fleet.store.copy()


@when(
    "for {lost:g} s {meanwhile}, the store is down for {down:g} s"
    " and is restored from the copy as {then}"
)
def restore_store(context, lost, meanwhile, down, then):
    fleet = context.fleet
    with fleet.virtual_clock():
        DISTURBANCES[meanwhile](context)
    fleet.run(lost)
    fleet.store.unavailable = True
    fleet.run(down)
    with fleet.virtual_clock():
        fleet.restore(context.copy)
        DISTURBANCES[then](context)
    context.restored_at = fleet.now
    fleet.run(CHECKED_S)


@then(
    "no two nodes use the same fencing token, none decreases, and orders of two nodes are 3 s apart"
)
def one_holder(context):
    check_holders(context.fleet.active_ticks)


@then("some node may give orders within {seconds:g} s of the restore")
def held_again(context, seconds):
    acts = [act.at for act in context.fleet.active_ticks if act.at > context.restored_at]
    assert acts, "no node gives orders after the restore"
    assert acts[0] - context.restored_at <= seconds, acts[0] - context.restored_at


def uses(node, endpoint):
    return not notice_handlers.find_withheld(node.state, endpoint)


def record_uses(context, seconds, endpoints):
    """Let time pass, and record when which nodes may use which endpoints."""
    fleet = context.fleet
    for _ in range(round(seconds / STEP_S)):
        fleet.run(STEP_S)
        for node in fleet.live():
            for endpoint in endpoints:
                if uses(node, endpoint):
                    context.used.append((fleet.now, node.name, endpoint))


@when(
    "the store is restored {lost:g} s later, and {when} that an endpoint announces that it leaves"
)
def announces_leaving(context, lost, when):
    fleet = context.fleet
    seconds, _, order = when.partition(" s ")
    announced_s = float(seconds) if order == "after" else -float(seconds)
    # Its entry changes after the copy, so nodes know it by a revision that the restore loses.
    fleet.at(fleet.now + lost / 2, lambda: fleet.write_entry(LEAVING, "live", "n", 1))
    fleet.at(fleet.now + lost, lambda: fleet.restore(context.copy))
    context.announced_at = fleet.now + lost + announced_s
    fleet.at(context.announced_at, lambda: fleet.write_entry(LEAVING, "leaving", "n", 1))
    context.used = []
    fleet.run(max(0.0, lost + announced_s))
    record_uses(context, CHECKED_S, [LEAVING])


@then("no node uses it later than {seconds:g} s after the announcement")
def not_used_later(context, seconds):
    late = [row for row in context.used if row[0] > context.announced_at + seconds]
    assert not late, (len(late), late[0], late[-1])


@then("no node uses it again")
def not_again(context):
    assert not any(uses(node, LEAVING) for node in context.fleet.live())


@when(
    "an endpoint is removed, another is added, and {lost:g} s after the copy the store is restored,"
    " down for {down:g} s"
)
def removed_and_added(context, lost, down):
    fleet = context.fleet
    with fleet.virtual_clock():
        fleet.remove_entry(LEAVING)
        fleet.write_entry("new", "live", "m", 1)
    fleet.run(lost)
    assert all(uses(node, "new") and not uses(node, LEAVING) for node in fleet.live())
    fleet.store.unavailable = True
    context.used = []
    fleet.at(fleet.now + down, lambda: fleet.restore(context.copy))
    context.restored_at = fleet.now + down
    record_uses(context, down + CHECKED_S, [LEAVING, "new"])


@then("no node uses the removed endpoint")
def removed_unused(context):
    again = [row for row in context.used if row[2] == LEAVING]
    assert not again, (len(again), again[0], again[-1])


@then("each node uses the added endpoint, except for {seconds:g} s after the restore at most")
def added_used(context, seconds):
    checks = round(CHECKED_S / STEP_S)
    tolerated = round(seconds / STEP_S)
    for node in context.fleet.live():
        times = [at for at, name, one in context.used if (name, one) == (node.name, "new")]
        assert len([at for at in times if at > context.restored_at]) >= checks - tolerated, (
            node.name
        )
        late = [at for at in times if at > context.restored_at + seconds]
        assert len(late) >= checks - tolerated - 1, node.name


@when("a node starts, and {lost:g} s after the copy the store is restored")
def node_starts(context, lost):
    fleet = context.fleet
    with fleet.virtual_clock():
        context.node = fleet.start(fleet.plan.nodes)
    fleet.run(lost)
    assert context.node.name in {row.name for row in fleet.store.rows(NODES)}
    with fleet.virtual_clock():
        fleet.restore(context.copy)


@then("the store lists it within {seconds:g} s of the restore")
def listed_again(context, seconds):
    context.fleet.run(seconds)
    assert context.node.name in {row.name for row in context.fleet.store.rows(NODES)}


@given(
    "a node with version {version:d} of the configuration in force,"
    " after the store was restored from a copy"
)
def node_in_era(context, version):
    context.node = RelayHarness()
    context.node.submit(RouteTableSeen(context.node.now, make_table(version)))
    context.node.submit(TableProved(context.node.now, context.node.now - 9.0, version))
    context.restored_at = context.node.now
    context.node.submit(StoreEraBegan(context.node.now, 1))


@when("version {version:d} is shown to have been the newest {seconds:g} s after the restore")
def shown_newest(context, version, seconds):
    node = context.node
    node.now += 4.0
    context.shown_at = context.restored_at + seconds
    node.submit(TableProved(node.now, context.shown_at, version))


@then("that is {accepted:Accepted} as a proof")
def proof_accepted(context, accepted):
    assert (context.node.state.freshness.proved_at == context.shown_at) == (accepted == "accepted")


@then(
    "{count:d} random runs of {nodes:d} nodes whose store is restored from copies"
    " have one holder at a time"
)
def random_runs(context, count, nodes):
    for seed in range(count):
        simulation = CopySimulation(seed, nodes)
        simulation.run()
        try:
            check_holders(simulation.fleet.active_ticks)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}; {simulation.history}") from None


@then("the runs with seeds {first:d} to {last:d} use no leaving endpoint, and every live one")
def random_entry_runs(context, first, last):
    for seed in range(first, last + 1):
        simulation = EntrySimulation(seed)
        simulation.run()
        assert not simulation.violations, (seed, simulation.violations[0], simulation.history)
