"""The end of a relay node's planned stop: the callers that still wait for an answer."""

import asyncio
import contextlib

from . import clock
from . import defaults
from .http_listener import HttpListener
from .http_server import ServerConnection
from .logs import log
from .relay_context import RelayContext


async def finish_answers(listeners: list[HttpListener], grace_over: asyncio.Event) -> None:
    """Wait until no caller waits for an answer, or the grace time is over; close idle connections.

    A request is owed an answer from its last byte on until the kernel has accepted the answer's
    last byte. The reducer knows only a part of that time: it gets a request once its key is known,
    and forgets it once its answer is written.

    :param grace_over: set when the process has to end.
    """
    while not grace_over.is_set():
        for listener in listeners:
            listener.close_idle()
        if not any(listener.is_busy() for listener in listeners):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(defaults.STOP_CHECK_S):
                await grace_over.wait()
    for listener in listeners:
        listener.close_idle()
    # Answers may still be in the send buffers.
    await asyncio.sleep(defaults.STOP_FLUSH_S)


def log_owed(context: RelayContext, listeners: list[HttpListener]) -> int:
    """Log each connection that owes an answer, and what that waits for; return their number."""
    now = clock.now()
    keys = {exchange.connection: exchange.key for exchange in context.exchanges.values()}
    owing = [connection for listener in listeners for connection in listener.owing()]
    for connection in owing:
        key = keys.get(connection, "")
        log(
            "answer_owed",
            id=connection.request_id,
            key=key,
            waits_for=_describe_wait(context, connection, key),
            age_s=now - connection.read_at,
            unsent=connection.unsent_bytes,
        )
    return len(owing)


def _describe_wait(context: RelayContext, connection: ServerConnection, key: str) -> str:
    """Name what an answer waits for.

    :param key: the key of its exchange; empty if it has none.
    """
    state = context.state
    request = state.requests.get(key)
    if request is not None:
        return "endpoint" if request.running else "room"
    if key in state.parked:
        return "owner"
    return connection.waits_for or ("caller" if connection.unsent_bytes else "nothing")
