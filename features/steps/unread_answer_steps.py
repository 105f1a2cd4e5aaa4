import asyncio
import threading
import time

from behave import given
from relay_fixture import RelayFixture
from relay_fixture import configuration

from rookspring_fakes import ModelServer


class FarServer(ModelServer):
    """An endpoint that runs on while the node's event loop stands still."""

    def __init__(self, name, script):
        super().__init__(name, script)
        self.stand_still = lambda: None
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    async def _run(self, work):
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self._loop))

    async def start(self, port=0):
        await self._run(super().start(port))

    async def close(self):
        await self._run(super().close())
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _take_step(self, name, request, writer):
        self.stand_still()
        await asyncio.sleep(0.1)
        await super()._take_step(name, request, writer)


def start_patient_relay(context, scripts, seconds):
    """Start a relay node whose routes have a longer timeout than those of other features."""
    start_changed_relay(context, RelayFixture(scripts), seconds)


def start_changed_relay(context, relay, seconds):
    context.relay = context.loop.run(relay.start())
    changed = configuration(6)
    for route in changed["routes"]:
        route["timeout-ms"] = seconds * 1000

    async def change():
        await context.relay.store.write("config", "main", changed)
        state = context.relay.node.context.state
        await context.relay.until(lambda: state.table.version == 6)

    context.loop.run(change())


@given("a relay node whose routes take up to {seconds:d} s, with two endpoints that do: {script}")
def two_patient_endpoints(context, seconds, script):
    steps = script.split(", ")
    start_patient_relay(context, [steps, steps], seconds)
    first, second = context.relay.servers
    second.script = first.script


@given(
    "a relay node whose routes take up to {seconds:d} s, with an endpoint of its own loop that "
    "does: {script}"
)
def one_far_endpoint(context, seconds, script):
    relay = RelayFixture([])
    relay.servers = [FarServer("i0", script.split(", "))]
    start_changed_relay(context, relay, seconds)


@given("the node stands still for {seconds:f} s from when a request reaches the endpoint")
def stands_still(context, seconds):
    stands_still_later(context, seconds, 0.0)


@given(
    "the node stands still for {seconds:f} s from {later:f} s after a request reaches the endpoint"
)
def stands_still_later(context, seconds, later):
    loop = context.loop.loop
    (server,) = context.relay.servers
    server.stand_still = lambda: loop.call_soon_threadsafe(
        loop.call_later, later, time.sleep, seconds
    )
