"""Functions that carry out the reducer's effects, each registered for one type of effect."""

import asyncio
import typing as t

from returns.result import Failure
from returns.result import Success

from rookspring_core.effects import Announce
from rookspring_core.effects import AttachStream
from rookspring_core.effects import Cancel
from rookspring_core.effects import Dispatch
from rookspring_core.effects import Forget
from rookspring_core.effects import Publish
from rookspring_core.effects import ReadDesired
from rookspring_core.effects import ReadHead
from rookspring_core.effects import Refuse
from rookspring_core.effects import Replay
from rookspring_core.effects import SendOrder
from rookspring_core.effects import ShareDown
from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import ShareLeaving
from rookspring_core.effects import Stop
from rookspring_core.effects import VerdictFound
from rookspring_core.effects import WriteIntent
from rookspring_core.effects import WriteLease
from rookspring_core.events import IntentWritten
from rookspring_core.events import LeaseWritten
from rookspring_core.events import OrderAnswered
from rookspring_core.events import Published
from rookspring_core.events import RevisionSeen

from . import attempts
from . import clock
from . import defaults
from . import lease_objects
from . import platform_loops
from .evidence import encode_evidence
from .evidence import report_verdict
from .exceptions import PlatformConflict
from .exchanges import ChatExchange
from .exchanges import error_body
from .leaving_rows import encode_leaving
from .logs import log
from .messages import EndpointDown
from .node_context import NodeContext

EffectHandler = t.Callable[[NodeContext, t.Any], None]
EFFECT_HANDLERS: dict[type[t.Any], EffectHandler] = {}
F = t.TypeVar("F", bound=t.Callable[..., None])


def handles_effect(effect_type: type[t.Any]) -> t.Callable[[F], F]:
    """Register the function that carries out effects of a type."""

    def register(function: F) -> F:
        EFFECT_HANDLERS[effect_type] = function
        return function

    return register


@handles_effect(Dispatch)
def dispatch(node: NodeContext, effect: Dispatch) -> None:
    """Start an attempt in a task of its own."""
    exchange = node.exchanges.get(effect.request_id)
    if effect.offset:
        log("stream_continued", request=effect.request_id, endpoint=effect.endpoint)
    task = node.spawn(attempts.run_attempt(node, effect))
    if exchange is not None:
        exchange.task = task


@handles_effect(AttachStream)
def attach_stream(node: NodeContext, effect: AttachStream) -> None:
    """Continue, in a task of its own, to read a stream that already runs."""
    exchange = node.exchanges.get(effect.request_id)
    task = node.spawn(attempts.run_attach(node, effect))
    if exchange is not None:
        exchange.task = task


@handles_effect(Refuse)
def refuse(node: NodeContext, effect: Refuse) -> None:
    """Send the caller an error, unless its exchange has ended."""
    exchange = node.exchanges.get(effect.request_id)
    if exchange is None:
        return
    node.refusal_counts[effect.reason] += 1
    node.metrics.refusals.inc({"reason": effect.reason, "outcome": effect.outcome})
    log(
        "request_refused",
        request=effect.request_id,
        reason=effect.reason,
        outcome=effect.outcome,
        status=effect.status,
    )

    async def send() -> None:
        body = error_body(effect.message, effect.reason, effect.outcome)
        if exchange.started:
            # The headers have been sent, so the error is the last event of the stream.
            await exchange.responder.send(b"event: error\ndata: " + body + b"\n\n")
            await exchange.responder.end()
        else:
            headers = {"Content-Type": "application/json", "X-Request-Id": effect.request_id}
            if effect.retry_after_s > 0:
                headers["Retry-After"] = str(max(1, round(effect.retry_after_s)))
                headers["Retry-After-Ms"] = str(round(effect.retry_after_s * 1000))
            await exchange.answer(effect.status, headers, body)
        node.finish(exchange, effect.outcome)

    node.spawn(node.send_answer(exchange, send()))


@handles_effect(ShareDown)
def share_down(node: NodeContext, effect: ShareDown) -> None:
    """Send the linked nodes that nothing listens at an endpoint's address."""
    for link in list(node.peers.links.values()):
        link.send(EndpointDown(effect.endpoint))


@handles_effect(ShareEvidence)
def share_evidence(node: NodeContext, effect: ShareEvidence) -> None:
    """Send evidence of crashes to the linked nodes, except the one that it came from.

    Each of them forwards what is new to it.
    """
    _pass_on(node, encode_evidence(effect.evidence, clock.now()), effect.source)


@handles_effect(ShareLeaving)
def share_leaving(node: NodeContext, effect: ShareLeaving) -> None:
    """Send which endpoints are leaving to the linked nodes, except the one that it came from.

    Each of them forwards what is new to it.
    """
    _pass_on(node, encode_leaving(effect.rows, clock.now()), effect.source)


def _pass_on(node: NodeContext, message: t.Any, source: str) -> None:
    """Send a message to the linked nodes, except the one that its rows came from."""
    for name, link in list(node.peers.links.items()):
        if name != source:
            link.send(message)


@handles_effect(VerdictFound)
def record_verdict(node: NodeContext, effect: VerdictFound) -> None:
    """Log and count a verdict."""
    report_verdict(node.metrics, effect)


@handles_effect(Replay)
def replay(node: NodeContext, effect: Replay) -> None:
    """Answer with the stored answer of an earlier request with the same key."""
    exchange = node.exchanges.get(effect.request_id)
    if exchange is None:
        return

    async def send() -> None:
        if isinstance(exchange, ChatExchange):
            await exchange.replay(effect.answer)
        else:
            headers = {"Content-Type": "application/json", "X-Replayed": "true"}
            await exchange.answer(effect.status, headers, effect.answer)
        node.finish(exchange, "ran")

    node.spawn(node.send_answer(exchange, send()))


@handles_effect(Cancel)
def cancel(node: NodeContext, effect: Cancel) -> None:
    """Stop reading the answer, and after ``CANCEL_GRACE_S`` cancel the engine's stream.

    In between another node can resume the stream; the engine then ignores the cancel, as a
    later reader has taken over.
    """
    exchange = node.exchanges.get(effect.request_id)
    view = node.state.endpoints.get(effect.endpoint)
    if exchange is None:
        return
    if exchange.task is not None:
        exchange.task.cancel()
    if not isinstance(exchange, ChatExchange) or view is None:
        return

    async def stop() -> None:
        await asyncio.sleep(defaults.CANCEL_GRACE_S)
        await node.endpoints.cancel(view.address, exchange.engine_stream, exchange.reader)

    node.spawn(stop())


@handles_effect(Forget)
def forget(node: NodeContext, effect: Forget) -> None:
    """Do nothing: ``finish`` removes the exchange once its answer has ended."""


@handles_effect(WriteLease)
def write_lease(node: NodeContext, effect: WriteLease) -> None:
    """Write the lease object, provided that its version is unchanged."""
    asked_at = clock.now()
    value = {
        "holder": node.settings.name if effect.nonce else "",
        "epoch": effect.epoch,
        "nonce": effect.nonce,
    }

    async def write() -> None:
        answer = await node.platform.put("lease", "control", value, effect.version)
        won, version = lease_objects.read_outcome(answer)
        node.submit(LeaseWritten(clock.now(), asked_at, effect.nonce, won, version))

    node.spawn(write())


@handles_effect(ReadDesired)
def read_desired(node: NodeContext, effect: ReadDesired) -> None:
    """Follow operators' resources while the lease is held, and read earlier holders' intents."""
    log("lease_acquired", node=node.settings.name, epoch=effect.epoch)
    node.spawn(platform_loops.follow_desired(node, effect.epoch))
    node.spawn(platform_loops.read_intents(node, effect.epoch))


@handles_effect(ReadHead)
def read_head(node: NodeContext, effect: ReadHead) -> None:
    """Read the head and its entries, retried until that succeeds."""
    node.spawn(platform_loops.read_head_until_success(node))


@handles_effect(Publish)
def publish(node: NodeContext, effect: Publish) -> None:
    """Write the shards, update the head and submit how that ended."""

    async def write() -> None:
        answer = await node.published.publish(
            effect.revision, effect.epoch, effect.head_version, effect.entries
        )
        now = clock.now()
        if isinstance(answer, Success):
            log("published", revision=effect.revision, entries=len(effect.entries))
            seen = RevisionSeen(now, effect.revision, effect.epoch, effect.entries)
            node.submit(seen)
            node.submit(Published(now, effect.revision, True, answer.unwrap()))
            await node.published.sweep(defaults.HEADS_KEPT)
            return
        log("publish_failed", "WARNING", revision=effect.revision, reason=answer.failure())
        lost = isinstance(answer.failure(), PlatformConflict)
        node.submit(Published(now, effect.revision, False if lost else None))

    node.spawn(write())


@handles_effect(WriteIntent)
def write_intent(node: NodeContext, effect: WriteIntent) -> None:
    """Record an order before it is sent.

    The write is conditional, so it fails if another lease holder has written since.
    """
    value = {"epoch": effect.epoch, "rows": [list(row) for row in effect.rows]}

    async def write() -> None:
        expected = node.intent_versions.get(effect.endpoint, 0)
        answer = await node.platform.put("intent", effect.endpoint, value, expected)
        won: bool | None = None
        match answer:
            case Success(version):
                node.intent_versions[effect.endpoint] = version
                won = True
            case Failure(PlatformConflict()):
                won = False
                await platform_loops.read_intents(node, effect.epoch)
        node.submit(IntentWritten(clock.now(), effect.endpoint, effect.sequence, won))

    node.spawn(write())


@handles_effect(SendOrder)
def send_order(node: NodeContext, effect: SendOrder) -> None:
    """Send an endpoint an order, and submit its answer."""
    view = node.state.endpoints.get(effect.endpoint)
    incarnation = view.report.incarnation if view and view.report else ""
    log(
        "order_sent",
        "DEBUG",
        endpoint=effect.endpoint,
        action=effect.action,
        model=effect.model,
        token=f"{effect.token[0]}.{effect.token[1]}",
    )

    async def send() -> None:
        accepted, reason = await node.endpoints.order(effect, incarnation)
        end = {True: "accepted", False: "refused", None: "unanswered"}[accepted]
        node.metrics.orders.inc({"action": effect.action, "end": end})
        level = "DEBUG" if accepted else "INFO"
        log(
            "order_answered",
            level,
            endpoint=effect.endpoint,
            action=effect.action,
            end=end,
            reason=reason,
        )
        node.submit(OrderAnswered(clock.now(), effect.endpoint, effect.token, accepted, reason))

    node.spawn(send())


@handles_effect(Announce)
def announce(node: NodeContext, effect: Announce) -> None:
    """Send a heartbeat now, so that the other nodes get the new state at once."""
    node.send_heartbeat()


@handles_effect(Stop)
def stop(node: NodeContext, effect: Stop) -> None:
    """Mark the node as drained, upon which it closes."""
    node.stopping.set()
