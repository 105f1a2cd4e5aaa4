import json
from unittest import mock

import message_samples as samples
from behave import then
from behave import when
from other_node import TAGS
from other_node import Target
from other_node import send_kinds
from other_node import send_odd
from socket_calls import AUTH
from socket_calls import address
from socket_calls import send

from rookspring.gossip import RECEIVERS
from rookspring.messages import EndpointDown

CHAT = {"model": "pitwall-llm-00", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}


@when("another node sends box-1 each kind of message, with each value {what} in turn")
def each_kind(context, what):
    node = context.stage.nodes["box-1"]
    make = {"odd": samples.odd_messages, "extreme": samples.extreme_messages}[what]
    target = Target(node.peers, node.state)
    context.kept = context.loop.run(send_kinds(target, RECEIVERS, make))


def fail(node, link, message):
    raise RuntimeError("injected by the test")


@when("another node sends box-1 a message whose handler fails")
def handler_fails(context):
    node = context.stage.nodes["box-1"]
    down = samples.sample_message(TAGS[EndpointDown])
    with mock.patch.dict(RECEIVERS, {EndpointDown: fail}):
        work = send_odd(Target(node.peers, node.state), [down], -1, "x-failing")
        context.kept = {"down": context.loop.run(work)}


@then("each link to box-1 stays, and a sound heartbeat after the others is handled")
def each_stays(context):
    ended = [tag for tag, kept in context.kept.items() if not kept]
    assert not ended, f"{len(ended)} of {len(context.kept)} ended the link: {ended}"


@then("a caller of each node gets a whole answer")
def callers_served(context):
    body = json.dumps(CHAT).encode()
    for name in context.stage.nodes:
        call = send(address(context, name), "POST", "/v1/chat/completions", body, AUTH)
        status, answer = context.loop.run(call)
        assert status == 200, (name, status, answer)
        assert answer["usage"]["completion_tokens"] == CHAT["max_tokens"], answer
