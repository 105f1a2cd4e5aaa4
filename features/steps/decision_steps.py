from functools import partial

from behave import given
from behave import then
from behave import when
from samples import report

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
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import CallerLeft
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import NoticeReceived
from rookspring_core.events import PlatformAnswered
from rookspring_core.events import RequestArrived
from rookspring_core.events import SessionOpened
from rookspring_core.limits import LimitTable
from rookspring_core.notices import Notice
from rookspring_core.once import OnceTable
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import ServiceSpec
from rookspring_core.resources import TeamSpec
from rookspring_core.retries import RetryBudget
from rookspring_core.streams import StreamGuard


class Harness:
    """A node's reducer, with the attempts that it sent and the outcomes that it answered."""

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
        self.submit(BoxListReceived(self.now, tuple(boxes)))
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
        # The caller of the request that ran is answered before those that waited for its key.
        return len([one for one in self.answers if one not in ("replay",)])

    def fail(self, sent=True, not_run=False, leaving=False):
        last = self.sent[-1]
        if leaving:
            self.submit(NoticeReceived(self.now, last.endpoint, 0, Notice(leaving=True)))
        self.submit(AttemptFailed(self.now, last.request_id, last.attempt, sent, not_run, "x"))

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


def pass_deadline(node):
    last = node.sent[-1]
    request = node.state.requests[last.request_id]
    node.now = request.arrived.deadline_at + 1.0


def send_others(node):
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
    assert node.sent[-1].not_before > node.now, "the last attempts must wait for a back-off"


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
    "300 others follow": send_others,
    "no time is left": pass_deadline,
    "40 tokens come": pass_tokens,
}


@when("the key 1 is sent and {events}")
def key_sent(context, events):
    send_key(context.node)
    run_events(context.node, events)


@when("a request is sent and {events}")
def request_sent(context, events):
    context.node.ask()
    run_events(context.node, events)


@when("it has reached {whom} for {seconds:d} seconds and a request is sent")
def reached_for(context, whom, seconds):
    node = context.node
    node.submit(PlatformAnswered(node.now, whom == "the platform"))
    node.now += seconds
    if whom == "a node":
        node.submit(HeartbeatReceived(node.now, "p", "p#1", "a", "a", "dc", 1, False))
    for number in (1, 2):
        node.submit(report(f"e{number}", node.now, resident=(("m", "v1"),)))
    node.ask()
    if node.sent:
        node.succeed()


def run_events(node, events):
    for name in events.split(", "):
        EVENTS[name](node)


@then("the answers are {answers} and it was sent {sent:d} times")
def answers_are(context, answers, sent):
    assert context.node.answers == answers.split(), context.node.answers
    assert len(context.node.sent) == sent, context.node.sent
    second = context.node.sent[1:]
    delivered = [one.offset for one in second if one.offset]
    assert set(delivered) <= {40}, delivered


@given("a stream guard at offset {offset:d}")
def given_guard(context, offset):
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


@given("a team with 100 requests a second over {nodes:d} nodes")
def given_team(context, nodes):
    context.tables = [LimitTable() for _ in range(nodes)]


@when("the demand is {demand}")
def demand_is(context, demand):
    spec = TeamSpec((), requests_per_s=100.0)
    rates = [float(one) for one in demand.split()]
    admitted = 0
    due = [0.0] * len(rates)
    for step in range(200):
        now = step * 0.1
        for number, table in enumerate(context.tables):
            due[number] += rates[number] * 0.1
            while due[number] >= 1.0:
                due[number] -= 1.0
                if table.admit("t", spec, now) == 0.0:
                    table.release("t")
                    admitted += int(now >= 10.0)
            table.decay_demand(0.1)
        if step % 10 == 0:
            for number, table in enumerate(context.tables):
                for other, peer in enumerate(context.tables):
                    if other != number:
                        table.record_demand(str(other), peer.demand())
    context.rate = admitted / 10.0


@then("the admitted rate is between {least:d} and {most:d}")
def rate_between(context, least, most):
    assert least <= context.rate <= most, context.rate


@given("a retry budget")
def given_budget(context):
    context.budget = RetryBudget()


@when("1000 requests succeed and 1000 fail")
def requests_end(context):
    for _ in range(1000):
        context.budget.earn()
        context.budget.spend()


@then("at most {most:d} retries were allowed")
def retries_at_most(context, most):
    assert 90 <= context.budget.spent <= most, context.budget.spent
