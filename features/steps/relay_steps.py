import random

from behave import given
from behave import then
from behave import when
from relay_harness import SIZES
from relay_harness import HolderHarness
from relay_harness import RelayHarness
from relay_harness import make_route
from relay_harness import make_table

from rookspring_core import governing
from rookspring_core import routed
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import DrainAsked
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import ModelWanted
from rookspring_core.events import PeerHeard
from rookspring_core.events import PeerLost
from rookspring_core.events import RefusalHeard
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import Ticked
from rookspring_core.leases import Lease
from rookspring_core.leases import LeaseTerms
from rookspring_core.retries import RetryWindow
from rookspring_core.retries import WindowTerms
from rookspring_core.routes import Split
from rookspring_core.routes import pick_service


@given("routes for {prefixes}")
def routes_for(context, prefixes):
    context.routes = make_table(routes=[make_route(one) for one in prefixes.split(", ")])


@when("a request for {path} comes")
def request_for(context, path):
    context.route = context.routes.match("h", path)


@then("its route is {expected}")
def route_is(context, expected):
    assert (context.route.prefix if context.route else "none") == expected


@given("a route split {first:d} to {second:d}")
def split_route(context, first, second):
    context.route = make_route(splits=(Split("one", first), Split("two", second)))


@when("{number:d} requests are picked")
def requests_picked(context, number):
    context.picked = [pick_service(context.route, f"q{one}") for one in range(number)]


@then("about {number:d} go to the lighter side, each again to the same one")
def about(context, number):
    assert 0.8 * number < context.picked.count("two") < 1.2 * number
    again = [pick_service(context.route, f"q{one}") for one in range(len(context.picked))]
    assert again == context.picked


@given("a relaying node with three endpoints and {attempts:d} attempts for a {kind} route")
def three_endpoints(context, attempts, kind):
    context.relay_node = node = RelayHarness()
    node.state.window_terms = WindowTerms(1.0, 100.0, 10.0, 1)
    node.list_endpoints(["e1", "e2", "e3"], "svc", "service")
    for name in ("e1", "e2", "e3"):
        node.submit(node.report(name))
    context.ask = (kind, attempts)


@when("a relayed request meets: {events}")
def meets(context, events):
    context.relay_node.ask(*context.ask)
    for event in events.split(", "):
        context.relay_node.meet(event)


@then("it was sent {times:d} times and ended {outcome}")
def sent_and_ended(context, times, outcome):
    node = context.relay_node
    assert len(node.sent) == times, node.sent
    assert node.ended == [outcome], node.ended
    assert not node.state.requests


@given("a window with share {share:f} and slack {slack:d} for {nodes:d} nodes")
def a_window(context, share, slack, nodes):
    context.window = RetryWindow(WindowTerms(share, slack, 10.0, nodes))


@given("a relaying node that has seen {seen:d} others, of which {left:d} are left")
def seen_others(context, seen, left):
    node = RelayHarness()
    node.state.window_terms = WindowTerms(0.2, 160.0, 10.0, 16)
    for number in range(seen):
        node.submit(PeerHeard(node.now, f"p{number}", "i", "a", "c", "z", 1, False))
    for number in range(left, seen):
        node.submit(PeerLost(node.now, f"p{number}"))
    context.window = routed.window(node.state, "svc")


@given("a relaying node that runs for {own:d} s beside nodes that run for {ages} s")
def beside_nodes(context, own, ages):
    context.relay_node = node = RelayHarness()
    node.state.started_at = node.now - own
    for number, age in enumerate(ages.split(", ")):
        heard = PeerHeard(node.now, f"p{number}", "i", "a", "c", "z", 1, False)
        node.submit(heard._replace(up_s=float(age)))


@when("the other node told {ago:g} s ago that it {held} the lease")
def told_of_lease(context, ago, held):
    node = context.relay_node
    heard = PeerHeard(node.now, "p0", "i", "a", "c", "z", 1, False, up_s=100.0)
    node.submit(heard._replace(lease_epoch=3 if held == "holds" else 0))
    node.state.control.lease.see(LeaseSeen(node.now, 7, "p0", 3, "x"), "n")
    node.state.now = node.now + ago


@then("this node {reads} the lease")
def reads_lease(context, reads):
    assert governing.reads_lease(context.relay_node.state) == (reads == "is to read")


@when("it is asked who may take the lease")
def asked_who(context):
    state = context.relay_node.state
    context.names = state.membership.successors(state.now - state.started_at)


@then("those are {names}")
def those_are(context, names):
    if names.startswith("not "):
        assert names.removeprefix("not ") not in context.names, context.names
    elif names.endswith(" first"):
        assert context.names[0] == names.removesuffix(" first"), context.names
    else:
        assert context.names == names.split(), context.names


@when("{firsts:d} requests are sent and all want to be resent")
def all_want(context, firsts):
    for _ in range(firsts):
        context.window.earn(1.0)
    context.resends = sum(context.window.spend(1.5) for _ in range(firsts + 50))


@then("{resends:d} resends are allowed")
def resends_allowed(context, resends):
    assert context.resends == resends, context.resends


@when("{firsts:d} requests are sent, {seconds:d} seconds pass and a resend is asked for")
def resend_later(context, firsts, seconds):
    for _ in range(firsts):
        context.window.earn(1.0)
    context.allowed = context.window.spend(1.0 + seconds)


@then("it is refused")
def is_refused(context):
    assert not context.allowed


@given("a relay lease that {before}")
def relay_lease(context, before):
    context.lease = Lease(LeaseTerms(4.0, 1.0, 1.0, 3.3, resumable=True))
    own = "n" if before.startswith("its own box") else "another"
    holder = "n@elsewhere" if "of its name" in before else own
    if before == "nobody ever held":
        seen = LeaseSeen(100.0, 0, "", 0, "")
    elif before == "another gave up":
        seen = LeaseSeen(100.0, 7, "", 3, "")
    else:
        seen = LeaseSeen(100.0, 7, holder, 3, "old/1", "no orders" not in before)
    context.lease.see(seen, "n")
    if before.endswith("has ended"):
        context.lease.note_end(3, 100.0)


@when("its renewals get no answer for 5 s, and then one is answered late")
def renewals_unanswered(context):
    holder = context.holder
    nonces = []
    holder.renewed = nonces.append
    holder.pass_time(2.9)
    late = nonces[-1]
    holder.pass_time(2.1)
    context.ended = holder.state.control.lease.ended
    asked_at = holder.now - 1.0
    holder.submit(LeaseWritten(holder.now, asked_at, late.nonce, True, late.version + 1))


@then("it does not hold the lease and tells that the epoch has ended")
def let_go(context):
    assert context.ended == 1, context.ended
    assert not context.holder.state.control.holding(context.holder.now)


@when("a node looks at it and takes it as soon as it may")
def takes_lease(context):
    lease = context.lease
    for tenth in range(100):
        now = 100.0 + tenth / 10
        wish = lease.wish(now, "n", "n#2", True)
        if wish is not None:
            assert wish.epoch == lease.epoch + 1
            assert lease.answer(LeaseWritten(now, now, wish.nonce, True, 8), "n")
            context.taken_s = now - 100.0
            return
    raise AssertionError("never taken")


@then("it holds it after {taken:g} s and gives orders after {orders:g} s")
def holds_after(context, taken, orders):
    assert abs(context.taken_s - taken) < 0.11, context.taken_s
    turn_s = max(0.0, context.lease.turn_at - 100.0)
    assert abs(turn_s - orders) < 0.01, turn_s


@given("a relaying node whose endpoints are {state}")
def endpoints_are(context, state):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    resident = () if state == "without a model" else ("m",)
    node.submit(node.report("e1", resident, slots=1, leaving=state == "leaving"))
    if state == "full":
        node.ask(model="m", key="r0")
    context.adapter = "m/a1" if state == "without the adapter" else ""


@when("a relayed request waits for its patience")
def waits(context):
    node = context.relay_node
    node.ask(model="m", adapter=context.adapter, key="r1")
    assert not node.refused
    node.now += 0.2
    node.submit(Ticked(node.now))


@then("it is refused as {reason} with a time to come back")
def refused_as(context, reason):
    (refusal,) = context.relay_node.refused
    assert refusal.request_id == "r1"
    assert (refusal.reason, refusal.outcome, refusal.status) == (reason, "not_run", 503), refusal
    assert refusal.retry_after_s > 0


@given("a lease holder over runners holding {held} of 200 GB")
def lease_holder(context, held):
    context.holder = HolderHarness(held.split(", "))
    assert context.holder.state.control.holding(context.holder.now)
    context.holder.orders.clear()


def want(holder, adapter):
    holder.submit(ModelWanted(holder.now, "llm", "m", f"m/{adapter}"))


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
    context.peer = PeerHeard(holder.now, "p0", "i", "a", "c", "z", 1, False)
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
        # What runs goes on, so that its runner is not taken for silent.
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
    holder.answer = {"never": "lost once"}.get(answer, answer)
    want(holder, "a1")
    holder.state.residency.wanted.clear()
    holder.pass_time(0.5)
    if then.startswith("the list tells less"):
        holder.submit(holder.report("e1", ["m"], ["m/a2"], (0, -1)))
    want(holder, "a4")


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
    # What follows from the first orders is another matter.
    wanted = [] if expected == "none" else expected.split(", ")
    assert got[: max(1, len(wanted))] == wanted, got


@then("just these orders were given: {expected}")
def orders_are_just(context, expected):
    got = [f"{one.action} {one.model_version or one.model}" for one in context.holder.orders]
    assert got == expected.split(", "), got


@when("loads of a model of 80 GB get no answer, and one of 90 GB is asked for")
def loads_unanswered(context):
    holder = context.holder
    # By then the model that may come yet is not declared any more.
    sizes = {"m": 70_000.0, "y": 90_000.0}
    holder.answer = "lost always"
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes={"m": 70_000.0, "x": 80_000.0})))
    for _ in range(20):
        holder.demand("x", 5_000.0)
        holder.pass_time(0.1)
    assert holder.orders[0].model == "x", holder.orders
    # From here on orders would be carried out; those of x may come yet.
    for room in holder.state.residency.rooms.values():
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


@then("that is loaded only after {seconds:g} s")
def loaded_after(context, seconds):
    assert seconds - 3.0 < context.loaded_s < seconds + 3.0, context.loaded_s


@given("a relaying reducer that has route table {version:d}")
def with_table(context, version):
    context.relay_node = node = RelayHarness()
    node.submit(RouteTableSeen(node.now, make_table(version)))


@when("route table {version:d} comes")
def table_comes(context, version):
    node = context.relay_node
    node.submit(RouteTableSeen(node.now, make_table(version)))


@then("its route table is {version:d}")
def version_in_force(context, version):
    assert context.relay_node.state.revision == version


@when("it was told to stop {ago:g} s ago and serves for {serve:g} s more, and a request comes")
def told_to_stop(context, ago, serve):
    node = context.relay_node
    node.state.drain_serve_s = serve
    # One request holds the node up, so that it does not end for having nothing to do.
    node.ask(key="r0")
    node.submit(DrainAsked(node.now))
    node.now += ago
    node.ask(key="r1")


@then("the request is {end}")
def begun_or_refused(context, end):
    node = context.relay_node
    sent = {one.request_id for one in node.sent}
    refused = {one.request_id: one for one in node.refused}
    assert ("r1" in sent) == (end == "begun"), (sent, refused)
    if end == "refused":
        assert refused["r1"].outcome == "not_run" and refused["r1"].retry_after_s > 0


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
    failed = AttemptFailed(
        holder.now, sent.request_id, sent.attempt, not down, False, how, down=down
    )
    holder.submit(failed)
    holder.pass_time(1.0)


@when("the first runner has a request and leaves the list, and {what} comes")
def leaves_list(context, what):
    holder = context.holder
    for number in range(2):
        holder.ask(model="m", key=f"r{number}")
    assert {one.endpoint for one in holder.sent} == {"e1", "e2"}, holder.sent
    holder.list_endpoints(["e2"], "llm", "runner")
    # Less than what makes a runner count as silent.
    holder.now += 0.5
    if what == "its report":
        token = holder.state.endpoints["e1"].report.order_token
        holder.submit(holder.report("e1", ["m"], (), token, own=True))
    elif what == "its row again":
        holder.list_endpoints(["e1", "e2"], "llm", "runner")
    context.open = holder.state.endpoints["e1"].open_for_work(holder.now)


@given("a relaying node with one full runner, and a deadline of 5 s")
def one_full_runner(context):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",), slots=1))
    node.ask(model="m", key="r0")


@when("the prompt part {part:d} is refused {where} and comes back after {after:g} s")
def refused_and_back(context, part, where, after):
    node = context.relay_node
    if where == "here":
        node.ask(model="m", key="r1", own_part=part)
        node.now += 0.2
        node.submit(Ticked(node.now))
        assert [one.request_id for one in node.refused] == ["r1"]
    else:
        node.submit(RefusalHeard(node.now, part, 0.1))
    node.now += after
    # The runner goes on with its answer, so that it is not taken for silent.
    node.submit(AttemptProgressed(node.now, "r0", 1, 1))
    context.back = (part, node.now)


@when("another request comes, then there is room after {seconds:g} s")
def room_after(context, seconds):
    node = context.relay_node
    node.ask(model="m", key="r2", own_part=context.back[0])
    wait_for(node, seconds)
    node.ask(model="m", key="other")
    node.submit(AttemptSucceeded(node.now, "r0", 1))


@when("another request comes, then there is none for {seconds:g} s")
def no_room_for(context, seconds):
    node = context.relay_node
    node.ask(model="m", key="r2", own_part=context.back[0])
    wait_for(node, seconds)


def wait_for(node, seconds):
    for _ in range(round(seconds / 0.05)):
        node.now += 0.05
        node.submit(AttemptProgressed(node.now, "r0", 1, 1))
        node.submit(Ticked(node.now))


@then("the one that came back is {end}")
def came_back_is(context, end):
    node = context.relay_node
    refused = {one.request_id for one in node.refused}
    sent = [one.request_id for one in node.sent]
    if end in ("first", "last"):
        assert sent == (["r0", "r2"] if end == "first" else ["r0", "other"]), sent
        node.submit(AttemptSucceeded(node.now, sent[-1], 1))
        assert {one.request_id for one in node.sent} == {"r0", "r2", "other"}
    else:
        assert ("r2" in refused) == (end == "refused"), refused
        assert "r2" not in sent


@when("the first runner has a request for {seconds:g} s and {news}")
def owes(context, seconds, news):
    holder = context.holder
    for number in range(2):
        holder.ask(model="m", key=f"r{number}")
    (mine,) = [one for one in holder.sent if one.endpoint == "e1"]
    key = (mine.request_id, mine.attempt)
    if news.startswith("t"):
        holder.submit(AttemptFailed(holder.now, *key, False, False, "no connection"))
    holder.now += seconds
    if news == "has just sent an event":
        holder.submit(AttemptProgressed(holder.now, *key, 1))
    elif news == "has just refused another":
        holder.submit(AttemptFailed(holder.now, *key, True, True, "refused"))
        holder.state.endpoints["e1"].begin("older", holder.now - seconds)
    context.open = holder.state.endpoints["e1"].open_for_work(holder.now)


@when("a request with an objective of {objective:g} s comes for n, which is {where}")
def comes_for_absent(context, objective, where):
    holder = context.holder
    # Orders are not carried out, so that the model never comes.
    holder.answer = "none"
    if where == "on a runner's disk":
        for runner in holder.runners.values():
            runner["disk"] = ("n",)
    holder.submit(RouteTableSeen(holder.now, make_table(2)))
    holder.relist()
    holder.ask(model="n", objective_s=objective)


@then("after {seconds:g} s it {state}")
def after_a_while(context, seconds, state):
    holder = context.holder
    holder.pass_time(seconds)
    assert (state == "waits") == (not holder.refused), holder.refused
    assert all(one.outcome == "not_run" and one.retry_after_s > 0 for one in holder.refused)


@then("it is {expected} for work")
def open_for_work(context, expected):
    assert context.open == (expected == "open"), context.open


@when("{number:d} plans are made under demand that moves")
def plans_made(context, number):
    holder = context.holder
    chance = random.Random(7)
    context.bare = []
    context.over = []
    for step in range(number):
        busy = "m" if (step // 40) % 2 else "n"
        holder.demand(busy, 40_000.0 * chance.random())
        holder.pass_time(0.5)
        held = {model for runner in holder.runners.values() for model in runner["models"]}
        context.bare += [model for model in SIZES if model not in held]
        context.over += [name for name in holder.runners if holder.used_mb(name) > 200_000.0]


@then("m and n were resident somewhere all the time and no runner was over its memory")
def all_resident(context):
    assert not context.bare and not context.over, (context.bare, context.over)
