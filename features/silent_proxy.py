"""A TCP proxy whose open connections can go silent for good, while new ones work."""

import asyncio


class SilentProxy:
    """Passes bytes on to an address; its kernel acknowledges what a silent connection is sent.

    :param get_address: returns the address behind it, which may be known later only.
    """

    def __init__(self, get_address):
        self._get_address = get_address
        self._server = None
        self._passing = set()
        self._tasks = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def silence(self):
        """Silence all connections that are open now; return their number."""
        count = len(self._passing)
        self._passing.clear()
        return count

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        host, _, port = self._get_address().rpartition(":")
        behind = None
        try:
            back, behind = await asyncio.open_connection(host, int(port))
            self._passing.add(task)
            await asyncio.gather(
                self._copy(task, reader, behind),
                self._copy(task, back, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._passing.discard(task)
            self._tasks.discard(task)
            for one in (writer, behind):
                if one is not None:
                    one.close()

    async def _copy(self, task, reader, writer):
        while data := await reader.read(1 << 16):
            if task in self._passing:
                writer.write(data)
                await writer.drain()
        if task in self._passing:
            writer.close()

    async def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
