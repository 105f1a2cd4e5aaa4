import asyncio
import itertools

from behave import then
from behave import when
from returns.result import Failure
from version_stage import NOT_RUN
from version_stage import end_version
from version_stage import restart_as
from version_stage import send_stream

from rookspring import clock
from rookspring.exceptions import PlatformError
from rookspring.relay_node import RelayNode
from rookspring.relay_store_loops import LEASE_KIND
from rookspring_platform import PlatformDialect


@when("a caller takes up a stream that began at no node that is left")
def take_up_unknown(context):
    lines = ("Resumes: q-lost", "Last-Event-Id: 3")
    node = context.cut_stage.nodes[0]
    context.part = context.loop.run(send_stream(node, "r", lines))


@when("v2 goes, the first node restarts, and a caller takes up a stream there that none knows")
def restart_after_version(context):
    stage = context.cut_stage

    async def work():
        await end_version(stage, "v2")
        await stage.relay.restart()
        stage.nodes[0] = stage.relay.node
        peers = stage.relay.node.context.state.membership.peers
        await stage.relay.until(lambda: len(peers) == 2)

    context.loop.run(work(), 20.0)
    take_up_unknown(context)


@when("a stream of v2 is left, the node restarts, its endpoint is back as v1, and it is taken up")
def all_restart(context):
    stage = context.cut_stage
    second, _ = stage.relay.servers

    async def begin():
        for number in itertools.count():
            part = await send_stream(stage.nodes[0], f"{number}-0", (), 3)
            if part.request_id in second.runs:
                break
            await asyncio.sleep(0.05)
        return part

    async def work():
        part = await begin()
        await stage.relay.kill(stage.relay.node)
        await restart_as(second, "v1")
        await stage.relay.store.write("servers", second.name, second.entry("svc"))
        stage.relay.node = RelayNode(stage.relay.settings, PlatformDialect())
        await stage.relay.node.start()
        await stage.relay.until(stage.relay.node.context.ready)
        stage.nodes[0] = stage.relay.node
        for server in stage.relay.servers:
            server.runs.clear()
        lines = (f"Resumes: {part.request_id}", f"Last-Event-Id: {part.events[-1]}")
        context.part = await send_stream(stage.nodes[0], "r", lines)

    context.loop.run(work(), 20.0)


def _holders(stage):
    """Return the numbers of the nodes that hold the lease: one or none."""
    controls = [node.context.state.control for node in stage.nodes]
    return [number for number, one in enumerate(controls) if one.holding(clock.now())]


async def _restart_all(stage, numbers, change=lambda node: None):
    """End nodes without a planned stop, and start others in their places, changed by a call."""
    for number in numbers:
        await stage.relay.kill(stage.nodes[number])
    for number in numbers:
        node = RelayNode(stage.nodes[number].settings, PlatformDialect())
        change(node)
        await node.start()
        stage.nodes[number] = node
        if number == 0:
            stage.relay.node = node
        else:
            stage.relay.others[number - 1] = node
    await stage.relay.until(lambda: all(node.context.ready() for node in stage.nodes))
    others = len(stage.nodes) - 1
    await stage.relay.until(
        lambda: all(len(one.context.state.membership.peers) == others for one in stage.nodes)
    )


@when("all nodes restart at once, and a caller takes up a stream that none knows")
def all_restart_unknown(context):
    stage = context.cut_stage

    async def work():
        await stage.relay.until(lambda: _holders(stage))
        await _restart_all(stage, range(len(stage.nodes)))

    context.loop.run(work(), 20.0)
    take_up_unknown(context)


@when("v2 goes, the lease's holder restarts, and after 3 s all nodes, and a stream is taken up")
def holder_then_all_restart(context):
    stage = context.cut_stage

    async def work():
        await stage.relay.until(lambda: _holders(stage))
        await end_version(stage, "v2")
        await _restart_all(stage, _holders(stage))
        await asyncio.sleep(3.0)
        await stage.relay.until(lambda: _holders(stage))
        await _restart_all(stage, range(len(stage.nodes)))

    context.loop.run(work(), 30.0)
    take_up_unknown(context)


@when("a node starts without the lease, the other has run for {seconds:d} s, and it is asked")
def starts_without_lease(context, seconds):
    stage = context.cut_stage

    async def work():
        stage.nodes[1].context.state.started_at = clock.now() - seconds
        await _restart_all(stage, [0], _hide_lease)
        # The heartbeat of the other tells how long it has run.
        await asyncio.sleep(1.0)

    context.loop.run(work(), 20.0)
    take_up_unknown(context)


@when("a node starts while the store is away, and entries come as a stream is taken up there")
def entries_come_late(context):
    stage = context.cut_stage

    async def work():
        stage.relay.store.faults.outage = True
        await stage.relay.kill(stage.nodes[0])
        node = RelayNode(stage.nodes[0].settings, PlatformDialect())
        await node.start()
        stage.nodes[0] = stage.relay.node = node
        state = node.context.state
        await stage.relay.until(lambda: state.table is not None and state.membership.peers)
        assert not state.endpoints, "it has entries"
        lines = ("Resumes: q-lost", "Last-Event-Id: 3")
        taken = asyncio.ensure_future(send_stream(node, "r", lines))
        await asyncio.sleep(0.3)
        stage.relay.store.faults.outage = False
        context.part = await taken

    context.loop.run(work(), 20.0)


@when("a second version is listed as a stream that none knows is taken up")
def second_as_taken_up(context):
    stage = context.cut_stage
    first, second = stage.relay.servers
    (node,) = stage.nodes
    acquire = node.context.pool.acquire

    async def acquire_late(address, wide_margin, request_id=None, *args):
        if request_id == "qr":
            second.version = "v2"
            await stage.relay.store.write("servers", second.name, second.entry("svc"))
            versions = node.context.state.stream_versions
            await stage.relay.until(lambda: versions.has_several("svc", clock.now()))
        return await acquire(address, wide_margin, request_id, *args)

    node.context.pool.acquire = acquire_late
    take_up_unknown(context)


@then("the rest is refused without having run")
def refused_unrun(context):
    assert context.part.status in NOT_RUN, context.part
    assert not context.relay.runs


def _hide_lease(node):
    """Have a node's reads of the lease fail."""
    get = node.context.platform.get

    async def get_others(kind, name):
        if kind == LEASE_KIND:
            return Failure(PlatformError("unavailable"))
        return await get(kind, name)

    node.context.platform.get = get_others


@then("the rest is refused without a time to retry")
def refused_without_time(context):
    assert context.part.status == 503 and b"retry-after" not in context.part.raw.lower()
    assert not context.relay.runs


@then("it goes on after the third event")
def goes_on_after(context):
    assert context.part.whole and context.part.events == [4, 5], context.part
