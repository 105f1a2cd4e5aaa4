"""Finds out whether this node reaches endpoints at all, by connecting to several of them.

:mod:`rookspring_core.endpoint_reach` chooses them and decides what follows.
"""

import asyncio
import typing as t

from rookspring_core import defaults as core_defaults
from rookspring_core import endpoint_reach
from rookspring_core.effects import ProbeReach
from rookspring_core.events import ReachProbed

from . import clock
from . import defaults
from .logs import log
from .relay_context import RelayContext
from .relay_context import handles_relay_effect


async def is_down(context: RelayContext, address: str, until: float) -> bool:
    """Return whether nothing is found to listen at an endpoint's address before a time."""
    try:
        async with asyncio.timeout(max(0.0, until - clock.now())):
            return await context.pool.is_down(address)
    except TimeoutError:
        return False


class ReachProbes:
    """Connects to some endpoints at a time; concurrent callers share the result."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._running: asyncio.Task[bool] | None = None
        self._tasks: set[asyncio.Task[bool]] = set()

    async def confirm(self, failed: str) -> bool:
        """Return whether this node reaches endpoints, after a connection to one failed.

        True where there is no other endpoint by which to tell.

        :param failed: that endpoint.
        """
        state = self._context.state
        reach = state.reach
        if clock.now() - reach.probed_at < defaults.REACH_CONFIRMED_S and self._running is None:
            return not reach.isolated
        names = endpoint_reach.choose_probes(state, failed)
        return await self.probe(names) if names else True

    async def probe(self, names: t.Sequence[str]) -> bool:
        """Connect to endpoints, and submit whether any of them was reached."""
        if self._running is None:
            self._running = self._start(self._probe(names))
            self._running.add_done_callback(self._end)
        return await asyncio.shield(self._running)

    def _start(self, work: t.Coroutine[t.Any, t.Any, bool]) -> asyncio.Task[bool]:
        task = self._context.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _end(self, task: asyncio.Task[bool]) -> None:
        self._running = None

    async def _probe(self, names: t.Sequence[str]) -> bool:
        """Ask some endpoints, and others as long as all refuse at once."""
        tried: set[str] = set()
        for _ in range(core_defaults.REACH_ROUNDS):
            began_at = clock.now()
            if await self._ask(names):
                return True
            tried.update(names)
            names = endpoint_reach.choose_probes(self._context.state, tried=tried)
            if not names or clock.now() - began_at > core_defaults.REACH_REFUSED_S:
                break
        log("reach_probed", "WARNING", endpoints=",".join(sorted(tried)))
        # Idle connections may be dead without a sign.
        self._context.pool.close()
        self._context.submit(ReachProbed(clock.now(), False))
        return False

    async def _ask(self, names: t.Sequence[str]) -> bool:
        """Connect to endpoints, and submit if one was reached."""
        context = self._context
        views = [context.state.endpoints[name] for name in names if name in context.state.endpoints]
        if not views:
            # All of them are gone from the list, which says nothing of this node's way.
            return not context.state.reach.isolated
        # Those that answer after the first are left to end by themselves, and are pooled.
        tasks = {self._start(context.pool.reaches(view.address)): view.name for view in views}
        for done in asyncio.as_completed(tasks):
            if await done:
                reached = next(name for task, name in tasks.items() if _succeeded(task))
                context.submit(ReachProbed(clock.now(), True, reached))
                return True
        return False


def _succeeded(task: asyncio.Task[bool]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None and task.result()


@handles_relay_effect(ProbeReach)
def probe_reach(context: RelayContext, effect: ProbeReach) -> None:
    """Connect to endpoints, to tell whether this node reaches any."""

    async def work() -> None:
        await context.reach_probes.probe(effect.endpoints)

    context.spawn(work())
