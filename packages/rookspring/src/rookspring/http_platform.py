"""The platform's object service over HTTP, as the project's own protocol has it."""

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
from .platform import CallBudget
from .platform import Changes
from .platform import Listing
from .platform import PlatformClient
from .platform import Stored
from .platform import platform_adapter

if t.TYPE_CHECKING:
    from .telemetry import Telemetry


class HttpCaller:
    """Calls over HTTP within a budget, none of which the library sends twice.

    :param count: is told how each call ended.
    """

    def __init__(self, base: str, count: t.Callable[[str, str], None]) -> None:
        self._base = base
        self._count = count
        self._session: aiohttp.ClientSession | None = None
        self._budget = CallBudget(defaults.PLATFORM_CALLS_PER_S, defaults.PLATFORM_CALLS_BURST)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        timeout_s: float | None = None,
        headers: t.Mapping[str, str] | None = None,
    ) -> Result[tuple[int, bytes], PlatformError]:
        """Make one call and give status and body."""
        await self._budget.take()
        data = None if body is None else orjson.dumps(body)
        rows = dict(headers or {})
        if data is not None:
            rows["Content-Type"] = "application/json"
        total_s = defaults.PLATFORM_CALL_S if timeout_s is None else timeout_s
        limit = aiohttp.ClientTimeout(total=total_s, connect=defaults.CONNECT_S)
        try:
            if method == "GET":
                return await self._send(self._open(), method, path, rows, data, limit)
            # The library's own resend of a write that took effect would meet its own
            # new version, and its author would be told of a conflict.
            async with aiohttp.ClientSession(connector=OneConnection()) as session:
                return await self._send(session, method, path, rows, data, limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._count(method, "unreachable")
            return Failure(PlatformUnreachable(f"{path}: {type(error).__name__}"))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        headers: dict[str, str],
        data: bytes | None,
        limit: aiohttp.ClientTimeout,
    ) -> Result[tuple[int, bytes], PlatformError]:
        async with session.request(
            method, self._base + path, headers=headers, data=data, timeout=limit
        ) as response:
            raw = await response.read()
            self._count(method, str(response.status))
            return Success((response.status, raw))

    async def close(self) -> None:
        """Let connections go."""
        if self._session is not None:
            await self._session.close()


@platform_adapter("http")
@platform_adapter("https")
class HttpPlatform(PlatformClient):
    """The platform over HTTP.

    :param count: is told how each call ended.
    :param telemetry: records a span of each call, a trace of its own.
    """

    def __init__(
        self,
        base: str,
        count: t.Callable[[str, str], None],
        telemetry: "Telemetry | None" = None,
    ) -> None:
        self._caller = HttpCaller(base, count)
        self._telemetry = telemetry

    async def _call(
        self,
        method: str,
        path: str,
        expected: int | None = None,
        body: t.Any = None,
        timeout_s: float = defaults.PLATFORM_CALL_S,
    ) -> Result[t.Any, PlatformError]:
        headers = {} if expected is None else {"If-Match": str(expected)}
        if self._telemetry is None:
            answer = await self._caller.call(method, path, body, timeout_s, headers)
            return answer.bind(lambda pair: self._judge(path, *pair))
        span = self._telemetry.begin("platform", method=method, path=path)
        traceparent = self._telemetry.header(span)
        if traceparent:
            headers["traceparent"] = traceparent
        try:
            answer = await self._caller.call(method, path, body, timeout_s, headers)
        finally:
            span.end()
        return answer.bind(lambda pair: self._judge(path, *pair))

    def _judge(self, path: str, status: int, raw: bytes) -> Result[t.Any, PlatformError]:
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
        await self._caller.close()


def _stored(raw: t.Any) -> Stored:
    return Stored(raw["name"], int(raw["version"]), raw["value"])
