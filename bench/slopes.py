"""Measures a node's costs per endpoint, model, adapter, other node, request and change.

Each row gives the cost of one unit at one of several sizes, measured on this machine;
``docs/CAPACITY.md`` multiplies these costs by the sizes of the target deployment.
"""

import argparse
import gc
import time
import tracemalloc
import typing as t
from functools import partial

from rookspring import gossip
from rookspring import peers
from rookspring_core import Entry
from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import Resource
from rookspring_core import reduce
from rookspring_core.acceptance import RunnerMemory
from rookspring_core.acceptance import accept
from rookspring_core.catalogue import Catalogue
from rookspring_core.catalogue import build_catalogue
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EndpointReported
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import RequestArrived
from rookspring_core.events import RevisionSeen
from rookspring_core.events import Ticked
from rookspring_core.placement import PlanInput
from rookspring_core.placement import RunnerSnapshot
from rookspring_core.placement import find_placement
from rookspring_core.resources import ModelSpec
from rookspring_core.resources import PolicySpec

from .registry import experiment
from .registry import report

REPLICAS = 4


def make_entries(models: int, adapters: int) -> dict[str, Entry]:
    """Make the accepted resources of so many models and adapters."""
    entries: dict[str, Entry] = {}
    for number in range(models):
        spec = {"version": "v1", "memory_gb": 10.0, "engine": "e"}
        resource = Resource("Model", f"m-{number:04d}", spec, number + 1)
        entries[resource.key] = Entry(resource)
    for number in range(adapters):
        spec = {"model": f"m-{number % models:04d}", "memory_gb": 0.1}
        resource = Resource("Adapter", f"a-{number:05d}", spec, number + 1)
        entries[resource.key] = Entry(resource)
    return entries


def make_report(number: int, at: float, models: int) -> EndpointReported:
    """Make the load report of an endpoint, by its number."""
    resident = tuple((f"m-{(number * REPLICAS + i) % models:04d}", "v1") for i in range(REPLICAS))
    return EndpointReported(
        at, f"r-{number}", "1", 0.1, 16, 5, 0, 800.0, 100.0, 80.0, resident, held_gb=40.0
    )


def make_state(endpoints: int, models: int, adapters: int = 0, nodes: int = 0) -> NodeState:
    """Make a node that knows so many endpoints, models, adapters and other nodes."""
    state = NodeState(Identity("n", "n#1", "dc"), 0.0)
    reduce(state, RevisionSeen(1.0, 1, 1, make_entries(models, adapters)))
    rows = tuple(
        BoxListed(f"r-{number}", "a", "dc", "runner", "live", "e") for number in range(endpoints)
    )
    reduce(state, BoxListReceived(1.0, rows))
    for number in range(endpoints):
        reduce(state, make_report(number, 1.0, models))
    for number in range(nodes):
        reduce(state, make_heartbeat(number, 1.0, 0))
    return state


def make_heartbeat(number: int, at: float, models: int, inflight: int = 0) -> HeartbeatReceived:
    """Make the heartbeat of another node, by its number."""
    demand = tuple((f"m-{one:04d}", 12.5) for one in range(models))
    rows = tuple((f"r-{one}", 3) for one in range(inflight))
    return HeartbeatReceived(
        at, f"n-{number}", "1", "a", "a", "dc", 1, False, demand, (), 0, inflight=rows
    )


def measure_time_us(work: t.Callable[[int], t.Any], times: int) -> float:
    """Return the least processor time of a call in three rounds, in us; the first warms up."""
    best = float("inf")
    for turn in range(3):
        begun = time.process_time()
        for number in range(times):
            work(turn * times + number)
        best = min(best, (time.process_time() - begun) / times)
    return best * 1e6


def measure_memory(make: t.Callable[[], t.Any], units: int) -> float:
    """Return the bytes of memory per unit that a function's result takes."""
    gc.collect()
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held is not None
    return size / units


def _request(state: NodeState, number: int) -> None:
    now = state.now + 0.001
    name = f"q{number}"
    arrived = RequestArrived(now, name, "t", "m-0000", deadline_at=now + 60.0, tokens=60)
    reduce(state, arrived)
    reduce(state, AttemptStarted(now, name, 1))
    reduce(state, AttemptProgressed(now, name, 1, 60))
    reduce(state, AttemptSucceeded(now, name, 1, 200, b""))


def _processor_rows() -> t.Iterator[dict[str, t.Any]]:
    for endpoints in (10, 100, 1000):
        state = make_state(endpoints, 100)
        cost = measure_time_us(lambda number, state=state: _request(state, number), 300)
        yield _row("request, all events", "endpoints known", endpoints, cost, "us")
    for endpoints, models, adapters, nodes in (
        (10, 20, 100, 8),
        (100, 100, 500, 24),
        (1000, 990, 5000, 24),
    ):
        state = make_state(endpoints, models, adapters, nodes)
        cost = measure_time_us(lambda number, state=state: _tick(state), 30)
        yield _row("tick, no lease", "endpoints known", endpoints, cost, "us")
    for endpoints in (10, 100, 1000):
        state = make_state(endpoints, 100, 0, 24)
        cost = measure_time_us(
            lambda number, state=state: _receive_heartbeat(state, number, 30, 20), 100
        )
        yield _row("heartbeat taken", "endpoints known", endpoints, cost, "us")
    state = make_state(100, 100)
    cost = measure_time_us(
        lambda number: reduce(state, make_report(number % 100, state.now + 0.01, 100)), 500
    )
    yield _row("report taken", "endpoints known", 100, cost, "us")
    for models in (20, 200, 990):
        entries = make_entries(models, models * 5)
        before = build_catalogue(1, entries)
        changed = dict(entries)
        spec = {"version": "v2", "memory_gb": 10.0, "engine": "e"}
        changed["Model.m-0000"] = Entry(Resource("Model", "m-0000", spec, 99999))
        work = partial(_apply, changed, before)
        cost = measure_time_us(work, 3)
        yield _row("revision applied", "models, 5 adapters each", models, cost, "us")


def _apply(entries: dict[str, Entry], before: Catalogue, number: int) -> Catalogue:
    return build_catalogue(2, entries, before)


def _tick(state: NodeState) -> None:
    reduce(state, Ticked(state.now + 0.1))


def _receive_heartbeat(state: NodeState, number: int, models: int, inflight: int) -> None:
    reduce(state, make_heartbeat(number % 24, state.now + 0.01, models, inflight))


def _holder_rows() -> t.Iterator[dict[str, t.Any]]:
    for models, runners in ((20, 9), (200, 200), (990, 1015), (990, 7100)):
        given = _plan_input(models, runners)
        planner = find_placement("gain")
        cost = measure_time_us(lambda number, given=given, planner=planner: planner(given), 1)
        yield _row("plan (holder)", f"models on {runners} runners", models, cost / 1000, "ms")
    for models in (20, 200, 990):
        entries = make_entries(models, models * 5)
        runner_memory = tuple(RunnerMemory("e", 72.0) for _ in range(models))
        change = Resource("Model", "m-0000", {"version": "v2", "memory_gb": 10.0, "engine": "e"}, 9)
        desired = {one.resource.key: one.resource for one in entries.values() if one.resource}
        desired[change.key] = change
        cost = measure_time_us(partial(_accept, desired, entries, runner_memory), 3)
        yield _row("one change accepted", "models, 5 adapters each", models, cost / 1000, "ms")


def _accept(
    desired: dict[str, Resource],
    entries: dict[str, Entry],
    runner_memory: tuple[RunnerMemory, ...],
    number: int,
) -> dict[str, Entry]:
    return accept(desired.values(), entries, runner_memory)


def _plan_input(models: int, runners: int) -> PlanInput:
    specs = {f"m-{number:04d}": ModelSpec("v1", 10.0, "e") for number in range(models)}
    snapshots = tuple(
        RunnerSnapshot(
            f"r-{number}",
            f"dc-{number % 7}",
            "e",
            32.0,
            800.0,
            frozenset((f"m-{(number * REPLICAS + i) % models:04d}", "v1") for i in range(REPLICAS)),
            frozenset(),
            False,
        )
        for number in range(runners)
    )
    demand = dict.fromkeys(specs, 0.6 * 800.0 * runners / models)
    demand["m-0000"] *= 10.0
    return PlanInput(specs, snapshots, demand, PolicySpec(loads_at_once=20))


def _byte_rows() -> t.Iterator[dict[str, t.Any]]:
    for models, inflight in ((0, 0), (15, 9), (100, 100)):
        heartbeat = make_heartbeat(1, 0.0, models, inflight)
        item = peers.Heartbeat(
            heartbeat.name,
            heartbeat.incarnation,
            heartbeat.address,
            heartbeat.caller_address,
            heartbeat.data_centre,
            heartbeat.revision,
            heartbeat.leaving,
            [list(one) for one in heartbeat.demand],
            [],
            0,
            [list(one) for one in heartbeat.inflight],
        )
        size = len(peers.encode(item))
        yield _row("heartbeat", f"models, {inflight} endpoints in flight", models, size, "bytes")
    size = len(peers.encode(peers.Reports([gossip.encode_report(make_report(1, 0.0, 100), 0.0)])))
    yield _row("report digest", "endpoint", 1, size, "bytes")
    log = gossip.ReportLog()
    log.row_for(make_report(1, 0.0, 100), 0.0)
    size = len(peers.encode(peers.Reports([log.row_for(make_report(1, 0.0, 100), 1.0)])))
    yield _row("report digest, unchanged", "endpoint", 1, size, "bytes")
    history = gossip.RevisionHistory()
    entries = make_entries(990, 4950)
    history.add(1, 1, entries)
    whole = len(peers.encode(history.delta(0)))
    yield _row("revision, whole", "models, 5 adapters each", 990, whole, "bytes")
    changed = dict(entries)
    changed["Model.m-0000"] = Entry(Resource("Model", "m-0000", {"version": "v2"}, 99999))
    history.add(2, 1, changed)
    yield _row("revision, delta", "change", 1, len(peers.encode(history.delta(1))), "bytes")


def _memory_rows() -> t.Iterator[dict[str, t.Any]]:
    base = measure_memory(lambda: make_state(0, 1), 1)
    cost = (
        measure_memory(lambda: make_state(500, 100), 1)
        - measure_memory(lambda: make_state(0, 100), 1)
    ) / 500
    yield _row("endpoint known", "endpoint", 500, cost, "bytes")
    cost = (measure_memory(lambda: make_state(0, 500), 1) - base) / 500
    yield _row("model in force", "model", 500, cost, "bytes")
    cost = (
        measure_memory(lambda: make_state(0, 10, 1000), 1)
        - measure_memory(lambda: make_state(0, 10), 1)
    ) / 1000
    yield _row("adapter in force", "adapter", 1000, cost, "bytes")
    cost = (measure_memory(lambda: make_state(0, 1, 0, 200), 1) - base) / 200
    yield _row("node heard", "node", 200, cost, "bytes")
    yield _row("request waiting", "request", 1000, measure_memory(_waiting, 1000), "bytes")


def _waiting() -> NodeState:
    state = make_state(0, 1)
    for number in range(1000):
        now = state.now
        reduce(
            state, RequestArrived(now, f"q{number}", "t", "m-0000", deadline_at=now + 60, tokens=60)
        )
    return state


def _row(what: str, by: str, size: int, cost: float, unit: str) -> dict[str, t.Any]:
    return {"what": what, "by": by, "size": size, "cost": round(cost, 2), "unit": unit}


@experiment("slopes")
def run(arguments: list[str]) -> int:
    """Measure all costs."""
    argparse.ArgumentParser("slopes").parse_args(arguments)
    rows = [*_processor_rows(), *_holder_rows(), *_byte_rows(), *_memory_rows()]
    report("slopes", "cost of a node's work per unit, on one core", rows)
    return 0
