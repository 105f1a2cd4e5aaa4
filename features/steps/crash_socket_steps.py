import asyncio
import json

import aiohttp
from behave import given
from behave import then
from behave import when

from rookspring_fakes.users import SMALL

AUTH = {"Authorization": "Bearer demo"}
MODEL = "pitwall-llm-00"
FATAL = "ends what runs it"


@given('{number:d} more runners, which crash when a prompt with "{text}" is sent to them')
def more_runners(context, number, text):
    stage = context.stage

    async def work():
        # The runners that exist already crash on it as well.
        for one in range(number):
            await stage.start_runner(SMALL.runners + one, text)
        for runner in stage.runners.values():
            runner.fatal_text = text
        await asyncio.sleep(1.0)

    context.loop.run(work())


async def ask(session, node, prompt):
    body = {"model": MODEL, "messages": [{"role": "user", "content": prompt}], "max_tokens": 5}
    url = f"http://{node.settings.caller_address}/v1/chat/completions"
    async with session.post(url, json=body, headers=AUTH) as response:
        return response.status, dict(response.headers), json.loads(await response.read())


@when("a caller repeats it {times:d} times, at each node in turn")
def asks(context, times):
    async def work():
        nodes = list(context.stage.nodes.values())
        async with aiohttp.ClientSession() as session:
            for turn in range(times):
                answer = await ask(session, nodes[turn % len(nodes)], FATAL)
                context.answers.append(answer)
                await asyncio.sleep(0.5)

    context.answers = []
    context.loop.run(work(), 60.0)


@then("no more than {most:d} runners have crashed")
def ended(context, most):
    found = context.stage.crashed_runners
    assert 2 <= len(found) <= most, (found, [one[0] for one in context.answers])


@then("the last answers are 503 with the outcome not_run and no retry time")
def last(context):
    for status, headers, body in context.answers[-3:]:
        assert status == 503 and body["outcome"] == "not_run", (status, body)
        assert "Retry-After" not in headers, headers
        assert body["error"]["code"] == "ends_endpoints", body


@then("a chat with another prompt is answered by each node")
def another(context):
    async def work():
        async with aiohttp.ClientSession() as session:
            for node in context.stage.nodes.values():
                status, _, body = await ask(session, node, "hello")
                assert status == 200, body

    context.loop.run(work(), 60.0)


@then("each node has counted one verdict")
def counted(context):
    for node in context.stage.nodes.values():
        text = node.metrics.render()[0].decode()
        found = [one for one in text.splitlines() if one.startswith("rookspring_verdicts_total{")]
        assert len(found) == 1 and found[0].endswith(" 1"), found
