"""Streams that end with their connection, as a node remembers them by endpoint."""

from behave import then
from behave import when
from open_end_steps import NAMES

from rookspring_core.events import AnswerEnded
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded


def ask_at(node, name, elsewhere):
    """Send streams until one goes to an endpoint; those before it stay in flight elsewhere."""
    for _ in range(10):
        sent = send(node, f"s{len(node.sent)}", stream=True)
        if sent.endpoint == name:
            return sent
        elsewhere.append(sent)
    raise AssertionError(f"no stream went to {name}")


def send(node, key, stream, **fields):
    node.ask(attempts=2, model="m", key=key, stream=stream, **fields)
    sent = node.sent[-1]
    assert sent.request_id == key, sent
    node.submit(AttemptStarted(node.now, sent.request_id, sent.attempt))
    return sent


def end(node, sent, how):
    key = (sent.request_id, sent.attempt)
    if how != "framed":
        node.submit(AnswerEnded(node.now, *key, node.now, by_close=True))
    if how == "cut":
        failed = AttemptFailed(node.now, *key, True, False, "no end", open_ended=True)
        node.submit(failed._replace(followable=False))
    else:
        node.submit(AttemptSucceeded(node.now, *key))


def end_all(context, name, ends):
    node, elsewhere = context.node, []
    sent = [ask_at(node, name, elsewhere) for _ in ends]
    for one, how in zip(sent, ends, strict=True):
        end(node, one, how)
    for one in elsewhere:
        end(node, one, "framed")


@when("one of them ends its latest streams as {ends}, and 6 streams follow {after_s:g} s later")
def ends_streams(context, ends, after_s):
    end_all(context, NAMES[0], ends.split(", "))
    context.node.now += after_s
    follow(context, 6, "streams")


@when("one of them ends its latest streams as closed, closed, closed")
def ends_closed(context):
    end_all(context, NAMES[0], ["closed"] * 3)


@when("this holds at the node: {where}")
def holds(context, where):
    node = context.node
    first, second = (node.state.endpoints[name] for name in NAMES)
    if where == "the other has no room":
        while second.load(node.now) < 1.0:
            assert send(node, f"f{len(node.sent)}", stream=True).endpoint == second.name
    elif where == "the other has left":
        node.submit(node.report(second.name, ("m",), leaving=True))
    elif where == "the other's streams end so too":
        for _ in range(3):
            second.open_ends.note_stream(True, node.now)
    elif where == "its process has started anew":
        first.reset_for_restart(node.now)
        node.submit(node.report(first.name, ("m",)))


@when("{number:d} {kind} follow")
def follow(context, number, kind):
    node = context.node
    before = len(node.sent)
    for one in range(number):
        send(node, f"m{one}", stream=kind == "streams")
    context.got = [sent.endpoint for sent in node.sent[before:]]


@when("a stream fails at the other before its first event")
def fails_at_other(context):
    node = context.node
    sent = send(node, "again", stream=True)
    assert sent.endpoint == NAMES[1], sent
    node.submit(AttemptFailed(node.now, sent.request_id, sent.attempt, True, False, "broke"))


@then("it is sent to that endpoint next")
def sent_there(context):
    sent = context.node.sent[-1]
    assert (sent.request_id, sent.endpoint) == ("again", NAMES[0]), sent
