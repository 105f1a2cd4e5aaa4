"""The HTTP API for operators: resources, status, explanations and drain.

Resources are written as objects of the platform, on the condition of a version if the request
names one. The lease holder accepts or rejects them later, usually within seconds; each
resource's ``status`` shows the result.
"""

import typing as t

import orjson
from returns.result import Failure
from sanic import Blueprint
from sanic import Request
from sanic.response import HTTPResponse
from sanic.response import raw

from rookspring_core import Resource
from rookspring_core import ResourceInvalid
from rookspring_core import check_resource
from rookspring_core import control_jobs
from rookspring_core import requests as core_requests
from rookspring_core.organisations import digest_of
from rookspring_core.resources import KINDS

from . import clock
from .callers import json_answer
from .digits import parse_digits
from .exceptions import CallerError
from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformRefused
from .exceptions import PlatformTooOld
from .node_context import NodeContext
from .open_calls import counted
from .platform import StoredObject

_STATUS: dict[type[PlatformError], int] = {
    PlatformConflict: 409,
    PlatformMissing: 404,
    PlatformTooOld: 410,
    PlatformRefused: 429,
}


def authenticate_operator(node: NodeContext, request: Request) -> None:
    """Check that the request carries an operator's key, from the settings or of a declared team.

    :raises CallerError: 401 if it does not.
    """
    bearer = request.headers.get("authorization", "")
    scheme, _, key = bearer.partition(" ")
    digest = digest_of(key.encode(errors="surrogateescape"))
    if scheme.lower() == "bearer" and digest in node.settings.operator_key_sha256:
        return
    catalogue = node.state.catalogue
    team = catalogue.team_by_digest.get(digest, "")
    if scheme.lower() != "bearer" or not team or not catalogue.teams[team].operator:
        raise CallerError(401, "Authorization", "Bearer and an operator's key")


def _to_caller_error(error: PlatformError) -> CallerError:
    status = _STATUS.get(type(error), 503)
    # An unanswered write may have taken effect; a read has no effect.
    outcome = "unknown" if status == 503 else "not_run"
    return CallerError(status, "platform", str(error), outcome)


def _check_kind(kind: str) -> str:
    if kind not in KINDS:
        raise CallerError(404, "kind", f"one of {', '.join(KINDS)}, not {kind!r}")
    return kind


def build_status(node: NodeContext, kind: str, name: str, version: int) -> dict[str, t.Any]:
    """Build the ``status`` of a resource.

    :param version: the version that the status is for; another one may be in force.
    """
    catalogue = node.state.catalogue
    key = f"{kind}.{name}"
    accepted = catalogue.accepted.get(key, 0)
    refused_version, reason = catalogue.rejected.get(key, (0, ""))
    status: dict[str, t.Any] = {
        "accepted": accepted == version,
        "accepted_version": accepted,
        "reason": reason if refused_version == version else "",
        "revision": catalogue.revision,
        "in_force_on": _count_in_force(node),
        "nodes": node.state.membership.size() + 1,
    }
    if kind == "Model":
        status["resident_on"] = sorted(control_jobs.resident_models(node.state).get(name, []))
    if kind == "Adapter":
        status["resident_on"] = sorted(
            view.name
            for view in node.state.endpoints.values()
            if view.report is not None and name in view.report.adapters
        )
    return status


def _count_in_force(node: NodeContext) -> int:
    revision = node.state.catalogue.revision
    peers = node.state.membership.peers.values()
    return 1 + sum(1 for peer in peers if peer.heartbeat.revision >= revision)


def _declares(stored: StoredObject, kind: str) -> bool:
    """Return whether an object declares a resource of a kind; other writers may write any value."""
    value = stored.value
    return isinstance(value, dict) and value.get("kind") == kind and {"name", "spec"} <= set(value)


def _document(node: NodeContext, stored: StoredObject) -> dict[str, t.Any]:
    value = stored.value
    return {
        "kind": value["kind"],
        "name": value["name"],
        "spec": value["spec"],
        "version": stored.version,
        "status": build_status(node, value["kind"], value["name"], stored.version),
    }


def make_blueprint(node: NodeContext) -> Blueprint:
    """Build the routes for operators."""
    routes = Blueprint(f"operators-{node.settings.name}", url_prefix="/api/v1")

    @routes.get("/resources/<kind:str>")
    async def list_kind(request: Request, kind: str) -> HTTPResponse:
        authenticate_operator(node, request)
        _check_kind(kind)
        if "watch" in request.args:
            return await _watch(node, request, kind)
        answer = await node.platform.list_kind("resource")
        if isinstance(answer, Failure):
            raise _to_caller_error(answer.failure())
        listing = answer.unwrap()
        items = [_document(node, one) for one in listing.items if _declares(one, kind)]
        return json_answer({"version": listing.version, "items": items})

    @routes.get("/resources/<kind:str>/<name:str>")
    async def get_one(request: Request, kind: str, name: str) -> HTTPResponse:
        authenticate_operator(node, request)
        answer = await node.platform.get("resource", f"{_check_kind(kind)}.{name}")
        if isinstance(answer, Failure):
            raise _to_caller_error(answer.failure())
        stored = answer.unwrap()
        if not _declares(stored, kind):
            raise CallerError(422, "resource", "the stored object declares none of this kind")
        return json_answer(_document(node, stored))

    @routes.put("/resources/<kind:str>/<name:str>")
    @counted(node)
    async def put_one(request: Request, kind: str, name: str) -> HTTPResponse:
        authenticate_operator(node, request)
        resource = _read_resource(request, _check_kind(kind), name)
        expected = _read_version(request)
        value = {"kind": kind, "name": name, "spec": resource.spec}
        answer = await node.platform.put("resource", resource.key, value, expected)
        if isinstance(answer, Failure):
            raise _to_caller_error(answer.failure())
        stored = StoredObject(resource.key, answer.unwrap(), value)
        return json_answer(_document(node, stored))

    @routes.delete("/resources/<kind:str>/<name:str>")
    @counted(node)
    async def delete_one(request: Request, kind: str, name: str) -> HTTPResponse:
        authenticate_operator(node, request)
        _check_kind(kind)
        _check_unused(node, kind, name)
        answer = await node.platform.delete("resource", f"{kind}.{name}", _read_version(request))
        if isinstance(answer, Failure):
            raise _to_caller_error(answer.failure())
        return json_answer({"deleted": f"{kind}.{name}", "version": answer.unwrap()})

    @routes.get("/endpoints")
    async def list_endpoints(request: Request) -> HTTPResponse:
        authenticate_operator(node, request)
        return json_answer({"items": _list_endpoint_rows(node)})

    @routes.get("/status")
    async def show_status(request: Request) -> HTTPResponse:
        authenticate_operator(node, request)
        return json_answer(build_node_status(node))

    @routes.get("/explain/<subject:str>")
    async def explain(request: Request, subject: str) -> HTTPResponse:
        authenticate_operator(node, request)
        now = clock.now()
        rows = [
            {
                "ago_s": round(now - one.at, 3),
                "subject": one.subject,
                "what": one.what,
                "why": one.why,
            }
            for one in node.state.decisions
            if subject in one.subject or subject in one.what
        ]
        return json_answer({"node": node.settings.name, "decisions": rows[-100:]})

    @routes.post("/drain")
    async def drain(request: Request) -> HTTPResponse:
        authenticate_operator(node, request)
        node.drain()
        return json_answer({"draining": node.settings.name}, status=202)

    return routes


async def _watch(node: NodeContext, request: Request, kind: str) -> HTTPResponse:
    """Answer with a kind's changes after a version, and the version to continue from.

    Waits up to ``timeout_s`` seconds for the first change.
    """
    since = parse_digits(request.args.get("from", "0"))
    try:
        timeout_s = min(30.0, max(0.0, float(request.args.get("timeout_s", "10"))))
    except ValueError:
        timeout_s = None
    if since is None or timeout_s is None:
        raise CallerError(400, "from, timeout_s", "numbers were expected")
    answer = await node.platform.watch("resource", since, timeout_s)
    if isinstance(answer, Failure):
        raise _to_caller_error(answer.failure())
    changes = answer.unwrap()
    items: list[dict[str, t.Any]] = []
    for one in changes.items:
        its_kind, _, name = one.name.partition(".")
        if its_kind != kind:
            continue
        if one.value is None:
            items.append({"kind": kind, "name": name, "version": one.version, "deleted": True})
        elif _declares(one, kind):
            items.append(_document(node, one))
    return json_answer({"version": changes.version, "items": items})


def _read_resource(request: Request, kind: str, name: str) -> Resource:
    try:
        document = orjson.loads(request.body or b"")
    except orjson.JSONDecodeError as error:
        raise CallerError(400, "body", f"JSON was expected: {error}") from None
    if isinstance(document, dict):
        document = {"kind": kind, "name": name, **document}
    try:
        resource = check_resource(document)
    except ResourceInvalid as error:
        raise CallerError(422, "resource", str(error)) from None
    if (resource.kind, resource.name) != (kind, name):
        raise CallerError(422, "kind, name", "the same as in the path")
    return resource


def _read_version(request: Request) -> int | None:
    text = request.headers.get("if-match")
    if text is None:
        return None
    version = parse_digits(text)
    if version is None:
        raise CallerError(400, "If-Match", "the version that was read, a whole number")
    return version


def _check_unused(node: NodeContext, kind: str, name: str) -> None:
    if kind != "Model":
        return
    users = [key for key, spec in node.state.catalogue.adapters.items() if spec.model == name]
    if users:
        text = f"delete its adapters first: {', '.join(sorted(users)[:5])}"
        raise CallerError(409, "name", text)


def _list_endpoint_rows(node: NodeContext) -> list[dict[str, t.Any]]:
    now = clock.now()
    rows: list[dict[str, t.Any]] = []
    for view in sorted(node.state.endpoints.values(), key=lambda one: one.name):
        report = view.report
        rows.append(
            {
                "name": view.name,
                "role": view.role,
                "service": view.service,
                "data_centre": view.data_centre,
                "address": view.address,
                "state": _state_of(view, now),
                "load": round(view.load(now), 3),
                "memory_gb": report.memory_gb if report else 0.0,
                "held_gb": round(report.held_gb, 3) if report else 0.0,
                "resident": [f"{one[0]}@{one[1]}" for one in report.resident] if report else [],
                "checks_orders": report.checks_orders if report else False,
                "report_age_s": round(now - view.reported_at, 3) if report else None,
            }
        )
    return rows


def _state_of(view: t.Any, now: float) -> str:
    if view.gone:
        return "gone"
    if view.leaving:
        return "leaving"
    return "ejected" if now < view.ejected_until else "live"


def build_node_status(node: NodeContext) -> dict[str, t.Any]:
    """Build the overview of this node and what it knows of the cluster, for ``/status``."""
    state = node.state
    identity = state.identity
    unplaced = [name for name, at in control_jobs.resident_models(state).items() if not at]
    nodes = [
        {
            "name": peer.heartbeat.name,
            "data_centre": peer.heartbeat.data_centre,
            "address": peer.heartbeat.caller_address,
            "revision": peer.heartbeat.revision,
            "leaving": peer.heartbeat.leaving,
        }
        for peer in state.membership.peers.values()
    ]
    nodes.append(
        {
            "name": identity.name,
            "data_centre": identity.data_centre,
            "address": identity.caller_address,
            "revision": state.catalogue.revision,
            "leaving": state.leaving,
        }
    )
    sessions, keys = state.once.sizes()
    return {
        "node": identity.name,
        "lease_holder": state.control.lease.holder,
        "lease_epoch": state.control.lease.epoch,
        "revision": state.catalogue.revision,
        "in_force_on": _count_in_force(node),
        "nodes": sorted(nodes, key=lambda one: str(one["name"])),
        "models": len(state.catalogue.models),
        "models_not_resident": sorted(unplaced),
        "platform_reachable": state.platform_reachable,
        "requests": len(state.requests),
        "waiting": dict(core_requests.queue_lengths(state)),
        "sessions": sessions,
        "keys": keys,
        "moves": state.control.moves,
        "refusals": dict(node.refusal_counts),
        "endpoints": _list_endpoint_rows(node),
    }


def make_health_blueprint(node: NodeContext) -> Blueprint:
    """Build the routes for health checks and metrics."""
    routes = Blueprint(f"health-{node.settings.name}")

    @routes.get("/healthz")
    async def show_health(request: Request) -> HTTPResponse:
        return json_answer({"alive": True})

    @routes.get("/readyz")
    async def show_readiness(request: Request) -> HTTPResponse:
        ready = node.ready()
        value = {"ready": ready, "revision": node.state.catalogue.revision}
        return json_answer(value, status=200 if ready else 503)

    @routes.get("/metrics")
    async def show_metrics(request: Request) -> HTTPResponse:
        node.update_gauges()
        content, headers = node.metrics.render(request.headers.get("accept", ""))
        kind = headers.get("Content-Type", "text/plain")
        return raw(content, content_type=kind)

    return routes
