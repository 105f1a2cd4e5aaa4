import collections
import time

from behave import then
from behave import when
from relay_fixture import request

from rookspring_core import defaults

# Its end is not looked at, which would take time and make the endpoint look slow.
HALF = "open half text of a coding"


@when(
    "one endpoint closes all its bodies in their midst,"
    " and {number:d} unsafe requests come to the nodes in turn"
)
def one_gives_up(context, number):
    ask_in_turn(context, context.relay.servers[:1], number)


@when(
    "all endpoints close all their bodies in their midst,"
    " and {number:d} unsafe requests come to the nodes in turn"
)
def all_give_up(context, number):
    ask_in_turn(context, context.relay.servers, number)


def ask_in_turn(context, servers, number):
    stage = context.cut_stage
    for server in servers:
        server.script = [HALF] * number

    async def work():
        found = []
        for one in range(number):
            answer = await stage._send(one % stage.count, request("unsafe", one))
            found.append(answer.status)
        return found

    began = time.monotonic()
    statuses = context.loop.run(work())
    context.took_s = time.monotonic() - began
    context.counts = collections.Counter(statuses)
    context.runs = {server.name: len(server.runs) for server in context.relay.servers}


@then("at most {first:d} of them get 502, and one more for each {seconds:g} s")
def few_failed(context, first, seconds):
    assert seconds == defaults.EJECT_S
    allowed = first + context.took_s // seconds
    assert 1 <= context.counts[502] <= allowed, (context.counts, context.runs, context.took_s)


@then("all others get 200")
def others_answered(context):
    assert set(context.counts) == {200, 502}, context.counts


@then("all of them have run, at each endpoint {least:d} or more")
def all_ran(context, least):
    runs = context.runs
    assert sum(runs.values()) == sum(context.counts.values()), (runs, context.counts)
    assert min(runs.values()) >= least, runs


@then("no endpoint is ejected at any node")
def none_ejected(context):
    for node in context.cut_stage.nodes:
        views = node.context.state.endpoints.values()
        ejected = [view.name for view in views if view.ejected_until > 0.0]
        assert len(views) == len(context.relay.servers) and not ejected, ejected
