"""Endpoints that take so many connections at once, and reset more."""

import asyncio
import statistics
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from relay_fixture import request

from rookspring import defaults as daemon_defaults


@given("it takes {number:d} connections at once, and resets more")
def takes_connections(context, number):
    context.relay.servers[0].connections_max = number


@when("a caller's stream holds that connection, and two {kind} requests come one after another")
def two_requests_come(context, kind):
    relay = context.relay

    async def work():
        stream = asyncio.ensure_future(relay.ask(request("stream", 1)))
        await relay.until(lambda: relay.runs)
        context.answers = [await relay.ask(request(kind, number)) for number in (2, 3)]
        relay.servers[0].stopping.set()
        await stream

    context.loop.run(work())


@then("the second is refused with {status:d}")
def second_refused(context, status):
    assert context.answers[1].status == status, [one.status for one in context.answers]


@when("a caller of an unsafe request leaves while a new connection is watched for {seconds:g} s")
def leaves_while_watched(context, seconds):
    relay = context.relay

    async def work():
        with mock.patch.object(daemon_defaults, "CONNECTION_SETTLES_S", seconds):
            _, writer = await relay.connect()
            writer.write(request("unsafe"))
            await relay.until(lambda: relay.servers[0].connections == 2)
            writer.close()
            await relay.until(lambda: not relay.node.context.state.requests)

    context.loop.run(work())


@then("the endpoint has {number:d} open connections within {seconds:g} s, and ran nothing")
def has_open(context, number, seconds):
    (server,) = context.relay.servers
    open_now = server._writers
    context.loop.run(context.relay.until(lambda: len(open_now) == number, seconds))
    assert not context.relay.runs, context.relay.runs


@when("a caller sends {number:d} unsafe requests, each on a new connection to the endpoint")
def send_on_new(context, number):
    context.times_s = []
    relay = context.relay

    async def work():
        for one in range(number):
            relay.node.context.pool.close()
            began = time.monotonic()
            assert (await relay.ask(request("unsafe", one))).status == 200
            context.times_s.append(time.monotonic() - began)

    context.loop.run(work())
    assert relay.servers[0].connections >= number, relay.servers[0].connections


@then("half of them took less than {seconds:g} s")
def half_took(context, seconds):
    assert statistics.median(context.times_s) < seconds, context.times_s
