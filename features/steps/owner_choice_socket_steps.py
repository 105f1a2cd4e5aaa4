"""Requests to endpoints that all limit them, while the nodes that grant permits come of age."""

import collections
import time

from behave import then
from behave import when

WINDOW_S = 2.0
STEP_S = 0.1


@when("all endpoints accept {rate:g} requests a second for {seconds:g} s")
def endpoints_accept(context, rate, seconds):
    stage = context.cut_stage
    context.accepted_per_s = rate * len(stage.relay.servers)
    context.limited = (time.monotonic(), time.monotonic() + seconds)

    async def work():
        ends = [server.state_rate(rate) for server in stage.relay.servers]
        await stage.ask_all(seconds)
        for end in ends:
            end()

    context.loop.run(work())


@then("from {begin:g} s on half of these are answered at least, in any 2 s")
def half_answered(context, begin):
    stage = context.cut_stage
    start, end = context.limited
    times = [one.sent_at for one in stage.tries if one.served]
    at = start + begin
    while at < end - WINDOW_S:
        answered = sum(at <= one < at + WINDOW_S for one in times)
        assert answered >= context.accepted_per_s * WINDOW_S / 2, (at - start, answered)
        at += STEP_S


@then("no node takes its queue over from itself")
def no_takeover(context):
    taken = [line for line in context.relay.log_lines if "event=queue_taken_over" in line]
    counts = collections.Counter(taken)
    assert len(taken) <= len(context.cut_stage.nodes), counts
