"""Encoding of leaving endpoints in messages between nodes.

Used by :mod:`relay_notices` (relay nodes) and :mod:`gossip` (the product's own nodes).
"""

import typing as t

from rookspring_core.notices import Leaving

from .message_rows import LeavingRow
from .messages import LeavingMessage


def encode_leaving(rows: t.Iterable[Leaving], now: float) -> LeavingMessage:
    """Encode leaving endpoints; times of this node's clock become ages."""
    return LeavingMessage([LeavingRow(one.endpoint, one.started_ms, now - one.at) for one in rows])


def decode_leaving(message: LeavingMessage, now: float) -> tuple[Leaving, ...]:
    """Decode leaving endpoints; ages become times of this node's clock."""
    return tuple(Leaving(row.endpoint, row.started_ms, now - row.age_s) for row in message.rows)
