import asyncio
import hashlib
import json
import os

import aiohttp
import openai
from aiohttp import web
from behave import given
from behave import then
from behave import when
from socket_calls import AUTH
from socket_calls import address
from socket_calls import place_call
from socket_calls import send

from rookspring.endpoints import HttpEndpoint
from rookspring.exceptions import EndpointError
from rookspring_fakes import Caller
from rookspring_fakes import serve
from rookspring_fakes.caller import expected_text

MODEL = "pitwall-llm-00"
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}


def chat(**fields):
    return "POST", "/v1/chat/completions", json.dumps({**CHAT, **fields}).encode(), AUTH


def chat_with(**headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return "POST", "/v1/chat/completions", json.dumps(CHAT).encode(), {**AUTH, **names}


def place(**headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return "POST", "/v1/services/gridmaker/place", b"{}", {**AUTH, **names}


def resource(path, spec, **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    body = json.dumps({"spec": spec}).encode()
    return "PUT", f"/api/v1/resources/{path}", body, {**AUTH, **names}


GOOD = {"version": "v1", "memory_gb": 1}
REQUESTS = {
    "a chat without a key": ("POST", "/v1/chat/completions", b"{}", {}),
    "a chat with an unknown key": chat_with(Authorization="Bearer nobody"),
    "a chat that is not JSON": ("POST", "/v1/chat/completions", b"{", AUTH),
    "a chat that is a list": ("POST", "/v1/chat/completions", b"[]", AUTH),
    "a chat with an unknown model": chat(model="nope"),
    "a chat with an unknown adapter": chat(model=f"{MODEL}:nope"),
    "a chat without messages": chat(messages=[]),
    "a chat with a number as content": chat(messages=[{"role": "user", "content": 3}]),
    "a chat with 0 tokens": chat(max_tokens=0),
    'a chat with stream "yes"': chat(stream="yes"),
    'a chat with deadline "soon"': chat_with(X_Rookspring_Deadline_Ms="soon"),
    'a chat with deadline "-5"': chat_with(X_Rookspring_Deadline_Ms="-5"),
    'a chat with priority "urgent"': chat_with(X_Rookspring_Priority="urgent"),
    'a chat with session "made-up"': chat_with(X_Rookspring_Session="made-up"),
    'a chat with event id "made-up~3"': chat_with(Last_Event_ID="made-up~3"),
    "a chat of two megabytes": chat(messages=[{"role": "user", "content": "x" * (2 << 20)}]),
    "a call of an unknown service": ("POST", "/v1/services/nope/x", b"{}", AUTH),
    "an unrepeatable call without a key": place(),
    'an unrepeatable call with key "plain"': place(Idempotency_Key="plain"),
    'an unrepeatable call with key "forged-session/1"': place(Idempotency_Key="forged-session/1"),
    "an unknown path": ("GET", "/v2/nothing", b"", AUTH),
    "a resource without a key": ("PUT", "/api/v1/resources/Model/x", b"{}", {}),
    "a resource of an unknown kind": resource("Modell/x", GOOD),
    "a resource with a faulty field": resource("Model/x", {**GOOD, "memory_gb": -1}),
    'a resource with version "x"': resource("Model/x", GOOD, If_Match="x"),
    'a resource with version "²"': resource("Model/x", GOOD, If_Match="²"),
    'a chat with attempt "²"': chat_with(X_Rookspring_Attempt="²"),
    "a chat with an attempt of 5,000 digits": chat_with(X_Rookspring_Attempt="9" * 5000),
}


@when("a caller sends {request}")
def caller_sends(context, request):
    context.answer = context.loop.run(send(address(context), *REQUESTS[request]))


@then("the status is {status:d} and the error names {field} and gives outcome {outcome}")
def error_names(context, status, field, outcome):
    found, body = context.answer
    assert found == status, context.answer
    assert body["outcome"] == outcome, body
    assert body["error"]["message"].startswith(field) or body["error"]["param"] == field, body


@when("the openai client streams from every address that is given")
def openai_streams(context):
    _, body = context.loop.run(send(address(context), "GET", "/v1/addresses", b"", {}))
    context.answers = []
    context.traces = []
    for number, row in enumerate(body["addresses"]):
        client = openai.OpenAI(api_key="demo", base_url=f"http://{row['address']}/v1")
        trace = f"{number + 1:032x}"
        prompt = f"from {row['address']}"
        stream = client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=20,
            stream=True,
            extra_headers={"traceparent": f"00-{trace}-{number + 1:016x}-01"},
        )
        text = "".join(part.choices[0].delta.content or "" for part in stream)
        context.answers.append((text, expected_text(MODEL, prompt, 20)))
        context.traces.append(trace)
        client.close()
    assert len(context.answers) == 3


@then("each answer is whole")
def answers_whole(context):
    assert context.answers
    for text, wanted in context.answers:
        assert text == wanted, (len(text), len(wanted), text[-60:])


@then("one trace covers the spans {names} of each answer")
def trace_covers(context, names):
    for node in context.stage.nodes.values():
        node.telemetry.flush()
    path = context.stage.plan.trace_file
    with open(path) as file:
        spans = [json.loads(line) for line in file]
    for trace in context.traces:
        found = {span["name"] for span in spans if span["trace_id"] == trace}
        assert set(names.split(", ")) <= found, found


@given("a session at {name}")
def a_session(context, name):
    async def work():
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{address(context, name)}/v1/sessions", headers=AUTH) as response,
        ):
            return json.loads(await response.read())["session"]

    context.session = context.loop.run(work())
    context.call = hashlib.sha256(context.session.encode()).hexdigest()[:12]


async def declare_team(context, name):
    digest = hashlib.sha256(name.encode()).hexdigest()
    spec = {"key_sha256": [digest]}
    await send(address(context), *resource(f"Team/{name}", spec))
    for _ in range(100):
        if all(name in node.state.catalogue.teams for node in context.stage.nodes.values()):
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the team is not in force")


async def send_to(context, place_text):
    name, _, how = place_text.partition(" ")
    target = address(context, name)
    if how == "with another body":
        return [await place_call(target, context.session, 1, "", body={"call": "else"})]
    if how.startswith("and "):
        other = address(context, how.split()[1])
        both = (place_call(one, context.session, 1, context.call) for one in (target, other))
        return list(await asyncio.gather(*both))
    if how == "by another team":
        await declare_team(context, "strangers")
        return [await place_call(target, context.session, 1, context.call, "strangers")]
    if how == "while answers are lost":
        services = context.stage.services.values()
        for service in services:
            service.faults.applied_unanswered = 1.0
        try:
            return [await place_call(target, context.session, 1, context.call)]
        finally:
            for service in services:
                service.faults.applied_unanswered = 0.0
    return [await place_call(target, context.session, 1, context.call)]


@when("key 1 is sent to {name} within a trace")
def key_sent_traced(context, name):
    context.traces = [f"{77:032x}"]
    headers = {
        **AUTH,
        "Idempotency-Key": f"{context.session}/1",
        "traceparent": f"00-{context.traces[0]}-{7:016x}-01",
    }
    path = "/v1/services/gridmaker/place"
    raw = json.dumps({"call": context.call}).encode()
    status, _ = context.loop.run(send(address(context, name), "POST", path, raw, headers))
    assert status == 200


@when("key 1 is sent to {places}")
def key_sent_to(context, places):
    async def work():
        outcomes = []
        for place_text in places.split(", "):
            outcomes += await send_to(context, place_text)
        return outcomes

    context.outcomes = context.loop.run(work())


@then("the outcomes are {outcomes} and it ran {runs:d} times")
def outcomes_are(context, outcomes, runs):
    assert context.outcomes == outcomes.split(), context.outcomes
    assert context.stage.ledger.runs.get(context.call, 0) == runs


class FaultyService:
    """A service that counts requests and can abort each connection after reading its request."""

    def __init__(self, fault):
        self.fault = fault
        self.arrived = 0

    async def handle(self, request):
        await request.read()
        self.arrived += 1
        if self.fault == "breaks after reading":
            request.transport.abort()
        if self.fault == "ends its answer by a close alone":
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n{}")
            request.transport.close()
        return web.json_response({})

    def app(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app


@given("a service endpoint that {fault}")
def faulty_endpoint(context, fault):
    async def work():
        context.faulty = FaultyService(fault)
        context.served = await serve(context.faulty.app())
        if fault == "no longer listens":
            await context.served.close()

    context.loop.run(work())


@when("{article} {kind} {method} is sent to it by the endpoint client")
def endpoint_client_sends(context, article, kind, method):
    async def call(client, repeatable):
        return await client.call(context.served.address, method, "x", b"{}", {}, repeatable, 5.0)

    async def work():
        client = HttpEndpoint()
        try:
            if context.faulty.fault == "closes kept-alive connections":
                # Leaves a connection in the pool that the server has closed.
                await call(client, True)
                port = int(context.served.address.rpartition(":")[2])
                await context.served.close()
                context.served = await serve(context.faulty.app(), port)
                context.faulty.arrived = 0
            await call(client, kind == "repeatable")
            return "never"
        except EndpointError as error:
            context.error = error
            return str(error.sent).lower()
        finally:
            await client.close()
            await context.served.close()

    context.sent = context.loop.run(work())


@then("it arrived {times:d} times and the failure reports sent {sent}")
def arrived_times(context, times, sent):
    assert (context.faulty.arrived, context.sent) == (times, sent), (
        context.faulty.arrived,
        context.sent,
    )


@then("the failure is {failure}")
def failure_is(context, failure):
    error = context.error
    kinds = {"an open end": (True, False), "a broken connection": (False, True)}
    assert (error.open_ended, error.broken) == kinds[failure], vars(error)


async def run_streams(context, count, total, disturb):
    caller = Caller(context.stage.addresses(), seed=1)
    try:
        prompts = [f"stream {number} of {total}" for number in range(count)]
        work = [caller.stream(MODEL, prompt, total) for prompt in prompts]
        answers, _ = await asyncio.gather(asyncio.gather(*work), disturb())
    finally:
        await caller.close()
    return [
        (answer.text, expected_text(MODEL, prompt, total))
        for answer, prompt in zip(answers, prompts, strict=True)
    ]


async def do_nothing():
    await asyncio.sleep(0)


async def break_runner(context):
    await asyncio.sleep(0.6)
    busiest = max(context.stage.engines.values(), key=lambda one: len(one.running))
    busiest.faults.killed = True
    await asyncio.sleep(0.5)
    busiest.faults.killed = False


async def disconnect_streams(context):
    """Start streams and disconnect after the first line."""
    body = {**CHAT, "stream": True, "max_tokens": 300}
    for _ in range(5):
        async with aiohttp.ClientSession() as session:
            url = f"http://{address(context)}/v1/chat/completions"
            async with session.post(url, json=body, headers=AUTH) as response:
                await response.content.readline()


@when("{count:d} streams of {total:d} tokens run while {fault}")
def streams_run(context, count, total, fault):
    disturb = {
        "nothing fails": do_nothing,
        "a runner's connections break": lambda: break_runner(context),
        "other callers disconnect": lambda: disconnect_streams(context),
    }[fault]
    context.answers = context.loop.run(run_streams(context, count, total, disturb))


@given("a stream of the team demo whose caller disconnected")
def disconnected_stream(context):
    async def work():
        body = {**CHAT, "stream": True, "max_tokens": 100}
        async with aiohttp.ClientSession() as session:
            url = f"http://{address(context)}/v1/chat/completions"
            async with session.post(url, json=body, headers=AUTH) as response:
                while True:
                    line = await response.content.readline()
                    if line.startswith(b"id: "):
                        return line[4:].decode().strip()

    context.event_id = context.loop.run(work())


@when("another team resumes it")
def resume_by_other(context):
    async def work():
        await declare_team(context, "strangers")
        headers = {"Authorization": "Bearer strangers", "Last-Event-ID": context.event_id}
        body = json.dumps({**CHAT, "max_tokens": 100, "stream": True}).encode()
        return await send(address(context), "POST", "/v1/chat/completions", body, headers)

    context.answer = context.loop.run(work())


@when("two operators change one resource from the same version")
def operators_race(context):
    async def work():
        target = address(context)
        _, first = await send(target, *resource("Service/raced", {"concurrency": 1}))
        context.before = first["version"]
        version = str(first["version"])
        return await asyncio.gather(
            send(target, *resource("Service/raced", {"concurrency": 2}, If_Match=version)),
            send(
                address(context, "box-2"),
                *resource("Service/raced", {"concurrency": 3}, If_Match=version),
            ),
        )

    context.race = context.loop.run(work())


@then("one update succeeds and the other gets a conflict")
def one_update_succeeds(context):
    statuses = sorted(status for status, _ in context.race)
    assert statuses == [200, 409], context.race


@then("a watch from the version before returns both changes")
def watch_shows(context):
    path = f"/api/v1/resources/Service?watch=1&from={context.before - 1}&timeout_s=1"
    status, body = context.loop.run(send(address(context), "GET", path, b"", AUTH))
    versions = [item["version"] for item in body["items"] if item["name"] == "raced"]
    assert status == 200
    assert len(versions) == 2, body
    assert body["version"] >= versions[-1]


@then("a watch from a version that is no longer kept gets status 410")
def watch_too_old(context):
    store = context.stage.platform.store
    store._compacted = store.version
    path = "/api/v1/resources/Service?watch=1&from=1&timeout_s=1"
    status, body = context.loop.run(send(address(context), "GET", path, b"", AUTH))
    store._compacted = 0
    assert status == 410, body


MALFORMED = {
    "random bytes": os.urandom(4096),
    "half a request": b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nab",
    "endless headers": b"GET / HTTP/1.1\r\n" + b"X-Long: " + b"y" * 200_000,
    "a huge message": b"\xc6\x7f\xff\xff\xff" + b"z" * 100_000,
    "a wrong proof": b"\x95\xa5hello\x01\xa5box-9\xa1i\xc4\x10"
    + b"0" * 16
    + b"\x92\xa5proof\xc4\x01x",
    "nothing": b"",
}


@when("{what} are sent to the {which} socket")
def malformed_input(context, what, which):
    settings = context.stage.nodes["box-1"].settings
    port = settings.port if which == "caller" else settings.peer_port

    async def work():
        reader, writer = await asyncio.open_connection(settings.host, port)
        try:
            writer.write(MALFORMED[what])
            await writer.drain()
            await asyncio.wait_for(reader.read(1 << 16), 0.3)
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()

    context.loop.run(work())


@then("the node still serves")
def still_serves(context):
    status, _ = context.loop.run(send(address(context), *chat()))
    assert status == 200
    node = context.stage.nodes["box-1"]
    assert node.state.membership.size() == 2
    assert "box-9" not in node.peers.links


@given("at {name} a session whose key 1 ran")
def session_with_key(context, name):
    a_session(context, name)
    target = address(context, name)
    outcome = context.loop.run(place_call(target, context.session, 1, context.call))
    assert outcome == "ran"
    context.kept = {**getattr(context, "kept", {}), name: (context.session, context.call)}


@when("{drained} is drained and {killed} is killed while streams run")
def drain_and_kill(context, drained, killed):
    async def disturb():
        await asyncio.sleep(0.4)
        ending = context.stage.drain(drained)
        context.listed = []
        for name in context.stage.nodes:
            await asyncio.sleep(0.05)
            _, body = await send(address(context, name), "GET", "/v1/addresses", b"", {})
            context.listed += [row["address"] for row in body["addresses"]]
        await asyncio.sleep(0.4)
        await context.stage.kill(killed)
        await ending

    context.answers = context.loop.run(run_streams(context, 12, 150, disturb))


@then("{name} is removed from the addresses at once")
def removed_from_addresses(context, name):
    number = int(name.rpartition("-")[2])
    gone = f"127.0.0.1:{context.stage.plan.base_port + number}"
    assert context.listed
    assert gone not in context.listed, context.listed


@then("key {sequence:d} of {owner} first sent to {name} gives {outcome} and ran never")
def key_first_gives(context, sequence, owner, name, outcome):
    session, call = context.kept[owner]
    asked = f"{call}-{sequence}"
    work = place_call(address(context, name), session, sequence, asked, attempt=1)
    assert context.loop.run(work) == outcome
    assert context.stage.ledger.runs.get(asked, 0) == 0


@then("key {sequence:d} of {owner} sent to {name} gives {outcome} and ran {times}")
def key_gives(context, sequence, owner, name, outcome, times):
    session, call = context.kept[owner]
    wanted = 1 if times == "once in all" else 0
    asked = call if sequence == 1 else f"{call}-{sequence}"
    found = context.loop.run(place_call(address(context, name), session, sequence, asked))
    assert found == outcome, found
    assert context.stage.ledger.runs.get(asked, 0) == wanted
