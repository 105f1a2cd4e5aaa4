import random

from behave import then
from behave import when
from key_stories import KEYS
from key_stories import directory_of

from rookspring_core.allotments import WindowTolerance
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.organisations import digest_of
from rookspring_core.owners import choose_owner
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

TOLERANCE = WindowTolerance(8.0, 0.1, 11_000.0)


class Demand:
    """Requests of one organisation at nodes drawn by chance."""

    def __init__(self, fleet, name="org-a", seed=1):
        self.fleet = fleet
        self.name = name
        self.key = digest_of(b"key-a1")
        self.drawn = random.Random(seed)
        self.number = 0
        self.asked = []

    def run(self, tokens_per_s, seconds, only=None):
        """Send requests of 300 to 2,700 tokens each, at this rate of tokens a second."""
        fleet = self.fleet
        end = fleet.now + seconds
        next_at = fleet.now
        while next_at < end:
            units = self.drawn.randint(300, 2700)
            next_at += units / tokens_per_s
            fleet.run(max(0.0, min(next_at, end) - fleet.now))
            if next_at < end:
                self.ask(units, only)

    def ask(self, units, only=None):
        nodes = [node for node in self.fleet.live() if only is None or node.name in only]
        node = self.drawn.choice(nodes)
        self.number += 1
        self.asked.append((self.fleet.now, units))
        terms = RouteTerms("r", "llm", 1, 1, 1, 1.0, 1.0)
        with self.fleet.virtual_clock():
            node.submit(
                RequestArrived(
                    self.fleet.now,
                    f"q{self.number}",
                    self.name,
                    "m",
                    deadline_at=self.fleet.now + 5.0,
                    route=terms,
                    key=self.key,
                    declared_tokens=units,
                )
            )

    def most_in_window(self, window_s=8.0):
        """Return the most tokens sent and started within any window, and when it starts."""
        rows = [(sent, began, arrived.declared_tokens) for sent, began, arrived in self.fleet.runs]
        most = (0.0, 0.0)
        for start, _, _ in rows:
            inside = (
                units
                for sent, began, units in rows
                if start <= sent <= start + window_s and began <= start + window_s
            )
            most = max(most, (float(sum(inside)), start))
        return most

    def ran_between(self, start, end):
        return sum(one[2].declared_tokens for one in self.fleet.runs if start <= one[0] < end)


def fleet_with(nodes, rate):
    plan = FleetPlan(nodes, endpoints=40, allotments=TOLERANCE, directory=directory_of(KEYS, rate))
    fleet = Fleet(plan)
    fleet.run(9.0)
    return fleet


def bound(rate):
    return (rate * 8 + rate) * 1.1 + 11_000


@when(
    "an organisation with {rate:d} tokens a second asks for {usual:g} of its limit for 8 s, "
    "then for {surge:g} times as much for {seconds:g} s"
)
def asks_for(context, rate, usual, surge, seconds):
    fleet = context.fleet = fleet_with(len(context.story.fleet.nodes), rate)
    context.rate = rate
    demand = context.demand = Demand(fleet)
    per_s = usual * rate * 9 / 8
    demand.run(per_s, 8.0)
    context.surged_at = fleet.now
    demand.run(per_s * surge, seconds)
    fleet.run(1.0)
    context.may_run = min(per_s * surge * seconds, rate * seconds)


@then("no window of 8 s has run more than the bound")
def within_bound(context):
    most, at = context.demand.most_in_window()
    assert most > 0
    assert most <= bound(context.rate), (most, bound(context.rate), at - context.surged_at)


@then("at least {share:g} of the permitted usage has run")
def permitted_usage_ran(context, share):
    ran = context.demand.ran_between(context.surged_at, context.fleet.now)
    assert ran >= share * context.may_run, (ran, context.may_run)


@when(
    "an organisation with {rate:d} tokens a second asks for {times:g} times its limit, "
    "and after 10 s {trouble}"
)
def asks_during_fault(context, rate, times, trouble):
    fleet = context.fleet = fleet_with(len(context.story.fleet.nodes), rate)
    context.rate = rate
    demand = context.demand = Demand(fleet)
    context.surged_at = fleet.now
    demand.run(rate * times, 10.0)
    any_relay = next(node for node in fleet.live() if node.state.topology.relay)
    owner = choose_owner("org-a", any_relay.state.topology.owners(fleet.now))
    assert owner
    context.trouble_at = fleet.now
    context.rate_then = rate
    if trouble == "its owner is killed":
        fleet.kill(owner)
    elif trouble == "its owner freezes":
        fleet.nodes[owner].frozen = True
    elif trouble == "its limit falls to a half":
        fleet.write_table(directory_of(KEYS, rate / 2))
        context.rate_then = rate / 2
    else:
        away = [node.name for node in fleet.live()][::3]
        rest = [name for name in fleet.nodes if name not in away]
        fleet.cut |= {(one, other) for one in away for other in rest}
        fleet.cut |= {(other, one) for one in away for other in rest}
    demand.run(rate * times, 10.0)
    fleet.run(1.0)


@when(
    "an organisation with {rate:d} tokens a second asks for {usual:g} of its limit for 8 s, "
    "and then for {surge:g} times as much, and after {seconds:g} s {who} are killed "
    "and start {away:g} s later"
)
def asks_then_all_killed(context, rate, usual, surge, seconds, who, away):
    fleet = context.fleet = fleet_with(len(context.story.fleet.nodes), rate)
    context.rate = rate
    demand = context.demand = Demand(fleet)
    per_s = usual * rate * 9 / 8
    demand.run(per_s, 8.0)
    context.surged_at = fleet.now
    demand.run(per_s * surge, seconds)
    names = {
        "all nodes": list(fleet.nodes),
        "half of the nodes": list(fleet.nodes)[::2],
        "all relays": [node.name for node in fleet.live() if node.state.topology.relay],
    }[who]
    for name in names:
        fleet.kill(name)
    if len(names) < len(fleet.nodes):
        demand.run(per_s * surge, away)
    else:
        fleet.run(away)
    with fleet.virtual_clock():
        for name in names:
            fleet.start(int(name[1:]))
    fleet.run(0.3)
    demand.run(per_s * surge, 8.0)
    fleet.run(1.0)


@then("in the {length:d} s after {start:d} s at least {share:g} of the permitted usage has run")
def ran_after(context, length, start, share):
    begin = context.trouble_at + start
    ran = context.demand.ran_between(begin, begin + length)
    # After the limit was lowered nothing is admitted until earlier usage has left the window.
    may_run = context.rate * length if context.rate_then == context.rate else 0.0
    assert ran >= share * may_run, (ran, may_run)


@when("an organisation asks for 2 times its limit while no endpoint has room")
def asks_without_room(context):
    fleet = context.fleet = fleet_with(20, 2_700)
    for number in range(fleet.plan.endpoints):
        fleet.write_entry(f"e{number}", "leaving", "m")
    fleet.run(2.0)
    context.demand = Demand(fleet)
    context.demand.run(5_400, 6.0)
    fleet.run(1.0)


@then("no usage is counted for it a second later")
def no_usage_counted(context):
    fleet = context.fleet
    assert not fleet.runs
    assert {one.reason for _, one in fleet.refusals} <= {"absent", "none_open", "no_room"}
    fleet.run(1.0)
    sums = [node.state.allotments.usage(fleet.now).get("org-a", 0.0) for node in fleet.live()]
    assert max(sums) == 0.0, sums


@then("no node has asked how new the configuration is")
def no_proofs_asked(context):
    fleet = context.fleet
    before = sum(node.store_calls for node in fleet.live())
    fleet.run(4.0)
    assert all(node.state.freshness.proved_at == float("-inf") for node in fleet.live())
    assert before > 0
