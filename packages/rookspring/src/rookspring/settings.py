"""Settings of a node: flags, each with a ``ROOKSPRING_`` environment variable.

They are checked at start, and all faults are reported together.
"""

import ipaddress
import pathlib
import re
import typing as t

from .exceptions import SettingsError

_NAME = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")


class Settings(t.NamedTuple):
    """Settings that a node gets at start; hosts are IP addresses."""

    name: str
    data_centre: str
    host: str = "127.0.0.1"
    port: int = 7400
    peer_port: int = 7500
    platform: str = "http://127.0.0.1:7300"
    peers: tuple[str, ...] = ()
    shared_key: str = ""
    signing_keys: tuple[str, ...] = ()
    operator_key_sha256: tuple[str, ...] = ()
    trace_file: str = ""
    trace_otlp: str = ""
    trace_share: float = 1.0
    tls_cert: str = ""
    tls_key: str = ""
    drain_limit_s: float = 300.0
    full_checks: bool = False
    log_level: str = "INFO"

    @property
    def address(self) -> str:
        """Address for connections of other nodes."""
        return f"{self.host}:{self.peer_port}"

    @property
    def caller_address(self) -> str:
        """Address for connections of callers."""
        return f"{self.host}:{self.port}"


def check_settings(settings: Settings) -> Settings:
    """Check all settings.

    :raises SettingsError: with all faults, if there are any.
    """
    faults: list[str] = []
    for field in ("name", "data_centre"):
        if not _NAME.match(getattr(settings, field)):
            faults.append(f"{field}: lower-case letters, digits, dots and dashes were expected")
    try:
        ipaddress.ip_address(settings.host)
    except ValueError:
        faults.append(f"host: an IP number was expected, not {settings.host!r}")
    for field in ("port", "peer_port"):
        if not 1 <= getattr(settings, field) <= 65535:
            faults.append(f"{field}: 1 to 65535 was expected")
    if settings.port == settings.peer_port:
        faults.append("peer_port: must differ from port")
    if not re.match(r"^https?://[^/]+$", settings.platform):
        faults.append("platform: http://ADDRESS:PORT was expected")
    for peer in settings.peers:
        if not re.match(r"^[^:]+:\d+$", peer):
            faults.append(f"peers: ADDRESS:PORT was expected, not {peer!r}")
    if len(settings.shared_key) < 16:
        faults.append("shared_key: at least 16 characters were expected")
    if not settings.signing_keys or any(len(key) < 16 for key in settings.signing_keys):
        faults.append("signing_keys: one or more keys of at least 16 characters were expected")
    for digest in settings.operator_key_sha256:
        if not re.match(r"^[0-9a-f]{64}$", digest):
            faults.append("operator_key_sha256: 64 hexadecimal digits were expected")
    if not 0.0 <= settings.trace_share <= 1.0:
        faults.append("trace_share: 0 to 1 was expected")
    if settings.drain_limit_s <= 0:
        faults.append("drain_limit_s: a positive number of seconds was expected")
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        faults.append("log_level: DEBUG, INFO, WARNING or ERROR was expected")
    faults += _check_tls(settings)
    if faults:
        raise SettingsError(tuple(faults))
    return settings


def _check_tls(settings: Settings) -> list[str]:
    if bool(settings.tls_cert) != bool(settings.tls_key):
        return ["tls_cert, tls_key: both or neither were expected"]
    faults: list[str] = []
    for field in ("tls_cert", "tls_key"):
        path = getattr(settings, field)
        if path and not pathlib.Path(path).is_file():
            faults.append(f"{field}: no such file")
    return faults
