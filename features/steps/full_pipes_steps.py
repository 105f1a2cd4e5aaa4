from behave import given
from behave import then
from behave import when
from full_pipes_stage import FullPipesStage


@given("8 runners with 24 places for 30 models, each load as long as 8 objectives")
def full_pipes(context):
    context.stages = []


@when(
    "they are requested for {seconds:d} s by callers who bear 4 objectives, "
    "with seeds {first:d} to {last:d}"
)
def requested(context, seconds, first, last):
    for seed in range(first, last + 1):
        stage = FullPipesStage(seed)
        stage.request(seconds)
        context.stages.append(stage)


@then(
    "at most {most:d} in 100 last refusals came while a load was to end in the time "
    "that the caller would bear"
)
def refusals_true(context, most):
    unserved = [one for stage in context.stages for one in stage.unserved]
    untrue = sum(one.coming for one in unserved)
    assert untrue * 100 <= most * len(unserved), (untrue, len(unserved))


@then("at most {most:d} in 100 callers left while they were held")
def few_left(context, most):
    callers = sum(len(stage.list_callers()) for stage in context.stages)
    left = sum(stage.left_held for stage in context.stages)
    assert left * 100 <= most * callers, (left, callers)


@then(
    "at least {rare:d} in 100 callers for the other models were served, "
    "and {hot:d} in 100 for the hot ones"
)
def callers_served(context, rare, hot):
    for kind, least in (("rare", rare), ("hot", hot)):
        ends = [
            served
            for stage in context.stages
            for name, served in stage.list_callers()
            if name in getattr(stage, kind)
        ]
        assert sum(ends) * 100 >= least * len(ends), (kind, sum(ends), len(ends))
