"""Clients of endpoints, which are model runners and plain services, and their registry.

Each failure states whether a byte of the request may have reached the endpoint. If that is not
known, it states that one may have.
"""

import abc
import functools
import typing as t

import aiohttp
import msgspec
import orjson
import yarl

from rookspring_core.effects import SendOrder
from rookspring_core.events import EndpointReported

from . import defaults
from .connections import SingleUseConnector
from .exceptions import EndpointError
from .http_messages import BODILESS_STATUSES
from .http_messages import FINAL_STATUS_MIN
from .http_messages import are_coded
from .message_rows import NUMBER_MAX


class Chunk(t.NamedTuple):
    """Tokens of an answer.

    :param offset: position of the first one in the whole answer; -1 in the last chunk.
    :param total: length of the whole answer in the last chunk, which has no tokens; else -1.
    """

    offset: int
    tokens: tuple[str, ...] | list[str]
    total: int = -1


class GenerationRequest(t.NamedTuple):
    """A request to a runner.

    :param stream: name of the stream, unique at the runner.
    :param offset: tokens that the caller has received; the answer continues after them.
    :param prefix: text of these tokens.
    """

    stream: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    rank: int
    offset: int = 0
    prefix: str = ""


Count = t.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Amount = t.Annotated[float, msgspec.Meta(ge=0, le=NUMBER_MAX)]
# A prefix has an id of 64 bits.
PrefixId = t.Annotated[int, msgspec.Meta(ge=0)]


class Report(msgspec.Struct):
    """A runner's report; see ``EndpointReported``."""

    incarnation: str
    age_s: Amount
    slots: Count
    running: Count
    queued: Count
    token_rate: Amount
    stream_rate: Amount
    memory_gb: Amount
    resident: tuple[tuple[str, str], ...] = ()
    loading: tuple[tuple[str, str], ...] = ()
    adapters: tuple[str, ...] = ()
    held_gb: Amount = 0.0
    leaving: bool = False
    checks_orders: bool = False
    order_token: tuple[int, int] = (0, 0)


class CacheEvents(msgspec.Struct):
    """A runner's cache events: the position to continue from, and the prefixes."""

    next: Count
    prefixes: tuple[PrefixId, ...]


class StreamLine(msgspec.Struct):
    """A line of a runner's answer: tokens and their offset, or the answer's length at its end."""

    offset: Count | None = None
    tokens: tuple[str, ...] = ()
    end: Count | None = None


_LINES = msgspec.json.Decoder(StreamLine)


class ServiceAnswer(t.NamedTuple):
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


C = t.TypeVar("C", bound=type["EndpointClient"])
ENDPOINT_CLIENTS: dict[str, type["EndpointClient"]] = {}


def endpoint_adapter(name: str) -> t.Callable[[C], C]:
    """Register a client class for a protocol of endpoints."""

    def register(cls: C) -> C:
        ENDPOINT_CLIENTS[name] = cls
        return cls

    return register


class EndpointClient(abc.ABC):
    """Client of endpoints."""

    @abc.abstractmethod
    def generate(
        self, address: str, generation: GenerationRequest, traceparent: str
    ) -> t.AsyncGenerator[Chunk, None]:
        """Run a request and stream its tokens; raises :class:`EndpointError`."""

    @abc.abstractmethod
    def resume(self, address: str, stream: str, offset: int) -> t.AsyncGenerator[Chunk, None]:
        """Stream the tokens of a stream that already runs, from an offset on."""

    @abc.abstractmethod
    async def cancel(self, address: str, stream: str, reader: int) -> None:
        """Stop a stream, unless it was resumed since.

        :param reader: the reader that cancels: 0 is the stream's first, 1 one that resumed it.
        """

    @abc.abstractmethod
    async def order(self, order: SendOrder, incarnation: str) -> tuple[bool | None, str]:
        """Send an order.

        :param incarnation: the endpoint's incarnation that the order is meant for.
        :return: whether it was accepted, None without an answer, and the reason.
        """

    @abc.abstractmethod
    async def report(self, endpoint: str, address: str, now: float) -> EndpointReported | None:
        """Read a load report; None on any failure."""

    @abc.abstractmethod
    async def cache_events(self, address: str, since: int) -> tuple[int, tuple[int, ...]]:
        """Read cache events after a position.

        :return: the position to continue from, and the prefixes that were cached.
        """

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: t.Mapping[str, str],
        repeatable: bool,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Call a plain service; raises :class:`EndpointError`.

        :param repeatable: the HTTP library may send the call twice.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@endpoint_adapter("http")
class HttpEndpoint(EndpointClient):
    """Runners and plain services over HTTP."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Answers don't name their request, so a second copy of one that comes late would be
            # the answer to whatever is sent next on its connection.
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            # Endpoints set no cookies and do not compress answers, so neither is handled.
            self._session = aiohttp.ClientSession(
                connector=connector,
                read_bufsize=1 << 18,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        return self._session

    async def generate(
        self, address: str, generation: GenerationRequest, traceparent: str
    ) -> t.AsyncGenerator[Chunk, None]:
        """Run a request and stream its tokens."""
        body = {
            "id": generation.stream,
            "model": generation.model,
            "adapter": generation.adapter,
            "prompt": generation.prompt,
            "max_tokens": generation.max_tokens,
            "rank": generation.rank,
            "offset": generation.offset,
            "prefix": generation.prefix,
        }
        headers = {"traceparent": traceparent} if traceparent else {}
        request = self._get_session().post(
            _generate_url(address),
            data=orjson.dumps(body),
            headers=headers,
            timeout=_STREAM_TIMEOUT,
        )
        async for chunk in _read_stream(request):
            yield chunk

    async def resume(self, address: str, stream: str, offset: int) -> t.AsyncGenerator[Chunk, None]:
        """Stream the tokens of a stream that already runs, from an offset on."""
        request = self._get_session().get(
            f"http://{address}/v1/streams/{stream}",
            params={"offset": str(offset)},
            timeout=_STREAM_TIMEOUT,
        )
        async for chunk in _read_stream(request):
            yield chunk

    async def cancel(self, address: str, stream: str, reader: int) -> None:
        """Stop a stream; if the call fails, the stream only generates tokens that nobody reads."""
        url = f"http://{address}/v1/streams/{stream}?reader={reader}"
        limit = aiohttp.ClientTimeout(total=defaults.REPORT_CALL_S)
        try:
            async with self._get_session().delete(url, timeout=limit) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def order(self, order: SendOrder, incarnation: str) -> tuple[bool | None, str]:
        """Send an order over a connection of its own, so that the HTTP library never resends it."""
        body = {
            "token": list(order.token),
            "action": order.action,
            "model": order.model,
            "version": order.model_version,
            "memory_gb": order.memory_gb,
            "incarnation": incarnation,
        }
        limit = aiohttp.ClientTimeout(total=defaults.ORDER_CALL_S, connect=defaults.CONNECT_S)
        try:
            async with (
                aiohttp.ClientSession(connector=SingleUseConnector(), timeout=limit) as session,
                session.post(
                    f"http://{order.address}/v1/orders", data=orjson.dumps(body)
                ) as response,
            ):
                answer = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, orjson.JSONDecodeError) as error:
            return None, type(error).__name__
        if not isinstance(answer, dict):
            return None, "malformed answer"
        return bool(answer.get("accepted")), str(answer.get("reason", ""))

    async def report(self, endpoint: str, address: str, now: float) -> EndpointReported | None:
        """Read a load report; None on any failure."""
        limit = aiohttp.ClientTimeout(total=defaults.REPORT_CALL_S)
        try:
            async with self._get_session().get(
                f"http://{address}/v1/report", timeout=limit
            ) as response:
                raw = orjson.loads(await response.read())
                return read_report(endpoint, raw, now)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def cache_events(self, address: str, since: int) -> tuple[int, tuple[int, ...]]:
        """Read cache events; none on any failure, as they are only hints."""
        limit = aiohttp.ClientTimeout(total=defaults.REPORT_CALL_S)
        url = f"http://{address}/v1/cache_events?from={since}"
        try:
            async with self._get_session().get(url, timeout=limit) as response:
                events = msgspec.convert(orjson.loads(await response.read()), CacheEvents)
                return events.next, events.prefixes
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return since, ()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: t.Mapping[str, str],
        repeatable: bool,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Call a plain service."""
        url = f"http://{address}/{path}"
        limit = aiohttp.ClientTimeout(total=timeout_s, connect=defaults.CONNECT_S)
        if repeatable:
            return await _call_service(self._get_session(), method, url, body, headers, limit)
        async with aiohttp.ClientSession(connector=SingleUseConnector()) as session:
            return await _call_service(session, method, url, body, headers, limit)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _call_service(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes,
    headers: t.Mapping[str, str],
    limit: aiohttp.ClientTimeout,
) -> ServiceAnswer:
    try:
        async with session.request(
            method, url, data=body, headers=dict(headers), timeout=limit
        ) as response:
            raw = await response.read()
            if response.status < FINAL_STATUS_MIN:
                raise EndpointError(f"answered {response.status}", sent=True, broken=True)
            if response.status == 409:
                _raise_if_not_run(raw)
            if not _shows_end(response, method):
                raise EndpointError("nothing shows the answer's end", sent=True, open_ended=True)
            return ServiceAnswer(response.status, response.content_type, raw)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise _to_endpoint_error(error) from None


def _shows_end(response: aiohttp.ClientResponse, method: str) -> bool:
    """Return whether the end of a whole body is shown by more than its connection's close.

    Chunks show it only as the last coding: any other ends with the connection. A body in another
    coding besides can't be passed on, as its header is that of the connection.
    """
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    codings = ",".join(response.headers.getall("Transfer-Encoding", ()))
    if codings:
        last = codings.rpartition(",")[2].strip().lower()
        return last == "chunked" and not are_coded([codings.encode("latin-1", "replace")])
    return "Content-Length" in response.headers


def _to_endpoint_error(error: Exception) -> EndpointError:
    """Return the error for a failed call.

    It states whether a byte may have been sent, whether nothing listens at the address, and whether
    the endpoint broke the connection.
    """
    name = type(error).__name__
    if isinstance(error, aiohttp.ClientConnectorError):
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return EndpointError(name, sent=False, down=refused)
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return EndpointError(name, sent=False)
    return EndpointError(name, sent=True, broken=not isinstance(error, TimeoutError))


def _raise_if_not_run(raw: bytes) -> None:
    try:
        answer = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return
    if isinstance(answer, dict) and answer.get("not_run") is True:
        reason = str(answer.get("reason", ""))
        raise EndpointError(reason, sent=True, reported_not_run=True, leaving=reason == "leaving")


_STREAM_TIMEOUT = aiohttp.ClientTimeout(
    total=None, connect=defaults.CONNECT_S, sock_read=defaults.STREAM_SILENCE_S
)


@functools.lru_cache(maxsize=4096)
def _generate_url(address: str) -> yarl.URL:
    """Return the URL for requests to a runner, parsed once per address."""
    return yarl.URL(f"http://{address}/v1/generate")


async def _read_stream(request: t.Any) -> t.AsyncGenerator[Chunk, None]:
    """Read the lines of a runner's answer, and yield their chunks as data arrives."""
    try:
        async with request as response:
            if response.status != 200:
                _raise_if_not_run(await response.read())
                raise EndpointError(f"status {response.status}", sent=True)
            partial = b""
            async for data in response.content.iter_any():
                lines = (partial + data).split(b"\n") if partial else data.split(b"\n")
                partial = lines.pop()
                for line in lines:
                    yield _read_chunk(line)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise _to_endpoint_error(error) from None


def _read_chunk(line: bytes) -> Chunk:
    try:
        raw = _LINES.decode(line)
    except (ValueError, RecursionError):
        raise EndpointError("malformed chunk", sent=True) from None
    if raw.end is not None:
        return Chunk(-1, (), raw.end)
    if raw.offset is None:
        raise EndpointError("malformed chunk", sent=True)
    return Chunk(raw.offset, raw.tokens)


def read_report(endpoint: str, raw: t.Any, now: float) -> EndpointReported:
    """Decode a report.

    :raises ValueError: if it is malformed; the message names the field.
    """
    report = msgspec.convert(raw, Report)
    return EndpointReported(
        at=now,
        endpoint=endpoint,
        incarnation=report.incarnation,
        age_s=report.age_s,
        slots=report.slots,
        running=report.running,
        queued=report.queued,
        token_rate=report.token_rate,
        stream_rate=report.stream_rate,
        memory_gb=report.memory_gb,
        resident=report.resident,
        loading=report.loading,
        adapters=report.adapters,
        held_gb=report.held_gb,
        leaving=report.leaving,
        checks_orders=report.checks_orders,
        order_token=report.order_token,
    )
