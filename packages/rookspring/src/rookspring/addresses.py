"""Addresses to dial, as HOST:PORT: checked before an event loop gets them.

An event loop may take a port modulo 65536, and an address that ends in a line break would add a
line to a request's head. Used by everything that dials, and where addresses are read from others.
"""

import ipaddress
import re
import typing as t

PORT_MAX = 65535
# Characters of an address that are quoted in an error.
QUOTED_MAX = 80

_PARTS = re.compile(
    r"(?P<host>[0-9A-Za-z_.:-]{1,253}|\[[0-9A-Fa-f.:]{2,45}\]):(?P<port>[0-9]{1,5})"
)
# The last label is no number, so that no malformed IP address counts as a name.
_HOST_NAME = re.compile(r"([0-9A-Za-z_-]{1,63}\.)*(?![0-9]+$)[0-9A-Za-z_-]{1,63}")


class Address(t.NamedTuple):
    """A host, given as an IP address or by name, and a TCP port from 1 to 65535."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``, whose host is an IP address or a name.

    :raises ValueError: if it is malformed; the message says what is wrong.
    """
    parts = _split_address(text)
    if not _is_ip(parts.host) and not _HOST_NAME.fullmatch(parts.host):
        raise _make_error(text, "its host is neither an IP address nor a name")
    return parts


def parse_ip_address(text: str) -> Address:
    """Parse ``IP:PORT``; names are rejected, so that no row of others causes a look-up.

    :raises ValueError: if it is malformed; the message says what is wrong.
    """
    parts = _split_address(text)
    if not _is_ip(parts.host):
        raise _make_error(text, "its host is no IP address")
    return parts


def _split_address(text: str) -> Address:
    found = _PARTS.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise _make_error(text, "HOST:PORT was expected")
    port = int(found["port"])
    if not 1 <= port <= PORT_MAX:
        raise _make_error(text, f"its port is not from 1 to {PORT_MAX}")
    return Address(found["host"].strip("[]"), port)


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _make_error(text: t.Any, what: str) -> ValueError:
    quoted = repr(text[:QUOTED_MAX]) if isinstance(text, str) else f"a {type(text).__name__}"
    return ValueError(f"address: {what}, not {quoted}")
