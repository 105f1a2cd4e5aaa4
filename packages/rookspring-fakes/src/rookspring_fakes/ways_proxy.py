"""A TCP proxy of the load of ways, whose connections are delayed, split, narrowed, held or ended.

Which process is at the near side is found in the kernel's table of sockets, so that a node can
lose its links to all endpoints whatever program it runs.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import socket

from .resets import reset_connection

READ_BYTES = 1 << 16
# The pause between the pieces of split bytes, in seconds, and a piece's size in bytes.
PIECE_PAUSE_S = 0.001
PIECE_BYTES = 97
# How long after its near side was reset a connection still delivers what it holds, in seconds.
LATE_S = 0.3
# The pause between the pieces of a connection of little bandwidth, in seconds.
RATE_PAUSE_S = 0.02
HELD_CHECK_S = 0.02


class Passing:
    """One connection through a proxy, and what is done to its bytes now.

    ``held`` names the directions whose bytes wait: "there" to the far side, "back" to the near one.
    """

    def __init__(self, near: asyncio.StreamWriter) -> None:
        self.near = near
        self.port = int(near.get_extra_info("peername")[1])
        self.far: asyncio.StreamWriter | None = None
        self.held: set[str] = set()
        self.delay_s = 0.0
        self.splits = False
        # The bytes that pass in a second; 0 for all at once.
        self.rate = 0

    def reset(self) -> None:
        """Reset both sides."""
        for one in (self.near, self.far):
            if one is not None:
                reset_connection(one.transport)

    def close(self) -> None:
        """Close both sides, as a middlebox that forgets the connection politely."""
        for one in (self.near, self.far):
            if one is not None:
                one.close()

    def reset_near(self) -> None:
        """Reset the near side; the far side still gets what was held, a little later."""
        self.held.add("there")
        reset_connection(self.near.transport)
        asyncio.get_running_loop().call_later(LATE_S, self.held.discard, "there")


class WaysProxy:
    """Passes connections on to a port, and does to them what its troubles say.

    :param port: of the process behind it; may change.
    """

    def __init__(self, host: str, port: int, seed: str) -> None:
        self.host = host
        self.port = port
        self._random = random.Random(seed)
        self.open: set[Passing] = set()
        self.count = 0
        # What new connections of a process are met with, by process id: "silent" or "reset".
        self.cuts: dict[int, str] = {}
        # What new connections begin with.
        self.delay_s = 0.0
        self.splits = False
        self.rate = 0
        self.address = ""
        # The name of the process behind it.
        self.owner = ""
        self._server: asyncio.Server | None = None
        # Keeps the port for it while it doesn't listen.
        self._held = socket.socket()

    async def start(self) -> "WaysProxy":
        """Listen on a free port."""
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._held.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._held.getsockname()[1]}"
        await self.listen()
        return self

    async def listen(self) -> None:
        """Listen, unless it does."""
        if self._server is None:
            host, port = self._held.getsockname()
            self._server = await asyncio.start_server(self._accept, host, port, reuse_port=True)

    def refuse(self) -> None:
        """Listen no more, as a process that has ended; its connections stay."""
        if self._server is not None:
            self._server.close()
        self._server = None

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.refuse()
        self._held.close()
        for one in list(self.open):
            one.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.count += 1
        passing = Passing(writer)
        passing.delay_s, passing.splits, passing.rate = self.delay_s, self.splits, self.rate
        cut = next((how for one, how in self.cuts.items() if passing.port in read_ports(one)), "")
        if cut == "reset":
            reset_connection(writer.transport)
            return
        if cut:
            passing.held = {"there", "back"}
        try:
            back, passing.far = await asyncio.open_connection(self.host, self.port)
        except OSError:
            reset_connection(writer.transport)
            return
        self.open.add(passing)
        try:
            await asyncio.gather(
                self._copy(passing, "there", reader, passing.far),
                self._copy(passing, "back", back, writer),
            )
        finally:
            self.open.discard(passing)
            for one in (writer, passing.far):
                one.close()

    async def _copy(
        self,
        passing: Passing,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(passing.delay_s)
                await self._wait_held(passing, way)
                await self._pass(passing, data, writer)
            await self._wait_held(passing, way)
            writer.close()
        except OSError:
            await self._wait_held(passing, way)
            with contextlib.suppress(OSError):
                reset_connection(writer.transport)

    async def _wait_held(self, passing: Passing, way: str) -> None:
        while way in passing.held:
            await asyncio.sleep(HELD_CHECK_S)

    async def _pass(self, passing: Passing, data: bytes, writer: asyncio.StreamWriter) -> None:
        while passing.rate and data:
            size = max(1, int(passing.rate * RATE_PAUSE_S))
            writer.write(data[:size])
            data = data[size:]
            await asyncio.sleep(RATE_PAUSE_S)
            if writer.is_closing():
                raise ConnectionResetError
        if passing.splits and len(data) < PIECE_BYTES * 20:
            for begin in range(0, len(data), PIECE_BYTES):
                writer.write(data[begin : begin + PIECE_BYTES])
                await asyncio.sleep(PIECE_PAUSE_S)
        else:
            writer.write(data)
        await writer.drain()


def read_ports(process: int) -> set[int]:
    """Return the local ports of a process's TCP sockets."""
    inodes = _read_inodes(process)
    ports = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports


def _read_inodes(process: int) -> set[str]:
    folder = pathlib.Path(f"/proc/{process}/fd")
    found = set()
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                found.add(os.readlink(folder / name))
    return {one[8:-1] for one in found if one.startswith("socket:[")}
