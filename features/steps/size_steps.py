import math

from behave import given
from behave import register_type
from behave import then
from behave import when
from parse_type import TypeBuilder
from relay_harness import RelayHarness

from rookspring.relay_updates import send_load_request
from rookspring_core import routed
from rookspring_core.effects import RequestLoad
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.retries import WindowTerms
from rookspring_core.topology import listed_node
from rookspring_fakes import fleet as fleets

STEP_S = 0.1

register_type(
    Kind=TypeBuilder.make_choice(["a leaf", "a relay"]),
    Fate=TypeBuilder.make_choice(["is killed", "leaves as planned", "freezes", "is started again"]),
    Spell=TypeBuilder.make_choice(
        ["freezes", "is cut off from the others", "receives no messages", "delivers no messages"]
    ),
    Who=TypeBuilder.make_choice(
        ["all that watch the store", "all relays", "all nodes", "the relays of a data centre"]
    ),
    Trouble=TypeBuilder.make_choice(
        ["are killed", "freeze", "leave as planned", "are cut from it", "are cut from the store"]
    ),
)


@given("{nodes:d} relay nodes that have run for {seconds:g} s")
def nodes_run(context, nodes, seconds):
    context.fleet = fleets.Fleet(fleets.FleetPlan(nodes))
    context.fleet.run(seconds)


def within(fleet, seconds, find_violations):
    """Run the fleet until a condition has no violations or time is up; return those left."""
    for _ in range(math.ceil(seconds / STEP_S)):
        fleet.run(STEP_S)
        if not find_violations():
            return []
    return find_violations()


@then("each node knows the {others:d} others")
def knows_others(context, others):
    known = {node.name: len(node.state.membership.peers) for node in context.fleet.live()}
    assert set(known.values()) == {others}, known


@then("no leaf holds more than {links:d} links")
def few_links(context, links):
    for node in context.fleet.live():
        if not node.state.topology.relay:
            assert len(node.peers.server.links) <= links, node.name


@then("at most {most:d} nodes watch the store")
def few_watch(context, most):
    watching = [node.name for node in context.fleet.live() if node.state.topology.watching]
    assert 1 <= len(watching) <= most, watching


@then("{number:d} nodes watch the store")
def so_many_watch(context, number):
    assert sum(node.state.topology.watching for node in context.fleet.live()) == number


def slack_of(state):
    """Return a node's share of the retry slack."""
    terms = routed.resend_window(state, "svc").terms
    return terms.slack / terms.nodes


@then("the nodes' shares of the retry slack are {slack:d} at most in all")
def slack_holds(context, slack):
    assert sum(slack_of(node.state) for node in context.fleet.live()) <= slack


@given("a relay node with {number:d} others in its list")
def listed_others(context, number):
    context.relay_node = RelayHarness()
    state = context.relay_node.state
    state.retry_window_terms = WindowTerms(0.2, 430.0, 10.0, 16)
    rows = [listed_node(f"n{one}", f"a{one}", "z", 1.0) for one in range(number)]
    state.membership.take_list(rows)


@when("the list of endpoints arrives")
def endpoints_come(context):
    node = context.relay_node
    node.submit(BoxListReceived(node.now, (BoxListed("e", "e", "z", "runner", "live", "llm"),)))


@then("it still knows {number:d} nodes, and is not part of a mesh")
def knows_yet(context, number):
    state = context.relay_node.state
    assert state.membership.count() == number
    assert not state.membership.is_full_mesh()


@then("its share of the retry slack is that of {number:d} nodes at least")
def part_of_slack(context, number):
    assert slack_of(context.relay_node.state) <= 430.0 / number


def pick(fleet, kind):
    """Return a node that is a relay, or one that is neither a relay nor a seed."""
    relays = kind.endswith("relay")
    rows = [node for node in fleet.live() if node.state.topology.relay == relays]
    return rows[-1]


@when("{kind:Kind} {fate:Fate}")
def node_fault(context, kind, fate):
    fleet = context.fleet
    node = context.node = pick(fleet, kind)
    context.incarnation = node.state.identity.incarnation
    if fate == "is killed":
        fleet.kill(node.name)
    elif fate == "leaves as planned":
        fleet.drain(node.name)
    elif fate == "freezes":
        node.frozen = True
    else:
        fleet.kill(node.name)
        fleet.run(0.5)
        with fleet.virtual_clock():
            fleet.start(int(node.name[1:]))


@when("{kind:Kind} {fate:Spell} for {seconds:g} s")
def temporary_fault(context, kind, fate, seconds):
    fleet = context.fleet
    node = context.node = pick(fleet, kind)
    context.incarnation = node.state.identity.incarnation
    others = [other for other in fleet.nodes if other != node.name]
    if fate == "freezes":
        node.frozen = True
    else:
        if fate != "delivers no messages":
            fleet.cut |= {(other, node.name) for other in others}
        if fate != "receives no messages":
            fleet.cut |= {(node.name, other) for other in others}
    fleet.run(seconds)
    context.fleet.thaw(node.name)
    fleet.cut.clear()


def list_wrong_views(fleet, node, state, incarnation):
    """List the nodes that don't see a node in its state, with the state that they see."""
    wrong = []
    for other in fleet.live():
        if other.name == node.name:
            continue
        peer = other.state.membership.peers.get(node.name)
        seen = "is gone"
        if peer is not None:
            seen = "is leaving" if peer.heartbeat.leaving else "is there"
            if peer.heartbeat.incarnation != incarnation:
                seen = "is new"
        if seen != state:
            wrong.append((other.name, seen))
    return wrong


@then("all others know within {seconds:g} s that it {state}")
def all_know(context, seconds, state):
    fleet, node = context.fleet, context.node
    wrong = within(
        fleet, seconds, lambda: list_wrong_views(fleet, node, state, context.incarnation)
    )
    assert not wrong, wrong


@when("nothing happens")
def nothing(context):
    pass


@when("{who:Who} {fate:Trouble}")
def trouble_comes(context, who, fate):
    apply_fault(context.fleet, who, fate)


def apply_fault(fleet, who, fate):
    """Apply a fault to a group of nodes."""
    place = fleet.live()[-1].data_centre
    chosen = [
        node
        for node in fleet.live()
        if (who == "all that watch the store" and node.state.topology.watching)
        or (who == "all relays" and node.state.topology.relay)
        or who == "all nodes"
        or (
            who == "the relays of a data centre"
            and node.state.topology.relay
            and node.data_centre == place
        )
    ]
    assert chosen, who
    for node in chosen:
        if fate in ("are killed",):
            fleet.kill(node.name)
        elif fate == "freeze":
            node.frozen = True
        elif fate == "leave as planned":
            with fleet.virtual_clock():
                fleet.drain(node.name)
        else:
            fleet.cut_from_store.add(node.name)


@when("{who:Who} {fate:Trouble} for {seconds:g} s")
def trouble_for(context, who, fate, seconds):
    apply_fault(context.fleet, who, fate)
    context.fleet.run(seconds)
    context.fleet.cut_from_store.clear()


@then("{seconds:g} s later at most {most:d} nodes watch the store")
def later_few(context, seconds, most):
    context.fleet.run(seconds)
    few_watch(context, most)


@when("an endpoint's entry states that it is leaving")
def entry_leaves(context):
    context.fleet.write_entry("e0", "leaving", "m")


@then("all running nodes know of it within {seconds:g} s")
def know_leaving(context, seconds):
    fleet = context.fleet

    def unaware():
        return [one.name for one in fleet.live() if not one.state.endpoints["e0"].leaving]

    wrong = within(fleet, seconds, unaware)
    assert not wrong, wrong


@when("an endpoint's entry goes, and {trouble}")
def entry_goes(context, trouble):
    fleet = context.fleet
    older = [row for row in fleet.store_rows(-1)[0] if row.name == "e0"]
    fleet.remove_entry("e0")
    fleet.run(0.3)
    if trouble == "an older list comes later":
        fleet.run(3.0)
        with fleet.virtual_clock():
            for node in fleet.live():
                node.list.apply_peer_rows(tuple(older), False)
    elif trouble != "nothing happens":
        who, _, fate = trouble.rpartition(" are ")
        apply_fault(fleet, who, f"are {fate}")


@then("no node uses that endpoint {seconds:g} s later, nor after")
def endpoint_stays_gone(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    for _ in range(40):
        fleet.run(STEP_S)
        for node in fleet.live():
            view = node.state.endpoints.get("e0")
            assert view is None or view.gone, node.name


@when(
    "each node is asked for {rate:d} tokens a second of a model and has {number:d} requests "
    "at an endpoint"
)
def asked_for(context, rate, number):
    context.number = number
    for node in context.fleet.live():
        state = node.state
        for one in range(number):
            state.endpoints["e1"].begin(f"r{one}", context.fleet.now)

    def ask():
        for node in context.fleet.live():
            node.state.control.meter.add("m", rate * STEP_S)
        context.fleet.at(context.fleet.now + STEP_S, ask)

    ask()


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.fleet.run(seconds)


@then("a relay sums a demand of {tokens:d} tokens a second, {per_cent:d} % either way")
def demand_sum(context, tokens, per_cent):
    fleet = context.fleet
    node = next((one for one in fleet.live() if one.state.topology.relay), fleet.live()[0])
    heard = node.state.control.peer_demand.values()
    total = sum(rates.get("m", 0.0) for rates in heard) + node.state.control.meter.rates["m"]
    # A relay gets its own followers' figures one by one, and the others' summed by their relays.
    assert abs(total - tokens) <= tokens * per_cent / 100, total


@then("each node counts the {requests:d} requests of the others there")
def counts_requests(context, requests):
    for node in context.fleet.live():
        assert node.state.peers_work.counts.get("e1", 0) == requests, (
            node.name,
            node.state.peers_work.counts,
        )


@then("each node counts the requests of the others that run there")
def counts_running(context):
    live = len(context.fleet.live())
    counts_requests(context, (live - 1) * context.number)


@given("one of the relays holds the lease")
def relay_holds(context):
    node = context.holder = pick(context.fleet, "a relay")
    control = node.state.control
    control.lease.own_epoch = control.acting_epoch = control.lease.epoch = 3
    control.lease.held_until = math.inf
    context.fleet.run(1.5)


@when("a leaf sends the demand for a missing adapter")
def leaf_sends_demand(context):
    fleet = context.fleet
    with fleet.virtual_clock():
        for node in fleet.live():
            if not node.state.topology.relay and node.data_centre != context.holder.data_centre:
                send_load_request(node.peers, RequestLoad("llm", "x", "x/a1"))
                return


@then("the holder has it within {seconds:g} s")
def holder_has(context, seconds):
    context.fleet.run(seconds)
    assert ("llm", "x", "x/a1") in context.holder.state.residency.load_requests
