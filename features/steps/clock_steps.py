import asyncio
import contextlib
import pathlib
import re
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from relay_fixture import request

from rookspring_core import keys
from rookspring_core.organisations import digest_of

DAEMON = pathlib.Path("packages/rookspring/src/rookspring")
READS = re.compile(r"time\.(monotonic|clock_gettime|perf_counter|time)\b|loop\.time\(")
# Reads of the time of day, which is no age: a field of an answer, and when outcomes were written.
TIMES_OF_DAY = {"exchanges.py": 1, "forwarding.py": 1}


@given("it holds the lease")
def holds_lease(context):
    stage = context.relay
    state = stage.node.context.state
    context.loop.run(stage.until(lambda: state.control.holding(stage.node.context.now()), 8.0))


@when("it is suspended for {seconds:g} s, which the monotonic clock does not count")
def suspended(context, seconds):
    context.seconds = seconds


@contextlib.contextmanager
def suspended_for(seconds):
    """Have CLOCK_BOOTTIME run ahead of the monotonic clock, as after a suspension."""
    gettime = time.clock_gettime

    def gettime_later(clock):
        return gettime(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    with mock.patch.object(time, "clock_gettime", gettime_later):
        yield


def evaluate_first(context, function):
    """Evaluate a function of the node's context before its loop handles anything else."""

    async def work():
        with suspended_for(context.seconds):
            return function(context.relay.node.context)

    return context.loop.run(work())


@then("before anything else it {lease} the lease")
def check_lease(context, lease):
    held = evaluate_first(context, lambda node: node.state.control.holding(node.now()))
    assert held == (lease == "holds"), held


@then("before anything else a request with key-a is {outcome}")
def check_key(context, outcome):
    def judge(node):
        table = node.state.table
        route = table.match("h.example", "/safe/x")
        now = node.now()
        return keys.check_key(node.state, route, digest_of(b"key-a"), now, now)

    verdict = evaluate_first(context, judge)
    assert verdict.status == (0 if outcome == "admitted" else 503), verdict


@then("no module of the daemon but clock reads a system clock for ages")
def one_clock(context):
    found = {
        path.name: len(READS.findall(path.read_text()))
        for path in sorted(DAEMON.glob("*.py"))
        if path.name != "clock.py"
    }
    wrong = {name: number for name, number in found.items() if number > TIMES_OF_DAY.get(name, 0)}
    assert not wrong, wrong


@when(
    "a request with a deadline of {ms:d} ms is in flight,"
    " and the box is suspended for {seconds:g} s"
)
def suspended_meanwhile(context, ms, seconds):
    stage = context.relay

    async def work():
        asked = asyncio.create_task(stage.ask(request("safe", deadline_ms=ms)))
        await asyncio.sleep(0.3)
        started = time.monotonic()
        with suspended_for(seconds):
            answer = await asked
        return answer, time.monotonic() - started

    context.answer, context.took_s = context.loop.run(work())


@then("the caller gets a {status:d} within {seconds:g} s, and the suspension is logged")
def ended_at_once(context, status, seconds):
    assert context.answer.status == status, context.answer.status
    assert context.took_s < seconds, context.took_s
    assert any("event=stood_still" in line for line in context.relay.log_lines)
