"""Nodes on loopback sockets, whose open connections go silent for good."""

import asyncio
import time

import ports
from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import configuration
from returns.result import Success
from silent_proxy import SilentProxy

from rookspring_fakes import ObjectPlatform
from rookspring_fakes import serve
from rookspring_platform import ObjectStore

CALLER_OFFSET = 1
PEER_OFFSET = 101
# Longer than the pause of a watch after a change, so that each node watches again.
WATCHES_AGAIN_S = 0.5
# Bounds of the settings: from a confirmed change, and from the failure of connections.
CHANGE_S = 2.0
CONTACT_S = 3.0
VERSION = 7
# Two heartbeats of a link.
HEARD_LATELY_S = 0.8


class SilentStage:
    """Linked nodes, each of which reaches the store through one proxy."""

    def __init__(self):
        self.relay = RelayFixture([()])
        self.nodes = []
        self.silent_at = 0.0
        self.written_at = 0.0

    async def start(self, count):
        self.proxy = await SilentProxy(lambda: self.relay.served.address).start()
        base = ports.find_base()
        rows = [
            {
                "name": f"n{number + 1}",
                "store": self.proxy.address,
                "caller_address": f"127.0.0.1:{base + CALLER_OFFSET + number}",
                "peer_address": f"127.0.0.1:{base + PEER_OFFSET + number}",
                "seeds": (f"127.0.0.1:{base + PEER_OFFSET}",),
            }
            for number in range(count)
        ]
        self.relay.settings_changed = rows[0]
        await self.relay.start()
        for row in rows[1:]:
            await self.relay.add_node(**row)
        self.nodes = [self.relay.node, *self.relay.others]
        await self.relay.until(self.linked)
        return self

    def linked(self):
        """Return whether each node has a live link to all others."""
        return all(
            node.context.state.membership.linked
            >= {one.settings.name for one in self.nodes} - {node.settings.name}
            for node in self.nodes
        )

    def due_at(self):
        return max(self.written_at + CHANGE_S, self.silent_at + CONTACT_S)

    async def silence(self):
        self.silent_at = time.monotonic()
        assert self.proxy.silence() >= 2 * len(self.nodes)

    async def renew_watches(self):
        """Change both kinds that nodes watch, so that all watches begin just before the silence."""
        server = self.relay.servers[0]
        await self.relay.store.write("servers", server.name, server.entry("svc", slots=9))
        await self.relay.store.write("config", "main", configuration(VERSION - 1))
        await asyncio.sleep(WATCHES_AGAIN_S)

    async def await_all(self, knows):
        """Wait until a condition holds at each node."""
        left_s = self.due_at() - time.monotonic()
        await self.relay.until(lambda: all(knows(node) for node in self.nodes), left_s)


@given("{count:d} linked nodes, whose store they reach through a proxy")
def nodes_behind_proxy(context, count):
    context.silent = context.loop.run(SilentStage().start(count))
    context.relay = context.silent.relay


@when(
    "the open connections to the store go silent {before_s:g} s before a configuration is written"
)
def silent_before_configuration(context, before_s):
    stage = context.silent

    async def work():
        await stage.renew_watches()
        await stage.silence()
        await asyncio.sleep(before_s)
        await stage.relay.store.write("config", "main", configuration(VERSION))
        stage.written_at = time.monotonic()

    context.loop.run(work())


@then(
    "each node has it within {change_s:g} s of the write, or {contact_s:g} s of the silence"
    " if that is later"
)
def has_configuration(context, change_s, contact_s):
    assert (change_s, contact_s) == (CHANGE_S, CONTACT_S)
    stage = context.silent
    context.loop.run(stage.await_all(lambda node: node.context.state.revision == VERSION))


@when(
    "the open connections to the store go silent {before_s:g} s before an endpoint's notice"
    " is written"
)
def silent_before_notice(context, before_s):
    stage = context.silent
    server = stage.relay.servers[0]

    async def work():
        await stage.renew_watches()
        await stage.silence()
        await asyncio.sleep(before_s)
        entry = server.entry("svc", state="draining", slots=9)
        await stage.relay.store.write("servers", server.name, entry)
        stage.written_at = time.monotonic()

    context.loop.run(work())


@then(
    "each node knows it within {change_s:g} s of the write, or {contact_s:g} s of the silence"
    " if that is later"
)
def knows_notice(context, change_s, contact_s):
    assert (change_s, contact_s) == (CHANGE_S, CONTACT_S)
    stage = context.silent
    name = stage.relay.servers[0].name
    knows = stage.await_all(lambda node: node.context.state.endpoints[name].leaving)
    context.loop.run(knows)


class SilentClient:
    """A client of the store behind a proxy, whose connections go silent."""

    def __init__(self):
        self.store = ObjectPlatform()
        self.store.keep_alive_s = 10
        self.watch = None

    async def start(self, count):
        self.served = await serve(self.store.app())
        await self.store.write("kind", "one", {})
        self.proxy = await SilentProxy(lambda: self.served.address).start()
        self.client = ObjectStore(f"objects://{self.proxy.address}", lambda method, end: None)
        answers = await asyncio.gather(*(self.client.get("kind", "one") for _ in range(count)))
        assert all(isinstance(one, Success) for one in answers)
        return self

    async def begin_watch(self):
        self.watch = asyncio.ensure_future(self.client.watch("other", 1, 10.0))
        # Longer than it takes to be on its way.
        await asyncio.sleep(0.1)
        assert not self.watch.done()

    async def call(self, call):
        if call == "read":
            return await self.client.get("kind", "one")
        anew = call == "watch sent anew"
        return await self.client.watch("kind", 0, 0.1, anew=anew)

    async def close(self):
        if self.watch is not None:
            self.watch.cancel()
        await self.client.close()
        await self.proxy.close()
        await self.served.close()


@given("a client of the store that has made {count:d} calls")
def silent_client(context, count):
    context.client = context.loop.run(SilentClient().start(count))


@when("its open connections go silent while {what} is under way")
def go_silent(context, what):
    client = context.client
    if what == "a watch":
        context.loop.run(client.begin_watch())
    silenced = client.proxy.silence()
    assert silenced >= (what == "a watch"), silenced


@then("a {call} is answered within {seconds:g} s")
def answered_within(context, call, seconds):
    client = context.client

    async def work():
        try:
            async with asyncio.timeout(seconds):
                return await client.call(call)
        finally:
            await client.close()

    assert isinstance(context.loop.run(work()), Success)


@when("the store answers each call {late_s:g} s late for {seconds:g} s")
def answers_late(context, late_s, seconds):
    stage = context.silent.relay

    async def work():
        stage.log_lines.clear()
        stage.store.faults.slow_s = late_s
        await asyncio.sleep(seconds)
        stage.store.faults.slow_s = 0.0

    context.loop.run(work())


@then("each node's watches are answered, and none takes the store to be down")
def watches_answered(context):
    lines = context.silent.relay.log_lines
    assert any("event=watch_repeated" in line for line in lines)
    assert not any("event=platform_down" in line for line in lines), lines


class DeafWriter:
    """Stands for a stream's writer; what is written is acknowledged and lost."""

    def __init__(self, writer):
        self._writer = writer

    def __getattr__(self, name):
        return getattr(self._writer, name)

    def write(self, data):
        pass


def list_links(stage):
    return {id(link): link for node in stage.nodes for link in node.peers.server.links.values()}


@when("the links between them go silent")
def links_silent(context):
    stage = context.silent

    async def work():
        stage.silent_at = time.monotonic()
        stage.relay.log_lines.clear()
        context.links = list_links(stage)
        for link in context.links.values():
            link._writer = DeafWriter(link._writer)

    context.loop.run(work())


@then("within {seconds:g} s each node hears all others again, and took none to be gone")
def hear_again(context, seconds):
    stage = context.silent

    def heard(node):
        now = node.context.now()
        peers = node.context.state.membership.peers
        links = node.peers.server.links
        return (
            len(links) == len(peers) == len(stage.nodes) - 1
            and not any(id(link) in context.links for link in links.values())
            and all(now - one.received_at < HEARD_LATELY_S for one in peers.values())
        )

    async def work():
        left_s = stage.silent_at + seconds - time.monotonic()
        await stage.relay.until(lambda: all(heard(node) for node in stage.nodes), left_s)
        assert not any("event=peer_down" in line for line in stage.relay.log_lines)

    context.loop.run(work())


@when("all of them stand still for {seconds:g} s")
def stand_still(context, seconds):
    async def work():
        return list_links(context.silent)

    context.links = context.loop.run(work())
    context.loop.loop.call_soon_threadsafe(time.sleep, seconds)


@then("their links are the same {seconds:g} s later")
def same_links(context, seconds):
    async def work():
        await asyncio.sleep(seconds)
        assert list_links(context.silent).keys() == context.links.keys()

    context.loop.run(work())
