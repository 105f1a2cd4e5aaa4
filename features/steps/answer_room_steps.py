from behave import given
from behave import then
from behave import when

from rookspring_core import defaults
from rookspring_core.answer_room import AnswerRoom

# The end of the requests' time, in seconds.
DEADLINE = 2.0


def _read_answers(text):
    rows = [row.split() for row in text.split(", ")]
    return [(name, int(size)) for name, *sizes in rows for size in sizes]


@given("a room of {room:d} bytes, and answers that wait: {answers}")
def room_of(context, room, answers):
    context.room_bytes = room
    context.room = AnswerRoom()
    context.now = 0.0
    context.inside = []
    answers_come(context, answers)


@when("answers come: {answers}")
def answers_come(context, answers):
    for source, size in _read_answers(answers):
        context.room.enter(source, size, DEADLINE)


@then("these are let in: {answers}")
def let_in(context, answers):
    admitted = context.room.admit(context.room_bytes)
    found = sorted((one.source, one.size) for one in admitted)
    assert found == sorted(_read_answers(answers)), found
    context.inside += admitted


@then("none is let in")
def none_let_in(context):
    assert context.room.admit(context.room_bytes) == []


@when("these have left: {answers}")
def have_left(context, answers):
    assert sorted((one.source, one.size) for one in context.inside) == sorted(
        _read_answers(answers)
    )
    for entry in context.inside:
        context.room.leave(entry)
    context.inside = []


@when("{got:d} bytes of a's come, and b's answer of {size:d} bytes waits")
def some_come(context, got, size):
    context.inside[0].got += got
    context.room.enter("b", size, DEADLINE)


@when("{got:d} bytes of a's come")
def more_come(context, got):
    context.inside[0].got += got


@when("its progress is checked")
def checked(context):
    context.now += defaults.ROOM_CHECK_S
    context.room.check(context.now)
