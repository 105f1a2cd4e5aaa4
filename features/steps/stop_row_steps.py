import os

from behave import given
from behave import then
from behave import when
from stop_rows_stage import StopRow

# Requests that end after the stop has begun, so that a row shows anything.
ENDS_MIN = 40
# Streams that end with their connection, so that a scenario of such shows anything.
CLOSED_MIN = 10


@given(
    "{nodes:d} nodes as processes with a grace period of {grace:g} s, whose endpoints take up to "
    "12 s"
)
def working_nodes(context, nodes, grace):
    context.row = context.loop.run(StopRow(nodes, os.getpid(), grace).start())


@when("{stopped:d} of them are stopped at once, {trouble}")
def stopped_at_once(context, stopped, trouble):
    context.loop.run(context.row.play(stopped, trouble), 60.0)
    context.faults = context.row.faults()
    assert sum(context.row.describe().values()) >= ENDS_MIN, context.row.describe()


@then("each that was stopped ended in time")
def ended_in_time(context):
    assert all(context.row.exited), context.row.exited


@then("each request was answered, or crossed the close of its connection and didn't run")
def each_answered(context):
    found = [one for one in context.faults if one[0] in ("ran, no answer", "torn", "ran twice")]
    assert not found, (len(found), found[:6], context.row.describe())


@then("no refusal is of a request that ran")
def refusals_hold(context):
    found = [one for one in context.faults if one[0].endswith("and ran")]
    assert not found, (len(found), found[:6])


@then("some streams ended with their connection")
def some_closed(context):
    assert sum(one.closed for one in context.row.stage.servers) >= CLOSED_MIN


@then("each stream is whole, or is longer than the grace period")
def streams_whole(context):
    found = [one for one in context.faults if one[0] in ("cut", "bytes")]
    assert not found, (len(found), found[:6], context.row.describe())
