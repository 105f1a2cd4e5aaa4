"""Troubles of the load of ways, each a coroutine that begins one and returns once it is over."""

import asyncio
import random
import signal
import typing as t

from .cut_links import CUTS
from .ways_processes import EXIT_S
from .ways_processes import RunnerProcess
from .ways_processes import WaysNode
from .ways_proxy import Passing
from .ways_proxy import WaysProxy
from .ways_proxy import read_ports
from .ways_records import KINDS
from .ways_runner import Stop
from .ways_stage import SERVICES
from .ways_stage import WaysStage

# The periods in seconds: of a frozen process, a held connection, a cut, and an outage of the store
# that is longer than a lease of 3 s.
FROZEN_S = (0.2, 1.0, 2.0, 3.5)
HELD_S = (0.3, 1.0, 2.5)
CUT_S = (1.5, 3.0)
AWAY_S = (3.3, 4.5)
# The bandwidths of a link, in bytes per second, and how far a clock is stepped, in seconds.
RATES = (2000, 20000, 200000)
STEPS_S = (-3600.0, -4.0, -0.5, 0.5, 4.0, 3600.0)
# From a node's loss of its links until something else happens to it, in seconds.
HANDING_OVER_S = (0.1, 0.4, 1.0)

# From when a runner tells that it leaves until it stops, and how long after its last run it exits,
# in seconds; None if it lives on. Most streams that are under way then last for 0.24 to 1.2 s.
LEAVES_S = (0.1, 0.2, 0.5, 2.0)
EXITS_S = (0.0, 0.05, 1.5, None)
# Those of which a node can find out by itself that they ended the run.
SOON_EXITS_S = (0.0, 0.05)
# The shares of its streams that a runner ends as it stops.
SHARES = (1.0, 1.0, 0.0, 0.5)
# How long a runner that lives on does so, in seconds.
LINGERS_S = 2.0

Trouble = t.Callable[["Ways"], t.Coroutine[t.Any, t.Any, None]]
TROUBLES: dict[str, Trouble] = {}
# Those whose ends of runs nothing tells from the answers' own: drawn only where they are asked for.
UNTOLD: dict[str, Trouble] = {}


class Ways(t.NamedTuple):
    """What a trouble has: the stage, the draw, and the nodes that one affects now."""

    stage: WaysStage
    random: random.Random
    busy: set[str]

    def pick_node(self) -> WaysNode | None:
        """Return a node that no trouble affects now; None unless two are free."""
        free = [one for one in self.stage.nodes if one.name not in self.busy]
        return self.random.choice(free) if len(free) > 1 else None

    def pick_runner(self) -> RunnerProcess | None:
        """Return a runner that no trouble affects now; None unless two are free."""
        free = [one for one in self.stage.runners if not one.busy]
        return self.random.choice(free) if len(free) > 1 else None


def trouble(name: str, where: dict[str, Trouble] = TROUBLES) -> t.Callable[[Trouble], Trouble]:
    """Register a trouble."""

    def register(begin: Trouble) -> Trouble:
        where[name] = begin
        return begin

    return register


async def _restart(ways: Ways, node: WaysNode, number: signal.Signals) -> None:
    node.signal(number)
    await node.wait_exit(EXIT_S)
    await asyncio.sleep(ways.random.uniform(0.0, 0.5))
    await node.start()
    await node.wait_ready()


async def _freeze(ways: Ways, node: WaysNode) -> None:
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(ways.random.choice(FROZEN_S))
    node.signal(signal.SIGCONT)


async def _end_node(ways: Ways, number: signal.Signals) -> None:
    node = ways.pick_node()
    if node is None:
        return
    ways.busy.add(node.name)
    killed = (node.name,) if number == signal.SIGKILL else ()
    with ways.stage.disturb(*killed):
        await _restart(ways, node, number)
    ways.busy.discard(node.name)


@trouble("node killed")
async def kill_node(ways: Ways) -> None:
    """Kill a node and restart it."""
    await _end_node(ways, signal.SIGKILL)


@trouble("node stopped")
async def stop_node(ways: Ways) -> None:
    """Stop a node as planned and restart it."""
    await _end_node(ways, signal.SIGTERM)


@trouble("node reloads")
async def reload_node(ways: Ways) -> None:
    """Have a node read its settings again."""
    node = ways.pick_node()
    if node is not None:
        node.signal(signal.SIGHUP)


async def rewrite_routes(ways: Ways) -> None:
    """Write the routes as they are under another version."""
    await ways.stage.write_routes()


@trouble("node frozen")
async def freeze_node(ways: Ways) -> None:
    """Have a node stand still, for longer than a lease at times."""
    node = ways.pick_node()
    if node is not None:
        ways.busy.add(node.name)
        with ways.stage.disturb(node.name):
            await _freeze(ways, node)
        ways.busy.discard(node.name)


@trouble("node cut from endpoints")
async def cut_node(ways: Ways) -> None:
    """Cut a node's links to all endpoints; in most cases kill, freeze or stop it meanwhile."""
    node = ways.pick_node()
    if node is None:
        return
    ways.busy.add(node.name)
    with ways.stage.disturb(node.name):
        heal = _cut_links(ways, node)
        await asyncio.sleep(ways.random.choice(HANDING_OVER_S))
        fate = ways.random.choice(("none", "kill", "freeze", "stop"))
        if fate == "freeze":
            await _freeze(ways, node)
        elif fate != "none":
            await _restart(ways, node, signal.SIGKILL if fate == "kill" else signal.SIGTERM)
        else:
            await asyncio.sleep(ways.random.choice(CUT_S))
        heal()
    ways.busy.discard(node.name)


def _cut_links(ways: Ways, node: WaysNode) -> t.Callable[[], None]:
    """Cut a node's links to endpoints in itself, if it can, or at proxies; return what heals."""
    how = ways.random.choice((*sorted(CUTS), "proxies"))
    if how != "proxies" and node.can_cut:
        node.cut(how)
        return node.heal
    owner = node.pid
    proxies = [one.proxy for one in ways.stage.runners if one.proxy is not None]
    how = ways.random.choice(("silent", "reset"))
    ports = read_ports(owner)
    for proxy in proxies:
        proxy.cuts[owner] = how
        for passing in [one for one in proxy.open if one.port in ports]:
            _cut(passing, how)

    def heal() -> None:
        for proxy in proxies:
            proxy.cuts.pop(owner, None)
            for passing in proxy.open:
                passing.held.clear()

    return heal


def _cut(passing: Passing, how: str) -> None:
    if how == "silent":
        passing.held.update(("there", "back"))
    elif how == "close":
        passing.close()
    else:
        passing.reset()


@trouble("runner ends its runs")
async def cut_runs(ways: Ways) -> None:
    """Have a runner close, reset or tear the connections of its runs, a few times."""
    runner = ways.pick_runner()
    if runner is None:
        return
    runner.busy = True
    for _ in range(3):
        await runner.cut(ways.random.choice(("close", "reset", "torn close", "torn reset")))
        await asyncio.sleep(ways.random.uniform(0.1, 0.4))
    runner.busy = False


@trouble("runner killed")
async def kill_runner(ways: Ways) -> None:
    """Kill a runner, and start another of either version."""
    runner = ways.pick_runner()
    if runner is None:
        return
    runner.busy = True
    await ways.stage.remove_runner(runner)
    await ways.stage.add_runner(runner.service, ways.random.choice((1, 2)))


@trouble("runner reborn")
async def restart_runner(ways: Ways) -> None:
    """Kill a runner; it is at its address again at once or a little later, of either version."""
    runner = ways.pick_runner()
    if runner is None or runner.proxy is None:
        return
    runner.busy = True
    await runner.kill()
    await asyncio.sleep(ways.random.choice((0.0, 0.05, 1.0)))
    runner.version = ways.random.choice((runner.version, runner.version, 3 - runner.version))
    await runner.start(runner.proxy.port)
    await ways.stage.write_entry(runner)
    runner.busy = False


@trouble("runner frozen")
async def freeze_runner(ways: Ways) -> None:
    """Have a runner stand still."""
    runner = ways.pick_runner()
    if runner is None or runner.process is None:
        return
    runner.busy = True
    with ways.stage.disturb(runner.name):
        runner.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(ways.random.choice(FROZEN_S))
        runner.process.send_signal(signal.SIGCONT)
    runner.busy = False


def _pick_proxy(ways: Ways) -> WaysProxy:
    """Return the proxy of a caller's, a node's or a runner's link."""
    where = ways.random.choice(("front", "link", "runner"))
    node = ways.random.choice(ways.stage.nodes)
    if where != "runner":
        return node.front if where == "front" else node.link
    found = [one.proxy for one in ways.stage.runners if one.proxy is not None]
    return ways.random.choice(found)


@trouble("links delayed or split")
async def slow_links(ways: Ways) -> None:
    """Delay the bytes of a proxy's connections, or pass them on in small pieces."""
    proxy = _pick_proxy(ways)
    proxy.delay_s = ways.random.choice((0.0, 0.05, 0.3))
    proxy.splits = ways.random.random() < 0.7
    for passing in proxy.open:
        passing.delay_s, passing.splits = proxy.delay_s, proxy.splits
    with ways.stage.disturb(proxy.owner):
        await asyncio.sleep(ways.random.choice(HELD_S))
    proxy.delay_s, proxy.splits = 0.0, False
    for passing in proxy.open:
        passing.delay_s, passing.splits = 0.0, False


@trouble("links narrow")
async def narrow_links(ways: Ways) -> None:
    """Pass only so many bytes a second on, in each direction of a proxy's connections."""
    proxy = _pick_proxy(ways)
    proxy.rate = ways.random.choice(RATES)
    for passing in proxy.open:
        passing.rate = proxy.rate
    with ways.stage.disturb(proxy.owner):
        await asyncio.sleep(ways.random.choice(HELD_S))
    proxy.rate = 0
    for passing in proxy.open:
        passing.rate = 0


@trouble("clock steps")
async def step_clock(ways: Ways) -> None:
    """Step a node's wall clock, for the rest of the play or until its next step."""
    node = ways.random.choice(ways.stage.nodes)
    node.step_clock(ways.random.choice(STEPS_S))


@trouble("links silent one way")
async def silence_links(ways: Ways) -> None:
    """Hold the bytes of a proxy's connections in one direction or both, then deliver them."""
    proxy = _pick_proxy(ways)
    held = [*proxy.open]
    ways_held = ways.random.choice((("there",), ("back",), ("there", "back")))
    for passing in held:
        passing.held.update(ways_held)
    with ways.stage.disturb(proxy.owner):
        await asyncio.sleep(ways.random.choice(HELD_S))
    for passing in held:
        passing.held.clear()


@trouble("links end")
async def end_links(ways: Ways) -> None:
    """Reset or close a proxy's connections, or reset the near side and deliver late."""
    for _ in range(2):
        proxy = _pick_proxy(ways)
        with ways.stage.disturb(proxy.owner):
            for passing in [*proxy.open]:
                how = ways.random.choice(("reset", "close", "late"))
                if how == "late":
                    passing.reset_near()
                else:
                    _cut(passing, how)
        await asyncio.sleep(ways.random.uniform(0.1, 0.5))


@trouble("store away")
async def interrupt_store(ways: Ways) -> None:
    """Have the store away for longer than a lease."""
    faults = ways.stage.store.faults
    faults.closes = ways.random.random() < 0.5
    faults.outage = True
    await asyncio.sleep(ways.random.uniform(*AWAY_S))
    faults.outage = False


@trouble("route moves")
async def move_route(ways: Ways) -> None:
    """Move a route to another service or time limit, and back a little later."""
    stage = ways.stage
    kind = ways.random.choice(sorted(KINDS))
    limit_ms = ways.random.choice((900, stage.settings.route_ms))
    await stage.move_route(kind, ways.random.choice(SERVICES), limit_ms)
    await asyncio.sleep(ways.random.uniform(0.3, 2.0))
    await stage.move_route(kind, SERVICES[0], stage.settings.route_ms)


async def _tell_leaving(ways: Ways, runner: RunnerProcess, how: str, seconds: float) -> None:
    """Tell that a runner leaves: by its entry, by a time as well, or by an entry that goes."""
    left = {"remaining-ms": int(seconds * 1000.0)}
    if how == "draining":
        await ways.stage.write_entry(runner, "draining")
    elif how == "stated":
        await ways.stage.write_entry(runner, "draining", **left)
        await runner.leave(seconds)
    elif how == "gone":
        await ways.stage.remove_entry(runner)


async def _stop_runner(ways: Ways, told: str, stop: Stop, successors: t.Sequence[str]) -> None:
    """Stop a runner, and have a successor: at its address at once or later, or of a new name."""
    runner = ways.pick_runner()
    if runner is None:
        return
    runner.busy = True
    successor = ways.random.choice(successors)
    prepared = await runner.prepare() if successor == "at once" else None
    leaves_s = ways.random.choice(LEAVES_S)
    await _tell_leaving(ways, runner, told, leaves_s + (stop["exit_s"] or 0.0))
    await asyncio.sleep(leaves_s)
    await runner.end_runs(stop)
    if prepared is not None:
        await runner.switch(prepared)
        await ways.stage.write_entry(runner)
    elif successor == "later":
        await asyncio.sleep((stop["exit_s"] or LINGERS_S) + ways.random.choice((0.0, 1.0)))
        await runner.kill()
        await runner.start()
        await ways.stage.write_entry(runner)
    else:
        await ways.stage.add_runner(runner.service, runner.version)
        await asyncio.sleep(LINGERS_S)
        await ways.stage.remove_runner(runner)
    runner.busy = False


@trouble("runner leaves")
async def leave(ways: Ways) -> None:
    """Have a runner tell that it leaves, and then end or finish its runs."""
    told = ways.random.choice(("draining", "stated", "gone"))
    share, exit_s = ways.random.choice(SHARES), ways.random.choice(EXITS_S)
    stop = Stop(share=share, cause=f"{told}-{share}-{exit_s}", refuses=True, exit_s=exit_s)
    await _stop_runner(ways, told, stop, ("at once", "later", "new"))


@trouble("runner exits untold")
async def stop_untold(ways: Ways) -> None:
    """Have a runner end or finish its runs without a word, and exit."""
    share, exit_s = ways.random.choice((1.0, 0.0)), ways.random.choice(SOON_EXITS_S)
    stop = Stop(share=share, cause=f"exits-{share}-{exit_s}", refuses=True, exit_s=exit_s)
    await _stop_runner(ways, "", stop, ("later", "new"))


@trouble("runner lingers untold", UNTOLD)
async def linger_untold(ways: Ways) -> None:
    """Have a runner end runs without a word, and live on for a time, or be succeeded at once."""
    share, exit_s = ways.random.choice((1.0, 0.5)), ways.random.choice(EXITS_S)
    stop = Stop(share=share, cause="untold-stop", refuses=True, exit_s=exit_s)
    succeeded = exit_s in SOON_EXITS_S and share == 1.0
    await _stop_runner(ways, "", stop, ("at once",) if succeeded else ("later", "new"))


async def _end_some(ways: Ways, share: float, cause: str) -> None:
    runner = ways.pick_runner()
    if runner is not None:
        await runner.end_runs(Stop(share=share, cause=cause, refuses=False, exit_s=None))


@trouble("run fails", UNTOLD)
async def fail_run(ways: Ways) -> None:
    """Have the handlers of a few of a runner's runs fail; the process lives on."""
    await _end_some(ways, 0.1, "untold-failure")


@trouble("unload ends runs", UNTOLD)
async def unload(ways: Ways) -> None:
    """Have a runner end all its runs, and serve on."""
    await _end_some(ways, 1.0, "untold-unload")


@trouble("preemption ends runs", UNTOLD)
async def preempt(ways: Ways) -> None:
    """Have a runner end half of its runs, and serve on."""
    await _end_some(ways, 0.5, "untold-preemption")
