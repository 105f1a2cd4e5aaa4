"""A listener in this process with a budget, and callers on bare sockets."""

import asyncio
import secrets
import time

from rookspring.byte_budget import ByteBudget
from rookspring.http_listener import HttpListener
from rookspring.http_server import ReadLimits
from rookspring.http_server import ServerOptions

MB = 1_000_000
ENDPOINT = "10.0.0.1:80"


class CallerConnections:
    """One listener; the path of a request says how it is served.

    :param most: the largest sum of bytes that it may hold.
    """

    def __init__(self, most):
        self.budget = ByteBudget(most)
        limits = ReadLimits(body_bytes=16 * MB)
        options = {"refuse": self._refuse} if "refuse" in ServerOptions._fields else {}
        options = ServerOptions(self._serve, lambda: limits, **options)
        self.listener = HttpListener(options, self.budget)
        # The callers' numbers whose requests run, and what lets them go on.
        self.running = []
        self.go_on = asyncio.Event()
        self.behind = 0
        self._writers = []

    async def start(self):
        await self.listener.start("127.0.0.1", 0)
        return self

    def _refuse(self, request):
        return [(b"X-Request", request.header(b"x-request")), (b"Retry-After", b"1.00")]

    async def _serve(self, connection, request):
        kind = request.target.decode().strip("/")
        self.running.append(request.header(b"x-caller").decode())
        if kind == "large":
            connection.answer(200, [], b"a" * 16 * MB)
        elif kind == "stream":
            holding = self.budget.open(ENDPOINT, self._fail)
            holding.resize(self.behind)
            connection.begin(200, [], None)
            while True:
                await connection.send(b"e" * MB, holding)
        elif kind == "abort":
            connection.abort()
        elif kind == "fail":
            raise ValueError
        else:
            if kind == "wait":
                await self.go_on.wait()
            if connection.disconnected:
                return
            connection.answer(200, [], b"x")

    def _fail(self, reason):
        self.failed = True

    failed = False

    async def connect(self, host="127.0.0.1"):
        """Return the two streams of a new caller."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port, local_addr=(host, 0)
        )
        self._writers.append(writer)
        return reader, writer

    async def wait(self, holds, within_s):
        """Wait until something holds; return whether it did in time."""
        until = time.monotonic() + within_s
        while not holds() and time.monotonic() < until:
            self.listener.count_held()
            await asyncio.sleep(0.01)
        return holds()

    async def close(self):
        self.go_on.set()
        self.listener.stop_accepting()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)


def write_head(kind, length, caller="first", *rows):
    """Return the head of a request."""
    lines = [f"POST /{kind} HTTP/1.1", "Host: h", f"Content-Length: {length}"]
    lines += [f"X-Caller: {caller}", f"X-Request: {secrets.token_hex(4)}", *rows]
    return "\r\n".join([*lines, "", ""]).encode()
