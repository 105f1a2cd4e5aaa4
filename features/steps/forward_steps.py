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
    attribute, replacement = BREAKS[where]
    with mock.patch.object(LinkResponder, attribute, replacement):
        context.outcome = context.loop.run(call_linked(context, {}))


@when("key 1 is sent to box-1, for an answer of {size:d} MB")
def long_answer(context, size):
    padding = {"padding": size << 20}
    context.outcome = context.loop.run(call_linked(context, padding))


async def call_linked(context, fields):
    """Send a call to box-1 once box-2 is linked to it, and return how its caller sees it end."""
    peers = context.stage.nodes["box-1"].peers
    async with asyncio.timeout(LINKED_S):
        while not peers.hears("box-2"):
            await asyncio.sleep(0.02)
    context.link = peers.links["box-2"]
    body = {"call": context.call, **fields}
    try:
        return await place_call(address(context), context.session, 1, context.call, body=body)
    except aiohttp.ClientError:
        return "no whole answer"
    except json.JSONDecodeError as error:
        return f"as whole: {error.doc[-200:]}"


@then("the link between box-1 and box-2 is the one before")
def same_link(context):
    peers = context.stage.nodes["box-1"].peers
    assert peers.links.get("box-2") is context.link and peers.hears("box-2")


@then("its caller gets {what}, and it ran once")
def got_outcome(context, what):
    assert context.outcome == what, context.outcome
    assert context.stage.ledger.runs.get(context.call) == 1, context.stage.ledger.runs
