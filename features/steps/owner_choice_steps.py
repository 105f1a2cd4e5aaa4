"""The owners that nodes choose from their start on, by how long each has run."""

import collections

from behave import given
from behave import then
from behave import when

from rookspring_core import owners
from rookspring_core.membership import Membership
from rookspring_core.owners import choose_owner
from rookspring_core.topology import LocalStatus
from rookspring_core.topology import Topology

STEP_S = 0.1


@given("nodes that start {starts} s after the first")
def nodes_start(context, starts):
    later = [float(one) for one in starts.split(", ")]
    context.starts = {f"n{number}": at for number, at in enumerate([0.0, *later])}


@when("owners of {subjects:d} subjects are chosen every 0.1 s for {seconds:d} s")
def owners_chosen(context, subjects, seconds):
    context.owners = []
    for step in range(1, round(seconds / STEP_S)):
        now = step * STEP_S
        ages = {name: now - at for name, at in context.starts.items() if now >= at}
        nodes = owners.choose_experienced(ages)
        chosen = [choose_owner(f"slots/s{number}", nodes) for number in range(subjects)]
        context.owners.append((now, chosen))


@then("from {begin:g} s on no subject moves more than {moves:d} times")
def moves_most(context, begin, moves):
    rows = [chosen for now, chosen in context.owners if now >= begin - STEP_S / 2]
    most = max(
        sum(before != after for before, after in zip(one, one[1:], strict=False))
        for one in zip(*rows, strict=True)
    )
    assert most <= moves, most


@then("no node owns more than {most:d} of them from {begin:g} s on")
def owns_most(context, most, begin):
    for now, chosen in context.owners:
        if now >= begin:
            name, count = collections.Counter(chosen).most_common(1)[0]
            assert count <= most, (now, name, count)


@then("the last one owns nothing from {begin:g} to {end:g} s, and some from {since:g} s on")
def owns_late(context, begin, end, since):
    last = max(context.starts, key=context.starts.__getitem__)
    for now, chosen in context.owners:
        if begin <= now <= end:
            assert last not in chosen, now
        if now >= since:
            assert last in chosen, now


@given("a node that starts at {at:g} s, and updates its roles every 0.1 s")
def node_starts(context, at):
    context.started_at = at
    context.topology = Topology(Membership("n1", "z1"))


@when("{seconds:g} s have passed")
def time_passes(context, seconds):
    context.errors = []
    for step in range(round(seconds / STEP_S)):
        now = context.started_at + step * STEP_S
        context.topology.update(now, LocalStatus(1.0, now - context.started_at))
        later = now + STEP_S / 2
        context.errors.append(context.topology.collecting_s(later) - (later - context.started_at))


@then("at each moment it knew for how long it had run, to {most:g} s")
def knows_age(context, most):
    wrong = [one for one in context.errors if abs(one) > most]
    assert not wrong, wrong[:3]
