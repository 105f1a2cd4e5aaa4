from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from relay_harness import make_route
from relay_harness import make_table

from rookspring_core import routed
from rookspring_core.defaults import LOAD_UNREPORTED
from rookspring_core.effects import Cancel
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import CallerLeft
from rookspring_core.events import DrainAsked
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import PeerLost
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import Ticked
from rookspring_core.retries import RetryWindow
from rookspring_core.retries import WindowTerms
from rookspring_core.routes import Split
from rookspring_core.routes import pick_service


@given("routes for {prefixes}")
def routes_for(context, prefixes):
    context.routes = make_table(routes=[make_route(one) for one in prefixes.split(", ")])


@when("a request for {path} comes")
def request_arrives_at_path(context, path):
    context.route = context.routes.match("h", path)


@then("its route is {expected}")
def check_route(context, expected):
    assert (context.route.prefix if context.route else "none") == expected


@given("a route split {first:d} to {second:d}")
def split_route(context, first, second):
    context.route = make_route(splits=(Split("one", first), Split("two", second)))


@when("{number:d} requests are picked")
def requests_picked(context, number):
    context.picked = [pick_service(context.route, f"q{one}") for one in range(number)]


@then("about {number:d} go to the service of less weight, each one always to the same service")
def check_split(context, number):
    assert 0.8 * number < context.picked.count("two") < 1.2 * number
    repeated = [pick_service(context.route, f"q{one}") for one in range(len(context.picked))]
    assert repeated == context.picked


@given("a relaying node with three endpoints and {attempts:d} attempts for a {kind} route")
def three_endpoints(context, attempts, kind):
    context.relay_node = node = RelayHarness()
    node.state.retry_window_terms = WindowTerms(1.0, 100.0, 10.0, 1)
    node.list_endpoints(["e1", "e2", "e3"], "svc", "service")
    for name in ("e1", "e2", "e3"):
        node.submit(node.report(name))
    context.ask = (kind, attempts)


@when("the attempts of a routed request end: {events}")
def attempts_end(context, events):
    context.relay_node.ask(*context.ask)
    for event in events.split(", "):
        context.relay_node.meet(event)


@then("it was sent {times:d} times and its outcome is {outcome}")
def sent_and_ended(context, times, outcome):
    node = context.relay_node
    assert len(node.sent) == times, node.sent
    assert node.ended == [outcome], node.ended
    assert not node.state.requests


@given("a retry window with share {share:f} and slack {slack:d} for {nodes:d} nodes")
def given_window(context, share, slack, nodes):
    context.window = RetryWindow(WindowTerms(share, slack, 10.0, nodes))


@given("a relaying node that has seen {seen:d} others, of which {left:d} remain")
def seen_others(context, seen, left):
    node = RelayHarness()
    node.state.retry_window_terms = WindowTerms(0.2, 160.0, 10.0, 16)
    for number in range(seen):
        node.submit(HeartbeatReceived(node.now, f"p{number}", "i", "a", "c", "z", 1, False))
    for number in range(left, seen):
        node.submit(PeerLost(node.now, f"p{number}"))
    context.window = routed.resend_window(node.state, "svc")


@when("{firsts:d} requests are sent and all are to be resent")
def resend_all(context, firsts):
    for _ in range(firsts):
        context.window.earn(1.0)
    context.resends = sum(context.window.spend(1.5) for _ in range(firsts + 50))


@then("{resends:d} resends are allowed")
def resends_allowed(context, resends):
    assert context.resends == resends, context.resends


@when("{firsts:d} requests are sent, {seconds:d} seconds pass and a resend is requested")
def resend_later(context, firsts, seconds):
    for _ in range(firsts):
        context.window.earn(1.0)
    context.allowed = context.window.spend(1.0 + seconds)


@then("it is refused")
def is_refused(context):
    assert not context.allowed


@given("a relaying node whose endpoints are {state}")
def endpoints_are(context, state):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    resident = () if state == "without a model" else ("m",)
    node.submit(node.report("e1", resident, slots=1, leaving=state == "leaving"))
    if state == "full":
        node.ask(model="m", key="r0")
    context.adapter = "m/a1" if state == "without the adapter" else ""


@when("a routed request waits for longer than its limit")
def wait_past_limit(context):
    node = context.relay_node
    node.ask(model="m", adapter=context.adapter, key="r1")
    assert not node.refused
    node.now += 0.2
    node.submit(Ticked(node.now))


@then("it is refused as {reason} with a retry-after time")
def refused_as(context, reason):
    (refusal,) = context.relay_node.refused
    assert refusal.request_id == "r1"
    assert (refusal.reason, refusal.outcome, refusal.status) == (reason, "not_run", 503), refusal
    assert refusal.retry_after_s > 0


@given("a relaying reducer that has route table {version:d}")
def with_table(context, version):
    context.relay_node = node = RelayHarness()
    node.submit(RouteTableSeen(node.now, make_table(version)))


@when("route table {version:d} arrives")
def table_arrives(context, version):
    node = context.relay_node
    node.submit(RouteTableSeen(node.now, make_table(version)))


@then("its route table is {version:d}")
def version_in_force(context, version):
    assert context.relay_node.state.revision == version


@when(
    "it began to drain {ago:g} s ago, serves for {serve:g} s while it drains, and a request arrives"
)
def arrives_while_draining(context, ago, serve):
    node = context.relay_node
    node.state.drain_serve_s = serve
    # A running request keeps the node from stopping, as it would if it were idle.
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


@given("a relaying node with one full runner, and a deadline of 5 s")
def one_full_runner(context):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",), slots=1))
    node.ask(model="m", key="r0")


@when("a request {state}, its caller leaves, and then there is room")
def leaves_in_state(context, state):
    node = context.relay_node
    key = "r0" if state == "runs" else "r1"
    if state == "waits between tries":
        # r1 takes the slot of r0 and fails, while the runner is ejected for a moment.
        node.submit(AttemptSucceeded(node.now, "r0", 1))
        node.ask(model="m", key="r1")
        node.submit(AttemptStarted(node.now, "r1", 1))
        node.state.endpoints["e1"].mark_down(node.now - 0.95)
        node.submit(AttemptFailed(node.now, "r1", 1, True, True, "refused"))
        assert node.state.requests["r1"].attempt == 1
    elif state == "waits for room":
        node.ask(model="m", key="r1")
    context.sent_before = len(node.sent)
    context.left = node.submit(CallerLeft(node.now, key))
    node.now += 0.1
    node.submit(AttemptSucceeded(node.now, "r0", 1))
    node.submit(Ticked(node.now))


@then("nothing more is sent, and its attempt is cancelled: {stopped}")
def nothing_sent(context, stopped):
    node = context.relay_node
    assert len(node.sent) == context.sent_before, node.sent
    cancelled = [one for one in context.left if isinstance(one, Cancel)]
    assert bool(cancelled) == (stopped == "yes")
    assert not {"r1"} & set(node.state.requests)


@when("a request is refused and retried after 1 s, and there is {room} for {seconds:g} s")
def refused_and_retried(context, room, seconds):
    node = context.relay_node
    node.ask(model="m", key="r1")
    wait_for(node, 0.2)
    assert [one.request_id for one in node.refused] == ["r1"]
    wait_for(node, 1.0)
    node.ask(model="m", key="r2")
    wait_for(node, seconds)
    if room == "room":
        node.submit(AttemptSucceeded(node.now, "r0", 1))


def wait_for(node, seconds):
    for _ in range(round(seconds / 0.05)):
        node.now += 0.05
        # The runner continues r0's answer, so that it does not count as silent.
        node.submit(AttemptProgressed(node.now, "r0", 1, 1))
        node.submit(Ticked(node.now))


@then("the retried request is {end}")
def check_retried(context, end):
    node = context.relay_node
    refused = {one.request_id for one in node.refused}
    sent = [one.request_id for one in node.sent]
    assert ("r2" in refused) == (end == "refused"), refused
    assert ("r2" in sent) == (end == "sent"), sent


@when("the first runner has a request for {seconds:g} s and {news}")
def request_in_flight(context, seconds, news):
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
    context.open = holder.state.endpoints["e1"].accepts_work(holder.now)


@when("a request with an objective of {objective:g} s arrives for n, which is {where}")
def arrives_for_absent(context, objective, where):
    holder = context.holder
    # Orders are not carried out, so the model is never loaded.
    holder.answer = "none"
    if where == "on a runner's disk":
        for runner in holder.runners.values():
            runner["disk"] = ("n",)
    holder.submit(RouteTableSeen(holder.now, make_table(2)))
    holder.relist()
    holder.ask(model="n", objective_s=objective)


@given("another node has ordered a load of n, which is due in {in_s:g} s")
def loaded_elsewhere(context, in_s):
    holder = context.holder
    # Orders of this node are not carried out.
    holder.answer = "none"
    holder.submit(RouteTableSeen(holder.now, make_table(2)))
    holder.submit(LoadingReceived(holder.now, "e1", "n", in_s))


@when("a request with an objective of {objective:g} s arrives for n")
def arrives_for_n(context, objective):
    context.holder.ask(model="n", objective_s=objective, key="late")


@when("a request with a deadline of 30 s arrives for n")
def arrives_with_long_deadline(context):
    context.holder.ask(model="n", key="late", deadline_s=30.0)


@when("n is loaded for a caller that retries {back:g} s after the end of the load")
def loaded_for_caller(context, back):
    holder = context.holder
    holder.submit(RouteTableSeen(holder.now, make_table(2)))
    for _ in range(40):
        holder.demand("n", 3000.0)
        holder.pass_time(0.1)
        holder.submit(LoadRequested(holder.now, "llm", "n", "", max(0.0, back)))
        if any(one.order and one.order.taken for one in holder.state.residency.accounts.values()):
            break
    # No caller asks for n from here on; the load takes 8 s.
    rooms = holder.state.residency.accounts
    for _ in range(150):
        wants = holder.state.residency.load_requests
        for key, want in wants.items():
            back_at = holder.now + back
            wants[key] = want._replace(asked_at=holder.now, callers_back_by=back_at)
        holder.demand("n", 3000.0)
        holder.pass_time(0.1)
        if any(room.protected for room in rooms.values()):
            break
    context.loaded_at = holder.now


@then("it is still kept after {kept:g} s, and no longer after {free:g} s")
def kept_until(context, kept, free):
    rooms = [one for one in context.holder.state.residency.accounts.values() if one.protected]
    assert len(rooms) == 1, "n was not loaded"
    assert rooms[0].protected_models(context.loaded_at + kept) == {"n"}
    assert not rooms[0].protected_models(context.loaded_at + free)


@then("its retry-after time is {least} to {most} s")
def check_retry_after(context, least, most):
    if least == "-":
        return
    (refusal,) = context.holder.refused
    assert float(least) <= refusal.retry_after_s <= float(most), refusal


@then("after {seconds:g} s it {state}")
def after_a_while(context, seconds, state):
    holder = context.holder
    holder.pass_time(seconds)
    assert (state == "waits") == (not holder.refused), holder.refused
    assert all(one.outcome == "not_run" and one.retry_after_s > 0 for one in holder.refused)


@then("it is {expected} for work")
def open_for_work(context, expected):
    assert context.open == (expected == "open"), context.open


@given("a relaying node with an endpoint of 8 slots, where another node has {theirs:d} in flight")
def others_in_flight(context, theirs):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ["m"]))
    node.now += 0.1
    heard = HeartbeatReceived(node.now, "p1", "i", "a", "c", "z", 1, False)
    node.submit(heard._replace(inflight=(("e1", theirs),)))
    node.submit(Ticked(node.now))


@when("the endpoint's {source} arrives without load figures")
def report_without_load(context, source):
    node = context.relay_node
    node.now += 0.05
    token = (0, -1) if source == "entry" else (0, 1)
    report = node.report("e1", ["m"], token=token, polled=source == "report")
    node.submit(report._replace(running=LOAD_UNREPORTED))


@when("a request arrives")
def a_request_arrives(context):
    context.relay_node.ask(model="m", objective_s=2.0)


@then("its state is {end}")
def sent_or_waiting(context, end):
    assert len(context.relay_node.sent) == (end == "sent"), context.relay_node.sent
