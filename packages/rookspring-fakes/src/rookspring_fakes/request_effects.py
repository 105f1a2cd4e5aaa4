"""Requests at runners and services in the simulation, and the endpoints' reports."""

import typing as t

from rookspring_core.effects import AttachStream
from rookspring_core.effects import Cancel
from rookspring_core.effects import Dispatch
from rookspring_core.effects import Refuse
from rookspring_core.effects import Replay
from rookspring_core.effects import ShareEvidence
from rookspring_core.effects import ShareLeaving
from rookspring_core.effects import Stop
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import EndpointReported
from rookspring_core.events import EvidenceReceived
from rookspring_core.events import LeavingReceived
from rookspring_core.events import NoticeReceived
from rookspring_core.notices import Notice

from .effect_registry import handles_effect
from .engine import Engine
from .engine import GenerationRequest
from .engine import NotRun

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World


@handles_effect(Dispatch)
def _dispatch(world: "World", node: "VirtualNode", effect: Dispatch) -> None:
    wait = max(0.0, effect.not_before - world.clock.now)
    world.clock.call(wait, _send, world, node, effect)


def _send(world: "World", node: "VirtualNode", effect: Dispatch) -> None:
    request = node.state.requests.get(effect.request_id)
    if request is None or not node.alive or request.attempt != effect.attempt:
        return
    dead = effect.endpoint in world.crashed_engines
    if dead or not world.reachable(node.name, effect.endpoint):
        failed = AttemptFailed(
            0.0, effect.request_id, effect.attempt, False, False, "refused", down=dead
        )
        world.clock.call(world.latency_s, node.submit, failed)
        return
    world.attempts += 1
    node.submit(AttemptStarted(0.0, effect.request_id, effect.attempt))
    if request.arrived.service:
        world.clock.call(world.latency_s, _run_service, world, node, effect, request.arrived)
    else:
        world.clock.call(world.latency_s, _run_stream, world, node, effect, request.arrived)


def _fail(
    world: "World", node: "VirtualNode", effect: t.Any, reason: str, not_run: bool = False
) -> None:
    if reason == "leaving":
        notice = NoticeReceived(0.0, effect.endpoint, 0, Notice(leaving=True))
        world.clock.call(world.latency_s, node.submit, notice)
    failed = AttemptFailed(0.0, effect.request_id, effect.attempt, True, not_run, reason)
    world.clock.call(world.latency_s, node.submit, failed)


def _check_leaving(world: "World", endpoint: str) -> None:
    since = world.leaving_at.get(endpoint)
    if since is not None and world.clock.now - since > 5.0:
        world.violations.append(
            f"{endpoint} got work {world.clock.now - since:.1f}s after it began to leave"
        )


def _run_stream(world: "World", node: "VirtualNode", effect: Dispatch, arrived: t.Any) -> None:
    engine = world.engines[effect.endpoint]
    _check_leaving(world, effect.endpoint)
    if effect.endpoint in world.crashed_engines:
        _fail(world, node, effect, "reset")
        return
    stream = f"{arrived.request_id}.{effect.attempt}.{node.state.identity.incarnation}"
    generation = GenerationRequest(
        stream,
        arrived.target,
        arrived.adapter,
        str(arrived.prefix or arrived.request_id),
        arrived.tokens,
        effect.offset,
        rank=1,
        prefill=arrived.prompt_tokens,
    )
    try:
        engine.submit(world.clock.now, generation)
    except NotRun as error:
        _fail(world, node, effect, str(error), not_run=True)
        return
    world.stream_owners[stream] = (node, effect.request_id, effect.attempt, effect.offset)
    schedule_check(world, engine)


def schedule_check(world: "World", engine: Engine) -> None:
    """Schedule the next check of an engine for when its next stream or load ends.

    Nothing is scheduled if a check no later than that is pending.
    """
    due = engine.next_change()
    if due >= engine.next_check_at - 1e-9 and engine.next_check_at > world.clock.now:
        return
    if due < float("inf"):
        engine.next_check_at = due
        world.clock.call(due - world.clock.now, _advance_engine, world, engine, due)


def _advance_engine(world: "World", engine: Engine, due: float | None = None) -> None:
    if due is not None and due != engine.next_check_at:
        # An earlier check was scheduled since, which replaces this one.
        return
    if due is not None:
        engine.next_check_at = -1.0
    if engine.faults.killed or engine.faults.paused:
        return
    engine.advance(world.clock.now)
    for stream in engine.take_ended():
        _finish_stream(world, engine, stream)
    schedule_check(world, engine)


def _finish_stream(world: "World", engine: Engine, stream: str) -> None:
    if stream not in engine.streams:
        return
    generation = engine.streams[stream].request
    owner = world.stream_owners.pop(stream, None)
    engine.streams.pop(stream, None)
    if owner is None:
        return
    node, request_id, attempt, offset = owner
    progress = AttemptProgressed(0.0, request_id, attempt, generation.total - offset)
    world.clock.call(world.latency_s, node.submit, progress)
    world.clock.call(world.latency_s, _succeed, world, node, request_id, attempt)


def _succeed(world: "World", node: "VirtualNode", request_id: str, attempt: int) -> None:
    request = node.state.requests.get(request_id)
    if not node.alive or request is None or request.attempt != attempt:
        return
    if node.paused:
        node.missed_events.append(AttemptSucceeded(0.0, request_id, attempt))
        world.clock.call(1.0, _record_if_ended, world, node, request_id)
        return
    if not request.arrived.service and request.delivered != request.arrived.tokens:
        world.violations.append(
            f"{request_id}: {request.delivered} of {request.arrived.tokens} tokens"
        )
    node.submit(AttemptSucceeded(0.0, request_id, attempt, 200, b"answer"))
    world.record_result(node, request_id, "ran", 200, "", 0.0)


def _record_if_ended(world: "World", node: "VirtualNode", request_id: str) -> None:
    if node.paused:
        world.clock.call(1.0, _record_if_ended, world, node, request_id)
    elif node.alive and request_id not in node.state.requests and request_id not in world.results:
        world.record_result(node, request_id, "ran", 200, "", 0.0)


def break_stream(world: "World", engine: Engine, stream: str) -> None:
    """Break a stream whose runner crashed, after its tokens so far reached the entry node."""
    owner = world.stream_owners.pop(stream, None)
    if owner is None:
        return
    node, request_id, attempt, offset = owner
    made = engine.produced(engine.streams[stream])
    if made > offset:
        node.submit(AttemptProgressed(0.0, request_id, attempt, made - offset))
    node.submit(
        AttemptFailed(0.0, request_id, attempt, True, False, "reset", down=True, broken=True)
    )


@handles_effect(ShareLeaving)
def _share_leaving(world: "World", node: "VirtualNode", effect: ShareLeaving) -> None:
    for other in world.nodes.values():
        if other is not node and other.alive and world.reachable(node.name, other.name):
            event = LeavingReceived(0.0, effect.rows, node.name)
            world.clock.call(world.latency_s, other.submit, event)


@handles_effect(ShareEvidence)
def _share_evidence(world: "World", node: "VirtualNode", effect: ShareEvidence) -> None:
    for other in world.nodes.values():
        if other is not node and other.alive and world.reachable(node.name, other.name):
            event = EvidenceReceived(0.0, effect.evidence, node.name)
            world.clock.call(world.latency_s, other.submit, event)


def _run_service(world: "World", node: "VirtualNode", effect: Dispatch, arrived: t.Any) -> None:
    service = world.services[effect.endpoint]
    _check_leaving(world, effect.endpoint)
    if service.leaving_at is not None:
        _fail(world, node, effect, "leaving", not_run=True)
        return
    if service.faults.draw("lose"):
        _fail(world, node, effect, "reset")
        return
    call = arrived.body_digest
    service.runs[call] = service.runs.get(call, 0) + 1
    answer = world.results.get(arrived.request_id)
    if answer is not None and answer.outcome == "not_run":
        world.violations.append(f"{arrived.request_id} ran after it was answered not_run")
    if service.faults.draw("applied_unanswered"):
        _fail(world, node, effect, "reset")
        return
    world.clock.call(service.work_s, _succeed, world, node, effect.request_id, effect.attempt)


@handles_effect(AttachStream)
def _attach(world: "World", node: "VirtualNode", effect: AttachStream) -> None:
    _fail(world, node, effect, "no such stream")


@handles_effect(Refuse)
def _refuse(world: "World", node: "VirtualNode", effect: Refuse) -> None:
    world.record_result(
        node,
        effect.request_id,
        effect.outcome,
        effect.status,
        effect.reason,
        effect.retry_after_s,
    )


@handles_effect(Replay)
def _replay(world: "World", node: "VirtualNode", effect: Replay) -> None:
    world.record_result(node, effect.request_id, "ran", effect.status, "replay", 0.0)


@handles_effect(Cancel)
def _cancel(world: "World", node: "VirtualNode", effect: Cancel) -> None:
    stream = f"{effect.request_id}.{effect.attempt}.{node.state.identity.incarnation}"
    world.stream_owners.pop(stream, None)
    engine = world.engines.get(effect.endpoint)
    if engine is not None and effect.endpoint not in world.crashed_engines:
        engine.cancel(world.clock.now, stream)
        schedule_check(world, engine)


def make_report(world: "World", endpoint: str) -> EndpointReported:
    """Return an endpoint's current report."""
    service = world.services.get(endpoint)
    if service is not None:
        leaving = service.leaving_at is not None
        return EndpointReported(0.0, endpoint, "1", 0.0, 64, 0, 0, 1e5, 1e5, 0.0, leaving=leaving)
    engine = world.engines[endpoint]
    _advance_engine(world, engine)
    raw = engine.report(world.clock.now)
    return EndpointReported(
        at=0.0,
        endpoint=endpoint,
        incarnation=raw["incarnation"],
        age_s=raw["age_s"],
        slots=raw["slots"],
        running=raw["running"],
        queued=raw["queued"],
        token_rate=raw["token_rate"],
        stream_rate=raw["stream_rate"],
        memory_gb=raw["memory_gb"],
        resident=tuple((one[0], one[1]) for one in raw["resident"]),
        loading=tuple((one[0], one[1]) for one in raw["loading"]),
        adapters=tuple(raw["adapters"]),
        held_gb=raw["held_gb"],
        leaving=raw["leaving"],
        checks_orders=raw["checks_orders"],
        order_token=(raw["order_token"][0], raw["order_token"][1]),
    )


@handles_effect(Stop)
def _stop(world: "World", node: "VirtualNode", effect: Stop) -> None:
    if node.state.requests and not node.state.hurry:
        world.violations.append(f"{node.name} stopped with requests in flight")
    node.alive = False
    world.boxes.pop(node.name, None)
