import asyncio
import collections
import itertools

from behave import given
from behave import then
from behave import when
from cut_stage import CutStage
from relay_fixture import read_raw
from relay_fixture import request
from version_stage import NOT_RUN
from version_stage import end_version
from version_stage import restart_as
from version_stage import send_stream

from rookspring import clock
from rookspring_core import stream_origins
from rookspring_core.state import EntriesOutage
from rookspring_core.stream_origins import are_entries_read
from rookspring_fakes.model_server import STREAM_EVENTS

# Streams that are taken up at once: fewer than the endpoints of one version run.
AT_ONCE = 8
# The time in which a node reads the store again, and a process's entry is written, in seconds.
KNOWN_AFTER_S = 3.5


@given("{count:d} linked nodes, and endpoints of the versions {versions}")
def nodes_and_versions(context, count, versions):
    context.cut_stage = context.loop.run(CutStage(count, versions.split(", ")).start())
    context.relay = context.cut_stage.relay
    context.streams = collections.defaultdict(list)


@when("{count:d} resumable streams break off after the third event")
def streams_break(context, count):
    stage = context.cut_stage
    broken = ["break after 3"] * count

    async def work():
        for number in range(count):
            # The first endpoint that gets it breaks it off; any goes on with it.
            script = broken[number : number + 1]
            for server in stage.relay.servers:
                server.script = script
            context.streams[number].append(await send_stream(stage.nodes[0], number))

    context.loop.run(work())


@when("{trouble}, the second endpoint is back as v2, and {count:d} resumable streams break off")
def streams_break_at_restarted(context, trouble, count):
    stage = context.cut_stage
    _, second, _ = stage.relay.servers

    async def work():
        await _set_store_away(stage, True)
        await restart_as(second, "v2")
        if "back" in trouble:
            await _set_store_away(stage, False)

    context.loop.run(work())
    streams_break(context, count)
    stage.relay.store.faults.outage = False


async def _set_store_away(stage, away):
    """Have the store fail all calls or answer again, and wait until the nodes know."""
    stage.relay.store.faults.outage = away
    await stage.relay.until(
        lambda: all(are_entries_read(node.context.state) != away for node in stage.nodes)
    )


@when(
    "the second endpoint is back and listed as v2 as the rest of one of {count:d} streams connects"
)
def restarted_as_connecting(context, count):
    stage = context.cut_stage
    _, second, _ = stage.relay.servers
    (node,) = stage.nodes
    acquire = node.context.pool.acquire
    seen = set()
    context.connecting = ""

    async def acquire_late(address, wide_margin, request_id=None, *args):
        is_rest = request_id in seen
        seen.add(request_id)
        if is_rest and address == second.address and not context.connecting:
            context.connecting = request_id
            await restart_as(second, "v2")
            await stage.relay.store.write("servers", second.name, second.entry("svc"))
            view = node.context.state.endpoints[second.name]
            await stage.relay.until(lambda: view.software_version() == "v2")
        return await acquire(address, wide_margin, request_id, *args)

    node.context.pool.acquire = acquire_late
    streams_break(context, count)


@then("that one was not run there")
def not_run_there(context):
    assert context.connecting, "no rest was sent there"
    runs = context.cut_stage.relay.servers[1].runs
    assert context.connecting not in runs, f"{context.connecting} ran there"


@when("entries stay old, and a resumable stream breaks off after the third event")
def breaks_off_with_old_entries(context):
    stage = context.cut_stage
    (node,) = stage.nodes
    pool = node.context.pool
    acquire = pool.acquire
    begun = []

    async def acquire_first(address, *args):
        """Return a connection that is kept for the begin, and a new one for the rest."""
        if begun:
            return await pool.open(address)
        begun.append(address)
        return await acquire(address, *args)

    async def work():
        await asyncio.gather(*(send_stream(node, f"w{number}") for number in range(AT_ONCE)))
        await asyncio.sleep(KNOWN_AFTER_S)
        now = clock.now()
        node.context.state.entries_outage = EntriesOutage(now, now + KNOWN_AFTER_S)
        pool.acquire = acquire_first
        for server in stage.relay.servers:
            server.script = ["break after 3"]
        context.streams[0].append(await send_stream(node, 0))

    context.loop.run(work())


@then("no attempt at an endpoint counts as sent that was not")
def none_counted(context):
    (node,) = context.cut_stage.nodes
    failed = [line for line in context.relay.log_lines if "event=attempt_failed" in line]
    sent = [line for line in failed if "sent=True" in line]
    assert len(failed) > 1 and len(sent) == 1, failed
    counted = sum(view.failures for view in node.context.state.endpoints.values())
    assert counted <= 1, counted


@when("nothing changes for {seconds:d} s")
def nothing_changes(context, seconds):
    (node,) = context.cut_stage.nodes
    state = node.context.state
    context.doubted = []

    async def work():
        ends_at = clock.now() + seconds
        while (now := clock.now()) < ends_at:
            view = next(iter(state.endpoints.values()))
            if stream_origins.may_be_another(state, view, now):
                context.doubted.append(round(now - state.topology.asked_at, 2))
            await asyncio.sleep(0.05)

    context.loop.run(work(), seconds + 5.0)


@then("no new connection was ever thought to lead to another process")
def none_doubted(context):
    assert not context.doubted, f"at ages of {context.doubted} s"


@when("the store is away, and {count:d} resumable streams break off")
def streams_break_without_store(context, count):
    stage = context.cut_stage

    async def warm():
        parts = [send_stream(stage.nodes[0], f"w{number}") for number in range(AT_ONCE)]
        await asyncio.gather(*parts)
        await asyncio.sleep(KNOWN_AFTER_S)
        await _set_store_away(stage, True)

    context.loop.run(warm())
    streams_break(context, count)
    stage.relay.store.faults.outage = False


@when("{count:d} callers leave their streams after the third event, and take them up {where}")
def take_up(context, count, where):
    stage = context.cut_stage
    parts = (1, 2) if where.startswith("twice") else (3,)

    async def begin(number):
        node = stage.nodes[number % len(stage.nodes)]
        context.streams[number].append(await send_stream(node, f"{number}-0", (), parts[0]))

    async def go_on(number, turn, until):
        known = [part for part in context.streams[number] if part.events]
        alive = [node for node in stage.nodes if node not in gone]
        first = number % len(stage.nodes)
        others = [one for one in alive if one is not stage.nodes[first]]
        node = others[(first + turn) % len(others)]
        if not known:
            return
        lines = (f"Resumes: {known[0].request_id}", f"Last-Event-Id: {known[-1].events[-1]}")
        async with at_once:
            part = await send_stream(node, f"{number}-{turn}", lines, until)
        context.streams[number].append(part)

    gone = []
    at_once = asyncio.Semaphore(AT_ONCE)

    async def work():
        await asyncio.gather(*map(begin, range(count)))
        await asyncio.sleep(0.02)
        if "killed" in where:
            gone.extend(stage.nodes[2:] if "two of four" in where else stage.nodes[3:])
            for node in gone:
                await stage.relay.kill(node)
        if "no endpoint of v1" in where:
            await end_version(stage, "v1")
        for turn, until in enumerate([*parts[1:], None], start=1):
            await asyncio.gather(*(go_on(number, turn, until) for number in range(count)))
        for node in gone:
            stage.relay.others.remove(node)

    context.loop.run(work())


def versions_of(context, parts):
    """Return the versions whose endpoints ran a stream's parts that have events."""
    ids = {part.request_id for part in parts if part.events}
    servers = context.cut_stage.relay.servers
    return {server.version for server in servers if ids & set(server.runs)}


@then("no stream has events of two versions")
def no_mix(context):
    mixed = [
        number for number, parts in context.streams.items() if len(versions_of(context, parts)) > 1
    ]
    assert not mixed, f"{len(mixed)} of {len(context.streams)} streams: {mixed}"


@then("each has one head and each event once, and at least {percent:d} in 100 are whole")
def one_answer(context, percent):
    for number, (part,) in context.streams.items():
        assert part.raw.count(b"HTTP/1.1 ") == 1 and part.status == 200, (number, part.raw)
        assert part.events == list(range(1, len(part.events) + 1)), (number, part.raw)
        assert len(part.events) == STREAM_EVENTS if part.whole else len(part.events) >= 3
    count = sum(part.whole for (part,) in context.streams.values())
    assert count >= len(context.streams) * percent / 100, (count, len(context.streams))


def went_on(parts):
    events = list(itertools.chain.from_iterable(part.events for part in parts))
    return parts[-1].whole and events == list(range(1, STREAM_EVENTS + 1))


@then("at least {percent:d} in 100 of the streams went on, and each has each event once")
def share_went_on(context, percent):
    whole = [number for number, parts in context.streams.items() if went_on(parts)]
    assert len(whole) >= len(context.streams) * percent / 100, (len(whole), len(context.streams))
    for parts in context.streams.values():
        events = list(itertools.chain.from_iterable(part.events for part in parts))
        assert events == list(range(1, len(events) + 1)), events
        assert all(part.raw.count(b"HTTP/1.1 ") == 1 for part in parts)


@then("each other was refused as not run")
def others_refused(context):
    runs = set(context.relay.runs)
    for parts in context.streams.values():
        if not went_on(parts):
            refused = [part for part in parts if part.status in NOT_RUN]
            assert refused, [(part.status, part.events) for part in parts]
            assert not any(part.request_id in runs for part in refused)


@when("the first node loses its way to all endpoints in the midst of a stream of v1")
def way_lost_at_v1(context):
    stage = context.cut_stage
    first, *rest = stage.relay.servers
    first.script = ["stall after 3"]
    for server in rest:
        server.refuses_all = True

    async def work():
        port = stage.nodes[0].listeners["callers"].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        raw = b""
        for number in range(20):
            writer.write(request("resumable", number))
            raw = await asyncio.wait_for(reader.read(65536), 2.0)
            if raw.startswith(b"HTTP/1.1 200"):
                break
        while b"id: 3" not in raw:
            raw += await asyncio.wait_for(reader.read(65536), 2.0)
        for server in rest:
            server.refuses_all = False
        stage.cut(1, "refused")
        context.raw = raw + await read_raw(reader)
        writer.close()

    context.loop.run(work())


@then("no endpoint of v2 ran it")
def only_first_ran(context):
    first, *rest = context.cut_stage.relay.servers
    assert len(first.runs) == 2 and not any(server.runs for server in rest)


@when("{count:d} streams run and all endpoints but one end at once")
def endpoints_end(context, count):
    stage = context.cut_stage
    *ending, left = stage.relay.servers

    async def stream(number):
        context.streams[number].append(await send_stream(stage.nodes[number % 2], number))

    async def work():
        for server in ending:
            server.script = ["stall after 3"] * count
        tasks = [asyncio.ensure_future(stream(number)) for number in range(count)]
        await stage.relay.until(lambda: len(stage.relay.runs) == count)
        await asyncio.sleep(0.05)
        context.broken = sum(len(server.runs) for server in ending)
        for server in ending:
            server.end()
        await asyncio.gather(*tasks)

    context.loop.run(work())


@then("no node found itself isolated, and nothing was handed over")
def none_isolated(context):
    lines = [line for line in context.relay.log_lines if "handover_began" in line]
    assert not lines, lines[:2]
    assert not any("out of reach" in line for line in context.relay.log_lines)


@then("each stream that broke off is charged to an end of its endpoint")
def all_charged(context):
    failed = [line for line in context.relay.log_lines if "event=attempt_failed" in line]
    charged = [line for line in failed if "broken=True down=True" in line]
    assert context.broken and len(charged) == context.broken, (len(charged), context.broken)
