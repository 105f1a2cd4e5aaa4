import orjson
from behave import given
from behave import then
from behave import when

from rookspring_core import run_ends
from rookspring_core.run_ends import AnsweredRun
from rookspring_platform import PlatformDialect


@given("a run whose answer began at {began:g} s and was closed at {closed:g} s, with {came} events")
def a_run_of_events(context, began, closed, came):
    events = None if came == "unknown" else int(came)
    context.run = AnsweredRun("q1", events, began, closed)


@when("a report that was asked for at {asked:g} s lists {listed}")
def report_lists(context, asked, listed):
    others = {"q2": 9}
    runs = {"nothing": None, "others": others}
    rows = runs[listed] if listed in runs else others | {"q1": int(listed)}
    context.end = run_ends.judge_end(context.run, rows, asked)


@then("the run is shown to be {end}")
def shown_to_be(context, end):
    assert context.end.value == end, context.end


@given("a report whose runs are {runs}")
def report_with_runs(context, runs):
    row = {} if runs == "absent" else {"runs": orjson.loads(runs)}
    context.body = orjson.dumps({"models": []} | row)


@then("its runs are read as {read}")
def read_as(context, read):
    expected = None if read == "nothing" else orjson.loads(read)
    assert PlatformDialect().read_runs(context.body) == expected
