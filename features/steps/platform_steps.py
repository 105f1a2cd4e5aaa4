import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
from relay_harness import RelayHarness

from rookspring.dialect import ForwardFields
from rookspring.exceptions import SettingsError
from rookspring.http_messages import HttpHead
from rookspring.http_messages import HttpRequest
from rookspring.platform import StoredObject
from rookspring_platform import PlatformDialect
from rookspring_platform import configuration
from rookspring_platform import endpoints
from rookspring_platform import read_settings
from rookspring_platform.fields import read_fields

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = {
    "node-name": "frontend-1",
    "zone": "z1",
    "listen.frontend": "10.0.0.1:8149",
    "listen.ready": "10.0.0.1:8141",
    "listen.control-plane": "10.0.0.1:8144",
    "listen.registry": "10.0.0.1:8143",
    "seeds": "10.0.0.1:8144,10.0.0.2:8144",
    "platform.address": "10.9.0.1:8142",
    "bounds.retry-budget": "0.2",
}
ROUTE = {
    "name": "r",
    "host": "h",
    "path-prefix": "/a/",
    "type": "stream",
    "timeout-ms": 25000,
    "slo-ms": 6000,
    "priority": 2,
    "service": "s",
    "max-attempts": 2,
    "resumable": True,
}
SPLIT = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
MODEL = {"name": "m", "weights-mb": 65100, "load-time-s": 7.8, "adapters": 4}
ENGINE = {"slots": 64, "models": [MODEL], "weights-mb": 200000.0, "max-adapters": 8}
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "slots": 64,
    "state": "ready",
    "models": [{"name": "m", "version": 1, "adapters": ["a3@1"]}],
    "sequence": 40,
}
REPORT = (
    b'{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],'
    b'"utilization":false,"sequence":2,"queued":1,"active":12}'
)


@given("a settings file of the platform")
def settings_file(context):
    context.rows = dict(SETTINGS)


@when("its field {field} is {value}")
def field_is(context, field, value):
    context.rows[field] = value
    if value == "missing":
        del context.rows[field]
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("".join(f"{key}={text}\n" for key, text in context.rows.items()))
        file.flush()
        try:
            context.settings = read_settings(file.name)
            context.faults = ()
        except SettingsError as error:
            context.faults = error.faults


@given("a settings file that is no text")
def settings_no_text(context):
    with tempfile.NamedTemporaryFile("wb", suffix=".conf") as file:
        file.write(b"node-name=frontend-\xff\n")
        file.flush()
        try:
            context.settings = read_settings(file.name)
            context.faults = ()
        except SettingsError as error:
            context.faults = error.faults


@then("the node does not start, and the error names {named}")
def names_field(context, named):
    (fault,) = context.faults
    assert fault.startswith(f"{named}: "), fault


@then("the node has its name, and a grace period of {seconds:d} s")
def has_grace(context, seconds):
    assert context.settings.name == "frontend-1"
    assert context.settings.grace_s == seconds
    assert context.settings.seeds == ("10.0.0.1:8144", "10.0.0.2:8144")


@when("the node's process is started without a settings file")
def started_without_settings(context):
    environment = {key: value for key, value in os.environ.items() if key != "ROOKSPRING_CONFIG"}
    context.exited = subprocess.run(
        [sys.executable, "-m", "rookspring_platform"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@then("it exits with code {status:d} and names {named}")
def exits_with(context, status, named):
    assert context.exited.returncode == status, context.exited
    lines = context.exited.stdout.splitlines()
    assert len(lines) == 1 and named in lines[0], lines


@given("the example of {what}")
def example_of(context, what):
    context.what = what


def read_request(prefix):
    headers = (
        (b"X-Rookspring-Request-Id", b"9c41"),
        (b"Host", b"h"),
        (b"X-Rookspring-Model", b"m/a3"),
        (b"X-Rookspring-Token-Count", b"1460,80"),
        (b"X-Rookspring-Prefix-Hash", prefix),
    )
    return PlatformDialect().read_request(HttpRequest(b"POST", b"/a/b", headers, b"", True))


def decoded_entry(**changed):
    return endpoints.read_entry(StoredObject("i-1", 3, {**ENTRY, **changed}), 1.0)[1]


DECODED = {
    "a route": lambda: configuration._parse_route(read_fields(ROUTE)),
    "a split route": lambda: configuration._parse_route(read_fields({**ROUTE, "backends": SPLIT})),
    "an engine": lambda: configuration._parse_engine(read_fields(ENGINE)),
    "a model": lambda: configuration._parse_model(read_fields(MODEL)),
    "an entry": decoded_entry,
    "an entry with copies": lambda: decoded_entry(
        available={"in-memory": ["m"], "on-disk": ["m", "n"]}
    ),
    "a draining entry": lambda: decoded_entry(state="draining"),
    "a report": lambda: endpoints.read_report(REPORT, decoded_entry(), 2.0),
    "a busy report": lambda: endpoints.read_report(
        REPORT.replace(b"false", b"true"), decoded_entry(), 2.0
    ),
    "a malformed report": lambda: endpoints.read_report(b"{}", decoded_entry(), 2.0),
    "a request": lambda: read_request(b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    "a request with one part": lambda: read_request(b"e4402b7d:250"),
}
FIELDS = {
    "orders taken": lambda one: "unknown" if one.order_token[1] < 0 else one.order_token[1],
    "adapters": lambda one: ",".join(one.adapters),
    "in memory": lambda one: ",".join(one.in_memory),
    "on disk": lambda one: ",".join(one.on_disk) or "none",
    "loading": lambda one: bool(one.loading),
    "shared part": lambda one: f"{one.prefix:x}",
    "splits": lambda one: ",".join(f"{split.weight:g}" for split in one.splits),
    "report": lambda one: one,
}


@when("it is decoded")
def decode_it(context):
    context.decoded = DECODED[context.what]()


@then("it gives {value} for {field}")
def decoded_field(context, field, value):
    read = FIELDS.get(field, lambda one: getattr(one, field))
    found = read(context.decoded)
    found = f"{found:g}" if isinstance(found, float) and value.isdigit() else str(found)
    assert found == value, found


TERMS = (
    "fencing-token|path-prefix|kv-used|server-stamp|expect-instance|cold-left-ms|not-executed"
    "|max-conns|slo-ms|ttl-s|as-of|token-count|prefix-hash|weights-mb|x-rookspring-request"
)


@when("the product's sources are searched for the platform's terms")
def search_terms(context):
    context.found = []
    for folder in ("rookspring-core", "rookspring", "rookspring-ctl"):
        for path in (ROOT / "packages" / folder).rglob("*.py"):
            if re.search(TERMS, path.read_text(), re.IGNORECASE):
                context.found.append(path.name)


@then("none is found")
def none_found(context):
    assert not context.found, context.found


@when("Python is started at the root and imports platform")
def import_platform(context):
    code = "import platform; print(platform.__file__, platform.python_version())"
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    context.printed = ended.stdout


@then("it is the standard library's")
def standard_library(context):
    assert "rookspring" not in context.printed.split()[0].rpartition("/lib/")[2]
    assert context.printed.split()[1].startswith("3.")


@when("Python imports the platform's entry point")
def import_entry(context):
    code = "import sys, rookspring_platform.__main__; print(*sys.modules, sep='\\n')"
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    context.loaded = {line.partition(".")[0] for line in ended.stdout.split()}


@then("only libraries of requirements/relay.in are imported")
def only_declared(context):
    declared = (ROOT / "requirements" / "runtime.in").read_text().split()
    relay = (ROOT / "requirements" / "relay.in").read_text().split()
    others = {name.replace("-", "_") for name in set(declared) - set(relay)}
    others.add("opentelemetry")
    assert not others & context.loaded, others & context.loaded


def count_lines(folder):
    return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))


@then("platform/ is under a tenth of the product's code")
def folder_small(context):
    product = sum(
        count_lines(ROOT / "packages" / name / "src")
        for name in ("rookspring-core", "rookspring", "rookspring-ctl")
    )
    assert count_lines(ROOT / "platform" / "src") * 10 < product


@then("no module of a node imports the module that assembles the node")
def no_circular_imports(context):
    sources = ROOT / "packages" / "rookspring" / "src" / "rookspring"
    allowed_importers = {"node": {"cli", "local_cluster"}, "relay_node": set()}
    for path in sources.glob("*.py"):
        for module, allowed in allowed_importers.items():
            imports = rf"from \.{module} import|from \. import {module}\b"
            found = re.search(imports, path.read_text())
            assert not found or path.stem in allowed, path.name


HEADERS = {
    "id": b"X-Rookspring-Request-Id",
    "instance": b"X-Rookspring-Instance-Id",
    "not-executed": b"X-Rookspring-Not-Executed",
    "closing": b"Connection",
}


@given("an answer with status {status:d} and {headers}")
def an_answer(context, status, headers):
    rows = []
    for one in headers.split(", "):
        name, _, value = one.partition(" ")
        if name in HEADERS:
            value = {"not-executed": "1", "closing": "close"}.get(name, value)
            rows.append((HEADERS[name].lower(), value.encode()))
    context.head = HttpHead(status, tuple(rows))


@when("it is read as the answer to request r1 from endpoint i1")
def read_as_answer(context):
    context.verdict = PlatformDialect().match_answer(context.head, "r1")


@then("the verdict is {verdict}")
def verdict_is(context, verdict):
    got = context.verdict
    names = ("matches", "not_run")
    found = [name.replace("_", " ") for name in names if getattr(got, name)]
    assert (", ".join(found) or "foreign") == verdict, got


@given("the headers of a {status:d} with {lines}")
def an_answer_with_lines(context, status, lines):
    rows = (line.partition(":") for line in lines.split("; "))
    headers = tuple((name.encode(), value.strip().encode()) for name, _, value in rows)
    context.head = HttpHead(status, headers)


@then("its notice is: {notice}")
def notice_is(context, notice):
    got = PlatformDialect().read_notice(context.head)
    flags = {"leaving": got.leaving, "misdirected": got.misdirected, "turned away": got.turned_away}
    found = [f"process {got.process_name}"] if got.process_name and not got.is_empty() else []
    found += [name for name, true in flags.items() if true]
    found += [] if got.backoff_s is None else [f"back-off {got.backoff_s:g} s"]
    found += [] if got.rate is None else [f"rate {got.rate:g}"]
    found += [f"malformed {got.malformed.strip()}"] if got.malformed else []
    assert (", ".join(found) or "nothing") == notice, got


@given("an endpoint with start time 5, known to {known}")
def known_endpoint(context, known):
    context.known = RelayHarness().report("e1", started_ms=5)._replace(leaving=known == "leave")


@when("its report has the state {state} and the start time {start:d}")
def report_has_state(context, state, start):
    raw = {
        "models": [],
        "utilization": False,
        "sequence": 0,
        "queued": 0,
        "active": 0,
        "born": start,
        "state": int(state) if state.isdigit() else state,
    }
    context.reported = PlatformDialect().read_report(json.dumps(raw).encode(), context.known, 1.0)


@then("the endpoint stays")
def endpoint_stays(context):
    assert context.reported is not None and not context.reported.leaving, context.reported


@then("the endpoint leaves")
def endpoint_leaves(context):
    assert context.reported is not None and context.reported.leaving, context.reported


SET_BY_CALLER = b"set-by-the-caller"


@given("a caller's request that carries {header} twice, in two letter cases")
def a_request_with_doubled_header(context, header):
    names = (header.upper().encode(), header.lower().encode())
    context.headers = [(name, SET_BY_CALLER) for name in names]


@given("a caller's request that carries {header} once")
def a_request_with_header(context, header):
    context.headers = [(header.encode(), SET_BY_CALLER)]


@when("its headers for an endpoint are built")
def headers_built(context):
    fields = ForwardFields(1.0, "i1", 0, "7")
    context.built = PlatformDialect().forward_headers(context.headers, fields)


def values_of(context, header):
    return [value for name, value in context.built if name.lower() == header.lower().encode()]


@then("{header} is sent {times:d} times, and never with the caller's value")
def replaced(context, header, times):
    values = values_of(context, header)
    assert len(values) == times, values
    assert SET_BY_CALLER not in values, values


@then("{header} is sent with the caller's value")
def passed_on(context, header):
    assert values_of(context, header) == [SET_BY_CALLER], context.built
