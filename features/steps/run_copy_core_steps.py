from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core import InvariantBroken
from rookspring_core import invariants
from rookspring_core import run_copies
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
from rookspring_core.events import CallerLeft
from rookspring_core.events import LeavingReceived
from rookspring_core.events import NoticeReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.events import RunCopied
from rookspring_core.events import RunNotCopied
from rookspring_core.notices import Leaving
from rookspring_core.notices import Notice

KEY = "r1"
NAMES = ("a", "b", "c")
SLOTS = 8


class CopyHarness(RelayHarness):
    """A relaying node with three model endpoints, and one request at the first."""

    def __init__(self):
        super().__init__()
        self.list_rows()
        self.report_all(NAMES)

    def list_rows(self, names=NAMES, state="live", **versions):
        rows = [
            BoxListed(
                name,
                name,
                "z",
                "runner",
                state if name == "a" else "live",
                "llm",
                version=versions.get(name, "v1"),
            )
            for name in names
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))

    def report_all(self, names, **fields):
        self.now += 0.01
        for name in names:
            self.submit(self.report(name, ["m"], ["m/x"], slots=SLOTS, **fields))

    def begin(self, stream=True, resumable=False, deadline_s=5.0, first=True):
        for name in ("b", "c"):
            self.view(name).ejected_until = self.now + 1.0
        self.submit(
            RequestArrived(
                self.now,
                KEY,
                "",
                "m",
                adapter="m/x",
                deadline_at=self.now + deadline_s,
                tokens=10,
                repeatable=resumable,
                stream=stream,
                route=RouteTerms("r", "llm", 1, 1, 2, 0.1, 0.4),
            )
        )
        assert self.sent[-1].endpoint == "a", self.sent
        for name in ("b", "c"):
            self.view(name).ejected_until = 0.0
        self.submit(AttemptStarted(self.now, KEY, 1))
        if first:
            self.submit(AttemptProgressed(self.now, KEY, 1, 3))
        self.effects = []

    def view(self, name):
        return self.state.endpoints[name]

    def perform(self, effect):
        if isinstance(effect, CopyRun | FreeCopy | Dispatch | Refuse):
            self.effects = [*getattr(self, "effects", []), effect]

    def attempt(self):
        return self.sent[-1].attempt

    def fail(self, copy="", **fields):
        fields = {"sent": True, "reported_not_run": False, "reason": "x"} | fields
        self.submit(AttemptFailed(self.now, KEY, self.attempt(), copy=copy, **fields))


def _fill(harness, name):
    harness.view(name).others_inflight = SLOTS


def _fill_with_copies(harness, name):
    harness.view(name).copies.update(f"s{number}" for number in range(SLOTS))


def _lose(harness, **fields):
    harness.now += 0.01
    harness.submit(
        harness.report("b", fields.get("resident", ["m"]), fields.get("adapters", []), slots=SLOTS)
    )


def _add(harness):
    harness.list_rows((*NAMES, "d"))
    harness.report_all(("d",))
    # It is chosen after the others.
    harness.view("d").others_inflight = SLOTS - 1


def _rest(harness, name="b"):
    harness.view(name).backoff_until = harness.now + 1.0


CHANGES = {
    "nothing else is so": lambda harness: None,
    "the stream may be resumed": lambda harness: None,
    "the stream has no event yet": lambda harness: None,
    "the request is for a body": lambda harness: None,
    "the deadline is near": lambda harness: None,
    "a is a plain service's": lambda harness: setattr(harness.view("a"), "role", "service"),
    "b leaves": lambda harness: setattr(harness.view("b"), "leaving", True),
    "b is full": lambda harness: _fill(harness, "b"),
    "b holds as many copies as it has slots": lambda harness: _fill_with_copies(harness, "b"),
    "b lacks the model": lambda harness: _lose(harness, resident=["n"]),
    "b lacks the adapter": _lose,
    "b is of another version": lambda harness: harness.list_rows(b="v2"),
    "b has a request rate": lambda harness: setattr(harness.view("b"), "rate", 5.0),
    "b is in back-off": _rest,
    "b is in another data centre": lambda harness: setattr(harness.view("b"), "data_centre", "y"),
    "d is there too": _add,
    "b and c are full": lambda harness: (_fill(harness, "b"), _fill(harness, "c")),
}
BEGINNINGS = {
    "the stream may be resumed": {"resumable": True},
    "the stream has no event yet": {"first": False},
    "the request is for a body": {"stream": False},
    "the deadline is near": {"deadline_s": run_copies.COPY_LEFT_MIN_S - 0.1},
}


@given("a node with a stream that runs at a, beside b and c, where {what}")
def with_stream(context, what):
    harness = context.copies = CopyHarness()
    harness.begin(**BEGINNINGS.get(what, {}))
    CHANGES[what](harness)
    harness.effects = []


def _notice(harness):
    harness.submit(NoticeReceived(harness.now, "a", 0, Notice(leaving=True)))


def _told(harness):
    rows = (Leaving("a", 0, harness.now),)
    harness.submit(LeavingReceived(harness.now, rows, "n2"))


STATES = {
    "leaving by report": lambda harness: harness.report_all(("a",), leaving=True),
    "leaving by entry": lambda harness: harness.list_rows(state="leaving"),
    "leaving by notice": _notice,
    "leaving by a node": _told,
    "gone": lambda harness: harness.list_rows(names=("b", "c")),
    "staying": lambda harness: harness.report_all(("a",)),
}


@when("a is {state}")
def is_in_state(context, state):
    STATES[state](context.copies)


@then("a copy is asked for at {holder}")
def is_asked(context, holder):
    found = [one.holder for one in context.copies.effects if isinstance(one, CopyRun)]
    assert found == ([] if holder == "none" else [holder]), context.copies.effects


def _succeed(harness):
    harness.submit(AttemptSucceeded(harness.now, KEY, harness.attempt()))


def _leave(harness):
    harness.submit(CallerLeft(harness.now, KEY))


def _refuse(name):
    return lambda harness: harness.submit(RunNotCopied(harness.now, KEY, 1, name, False))


def _holder_leaves(harness):
    harness.report_all(("b",), leaving=True)
    harness.report_all(("a",), leaving=True)


EVENTS = {
    "b has the copy": lambda harness: harness.submit(
        RunCopied(harness.now, KEY, 1, "b", "a/h1"),
    ),
    "b has no room": _refuse("b"),
    "c has no room": _refuse("c"),
    "a knows no such run": lambda harness: harness.submit(
        RunNotCopied(harness.now, KEY, 1, "b", True)
    ),
    "its answer ends in doubt": lambda harness: harness.fail(
        run_copies.find_name(harness.state, KEY), open_ended=True
    ),
    "its answer ends cut": lambda harness: harness.fail(open_ended=True),
    "the holder refuses it": lambda harness: harness.fail(reported_not_run=True),
    "the holder can't be reached": lambda harness: harness.fail(sent=False),
    "the answer succeeds": _succeed,
    "the caller leaves": _leave,
    "b leaves": _holder_leaves,
    "b rests": _rest,
    "its first event comes": lambda harness: harness.submit(
        AttemptProgressed(harness.now, KEY, harness.attempt(), 1)
    ),
}


@when("then {events}")
def then_events(context, events):
    harness = context.copies
    for event in events.split(", "):
        # What the events before have brought about is looked at by rows of their own.
        harness.effects = []
        EVENTS[event](harness)


def _describe(effect):
    match effect:
        case CopyRun():
            return f"a copy is asked for at {effect.holder}"
        case FreeCopy():
            assert effect.name == "a/h1", effect
            return f"the copy at {effect.holder} is freed"
        case Refuse():
            return f"it ends as {effect.outcome}"
        case Dispatch():
            assert effect.copy in ("", "a/h1"), effect
            if effect.copy:
                return f"it goes on at {effect.endpoint} from the copy"
            return f"it is sent to {effect.endpoint}"


@then("this follows: {effects}")
def follows(context, effects):
    found = [_describe(one) for one in context.copies.effects]
    expected = [] if effects == "nothing" else effects.split(", ")
    assert found == expected, found


@then("no send and no resend of it are counted")
def none_counted(context):
    request = context.copies.state.requests[KEY]
    assert (request.sends, request.attempt) == (0, 2), (request.sends, request.attempt)


@then("b holds no copy, and runs it")
def runs_it(context):
    view = context.copies.view("b")
    assert (set(view.copies), set(view.inflight)) == (set(), {KEY}), (view.copies, view.inflight)


@then("going on elsewhere than at a copy breaks the invariant at-most-once")
def breaks_invariant(context):
    harness = context.copies
    state = harness.state
    state.copy_witness[KEY] = "b"
    sent = [Dispatch(KEY, 2, "c", 3, 0.0, "a/h1")]
    event = AttemptFailed(harness.now, KEY, 1, True, False, "x")
    for effects in (sent, [sent[0]._replace(copy="", endpoint="b")]):
        try:
            invariants.check(state, event, effects)
        except InvariantBroken as error:
            assert "at-most-once" in str(error), error
        else:
            raise AssertionError(effects)
