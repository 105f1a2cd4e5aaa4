import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness
from relay_harness import make_table

from rookspring_core import model_waits
from rookspring_core.effects import Refuse
from rookspring_core.effects import RequestLoad
from rookspring_core.endpoints import EndpointView
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import DownReceived
from rookspring_core.events import LoadingReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import Ticked
from rookspring_core.options import DecisionOptions

TICK_S = 0.05
MAX_WAIT_SHARE = 0.25
RETRY_SHARE = 1.0 / 3.0
LEARNT_SAMPLES = 4
SEEDS = (1, 2, 3)


class WaitingNode(RelayHarness):
    """A node with two runners, e1 and e2, that hold m."""

    def __init__(self, known=True):
        self.expected_back = []
        self.told_back = []
        super().__init__()
        self.state.options = DecisionOptions(model_waits=known)
        self.list_endpoints(["e1", "e2"], "llm", "runner")
        for name in ("e1", "e2"):
            self.submit(self.report(name, ("m",)))

    def perform(self, effect):
        """Keep by when the lease holder expects callers back, and when the refused come back."""
        if isinstance(effect, RequestLoad):
            self.expected_back.append(self.now + effect.latest_retry_s)
        elif isinstance(effect, Refuse):
            self.told_back.append(self.now + effect.retry_after_s)

    def announce(self, in_s, endpoint="e1", model="n"):
        self.submit(LoadingReceived(self.now, endpoint, model, in_s))

    def arrive(self, endpoint="e1", model="n"):
        self.submit(self.report(endpoint, ("m", model)))

    def request(self, key="r1", model="n", objective_s=4.0, deadline_s=6.0, rank=1, tokens=10):
        terms = RouteTerms("r", "llm", 1, rank, 2, objective_s * MAX_WAIT_SHARE, objective_s)
        arrived = RequestArrived(
            at=self.now,
            request_id=key,
            team="",
            target=model,
            deadline_at=self.now + deadline_s,
            tokens=tokens,
            prompt_tokens=tokens,
            route=terms,
        )
        self.submit(arrived)

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK_S)
            self.submit(Ticked(self.now))

    def refusal(self, key="r1"):
        return next((one for one in self.refused if one.request_id == key), None)

    def fate(self, key="r1"):
        if any(one.request_id == key for one in self.sent):
            return "is sent"
        return "is refused" if self.refusal(key) else "waits"


@given("a node whose requests wait by what is known")
def known_node(context):
    context.node = WaitingNode()


@given("a node with the default options")
def default_node(context):
    context.node = WaitingNode(known=False)


@given("n is announced in {in_s} s")
def announced(context, in_s):
    if in_s != "none":
        context.node.announce(float(in_s))


@given("models that were missing came after {learnt} s")
def learnt_waits(context, learnt):
    node = context.node
    for number in range(LEARNT_SAMPLES if learnt != "none" else 0):
        model = f"x{number}"
        node.request(f"learn{number}", model, deadline_s=20.0)
        node.pass_time(10.0 if learnt == "never" else float(learnt))
        if learnt != "never":
            node.arrive("e2", model)
        node.pass_time(0.1)
    node.submit(node.report("e2", ("m",)))
    for record in (node.refused, node.sent, node.expected_back, node.told_back):
        record.clear()


@when(
    "a request for n with an objective of {objective:g} s and a deadline of {deadline:g} s arrives"
)
def n_requested(context, objective, deadline):
    context.asked_at = context.node.now
    context.node.request(objective_s=objective, deadline_s=deadline)


@when("after {announced} s n is announced in {in_s} s")
def announced_later(context, announced, in_s):
    if announced != "-":
        context.node.pass_time(float(announced))
        context.node.announce(float(in_s))


@when("n arrives at e1 after {came:g} s")
def n_arrives(context, came):
    node = context.node
    asked_at = getattr(context, "asked_at", node.now)
    node.pass_time(asked_at + came - node.now)
    node.arrive()
    node.pass_time(0.1)


@when("0.8 s later {event}")
def something_happens(context, event):
    node = context.node
    node.pass_time(0.8)
    if event.startswith("its runner has gone"):
        node.list_endpoints(["e2"], "llm", "runner")
    elif event == "its runner is down":
        node.submit(DownReceived(node.now, "e1"))
    elif event == "its runner leaves":
        node.submit(node.report("e1", ("m",), leaving=True))
    if "e2 is announced" in event:
        node.announce(float(event.split()[-1]), "e2")


@then("within {held:g} s the request {fate}")
def fate_within(context, held, fate):
    context.node.pass_time(held)
    assert context.node.fate() == fate, (context.node.fate(), context.node.refused)


@then("the request is refused after {held:g} s")
def refused_after(context, held):
    node = context.node
    node.pass_time(max(0.0, held - 0.1))
    assert node.fate() == "waits", node.refused
    node.pass_time(0.3)
    assert node.fate() == "is refused", node.fate()


@then("by then the request {fate}")
def fate_now(context, fate):
    assert context.node.fate() == fate, (context.node.fate(), context.node.refused)


@then('a refusal names {least} to {most} s and "{why}"')
def refusal_names(context, least, most, why):
    refusal = context.node.refusal()
    if least == "-":
        assert refusal is None
        return
    assert float(least) <= refusal.retry_after_s <= float(most), refusal
    assert why in refusal.message, refusal.message


@then("{count:d} waits lapsed")
def waits_lapsed(context, count):
    assert context.node.state.model_waits.ends["lapsed"] == count


@then("the waits ended are: {text}")
def waits_ended(context, text):
    ends = context.node.state.model_waits.ends
    got = ", ".join(f"{name} {count}" for name, count in ends.items() if count)
    assert got == text, got


@given("{count:d} more endpoints, each with another model announced and requested")
def many_announced(context, count):
    node = context.node
    names = [f"f{number}" for number in range(count)]
    node.list_endpoints(["e1", "e2", *names], "llm", "runner")
    for name in names:
        node.submit(node.report(name, ("m",)))
        node.announce(1.5, name, f"of-{name}")
        node.request(f"r-{name}", f"of-{name}")


@when("a tick passes")
def tick_passes(context):
    looks = context.looks = []
    look = EndpointView.expected_in_s

    def count(view, model, now):
        looks.append(view.name)
        return look(view, model, now)

    EndpointView.expected_in_s = count
    try:
        context.node.pass_time(TICK_S)
    finally:
        EndpointView.expected_in_s = look


@then("it looked for announced loads at {count:d} endpoints")
def looked_once(context, count):
    assert len(context.looks) == count, len(context.looks)


@given("n is on e1, which is down and full")
def down_and_full(context):
    node = context.node
    node.submit(node.report("e1", ("m", "n")))
    node.submit(DownReceived(node.now, "e1"))
    node.state.endpoints["e1"].others_inflight = 100


@when("a connection to e1 may succeed again")
def listens_again(context):
    node = context.node
    assert node.fate() == "waits", node.refused
    node.pass_time(node.state.endpoints["e1"].ejected_until - node.now + TICK_S)
    context.again_at = node.now


@then("the request waits for room, for a quarter of its objective")
def waits_for_room(context):
    wait = context.node.state.model_waits.waiting["r1"]
    assert wait.rule == model_waits.ARRIVED, wait
    assert abs(wait.until - context.again_at - 9.0 * MAX_WAIT_SHARE) < 2 * TICK_S, wait


@then("the lease holder knows by when the caller is back")
def holder_knows(context):
    node = context.node
    expected, told = max(node.expected_back), node.told_back[-1]
    assert abs(expected - told) < 0.4, (expected, told)


@when("{count:d} patient requests for n of {tokens:d} tokens arrive, and 2.5 s later an urgent one")
def patient_and_urgent(context, count, tokens):
    node = context.node
    for number in range(count):
        node.request(f"p{number}", objective_s=10.0, deadline_s=20.0, rank=1, tokens=tokens)
    node.pass_time(2.5)
    context.asked_at = node.now
    node.request("urgent", objective_s=2.0, deadline_s=6.0, rank=0, tokens=tokens)


@then("the urgent one is sent first")
def urgent_first(context):
    sent = [one.request_id for one in context.node.sent]
    assert sent == ["urgent"], sent


class Surge:
    """Callers of rare models at one node, and a lease holder that loads so many a second."""

    RUNNERS = 30
    PLACES = 2
    PLAN_S = 0.5
    LOAD_S = (1.0, 2.0)
    REPORT_LAG_S = 0.3
    IDLE_S = 1.5
    BACK_BY_S = 12.0

    def __init__(self, models, loads, known, seed):
        self.loads_a_plan = int(loads * self.PLAN_S)
        self.random = random.Random(seed)
        self.node = node = WaitingNode(known)
        self.names = [f"x{number}" for number in range(models)]
        node.submit(RouteTableSeen(node.now, make_table(2, sizes=dict.fromkeys(self.names, 60e3))))
        self.held = {f"r{number}": {} for number in range(self.RUNNERS)}
        self.loading = {}
        self.wanted = {}
        self.tries = {}
        self.callers = {}
        self.held_long = 0
        self.calls = []
        self.order = itertools.count()
        node.list_endpoints(list(self.held), "llm", "runner")
        for name in self.held:
            self.report(name)

    def report(self, name):
        self.node.submit(
            self.node.report(name, tuple(self.held[name]), slots=64, in_memory=tuple(self.names))
        )

    def after(self, seconds, call):
        heapq.heappush(self.calls, (self.node.now + seconds, next(self.order), call))

    def plan(self):
        self.after(self.PLAN_S, self.plan)
        present = {model for models in self.held.values() for model in models}
        for model in [*present, *self.loading.values()]:
            self.wanted.pop(model, None)
        for model in list(self.wanted)[: self.loads_a_plan]:
            free = [name for name in self.held if name not in self.loading and self.room(name)]
            if free:
                del self.wanted[model]
                self.load(free[0], model)

    def room(self, name):
        """Drop the model that was idle the longest, if there is no place; tell whether there is."""
        held = self.held[name]
        idle = min(held, key=held.get, default="")
        if len(held) >= self.PLACES and self.node.now - held[idle] > self.IDLE_S:
            del held[idle]
            self.report(name)
        return len(held) < self.PLACES

    def load(self, name, model):
        self.loading[name] = model
        in_s = self.random.uniform(*self.LOAD_S)
        self.node.announce(in_s, name, model)
        self.after(in_s + self.REPORT_LAG_S, lambda: self.loaded(name, model))

    def loaded(self, name, model):
        del self.loading[name]
        self.held[name][model] = self.node.now
        self.report(name)

    def ask(self, caller, model, deadline_at, retried):
        key = f"{caller}{'b' if retried else ''}"
        self.tries[key] = [caller, model, self.node.now, deadline_at, retried, "waits"]
        self.callers.setdefault(caller, "waits")
        self.node.request(key, model, deadline_s=deadline_at - self.node.now, rank=2)

    def settle(self):
        """Answer what was sent, and have refused callers come back once as they were told."""
        node = self.node
        for want in node.wants:
            self.wanted.setdefault(want.model, node.now)
        for sent in node.sent:
            entry = self.tries[sent.request_id]
            entry[-1] = "served"
            self.callers[entry[0]] = "served"
            self.held[sent.endpoint][entry[1]] = node.now
            node_sent = (sent.request_id, sent.attempt)
            node.submit(AttemptStarted(node.now, *node_sent))
            node.submit(AttemptSucceeded(node.now, *node_sent))
        for refusal in node.refused:
            self.refused(self.tries[refusal.request_id], refusal.retry_after_s)
        for effects in (node.wants, node.sent, node.refused):
            effects.clear()

    def refused(self, entry, after_s):
        caller, model, asked_at, deadline_at, retried, _ = entry
        now = self.node.now
        entry[-1] = "refused"
        self.held_long += now - asked_at > (deadline_at - asked_at) / 2.0 + 2 * TICK_S
        if not retried and after_s <= (deadline_at - now) * RETRY_SHARE + 1e-6:
            self.after(after_s, lambda: self.ask(caller, model, deadline_at, True))

    def run(self, rate, seconds, deadline_s):
        begin = self.node.now
        self.plan()
        for number in range(int(rate * seconds)):
            model = self.random.choice(self.names)
            at = self.random.uniform(0.0, seconds)
            deadline_at = begin + at + deadline_s
            asked = (f"c{number}", model, deadline_at, False)
            self.after(at, lambda asked=asked: self.ask(*asked))
        while self.node.now < begin + seconds + self.BACK_BY_S:
            self.node.now += TICK_S
            while self.calls and self.calls[0][0] <= self.node.now:
                heapq.heappop(self.calls)[2]()
                self.settle()
            self.node.submit(Ticked(self.node.now))
            self.settle()
        return self

    def counts(self):
        """Return callers, served; tries, held long; returns, served; callers served first."""
        ends = list(self.callers.values())
        back = [entry[-1] for entry in self.tries.values() if entry[4]]
        served_first = ends.count("served") - back.count("served")
        return (
            len(ends),
            ends.count("served"),
            len(self.tries),
            self.held_long,
            len(back),
            back.count("served"),
            served_first,
        )


def play(context, known, rate, seconds, deadline_s):
    stages = [Surge(context.models, context.loads, known, seed) for seed in SEEDS]
    runs = [stage.run(rate, seconds, deadline_s) for stage in stages]
    return [sum(column) for column in zip(*(run.counts() for run in runs), strict=True)]


@given("{models:d} models on no endpoint, of which the holder brings {loads:d} a second")
def rare_models(context, models, loads):
    context.models = models
    context.loads = loads


@when(
    "callers with an objective of 4 s and a deadline of {deadline:g} s ask for them"
    " {rate:d} times a second for {seconds:d} s, {way}"
)
def surge(context, deadline, rate, seconds, way):
    context.counts = play(context, "by what is known" in way, rate, seconds, deadline)


@then("at least {least:d} in 100 callers are served, {first:d} in 100 at their first try")
def served_share(context, least, first):
    asked, served = context.counts[:2]
    assert served * 100 >= least * asked, context.counts
    assert context.counts[6] * 100 >= first * asked, context.counts


@then("at most {most:d} in 100 callers are served at their first try")
def served_first_share(context, most):
    assert context.counts[6] * 100 <= most * context.counts[0], context.counts


@then("at most {most:d} in 100 tries are held over half of their time without an answer")
def held_share(context, most):
    tries, held = context.counts[2:4]
    assert held * 100 <= most * tries, context.counts


@then("at least {least:d} in 100 tries are held over half of their time without an answer")
def held_in_vain(context, least):
    tries, held = context.counts[2:4]
    assert held * 100 >= least * tries, context.counts


@then("at least {least:d} in 100 of those who came back were served then")
def returned_share(context, least):
    back, served = context.counts[4:6]
    assert served * 100 >= least * back, context.counts
