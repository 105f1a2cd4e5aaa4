"""Mutants of decisions about values that others wrote to the platform's store."""

import typing as t

from rookspring import _connection_pool
from rookspring import bounds
from rookspring import lease_objects
from rookspring import node_rows
from rookspring import peers
from rookspring import relay_store_loops
from rookspring.addresses import Address
from rookspring.logs import LoggedOnce
from rookspring.relay_endpoint_list import EndpointList
from rookspring_core.events import LeaseSeen
from rookspring_platform import bodies
from rookspring_platform import endpoints
from rookspring_platform import store

from .mutant import ADDRESSES
from .mutant import BOUNDS
from .mutant import ODD_BODIES
from .mutant import ODD_ENTRIES
from .mutant import ODD_LEASES
from .mutant import ODD_NODES
from .mutant import Mutant


def _split_unchecked(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return Address(host, int(port))


def _accept(*args: t.Any) -> None:
    return None


def _whole_body(raw: bytes, levels: int) -> t.Any:
    return bodies._decode_leniently(raw)


def _keep_all(raw: bytes) -> bytes:
    return raw


def _any_whole(text: str) -> int:
    return int(text)


def _last_read_name(rows: list[t.Any]) -> str:
    """Return the last name of the objects that can be read."""
    read = store._decode_objects("", rows, 0)
    return read[-1].name if read else ""


def _always_new(self: LoggedOnce, key: t.Hashable) -> bool:
    return True


def _free_if_unreadable(stored: t.Any, now: float, era: int) -> LeaseSeen:
    return LeaseSeen(now, stored.version, "", 0, "", era=era)


def _epoch_of_nothing(era: int, version: int) -> int:
    return 0


def _oldest(rows: tuple[t.Any, ...]) -> t.Any:
    return rows[0] if rows else None


def _apply_unguarded(
    self: EndpointList, row: t.Any, now: float, listed: bool = False, checked: bool = False
) -> t.Any:
    return self._apply_row(row, now, listed, checked)


MUTANTS = (
    Mutant("fails with one row", "drain", EndpointList, "_try_row", _apply_unguarded, ODD_ENTRIES),
    Mutant(
        "dials any port",
        "one caller's answer",
        _connection_pool,
        "parse_address",
        _split_unchecked,
        ADDRESSES,
    ),
    Mutant("links to any port", "membership", peers, "parse_address", _split_unchecked, ADDRESSES),
    Mutant(
        "lists any address",
        "one caller's answer",
        endpoints,
        "parse_ip_address",
        _accept,
        ODD_ENTRIES,
    ),
    Mutant(
        "looks names of rows up", "membership", node_rows, "parse_ip_address", _accept, ODD_NODES
    ),
    Mutant("keeps any depth", "drain", bounds, "DEPTH_MAX", 10**6, BOUNDS),
    Mutant("keeps any number", "drain", bounds, "WHOLE_MAX", 10**6000, BOUNDS),
    Mutant("keeps half characters", "drain", store, "check_value", _accept, ODD_BODIES),
    Mutant("decodes a body as a whole", "drain", bodies, "_decode_part", _whole_body, ODD_BODIES),
    Mutant("keeps all levels", "drain", bodies, "_empty_deepest", _keep_all, ODD_BODIES),
    Mutant("reads all digits", "drain", bodies, "_parse_whole", _any_whole, ODD_BODIES),
    Mutant(
        "goes on after what it read", "drain", store, "_find_last_name", _last_read_name, ODD_BODIES
    ),
    Mutant("logs each time", "logs", LoggedOnce, "is_new", _always_new, ODD_BODIES),
    Mutant(
        "takes a lease that it can't read",
        "one holder",
        lease_objects,
        "make_unreadable",
        _free_if_unreadable,
        ODD_LEASES,
    ),
    Mutant(
        "counts epochs from one",
        "one holder",
        lease_objects,
        "greatest_epoch",
        _epoch_of_nothing,
        ODD_LEASES,
    ),
    Mutant(
        "restores from any era", "quota", relay_store_loops, "_find_newest", _oldest, ODD_LEASES
    ),
)
