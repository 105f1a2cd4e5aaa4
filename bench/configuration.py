"""Measures configuration changes: calls, bytes, and the delay until every node applies them."""

import argparse
import random
import typing as t

import orjson

from rookspring.gossip import RevisionHistory
from rookspring.messages import encode
from rookspring_core import defaults
from rookspring_fakes import effects as world_effects
from rookspring_fakes.users import USERS
from rookspring_fakes.world import World

from .registry import experiment
from .registry import quantile
from .registry import report


class Way(t.NamedTuple):
    """A way to publish changes and to spread them to the nodes.

    :param batch_s: how long changes are collected before they are published together.
    :param relays: how many nodes of each data centre watch the platform for the others.
    """

    name: str
    batch_s: float
    relays: int


WAYS = (
    Way("batched, relayed", defaults.PUBLISH_BATCH_S, defaults.RELAYS_PER_DATA_CENTRE),
    Way("one by one, relayed", 0.0, defaults.RELAYS_PER_DATA_CENTRE),
    Way("batched, each reads", defaults.PUBLISH_BATCH_S, 10_000),
)


def _measure(
    way: Way, nodes: int, rate: float, length_s: float, disturbed: bool
) -> dict[str, t.Any]:
    before = (defaults.PUBLISH_BATCH_S, defaults.RELAYS_PER_DATA_CENTRE)
    defaults.PUBLISH_BATCH_S, defaults.RELAYS_PER_DATA_CENTRE = way.batch_s, way.relays
    try:
        return _run_world(way, nodes, rate, length_s, disturbed)
    finally:
        defaults.PUBLISH_BATCH_S, defaults.RELAYS_PER_DATA_CENTRE = before


def _run_world(
    way: Way, nodes: int, rate: float, length_s: float, disturbed: bool
) -> dict[str, t.Any]:
    world = World(USERS["fjordlap"], seed=4, nodes=nodes, full_checks=False)
    world.declare()
    world.clock.run(12.0)
    rng = random.Random(4)
    start = world.clock.now
    calls = world.platform_calls
    first = max(world.published)
    written: dict[int, float] = {}

    def change() -> None:
        if world.clock.now >= start + length_s:
            return
        names = sorted(name for kind, name in world.store.objects if name.startswith("Service."))
        found = world.store.objects[("resource", names[0])]
        raw = world_effects.unpack(found.value)
        raw[2]["concurrency"] = rng.randint(1, 1000)
        stored = world.store.put("resource", names[0], world_effects.pack(raw), found.version)
        written[stored.version] = world.clock.now
        world.clock.call(rng.expovariate(rate), change)

    world.clock.call(0.0, change)
    if disturbed:
        for turn in range(3):
            world.clock.call(4.0 * turn, _restart_node, world, f"box-{nodes - 1 - turn}")
        world.clock.call(6.0, _set_outage, world, True)
        world.clock.call(10.0, _set_outage, world, False)
    world.clock.run(start + length_s + 15.0)
    delays = _delays(world, written, start + length_s)
    revisions = max(world.published) - first
    return {
        "way": way.name,
        "nodes": nodes,
        "changes/s": rate,
        "revisions": revisions,
        "platform calls/s": round((world.platform_calls - calls) / (length_s + 15.0), 2),
        "delta bytes/s a node": round(_delta_bytes(world) * revisions / length_s),
        "in force p50 s": round(quantile(delays, 0.5), 3),
        "p99 s": round(quantile(delays, 0.99), 3),
        "worst s": round(max(delays, default=float("nan")), 3),
        "reverts": sum("reverted" in one for one in world.violations),
    }


def _restart_node(world: World, name: str) -> None:
    world.kill_node(name)
    world.clock.call(1.0, world.start_node, name)


def _set_outage(world: World, out: bool) -> None:
    world.platform_faults.outage = out


def _delays(world: World, written: dict[int, float], until: float) -> list[float]:
    """Return the seconds from each write until all nodes that are live now had applied it."""
    key = next(name for kind, name in world.store.objects if name.startswith("Service."))
    accepted = {
        revision: entries[key].resource.version
        for revision, (_, entries) in world.published.items()
        if key in entries and entries[key].resource is not None
    }
    in_force: dict[int, float] = {}
    for revision, at in world.applied_by_all_at.items():
        in_force[accepted.get(revision, 0)] = max(at, in_force.get(accepted.get(revision, 0), 0.0))
    delays: list[float] = []
    for version, at in written.items():
        later = [applied for held, applied in in_force.items() if held >= version]
        if later:
            delays.append(min(later) - at)
    return delays


def _delta_bytes(world: World) -> int:
    """Return the encoded size of the delta between the last two revisions."""
    history = RevisionHistory()
    revisions = sorted(world.published)[-2:]
    for revision in revisions:
        history.add(revision, 1, world.published[revision][1])
    return len(encode(history.delta(revisions[0])))


@experiment("config")
def run(arguments: list[str]) -> int:
    """Measure every way at several rates of change and numbers of nodes."""
    parser = argparse.ArgumentParser("config")
    parser.add_argument("--length", type=float, default=15.0)
    parser.add_argument("--most", type=int, default=100, help="skip larger numbers of nodes")
    options = parser.parse_args(arguments)
    rows: list[dict[str, t.Any]] = []
    for nodes in (3, 9, 30, 100, 300):
        if nodes > options.most:
            continue
        for rate in (0.1, 1.0, 10.0, 50.0):
            if nodes > 30 and rate not in (1.0, 10.0):
                continue
            for way in WAYS:
                rows.append(_measure(way, nodes, rate, options.length, False))
    rows.append(_measure(WAYS[0], 9, 10.0, options.length, True))
    rows[-1]["way"] = "batched, disturbed"
    report("config", "changes until every node applies them", rows)
    print(orjson.dumps({"reverts": sum(row["reverts"] for row in rows)}).decode())
    return int(any(row["reverts"] for row in rows))
