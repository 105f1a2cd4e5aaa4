import asyncio
import contextlib
import pathlib
import re
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from relay_stage import request

from rookspring_core import keys
from rookspring_core.organisations import digest_of

DAEMON = pathlib.Path("packages/rookspring/src/rookspring")
READS = re.compile(r"time\.(monotonic|clock_gettime|perf_counter|time)\b|loop\.time\(")
# What tells the time of day, which is no age: a field of an answer, and when outcomes were written.
TIMES_OF_DAY = {"exchanges.py": 1, "forwarding.py": 1}


@given("it holds the lease")
def holds_lease(context):
    stage = context.relay
    state = stage.node.context.state
    context.loop.run(stage.until(lambda: state.control.holding(stage.node.context.now()), 8.0))


@when("it is suspended for {seconds:g} s, which the steady clock does not count")
def suspended(context, seconds):
    context.seconds = seconds


@contextlib.contextmanager
def later(seconds):
    """Have the kernel's clock of all time run ahead of its steady one."""
    read = time.clock_gettime

    def read_later(clock):
        return read(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    with mock.patch.object(time, "clock_gettime", read_later):
        yield


def ask_in_loop(context, ask):
    """Ask something of the node before its loop takes anything else."""

    async def work():
        with later(context.seconds):
            return ask(context.relay.node.context)

    return context.loop.run(work())


@then("before anything else it {lease} the lease")
def lease_held(context, lease):
    held = ask_in_loop(context, lambda node: node.state.control.holding(node.now()))
    assert held == (lease == "holds"), held


@then("before anything else a request with key-a is {fate}")
def key_judged(context, fate):
    def ask(node):
        table = node.state.table
        route = table.match("h.example", "/safe/x")
        now = node.now()
        return keys.judge(node.state, route, digest_of(b"key-a"), now, now)

    verdict = ask_in_loop(context, ask)
    assert verdict.status == (0 if fate == "let in" else 503), verdict


@then("no module of the daemon but clock reads a clock of the system's for ages")
def one_clock(context):
    found = {
        path.name: len(READS.findall(path.read_text()))
        for path in sorted(DAEMON.glob("*.py"))
        if path.name != "clock.py"
    }
    wrong = {name: number for name, number in found.items() if number > TIMES_OF_DAY.get(name, 0)}
    assert not wrong, wrong


@when("a caller who waits {ms:d} ms is unanswered yet, and the box is suspended for {seconds:g} s")
def suspended_meanwhile(context, ms, seconds):
    stage = context.relay

    async def work():
        asked = asyncio.create_task(stage.ask(request("safe", deadline_ms=ms)))
        await asyncio.sleep(0.3)
        begun = time.monotonic()
        with later(seconds):
            answer = await asked
        return answer, time.monotonic() - begun

    context.answer, context.took_s = context.loop.run(work())


@then(
    "the caller has a {status:d} within {seconds:g} s, and the log says that the node stood still"
)
def ended_at_once(context, status, seconds):
    assert context.answer.status == status, context.answer.status
    assert context.took_s < seconds, context.took_s
    assert any("event=stood_still" in line for line in context.relay.log_lines)
