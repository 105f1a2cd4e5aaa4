import asyncio
import itertools
import math

import orjson
from behave import given
from behave import then
from behave import when
from loguru import logger
from relay_fixture import request
from relay_harness import RelayHarness
from unread_answer_steps import start_patient_relay

from rookspring import clock
from rookspring import relay_orders
from rookspring.platform import StoredObject
from rookspring_core import planned_ends
from rookspring_core.effects import ReadReport
from rookspring_core.endpoints import EndpointView
from rookspring_core.planned_ends import EndSigns
from rookspring_core.planned_ends import LifeSigns
from rookspring_core.planned_ends import PlannedEnd
from rookspring_fakes import model_planned_ends
from rookspring_platform.endpoints import read_entry
from rookspring_platform.endpoints import read_report

DRAINING = "draining"
# A fault of an endpoint is logged once for each.
NUMBERS = itertools.count()
# Requests of others who dial a port that was theirs before: ports are used again.
ELSEWHERE = {
    "a read of a store": b"GET /objects/lease/x HTTP/1.1\r\nHost: x\r\n\r\n",
    "a write to a store": b"PUT /objects/nodes/n HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
    "a request without an id": b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n",
}
REPORT = {"models": [], "utilization": False, "sequence": 0, "queued": 0, "active": 0}
CAUSES = {
    "": "nothing",
    planned_ends.STOP: "its stop",
    planned_ends.TIME_OVER: "its time",
    planned_ends.EXIT: "its exit",
}
LIVES = {
    True: "shown to live",
    False: "taken for ended",
    None: "alive if its address is served",
}


@given(
    "a relay node whose routes take up to {seconds:d} s, with one endpoint with models that does: "
    "{script}"
)
def one_endpoint(context, seconds, script):
    start_patient_relay(context, [script.split(", ")], seconds)
    for view in context.relay.node.context.state.endpoints.values():
        view.role = "runner"


@when("{what} from elsewhere reaches the endpoint's port")
def comes_from_elsewhere(context, what):
    async def work():
        host, _, port = context.relay.servers[0].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(ELSEWHERE[what])
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    head = context.loop.run(work())
    assert head.startswith(b"HTTP/1.1 400 "), head
    assert b"X-Rookspring-Not-Executed" in head, head


async def begin(context, kind, **stated):
    """Send a request, and return its task and its endpoint, once the answer has begun."""
    relay = context.relay
    before = {server.name: len(server.runs) for server in relay.servers}
    begun = len(relay.runs)
    task = asyncio.ensure_future(relay.ask(request(kind, **stated)))
    await relay.until(lambda: len(relay.runs) > begun)
    await asyncio.sleep(0.05)
    return task, next(one for one in relay.servers if len(one.runs) > before[one.name])


async def tell(relay, server, state):
    """Let the node know the state of an endpoint, by the store where it is told by its entry."""
    view = relay.node.context.state.endpoints[server.name]
    if state == "leaving beside another connection":
        assert await relay.node.context.pool.reaches(server.address)
    if state.startswith("leaving"):
        await relay.store.write("servers", server.name, server.entry("svc", DRAINING))
        await relay.until(lambda: view.leaving)
    elif state == "gone":
        await relay.store.remove("servers", server.name)
        await relay.until(lambda: view.gone)
    elif state == "restarted":
        view.reset_for_restart(clock.now())
    elif state == "evacuated":
        view.evacuated = True


@when("the endpoint of a {kind} request is {state}, and {stops}")
def ends_in_state(context, kind, state, stops):
    async def work():
        task, server = await begin(context, kind)
        await tell(context.relay, server, state)
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task

    context.loop.run(work())


@when("the endpoint of a {kind} request that follows others is {state}, and {stops}")
def ends_after_others(context, kind, state, stops):
    async def work():
        relay = context.relay
        for number in (2, 3):
            await relay.ask(request("safe", number))
        task = asyncio.ensure_future(relay.ask(request(kind)))
        await relay.until(lambda: len(relay.runs) > 2)
        await asyncio.sleep(0.05)
        await tell(relay, relay.servers[0], state)
        await model_planned_ends.STOPS[stops](relay.servers[0])
        context.answer = await task

    context.loop.run(work())


@when("the connection of an answer {own}, {others}, at an endpoint that {closes} and is {state}")
def look_at_connections(context, own, others, closes, state):
    signs = LifeSigns(
        own_open=own == "is open",
        closed_there=own == "was closed there",
        earlier_open=others == "an earlier one is",
        keeps=closes == "keeps its connections",
        replaced=state == "replaced",
    )
    cause = planned_ends.EXIT if state == "staying" else planned_ends.STOP
    context.life = planned_ends.find_life(cause, signs)


@then("its process is {verdict}")
def life_is(context, verdict):
    assert LIVES[context.life] == verdict, context.life


@given("the endpoints copy their runs to each other")
def copy_runs(context):
    for server in context.relay.servers:
        server.copies.known = True


@when("a {kind} request runs whose endpoint is {state} and {later:d} ms later {stops}")
def ends_later(context, kind, state, later, stops):
    async def work():
        task, server = await begin(context, kind)
        await tell(context.relay, server, state)
        await asyncio.sleep(later / 1000.0)
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task

    context.loop.run(work())


@then("the endpoints ran it once, and it went on at a copy once")
def went_on(context):
    went = [one for server in context.relay.servers for one in server.copies.continued]
    assert (len(context.relay.runs), len(went)) == (1, 1), (context.relay.runs, went)


@when(
    "a caller who states {ms:d} ms sends a {kind} request, and {later:d} ms later its endpoint "
    "leaves, and {stops}"
)
def ends_before_deadline(context, ms, kind, later, stops):
    async def work():
        sent_at = clock.now()
        task, server = await begin(context, kind, deadline_ms=ms)
        await tell(context.relay, server, "leaving")
        await asyncio.sleep(max(0.0, sent_at + later / 1000.0 - clock.now()))
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task

    context.loop.run(work())


@when(
    "a caller who states {ms:d} ms sends a {kind} request, whose endpoint states {stated:d} ms, "
    "and {later:d} ms later {stops}"
)
def ends_with_little_time(context, ms, kind, stated, later, stops):
    async def work():
        sent_at = clock.now()
        task, server = await begin(context, kind, deadline_ms=ms)
        server.remaining_ms = stated
        await tell(context.relay, server, "leaving")
        await asyncio.sleep(max(0.0, sent_at + later / 1000.0 - clock.now()))
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task

    context.loop.run(work())


@when("the endpoint of a {kind} request states {ms:d} ms in its {where}, and {stops} then")
def ends_at_time(context, kind, ms, where, stops):
    context.loop.run(state_and_stop(context, kind, ms, where, stops, ms / 1000.0))


@when("the endpoint of a {kind} request states {ms:d} ms in its entry, and {stops} at once")
def ends_before_time(context, kind, ms, stops):
    context.loop.run(state_and_stop(context, kind, ms, "entry", stops, 0.0))


async def state_and_stop(context, kind, ms, where, stops, after_s):
    relay = context.relay
    task, server = await begin(context, kind)
    server.remaining_ms = ms
    stated_at = clock.now()
    if where == "entry":
        await tell(relay, server, "leaving")
    else:
        server.state = DRAINING
        relay_orders.read_report(relay.node.context, ReadReport(server.name, 0.0))
        view = relay.node.context.state.endpoints[server.name]
        await relay.until(lambda: view.leaving)
    await asyncio.sleep(max(0.0, stated_at + after_s - clock.now()))
    await model_planned_ends.STOPS[stops](server)
    context.answer = await task


@then("its caller gets the whole of its JSON")
def whole_json(context):
    answer = context.answer
    found = (answer.status, answer.whole, answer.body)
    assert found == (200, True, model_planned_ends.JSON_BODY), found


@when("an answer of {kind} ends {left} s before its {state} endpoint's stated time")
def ends_before(context, kind, left, state):
    ends_at = math.inf if left == "no" else 10.0 + float(left)
    may_ask = kind == "another attempt"
    at_once = kind == "a body at once"
    context.end = PlannedEnd(10.0, state == "leaving", ends_at, may_ask, math.inf, at_once)


@when(
    "then the other endpoint of a {kind} request that does {step} leaves and {later:d} ms later "
    "{stops}"
)
def ends_after_others(context, kind, step, later, stops):
    async def work():
        relay = context.relay
        assert (context.answer.status, context.answer.whole) == (200, True)
        server = next(one for one in relay.servers if not one.ended)
        server.script[:] = [step]
        before = len(server.runs)
        task = asyncio.ensure_future(relay.ask(request(kind, 2)))
        await relay.until(lambda: len(server.runs) > before)
        await asyncio.sleep(0.05)
        await tell(relay, server, "leaving")
        await asyncio.sleep(later / 1000.0)
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task

    context.loop.run(work())


@when("an end that is doubted for {cause} is of {what}, its endpoint {seen}")
def end_is_seen(context, cause, what, seen):
    signs = EndSigns(
        lives="lives" in seen,
        at_work="worked on" in seen,
        together="ended others with it" in seen,
        ends_runs="of such that end runs" in seen,
        promised="had promised" in seen,
        body=what == "a body",
        may_ask="the rest can be asked for" in seen,
        worked="bytes came behind it" in seen,
    )
    causes = {text: one for one, text in CAUSES.items()}
    context.shown = planned_ends.is_shown(causes[cause], signs)


@then("by what was seen it is {verdict}")
def is_judged(context, verdict):
    assert context.shown == (verdict == "believed")


@when(
    "this node learnt at {left:g} s that an endpoint leaves, which serves on for {serves:d} s then "
    "and ends at {ends:g} s"
)
def learnt_leaving(context, left, serves, ends):
    context.promised_until = planned_ends.find_promise(left, float(serves), ends)


@then("it has promised to serve until {until:g} s")
def has_promised(context, until):
    assert context.promised_until == until, context.promised_until


@when("others of an endpoint's answers end at {ends} s")
def answers_end(context, ends):
    context.together = planned_ends.ended_together(10.0, [float(one) for one in ends.split(", ")])


@then("one that ended there at 10 s did so {how}")
def ended_how(context, how):
    assert context.together == (how == "with another")


@when("another run's last event comes {after:g} s after the end of an answer")
def another_event(context, after):
    context.at_work = planned_ends.is_at_work(10.0, 10.0 + after)


@then("by that the endpoint counts as {state}")
def at_work(context, state):
    assert context.at_work == (state == "at work")


@when("the endpoint of a stream request beside another stream is {state}, and {stops}")
def ends_beside_another(context, state, stops):
    async def work():
        task, server = await begin(context, "stream")
        beside = asyncio.ensure_future(context.relay.ask(request("stream", 2)))
        await context.relay.until(lambda: len(context.relay.runs) > 1)
        await tell(context.relay, server, state)
        await model_planned_ends.STOPS[stops](server)
        context.answer = await task
        beside.cancel()

    context.loop.run(work())


@when("it can be looked at for {seconds:f} s at the most")
def looked_at(context, seconds):
    context.end = context.end._replace(looks_until=context.end.at + seconds)


@then("it is doubted for {cause}, and there is {time} to look")
def has_time(context, cause, time):
    assert CAUSES[planned_ends.find_cause(context.end)] == cause, context.end
    assert planned_ends.may_look(context.end) == (time == "time"), context.end


@then("it is doubted for {cause}, and told from life at {look} s after its end")
def is_doubted(context, cause, look):
    found = planned_ends.find_cause(context.end)
    assert CAUSES[found] == cause, found
    if look != "-":
        at = planned_ends.find_look_time(context.end) - context.end.at
        assert math.isclose(at, float(look)), at


@when(
    "an endpoint states at 10 s in its {where}, which is {age:d} s old: state {state}, "
    "remaining-ms {value}"
)
def states_remaining(context, where, age, state, value):
    stated = {} if value == "missing" else {"remaining-ms": orjson.loads(value)}
    lines = []
    sink = logger.add(lines.append, format="{message}")
    entry = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "slots": 1, "state": "ready"}
    name = f"i{next(NUMBERS)}"
    if where == "entry":
        _, report = read_entry(StoredObject(name, 1, entry | stated | {"state": state}), 10.0)
    else:
        _, known = read_entry(StoredObject(name, 1, entry), 9.0)
        raw = orjson.dumps(REPORT | stated | {"state": state})
        report = read_report(raw, known, 10.0)
        read_report(raw, known, 10.0)
    logger.remove(sink)
    context.odd = [line for line in lines if "event=field_ignored" in line]
    context.view = EndpointView("i", "10.0.0.1:1", "z")
    context.view.take_report(report._replace(age_s=float(age)))


@then("it is taken to end at {end:g} s")
def taken_to_end(context, end):
    assert context.view.ends_at == end, context.view.ends_at


@then("{odd} odd value is logged")
def odd_logged(context, odd):
    assert len(context.odd) == (1 if odd == "one" else 0), context.odd
    assert all("field=remaining-ms" in line and "endpoint=i" in line for line in context.odd)


@given(
    "an endpoint that states at 10 s that 3 s are left, at 11 s that 1 s is, at 11.5 s that 30 s "
    "are, and at 12 s nothing"
)
def states_several(context):
    context.view = EndpointView("i", "10.0.0.1:1", "z")
    report = RelayHarness().report("i")
    for at, left_s in ((10.0, 3.0), (11.5, 30.0), (11.0, 1.0), (12.0, None)):
        context.view.take_report(report._replace(at=at, ends_in_s=left_s))


@then("once it has restarted it is taken to end at {end:g} s")
def ends_after_restart(context, end):
    context.view.reset_for_restart(20.0)
    assert context.view.ends_at == end, context.view.ends_at
