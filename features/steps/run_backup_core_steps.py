from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core import InvariantBroken
from rookspring_core import close_records
from rookspring_core import invariants
from rookspring_core import routed
from rookspring_core import run_backups
from rookspring_core import run_copies
from rookspring_core.close_records import CloseRecords
from rookspring_core.effects import CopyRun
from rookspring_core.effects import Dispatch
from rookspring_core.effects import FreeCopy
from rookspring_core.effects import Refuse
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import RunCopied
from rookspring_core.events import RunNotCopied
from rookspring_core.retries import WindowTerms

NAMES = ("a", "b", "c")
SLOTS = 8
RESENDS = 10.0
NAME = "b/r1"
IS = {"is": True, "is not": False}


class BackupHarness(RelayHarness):
    """A relaying node with three model endpoints, of which the first has the most room."""

    def __init__(self):
        super().__init__()
        self.effects = []
        self.fields = {}
        self.key = ""
        self.number = 0
        self.list_rows()
        self.report_all()
        self.state.retry_window_terms = WindowTerms(share=0.0, slack=RESENDS)
        for name in NAMES:
            self.view(name).copies_known = True
        self.crowd()
        self.state.close_records.note_close("llm", self.now)

    def crowd(self):
        for name in NAMES[1:]:
            self.view(name).others_inflight = 1

    def list_rows(self, **versions):
        rows = [
            BoxListed(name, name, "z", "runner", "live", "llm", version=versions.get(name, "v1"))
            for name in NAMES
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))

    def report_all(self, names=NAMES, **fields):
        self.now += 0.01
        for name in names:
            self.submit(self.report(name, ["m"], slots=SLOTS, **fields))

    def view(self, name):
        return self.state.endpoints[name]

    def begin(self):
        self.number += 1
        self.key = f"r{self.number}"
        fields = {"deadline_at": self.now + 5.0, "repeatable": False, "stream": True} | self.fields
        route = RouteTerms("r", "llm", 1, 1, 2, 0.1, 0.4)
        self.submit(
            RequestArrived(self.now, self.key, "", "m", tokens=10, route=route, **fields),
        )
        assert self.sent[-1].endpoint == "a", self.sent
        self.submit(AttemptStarted(self.now, self.key, self.attempt()))

    def perform(self, effect):
        if isinstance(effect, CopyRun | FreeCopy | Dispatch | Refuse):
            self.effects.append(effect)

    def attempt(self):
        return self.sent[-1].attempt

    def fail(self, copy="", **fields):
        fields = {"sent": True, "reported_not_run": False, "reason": "x"} | fields
        self.submit(AttemptFailed(self.now, self.key, self.attempt(), copy=copy, **fields))


def _forget_calls(*names):
    def change(harness):
        for name in names:
            harness.view(name).copies_known = False

    return change


def _set_fields(**fields):
    return lambda harness: harness.fields.update(fields)


def _forget_closes(harness):
    harness.state.close_records = CloseRecords()


def _close_long_ago(harness):
    _forget_closes(harness)
    harness.state.close_records.note_close("llm", harness.now - close_records.RECORD_KEPT_S)


def _bring_near(harness):
    harness.fields["deadline_at"] = harness.now + run_copies.COPY_LEFT_MIN_S - 0.1


def _fill(harness):
    harness.view("b").others_inflight = SLOTS


def _spend_all(harness):
    harness.state.retry_window_terms = WindowTerms(share=0.0, slack=0.0)


CHANGES = {
    "all else is usual": lambda harness: None,
    "no answer was closed": _forget_closes,
    "an answer was closed long ago": _close_long_ago,
    "its stream may be resumed": _set_fields(repeatable=True),
    "it is for a body": _set_fields(stream=False),
    "its deadline is near": _bring_near,
    "a doesn't know the calls": _forget_calls("a"),
    "a was replaced by another process": lambda harness: _replace(harness, "a"),
    "b doesn't know the calls": _forget_calls("b"),
    "b and c don't know the calls": _forget_calls("b", "c"),
    "a is of a plain service": lambda harness: setattr(harness.view("a"), "role", "service"),
    "b has no room": _fill,
    "b is of a later version": lambda harness: harness.list_rows(b="v2"),
    "b takes requests at a rate": lambda harness: setattr(harness.view("b"), "rate", 5.0),
    "b is far away": lambda harness: setattr(harness.view("b"), "data_centre", "y"),
    "no resend is left": _spend_all,
}


def _replace(harness, name):
    harness.view(name).reset_for_restart(harness.now)
    harness.report_all((name,))


@given("a node whose service closes its answers, with a, b and c that know the calls, where {what}")
def with_endpoints(context, what):
    context.backups = BackupHarness()
    CHANGES[what](context.backups)


@when("a request begins at a")
def begins(context):
    context.backups.begin()


@then("its backup is to be at {holder}")
def backup_is_at(context, holder):
    assert context.backups.sent[-1].backup == holder.replace("none", ""), context.backups.sent


def _progress(harness):
    harness.submit(AttemptProgressed(harness.now, harness.key, harness.attempt(), 1))


def _copy(harness):
    row = (harness.now, harness.key, harness.attempt(), "b", "a/h1", "a")
    harness.submit(RunCopied(*row))


def _know_no_run(harness):
    harness.submit(RunNotCopied(harness.now, harness.key, harness.attempt(), "b", True))


def _succeed(harness):
    harness.submit(AttemptSucceeded(harness.now, harness.key, harness.attempt()))


def _begin_another(harness):
    _succeed(harness)
    harness.effects = []
    harness.begin()


def _wait(harness):
    harness.now += 11.0
    harness.report_all()
    harness.crowd()
    harness.fields["deadline_at"] = harness.now + 5.0


EVENTS = {
    "it has an event": _progress,
    "b has its copy": _copy,
    "a knows no run": _know_no_run,
    "a leaves": lambda harness: harness.report_all(("a",), leaving=True),
    "b leaves": lambda harness: harness.report_all(("b",), leaving=True),
    "b was replaced": lambda harness: _replace(harness, "b"),
    "it succeeds": _succeed,
    "another begins": _begin_another,
    "11 s pass": _wait,
    "its end is asked about": lambda harness: harness.fail(NAME, open_ended=True, backup=True),
    "its end looks whole and is asked about": lambda harness: harness.fail(
        NAME, open_ended=True, backup=True, likely=True
    ),
    "its copy is asked for": lambda harness: harness.fail("a/h1", open_ended=True),
    "b refuses it": lambda harness: harness.fail(reported_not_run=True),
    "b is unreachable": lambda harness: harness.fail(sent=False),
}


@when("in order {events}")
def in_order(context, events):
    harness = context.backups
    context.noted = []
    note = harness.state.close_records.note_outcome
    harness.state.close_records.note_outcome = lambda service, whole, now: (
        context.noted.append(whole),
        note(service, whole, now),
    )
    for event in events.split(", "):
        harness.effects = []
        EVENTS[event](harness)


def _describe(effect):
    match effect:
        case CopyRun():
            return f"a copy is asked for at {effect.holder}"
        case FreeCopy():
            return f"the copy at {effect.holder} is freed"
        case Refuse():
            return f"it ends as {effect.outcome}"
        case Dispatch():
            assert effect.copy in ("", "a/h1", NAME), effect
            backup = f" with a backup at {effect.backup}" if effect.backup else ""
            how = "goes on from a copy at" if effect.copy else "begins at"
            return f"it {how} {effect.endpoint}{backup}"


@then("the last brings about: {effects}")
def brings_about(context, effects):
    found = [_describe(one) for one in context.backups.effects]
    assert found == ([] if effects == "nothing" else effects.split(", ")), found


@then("{spent:d} resends are spent")
def are_spent(context, spent):
    state = context.backups.state
    terms = WindowTerms(share=0.0, slack=RESENDS)
    if state.retry_window_terms.slack:
        state.retry_window_terms = terms
    window = routed.resend_window(state, "llm")
    allowed = int(window.terms.slack / window.terms.nodes)
    left = sum(window.spend(state.now) for _ in range(2 * allowed + 2))
    assert allowed - left == spent, (allowed, left)


@then(
    "a backup {clear} asked for where work went on behind the end, {likely} where nothing speaks "
    "against it, and {doubted} where it is doubted"
)
def is_asked_for(context, clear, likely, doubted):
    kinds = [(True, True), (True, False), (False, True)]
    shares = [run_backups.find_kept_share(*kind) for kind in kinds]
    found = [context.window.has_left(0.0, share) for share in shares]
    assert found == [IS[clear], IS[likely], IS[doubted]], found


@then("this is noted of its end: {found}")
def is_noted(context, found):
    expected = {"whole": [True], "cut": [False], "none": []}[found]
    assert context.noted == expected, context.noted


@then("going on at c, or at b once more, breaks the invariant at-most-once")
def breaks_invariant(context):
    harness = context.backups
    event = AttemptFailed(harness.now, harness.key, 1, True, False, "x")
    right = Dispatch(harness.key, 2, "b", 3, 0.0, NAME)
    wrong = right._replace(endpoint="c")
    for sent, breaks in ((wrong, True), (right, False), (right, True)):
        try:
            invariants.check(harness.state, event, [sent])
        except InvariantBroken as error:
            assert breaks and "at-most-once" in str(error), (sent, error)
        else:
            assert not breaks, sent
