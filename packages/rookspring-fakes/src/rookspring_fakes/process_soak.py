"""Soak test of real node processes under load: a seed draws troubles, which may overlap.

Nodes are stopped, frozen, killed, and sent SIGHUP to reload their settings. The store is
unavailable, or restored from an older backup. Nodes lose their links to all endpoints. The
configuration changes. Endpoints state in their
answers alone that they are leaving, request a back-off, or accept only so many requests per
second. A share of the answers comes without a length: whole ones, or in soaks of two versions from
endpoints that freeze, break off, crash, or close or reset their connections and live on.
"""

import asyncio
import random
import re
import signal
import time
import typing as t

from .cut_links import CUTS
from .model_server import RESUMABLE_ENDS
from .process_allowance import count_owed
from .process_allowance import find_limited
from .process_callers import ProcessCallers
from .process_callers import find_cut_sound
from .process_callers import find_violations
from .process_streams import StreamCallers
from .process_streams import find_stream_violations
from .process_streams import replace_crashed
from .process_traces import trace_failures
from .processes import EXIT_SLACK_S
from .processes import GRACE_S
from .processes import ProcessStage

# The shortest and the longest time from the start of one trouble to that of the next, in seconds.
TROUBLE_INTERVAL_S = (0.2, 0.9)
SERVERS = 3
VERSIONED_SERVERS = 6
# The share of whole answers that end with their connection, where no endpoint breaks any off.
SOUND_SHARE = 0.3
# How long a part of prompts crashes endpoints, in seconds.
FATAL_PART_S = 8.0
# How often an endpoint drops its streams in one trouble, and the pause after each time in seconds.
STREAM_DROPS = 5
STREAM_DROP_INTERVAL_S = (0.1, 0.4)
# Interval of checking whether a node has cut its links, in seconds.
CUT_CHECK_S = 0.01
# The share of replaced keys that are revoked.
KEY_REVOKED_SHARE = 0.8

Trouble = t.Callable[["ProcessSoak"], t.Coroutine[t.Any, t.Any, None]]
TROUBLES: dict[str, Trouble] = {}
# Troubles of soaks whose requests need keys.
KEY_TROUBLES = {"keys are replaced"}
# Troubles of soaks with streams of two versions.
STREAM_TROUBLES = {
    "a part of prompts crashes endpoints",
    "an endpoint breaks off streams without a length",
    "an endpoint closes bodies without a length in their midst and lives on",
    "an endpoint closes its streams, drops their runs and lives on",
    "an endpoint resets its streams, drops their runs and lives on",
    "an endpoint freezes",
    "an endpoint is killed and started again under its name",
}


def trouble(name: str) -> t.Callable[[Trouble], Trouble]:
    """Register a trouble: a coroutine that begins it and returns once it is over."""

    def register(begin: Trouble) -> Trouble:
        TROUBLES[name] = begin
        return begin

    return register


class Outcome(t.NamedTuple):
    """The result of a soak: counts of requests, of answers and of troubles, and the violations.

    :param owed: how many requests were owed an answer, as endpoints' rates allow them.
    :param closed_well: how many whole answers endpoints ended with their connection.
    :param cut_sound: those of them that weren't delivered as whole.
    """

    requests: int
    answered: int
    owed: float
    troubles: dict[str, int]
    violations: list[str]
    closed_well: int
    cut_sound: list[str]


class ProcessSoak:
    """One soak test, whose troubles and their times are drawn by the seed.

    :param keyed: requests need keys, which are replaced during the test.
    :param versioned: endpoints are of two versions, callers take up streams at other nodes, and
        parts of prompts crash endpoints.
    """

    def __init__(
        self,
        seed: int,
        nodes: int,
        callers: int,
        host_block: int,
        keyed: bool = False,
        versioned: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        keys = ("key-0",) if keyed else ()
        self._versioned = versioned
        if versioned:
            versions = ("v1", "v2")
            # In half of the soaks the endpoints' reports list runs.
            lists = seed % 2 == 1
            self.stage = ProcessStage(nodes, VERSIONED_SERVERS, host_block, keys, versions, lists)
        else:
            self.stage = ProcessStage(nodes, SERVERS, host_block, keys)
            self.stage.sound_share = SOUND_SHARE
        self._seed = seed
        self._count = callers
        self.busy: set[str] = set()
        self.late: list[str] = []
        self.troubles: dict[str, int] = {}
        # The troubles in the order of their begins, each with its time.
        self.began: list[tuple[float, str]] = []

    async def run(self, seconds: float) -> Outcome:
        """Draw troubles for a time, stop everything, and check the guarantees."""
        try:
            await self.stage.start()
        except BaseException:
            # The nodes that have started would run on.
            await self.stage.stop()
            raise
        callers = ProcessCallers(self.stage, self._count, self._seed)
        readers = StreamCallers(self.stage, self._count if self._versioned else 0, self._seed)
        draws = [asyncio.ensure_future(self._draw(seconds))]
        try:
            await draws[0]
        finally:
            await asyncio.gather(callers.stop(), readers.stop())
            self.late += await self.stage.stop()
        broken = find_violations(self.stage, callers.records)
        broken += find_stream_violations(self.stage, readers.streams)
        broken += [f"process did not exit within its grace period: {name}" for name in self.late]
        for node in self.stage.nodes:
            if "event=effect_failed" in node.log_text or "InvariantBroken" in node.log_text:
                broken.append(f"internal error in the log of {node.name}")
        broken += [
            f"two nodes acquired the lease with fence {fence}"
            for fence in _shared_fences(self.stage)
        ]
        related = {parts[0].key: [part.key for part in parts] for parts in readers.streams if parts}
        broken = trace_failures(self.stage, broken, related, self.began)
        cut = find_cut_sound(self.stage, callers.records)
        cut = trace_failures(self.stage, cut, related, self.began)
        answered = sum(one.status == 200 for one in callers.records)
        limited = find_limited(one.work_period() for one in self.stage.servers)
        owed = count_owed([one.ended_at for one in callers.records], limited)
        closed_well = sum(len(one.closed_well) for one in self.stage.servers)
        return Outcome(
            len(callers.records), answered, owed, self.troubles, broken, closed_well, cut
        )

    async def _draw(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        tasks = []
        names = sorted(
            TROUBLES.keys()
            - (set() if self.stage.keys else KEY_TROUBLES)
            - (set() if self._versioned else STREAM_TROUBLES)
        )
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(*TROUBLE_INTERVAL_S))
            name = self.random.choice(names)
            self.troubles[name] = self.troubles.get(name, 0) + 1
            self.began.append((time.monotonic(), name))
            tasks.append(asyncio.ensure_future(TROUBLES[name](self)))
        await asyncio.gather(*tasks)

    def pick_node(self) -> t.Any:
        """Return a random node that no trouble affects now; None unless at least two are free."""
        free = [one for one in self.stage.nodes if one.name not in self.busy]
        return self.random.choice(free) if len(free) > 1 else None


def _shared_fences(stage: ProcessStage) -> list[str]:
    """Return the fences with which, by their logs, more than one node acquired the lease."""
    takers: dict[str, set[str]] = {}
    for node in stage.nodes:
        for fence in re.findall(r"event=lease_acquired .*epoch=(\d+)", node.log_text):
            takers.setdefault(fence, set()).add(node.name)
    return [fence for fence, names in takers.items() if len(names) > 1]


@trouble("a node is stopped as planned and started again")
async def stop_node(soak: ProcessSoak) -> None:
    """Stop a node with SIGTERM and restart it; none of its requests may be cut off."""
    node = soak.pick_node()
    if node is None:
        return
    soak.busy.add(node.name)
    node.process.send_signal(signal.SIGTERM)
    if not await node.wait_exit(GRACE_S + EXIT_SLACK_S):
        soak.late.append(node.name)
    await node.start()
    await node.wait_ready()
    soak.busy.discard(node.name)


@trouble("a node is killed and started again")
async def kill_node(soak: ProcessSoak) -> None:
    """Kill a node and restart it, without the state that it had."""
    node = soak.pick_node()
    if node is None:
        return
    soak.busy.add(node.name)
    node.signal(signal.SIGKILL)
    await node.wait_exit(EXIT_SLACK_S)
    await asyncio.sleep(soak.random.uniform(0.0, 1.0))
    await node.start()
    await node.wait_ready()
    soak.busy.discard(node.name)


@trouble("a node freezes")
async def freeze_node(soak: ProcessSoak) -> None:
    """Pause a node with SIGSTOP, in some cases for longer than its lease lasts."""
    node = soak.pick_node()
    if node is None:
        return
    soak.busy.add(node.name)
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.choice((0.2, 1.0, 3.5)))
    node.signal(signal.SIGCONT)
    soak.busy.discard(node.name)


@trouble("a node loses its links to all endpoints")
async def cut_node(soak: ProcessSoak) -> None:
    """Cut a node's links to endpoints, whatever else happens to it; some cuts are short."""
    linked = [one for one in soak.stage.nodes if not one.is_cut]
    if not linked:
        return
    node = soak.random.choice(linked)
    node.cut(soak.random.choice(sorted(CUTS)))
    end = time.monotonic() + soak.random.choice((0.5, 2.0, 5.0, 7.0))
    while time.monotonic() < end and not node.note_cut():
        await asyncio.sleep(CUT_CHECK_S)
    await asyncio.sleep(max(0.0, end - time.monotonic()))
    node.heal()


@trouble("a node is told of changes")
async def reload_node(soak: ProcessSoak) -> None:
    """Have a node reload its settings, which are unchanged, so that nothing may change."""
    node = soak.pick_node()
    if node is not None:
        node.process.send_signal(signal.SIGHUP)


@trouble("the store is away")
async def interrupt_store(soak: ProcessSoak) -> None:
    """Reset or close the connection of each call of the store for a while."""
    soak.stage.store.faults.closes = soak.random.random() < 0.5
    soak.stage.store.faults.outage = True
    await asyncio.sleep(soak.random.uniform(0.3, 3.0))
    soak.stage.store.faults.outage = False


@trouble("the store comes back from an older copy")
async def restore_store(soak: ProcessSoak) -> None:
    """Restore the store after an outage; lost objects are rewritten within a second."""
    copy = soak.stage.store.store.copy()
    await asyncio.sleep(soak.random.uniform(0.5, 6.0))
    soak.stage.store.faults.outage = True
    await asyncio.sleep(soak.random.choice((0.0, 0.5, 2.0)))
    await soak.stage.store.restore(copy)
    soak.stage.store.faults.outage = False
    await asyncio.sleep(soak.random.uniform(0.1, 1.0))
    await soak.stage.rewrite_objects()


@trouble("the configuration changes")
async def change_table(soak: ProcessSoak) -> None:
    """Write the same routes under another version."""
    await soak.stage.write_version()


@trouble("keys are replaced")
async def replace_keys(soak: ProcessSoak) -> None:
    """Give the organisation another key, and in most cases revoke the one before a little later."""
    stage = soak.stage
    new = f"key-{stage.version}"
    await stage.replace_keys((*stage.keys, new))
    await asyncio.sleep(soak.random.uniform(0.2, 1.5))
    if soak.random.random() < KEY_REVOKED_SHARE:
        await stage.replace_keys(stage.keys[1:])


@trouble("an endpoint leaves, as its answers alone tell")
async def leave(soak: ProcessSoak) -> None:
    """Start a replacement, then have an endpoint leave: it serves for some seconds and ends."""
    candidates = [one for one in soak.stage.servers if not one.ended and not one.extra_header_lines]
    if len(candidates) < 2:
        return
    server = soak.random.choice(candidates)
    await soak.stage.add_server()
    server.extra_header_lines.append("Server-Leaving: 1")
    server.end_work()
    await asyncio.sleep(soak.random.uniform(3.0, 5.0))
    if server.name in soak.stage.listed_names():
        await soak.stage.remove_server(server)


@trouble("an endpoint sheds and asks for rest")
async def shed(soak: ProcessSoak) -> None:
    """Have an endpoint refuse all requests for a while."""
    candidates = [one for one in soak.stage.servers if not one.ended]
    server = soak.random.choice(candidates)
    server.backoff_s = soak.random.choice((0.8, 1.5, 3.0))
    server.shed_until = time.monotonic() + soak.random.uniform(0.3, 3.0)


@trouble("an endpoint names the requests a second that it takes")
async def name_rate(soak: ProcessSoak) -> None:
    """Have an endpoint state a rate, as a rule long enough to check a window of four seconds."""
    candidates = [one for one in soak.stage.servers if not one.ended and not one.extra_header_lines]
    if not candidates:
        return
    end = soak.random.choice(candidates).state_rate(soak.random.choice((0.5, 2.0, 5.0)))
    await asyncio.sleep(soak.random.uniform(5.0, 9.0))
    end()


@trouble("a part of prompts crashes endpoints")
async def make_part_fatal(soak: ProcessSoak) -> None:
    """Have a new part crash each endpoint that begins to answer a prompt with it."""
    stage = soak.stage
    part = 0xF000 + soak.troubles["a part of prompts crashes endpoints"]
    stage.fatal_parts.add(part)
    await replace_crashed(stage, time.monotonic() + FATAL_PART_S)
    stage.fatal_parts.discard(part)


@trouble("an endpoint breaks off streams without a length")
async def break_off(soak: ProcessSoak) -> None:
    """Have an endpoint break off many streams without a length, by a close or by a reset."""
    server = soak.random.choice(soak.stage.servers)
    server.unframed_ends = tuple(sorted(RESUMABLE_ENDS))
    await asyncio.sleep(soak.random.uniform(2.0, 6.0))
    server.unframed_ends = ("whole",)


@trouble("an endpoint closes its streams, drops their runs and lives on")
async def close_streams(soak: ProcessSoak) -> None:
    """Close the connections of an endpoint's streams, some times, in most cases between events."""
    await _drop_streams(soak, resets=False)


@trouble("an endpoint resets its streams, drops their runs and lives on")
async def reset_streams(soak: ProcessSoak) -> None:
    """Reset the connections of an endpoint's streams, some times."""
    await _drop_streams(soak, resets=True)


async def _drop_streams(soak: ProcessSoak, resets: bool) -> None:
    server = soak.random.choice(soak.stage.servers)
    for _ in range(STREAM_DROPS):
        server.drop_streams(resets)
        await asyncio.sleep(soak.random.uniform(*STREAM_DROP_INTERVAL_S))


@trouble("an endpoint closes bodies without a length in their midst and lives on")
async def halve_bodies(soak: ProcessSoak) -> None:
    """Have an endpoint close each body without a length half-way, for a while."""
    server = soak.random.choice(soak.stage.servers)
    server.halves_bodies = True
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    server.halves_bodies = False


@trouble("an endpoint freezes")
async def freeze_endpoint(soak: ProcessSoak) -> None:
    """Have an endpoint stand still, whatever it sends."""
    server = soak.random.choice(soak.stage.servers)
    server.frozen_until = time.monotonic() + soak.random.choice((0.2, 0.6, 1.1))


@trouble("an endpoint is killed and started again under its name")
async def restart_endpoint(soak: ProcessSoak) -> None:
    """End an endpoint within its answers; it is up again at once or a little later."""
    candidates = [one for one in soak.stage.servers if not one.ended and not one.extra_header_lines]
    if len(candidates) > 1:
        await soak.stage.restart_server(
            soak.random.choice(candidates), soak.random.choice((0.0, 0.05, 1.0))
        )
