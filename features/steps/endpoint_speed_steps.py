import math
import statistics
from unittest import mock

import msgpack
from behave import given
from behave import then
from behave import when
from relay_fixture import read_answer
from relay_fixture import request
from relay_harness import RelayHarness
from speed_stage import COSTS_S
from speed_stage import SpeedStage

from rookspring import clock
from rookspring import defaults as daemon_defaults
from rookspring import relay_speeds
from rookspring.event_gaps import GapMeter
from rookspring.http_client import Reply
from rookspring.messages import EndpointSpeeds
from rookspring.messages import encode
from rookspring_core import defaults as core_defaults
from rookspring_core import endpoint_speeds
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import EventGapMeasured
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import SpeedsReceived
from rookspring_core.events import Ticked
from rookspring_core.options import DecisionOptions
from rookspring_core.speed_samples import SampleRow
from rookspring_fakes import fleet as fleets

RUNS = 4
STEP_S = 0.1


@given(
    "{nodes:d} nodes that measure {streams:g} streams a second at endpoints of speed {speeds}, "
    "with models {models}"
)
def nodes_measure(context, nodes, streams, speeds, models):
    numbers = [float(one) for one in speeds.split()]
    names = [f"e{number}" for number in range(1, len(numbers) + 1)]
    held = dict(zip(names, (list(one) for one in models.split()), strict=True))
    context.stages = [
        SpeedStage(dict(zip(names, numbers, strict=True)), held, streams, nodes, seed)
        for seed in range(RUNS)
    ]


@given(
    "{nodes:d} nodes that measure {streams:g} streams a second at {number:d} equal endpoints "
    "with a noise of {noise:g} %"
)
def equal_endpoints(context, nodes, streams, number, noise):
    held = {f"e{one}": ["a", "bc"[one % 2]] for one in range(number)}
    context.stages = [
        SpeedStage(dict.fromkeys(held, 1.0), held, streams, nodes, seed, noise / 100.0)
        for seed in range(RUNS)
    ]


@given("one of the nodes measures {factor:g} times the time at {endpoint}")
def one_lies(context, factor, endpoint):
    for stage in context.stages:
        stage.liars["n5"] = (endpoint, factor)


@when("one of them is {full}")
def one_full(context, full):
    for stage in context.stages:
        stage.fullness["e1"] = 1.0 if full == "full" else stage.fullness["e1"]


@when("{seconds:g} s pass at the nodes")
def pass_at_nodes(context, seconds):
    for stage in context.stages:
        stage.run(seconds)


@when("{endpoint} turns {factor:g} times slower")
def turns_slow(context, endpoint, factor):
    for stage in context.stages:
        stage.speeds[endpoint] /= factor


@when("{endpoint} turns well again")
def turns_well(context, endpoint):
    for stage in context.stages:
        stage.speeds[endpoint] = 1.0


@then("each speed is within {error:g} % of the true one, in each of {runs:d} runs")
def speeds_right(context, error, runs):
    errors = [stage.error() for stage in context.stages]
    assert len(errors) == runs
    assert max(errors) <= error / 100.0, [(stage.error(), stage.read()) for stage in context.stages]


@then("all speeds are exactly 1.0")
def all_equal(context):
    for stage in context.stages:
        assert set(stage.read().values()) == {1.0}, stage.read()


@then("all speeds are exactly 1.0 for {seconds:g} s")
def all_stay_equal(context, seconds):
    for _ in range(round(seconds / endpoint_speeds.defaults.SPEED_FIT_S)):
        pass_at_nodes(context, endpoint_speeds.defaults.SPEED_FIT_S)
        all_equal(context)
    assert all(stage.state.speeds.confirmed_at for stage in context.stages)


@then("the speed of {endpoint} is at most {most:g}")
def speed_at_most(context, endpoint, most):
    for stage in context.stages:
        assert stage.read()[endpoint] <= most, stage.read()


@then("each speed that differs was logged at most {times:d} times, with its samples and age")
def speeds_logged(context, times):
    for stage in context.stages:
        names = [effect.endpoint for effect in stage.logged]
        expected = stage.expected()
        assert {name for name, speed in expected.items() if speed != 1.0} <= set(names), names
        assert max(names.count(name) for name in names) <= times, stage.logged
        for effect in stage.logged:
            assert effect.samples >= 1.0
            assert 0.0 <= effect.age_s < 5.0


# Samples of one stream.


@given("a stream at an endpoint that is {full}")
def stream_at(context, full):
    stage = SpeedStage({"e1": 1.0}, {"e1": ["a"]}, 1.0)
    stage.fullness["e1"] = 1.0 if full == "full" else 0.0
    meter, at = GapMeter(), 100.0
    context.samples = []
    for _ in range(7000):
        at += stage._step_s("e1", "a")
        sample = meter.add(1, at)
        context.samples += [] if sample is None else [sample]


@then("its samples are at most {per_cent:g} % above the time of a step")
def samples_near(context, per_cent):
    mean = math.exp(statistics.mean(math.log(one) for one in context.samples))
    excess = mean / COSTS_S["a"] - 1.0
    assert excess <= per_cent / 100.0, excess


@given("a stream whose events arrive after {times} ms")
def events_arrive(context, times):
    meter = GapMeter()
    found = [meter.add(1, 100.0 + int(one) / 1000.0) for one in times.split()]
    context.samples = [one for one in (*found, meter.end()) if one is not None]


@then("its samples are {samples} ms")
def samples_are(context, samples):
    expected = [] if samples == "none" else [int(one) for one in samples.split()]
    assert [round(1000.0 * one, 3) for one in context.samples] == expected, context.samples


@given("an answer whose parts arrive every {every:d} ms and are taken every {taken:d} ms")
def parts_wait(context, every, taken):
    reply = Reply()
    for number in range(1, 9):
        with mock.patch.object(clock, "now", lambda at=number * every / 1000.0: at):
            reply.add_part(b"x")

    async def take():
        times = []
        for number in range(1, 9):
            with mock.patch.object(clock, "now", lambda at=number * taken / 1000.0: at):
                await reply.next_part()
            times.append(reply.part_arrived_at)
        return times

    context.times = context.loop.run(take())


@then("the times of arrival are {every:d} ms apart")
def arrivals_apart(context, every):
    pairs = zip(context.times, context.times[1:], strict=False)
    assert {round(1000.0 * (after - before)) for before, after in pairs} == {every}


@when("a caller streams from a model of it")
def stream_from_model(context):
    relay = context.relay
    state = relay.node.context.state
    state.options = DecisionOptions(endpoint_speeds=True)
    context.submitted = []
    submit = relay.node.context.submit

    def record(event):
        context.submitted.append(event)
        submit(event)

    relay.node.context.submit = record

    async def ask():
        reader, writer = await relay.connect()
        lines = request("stream").replace(b"Host:", b"X-Rookspring-Model: m\r\nHost:", 1)
        writer.write(lines)
        answer = await read_answer(reader)
        writer.close()
        return answer

    context.answer = context.loop.run(ask())
    metrics = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    context.metrics = context.loop.run(relay.ask(metrics, "metrics")).body.decode()


@when("a caller streams from a model of it, and reading stops after each part until it is taken")
def stream_held_up(context):
    with mock.patch.object(daemon_defaults, "UNREAD_ANSWER_BYTES_MAX", 0):
        stream_from_model(context)


@then("the node has measured nothing")
def measured_nothing(context):
    assert context.answer.whole, context.answer.status
    assert any(isinstance(one, AttemptSucceeded) for one in context.submitted)
    assert not any(isinstance(one, EventGapMeasured) for one in context.submitted)


@then("the node has measured {least:g} to {most:g} ms an event")
def measured_some(context, least, most):
    assert context.answer.whole, context.answer.status
    found = [one for one in context.submitted if isinstance(one, EventGapMeasured)]
    assert len(found) == 1, found
    assert found[0].endpoint == context.relay.servers[0].name
    # The stand-in waits for 2 ms between events.
    assert least <= found[0].gap_s * 1000.0 <= most, found


@then("its metrics have the speed of each known endpoint")
def metrics_have_speeds(context):
    rows = [line for line in context.metrics.splitlines() if "rookspring_endpoint_speed{" in line]
    names = {server.name for server in context.relay.servers}
    assert len(rows) == len(names), context.metrics
    assert all(any(f'endpoint="{name}"' in row for row in rows) for name in names), rows
    assert all(row.rpartition(" ")[2] in ("1", "1.0") for row in rows), rows


# One node, and what makes it forget.


class SpeedHarness(RelayHarness):
    """A node of a mesh of two, which measures two endpoints."""

    def __init__(self, option):
        super().__init__()
        self.state.options = DecisionOptions(endpoint_speeds=option == "on")
        self.list_endpoints(["e1", "e2", "e3"], "llm", "runner")
        for name in ("e1", "e2", "e3"):
            self.submit(self.report(name, ["m"], started_ms=1000))
        self.beat()

    def beat(self):
        self.submit(HeartbeatReceived(self.now, "n2", "n2#1", "a2", "c2", "z", 1, False))

    def measure(self, seconds, endpoint="e1", gap_s=0.15):
        """Measure one endpoint's events, and 0.05 s an event at the other ones."""
        for _ in range(round(seconds / STEP_S)):
            for name in ("e1", "e2", "e3"):
                taken_s = gap_s if name == endpoint else 0.05
                self.submit(EventGapMeasured(self.now, name, "m", taken_s))
                rows = (SampleRow(name, "m", 1.0, math.log(taken_s)),)
                self.submit(SpeedsReceived(self.now, "n2", rows, ()))
            self.pass_silently(STEP_S)

    def pass_silently(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.beat()
            self.submit(Ticked(self.now))


@given("a node with the option {option}, which learnt that e1 is slow")
def learnt_slow(context, option):
    context.node = SpeedHarness(option)
    context.node.pass_silently(1.0)
    assert context.node.state.topology.mesh
    context.node.measure(5.0)


@when("nothing")
def nothing_more(context):
    pass


@when("e1 restarts")
def restarts(context):
    node = context.node
    node.submit(node.report("e1", ["m"], started_ms=2000))


@when("e1 restarts, and samples of before arrive late")
def late_samples(context):
    restarts(context)
    node = context.node
    row = SampleRow("e1", "m", 1.0, math.log(0.15))
    node.submit(SpeedsReceived(node.now + 0.5, "n2", (row,), ()))
    node.pass_silently(1.2)
    assert "e1" not in node.state.speeds.confirmed_at


@when("e1 restarts, and a speed of before arrives late")
def late_speed(context):
    restarts(context)
    node = context.node
    node.state.topology.mesh = False
    node.state.topology.followed = "n2"
    node.submit(SpeedsReceived(node.now + 0.5, "n2", (), (("e1", 0.4), ("e2", 0.9))))
    assert node.state.endpoints["e2"].speed == 0.9


@when("nobody measures for {seconds:g} s")
def silence(context, seconds):
    context.node.pass_silently(seconds)


@when("the option is switched off")
def switched_off(context):
    node = context.node
    node.state.options = DecisionOptions()
    node.pass_silently(STEP_S)


@when("samples at an unknown endpoint and model arrive")
def unknown_rows(context):
    node = context.node
    rows = (SampleRow("e9", "m", 1.0, 5.0), SampleRow("e8", "x", 1.0, -5.0))
    node.submit(SpeedsReceived(node.now, "n2", rows, ()))
    node.submit(EventGapMeasured(node.now, "e2", "x", 0.2))
    node.pass_silently(1.0)
    kept = {(row.endpoint, row.model) for row in node.state.speeds.samples.sums(node.now)}
    assert kept <= {("e1", "m"), ("e2", "m"), ("e3", "m")}, kept


@then("the speed of e1 is {expected}")
def speed_is(context, expected):
    speed = context.node.state.endpoints["e1"].speed
    assert (speed == 1.0) if expected == "exactly 1" else (speed < 0.6), speed


# Many nodes.


@given("{nodes:d} relay nodes with the option {option}, which have run for {seconds:g} s")
def nodes_with_option(context, nodes, option, seconds):
    fleet = context.fleet = fleets.Fleet(fleets.FleetPlan(nodes))
    for node in fleet.nodes.values():
        node.state.options = DecisionOptions(endpoint_speeds=option == "on")
    context.messages = 0
    deliver = fleet.deliver

    def count(name, other, data):
        context.messages += msgpack.unpackb(data, raw=False)[0] == "speeds"
        deliver(name, other, data)

    fleet.deliver = count
    fleet.run(seconds)
    assert context.messages == 0


@when("the nodes measure for {seconds:g} s that e0 is {times:g} times slower")
def fleet_measures(context, seconds, times):
    fleet = context.fleet
    names = sorted(fleet.live()[0].state.endpoints)
    for step in range(round(seconds / STEP_S)):
        live = fleet.live()
        for number, endpoint in enumerate(names):
            # Each endpoint has a stream at some node, and each stream a node of its own.
            node = live[(step * 7 + number * 3) % len(live)]
            gap_s = 0.05 * (times if endpoint == "e0" else 1.0)
            with fleet.virtual_clock():
                node.submit(EventGapMeasured(fleet.now, endpoint, "m", gap_s))
        fleet.run(STEP_S)


@when("{seconds:g} s pass without a sample")
def fleet_silent(context, seconds):
    context.fleet.run(seconds)


@then("each node's speed of e0 is from {least:g} to {most:g}")
def fleet_speeds(context, least, most):
    speeds = {node.name: node.state.endpoints["e0"].speed for node in context.fleet.live()}
    assert all(least <= speed <= most for speed in speeds.values()), speeds


@then("the nodes sent {expected} on speeds")
def sent_messages(context, expected):
    assert bool(context.messages) == (expected == "messages"), context.messages


class RecordingLink:
    """A link that keeps what was sent."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, data):
        self.sent.append(data)


@given("a relay with samples and speeds of {endpoints:d} endpoints, with {models:d} models each")
def many_rows(context, endpoints, models):
    node = context.node = SpeedHarness("on")
    state = node.state
    names = [f"runner-{number:04d}" for number in range(endpoints)]
    node.list_endpoints(names, "llm", "runner")
    for name in names:
        state.endpoints[name].speed = 0.5
        state.speeds.confirmed_at[name] = node.now
        for model in range(models):
            state.speeds.samples.note(name, f"model-{model:04d}", 0.05, node.now)
    context.keys = endpoints * models


@then("its messages have at most {most:d} bytes")
def messages_bounded(context, most):
    node = context.node
    peers = mock.Mock()
    peers.context.state = node.state
    links = {"relay": RecordingLink(), "leaf": RecordingLink()}
    peers.server.links = links
    with mock.patch.object(clock, "now", lambda: node.now):
        for _ in range(30):
            relay_speeds.send_speeds(peers, {"relay": "group", "leaf": "rest"}, ())
    context.links = links
    for link in links.values():
        assert max(len(data) for data in link.sent) <= most, [len(data) for data in link.sent]


@then("after {number:d} messages each row was sent")
def rows_all_sent(context, number):
    rows = {name: [] for name in context.links}
    for name, link in context.links.items():
        for data in link.sent[:number]:
            tag, samples, speeds = msgpack.unpackb(data, raw=False)
            assert data == encode(EndpointSpeeds(samples, speeds)), tag
            rows[name] += [tuple(row[:2]) for row in (samples or speeds)]
    assert len(set(rows["relay"])) == len(rows["relay"]) == context.keys
    endpoints = context.node.state.endpoints
    assert {row[0] for row in rows["leaf"]} == {
        name for name, view in endpoints.items() if view.speed != 1.0
    }


@when("{nodes:d} nodes send a sample of each endpoint, where {most:d} sums may be kept")
def many_samples(context, nodes, most):
    node = context.node
    rows = tuple(SampleRow(name, "m", 1.0, math.log(0.05)) for name in ("e1", "e2", "e3"))
    with mock.patch.object(core_defaults, "SPEED_CELLS_MAX", most):
        for number in range(nodes):
            name = f"m{number}"
            node.submit(HeartbeatReceived(node.now, name, name, name, name, "z", 1, False))
            node.submit(SpeedsReceived(node.now, name, rows, ()))


@then("the node keeps at most {most:d} sums")
def keeps_at_most(context, most):
    assert 50 <= context.node.state.speeds.samples.number() <= most
