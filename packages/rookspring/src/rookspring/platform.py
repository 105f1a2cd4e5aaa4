"""The interface to a platform's object store, and the registry of its adapters.

Adapters count every call and limit their rate, so that a fault in rookspring cannot overload
the platform. Calls return a ``Result``. A write without an answer, which may have taken
effect, fails with :class:`PlatformUnreachable`.
"""

import abc
import asyncio
import importlib
import typing as t

from returns.result import Result

from rookspring_core.events import BoxListed

from . import clock
from .byte_budget import ByteBudget
from .exceptions import PlatformError

if t.TYPE_CHECKING:
    from .telemetry import Telemetry


class MalformedValue(t.NamedTuple):
    """Stands for a value that can't be decoded, or is beyond the bounds of :mod:`bounds`.

    :param detail: what is wrong, beginning with the path of the field.
    """

    detail: str


class StoredObject(t.NamedTuple):
    """One object with its version.

    :param value: None if it was deleted; a :class:`MalformedValue` if it can't be kept.
    :param era: how often the store had been restored from a backup when it answered. A restore
        also resets versions to older ones, so they are ordered within an era only.
    """

    name: str
    version: int
    value: t.Any
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and version, which are ordered across restores too."""
        return self.era, self.version

    def read_value(self) -> t.Any:
        """Return the value.

        :raises ValueError: if it is malformed; the message names the field.
        """
        if isinstance(self.value, MalformedValue):
            raise ValueError(self.value.detail)
        return self.value


class Listing(t.NamedTuple):
    """All objects of a kind, and the version from which to watch for changes."""

    version: int
    items: tuple[StoredObject, ...]


class Changes(t.NamedTuple):
    """Changes after a version, and the version to continue from.

    An item whose value is None was deleted.
    """

    version: int
    items: tuple[StoredObject, ...]


P = t.TypeVar("P", bound=type["PlatformClient"])
PLATFORMS: dict[str, type["PlatformClient"]] = {}
# Modules with rookspring's own adapters, imported when a scheme is first used.
BUILT_IN = {"http": ".http_platform", "https": ".http_platform"}


def platform_adapter(scheme: str) -> t.Callable[[P], P]:
    """Register an adapter for a URL scheme of the ``platform`` setting."""

    def register(cls: P) -> P:
        PLATFORMS[scheme] = cls
        return cls

    return register


class PlatformClient(abc.ABC):
    """Client of a platform's object store. Writes can be made conditional on a version."""

    # Called with the era of an answer before the answer is processed; returns the newest era
    # known.
    record_era: t.Callable[[int], int] = staticmethod(lambda era: era)
    # Called with the era that an answer names and the time at which its call began.
    check_claims: t.Callable[[int, float], None] = staticmethod(lambda era, asked_at: None)

    def count_bytes(self, budget: ByteBudget) -> None:  # noqa: B027
        """Count the bytes of answers while they wait, if the client can."""

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""

    @abc.abstractmethod
    async def list_kind(self, kind: str) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""

    @abc.abstractmethod
    async def put(
        self, kind: str, name: str, value: t.Any, expected: int | None
    ) -> Result[int, PlatformError]:
        """Write an object and return its new version.

        :param expected: version that it must have; 0 if it must not exist yet, None for any.
        """

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, expected: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object.

        :param expected: version that it must have; None for any.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: str, since: int, timeout_s: float, anew: bool = False
    ) -> Result[Changes, PlatformError]:
        """Wait up to ``timeout_s`` seconds for changes after a version.

        :param anew: by a new connection, since those that are open may be silent.
        """

    @abc.abstractmethod
    async def boxes(self) -> Result[tuple[BoxListed, ...], PlatformError]:
        """Read the list of boxes, which may be out of date."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class CallRateLimiter:
    """Token bucket that limits the calls that one client makes to the platform.

    :param rate: calls per second.
    :param burst: calls that may be made at once.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._available = burst
        self._refilled_at = 0.0

    async def acquire(self) -> None:
        """Wait until a call may be made, and count it."""
        now = clock.now()
        self._available = min(self.burst, self._available + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
        self._available -= 1.0
        if self._available < 0.0:
            await asyncio.sleep(-self._available / self.rate)


def open_platform(
    address: str, count: t.Callable[[str, str], None], telemetry: "Telemetry | None" = None
) -> PlatformClient:
    """Create the client for the scheme of an address.

    :param count: called with the method and the status or failure of each call.
    """
    scheme = address.partition("://")[0]
    if scheme in BUILT_IN:
        importlib.import_module(BUILT_IN[scheme], __package__)
    cls: t.Any = PLATFORMS[scheme]
    return t.cast(PlatformClient, cls(address, count, telemetry))
