from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness

from rookspring_core.accounts import report_without
from rookspring_core.orders import accepts_orders
from rookspring_core.orders import apply_and_share_report

SUSPENDED_S = 6.0


class LaggingHolder(HolderHarness):
    """A lease holder whose runner's reports may be older than its last order."""

    lag = 0

    def read_report(self, effect):
        runner = self.runners[effect.endpoint]
        runner["taken"] -= self.lag
        super().read_report(effect)
        runner["taken"] += self.lag


@given("a lease holder that has withdrawn n from a runner that holds m and n")
def withdrawn(context):
    context.holder = holder = LaggingHolder(["m+n"])
    runner = holder.runners["e1"]
    runner["taken"] += 1
    holder.submit(holder.report("e1", runner["models"], token=(0, runner["taken"]), polled=True))
    view = holder.state.endpoints["e1"]
    holder.state.residency.accounts["e1"].withdraw("n", holder.now)
    apply_and_share_report(holder.state, view, report_without(view.report, "n", ""))


@when("it acquires the lease again, and the runner's report {report}")
def acquires_again(context, report):
    holder = context.holder
    epoch = holder.state.control.acting_epoch
    holder.lag = 1 if "older" in report else 0
    # It is suspended until its lease has lapsed.
    holder.now += SUSPENDED_S
    while holder.state.control.acting_epoch == epoch:
        holder.pass_time(0.1)
    holder.pass_time(0.3)
    if "later" in report:
        holder.lag = 0
        holder.pass_time(1.3)


@then("the holder gives the runner no order")
def no_order(context):
    state = context.holder.state
    assert not accepts_orders(state, state.endpoints["e1"])


@then("the holder counts n as held there")
def counts_held(context):
    state = context.holder.state
    view = state.endpoints["e1"]
    assert accepts_orders(state, view)
    assert {name for name, _ in view.report.resident} == {"m", "n"}, view.report.resident
