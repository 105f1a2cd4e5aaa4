"""Finds out whether the process that gave an answer still runs, by a call to its endpoint.

An answer that ends with its connection is whole only if that process has gone on after the end:
the connections of one that has ended are closed too, wherever its answers stood.
"""

import asyncio
import typing as t

from rookspring_core.endpoints import EndpointView

from . import clock
from . import defaults
from . import http_client
from .dialect import ExpectedProcess
from .exceptions import EndpointError
from .relay_context import RelayContext
from .relay_notices import EndpointCall
from .relay_notices import make_notice_handler


class Finding(t.NamedTuple):
    """What a call has shown about a process.

    :param runs: it runs, as it has answered.
    :param ended: it runs no more, as another process answered or nothing listens there.
    :param down: nothing listens at its address.
    :param broken: it closed or reset the connection of the call, as one that ends does too.
    :param listed: the events that each run has made which its report lists, by request; None if it
        lists none.
    :param asked_at: when it was called, by the node's clock.
    """

    text: str
    runs: bool = False
    ended: bool = False
    down: bool = False
    broken: bool = False
    listed: t.Mapping[str, int] | None = None
    asked_at: float = 0.0


class ProcessChecks:
    """Asks endpoints for the processes that run there; answers that end together share a call."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        # The calls that are under way, and when each began.
        self._calls: dict[tuple[ExpectedProcess, str], tuple[float, asyncio.Task[Finding]]] = {}

    async def check(self, view: EndpointView, process: ExpectedProcess, ended_at: float) -> Finding:
        """Find out whether a process still runs.

        :param ended_at: when the answer ended that it gave, by the node's clock; a call that began
            earlier does not tell.
        """
        key = (process, view.address)
        began_at, task = self._calls.get(key, (-1e9, None))
        if task is None or began_at < ended_at:
            task = self._context.loop.create_task(self._ask(view, process))
            self._calls[key] = (clock.now(), task)
            task.add_done_callback(lambda done: self._remove(key, done))
        return await asyncio.shield(task)

    def _remove(self, key: tuple[ExpectedProcess, str], done: asyncio.Task[Finding]) -> None:
        if key in self._calls and self._calls[key][1] is done:
            del self._calls[key]

    async def _ask(self, view: EndpointView, process: ExpectedProcess) -> Finding:
        """Call the endpoint until an answer shows which process runs, or the time is over.

        One that has closed a call's connection may have ended then, and another have started under
        its name. It has not if a connection has stayed open since before.
        """
        until = clock.now() + defaults.PROCESS_CHECK_S
        idle = self._context.pool.list_idle(view.address)
        finding, broken = Finding("it may not be asked"), False
        while (left_s := until - clock.now()) > 0.0:
            # The back-off that an endpoint requests covers all calls.
            if not view.in_backoff(clock.now()):
                finding = await self._call(view, process, left_s)
                broken = broken or finding.broken
            if finding.runs and broken and not any(one.open for one in idle):
                return Finding("it answered, but may have restarted")
            if finding.runs or finding.ended:
                break
            await asyncio.sleep(defaults.PROCESS_CHECK_PAUSE_S)
        return finding

    async def _call(self, view: EndpointView, process: ExpectedProcess, left_s: float) -> Finding:
        context = self._context
        asked_at = clock.now()
        data = context.dialect.identity_request(view.address, process, self._health_path(view))
        try:
            head, body = await http_client.call(
                context.pool,
                view.address,
                data,
                make_notice_handler(context, view.name, EndpointCall("identity")),
                left_s,
                defaults.REPORT_BYTES_MAX,
                on_new_connection=True,
                request_id="",
            )
        except EndpointError as error:
            return Finding(error.reason, False, error.down, error.down, error.broken)
        same = context.dialect.read_identity(head, body, process)
        if same is None:
            return Finding(f"it answered {head.status} without a name")
        if same:
            listed = context.dialect.read_runs(body)
            return Finding("it answered", runs=True, listed=listed, asked_at=asked_at)
        return Finding("another process answered", ended=True)

    def _health_path(self, view: EndpointView) -> str:
        """Return the path of a plain service's health checks; empty for a model runner."""
        table = self._context.state.table
        service = table.services.get(view.service) if table is not None else None
        return service.health_path if service is not None and view.role == "service" else ""
