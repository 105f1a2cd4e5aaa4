import asyncio
import collections
import time
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import read_answer
from relay_fixture import request
from still_transport import StillTransport

from rookspring import clock
from rookspring import relay_orders
from rookspring import relay_processes
from rookspring import relay_run_copies
from rookspring.http_client import ClientConnection
from rookspring_core.effects import FreeCopy
from rookspring_core.effects import ReadReport
from rookspring_core.effects import SendOrder
from rookspring_fakes.model_steps import send
from rookspring_fakes.model_steps import step

# Greater than the versions that other steps write.
VERSION = 50
# How long requests have that are refused about their end, in seconds.
TIME_S = 0.06
ATTEMPTS = 3
# For how long a copy of a run may be asked for, in seconds.
COPY_S = 5.0
MODEL_ROW = {"weights-mb": 60_000, "load-time-s": 6, "adapters": 0, "adapter-size-mb": 12}


@given("its routes allow {attempts:d} attempts, and it asks for no rest")
def routes_allow(context, attempts):
    relay = context.relay
    raw = configuration(VERSION)
    for route in raw["routes"]:
        route["max-attempts"] = attempts

    async def work():
        await relay.store.write("config", "main", raw)
        await relay.until(lambda: relay.node.context.state.revision == VERSION)

    context.loop.run(work())
    for server in relay.servers:
        server.extra_header_lines.append("Retry-After: 0")


@when("a caller sends an unsafe request that is refused, and sends it again")
def send_again(context):
    refused = context.loop.run(context.relay.ask(request("unsafe")))
    assert refused.status == 503, refused.status
    context.answer = context.loop.run(context.relay.ask(request("unsafe")))


async def order(context):
    """Order a load, and return how the log has its answer."""
    relay = context.relay
    number = len(list_lines(context, "order_answered"))
    address = relay.servers[0].address
    effect = SendOrder("i0", address, (1, relay.servers[0].accepted_orders), "load", "m")
    relay_orders.send_order(relay.node.context, effect)
    await relay.until(lambda: len(list_lines(context, "order_answered")) > number)
    return list_lines(context, "order_answered")[-1]


async def read_report(context):
    """Read the endpoint's report, and return the failures that the log has."""
    relay = context.relay
    reports = relay.servers[0].reports
    relay_orders.read_report(relay.node.context, ReadReport("i0", 0.0))
    await relay.until(lambda: relay.servers[0].reports > reports)
    await asyncio.sleep(0.05)
    return list_lines(context, "report_failed")


def list_lines(context, event):
    return [line for line in context.relay.log_lines if f"event={event} " in line]


async def get_two_answers(context, call):
    """Make a call whose answer its endpoint will send once more on the same connection."""
    server = context.relay.servers[0]
    if call == "a request":
        server.script = ["answer twice"]
        await context.relay.ask(request("unsafe"))
    elif call == "an order":
        server.order_script = ["take twice"]
        assert "taken=True" in await order(context)
    else:
        server.calls_twice = True
        await CALLS[call](context)
        server.calls_twice = False


async def check_process(context, role="runner"):
    """Have the node ask which process listens, as an answer ended with its connection."""
    server = context.relay.servers[0]
    context.relay.node.context.state.endpoints["i0"].role = role
    server.script = ["unframed"]
    assert (await context.relay.ask(request("unsafe"))).whole


async def check_health(context):
    await check_process(context, "service")
    assert context.relay.servers[0].checks


async def ask_report(context):
    assert not await read_report(context)


async def copy_run(context, run="run-1"):
    """Have a run copied, and return what the node takes for its copy's name."""
    server = context.relay.servers[0]
    server.copies.known = True
    server.copies.made[run] = 1
    exchange = SimpleNamespace(
        fields=SimpleNamespace(request_id=run), deadline_at=clock.now() + COPY_S
    )
    node = context.relay.node.context
    return (await relay_run_copies._ask(node, exchange, server.address, server.address, False)).name


async def free_copy(context):
    context.relay.servers[0].copies.known = True
    relay_run_copies.free_copy(
        context.relay.node.context, FreeCopy("i0", f"{context.relay.servers[0].address}/h9")
    )
    await context.relay.until(lambda: list_lines(context, "run_copy_freed"))


CALLS = {
    "a report": ask_report,
    "a process check": check_process,
    "a health check": check_health,
    "a copy of a run": copy_run,
    "the freeing of a copy": free_copy,
}


@when("the endpoint answers {call} twice, and then is asked for a copy of another run")
def ask_for_copy(context, call):
    async def work():
        await get_two_answers(context, call)
        context.copied = await copy_run(context, "run-2")

    context.loop.run(work())


@then("the node names the copy of that run")
def names_copy(context):
    server = context.relay.servers[0]
    expected = f"{server.address}/{server.copies._handles['run-2']}"
    assert context.copied == expected, (context.copied, expected)


@when("the endpoint answers {call} twice, and then is asked which process listens")
def ask_which_process(context, call):
    async def work():
        await get_two_answers(context, call)
        node = context.relay.node.context
        context.found = await relay_processes._find(node, node.state.endpoints["i0"], "/healthz")

    context.loop.run(work())


@then("the node finds that process")
def finds_process(context):
    assert context.found == relay_processes.Finding(relay_processes.Found.NAMED), context.found


@when("the endpoint answers {call} twice, and then refuses an order with 409")
def refuse_order(context, call):
    async def work():
        await get_two_answers(context, call)
        context.relay.servers[0].order_script = ["409"]
        context.ordered = await order(context)

    context.loop.run(work())


@then("the order is known as refused")
def order_refused(context):
    assert "taken=False reason=409" in context.ordered, context.ordered


@when("the endpoint answers {call} twice, and then is asked for its report")
def ask_for_report(context, call):
    async def work():
        await get_two_answers(context, call)
        context.relay.servers[0].accepted_orders += 1
        context.failed_reads = await read_report(context)

    context.loop.run(work())


@then("its report is read")
def report_read(context):
    assert not context.failed_reads, context.failed_reads
    report = context.relay.node.context.state.endpoints["i0"].report
    assert report.order_token == (0, context.relay.servers[0].accepted_orders), report


@then("the log has one skipped answer, while the node waited for {asked}")
def skipped_answer(context, asked):
    skipped = list_lines(context, "answer_skipped")
    assert len(skipped) == 1, skipped
    assert f"endpoint=i0 asked={asked} status=200" in skipped[0], skipped


@given("a relay node with one endpoint with the models m1 and m2 that does: {script}")
def with_two_models(context, script):
    context.relay = RelayFixture([script.split(", ")])
    (server,) = context.relay.servers
    server.models = {"m1": [], "m2": []}
    raw = configuration(VERSION)
    raw["services"][0]["engine"] = {
        "weights-mb": 200_000,
        "max-adapters": 8,
        "loads-per-s": 1.0,
        "models": [MODEL_ROW | {"name": name} for name in server.models],
    }

    async def work():
        await context.relay.start()
        await context.relay.store.write("config", "main", raw)
        state = context.relay.node.context.state
        await context.relay.until(lambda: state.revision == VERSION)
        await context.relay.until(lambda: state.endpoints["i0"].targets() == {"m1", "m2"})

    context.loop.run(work())


def ask_for(context, model, number):
    headers = (f"X-Rookspring-Model: {model}",)
    return context.loop.run(context.relay.ask(request("unsafe", number, headers=headers)))


@when("a caller sends an unsafe request for m1, and then one for m2")
def ask_for_both(context):
    context.answers = [ask_for(context, "m1", 1), ask_for(context, "m2", 2)]


@then("the first is refused, and the second is answered")
def first_refused(context):
    statuses = [one.status for one in context.answers]
    assert statuses == [503, 200], statuses


@then("the endpoint is known to hold m2, and not m1")
def holds_second(context):
    view = context.relay.node.context.state.endpoints["i0"]
    assert view.targets() == {"m2"}, view.targets()


@given("its refusals ask for a rest of {seconds:g} s")
def asks_for_rest(context, seconds):
    context.rest_s = seconds
    context.relay.servers[0].extra_header_lines.append(f"Retry-After: {seconds:g}")


@when("a caller sends a {kind} request, another one after that rest, and a third one at once")
def ask_after_rest(context, kind):
    async def work():
        first = await context.relay.ask(request(kind, 1))
        await asyncio.sleep(context.rest_s + 0.1)
        began = time.monotonic()
        others = [await context.relay.ask(request(kind, number)) for number in (2, 3)]
        context.took_s = time.monotonic() - began
        context.answers = [first, *others]

    context.loop.run(work())


@then("the first is refused, and the others are answered within {seconds:g} s")
def others_answered(context, seconds):
    statuses = [one.status for one in context.answers]
    assert statuses == [503, 200, 200], statuses
    assert context.took_s < seconds, context.took_s


@step("refuse when told")
async def _refuse_when_told(server, asked, writer):
    await asyncio.sleep(max(0.0, server.refuses_at - time.monotonic()))
    headers = {"X-Rookspring-Request-Id": asked.request_id, "X-Rookspring-Not-Executed": "1"}
    send(server, writer, 503, b"", headers)


@when(
    "{kind} requests are refused from {before:d} ms before to {after:d} ms after {end}, 1 ms apart"
)
def refused_about_end(context, kind, before, after, end):
    relay = context.relay
    server = relay.servers[0]
    context.offsets_ms = {}

    async def ask(number, offset_ms):
        server.script = ["refuse when told"] * ATTEMPTS
        context.offsets_ms[f"q{number}"] = offset_ms
        ends_at = time.monotonic() + TIME_S
        server.refuses_at = ends_at + offset_ms / 1000.0
        reader, writer = await relay.connect()
        leaves = end == "their callers leave"
        writer.write(request(kind, number, deadline_ms=None if leaves else round(TIME_S * 1000)))
        if leaves:
            await asyncio.sleep(ends_at - time.monotonic())
        else:
            await read_answer(reader)
        writer.close()
        await asyncio.sleep(0.05)

    async def work():
        for number, offset_ms in enumerate(range(-before, after + 1)):
            await ask(number, offset_ms)

    context.loop.run(work())


@then("those that had ended {least:d} ms before their refusal were sent once")
def sent_once(context, least):
    sends = collections.Counter(one.request_id for one in context.relay.asked)
    ended = [one for one, offset_ms in context.offsets_ms.items() if offset_ms >= least]
    assert ended and all(sends[one] == 1 for one in ended), sends
    assert not context.relay.runs, context.relay.runs


@then("nothing is left of them at the node")
def nothing_left(context):
    state = context.relay.node.context.state
    assert not state.requests and not context.relay.node.context.exchanges
    assert state.endpoints["i0"].load(clock.now()) == 0.0


@then("the next request is answered")
def next_answered(context):
    context.relay.servers[0].script = []
    answer = context.loop.run(context.relay.ask(request("unsafe", "next")))
    assert answer.status == 200 and answer.body == b"answer to qnext", vars(answer)


@then("the endpoint was connected to {number:d} times")
def connected_times(context, number):
    (server,) = context.relay.servers
    assert server.connections == number, server.connections


@given("a connection to an endpoint")
def connection_to_endpoint(context):
    context.client = ClientConnection()
    context.transport = StillTransport(context.client)


@when("{number:d} requests are sent on it and answered, one after another")
def send_and_answer(context, number):
    for one in range(number):
        reply = context.client.send_request(
            b"GET / HTTP/1.1\r\n\r\n", lambda head: True, lambda head: None, False, f"q{one}"
        )
        context.transport.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert reply.complete, reply.failure
    context.last = number - 1


@then("it knows the first and the last of them, and no other")
def knows_requests(context):
    client = context.client
    assert client.has_carried("q0") and client.has_carried(f"q{context.last}")
    others = (f"q{context.last + 1}", "", None)
    assert not any(client.has_carried(one) for one in others)


@then("it is left {state}")
def connection_state(context, state):
    assert context.transport.closed == (state == "closed")


@given("it keeps idle connections open for {seconds:d} s")
def keeps_open(context, seconds):
    context.relay.servers[0].extra_header_lines.append(f"Keep-Alive: timeout={seconds}")


@when("it is asked for its report {times:d} times")
def ask_for_reports(context, times):
    async def work():
        for _ in range(times):
            assert not await read_report(context)

    context.loop.run(work())


@then("at most {number:d} of the node's connections to it is open")
def open_at_most(context, number):
    server = context.relay.servers[0]
    kept = context.relay.node.context.pool._kept.get(server.address, [])
    assert len(kept) <= number, kept
