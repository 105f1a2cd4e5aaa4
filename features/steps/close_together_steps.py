import asyncio

from behave import when
from relay_fixture import request

STREAMS = {"two": ["stream"] * 2, "three": ["stream"] * 3}
# How long the streams have been sent by then, in seconds.
BEGUN_S = 0.1


async def ask_beside(context, kinds, stop):
    """Send requests side by side, bring about what ends the first, and keep its answer."""
    relay = context.relay
    tasks = []
    for one, kind in enumerate(kinds):
        tasks.append(asyncio.ensure_future(relay.ask(request(kind, one + 1))))
        await relay.until(lambda begun=one: len(relay.runs) > begun)
    await asyncio.sleep(BEGUN_S)
    stop(relay.servers[0])
    context.answer = await tasks[0]
    for task in tasks[1:]:
        task.cancel()


@when("it {closes} the streams that it sends to two callers, and lives on")
def closes_together(context, closes):
    def stop(server):
        server.drop_connections(resets=closes == "resets")

    context.loop.run(ask_beside(context, STREAMS["two"], stop))


@when("it ends the first of the streams that it sends to {number} callers")
def ends_first(context, number):
    context.loop.run(ask_beside(context, STREAMS[number], lambda server: server.stopping.set()))


@when("it ends the stream and the body that it sends to two callers")
def ends_both(context):
    kinds = ["stream", "safe"]
    context.loop.run(ask_beside(context, kinds, lambda server: server.stopping.set()))
