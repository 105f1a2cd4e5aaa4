from behave import then
from behave import when

from rookspring_core import body_ends
from rookspring_fakes import model_torn


@then("its caller gets the quoted answer whole")
def quoted(context):
    answer = context.answer
    found = (answer.status, answer.whole, answer.body)
    assert found == (200, True, model_torn.QUOTED_ANSWER), found


@when("a body ends with {text}")
def ends_with(context, text):
    context.body = b"x" * 20 + text.encode()


@then("it {may} hold the head of another answer")
def holds_head(context, may):
    assert body_ends.may_hold_head(context.body) == (may == "may"), context.body
