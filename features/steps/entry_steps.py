import asyncio
import json
import time

import orjson
from aiohttp import web
from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from relay_fixture import RelayFixture
from relay_fixture import request

from rookspring.platform import StoredObject
from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_fakes import ModelServer
from rookspring_fakes import serve
from rookspring_platform import ObjectStore
from rookspring_platform import store as store_module
from rookspring_platform.endpoints import read_entry
from rookspring_platform.endpoints import read_report

VALID = {
    "service": "llm",
    "address": "10.1.64.1:8122",
    "zone": "z1",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold-left-ms": 0,
    "sequence": 4,
    "models": [{"name": "m", "version": 1, "adapters": ["a3@1"]}],
    "available": {"in-memory": ["m"], "on-disk": ["m"]},
    "born": 1_700_000_000_000,
}
REPORT = {
    "stage": "both",
    "models": VALID["models"],
    "utilization": False,
    "sequence": 2,
    "queued": 1,
    "active": 12,
    "kv-used": 41000,
    "kv-total": 90000,
    "handles": 0,
    "pending": ["m/a4@1"],
    "born": 1_700_000_000_000,
}
MALFORMED = {
    "stranger": None,
    "half": {"service": "svc"},
    "odd name/with?signs": {"address": None, "service": None},
    "list": [1, 2, 3],
    "retired": VALID | {"service": "svc", "state": "retired"},
}
DRAWS = 400
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20)
)
JSON_VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)


def mutate(valid):
    """Generate values that differ from a valid one in some fields, or entirely."""
    keys = strategies.sampled_from(sorted(valid))
    changes = strategies.dictionaries(keys, JSON_VALUES, max_size=3)
    removed_keys = strategies.sets(keys, max_size=2)
    near = strategies.builds(
        lambda changed, removed: {k: v for k, v in (valid | changed).items() if k not in removed},
        changes,
        removed_keys,
    )
    return near | JSON_VALUES


@given("an entry of a model server")
def an_entry(context):
    context.entry = dict(VALID)


@when("its field {field} is the JSON value {value}")
def field_is(context, field, value):
    if field == "itself":
        context.entry = json.loads(value)
    elif value == "missing":
        del context.entry[field]
    else:
        context.entry[field] = json.loads(value)


@then("it is rejected, and the error names {name}")
def is_rejected(context, name):
    try:
        read = read_entry(StoredObject("i1", 1, context.entry), 0.0)
    except ValueError as error:
        assert name in str(error), error
    else:
        raise AssertionError(read)


@then('it is accepted with the version "{version}"')
@then('it is accepted with the version ""')
def is_accepted(context, version=""):
    row, _ = read_entry(StoredObject("i1", 1, context.entry), 0.0)
    assert row.version == version, row


def check_entry(raw):
    try:
        row, report = read_entry(StoredObject("i1", 1, raw), 0.0)
    except ValueError as error:
        assert str(error)
        return
    assert isinstance(row, BoxListed) and isinstance(report, EndpointReported)
    assert row.service and row.address.count(":") == 1 and row.state in ("live", "leaving")
    assert type(report.slots) is int and report.slots > 0 and report.started_ms >= 0
    for names in (report.adapters, report.in_memory, report.on_disk):
        assert all(type(one) is str for one in names), names


def draw(strategy, check, count):
    options = {"max_examples": count, "deadline": None, "derandomize": True, "database": None}
    suppressed = [HealthCheck.too_slow, HealthCheck.filter_too_much]
    hypothesis_settings(**options, suppress_health_check=suppressed)(
        hypothesis_given(strategy)(check)
    )()


@then("{entries:d} random entries and {reports:d} random reports are decoded or rejected")
def random_values(context, entries, reports):
    draw(mutate(VALID), check_entry, entries)
    _, known = read_entry(StoredObject("i1", 1, VALID), 0.0)

    def check_report(raw):
        report = read_report(json.dumps(raw).encode(), known, 1.0)
        assert report is None or (report.order_token[1] >= 0 and report.running >= 0)

    draw(mutate(REPORT), check_report, reports)


@then("{bodies:d} random response bodies of the store are decoded or rejected")
def random_bodies(context, bodies):
    row = {"metadata": {"name": "i1", "revision": 4}, "spec": VALID}
    whole = orjson.dumps({"items": [row, row], "as-of": 9})

    def check_body(at, put):
        raw = whole[:at] + put + whole[at + len(put) :]
        try:
            body = store_module.decode_body(raw)
        except ValueError:
            return
        if isinstance(body, dict) and isinstance(body.get("items"), list):
            store_module._decode_objects("servers", body["items"], 0)

    places = strategies.integers(0, len(whole) - 1)
    pairs = strategies.tuples(places, strategies.binary(min_size=1, max_size=6))
    draw(pairs, lambda pair: check_body(*pair), bodies)


@then("a list with invalid bytes in one row still yields the other rows")
def invalid_bytes(context):
    good = {"metadata": {"name": "i1", "revision": 4}, "spec": VALID}
    odd = good | {"metadata": {"name": "i2", "revision": 5}, "spec": "ODD"}
    whole = orjson.dumps({"items": [odd, good], "as-of": 9})
    for bytes_ in (b'"\xff\xfe"', b"NaN", b'"\x01"', b"1e999"):
        body = store_module.decode_body(whole.replace(b'"ODD"', bytes_))
        rows = store_module._decode_objects("servers", body["items"], 0)
        assert [row.name for row in rows] == ["i2", "i1"], rows
        read_entry(rows[1], 0.0)


@then(
    "{count:d} entries with {models:d} models and {adapters:d} adapters are read in {seconds:g} s"
)
def read_in(context, count, models, adapters, seconds):
    held = [
        {"name": f"m{one}", "version": 1, "adapters": [f"a{two}@1" for two in range(adapters)]}
        for one in range(models)
    ]
    stored = StoredObject("i1", 1, VALID | {"models": held})
    began = time.process_time()
    for _ in range(count):
        read_entry(stored, 0.0)
    took_s = time.process_time() - began
    assert took_s <= seconds, took_s


async def write_malformed(stage):
    for name, spec in MALFORMED.items():
        await stage.store.write("servers", name, spec)


@given("two endpoints, and malformed entries that are written {when}")
def two_endpoints(context, when):
    async def start():
        stage = RelayFixture([[], []])
        if when == "before the node starts":
            await write_malformed(stage)
        await stage.start()
        if when == "while the node watches":
            await write_malformed(stage)
        await asyncio.sleep(0.3)
        return stage

    context.relay = context.loop.run(start())


@when("a third endpoint starts")
def third_starts(context):
    async def start():
        stage = context.relay
        third = ModelServer("i2", [])
        await third.start()
        stage.servers.append(third)
        await stage.store.write("servers", third.name, third.entry("svc"))
        await stage.until(lambda: "i2" in stage.node.context.state.endpoints)

    context.loop.run(start())


@then("all three endpoints serve requests, and no other endpoint exists")
def all_serve(context):
    async def ask():
        stage = context.relay
        for first in range(0, 60, 12):
            asked = [stage.ask(request("safe", first + number)) for number in range(12)]
            answers = await asyncio.gather(*asked)
            assert all(one.status == 200 for one in answers), [one.status for one in answers]

    context.loop.run(ask())
    stage = context.relay
    assert set(stage.node.context.state.endpoints) == {"i0", "i1", "i2"}
    assert all(server.runs for server in stage.servers), [one.runs for one in stage.servers]


@then("each malformed entry is logged once, and counted")
def logged_once(context):
    stage = context.relay
    lines = [line for line in stage.log_lines if "event=endpoint_malformed" in line]
    assert len(lines) == len(MALFORMED), lines
    text = stage.node.context.metrics.render()[0].decode()
    assert f'rookspring_entries_malformed{{node="n1"}} {len(MALFORMED)}' in text, text


@when("the first endpoint's entry is overwritten with a malformed one {and_}")
def overwritten(context, and_):
    async def write():
        stage = context.relay
        await stage.store.write("servers", "i0", MALFORMED["half"])
        if and_ != "permanently":
            await asyncio.sleep(0.5)
            await stage.store.write("servers", "i0", stage.servers[0].entry("svc"))

    context.relay_began = time.monotonic()
    context.loop.run(write())


@then("its endpoint is still listed, and {after}")
def is_listed_and(context, after):
    stage = context.relay
    state = stage.node.context.state
    assert "i0" in state.endpoints and not state.endpoints["i0"].gone

    async def later():
        await asyncio.sleep(4.0 - (time.monotonic() - context.relay_began))

    context.loop.run(later())
    view = state.endpoints.get("i0")
    listed = view is not None and not view.gone
    assert listed == (after == "it is listed 4 s later"), after


UNUSUAL_NAMES = ("a b", "c&d=e", "f/g", "h?i", "j%k", "ü")


class PagedStore:
    """A store that lists objects in pages; each page continues after a name.

    Each page also has a malformed row.
    """

    def __init__(self, page):
        self.page = page
        rows = [
            {"metadata": {"name": name, "revision": 3}, "spec": VALID} for name in UNUSUAL_NAMES
        ]
        rows += [{"metadata": {"name": f"z{n}", "revision": 3}, "spec": VALID} for n in range(4)]
        self.rows = rows
        self.malformed = [{"metadata": {}}, {"spec": 4}, 7, None]

    def app(self):
        app = web.Application()
        app.router.add_get("/objects/servers", self.list)
        return app

    async def list(self, request):
        names = [row["metadata"]["name"] for row in self.rows]
        first = names.index(request.query["after"]) + 1 if "after" in request.query else 0
        found = self.rows[first : first + self.page]
        more = first + self.page < len(self.rows)
        items = [self.malformed[first % len(self.malformed)], *found]
        return web.json_response({"items": items, "truncated": more, "as-of": 9})


@given("a store that lists {page:d} rows a page, with unusual names and malformed rows")
def paged_store(context, page):
    context.store = PagedStore(page)


@when("the endpoints are listed")
def endpoints_listed(context):
    async def listing():
        served = await serve(context.store.app())
        client = ObjectStore(f"objects://{served.address}", lambda *a: None)
        try:
            return await asyncio.wait_for(client.list_kind("servers"), 10.0)
        finally:
            await client.close()
            await served.close()

    context.listing = context.loop.run(listing()).unwrap()


@then("each valid row is returned once")
def returned_once(context):
    names = [row.name for row in context.listing.items]
    assert names == [row["metadata"]["name"] for row in context.store.rows], names
