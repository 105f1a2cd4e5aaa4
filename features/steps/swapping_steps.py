import re

from behave import given
from behave import then
from behave import when
from relay_harness import HolderHarness
from relay_harness import RelayHarness
from relay_harness import make_table

from rookspring_core import placement
from rookspring_core import swapping as swapping
from rookspring_core.effects import LoadRequestDeclined
from rookspring_core.events import RouteTableSeen
from rookspring_core.latencies import LatencyTable
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

MODELS = {"m": 70.0, "n": 60.0, "o": 60.0, "p": 60.0, "big": 150.0}
LOAD_S = {"store": 8.0, "disk": 1.5, "memory": 1.2}
RUNNER_GB = 200.0
RUNNER_RATE = 4000.0


def read_runner(text):
    """Parse a runner from NAME[RESIDENT; NOTES].

    Notes: disk MODELS, memory MODELS (local copies), busy SECONDS (until it is free; none if
    unknown), use MODELS (in use by requests), kept MODELS (protected), coming MODELS (being
    loaded), room MODEL (room was made for it), awaited RATE (demand for unattached adapters),
    freeing GB (of withdrawn models). ``read_claims`` reads claim MODEL.
    """
    name, inside = re.fullmatch(r"(\w+)\[(.*)\]", text).groups()
    held, *notes = [part.strip() for part in inside.split(";")]
    resident = [one for one in held.split(",") if one]
    copy_places = dict.fromkeys(MODELS, "store")
    busy = [note for note in notes if note.startswith("busy")]
    free_in_s = float(busy[0].partition(" ")[2] or "inf") if busy else 0.0
    for note in notes:
        place, _, models = note.partition(" ")
        if place in LOAD_S:
            copy_places.update(dict.fromkeys(models.split(","), place))
    return placement.RunnerSnapshot(
        name=name,
        data_centre="z",
        engine="llm",
        free_gb=RUNNER_GB - sum(MODELS[one] for one in resident),
        token_rate=RUNNER_RATE,
        resident=frozenset((one, "") for one in resident),
        loading=frozenset((one, "") for one in read_names(notes, "coming")),
        busy=bool(busy),
        load_s={model: LOAD_S[place] for model, place in copy_places.items()},
        free_in_s=free_in_s,
        room_for=next((note[5:] for note in notes if note.startswith("room ")), ""),
        freeing_gb=sum(float(note[8:]) for note in notes if note.startswith("freeing ")),
        in_use=read_names(notes, "use"),
        protected=read_names(notes, "kept"),
        unattached_demand=sum(float(note[8:]) for note in notes if note.startswith("awaited ")),
    )


def read_names(notes, word):
    found = [note.removeprefix(f"{word} ") for note in notes if note.startswith(f"{word} ")]
    return frozenset(name for text in found for name in text.split(","))


def read_claims(rows):
    """Return the runner that each model claims, from the runners' notes."""
    return {model: name for name, model in re.findall(r"(\w+)\[[^]]*claim (\w+)[^]]*\]", rows)}


@given("runners {rows}")
def runners(context, rows):
    context.runners = tuple(read_runner(one) for one in re.findall(r"\w+\[[^]]*\]", rows))
    context.claimed = read_claims(rows)
    context.policy = "swap"
    context.awaited = None


@given("callers are expected of {models} alone")
def callers_expected(context, models):
    context.awaited = frozenset(models.split(", "))


@when("a plan is made for demand {rows}")
def demand(context, rows):
    rates = {} if rows == "none" else dict(row.split() for row in rows.split(", "))
    # Only models that a scenario names are declared, as all others would lack a replica.
    named = set(rates) | {model for one in context.runners for model, _ in one.resident}
    models = {
        name: ModelSpec(version="", memory_gb=gb, engine="llm")
        for name, gb in MODELS.items()
        if name in named
    }
    # RATE/TIMES: demand as work, and the factor by which it is more in tokens.
    plain = {model: rate.partition("!")[0].rstrip("~") for model, rate in rates.items()}
    parts = {model: rate.partition("/") for model, rate in plain.items()}
    levels = {model: float(part[0]) for model, part in parts.items()}
    asked = {model: float(part[0]) * float(part[2] or 1) for model, part in parts.items()}
    # RATE~: demand that can wait for a load. RATE!MISSED: demand that was refused in part.
    given_ = placement.PlanInput(
        models,
        context.runners,
        levels,
        PolicySpec(),
        asked,
        urgent={model: 0.0 if "~" in rate else levels[model] for model, rate in rates.items()},
        longest_s=4.0,
        missed={model: float(rate.partition("!")[2] or 0) for model, rate in rates.items()},
        awaited=context.awaited,
        claimed=context.claimed,
        claims={},
        declined={},
    )
    context.moves = placement.find_placement(context.policy)(given_)
    context.claims = given_.claims
    context.declined = given_.declined


@then('the log says of {model} "{why}"')
def declined(context, model, why):
    assert context.declined.get(model, "nothing") == why, context.declined


@then("the moves are {expected}")
def moves_are(context, expected):
    got = [f"{one.action} {one.key[0]} {one.endpoint}" for one in context.moves]
    assert got == ([] if expected == "none" else expected.split(", ")), got


@given("a lease holder whose weight store allows {rate:g} loads a second")
def store_allows(context, rate):
    context.holder = HolderHarness(["m", "n"])
    context.rate = rate


@when("two models are requested that are {where}")
def two_requested(context, where):
    holder = context.holder
    if where == "on a runner's disk":
        for runner in holder.runners.values():
            runner["disk"] = ("x", "y")
    sizes = {"m": 70_000.0, "n": 60_000.0, "x": 50_000.0, "y": 50_000.0}
    table = make_table(2, sizes=sizes, loads_per_s=context.rate)
    holder.orders.clear()
    # Drop the budget that was accumulated at another rate.
    holder.state.control.store_limiter.start_empty(holder.now)
    holder.relist()
    holder.submit(RouteTableSeen(holder.now, table))
    for model in ("x", "y"):
        holder.demand(model, 9_000.0)
    holder.pass_time(1.0)


@then("{loads:d} are ordered within a second")
def loads_ordered(context, loads):
    assert len([one for one in context.holder.orders if one.action == "load"]) == loads


def until(holder, demand, seconds, holds):
    """Run under some demand until a condition holds, and return the time that it took."""
    for step in range(round(seconds / 0.1)):
        if holds():
            return step * 0.1
        for model, rate in demand.items():
            holder.demand(model, rate)
        holder.pass_time(0.1)
    raise AssertionError((holder.orders, holder.runners))


@when("x is requested and loaded, and then y, which only fits in its place")
def x_then_y(context):
    holder = context.holder
    sizes = {"m": 70_000.0, "n": 60_000.0, "x": 60_000.0, "y": 60_000.0}
    context.models = models = holder.runners["e1"]["models"]
    holder.runners["e1"]["disk"] = tuple(sizes)
    context.demand = {"m": 3_000.0, "n": 3_000.0, "x": 400.0}
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    holder.relist()
    until(holder, context.demand, 10.0, lambda: "x" in models)
    context.demand |= {"x": 20.0, "y": 4_000.0}


@then("x stays for {least:g} s, and y is resident within {most:g} s")
def x_stays(context, least, most):
    holder, models = context.holder, context.models
    assert until(holder, context.demand, most, lambda: "x" not in models) >= least
    until(holder, context.demand, most, lambda: "y" in models)


@when("{tokens:d} tokens of x, which fits nowhere, are requested {times:d} times in 12 s")
def unplaceable_requested(context, tokens, times):
    holder = context.holder
    sizes = {"m": 70_000.0, "n": 60_000.0, "x": 250_000.0}
    holder.submit(RouteTableSeen(holder.now, make_table(2, sizes=sizes)))
    for _ in range(times):
        holder.state.control.meter.add("x", tokens)
        holder.demand("m", 900.0)
        holder.pass_time(12.0 / times)


@then("its deficit is between {least:d} and {most:d} tokens")
def has_deficit(context, least, most):
    deficits = context.holder.state.residency.deficits
    assert least <= deficits["x"] <= most, deficits


@then('the log has "{text}"')
def log_has(context, text):
    declined = [one.why for one in context.holder.told if isinstance(one, LoadRequestDeclined)]
    assert any(text in why for why in declined), declined


@then("m has no deficit")
def no_deficit(context):
    assert "m" not in context.holder.state.residency.deficits


@given("prompts of {tokens} tokens with a first event after {took} ms")
def prompts_read(context, tokens, took):
    pairs = zip(tokens.split(", "), took.split(", "), strict=True)
    context.prompts = [(int(number), float(ms) / 1000.0) for number, ms in pairs]


@when(
    "they are recorded for m, after one of 10 tokens and 40 ms and three of 2000 and 140 ms for n"
)
def prompts_recorded(context):
    context.paces = LatencyTable()
    context.paces.note_first_event("n", 10, 0.04)
    for _ in range(3):
        context.paces.note_first_event("n", 2000, 0.14)
    for number, took_s in context.prompts:
        context.paces.note_first_event("m", number, took_s)


@given("a relaying node whose one runner has a prompt of {unread:d} tokens to read")
def has_unread(context, unread):
    context.relay_node = node = RelayHarness()
    node.list_endpoints(["e1"], "llm", "runner")
    node.submit(node.report("e1", ("m",)))
    if unread:
        node.ask(model="m", key="r0", prompt_tokens=unread)


@when("a prompt of {tokens:d} tokens arrives")
def prompt_arrives(context, tokens):
    context.relay_node.ask(model="m", key="r1", prompt_tokens=tokens)


@when("callers with {times} s to their deadlines request x, which is absent")
def absent_requested(context, times):
    for number, deadline_s in enumerate(times.split(", ")):
        context.relay_node.ask(model="x", key=f"r{number}", deadline_s=float(deadline_s))


@then("the last of them is expected back for {least:g} to {most:g} s")
def expected_back(context, least, most):
    assert least <= context.relay_node.wants[-1].latest_retry_s <= most, context.relay_node.wants


@then("it is {sent}")
def sent_or_not(context, sent):
    keys = [one.request_id for one in context.relay_node.sent]
    assert ("r1" in keys) == (sent == "sent"), keys


@then("a token of m is {part:g} of the work of one of n")
def relative_work(context, part):
    got = context.paces.relative_cost("m")
    assert abs(got - part) < 0.01, got
    assert context.paces.relative_cost("n") == 1.0


@when("m reads ten times as fast as n, and 3000 tokens of each are requested")
def both_requested(context):
    holder = context.holder
    holder.state.latencies.note_first_event("m", 10, 0.04)
    for _ in range(3):
        holder.state.latencies.note_first_event("m", 1000, 0.045)
        holder.state.latencies.note_first_event("n", 1000, 0.09)
    for model in ("m", "n"):
        holder.ask(model=model, key=f"r-{model}", tokens=3000, prompt_tokens=3000)
    holder.pass_time(0.1)


@then("the demand for m is a tenth of that for n, and so is the length of its unread prompt")
def tenth(context):
    state = context.holder.state
    rates = state.control.meter.rates
    assert abs(rates["m"] / rates["n"] - 0.1) < 0.01, rates
    unread = {}
    for view in state.endpoints.values():
        unread.update(view.prompts)
    assert abs(unread["r-m"] - 300) < 10 and unread["r-n"] == 3000, unread
