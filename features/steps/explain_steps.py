from behave import then
from behave import when

from rookspring_ctl import timelines

ENTRY = (
    "1.0 n1 event=handover_began id=q1 node=n2",
    "3.0 n1 event=request_ended id=q1 outcome=answered took_s=2.0 why=entry",
)
OTHER = (
    "1.5 n2 event=attempt_began id=q1 endpoint=i1",
    "2.0 n2 event=endpoint_said endpoint=i1",
    "2.5 n2 event=request_ended id=q1 outcome=answered took_s=1.0 why=other",
)


@when("a request is explained from the logs of two nodes, of which {first} was read first")
def explain_request(context, first):
    lines = ENTRY + OTHER if first == "the entry node" else OTHER + ENTRY
    context.timeline = timelines.build_timeline(lines, "q1")


@then("its lines stand in the order of their times, and its end is the one at its entry node")
def in_order(context):
    times = [line.at for line in context.timeline.own_lines]
    assert times == [1.0, 1.5, 2.5, 3.0], times
    assert context.timeline.summary == "answered after 2.0 s: entry", context.timeline.summary
