from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_fakes.fleet_callers import FATAL

# Which events count as a crash, and how they are detected.


def send_fatal(node, key, deadline_s=15.0):
    terms = RouteTerms("r", "llm", 1, 1, 1, 0.5, 1.0)
    node.submit(
        RequestArrived(
            at=node.now,
            request_id=key,
            team="",
            target="m",
            deadline_at=node.now + deadline_s,
            tokens=10,
            repeatable=False,
            stream=True,
            route=terms,
            fingerprint=FATAL,
        )
    )


class EndsHarness(RelayHarness):
    """A node whose request runs at one new endpoint after another."""

    def __init__(self):
        super().__init__()
        self.number = 0
        # The listed endpoints, with their start times.
        self.there = {}

    def relist(self, state="live"):
        rows = [
            BoxListed(name, name, "z", "runner", state if name == self.name else "live", "llm")
            for name in self.there
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))

    def empty(self):
        """Have all listed endpoints hold no model, so that the next one gets the request."""
        for name, born in self.there.items():
            self.submit(self.report(name, [], started_ms=born))

    def lapse(self):
        """Remove the entry of the last endpoint."""
        del self.there[self.name]
        self.relist()

    def attempt(self, deadline_s=15.0):
        """Have the request run at a new endpoint."""
        self.number += 1
        self.empty()
        self.name = f"e{self.number}"
        self.born = 1000 * self.number
        self.there[self.name] = self.born
        self.relist()
        self.submit(self.report(self.name, ["m"], started_ms=self.born))
        send_fatal(self, f"r{self.number}", deadline_s)
        last = self.sent[-1]
        self.key = (last.request_id, last.attempt)
        assert last.request_id == f"r{self.number}", self.refused
        self.submit(AttemptStarted(self.now, *self.key))
        self.now += 0.1

    def fail(
        self,
        reason="connection closed",
        broken=True,
        down=False,
        said_not_run=False,
        open_ended=False,
    ):
        self.submit(
            AttemptFailed(
                self.now,
                *self.key,
                True,
                said_not_run,
                reason,
                down=down,
                broken=broken,
                open_ended=open_ended,
            )
        )

    def find_refused(self):
        """Have the endpoint refuse the connection of another request."""
        self.now += 1.2
        terms = RouteTerms("r", "llm", 1, 1, 1, 0.5, 1.0)
        other = f"other-{self.number}"
        self.submit(
            RequestArrived(
                at=self.now,
                request_id=other,
                team="",
                target="m",
                deadline_at=self.now + 15.0,
                route=terms,
                fingerprint=other,
            )
        )
        self.submit(AttemptFailed(self.now, other, 1, False, False, "refused", down=True))


ENDS = {}


def ending(name):
    def register(function):
        ENDS[name] = function
        return function

    return register


@ending("connections were refused at once")
def _refused_at_once(node):
    node.fail(down=True)


@ending("the next request's connection was refused")
def _refused_later(node):
    node.fail()
    node.find_refused()


@ending("its entry lapsed 3.6 s later")
def _lapsed(node):
    node.fail()
    node.now += 3.6
    node.lapse()


@ending("its next process reported its start time")
def _started_anew(node):
    node.fail()
    node.now += 2.0
    node.there[node.name] = node.born + 1
    node.submit(node.report(node.name, [], started_ms=node.born + 1))


@ending("another node reported its end")
def _told(node):
    node.fail()
    life = EndpointProcess(node.name, node.born)
    seen = CrashRecord(f"other-{node.number}", "", life, node.now, True)
    node.submit(EvidenceReceived(node.now, Evidence((seen,)), "n2"))


@ending("it still accepted connections")
def _listened(node):
    node.fail()


@ending("it still accepted connections, and its entry lapsed 8 s later")
def _lapsed_late(node):
    node.fail()
    node.now += 8.0
    node.lapse()


@ending("its stream may have been whole, and connections were refused at once")
def _unknown_end_refused(node):
    node.fail(down=True, open_ended=True)


@ending("its stream may have been whole, and the next request's connection was refused")
def _unknown_end_refused_later(node):
    node.fail(broken=False, open_ended=True)
    node.find_refused()


@ending("it was leaving, and connections were refused")
def _leaving(node):
    node.relist("leaving")
    node.fail(down=True)


@ending("its entry had gone before, and connections were refused")
def _gone(node):
    node.lapse()
    node.fail(down=True)


@ending("connections were refused, and a later run of the request succeeded")
def _well(node):
    node.fail(down=True)
    node.now += 3.0
    node.number += 10
    node.attempt()
    node.submit(AttemptSucceeded(node.now, *node.key))
    node.number -= 10


@given("a node whose request runs at three endpoints, one after another")
def three_endpoints(context):
    context.node = EndsHarness()


@when("each time the connection broke off, and {then}")
def broke_off(context, then):
    for _ in range(3):
        context.node.attempt()
        ENDS[then](context.node)
        context.node.now += 4.0


@when("each attempt ended with {end}, and connections were refused later")
def no_break(context, end):
    node = context.node
    for _ in range(3):
        node.attempt()
        node.fail(reason=end, broken=False, said_not_run=end == "a refusal")
        node.find_refused()
        node.now += 4.0


@then("that request is {fate} from then on")
def fate(context, fate):
    node = context.node
    node.name = "e51"
    node.there[node.name] = 9
    node.relist()
    node.submit(node.report("e51", ["m"], started_ms=9))
    send_fatal(node, "last")
    reasons = [one.reason for one in node.refused if one.request_id == "last"]
    assert reasons == (["ends_endpoints"] if fate == "refused" else []), reasons
    sent = [one for one in node.sent if one.request_id == "last"]
    assert len(sent) == (fate == "sent"), node.sent


@when("2 times the connection broke off, and connections were refused at once")
def broke_twice(context):
    for _ in range(2):
        context.node.attempt()
        context.node.fail(down=True)
        context.node.now += 4.0


@when("it is retried where one endpoint has cached its prefix and another is idle")
def holds_prefix(context):
    node = context.node
    node.empty()
    for name in ("busy", "idle"):
        node.there[name] = 9
        node.name = name
    node.relist()
    for name in ("busy", "idle"):
        node.submit(node.report(name, ["m"], started_ms=9, slots=100))
    view = node.state.endpoints["busy"]
    view.begin("another", node.now)
    view.hint((7,), node.now)
    terms = RouteTerms("r", "llm", 1, 1, 1, 0.5, 1.0)
    arrived = RequestArrived(
        at=node.now,
        request_id="innocent",
        team="",
        target="m",
        deadline_at=node.now + 15.0,
        prefix=7,
        route=terms,
        fingerprint="innocent",
    )
    node.state.full_checks = False
    node.submit(arrived)
    assert node.sent[-1].endpoint == "busy", node.sent[-1]
    node.submit(arrived._replace(request_id="last", fingerprint=FATAL))


@then("it is sent to the idle one")
def sent_to_idle(context):
    last = context.node.sent[-1]
    assert (last.request_id, last.endpoint) == ("last", "idle"), last


@when("{times:d} times the connection broke off {seconds:g} s after its first event")
def broke_late(context, times, seconds):
    node = context.node
    for _ in range(times):
        node.attempt()
        node.submit(AttemptProgressed(node.now, *node.key, 1))
        node.now += seconds
        node.fail(down=True)
        node.now += 4.0


@when("it is retried, and the first of two endpoints refuses the connection")
def first_is_down(context):
    node = context.node
    node.empty()
    for name in ("first", "other"):
        node.there[name] = 9
        node.name = name
    node.relist()
    for name in ("first", "other"):
        node.submit(node.report(name, ["m"], started_ms=9))
    send_fatal(node, "last")
    context.first = node.sent[-1]
    assert context.first.request_id == "last", node.refused
    node.submit(AttemptFailed(node.now, "last", 1, False, False, "refused", down=True))


@then("it is sent to the other")
def sent_to_other(context):
    last = context.node.sent[-1]
    assert (last.request_id, last.attempt) == ("last", 2), context.node.refused
    assert last.endpoint != context.first.endpoint, last
