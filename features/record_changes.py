"""Changes of the record of a whole call and its run, by which the checks of ways are tried.

Each takes behave's context, whose ``parts``, ``runs`` and ``again`` are the record.
"""

from rookspring_fakes.ways_records import Part
from rookspring_fakes.ways_records import Run

CHANGES = {}


def change(name):
    def register(function):
        CHANGES[name] = function
        return function

    return register


def _set_events(context, events):
    context.parts[0] = context.parts[0]._replace(events=tuple(events))


def _set_event(context, at, **fields):
    events = list(context.parts[0].events)
    events[at] = events[at]._replace(**fields)
    _set_events(context, events)


@change("nothing changes")
def keep(context):
    pass


@change("the last event is missing")
def drop_last(context):
    _set_events(context, context.parts[0].events[:-1])


@change("the third event is missing")
def drop_third(context):
    events = context.parts[0].events
    _set_events(context, events[:2] + events[3:])


@change("the first event is missing")
def drop_first(context):
    _set_events(context, context.parts[0].events[1:])


@change("two events are exchanged")
def exchange(context):
    events = context.parts[0].events
    _set_events(context, (*events[:2], events[3], events[2], *events[4:]))


@change("an event comes twice")
def repeat(context):
    events = context.parts[0].events
    _set_events(context, events[:3] + events[2:])


@change("an event is of another request")
def other_request(context):
    _set_event(context, 2, ident="q2")
    context.runs.append(Run("q2", "i1", 1, 8))


@change("an event is of another version")
def other_version(context):
    _set_event(context, 2, version=2)


@change("an event was never made")
def never_made(context):
    context.runs[0] = context.runs[0]._replace(made=7)


@change("an event is of another runner that made it")
def other_runner(context):
    _set_event(context, 7, runner="i2")
    context.runs.append(Run("q1", "i2", 8, 8))


@change("the request ran twice")
def run_twice(context):
    context.runs.append(context.runs[0]._replace(runner="i2"))


@change("the run was asked for from the third event")
def asked_from_third(context):
    context.runs[0] = context.runs[0]._replace(first=3)


def _take_up(context, first, version=1):
    events = context.parts[0].events
    more = tuple(one._replace(ident="q1t1", version=version) for one in events[first - 1 :])
    context.parts = [
        context.parts[0]._replace(whole=False, events=events[:3]),
        Part("q1t1", "n1", 200, True, more),
    ]
    context.runs.append(Run("q1t1", "i1", first, 8))


@change("a take-up goes on")
def go_on(context):
    _take_up(context, 4)


@change("a take-up leaves an event out")
def leave_out(context):
    _take_up(context, 5)


@change("a take-up repeats an event")
def take_up_twice(context):
    _take_up(context, 3)


@change("a take-up is of another version")
def take_up_other_version(context):
    _take_up(context, 4, version=2)


def _continue(context, copied, first=4):
    events = context.parts[0].events
    rest = tuple(one._replace(runner="i2") for one in events[3:])
    _set_events(context, events[:3] + rest)
    context.runs[0] = context.runs[0]._replace(made=3)
    context.runs.append(Run("q1", "i2", first, 8, copied=copied))


@change("a copy of its run goes on at another runner")
def copy_goes_on(context):
    _continue(context, copied=True)


@change("another run goes on at another runner, with no copy")
def other_run_goes_on(context):
    _continue(context, copied=False)


@change("a copy goes on at another runner after an event that it had not made")
def copy_goes_on_late(context):
    _continue(context, copied=True, first=5)


@change("a copy goes on, and the request ran twice")
def copy_and_second_run(context):
    copy_goes_on(context)
    context.runs.append(Run("q1", "i3", 1, 2))


@change("a copy goes on in a take-up")
def copy_takes_up(context):
    _take_up(context, 4)
    events = tuple(one._replace(runner="i2") for one in context.parts[1].events)
    context.parts[1] = context.parts[1]._replace(events=events)
    context.runs[-1] = context.runs[-1]._replace(runner="i2", copied=True)


def _end_early(context, cause):
    _set_events(context, context.parts[0].events[:3])
    context.runs[0] = context.runs[0]._replace(made=3, cause=cause, kind=context.kind)


@change("its runner ends it in its midst, as a sign tells")
def end_told(context):
    _end_early(context, "draining-1.0-0.05")


@change("its runner ends it in its midst, as nothing tells")
def end_untold(context):
    _end_early(context, "untold-failure")


def _cut_sound(context, made, ended):
    events = context.parts[0].events[:3]
    context.parts[0] = context.parts[0]._replace(whole=False, events=events)
    context.runs[0] = context.runs[0]._replace(made=made, ended=ended, kind=context.kind)


@change("its runner ends it well, and its caller is cut")
def cut_sound(context):
    _cut_sound(context, 8, "chunks")


@change("its runner ends it with its time, and its caller is cut")
def cut_in_time(context):
    _cut_sound(context, 7, "chunks")


@change("its runner ends it well by a close, and its caller is cut")
def cut_unframed(context):
    _cut_sound(context, 8, "close")


@change("its runner ends it too early by a close, and its caller is cut")
def cut_early(context):
    _cut_sound(context, 7, "close")


@change("its runner ends it well by a close when its caller has been cut")
def end_too_late(context):
    cut_unframed(context)
    context.runs[0] = context.runs[0]._replace(ended_at=2.0)
    context.parts[0] = context.parts[0]._replace(ended_at=1.0)


@change("its runner ends it well by a close, and its caller gets 502")
def refuse_sound(context):
    _cut_sound(context, 0, "json")
    context.parts[0] = context.parts[0]._replace(status=502, whole=True)


@change("its runner ends it well by a close as its node is killed, and its caller is cut")
def cut_as_node_killed(context):
    cut_unframed(context)
    context.parts[0] = context.parts[0]._replace(disturbed=True)


@change("its runner ends it well by a close as its links are held, and its caller is cut")
def cut_as_links_held(context):
    cut_unframed(context)
    context.runs[0] = context.runs[0]._replace(disturbed=True)


@change("its runner ends it well by a close as it breaks others off, and its caller is cut")
def cut_beside_others(context):
    cut_unframed(context)
    context.runs[0] = context.runs[0]._replace(beside=True)


@change("its runner ends it well by a close as its time is over, and its caller is cut")
def cut_at_its_time(context):
    cut_unframed(context)
    context.runs[0] = context.runs[0]._replace(left_s=0.15)


def _go_on_elsewhere(context, service, moved_at):
    context.runs[0] = context.runs[0]._replace(at=10.0, service="llm")
    context.runs[-1] = context.runs[-1]._replace(at=12.0, service=service, moved_at=moved_at)


def _answer_elsewhere(context, moved_at):
    events = context.parts[0].events
    rest = tuple(one._replace(version=2, runner="i2") for one in events[3:])
    _set_events(context, events[:3] + rest)
    context.runs.append(Run("q1", "i2", 4, 8))
    _go_on_elsewhere(context, "llm-b", moved_at)


@change("a take-up goes on where its route moved meanwhile")
def take_up_moved(context):
    _take_up(context, 4, version=2)
    _go_on_elsewhere(context, "llm-b", 11.0)


@change("a take-up goes on where its route had moved before it began")
def take_up_moved_before(context):
    _take_up(context, 4, version=2)
    _go_on_elsewhere(context, "llm-b", 9.0)


@change("a take-up ran there twice, its route moved between its runs")
def take_up_ambiguous(context):
    take_up_moved(context)
    context.runs.append(context.runs[-1]._replace(at=10.5, moved_at=9.0))


@change("a take-up goes on in its service, whose route moved meanwhile")
def take_up_same_service(context):
    _take_up(context, 4, version=2)
    _go_on_elsewhere(context, "llm", 11.0)


@change("an answer goes on where its route moved meanwhile")
def answer_moved(context):
    _answer_elsewhere(context, 11.0)


@change("an answer goes on where its route had moved before it began")
def answer_moved_before(context):
    _answer_elsewhere(context, 9.0)


@change("its answer states another request")
def other_answer(context):
    context.parts[0] = context.parts[0]._replace(stated="q2")


@change("no answer comes on an open connection")
def answer_nothing(context):
    context.parts[0] = Part("q1", "n0", 0, False, (), waited=True)
    context.runs.clear()


@change("it is refused as malformed")
def refuse_malformed(context):
    context.parts[0] = context.parts[0]._replace(status=400, events=())
    context.runs.clear()


@change("bytes come that no runner makes")
def bend(context):
    context.parts[0] = context.parts[0]._replace(bent="x")


@change("no end comes after the last event")
def cut_end(context):
    context.parts[0] = context.parts[0]._replace(whole=False)


@change("its caller sent it twice and got two answers")
def send_twice(context):
    context.parts = [context.parts[0]._replace(whole=False), context.parts[0]]
    context.runs.append(context.runs[0])
    context.again = True
