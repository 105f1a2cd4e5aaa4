from behave import given
from behave import then
from behave import when
from close_end_steps import CALM
from relay_harness import RelayHarness

from rookspring_core import close_ends
from rookspring_core.break_moments import BreakMoments
from rookspring_core.close_ends import MomentSigns
from rookspring_core.effects import ShareBreak
from rookspring_core.events import EndpointBroke

ENDED_AT = 10.0
ENDPOINT = "e1"
SHOWS = {"shows": True, "doesn't show": False}


@given("another node's message, at {told:g}, that an endpoint broke an answer off {age:g} s before")
def told_break(context, told, age):
    context.moments = BreakMoments()
    context.moments.note(ENDPOINT, told - age, True, told)


@given("this node saw an endpoint break an answer off at 10 s")
def saw_break(context):
    context.moments = BreakMoments()
    context.moments.note(ENDPOINT, ENDED_AT, False, ENDED_AT)


@given("another node's message, at 10 s, that another endpoint broke an answer off")
def other_broke(context):
    context.moments = BreakMoments()
    context.moments.note("e2", ENDED_AT, True, ENDED_AT)


@then("it {shows} that the answer broke off elsewhere")
def shows_break(context, shows):
    assert context.moments.broke_elsewhere(ENDPOINT, ENDED_AT) == SHOWS[shows]


@when("what is seen of the moment of a close is: {seen}")
def moment_seen(context, seen):
    names = set() if seen == "nothing" else set(seen.split(", "))
    context.moment = CALM._replace(**dict.fromkeys(names & set(MomentSigns._fields), True))


@then("the other nodes {told} told of it")
def others_told(context, told):
    assert close_ends.is_stop(context.moment) == (told == "are")


@given("an endpoint breaks answers off, as seen here or told by another node at: {moments}")
def breaks_off(context, moments):
    table = BreakMoments()
    context.told = []
    for moment in moments.split(", "):
        at = float(moment.rpartition(" ")[2])
        if table.note(ENDPOINT, at, moment.startswith("other"), at):
            context.told.append(moment)


@then("the others are told of: {told}")
def told_of(context, told):
    assert context.told == told.split(", "), context.told


@given("an endpoint breaks 1000 answers off within 0.9 s, as other nodes tell")
def breaks_many(context):
    context.moments = BreakMoments()
    for number in range(1000):
        at = ENDED_AT + number * 0.0009
        context.moments.note(ENDPOINT, at, True, at)


@then(
    "at most {number:d} moments of it are kept, and none once another breaks off {later:d} s later"
)
def few_kept(context, number, later):
    kept = context.moments._moments
    assert len(kept[ENDPOINT]) <= number
    at = ENDED_AT + 1.0 + later
    context.moments.note("e2", at, True, at)
    assert list(kept) == ["e2"]


@given("a relaying node with the endpoint e1")
def relaying_node(context):
    context.relay_node = RelayHarness()
    context.relay_node.list_endpoints([ENDPOINT], "svc", "service")


@when("{what} breaks off there at {endpoint:w}")
def breaks_off_at(context, what, endpoint):
    node = context.relay_node
    source = "n2" if what.startswith("as n2") else ""
    effects = node.submit(EndpointBroke(node.now, endpoint, node.now - 0.01, source))
    context.told = [one for one in effects if isinstance(one, ShareBreak)]


@then("the others are told: {told}")
def told_in_effect(context, told):
    endpoint, _, source = told.partition(" but ")
    at = context.relay_node.now - 0.01
    expected = [] if told == "nothing" else [ShareBreak(endpoint, at, source)]
    assert context.told == expected, context.told
