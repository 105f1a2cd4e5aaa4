import asyncio

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from key_stories import leaf_of
from relay_harness import RelayHarness
from relay_stage import RelayStage
from relay_stage import request as relay_request

from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListCame
from rookspring_core.events import BoxListed
from rookspring_core.events import EvidenceHeard
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.fingerprints import make_fingerprint
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import Life
from rookspring_core.suspects import Sighting
from rookspring_core.suspects import SuspectTable
from rookspring_fakes.fleet_callers import AGAIN_S
from rookspring_fakes.fleet_callers import FATAL
from rookspring_fakes.fleet_callers import EndsDay
from rookspring_fakes.fleet_callers import EndsPlayed
from rookspring_fakes.fleet_callers import FleetCallers


@given("{nodes:d} nodes, and a request that ends each endpoint that runs it")
def fatal_request(context, nodes):
    context.stage = FleetCallers(nodes)
    context.stage.runners.fatal.add(FATAL)
    context.keys = []


@when("it comes {times:d} times to {where}")
def comes_again(context, times, where):
    stage = context.stage
    names = stage.names()
    for turn in range(times):
        # Seven apart, so that data centres and relays come by turns.
        name = names[0] if where == "the same node" else names[turn * 7 % len(names)]
        context.keys.append((stage.send(name, FATAL), stage.fleet.now))
        stage.fleet.run(AGAIN_S)


@then("{number:d} endpoints have ended under it")
def ended_under(context, number):
    assert context.stage.runners.ends_under(FATAL) == number, context.stage.runners.ended


@then("each time after the third end it is refused as not run, with no time to come back")
def refused(context):
    stage = context.stage
    third = stage.third_end(FATAL)
    later = [key for key, at in context.keys if at > third]
    assert len(later) >= 3, later
    for key in later:
        refusal = stage.refusal(key)
        assert refusal is not None, key
        told = (refusal.status, refusal.outcome, refusal.retry_after_s)
        assert told == (503, "not_run", 0.0), refusal


# Who was not there.


def convict(stage, names, times=3):
    """Have processes end under the request, at some nodes by turns."""
    for turn in range(times):
        stage.send(names[turn % len(names)], FATAL)
        stage.fleet.run(2.0 + AGAIN_S)
    assert stage.runners.ends_under(FATAL) == times, stage.runners.ended


def pick(fleet, who):
    if who == "a relay":
        return next(node.name for node in fleet.live()[1:] if node.state.topology.relay)
    return leaf_of(fleet)


def cut_off(fleet, name):
    pairs = {(name, one) for one in fleet.nodes} | {(one, name) for one in fleet.nodes}
    fleet.cut |= pairs
    return pairs


@when("{who} is started while 3 endpoints end under it")
def started(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    stage.fleet.kill(name)
    convict(stage, others)
    stage.fleet.start(int(name[1:]))
    stage.fleet.run(1.0)


@when("{who} freezes while 3 endpoints end under it")
def frozen(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    stage.fleet.nodes[name].frozen = True
    convict(stage, others)
    stage.fleet.thaw(name)
    stage.fleet.run(1.0)


@when("{who} is cut off from the others while 3 endpoints end under it")
def cut(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    pairs = cut_off(stage.fleet, name)
    convict(stage, others)
    stage.fleet.cut -= pairs
    stage.fleet.run(3.0)


@when("{who} loses the node that it follows while 3 endpoints end under it")
def loses_followed(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    followed = stage.fleet.nodes[name].state.topology.followed
    others = [one for one in stage.names() if one not in (name, followed)]
    for turn in range(3):
        stage.send(others[turn * 7 % len(others)], FATAL)
        if turn == 2:
            # Just before the third end.
            stage.fleet.kill(followed)
        stage.fleet.run(2.0 + AGAIN_S)


@when("it comes to that node")
def comes_there(context):
    context.key = context.stage.send(context.name, FATAL)
    context.stage.fleet.run(1.0)


@then("it was refused there as not run, with no time to come back")
def refused_there(context):
    refusal = context.stage.refusal(context.key)
    assert refusal is not None
    told = (refusal.status, refusal.outcome, refusal.retry_after_s)
    assert told == (503, "not_run", 0.0), refusal


@when("3 endpoints have ended under it, and all nodes are killed and started again")
def all_killed(context):
    stage = context.stage
    names = stage.names()
    convict(stage, names)
    for name in names:
        stage.fleet.kill(name)
    stage.fleet.run(1.0)
    for name in names:
        stage.fleet.start(int(name[1:]))
    stage.fleet.run(8.0)


@when("2 endpoints have ended under it")
def two_ended(context):
    names = context.stage.names()
    for name in names[:2]:
        context.stage.send(name, FATAL)
        context.stage.fleet.run(0.1)
    assert context.stage.runners.ends_under(FATAL) == 2


@then("it is refused for some 2 s, with a time to come back")
def held_back(context):
    stage = context.stage
    for name in stage.names():
        key = stage.send(name, FATAL)
        stage.fleet.run(0.01)
        refusal = stage.refusal(key)
        assert refusal is not None and 1.5 < refusal.retry_after_s < 4.0, refusal
        assert refusal.outcome == "not_run"


@when("it comes to all nodes at once after that")
def comes_everywhere(context):
    stage = context.stage
    stage.fleet.run(2.5)
    for name in stage.names():
        stage.send(name, FATAL)
        stage.fleet.run(0.002)
    stage.fleet.run(1.0)


# What an end is, and who tells.


def send_fatal(node, key):
    terms = RouteTerms("r", "llm", 1, 1, 1, 0.5, 1.0)
    node.submit(
        RequestArrived(
            at=node.now,
            request_id=key,
            team="",
            target="m",
            deadline_at=node.now + 15.0,
            tokens=10,
            repeatable=False,
            stream=True,
            route=terms,
            fingerprint=FATAL,
        )
    )


class EndsHarness(RelayHarness):
    """A node, and three endpoints of which one is there at a time."""

    def __init__(self):
        super().__init__()
        self.number = 0
        # Endpoints that the list holds, with when they were started.
        self.there = {}

    def relist(self, state="live"):
        rows = [
            BoxListed(name, name, "z", "runner", state if name == self.name else "live", "llm")
            for name in self.there
        ]
        self.submit(BoxListCame(self.now, tuple(rows)))

    def lapse(self):
        """Have the entry of the last endpoint go."""
        del self.there[self.name]
        self.relist()

    def attempt(self):
        """Have the request run at an endpoint of its own."""
        self.number += 1
        for name, born in self.there.items():
            # Those before hold nothing any more, so that this one gets the request.
            self.submit(self.report(name, [], born=born))
        self.name = f"e{self.number}"
        self.born = 1000 * self.number
        self.there[self.name] = self.born
        self.relist()
        self.submit(self.report(self.name, ["m"], born=self.born))
        send_fatal(self, f"r{self.number}")
        last = self.sent[-1]
        self.key = (last.request_id, last.attempt)
        assert last.request_id == f"r{self.number}", self.refused
        self.submit(AttemptStarted(self.now, *self.key))
        self.now += 0.1

    def fail(self, reason="connection closed", broken=True, down=False, said_not_run=False):
        self.submit(
            AttemptFailed(self.now, *self.key, True, said_not_run, reason, down=down, broken=broken)
        )

    def find_refused(self):
        """Have another request find that nothing listens there."""
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


@ending("nothing listened there at once")
def _refused_at_once(node):
    node.fail(down=True)


@ending("nothing listened there for the next request")
def _refused_later(node):
    node.fail()
    node.find_refused()


@ending("its entry lapsed 3.6 s later")
def _lapsed(node):
    node.fail()
    node.now += 3.6
    node.lapse()


@ending("its next process told of its start")
def _started_anew(node):
    node.fail()
    node.now += 2.0
    node.there[node.name] = node.born + 1
    node.submit(node.report(node.name, [], born=node.born + 1))


@ending("another node said that it ended")
def _told(node):
    node.fail()
    life = Life(node.name, node.born)
    seen = Sighting(f"other-{node.number}", "", life, node.now, True)
    node.submit(EvidenceHeard(node.now, Evidence((seen,)), "n2"))


@ending("it listened yet")
def _listened(node):
    node.fail()


@ending("it listened yet, and its entry lapsed 8 s later")
def _lapsed_late(node):
    node.fail()
    node.now += 8.0
    node.lapse()


@ending("it was leaving, and nothing listened there")
def _leaving(node):
    node.relist("leaving")
    node.fail(down=True)


@ending("its entry had gone before, and nothing listened there")
def _gone(node):
    node.lapse()
    node.fail(down=True)


@ending("nothing listened there, and a run of it ended well")
def _well(node):
    node.fail(down=True)
    node.now += 3.0
    node.number += 10
    node.attempt()
    node.submit(AttemptSucceeded(node.now, *node.key))
    node.number -= 10


@given("a node whose request ran at three endpoints by turns")
def three_endpoints(context):
    context.node = EndsHarness()


@when("each time the connection broke off, and {then}")
def broke_off(context, then):
    for _ in range(3):
        context.node.attempt()
        ENDS[then](context.node)
        context.node.now += 4.0


@when("each time it ended with {end}, and nothing listened there later")
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
    node.submit(node.report("e51", ["m"], born=9))
    send_fatal(node, "last")
    reasons = [one.reason for one in node.refused if one.request_id == "last"]
    assert reasons == (["ends_endpoints"] if fate == "refused" else []), reasons
    sent = [one for one in node.sent if one.request_id == "last"]
    assert len(sent) == (fate == "sent"), node.sent


# Merging and bounds.


@then("{number:d} drawn rows of evidence give the same verdicts in any order, told once or twice")
def merges(context, number):
    row = strategies.tuples(
        strategies.sampled_from("abc"), strategies.integers(1, 5), strategies.integers(0, 300)
    )

    @drawing(max_examples=number, derandomize=True, deadline=None)
    @drawn(strategies.lists(row, max_size=12), strategies.randoms(use_true_random=False))
    def check(rows, random):
        told = [
            Evidence((Sighting(name, "", Life(f"e{end}", end), float(at + end), True),))
            if at % 7
            else Evidence(cleared=(Cleared(name, float(at)),))
            for name, end, at in rows
        ]
        # One process has one end, so a sighting of it has one time.
        told = list({_key(one): one for one in told}.values())
        first, second = SuspectTable(), SuspectTable()
        for one in told:
            first.take(one, 400.0)
        again = told * 2
        random.shuffle(again)
        for one in again:
            second.take(one, 400.0)
        found = [{name: table.ends(name) for name in "abc"} for table in (first, second)]
        assert found[0] == found[1], (told, found)

    check()


def _key(evidence):
    seen = evidence.sightings
    return (seen[0].fingerprint, seen[0].life) if seen else (evidence.cleared[0].fingerprint, None)


@given("a table of suspects")
def a_table(context):
    context.suspects = SuspectTable()
    for number in range(3):
        seen = Sighting(f"b{number}", "org-b", Life("e", number), 1.0, True)
        context.suspects.take(Evidence((seen,)), 1.0)


@when("org-a has {number:d} different requests under ends")
def many_suspects(context, number):
    for one in range(number):
        seen = Sighting(f"a{one}", "org-a", Life("e", one), 2.0, True)
        context.suspects.take(Evidence((seen,)), 2.0)


@then("the table holds no more than {most:d} of them, and those of org-b stay")
def bounded(context, most):
    assert len(context.suspects) <= most + 3, len(context.suspects)
    assert all(context.suspects.known(f"b{number}") for number in range(3))


@then("the same request of org-b has another fingerprint")
def own_fingerprint(context):
    found = {make_fingerprint(name, "h", b"/a", b"body") for name in ("org-a", "org-b", "")}
    assert len(found) == 3
    # Parts that run on into each other are told apart.
    assert make_fingerprint("", "h", b"/a", b"b") != make_fingerprint("", "h", b"/ab", b"")


# Ordinary ends.


@given("8 nodes whose endpoints end {times:d} times in {seconds:d} s, for no request's sake")
def ordinary_ends(context, times, seconds):
    context.day = EndsDay(times, seconds)


@when("{rate:d} requests a second come, and those that broke off come again once")
def come_once(context, rate):
    context.played = EndsPlayed(context.day._replace(rate=rate))


@then("no request is found to end endpoints")
def none_condemned(context):
    played = context.played
    assert len(played.callers.runners.ended) >= 30, len(played.callers.runners.ended)
    assert played.came_again >= 50, played.came_again
    assert not played.condemned(), played.condemned()


# Between sockets.

BODY = b"ends what runs it"


@given("a relay node with five endpoints that end when a body is sent to them")
def five_endpoints(context):
    stage = RelayStage([[]] * 5)
    context.relay = context.loop.run(stage.rise())
    for server in context.relay.servers:
        server.fatal_body = BODY


@when("a caller sends that body every {gap:g} s, {times:d} times, each time under another id")
def sends_body(context, gap, times):
    async def work():
        for number in range(times):
            asked = relay_request("stream", number, body=BODY)
            context.answers.append(await context.relay.ask(asked))
            context.ended.append(sum(server.ended for server in context.relay.servers))
            await asyncio.sleep(gap)

    context.answers = []
    context.ended = []
    context.loop.run(work())


@then("{number:d} of the endpoints have ended, each within one request")
def servers_ended(context, number):
    assert context.ended[-1] == number, context.ended
    assert len(context.relay.runs) == number, context.relay.runs


@then("the last answers are 503 with no time to come back")
def last_refused(context):
    last = context.ended.index(3)
    assert context.answers[last].status == 502
    for answer in context.answers[last + 1 :]:
        assert answer.status == 503 and "retry-after" not in answer.headers, answer


@then("a request with another body is answered")
def other_body(context):
    answer = context.loop.run(context.relay.ask(relay_request("unsafe", 99)))
    assert answer.status == 200, answer


@then("the log names the verdict and the endpoints, and the count of verdicts is {number:d}")
def told_operators(context, number):
    lines = [line for line in context.relay.log_lines if "found to end endpoints" in line]
    assert len(lines) == number and "i" in lines[0], lines
    text, _ = context.relay.node.context.metrics.render()
    assert "rookspring_verdicts_total{" in text.decode(), text.decode()


@when("it comes once, and may be sent to {attempts:d} endpoints")
def comes_once(context, attempts):
    stage = context.stage
    stage.send(stage.names()[0], FATAL, repeatable=True, attempts=attempts)
    stage.fleet.run(2.0)


@when("2 times the connection broke off, and nothing listened there at once")
def broke_twice(context):
    for _ in range(2):
        context.node.attempt()
        context.node.fail(down=True)
        context.node.now += 4.0


@when("it comes again where one endpoint holds its prefix and another runs nothing")
def holds_prefix(context):
    node = context.node
    for name, born in node.there.items():
        node.submit(node.report(name, [], born=born))
    for name in ("busy", "idle"):
        node.there[name] = 9
        node.name = name
    node.relist()
    for name in ("busy", "idle"):
        node.submit(node.report(name, ["m"], born=9, slots=100))
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


@then("it is sent to the one that runs nothing")
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


@then("{number:d} endpoints have ended under it, and it was sent to {sent:d} in all")
def ended_and_sent(context, number, sent):
    ended_under(context, number)
    arrived = [one for _, one in context.stage.runners.arrived if one == FATAL]
    assert len(arrived) == sent, arrived


@when("it comes again, and nothing listens at the first of two endpoints")
def first_is_down(context):
    node = context.node
    for name, born in node.there.items():
        node.submit(node.report(name, [], born=born))
    for name in ("first", "other"):
        node.there[name] = 9
        node.name = name
    node.relist()
    for name in ("first", "other"):
        node.submit(node.report(name, ["m"], born=9))
    send_fatal(node, "last")
    context.first = node.sent[-1]
    assert context.first.request_id == "last", node.refused
    node.submit(AttemptFailed(node.now, "last", 1, False, False, "refused", down=True))


@then("it is sent to the other")
def sent_to_other(context):
    last = context.node.sent[-1]
    assert (last.request_id, last.attempt) == ("last", 2), context.node.refused
    assert last.endpoint != context.first.endpoint, last
