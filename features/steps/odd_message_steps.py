import asyncio
import math
from unittest import mock

import message_samples as samples
from behave import then
from behave import when
from loguru import logger
from other_node import OTHER
from other_node import TAGS
from other_node import open_link
from other_node import relay_target
from other_node import send_kinds
from other_node import send_odd

from rookspring import clock
from rookspring.dropped_values import DroppedValues
from rookspring.exceptions import PeerError
from rookspring.messages import MESSAGES
from rookspring.messages import Heartbeat
from rookspring.messages import Hello
from rookspring.messages import Listed
from rookspring.messages import TableMessage
from rookspring.messages import decode
from rookspring.messages import encode
from rookspring.platform import StoredObject
from rookspring.relay_peers import RECEIVERS


@when("another node sends it each kind of message, with each value odd in turn")
def each_kind_odd(context):
    context.kept = context.loop.run(
        send_kinds(relay_target(context.relay), RECEIVERS, samples.odd_messages)
    )


@when("another node sends it each kind of message, with each value extreme in turn")
def each_kind_extreme(context):
    context.kept = context.loop.run(
        send_kinds(relay_target(context.relay), RECEIVERS, samples.extreme_messages)
    )


@then("no loop or effect of the node has failed")
def none_failed(context):
    # The loops of the node run several times a second.
    context.loop.run(asyncio.sleep(0.5))
    failed = ("event=task_failed", "event=effect_failed", "step=handle")
    lines = [line for line in context.relay.log_lines if any(one in line for one in failed)]
    unexpected = [line for line in lines if "message=table " not in line]
    assert not unexpected, unexpected


@when("another node sends it a configuration that isn't packed, twice")
def not_packed(context):
    raw = [TAGS[TableMessage], 9, b"not packed"]
    context.kept = {
        "table": context.loop.run(send_odd(relay_target(context.relay), [raw, raw], -1, "x2"))
    }


@then("each link stays, and a sound message after the odd ones is handled")
def links_stay(context):
    ended = [tag for tag, kept in context.kept.items() if not kept]
    assert not ended, f"{len(ended)} of {len(context.kept)} ended the link: {ended}"


@then("the log names the message {tag} once")
def log_names(context, tag):
    lines = [line for line in context.relay.log_lines if "event=value_dropped" in line]
    assert len(lines) == 1 and f"message={tag} " in lines[0], lines


@when("another node begins with a malformed hello")
def malformed_hello(context):
    async def work():
        port = context.relay.node.peers.server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(samples.pack([TAGS[Hello], 1, 5, None, "x"]))
        try:
            async with asyncio.timeout(1.0):
                while await reader.read(65536):
                    pass
            return True
        except TimeoutError:
            return False
        finally:
            writer.close()

    context.ended = context.loop.run(work())


@then("its link ends within 1 s")
def link_ends(context):
    assert context.ended


@then("each kind of message keeps its sound rows beside an odd one, or is dropped as a whole")
def rows_kept(context):
    dropped = set()
    for tag in MESSAGES:
        sound = samples.sample_message(tag)
        for place in samples.row_fields(tag):
            for odd in samples.ODD_ROWS:
                rows = [*sound[place], odd, *sound[place]]
                noted = []
                try:
                    found = decode(
                        [*sound[:place], rows, *sound[place + 1 :]],
                        lambda kind, reason, noted=noted: noted.append((kind, reason)),
                    )
                except PeerError:
                    dropped.add(tag)
                    continue
                if len(found[place - 1]) == 3:
                    # The value is a sound name where rows are names.
                    assert isinstance(odd, str), (tag, odd)
                    continue
                assert len(found[place - 1]) == 2, (tag, place, odd)
                field = type(found)._fields[place - 1]
                assert len(noted) == 1 and noted[0][0] == tag, (tag, noted)
                assert noted[0][1].startswith(f"{field}: "), (tag, noted)
    assert dropped == {"delta", "evacuations"}, dropped


@then("each kind of message is dropped with an odd value in place of any that is no list")
def message_dropped(context):
    for tag, cls in MESSAGES.items():
        sound = samples.sample_message(tag)
        hints = list(samples.hints_of(cls).values())
        for place, value in enumerate(sound[1:], 1):
            if isinstance(value, (list, dict)):
                continue
            raw = [*sound[:place], [None], *sound[place + 1 :]]
            try:
                decode(raw)
            except PeerError as error:
                assert tag in str(error) and cls._fields[place - 1] in str(error), error
            else:
                raise AssertionError((tag, cls._fields[place - 1], hints[place - 1]))


@then("each kind of message is sent without a row that can't be, or not at all")
def unsendable_rows(context):
    for tag, cls in MESSAGES.items():
        sound = samples.sample_message(tag)
        for place in samples.row_fields(tag):
            for odd in samples.UNSENDABLE:
                values = [*sound[1:]]
                values[place - 1] = [*sound[place], [odd], *sound[place]]
                data = encode(cls(*values))
                if tag in ("delta", "evacuations"):
                    assert data == b"", tag
                    continue
                found = decode(samples.unpack(data))
                assert len(found[place - 1]) == 2, (tag, odd, found)


@then("a message of each kind arrives as it was sent")
def arrives(context):
    for tag, cls in MESSAGES.items():
        sound = decode(samples.sample_message(tag))
        assert decode(samples.unpack(encode(sound))) == sound, tag
        assert type(sound) is cls


@then("heartbeats with a demand of NaN or infinity arrive without that row")
def no_numbers(context):
    for odd in (math.nan, math.inf, -math.inf, 1e300):
        sent = samples.heartbeat(OTHER)._replace(demand=[("a", 1.0), ("b", odd)])
        found = decode(samples.unpack(encode(sent)))
        assert isinstance(found, Heartbeat)
        assert [tuple(row) for row in found.demand] == [("a", 1.0)], found.demand


ODD_ENTRIES = {
    "an entry with a number of 400 digits": {"x": 10**400},
    "an entry with half of a surrogate": {"x": "\ud800"},
    "an entry of 9 MB": {"x": "x" * 9_000_000},
}


@when("{odd} is among its entries, and another node follows it")
def follow_odd_entry(context, odd):
    async def work():
        node = context.relay.node
        stored = node.endpoints._stored
        (name,) = stored
        stored["odd"] = StoredObject("odd", stored[name].version, ODD_ENTRIES[odd])
        link = await open_link(relay_target(context.relay))
        link.send(samples.heartbeat(OTHER)._replace(follows=True))
        try:
            async with asyncio.timeout(3.0):
                while not isinstance(item := await link.receive(), Listed):
                    pass
            return [row.name for row in item.rows]
        except (PeerError, TimeoutError) as error:
            return repr(error)
        finally:
            del stored["odd"]
            link.close()

    context.listed = context.loop.run(work())


@then("the follower gets the other entry")
def gets_other(context):
    assert context.listed == ["i0"], context.listed


@when("a node's message has an odd value 50 times in a row")
def odd_again(context):
    context.dropped = DroppedValues()
    context.lines = []
    context.sink = logger.add(context.lines.append, level="INFO", format="{message}")
    for _ in range(50):
        context.dropped.note("n1", "decode", "beat", "demand: a reason")


@then("there is 1 line about it")
def one_line(context):
    assert len(context.lines) == 1, context.lines


@when("it has one again after {seconds:d} s")
def again_after(context, seconds):
    later = clock.now() + seconds
    with mock.patch.object(clock, "now", return_value=later):
        context.dropped.note("n1", "decode", "beat", "demand: a reason")
    logger.remove(context.sink)


@then("there are 2 lines, and the last one counts {number:d}")
def two_lines(context, number):
    assert len(context.lines) == 2 and f"number={number} " in context.lines[1], context.lines
