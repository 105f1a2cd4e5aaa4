import asyncio
import math
import os
import pathlib
import tempfile
import types

import orjson
from behave import then
from behave import when
from loguru import logger
from returns.result import Failure
from returns.result import Success

from rookspring import endpoints
from rookspring import forwarding
from rookspring import operators
from rookspring import request_parsing
from rookspring.exceptions import CallerError
from rookspring.exceptions import EndpointError
from rookspring.http_platform import HttpPlatform
from rookspring.logs import BoundedOutput
from rookspring.messages import Forward
from rookspring.messages import ForwardEnd
from rookspring.messages import ForwardPart
from rookspring.messages import ForwardStart
from rookspring.signing import ResumeGrant
from rookspring.signing import Signer
from rookspring_ctl.client import _decode_response
from rookspring_ctl.documents import read_documents
from rookspring_ctl.exceptions import CtlError
from rookspring_ctl.exceptions import UsageError

REPORT = {
    "incarnation": "i",
    "age_s": 0.5,
    "slots": 4,
    "running": 0,
    "queued": 0,
    "token_rate": 1.0,
    "stream_rate": 1.0,
    "memory_gb": 80,
}


def written(value):
    """Return a value of the tables as it is sent; a header that isn't UTF-8 as it is decoded."""
    for number in (5000, 400):
        value = value.replace(f"{number} digits", "9" * number)
    value = value.replace("{2000 levels}", "[" * 2000 + "]" * 2000)
    return value.replace("no UTF-8", "\udcff")


def make_node():
    catalogue = types.SimpleNamespace(
        team_by_digest={},
        services={"s": types.SimpleNamespace(unrepeatable=(), priority="normal", deadline_s=1.0)},
        models={},
        adapters={},
    )
    settings = types.SimpleNamespace(operator_key_sha256=())
    state = types.SimpleNamespace(catalogue=catalogue)
    telemetry = types.SimpleNamespace(begin=lambda *args, **fields: None)
    signer = Signer(["k"])
    return types.SimpleNamespace(settings=settings, state=state, signer=signer, telemetry=telemetry)


def make_request(**headers):
    return types.SimpleNamespace(headers=headers, method="GET", query_string="", body=b"", args={})


def read_event_id(node, value):
    grant = node.signer.issue_grant(ResumeGrant("t", "e", "s", "r", "m", 0, 5))
    return node.signer.read_event_id(f"{grant}~{value}")


def read_service(node, **headers):
    return request_parsing.read_service(node, make_request(**headers), "t", "s", "x")


READERS = {
    "an event id's offset": read_event_id,
    "an attempt": lambda node, value: request_parsing._read_first_send(
        make_request(**{"x-rookspring-attempt": value})
    ),
    "a version": lambda node, value: operators._read_version(make_request(**{"if-match": value})),
    "a caller's key": lambda node, value: request_parsing.authenticate_team(
        node, make_request(authorization=f"Bearer {value}")
    ),
    "an operator's key": lambda node, value: operators.authenticate_operator(
        node, make_request(authorization=f"Bearer {value}")
    ),
    "a session": lambda node, value: request_parsing._read_once_key(
        node, make_request(**{"x-rookspring-session": value}), "t"
    ),
    "an event id": lambda node, value: node.signer.read_event_id(f"{value}~3"),
    "a header of a call": lambda node, value: read_service(node, **{"x-odd": value}),
    "a trace": lambda node, value: read_service(node, traceparent=value),
}


@then("{field} with {value} is refused with {status:d}, naming {named}")
def refused(context, field, value, status, named):
    try:
        found = READERS[field](make_node(), written(value))
    except CallerError as error:
        assert (error.status, error.field) == (status, named), (error.status, error.field)
    else:
        raise AssertionError(found)


@then("the line {line} is {read}")
def line_read(context, line, read):
    try:
        chunk = endpoints._read_chunk(written(line).encode())
    except EndpointError as error:
        assert read == "malformed" and error.sent and error.reason == "malformed chunk", error
        return
    expected = {"tokens": (3, ["a"], -1), "the end": (-1, [], 5)}[read]
    assert (chunk.offset, list(chunk.tokens), chunk.total) == expected, chunk


@then("a runner's report with {field} of {value} is {read}")
def report_read(context, field, value, read):
    numbers = {"infinity": math.inf, "NaN": math.nan}
    odd = numbers[value] if value in numbers else orjson.loads(value)
    try:
        endpoints.read_report("e", {**REPORT, field: odd}, 1.0)
    except ValueError as error:
        assert read == "malformed" and field in str(error), error
    else:
        assert read == "read", field


class SentMessages:
    """A link that keeps what is sent."""

    def __init__(self):
        self.sent = []
        self.name = "n2"

    def send(self, item):
        self.sent.append(item)


@when("another node forwards a chat without fields")
def forwarded_without_fields(context):
    context.link = SentMessages()
    forward = Forward(1, "chat", "t", {}, b"")
    asyncio.run(forwarding.serve_forward(make_node(), context.link, forward))


@then("the answer to it is 409 with the outcome unknown, and complete")
def answered_unknown(context):
    start, part, end = context.link.sent
    assert (type(start), type(part), type(end)) == (ForwardStart, ForwardPart, ForwardEnd)
    assert start.status == 409 and orjson.loads(part.data)["outcome"] == "unknown", part


@then('a log line with half of a surrogate is written as "{text}"')
def line_written(context, text):
    read_end, write_end = os.pipe()
    BoundedOutput(write_end).write("event=x a=\udcff\n")
    assert os.read(read_end, 100).decode() == text + "\n"
    os.close(read_end)
    os.close(write_end)


def make_platform(raw):
    """Return a store's client whose calls all get one answer."""
    platform = HttpPlatform("http://store", lambda method, end: None)

    async def call(method, path, *args, **kwargs):
        return Success((200, raw))

    platform._caller.call = call
    return platform


@when("the store's list has an object without a name, one without a version, and a sound one")
def odd_objects(context):
    items = [
        {"version": 1, "value": {}},
        {"name": "b", "value": {}},
        {"name": "c", "version": 3, "value": {}},
    ]
    context.lines = []
    sink = logger.add(context.lines.append, level="INFO", format="{message}")
    platform = make_platform(orjson.dumps({"version": 5, "items": items}))
    context.listing = asyncio.run(platform.list_kind("resource")).unwrap()
    logger.remove(sink)


@then("the list gives the sound one, and the log names {number:d} odd ones")
def sound_listed(context, number):
    assert [one.name for one in context.listing.items] == ["c"], context.listing
    assert len(context.lines) == number, context.lines
    told = "event=object_malformed level=error kind=resource "
    assert all(line.startswith(told) for line in context.lines), context.lines


@then("a store's answer {answer} to a {call} is a failed call")
def failed_call(context, answer, call):
    platform = make_platform(answer.encode())
    work = {
        "get": lambda: platform.get("k", "n"),
        "list": lambda: platform.list_kind("k"),
        "watch": lambda: platform.watch("k", 1, 1.0),
        "put": lambda: platform.put("k", "n", {}, None),
        "boxes": platform.boxes,
    }[call]
    assert isinstance(asyncio.run(work()), Failure)


SPECS = {
    "5000 digits": "x: " + "9" * 5000,
    "400 digits": "x: " + "9" * 400,
    "2000 levels": "x: " + "[" * 2000 + "]" * 2000,
    "a 13th month": "x: 2026-13-01",
}


@then("a document with {value} gives an error that names its file and {named}")
def document_error(context, value, named):
    spec = SPECS.get(value, "")
    other = "5: x\ny: z\n" if value == "a number as key" else ""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "odd.yaml"
        path.write_text(f"kind: Model\nname: m\nspec: {{{spec}}}\n{other}")
        try:
            read_documents(str(path))
        except UsageError as error:
            assert "odd.yaml" in str(error) and named in str(error), str(error)[:200]
        else:
            raise AssertionError(value)


@then('an error of the API with the body {body} is shown as "{shown}"')
def error_shown(context, body, shown):
    try:
        _decode_response(500, body.encode())
    except CtlError as error:
        assert str(error) == shown, str(error)
