"""A node's links to all endpoints, which can be cut while its other links work.

:class:`CutPool` takes the place of the connection pool of a real node.
"""

import asyncio
import typing as t

from rookspring import defaults
from rookspring.byte_budget import ByteBudget
from rookspring.exceptions import EndpointError
from rookspring.http_client import ClientConnection
from rookspring.http_client import ConnectionPool

from .resets import close_connection
from .resets import reset_connection


class Cut(t.NamedTuple):
    """What a cut does to the connections to endpoints.

    :param open_ones: ``silent`` until it ends, ``reset`` or ``closed`` as it begins, or
        ``live`` on.
    :param refuses: new connections are refused; otherwise they time out.
    """

    open_ones: str
    refuses: bool


CUTS = {
    "silenced": Cut("silent", False),
    "reset": Cut("reset", False),
    "closed": Cut("closed", False),
    "refused": Cut("reset", True),
    "refused, open ones live on": Cut("live", True),
}


class _SilencedTransport:
    """Passes on calls to a transport, and keeps what is written while the connection is silent."""

    def __init__(self, transport: t.Any) -> None:
        self._transport = transport
        self._kept: list[bytes] = []
        self.silent = False

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        if self.silent:
            self._kept.append(data)
        else:
            self._transport.write(data)

    def deliver(self) -> None:
        """Write what was kept, as retransmission does after a cut."""
        self.silent = False
        for data in self._kept:
            self._transport.write(data)
        self._kept.clear()


class _CutConnection(ClientConnection):
    """A connection that a cut can silence."""

    def __init__(self, budget: ByteBudget, address: str) -> None:
        super().__init__(budget, address)
        self._link: _SilencedTransport | None = None
        self._received: list[bytes] = []
        # What ended the connection while it was silent: its peer's close, or how it was lost.
        self._ended = False
        self._losses: list[Exception | None] = []

    def connection_made(self, transport: t.Any) -> None:
        self._link = _SilencedTransport(transport)
        super().connection_made(self._link)

    def data_received(self, data: bytes) -> None:
        if self._link is not None and self._link.silent:
            self._received.append(data)
        else:
            super().data_received(data)

    def eof_received(self) -> bool:
        """Hold an end back as well, since it comes behind the bytes."""
        if self._link is not None and self._link.silent:
            self._ended = True
            # The transport stays open.
            return True
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hold the loss of the connection back, unless this side has ended it."""
        if self.open and self._link is not None and self._link.silent:
            self._losses.append(exc)
        else:
            super().connection_lost(exc)

    def silence(self) -> None:
        """Hold back all bytes in both directions."""
        if self._link is not None:
            self._link.silent = True

    def resume(self) -> None:
        """Pass on what was held back."""
        if self._link is None or not self.open:
            return
        self._link.deliver()
        received, self._received = self._received, []
        for data in received:
            super().data_received(data)
        if self._losses:
            super().connection_lost(self._losses.pop())
        elif self._ended:
            super().eof_received()
            self._link.close()

    def reset(self) -> None:
        """Reset the connection at both ends, as something between them does."""
        transport, self._link = self._link, None
        if transport is not None and self.open:
            self.connection_lost(ConnectionResetError())
            reset_connection(transport)

    def close_both(self) -> None:
        """Close the connection at both ends, as something between them does that gives it up."""
        transport, self._link = self._link, None
        if transport is not None and self.open:
            self.eof_received()
            self.connection_lost(None)
            close_connection(transport)


class CutPool(ConnectionPool):
    """A connection pool whose links to all endpoints can be cut."""

    def __init__(self, budget: ByteBudget | None = None) -> None:
        super().__init__(_CutConnection, budget)
        self._cut: Cut | None = None
        self._made: list[_CutConnection] = []

    def cut(self, cut: Cut) -> None:
        """Begin a cut."""
        self._cut = cut
        self._made = [one for one in self._made if one.open]
        for one in self._made:
            if cut.open_ones == "silent":
                one.silence()
            elif cut.open_ones == "reset":
                one.reset()
            elif cut.open_ones == "closed":
                one.close_both()

    def heal(self) -> None:
        """End the cut."""
        self._cut = None
        for one in self._made:
            one.resume()

    async def _open(self, address: str) -> ClientConnection:
        cut = self._cut
        if cut is not None and cut.refuses:
            raise EndpointError("ConnectionRefusedError", sent=False, down=True)
        if cut is not None:
            await asyncio.sleep(defaults.RELAY_CONNECT_S)
            raise EndpointError("TimeoutError", sent=False)
        made = await super()._open(address)
        if self._cut is not None:
            made.close()
            raise EndpointError("ConnectionResetError", sent=False)
        if isinstance(made, _CutConnection):
            self._made.append(made)
        return made
