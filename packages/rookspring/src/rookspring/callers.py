"""The HTTP API for callers: addresses, sessions, chat completions, services.

Requests are checked in ``request_parsing.py``; the reducer decides about them.
"""

import asyncio
import secrets
import typing as t
import zlib

import orjson
from sanic import Blueprint
from sanic import Request
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse
from sanic.response import raw

from rookspring_core import cluster
from rookspring_core import defaults as core_defaults
from rookspring_core.events import CallerLeft
from rookspring_core.events import RequestArrived
from rookspring_core.events import ResumeAsked
from rookspring_core.events import SessionOpened
from rookspring_core.fingerprints import make_fingerprint

from . import clock
from . import defaults
from . import forwarding
from . import request_parsing
from .exceptions import CallerError
from .exceptions import CallerGone
from .exchanges import ChatExchange
from .exchanges import Exchange
from .exchanges import Responder
from .exchanges import ServiceExchange
from .node_context import NodeContext
from .open_calls import counted


class SanicResponder(Responder):
    """Sends an answer over the connection of the caller."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._response: t.Any = None

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Begin the answer."""
        kind = headers.pop("Content-Type", "application/json")
        self._response = await self._request.respond(
            status=status, headers=headers, content_type=kind
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._raise_if_gone(self._response.send(data))

    async def end(self) -> None:
        """End the answer."""
        await self._raise_if_gone(self._response.eof())

    def abort(self) -> None:
        """Cut the answer, which the caller takes for no whole one."""
        transport: t.Any = self._request.transport
        if transport is not None:
            transport.abort()

    async def _raise_if_gone(self, sending: t.Awaitable[t.Any]) -> None:
        """Send data, and turn any error of a broken connection into ``CallerGone``."""
        try:
            await sending
        except asyncio.CancelledError:
            transport = self._request.transport
            if transport is not None and not transport.is_closing():
                raise
            raise CallerGone("connection closed") from None
        except (OSError, RuntimeError, SanicException, AttributeError) as error:
            raise CallerGone(type(error).__name__) from None


def json_answer(
    value: t.Any, status: int = 200, headers: dict[str, str] | None = None
) -> HTTPResponse:
    """Build a JSON answer."""
    return raw(orjson.dumps(value), status=status, content_type="application/json", headers=headers)


async def answer_error(responder: Responder, error: CallerError) -> None:
    """Send the answer to a faulty request."""
    await responder.start(error.status, {"Content-Type": "application/json"})
    await responder.send(orjson.dumps(error.body()))
    await responder.end()


def start_request(
    node: NodeContext, kind: str, team: str, fields: t.Any, body: bytes, responder: Responder
) -> Exchange:
    """Start a request at this node.

    :param kind: ``chat`` or ``service``.
    :param fields: the checked fields, of the type for that kind.
    :param responder: sends the answer.
    """
    if kind == "chat":
        return _start_chat(node, team, fields, responder)
    return _start_service(node, team, fields, body, responder)


def _start_chat(
    node: NodeContext, team: str, fields: request_parsing.ChatFields, responder: Responder
) -> Exchange:
    span = node.telemetry.begin("entry", fields["traceparent"], model=fields["model"])
    exchange = ChatExchange(
        secrets.token_hex(defaults.REQUEST_ID_BYTES),
        team,
        fields["model"],
        responder,
        span,
        node.telemetry.header(span, fields["traceparent"]),
        model=fields["model"],
        adapter=fields["adapter"],
        prompt=fields["prompt"],
        total=fields["total"],
        rank=core_defaults.PRIORITY_RANK[fields["priority"]],
        stream=fields["stream"],
    )
    now = clock.now()
    key = fields["once_key"]
    node.begin(
        exchange,
        RequestArrived(
            at=now,
            request_id=exchange.request_id,
            team=team,
            target=fields["model"],
            adapter=fields["adapter"],
            priority=fields["priority"],
            deadline_at=now + fields["deadline_s"],
            tokens=fields["total"],
            prompt_tokens=len(fields["prompt"]) // 4,
            prefix=zlib.crc32(fields["prompt"][:64].encode()),
            repeatable=key is None,
            once_key=(key[0], key[1]) if key else None,
            body_digest=fields["body_digest"],
            stream=fields["stream"],
            fingerprint=_fingerprint(team, fields["model"], fields["body_digest"]),
        ),
    )
    return exchange


def _start_service(
    node: NodeContext,
    team: str,
    fields: request_parsing.ServiceFields,
    body: bytes,
    responder: Responder,
) -> Exchange:
    span = node.telemetry.begin("entry", fields["traceparent"], service=fields["service"])
    exchange = ServiceExchange(
        secrets.token_hex(defaults.REQUEST_ID_BYTES),
        team,
        fields["service"],
        responder,
        span,
        node.telemetry.header(span, fields["traceparent"]),
    )
    now = clock.now()
    exchange.method = fields["method"]
    exchange.path = fields["path"]
    exchange.body = body
    exchange.headers = fields["headers"]
    exchange.repeatable = fields["repeatable"]
    exchange.deadline_at = now + fields["deadline_s"]
    key = fields["once_key"]
    node.begin(
        exchange,
        RequestArrived(
            at=now,
            request_id=exchange.request_id,
            team=team,
            target=fields["service"],
            service=True,
            priority=fields["priority"],
            deadline_at=exchange.deadline_at,
            tokens=1,
            repeatable=fields["repeatable"],
            once_key=(key[0], key[1]) if key else None,
            body_digest=fields["body_digest"],
            fingerprint=_fingerprint(
                team, f"{fields['service']}/{fields['path']}", fields["body_digest"]
            ),
        ),
    )
    return exchange


def _fingerprint(team: str, target: str, body_digest: str) -> str:
    return make_fingerprint(team, "", target.encode(), body_digest.encode())


async def _serve_or_forward(
    node: NodeContext, request: Request, kind: str, team: str, fields: t.Any
) -> None:
    """Serve a request at this node, or forward it to the node that issued its session."""
    responder = SanicResponder(request)
    key = fields["once_key"]
    if key is not None:
        claims = node.signer.read_session(key[0], "Idempotency-Key")
        identity = node.state.identity
        if (claims.node, claims.incarnation) != (identity.name, identity.incarnation):
            await forwarding.forward(node, claims, kind, team, fields, request.body, responder)
            return
    exchange = start_request(node, kind, team, fields, request.body, responder)
    await _wait(node, exchange)


async def _wait(node: NodeContext, exchange: Exchange) -> None:
    try:
        await exchange.done
    except asyncio.CancelledError:
        # The caller's connection broke; the reducer decides what happens to the request.
        node.submit(CallerLeft(clock.now(), exchange.request_id))
        raise


def make_blueprint(node: NodeContext) -> Blueprint:
    """Build the routes for callers."""
    routes = Blueprint(f"callers-{node.settings.name}")

    @routes.get("/v1/addresses")
    async def list_addresses(request: Request) -> HTTPResponse:
        rows = [row._asdict() for row in cluster.list_addresses(node.state)]
        max_age_s = int(core_defaults.ADDRESS_TTL_S)
        value = {"addresses": rows, "ttl_s": core_defaults.ADDRESS_TTL_S}
        return json_answer(value, headers={"Cache-Control": f"max-age={max_age_s}"})

    @routes.get("/v1/models")
    async def list_models(request: Request) -> HTTPResponse:
        request_parsing.authenticate_team(node, request)
        catalogue = node.state.catalogue
        names = list(catalogue.models)
        names += [f"{spec.model}:{name}" for name, spec in catalogue.adapters.items()]
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "rookspring"}
            for name in sorted(names)
        ]
        return json_answer({"object": "list", "data": rows})

    @routes.post("/v1/sessions")
    @counted(node)
    async def open_session(request: Request) -> HTTPResponse:
        team = request_parsing.authenticate_team(node, request)
        if node.state.leaving:
            raise CallerError(503, "session", "a node that is not leaving; ask for addresses")
        identity = node.state.identity
        session = node.signer.issue_session(identity.name, identity.incarnation, team)
        node.submit(SessionOpened(clock.now(), session, team))
        value = {"session": session, "idle_s": core_defaults.SESSION_IDLE_S}
        return json_answer(value, status=201)

    @routes.post("/v1/chat/completions")
    @counted(node)
    async def complete_chat(request: Request) -> None:
        team = request_parsing.authenticate_team(node, request)
        event_id = request.headers.get("last-event-id")
        if event_id:
            await _resume(node, request, team, event_id)
            return
        await _serve_or_forward(
            node, request, "chat", team, request_parsing.read_chat(node, request, team)
        )

    @routes.route(  # type: ignore[untyped-decorator]
        "/v1/services/<service:str>/<path:path>",
        methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
    )
    @counted(node)
    async def call_service(request: Request, service: str, path: str) -> None:
        team = request_parsing.authenticate_team(node, request)
        fields = request_parsing.read_service(node, request, team, service, path)
        await _serve_or_forward(node, request, "service", team, fields)

    return routes


async def _resume(node: NodeContext, request: Request, team: str, event_id: str) -> None:
    """Resume a stream at the event id that the caller received last.

    The node that served the stream so far may be gone, so all that is needed is in the event id
    and in the repeated request.
    """
    grant, offset = node.signer.read_event_id(event_id)
    if grant.team != team:
        raise CallerError(403, "Last-Event-ID", "an event id of your own team")
    fields = request_parsing.read_chat(node, request, team)
    text = request_parsing.read_body(request).get("resume_text", "")
    if not isinstance(text, str):
        raise CallerError(400, "resume_text", "the text received so far")
    if fields["model"] != grant.model or fields["total"] != grant.total:
        raise CallerError(422, "body", "the same request as before")
    span = node.telemetry.begin("entry-resume", fields["traceparent"], model=grant.model)
    exchange = ChatExchange(
        secrets.token_hex(defaults.REQUEST_ID_BYTES),
        team,
        grant.model,
        SanicResponder(request),
        span,
        node.telemetry.header(span, fields["traceparent"]),
        model=grant.model,
        adapter=fields["adapter"],
        prompt=fields["prompt"],
        total=grant.total,
        rank=core_defaults.PRIORITY_RANK[fields["priority"]],
        stream=True,
        offset=offset,
        text=text,
    )
    exchange.prepare_events(node.signer, grant.endpoint, grant.stream, grant.base)
    exchange.reader = 1
    now = clock.now()
    node.begin(
        exchange,
        ResumeAsked(
            at=now,
            request_id=exchange.request_id,
            team=team,
            target=grant.model,
            endpoint=grant.endpoint,
            offset=offset,
            tokens=grant.total,
            deadline_at=now + fields["deadline_s"],
            continuable=bool(text),
        ),
    )
    await _wait(node, exchange)
