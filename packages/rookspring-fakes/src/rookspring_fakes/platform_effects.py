"""Platform effects in the simulation: conditional writes, with outages and lost answers."""

import typing as t

from rookspring_core import Entry
from rookspring_core import Resource
from rookspring_core.effects import Publish
from rookspring_core.effects import ReadDesired
from rookspring_core.effects import ReadHead
from rookspring_core.effects import WriteIntent
from rookspring_core.effects import WriteLease
from rookspring_core.events import DesiredSeen
from rookspring_core.events import HeadSeen
from rookspring_core.events import IntentsSeen
from rookspring_core.events import IntentWritten
from rookspring_core.events import LeaseWritten
from rookspring_core.events import Published
from rookspring_core.events import RevisionSeen

from .effect_registry import handles_effect
from .effect_registry import pack
from .effect_registry import unpack
from .store import StoreError

if t.TYPE_CHECKING:
    from .world import VirtualNode
    from .world import World


def _write(
    world: "World",
    node: "VirtualNode",
    work: t.Callable[[], t.Any],
    answer: t.Callable[[bool | None, t.Any], None],
) -> None:
    """Perform a conditional write.

    :param work: does the write.
    :param answer: gets True and the result, False on a conflict, or None if no answer came, in
        which case the write may still have been applied.
    """
    world.platform_calls += 1
    if not world.reachable(node.name, "platform"):
        world.clock.call(1.0, answer, None, None)
        return
    delay = world.latency_s + world.platform_faults.slow_s
    world.clock.call(delay, _apply_write, world, work, answer)


def _apply_write(
    world: "World", work: t.Callable[[], t.Any], answer: t.Callable[[bool | None, t.Any], None]
) -> None:
    if world.platform_faults.outage:
        world.clock.call(1.0, answer, None, None)
        return
    try:
        result = work()
    except StoreError:
        world.clock.call(world.latency_s, answer, False, None)
        return
    if world.platform_faults.draw("applied_unanswered"):
        world.clock.call(1.0, answer, None, None)
        return
    world.clock.call(world.latency_s, answer, True, result)


@handles_effect(WriteLease)
def _write_lease(world: "World", node: "VirtualNode", effect: WriteLease) -> None:
    asked_at = world.clock.now
    value = pack(
        {
            "holder": node.name if effect.nonce else "",
            "epoch": effect.epoch,
            "nonce": effect.nonce,
        }
    )

    def work() -> int:
        return world.store.put("lease", "control", value, effect.version).version

    def answer(won: bool | None, version: int | None) -> None:
        node.submit(LeaseWritten(0.0, asked_at, effect.nonce, won, version or 0))

    _write(world, node, work, answer)


@handles_effect(ReadDesired)
def _read_desired(world: "World", node: "VirtualNode", effect: ReadDesired) -> None:
    node.desired_epoch = effect.epoch
    _follow_desired(world, node, effect.epoch)
    _read_intents(world, node, effect.epoch)


def _follow_desired(world: "World", node: "VirtualNode", epoch: int) -> None:
    if not node.alive or node.state.control.acting_epoch != epoch:
        return
    if world.reachable(node.name, "platform") and not node.paused:
        world.platform_calls += 1
        _, rows = world.store.list_kind("resource")
        resources = []
        for row in rows:
            raw = unpack(row.value)
            resources.append(Resource(raw[0], raw[1], raw[2], row.version))
        world.clock.call(world.latency_s, node.submit, DesiredSeen(0.0, tuple(resources)))
    world.clock.call(0.3, _follow_desired, world, node, epoch)


def _read_intents(world: "World", node: "VirtualNode", epoch: int) -> None:
    if not node.alive or node.state.control.acting_epoch != epoch:
        return
    if not world.reachable(node.name, "platform"):
        world.clock.call(1.0, _read_intents, world, node, epoch)
        return
    world.platform_calls += 1
    _, rows = world.store.list_kind("intent")
    node.intent_versions = {row.name: row.version for row in rows}
    intents = tuple(
        (row.name, tuple((one[0], one[1], one[2], one[3]) for one in unpack(row.value)["rows"]))
        for row in rows
    )
    world.clock.call(world.latency_s, node.submit, IntentsSeen(0.0, intents))


@handles_effect(ReadHead)
def _read_head(world: "World", node: "VirtualNode", effect: ReadHead) -> None:
    if not node.alive:
        return
    if not world.reachable(node.name, "platform"):
        world.clock.call(1.0, _read_head, world, node, effect)
        return
    world.platform_calls += 1
    found = world.store.objects.get(("published", "head"))
    if found is None:
        world.clock.call(world.latency_s, node.submit, HeadSeen(0.0, 0, 0))
        return
    revision = unpack(found.value)["revision"]
    epoch, entries = world.published[revision]
    seen = RevisionSeen(0.0, revision, epoch, entries)
    world.clock.call(world.latency_s, node.submit, seen)
    head = HeadSeen(0.0, found.version, revision)
    world.clock.call(world.latency_s, node.submit, head)


@handles_effect(Publish)
def _publish(world: "World", node: "VirtualNode", effect: Publish) -> None:
    value = pack({"revision": effect.revision, "epoch": effect.epoch})

    def work() -> int:
        stored = world.store.put("published", "head", value, effect.head_version)
        if effect.revision in world.published:
            world.violations.append(f"revision {effect.revision} was published twice")
        entries: dict[str, Entry] = dict(effect.entries)
        world.published[effect.revision] = (effect.epoch, entries)
        world.published_at[effect.revision] = world.clock.now
        return stored.version

    def answer(won: bool | None, version: int | None) -> None:
        if won:
            node.submit(RevisionSeen(0.0, effect.revision, effect.epoch, effect.entries))
        node.submit(Published(0.0, effect.revision, won, version or 0))

    _write(world, node, work, answer)


@handles_effect(WriteIntent)
def _write_intent(world: "World", node: "VirtualNode", effect: WriteIntent) -> None:
    value = pack({"rows": [list(row) for row in effect.rows]})

    def work() -> int:
        expected = node.intent_versions.get(effect.endpoint, 0)
        return world.store.put("intent", effect.endpoint, value, expected).version

    def answer(won: bool | None, version: int | None) -> None:
        if won and version is not None:
            node.intent_versions[effect.endpoint] = version
        elif won is False:
            _read_intents(world, node, effect.epoch)
        node.submit(IntentWritten(0.0, effect.endpoint, effect.sequence, won))

    _write(world, node, work, answer)
