import random

import msgpack
from behave import then
from behave import when
from other_node import relay_target
from other_node import send_odd
from relay_fixture import configuration

from rookspring import packing
from rookspring.defaults import FRAME_BYTES_MAX
from rookspring.messages import TableRequest
from rookspring.messages import decode
from rookspring.messages import encode
from rookspring.relay_peers import handle_table_request

SEED = 1
COPY_TIME_MAX_S = 0.5


class RecordingLink:
    """A link to another node that keeps the encoded messages sent."""

    name = "n2"

    def __init__(self):
        self.sent = []

    def send(self, item):
        self.sent.append(encode(item))


def grown_configuration(version, routes):
    """Return a configuration with more routes, whose names are drawn at random."""
    draw = random.Random(SEED)
    raw = configuration(version)
    for _ in range(routes):
        drawn = {"name": f"r-{draw.randrange(1 << 35):x}", "host": f"h{draw.randrange(8)}.example"}
        drawn["path-prefix"] = f"/{draw.randrange(1 << 40):x}/"
        raw["routes"].append(raw["routes"][0] | drawn | {"gap-slo-ms": 300, "sticky": True})
    return raw


@when("the operator writes version {version:d} with {routes:d} more routes")
def operator_writes(context, version, routes):
    relay = context.relay
    context.written = grown_configuration(version, routes)

    async def work():
        await relay.store.write("config", "main", context.written)
        await relay.until(lambda: relay.node.context.state.revision == version)

    context.loop.run(work())


@when("{count:d} nodes request the configuration")
def nodes_request(context, count):
    context.links = [RecordingLink() for _ in range(count)]
    for link in context.links:
        handle_table_request(context.relay.node.peers, link, TableRequest())


@then("the copies take less than 0.5 s of a link of {mbps:d} Mbit/s")
def copies_take(context, mbps):
    sent_bytes = sum(len(data) for link in context.links for data in link.sent)
    took_s = sent_bytes * 8 / (mbps * 1e6)
    assert 0.0 < took_s < COPY_TIME_MAX_S, (took_s, sent_bytes)


@then("each is the configuration as the operator wrote it")
def copies_whole(context):
    for link in context.links:
        (data,) = link.sent
        message = decode(msgpack.unpackb(data, raw=False))
        assert packing.unpack(message.packed) == context.written


@when("another node sends version {version:d}, {fault}")
def malformed_copy(context, version, fault):
    whole = packing.pack(configuration(version))
    packed = {
        "cut short": whole[: len(whole) // 2],
        "not packed": b"not packed",
        "without bytes": None,
        "too large": packing.pack(b"\0" * (FRAME_BYTES_MAX + 1)),
    }[fault]
    # The log has one line for each node and kind.
    name = "x-" + fault.replace(" ", "-")
    raw = ["table", version, packed]
    context.kept = context.loop.run(send_odd(relay_target(context.relay), [raw], -1, name))
    context.sender = name


@then('the link stays, and the log gives the error "{text}"')
def stays_with(context, text):
    assert context.kept
    lines = [line for line in context.relay.log_lines if "event=value_dropped" in line]
    assert len(lines) == 1 and text in lines[0], lines
    assert f"peer={context.sender} " in lines[0], lines
