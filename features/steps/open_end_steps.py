from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded

NAMES = ("e1", "e2")


@given("a relaying node with two endpoints that hold one model")
def two_holders(context):
    node = context.node = RelayHarness()
    node.list_endpoints(NAMES, "llm", "runner")
    for name in NAMES:
        node.submit(node.report(name, ("m",)))


@when("{ends:d} answers of one of them show no end, and {number:d} follow {after_s:g} s later")
def answers_end_open(context, ends, number, after_s):
    end_open(context.node, NAMES[0], ends)
    send_more(context, number, after_s)


@when("{ends:d} answers of each of them show no end, and {number:d} follow {after_s:g} s later")
def all_end_open(context, ends, number, after_s):
    for name in NAMES:
        end_open(context.node, name, ends)
    send_more(context, number, after_s)


@when("{ends:d} answers of one of them show no end, one is whole, and {more:d} show none again")
def whole_between(context, ends, more):
    node = context.node
    end_open(node, NAMES[0], ends)
    sent = ask_at(node, NAMES[0])
    node.submit(AttemptSucceeded(node.now, sent.request_id, sent.attempt))
    end_open(node, NAMES[0], more)


def end_open(node, name, times):
    for _ in range(times):
        sent = ask_at(node, name)
        key = (sent.request_id, sent.attempt)
        node.submit(AttemptFailed(node.now, *key, True, False, "no end", open_ended=True))


def ask_at(node, name):
    """Send requests until one goes to an endpoint; those before it stay in flight elsewhere."""
    for _ in range(10):
        node.ask(kind="unsafe", attempts=1, model="m", key=f"q{len(node.sent)}")
        sent = node.sent[-1]
        node.submit(AttemptStarted(node.now, sent.request_id, sent.attempt))
        if sent.endpoint == name:
            return sent
    raise AssertionError(f"no request went to {name}")


def send_more(context, number, after_s):
    node = context.node
    node.now += after_s
    before = len(node.sent)
    for one in range(number):
        node.ask(kind="unsafe", attempts=1, model="m", key=f"m{one}")
    context.got = [sent.endpoint for sent in node.sent[before:]]
    assert len(context.got) == number, context.got


@then("that endpoint gets {some} of them")
def first_gets(context, some):
    assert (NAMES[0] in context.got) == (some == "some"), context.got


@then("each of them gets some of them")
def each_gets(context):
    assert set(context.got) == set(NAMES), context.got


@then("that endpoint is not passed over")
def not_passed_over(context):
    node = context.node
    assert node.state.endpoints[NAMES[0]].open_ends.passed_over_until < node.now
