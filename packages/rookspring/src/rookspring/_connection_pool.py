"""Connections to endpoints that are kept open, by address, and calls on them."""

import asyncio
import collections
import functools
import math
import typing as t
import weakref

from rookspring_core.close_ends import ConnectionTimes

from . import clock
from . import defaults
from ._client_connection import AcceptHead
from ._client_connection import ClientConnection
from ._client_connection import OnHead
from .addresses import parse_address
from .byte_budget import ByteBudget
from .exceptions import EndpointError
from .http_messages import HttpHead
from .paced_reads import PacedReads

MakeConnection = t.Callable[[ByteBudget, str], ClientConnection]


class ConnectionPool:
    """Idle connections by address.

    :param make_connection: makes the protocol of a new connection, given budget and address.
    :param budget: counts the bytes of answers that wait.
    :param paced: the turns in which large reads are parsed; its own if none are given.
    :param spared: other bytes give way before these answers; see :meth:`Holding.spare`.
    """

    def __init__(
        self,
        make_connection: MakeConnection = ClientConnection,
        budget: ByteBudget | None = None,
        paced: PacedReads | None = None,
        spared: bool = False,
    ) -> None:
        self._spared = spared
        self._make_connection = make_connection
        self._paced = paced or PacedReads()
        self._budget = budget or ByteBudget()
        self._kept: dict[str, list[ClientConnection]] = {}
        self._probes: dict[str, asyncio.Future[bool]] = {}
        # When a connection was last taken that had carried a request before.
        self._reused_at: dict[str, float] = {}
        # When an endpoint last ended a connection that was new and carried no answer yet.
        self._reset_new_at: dict[str, float] = {}
        # All connections that are in use anywhere, busy or idle.
        self._connections: dict[str, weakref.WeakSet[ClientConnection]] = {}
        # The connections that endpoints have closed lately.
        self._closed: dict[str, collections.deque[ConnectionTimes]] = {}
        # The latest answers that have ended, whose connections may have been closed or used again.
        self._ended: dict[str, collections.deque[ConnectionTimes]] = {}
        # Called with the address when an endpoint has broken an answer off.
        self.on_broken: t.Callable[[str, ClientConnection], None] = lambda address, broken: None

    async def acquire(
        self,
        address: str,
        wide_margin: bool,
        request_id: str | None = None,
        preferred_until: float = math.inf,
    ) -> ClientConnection:
        """Return an idle connection that is usable and hasn't carried the request, else a new one.

        :param wide_margin: see :meth:`ClientConnection.is_usable`.
        :param request_id: see :meth:`ClientConnection.send_request`.
        :param preferred_until: connections that were opened until then come first.
        :raises EndpointError: if no connection can be made; nothing was sent.
        """
        kept = self._kept.get(address, [])
        passed_over: list[ClientConnection] = []
        now = clock.now()
        latest_first = reversed(kept)
        for connection in sorted(latest_first, key=lambda one: one.opened_at > preferred_until):
            if connection.has_carried(request_id):
                passed_over.append(connection)
                continue
            kept.remove(connection)
            if connection.is_usable(now, wide_margin):
                if connection.served:
                    self._reused_at[address] = now
                return connection
            connection.close()
        return await self._replace(address, passed_over if request_id else [])

    async def _replace(self, address: str, passed_over: list[ClientConnection]) -> ClientConnection:
        """Return a new connection, in the place of one that may not be used if there is no room.

        A request that was refused finds its endpoint full, which may reset further connections
        then. One that was sent on such a connection may have run, so it is watched first.

        :param passed_over: kept connections that have carried the request; none of those of this
            node's own calls, which follow no refusal.
        :raises EndpointError: if none can be made, or it is reset at once; nothing was sent.
        """
        reset_at = self._reset_new_at.get(address, -math.inf)
        resets_new = clock.now() - reset_at < defaults.NEW_RESETS_KNOWN_S
        if not passed_over and not resets_new:
            return await self._open(address)
        if passed_over and resets_new:
            self._kept[address].remove(passed_over[0])
            passed_over[0].close()
            await asyncio.sleep(defaults.CONNECTION_SETTLES_S)
        return await self._open_watched(address)

    async def _open_watched(self, address: str) -> ClientConnection:
        """Return a new connection that the endpoint has not reset at once.

        :raises EndpointError: if none can be made, or it has; nothing was sent.
        """
        made = await self._open(address)
        try:
            await asyncio.sleep(defaults.CONNECTION_SETTLES_S)
        except asyncio.CancelledError:
            made.close()
            raise
        if not made.open or not made.reusable:
            made.close()
            raise EndpointError("reset as it was opened", sent=False)
        return made

    async def open(self, address: str) -> ClientConnection:
        """Return a new connection.

        :raises EndpointError: if none can be made; nothing was sent.
        """
        return await self._open(address)

    async def _open(self, address: str) -> ClientConnection:
        try:
            host, port = parse_address(address)
        except ValueError as error:
            raise EndpointError(str(error), sent=False) from None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(defaults.RELAY_CONNECT_S):
                _, made = await loop.create_connection(
                    lambda: self._make_connection(self._budget, address), host, port
                )
                made.paced = self._paced
                made.on_ended = functools.partial(self._note_ended, address)
                made.on_closed = functools.partial(self._note_closed, address)
                if self._spared:
                    made.spare()
        except (OSError, TimeoutError) as error:
            down = isinstance(error, ConnectionRefusedError)
            raise EndpointError(type(error).__name__, sent=False, down=down) from None
        self._connections.setdefault(address, weakref.WeakSet()).add(made)
        return made

    def has_open(self, address: str, until: float = math.inf) -> bool:
        """Return whether any connection to an address is open, busy or idle.

        :param until: those that were opened later don't count.
        """
        made = self._connections.get(address, ())
        return any(one.open and one.opened_at <= until for one in made)

    def shows_life(self, address: str, until: float) -> bool:
        """Return whether a connection is open that was made until then, and a close would be seen.

        That of one that isn't read, as its caller reads slowly, comes later.
        """
        made = self._connections.get(address, ())
        return any(
            one.open and one.opened_at <= until and one.reading_since <= until for one in made
        )

    def list_times(self, address: str, but: ClientConnection) -> list[ConnectionTimes]:
        """Return the times of an address's connections, also of those that were closed lately.

        :param but: is left out.
        """
        made = [one.read_times() for one in self._connections.get(address, ()) if one.open]
        closed = self._closed.get(address, ())
        ended = self._ended.get(address, ())
        return [one for one in (*made, *closed, *ended) if one.number != but.number]

    def _note_ended(self, address: str, connection: ClientConnection) -> None:
        """Keep the times of an answer that has ended, as work until then."""
        ended = self._ended.get(address)
        if ended is None:
            ended = self._ended[address] = collections.deque(maxlen=defaults.CLOSED_KEPT_MAX)
        kept_from = clock.now() - defaults.CLOSED_KEPT_S
        while ended and ended[0].read_at < kept_from:
            ended.popleft()
        ended.append(connection.read_times()._replace(closed_at=math.inf))

    def _note_closed(self, address: str, connection: ClientConnection) -> None:
        """Keep the times of a connection that its endpoint has closed."""
        closed = self._closed.get(address)
        if closed is None:
            closed = self._closed[address] = collections.deque(maxlen=defaults.CLOSED_KEPT_MAX)
        closed.append(connection.read_times())
        if connection.closed_new:
            self._reset_new_at[address] = connection.closed_at
        if connection.broke_off:
            self.on_broken(address, connection)

    def note_whole(self, address: str, connection: ClientConnection) -> None:
        """Note that an answer's bytes show that it was whole as the endpoint closed it."""
        closed = self._closed.get(address, collections.deque())
        for at, one in enumerate(closed):
            if one.number == connection.number:
                closed[at] = one._replace(whole=True)

    def keeps_connections(self, address: str) -> bool:
        """Return whether a connection to an address has lately been of use for another request."""
        return clock.now() - self._reused_at.get(address, -math.inf) < defaults.KEEPS_KNOWN_S

    async def is_down(self, address: str) -> bool:
        """Return whether nothing listens at an address; concurrent calls share one connection.

        A connection that is made is pooled for the next request.
        """
        probe = self._probes.get(address)
        if probe is None:
            probe = self._probes[address] = asyncio.ensure_future(self._probe(address))
            probe.add_done_callback(lambda _: self._probes.pop(address, None))
        return await asyncio.shield(probe)

    async def reaches(self, address: str) -> bool:
        """Return whether a new connection can be made; it is pooled for the next request."""
        try:
            self.release(address, await self._open(address))
        except EndpointError:
            return False
        return True

    async def _probe(self, address: str) -> bool:
        try:
            self.release(address, await self._open(address))
        except EndpointError as error:
            return error.down
        return False

    def release(self, address: str, connection: ClientConnection) -> None:
        """Pool a connection if it can be reused, else close it; its answer is read no further."""
        connection.end_use()
        if connection.open and connection.reusable:
            self._kept.setdefault(address, []).append(connection)
        else:
            connection.close()

    def release_or_close(self, address: str, connection: ClientConnection) -> None:
        """Pool a connection whose answer was read completely; close any other.

        By the close the endpoint learns that the rest of the answer is not needed.
        """
        if connection.busy:
            connection.close()
        self.release(address, connection)

    def release_after_call(self, address: str, connection: ClientConnection) -> None:
        """Pool a connection after a call whose answer carries no request's id.

        One that was opened for it is closed if others are idle: it can carry no further such call,
        and the calls of some time would each leave one open.
        """
        if connection.served == 1 and connection.has_carried("") and self._kept.get(address):
            connection.end_use()
            connection.close()
        else:
            self.release_or_close(address, connection)

    def sweep(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        for address, kept in list(self._kept.items()):
            live = [one for one in kept if one.is_usable(now, wide_margin=False)]
            for one in kept:
                if one not in live:
                    one.close()
            if live:
                self._kept[address] = live
            else:
                del self._kept[address]
        self._connections = {address: made for address, made in self._connections.items() if made}
        closed_from = now - defaults.CLOSED_KEPT_S
        self._closed = {
            one: rows for one, rows in self._closed.items() if rows[-1].closed_at > closed_from
        }
        self._ended = {
            one: rows for one, rows in self._ended.items() if rows[-1].read_at > closed_from
        }
        resets_from = now - defaults.NEW_RESETS_KNOWN_S
        self._reset_new_at = {one: at for one, at in self._reset_new_at.items() if at > resets_from}
        known_from = now - defaults.KEEPS_KNOWN_S
        self._reused_at = {one: at for one, at in self._reused_at.items() if at > known_from}

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self._kept.values():
            for connection in kept:
                connection.close()
        self._kept.clear()


async def call(
    pool: ConnectionPool,
    address: str,
    data: bytes,
    on_head: OnHead,
    timeout_s: float,
    most: int = defaults.ANSWER_BYTES_MAX,
    single_use: bool = False,
    accept: AcceptHead = lambda head: True,
    request_id: str | None = None,
) -> tuple[HttpHead, bytes]:
    """Send a request, given as its bytes, once, and return the complete answer.

    :param on_head: called with the answer's head.
    :param timeout_s: for connection and answer together.
    :param most: largest accepted answer in bytes.
    :param single_use: send it on a new connection, which is closed after it. Then no answer to
        another call can be taken for its own, where nothing in the answers tells them apart.
    :param accept: see :meth:`ClientConnection.send_request`, as for ``request_id``.
    :raises EndpointError: if no complete answer arrived in time.
    """
    connection: ClientConnection | None = None
    try:
        async with asyncio.timeout(timeout_s):
            if single_use:
                connection = await pool.open(address)
            else:
                connection = await pool.acquire(address, True, request_id)
            reply = connection.send_request(data, accept, on_head, request_id=request_id)
            head = await reply.wait_head()
            return head, await reply.read_rest(most)
    except TimeoutError:
        raise EndpointError("no answer in time", sent=connection is not None) from None
    finally:
        if connection is not None and single_use:
            connection.end_use()
            connection.close()
        elif connection is not None:
            pool.release_after_call(address, connection)
