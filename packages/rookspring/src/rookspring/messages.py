"""Messages between nodes: ``NamedTuple`` classes in a registry, by their tags on the wire."""

import typing as t

import msgpack

from .exceptions import PeerError

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

    The last six tell of its part among the nodes, as in ``HeartbeatReceived``: how much it can
    carry; whether it passes on what its data centre tells, asks the store itself, and
    follows the receiver; whether its figures come within another node's; and how old
    what it knows of the store is, in seconds. ``prompts`` are tokens that endpoints are
    still to read, as rows; ``spent`` is what was let in of organisations since the
    sender told last, and ``relay_s`` for how long it has passed things on. ``merged`` is the
    digest of what all nodes are to know alike; see :mod:`relay_merged`. ``store_era`` is how
    often the store has come back from a copy.
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
    merged: int = 0
    store_era: int = 0


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

    Rows are name, revision, value and the store's era; a value of None takes the entry away.
    ``whole`` says that these are all.
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


@message("shed")
class ShedTold(t.NamedTuple):
    """An endpoint turned a request of the sender away, and is spared for so long, in seconds."""

    endpoint: str
    for_s: float


@message("leaving")
class LeavingTold(t.NamedTuple):
    """Endpoints that leave, as rows of name, start and age of the word in seconds."""

    rows: list[t.Any]


@message("rates")
class RatesTold(t.NamedTuple):
    """How many requests a second endpoints take, as rows of name, start, version and rate.

    The rate is None where the endpoint names none any more; see ``RateRecord``.
    """

    rows: list[t.Any]


@message("evidence")
class EvidenceTold(t.NamedTuple):
    """Requests under which endpoints ended; see ``Evidence``. Ages and rests are in seconds.

    ``sightings`` are rows of fingerprint, organisation, endpoint, its start, age and whether the
    request was young; ``cleared`` of fingerprint and age; ``verdicts`` of fingerprint,
    organisation and rest; ``trials`` of fingerprint and rest.
    """

    sightings: list[t.Any]
    cleared: list[t.Any]
    verdicts: list[t.Any]
    trials: list[t.Any]


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
    """Tell the lease holder that a request waits for what is resident nowhere.

    ``back_s`` is how soon its caller will have come back, should it be refused first.
    """

    service: str
    model: str
    adapter: str
    back_s: float


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
    """Ask an owner for a slot for a request of ``origin``; see ``AskSlot``."""

    origin: str
    key: str
    queue: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str
    rate: float | None
    passed: bool


@message("slot")
class SlotTold(t.NamedTuple):
    """The owner's answer; see ``SlotAnswered``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    after_s: float
    rated: bool
    stay_s: float
    blind: bool


@message("slot-free")
class SlotFreed(t.NamedTuple):
    """Tell the owner of a slot that a run is over; see ``FreeSlot``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    took_s: float
    unsent: bool
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
