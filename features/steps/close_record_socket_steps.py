import asyncio

import ports
from behave import given
from behave import then
from behave import when
from close_record_steps import read_outcomes
from relay_fixture import read_answer
from relay_fixture import request
from unread_answer_steps import start_patient_relay

from rookspring import clock
from rookspring_fakes.resets import close_connection
from rookspring_fakes.resets import reset_connection

SERVICE = "svc"
PEER_OFFSETS = (131, 132, 133)
TIMEOUT_S = 8
# How long the streams have been sent by then, in seconds.
BEGUN_S = 0.1
DROPS = {"closes": close_connection, "resets": reset_connection}


def note_writers(server):
    """Return the list of the connections on which requests run, which grows with them."""
    writers = []
    take_step = server._take_step

    async def noted(name, received, writer):
        writers.append(writer)
        await take_step(name, received, writer)

    server._take_step = noted
    return writers


async def add_linked(relay, number):
    first, other = (f"127.0.0.1:{relay.base + PEER_OFFSETS[one]}" for one in (0, number))
    name = f"n{number + 1}"
    node = await relay.add_node(name=name, peer_address=other, seeds=(first,))
    await relay.until(lambda: name in relay.node.context.state.membership.peers)
    await relay.until(lambda: node.context.state.membership.peers)
    return node


@given("two linked relay nodes, with one endpoint with models that does: {script}")
def linked_nodes(context, script):
    start_patient_relay(context, [script.split(", ")], TIMEOUT_S)
    relay = context.relay
    relay.base = ports.find_base()

    async def work():
        await relay.restart(peer_address=f"127.0.0.1:{relay.base + PEER_OFFSETS[0]}")
        context.second = await add_linked(relay, 1)

    context.loop.run(work())
    for node in (relay.node, context.second):
        for view in node.context.state.endpoints.values():
            view.role = "runner"
    context.writers = note_writers(relay.servers[0])


async def ask_at(node, number):
    port = node.listeners["callers"].port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request("stream", number))
        return await read_answer(reader)
    finally:
        writer.close()


async def ask_beside(context, nodes, stop):
    """Send a stream at each node, bring about what ends the first, and keep its answer."""
    relay = context.relay
    tasks = []
    for number, node in enumerate(nodes, 1):
        tasks.append(asyncio.ensure_future(ask_at(node, number)))
        await relay.until(lambda number=number: len(relay.runs) >= number)
    await asyncio.sleep(BEGUN_S)
    stop()
    context.answer = await tasks[0]
    for task in tasks[1:]:
        task.cancel()


def drop_all(context, drops):
    for writer in context.writers:
        DROPS[drops](writer.transport)


@when("it {drops:w} the streams that it sends to a caller of each, and lives on")
def drops_each(context, drops):
    nodes = [context.relay.node, context.second]
    context.loop.run(ask_beside(context, nodes, lambda: drop_all(context, drops)))


@when(
    "it closes the streams that it sends to a caller of the first node and two of the second, "
    "and lives on"
)
def closes_three(context):
    nodes = [context.relay.node, context.second, context.second]
    context.loop.run(ask_beside(context, nodes, lambda: drop_all(context, "closes")))


@when("it ends the first of the streams that it sends to a caller of each")
def ends_first(context):
    nodes = [context.relay.node, context.second]
    context.loop.run(ask_beside(context, nodes, context.relay.servers[0].stopping.set))


def find_records(node):
    return node.context.state.close_records


def doubts(node):
    return find_records(node).is_caught(SERVICE, clock.now())


@when("the first has found one end cut that had looked whole")
def first_found_cut(context):
    async def work():
        find_records(context.relay.node).note_outcome(SERVICE, False, clock.now())

    context.loop.run(work())


@then("the second doubts such ends of the service within {seconds:g} s")
def second_doubts(context, seconds):
    context.loop.run(context.relay.until(lambda: doubts(context.second), seconds))


@then("a node that starts then does within {seconds:g} s of its start")
def third_doubts(context, seconds):
    async def work():
        third = await add_linked(context.relay, 2)
        await context.relay.until(lambda: doubts(third), seconds)

    context.loop.run(work())


@given("of the service's ends that had looked whole {outcomes} are remembered")
def remembered(context, outcomes):
    counts = read_outcomes(outcomes)

    async def work():
        records = find_records(context.relay.node)
        for kind, number in counts.items():
            for _ in range(number):
                records.note_outcome(SERVICE, kind == "whole", clock.now())

    context.loop.run(work())


@then("it is remembered of {whole:d} that they were whole and of {cut:d} that they were cut")
def remembers(context, whole, cut):
    rows = find_records(context.relay.node).sum_counts((), clock.now())
    # They fade meanwhile.
    found = [(row.service, round(row.whole), round(row.cut)) for row in rows]
    assert found == [(SERVICE, whole, cut)], found
