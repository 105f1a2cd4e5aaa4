"""Attempts at endpoints: each carries out one ``Dispatch`` and submits how it ended."""

import asyncio
import typing as t

from rookspring_core import notice_handlers
from rookspring_core.effects import AttachStream
from rookspring_core.effects import Dispatch
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import NoticeReceived
from rookspring_core.notices import Notice

from . import clock
from . import defaults
from .attempt_failures import make_failure
from .connections import refuses_connections
from .endpoints import Chunk
from .endpoints import GenerationRequest
from .exceptions import CallerGone
from .exceptions import EndpointError
from .exchanges import ChatExchange
from .exchanges import ServiceExchange
from .node_context import NodeContext


async def run_attempt(node: NodeContext, effect: Dispatch) -> None:
    """Carry out one attempt of a chat request or a service call."""
    exchange = node.exchanges.get(effect.request_id)
    view = node.state.endpoints.get(effect.endpoint)
    if exchange is None or view is None:
        _fail(node, effect, EndpointError("endpoint is gone", sent=False))
        return
    wait = effect.not_before - clock.now()
    if wait > 0:
        await asyncio.sleep(wait)
        why = notice_handlers.find_withheld(node.state, effect.endpoint)
        if why:
            _fail(node, effect, EndpointError(why, sent=False, withheld=True))
            return
    span = node.telemetry.begin(
        "endpoint", exchange.traceparent, endpoint=view.name, attempt=effect.attempt
    )
    traceparent = node.telemetry.header(span, exchange.traceparent)
    try:
        if isinstance(exchange, ChatExchange):
            await _run_chat(node, effect, exchange, view.address, traceparent)
        elif isinstance(exchange, ServiceExchange):
            await _run_service(node, effect, exchange, view.address, traceparent)
    except EndpointError as error:
        span.set_attribute("error", error.reason)
        await _check_down(error, view.address)
        _fail(node, effect, error)
    except CallerGone:
        node.handle_disconnect(exchange)
    finally:
        span.end()


async def _check_down(error: EndpointError, address: str) -> None:
    """Check whether an endpoint that broke or closed its connection has stopped listening.

    This comes before the failure is submitted, so that the reducer knows whether the process
    ended when it records which requests may have crashed it.
    """
    if error.broken:
        error.down = await refuses_connections(address)
    elif error.open_ended:
        error.down = error.broken = await refuses_connections(address)


def _fail(node: NodeContext, effect: Dispatch | AttachStream, error: EndpointError) -> None:
    node.metrics.attempts.inc({"end": "not_run" if error.reported_not_run else "failed"})
    if error.leaving:
        _submit_leaving(node, effect.endpoint)
    node.submit(make_failure(effect, error))


def _submit_leaving(node: NodeContext, endpoint: str) -> None:
    """Submit that an endpoint is leaving, before the failure of the request that it refused."""
    view = node.state.endpoints.get(endpoint)
    if view is not None:
        notice = NoticeReceived(
            clock.now(), endpoint, notice_handlers.known_start(view), Notice(leaving=True)
        )
        node.submit(notice)


async def _run_chat(
    node: NodeContext, effect: Dispatch, exchange: ChatExchange, address: str, traceparent: str
) -> None:
    # Request ids are random, so streams of different nodes do not collide at an engine.
    stream = f"{exchange.request_id}.{effect.attempt}"
    exchange.prepare_events(node.signer, effect.endpoint, stream, effect.offset)
    generation = GenerationRequest(
        stream=stream,
        model=exchange.model,
        adapter=exchange.adapter,
        prompt=exchange.prompt,
        max_tokens=exchange.total,
        rank=exchange.rank,
        offset=effect.offset,
        prefix="".join(exchange.parts) if effect.offset else "",
    )
    node.submit(AttemptStarted(clock.now(), effect.request_id, effect.attempt))
    await _pass_chunks(
        node, effect, exchange, node.endpoints.generate(address, generation, traceparent)
    )


async def run_attach(node: NodeContext, effect: AttachStream) -> None:
    """Continue to read a stream that already runs, for a caller that resumes it."""
    exchange = node.exchanges.get(effect.request_id)
    view = node.state.endpoints.get(effect.endpoint)
    if not isinstance(exchange, ChatExchange) or view is None:
        _fail(node, effect, EndpointError("endpoint is gone", sent=True))
        return
    span = node.telemetry.begin("endpoint-resume", exchange.traceparent, endpoint=view.name)
    try:
        chunks = node.endpoints.resume(view.address, exchange.engine_stream, effect.offset)
        await _pass_chunks(node, effect, exchange, chunks)
    except EndpointError as error:
        await _check_down(error, view.address)
        _fail(node, effect, error)
    except CallerGone:
        node.handle_disconnect(exchange)
    finally:
        span.end()


async def _pass_chunks(
    node: NodeContext,
    effect: Dispatch | AttachStream,
    exchange: ChatExchange,
    chunks: t.AsyncGenerator[Chunk, None],
) -> None:
    """Pass chunks to the caller, deduplicated by the stream's guard.

    Progress is submitted to the reducer in batches of ``PROGRESS_TOKENS``.
    """
    guard = exchange.guard
    guard.switch_attempt(effect.attempt)
    pending = 0

    def progress() -> None:
        nonlocal pending
        if pending:
            node.count_tokens(pending)
            node.submit(AttemptProgressed(clock.now(), effect.request_id, effect.attempt, pending))
            pending = 0

    try:
        async for chunk in chunks:
            if chunk.total >= 0:
                if not guard.is_complete(chunk.total):
                    raise EndpointError("the answer is shorter than its total", sent=True)
                progress()
                await _finish_chat(node, effect, exchange)
                return
            fresh = guard.accept(effect.attempt, chunk.offset, chunk.tokens)
            if fresh:
                await exchange.deliver(fresh)
                pending += len(fresh)
                if pending >= defaults.PROGRESS_TOKENS:
                    progress()
        raise EndpointError("the answer has no end", sent=True, broken=True)
    except ValueError as error:
        raise EndpointError(str(error), sent=True) from None
    finally:
        progress()
        await chunks.aclose()


async def _finish_chat(
    node: NodeContext, effect: Dispatch | AttachStream, exchange: ChatExchange
) -> None:
    answer = exchange.build_answer()
    node.metrics.attempts.inc({"end": "whole"})
    # The outcome is recorded before the last bytes are sent. If the caller's connection breaks
    # on them, a retry with the same key gets the stored answer.
    node.submit(AttemptSucceeded(clock.now(), effect.request_id, effect.attempt, 200, answer))
    await exchange.finish_answer()
    node.finish(exchange, "ran")


async def _run_service(
    node: NodeContext, effect: Dispatch, exchange: ServiceExchange, address: str, traceparent: str
) -> None:
    headers = dict(exchange.headers)
    if traceparent:
        headers["traceparent"] = traceparent
    timeout_s = max(0.05, exchange.deadline_at - clock.now())
    node.submit(AttemptStarted(clock.now(), effect.request_id, effect.attempt))
    answer = await node.endpoints.call(
        address,
        exchange.method,
        exchange.path,
        exchange.body,
        headers,
        exchange.repeatable,
        timeout_s,
    )
    node.metrics.attempts.inc({"end": "whole"})
    node.submit(
        AttemptSucceeded(clock.now(), effect.request_id, effect.attempt, answer.status, answer.body)
    )
    response_headers = {"Content-Type": answer.content_type, "X-Request-Id": exchange.request_id}
    await exchange.answer(answer.status, response_headers, answer.body)
    node.finish(exchange, "ran")
