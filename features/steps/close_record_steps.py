from behave import given
from behave import then
from behave import when

from rookspring_core.close_records import CloseCount
from rookspring_core.close_records import CloseRecords

SERVICE = "svc"
OTHERS = ("n2", "n3")
NOW = 1000.0
IS = {"is": True, "is not": False}


def read_outcomes(text):
    """Return how many ends were whole and cut."""
    counts = {"whole": 0, "cut": 0}
    for part in () if text == "nothing" else text.split(", "):
        number, kind = part.split()
        counts[kind] += int(number)
    return counts


def note_outcomes(context, text):
    for kind, number in read_outcomes(text).items():
        for _ in range(number):
            context.records.note_close(SERVICE, context.now)
            context.records.note_outcome(SERVICE, kind == "whole", context.now)


@given("a node that saw {outcomes} of a service's ends that had looked whole")
def node_saw(context, outcomes):
    context.records = CloseRecords()
    context.now = NOW
    note_outcomes(context, outcomes)


@given("a node that saw an answer of a service end with its connection")
def node_saw_close(context):
    context.records = CloseRecords()
    context.now = NOW
    context.records.note_close(SERVICE, NOW)


@when("{later:d} s later it sees {outcomes}")
def sees_later(context, later, outcomes):
    context.now += later
    note_outcomes(context, outcomes)


@when("two nodes tell it {first} and {second}")
def nodes_tell(context, first, second):
    for source, text in zip(OTHERS, (first, second), strict=True):
        counts = read_outcomes(text)
        rows = [CloseCount(SERVICE, 0.0, counts["whole"], counts["cut"])]
        context.records.take_counts(source, rows if text != "nothing" else [], context.now)


@when("the first tells nothing of the service any more")
def tells_nothing(context):
    context.records.take_counts(OTHERS[0], [], context.now)


@when("the first is no source any more")
def no_source(context):
    context.records.keep_sources({OTHERS[1]})


@then("{later:d} s later the service is {verdict:w}")
def service_is(context, later, verdict):
    caught = context.records.is_caught(SERVICE, context.now + later)
    assert caught == (verdict == "doubted")


@then("{later:d} s later the service {ends} known to answer so")
def service_ends_so(context, later, ends):
    assert context.records.ends_by_close(SERVICE, context.now + later) == IS[ends]


@then("another service is believed, and its answers aren't known to end with their connection")
def other_believed(context):
    assert not context.records.is_caught("other", context.now)
    assert not context.records.ends_by_close("other", context.now)
    assert context.records.ends_by_close(SERVICE, context.now)


@then("it tells {whom} {cut:d} cut")
def it_tells(context, whom, cut):
    records, now = context.records, context.now
    rows = {
        "all nodes of a mesh": lambda: records.sum_counts((), now),
        "other relays, with the first its follower": lambda: records.sum_counts(OTHERS[:1], now),
        "the first, its follower": lambda: records.sum_others(OTHERS[:1], now)[OTHERS[0]],
    }[whom]()
    assert [(row.service, row.cut) for row in rows] == [(SERVICE, cut)], rows


@given("a node that saw ends of {own:d} services, and is told of {told:d} others")
def saw_many(context, own, told):
    context.records = CloseRecords()
    for number in range(own):
        context.records.note_close(f"own-{number}", NOW + number / own)
    context.now = NOW + 1.0
    rows = [CloseCount(f"told-{number}", number / told, 1.0, 0.0) for number in range(told)]
    context.records.take_counts(OTHERS[0], rows, context.now)


def list_kept(context, later=0.0):
    now = context.now + later
    names = [f"{kind}-{number}" for kind in ("own", "told") for number in range(1000)]
    return [name for name in names if context.records.ends_by_close(name, now)]


@then("it keeps {number:d} of each, the latest, and tells {told:d}")
def keeps_latest(context, number, told):
    own = [f"own-{one}" for one in range(1000 - number, 1000)]
    others = [f"told-{one}" for one in range(number)]
    assert list_kept(context) == own + others
    assert len(context.records.sum_counts(OTHERS, context.now)) == told


@then("{later:d} s later it keeps none")
def keeps_none(context, later):
    context.records.forget_old(context.now + later)
    assert list(context.records._records.items()) == [("", {})]
    assert context.records.sum_counts(OTHERS, context.now + later) == []
