import asyncio
import contextlib
import itertools
import re
import time
import types

import event_reader
from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from relay_fixture import request

from rookspring import clock
from rookspring import relay_handovers
from rookspring.event_streams import EventSplitter
from rookspring.http_messages import HttpRequest
from rookspring_core.events import AttemptProgressed
from rookspring_platform import PlatformDialect
from rookspring_platform.dialect import BEGUN_BY

ESCAPES = {"\\n": b"\n", "\\r": b"\r", "\\0": b"\0", "MARK": event_reader.BYTE_ORDER_MARK}
ESCAPE = re.compile("(" + "|".join(re.escape(one) for one in ESCAPES) + ")")
LINES = (
    b"",
    b"",
    b": ping",
    b":",
    b"data: a",
    b"data",
    b"data:",
    b"id: 1",
    b"id:2",
    b"id:  3",
    b"id",
    b"id:",
    b"id: 4\0",
    b"identity: 5",
    b" id: 6",
    b"event: token",
    b"retry: 10",
    b"x-rookspring-weight-versions: 2",
    event_reader.BYTE_ORDER_MARK + b"id: 7",
)
ENDS = (b"\n", b"\r\n", b"\r")
STREAMS_TRIED = 400
# All ways to cut a text into parts are tried up to this length.
CUT_ANYWHERE_BYTES_MAX = 13


def bytes_of(text):
    return b"".join(ESCAPES.get(part, part.encode()) for part in ESCAPE.split(text.strip('"')))


def check_parts(parts):
    """Feed parts, and hold what has come after each of them against the standard."""
    splitter = EventSplitter()
    fed, passed, number, ids = b"", b"", 0, []
    for part in parts:
        got = splitter.feed(part)
        fed, passed = fed + part, passed + got.data
        number, ids = number + got.number, ids + list(got.ids)
        said = event_reader.read(fed)
        assert (number, ids) == (len(said.events), said.ids), (parts, fed, number, ids, said)
        assert passed == fed[: said.passable], (parts, fed, passed, said)
        assert passed + splitter.incomplete() == fed, (parts, fed)
    return number, ids


def cut(text, places):
    marks = [0, *sorted(places), len(text)]
    return [text[a:b] for a, b in itertools.pairwise(marks) if a < b]


@given("the bytes {text} of a stream")
def bytes_of_stream(context, text):
    context.stream = bytes_of(text)


@then("they are {number:d} events that state the ids {ids}, cut at whichever bytes")
def events_stated(context, number, ids):
    text = context.stream
    stated = [] if ids == "none" else [read_id(one) for one in ids.split(",")]
    assert check_parts([text]) == (number, stated), check_parts([text])
    inner = range(1, len(text))
    check_parts(cut(text, inner))
    for places in itertools.combinations(inner, 2):
        check_parts(cut(text, places))


def read_id(text):
    return {"-": None, "empty": ""}.get(text.strip(), text.strip().replace("_", " "))


@then("each way to cut them gives what the standard says after each part")
def cut_anywhere(context):
    text = context.stream
    assert len(text) <= CUT_ANYWHERE_BYTES_MAX, len(text)
    for count in range(len(text)):
        for places in itertools.combinations(range(1, len(text)), count):
            check_parts(cut(text, places))


@then("streams of any lines, ends and cuts give what the standard says after each part")
def any_streams(context):
    line = strategies.tuples(strategies.sampled_from(LINES), strategies.sampled_from(ENDS))
    quiet = [HealthCheck.too_slow]

    @drawing(
        max_examples=STREAMS_TRIED,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=quiet,
    )
    @drawn(strategies.lists(line, max_size=12), strategies.booleans(), strategies.data())
    def check(lines, marked, data):
        text = b"".join(one + end for one, end in lines)
        text = event_reader.BYTE_ORDER_MARK * marked + text
        inner = strategies.integers(1, max(1, len(text) - 1))
        check_parts(cut(text, data.draw(strategies.sets(inner, max_size=12))))

    check()


@given("a splitter for the rest of a stream whose first events its caller has got")
def splitter_of_rest(context):
    context.splitter = EventSplitter(continues=True)


@when("the bytes {text} come one at a time")
def one_at_a_time(context, text):
    parts = [bytes([one]) for one in bytes_of(text)]
    context.passed_on = [context.splitter.feed(part) for part in parts]


@then("it passes on {text}, with the ids {ids}")
def passes_on(context, text, ids):
    assert b"".join(one.data for one in context.passed_on) == bytes_of(text), context.passed_on
    stated = [one for events in context.passed_on for one in events.ids]
    assert stated == [read_id(one) for one in ids.split(",")], stated


@then("a splitter of streams without chunks passes on {passed} and finds {what}, cut anywhere")
def passes_before(context, passed, what):
    text = context.stream
    expected = text if passed == '"all of them"' else bytes_of(passed)
    for at in itertools.combinations(range(len(text) + 1), 2):
        splitter = EventSplitter(unframed=True)
        came = b"".join(splitter.feed(part).data for part in cut(text, at) if not splitter.overrun)
        assert came == expected, (at, came)
        assert splitter.overrun == (what == "another answer"), at


@when("an event of {kb:d} KB of {lines} comes {size:d} bytes at a time")
def slow_event(context, kb, lines, size):
    line = {"one line": b"d" * 61, "short lines": b"d" * 9 + b"\n", "comments": b":\n"}[lines]
    body = b"id: 1\ndata\n" + line * ((kb << 10) // len(line)) + b"\n\n"
    splitter = EventSplitter()
    began = time.process_time()
    got = [splitter.feed(body[at : at + size]) for at in range(0, len(body), size)]
    context.took_s = time.process_time() - began
    assert b"".join(one.data for one in got) == body
    assert sum(one.number for one in got) == 1


@then("it takes less than {most_s:g} s of processor time")
def takes_less(context, most_s):
    assert context.took_s < most_s, context.took_s


@then("they break off within {what}, cut at whichever bytes")
def break_off(context, what):
    text = context.stream
    for at in range(len(text) + 1):
        splitter = EventSplitter()
        for part in (text[:at], text[at:]):
            splitter.feed(part)
        assert splitter.breaks_off() == (what == "an event"), (text[:at], text[at:])


@when("{came:d} KB of a chunk of {size:d} KB have come")
def part_of_chunk(context, came, size):
    context.reply = context.client.send_request(
        b"GET / HTTP/1.1\r\n\r\n", lambda head: True, lambda head: None
    )
    deliver = context.transport.deliver
    deliver(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % (size << 10))
    for _ in range(came):
        deliver(b"d" * 1024)
    if came == size:
        deliver(b"\r\n")


@then("{handed:d} KB of them are handed on")
def part_handed_on(context, handed):
    parts = context.reply._parts
    assert sum(map(len, parts)) == handed << 10, [len(one) for one in parts]


@when("a caller reads a {kind} stream")
def reads_stream(context, kind):
    context.came = context.loop.run(read_stream(context.relay.node, request(kind)))
    context.raw = b"".join(part for _, part in context.came)


async def read_stream(node, raw):
    """Return the parts of an answer, each with the time since its request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.listeners["callers"].port)
    began = time.monotonic()
    writer.write(raw)
    came = []
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(1 << 16):
            came.append((time.monotonic() - began, part))
            if part.endswith(b"0\r\n\r\n"):
                break
    writer.close()
    return came


@given("the endpoints then all do: {script}")
def endpoints_do(context, script):
    for server in context.cut_stage.relay.servers:
        server.script = [script]


@when("a caller of the first node reads a stream")
def reads_of_first(context):
    stage = context.cut_stage
    came = context.loop.run(read_stream(stage.nodes[0], request("stream")))
    context.raw = b"".join(part for _, part in came)


@then("by the standard no event of them is hidden")
def none_hidden(context):
    body, _ = body_of(context.raw)
    assert event_reader.read(body).ids == ["1", "2", "3", "4", "5"], body


def body_of(raw):
    """Return the body of a chunked answer, and whether its end came."""
    head, _, rest = raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return body, False


@then("by the standard it has got the events 1 to {last:d}, each once, and the stream {ends}")
def got_events(context, last, ends):
    body, whole = body_of(context.raw)
    said = event_reader.read(body)
    assert said.ids == [str(number + 1) for number in range(last)], body
    assert len(said.events) == last, body
    assert whole == (ends == "ends"), ends


@then("the last bytes that it has got are {text}")
def last_bytes(context, text):
    body, whole = body_of(context.raw)
    assert whole and body.endswith(bytes_of(text)), context.raw


@then("it has got {text} and the stream is cut")
def got_bytes(context, text):
    assert body_of(context.raw) == (bytes_of(text), False), context.raw


@then("it has got a comment {least_s:g} s before its first event")
def comment_before(context, least_s):
    comment_s = next(at for at, part in context.came if b": ping" in part)
    event_s = next(at for at, part in context.came if b"id: 1" in part)
    assert event_s - comment_s >= least_s, (comment_s, event_s)


@then("its log has {events:d} events, the first of them {first}")
def first_event_logged(context, events, first):
    check_logged(context.relay.log_lines, events, first)


@then("the first node's log has {events:d} events, the first of them {first}")
def first_logged(context, events, first):
    # The log is of both nodes; the first ends its request after the other.
    lines = context.cut_stage.relay.log_lines
    check_logged(
        [one for one in lines if 'why="node ' in one or "handover_failed" in one], events, first
    )


def check_logged(lines, events, first):
    time.sleep(0.05)
    (line,) = [one for one in lines if "event=request_ended" in one]
    fields = dict(one.partition("=")[::2] for one in line.split() if "=" in one)
    first_s = float(fields["first_s"])
    least_s = None if first == "never" else float(first.split()[1])
    assert first_s == -1 if least_s is None else first_s >= least_s, line
    assert int(fields["events"]) == events, line


@given("what the node's attempts report is recorded")
def record_progress(context):
    node = context.relay.node
    submit = node.context.submit
    context.progressed = []

    def note(event):
        if isinstance(event, AttemptProgressed):
            context.progressed.append(event.tokens)
        submit(event)

    node.context.submit = note


@then("its attempts have reported {events:d} events, and never none")
def progress_reported(context, events):
    assert sum(context.progressed) == events, context.progressed
    assert 0 not in context.progressed, context.progressed


@given("a resumable request to hand over, whose caller has got the head and {events:d} events")
def to_hand_over(context, events):
    head = HttpRequest(b"POST", b"/resumable/x", ((b"Host", b"h.example"),), b"", True)
    context.exchange = types.SimpleNamespace(
        request=head,
        deadline_at=clock.now() + 1.0,
        stream_id="q1",
        started=True,
        events=events,
        last_event="",
    )


@then("the other node is told that its stream {state}")
def told_begun(context, state):
    node = types.SimpleNamespace(dialect=PlatformDialect())
    effect = types.SimpleNamespace(sends=1)
    raw = relay_handovers._write_request(node, effect, context.exchange)
    assert (BEGUN_BY.lower() in raw.lower()) == (state == "has begun"), raw
