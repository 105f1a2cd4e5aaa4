"""Since when a node decides for all: what ends that, and what does not."""

from behave import given
from behave import then
from behave import when

from rookspring_core.owners import OwnerTable
from rookspring_core.owners import choose_owner

OTHERS = ("n1", "n2", "n3")
SUBJECT = "org-a"
TICK_S = 0.1


@given("a node that has decided on an organisation since {at:g} s")
def decides_since(context, at):
    context.name = choose_owner(SUBJECT, OTHERS)
    context.owners = OwnerTable(context.name)
    context.owners.keep(set(OTHERS), at)
    context.at = at
    assert context.owners.begin(SUBJECT, at) == at


@when("{what}, and it is asked again at {at:g} s")
def asked_again(context, what, at):
    # Among the nodes is one that owns it in its place.
    others = {f"m{number}" for number in range(50)}
    assert choose_owner(SUBJECT, others | {context.name}) != context.name
    for step in range(1, round((at - context.at) / TICK_S)):
        now = context.at + step * TICK_S
        away = 12.0 <= now < 15.0
        if "stands still" in what and 12.0 <= now < 19.9:
            continue
        nodes = others if "another" in what and away else set()
        context.owners.keep(nodes | {context.name}, now)
    context.since = context.owners.begin(SUBJECT, at)


@then("it decides since {since:g} s")
def decides_from(context, since):
    assert context.since == since, context.since
