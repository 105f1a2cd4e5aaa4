import place_simulations
from behave import given
from behave import then
from behave import when
from place_simulations import S_PER_TOKEN
from place_simulations import Endpoint
from place_simulations import Load

WAYS = {
    "the owner": place_simulations.play_owner,
    "their own views": place_simulations.play_own_views,
}
SECONDS = 400.0


def play(loads, way="the owner", believed_s=S_PER_TOKEN):
    endpoint = Endpoint(SECONDS, seed=3)
    endpoint.believed_s = believed_s
    WAYS[way](endpoint, loads)
    return endpoint


def organisations(times):
    others = [Load(f"o{number}", 1, 1.0, 0.9) for number in range(15)]
    return [*others, Load("busy", 1, 1.0, 0.9 * times)]


@given("a model endpoint that 16 organisations load to 0.86 alone")
def sixteen(context):
    context.alone = play(organisations(1.0))


@when("one of them sends {times:g} times its usual load, placed by {way}")
def one_surges(context, times, way):
    context.loads = organisations(times)
    context.endpoint = play(context.loads, way)


def kept(context):
    """Return the least share of an organisation but the busy one, and of all of them."""
    usual, endpoint = organisations(1.0)[:-1], context.endpoint
    found = [endpoint.share(one) / context.alone.share(one) for one in usual]
    return min(found), sum(found) / len(found)


@then(
    "each other gets at least {least:g} of what it gets alone by the owner, "
    "and together {together:g}"
)
def each_keeps(context, least, together):
    found = kept(context)
    assert found[0] >= least and found[1] >= together, found


@then("the others together get less than {most:g} of what they get alone by the owner")
def others_lose(context, most):
    assert kept(context)[1] < most, kept(context)


@then("the endpoint reads for at least {share:g} of the time")
def reads(context, share):
    found = context.endpoint.busy_s / SECONDS
    assert found >= share, found


@given("a model endpoint with {per_s:g} urgent requests a second")
def urgent_load(context, per_s):
    context.loads = [Load("u", 0, 0.5, per_s)]


@when("three times as many patient ones come {when}, placed by {way}")
def patient_load(context, when, way):
    share_on = 0.5 if when == "in half of the time" else 1.0
    context.loads.append(Load("p", 2, 4.0, 3.0 * context.loads[0].per_s, share_on))
    context.endpoint = play(context.loads, way)


@when("it runs for 400 s, placed by the owner")
def runs(context):
    context.endpoint = play(context.loads)


@when("nodes take it for {times:g} times as slow as it is, and it runs for 400 s")
def believed(context, times):
    context.endpoint = play(context.loads, believed_s=times * S_PER_TOKEN)


@then("at least {share:g} of the requests are in time")
def share_in_time(context, share):
    found = context.endpoint.share(context.loads[0])
    assert found >= share, found


@then("at least {urgent:g} of the urgent ones and {patient:g} of the patient ones are in time")
def both_in_time(context, urgent, patient):
    found = [context.endpoint.share(one) for one in context.loads]
    assert found[0] >= urgent and found[1] >= patient, found


@then("less than {share:g} of the urgent ones are in time")
def urgent_late(context, share):
    assert context.endpoint.share(context.loads[0]) < share


@then("no request is answered later than its objective by more than {late:g} s")
def not_late(context, late):
    worst = [max(waits) - load.objective_s for load, waits in context.endpoint.waits.items()]
    assert max(worst) <= late, worst


@then("refused requests have waited for less than their objective")
def refused_in_time(context):
    assert max(context.endpoint.refused_after) < 1.0, max(context.endpoint.refused_after)


@then("at most {share:g} of the requests ask an owner, and all are in time")
def hardly_asked(context, share):
    endpoint, (load,) = context.endpoint, context.loads
    assert endpoint.asked <= share * endpoint.came[load], (endpoint.asked, endpoint.came)
    assert endpoint.share(load) == 1.0, endpoint.share(load)
