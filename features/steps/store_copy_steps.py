"""A store that comes back from an older copy, beside nodes of a fleet on a virtual clock."""

from behave import given
from behave import register_type
from behave import then
from behave import when
from copy_stories import Story
from entry_copy_stories import EntryStory
from holder_checks import check_holders
from parse_type import TypeBuilder
from relay_harness import RelayHarness
from relay_harness import make_table

from rookspring_core import noticing
from rookspring_core.events import DrainAsked
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import StoreEraBegan
from rookspring_core.events import TableProved
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan
from rookspring_fakes.fleet_store import NODES

register_type(Taken=TypeBuilder.make_choice(["taken", "not taken"]))

# Until all know each other and one holds the lease, in seconds.
SETTLED_S = 9.0
# From one look at the nodes to the next.
STEP_S = 0.05
# For how long it is watched after the return.
AFTER_S = 14.0
LEAVER = "e0"
HAPPENS = {}


def happens(name):
    def register(function):
        HAPPENS[name] = function
        return function

    return register


def holder_of(fleet):
    return fleet.nodes[fleet.acts[-1].node]


@happens("nothing happens")
def _nothing(context):
    pass


@happens("the holder is killed")
def _kill(context):
    context.fleet.kill(holder_of(context.fleet).name)


@happens("the holder stops as planned")
def _stop(context):
    fleet = context.fleet
    holder_of(fleet).submit(DrainAsked(fleet.now))


@happens("the holder is cut off from it")
def _cut(context):
    context.fleet.cut_from_store.add(holder_of(context.fleet).name)


def freeze(fleet, seconds):
    name = holder_of(fleet).name
    fleet.nodes[name].frozen = True
    fleet.at(fleet.now + seconds, lambda: fleet.thaw(name))


@happens("the holder freezes for 2 s")
def _freeze_short(context):
    freeze(context.fleet, 2.0)


@happens("the holder freezes for 6 s")
def _freeze_long(context):
    freeze(context.fleet, 6.0)


@happens("all but the holder are turned away")
def _turn_away(context):
    fleet = context.fleet
    others = set(fleet.nodes) - {holder_of(fleet).name}
    fleet.cut_from_store |= others

    def heal():
        fleet.cut_from_store -= others

    fleet.at(fleet.now + 3.0, heal)


@happens("it comes back from the copy once more")
def _again(context):
    fleet = context.fleet
    fleet.at(fleet.now + 0.7, lambda: fleet.come_back(context.copy))


@happens("all nodes are killed and start again")
def _restart(context):
    fleet = context.fleet
    for name in list(fleet.nodes):
        fleet.kill(name)

    def start():
        for number in range(fleet.plan.nodes):
            fleet.start(number)

    fleet.at(fleet.now + 1.0, start)


@given("{nodes:d} nodes that contend for the lease, beside a store that was copied")
def contend(context, nodes):
    fleet = context.fleet = Fleet(FleetPlan(nodes, elects=True))
    fleet.run(SETTLED_S)
    context.copy = fleet.store.copy()


@when(
    "for {lost:g} s {meanwhile}, the store is away for {away:g} s"
    " and comes back from the copy as {then}"
)
def come_back(context, lost, meanwhile, away, then):
    fleet = context.fleet
    with fleet.running():
        HAPPENS[meanwhile](context)
    fleet.run(lost)
    fleet.store.away = True
    fleet.run(away)
    with fleet.running():
        fleet.come_back(context.copy)
        HAPPENS[then](context)
    context.back_at = fleet.now
    fleet.run(AFTER_S)


@then("no fence is used by two nodes, none falls, and orders of two nodes lie 3 s apart")
def one_holder(context):
    check_holders(context.fleet.acts)


@then("some node may give orders within {seconds:g} s of the return")
def held_again(context, seconds):
    acts = [act.at for act in context.fleet.acts if act.at > context.back_at]
    assert acts, "nobody gives orders any more"
    assert acts[0] - context.back_at <= seconds, acts[0] - context.back_at


def uses(node, endpoint):
    return not noticing.find_withheld(node.state, endpoint)


def look(context, seconds, endpoints):
    """Let time pass, and note which nodes use which endpoints meanwhile."""
    fleet = context.fleet
    for _ in range(round(seconds / STEP_S)):
        fleet.run(STEP_S)
        for node in fleet.live():
            for endpoint in endpoints:
                if uses(node, endpoint):
                    context.used.append((fleet.now, node.name, endpoint))


@when("{lost:g} s later the store comes back, and an endpoint says {when} that it leaves")
def says_leaving(context, lost, when):
    fleet = context.fleet
    seconds, _, order = when.partition(" s ")
    said_s = float(seconds) if order == "after" else -float(seconds)
    # Its entry changes in the lost seconds, so that it is known by a revision that is lost.
    fleet.at(fleet.now + lost / 2, lambda: fleet.write_entry(LEAVER, "live", "n", 1))
    fleet.at(fleet.now + lost, lambda: fleet.come_back(context.copy))
    context.said_at = fleet.now + lost + said_s
    fleet.at(context.said_at, lambda: fleet.write_entry(LEAVER, "leaving", "n", 1))
    context.used = []
    fleet.run(max(0.0, lost + said_s))
    look(context, AFTER_S, [LEAVER])


@then("each node has withheld from it since {seconds:g} s after its word")
def withheld_since(context, seconds):
    late = [row for row in context.used if row[0] > context.said_at + seconds]
    assert not late, (len(late), late[0], late[-1])


@then("no node uses it again")
def not_again(context):
    assert not any(uses(node, LEAVER) for node in context.fleet.live())


@when(
    "an endpoint goes, another one comes, and {lost:g} s after the copy the store comes back,"
    " away for {away:g} s"
)
def went_and_came(context, lost, away):
    fleet = context.fleet
    with fleet.running():
        fleet.remove_entry(LEAVER)
        fleet.write_entry("new", "live", "m", 1)
    fleet.run(lost)
    assert all(uses(node, "new") and not uses(node, LEAVER) for node in fleet.live())
    fleet.store.away = True
    context.used = []
    fleet.at(fleet.now + away, lambda: fleet.come_back(context.copy))
    context.back_at = fleet.now + away
    look(context, away + AFTER_S, [LEAVER, "new"])


@then("no node uses the one that went")
def not_the_one_that_went(context):
    again = [row for row in context.used if row[2] == LEAVER]
    assert not again, (len(again), again[0], again[-1])


@then("each node has used the one that came, but for {seconds:g} s after the return at most")
def used_the_one_that_came(context, seconds):
    looks = round(AFTER_S / STEP_S)
    borne = round(seconds / STEP_S)
    for node in context.fleet.live():
        times = [at for at, name, one in context.used if (name, one) == (node.name, "new")]
        assert len([at for at in times if at > context.back_at]) >= looks - borne, node.name
        late = [at for at in times if at > context.back_at + seconds]
        assert len(late) >= looks - borne - 1, node.name


@when("a node starts, and {lost:g} s after the copy the store comes back")
def node_starts(context, lost):
    fleet = context.fleet
    with fleet.running():
        context.node = fleet.start(fleet.plan.nodes)
    fleet.run(lost)
    assert context.node.name in {row.name for row in fleet.store.rows(NODES)}
    with fleet.running():
        fleet.come_back(context.copy)


@then("the store lists it within {seconds:g} s of the return")
def listed_again(context, seconds):
    context.fleet.run(seconds)
    assert context.node.name in {row.name for row in context.fleet.store.rows(NODES)}


@given(
    "a node with version {version:d} of the configuration in force,"
    " where the store came back from a copy"
)
def node_in_era(context, version):
    context.node = RelayHarness()
    context.node.submit(RouteTableSeen(context.node.now, make_table(version)))
    context.node.submit(TableProved(context.node.now, context.node.now - 9.0, version))
    context.back_at = context.node.now
    context.node.submit(StoreEraBegan(context.node.now, 1))


@when("version {version:d} is shown to have been the newest {seconds:g} s after the return")
def shown_newest(context, version, seconds):
    node = context.node
    node.now += 4.0
    context.shown_at = context.back_at + seconds
    node.submit(TableProved(node.now, context.shown_at, version))


@then("that is {taken:Taken} as a proof")
def proof_taken(context, taken):
    assert (context.node.state.freshness.at == context.shown_at) == (taken == "taken")


@then(
    "{count:d} drawn stories of {nodes:d} nodes whose store comes back from copies keep one holder"
)
def drawn_stories(context, count, nodes):
    for seed in range(count):
        story = Story(seed, nodes)
        story.play()
        try:
            check_holders(story.fleet.acts)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}; {story.told}") from None


@then("the stories from seed {first:d} to {last:d} use no endpoint that leaves, and all that live")
def drawn_entry_stories(context, first, last):
    for seed in range(first, last + 1):
        story = EntryStory(seed)
        story.play()
        assert not story.faults, (seed, story.faults[0], story.told)
