"""What rookspring needs of a platform's object store, and the registry of its adapters.

Every call is counted and taken from a budget, so that no fault of ours can
become a load on the platform. Answers come as ``Result``; what cannot be known
(a write whose answer never came) is :class:`PlatformUnreachable`.
"""

import abc
import asyncio
import importlib
import typing as t

from returns.result import Result

from rookspring_core.events import BoxListed

from . import clock
from .exceptions import PlatformError

if t.TYPE_CHECKING:
    from .telemetry import Telemetry


class Stored(t.NamedTuple):
    """One object with its version.

    :param era: how often the store had come back from a copy when it gave this. Versions go
        back with it, so they are ordered within an era only.
    """

    name: str
    version: int
    value: t.Any
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Where the store stood, in an order that holds over eras."""
        return self.era, self.version


class Listing(t.NamedTuple):
    """All objects of a kind and the version to watch from."""

    version: int
    items: tuple[Stored, ...]


class Changes(t.NamedTuple):
    """Changes since a version and the bookmark to go on from; a value None is a deletion."""

    version: int
    items: tuple[Stored, ...]


P = t.TypeVar("P", bound=type["PlatformClient"])
PLATFORMS: dict[str, type["PlatformClient"]] = {}
# Modules that register an adapter of our own when it is first asked for.
BUILT_IN = {"http": ".http_platform", "https": ".http_platform"}


def platform_adapter(scheme: str) -> t.Callable[[P], P]:
    """Register an adapter for a scheme of the ``platform`` setting."""

    def register(cls: P) -> P:
        PLATFORMS[scheme] = cls
        return cls

    return register


class PlatformClient(abc.ABC):
    """What rookspring needs of a platform. Writes are conditional on a version."""

    # Is told the era that an answer names, before the answer itself is taken; gives the newest
    # that is known.
    hear_era: t.Callable[[int], int] = staticmethod(lambda era: era)

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> Result[Stored, PlatformError]:
        """Read one object."""

    @abc.abstractmethod
    async def list_kind(self, kind: str) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""

    @abc.abstractmethod
    async def put(
        self, kind: str, name: str, value: t.Any, expected: int | None
    ) -> Result[int, PlatformError]:
        """Write an object; ``expected`` 0 means that it must not exist yet."""

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, expected: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object."""

    @abc.abstractmethod
    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[Changes, PlatformError]:
        """Wait for changes after a version."""

    @abc.abstractmethod
    async def boxes(self) -> Result[tuple[BoxListed, ...], PlatformError]:
        """Read the list of boxes, which lags."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Let connections go."""


class CallBudget:
    """Bounds the calls of one node, whatever asks for them."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at = 0.0

    async def take(self) -> None:
        """Wait until a call may be made."""
        now = clock.now()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now
        self._level -= 1.0
        if self._level < 0.0:
            await asyncio.sleep(-self._level / self.rate)


def open_platform(
    address: str, count: t.Callable[[str, str], None], telemetry: "Telemetry | None" = None
) -> PlatformClient:
    """Make the client that the address's scheme names."""
    scheme = address.partition("://")[0]
    if scheme in BUILT_IN:
        importlib.import_module(BUILT_IN[scheme], __package__)
    cls: t.Any = PLATFORMS[scheme]
    return t.cast(PlatformClient, cls(address, count, telemetry))
