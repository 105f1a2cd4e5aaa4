"""A server that answers each request with given bytes, and closes its connection or keeps it."""

import asyncio
import typing as t

from rookspring_fakes.resets import close_connection

HEAD_END = b"\r\n\r\n"
COPY_AFTER_S = 0.02
LENGTH_NAME = "content-length:"


class RawAnswer(t.NamedTuple):
    """The bytes that answer a request.

    :param closes: the connection is closed after them.
    :param copied: when they are sent once more on a connection that is kept: ``late``, or ``next``
        in the place of the next answer on it.
    """

    data: bytes
    closes: bool = True
    copied: str = ""


class RawServer:
    """Gives ``answer`` to each request.

    :ivar requests: their heads, as they were received.
    :ivar connections: how many were made to it.
    """

    def __init__(self):
        self.answer = RawAnswer(b"")
        self.requests = []
        self.connections = 0
        self.address = ""
        self._server = None
        self._writers = set()
        # Copies that are to be sent in the place of the next answer, by connection.
        self._copies = {}

    async def start(self, port=0):
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def close(self):
        """Stop listening, and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            close_connection(writer.transport)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while not await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        """Answer a request, and return whether the connection is to be closed."""
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        rows = head.lower().split("\r\n")
        lengths = [row.partition(":")[2] for row in rows if row.startswith(LENGTH_NAME)]
        await reader.readexactly(int(lengths[0]) if lengths else 0)
        self.requests.append(head)
        answer = self.answer
        writer.write(self._copies.pop(writer, b"") + answer.data)
        if answer.copied == "next":
            self._copies[writer] = answer.data
        elif answer.copied == "late":
            asyncio.get_running_loop().call_later(COPY_AFTER_S, writer.write, answer.data)
        await writer.drain()
        return answer.closes
