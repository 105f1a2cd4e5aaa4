"""Asks an endpoint which process listens at its address, where no connection shows that one lives.

A successor listens there too, and so does a process that answers nothing more.
"""

import asyncio
import enum
import typing as t

from rookspring_core import notice_handlers
from rookspring_core.endpoints import EndpointView

from . import clock
from .dialect import ExpectedProcess
from .dialect import ProcessMatch
from .exceptions import EndpointError
from .logs import log
from .relay_calls import OwnCall
from .relay_calls import call_endpoint
from .relay_context import RelayContext
from .relay_notices import EndpointCall
from .relay_notices import make_notice_handler

IDENTITY = "identity"
# For how long an endpoint is asked: callers leave a stream that is silent for 2 s.
ASKED_S = 1.0
# Between two calls, of which the first came to nobody.
PAUSE_S = 0.1


class Found(enum.Enum):
    """What a call has shown of the process that listens."""

    SAME = "the process"
    NAMED = "a process of its name"
    ANOTHER = "another process"
    UNKNOWN = "an answer of a process"
    NOBODY = "nothing"
    BROKEN = "a broken call"
    SILENT = "silence"


_MATCHES = {
    ProcessMatch.SAME: Found.SAME,
    ProcessMatch.NAMED: Found.NAMED,
    ProcessMatch.ANOTHER: Found.ANOTHER,
    ProcessMatch.UNKNOWN: Found.UNKNOWN,
}


class Finding(t.NamedTuple):
    """What was found by some calls; the first may have been broken off."""

    found: Found
    broken: bool = False


class ProcessCall(t.NamedTuple):
    """A call to find out which process listens, which is under way."""

    began_at: float
    task: asyncio.Task[bool]


async def is_there(context: RelayContext, view: EndpointView, ended_at: float) -> bool:
    """Return whether the process that ended an answer is found at its address.

    In a back-off, which covers all calls, whatever listens counts as it.

    :param ended_at: when it did; a call that began earlier tells nothing.
    """
    address, calls = view.address, context.process_calls
    health_path = _find_health_path(context, view)
    if view.in_backoff(clock.now()) or not (health_path or view.role == "runner"):
        return not await context.pool.is_down(address)
    while (call := calls.get(address)) is not None and call.began_at < ended_at:
        await asyncio.shield(call.task)
    if call is None:
        task = context.loop.create_task(_ask(context, view, health_path))
        task.add_done_callback(lambda _: calls.pop(address))
        call = calls[address] = ProcessCall(clock.now(), task)
    return await asyncio.shield(call.task)


def _find_health_path(context: RelayContext, view: EndpointView) -> str:
    """Return the path of a plain service's health checks; empty for a model runner."""
    table = context.state.table
    service = table.services.get(view.service) if table is not None else None
    return service.health_path if service is not None and view.role == "service" else ""


async def _ask(context: RelayContext, view: EndpointView, health_path: str) -> bool:
    """Ask until something is found, and return whether it is the process."""
    began_at = clock.now()
    finding = Finding(Found.SILENT)
    try:
        async with asyncio.timeout(ASKED_S):
            finding = await _find(context, view, health_path)
    except TimeoutError:
        pass
    log(
        "process_asked",
        endpoint=view.name,
        found=finding.found.value,
        broken=finding.broken,
        took_s=clock.now() - began_at,
    )
    if finding.found is Found.NAMED:
        return not finding.broken
    return finding.found in (Found.SAME, Found.UNKNOWN)


async def _find(context: RelayContext, view: EndpointView, health_path: str) -> Finding:
    """Ask until something is found.

    A refusal for want of room shows nothing, nor do broken calls: an endpoint may take no more
    connections, and a proxy breaks all off behind which the process has ended. A process that ends
    breaks one off, and another may bear its name then.
    """
    broken = False
    while True:
        found = await _call(context, view, health_path)
        if found not in (Found.BROKEN, Found.SILENT):
            return Finding(found, broken)
        if found is Found.SILENT or broken:
            await asyncio.sleep(PAUSE_S)
        broken = broken or found is Found.BROKEN


async def _call(context: RelayContext, view: EndpointView, health_path: str) -> Found:
    dialect = context.dialect
    process = ExpectedProcess(view.name, notice_handlers.known_start(view))
    try:
        head, body = await call_endpoint(
            context,
            OwnCall(IDENTITY, view.name, view.address),
            dialect.identity_request(view.address, process, health_path),
            ASKED_S,
            make_notice_handler(context, view.name, EndpointCall(IDENTITY)),
        )
    except EndpointError as error:
        if error.down:
            return Found.NOBODY
        if error.broken:
            return Found.BROKEN
        return Found.UNKNOWN if error.sent else Found.SILENT
    return _MATCHES[dialect.read_identity(head, body, process)]
