import time
from unittest import mock

from behave import then
from behave import when

from rookspring_ctl import cli
from rookspring_ctl import timelines
from rookspring_ctl.client import ApiServers

ENTRY = (
    "1.0 n1 event=handover_began id=q1 node=n2",
    "3.0 n1 event=request_ended id=q1 outcome=answered took_s=2.0 why=entry",
)
OTHER = (
    "1.5 n2 event=attempt_began id=q1 endpoint=i1",
    "2.0 n2 event=endpoint_said endpoint=i1",
    "2.5 n2 event=request_ended id=q1 outcome=answered took_s=1.0 why=other",
)
LATE_S = 1.5


@when("a request is explained from the logs of two nodes, of which {first} was read first")
def explain_request(context, first):
    lines = ENTRY + OTHER if first == "the entry node" else OTHER + ENTRY
    context.timeline = timelines.build_timeline(lines, "q1")


@then("its lines stand in the order of their times, and its end is the one at its entry node")
def in_order(context):
    times = [line.at for line in context.timeline.own_lines]
    assert times == [1.0, 1.5, 2.5, 3.0], times
    assert context.timeline.summary == "answered after 2.0 s: entry", context.timeline.summary


def answer_call(server, method, path):
    """Answer as two nodes, the second of which takes long."""
    if path == "status":
        return {"nodes": [{"address": "n1"}, {"address": "n2"}]}
    node = server.addresses[0].removeprefix("http://")
    if node == "n2":
        time.sleep(LATE_S)
    ago_s = {"n1": 1.0, "n2": 2.0}[node]
    row = {"ago_s": ago_s, "subject": "m", "what": f"by {node}", "why": ""}
    return {"node": node, "decisions": [row]}


@when("rookctl lists a decision of 1 s ago, and then one of 2 s ago from a node that took 1.5 s")
def list_decisions(context):
    printed = []
    servers = ApiServers(("http://n1",), "key")
    with (
        mock.patch.object(cli, "call", answer_call),
        mock.patch.object(cli, "print_table", printed.append),
    ):
        assert cli._print_decisions(servers, "m") == 2
    (context.listed,) = printed


@then("the first of them stands before the second one")
def decisions_in_order(context):
    rows = [(row[0], row[1]) for row in context.listed.rows]
    assert rows == [("n1", "2.5"), ("n2", "2.0")], rows
