import asyncio
import collections
import time

from behave import given
from behave import then
from behave import when
from handover_socket_steps import ask_first
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import request
from relay_socket_steps import describe

from rookspring import clock


@given("a relay node without a retry budget, whose two endpoints do: {script}")
def no_budget(context, script):
    relay = shared_script_relay(script)
    relay.settings_changed = {"retry_share": 0.0, "retry_slack": 0.0}
    context.relay = context.loop.run(relay.start())


@given("a relay node whose routes give one attempt, whose two endpoints do: {script}")
def one_attempt(context, script):
    relay = shared_script_relay(script)
    context.relay = context.loop.run(relay.start())
    changed = configuration(6)
    for route in changed["routes"]:
        route["max-attempts"] = 1

    async def change():
        await relay.store.write("config", "main", changed)
        await relay.until(lambda: relay.node.context.state.table.version == 6)

    context.loop.run(change())


def shared_script_relay(script):
    steps = script.split(", ")
    relay = RelayFixture([steps, steps])
    for server in relay.servers:
        server.script = steps
    return relay


@when("a {kind} request is sent to the first node, and the endpoints do: {script}")
def sent_to_first(context, kind, script):
    steps = script.split(", ")
    for server in context.cut_stage.relay.servers:
        server.script = steps
    context.answer = context.loop.run(ask_first(context, request(kind)))


@then("its caller is given {events:d} events{end}")
def given_events(context, events, end):
    assert describe(context.answer) == f"{events} events{end}", describe(context.answer)


@then("its caller is given {events:d} events")
def given_all(context, events):
    given_events(context, events, "")


@then("nothing ran more than {times:d} times")
def ran_at_most(context, times):
    found = collections.Counter(context.cut_stage.relay.runs)
    assert max(found.values()) <= times, found


@when("callers send {number:d} stream requests, one after another")
def send_in_turn(context, number):
    async def work():
        for one in range(number):
            await context.relay.ask(request("stream", one))

    context.loop.run(work())


@then("{failures:d} failures count against the endpoint, and it is {ejected}")
def failures_counted(context, failures, ejected):
    (view,) = context.relay.node.context.state.endpoints.values()
    assert view.failures == failures, view.failures
    assert (view.ejected_until > clock.now()) == (ejected == "ejected"), view.ejected_until


@then("a crash is {recorded}, and the endpoint is {found}")
def crash_recorded(context, recorded, found):
    relay = context.relay
    began = next(line for line in relay.log_lines if "event=attempt_began" in line)
    fingerprint = began.partition(" fingerprint=")[2].split()[0]
    name = began.partition(" endpoint=")[2].split()[0]
    state = relay.node.context.state
    assert state.suspects.known(fingerprint) == (recorded == "recorded")
    assert state.endpoints[name].down == (found == "down")


@then("the log of its failed attempt has: {fields}")
def failed_attempt_logged(context, fields):
    time.sleep(0.05)
    failed = next(line for line in context.relay.log_lines if "event=attempt_failed" in line)
    missing = [field for field in fields.split(", ") if field not in failed]
    assert not missing, (missing, failed)


@given("whether its process has ended takes {seconds:d} s to find out")
def slow_to_find(context, seconds):
    async def is_down(address):
        await asyncio.sleep(seconds)
        return False

    context.relay.node.context.pool.is_down = is_down
