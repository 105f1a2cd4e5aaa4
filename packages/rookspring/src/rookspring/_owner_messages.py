"""Messages to and from the one node that decides for all: units, slots, places and origins."""

import typing as t

from ._message_coding import message
from .message_rows import Number
from .message_rows import Positive


@message("ask-units")
class AskUnits(t.NamedTuple):
    """Ask an organisation's owner whether a request may run.

    :param origin: the node that has the request.
    :param key: the request's id there.
    :param passed: whether another node has forwarded the message.
    """

    origin: str
    key: str
    organisation: str
    units: Number
    passed: bool


@message("units-given")
class UnitsReply(t.NamedTuple):
    """The owner's reply to :class:`AskUnits`.

    :param after_s: 0 if the request may run; else the time to retry, in seconds.
    """

    origin: str
    key: str
    organisation: str
    units: Number
    after_s: Number


@message("units-back")
class UnitsReturned(t.NamedTuple):
    """Return granted units to an organisation's owner, since the request did not run."""

    organisation: str
    units: Number
    passed: bool


@message("ask-slot")
class AskSlots(t.NamedTuple):
    """Request a slot from the owner of its queue; see ``AskSlot``.

    :param origin: the node that has the request.
    :param key: of the question there; see :mod:`request_keys`.
    """

    origin: str
    key: str
    queue: str
    rank: int
    organisation: str
    wait_s: Number
    avoid: str
    rate: Positive | None
    passed: bool


@message("ask-place")
class AskPlaces(t.NamedTuple):
    """Request a place at a model endpoint from the owner of its queue; see ``PlaceTerms``.

    The owner replies with a :class:`SlotReply`.

    :param origin: the node that has the request.
    :param key: of the question there; see :mod:`request_keys`.
    """

    origin: str
    key: str
    queue: str
    rank: int
    organisation: str
    wait_s: Number
    prompt_work: int
    work: Number
    passed: bool


@message("slot")
class SlotReply(t.NamedTuple):
    """The owner's reply to :class:`AskSlots` or :class:`AskPlaces`; see ``SlotAnswered``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    after_s: Number
    counts_towards_rate: bool
    avoid_s: Number
    no_known_endpoint: bool


@message("slot-end")
class SlotEnded(t.NamedTuple):
    """Tell the owner of a queue how the answer of a run ended, before its slot is freed.

    A message of its own, as an owner of an earlier version drops one of any other length, and must
    not drop that which frees the slot.

    :param open_end: nothing showed the answer's end; otherwise it was whole.
    """

    queue: str
    endpoint: str
    open_end: bool
    passed: bool


@message("slot-free")
class SlotFreed(t.NamedTuple):
    """Return a slot to the owner of its queue after a run; see ``FreeSlot``."""

    origin: str
    key: str
    queue: str
    endpoint: str
    took_s: Number
    unsent: bool
    passed: bool


@message("stream-origin")
class OriginMessage(t.NamedTuple):
    """Tell an owner which version began a stream; see ``StreamOrigin``.

    :param subject: under which the owner is chosen.
    """

    subject: str
    stream: str
    version: str
    kept_s: Number
    passed: bool


@message("ask-origin")
class AskOrigin(t.NamedTuple):
    """Ask an owner which version began a stream that is taken up again.

    :param origin: the node that has the request.
    """

    origin: str
    subject: str
    stream: str
    service: str
    passed: bool


@message("origin")
class OriginReply(t.NamedTuple):
    """The owner's reply to :class:`AskOrigin`.

    :param version: None if the owner doesn't know it.
    :param several: whether several versions of the service serve, or did so lately.
    """

    origin: str
    subject: str
    stream: str
    service: str
    version: str | None
    several: bool
