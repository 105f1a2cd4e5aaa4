import asyncio

from behave import then
from behave import when
from relay_fixture import request

from rookspring import clock
from rookspring import relay_orders
from rookspring_core.effects import ReadReport
from rookspring_core.effects import SendOrder
from rookspring_fakes import ModelServer


@when("the endpoint's answers say {line}")
def answers_say(context, line):
    context.relay.servers[0].extra_header_lines.append(line)


@then("the log tells of the endpoint: {told}")
def log_tells(context, told):
    context.loop.run(asyncio.sleep(0.05))
    lines = [line for line in context.relay.log_lines if "event=endpoint_said" in line]
    if told == "nothing":
        assert not lines, lines
        return
    assert lines and all(part in lines[0] for part in told.split(" ", 1)), (told, lines)


@when("another endpoint joins")
def another_joins(context):
    relay = context.relay
    other = ModelServer("i1")
    relay.servers.append(other)

    async def work():
        await other.start()
        await relay.store.write("servers", other.name, other.entry("svc"))
        await relay.until(lambda: other.name in relay.node.context.state.endpoints)

    context.loop.run(work())


@then("the first endpoint got {number:d} in all")
def first_got(context, number):
    asked = context.relay.servers[0].received
    assert len(asked) == number, [one.request_id for one in asked]


@then("each is refused at once as not run, with a retry time")
def each_refused(context):
    for answer in context.answers:
        assert answer.status == 503, answer.status
        assert float(answer.headers["retry-after"]) > 0.0, answer.headers
    assert context.took_s < 1.0, context.took_s


@then("the other endpoint answers each")
def other_answers(context):
    assert [answer.status for answer in context.answers] == [200] * 6
    assert len(context.relay.servers[1].received) == 6


# Calls to an endpoint other than the ones for whole requests.


@when("the endpoint gets {call}")
def gets_call(context, call):
    relay = context.relay
    node = relay.node
    server = relay.servers[0]
    if call.endswith("it refuses"):
        server.refuses_all = True

    async def work():
        if "report" in call:
            relay_orders.read_report(node.context, ReadReport("i0", 0.0))
        elif "order" in call:
            order = SendOrder("i0", server.address, (1, 0), "load", "m")
            relay_orders.send_order(node.context, order)
        else:
            reader, writer = await relay.connect()
            writer.write(request("stream"))
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        await asyncio.sleep(0.2)

    context.loop.run(work())


@when("the endpoint's report contains the state {state}")
def report_contains(context, state):
    context.relay.servers[0].state = state


@then("the node knows that the endpoint {state}")
def node_knows(context, state):
    view = context.relay.node.context.state.endpoints["i0"]
    found = {"leaves": view.leaving, "is in back-off": view.in_backoff(clock.now())}
    assert found[state], found


@then("neither was sent to the endpoint")
def got_no_call(context):
    server = context.relay.servers[0]
    assert not server.reports and not server.orders, (server.reports, server.orders)


@when("a request waits for its connection, and a response with {line} arrives meanwhile")
def waits_for_connection(context, line):
    relay = context.relay
    pool = relay.node.context.pool
    acquire = pool.acquire
    going = asyncio.Event()
    held = []

    async def slow_acquire(address, *args):
        if held:
            return await acquire(address, *args)
        held.append(address)
        await going.wait()
        return await acquire(address, *args)

    async def work():
        pool.acquire = slow_acquire
        waiting = asyncio.ensure_future(relay.ask(request("unsafe", 1)))
        await relay.until(lambda: held)
        relay.servers[0].extra_header_lines.append(line)
        if line.startswith("Retry"):
            relay.servers[0].script.pop(0)
        await relay.ask(request("unsafe", 2))
        going.set()
        return await waiting

    context.answer = context.loop.run(work())


@then("that request is refused without having been sent")
def not_sent(context):
    assert [one.request_id for one in context.relay.asked] == ["q2"], context.relay.asked
    assert context.answer.status == 503
    assert float(context.answer.headers["retry-after"]) > 0.0
