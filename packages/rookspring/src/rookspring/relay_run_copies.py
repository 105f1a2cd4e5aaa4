"""Calls to endpoints about copies of runs: to make one, to stop a run, and to free a copy.

:mod:`rookspring_core.run_copies` decides which runs are copied, and where to.
"""

import asyncio
import typing as t

from rookspring_core import run_backups
from rookspring_core import run_copies
from rookspring_core.effects import CopyRun
from rookspring_core.effects import FreeCopy
from rookspring_core.endpoints import EndpointView
from rookspring_core.events import RunCopied
from rookspring_core.events import RunNotCopied

from . import clock
from . import defaults
from .dialect import CopyReply
from .exceptions import EndpointError
from .http_messages import HttpHead
from .logs import log
from .relay import RelayExchange
from .relay_calls import OwnCall
from .relay_calls import call_endpoint
from .relay_context import RelayContext
from .relay_context import handles_relay_effect


@handles_relay_effect(CopyRun)
def copy_run(context: RelayContext, effect: CopyRun) -> None:
    """Have a run copied to another endpoint, without a retry."""
    context.spawn(_copy_and_submit(context, effect))


async def _copy_and_submit(context: RelayContext, effect: CopyRun) -> None:
    source = context.state.endpoints.get(effect.source)
    holder = context.state.endpoints.get(effect.holder)
    reply = CopyReply()
    if source is not None and holder is not None:
        reply = await _take_turn(context, effect, source.address, holder.address)
    row = (clock.now(), effect.request_id, effect.attempt, effect.holder)
    if reply.name:
        context.submit(RunCopied(*row, reply.name, effect.source))
    else:
        context.submit(RunNotCopied(*row, reply.unknown))


async def _take_turn(
    context: RelayContext, effect: CopyRun, address: str, holder: str
) -> CopyReply:
    """Ask for a copy once fewer than ``RUN_COPIES_AT_ONCE`` are under way there."""
    turns = context.copy_turns.get(address)
    if turns is None:
        turns = context.copy_turns[address] = asyncio.Semaphore(defaults.RUN_COPIES_AT_ONCE)
    async with turns:
        exchange = context.exchanges.get(effect.request_id)
        if exchange is None:
            return CopyReply()
        return await _ask(context, exchange, address, holder, last=False) or CopyReply()


async def _ask(
    context: RelayContext, exchange: RelayExchange, address: str, holder: str, last: bool
) -> CopyReply | None:
    """Ask an endpoint to copy a run, and to stop it first if that is the last call for it.

    :return: None if there was no answer.
    """
    run = exchange.fields.request_id
    asked_at = clock.now()
    timeout_s = min(defaults.RUN_COPY_CALL_S, exchange.deadline_at - asked_at)
    data = context.dialect.copy_request(address, run, holder, last)
    try:
        head, raw = await _call(context, "copy", address, data, timeout_s)
        reply: CopyReply | None = context.dialect.read_copy_reply(head, raw, address)
        said = str(head.status)
    except EndpointError as error:
        reply = None
        said = error.reason
    log(
        "run_copied",
        id=run,
        source=address,
        holder=holder,
        last=last,
        copy=reply.name if reply is not None else "",
        said=said,
        took_s=clock.now() - asked_at,
    )
    return reply


async def _call(
    context: RelayContext, what: str, address: str, data: bytes, timeout_s: float
) -> tuple[HttpHead, bytes]:
    """Make a call; what its answer says of the endpoint's load is about copies alone."""
    call = OwnCall(what, address, address)
    return await call_endpoint(context, call, data, max(0.0, timeout_s), lambda head: None)


def find_copy(context: RelayContext, exchange: RelayExchange) -> str:
    """Return the copy from which a stream can go on, if it does nowhere else; empty if none.

    Events that its caller has are told from further ones by their ids.
    """
    if not exchange.events or not exchange.may_follow():
        return ""
    return run_copies.find_name(context.state, exchange.key)


async def take_over(
    context: RelayContext, exchange: RelayExchange, view: EndpointView, error: EndpointError
) -> str:
    """Return the copy from which a stream goes on after its connection ended; empty if none.

    A run may go on behind a close, and two runs of one request must never go on at once. So its
    process must have ended, or the run is stopped first where it may be sent once alone; any other
    is asked for anew.
    """
    held = _find_held(context, exchange, error)
    if held is None:
        return ""
    error.backup = held.backup
    if held.backup and not exchange.ended_clear():
        # These are asked about first, so they would be too many among all that are on record.
        error.likely = False
    if error.down and not context.pool.has_open(view.address):
        return held.name
    if exchange.route.repeatable:
        return ""
    reply = await _ask(context, exchange, view.address, held.address, last=True)
    if reply is None:
        return ""
    if not reply.unknown:
        # It went on behind the end, which was not its own.
        exchange.forget_close()
    if reply.name:
        return reply.name
    return held.name if reply.unknown or reply.stopped else ""


class HeldRun(t.NamedTuple):
    """A copy or a backup that a run can go on from.

    :param address: of the endpoint that holds it.
    """

    name: str
    address: str
    backup: bool


def _find_held(
    context: RelayContext, exchange: RelayExchange, error: EndpointError
) -> HeldRun | None:
    """Return what a stream can go on from; a copy takes the place of a backup."""
    request = context.state.requests.get(exchange.key)
    if request is None:
        return None
    copy = find_copy(context, exchange)
    if copy:
        holder = run_copies.find_holder(context.state, request)
        return HeldRun(copy, holder.address, False) if holder is not None else None
    if error.open_ended and exchange.framing == "chunks":
        return None
    holder = find_backup(context, exchange)
    if holder is None:
        return None
    name = context.dialect.name_backup(holder.address, exchange.fields.request_id)
    return HeldRun(name, holder.address, True)


def find_backup(
    context: RelayContext, exchange: RelayExchange, kept_share: float = 0.0
) -> EndpointView | None:
    """Return the endpoint at which a stream can be asked for its backup; None if nowhere.

    :param kept_share: see :func:`run_backups.find_holder`.
    """
    request = context.state.requests.get(exchange.key)
    if request is None or not exchange.events or not exchange.may_follow():
        return None
    return run_backups.find_holder(context.state, request, kept_share)


@handles_relay_effect(FreeCopy)
def free_copy(context: RelayContext, effect: FreeCopy) -> None:
    """Free a copy at its source, which frees it at both ends, or else at its holder."""
    context.spawn(_free(context, effect))


async def _free(context: RelayContext, effect: FreeCopy) -> None:
    addresses = [context.dialect.copy_source(effect.name)]
    holder = context.state.endpoints.get(effect.holder)
    if holder is not None:
        addresses.append(holder.address)
    said = ""
    for address in addresses:
        data = context.dialect.free_copy_request(address, effect.name)
        try:
            head, _ = await _call(context, "free copy", address, data, defaults.RUN_COPY_FREE_S)
            said = str(head.status)
        except EndpointError as error:
            said = error.reason
            continue
        if 200 <= head.status < 300:
            break
    log("run_copy_freed", copy=effect.name, holder=effect.holder, said=said)
