"""Streams between nodes: msgpack messages over TCP, after a hello on both sides.

Each side proves the shared key by a keyed hash over the other's random number,
so that neither a replayed hello nor a stranger is heard. Messages are
``NamedTuple`` classes in the registry ``MESSAGES``.
"""

import asyncio
import hashlib
import hmac
import secrets
import ssl
import typing as t

import msgpack

from . import defaults
from .exceptions import PeerError
from .logs import log

M = t.TypeVar("M", bound=type[t.Any])
MESSAGES: dict[str, type[t.Any]] = {}
_TAGS: dict[type[t.Any], str] = {}


def message(tag: str) -> t.Callable[[M], M]:
    """Register a message class under its tag on the wire."""

    def register(cls: M) -> M:
        MESSAGES[tag] = cls
        _TAGS[cls] = tag
        return cls

    return register


@message("hello")
class Hello(t.NamedTuple):
    """First message of each side."""

    version: int
    name: str
    incarnation: str
    challenge: bytes


@message("hello-proof")
class HelloProof(t.NamedTuple):
    """Keyed hash over the other side's challenge."""

    digest: bytes


@message("beat")
class Heartbeat(t.NamedTuple):
    """What a node says of itself; ``inflight`` is None where its rows are left out.

    ``up_s`` is how long it has run, in seconds. ``lease_ended`` is the last epoch of the
    lease that it held and that has lapsed, ``used`` the adapters and models that its
    requests use, as rows of endpoint and name. ``urgent`` and ``missed`` are parts of
    ``demand``: what cannot wait for its model, and what was refused for want of room.

    The last six tell of its part among the nodes, as in ``PeerHeard``: how much it can
    carry; whether it passes on what its data centre tells, asks the store itself, and
    follows the receiver; whether its figures come within another node's; and how old
    what it knows of the store is, in seconds. ``prompts`` are tokens that endpoints are
    still to read, as rows; ``spent`` is what was let in of organisations since the
    sender told last, and ``relay_s`` for how long it has passed things on.
    """

    name: str
    incarnation: str
    address: str
    caller_address: str
    data_centre: str
    revision: int
    leaving: bool
    demand: list[t.Any]
    team_demand: list[t.Any]
    lease_epoch: int
    inflight: list[t.Any] | None
    up_s: float = 0.0
    lease_ended: int = 0
    used: list[t.Any] | None = None
    urgent: list[t.Any] | None = None
    missed: list[t.Any] | None = None
    strength: float = 0.0
    relay: bool = False
    watches: bool = False
    follows: bool = False
    summed: bool = False
    store_age_s: float = 0.0
    prompts: list[t.Any] | None = None
    spent: list[t.Any] | None = None
    relay_s: float = 0.0


@message("members")
class Members(t.NamedTuple):
    """Nodes that the sender vouches for, as rows, and those that it does no more.

    ``whole`` says that these are all.
    """

    rows: list[t.Any]
    gone: list[str]
    whole: bool


@message("listed")
class Listed(t.NamedTuple):
    """Entries of endpoints as the store has them, for whoever follows the sender.

    Rows are name, revision and value; a value of None takes the entry away. ``whole``
    says that these are all.
    """

    rows: list[t.Any]
    whole: bool


@message("reports")
class Reports(t.NamedTuple):
    """Load reports of the endpoints that the sender polls, as lists with their age."""

    rows: list[t.Any]


@message("hints")
class Hints(t.NamedTuple):
    """Prefixes that endpoints hold."""

    rows: list[t.Any]


@message("boxes")
class Boxes(t.NamedTuple):
    """The platform's box list as a relay read it."""

    rows: list[t.Any]


@message("want")
class WantRevision(t.NamedTuple):
    """Ask for what changed since a revision."""

    since: int


@message("delta")
class RevisionDelta(t.NamedTuple):
    """Entries that changed from ``since`` to ``revision``; since 0 means all of them."""

    since: int
    revision: int
    epoch: int
    changed: dict[str, t.Any]
    removed: list[str]


@message("nodes")
class Nodes(t.NamedTuple):
    """Nodes that the sender knows, as rows of name, address, data centre and strength."""

    rows: list[t.Any]


@message("coming")
class Coming(t.NamedTuple):
    """A model is being loaded at an endpoint, to be there in so many seconds."""

    endpoint: str
    model: str
    in_s: float


@message("down")
class Down(t.NamedTuple):
    """Nothing listens at an endpoint, as the sender has just found."""

    endpoint: str


@message("want-table")
class WantTable(t.NamedTuple):
    """Ask for the route table."""


@message("table")
class TableGiven(t.NamedTuple):
    """The configuration as the platform has it, for the receiver's dialect to read."""

    version: int
    value: t.Any


@message("prompts")
class Prompts(t.NamedTuple):
    """Prompt tokens that endpoints are still to read, as rows of endpoint and tokens.

    They are of the sender's requests, or of all those that its sums hold.
    """

    rows: list[t.Any]


@message("want-model")
class WantModel(t.NamedTuple):
    """Tell the lease holder that requests wait for what is resident nowhere."""

    service: str
    model: str
    adapter: str


@message("ask-proof")
class AskProof(t.NamedTuple):
    """Ask how new the configuration is; ``stamp`` is a time of the sender's own clock."""

    stamp: float


@message("proof")
class Proof(t.NamedTuple):
    """The answer: ``version`` was the newest ``age_s`` before the question came.

    ``tight`` names the organisations that are near their limits; None where the sender
    can't tell.
    """

    stamp: float
    age_s: float
    version: int
    tight: list[str] | None


@message("ask-units")
class AskUnits(t.NamedTuple):
    """Ask an organisation's owner whether a request of ``origin`` may run.

    ``key`` names the request there. ``passed`` says that another node has passed it on.
    """

    origin: str
    key: str
    organisation: str
    units: float
    passed: bool


@message("units-given")
class UnitsGiven(t.NamedTuple):
    """The owner's answer: 0, or seconds after which there may be room."""

    origin: str
    key: str
    organisation: str
    units: float
    after_s: float


@message("units-back")
class UnitsBack(t.NamedTuple):
    """Tell an organisation's owner that what it granted did not run."""

    organisation: str
    units: float
    passed: bool


@message("ask-slot")
class AskSlots(t.NamedTuple):
    """Ask a plain service's owner for a slot for a request of ``origin``; see ``AskSlot``."""

    origin: str
    key: str
    service: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str
    passed: bool


@message("slot")
class SlotTold(t.NamedTuple):
    """The owner's answer; see ``SlotAnswered``."""

    origin: str
    key: str
    service: str
    endpoint: str
    after_s: float


@message("slot-free")
class SlotFreed(t.NamedTuple):
    """Tell a plain service's owner that a run is over; see ``FreeSlot``."""

    origin: str
    key: str
    service: str
    endpoint: str
    took_s: float
    passed: bool


@message("fwd")
class Forward(t.NamedTuple):
    """A keyed request for the node that issued its session."""

    number: int
    kind: str
    team: str
    fields: dict[str, t.Any]
    body: bytes


@message("fwd-start")
class ForwardStart(t.NamedTuple):
    """The answer's status and headers."""

    number: int
    status: int
    headers: dict[str, str]


@message("fwd-part")
class ForwardPart(t.NamedTuple):
    """A part of the answer."""

    number: int
    data: bytes


@message("fwd-end")
class ForwardEnd(t.NamedTuple):
    """The answer is complete."""

    number: int


def encode(item: t.Any) -> bytes:
    """Turn a message into bytes."""
    return t.cast(bytes, msgpack.packb([_TAGS[type(item)], *item], use_bin_type=True))


def decode(raw: t.Any) -> t.Any:
    """Turn unpacked data into a message.

    :raises PeerError: when it is no message of this version.
    """
    if not isinstance(raw, list) or not raw or raw[0] not in MESSAGES:
        raise PeerError("unknown message")
    cls = MESSAGES[raw[0]]
    if len(raw) - 1 != len(cls._fields):
        raise PeerError(f"{raw[0]}: {len(cls._fields)} fields were expected")
    return cls(*raw[1:])


class Link:
    """One authenticated stream to another node."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, dialled: bool
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=defaults.FRAME_BYTES_MAX)
        self.dialled = dialled
        self.name = ""
        self.incarnation = ""
        self.sent_bytes = 0
        self.closed = False

    async def greet(self, name: str, incarnation: str, key: str) -> None:
        """Say hello and prove the key, and have the other side do so.

        :raises PeerError: when it speaks another version or lacks the key.
        """
        challenge = secrets.token_bytes(16)
        self.send(Hello(defaults.PEER_VERSION, name, incarnation, challenge))
        hello = await self.receive()
        if not isinstance(hello, Hello) or hello.version != defaults.PEER_VERSION:
            raise PeerError("another version")
        self.send(HelloProof(_prove(key, hello.challenge, name, incarnation)))
        proof = await self.receive()
        wanted = _prove(key, challenge, hello.name, hello.incarnation)
        if not isinstance(proof, HelloProof) or not hmac.compare_digest(proof.digest, wanted):
            raise PeerError("shared key")
        self.name = hello.name
        self.incarnation = hello.incarnation

    def send(self, item: t.Any) -> None:
        """Send a message; a stream that ended takes it in silence."""
        if self.closed or self._writer.transport.is_closing():
            # Its reader is about to be told that it ended.
            return
        self.send_encoded(encode(item))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that is encoded already, since others get the same."""
        if self.closed or self._writer.transport.is_closing():
            return
        self.sent_bytes += len(data)
        if self._writer.transport.get_write_buffer_size() > defaults.FRAME_BYTES_MAX:
            # A node that does not read is cut off rather than buffered for.
            self.close()
            return
        self._writer.write(data)

    async def receive(self) -> t.Any:
        """Wait for the next message.

        :raises PeerError: when the stream ended or brought nonsense.
        """
        while True:
            try:
                for raw in self._unpacker:
                    return decode(raw)
                data = await self._reader.read(1 << 16)
            except PeerError:
                raise
            except (OSError, ValueError, msgpack.exceptions.UnpackException) as error:
                raise PeerError(type(error).__name__) from None
            if not data:
                raise PeerError("ended")
            try:
                self._unpacker.feed(data)
            except msgpack.exceptions.BufferFull:
                raise PeerError("message too large") from None

    def close(self) -> None:
        """End the stream."""
        self.closed = True
        self._writer.close()


def _prove(key: str, challenge: bytes, name: str, incarnation: str) -> bytes:
    text = challenge + name.encode() + b"\x00" + incarnation.encode()
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


Serve = t.Callable[[Link], t.Awaitable[None]]


class PeerServer:
    """Listens for other nodes and dials them; one link to each is used for sending.

    :param serve: is run for each link that greeted well, until it ends.
    """

    def __init__(
        self, name: str, incarnation: str, key: str, serve: Serve, tls: ssl.SSLContext | None
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._key = key
        self._serve = serve
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.links: dict[str, Link] = {}
        self._ended_bytes = 0

    def sent_bytes(self) -> int:
        """Count the bytes sent to other nodes since the start."""
        return self._ended_bytes + sum(link.sent_bytes for link in self.links.values())

    async def listen(self, host: str, port: int) -> None:
        """Begin to take streams."""
        self._server = await asyncio.start_server(self._accept, host, port, ssl=self._tls)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._run(Link(reader, writer, dialled=False))
        except asyncio.CancelledError:
            # The server is closing; the stream's own callback must not see it raised.
            writer.close()
        finally:
            self._tasks.discard(task)

    async def dial(self, address: str) -> bool:
        """Connect to a node and stay with it until the stream ends.

        :return: whether it could be reached.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(defaults.CONNECT_S):
                reader, writer = await asyncio.open_connection(
                    host, int(port), ssl=_trusting(self._tls)
                )
        except (OSError, TimeoutError):
            return False
        await self._run(Link(reader, writer, dialled=True))
        return True

    async def _run(self, link: Link) -> None:
        try:
            async with asyncio.timeout(defaults.HEADER_READ_S):
                await link.greet(self._name, self._incarnation, self._key)
        except (PeerError, TimeoutError) as error:
            log("peer_refused", "WARNING", reason=error)
            link.close()
            return
        known = self.links.get(link.name)
        if link.name == self._name or (known is not None and not self._prefer(link, known)):
            link.close()
            return
        self.links[link.name] = link
        log("peer_up", peer=link.name, incarnation=link.incarnation)
        try:
            await self._serve(link)
        except PeerError as error:
            log("peer_down", peer=link.name, reason=error)
        finally:
            link.close()
            if self.links.get(link.name) is link:
                del self.links[link.name]
                self._ended_bytes += link.sent_bytes

    def _prefer(self, link: Link, known: Link) -> bool:
        """Choose between two links to one node; both ends choose the same one."""
        if known.closed or known.incarnation != link.incarnation:
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


def _trusting(tls: ssl.SSLContext | None) -> ssl.SSLContext | None:
    """Make the dialling side's context: the shared key proves the other side."""
    if tls is None:
        return None
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
