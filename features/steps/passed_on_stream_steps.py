import asyncio
import functools
import types

from behave import given
from behave import then
from behave import when

from rookspring import clock
from rookspring import relay_handovers
from rookspring.exceptions import EndpointError
from rookspring.http_messages import HttpHead
from rookspring.relay import RelayExchange
from rookspring_core.effects import HandOver
from rookspring_core.events import AttemptProgressed

HEADERS = ((b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked"))


def write_event(name):
    """Return the bytes of an event, by its id or ``no id``."""
    return b"data: x\n\n" if name == "no id" else b"id: %s\ndata: x\n\n" % name.encode()


class Caller:
    """Keeps what a caller is sent."""

    def __init__(self):
        self.raw = b""
        self.ended = False

    def begin(self, status, headers, length):
        pass

    async def send(self, data, behind):
        self.raw += data

    def end(self):
        self.ended = True


class OtherNode:
    """Another node's answer: its parts, and then its end or an error."""

    def __init__(self, parts, error):
        self.parts = parts
        self.error = error
        self.holding = None

    async def next_part(self):
        if self.parts:
            return self.parts.pop(0)
        if self.error:
            raise self.error
        return b""

    def keep(self, size):
        self.kept = size


@given("a resumable stream whose caller has got the events {before}")
def caller_has(context, before):
    names = [] if before == "none" else before.split(", ")
    exchange = types.SimpleNamespace(
        key="r1",
        route=types.SimpleNamespace(resumable=True),
        connection=Caller(),
        started=bool(names),
        events=len(names),
        last_event=names[-1] if names else "",
        deadline_at=clock.now() + 60.0,
    )

    def count_events(number, now):
        exchange.events += number

    exchange.count_events = count_events
    exchange.named = True
    exchange.note_place = functools.partial(RelayExchange.note_place, exchange)
    exchange.may_follow = functools.partial(RelayExchange.may_follow, exchange)
    context.exchange = exchange


@when("another node sends the events {sent}, and {end}")
def other_sends(context, sent, end):
    exchange = context.exchange
    parts = [write_event(name) for name in sent.split(", ")]
    if "within an event" in end:
        parts.append(b"id: 9\nda")
    if "deadline" in end:
        exchange.deadline_at = clock.now()
    error = EndpointError("reset", sent=True) if end == "is lost" else None
    context.told = []
    relay = types.SimpleNamespace(submit=context.told.append)
    effect = HandOver("r1", 1, "b", "at-b", 0)
    head = HttpHead(200, HEADERS)
    try:
        asyncio.run(
            relay_handovers._pass_on(relay, effect, exchange, OtherNode(parts, error), head)
        )
        context.raised = False
    except EndpointError as failure:
        assert failure.sent, failure.reason
        context.raised = True


@then("its caller gets the events {got}, and its stream {fate}")
def caller_gets(context, got, fate):
    expected = [] if got == "none" else got.split(", ")
    ids = [
        line[4:] for line in context.exchange.connection.raw.decode().split("\n") if "id" in line
    ]
    assert ids == expected, ids
    assert context.exchange.connection.raw.count(b"data") == len(expected)
    assert context.exchange.connection.ended == (fate == "ends whole")
    assert context.raised == (fate != "ends whole")


@then("the rest would be asked for after event {last}")
def asked_after(context, last):
    assert context.exchange.last_event == last, context.exchange.last_event


@then("{count:d} events were told as progress")
def told_progress(context, count):
    told = [one.tokens for one in context.told if isinstance(one, AttemptProgressed)]
    assert sum(told) == count, told
