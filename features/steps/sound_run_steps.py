import msgpack
from behave import then
from behave import when

from rookspring import messages
from rookspring.evidence import decode_evidence
from rookspring.evidence import encode_evidence
from rookspring_core.effects import ShareEvidence
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import CallerLeft
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import Ticked
from rookspring_core.sound_runs import RunLength
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable
from rookspring_core.suspects import Verdict
from rookspring_fakes.fleet_callers import FATAL

# Times from the first step of a run to its first event, and between two looks at an endpoint, in
# seconds.
FIRST_EVENT_S = 0.1
STEP_S = 0.1
EVENT_S = 0.05
# How long an endpoint is observed after a run there was ended by the node.
AFTER_S = 2.0

RUNS = {}


def run(name):
    def register(function):
        RUNS[name] = function
        return function

    return register


def begin(node, seconds, events=True, deadline_s=15.0):
    """Have the request answer for some seconds at a new endpoint, an event each EVENT_S."""
    node.attempt(deadline_s)
    if events:
        node.submit(AttemptProgressed(node.now, *node.key, 1 + round(seconds / EVENT_S)))
    node.now += seconds


def send_other(node):
    """Send another request to the last endpoint, and return its attempt."""
    terms = RouteTerms("r", "llm", 1, 1, 1, 0.5, 1.0)
    name = f"beside-{node.number}"
    node.submit(
        RequestArrived(
            node.now, name, "", "m", deadline_at=node.now + 15.0, route=terms, fingerprint=name
        )
    )
    assert node.sent[-1].endpoint == node.name, node.sent[-1]
    key = (name, node.sent[-1].attempt)
    node.submit(AttemptStarted(node.now, *key))
    return key


def watch(node, key=None):
    """Let AFTER_S pass, in which an attempt gets an event from time to time if there is one."""
    end = node.now + AFTER_S
    while node.now < end:
        node.now += STEP_S
        if key:
            node.submit(AttemptProgressed(node.now, *key, 1))
        node.submit(Ticked(node.now))
    if key:
        node.submit(AttemptSucceeded(node.now, *key))


def reach_deadline(node, seconds, events=True):
    """Have the request run to its deadline, that many seconds after its first event."""
    begin(node, seconds, events, FIRST_EVENT_S + seconds)
    node.fail(reason="deadline", broken=False)


@run("crashes")
def _crashes(node, seconds):
    begin(node, seconds, seconds > 0.0)
    node.fail(down=True)
    node.now += 4.0


@run("lives on")
def _lives_on(node, seconds):
    reach_deadline(node, seconds)
    watch(node, send_other(node))


@run("lives on without an event")
def _without_event(node, seconds):
    reach_deadline(node, seconds, events=False)
    watch(node, send_other(node))


@run("lives on, left by its caller")
def _left(node, seconds):
    begin(node, seconds)
    node.submit(CallerLeft(node.now, node.key[0]))
    watch(node, send_other(node))


@run("is not heard from again")
def _unheard(node, seconds):
    reach_deadline(node, seconds)
    watch(node)


def crash_after(node, seconds, after_s):
    """Have the process crash so long after the deadline, with another request's events before."""
    reach_deadline(node, seconds)
    key = send_other(node)
    for _ in range(round(after_s / STEP_S)):
        node.now += STEP_S
        node.submit(AttemptProgressed(node.now, *key, 1))
        node.submit(Ticked(node.now))
    node.submit(AttemptFailed(node.now, *key, True, False, "closed", down=True, broken=True))
    node.now += 4.0
    node.submit(Ticked(node.now))


@run("crashes 0.2 s after it was ended at")
def _just_after(node, seconds):
    crash_after(node, seconds, 0.2)


@run("crashes 0.5 s after it was ended at")
def _soon_after(node, seconds):
    crash_after(node, seconds, 0.5)


@run("crashes later")
def _later(node, seconds):
    reach_deadline(node, seconds)
    key = send_other(node)
    watch(node, key)
    key = send_other(node)
    node.submit(AttemptFailed(node.now, *key, True, False, "closed", down=True, broken=True))
    node.now += 4.0
    node.submit(Ticked(node.now))


@when("its runs end so, that many seconds after the first event: {runs}")
def runs_end(context, runs):
    for one in runs.split("; "):
        what, _, seconds = one.rpartition(" ")
        RUNS[what](context.node, float(seconds))


def pass_on(evidence, now):
    """Return evidence as another node reads it."""
    data = messages.encode(encode_evidence(evidence, now))
    return decode_evidence(messages.decode(msgpack.unpackb(data)), now)


@when("a node that knows {what} hears of it after a run that lived on {seconds:g} s")
def others_convict(context, what, seconds):
    node = context.node
    at = node.now
    records = [
        CrashRecord(FATAL, "", EndpointProcess(f"c{n}", n), at, True, "", RunLength(2, 0.1))
        for n in range(3)
    ]
    context.other = SuspectTable()
    context.other.merge(pass_on(Evidence(tuple(records)), at), at)
    context.verdict = Evidence(verdicts=tuple(context.other.verdicts(at)))
    assert context.verdict.verdicts == (Verdict(FATAL, "", at + 600.0),)
    RUNS["lives on"](node, seconds)
    sent = context.other.snapshot(node.now)
    if what == "of three crashes":
        sent = Evidence(tuple(records))
    effects = node.submit(EvidenceReceived(node.now, pass_on(sent, node.now), "n2"))
    if what == "the verdict and its evidence":
        late = Evidence(tuple(records))
        effects += node.submit(EvidenceReceived(node.now, pass_on(late, node.now), "n2"))
    context.told = [one.evidence for one in effects if isinstance(one, ShareEvidence)]


@then("both send that request from then on")
def both_send(context):
    now = context.node.now
    assert context.node.state.suspects.verdict(FATAL, now) is None
    for one in context.told:
        context.other.merge(pass_on(one, now), now)
    assert context.other.verdict(FATAL, now) is None, context.told


@then("the first keeps that verdict")
def keeps_verdict(context):
    assert context.node.state.suspects.verdict(FATAL, context.node.now) is not None
