"""Endpoints that leave, as nodes send them to each other.

Both fronts use it: :mod:`relay_notices` between relay nodes, :mod:`gossip` between the product's.
"""

import typing as t

from rookspring_core.notices import Leaving

from .messages import LeavingTold


def encode_leaving(rows: t.Iterable[Leaving], now: float) -> LeavingTold:
    """Write endpoints that leave, with ages in place of this node's times."""
    return LeavingTold([[one.endpoint, one.born, now - one.at] for one in rows])


def decode_leaving(told: LeavingTold, now: float) -> tuple[Leaving, ...]:
    """Read endpoints that leave, into times of this node's clock."""
    return tuple(Leaving(str(row[0]), int(row[1]), now - float(row[2])) for row in told.rows)
