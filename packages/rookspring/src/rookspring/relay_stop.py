"""The end of a relay node's planned stop: the callers that still wait for an answer."""

from . import clock
from .http_server import HttpListener
from .http_server import ServerConnection
from .logs import log
from .relay_context import RelayContext


def log_owed(context: RelayContext, listener: HttpListener) -> None:
    """Log each connection that owes an answer, and what the answer waits for."""
    now = clock.now()
    keys = {exchange.connection: exchange.key for exchange in context.exchanges.values()}
    for connection in listener.owing():
        key = keys.get(connection, "")
        log(
            "answer_owed",
            id=connection.request_id,
            key=key,
            waits_for=_describe_wait(context, connection, key),
            age_s=now - connection.read_at,
            unsent=connection.unsent_bytes,
        )


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
