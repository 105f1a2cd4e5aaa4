import time

from behave import given
from behave import then
from behave import when
from cut_stage import NOT_RUN
from cut_stage import STAMP
from cut_stage import CutStage

from rookspring_fakes.model_server import STREAM_EVENTS

# How long callers ask before the cut and after it, in seconds.
BEFORE_S = 1.0
AFTER_S = 4.0
# From when on tries are counted after a cut begins and ends, in seconds, and the number of them at
# each node that a busy stage goes on for: 98 in 100 can't be told by fewer than 50.
CUT_SETTLE_S = 3.0
TRIES_IN_CUT = 10
HEAL_SETTLE_S = 2.0
TRIES_AFTER = 50
# The longest time for a cut and all requests, in seconds, on a machine that is busy throughout.
LIMIT_S = 200.0


@given("{count:d} linked nodes that share three endpoints, and callers at each")
def linked_nodes(context, count):
    context.cut_stage = context.loop.run(CutStage(count).start())
    context.relay = context.cut_stage.relay


@given("the stage stands still for {stall:g} s, {at:g} s after the cut")
def stand_still(context, stall, at):
    context.stall = (at, stall)


@when("{count:d} nodes' links to all endpoints are {how} for {seconds:d} s")
def cut_links(context, count, how, seconds):
    stage = context.cut_stage
    context.cut = range(count)
    stall = getattr(context, "stall", None)

    async def work():
        async with stage.asking():
            await stage.ask_on(BEFORE_S)
            stage.cut(count, how)
            if stall is not None:
                # As without processor time: the loop, and all in it, stands still.
                context.loop.loop.call_later(stall[0], time.sleep, stall[1])
            await stage.ask_on(seconds, CUT_SETTLE_S, TRIES_IN_CUT)
            stage.heal()
            await stage.ask_on(AFTER_S, HEAL_SETTLE_S, TRIES_AFTER)

    context.loop.run(work(), LIMIT_S)


def others(context):
    return [number for number in range(context.cut_stage.count) if number not in context.cut]


@then("from {seconds:g} s after the cut its nodes serve two thirds as often as the others at least")
def cut_nodes_serve(context, seconds):
    stage = context.cut_stage
    begin = stage.cut_at + seconds
    share, count = stage.share(context.cut, begin, stage.healed_at)
    other_share, other_count = stage.share(others(context), begin, stage.healed_at)
    assert count >= 10 and other_count >= 10, (count, other_count)
    assert share >= other_share * 2 / 3, (
        f"{share:.2f} of {count}, others {other_share:.2f}\n"
        + stage.explain(context.cut, begin, stage.healed_at)
    )


@then("the other nodes serve {percent:d} in 100 throughout")
def others_serve(context, percent):
    stage = context.cut_stage
    share, count = stage.share(others(context), 0.0, time.monotonic())
    assert share >= percent / 100, f"{share:.3f} of {count}\n" + stage.explain(
        others(context), 0.0, time.monotonic()
    )


@then("no node was told that an endpoint has ended")
def no_end_told(context):
    for node in context.cut_stage.nodes:
        told = [one for one in node.context.state.decisions if one.what == "down"]
        assert not told, (node.settings.name, told)


@then("{seconds:g} s after the cut all nodes serve {percent:d} in 100")
def all_serve(context, seconds, percent):
    stage = context.cut_stage
    begin = stage.healed_at + seconds
    for number in range(stage.count):
        share, count = stage.share([number], begin, time.monotonic())
        assert count >= 10 and share >= percent / 100, (
            f"n{number + 1}: {share:.3f} of {count}\n"
            + stage.explain(range(stage.count), begin, time.monotonic())
        )


@then("every answer is whole, no unrepeatable request ran twice, and none ran that was refused")
def promises_kept(context):
    stage = context.cut_stage
    runs = stage.relay.runs
    lines = [f"id: {number + 1}".encode() for number in range(STREAM_EVENTS)]
    for one in stage.tries:
        answer = one.answer
        if one.kind != "safe":
            assert runs.count(one.key) <= 1, one.key
        if answer.status in NOT_RUN and STAMP not in answer.headers:
            assert one.key not in runs, one.key
        if one.served and one.kind == "stream":
            ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == lines, (one.key, answer.body)
        elif one.served:
            assert answer.body == b"answer to " + one.key.encode(), (one.key, answer.body)
