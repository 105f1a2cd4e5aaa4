"""Since when a node has owned a subject: what ends its ownership, and what does not."""

from behave import given
from behave import then
from behave import when

from rookspring_core.owners import OwnerTable
from rookspring_core.owners import choose_owner

OTHERS = ("n1", "n2", "n3")
SUBJECT = "org-a"
TICK_S = 0.1


@given("a node that has owned an organisation since {at:g} s")
def owned_from(context, at):
    context.name = choose_owner(SUBJECT, OTHERS)
    context.owners = OwnerTable(context.name)
    context.owners.update_nodes(set(OTHERS), at)
    context.at = at
    assert context.owners.owned_since(SUBJECT, at) == at


@when("{what}, and it decides again at {at:g} s")
def decides_again(context, what, at):
    # Among these nodes another one is the owner.
    others = {f"m{number}" for number in range(50)}
    assert choose_owner(SUBJECT, others | {context.name}) != context.name
    for step in range(1, round((at - context.at) / TICK_S)):
        now = context.at + step * TICK_S
        away = 12.0 <= now < 15.0
        if "frozen" in what and 12.0 <= now < 19.9:
            continue
        nodes = others if "another" in what and away else set()
        context.owners.update_nodes(nodes | {context.name}, now)
    context.since = context.owners.owned_since(SUBJECT, at)


@then("it has owned it since {since:g} s")
def owned_since(context, since):
    assert context.since == since, context.since
