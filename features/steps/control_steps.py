import re

from behave import given
from behave import then
from behave import when
from samples import report

from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.leases import Lease
from rookspring_core.memory import Ledger
from rookspring_core.memory import PendingOrder


class Registry:
    """A lease object in the store, and two nodes that read and write it, on one clock."""

    def __init__(self):
        self.now = 0.0
        self.version = 0
        self.value = ("", 0, "")
        self.leases = {"one": Lease(), "two": Lease()}
        self.paused = set()
        self.read()

    def read(self):
        for name, lease in self.leases.items():
            if name not in self.paused:
                lease.take_read(LeaseSeen(self.now, self.version, *self.value), name)

    def write(self, name, answered=True):
        lease = self.leases[name]
        wish = lease.due_write(self.now, name, name, True)
        if wish is None:
            return
        won = wish.version == self.version
        if won:
            self.version += 1
            self.value = (name, wish.epoch, wish.nonce)
        event = LeaseWritten(
            self.now, self.now, wish.nonce, won if answered else None, self.version
        )
        lease.answer(event, name)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.read()
            for name in self.leases:
                if name not in self.paused:
                    self.write(name)


@given("two nodes that see one lease")
def two_nodes(context):
    context.registry = Registry()


def pause_one(registry, seconds):
    registry.paused.add("one")
    registry.run(seconds)


def wake_one(registry):
    # A paused node does not know how long it was paused, and would act at once.
    assert not registry.leases["one"].holding(registry.now)
    registry.paused.clear()
    registry.run(3.0)


def give_up(registry):
    wish = registry.leases["one"].release(registry.now)
    assert wish.version == registry.version
    registry.version += 1
    registry.value = ("", wish.epoch, "")
    registry.paused.add("one")


def write_unanswered(registry):
    registry.write("one", answered=False)
    assert not registry.leases["one"].holding(registry.now)


def write_both(registry):
    wishes = {
        name: lease.due_write(registry.now, name, name, True)
        for name, lease in registry.leases.items()
    }
    for name, wish in wishes.items():
        won = wish.version == registry.version
        if won:
            registry.version += 1
            registry.value = (name, wish.epoch, wish.nonce)
        event = LeaseWritten(registry.now, registry.now, wish.nonce, won, registry.version)
        registry.leases[name].answer(event, name)
    registry.run(1.0)


LEASE_EVENTS = {
    "one takes it": lambda registry: registry.write("one"),
    "one writes it without an answer": write_unanswered,
    "one gives it up": give_up,
    "one wakes": wake_one,
    "both write it at once": write_both,
}


@when("the lease goes through: {events}")
def lease_meets(context, events):
    for name in events.split(", "):
        lease_event(context.registry, name)


@when("the ledger goes through: {events}")
def ledger_meets(context, events):
    for name in events.split(", "):
        ledger_event(context, name)


def lease_event(registry, name):
    paused = re.fullmatch(r"one is paused for (\d+) seconds", name)
    passed = re.fullmatch(r"(\d+) seconds pass", name)
    if paused:
        pause_one(registry, float(paused[1]))
    elif passed:
        registry.run(float(passed[1]))
    else:
        LEASE_EVENTS[name](registry)


@then("{holder} holds it at epoch {epoch:d}")
def holder_is(context, holder, epoch):
    registry = context.registry
    holding = [name for name, one in registry.leases.items() if one.holding(registry.now)]
    assert holding == [holder], holding
    assert registry.leases[holder].own_epoch == epoch


KEY = ("m", "v1")


@given("a ledger of 100 GB whose endpoint {checks} orders")
def a_ledger(context, checks):
    context.now = 1.0
    context.checks = checks == "checks"
    context.ledger = Ledger("e")
    context.ledger.take_report(ledger_report(context), {})


def ledger_report(context, **fields):
    fields = {"checks_orders": context.checks, "memory_gb": 100.0, **fields}
    return report("e", context.now, **fields)


def ledger_event(context, name):
    ledger = context.ledger
    context.now += 1.0
    token = (1, 1)
    match name:
        case "30 GB are ordered":
            ledger.pending = PendingOrder(token, "load", KEY, 30.0, context.now)
        case "it is sealed":
            ledger.seal((2, 1))
        case "a report shows the seal":
            ledger.take_report(ledger_report(context, order_token=(2, 1)), {})
        case "it is claimed":
            ledger.claim(context.now)
        case "10 GB more are ordered":
            key = ("other", "v1")
            ledger.pending = PendingOrder((1, 2), "load", key, 10.0, context.now)
        case "no answer comes":
            ledger.answer(token, None, context.now)
        case "it is accepted":
            ledger.answer(token, True, context.now)
        case "it is refused":
            ledger.answer(token, False, context.now)
        case "it is given up":
            ledger.give_up_order(context.now)
        case "40 seconds pass":
            context.now += 40.0
        case "a report is without it":
            ledger.take_report(ledger_report(context), {})
        case "an old report is without it":
            ledger.take_report(ledger_report(context, age_s=1.5), {})
        case "a report shows it loading":
            shown = ledger_report(context, loading=(KEY,), held_gb=30.0, order_token=token)
            ledger.take_report(shown, {KEY: 30.0})
        case "a report shows it undeclared":
            # A newer version is declared by now, so the size is known only from the order.
            ledger.take_report(ledger_report(context, loading=(KEY,), held_gb=30.0), {})
        case "a report has a later token without it":
            ledger.take_report(ledger_report(context, order_token=(1, 2)), {})
        case "a report holds 50 GB of unknown":
            ledger.take_report(ledger_report(context, held_gb=50.0), {})
        case "the endpoint restarts":
            ledger.take_report(ledger_report(context, incarnation="2"), {})
        case "nothing happens":
            pass
        case _:
            raise AssertionError(f"no such event: {name}")


@then("{free:d} GB may be reserved")
def free_is(context, free):
    assert abs(context.ledger.free() - free) < 1e-6, context.ledger.free()


@then("it is {state} for orders")
def state_is(context, state):
    assert context.ledger.ready() == (state == "ready")


@then("its record lists {count:d} orders")
def record_names(context, count):
    assert len(context.ledger.intent_rows()) == count, context.ledger.intent_rows()
