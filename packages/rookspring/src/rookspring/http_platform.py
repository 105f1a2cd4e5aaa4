"""Platform adapter for rookspring's own HTTP protocol of an object service."""

import typing as t

import aiohttp
import msgspec
import orjson
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core.events import BoxListed

from . import defaults
from .connections import SingleUseConnector
from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformRefused
from .exceptions import PlatformTooOld
from .exceptions import PlatformUnreachable
from .logs import log
from .platform import CallRateLimiter
from .platform import Changes
from .platform import Listing
from .platform import PlatformClient
from .platform import StoredObject
from .platform import platform_adapter

if t.TYPE_CHECKING:
    from .telemetry import Telemetry

T = t.TypeVar("T")
# What the conversion of an odd value raises.
ODD_VALUE_ERRORS = (KeyError, OverflowError, TypeError, ValueError)


class RateLimitedHttpClient:
    """Makes rate-limited HTTP calls, none of which the HTTP library sends twice.

    Each call has a connection of its own: nothing in an answer names its call, so on a kept
    connection a second copy of one answers the next call.

    :param count: called with the method and the status or failure of each call.
    """

    def __init__(self, base: str, count: t.Callable[[str, str], None]) -> None:
        self._base = base
        self._count = count
        self._limiter = CallRateLimiter(
            defaults.PLATFORM_CALLS_PER_S, defaults.PLATFORM_CALLS_BURST
        )

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        timeout_s: float | None = None,
        headers: t.Mapping[str, str] | None = None,
    ) -> Result[tuple[int, bytes], PlatformError]:
        """Make one call and return status and body.

        :param timeout_s: limit of the whole call; None for the default.
        """
        await self._limiter.acquire()
        data = None if body is None else orjson.dumps(body)
        all_headers = dict(headers or {})
        if data is not None:
            all_headers["Content-Type"] = "application/json"
        total_s = defaults.PLATFORM_CALL_S if timeout_s is None else timeout_s
        limit = aiohttp.ClientTimeout(total=total_s, connect=defaults.CONNECT_S)
        try:
            # If the library resent a write that had taken effect, the second one would fail
            # with a conflict, as the first had changed the version.
            async with aiohttp.ClientSession(connector=SingleUseConnector()) as session:
                return await self._send(session, method, path, all_headers, data, limit)
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


@platform_adapter("http")
@platform_adapter("https")
class HttpPlatform(PlatformClient):
    """Client of a platform over HTTP.

    :param count: called with the method and the status or failure of each call.
    :param telemetry: records each call as a span in a trace of its own; None records none.
    """

    def __init__(
        self,
        base: str,
        count: t.Callable[[str, str], None],
        telemetry: "Telemetry | None" = None,
    ) -> None:
        self._caller = RateLimitedHttpClient(base, count)
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
            return answer.bind(lambda pair: self._to_result(path, *pair))
        span = self._telemetry.begin("platform", method=method, path=path)
        traceparent = self._telemetry.header(span)
        if traceparent:
            headers["traceparent"] = traceparent
        try:
            answer = await self._caller.call(method, path, body, timeout_s, headers)
        finally:
            span.end()
        return answer.bind(lambda pair: self._to_result(path, *pair))

    def _to_result(self, path: str, status: int, raw: bytes) -> Result[t.Any, PlatformError]:
        if status == 200:
            try:
                return Success(orjson.loads(raw))
            except orjson.JSONDecodeError as error:
                return Failure(PlatformUnreachable(f"{path}: {error}"))
        text = f"{path}: {raw[:200].decode('utf-8', 'replace')}"
        errors: dict[int, type[PlatformError]] = {
            404: PlatformMissing,
            409: PlatformConflict,
            410: PlatformTooOld,
            413: PlatformRefused,
            429: PlatformRefused,
        }
        return Failure(errors.get(status, PlatformUnreachable)(text))

    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return _read(await self._call("GET", f"/objects/{kind}/{name}"), _stored)

    async def list_kind(self, kind: str) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""
        return _read(
            await self._call("GET", f"/objects/{kind}"),
            lambda raw: Listing(int(raw["version"]), _read_items(kind, raw["items"], _stored)),
        )

    async def put(
        self, kind: str, name: str, value: t.Any, expected: int | None
    ) -> Result[int, PlatformError]:
        """Write an object."""
        answer = await self._call("PUT", f"/objects/{kind}/{name}", expected, value)
        return _read(answer, lambda raw: int(raw["version"]))

    async def delete(
        self, kind: str, name: str, expected: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object."""
        answer = await self._call("DELETE", f"/objects/{kind}/{name}", expected)
        return _read(answer, lambda raw: int(raw["version"]))

    async def watch(
        self, kind: str, since: int, timeout_s: float, anew: bool = False
    ) -> Result[Changes, PlatformError]:
        """Wait up to ``timeout_s`` seconds for changes after a version.

        :param anew: by a new connection, as each call is.
        """
        path = f"/watch/{kind}?from={since}&timeout_s={timeout_s}"
        total_s = timeout_s + defaults.PLATFORM_CALL_S
        answer = await self._call("GET", path, timeout_s=total_s)
        return _read(
            answer,
            lambda raw: Changes(int(raw["version"]), _read_items(kind, raw["changes"], _stored)),
        )

    async def boxes(self) -> Result[tuple[BoxListed, ...], PlatformError]:
        """Read the list of boxes."""
        answer = await self._call("GET", "/boxes")
        return _read(answer, lambda raw: _read_items("box", raw["boxes"], _read_box))

    async def close(self) -> None:
        """Do nothing: no connection is kept."""


def _read(
    answer: Result[t.Any, PlatformError], read: t.Callable[[t.Any], T]
) -> Result[T, PlatformError]:
    """Convert a decoded answer; a malformed one counts as none."""
    try:
        return answer.map(read)
    except ODD_VALUE_ERRORS as error:
        return Failure(PlatformUnreachable(f"malformed answer: {type(error).__name__}: {error}"))


def _read_items(kind: str, items: t.Any, read: t.Callable[[t.Any], T]) -> tuple[T, ...]:
    """Convert the items of a list; one that is malformed is logged and left out."""
    found = []
    for item in items:
        try:
            found.append(read(item))
        except ODD_VALUE_ERRORS as error:
            log("object_malformed", "ERROR", kind=kind, error=type(error).__name__, detail=error)
    return tuple(found)


def _stored(raw: t.Any) -> StoredObject:
    return StoredObject(str(raw["name"]), int(raw["version"]), raw["value"])


def _read_box(raw: t.Any) -> BoxListed:
    return msgspec.convert(BoxListed(**raw), BoxListed)
