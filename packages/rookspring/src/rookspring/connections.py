"""Connections for calls that the HTTP library must not send twice.

The library resends PUT, DELETE and GET on its own when a connection breaks. An
unrepeatable call would run twice. A conditional write that took effect but whose answer
was lost would be reported as a conflict.
"""

import asyncio
import contextlib
import typing as t

import aiohttp

from . import defaults
from .addresses import parse_address


class SingleUseConnector(aiohttp.TCPConnector):
    """A connector that connects once, for one request.

    Its connection is always new, so never a stale one from a pool.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True)
        self._used = False

    async def connect(self, req: t.Any, traces: t.Any, timeout: t.Any) -> t.Any:
        """Connect; a second call fails."""
        if self._used:
            raise aiohttp.ClientConnectionError("sent once already")
        connection = await super().connect(req, traces, timeout)
        self._used = True
        return connection


async def refuses_connections(address: str) -> bool:
    """Return whether an address refuses connections; one that is made is closed at once."""
    try:
        host, port = parse_address(address)
        async with asyncio.timeout(defaults.CONNECT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
