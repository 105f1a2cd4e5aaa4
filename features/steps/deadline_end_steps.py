from behave import given
from behave import then
from behave import when
from relay_fixture import request


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
