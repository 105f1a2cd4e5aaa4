"""Listening addresses of the relay: each accepts the connections of :mod:`http_server`.

Used by :mod:`relay_node`, and by :mod:`relay_stop` as the node ends.
"""

import asyncio

from . import defaults
from .byte_budget import ByteBudget
from .http_server import ServerConnection
from .http_server import ServerOptions


class HttpListener:
    """A listening address and its open connections."""

    def __init__(self, options: ServerOptions, budget: ByteBudget | None = None) -> None:
        self._options = options
        self._budget = budget or ByteBudget()
        self._server: asyncio.Server | None = None
        self.connections: set[ServerConnection] = set()

    async def start(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._options, self.connections, self._budget),
            host,
            port,
            backlog=defaults.LISTEN_BACKLOG,
        )

    @property
    def port(self) -> int:
        """The port in use; the system chooses it if 0 was given."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which nothing is being served."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_held(self) -> None:
        """Count what waits at each connection."""
        for connection in list(self.connections):
            connection.count_held()

    def owing(self) -> list[ServerConnection]:
        """Return the connections whose callers still wait for an answer or a part of it."""
        return [one for one in self.connections if one.owes_answer()]

    def is_busy(self) -> bool:
        """Return whether a connection owes an answer, or has read a part of a request."""
        return any(one.owes_answer() or one.is_reading() for one in self.connections)
