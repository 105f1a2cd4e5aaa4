import asyncio
import time

from behave import then
from behave import when
from socket_calls import address
from socket_calls import place_call

# How long the service runs a call, in seconds.
CALL_S = 1.0


async def stop_in_call(context, name, stop):
    """Send key 1 of the session to a node, and stop that node while the call runs."""
    services = context.stage.services.values()
    work_s = {service: service.work_s for service in services}
    for service in services:
        service.work_s = CALL_S
    target = address(context, name)
    sent = asyncio.create_task(place_call(target, context.session, 1, context.call))
    await asyncio.sleep(CALL_S / 4)
    node = context.stage.nodes.pop(name)
    began_at = time.monotonic()
    stop(node)
    await node.run_until_stopped()
    context.stop_took_s = time.monotonic() - began_at
    context.outcomes = [await sent]
    # The call may go on where it runs, although its caller has been told.
    await asyncio.sleep(CALL_S)
    for service, seconds in work_s.items():
        service.work_s = seconds


@when("{name} is stopped while it waits for the answer to key 1")
def stopped_in_call(context, name):
    context.loop.run(stop_in_call(context, name, lambda node: node.drain(hurry=True)))


@when("{name} has to end while it waits for the answer to key 1")
def ended_in_call(context, name):
    context.loop.run(stop_in_call(context, name, lambda node: node.end_grace()))


@then("{name} has stopped within {seconds:g} s")
def stopped_within(context, name, seconds):
    assert context.stop_took_s <= seconds, context.stop_took_s
