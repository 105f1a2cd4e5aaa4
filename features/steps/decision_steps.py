import re
from functools import partial

from behave import given
from behave import then
from behave import when

from rookspring_core import Catalogue
from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.effects import Dispatch
from rookspring_core.effects import Refuse
from rookspring_core.effects import Replay
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListCame
from rookspring_core.events import BoxListed
from rookspring_core.events import CallerLeft
from rookspring_core.events import EndpointReported
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import PeerHeard
from rookspring_core.events import PlatformAnswered
from rookspring_core.events import RequestArrived
from rookspring_core.events import SessionOpened
from rookspring_core.leases import Lease
from rookspring_core.limits import LimitTable
from rookspring_core.memory import Ledger
from rookspring_core.memory import PendingOrder
from rookspring_core.once import OnceTable
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import ServiceSpec
from rookspring_core.resources import TeamSpec
from rookspring_core.retries import RetryBudget
from rookspring_core.streams import StreamGuard


def report(endpoint, at=0.0, **fields):
    base = EndpointReported(at, endpoint, "1", 0.0, 16, 0, 0, 800.0, 100.0, 100.0)
    return base._replace(**fields)


class Harness:
    """One reducer, with the last attempt at hand."""

    def __init__(self, role):
        self.now = 1.0
        self.state = NodeState(Identity("n", "n#1", "dc"), 0.0)
        self.state.full_checks = True
        self.state.catalogue = Catalogue(
            revision=1,
            models={"m": ModelSpec("v1", 10.0)},
            services={"s": ServiceSpec(("post",))},
            teams={"t": TeamSpec(())},
        )
        self.answers = []
        self.sent = []
        self.count = 0
        service = "s" if role == "service" else ""
        boxes = [BoxListed(f"e{i}", f"e{i}", "dc", role, "live", service) for i in (1, 2)]
        self.submit(PlatformAnswered(self.now, True))
        self.submit(BoxListCame(self.now, tuple(boxes)))
        for i in (1, 2):
            self.submit(report(f"e{i}", self.now, resident=(("m", "v1"),)))

    def submit(self, event):
        for effect in reduce(self.state, event):
            if isinstance(effect, Dispatch):
                self.sent.append(effect)
            elif isinstance(effect, Refuse):
                self.answers.append(effect.outcome)
            elif isinstance(effect, Replay):
                self.answers.append("replay")
        self.now += 0.01

    def start(self):
        last = self.sent[-1]
        self.submit(AttemptStarted(self.now, last.request_id, last.attempt))

    def succeed(self):
        last = self.sent[-1]
        self.submit(AttemptSucceeded(self.now, last.request_id, last.attempt, 200, b"a"))
        if last.request_id not in self.left:
            self.answers.insert(self.before(last.request_id), "ran")

    left = ()

    def before(self, request_id):
        # The run's own caller is answered before those that waited for it.
        return len([one for one in self.answers if one not in ("replay",)])

    def fail(self, sent=True, not_run=False, leaving=False):
        last = self.sent[-1]
        self.submit(
            AttemptFailed(self.now, last.request_id, last.attempt, sent, not_run, "x", leaving)
        )

    def ask(self, **fields):
        self.count += 1
        base = RequestArrived(
            self.now, f"r{self.count}", "t", "m", deadline_at=self.now + 30.0, tokens=50
        )
        sent = len(self.sent)
        self.submit(base._replace(**fields))
        if len(self.sent) > sent:
            self.start()


@given("a node with a service and a session")
def node_with_session(context):
    context.node = Harness("service")
    context.node.submit(SessionOpened(context.node.now, "sess", "t"))


@given("a node with a model on two runners")
def node_with_model(context):
    context.node = Harness("runner")


def send_key(node, body="body", sequence=1):
    node.ask(
        target="s",
        service=True,
        repeatable=False,
        once_key=("sess", sequence),
        body_digest=body,
    )


def leave(node):
    node.left = (node.sent[-1].request_id,)
    node.submit(CallerLeft(node.now, node.sent[-1].request_id))


def run_out(node):
    last = node.sent[-1]
    request = node.state.requests[last.request_id]
    node.now = request.arrived.deadline_at + 1.0


def follow(node):
    for sequence in range(2, 302):
        send_key(node, "other", sequence)
        node.submit(AttemptSucceeded(node.now, node.sent[-1].request_id, 1, 200, b"o"))
    node.sent = node.sent[:1]


def retry_and_succeed(node, **failure):
    node.fail(**failure)
    if len(node.sent) > 1:
        node.start()
        node.succeed()


def cannot_connect(node):
    keyed = node.state.requests[node.sent[-1].request_id].arrived.once_key
    if keyed:
        retry_and_succeed(node, sent=False)
    else:
        node.fail(sent=False)
        start_if_resent(node)


def start_if_resent(node):
    if node.sent[-1].request_id in node.state.requests:
        node.start()


def forget_session(node):
    node.state.once = OnceTable()


def break_after(node):
    node.fail()
    start_if_resent(node)


def pass_tokens(node):
    last = node.sent[-1]
    node.submit(AttemptProgressed(node.now, last.request_id, last.attempt, 40))


def break_often(node):
    for _ in range(5):
        break_after(node)
    waits = [one.not_before for one in node.sent]
    assert waits == sorted(waits)
    assert node.sent[-1].not_before > node.now, "the last tries must wait"


EVENTS = {
    "it breaks 5 times": break_often,
    "it succeeds": Harness.succeed,
    "sent again": send_key,
    "sent with another body": partial(send_key, body="else"),
    "it breaks after sending": break_after,
    "it cannot connect": cannot_connect,
    "the endpoint says not run": partial(retry_and_succeed, not_run=True),
    "the endpoint is leaving": partial(retry_and_succeed, not_run=True, leaving=True),
    "its caller leaves": leave,
    "its session is forgotten": forget_session,
    "300 others follow": follow,
    "no time is left": run_out,
    "40 tokens come": pass_tokens,
}


@when("the key 1 is sent and {events}")
def key_sent(context, events):
    send_key(context.node)
    play(context.node, events)


@when("a request is sent and {events}")
def request_sent(context, events):
    context.node.ask()
    play(context.node, events)


@when("it has reached {whom} for {seconds:d} seconds and a request is sent")
def cut_off(context, whom, seconds):
    node = context.node
    node.submit(PlatformAnswered(node.now, whom == "the platform"))
    node.now += seconds
    if whom == "a node":
        node.submit(PeerHeard(node.now, "p", "p#1", "a", "a", "dc", 1, False))
    for number in (1, 2):
        node.submit(report(f"e{number}", node.now, resident=(("m", "v1"),)))
    node.ask()
    if node.sent:
        node.succeed()


def play(node, events):
    for name in events.split(", "):
        EVENTS[name](node)


@then("the answers are {answers} and it was sent {sent:d} times")
def answers_are(context, answers, sent):
    assert context.node.answers == answers.split(), context.node.answers
    assert len(context.node.sent) == sent, context.node.sent
    second = context.node.sent[1:]
    delivered = [one.offset for one in second if one.offset]
    assert set(delivered) <= {40}, delivered


@given("a stream's guard at offset {offset:d}")
def a_guard(context, offset):
    context.guard = StreamGuard(1, offset)


@when("the chunks {chunks} come")
def chunks_come(context, chunks):
    context.passed_on = ""
    for chunk in chunks.split():
        attempt, offset, tokens = chunk.split(":")
        try:
            context.passed_on += "".join(
                context.guard.accept(int(attempt), int(offset), list(tokens))
            )
        except ValueError:
            context.passed_on = "a gap"


@then("{text} is passed on")
def text_passed(context, text):
    assert context.passed_on == text, context.passed_on


class Registry:
    """A lease object and two nodes that see it, under one clock."""

    def __init__(self):
        self.now = 0.0
        self.version = 0
        self.value = ("", 0, "")
        self.leases = {"one": Lease(), "two": Lease()}
        self.paused = set()
        self.read()

    def read(self):
        for name, lease in self.leases.items():
            if name not in self.paused:
                lease.see(LeaseSeen(self.now, self.version, *self.value), name)

    def write(self, name, answered=True):
        lease = self.leases[name]
        wish = lease.wish(self.now, name, name, True)
        if wish is None:
            return
        won = wish.version == self.version
        if won:
            self.version += 1
            self.value = (name, wish.epoch, wish.nonce)
        event = LeaseWritten(
            self.now, self.now, wish.nonce, won if answered else None, self.version
        )
        lease.answer(event, name)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.read()
            for name in self.leases:
                if name not in self.paused:
                    self.write(name)


@given("two nodes that see one lease")
def two_nodes(context):
    context.registry = Registry()


def pause_one(registry, seconds):
    registry.paused.add("one")
    registry.run(seconds)


def wake_one(registry):
    # Waking, it believes that no time has passed and tries to act at once.
    assert not registry.leases["one"].holding(registry.now)
    registry.paused.clear()
    registry.run(3.0)


def give_up(registry):
    wish = registry.leases["one"].give_up()
    assert wish.version == registry.version
    registry.version += 1
    registry.value = ("", wish.epoch, "")
    registry.paused.add("one")


def write_unanswered(registry):
    registry.write("one", answered=False)
    assert not registry.leases["one"].holding(registry.now)


def write_both(registry):
    wishes = {
        name: lease.wish(registry.now, name, name, True) for name, lease in registry.leases.items()
    }
    for name, wish in wishes.items():
        won = wish.version == registry.version
        if won:
            registry.version += 1
            registry.value = (name, wish.epoch, wish.nonce)
        event = LeaseWritten(registry.now, registry.now, wish.nonce, won, registry.version)
        registry.leases[name].answer(event, name)
    registry.run(1.0)


LEASE_EVENTS = {
    "one takes it": lambda registry: registry.write("one"),
    "one writes it without an answer": write_unanswered,
    "one gives it up": give_up,
    "one wakes": wake_one,
    "both write it at once": write_both,
}


@when("the lease meets: {events}")
def lease_meets(context, events):
    for name in events.split(", "):
        lease_event(context.registry, name)


@when("the ledger meets: {events}")
def ledger_meets(context, events):
    for name in events.split(", "):
        ledger_event(context, name)


def lease_event(registry, name):
    paused = re.fullmatch(r"one is paused for (\d+) seconds", name)
    passed = re.fullmatch(r"(\d+) seconds pass", name)
    if paused:
        pause_one(registry, float(paused[1]))
    elif passed:
        registry.run(float(passed[1]))
    else:
        LEASE_EVENTS[name](registry)


@then("{holder} holds it at epoch {epoch:d}")
def holder_is(context, holder, epoch):
    registry = context.registry
    holding = [name for name, one in registry.leases.items() if one.holding(registry.now)]
    assert holding == [holder], holding
    assert registry.leases[holder].own_epoch == epoch


KEY = ("m", "v1")


@given("a ledger of 100 GB whose endpoint {checks} orders")
def a_ledger(context, checks):
    context.now = 1.0
    context.checks = checks == "checks"
    context.ledger = Ledger("e")
    context.ledger.take_report(ledger_report(context), {})


def ledger_report(context, **fields):
    fields = {"checks_orders": context.checks, "memory_gb": 100.0, **fields}
    return report("e", context.now, **fields)


def ledger_event(context, name):
    ledger = context.ledger
    context.now += 1.0
    token = (1, 1)
    match name:
        case "30 GB are ordered":
            ledger.pending = PendingOrder(token, "load", KEY, 30.0, context.now)
        case "it is sealed":
            ledger.seal((2, 1))
        case "a report shows the seal":
            ledger.take_report(ledger_report(context, order_token=(2, 1)), {})
        case "it is claimed":
            ledger.claim(context.now)
        case "10 GB more are ordered":
            key = ("other", "v1")
            ledger.pending = PendingOrder((1, 2), "load", key, 10.0, context.now)
        case "no answer comes":
            ledger.answer(token, None, context.now)
        case "it is accepted":
            ledger.answer(token, True, context.now)
        case "it is refused":
            ledger.answer(token, False, context.now)
        case "it is given up":
            ledger.give_up_order(context.now)
        case "40 seconds pass":
            context.now += 40.0
        case "a report is without it":
            ledger.take_report(ledger_report(context), {})
        case "an old report is without it":
            ledger.take_report(ledger_report(context, age_s=1.5), {})
        case "a report shows it loading":
            shown = ledger_report(context, loading=(KEY,), held_gb=30.0, order_token=token)
            ledger.take_report(shown, {KEY: 30.0})
        case "a report shows it undeclared":
            # A newer version is declared by now, so its size is known from the order alone.
            ledger.take_report(ledger_report(context, loading=(KEY,), held_gb=30.0), {})
        case "a report has a later token without it":
            ledger.take_report(ledger_report(context, order_token=(1, 2)), {})
        case "a report holds 50 GB of unknown":
            ledger.take_report(ledger_report(context, held_gb=50.0), {})
        case "the endpoint restarts":
            ledger.take_report(ledger_report(context, incarnation="2"), {})
        case "nothing happens":
            pass
        case _:
            raise AssertionError(f"no such event: {name}")


@then("{free:d} GB may be promised")
def free_is(context, free):
    assert abs(context.ledger.free() - free) < 1e-6, context.ledger.free()


@then("it is {state} for orders")
def state_is(context, state):
    assert context.ledger.ready() == (state == "ready")


@then("its record names {count:d} orders")
def record_names(context, count):
    assert len(context.ledger.intent_rows()) == count, context.ledger.intent_rows()


@given("a team with 100 requests a second over {nodes:d} nodes")
def a_team(context, nodes):
    context.tables = [LimitTable() for _ in range(nodes)]


@when("the demand is {demand}")
def demand_is(context, demand):
    spec = TeamSpec((), requests_per_s=100.0)
    rates = [float(one) for one in demand.split()]
    admitted = 0
    owed = [0.0] * len(rates)
    for step in range(200):
        now = step * 0.1
        for number, table in enumerate(context.tables):
            owed[number] += rates[number] * 0.1
            while owed[number] >= 1.0:
                owed[number] -= 1.0
                if table.admit("t", spec, now) == 0.0:
                    table.release("t")
                    admitted += int(now >= 10.0)
            table.tick(0.1)
        if step % 10 == 0:
            for number, table in enumerate(context.tables):
                for other, heard in enumerate(context.tables):
                    if other != number:
                        table.hear(str(other), heard.demand())
    context.rate = admitted / 10.0


@then("the admitted rate is between {least:d} and {most:d}")
def rate_between(context, least, most):
    assert least <= context.rate <= most, context.rate


@given("a retry budget")
def a_budget(context):
    context.budget = RetryBudget()


@when("1000 requests succeed and 1000 fail")
def requests_end(context):
    for _ in range(1000):
        context.budget.earn()
        context.budget.spend()


@then("at most {most:d} retries were given")
def retries_at_most(context, most):
    assert 90 <= context.budget.spent <= most, context.budget.spent
