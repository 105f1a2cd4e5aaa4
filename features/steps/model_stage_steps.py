from behave import given
from behave import then
from behave import when
from model_stage import ModelStage

LATE_SHARE = 1.0 / 6.0
LEASE_MOVES_S = (12.0, 24.0, 36.0)
LOST_AT_S = 8.0


@given("8 runners with 24 places for 30 models, 4 of them hot, and {fault}")
def model_stage(context, fault):
    context.fault = fault


@when("they are requested for {seconds:d} s, with seeds {first:d} to {last:d}")
def models_requested(context, seconds, first, last):
    context.stages = []
    for seed in range(first, last + 1):
        stage = ModelStage(seed, LATE_SHARE if "late" in context.fault else 0.0)
        if "lease" in context.fault:
            for after_s in LEASE_MOVES_S:
                stage.after(after_s, stage.move_lease)
        if "lost" in context.fault:
            stage.after(LOST_AT_S, lambda stage=stage: stage.lose("e2"))
        stage.request(seconds)
        context.stages.append(stage)


@then("no model had four requests in a row without an answer over more than {most:g} s")
def no_long_wait(context, most):
    longest = [stage.longest_unserved() for stage in context.stages]
    assert max(longest)[0] <= most, longest


@then(
    "at least {rare:d} in 100 requests for the other models were served, "
    "and {hot:d} in 100 for the hot ones"
)
def shares_served(context, rare, hot):
    for names, least in ((lambda stage: stage.rare, rare), (lambda stage: stage.hot, hot)):
        counts = [stage.callers(names(stage)) for stage in context.stages]
        asked, served = (sum(column) for column in zip(*counts, strict=True))
        assert served >= least / 100.0 * asked, (least, served, asked, counts)


@then(
    "at most {most:d} in 100 first loads began over {seconds:g} s "
    "after the last caller was there or due"
)
def loads_for_callers(context, most, seconds):
    loads = [one for stage in context.stages for one in stage.first_loads]
    late = [one for one in loads if one.uncalled_s > seconds]
    assert len(late) * 100 <= most * len(loads), (len(late), len(loads))
