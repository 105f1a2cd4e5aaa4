"""Answers that come over a link between nodes of the product's own, and the link's end."""

import asyncio
import json
from unittest import mock

import aiohttp
from behave import then
from behave import when
from socket_calls import address
from socket_calls import place_call

from rookspring.forwarding import LinkResponder

# By then a link that the row before has ended is made again.
LINKED_S = 10.0

_send = LinkResponder.send


async def end_link(responder, *_):
    responder._link.close()


async def send_half(responder, data):
    await _send(responder, data[: len(data) // 2])
    await end_link(responder)


# What a node does with an answer, by where its link ends.
BREAKS = {
    "before the answer": ("start", end_link),
    "behind its head": ("send", end_link),
    "within its body": ("send", send_half),
}


@when("key 1 is sent to box-1, and the link to box-2 ends {where}")
def forwarded_and_cut(context, where):
    async def work():
        peers = context.stage.nodes["box-1"].peers
        async with asyncio.timeout(LINKED_S):
            while not peers.hears("box-2"):
                await asyncio.sleep(0.02)
        try:
            return await place_call(address(context), context.session, 1, context.call)
        except aiohttp.ClientError:
            return "no whole answer"
        except json.JSONDecodeError as error:
            return f"as whole: {error.doc}"

    attribute, replacement = BREAKS[where]
    with mock.patch.object(LinkResponder, attribute, replacement):
        context.outcome = context.loop.run(work())


@then("its caller gets {what}, and it ran once")
def got_outcome(context, what):
    assert context.outcome == what, context.outcome
    assert context.stage.ledger.runs.get(context.call) == 1, context.stage.ledger.runs
