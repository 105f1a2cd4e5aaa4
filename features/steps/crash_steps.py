from behave import given
from behave import then
from behave import when
from crash_stage import AGAIN_S
from crash_stage import CrashStage

FATAL = "fatal"


@given("{nodes:d} nodes, and a request that ends each endpoint that runs it")
def fatal_request(context, nodes):
    context.stage = CrashStage(nodes)
    context.stage.runners.fatal.add(FATAL)
    context.keys = []


@when("it comes {times:d} times to {where}")
def comes_again(context, times, where):
    stage = context.stage
    names = stage.names()
    for turn in range(times):
        # Seven apart, so that data centres and relays come by turns.
        name = names[0] if where == "the same node" else names[turn * 7 % len(names)]
        context.keys.append(stage.send(name, FATAL))
        stage.fleet.run(AGAIN_S)


@then("{number:d} endpoints have ended under it")
def ended_under(context, number):
    assert context.stage.runners.ends_under(FATAL) == number, context.stage.runners.ended


@then("from the fourth time on it is refused as not run, with no time to come back")
def refused(context):
    for key in context.keys[3:]:
        refusal = context.stage.refusal(key)
        assert refusal is not None, key
        told = (refusal.status, refusal.outcome, refusal.retry_after_s)
        assert told == (503, "not_run", 0.0), refusal
