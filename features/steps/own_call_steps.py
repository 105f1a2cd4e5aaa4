"""Calls of the product's own client of endpoints, whose answers are told apart by their number."""

import asyncio

import orjson
from behave import given
from behave import then
from behave import when
from raw_server import RawAnswer
from raw_server import RawServer

from rookspring.endpoints import GenerationRequest
from rookspring.endpoints import HttpEndpoint
from rookspring.http_platform import HttpPlatform
from rookspring_platform.store import ObjectStore

CALL_S = 2.0
# Longer than a server takes to send a late copy.
BETWEEN_S = 0.1
COPIED = {"late": "late", "in the place of the next answer": "next"}
REPORT = {
    "incarnation": "i",
    "age_s": 0.0,
    "slots": 1,
    "queued": 0,
    "token_rate": 1.0,
    "stream_rate": 1.0,
    "memory_gb": 1.0,
}


async def call_service(client, address, number):
    answer = await client.call(address, "GET", f"x{number}", b"", {}, True, CALL_S)
    return int(answer.body)


async def read_tokens(chunks):
    found = [token async for chunk in chunks for token in chunk.tokens]
    return int("".join(found) or -1)


async def generate(client, address, number):
    asked = GenerationRequest(f"s{number}", "m", "", "p", 1, 0)
    return await read_tokens(client.generate(address, asked, ""))


async def go_on(client, address, number):
    return await read_tokens(client.resume(address, f"s{number}", 0))


async def report(client, address, number):
    found = await client.report("i0", address, 0.0)
    return found and found.running


def write_tokens(number):
    return b'{"offset":0,"tokens":["%d"]}\n{"end":1}\n' % number


CALLS = {
    "service call": (call_service, lambda number: b"%d" % number),
    "generation": (generate, write_tokens),
    "continuation": (go_on, write_tokens),
    "report": (report, lambda number: orjson.dumps(REPORT | {"running": number})),
}


def count_nothing(method, end):
    return None


# Clients of a platform, by the words that name them, and what their platform answers to a call.
STORED = {"metadata": {"name": "a", "revision": 0}, "spec": {}}
PLATFORMS = {
    "the store's client": (
        lambda address: ObjectStore(f"http://{address}", count_nothing),
        {
            "read": lambda number: STORED | {"spec": {"number": number}},
            "list": lambda number: {"items": [], "as-of": number, "truncated": False},
            "watch": lambda number: {"events": [], "as-of": number},
            "write": lambda number: {"metadata": {"name": "a", "revision": number}},
        },
    ),
    "the platform's client": (
        lambda address: HttpPlatform(f"http://{address}", count_nothing),
        {
            "read": lambda number: {"name": "a", "version": 1, "value": {"number": number}},
            "list": lambda number: {"items": [], "version": number},
            "watch": lambda number: {"changes": [], "version": number},
            "write": lambda number: {"version": number},
        },
    ),
}
PLATFORM_CALLS = {
    "read": lambda client: client.get("kind", "a"),
    "list": lambda client: client.list_kind("kind"),
    "watch": lambda client: client.watch("kind", 0, 1.0),
    "write": lambda client: client.put("kind", "a", {}, 1),
}


def number_in(call, answer):
    found = answer.unwrap()
    if call == "read":
        return found.value["number"]
    return found if call == "write" else found.version


@when("{name} makes a {call} {times:d} times, one after another")
def make_platform_calls(context, name, call, times):
    make_client, bodies = PLATFORMS[name]

    async def work():
        client = make_client(context.raw.address)
        for number in range(1, times + 1):
            body = orjson.dumps(bodies[call](number))
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            context.raw.answer = RawAnswer(data, closes=False, copied=context.copied)
            context.answers.append(number_in(call, await PLATFORM_CALLS[call](client)))
            await asyncio.sleep(BETWEEN_S)
        await client.close()

    context.answers = []
    context.loop.run(work())


@given("a server that sends each answer twice, the second time {when}")
def copying_server(context, when):
    context.copied = COPIED[when]
    context.raw = context.loop.run(RawServer().start())
    context.add_cleanup(lambda: context.loop.run(context.raw.close()))


@when("the product's own {name} is made {times:d} times, one after another")
def make_calls(context, name, times):
    make, write = CALLS[name]

    async def work():
        client = HttpEndpoint()
        for number in range(1, times + 1):
            body = write(number)
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            context.raw.answer = RawAnswer(data, closes=False, copied=context.copied)
            context.answers.append(await make(client, context.raw.address, number))
            await asyncio.sleep(BETWEEN_S)
        await client.close()

    context.answers = []
    context.loop.run(work())


@then("each of them gets its own answer")
def own_answers(context):
    assert context.answers == list(range(1, len(context.answers) + 1)), context.answers
