import asyncio
import types

import uvloop
from behave import given
from behave import then
from behave import when
from relay_fixture import request

from rookspring import clock
from rookspring.relay_exchanges import run_until_deadline
from rookspring_core import answer_ends
from rookspring_core.answer_ends import AnswerEnd


@given("the endpoints' clocks are {ms:d} ms ahead")
def clocks_ahead(context, ms):
    for server in context.relay.servers:
        server.clock_ahead_s = ms / 1000.0


@when("a caller who states {ms:d} ms sends a {kind} request")
def send_stating(context, ms, kind):
    context.answer = context.loop.run(context.relay.ask(request(kind, deadline_ms=ms)))


@then("no answer is told as whole")
def none_whole(context):
    answer = context.answer
    assert not (answer.status == 200 and answer.whole), (answer.status, answer.body)


@when("an answer in chunks ends {left:d} ms before its deadline")
def ends_before(context, left):
    end = AnswerEnd(at=10.0, deadline_at=10.0 + left / 1000.0)
    context.cause = answer_ends.find_other_cause(end)


@then("what else may have ended it is {cause}")
def other_cause(context, cause):
    assert (context.cause or "nothing") == cause, context.cause


@when("{number:d} attempts that go on are ended at their deadlines")
def end_attempts(context, number):
    async def end_one(left_s):
        exchange = types.SimpleNamespace(deadline_at=clock.now() + left_s)
        error = await run_until_deadline(exchange, asyncio.sleep(5.0))
        assert error.reason == "deadline", error
        return clock.now() - exchange.deadline_at

    async def work():
        return await asyncio.gather(*(end_one(0.05 + one * 0.0003) for one in range(number)))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        context.late_s = runner.run(work())


@then("none ended before its deadline, nor {ms:d} ms after it")
def ended_in_time(context, ms):
    assert min(context.late_s) >= 0.0, sorted(context.late_s)[:5]
    assert max(context.late_s) < ms / 1000.0, sorted(context.late_s)[-5:]
