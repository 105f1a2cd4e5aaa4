import asyncio
import time

import ports
from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import configuration
from relay_fixture import read_answer
from relay_fixture import request

from rookspring import clock
from rookspring.exceptions import SettingsError
from rookspring.platform import StoredObject
from rookspring_fakes.model_server import STREAM_EVENTS

SAFE_HEADERS = {"host", "x-rookspring-request-id", "content-length"}


def start_relay(context, scripts, version=5):
    context.relay = context.loop.run(RelayFixture(scripts).start(version))


@given("a relay node with two endpoints that do: {script}")
def two_endpoints(context, script):
    # Both endpoints share one script: whichever gets a request takes its next step.
    steps = script.split(", ")
    start_relay(context, [steps, steps])
    first, second = context.relay.servers
    second.script = first.script


@given("a relay node with one endpoint that does: {script}")
def one_endpoint(context, script):
    start_relay(context, [script.split(", ")])


@given("a relay node without a configuration")
def no_configuration(context):
    start_relay(context, [[]], version=0)


@when("a caller sends a {kind} request")
def send_one(context, kind):
    started = time.monotonic()
    context.kind = kind
    context.answer = context.loop.run(context.relay.ask(request(kind)))
    context.took_s = time.monotonic() - started


@when("writing the request to the endpoint raises an exception")
def writing_fails(context):
    def fail(*args):
        raise RuntimeError("injected by the test")

    context.relay.node.context.dialect.forward_headers = fail


@when("a caller who waits {ms:d} ms sends a safe request")
def send_with_deadline(context, ms):
    context.answer = context.loop.run(context.relay.ask(request("safe", deadline_ms=ms)))


def describe(answer):
    events = answer.body.count(b"\n\n")
    if answer.status == 200 and events:
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: %d" % (number + 1) for number in range(events)], answer.body
        return f"{events} events" if answer.whole else f"{events} events, cut"
    if answer.status == 200:
        return "whole" if answer.whole and answer.body == b"answer to q1" else "mixed"
    if "x-rookspring-server-stamp" in answer.headers:
        return f"endpoint's {answer.status}"
    if answer.status in (408, 421, 429, 503):
        return "not run"
    return "unknown"


@then("the answer is {expected}")
def answer_is(context, expected):
    assert describe(context.answer) == expected, (describe(context.answer), context.answer.status)
    if expected == "not run":
        assert float(context.answer.headers["retry-after"]) > 0


@then("no byte of another answer is in it")
def no_other(context):
    assert not any(word in context.answer.body for word in (b"HTTP/1", b"another")), context.answer


@then("the log has one entry of its end, with the outcome {outcome}")
def logged_once(context, outcome):
    time.sleep(0.05)
    ended = [line for line in context.relay.log_lines if "event=request_ended" in line]
    assert len(ended) == 1 and f"outcome={outcome} " in ended[0], ended


@when("a caller sends an unsafe request for {model} whose prompt has the parts {parts}")
def send_prompt(context, model, parts):
    headers = (f"X-Rookspring-Model: {model}", f"X-Rookspring-Prefix-Hash: {parts}")
    context.answer = context.loop.run(context.relay.ask(request("unsafe", headers=headers)))


@then("the log of its end has: {fields}")
def logged_fields(context, fields):
    time.sleep(0.05)
    ended = next(line for line in context.relay.log_lines if "event=request_ended" in line)
    missing = [field for field in fields.split(", ") if field not in ended]
    assert not missing, (missing, ended)


@then("the endpoints ran it {runs:d} times")
def ran_times(context, runs):
    assert len(context.relay.runs) == runs, context.relay.runs


@then("it arrived after {least:f} to {most:f} s")
def arrived_after(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@when("a caller sends {number:d} unsafe requests on one connection")
def send_several(context, number):
    async def work():
        reader, writer = await context.relay.connect()
        answers = []
        for one in range(number):
            writer.write(request("unsafe", one))
            answers.append(await read_answer(reader))
            await asyncio.sleep(0.02)
        writer.close()
        return answers

    started = time.monotonic()
    context.answers = context.loop.run(work())
    context.took_s = time.monotonic() - started


@when("a caller sends {number:d} {kind} requests on one connection without waiting for answers")
def send_ahead(context, number, kind):
    async def work():
        reader, writer = await context.relay.connect()
        for one in range(number):
            writer.write(request(kind, one))
            await asyncio.sleep(0.02)
        answers = [await read_answer(reader) for _ in range(number)]
        writer.close()
        return answers

    context.answers = context.loop.run(work())


@then("each answer belongs to its request")
def each_its_own(context):
    bodies = [answer.body for answer in context.answers]
    assert bodies == [b"answer to q%d" % number for number in range(len(bodies))], bodies


@when("a caller sends raw: {text}")
def send_raw(context, text):
    text = text.replace("{9000 letters}", "x" * 9000).replace(" (and no more)", "")
    line, _, rest = text.partition("\\r\\n")
    head, _, body = rest.partition("\\r\\n\\r\\n")
    lines = [line, "Host: h.example", "X-Rookspring-Request-Id: q1"]
    lines += [one for one in head.split("\\r\\n") if one]
    raw = "\r\n".join(lines) + "\r\n\r\n" + body.replace("\\r\\n", "\r\n")
    context.answer = context.loop.run(context.relay.ask(raw.encode()))


@then("the endpoint got the line {line} and the body {body}")
def endpoint_got(context, line, body):
    (asked,) = context.relay.asked
    assert asked.line == line, asked.line
    assert asked.body == (b"" if body == "-" else body.encode()), asked.body
    assert context.answer.status == 200


@then("the status is {status:d} and the endpoint got nothing")
def status_only(context, status):
    assert context.answer.status == status, context.answer.status
    assert context.relay.asked == []


@then("the endpoint got a deadline between {least:d} and {most:d} ms")
def got_deadline(context, least, most):
    (asked,) = context.relay.asked
    deadline_ms = int(asked.headers["x-rookspring-deadline-ms"])
    assert least <= deadline_ms <= most, deadline_ms


@then("it got no other added header but the incarnation and the rank")
def no_other_headers(context):
    (asked,) = context.relay.asked
    added = {
        "x-rookspring-deadline-ms",
        "x-rookspring-expect-instance",
        "x-rookspring-request-priority",
    }
    assert set(asked.headers) - SAFE_HEADERS == added, asked.headers


@when("a caller sends a safe request and leaves after {seconds:f} s")
def send_and_leave(context, seconds):
    async def work():
        _, writer = await context.relay.connect()
        writer.write(request("safe"))
        await asyncio.sleep(seconds)
        writer.close()

    context.loop.run(work())


@then("the endpoint's connection is closed within {seconds:f} s")
def connection_closed(context, seconds):
    pool = context.relay.node.context
    context.loop.run(context.relay.until(lambda: not pool.exchanges, seconds))
    assert not context.relay.node.context.state.requests
    assert not any(view.inflight for view in pool.state.endpoints.values())


@when("the first endpoint's entry changes to draining")
def entry_draining(context):
    relay = context.relay
    server = relay.servers[0]

    async def work():
        await relay.store.write("servers", server.name, server.entry("svc", "draining"))
        view = relay.node.context.state.endpoints[server.name]
        await relay.until(lambda: view.leaving, 1.0)

    context.loop.run(work())


@then("the first endpoint got {number:d} of them")
def first_got(context, number):
    first, second = context.relay.servers
    assert len(first.received) == number
    assert len(second.received) == len(context.answers)


@when("the store fails, the endpoint's entry expires, and the store recovers")
def entry_expires(context):
    relay = context.relay

    async def work():
        relay.store.faults.outage = True
        await relay.until(lambda: not relay.node.context.state.platform_reachable, 6.0)
        await relay.store.remove("servers", "i0")
        relay.store.faults.outage = False
        await relay.until(lambda: relay.node.context.state.platform_reachable, 3.0)

    context.loop.run(work(), 20.0)
    context.recovered_at = time.monotonic()


@then("the endpoint is still used after {seconds:f} s")
def still_used(context, seconds):
    time.sleep(max(0.0, context.recovered_at + seconds - time.monotonic()))
    answer = context.loop.run(context.relay.ask(request("unsafe")))
    assert answer.status == 200, answer.status


@then("it is not used any more after {seconds:f} s")
def not_used(context, seconds):
    time.sleep(max(0.0, context.recovered_at + seconds - time.monotonic()))
    answer = context.loop.run(context.relay.ask(request("unsafe")))
    assert answer.status == 503, answer.status


@when("the operator writes versions {written} and another node sends {sent}")
def versions_arrive(context, written, sent):
    relay = context.relay
    peers = relay.node.peers

    async def work():
        for version in written.split(", "):
            await relay.store.write("config", "main", configuration(int(version)))
        await relay.until(lambda: relay.node.context.state.revision >= int(written.split(", ")[0]))
        await asyncio.sleep(0.1)
        if sent != "none":
            stored = StoredObject("main", int(sent), configuration(int(sent)))
            peers.take_table(stored, "node n2")

    context.loop.run(work())


@then("version {after:d} is in force")
def in_force(context, after):
    assert context.relay.node.context.state.revision == after


@when("the operator writes a malformed version {version:d}")
def malformed(context, version):
    async def work():
        raw = configuration(version)
        del raw["routes"][0]["timeout-ms"]
        await context.relay.store.write("config", "main", raw)
        await asyncio.sleep(0.2)

    context.loop.run(work())


@when("it is asked to stop while a stream runs")
def stop_in_stream(context):
    relay = context.relay

    async def work():
        _, idle = await relay.connect()
        reader, writer = await relay.connect()
        relay.node.drain()
        writer.write(request("stream"))
        ready = await relay.ask(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", "ready")
        raw = b"GET /resolve?name=h.example&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n"
        lookup = await relay.ask(raw, "lookup")
        answer = await read_answer(reader)
        idle.close()
        return ready, lookup, answer

    context.ready, context.lookup, context.answer = context.loop.run(work())


@then("the stream ends complete with Connection: close")
def ends_whole(context):
    assert context.answer.whole
    assert context.answer.body.count(b"\n\n") == STREAM_EVENTS
    assert context.answer.headers["connection"] == "close"


@then("its lookups and readiness checks are answered with 503")
def withdrawn(context):
    assert context.ready.status == 503
    assert context.lookup.status == 503, context.lookup.body


@when("its settings change")
def settings_change(context):
    changed = context.relay.settings._replace(retry_share=0.1)

    async def work():
        context.relay.node.reload(lambda: changed, by_signal=False)

    context.loop.run(work())


@then("the new retry terms are in force")
def new_terms(context):
    assert context.relay.node.context.state.retry_window_terms.share == 0.1


@then("invalid settings leave them unchanged")
def invalid_settings(context):
    def fail():
        raise SettingsError(("zone: is missing",))

    async def work():
        context.relay.node.reload(fail)

    context.loop.run(work())
    assert context.relay.node.context.state.retry_window_terms.share == 0.1


PEER_OFFSETS = (101, 102)


@given("a second node linked to it")
def second_node(context):
    relay = context.relay
    base = ports.find_base()

    async def work():
        # The first node is restarted at a fixed address, which the second gets as its seed.
        first = f"127.0.0.1:{base + PEER_OFFSETS[0]}"
        second = f"127.0.0.1:{base + PEER_OFFSETS[1]}"
        await relay.restart(peer_address=first)
        context.second = await relay.add_node(name="n2", peer_address=second, seeds=(first,))
        await relay.until(lambda: "n2" in relay.node.context.state.membership.peers)

    context.loop.run(work())


@when("the endpoint's process ends, and the first node sends it a request")
def send_to_ended(context):
    relay = context.relay

    async def work():
        await relay.servers[0].close()
        context.answer = await relay.ask(request("safe"))

    context.loop.run(work())


@then("the second node knows within {seconds:g} s that nothing listens there")
def second_knows(context, seconds):
    state = context.second.context.state
    name = context.relay.servers[0].name
    context.loop.run(context.relay.until(lambda: state.endpoints[name].down, seconds))


@given("it holds the lease and may give orders")
def holds_lease(context):
    relay = context.relay
    base = ports.find_base()
    context.peer_address = f"127.0.0.1:{base + PEER_OFFSETS[0]}"
    context.other_address = f"127.0.0.1:{base + PEER_OFFSETS[1]}"

    async def work():
        await relay.restart(peer_address=context.peer_address)
        lease = relay.node.context.state.control.lease
        await relay.until(lambda: lease.own_epoch == 1)
        # Once it has renewed the lease, it may give orders.
        version = lease.version
        await relay.until(lambda: lease.version > version)

    context.loop.run(work())


@when("it is killed and a node with its name {where} starts")
def killed_and_started(context, where):
    address = context.peer_address if where == "and address" else context.other_address
    context.loop.run(context.relay.restart(peer_address=address))


@then("the new node holds the lease within 2 s, in the next epoch, and may give orders")
def new_node_holds(context):
    control = context.relay.node.context.state.control

    async def work():
        await context.relay.until(lambda: control.lease.own_epoch == 2, 2.0)
        assert control.lease.turn_at <= clock.now()

    context.loop.run(work())


@then("the new node does not hold the lease within 2 s")
def does_not_hold(context):
    lease = context.relay.node.context.state.control.lease

    async def work():
        await asyncio.sleep(2.0)
        assert lease.holder.startswith("n1@"), lease.holder
        assert lease.own_epoch == 0

    context.loop.run(work())
