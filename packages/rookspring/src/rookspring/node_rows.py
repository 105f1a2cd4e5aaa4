"""Rows of nodes, as the store has them and as nodes send them to each other.

Another client of the store may write a row that is no node's. Such a row is rejected with an error
that names the field.
"""

import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.topology import listed_node

from .addresses import parse_ip_address
from .bounds import check_value
from .platform import StoredObject

# Characters of a node's name, and of its data centre's.
TEXT_MAX = 256
# Greatest capacity of a node, in cores.
CORES_MAX = 100_000.0


def read_row(stored: StoredObject) -> BoxListed:
    """Parse a node's row from the store.

    :raises ValueError: if it is malformed; the message names the field.
    """
    value = stored.read_value()
    if not isinstance(value, dict):
        raise ValueError("an object was expected")
    strength = value.get("strength", 0.0)
    return make_row(stored.name, value.get("address"), value.get("zone"), strength)


def make_row(name: t.Any, address: t.Any, data_centre: t.Any, strength: t.Any) -> BoxListed:
    """Make the row of a node.

    :param strength: its capacity, in cores.
    :raises ValueError: if a value is malformed; the message names it.
    """
    _check_text("name", name)
    parse_ip_address(address)
    _check_text("zone", data_centre)
    if type(strength) not in (int, float) or not 0.0 <= strength <= CORES_MAX:
        raise ValueError(f"strength: a number from 0 to {CORES_MAX:.0f} was expected")
    return listed_node(name, address, data_centre, float(strength))


def _check_text(field: str, value: t.Any) -> None:
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_MAX:
        raise ValueError(f"{field}: a text of 1 to {TEXT_MAX} characters was expected")
    check_value(value, field)
