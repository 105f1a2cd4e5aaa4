"""Requests of callers, which the relay forwards unchanged to endpoints.

A request is read to its end, matched to a route, checked for its key and submitted to the reducer.
The reducer's effects for it are carried out by :mod:`relay_attempts`.
"""

import asyncio
import typing as t

from rookspring_core import defaults as core_defaults
from rookspring_core import keys
from rookspring_core import stream_origins
from rookspring_core.endpoints import UNKNOWN_VERSION
from rookspring_core.events import CallerLeft
from rookspring_core.events import FormerVersionsMissed
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_core.keys import KeyVerdict
from rookspring_core.routes import Route
from rookspring_core.routes import RouteTable

from . import clock
from . import defaults
from .dialect import RequestFields
from .exceptions import CallerError
from .http_messages import Header
from .http_messages import HttpRequest
from .http_server import ServerConnection
from .logs import log
from .relay_exchanges import EndpointAnswer as EndpointAnswer
from .relay_exchanges import HeldAnswer as HeldAnswer
from .relay_exchanges import RelayExchange as RelayExchange

if t.TYPE_CHECKING:
    from .relay_context import RelayContext

# The caller's version of HTTP doesn't do here (RFC 9110, section 15.5.22).
UPGRADE_REQUIRED = 426


async def serve_caller(
    context: "RelayContext", connection: ServerConnection, request: HttpRequest
) -> None:
    """Serve one request of a caller until it is answered or refused, or its caller left."""
    arrived_at = clock.now()
    try:
        fields = context.dialect.read_request(request)
    except CallerError as error:
        log(
            "request_malformed",
            "WARNING",
            id=error.request_id,
            field=error.field,
            expected=error.expected,
        )
        headers = context.dialect.refusal_headers(error.request_id, 0.0)
        connection.answer(error.status, headers, f"{error}\n".encode())
        return
    connection.request_id = fields.request_id
    if context.state.leaving:
        log("request_read_leaving", id=fields.request_id, stopped=context.state.stopped)
    route = _find_route(context, connection, fields)
    if route is None:
        return
    if route.kind == "stream" and not request.reads_chunks:
        _refuse_version(context, connection, fields, route)
        return
    verdict = await _wait_for_key(context, connection, route, fields, arrived_at)
    if verdict.status:
        _refuse_key(context, connection, fields, route, verdict)
        return
    # If the request waited for its key, a newer configuration may be in force now.
    route = _find_route(context, connection, fields)
    table = context.state.table
    if route is None or table is None:
        return
    exchange = RelayExchange(connection, request, fields, route, arrived_at, verdict.organisation)
    version = None
    if route.resumable:
        version = await _find_version(context, exchange)
    if not connection.disconnected:
        await _run_exchange(context, exchange, table, version)


def refuse_unread(context: "RelayContext", request: HttpRequest) -> list[Header]:
    """Return the headers of the refusal of a request for which there is no memory; it hasn't run.

    :param request: without its body.
    """
    try:
        request_id = context.dialect.read_request(request).request_id
    except CallerError as error:
        request_id = error.request_id
    context.metrics.refusals.inc({"reason": "memory", "outcome": "not_run"})
    log("request_unread", "WARNING", id=request_id, reason="too many bytes are held")
    return context.dialect.refusal_headers(request_id, core_defaults.RETRY_AFTER_S)


def _find_route(
    context: "RelayContext", connection: ServerConnection, fields: RequestFields
) -> Route | None:
    """Return a request's route in the configuration in force; without one, answer an error."""
    table = context.state.table
    route = table.match(fields.host, fields.path) if table else None
    if route is None:
        # Without a configuration the route may exist, so the caller is asked to retry.
        status = 404 if table else 503
        after_s = 0.0 if table else core_defaults.RETRY_AFTER_S
        log(
            "route_missing", id=fields.request_id, host=fields.host, path=fields.path, status=status
        )
        headers = context.dialect.refusal_headers(fields.request_id, after_s)
        connection.answer(status, headers, b"")
    return route


def _refuse_version(
    context: "RelayContext", connection: ServerConnection, fields: RequestFields, route: Route
) -> None:
    """Refuse a stream to a caller that reads no chunks, before any of it runs.

    A stream's length isn't known as it begins, so that only its connection could end it there, as
    the end of a node would.
    """
    context.metrics.refusals.inc({"reason": "version", "outcome": "not_run"})
    log("version_refused", id=fields.request_id, route=route.name, status=UPGRADE_REQUIRED)
    headers = context.dialect.refusal_headers(fields.request_id, 0.0)
    upgrade = [(b"Upgrade", b"HTTP/1.1"), (b"Connection", b"upgrade")]
    connection.answer(UPGRADE_REQUIRED, [*headers, *upgrade], b"")


async def _wait_for_key(
    context: "RelayContext",
    connection: ServerConnection,
    route: Route,
    fields: RequestFields,
    arrived_at: float,
) -> KeyVerdict:
    """Check a request's key; if it is unknown, wait for a configuration that may have it.

    A node that begins no more requests does not wait.
    """
    verdict = keys.check_key(context.state, route, fields.key, arrived_at, arrived_at)
    if not verdict.may_wait or context.requests_awaiting_key >= defaults.KEY_WAITS_MAX:
        return verdict
    context.requests_awaiting_key += 1
    connection.waits_for = "key"
    context.ask_proof()
    try:
        while verdict.may_wait and not connection.disconnected:
            now = clock.now()
            waited_s = now - arrived_at
            if waited_s > defaults.KEY_WAIT_S or context.state.begins_no_requests(now):
                break
            await asyncio.sleep(defaults.KEY_WAIT_STEP_S)
            verdict = keys.check_key(context.state, route, fields.key, arrived_at, now)
    finally:
        context.requests_awaiting_key -= 1
        connection.waits_for = ""
    return verdict


async def _find_version(context: "RelayContext", exchange: RelayExchange) -> str | None:
    """Return the version at which alone a caller's stream may go on; None if at any.

    It is asked of other nodes, unless that doesn't matter.
    """
    fields = exchange.fields
    state = context.state
    if not fields.resumes or not stream_origins.must_ask(state, exchange.service):
        return None
    asked_at = clock.now()
    exchange.connection.waits_for = "origin"
    try:
        found = await context.origins.find(fields.resumes, exchange.service)
        known = found.version is not None or await _await_former(context, found.told_by, asked_at)
    finally:
        exchange.connection.waits_for = ""
    if not known:
        context.submit(FormerVersionsMissed(clock.now(), exchange.service))
    version = found.version
    if version is None and state.stream_versions.has_several(exchange.service, clock.now()):
        version = UNKNOWN_VERSION
    log(
        "stream_resumed",
        id=fields.request_id,
        resumes=fields.resumes,
        after=fields.last_event,
        version="any" if version is None else version,
        known=known,
        asked_s=clock.now() - asked_at,
    )
    return version


async def _await_former(
    context: "RelayContext", told_by: t.Collection[str], asked_at: float
) -> bool:
    """Return whether it is known which services had several versions while streams began.

    A node that has just started may be about to read it.
    """
    while not stream_origins.knows_former(context.state, told_by):
        if clock.now() - asked_at > defaults.ORIGIN_ANSWER_S:
            return False
        await asyncio.sleep(defaults.FORMER_CHECK_S)
    return True


def _refuse_key(
    context: "RelayContext",
    connection: ServerConnection,
    fields: RequestFields,
    route: Route,
    verdict: KeyVerdict,
) -> None:
    state = context.state
    after_s = core_defaults.RETRY_AFTER_UNPROVED_S if verdict.status == 503 else 0.0
    context.metrics.refusals.inc({"reason": verdict.reason, "outcome": "not_run"})
    log(
        "key_refused",
        id=fields.request_id,
        route=route.name,
        model=fields.model,
        adapter=fields.adapter,
        part=_last_shared_part(fields),
        status=verdict.status,
        reason=verdict.reason,
        table=state.revision,
        proved_age_s=state.freshness.age_s(clock.now()),
    )
    headers = context.dialect.refusal_headers(fields.request_id, after_s)
    connection.answer(verdict.status, headers, b"")


async def _run_exchange(
    context: "RelayContext", exchange: RelayExchange, table: RouteTable, version: str | None
) -> None:
    exchange.done = context.loop.create_future()
    context.exchanges[exchange.key] = exchange

    def on_left() -> None:
        if exchange.key not in context.exchanges:
            # It has ended already; this node closed the connection.
            return
        context.submit(CallerLeft(clock.now(), exchange.key))
        _log_end(exchange, "left", "caller closed the connection")
        remove_exchange(context, exchange)

    exchange.connection.on_disconnect = on_left
    try:
        context.submit(make_arrival_event(exchange, table, version))
    except Exception:
        # Whatever the reducer still does for it must not reach the caller's next request.
        remove_exchange(context, exchange)
        raise
    await exchange.done


def make_arrival_event(
    exchange: RelayExchange, table: RouteTable, version: str | None
) -> RequestArrived:
    """Return the event that submits a request to the reducer.

    :param version: at which alone its stream may go on; None if at any.
    """
    fields = exchange.fields
    route = exchange.route
    service = exchange.service
    model = fields.model if table.engine_of(fields.model, service) else ""
    plain = table.services.get(service) is None or table.services[service].engine is None
    return RequestArrived(
        at=exchange.arrived_at,
        request_id=exchange.key,
        team=exchange.organisation,
        target=service if plain else model or fields.model,
        service=plain,
        adapter="" if plain else fields.adapter,
        deadline_at=exchange.deadline_at,
        tokens=fields.prompt_tokens + defaults.ANSWER_TOKEN_WEIGHT * fields.answer_tokens,
        prompt_tokens=fields.prompt_tokens,
        prefix=fields.prefix,
        repeatable=route.repeatable,
        stream=route.kind == "stream",
        route=RouteTerms(
            route.name,
            service,
            table.version,
            exchange.rank,
            route.attempts,
            route.objective_s * core_defaults.MAX_WAIT_SHARE,
            route.objective_s,
            route.stays_s,
        ),
        key=fields.key if exchange.organisation else "",
        declared_tokens=fields.declared_tokens,
        fingerprint=exchange.fingerprint,
        sends_before=fields.sends_before,
        version=version,
        parts=fields.parts,
        stream_id=_origin_id(exchange),
        resumable_until=exchange.arrived_at + (fields.deadline_s or core_defaults.STREAM_KEPT_S),
    )


def _origin_id(exchange: RelayExchange) -> str:
    """Return the id under which a stream's origin is kept; empty if it is not kept."""
    resumable = exchange.route.kind == "stream" and exchange.route.resumable
    kept = resumable and len(exchange.stream_id) <= defaults.STREAM_ID_MAX
    return exchange.stream_id if kept else ""


def remove_exchange(context: "RelayContext", exchange: RelayExchange) -> None:
    """Remove an exchange that has ended, and resume the coroutine that serves its caller."""
    context.exchanges.pop(exchange.key, None)
    exchange.drop_answer()
    if exchange.done is not None and not exchange.done.done():
        exchange.done.set_result(None)


def end_exchange(context: "RelayContext", exchange: RelayExchange, outcome: str, why: str) -> None:
    """Log and count how a request ended, and remove its exchange."""
    context.metrics.requests.inc({"target": exchange.route.name, "end": outcome})
    context.metrics.whole_answer.observe({}, clock.now() - exchange.arrived_at)
    if exchange.first_event_at:
        context.metrics.first_token.observe({}, exchange.first_event_at - exchange.arrived_at)
    _log_end(exchange, outcome, why)
    remove_exchange(context, exchange)


def _log_end(exchange: RelayExchange, outcome: str, why: str) -> None:
    log(
        "request_ended",
        id=exchange.fields.request_id,
        key=exchange.key,
        fingerprint=exchange.fingerprint,
        route=exchange.route.name,
        objective_s=exchange.route.objective_s,
        bears_s=exchange.route.pause_s,
        outcome=outcome,
        why=why,
        took_s=clock.now() - exchange.arrived_at,
        first_s=exchange.first_event_at - exchange.arrived_at if exchange.first_event_at else -1,
        events=exchange.events,
        pause_s=exchange.longest_pause_s,
        framing=exchange.framing,
        **exchange.describe_time(),
        last_event=exchange.last_event,
        model=exchange.fields.model,
        adapter=exchange.fields.adapter,
        part=_last_shared_part(exchange.fields),
        rank=exchange.rank,
        organisation=exchange.organisation,
    )


def _last_shared_part(fields: RequestFields) -> str:
    """Return the ID of the last part of a prompt that it may share with others, in hexadecimal."""
    return f"{fields.parts[-1]:x}" if fields.parts else ""
