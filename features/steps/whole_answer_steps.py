import asyncio
import contextlib
import types

from behave import given
from behave import then
from behave import when
from relay_fixture import RelayFixture
from relay_fixture import request
from unread_answer_steps import two_patient_endpoints

from rookspring import clock
from rookspring import relay_handovers
from rookspring.event_streams import EventSplitter
from rookspring.exceptions import EndpointError
from rookspring.http_client import Reply
from rookspring.http_messages import HttpHead
from rookspring_core.event_order import EventOrder

BACK_OFF_S = 5.0
REPORT = {"models": [], "utilization": False, "sequence": 0, "queued": 0, "active": 0}
SHOWN = {True: "same", False: "another", None: "unknown"}


@given("a relay node with two endpoints with models that do: {script}")
def endpoints_with_models(context, script):
    steps = script.split(", ")
    context.relay = context.loop.run(RelayFixture([steps, steps]).start())
    for server in context.relay.servers:
        server.script = steps
    serve_models(context)


def serve_models(context):
    for server in context.relay.servers:
        context.relay.node.context.state.endpoints[server.name].role = "runner"


@given(
    "a relay node whose routes take up to {seconds:d} s, with two endpoints with models that do: "
    "{script}"
)
def patient_endpoints_with_models(context, seconds, script):
    two_patient_endpoints(context, seconds, script)
    serve_models(context)


@given("their health checks are refused for want of room {times:d} times")
def checks_refused(context, times):
    for server in context.relay.servers:
        server.checks_refused = times


@when("the endpoint of a {kind} request is {state} as its answer ends")
def state_at_end(context, kind, state):
    def set_state(view):
        setattr(view, state, True)

    send_and_set(context, kind, set_state)


@when("the endpoint of a stream request is in back-off as that answer ends")
def back_off_at_end(context):
    def set_state(view):
        view.backoff_until = clock.now() + BACK_OFF_S

    send_and_set(context, "stream", set_state)


def send_and_set(context, kind, set_state):
    relay = context.relay

    def note(server):
        return lambda: set_state(relay.node.context.state.endpoints[server.name])

    for server in relay.servers:
        server.before_close = note(server)
    context.answer = context.loop.run(relay.ask(request(kind)))


@given("{number:d} idle connections to it")
def idle_connections(context, number):
    pool = context.relay.node.context.pool
    (server,) = context.relay.servers

    async def connect():
        assert all(await asyncio.gather(*(pool.reaches(server.address) for _ in range(number))))

    context.loop.run(connect())


@when("it resets the first call after the answer to a stream request")
def reset_first_call(context):
    (server,) = context.relay.servers

    def reset():
        server.resets = 1

    server.before_close = reset
    context.answer = context.loop.run(context.relay.ask(request("stream")))


@when("a stream is taken up after its event {number:d}")
def take_up(context, number):
    headers = (f"Last-Event-Id: {number}", "Resumes: q0")
    context.answer = context.loop.run(context.relay.ask(request("resumable", headers=headers)))


@given("a caller that has got {last}")
def has_got(context, last):
    context.order = EventOrder("" if last == "none" else last)


@when("the bytes {text} come in {reads}")
def bytes_come(context, text, reads):
    parts = [part.replace("\\n", "\n").replace("\\r", "\r").encode() for part in text.split(", ")]
    splitter = EventSplitter()
    context.fault = ""
    for part in parts if reads == "two reads" else [b"".join(parts)]:
        context.fault = context.fault or context.order.accept(splitter.feed(part).ids)


@then("its caller gets {events:d} events, {end}")
def gets_events(context, events, end):
    answer = context.answer
    assert (answer.status, answer.whole) == (200, end == "whole"), answer.status
    assert answer.body.count(b"\n\n") == events, answer.body


@when("the ids {ids} come")
def ids_come(context, ids):
    context.fault = context.order.accept([""] if ids == "none" else ids.split())


@then("they are {taken}")
def ids_taken(context, taken):
    assert (context.fault == "") == (taken == "taken"), context.fault


@then("their health was asked for {checks:d} times and their report {reports:d} times")
def asked_for(context, checks, reports):
    servers = context.relay.servers
    assert [one for server in servers for one in server.checks] == [
        server.name for server in servers for _ in server.checks
    ]
    assert sum(len(server.checks) for server in servers) == checks
    assert sum(server.reports for server in servers) == reports


@then("no crash is recorded")
def no_crash(context):
    lines = [line for line in context.relay.log_lines if "event=attempt_began" in line]
    found = [line.partition(" fingerprint=")[2].split()[0] for line in lines]
    assert found
    suspects = context.relay.node.context.state.suspects
    assert not any(suspects.known(one) for one in found), "a request is suspected"


@given("an answer of another node to a handed-over request that ends {how}")
def answer_of_node(context, how):
    context.reply = Reply()
    context.reply.add_part(b"body")
    context.reply.complete = True
    context.reply.ended_by_close = how == "as its connection is closed"


@when("it is passed on")
def pass_on(context):
    context.given = []
    connection = types.SimpleNamespace(answer=lambda *answer: context.given.append(answer))
    exchange = types.SimpleNamespace(
        started=False, first_event_at=0.0, deadline_at=clock.now() + 1.0, connection=connection
    )

    async def work():
        with contextlib.suppress(EndpointError):
            await relay_handovers._pass_on(None, None, exchange, context.reply, HttpHead(200, ()))

    context.loop.run(work())


@then("its caller is given {gets}")
def caller_gets(context, gets):
    bodies = [body for _, _, body in context.given]
    assert bodies == ([b"body"] if gets == "it" else []), bodies
