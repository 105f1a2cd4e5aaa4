import math
import re

from behave import given
from behave import then

from rookspring_core import planned_ends
from rookspring_core.planned_ends import PlannedEnd

AT = 100.0
LEFT_S = 10.0


@given("an end in chunks at an endpoint that {endpoint}")
def end_at(context, endpoint):
    stated = re.match(r"ends ([\d.]+) s later", endpoint)
    context.end = PlannedEnd(
        at=AT,
        closing=endpoint != "stays",
        ends_at=AT + float(stated[1]) if stated else math.inf,
        may_ask=False,
        looks_until=AT + LEFT_S - planned_ends.LOOKS_BEFORE_S,
    )


@given("the ended answer is {what}, {time}")
def what_ended(context, what, time):
    left_s = LEFT_S if time == "in time" else float(time.split(" ")[0])
    context.end = context.end._replace(
        may_ask=what.endswith("go on elsewhere"),
        at_once=what.startswith("a body"),
        looks_until=AT + left_s - planned_ends.LOOKS_BEFORE_S,
    )


@then('its cause is "{cause}", and it is looked at {look} s later')
def has_cause(context, cause, look):
    check(context.end, cause, look)


@then('its cause is "", and it is looked at {look} s later')
def has_no_cause(context, look):
    check(context.end, "", look)


def check(end, cause, look):
    assert planned_ends.find_cause(end) == cause, planned_ends.find_cause(end)
    assert planned_ends.may_look(end) == (look != "no")
    if look != "no":
        found = planned_ends.find_look_time(end) - end.at
        assert math.isclose(found, float(look), abs_tol=1e-6), found


@given("an answer's end, and an event of another run there {after:g} s after it")
def other_event(context, after):
    context.at_work = planned_ends.is_at_work(AT, AT + after)


@then("the endpoint {state} at work")
def works(context, state):
    assert context.at_work == (state == "is")
