"""The times of a watch, and the settings that bound them."""

from behave import given
from behave import then
from behave import when

from rookspring_core.watches import ChangeBounds
from rookspring_core.watches import date_answer
from rookspring_core.watches import plan_watch


@given(
    "a change has to be applied {apply_s:g} s after its confirmation and {contact_s:g} s after"
    " a failure"
)
def bounds(context, apply_s, contact_s):
    context.bounds = ChangeBounds(apply_s, contact_s)


@when("a watch of {longest_s:g} s at most begins on a connection that was idle for {idle_s:g} s")
def begins(context, longest_s, idle_s):
    context.times = plan_watch(context.bounds, longest_s, idle_s)


@then("an answer after {after_s:g} s with {what} shows all changes of the first {known_s:g} s")
def shows(context, after_s, what, known_s):
    at = date_answer(100.0, 100.0 + after_s, context.times.wait_s, what == "a change")
    assert round(at - 100.0, 6) == known_s, at


@then("it waits for {wait_s:g} s, and is repeated after {repeat_s:g} s without an answer")
def waits(context, wait_s, repeat_s):
    assert [round(one, 6) for one in context.times] == [wait_s, repeat_s], context.times


@then(
    "a change has to be applied {apply_s:g} s after its confirmation and {contact_s:g} s after"
    " a failure"
)
def has_bounds(context, apply_s, contact_s):
    assert context.settings.changes == (apply_s, contact_s), context.settings.changes
