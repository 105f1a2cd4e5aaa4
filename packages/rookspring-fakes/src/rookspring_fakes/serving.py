"""Serves test doubles on loopback ports within the running event loop."""

import asyncio
import contextlib
import typing as t

from aiohttp import web


class RunningServer:
    """A test double that listens on a port."""

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self.address = address

    async def close(self) -> None:
        """Stop listening and close open connections."""
        await self._runner.cleanup()


async def serve(app: web.Application, port: int = 0, host: str = "127.0.0.1") -> RunningServer:
    """Serve an application on a port; 0 chooses a free one."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    sockets: t.Any = site._server.sockets  # type: ignore[union-attr]
    bound_port = sockets[0].getsockname()[1]
    return RunningServer(runner, f"{host}:{bound_port}")


async def wait_for_change(changed: asyncio.Condition, most_s: float) -> None:
    """Wait for a notification, or for a time.

    ``asyncio.wait_for`` would leave the lock taken for good if its caller is cancelled as it times
    out.
    """
    async with changed:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_s):
                await changed.wait()
