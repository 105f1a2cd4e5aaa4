"""Whether an answer that has ended with its connection is whole.

Checked as such an answer ends, before its caller learns that it has: up to ``REPORT_LAG_S`` and a
call later where its endpoint's reports leave open whether the run has ended. An answer that shows
its own end, by a length or chunks, is not checked.
"""

import asyncio
import typing as t

from rookspring_core import run_ends
from rookspring_core.endpoints import EndpointView
from rookspring_core.run_ends import AnsweredRun
from rookspring_core.run_ends import RunEnd

from . import clock
from . import defaults
from .exceptions import EndpointError
from .http_client import Reply
from .logs import log
from .relay import RelayExchange
from .relay_context import RelayContext
from .relay_processes import Finding


class Arrival(t.NamedTuple):
    """What has come of an answer.

    :param began_at: when its head came, by the node's clock.
    :param body_bytes: the size of its body.
    :param events: how many events the caller has got of its stream, in this answer and earlier
        ones; None if that is unknown, or if it is no stream.
    """

    began_at: float
    body_bytes: int
    events: int | None = None


async def check_end(
    context: RelayContext,
    exchange: RelayExchange,
    reply: Reply,
    view: EndpointView,
    arrival: Arrival,
) -> None:
    """Check that an answer which ended with its connection is whole.

    :raises EndpointError: unless the process that gave it is found to run, its run to have ended,
        and unless it can't have been cut off because it stayed unread.
    """
    if not reply.ended_by_close:
        return
    await _check_run(context, exchange, reply, view, arrival)
    if _may_have_stayed_unread(reply, arrival):
        raise EndpointError("connection closed after a long silence in the answer", sent=True)
    if context.resumed_at >= reply.began_at:
        raise EndpointError("connection closed, and this node stood still meanwhile", sent=True)


async def _check_run(
    context: RelayContext,
    exchange: RelayExchange,
    reply: Reply,
    view: EndpointView,
    arrival: Arrival,
) -> None:
    """Check that the process runs, and that the run of the answer has ended.

    :raises EndpointError: unless both are found.
    """
    run = AnsweredRun(exchange.fields.request_id, arrival.events, arrival.began_at, reply.ended_at)
    first = await context.process_checks.check(view, exchange.process, reply.ended_at)
    found, end = await _ask_until_clear(context, exchange, view, run, first)
    log(
        "process_checked",
        id=run.request_id,
        endpoint=view.name,
        runs=found.runs,
        ended=found.ended,
        found=found.text,
        run=end.value,
        came=-1 if run.events is None else run.events,
        listed=-1 if found.listed is None else found.listed.get(run.request_id, -1),
        took_s=clock.now() - reply.ended_at,
        silence_s=reply.longest_silence_s,
        head_s=arrival.began_at - reply.began_at,
    )
    if not first.runs:
        raise EndpointError(
            f"connection closed, and its process is not known to run: {first.text}",
            sent=True,
            broken=first.ended,
            down=first.down,
        )
    if end is not RunEnd.ENDED:
        raise EndpointError("connection closed, and its run is not known to have ended", sent=True)


async def _ask_until_clear(
    context: RelayContext,
    exchange: RelayExchange,
    view: EndpointView,
    run: AnsweredRun,
    found: Finding,
) -> tuple[Finding, RunEnd]:
    """Ask for reports until one shows whether a run has ended, or its process isn't found to run.

    :param found: what the first one has shown.
    """
    end = RunEnd.UNCLEAR
    while found.runs:
        end = run_ends.judge_end(run, found.listed, found.asked_at)
        if end is not RunEnd.UNCLEAR:
            break
        await asyncio.sleep(defaults.RUN_CHECK_PAUSE_S)
        found = await context.process_checks.check(view, exchange.process, clock.now())
    return found, end


def _may_have_stayed_unread(reply: Reply, arrival: Arrival) -> bool:
    """Return whether an answer may have been cut off as nobody read it for a while.

    What came before its head, or within it, may have been held up on the way. Of an answer that was
    held up before its head, as much came later as the endpoint's kernel had room for.
    """
    if reply.longest_silence_s >= defaults.UNREAD_SILENCE_S:
        return True
    slow = arrival.began_at - reply.began_at >= defaults.UNREAD_SILENCE_S
    return slow and arrival.body_bytes >= defaults.UNREAD_BYTES_MIN
