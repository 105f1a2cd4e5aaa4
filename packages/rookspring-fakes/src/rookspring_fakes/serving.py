"""Puts stand-ins on loopback ports within the running loop."""

import typing as t

from aiohttp import web


class Served:
    """A stand-in that listens."""

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self.address = address

    async def close(self) -> None:
        """Stop listening and cut what is open."""
        await self._runner.cleanup()


async def serve(app: web.Application, port: int = 0, host: str = "127.0.0.1") -> Served:
    """Listen on a port; 0 takes a free one."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    sockets: t.Any = site._server.sockets  # type: ignore[union-attr]
    found = sockets[0].getsockname()[1]
    return Served(runner, f"{host}:{found}")
