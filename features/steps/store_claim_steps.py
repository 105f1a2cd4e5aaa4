import asyncio

from behave import given
from behave import then
from behave import when

from rookspring_core.era_claims import EraClaims

HEARD_AT = 100.0
# Time between two heartbeats of the other node, in seconds.
BEAT_S = 0.2


@given(
    "a node to which the store has named era {named:d}, and which hears another claim era {era:d}"
)
def hears(context, named, era):
    context.claims = EraClaims()
    context.claims.note_named(named)
    assert context.claims.note_claim(era, HEARD_AT)
    context.known = era


@when("answers to calls that began {asked} s after the claim name the eras {eras}")
def answered(context, asked, eras):
    claims = context.claims
    context.ended = False
    for asked_s, era in zip(asked.split(), map(int, eras.split()), strict=True):
        claims.note_named(era)
        older = era < context.known
        ended = older and claims.note_older(era, HEARD_AT + float(asked_s))
        context.ended = context.ended or ended


@then("that claim {holds}")
def claim_holds(context, holds):
    assert context.ended == (holds == "ends")


@when(
    "the store's latest answer of era {era:d} is to a call that began {latest:g} s after the claim"
)
def latest_answer(context, era, latest):
    context.claims.note_current(era, HEARD_AT + latest)


@then("a claim of era {era:d} that is heard {heard:g} s after the first is {taken}")
def repeated(context, era, heard, taken):
    assert context.claims.note_claim(era, HEARD_AT + heard) == (taken == "taken")


async def claim(stage, era, for_s):
    eras = stage.node.context.eras
    for _ in range(round(for_s / BEAT_S)):
        eras.note_era(era, "node n9")
        await asyncio.sleep(BEAT_S)


@when("another node claims era {era:d} of the store for {seconds:g} s, five times a second")
def claims(context, era, seconds):
    context.loop.run(claim(context.relay, era, seconds))


@when("the store is away for {away:g} s in which another node claims era {era:d}")
def claims_while_away(context, away, era):
    stage = context.relay

    async def work():
        stage.store.faults.outage = True
        await claim(stage, era, away)
        assert stage.node.context.state.store_era == era
        stage.store.faults.outage = False

    context.loop.run(work())


@when(
    "the store is restored from the copy, and another node claims its era from before that for"
    " {seconds:g} s"
)
def claims_before(context, seconds):
    stage = context.relay

    async def work():
        stage.store.store.restore(context.copy)
        await claim(stage, stage.store.store.era, seconds)

    context.loop.run(work())


@then("within {seconds:g} s it is in era {era:d}")
def in_era_within(context, seconds, era):
    stage = context.relay
    state = stage.node.context.state
    context.loop.run(stage.until(lambda: state.store_era == era, seconds))


@then("it is in era {era:d} and holds the lease in the same epoch")
def in_era(context, era):
    node = context.relay.node.context
    assert node.state.store_era == era, node.state.store_era
    control = node.state.control
    assert control.holding(node.now()) and control.acting_epoch == context.epoch


def count_lines(context, event):
    return sum(f"event={event} " in line for line in context.relay.log_lines)


@then("the claim was taken once, and denied once")
def taken_once(context):
    assert count_lines(context, "store_era") == 1, context.relay.log_lines
    assert count_lines(context, "store_era_denied") == 1


@then("no claim was denied")
def none_denied(context):
    assert count_lines(context, "store_era_denied") == 0


@then("the store has no lease object of era {era:d}")
def no_lease_object(context, era):
    objects = context.relay.store.store.objects
    assert ("rookspring-lease", f"control-{era}") not in objects
