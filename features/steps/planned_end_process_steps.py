import asyncio

import orjson
from behave import given
from behave import then
from behave import when

from rookspring import clock
from rookspring import relay_processes
from rookspring.dialect import ExpectedProcess
from rookspring.http_messages import HttpHead
from rookspring.relay_processes import Found
from rookspring_platform import PlatformDialect

REPORT = {"models": [], "utilization": False, "sequence": 0, "queued": 0, "active": 0}


@given("the process {name}, which started at {known:d}")
def known_process(context, name, known):
    context.process = ExpectedProcess(name, known)


@when("a call for it gets {status:d} from {named}, with a report of a start at {reported}")
def call_answered(context, status, named, reported):
    headers = () if named == "nobody" else ((b"X-Rookspring-Instance-Id", named.encode()),)
    body = b"" if reported == "none" else orjson.dumps(REPORT | {"born": int(reported)})
    context.match = PlatformDialect().read_identity(
        HttpHead(status, headers), body, context.process
    )


@then("that shows that it is {match}")
def shows(context, match):
    assert context.match.name == match, context.match


def replace_calls(context, call):
    """Count the calls for processes, and answer them otherwise; see :func:`environment`."""
    context.calls = 0
    usual = relay_processes._call

    async def count(*args):
        context.calls += 1
        return await call()

    relay_processes._call = count
    context.add_cleanup(setattr, relay_processes, "_call", usual)


async def look(context, ended_after_s=0.0):
    await asyncio.sleep(ended_after_s)
    node = context.relay.node.context
    (view,) = node.state.endpoints.values()
    return await relay_processes.is_there(node, view, clock.now())


def run_looks(context, *ended_after_s):
    async def work():
        began_at = clock.now()
        context.there = await asyncio.gather(*(look(context, one) for one in ended_after_s))
        context.took_s = clock.now() - began_at

    context.loop.run(work())


@when("calls for its process find {found}")
def calls_find(context, found):
    rows = [Found[one] for one in found.split(", ")]

    async def call():
        return rows.pop(0)

    replace_calls(context, call)
    run_looks(context, 0.0)


@when("calls for its process are not answered")
def calls_unanswered(context):
    async def call():
        await asyncio.sleep(30.0)

    replace_calls(context, call)
    run_looks(context, 0.0)


@when("answers of it end at 0, 0 and {ms:d} ms, and calls take {call_ms:d} ms")
def answers_end(context, ms, call_ms):
    async def call():
        await asyncio.sleep(call_ms / 1000.0)
        return Found.SAME

    replace_calls(context, call)
    run_looks(context, 0.0, 0.0, ms / 1000.0)


@then("it is taken to be {there} after {calls:d} calls")
def taken_after_calls(context, there, calls):
    assert (context.there, context.calls) == ([there == "there"], calls), (
        context.there,
        context.calls,
    )


@then("it is taken to be gone after {least:g} to {most:g} s")
def taken_after_time(context, least, most):
    assert context.there == [False], context.there
    assert least <= context.took_s <= most, context.took_s


@then("it is taken to be there after {calls:d} calls, {least:g} s later at least")
def shared_calls(context, calls, least):
    assert (context.there, context.calls) == ([True] * 3, calls), (context.there, context.calls)
    assert context.took_s >= least, context.took_s
