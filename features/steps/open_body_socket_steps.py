import asyncio
import time

from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import request
from unread_answer_steps import start_changed_relay

from rookspring import defaults

# How long both answers have been sent by then, in seconds.
BEGUN_S = 0.1


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


@given(
    "a relay node whose services have {resends:d} resends, with one endpoint with models that "
    "does: {script}"
)
def few_resends(context, resends, script):
    relay = RelayFixture([script.split(", ")])
    slack = float(resends * defaults.RELAY_NODES_MIN)
    relay.settings_changed = {"retry_share": 0.0, "retry_slack": slack}
    start_changed_relay(context, relay, 8)
    for view in context.relay.node.context.state.endpoints.values():
        view.role = "runner"


async def send_beside(context, stop, kind="unsafe"):
    """Send a request and a stream to one endpoint, stop, and keep the former's answer."""
    relay = context.relay
    body = asyncio.ensure_future(relay.ask(request(kind, 1)))
    await relay.until(lambda: len(relay.runs) == 1)
    stream = asyncio.ensure_future(relay.ask(request("stream", 2)))
    await relay.until(lambda: len(relay.runs) == 2)
    await asyncio.sleep(BEGUN_S)
    stop(relay.servers[0])
    context.answer = await body
    stream.cancel()


@when("it {closes} the body and the stream that it sends to two callers, and lives on")
def closes_both(context, closes):
    def stop(server):
        server.drop_connections(resets=closes == "resets")

    context.loop.run(send_beside(context, stop))


@when("it ends the body that it sends beside a stream")
def ends_body(context):
    context.loop.run(send_beside(context, lambda server: server.stopping.set()))


@when("it ends the body of a safe request that it sends beside a stream")
def ends_safe_body(context):
    context.loop.run(send_beside(context, lambda server: server.stopping.set(), "safe"))


@then("its caller gets its endpoint's empty answer")
def gets_empty(context):
    answer = context.answer
    assert answer.whole and (answer.status, answer.body) == (200, b""), answer.status
    assert "x-rookspring-server-stamp" in answer.headers, answer.headers


@then("its caller gets 502")
def gets_refusal(context):
    assert context.answer.status == 502, context.answer.status
    assert "x-rookspring-server-stamp" not in context.answer.headers


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
