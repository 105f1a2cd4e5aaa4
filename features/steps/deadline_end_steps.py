from behave import given
from behave import then
from behave import when
from relay_fixture import request

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
