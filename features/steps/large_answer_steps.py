import collections

from behave import given
from behave import then
from behave import when
from large_answer_stage import DEADLINE_S
from large_answer_stage import LargeAnswerStage


@given("a node process of {mb:d} MB between two endpoints with answers of 8 MiB")
def node_process(context, mb):
    context.memory = LargeAnswerStage(mb)
    context.loop.run(context.memory.start())


@given(
    "a node process of {mb:d} MB between two endpoints with answers of 8 MiB, and two that do: "
    "{script}"
)
def node_process_flooded(context, mb, script):
    context.memory = LargeAnswerStage(mb, script)
    context.loop.run(context.memory.start())


@when("it gets {many:d} requests for these at once")
def gets_large(context, many):
    async def work():
        await context.memory.ask(many)
        context.peak_mib = context.memory.peak_mib()
        await context.memory.close()

    context.loop.run(work())


@then("all {many:d} answers are whole, and none came later than its deadline")
def all_whole(context, many):
    ends = collections.Counter(context.memory.answers)
    waits_s = sorted(round(one, 2) for one in context.memory.waits_s)
    told = f"{ends}, {waits_s}, {context.peak_mib}: {context.memory.list_given_up()}"
    assert ends == {"whole": many}, told
    assert waits_s[-1] <= DEADLINE_S, waits_s
