"""The lease object of the platform's store, as another client of the store may have changed it.

A lease that can't be read says nothing about who holds it. It counts as held by an unknown node
until it has been unchanged for a lease term. By then whoever held it before has stopped, since its
renewals no longer match the object, and it may act only for a part of a term without one. Nobody
takes the lease merely because it can't be read. The next holder's epoch is greater than any that
the store's revisions leave room for, so that endpoints accept its orders.
"""

import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core import defaults as core_defaults
from rookspring_core.events import LeaseSeen
from rookspring_core.leases import RELAY_TERMS
from rookspring_core.leases import UNKNOWN_HOLDER
from rookspring_core.leases import greatest_epoch

from . import defaults
from .bounds import check_value
from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .logs import LoggedOnce
from .logs import log
from .platform import StoredObject

# Greatest epoch of a lease of revision 0 that can be read. Epochs rise by one with each holder, and
# revisions by one or more, so a lease that follows one that can be read can be read too.
EPOCH_MAX = 10**15
# Characters of the names in a lease.
TEXT_MAX = 512
# Greatest share of a limit that can have been used.
SHARE_MAX = 1000.0
# Longest time for which a verdict can hold, in seconds.
VERDICT_MAX_S = 86_400.0
# Longest time from a release to the next holder's first order, in seconds.
TURN_MAX_S = RELAY_TERMS.ttl_s + RELAY_TERMS.gap_s


class LeaseFields(t.NamedTuple):
    """Fields of the lease object; those that decide mean the same as in :class:`LeaseSeen`.

    :param address: of the holder; empty if the object has none.
    """

    holder: str
    epoch: int
    nonce: str
    settled: bool
    turn_in_s: float | None
    address: str


def read_outcome(answer: Result[int, PlatformError]) -> tuple[bool | None, int]:
    """Return whether a write of the lease succeeded, and the object's new version; 0 if not.

    None if it may have: something else failed than the version that was expected.
    """
    match answer:
        case Success(version):
            return True, version
        case Failure(PlatformConflict()):
            return False, 0
    return None, 0


def read_lease(stored: StoredObject) -> LeaseFields:
    """Parse the lease object.

    :raises ValueError: if it is malformed; the message names the field.
    """
    value = stored.read_value()
    if not isinstance(value, dict):
        raise ValueError("an object was expected")
    return LeaseFields(
        holder=_read_text(value, "holder"),
        epoch=_read_epoch(value, EPOCH_MAX + stored.version),
        nonce=_read_text(value, "nonce"),
        settled=_read_flag(value, "settled"),
        turn_in_s=_read_turn(value),
        address=_read_text(value, "address", ""),
    )


def read_or_log(stored: StoredObject, logged: LoggedOnce) -> LeaseFields | None:
    """Parse the lease object; if it is malformed, log once why, and return None."""
    try:
        return read_lease(stored)
    except ValueError as error:
        detail = str(error)[: defaults.DETAIL_MAX]
        if logged.is_new(detail):
            log("lease_malformed", "ERROR", name=stored.name, detail=detail)
        return None


def make_unreadable(stored: StoredObject, now: float, era: int) -> LeaseSeen:
    """Return what is seen of a lease that can't be read: that an unknown node may hold it.

    :param era: of the store, to which the object belongs.
    """
    epoch = greatest_epoch(era, stored.version)
    return LeaseSeen(now, stored.version, UNKNOWN_HOLDER, epoch, "", era=era)


def read_usage(stored: StoredObject) -> tuple[tuple[str, float], ...] | None:
    """Return the used shares of organisations' limits in a lease; None if they are unknown.

    A share that can't be read counts as the whole limit.
    """
    used = stored.value.get("used", {}) if isinstance(stored.value, dict) else None
    if not isinstance(used, dict):
        return None
    return tuple((name, _read_share(share)) for name, share in used.items())


def _read_share(raw: t.Any) -> float:
    return float(raw) if type(raw) in (int, float) and 0.0 <= raw <= SHARE_MAX else 1.0


def read_several(stored: StoredObject) -> tuple[tuple[str, float], ...] | None:
    """Return the services of several versions in a lease, each with how long that counts.

    None if its holder doesn't know them yet. One that can't be read counts for as long as any may.
    A holder of an earlier version of this software writes none.
    """
    several = stored.value.get("several", {}) if isinstance(stored.value, dict) else None
    if not isinstance(several, dict):
        return None
    return tuple((name, _read_left(left_s)) for name, left_s in several.items())


def _read_left(raw: t.Any) -> float:
    known = type(raw) in (int, float) and 0.0 <= raw <= core_defaults.STREAM_KEPT_S
    return float(raw) if known else core_defaults.STREAM_KEPT_S


def read_verdict_rows(stored: StoredObject) -> list[t.Any]:
    """Return the rows of verdicts in a lease, without the malformed ones."""
    rows = stored.value.get("verdicts", []) if isinstance(stored.value, dict) else []
    return [row for row in rows if _is_verdict(row)] if isinstance(rows, list) else []


def _is_verdict(row: t.Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 3
        and isinstance(row[0], str)
        and isinstance(row[1], str)
        and type(row[2]) in (int, float)
        and 0.0 <= row[2] <= VERDICT_MAX_S
    )


def _read_text(value: dict[str, t.Any], field: str, default: t.Any = None) -> str:
    text = value.get(field, default)
    if not isinstance(text, str) or len(text) > TEXT_MAX:
        raise ValueError(f"{field}: a text of at most {TEXT_MAX} characters was expected")
    check_value(text, field)
    return text


def _read_epoch(value: dict[str, t.Any], most: int) -> int:
    epoch = value.get("epoch")
    if type(epoch) is not int or not 0 <= epoch <= most:
        raise ValueError(f"epoch: a whole number from 0 to {EPOCH_MAX} was expected")
    return epoch


def _read_flag(value: dict[str, t.Any], field: str) -> bool:
    flag = value.get(field, False)
    if type(flag) is not bool:
        raise ValueError(f"{field}: true or false was expected")
    return flag


def _read_turn(value: dict[str, t.Any]) -> float | None:
    turn_in_s = value.get("turn_in_s")
    if turn_in_s is None:
        return None
    if type(turn_in_s) not in (int, float) or not 0.0 <= turn_in_s <= TURN_MAX_S:
        raise ValueError(f"turn_in_s: a number from 0 to {TURN_MAX_S:g} was expected")
    return float(turn_in_s)
