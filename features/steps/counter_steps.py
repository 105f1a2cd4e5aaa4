import asyncio
import contextlib

from behave import given
from behave import then
from behave import when
from other_node import OTHER
from relay_fixture import configuration

from rookspring.exceptions import PeerError
from rookspring.messages import Forward
from rookspring.peers import Link
from rookspring.peers import PeerServer

NAME = "n1"
# Greater than the versions that other steps write.
VERSION = 60
KEY = "key"
MUCH = Forward(1, "kind", "team", {}, b"." * 10_000)


@given("a node to which another has a link, over which it got much")
def linked_node(context):
    sent = [MUCH]

    async def serve(link):
        for one in sent:
            link.send(one)
        sent.clear()
        while True:
            await link.receive()

    async def work():
        context.server = PeerServer(NAME, f"{NAME}#1", KEY, serve, None)
        await context.server.listen("127.0.0.1", 0)
        context.first = await open_link(context)
        await context.first.receive()
        context.sent_before = context.server.sent_bytes()

    context.loop.run(work())
    assert context.sent_before > len(MUCH.body), context.sent_before
    context.add_cleanup(lambda: context.loop.run(context.server.close()))


async def open_link(context, name=OTHER, start=1, key=KEY):
    port = context.server._server.sockets[0].getsockname()[1]
    link = Link(*await asyncio.open_connection("127.0.0.1", port), True)
    await link.handshake(name, f"{name}#{start}", key)
    return link


async def wait_for_end(link):
    try:
        async with asyncio.timeout(3.0):
            await link.receive()
    except PeerError:
        return
    raise AssertionError("the link stays")


async def end_first(context):
    context.first.close()
    while OTHER in context.server.links:
        await asyncio.sleep(0.01)
    await open_link(context)


async def replace_first(context, start):
    await open_link(context, start=start)
    await wait_for_end(context.first)


async def be_refused(context, **given):
    with contextlib.suppress(PeerError):
        await wait_for_end(await open_link(context, **given))


EVENTS = {
    "the other makes a new link": lambda context: replace_first(context, 1),
    "the other makes a new link after a restart": lambda context: replace_first(context, 2),
    "the link ends, and the other makes a new one": end_first,
    "a node with the first one's own name makes a link": lambda context: be_refused(
        context, name=NAME
    ),
    "a node without the key makes a link": lambda context: be_refused(context, key="none"),
}


for _words, _event in EVENTS.items():

    @when(_words)
    def make_event(context, event=_event):
        context.loop.run(event(context))


@then("the bytes that the node has sent to others are more than before")
def risen(context):
    async def read():
        await asyncio.sleep(0.05)
        return context.server.sent_bytes()

    now = context.loop.run(read())
    assert now > context.sent_before, (context.sent_before, now)


@when("its routes have the rank {first:d}, its metrics are read, and then the rank {last:d}")
def change_ranks(context, first, last):
    async def work():
        relay = context.relay
        for version, rank in ((VERSION, first), (VERSION + 1, last)):
            raw = configuration(version)
            for route in raw["routes"]:
                route["priority"] = rank
            await relay.store.write("config", "main", raw)
            await relay.until(lambda at=version: relay.node.context.state.revision == at)
            answer = await relay.ask(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", "metrics")
            context.told = answer.body.decode()
            assert f'rank="{rank}"' in context.told, context.told

    context.loop.run(work())


@then("its metrics have requests that wait of the rank {rank:d}, and of none that has gone")
def ranks_told(context, rank):
    rows = [line for line in context.told.splitlines() if "rookspring_places_waiting{" in line]
    assert len(rows) == 1 and f'rank="{rank}"' in rows[0], rows
