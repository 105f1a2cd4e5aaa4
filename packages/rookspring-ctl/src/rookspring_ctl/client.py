"""Client of the resource API; tries the next node if one cannot be reached."""

import asyncio
import typing as t

import aiohttp
import orjson

from .exceptions import Conflict
from .exceptions import CtlError
from .exceptions import Denied
from .exceptions import NotFound
from .exceptions import Unreachable

_BY_STATUS: dict[int, type[CtlError]] = {401: Denied, 404: NotFound, 409: Conflict}


class ApiServers(t.NamedTuple):
    """The nodes that a command may call.

    :param addresses: base URLs, tried in this order.
    :param key: an operator's key.
    :param timeout_s: for one call, in seconds.
    """

    addresses: tuple[str, ...]
    key: str
    timeout_s: float = 40.0


def call(
    server: ApiServers, method: str, path: str, body: t.Any = None, version: int | None = None
) -> t.Any:
    """Call the resource API and return the decoded response.

    A write that may have been sent is not repeated at the next node: it may have taken effect.

    :param version: for ``If-Match``; None to send no condition.
    :raises CtlError: or a subclass, depending on the failure.
    """
    return asyncio.run(_call(server, method, path, body, version))


async def _call(
    server: ApiServers, method: str, path: str, body: t.Any, version: int | None
) -> t.Any:
    headers = {"Authorization": f"Bearer {server.key}"}
    if version is not None:
        headers["If-Match"] = str(version)
    data = None if body is None else orjson.dumps(body)
    limit = aiohttp.ClientTimeout(total=server.timeout_s, connect=2.0)
    last_error = "no server was given"
    async with aiohttp.ClientSession(headers=headers, timeout=limit) as session:
        for address in server.addresses:
            url = f"{address.rstrip('/')}/api/v1/{path}"
            try:
                async with session.request(method, url, data=data) as response:
                    return _decode_response(response.status, await response.read())
            except aiohttp.ClientConnectorError as error:
                last_error = f"{address}: {error.os_error.strerror}"
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                last_error = f"{address}: {type(error).__name__}"
                if method != "GET":
                    text = f"{last_error}; the change may or may not have been made"
                    raise Unreachable(text) from None
    raise Unreachable(last_error)


def _decode_response(status: int, raw: bytes) -> t.Any:
    try:
        answer = orjson.loads(raw)
    except orjson.JSONDecodeError:
        raise CtlError(f"status {status}: the response is not from the resource API") from None
    if status < 400:
        return answer
    raise _BY_STATUS.get(status, CtlError)(_read_message(answer))


def _read_message(answer: t.Any) -> str:
    """Return the message of an error, as far as the response has one."""
    error = answer.get("error") if isinstance(answer, dict) else None
    return str(error.get("message", "refused")) if isinstance(error, dict) else "refused"
