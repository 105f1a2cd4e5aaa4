import asyncio
import time

import orjson
from aiohttp import web
from behave import given
from behave import then
from behave import when
from entry_steps import VALID
from loguru import logger
from returns.result import Failure
from returns.result import Success

from rookspring.exceptions import PlatformUnreachable
from rookspring.platform import MalformedValue
from rookspring_fakes import serve
from rookspring_platform import ObjectStore

METADATA = b'{"name":"odd","revision":5}'
SOUND = b'{"metadata":{"name":"%b","revision":4},"spec":{"sound":true}}'
# Longest detail and name in a log line, in characters.
LINE_MAX = 700


def nest(levels):
    return b"[" * levels + b"]" * levels


def with_spec(spec, status=b"null"):
    return b'{"metadata":%b,"spec":%b,"status":%b}' % (METADATA, spec, status)


def with_x(raw):
    return with_spec(b'{"w":1,"x":%b}' % raw)


def with_metadata(metadata):
    return b'{"metadata":%b,"spec":{}}' % metadata


def with_name(raw):
    return with_metadata(b'{"name":%b,"revision":5}' % raw)


def with_revision(raw):
    return with_metadata(b'{"name":"odd","revision":%b}' % raw)


OBJECTS = {
    "2,000 levels": with_x(nest(2000)),
    "1,000,000 levels": with_spec(nest(1_000_000)),
    "2,000 objects": with_spec(b'{"a":' * 2000 + b"1" + b"}" * 2000),
    "5,000 digits": with_x(b"1" * 5000),
    "a fraction of 1e400": with_x(b"1.5e400"),
    "no number": with_x(b"NaN"),
    "half a pair": with_x(rb'"a\ud800"'),
    "a word": with_x(b"word"),
    "a missing value": with_x(b""),
    "65 bits": with_x(b"1" + b"0" * 24),
    "bytes that are no text": with_x(b'"a\xff\xfe"'),
    "a control character": with_x(b'"a\x01"'),
    "brackets within a text": with_x(rb'"[[{\"\\", "y": "]}' + b'\xff"'),
    "a field twice": with_x(b'1, "x": 2'),
    "deep status": with_spec(b'{"x":1}', nest(2000)),
    "a deep name": with_name(nest(2000)),
    "a name of 400 digits": with_name(b"1" * 400),
    "an empty name": with_name(b'""'),
    "a name with CRLF": with_name(rb'"odd\r\n"'),
    "a long name": with_name(b'"%b"' % (b"n" * 100_000)),
    "half a pair as name": with_name(rb'"odd\ud800"'),
    "no name": with_metadata(b'{"revision":5}'),
    "a revision of text": with_revision(b'"x"'),
    "a revision of digits": with_revision(b'"5"'),
    "a negative revision": with_revision(b"-5"),
    "a revision of 400 digits": with_revision(b"1" * 400),
    "a revision of 1e400": with_revision(b"1e400"),
    "a true revision": with_revision(b"true"),
    "no revision": with_metadata(b'{"name":"odd"}'),
    "metadata of a list": with_metadata(b"[1]"),
    "an object of a list": b"[1, 2]",
    "a number alone": b"7",
}


class Bodies:
    """A store that answers each call with a body that is given for it.

    :ivar bodies: ``list``, ``watch``, ``get`` and ``put``.
    """

    def __init__(self, **bodies):
        self.bodies = bodies

    def app(self):
        app = web.Application()
        app.router.add_get("/objects/servers", self.list)
        app.router.add_get("/objects/servers/odd", lambda request: self.respond("get"))
        app.router.add_put("/objects/servers/odd", lambda request: self.respond("put"))
        return app

    async def list(self, request):
        return await self.respond("watch" if "watch" in request.query else "list")

    async def respond(self, call):
        return web.Response(body=self.bodies[call], content_type="application/json")


async def call_all(store):
    """Make each call once, the list and the watch twice; return the second answers."""
    served = await serve(store.app())
    client = ObjectStore(f"objects://{served.address}", lambda *a: None)
    try:
        async with asyncio.timeout(20.0):
            for _ in range(2):
                answers = {
                    "list": await client.list_kind("servers"),
                    "watch": await client.watch("servers", 3, 1.0),
                }
            answers["get"] = await client.get("servers", "odd")
            answers["put"] = await client.put("servers", "odd", {}, None)
            return answers
    finally:
        await client.close()
        await served.close()


def run_logged(context, work):
    context.lines = []
    sink = logger.add(context.lines.append, level="INFO", format="{message}")
    try:
        return asyncio.run(work)
    finally:
        logger.remove(sink)


@when("the odd object {name} is read in a list, in a watch and alone")
def odd_read(context, name):
    odd = OBJECTS[name]
    items = b",".join([SOUND % b"s1", odd, SOUND % b"s2"])
    events = b",".join(b'{"deleted":false,"object":%b}' % one for one in items_of(odd))
    store = Bodies(
        list=b'{"items":[%b],"truncated":false,"as-of":9}' % items,
        watch=b'{"events":[%b],"as-of":9}' % events,
        get=odd,
        put=odd,
    )
    context.answers = run_logged(context, call_all(store))


def items_of(odd):
    return SOUND % b"s1", odd, SOUND % b"s2"


@then("the sound objects of the list and of the watch are read")
def sound_read(context):
    for call in ("list", "watch"):
        found = context.answers[call].unwrap()
        assert found.version == 9, found.version
        rows = {row.name: row for row in found.items}
        assert rows["s1"].value == rows["s2"].value == {"sound": True}, rows
        assert rows["s1"].version == 4


def odd_rows(context):
    rows = [
        row
        for call in ("list", "watch")
        for row in context.answers[call].unwrap().items
        if row.name not in ("s1", "s2")
    ]
    if isinstance(context.answers["get"], Success):
        rows.append(context.answers["get"].unwrap())
    return rows


@then("the odd object has a value that is malformed at {path}")
def value_malformed(context, path):
    rows = odd_rows(context)
    assert len(rows) == 3 and all(row.name == "odd" for row in rows), len(rows)
    for row in rows:
        assert isinstance(row.value, MalformedValue), row
        assert row.value.detail.startswith(path), row.value.detail
        assert len(row.value.detail) <= 250, len(row.value.detail)


@then("the odd object has a value")
@then("the odd object has a value with a {kind}")
def has_value(context, kind=""):
    rows = odd_rows(context)
    assert len(rows) == 3 and all(row.name == "odd" for row in rows), rows
    for row in rows:
        assert isinstance(row.value, dict) and row.version == 5, row
        if kind == "float":
            assert row.value["x"] == 1e24 and type(row.value["x"]) is float, row
        if kind == "replaced character":
            assert row.value["x"].startswith("a\ufffd"), row


@then("the odd object is left out, and logged once with {field}")
def left_out(context, field):
    assert not odd_rows(context), odd_rows(context)
    assert isinstance(context.answers["get"], Failure)
    lines = [line for line in context.lines if "event=object_malformed " in line]
    assert len(lines) == 1 and field in lines[0], [line[:300] for line in lines]
    assert len(lines[0]) < LINE_MAX, len(lines[0])


@when("the body {body} answers a list, a watch, a read and a write")
def body_answers(context, body):
    raw = body.encode()
    store = Bodies(list=raw, watch=raw, get=raw, put=raw)
    context.answers = run_logged(context, call_all(store))


@then("each call fails as if there were no answer")
def each_fails(context):
    for call, answer in context.answers.items():
        assert isinstance(answer, Failure), (call, answer)
        assert isinstance(answer.failure(), PlatformUnreachable), (call, answer)


@then("the write has the revision {revision:d}")
def write_has(context, revision):
    assert context.answers["put"] == Success(revision), context.answers["put"]


class Pages(Bodies):
    """A store that lists three pages, of which the second has odd objects only."""

    def __init__(self, odd):
        super().__init__()
        first = [SOUND % b"a1", SOUND % b"a2"]
        second = [odd % b"b1", odd % b"b2"] if odd else []
        self.pages = {"": first, "a2": second, "b2": [SOUND % b"c1"]}

    async def list(self, request):
        after = request.query.get("after", "").rstrip("\x01")
        items = b",".join(self.pages[after])
        more = b"false" if after == "b2" else b"true"
        body = b'{"items":[%b],"truncated":%b,"as-of":9}' % (items, more)
        return web.Response(body=body, content_type="application/json")


PAGES = {
    "values nested 2,000 deep": b'{"metadata":{"name":"%b","revision":4},"spec":@}',
    "names with a control character": rb'{"metadata":{"name":"%b\u0001","revision":4},"spec":1}',
    "numbers of 5,000 digits": b'{"metadata":{"name":"%b","revision":4},"spec":#}',
    "objects without names": b'{"metadata":{"%b":1}}',
    "an empty list": b"",
}


@given("a store whose second page has only {objects}")
def paged(context, objects):
    odd = PAGES[objects].replace(b"@", nest(2000)).replace(b"#", b"1" * 5000)
    context.store = Pages(odd)


async def list_all(store):
    served = await serve(store.app())
    client = ObjectStore(f"objects://{served.address}", lambda *a: None)
    try:
        async with asyncio.timeout(20.0):
            return await client.list_kind("servers")
    finally:
        await client.close()
        await served.close()


@when("its objects are listed")
def objects_listed(context):
    context.listing = run_logged(context, list_all(context.store))


@then("the sound objects of all pages are returned once")
def sound_of_all_pages(context):
    rows = context.listing.unwrap().items
    names = [row.name for row in rows if row.value == {"sound": True}]
    assert names == ["a1", "a2", "c1"], names


@then("the call has failed")
def call_failed(context):
    assert isinstance(context.listing, Failure), context.listing


HELD = [
    {"name": f"m{one}", "version": 1, "adapters": [f"a{two}@1" for two in range(8)]}
    for one in range(3)
]
LARGE = {
    "the largest deployment": orjson.dumps(VALID | {"models": HELD}),
    "values nested 40 deep": nest(40),
    "numbers of 400 digits": b"1" * 400,
    "words": b'{"x":word}',
    "500,000 levels": nest(500_000),
    "a text without an end": b'"' + b"a" * 1_000_000,
    "500,000 quoted quotes": b'"' + b'\\"' * 500_000,
}


@then("a list of {count:d} objects of {kind} is decoded in {seconds:g} s")
def decoded_in(context, count, kind, seconds):
    row = b'{"metadata":{"name":"n%d","revision":4},"spec":%b}'
    items = b",".join(row % (number, LARGE[kind]) for number in range(count))
    store = Bodies(list=b'{"items":[%b],"truncated":false,"as-of":9}' % items)
    began = time.process_time()
    answer = run_logged(context, list_all(store))
    context.took_s = time.process_time() - began
    assert context.took_s <= seconds, context.took_s
    if "text" not in kind and "quotes" not in kind:
        assert len(answer.unwrap().items) == count
