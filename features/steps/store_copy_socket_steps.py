"""A node on loopback sockets, with a store that is restored from an older copy."""

import asyncio

from aiohttp import web
from behave import given
from behave import then
from behave import when
from relay_fixture import configuration
from returns.result import Failure

from rookspring.exceptions import PlatformUnreachable
from rookspring_platform import store as store_module

SERVICE = "svc"
WAIT_S = 1.5


def era_of(context):
    return context.relay.node.context.state.store_era


@when("the store's response contains the era {listed}")
def response_with_era(context, listed):
    stage = context.relay
    values = [] if listed == "nothing" else listed.split(" and ")
    era = stage.store.store

    async def answer(request):
        response = web.json_response({"items": [], "truncated": False, "as-of": era.version})
        for value in values:
            response.headers.add("Store-Era", value)
        return response

    async def work():
        app = web.Application()
        app.router.add_get("/objects/{kind}", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        stage.log_lines.clear()
        client = store_module.ObjectStore(f"objects://{host}:{port}", lambda method, end: None)
        client.record_era = stage.node.context.platform.record_era
        context.answer = await client.list_kind("any")
        context.lines = list(stage.log_lines)
        await client.close()
        await runner.cleanup()

    context.loop.run(work())


@then("the node knows era {era:d}, and logs {event}")
def knows_era(context, era, event):
    assert era_of(context) == era, era_of(context)
    logged = {
        text.partition("event=")[2].split()[0] for text in context.lines if "store_era" in text
    }
    assert logged == (set() if event == "nothing" else {event}), logged


@given("the store is copied, and {lost:d} revisions of others and one of the endpoint follow")
def copied(context, lost):
    stage = context.relay

    async def work():
        context.copy = stage.store.store.copy()
        for _ in range(lost):
            await stage.store.write("others", "one", {})
        server = stage.servers[0]
        await stage.store.write("servers", server.name, server.entry(SERVICE, slots=9))
        views = stage.node.context.state.endpoints
        await stage.until(lambda: views[server.name].report.slots == 9)

    context.loop.run(work())


async def restore(context, copy, down_s):
    stage = context.relay
    stage.store.faults.outage = down_s > 0
    await asyncio.sleep(down_s)
    await stage.store.restore(copy)
    stage.store.faults.outage = False


@when(
    "the store is restored from the copy after {down_s:g} s of downtime,"
    " and the endpoint's entry shows that it leaves"
)
def restored_and_leaves(context, down_s):
    stage = context.relay
    server = stage.servers[0]

    async def work():
        await restore(context, context.copy, down_s)
        entry = server.entry(SERVICE, state="draining", slots=9)
        await stage.store.write("servers", server.name, entry)

    context.loop.run(work())


@when(
    "the store is restored from the copy, another node announces it at once, and the endpoint"
    " leaves"
)
def restored_between_watches(context):
    stage = context.relay
    server = stage.servers[0]

    async def work():
        # The node collects further changes before it watches again.
        stage.store.store.restore(context.copy)
        stage.node.context.eras.note_era(stage.store.store.era, "another")
        entry = server.entry(SERVICE, state="draining", slots=9)
        await stage.store.write("servers", server.name, entry)

    context.loop.run(work())


@then("the node knows within {seconds:g} s that it leaves")
def knows_leaving(context, seconds):
    stage = context.relay
    view = stage.node.context.state.endpoints[stage.servers[0].name]
    context.loop.run(stage.until(lambda: view.leaving, seconds))


@given("it holds the lease, and the store is copied before that")
def holds(context):
    stage = context.relay
    lease = stage.node.context.state.control.lease

    async def work():
        context.copy = stage.store.store.copy()
        rows = {
            key: row for key, row in context.copy.objects.items() if key[0] != "rookspring-nodes"
        }
        context.copy_without_rows = context.copy._replace(objects=rows)
        await stage.until(lambda: lease.own_epoch > 0)
        context.epoch = lease.own_epoch
        await asyncio.sleep(0.2)

    context.loop.run(work())


@when("the store is restored from the copy after {down_s:g} s of downtime")
def restored(context, down_s):
    context.loop.run(restore(context, context.copy, down_s))


@when(
    "the store is restored from a copy from before the node's start after {down_s:g} s of downtime"
)
def restored_without_rows(context, down_s):
    context.loop.run(restore(context, context.copy_without_rows, down_s))


@then("the node holds the lease in the same epoch, in an object of era {era:d}")
def holds_same_epoch(context, era):
    stage = context.relay
    control = stage.node.context.state.control

    async def work():
        objects = stage.store.store.objects
        await stage.until(lambda: ("rookspring-lease", f"control-{era}") in objects, WAIT_S)
        now = stage.node.context.now()
        assert control.holding(now) and control.acting_epoch == context.epoch

    context.loop.run(work())


@then("the store has the node's row within {seconds:g} s")
def has_row(context, seconds):
    stage = context.relay
    objects = stage.store.store.objects
    context.loop.run(stage.until(lambda: ("rookspring-nodes", "n1") in objects, seconds))


@when("the store is restored from a current copy, and only another node announces the era")
def announced_by_node(context):
    stage = context.relay

    async def work():
        calls = stage.store.store.calls
        context.listed = calls.get("list", 0)
        stage.store.names_era = False
        stage.store.store.restore(stage.store.store.copy())
        stage.node.context.eras.note_era(1, "another")

    context.loop.run(work())


@then("the node has listed endpoints and configuration again within {seconds:g} s")
def listed_again(context, seconds):
    stage = context.relay
    calls = stage.store.store.calls
    context.loop.run(stage.until(lambda: calls["list"] >= context.listed + 2, seconds))


@when("the node knows era {known:d}, and the store responds in era {named:d}")
def responds_in_earlier_era(context, known, named):
    stage = context.relay

    async def work():
        stage.node.context.eras.note_era(known, "another")
        stage.store.store.era = named
        context.answer = await stage.node.context.platform.list_kind("any")

    context.loop.run(work())


@then("its calls fail as unreachable")
def unreachable(context):
    assert isinstance(context.answer, Failure)
    assert isinstance(context.answer.failure(), PlatformUnreachable)


@given(
    "a configuration of version {version:d} is in force, and the store was copied just before it"
)
def in_force(context, version):
    stage = context.relay

    async def work():
        context.copy = stage.store.store.copy()
        await stage.store.write("config", "main", configuration(version))
        context.revision = stage.store.store.version
        state = stage.node.context.state
        await stage.until(lambda: state.revision == version)

    context.loop.run(work())


@when(
    "the store is restored from the copy, and version {version:d} is written with the same revision"
)
def written_with_same_revision(context, version):
    stage = context.relay

    async def work():
        # Before the node can write anything.
        stage.store.store.restore(context.copy)
        await stage.store.write("config", "main", configuration(version))
        assert stage.store.store.objects[("config", "main")].version == context.revision

    context.loop.run(work())


@then("version {version:d} is in force within {seconds:g} s")
def version_in_force(context, version, seconds):
    state = context.relay.node.context.state
    context.loop.run(context.relay.until(lambda: state.revision == version, seconds))


@given("the lease of the era before contains a verdict")
def contains_verdict(context):
    stage = context.relay
    lease = {"holder": "n9", "epoch": 3, "nonce": "x", "verdicts": [["f", "", 500.0]]}

    async def work():
        await stage.store.write("rookspring-lease", "control", lease)
        context.copy = stage.store.store.copy()

    context.loop.run(work())


@when("the node is killed, and another starts in its place after the store was restored")
def killed_and_restored(context):
    stage = context.relay

    async def work():
        await stage.store.restore(context.copy)
        context.started_at = stage.node.context.now()
        await stage.restart()

    context.loop.run(work())


@then("the new node knows the verdict within {seconds:g} s")
def knows_verdict(context, seconds):
    node = context.relay.node.context
    suspects = node.state.suspects
    known = context.relay.until(lambda: suspects.verdict("f", node.now()) is not None, seconds)
    context.loop.run(known)


@then("it does not hold the lease before a whole term has passed")
def waits_a_term(context):
    stage = context.relay
    node = stage.node.context
    lease = node.state.control.lease

    async def work():
        await stage.until(lambda: lease.own_epoch > 0, 7.0)
        assert node.now() - context.started_at >= lease.terms.ttl_s

    context.loop.run(work())
