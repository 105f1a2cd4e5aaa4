from behave import given
from behave import then
from behave import when
from caller_floods import FloodStage
from memory_stage import DEADLINE_MS
from memory_stage import FAULTY
from memory_stage import SOUND
from memory_stage import MemoryStage


@given("a node process of {mb:d} MB between sound endpoints and those that do: {script}")
def node_process(context, mb, script):
    context.memory = MemoryStage(mb, script)
    context.loop.run(context.memory.start())


@given("a node process of {mb:d} MB that callers flood with {kind}")
def flooded_process(context, mb, kind):
    context.memory = FloodStage(mb, kind)
    context.loop.run(context.memory.start())


@when("it gets {many:d} of their connections at a time, and others, for {seconds:d} s")
@when("it gets {many:d} requests at a time for the latter, and others, for {seconds:d} s")
def gets_requests(context, many, seconds):
    async def work():
        await context.memory.play(many, seconds)
        context.peak_mib = context.memory.peak_mib()
        await context.memory.close()

    context.loop.run(work())


@then("its process took {most:d} MiB at most")
def took_at_most(context, most):
    assert 0.0 < context.peak_mib <= most, context.peak_mib


@then("{least:d} of 100 of the others were answered")
def others_answered(context, least):
    ends = {status: n for (service, status), n in context.memory.ends.items() if service == SOUND}
    assert ends.get("200", 0) >= least / 100 * sum(ends.values()) > 0, ends


@then("no caller of the latter waited for longer than {most:g} s after the deadline")
def waited_no_longer(context, most):
    late_s = context.memory.longest_wait_s - DEADLINE_MS / 1000
    assert late_s <= most, late_s


@given("a node process of {mb:d} MB and two endpoints of a service, one of which does: {script}")
def one_faulty_endpoint(context, mb, script):
    context.memory = MemoryStage(mb, script, faulty=1)
    context.loop.run(context.memory.start())


@then("the faulty endpoint was ejected: it got {most:d} requests at most of {least:d} or more")
def was_ejected(context, most, least):
    number = context.memory.number_runs()
    others = context.memory.ends[FAULTY, "200"]
    assert 0 < number <= most, (number, context.memory.ends)
    assert others + number >= least, (number, context.memory.ends)
