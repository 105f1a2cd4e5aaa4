from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rookspring_core import defaults
from rookspring_core.read_turns import ReadTurns
from rookspring_core.read_turns import measure_work

FLOOD = "flood"
OTHER = "other"
READ_BYTES = 256 << 10
PART_BYTES = 16 << 10
TOKEN = b'5a\r\nid: 17\ndata: {"choices":[{"delta":{"content":" the"},"index":0}]}\n\n\r\n'
use_step_matcher("re")


class _Read:
    """A read whose bytes wait, of which a part is handled at a time."""

    def __init__(self, data):
        self.data = data

    def handle(self):
        part, self.data = self.data[:PART_BYTES], self.data[PART_BYTES:]
        return measure_work(part)


def _handle_turn(turns):
    """Handle a turn, and return its work in bytes."""
    turns.begin()
    sum_bytes = 0
    while taken := turns.take():
        source, read = taken
        work = read.handle()
        turns.spend(source, work)
        sum_bytes += work
        if read.data:
            turns.wait(source, read)
    return sum_bytes


@given("(?P<number>\\d+) reads? of small events waits?, of one endpoint")
def small_events_wait(context, number):
    context.turns = ReadTurns()
    for _ in range(int(number)):
        context.turns.wait(FLOOD, _Read(b"data: x\n\n" * (READ_BYTES // 9)))


@given("a read of another endpoint waits")
def other_read_waits(context):
    context.other = _Read(TOKEN * 10)
    context.turns.wait(OTHER, context.other)


@when("a turn is handled")
def turn_handled(context):
    context.works = [_handle_turn(context.turns)]


@when("turns are handled until none waits")
def turns_handled(context):
    context.works = []
    while context.turns.anyone_waits:
        context.works.append(_handle_turn(context.turns))


@then("it took no more than a turn's work and one part")
def turn_bounded(context):
    part = measure_work(b"data: x\n\n" * (PART_BYTES // 9 + 1))
    assert 0 < context.works[0] <= defaults.TURN_WORK_BYTES + part, context.works


@then("the other endpoint's read is done")
def other_done(context):
    assert not context.other.data


@then("each of them but the last took all of a turn's work")
def turns_full(context):
    assert len(context.works) > 1
    assert min(context.works[:-1]) >= defaults.TURN_WORK_BYTES, context.works


@then("(?P<number>\\d+) reads of (?P<tokens>\\d+) tokens each, of another endpoint, are handled .*")
def tokens_at_once(context, number, tokens):
    context.turns.begin()
    work = measure_work(TOKEN * int(tokens))
    assert all(context.turns.admit(OTHER, work) for _ in range(int(number)))


@then("a read of 256 KiB of plain data is handled at once")
def plain_at_once(context):
    assert ReadTurns().admit(OTHER, measure_work(b"b" * READ_BYTES))


@then("1 read of 1 token each, of that endpoint, is to wait")
def token_waits(context):
    context.turns.begin()
    assert not context.turns.admit(FLOOD, measure_work(TOKEN))


use_step_matcher("parse")
