"""Messages about the configuration: changes of it, the route table, evacuations and proofs."""

import typing as t

from ._message_coding import message
from .message_rows import Age
from .message_rows import Era
from .message_rows import Number
from .message_rows import Revision


@message("want")
class RevisionRequest(t.NamedTuple):
    """Request the changes since a revision."""

    since: int


@message("delta", whole=True)
class RevisionDelta(t.NamedTuple):
    """Entries that changed from ``since`` to ``revision``; since 0 means all of them."""

    since: int
    revision: int
    epoch: int
    changed: dict[str, t.Any]
    removed: list[str]


@message("want-table")
class TableRequest(t.NamedTuple):
    """Request the route table."""


@message("table")
class TableMessage(t.NamedTuple):
    """The configuration in the platform's form, for the receiver's dialect to parse.

    :param packed: the value, as :func:`packing.pack` gives it.
    """

    version: int
    packed: bytes


@message("evacuations", whole=True)
class EvacuationsMessage(t.NamedTuple):
    """All evacuated data centres as of a revision of the store.

    :param era: the store's era, in which the revision counts.
    """

    era: Era
    revision: Revision
    data_centres: list[str]


@message("ask-proof")
class AskProof(t.NamedTuple):
    """Request a proof of how new the configuration is.

    :param stamp: time of sending, by the sender's own clock.
    """

    stamp: Number


@message("proof")
class Proof(t.NamedTuple):
    """The reply: ``version`` was the newest ``age_s`` seconds before the request arrived.

    :param stamp: that of the request.
    :param near_limit: organisations near their limits; None if the sender doesn't collect their
        usage.
    """

    stamp: Number
    age_s: Age
    version: int
    near_limit: list[str] | None
