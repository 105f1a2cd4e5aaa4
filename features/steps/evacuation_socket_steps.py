"""A relay node between sockets, and a store in which data centres are evacuated."""

import asyncio
import time

import ports
from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import request

from rookspring import defaults
from rookspring_core import notice_handlers

KIND = "evacuations"
BOUND_S = 5.0
# Requests that are sent at once to find out where they go; an endpoint has eight slots, so that one
# alone can run all.
REQUESTS = 6
# Pause before the next ones, in seconds.
PAUSE_S = 0.05
# Longer than any scenario, in seconds.
UNANSWERED_S = 60.0
ZONES = ("z1", "z2")


class EvacuationFixture(RelayFixture):
    """A relay node with one endpoint in each of two data centres."""

    def __init__(self, bound_s=BOUND_S):
        super().__init__([[], []])
        self.settings_changed = {"evacuation_s": bound_s}
        self.numbers = iter(range(1, 100_000))
        self.calls = set()
        answer = self.store._guard

        async def count(req, handler):
            self.calls.add(req.match_info.get("kind"))
            return await answer(req, handler)

        self.store._guard = count
        for server, zone in zip(self.servers, ZONES, strict=True):
            entry = server.entry
            server.entry = lambda *args, entry=entry, zone=zone, **fields: (
                entry(*args, **fields) | {"zone": zone}
            )

    def server(self, zone):
        return self.servers[ZONES.index(zone)]

    async def place(self):
        """Send some requests; return their statuses, and the data centres that got them."""
        before = [len(server.received) for server in self.servers]
        for server in self.servers:
            server.script[:] = ["answer late"] * REQUESTS
        calls = [self.ask(request("unsafe", next(self.numbers))) for _ in range(REQUESTS)]
        statuses = {answer.status for answer in await asyncio.gather(*calls)}
        pairs = zip(ZONES, self.servers, before, strict=True)
        return statuses, {zone for zone, server, had in pairs if len(server.received) > had}

    async def until_placed(self, statuses, zones, limit_s):
        end = time.monotonic() + limit_s
        while (found := await self.place()) != (statuses, zones):
            assert time.monotonic() < end, found
            await asyncio.sleep(PAUSE_S)


def start(context, bound_s=BOUND_S):
    context.relay = context.loop.run(EvacuationFixture(bound_s).start())


@given("a relay node with endpoints in the data centres z1 and z2")
def two_data_centres(context):
    start(context)
    found = context.loop.run(context.relay.place())
    assert found == ({200}, {"z1", "z2"}), found


@given("a relay node whose settings state a bound of {bound_s:g} s for evacuations")
def node_with_bound(context, bound_s):
    start(context, bound_s)


@given("a copy of the store is made")
def copy_store(context):
    context.copy = context.relay.store.store.copy()


@when("the data centre {zone} is evacuated")
def evacuate(context, zone):
    context.loop.run(context.relay.store.write(KIND, zone, {}))


@when("the evacuation of {zone} is taken back")
def take_back(context, zone):
    context.loop.run(context.relay.store.remove(KIND, zone))


@when("the store is restored from that copy")
def restore(context):
    relay = context.relay

    async def work():
        await relay.until(lambda: "z1" in relay.node.context.state.evacuations.in_force)
        await relay.store.restore(context.copy)

    context.loop.run(work())


@when("the node starts anew")
def restart(context):
    context.loop.run(context.relay.restart())


@when("the node loses its calls to the store for {seconds:g} s")
def lose_calls(context, seconds):
    faults = context.relay.store.faults

    async def work():
        faults.outage = True
        await asyncio.sleep(seconds)
        faults.outage = False

    context.loop.run(work())


@when("the store forgets its history")
def forget_history(context):
    store = context.relay.store.store
    store.version += 1
    store._compacted = store.version


@when("the settings state a bound of {bound_s:g} s instead")
def state_bound(context, bound_s):
    node = context.relay.node
    changed = context.relay.settings._replace(evacuation_s=bound_s)

    async def work():
        node.reload(lambda: changed)

    context.loop.run(work())


@when("a request runs in z1, and the data centre z1 is evacuated meanwhile")
def request_runs(context):
    relay = context.relay
    for server in relay.servers:
        server.script[:] = ["answer late"]

    async def work():
        before = len(relay.asked)
        calls = (relay.ask(request("unsafe", next(relay.numbers))) for _ in range(2))
        running = [asyncio.ensure_future(call) for call in calls]
        await relay.until(lambda: len(relay.asked) == before + 2)
        await relay.store.write(KIND, "z1", {})
        context.answers = await asyncio.gather(*running)

    context.loop.run(work())


@then("it is answered")
def is_answered(context):
    assert [answer.status for answer in context.answers] == [200, 200]


@then("within {seconds:g} s no request goes to z1, and all are answered")
def none_to_z1(context, seconds):
    context.loop.run(context.relay.until_placed({200}, {"z2"}, seconds))


@then("for {seconds:g} s no request goes to z1, and all are answered")
def none_for(context, seconds):
    async def work():
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await context.relay.place()
            assert found == ({200}, {"z2"}), found
            await asyncio.sleep(PAUSE_S)

    context.loop.run(work())


@then("within {seconds:g} s requests go to z1 again")
def again_to_z1(context, seconds):
    context.loop.run(context.relay.until_placed({200}, {"z1", "z2"}, seconds))


@then("within {seconds:g} s each request is refused as not run")
def each_refused(context, seconds):
    context.loop.run(context.relay.until_placed({503}, set(), seconds))


@given("a second node that the store doesn't answer")
def second_node(context):
    relay = context.relay
    base = ports.find_base()

    async def refuse(*args):
        await asyncio.sleep(UNANSWERED_S)

    async def work():
        # The first node is restarted at a fixed address, which the second gets as its seed.
        first, second = (f"127.0.0.1:{base + offset}" for offset in ports.OFFSETS[-2:])
        await relay.restart(peer_address=first)
        context.second = await relay.add_node(name="n2", peer_address=second, seeds=(first,))
        context.second.context.platform.list_kind = refuse
        context.second.context.platform.watch = refuse
        await relay.until(lambda: "n2" in relay.node.context.state.membership.peers)
        # A watch that has begun before ends.
        await asyncio.sleep(defaults.EVACUATION_WATCH_S)

    context.loop.run(work())


def withheld(context):
    name = context.relay.server("z1").name
    return notice_handlers.find_withheld(context.second.context.state, name)


@then("within {seconds:g} s the second node sends nothing to z1")
def second_withholds(context, seconds):
    context.loop.run(context.relay.until(lambda: withheld(context), seconds))


@then("within {seconds:g} s the second node may send to z1")
def second_may_send(context, seconds):
    context.loop.run(context.relay.until(lambda: not withheld(context), seconds))


@then("it {calls} the store for evacuations")
def calls_store(context, calls):
    context.loop.run(asyncio.sleep(0.5))
    assert (KIND in context.relay.calls) == (calls == "calls"), context.relay.calls


@then("within {seconds:g} s the metric of evacuated data centres is {number:d}")
def metric_is(context, seconds, number):
    relay = context.relay

    async def work():
        await relay.until(lambda: relay.node.context.state.evacuations.in_force, seconds)
        answer = await relay.ask(b"GET /metrics HTTP/1.1\r\nHost: n1\r\n\r\n", "metrics")
        rows = [row for row in answer.body.decode().splitlines() if "evacuated" in row]
        assert any(row.startswith("rookspring_") and row.endswith(f" {number}") for row in rows), (
            rows
        )

    context.loop.run(work())


@then("one line of the log tells that z1 is evacuated")
def line_tells(context):
    lines = [one for one in context.relay.log_lines if "event=evacuations_changed" in one]
    assert len(lines) == 1 and "in_force=z1" in lines[0], lines
