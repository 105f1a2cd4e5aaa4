import typing as t

import msgpack
import msgspec
from behave import given
from behave import then
from behave import when
from samples import report

from rookspring.gossip import ReportLog
from rookspring.gossip import digest_without_load
from rookspring.gossip import encode_report
from rookspring.gossip import read_report_row
from rookspring.messages import Reports
from rookspring.messages import decode
from rookspring.messages import encode
from rookspring_core.endpoints import EndpointView
from rookspring_core.events import EndpointReported
from rookspring_core.hashing import stable_hash

EARLIER_FIELDS = [name for name in EndpointReported._fields if name != "ends_in_s"]


class ReceivingNode:
    """The attributes of a node that :func:`read_report_row` uses."""

    def __init__(self):
        self.state = self
        self.endpoints = {"e": EndpointView("e", "a", "dc")}


@given("a node that polls an endpoint, and one that receives its reports")
def poller_and_receiver(context):
    context.log = ReportLog()
    context.receiver = ReceivingNode()
    context.shared = report("e", 1.0)
    context.now = 1.0


def share(context):
    context.now += 1.0
    sent = context.log.row_for(context.shared._replace(at=context.now), context.now)
    (row,) = decode(msgpack.unpackb(encode(Reports([sent])))).rows
    found = read_report_row(context.receiver, row, context.now)
    if found is not None:
        context.receiver.endpoints["e"].take_report(found)


@when("{events}, {more} and is shared")
def shared_twice(context, events, more):
    for name in [*events.split(", "), more]:
        apply_event(context, name)
    share(context)


@when("a report is shared")
def shared(context):
    share(context)


@when("its load changes and is shared without a base")
def shared_without_base(context):
    context.log.row_for(context.shared, context.now)
    apply_event(context, "its load changes")
    share(context)


def apply_event(context, name):
    if name == "a report is shared":
        share(context)
    elif name == "its load changes":
        context.shared = context.shared._replace(running=7)
    elif name == "a model is added":
        context.shared = context.shared._replace(resident=(("m", "v1"),))
    else:
        context.now += 1.0
        other = context.shared._replace(at=context.now, held_gb=50.0)
        context.receiver.endpoints["e"].take_report(other)


@then("the receiver's last report is {expected}")
def last_report(context, expected):
    found = context.receiver.endpoints["e"].report
    check = {
        "the first": lambda: found.running == 0 and found.resident == (),
        "the changed load": lambda: found.running == 7,
        "with the model": lambda: found.resident == (("m", "v1"),),
        "the other base": lambda: found.held_gb == 50.0 and found.running == 0,
        "none": lambda: found is None,
    }[expected]
    assert check(), found


@then("a node that knows no such statement reads its row, and has its digest")
def read_earlier(context):
    fields = [(name, EndpointReported.__annotations__[name]) for name in EARLIER_FIELDS]
    earlier = t.NamedTuple("EndpointReported", fields)
    raw = msgpack.unpackb(encode(Reports([encode_report(context.shared, context.now)])))
    (row,) = raw[1]
    read = msgspec.convert(row, earlier)
    without_load = read._replace(at=0.0, age_s=0.0, running=0, queued=0)
    assert stable_hash(repr(without_load)) == digest_without_load(context.shared)
