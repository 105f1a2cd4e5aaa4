import asyncio
import time

from behave import then
from behave import when
from relay_fixture import read_answer
from relay_fixture import request

# The longest time, in seconds, that a refusal at once may take.
IMMEDIATE_REFUSAL_S = 0.35


@when("a caller sends a unsafe request every {ms:d} ms for {seconds:g} s")
def send_for(context, ms, seconds):
    async def one(number):
        reader, writer = await context.relay.connect()
        started = time.monotonic()
        writer.write(request("unsafe", number))
        answer = await read_answer(reader)
        writer.close()
        return answer, time.monotonic() - started

    async def work():
        pending = []
        for number in range(round(seconds * 1000 / ms)):
            pending.append(asyncio.ensure_future(one(1000 + number)))
            await asyncio.sleep(ms / 1000.0)
        return await asyncio.gather(*pending)

    context.timed = context.loop.run(work())


@when("its responses contain no rate limit any more")
def end_rate_limit(context):
    context.relay.servers[0].extra_header_lines.clear()


@then("the first endpoint got {least:d} to {most:d} in all")
def got_between(context, least, most):
    got = len(context.relay.servers[0].received)
    assert least <= got <= most, got


@then("the first endpoint answers each")
def first_answers(context):
    assert [answer.status for answer in context.answers] == [200] * 6


@then("the other requests were refused at once")
def others_refused_at_once(context):
    refused = [(answer, took_s) for answer, took_s in context.timed if answer.status != 200]
    assert refused
    for answer, took_s in refused:
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0.0, answer.status
        assert took_s < IMMEDIATE_REFUSAL_S, took_s
