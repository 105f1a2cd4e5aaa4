import asyncio

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings as drawing
from hypothesis import strategies
from key_stories import leaf_of
from relay_fixture import RelayFixture
from relay_fixture import request as relay_request

from rookspring_core.fingerprints import make_fingerprint
from rookspring_core.sound_runs import RunLength
from rookspring_core.sound_runs import SoundRun
from rookspring_core.suspects import Cleared
from rookspring_core.suspects import CrashRecord
from rookspring_core.suspects import EndpointProcess
from rookspring_core.suspects import Evidence
from rookspring_core.suspects import SuspectTable
from rookspring_fakes.fleet_callers import FATAL
from rookspring_fakes.fleet_callers import RETRY_DELAY_S
from rookspring_fakes.fleet_callers import CrashRun
from rookspring_fakes.fleet_callers import CrashScenario
from rookspring_fakes.fleet_callers import FleetCallers


@given("{nodes:d} nodes, and a request that crashes each endpoint that runs it")
def fatal_request(context, nodes):
    context.stage = FleetCallers(nodes)
    context.stage.runners.fatal.add(FATAL)
    context.keys = []


@when("it comes {times:d} times to {where}")
def comes_again(context, times, where):
    stage = context.stage
    names = stage.names()
    for turn in range(times):
        # In steps of seven, so that nodes of all data centres, relays among them, get it in turn.
        name = names[0] if where == "the same node" else names[turn * 7 % len(names)]
        context.keys.append((stage.send(name, FATAL), stage.fleet.now))
        stage.fleet.run(RETRY_DELAY_S)


@then("it has crashed {number:d} endpoints")
def ended_under(context, number):
    assert context.stage.runners.crashes_during(FATAL) == number, context.stage.runners.crashes


@then("each attempt after the third crash is refused as not run, with no retry time")
def refused(context):
    stage = context.stage
    third = stage.third_crash_at(FATAL)
    later = [key for key, at in context.keys if at > third]
    assert len(later) >= 3, later
    for key in later:
        refusal = stage.refusal(key)
        assert refusal is not None, key
        told = (refusal.status, refusal.outcome, refusal.retry_after_s)
        assert told == (503, "not_run", 0.0), refusal


# Nodes that missed the crashes.


def crash_endpoints(stage, names, times=3):
    """Have the request crash processes, sent by each of some nodes in turn."""
    for turn in range(times):
        stage.send(names[turn % len(names)], FATAL)
        stage.fleet.run(2.0 + RETRY_DELAY_S)
    assert stage.runners.crashes_during(FATAL) == times, stage.runners.crashes


def pick(fleet, who):
    if who == "a relay":
        return next(node.name for node in fleet.live()[1:] if node.state.topology.relay)
    return leaf_of(fleet)


def cut_off(fleet, name):
    pairs = {(name, one) for one in fleet.nodes} | {(one, name) for one in fleet.nodes}
    fleet.cut |= pairs
    return pairs


@when("{who} is started while the request crashes 3 endpoints")
def started(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    stage.fleet.kill(name)
    crash_endpoints(stage, others)
    stage.fleet.start(int(name[1:]))
    stage.fleet.run(1.0)


@when("{who} freezes while the request crashes 3 endpoints")
def frozen(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    stage.fleet.nodes[name].frozen = True
    crash_endpoints(stage, others)
    stage.fleet.thaw(name)
    stage.fleet.run(1.0)


@when("{who} is cut off from the others while the request crashes 3 endpoints")
def cut(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    others = [one for one in stage.names() if one != name]
    pairs = cut_off(stage.fleet, name)
    crash_endpoints(stage, others)
    stage.fleet.cut -= pairs
    stage.fleet.run(3.0)


@when("{who} loses the node that it follows while the request crashes 3 endpoints")
def loses_followed(context, who):
    stage = context.stage
    name = context.name = pick(stage.fleet, who)
    followed = stage.fleet.nodes[name].state.topology.followed
    others = [one for one in stage.names() if one not in (name, followed)]
    for turn in range(3):
        stage.send(others[turn * 7 % len(others)], FATAL)
        if turn == 2:
            # Just before the third crash.
            stage.fleet.kill(followed)
        stage.fleet.run(2.0 + RETRY_DELAY_S)


@when("it comes to that node")
def comes_there(context):
    context.key = context.stage.send(context.name, FATAL)
    context.stage.fleet.run(1.0)


@then("it was refused there as not run, with no retry time")
def refused_there(context):
    refusal = context.stage.refusal(context.key)
    assert refusal is not None
    told = (refusal.status, refusal.outcome, refusal.retry_after_s)
    assert told == (503, "not_run", 0.0), refusal


@when("it has crashed 3 endpoints, and all nodes are killed and restarted")
def all_killed(context):
    stage = context.stage
    names = stage.names()
    crash_endpoints(stage, names)
    for name in names:
        stage.fleet.kill(name)
    stage.fleet.run(1.0)
    for name in names:
        stage.fleet.start(int(name[1:]))
    stage.fleet.run(8.0)


@when("it has crashed 2 endpoints")
def two_ended(context):
    names = context.stage.names()
    for name in names[:2]:
        context.stage.send(name, FATAL)
        context.stage.fleet.run(0.1)
    assert context.stage.runners.crashes_during(FATAL) == 2


@then("it is refused for some 2 s, with a retry time")
def refused_for_a_while(context):
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


# Merging and bounds.


@then(
    "{number:d} random sets of evidence give the same verdicts in any order, merged once or twice"
)
def merges(context, number):
    row = strategies.tuples(
        strategies.sampled_from("abc"), strategies.integers(1, 5), strategies.integers(0, 300)
    )

    @drawing(max_examples=number, derandomize=True, deadline=None)
    @drawn(strategies.lists(row, max_size=12), strategies.randoms(use_true_random=False))
    def check(rows, random):
        told = [_make_evidence(*row) for row in rows]
        # A process ends once, so its crash records have one time.
        told = list({_key(one): one for one in told}.values())
        first, second = SuspectTable(), SuspectTable()
        for one in told:
            first.merge(one, 400.0)
        again = told * 2
        random.shuffle(again)
        for one in again:
            second.merge(one, 400.0)
        found = [{name: table.crash_score(name) for name in "abc"} for table in (first, second)]
        assert found[0] == found[1], (told, found)

    check()


def _make_evidence(name, end, at):
    """Return a crash record, or of some times a clearing or a sound run."""
    length = RunLength(end, float(end % 3))
    if at % 7 == 0:
        return Evidence(cleared=(Cleared(name, float(at)),))
    if at % 3 == 0:
        return Evidence(sound_runs=(SoundRun(name, float(at), length),))
    process = EndpointProcess(f"e{end}", end)
    return Evidence((CrashRecord(name, "", process, float(at + end), True, "", length),))


def _key(evidence):
    seen = evidence.crash_records
    if seen:
        return (seen[0].fingerprint, seen[0].process)
    if evidence.sound_runs:
        return evidence.sound_runs[0]
    return (evidence.cleared[0].fingerprint, None)


@given("a table of suspects")
def a_table(context):
    context.suspects = SuspectTable()
    for number in range(3):
        seen = CrashRecord(f"b{number}", "org-b", EndpointProcess("e", number), 1.0, True)
        context.suspects.merge(Evidence((seen,)), 1.0)


@when("org-a has {number:d} different requests in flight at crashes")
def many_suspects(context, number):
    for one in range(number):
        seen = CrashRecord(f"a{one}", "org-a", EndpointProcess("e", one), 2.0, True)
        context.suspects.merge(Evidence((seen,)), 2.0)


@then("the table holds no more than {most:d} of them, and those of org-b stay")
def bounded(context, most):
    assert len(context.suspects) <= most + 3, len(context.suspects)
    assert all(context.suspects.known(f"b{number}") for number in range(3))


@then("the same request of org-b has another fingerprint")
def own_fingerprint(context):
    found = {make_fingerprint(name, "h", b"/a", b"body") for name in ("org-a", "org-b", "")}
    assert len(found) == 3
    # The bounds between the parts count.
    assert make_fingerprint("", "h", b"/a", b"b") != make_fingerprint("", "h", b"/ab", b"")


# Crashes that no request causes.


@given(
    "8 nodes whose endpoints crash {times:d} times in {seconds:d} s, independently of the requests"
)
def ordinary_ends(context, times, seconds):
    context.day = CrashScenario(times, seconds)


@when("{rate:d} requests a second come, and those that broke off are retried once")
def come_once(context, rate):
    context.played = CrashRun(context.day._replace(rate=rate))


@then("no request is found to crash endpoints")
def none_with_verdict(context):
    played = context.played
    assert len(played.callers.runners.crashes) >= 30, len(played.callers.runners.crashes)
    assert played.retried >= 50, played.retried
    assert not played.innocent_verdicts(), played.innocent_verdicts()


# Over sockets.

BODY = b"ends what runs it"


@given("a relay node with five endpoints that end when a body is sent to them")
def five_endpoints(context):
    stage = RelayFixture([[]] * 5)
    context.relay = context.loop.run(stage.start())
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


@then("it has crashed {number:d} endpoints, and was sent to {sent:d} in all")
def ended_and_sent(context, number, sent):
    ended_under(context, number)
    arrived = [one for one in context.stage.runners.arrivals if one.fingerprint == FATAL]
    assert len(arrived) == sent, arrived
