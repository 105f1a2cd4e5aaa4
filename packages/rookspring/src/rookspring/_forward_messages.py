"""Messages of a keyed request that another node runs, and of its answer."""

import typing as t

from ._message_coding import message


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
    """A part of the answer's body."""

    number: int
    data: bytes


@message("fwd-end")
class ForwardEnd(t.NamedTuple):
    """The answer is complete."""

    number: int
