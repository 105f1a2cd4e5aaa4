import asyncio
import json

from behave import given
from behave import then
from behave import when
from odd_entry_steps import LEASE
from odd_entry_steps import VALUES
from odd_entry_steps import assert_logged_once
from relay_fixture import RelayFixture
from relay_fixture import request

from rookspring import lease_objects
from rookspring import relay_store_loops
from rookspring.platform import StoredObject
from rookspring_core import defaults as core_defaults
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.leases import RELAY_TERMS
from rookspring_core.leases import Lease

TEXTS = {"half a pair": "n\ud800", "long": "n" * 10_000}
STEP_S = 0.1


@given("a lease object whose {field} is the JSON value {value}")
def odd_lease(context, field, value):
    raw = json.loads(value)
    raw = TEXTS.get(raw, raw) if isinstance(raw, str) else raw
    changed = raw if field == "itself" else LEASE | {field: raw}
    context.stored = StoredObject("control", 7, changed)


@then("it can't be read, and the error names {field}")
def lease_unreadable(context, field):
    try:
        found = lease_objects.read_lease(context.stored)
    except ValueError as error:
        assert field in str(error) and len(str(error)) < 250, error
    else:
        raise AssertionError(found)


@given("a lease object with odd rows of usage and verdicts")
def odd_rows_of_lease(context):
    used = {"org-a": 0.5, "org-b": "half", "org-c": 1e300, "org-d": -1, "org-e": [0.5]}
    verdicts = [["f", "org-a", 30.0], 7, [], ["g", "org-b", "30"], ["h", "", 1e300], ["i", 7, 1.0]]
    changed = LEASE | {"used": used, "verdicts": verdicts}
    context.stored = StoredObject("control", 7, changed)


@then("it can be read, and its holder and epoch are as written")
def lease_readable(context):
    found = lease_objects.read_lease(context.stored)
    assert (found.holder, found.epoch, found.nonce) == ("n9", 3, "x/1"), found


@then("its sound rows are read, and a share that is odd counts as the whole limit")
def sound_rows(context):
    usage = dict(lease_objects.read_usage(context.stored))
    assert usage == {"org-a": 0.5, "org-b": 1.0, "org-c": 1.0, "org-d": 1.0, "org-e": 1.0}, usage
    rows = lease_objects.read_verdict_rows(context.stored)
    assert rows == [["f", "org-a", 30.0]], rows
    for odd in (7, None, [1], "x"):
        stored = StoredObject("control", 7, LEASE | {"used": odd, "verdicts": odd})
        assert lease_objects.read_usage(stored) is None
        assert lease_objects.read_verdict_rows(stored) == []
        assert lease_objects.read_lease(stored).epoch == 3


@then("of lease objects with epochs 4, odd, 9, 400 digits and 7 the one of epoch 9 is the newest")
def newest_of(context):
    epochs = [4, "odd", 9, float("inf"), 7]
    rows = [
        StoredObject(f"control-{number}", number + 1, LEASE | {"epoch": epoch})
        for number, epoch in enumerate(epochs)
    ]
    rows.append(StoredObject("control-9", 9, [1]))
    newest = relay_store_loops._find_newest(tuple(rows))
    assert newest is not None and newest.value["epoch"] == 9, newest
    assert relay_store_loops._find_newest(tuple(rows[-1:])) is None


class LeaseClock:
    """Two leases as nodes a and b see them, and the version of their object."""

    def __init__(self):
        self.a = Lease(RELAY_TERMS)
        self.b = Lease(RELAY_TERMS)
        self.version = 40

    def odd_seen(self, now):
        """Have node b read the object with an odd value, of a new version."""
        self.version += 1
        stored = StoredObject("control", self.version, [1])
        self.b.take_read(lease_objects.make_unreadable(stored, now, 0), "b")

    def run(self, until, overwrite_each_s=None):
        """Let node b write when it may; yield the times at which it holds the lease."""
        held = []
        for step in range(int(until / STEP_S)):
            now = step * STEP_S
            if overwrite_each_s and step % round(overwrite_each_s / STEP_S) == 0:
                self.odd_seen(now)
            due = self.b.due_write(now, "b", "b1", True)
            if due is not None:
                won = due.version == self.version
                self.version += won
                written = LeaseWritten(now, now, due.nonce, won, self.version)
                self.b.answer(written, "b")
            if self.b.holding(now):
                held.append(now)
        return held


@given("node a that holds the lease, and reads nothing from then on")
def a_holds(context):
    clock = context.clock = LeaseClock()
    seen = LeaseSeen(-1.0, 40, "", 17, "")
    clock.a.take_read(seen, "a")
    clock.b.take_read(seen, "b")
    due = clock.a.due_write(0.0, "a", "a1", True)
    clock.version = 41
    clock.a.answer(LeaseWritten(0.0, 0.0, due.nonce, True, 41), "a")
    clock.b.take_read(LeaseSeen(0.0, 41, "a", due.epoch, due.nonce), "b")
    assert clock.a.holding(0.0) and not clock.b.holding(0.0)


@when("the lease object is overwritten by an odd value, which node b reads")
def overwritten_once(context):
    context.clock.odd_seen(0.0)
    context.held = context.clock.run(12.0)


@when("the lease object is overwritten by an odd value each second, which node b reads")
def overwritten_again(context):
    context.held = context.clock.run(30.0, overwrite_each_s=1.0)


@then("b holds the lease after a has stopped, and orders only after a gap")
def b_holds_later(context):
    clock = context.clock
    stopped = RELAY_TERMS.ttl_s - RELAY_TERMS.margin_s
    assert clock.a.holding(stopped - STEP_S) and not clock.a.holding(stopped)
    assert context.held and context.held[0] >= stopped, context.held[:1]
    assert clock.b.turn_at >= stopped + core_defaults.HANDOVER_GAP_S, clock.b.turn_at


@then("the epoch of b is greater than that of a")
def greater_epoch(context):
    assert context.clock.b.own_epoch > context.clock.a.own_epoch > 0


@then("b does not hold the lease")
def b_not_holding(context):
    assert not context.held, context.held[:3]


@given("two endpoints, and a node that holds the lease")
def node_holds(context):
    async def work():
        stage = RelayFixture([[], []])
        await stage.start()
        await stage.until(lambda: holds(stage), 8.0)
        return stage

    context.relay = context.loop.run(work())
    context.revision = 0


def holds(stage):
    return stage.node.context.state.control.holding(stage.node.context.now())


@when("the lease object is overwritten by {value}")
def lease_overwritten(context, value):
    raw = VALUES[value]
    context.revision = context.loop.run(
        context.relay.store.write_raw("rookspring-lease", "control", raw)
    )


@then("the node does not hold the lease within {seconds:g} s")
def does_not_hold_yet(context, seconds):
    stage = context.relay

    async def work():
        end = stage.node.context.now() + seconds
        while stage.node.context.now() < end:
            assert not holds(stage)
            await asyncio.sleep(0.05)

    context.loop.run(work())


@then("the node stops holding the lease within {seconds:g} s")
def stops_holding(context, seconds):
    context.loop.run(context.relay.until(lambda: not holds(context.relay), seconds))


@then("the node holds the lease within {seconds:g} s, in an epoch above the object's revision")
def holds_within(context, seconds):
    stage = context.relay
    context.loop.run(stage.until(lambda: holds(stage), seconds))
    epoch = stage.node.context.state.control.lease.own_epoch
    assert epoch > getattr(context, "revision", 0), epoch


@then("the odd lease is logged once, and the line names {field}")
def lease_logged(context, field):
    assert_logged_once(context, "lease_malformed", "name=control ", field)


@then("requests are answered")
def requests_answered(context):
    async def ask():
        return [await context.relay.ask(request("safe", number)) for number in range(6)]

    answers = context.loop.run(ask())
    assert [one.status for one in answers] == [200] * 6, [one.status for one in answers]
