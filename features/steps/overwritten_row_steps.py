import asyncio
from unittest import mock

import orjson
from behave import given
from behave import then
from behave import when
from odd_entry_steps import NODES
from odd_entry_steps import ROW
from odd_entry_steps import nest
from relay_fixture import RelayFixture

from rookspring import clock
from rookspring import defaults

OWN = (NODES, "n1")
VALUES = {
    "names another address": orjson.dumps(ROW),
    "is a number": b"7",
    "is nested 2,000 deep": nest(2000),
}


def find_row(stage):
    stored = stage.store.store.objects.get(OWN)
    return b"" if stored is None else stored.value


@given("a node that has written its row, and reads the nodes' rows each {seconds:g} s")
def has_row(context, seconds):
    shortened = mock.patch.object(defaults, "NODE_LIST_S", seconds)
    shortened.start()
    context.add_cleanup(shortened.stop)
    stage = context.relay = RelayFixture([[]])

    async def work():
        await stage.start()
        await stage.until(lambda: find_row(stage))

    context.loop.run(work())
    context.row = find_row(stage)


async def overwrite(stage, how):
    if how == "is gone":
        await stage.store.remove(*OWN)
    else:
        await stage.store.write_raw(*OWN, VALUES[how])


@when("its row {how}")
def overwritten(context, how):
    context.loop.run(overwrite(context.relay, how))


@when("it begins to leave, and its row is gone")
def leaves(context):
    context.relay.node.context.state.draining_since = clock.now()
    context.loop.run(overwrite(context.relay, "is gone"))


@then("its row has its address again within {seconds:g} s")
def written_again(context, seconds):
    stage = context.relay
    context.loop.run(stage.until(lambda: find_row(stage) == context.row, seconds))


@then("its row is not written once more")
def bounded(context):
    stage = context.relay
    first = stage.store.store.objects[OWN].version
    context.loop.run(asyncio.sleep(1.5))
    assert stage.store.store.objects[OWN].version == first, first


@then("its row is not there for {seconds:g} s")
def not_there(context, seconds):
    context.loop.run(asyncio.sleep(seconds))
    assert not find_row(context.relay), find_row(context.relay)
