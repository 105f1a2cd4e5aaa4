from behave import given
from behave import then
from behave import when

from rookspring_core.accounts import unanswered_mb
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import DownReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LoadRequested
from rookspring_core.events import Ticked

BORN = 1_700_000_000_000
SECOND = 1_000
MODEL_GB = 200_000.0


@given("its runners report their start times")
def tell_starts(context):
    holder = context.holder
    for runner in holder.runners.values():
        runner["born"] = BORN
    holder.relist()
    holder.pass_time(2.0)
    holder.orders.clear()


def start_again(holder, later=5 * SECOND):
    """Restart e1: it holds no model, keeps its disk and counts its orders from 0."""
    runner = holder.runners["e1"]
    runner.update(models=[], adapters=[], taken=0, disk=("m",), born=runner["born"] + later)
    holder.dead.discard("e1")


def want(holder, adapter):
    holder.submit(LoadRequested(holder.now, "llm", "m", f"m/{adapter}"))


def listed(holder, state):
    rows = [
        BoxListed(name, name, "z", "runner", state if name == "e1" else "live", "llm")
        for name in holder.runners
    ]
    holder.submit(BoxListReceived(holder.now, tuple(rows)))


STATES = {}


def state(name):
    def register(function):
        STATES[name] = function
        return function

    return register


@state("nothing else happens")
def _nothing(holder):
    pass


@state("a load is under way there")
def _load(holder):
    holder.answer = "none"
    holder.submit(Ticked(holder.now))
    room = holder.state.residency.accounts["e1"]
    for _ in range(40):
        holder.demand("n", 60_000.0)
        holder.pass_time(0.1)
        if room.order is not None:
            break
    assert room.order is not None and room.order.model == "n", room.order
    holder.answer = "taken"


@state("an adapter is being attached there")
def _attach(holder):
    holder.answer = "none"
    want(holder, "a1")
    assert holder.orders[-1].model_version == "m/a1"
    holder.answer = "taken"


@state("an adapter has just been withdrawn there")
def _withdraw(holder):
    want(holder, "a1")
    want(holder, "a3")
    holder.pass_time(0.2)
    assert holder.state.residency.accounts["e1"].withdrawn


@state("it is leaving")
def _leave(holder):
    listed(holder, "leaving")
    assert holder.state.endpoints["e1"].leaving
    listed(holder, "live")


@state("it was found down")
def _down(holder):
    holder.submit(DownReceived(holder.now, "e1"))
    assert holder.state.endpoints["e1"].down


@state("it was ejected")
def _eject(holder):
    view = holder.state.endpoints["e1"]
    for _ in range(5):
        view.fail(holder.now)
    assert not view.accepts_work(holder.now)


@state("it restarted a moment before")
def _twice(holder):
    start_again(holder)
    holder.submit(holder.entry("e1"))


@state("the lease changes hands")
def _lease(holder):
    holder.submit(LeaseSeen(holder.now, 50, "another", 9, "x"))


@when("{state}, and e1 restarts")
def starts_again(context, state):
    holder = context.holder
    context.before = holder.entry("e1")
    context.own_before = context.before._replace(
        polled=True, order_token=(0, holder.runners["e1"]["taken"]), adapters=("m/a2",)
    )
    STATES[state](holder)
    holder.orders.clear()
    holder.sent.clear()
    start_again(holder)
    holder.submit(holder.entry("e1"))


def late_row(holder, before):
    holder.submit(before._replace(at=holder.now))


LATE = {
    "a row of the list": late_row,
    "a report that another node shares": lambda holder, before: holder.submit(
        before._replace(at=holder.now, order_token=(0, 99))
    ),
    "a list with the endpoint as leaving": lambda holder, before: holder.submit(
        before._replace(at=holder.now, leaving=True)
    ),
}


@when("{message} of the earlier process arrives late")
def late_message(context, message):
    holder = context.holder
    holder.now += 0.01
    if message == "its own report":
        holder.submit(context.own_before._replace(at=holder.now))
        return
    LATE[message](holder, context.before)


@then("no request for m or m/a2 is sent there until it holds them again")
def none_sent(context):
    holder = context.holder
    view = holder.state.endpoints["e1"]
    assert not view.leaving and not view.down and view.accepts_work(holder.now)
    assert "m" not in view.resident, view.resident
    holder.ask(model="m", key="early")
    holder.ask(model="m", adapter="m/a2", key="early-a2")
    assert not [one for one in holder.sent if one.request_id.startswith("early")], holder.sent


@then("m is loaded again within {seconds:g} s, with the new process's own order count")
def loaded_again(context, seconds):
    holder = context.holder
    if not holder.state.control.holding(holder.now):
        holder.submit(LeaseSeen(holder.now, 51, "", 9, "x"))
    for _ in range(int(seconds / 0.1)):
        holder.demand("m", 3_000.0)
        holder.pass_time(0.1)
    # The harness checks that each order carries the order count of the process that gets it.
    there = [name for name, runner in holder.runners.items() if "m" in runner["models"]]
    assert there, (holder.orders, holder.runners)


@then("no runner is assigned more memory than it has")
def within_memory(context):
    for name in context.holder.runners:
        assert context.holder.used_mb(name) <= MODEL_GB


@when("e1 restarts with an earlier start time, and {who} it")
def starts_earlier(context, who):
    holder = context.holder
    start_again(holder, later=-60 * SECOND)
    context.born = holder.runners["e1"]["born"]
    row = holder.entry("e1")
    if who == "another node has verified":
        # This node itself can't read the endpoint.
        holder.dead.add("e1")
        holder.submit(row)
        assert holder.state.endpoints["e1"].report.started_ms == BORN
        holder.submit(row._replace(at=holder.now + 0.01, start_confirmed=True))
        return
    holder.submit(row)


@then("the new process is known within {seconds:g} s")
def known_within(context, seconds):
    holder = context.holder
    holder.pass_time(seconds)
    view = holder.state.endpoints["e1"]
    assert view.report.started_ms == context.born, view.report
    assert "m" not in view.resident or "m" in holder.runners["e1"]["models"]


@when("its row has no start time, after one that had")
def no_start(context):
    holder = context.holder
    holder.runners["e1"]["born"] = BORN
    holder.relist()
    holder.runners["e1"]["born"] = 0
    holder.now += 0.01
    holder.relist()


@then("it is used as before")
def used_as_before(context):
    holder = context.holder
    holder.ask(model="m", key="used")
    assert holder.sent[-1].request_id == "used" and holder.sent[-1].endpoint == "e1"


@then("that load counts as memory that may be taken there for 12 s")
def counts_as_taken(context):
    holder = context.holder
    engine = holder.state.table.services["llm"].engine
    room = holder.state.residency.accounts["e1"]
    assert unanswered_mb(engine, room, holder.now, "") == 60_000.0
    assert unanswered_mb(engine, room, holder.now + 13.0, "") == 0.0


ENDPOINT = "e0"


def restart_with_message(fleet, message):
    fleet.write_entry(ENDPOINT, "live", "m", BORN)
    fleet.run(2.0)
    later = -60 * SECOND if message == "its clock has stepped back" else 5 * SECOND
    if message == "all that watch the store freeze":
        for node in fleet.live():
            node.frozen = node.state.topology.watching and node.name != "n0"
    fleet.write_entry(ENDPOINT, "live", "x", BORN + later)
    if message == "the last row of its earlier process is written again":
        fleet.run(0.3)
        fleet.write_entry(ENDPOINT, "live", "m", BORN)
        fleet.run(1.2)
        fleet.write_entry(ENDPOINT, "live", "x", BORN + later)
    elif message == "it restarts once more within a second":
        fleet.run(0.5)
        fleet.write_entry(ENDPOINT, "live", "y", BORN + later + 1)


@when("an endpoint restarts, holding another model, and {message}")
def fleet_starts_again(context, message):
    context.model = "y" if message == "it restarts once more within a second" else "x"
    restart_with_message(context.fleet, message)


@then("all nodes know within {seconds:g} s what it holds, and still do 3 s later")
def fleet_knows(context, seconds):
    fleet = context.fleet

    def unaware():
        return [
            node.name
            for node in fleet.live()
            if (view := node.state.endpoints.get(ENDPOINT)) is None
            or view.resident != {context.model}
        ]

    end = fleet.now + seconds
    while unaware() and fleet.now < end:
        fleet.run(0.1)
    assert not unaware(), (len(unaware()), unaware()[:5])
    fleet.run(3.0)
    assert not unaware(), unaware()[:5]
