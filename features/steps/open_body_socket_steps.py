import time

from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import request


@given(
    "a relay node whose services have no resend budget, with two endpoints that do: {script}",
)
def without_budget(context, script):
    steps = script.split(", ")

    async def start():
        relay = RelayFixture([steps, steps])
        relay.settings_changed = {"retry_share": 0.0, "retry_slack": 0.0}
        return await relay.start()

    context.relay = context.loop.run(start())
    for server in context.relay.servers:
        server.script = steps


@when("a caller sends an unsafe request")
def send_unsafe(context):
    context.answer = context.loop.run(context.relay.ask(request("unsafe")))


@when("a caller sends {number:d} unsafe requests one after another")
def send_in_turn(context, number):
    async def work():
        return [await context.relay.ask(request("unsafe", one)) for one in range(number)]

    context.answers = context.loop.run(work())


@then("the status and body are {gets}")
def caller_gets(context, gets):
    answer = context.answer
    status, _, body = gets.partition(" ")
    assert answer.whole, "cut"
    assert (answer.status, answer.body) == (int(status), body.encode()), (
        answer.status,
        answer.body,
    )
    stamped = "x-rookspring-server-stamp" in answer.headers
    assert stamped == bool(body), answer.headers


@then("the statuses are {status:d} in the first {times:d} and then {last:d}")
def caller_got(context, status, times, last):
    got = [answer.status for answer in context.answers]
    assert got == [status] * times + [last], got


@then("its endpoint was never ejected")
def never_ejected(context):
    (view,) = context.relay.node.context.state.endpoints.values()
    assert view.ejected_until < 0.0, view.ejected_until


@then("its endpoint is ejected")
def is_ejected(context):
    (view,) = context.relay.node.context.state.endpoints.values()
    assert view.ejected_until > 0.0, view.failures


@then("no broken request waits for the end of a process")
def none_pending(context):
    suspects = context.relay.node.context.state.suspects
    assert not any(suspects._pending.values()), suspects._pending


@then("the request is recorded as running at an endpoint that crashed")
def crash_recorded(context):
    began = [line for line in context.relay.log_lines if "event=attempt_began" in line]
    fingerprints = {line.partition(" fingerprint=")[2].split()[0] for line in began}
    suspects = context.relay.node.context.state.suspects
    assert any(suspects.known(one) for one in fingerprints), began


@then("the log of its bodies has the signs {signs}")
def logged_signs(context, signs):
    time.sleep(0.05)
    lines = [line for line in context.relay.log_lines if "event=body_checked" in line]
    found = [line.partition(" sign=")[2].split()[0] for line in lines]
    assert found == signs.split(", "), lines
