from behave import given
from relay_fixture import RelayFixture
from relay_fixture import configuration


def start_patient_relay(context, scripts, seconds):
    """Start a relay node whose routes have a longer timeout than those of other features."""
    context.relay = context.loop.run(RelayFixture(scripts).start())
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
