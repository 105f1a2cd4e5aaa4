import random

from behave import given
from behave import then
from behave import when
from relay_harness import SIZES
from relay_harness import HolderHarness
from relay_harness import make_table

from rookspring_core import placement
from rookspring_core import planning
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LoadRequested
from rookspring_core.events import OrderAnswered
from rookspring_core.events import RouteTableSeen
from rookspring_core.orders import accepts_orders


@given("a lease holder over runners holding {held} of 200 GB")
def lease_holder(context, held):
    context.holder = HolderHarness(held.split(", "))
    assert context.holder.state.control.holding(context.holder.now)
    context.holder.orders.clear()


def want(holder, adapter):
    holder.submit(LoadRequested(holder.now, "llm", "m", f"m/{adapter}"))


@when("an adapter of m is wanted")
def adapter_wanted(context):
    want(context.holder, "a1")


@when("an adapter of m is wanted and the answer is {answer}")
def adapter_wanted_answered(context, answer):
    context.holder.answer = answer
    want(context.holder, "a1")


@given("its adapters are in use {where}")
def adapters_in_use(context, where):
    holder = context.holder
    if where == "here":
        for name in ("a2", "a3"):
            holder.ask(model="m", adapter=f"m/{name}", key=f"r-{name}")
        assert len(holder.sent) == 2
        return
    context.peer = HeartbeatReceived(holder.now, "p0", "i", "a", "c", "z", 1, False)
    beat(context, (("e1", "m/a2"), ("e1", "m/a3")))


def beat(context, used):
    holder = context.holder
    holder.submit(context.peer._replace(at=holder.now, used=used))


@when("an adapter of m is wanted for {seconds:g} s")
def wanted_for(context, seconds):
    holder = context.holder
    for _ in range(round(seconds / 0.1)):
        want(holder, "a1")
        holder.pass_time(0.1)
        # Running requests make progress, so that their runner does not count as silent.
        for one in list(holder.state.requests.values()):
            if one.running:
                key = (one.arrived.request_id, one.attempt)
                holder.submit(AttemptProgressed(holder.now, *key, 1))


@then("no order is given, and a new request for m/a2 finds it nowhere")
def withdrawn(context):
    holder = context.holder
    assert not holder.orders, holder.orders
    assert not holder.state.endpoints["e1"].has_adapter("m/a2")
    assert holder.state.endpoints["e1"].has_adapter("m/a3")


@when("the requests for it end")
def requests_end(context):
    holder = context.holder
    if "r-a2" in holder.state.requests:
        holder.submit(AttemptSucceeded(holder.now, "r-a2", 1))
    else:
        beat(context, (("e1", "m/a3"),))


@when("the adapter that was withdrawn is wanted")
def withdrawn_wanted(context):
    want(context.holder, "a2")


@then("a new request for it is sent there")
def sent_there(context):
    holder = context.holder
    holder.ask(model="m", adapter="m/a2", key="again")
    assert holder.sent[-1].request_id == "again"
    assert not holder.orders


@when("an order for an adapter is answered {answer}, and {then}")
def adapter_wanted_then(context, answer, then):
    holder = context.holder
    holder.answer = {"never": "lost always"}.get(answer, answer)
    want(holder, "a1")
    holder.answer = "taken"
    holder.state.residency.load_requests.clear()
    holder.pass_time(0.5)
    if then.startswith("the list tells less"):
        holder.submit(holder.report("e1", ["m"], ["m/a2"], (0, -1)))
    for _ in range(10):
        want(holder, "a4")
        holder.pass_time(0.1)


@when("another adapter of m is wanted")
def another_wanted(context):
    want(context.holder, "a2")


@when("the model {model} joins")
def model_declared(context, model):
    sizes = {"m": 70_000.0, model: {"big": 150_000.0, "n": 60_000.0}[model]}
    holder = context.holder
    if any("n" in runner["models"] for runner in holder.runners.values()):
        sizes["n"] = 60_000.0
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    holder.pass_time(1.0)


@when("m is asked for a lot")
def asked_a_lot(context):
    for _ in range(20):
        context.holder.demand("m", 50_000.0)
        context.holder.pass_time(0.1)


@when("the lease is lost, then an adapter of m is wanted")
def lease_lost(context):
    context.holder.submit(LeaseSeen(context.holder.now, 99, "another", 9, "x"))
    want(context.holder, "a1")


@then("the orders are {expected}")
def orders_are(context, expected):
    got = [f"{one.action} {one.model_version or one.model}" for one in context.holder.orders]
    # Orders that follow from the expected ones are not checked.
    wanted = [] if expected == "none" else expected.split(", ")
    assert got[: max(1, len(wanted))] == wanted, got


@then("just these orders were given: {expected}")
def orders_are_just(context, expected):
    got = [f"{one.action} {one.model_version or one.model}" for one in context.holder.orders]
    assert got == expected.split(", "), got


@when("loads of a model of 80 GB get no answer, and one of 90 GB is asked for")
def loads_unanswered(context):
    holder = context.holder
    # The table that declares y no longer declares x, whose load may still arrive.
    sizes = {"m": 70_000.0, "y": 90_000.0}
    holder.answer = "lost always"
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes={"m": 70_000.0, "x": 80_000.0})))
    for _ in range(20):
        holder.demand("x", 5_000.0)
        holder.pass_time(0.1)
    assert holder.orders[0].model == "x", holder.orders
    # From here on orders are carried out; the loads of x may still arrive.
    for room in holder.state.residency.accounts.values():
        room.order = None
    holder.answer = "taken"
    holder.orders.clear()
    holder.submit(RouteTableSeen(holder.now, make_table(3, sizes=sizes)))
    context.began = holder.now
    while holder.now < context.began + 20.0:
        holder.demand("y", 5_000.0)
        holder.pass_time(0.1)
        if any(one.model == "y" and one.action == "load" for one in holder.orders):
            break
    context.loaded_s = holder.now - context.began


@given("a new lease holder whose first report of a runner shows m, and a load under way")
def new_holder(context):
    context.holder = holder = HolderHarness(["m"])
    holder.submit(LeaseSeen(holder.now, 50, "another", 9, "x"))
    sizes = {"m": 70_000.0, "n": 60_000.0, "big": 120_000.0}
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    holder.pass_time(4.5)
    context.report = holder.report
    holder.report = lambda *given, **fields: context.report(*given, **fields, loading=(("o", ""),))
    while not holder.state.control.holding(holder.now):
        holder.pass_time(0.1)
    holder.pass_time(0.3)
    holder.orders.clear()


@when("the load of big ends there before the holder's turn, and n is asked for")
def load_ends(context):
    holder = context.holder
    holder.report = context.report
    runner = holder.runners["e1"]
    runner["models"].append("big")
    runner["taken"] += 1
    for _ in range(80):
        holder.demand("n", 5_000.0)
        holder.pass_time(0.1)


@then("n is not loaded beside them")
def not_beside(context):
    holder = context.holder
    view = holder.state.endpoints["e1"]
    assert "big" in view.resident, view.resident
    assert all(holder.used_mb(name) <= 200_000.0 for name in holder.runners)
    assert not view.report.loading


@when("the model x is under way to a runner and then no longer declared")
def undeclared_under_way(context):
    holder = context.holder
    holder.answer = "none"
    sizes = {"m": 70_000.0, "x": 80_000.0}
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    for _ in range(20):
        holder.demand("x", 5_000.0)
        holder.pass_time(0.1)
    assert holder.orders[0].model == "x", holder.orders
    holder.submit(RouteTableSeen(holder.now, make_table(3, sizes={"m": 70_000.0})))


@then("the holder goes on")
def holder_goes_on(context):
    context.holder.pass_time(1.0)
    assert context.holder.state.control.holding(context.holder.now)


@then("that is loaded only after {seconds:g} s")
def loaded_after(context, seconds):
    assert seconds - 3.0 < context.loaded_s < seconds + 3.0, context.loaded_s


@when("the list tells again what the first runner held")
def list_again(context):
    holder = context.holder
    holder.submit(holder.report("e1", ["m"], ["m/a2", "m/a3"], (0, -1)))


@then("the first runner is not used for m/a2")
def not_used_for(context):
    assert not context.holder.state.endpoints["e1"].has_adapter("m/a2")


@when("a request for n meets {how} at its runner")
def meets_at_runner(context, how):
    holder = context.holder
    holder.ask(model="n")
    (sent,) = holder.sent
    down = how == "no listener"
    if down:
        holder.dead.add(sent.endpoint)
    failed = AttemptFailed(
        holder.now, sent.request_id, sent.attempt, not down, False, how, down=down
    )
    holder.submit(failed)
    holder.pass_time(1.0)


@when("a request for m runs, and x of 150 GB is asked for and on the runner's disk")
def runs_beside_want(context):
    holder = context.holder
    holder.ask(model="m", key="r1")
    table = make_table(2, sizes={**SIZES, "x": 150_000.0})
    holder.submit(RouteTableSeen(holder.now, table))
    holder.runners["e1"]["disk"] = ("m", "n", "x")
    holder.relist()
    ask_on(holder, 2.0)


@when("a request for m/a2 runs, and m is withdrawn from its runner for x, which holds n too")
def adapters_of_withdrawn(context):
    holder = context.holder
    holder.runners["e1"]["models"].append("n")
    holder.list_endpoints(["e1"], "llm", "runner")
    view = holder.state.endpoints["e1"]
    holder.submit(holder.report("e1", ["m", "n"], ["m/a2", "m/a3"], (0, 0), polled=True))
    holder.ask(model="m", adapter="m/a2", key="r1")
    assert [one.request_id for one in holder.sent] == ["r1"]
    engine = holder.state.table.services["llm"].engine
    move = placement.Move("unload", view.name, ("m", ""), 70.0, "room for x", True, "x")
    for effect in planning.perform_move(holder.state, engine, move):
        holder.perform(effect)
    holder.orders.clear()


@when("an adapter of n is wanted for {seconds:g} s")
def adapter_of_n(context, seconds):
    holder = context.holder
    for _ in range(round(seconds / 0.1)):
        holder.submit(LoadRequested(holder.now, "llm", "n", "n/a7"))
        if holder.state.requests.get("r1"):
            holder.submit(AttemptProgressed(holder.now, "r1", 1, 1))
        holder.pass_time(0.1)


@then("no adapter was loaded there")
def no_adapter_loaded(context):
    assert not context.holder.orders, context.holder.orders


@then("an adapter of n was loaded there")
def adapter_loaded(context):
    orders = [(one.action, one.model_version or one.model) for one in context.holder.orders]
    assert orders[:2] == [("unload", "m"), ("load", "n/a7")], orders


def ask_on(holder, seconds):
    for _ in range(round(seconds / 0.1)):
        holder.demand("x", 9000.0)
        if holder.state.requests.get("r1"):
            # The running request makes progress, so that its runner does not count as silent.
            holder.submit(AttemptProgressed(holder.now, "r1", 1, 1))
        holder.pass_time(0.1)


@then("a new request for m is not sent there")
def not_sent_there(context):
    holder = context.holder
    holder.ask(model="m", key="r2")
    assert [one.request_id for one in holder.sent] == ["r1"]


@when("m goes from the runner by a late order, and its report is read")
def goes_late(context):
    holder = context.holder
    assert holder.state.residency.accounts["e1"].withdrawn_models() == ["m"]
    runner = holder.runners["e1"]
    runner["models"].remove("m")
    runner["taken"] += 1
    holder.submit(holder.report("e1", runner["models"], (), (0, runner["taken"]), polled=True))


@then("the holder counts nothing of m there any more")
def nothing_of_m(context):
    assert not context.holder.state.residency.accounts["e1"].withdrawn


@when("a runner answers a load of x that it holds it already, and counts no order")
def holds_already(context):
    holder = context.holder
    holder.answer = "none"
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes={**SIZES, "x": 50_000.0})))
    holder.demand("x", 1000.0)
    while not holder.orders:
        holder.pass_time(0.1)
    (order,) = holder.orders
    context.ordered = order
    holder.reads.clear()
    holder.runners[order.endpoint]["models"].append("x")
    holder.submit(OrderAnswered(holder.now, order.endpoint, order.token, True, "done"))


@then("the holder reads its report, and may give it another order within {seconds:g} s")
def another_order(context, seconds):
    holder = context.holder
    name = context.ordered.endpoint
    holder.pass_time(seconds)
    assert [endpoint for endpoint, _ in holder.reads] == [name], holder.reads
    assert accepts_orders(holder.state, holder.state.endpoints[name])


@when("the request ends")
def request_ends(context):
    context.holder.submit(AttemptSucceeded(context.holder.now, "r1", 1))
    ask_on(context.holder, 2.0)


@when("{order} is taken at a runner, whose reports have come too early {times:d} times")
def order_taken(context, order, times):
    holder = context.holder
    for _ in range(times):
        holder.state.residency.raise_report_lag()
    holder.reads.clear()
    if order == "a load":
        holder.submit(RouteTableSeen(holder.now, make_table(2, sizes={**SIZES, "x": 50_000.0})))
        holder.demand("x", 1000.0)
    else:
        holder.submit(RouteTableSeen(holder.now, make_table(2, sizes={**SIZES, "x": 150_000.0})))
        for runner in holder.runners.values():
            runner["disk"] = ("m", "n", "x")
        holder.relist()
        holder.demand("x", 9000.0)
    holder.orders.clear()
    while not holder.orders:
        holder.pass_time(0.1)
    context.ordered_at = holder.now


@then("its report is first read {after:g} s later")
def first_read(context, after):
    holder = context.holder
    endpoint = holder.orders[0].endpoint
    holder.pass_time(after + 1.0)
    times = [at for name, at in holder.reads if name == endpoint and at >= context.ordered_at]
    # The report is read at the first tick after that time.
    late_s = times[0] - context.ordered_at - after
    assert -1e-6 < late_s < 0.1 + 1e-6, (times, context.ordered_at)


@when("the first runner has a request and leaves the list, and {what} comes")
def leaves_list(context, what):
    holder = context.holder
    for number in range(2):
        holder.ask(model="m", key=f"r{number}")
    assert {one.endpoint for one in holder.sent} == {"e1", "e2"}, holder.sent
    holder.list_endpoints(["e2"], "llm", "runner")
    # Less than the time after which a runner counts as silent.
    holder.now += 0.5
    if what == "its report":
        token = holder.state.endpoints["e1"].report.order_token
        holder.submit(holder.report("e1", ["m"], (), token, polled=True))
    elif what == "its row again":
        holder.list_endpoints(["e1", "e2"], "llm", "runner")
    context.open = holder.state.endpoints["e1"].accepts_work(holder.now)


@when("{number:d} plans are made under demand that moves")
def plans_made(context, number):
    holder = context.holder
    generator = random.Random(7)
    context.absent = []
    context.over_memory = []
    for step in range(number):
        busy = "m" if (step // 40) % 2 else "n"
        holder.demand(busy, 40_000.0 * generator.random())
        holder.pass_time(0.5)
        held = {model for runner in holder.runners.values() for model in runner["models"]}
        context.absent += [model for model in SIZES if model not in held]
        context.over_memory += [name for name in holder.runners if holder.used_mb(name) > 200_000.0]


@then("m and n were resident somewhere all the time and no runner was over its memory")
def all_resident(context):
    assert not context.absent and not context.over_memory, (context.absent, context.over_memory)


@when("a request for n hangs at its runner, whose entry goes")
def hangs_at_gone(context):
    holder = context.holder
    holder.ask(model="n", key="hangs")
    assert holder.sent[-1].endpoint == "e1", holder.sent
    holder.dead.add("e1")
    holder.list_endpoints(["e2"], "llm", "runner")


@then("n is loaded at the other within 1 s")
def loaded_at_other(context):
    holder = context.holder
    for _ in range(10):
        holder.demand("n", 900.0)
        holder.pass_time(0.1)
    got = [(one.action, one.model, one.endpoint) for one in holder.orders]
    assert ("load", "n", "e2") in got, got
