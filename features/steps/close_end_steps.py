import math

from behave import given
from behave import then
from behave import when

from rookspring_core import close_ends
from rookspring_core.close_ends import CloseSigns
from rookspring_core.close_ends import ConnectionTimes
from rookspring_core.close_ends import MomentSigns
from rookspring_core.close_ends import SegmentTimes
from rookspring_core.retries import RetryWindow
from rookspring_core.retries import WindowTerms

OWN = ConnectionTimes(0, 5.0, 8.0, 9.0, 9.99, 10.0)
CALM = MomentSigns(False, False, False)
LIKELY = {"is": True, "is not": False}


@given(
    "another connection to the endpoint that was opened at {opened:g}, answers from {begun:g}, "
    "is read at {read:g} and {closed}"
)
def other_connection(context, opened, begun, read, closed):
    at = math.inf if closed == "stays open" else float(closed.rpartition(" ")[2])
    broke, in_step = closed.startswith("breaks off"), "in step" in closed
    times = ConnectionTimes(1, opened, begun, begun, read, at, broke, in_step)
    context.moment = close_ends.read_moment(OWN, [times])


@given("an answer that is closed {own}, and another at its endpoint that {other} at {at:g}")
def two_answers(context, own, other, at):
    broke, whole = other == "breaks off", "is whole" in other
    times = ConnectionTimes(1, 5.0, 8.0, 9.0, 9.99, at, broke, "in step" in other, whole=whole)
    context.moment = close_ends.read_moment(OWN._replace(in_step=own == "in step"), [times])


@given(
    "another answer whose pauses are {pause:d} ms, read until {read:d} ms behind the close, that "
    "{state}"
)
def read_behind(context, pause, read, state):
    read_at = OWN.closed_at + read / 1000.0
    closed_at = OWN.closed_at + 0.08 if state.startswith("was ") else math.inf
    broke_off = state == "was broken off"
    times = ConnectionTimes(1, 5.0, 8.0, 9.0, read_at, closed_at, broke_off, pause_s=pause / 1000.0)
    context.moment = close_ends.read_moment(OWN, [times._replace(ended=state == "has ended")])


@given("an answer asked for at {asked:g}, and another {other}, closed at {at:g}")
def asked_in_turn(context, asked, other, at):
    other_asked = float(other.split(" ")[3].rstrip(","))
    begun = math.inf if "not begun" in other else other_asked + 0.001
    own = OWN._replace(asked_at=asked, begun_at=asked + 0.001)
    times = ConnectionTimes(1, 5.0, other_asked, begun, begun, at, "broke off" in other)
    context.moment = close_ends.read_moment(own, [times])


@when("an answer whose pauses are {pause:d} ms is closed {waited:d} ms after its last event")
def closed_after(context, pause, waited):
    context.stalled = close_ends.is_stalled(waited / 1000.0, pause / 1000.0)
    context.in_step = close_ends.is_in_step(waited / 1000.0, pause / 1000.0)


@given("an answer whose last bytes the kernel noted at {data} s and its close at {heard} s")
def noted_segments(context, data, heard):
    times = [math.nan if one == "-" else float(one) for one in (data, heard)]
    context.noted = None if data == "-" else SegmentTimes(*times)


@when("the node reads them at {read:g} s and the close at {closed:g} s")
def read_late(context, read, closed):
    context.wait = close_ends.find_wait(read, closed, context.noted)


@when(
    "the node reads them at {read:g} s and the close at {closed:g} s, for a caller that reads "
    "slowly"
)
def read_slowly(context, read, closed):
    context.wait = close_ends.find_wait(read, closed, context.noted, probed_s=1.0)


@then("it was closed {waited:d} ms after them, which was read {late}, and has {stalled}")
def closed_so(context, waited, late, stalled):
    assert round(context.wait.waited_s * 1000.0) == waited, context.wait
    assert (context.wait.late_s > 0.0) == (late == "late"), context.wait
    assert close_ends.is_stalled(context.wait.waited_s, 0.03) == (stalled == "stalled")


@when(
    "an answer whose pauses are 30 ms is closed with its last event, and that is read "
    "{late:d} ms late"
)
def read_late_in_step(context, late):
    context.in_step = close_ends.is_in_step(0.0, 0.03, late / 1000.0)


@then("a pause of {pause:d} ms before these were read at 10 s is {known}")
def pause_known(context, pause, known):
    assert close_ends.is_pause_known(pause / 1000.0, context.noted, 10.0) == (known == "known")


@then("it {has} stalled")
def has_stalled(context, has):
    assert context.stalled == (has == "has")


@then("that is {step} step")
def is_step(context, step):
    assert context.in_step == (step == "in")


@then("it shows: {shows}")
def it_shows(context, shows):
    found = {name for name, seen in context.moment._asdict().items() if seen}
    assert found == (set() if shows == "nothing" else set(shows.split(", "))), found


@when("an endpoint closes an answer's connection and what is seen is: {seen}")
def close_seen(context, seen):
    names = set() if seen == "nothing" else set(seen.split(", "))
    moment = CALM._replace(**dict.fromkeys(names & set(MomentSigns._fields), True))
    others = dict.fromkeys(names - set(MomentSigns._fields), True)
    context.likely = close_ends.is_likely(CloseSigns(moment, others.pop("lives", False), **others))


@then("its end is {verdict}")
def end_is(context, verdict):
    assert context.likely == (verdict == "likely")


@given("a service with 10 resends in its window, of which {spent:d} are spent")
def spent_resends(context, spent):
    context.window = RetryWindow(WindowTerms(share=0.0, slack=10.0))
    assert all(context.window.spend(0.0) for _ in range(spent))


@then(
    "the rest of an end that looks whole {likely} asked for, and of one that is doubted {doubted}"
)
def rest_is(context, likely, doubted):
    kept = close_ends.KEPT_BUDGET_SHARE
    found = (context.window.has_left(0.0, kept), context.window.has_left(0.0))
    assert found == (LIKELY[likely], LIKELY[doubted]), found
