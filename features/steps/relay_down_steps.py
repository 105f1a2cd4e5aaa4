from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core.events import AttemptFailed
from rookspring_core.events import DownReceived


@when("another node reports that nothing listens at the first runner")
def runner_reported_down(context):
    holder = context.holder
    holder.dead.add("e1")
    for runner in holder.runners.values():
        runner["disk"] = ("n",)
    holder.relist()
    holder.submit(DownReceived(holder.now, "e1"))
    holder.ask(model="n", objective_s=6.0)
    holder.demand("n", 1000.0)
    # The load is never answered.
    holder.answer = "none"
    holder.pass_time(0.6)


@then("a request for n is not sent there, and waits for the load")
def waits_for_n(context):
    assert context.holder.sent == [] and context.holder.refused == []


@when("another node reports wrongly that nothing listens at the first runner")
def runner_wrongly_reported_down(context):
    context.holder.submit(DownReceived(context.holder.now, "e1"))


@then("it may get requests and orders again within {seconds:g} s")
def usable_within(context, seconds):
    holder = context.holder
    view = holder.state.endpoints["e1"]
    assert not view.accepts_work(holder.now)
    holder.pass_time(seconds)
    assert view.accepts_work(holder.now) and not view.down


@given("a relaying node whose one endpoint refuses connections")
def refusing_endpoint(context):
    context.relay_node = RelayHarness()
    context.relay_node.list_endpoints(["e1"], "svc", "service")


@when("two requests are sent to it at once")
def two_sent(context):
    node = context.relay_node
    for key in ("r1", "r2"):
        node.ask(key=key)
    assert [one.request_id for one in node.sent] == ["r1", "r2"]
    for key in ("r1", "r2"):
        node.submit(AttemptFailed(node.now, key, 1, False, False, "refused", down=True))


@then("the other nodes are informed once, and neither request is sent again")
def informed_once(context):
    node = context.relay_node
    assert [one.endpoint for one in node.shared_down] == ["e1"]
    assert len(node.sent) == 2, node.sent
