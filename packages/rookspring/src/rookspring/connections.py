"""Connections for calls that the HTTP library must not send twice.

The library sends PUT, DELETE and GET a second time by itself when a connection
breaks. For an unrepeatable call that would be a second run; for a conditional
write that took effect it would turn a lost answer into a conflict.
"""

import asyncio
import contextlib
import typing as t

import aiohttp

from . import defaults


class OneConnection(aiohttp.TCPConnector):
    """A connector that connects once, for one request.

    Being new, its connection is never a stale one out of a pool.
    """

    def __init__(self) -> None:
        super().__init__(force_close=True)
        self._used = False

    async def connect(self, req: t.Any, traces: t.Any, timeout: t.Any) -> t.Any:
        """Connect, the first time only."""
        if self._used:
            raise aiohttp.ClientConnectionError("sent once already")
        connection = await super().connect(req, traces, timeout)
        self._used = True
        return connection


async def refuses(address: str) -> bool:
    """Say whether nothing listens at an address, by one connection that is closed at once."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(defaults.CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
