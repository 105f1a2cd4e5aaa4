"""Calls whose answers are cut, by name: each makes it and returns whether it was answered."""

import typing as t

import orjson
from answer_shapes import BODY
from returns.result import Success

from rookspring import relay_orders
from rookspring.endpoints import GenerationRequest
from rookspring.endpoints import HttpEndpoint
from rookspring.exceptions import EndpointError
from rookspring.http_platform import HttpPlatform
from rookspring.platform import CallRateLimiter
from rookspring_core.effects import ReadReport
from rookspring_core.effects import SendOrder
from rookspring_ctl import client as operator_client
from rookspring_ctl.client import ApiServers
from rookspring_ctl.exceptions import CtlError
from rookspring_platform import ObjectStore

CALL_S = 2.0
CALLS_PER_S = 1e6


class Call(t.NamedTuple):
    """A call whose answer is cut.

    :param make: makes it, and returns whether it counts as answered.
    """

    status: int
    value: bytes
    make: t.Callable[[t.Any], t.Awaitable[bool]]


CALLS: dict[str, Call] = {}


def call(name, value, status=200):
    """Register a call by its name in the rows."""

    def register(make):
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        CALLS[name] = Call(status, raw, make)
        return make

    return register


REPORT = {
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "utilization": False,
    "sequence": 7,
    "queued": 0,
    "active": 0,
    "kv-used": 0,
    "kv-total": 10,
}
OBJECT = {"metadata": {"name": "a", "revision": 3}, "spec": {"x": 1}, "status": None}
OWN_REPORT = {
    "incarnation": "i",
    "age_s": 0.0,
    "slots": 1,
    "running": 0,
    "queued": 0,
    "token_rate": 1.0,
    "stream_rate": 1.0,
    "memory_gb": 1.0,
}
GENERATED = b'{"offset":0,"tokens":["a"]}\n{"end":1}\n'


def list_lines(context, event):
    return [line for line in context.relay.log_lines if f"event={event} " in line]


@call("an order", {}, 202)
async def make_order(context):
    known = len(list_lines(context, "order_answered"))
    effect = SendOrder("i0", context.raw.address, (1, 0), "load", "m")
    relay_orders.send_order(context.relay.node.context, effect)
    await context.relay.until(lambda: len(list_lines(context, "order_answered")) > known)
    return "taken=True" in list_lines(context, "order_answered")[-1]


@call("a report", REPORT)
async def make_report(context):
    node = context.relay.node.context
    view = node.state.endpoints["i0"]
    view.address = context.raw.address
    view.report = view.report._replace(order_token=(0, 0))
    await relay_orders._read_and_submit(node, ReadReport("i0", 0.0))
    return view.report.order_token == (0, REPORT["sequence"])


def open_store(context):
    store = ObjectStore(f"objects://{context.raw.address}", lambda method, end: None)
    store._budget = CallRateLimiter(CALLS_PER_S, CALLS_PER_S)
    return store


@call("a list of the store", {"items": [OBJECT], "truncated": False, "as-of": 3})
async def make_list(context):
    found = await open_store(context).list_kind("servers")
    return isinstance(found, Success) and len(found.unwrap().items) == 1


@call("a watch of the store", {"events": [{"object": OBJECT, "deleted": False}], "as-of": 3})
async def make_watch(context):
    found = await open_store(context).watch("servers", 1, 1.0)
    return isinstance(found, Success) and len(found.unwrap().items) == 1


@call("a get of the store", OBJECT)
async def make_get(context):
    found = await open_store(context).get("servers", "a")
    return isinstance(found, Success) and found.unwrap().version == 3


@call("a put of the store", OBJECT)
async def make_put(context):
    return isinstance(await open_store(context).put("servers", "a", {"x": 1}, 2), Success)


async def call_service(context):
    """Return the answer to a service call of the product's own, or None if it failed."""
    client = HttpEndpoint()
    try:
        return await client.call(context.raw.address, "POST", "x", b"", {}, False, CALL_S)
    except EndpointError:
        return None
    finally:
        await client.close()


@call("the product's own service call", BODY)
async def make_service_call(context):
    answer = await call_service(context)
    return answer is not None and answer.body == BODY


@call("the product's own order", {"accepted": True, "reason": "done"})
async def make_own_order(context):
    order = SendOrder("i0", context.raw.address, (1, 0), "load", "m")
    accepted, _ = await HttpEndpoint().order(order, "i")
    assert accepted in (True, None)
    return accepted is True


@call("the product's own report", OWN_REPORT)
async def make_own_report(context):
    client = HttpEndpoint()
    try:
        return await client.report("i0", context.raw.address, 0.0) is not None
    finally:
        await client.close()


@call("the product's own generation", GENERATED)
async def make_generation(context):
    client = HttpEndpoint()
    asked = GenerationRequest("s", "m", "", "p", 1, 0)
    chunks = []
    try:
        async for chunk in client.generate(context.raw.address, asked, ""):
            chunks.append(chunk)
    except EndpointError:
        pass
    finally:
        await client.close()
    return any(chunk.total >= 0 for chunk in chunks)


@call(
    "the product's own platform list",
    {"version": 3, "items": [{"name": "a", "version": 1, "value": 1}]},
)
async def make_platform_list(context):
    return await ask_platform(context, lambda client: client.list_kind("k"))


async def ask_platform(context, ask):
    """Return whether a call of the product's own client of a platform succeeds."""
    client = HttpPlatform(f"http://{context.raw.address}", lambda method, end: None)
    client._caller._limiter = CallRateLimiter(CALLS_PER_S, CALLS_PER_S)
    try:
        return isinstance(await ask(client), Success)
    finally:
        await client.close()


@call("the product's own platform get", {"name": "a", "version": 1, "value": 1})
async def make_platform_get(context):
    return await ask_platform(context, lambda client: client.get("k", "a"))


@call("the product's own platform put", {"version": 12})
async def make_platform_put(context):
    return await ask_platform(context, lambda client: client.put("k", "a", 1, 11))


@call("the product's own platform watch", {"version": 12, "changes": []})
async def make_platform_watch(context):
    return await ask_platform(context, lambda client: client.watch("k", 11, CALL_S))


@call("the product's own box list", {"boxes": []})
async def make_box_list(context):
    return await ask_platform(context, lambda client: client.boxes())


@call("the product's own cache call", {"next": 12, "prefixes": [34]})
async def make_cache_call(context):
    client = HttpEndpoint()
    try:
        found = await client.cache_events(context.raw.address, 5)
    finally:
        await client.close()
    assert found in ((5, ()), (12, (34,))), found
    return found[0] == 12


@call("the product's own operator call", {"items": [12]})
async def make_operator_call(context):
    servers = ApiServers((f"http://{context.raw.address}",), "key", CALL_S)
    try:
        return await operator_client._call(servers, "GET", "x", None, None) == {"items": [12]}
    except CtlError:
        return False
