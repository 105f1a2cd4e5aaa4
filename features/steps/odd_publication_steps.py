import asyncio
import json
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
from loguru import logger
from returns.result import Failure
from returns.result import Success

from rookspring import platform_loops
from rookspring.exceptions import PlatformMissing
from rookspring.exceptions import PlatformUnreachable
from rookspring.logs import LoggedOnce
from rookspring.platform import Listing
from rookspring.platform import StoredObject
from rookspring.published import PublishedStore
from rookspring_core import defaults as core_defaults

HEAD = {"revision": 1, "epoch": 1, "shards": {"0": "shard-1"}}
INTENT = {"rows": [["load", "m", "1", 3.0]]}


class Objects:
    """A platform client with fixed objects."""

    def __init__(self, objects):
        self.objects = objects

    async def get(self, kind, name):
        """Read one object."""
        if name not in self.objects:
            return Failure(PlatformMissing(name))
        return Success(StoredObject(name, 4, self.objects[name]))

    async def list_kind(self, kind):
        """Read all objects."""
        rows = (StoredObject(name, 4, value) for name, value in self.objects.items())
        return Success(Listing(9, tuple(rows)))


def run_logged(context, work):
    context.lines = []
    sink = logger.add(context.lines.append, level="INFO", format="{message}")
    try:
        return asyncio.run(work)
    finally:
        logger.remove(sink)


@given("a store of the product whose intent of e1 has the value {value}")
def odd_intent(context, value):
    context.objects = {"e1": json.loads(value), "e2": INTENT}


@given("a store of the product whose {name} has the value {value}")
def odd_publication(context, name, value):
    context.objects = {"head": HEAD} | {name: json.loads(value)}


@when("the publication is read")
def publication_read(context):
    async def read():
        store = PublishedStore(Objects(context.objects))
        head = await store.read_head()
        if isinstance(head, Failure):
            return head
        return await store.read_revision(head.unwrap(), 0.0)

    context.answer = run_logged(context, read())


@then("the read fails, the platform does not count as unreachable, and a line names {name}")
def read_fails(context, name):
    assert isinstance(context.answer, Failure), context.answer
    assert not isinstance(context.answer.failure(), PlatformUnreachable)
    lines = [line for line in context.lines if "event=object_malformed " in line]
    assert len(lines) == 1 and f"name={name} " in lines[0] and len(lines[0]) < 400, lines


@given("the resources a and b, of which b becomes odd")
def resources(context):
    def resource(name, version, **spec):
        value = {"kind": "model", "name": name, "spec": spec}
        return StoredObject(name, version, value)

    async def take():
        known, logged = {}, LoggedOnce()
        rows = [resource("a", 1, x=1), resource("b", 2, x=1), resource("a", 3, x=2)]
        odd = [StoredObject("b", 4, value) for value in (7, [1], {"kind": "model"}, 7)]
        for row in [*rows, *odd, resource("a", 5, x=3)]:
            platform_loops._take_resource(known, row, logged)
        return known

    context.known = run_logged(context, take())


@then("a follows its changes, b stays as it was known, and b is logged once")
def resources_known(context):
    assert context.known["a"].spec == {"x": 3} and context.known["b"].spec == {"x": 1}
    lines = [line for line in context.lines if "event=object_malformed " in line]
    assert len(lines) == 1 and "name=b " in lines[0] and "spec" in lines[0], lines


@when("a lease holder reads the intents")
def intents_read(context):
    control = types.SimpleNamespace(acting_epoch=3)
    state = types.SimpleNamespace(control=control, platform_reachable=True)
    submitted = []
    node = types.SimpleNamespace(
        state=state, platform=Objects(context.objects), submit=submitted.append
    )
    slept = context.slept = []

    async def sleep(seconds):
        slept.append(seconds)

    with mock.patch.object(platform_loops.asyncio, "sleep", sleep):
        run_logged(context, platform_loops.read_intents(node, 3))
    context.submitted = submitted


@then("it waits for late orders, and then takes the intents that it can read")
def intents_taken(context):
    assert context.slept == [core_defaults.LATE_ORDER_BOUND_S], context.slept
    intents = [one.intents for one in context.submitted if hasattr(one, "intents")]
    assert intents == [(("e2", (("load", "m", "1", 3.0),)),)], intents
