from adapter_stage import ADAPTERS
from adapter_stage import Stage
from adapter_stage import request_at_random
from adapter_stage import request_steadily
from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import LoadRequestDeclined
from rookspring_core.effects import LoadRequestEnded
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import Ticked

# How long requests wait by the harness's route, in seconds; how often each wait is repeated.
PATIENCE_S = 0.1
WAIT_REPEATS = 12
HELD = ("m+q", "n+p", "r+s")
LOST_SHARE = 0.35
TIMES = {1: "once", 2: "twice"}


def want(holder, adapter):
    holder.submit(LoadRequested(holder.now, "llm", "m", f"m/{adapter}"))


def use(holder, adapters):
    used = tuple(("e1", f"m/{one}") for one in adapters)
    peer = HeartbeatReceived(holder.now, "p0", "i", "a", "c", "z", 1, False, used=used)
    holder.submit(peer)


@when("adapters of m are wanted and {then}")
def adapters_wanted(context, then):
    holder = context.holder
    match then:
        case "are attached at once":
            want(holder, "a1")
            holder.pass_time(0.2)
        case "are not requested again" | "are requested twice":
            want(holder, "a1")
            if then == "are requested twice":
                holder.pass_time(0.5)
                want(holder, "a1")
            holder.pass_time(3.0)
        case "its runner does not answer":
            holder.answer = "none"
            want(holder, "a2")
            want(holder, "a1")
            holder.pass_time(3.0)
        case _:
            replace_adapter(holder, used=then == "replace a used one")


def replace_adapter(holder, used):
    """Attach a9 in the slot of a2, then a8 in that of a9."""
    for adapter in ("a9", "a8"):
        use(holder, ["a3", "a9"] if used else ["a3"])
        want_until_attached(holder, adapter, ["a3"])
        if adapter == "a9" and used:
            use(holder, ["a3", "a9"])
            holder.pass_time(0.2)


def want_until_attached(holder, adapter, in_use):
    for _ in range(40):
        if holder.state.endpoints["e1"].has_adapter(f"m/{adapter}"):
            return
        want(holder, adapter)
        holder.pass_time(0.1)
        use(holder, in_use)
    raise AssertionError(f"{adapter} is not attached")


@then("the log shows: {logged}")
def log_shows(context, logged):
    got = [describe(one) for one in context.holder.told]
    for text in logged.split("; "):
        assert text in got, got


def describe(one):
    match one:
        case LoadRequestDeclined():
            return f"{one.adapter} declined: {one.why}"
        case LoadRequestEnded():
            return f"{one.adapter} {one.outcome}, asked for {TIMES.get(one.times, one.times)}"
        case AdapterLeft():
            return f"{one.adapter} left {'used' if one.used else 'unused'}"
    raise AssertionError(one)


@given("waits for adapters of m of {waits} s")
def waits_seen(context, waits):
    context.node = node = RelayHarness()
    waits_s = [] if waits == "none" else [float(one) for one in waits.split(", ")]
    for number in range(WAIT_REPEATS * len(waits_s)):
        node.state.adapter_waits.begin(f"m/b{number}", 0.0)
        node.state.adapter_waits.end([f"m/b{number}"], waits_s[number % len(waits_s)])


@given("an endpoint with m that {does}")
def endpoint_with_m(context, does):
    node = context.node
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",)))
    if does != "is free":
        seconds = float(does.split()[-2])
        node.submit(LoadingReceived(node.now, "e1", "n", seconds))


@when("an adapter of m is requested that is attached nowhere")
def unattached_requested(context):
    node = context.node
    node.ask(model="m", adapter="m/a1")
    node.now += PATIENCE_S + 0.01
    node.submit(Ticked(node.now))


@then("its caller is told to retry after {least:g} to {most:g} s")
def told_to_retry(context, least, most):
    after_s = context.node.refused[-1].retry_after_s
    assert least - 0.06 <= after_s <= most + 0.06, after_s


@then("the lease holder is told by when the caller will have retried")
def holder_told(context):
    wanted = context.node.wants[-1]
    after_s = PATIENCE_S + context.node.refused[-1].retry_after_s
    assert abs(wanted.latest_retry_s - after_s) < 0.15, (wanted.latest_retry_s, after_s)


@given("an endpoint holding {held}, and a request for {requested}")
def endpoint_holding(context, held, requested):
    context.node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", (held,)))
    model, slash, _ = requested.partition("/")
    node.ask(model=model, adapter=requested if slash else "", tokens=1000)


@when("it is refused")
def is_refused(context):
    node = context.node
    node.now += PATIENCE_S + 0.01
    node.submit(Ticked(node.now))
    assert node.refused


@then("it counts as missed demand of m: {missed}")
def counts_missed(context, missed):
    node = context.node
    node.now += 0.1
    node.submit(Ticked(node.now))
    got = node.state.control.refused_demand.meter.rates.get("m", 0.0) > 0.0
    assert got == (missed == "yes"), node.state.control.refused_demand.meter.rates


@when("a9 is attached and evicted before any request has used it")
def evicted_unused(context):
    replace_adapter(context.holder, used=False)
    context.given = len(context.holder.orders)


@when("a7 is wanted, and then a9 again")
def wanted_again(context):
    holder = context.holder
    for _ in range(60):
        want(holder, "a7")
        holder.pass_time(0.1)
        want(holder, "a9")
        use(holder, ["a3"])


@then("a9 is attached before a7")
def attached_first(context):
    orders = context.holder.orders[context.given :]
    loads = [one.model_version for one in orders if one.action == "load"]
    assert loads and loads[0] == "m/a9", loads


@given("an endpoint of 16 slots with m and its adapter a1, where {attached} is attached")
def adapters_attached(context, attached):
    context.node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",), ("m/a1",), slots=16))
    node.now += 1.0
    first, _, last = attached.removeprefix("a").partition(" to a")
    numbers = range(int(first), int(last or first) + 1) if attached != "nothing" else (9,)
    adapters = ["m/a1", *(f"m/a{number}" for number in numbers)]
    if attached == "nothing":
        # Then a9 is attached from the first report on.
        context.node = node = RelayHarness()
        node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",), adapters, slots=16))


@when("{others:d} requests for a1 arrive, and {later:g} s later one for a9")
def others_first(context, others, later):
    node = context.node
    node.now += later
    for number in range(others):
        node.ask(model="m", adapter="m/a1", key=f"o{number}")
    node.ask(model="m", adapter="m/a9", key="first")


@when("prompts of {tokens} tokens for a1 arrive, and then one of 900 for a9")
def prompts_first(context, tokens):
    node = context.node
    for number, size in enumerate(tokens.split(", ")):
        node.ask(model="m", adapter="m/a1", key=f"o{number}", prompt_tokens=int(size))
    node.ask(model="m", adapter="m/a9", key="first", prompt_tokens=900)


@then("{sent:d} of those for a1 are sent, and the one for a9 is {then}")
def sent_in_turn(context, sent, then):
    keys = [one.request_id for one in context.node.sent]
    assert sum(key != "first" for key in keys) == sent, keys
    assert ("first" in keys) == (then == "sent"), keys


@given("runners holding m+q, n+p and r+s, where m has 20 adapters and a runner 8 adapter slots")
def runners_hold(context):
    context.held = HELD


@given("there are no faults")
@given("e2 {failure}, whose models {requested}")
@given("a third of orders gets no answer and is taken late")
def fault(context, failure="", requested=""):
    context.failure = failure
    context.requested = requested


@when("its adapters are requested {rate:g} times a second for 30 s, with seeds 1 to 6")
def adapters_requested(context, rate):
    lossy = "third of orders" in " ".join(step.name for step in context.scenario.steps)
    context.stages = []
    for seed in range(1, 7):
        stage = Stage(context.held, seed, LOST_SHARE if lossy else 0.0)
        if context.failure:
            silent = context.failure == "falls silent"
            stage.after(2.0, lambda stage=stage, silent=silent: stage.lose("e2", silent))
        others = ("n", "p") if context.requested == "are requested at times" else ()
        request_at_random(stage, 30.0, rate, others)
        context.stages.append(stage)


@then("each that was requested four times over 8 s was served at least once")
def none_starved(context):
    starved = [stage.starved() for stage in context.stages]
    assert not any(starved), starved


@then("at most {adapter:d} tries in a row failed for one adapter, and {model:d} for one model")
def few_failures(context, adapter, model):
    adapters = [stage.longest_failure_run(adapters=True) for stage in context.stages]
    models = [stage.longest_failure_run(adapters=False) for stage in context.stages]
    assert max(adapters)[0] <= adapter, adapters
    assert max(models)[0] <= model, models


@then("at most {share:d} in 100 of the unloaded adapters had not been used")
def few_unused(context, share):
    shares = [stage.unused_share() for stage in context.stages]
    assert sum(shares) / len(shares) <= share / 100.0, shares


@given("runners holding m+q and n+p, where six of m's eight adapter slots are in use for 12 s")
def slots_in_use(context):
    context.stages = [Stage(("m+q+r", "n+p+s"), seed) for seed in range(1, 7)]
    for stage in context.stages:
        stage.run_s = {f"m/a{number}": 12.0 for number in range(1, 7)}
        for number in range(1, 9):
            stage.ask(f"m/a{number}")
            stage.run(0.1)
        stage.run(1.0)


@when("twelve other adapters of m are requested three times within 7 s, with seeds 1 to 6")
def others_requested(context):
    for stage in context.stages:
        for number in (*range(9, 21),) * 3:
            stage.ask(f"m/a{number}")
            stage.run(0.2)
        stage.run(4.0)


@then("at least {least:d} in 100 of them are served")
def callers_served(context, least):
    names = [f"m/a{number}" for number in range(9, 21)]
    served = [
        any(one.served for one in stage.tries.get(name, []))
        for stage in context.stages
        for name in names
    ]
    assert sum(served) >= least / 100 * len(served), (sum(served), len(served))


@given("a runner holding m+q, where m has 8 adapter slots and requests run for {run_s:g} s")
def one_runner_holds(context, run_s):
    context.stages = [Stage(("m+q",), seed) for seed in range(1, 5)]
    for stage in context.stages:
        stage.run_s = {f"m/a{number}": run_s for number in range(1, ADAPTERS + 1)}


@when(
    "8 adapters of m are requested {rate:g} times a second each, and {others:d} others once a "
    "second, for 30 s with seeds 1 to 4"
)
def eight_and_others(context, rate, others):
    rates = {f"m/a{number}": rate if number <= 8 else 1.0 for number in range(1, 9 + others)}
    for stage in context.stages:
        request_steadily(stage, 30.0, rates)


@then("no adapter goes unserved for longer than {most_s:g} s")
def none_unserved_for_long(context, most_s):
    waits = [stage.longest_wait() for stage in context.stages]
    assert max(waits)[0] <= most_s, waits


@then("at least {least:d} in 100 tries are served")
def share_served(context, least):
    shares = [stage.served_share() for stage in context.stages]
    assert sum(shares) / len(shares) >= least / 100, shares


@then("no order was to do what its runner had done already")
def none_needless(context):
    needless = [one.needless for stage in context.stages for one in stage.runners.values()]
    assert sum(needless) == 0, needless
