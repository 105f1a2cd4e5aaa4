from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from relay_harness import make_route

from rookspring_core.events import LoadingReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import Ticked

TICK_S = 0.05
MAX_WAIT_SHARE = 0.25


class ReturnNode(RelayHarness):
    """A node with the runners e1 and e2, of which e1 is to load n."""

    def __init__(self, stays_s):
        super().__init__()
        self.stays_s = stays_s
        self.list_endpoints(["e1", "e2"], "llm", "runner")
        for name in ("e1", "e2"):
            self.submit(self.report(name, ("m",)))

    def ask(self, key, model, left_s, objective_s):
        terms = RouteTerms("r", "llm", 1, 1, 2, objective_s * MAX_WAIT_SHARE, objective_s)
        self.submit(
            RequestArrived(
                at=self.now,
                request_id=key,
                team="",
                target=model,
                deadline_at=self.now + left_s,
                tokens=10,
                prompt_tokens=10,
                route=terms._replace(stays_s=self.stays_s),
            )
        )

    def announce(self, in_s):
        self.submit(LoadingReceived(self.now, "e1", "n", in_s))

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK_S)
            self.submit(Ticked(self.now))

    def fate(self, key):
        if any(one.request_id == key for one in self.sent):
            return "is sent"
        return "is refused" if any(one.request_id == key for one in self.refused) else "waits"


@given(
    "a node at which callers of a route have brought {brought:g} s, "
    "and stay {stays:g} s without an event"
)
def node_with_callers(context, brought, stays):
    context.node = ReturnNode(stays)
    context.node.ask("first", "m", brought, 1.0)


@given("its runners have a copy of n")
def copies(context):
    context.node.pass_time(0.1)
    for name in ("e1", "e2"):
        context.node.submit(context.node.report(name, ("m",), in_memory=("n",)))


@given("a load of n is announced to end in {in_s} s")
def announced(context, in_s):
    if in_s != "none":
        context.node.announce(float(in_s))


@when("a request for n with {left:g} s left and an objective of {objective:g} s arrives")
def asked(context, left, objective):
    context.node.wants.clear()
    context.node.ask("back", "n", left, objective)


@when("{after:g} s later a load of n is announced to end in {in_s:g} s")
def announced_later(context, after, in_s):
    context.node.pass_time(after)
    context.node.announce(in_s)


@when("{after:g} s later its runner is gone")
def runner_gone(context, after):
    context.node.pass_time(after)
    context.node.list_endpoints(["e2"], "llm", "runner")


@when("n arrives on its runner after {after:g} s")
def model_arrives(context, after):
    node = context.node
    node.pass_time(after)
    assert node.fate("back") == "waits", node.refused
    node.submit(node.report("e1", ("m", "n")))
    node.pass_time(0.1)


@when("n arrives on its runner, which is full, after {after:g} s")
def model_arrives_full(context, after):
    node = context.node
    for name in ("e1", "e2"):
        node.submit(node.report(name, ("m",), slots=1))
        node.ask(f"fills-{name}", "m", 20.0, 1.0)
    node.pass_time(after)
    node.submit(node.report("e1", ("m", "n"), slots=1))


@then("once {after:g} s have passed the caller {fate}")
def fate_after(context, after, fate):
    context.node.pass_time(after)
    assert context.node.fate("back") == fate, (context.node.fate("back"), context.node.refused)


@then("it is sent, and the lease holder knew that its caller waited for {least:g} to {most:g} s")
def sent_and_known(context, least, most):
    assert context.node.fate("back") == "is sent", context.node.refused
    check_known(context, least, most)


@then("the lease holder knew that it waited for {least:g} to {most:g} s")
def check_known(context, least, most):
    told = max(one.latest_retry_s for one in context.node.wants)
    assert least <= told <= most, told


@given(
    "a route of the kind {kind} with an objective of {objective:g} s and pauses up to {pause:g} s"
)
def route_of_kind(context, kind, objective, pause):
    route = make_route(kind=kind)
    context.route = route._replace(objective_s=objective, pause_s=pause)


@then("its callers stay for {stays} s without an event")
def callers_stay(context, stays):
    assert context.route.stays_s == float(stays), context.route.stays_s
