"""A lease holder that was suspended, and the first event that it handles when it resumes."""

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness

from rookspring_core.defaults import HANDOVER_GAP_S
from rookspring_core.defaults import RELAY_LEASE_MARGIN_S
from rookspring_core.defaults import RELAY_LEASE_RENEW_S
from rookspring_core.defaults import RELAY_LEASE_TTL_S
from rookspring_core.events import LeaseWritten
from rookspring_core.events import LoadRequested
from rookspring_core.events import OrderAnswered
from rookspring_core.events import Ticked
from rookspring_core.leases import LeaseTerms


def request_load(holder, adapter):
    holder.submit(LoadRequested(holder.now, "llm", "m", f"m/{adapter}", 2.0))


@given("a lease holder over two runners, with {step}")
def holder_with(context, step):
    context.holder = holder = HolderHarness(["m", "m"])
    # Relay nodes' terms: the lease is valid for 4 s from when its write was sent, and the holder
    # acts on it for 3 s.
    terms = LeaseTerms(RELAY_LEASE_TTL_S, RELAY_LEASE_RENEW_S, RELAY_LEASE_MARGIN_S, HANDOVER_GAP_S)
    holder.state.control.lease.terms = terms
    holder.pass_time(8.0)
    holder.orders.clear()
    context.writes = []
    # Wait for a write of the lease that was answered just now, so that the time left is known.
    while not holder.state.control.holding(holder.now + 2.95):
        holder.pass_time(0.1)
    holder.on_lease_write = context.writes.append
    if step == "an order without an answer":
        holder.answer = "none"
        request_load(holder, "a9")
        assert len(holder.orders) == 1, holder.orders
        holder.answer = "taken"
    elif step == "an unanswered write of the lease":
        holder.submit(Ticked(holder.now + 0.04))
    elif step == "a waiting request":
        holder.ask(model="m", adapter="m/a7")
    context.before = len(holder.orders)


@when(
    "it is suspended for {seconds:g} s, its writes of the lease get no answer,"
    " and {first} comes first"
)
def suspend(context, seconds, first):
    holder = context.holder
    sent_at = holder.now
    holder.now += seconds
    if first == "a load request":
        request_load(holder, "a1")
    elif first == "a runner's report":
        holder.submit(holder.report("e1", ["m"], token=(0, 0), polled=True))
    elif first == "the order's answer":
        order = holder.orders[-1]
        holder.submit(OrderAnswered(holder.now, order.endpoint, order.token, True, "done"))
    elif first == "the order's lost answer":
        order = holder.orders[-1]
        holder.submit(OrderAnswered(holder.now, order.endpoint, order.token, None, "reset"))
    elif first == "the write's late answer":
        (write,) = context.writes or [None]
        nonce = write.nonce if write else ""
        holder.submit(LeaseWritten(holder.now, sent_at, nonce, True, 9))
    else:
        holder.submit(Ticked(holder.now))
    # Load requests after it resumes are not ordered either, until a write of the lease is answered.
    request_load(holder, "a2")
    if seconds > 3.0:
        holder.pass_time(1.0)
        request_load(holder, "a3")


@then("it gives an order")
def gives_order(context):
    assert len(context.holder.orders) > context.before


@then("it gives no order")
def gives_none(context):
    assert len(context.holder.orders) == context.before, context.holder.orders[context.before :]
