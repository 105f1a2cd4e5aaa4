import re

from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core import control_jobs
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.leases import Lease
from rookspring_core.leases import LeaseTerms


@given("a relaying node that runs for {own:d} s beside nodes that run for {ages} s")
def beside_nodes(context, own, ages):
    context.relay_node = node = RelayHarness()
    node.state.started_at = node.now - own
    for number, age in enumerate(ages.split(", ")):
        heard = HeartbeatReceived(node.now, f"p{number}", "i", "a", "c", "z", 1, False)
        node.submit(heard._replace(uptime_s=float(age)))


@when("the other node told {ago:g} s ago that it {held} the lease")
def told_of_lease(context, ago, held):
    node = context.relay_node
    heard = HeartbeatReceived(node.now, "p0", "i", "a", "c", "z", 1, False, uptime_s=100.0)
    node.submit(heard._replace(lease_epoch=3 if held == "holds" else 0))
    node.state.control.lease.take_read(LeaseSeen(node.now, 7, "p0", 3, "x"), "n")
    node.state.now = node.now + ago


@then("this node {reads} the lease")
def reads_lease(context, reads):
    assert control_jobs.should_read_lease(context.relay_node.state) == (reads == "is to read")


@when("it is asked who may take the lease")
def list_candidates(context):
    state = context.relay_node.state
    up_s = state.now - state.started_at
    context.names = state.membership.successors(up_s, state.now, None)


@then("those are {names}")
def candidates_are(context, names):
    if names.startswith("not "):
        assert names.removeprefix("not ") not in context.names, context.names
    elif names.endswith(" first"):
        assert context.names[0] == names.removesuffix(" first"), context.names
    else:
        assert context.names == names.split(), context.names


@given("a relay lease that {before}")
def relay_lease(context, before):
    context.lease = Lease(LeaseTerms(4.0, 1.0, 1.0, 3.3, resumable=True))
    own = "n" if before.startswith("its own box") else "another"
    holder = "n@elsewhere" if "of its name" in before else own
    if before == "nobody ever held":
        seen = LeaseSeen(100.0, 0, "", 0, "")
    elif before.startswith("another gave up"):
        told = re.search(r"([\d.]+) s before its turn", before)
        turn_in_s = float(told[1]) if told else None
        seen = LeaseSeen(100.0, 7, "", 3, "", turn_in_s=turn_in_s)
    else:
        seen = LeaseSeen(100.0, 7, holder, 3, "old/1", "no orders" not in before)
    context.lease.take_read(seen, "n")
    if before.endswith("has ended"):
        context.lease.note_end(3, 100.0)


@when("its renewals get no answer for 5 s, and then one is answered late")
def renewals_unanswered(context):
    holder = context.holder
    nonces = []
    holder.on_lease_write = nonces.append
    holder.pass_time(2.9)
    late = nonces[-1]
    holder.pass_time(2.1)
    context.ended = holder.state.control.lease.ended
    asked_at = holder.now - 1.0
    holder.submit(LeaseWritten(holder.now, asked_at, late.nonce, True, late.version + 1))


@then("it does not hold the lease and tells that the epoch has ended")
def lease_dropped(context):
    assert context.ended == 1, context.ended
    assert not context.holder.state.control.holding(context.holder.now)


@when("a node looks at it and takes it as soon as it may")
def takes_lease(context):
    lease = context.lease
    for tenth in range(100):
        now = 100.0 + tenth / 10
        wish = lease.due_write(now, "n", "n#2", True)
        if wish is not None:
            assert wish.epoch == lease.epoch + 1
            assert lease.answer(LeaseWritten(now, now, wish.nonce, True, 8), "n")
            context.taken_s = now - 100.0
            return
    raise AssertionError("the lease was not taken within 10 s")


@then("it holds it after {taken:g} s and gives orders after {orders:g} s")
def holds_after(context, taken, orders):
    assert abs(context.taken_s - taken) < 0.11, context.taken_s
    turn_s = max(0.0, context.lease.turn_at - 100.0)
    assert abs(turn_s - orders) < 0.01, turn_s
