"""Streams between nodes: msgpack messages over TCP, after a handshake.

Each side proves that it knows the shared key, by an HMAC over the other's random challenge.
So a replayed hello is refused, as is a node without the key. The messages are defined in
:mod:`messages`.
"""

import asyncio
import contextlib
import hashlib
import hmac
import secrets
import ssl
import typing as t

import msgpack

from . import clock
from . import defaults
from .addresses import parse_address
from .byte_budget import ByteBudget
from .dropped_values import note_from
from .exceptions import PeerError
from .logs import LoggedOnce
from .logs import log
from .messages import Hello
from .messages import HelloProof
from .messages import decode
from .messages import encode
from .messages import tag_of

# Bytes that are read from a stream at once, at most.
READ_BYTES = 64 << 10


class Link:
    """One authenticated stream to another node.

    :param budget: counts what has come of a message and what isn't sent yet, by the other node's
        name, and by its host before the handshake.
    :ivar unfinished_bytes: what has come of the message that has not ended.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialled: bool,
        budget: ByteBudget | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._budget = budget or ByteBudget()
        peer = writer.get_extra_info("peername")
        self._holding = self._budget.open(str(peer[0]) if peer else "", self._give_up)
        self.unfinished_bytes = 0
        # Bytes that came, and those of messages that have ended.
        self._fed_bytes = 0
        self._read_bytes = 0
        # The largest message that may come now.
        self._message_bytes_max = defaults.HELLO_BYTES_MAX
        self._failure = ""
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=defaults.FRAME_BYTES_MAX)
        self.dialled = dialled
        self.name = ""
        self.incarnation = ""
        self.sent_bytes = 0
        self.closed = False
        self._note = note_from("", "decode")
        # When data last arrived.
        self.heard_at = clock.now()

    async def handshake(self, name: str, incarnation: str, key: str) -> None:
        """Exchange hellos, and proofs of the shared key.

        :raises PeerError: if the other side has another version or lacks the key.
        """
        challenge = secrets.token_bytes(16)
        self.send(Hello(defaults.PEER_VERSION, name, incarnation, challenge))
        hello = await self.receive()
        if not isinstance(hello, Hello) or hello.version != defaults.PEER_VERSION:
            raise PeerError("another version")
        self.send(HelloProof(_compute_proof(key, hello.challenge, name, incarnation)))
        proof = await self.receive()
        expected = _compute_proof(key, challenge, hello.name, hello.incarnation)
        if not isinstance(proof, HelloProof) or not hmac.compare_digest(proof.digest, expected):
            raise PeerError("shared key")
        self.know(hello.name, hello.incarnation)

    def know(self, name: str, incarnation: str) -> None:
        """Note who the other node is, which has proved that it knows the key."""
        self.name = name
        self._note = note_from(name, "decode")
        self.incarnation = incarnation
        self._message_bytes_max = defaults.FRAME_BYTES_MAX
        self._holding.close()
        self._holding = self._budget.open(name, self._give_up)
        self._holding.spare(True)
        self._count_held()

    def send(self, item: t.Any) -> None:
        """Send a message; it is dropped if the stream has ended."""
        if self.closed or self._writer.transport.is_closing():
            # The reader of the stream gets the error.
            return
        self.send_encoded(encode(item))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, so that one for several nodes is encoded once."""
        if self.closed or self._writer.transport.is_closing():
            return
        self.sent_bytes += len(data)
        if self._writer.transport.get_write_buffer_size() > defaults.FRAME_BYTES_MAX:
            # The other node does not read: disconnect rather than buffer without bound.
            self._give_up("unread")
            return
        self._writer.write(data)
        self._count_held()

    async def drain(self) -> None:
        """Wait while much of what was sent is not read, for ``FORWARD_S`` at most.

        Return at once if the stream has ended.
        """
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(defaults.FORWARD_S):
                await self._writer.drain()

    async def receive(self) -> t.Any:
        """Wait for the next message; one that can't be read is left out.

        :raises PeerError: if the stream ended or is not msgpack, so that the next message can't be
            found; during the handshake also for a malformed message.
        """
        while True:
            try:
                for raw in self._unpacker:
                    self._read_bytes = self._unpacker.tell()
                    self.unfinished_bytes = 0
                    item = self._decode(raw)
                    if item is not None:
                        return item
                self._count_unfinished()
                data = await self._reader.read(min(READ_BYTES, self._message_bytes_max))
            except PeerError:
                raise
            except (OSError, ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
                raise PeerError(type(error).__name__) from None
            if self._failure or not data:
                raise PeerError(self._failure or "ended")
            self.heard_at = clock.now()
            self._fed_bytes += len(data)
            try:
                self._unpacker.feed(data)
            except msgpack.exceptions.BufferFull:
                raise PeerError("message too large") from None

    def _count_unfinished(self) -> None:
        """Count what has come of a message that has not ended.

        The unpacker's own bound is on what it has not read yet, and it reads the parts of a message
        before its end.

        :raises PeerError: if it is larger than a message may be.
        """
        self.unfinished_bytes = self._fed_bytes - self._read_bytes
        if self.unfinished_bytes > self._message_bytes_max:
            raise PeerError("message too large")
        self._count_held()

    def _count_held(self) -> None:
        if not self.closed:
            unsent = self._writer.transport.get_write_buffer_size()
            self._holding.resize(self.unfinished_bytes + unsent)

    def _give_up(self, reason: str) -> None:
        """End the stream at once, with what waits: a close would keep what isn't sent."""
        self._failure = reason
        self.close()
        self._writer.transport.abort()

    def _decode(self, raw: t.Any) -> t.Any:
        """Decode a message, without its malformed rows; None if it is malformed itself."""
        try:
            return decode(raw, self._note)
        except PeerError as error:
            if not self.name:
                raise
            self._note("message", str(error))
            return None

    def close(self) -> None:
        """End the stream."""
        self.closed = True
        self.unfinished_bytes = 0
        self._holding.close()
        self._writer.close()


def _compute_proof(key: str, challenge: bytes, name: str, incarnation: str) -> bytes:
    text = challenge + name.encode() + b"\x00" + incarnation.encode()
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


N = t.TypeVar("N")


async def handle_messages(
    link: Link, receivers: t.Mapping[type[t.Any], t.Callable[[N, Link, t.Any], None]], node: N
) -> None:
    """Handle a link's messages until it ends; one that can't be handled stops no other.

    :param receivers: the handlers, by type of message.
    :param node: their first argument.
    :raises PeerError: when the link ends.
    """
    note = note_from(link.name, "handle")
    while True:
        item = await link.receive()
        receiver = receivers.get(type(item))
        if receiver is None:
            continue
        try:
            receiver(node, link, item)
        except Exception as error:  # noqa: BLE001
            note(tag_of(item), f"{type(error).__name__}: {error}")


Serve = t.Callable[[Link], t.Awaitable[None]]
OnUp = t.Callable[[], None]


class PeerServer:
    """Listens for other nodes and dials them; one link to each is kept.

    :param serve: run for each link after its handshake, until the link ends.
    :param silent_s: time without data after which a link may be silent for good, in seconds.
    :param budget: counts what waits at the links.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        key: str,
        serve: Serve,
        tls: ssl.SSLContext | None,
        silent_s: float = defaults.LINK_SILENT_S,
        budget: ByteBudget | None = None,
    ) -> None:
        self._budget = budget or ByteBudget()
        self._name = name
        self._incarnation = incarnation
        self._key = key
        self._serve = serve
        self._tls = tls
        self._silent_s = silent_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.links: dict[str, Link] = {}
        self._closed_link_bytes = 0
        self._logged = LoggedOnce()

    def sent_bytes(self) -> int:
        """Count the bytes sent to other nodes since the start."""
        return self._closed_link_bytes + sum(link.sent_bytes for link in self.links.values())

    def hears(self, name: str) -> bool:
        """Return whether a node is linked, and data came over the link lately."""
        link = self.links.get(name)
        return link is not None and not self._is_silent(link)

    def _is_silent(self, link: Link) -> bool:
        return clock.now() - link.heard_at > self._silent_s

    async def listen(self, host: str, port: int) -> None:
        """Start to accept streams."""
        self._server = await asyncio.start_server(self._accept, host, port, ssl=self._tls)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._run(Link(reader, writer, False, self._budget))
        except asyncio.CancelledError:
            # The server is closing; asyncio's callback for the stream must not see the error.
            writer.close()
        finally:
            self._tasks.discard(task)

    async def dial(self, address: str, on_up: OnUp = lambda: None) -> bool:
        """Connect to a node and serve the link until the stream ends.

        :param on_up: called once the link is up.
        :return: whether a connection could be made.
        """
        try:
            host, port = parse_address(address)
        except ValueError as error:
            if self._logged.is_new(str(error)):
                log("address_malformed", "ERROR", detail=error)
            return False
        try:
            async with asyncio.timeout(defaults.CONNECT_S):
                reader, writer = await asyncio.open_connection(
                    host, port, ssl=_make_client_tls(self._tls)
                )
        except (OSError, TimeoutError):
            return False
        await self._run(Link(reader, writer, True, self._budget), on_up)
        return True

    async def _run(self, link: Link, on_up: OnUp = lambda: None) -> None:
        try:
            async with asyncio.timeout(defaults.HEADER_READ_S):
                await link.handshake(self._name, self._incarnation, self._key)
        except (PeerError, TimeoutError) as error:
            log("peer_refused", "WARNING", reason=error)
            self._end(link)
            return
        known = self.links.get(link.name)
        if link.name == self._name or (known is not None and not self._prefer(link, known)):
            self._end(link)
            return
        self.links[link.name] = link
        log("peer_up", peer=link.name, incarnation=link.incarnation, replaces=known is not None)
        if known is not None:
            self._end(known)
        on_up()
        try:
            await self._serve(link)
        except PeerError as error:
            if self.links.get(link.name) is link:
                log("peer_down", peer=link.name, reason=error)
        finally:
            # One that another has replaced has been ended then.
            if self.links.get(link.name) is link:
                del self.links[link.name]
                self._end(link)

    def _end(self, link: Link) -> None:
        """End a link that is not kept, or no more, and add its bytes to those of ended ones."""
        link.close()
        self._closed_link_bytes += link.sent_bytes

    def _prefer(self, link: Link, known: Link) -> bool:
        """Return whether a new link replaces the known one; both ends choose the same link.

        A node dials again only if it hears nothing over the known link.
        """
        if known.closed or known.incarnation != link.incarnation:
            return True
        if link.dialled == known.dialled or self._is_silent(known):
            return True
        dialler_wins = self._name < link.name
        return link.dialled == dialler_wins and known.dialled != dialler_wins

    async def close(self) -> None:
        """End all streams and stop listening."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links.values()):
            link.close()
        for task in list(self._tasks):
            task.cancel()


def _make_client_tls(tls: ssl.SSLContext | None) -> ssl.SSLContext | None:
    """Make the dialling side's TLS context, without certificate checks.

    The other side is authenticated by the shared key instead.
    """
    if tls is None:
        return None
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
