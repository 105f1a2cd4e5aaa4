"""Client of the platform's object service, behind a registry of adapters.

Every call is counted and taken from a budget, so that no fault of ours can
become a load on the platform. Answers come as ``Result``; what cannot be known
(a write whose answer never came) is :class:`PlatformUnreachable`.
"""

import abc
import asyncio
import typing as t

import aiohttp
import orjson
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core.events import BoxListed

from . import defaults
from .connections import OneConnection
from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformRefused
from .exceptions import PlatformTooOld
from .exceptions import PlatformUnreachable
from .telemetry import Telemetry


class Stored(t.NamedTuple):
    """One object with its version."""

    name: str
    version: int
    value: t.Any


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


def platform_adapter(scheme: str) -> t.Callable[[P], P]:
    """Register an adapter for a scheme of the ``platform`` setting."""

    def register(cls: P) -> P:
        PLATFORMS[scheme] = cls
        return cls

    return register


class PlatformClient(abc.ABC):
    """What rookspring needs of a platform. Writes are conditional on a version."""

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
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now
        self._level -= 1.0
        if self._level < 0.0:
            await asyncio.sleep(-self._level / self.rate)


@platform_adapter("http")
@platform_adapter("https")
class HttpPlatform(PlatformClient):
    """The platform over HTTP.

    :param count: is told how each call ended.
    :param telemetry: records a span of each call, a trace of its own.
    """

    def __init__(
        self, base: str, count: t.Callable[[str, str], None], telemetry: Telemetry | None = None
    ) -> None:
        self._base = base
        self._count = count
        self._telemetry = telemetry or Telemetry("platform-client")
        self._session: aiohttp.ClientSession | None = None
        self._budget = CallBudget(defaults.PLATFORM_CALLS_PER_S, defaults.PLATFORM_CALLS_BURST)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def _call(
        self,
        method: str,
        path: str,
        expected: int | None = None,
        body: t.Any = None,
        timeout_s: float = defaults.PLATFORM_CALL_S,
    ) -> Result[t.Any, PlatformError]:
        await self._budget.take()
        span = self._telemetry.begin("platform", method=method, path=path)
        headers = {} if expected is None else {"If-Match": str(expected)}
        traceparent = self._telemetry.header(span)
        if traceparent:
            headers["traceparent"] = traceparent
        data = None if body is None else orjson.dumps(body)
        limit = aiohttp.ClientTimeout(total=timeout_s, connect=defaults.CONNECT_S)
        try:
            if method == "GET":
                return await self._send(self._open(), method, path, headers, data, limit)
            # The library's own resend of a write that took effect would meet its own
            # new version, and its author would be told of a conflict.
            async with aiohttp.ClientSession(connector=OneConnection()) as session:
                return await self._send(session, method, path, headers, data, limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._count(method, "unreachable")
            return Failure(PlatformUnreachable(f"{path}: {type(error).__name__}"))
        finally:
            span.end()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        headers: dict[str, str],
        data: bytes | None,
        limit: aiohttp.ClientTimeout,
    ) -> Result[t.Any, PlatformError]:
        async with session.request(
            method, self._base + path, headers=headers, data=data, timeout=limit
        ) as response:
            raw = await response.read()
            return self._judge(method, path, response.status, raw)

    def _judge(
        self, method: str, path: str, status: int, raw: bytes
    ) -> Result[t.Any, PlatformError]:
        self._count(method, str(status))
        if status == 200:
            return Success(orjson.loads(raw))
        text = f"{path}: {raw[:200].decode('utf-8', 'replace')}"
        turned: dict[int, type[PlatformError]] = {
            404: PlatformMissing,
            409: PlatformConflict,
            410: PlatformTooOld,
            413: PlatformRefused,
            429: PlatformRefused,
        }
        return Failure(turned.get(status, PlatformUnreachable)(text))

    async def get(self, kind: str, name: str) -> Result[Stored, PlatformError]:
        """Read one object."""
        return (await self._call("GET", f"/objects/{kind}/{name}")).map(_stored)

    async def list_kind(self, kind: str) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""
        return (await self._call("GET", f"/objects/{kind}")).map(
            lambda raw: Listing(raw["version"], tuple(_stored(one) for one in raw["items"]))
        )

    async def put(
        self, kind: str, name: str, value: t.Any, expected: int | None
    ) -> Result[int, PlatformError]:
        """Write an object."""
        answer = await self._call("PUT", f"/objects/{kind}/{name}", expected, value)
        return answer.map(lambda raw: int(raw["version"]))

    async def delete(
        self, kind: str, name: str, expected: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object."""
        answer = await self._call("DELETE", f"/objects/{kind}/{name}", expected)
        return answer.map(lambda raw: int(raw["version"]))

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[Changes, PlatformError]:
        """Wait for changes after a version."""
        path = f"/watch/{kind}?from={since}&timeout_s={timeout_s}"
        answer = await self._call("GET", path, timeout_s=timeout_s + defaults.PLATFORM_CALL_S)
        return answer.map(
            lambda raw: Changes(raw["version"], tuple(_stored(one) for one in raw["changes"]))
        )

    async def boxes(self) -> Result[tuple[BoxListed, ...], PlatformError]:
        """Read the list of boxes."""
        answer = await self._call("GET", "/boxes")
        return answer.map(lambda raw: tuple(BoxListed(**row) for row in raw["boxes"]))

    async def close(self) -> None:
        """Let connections go."""
        if self._session is not None:
            await self._session.close()


def _stored(raw: t.Any) -> Stored:
    return Stored(raw["name"], int(raw["version"]), raw["value"])


def open_platform(
    address: str, count: t.Callable[[str, str], None], telemetry: Telemetry | None = None
) -> PlatformClient:
    """Make the client that the address's scheme names."""
    scheme = address.partition("://")[0]
    cls: t.Any = PLATFORMS[scheme]
    return t.cast(PlatformClient, cls(address, count, telemetry))
