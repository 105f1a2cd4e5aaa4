"""Client of the resource API; asks the next server when one does not answer."""

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


class Server(t.NamedTuple):
    """Where the nodes are and how to speak to them."""

    addresses: tuple[str, ...]
    key: str
    timeout_s: float = 40.0


def call(
    server: Server, method: str, path: str, body: t.Any = None, version: int | None = None
) -> t.Any:
    """Call the resource API and give the decoded answer.

    A write is tried at one server only, unless nothing was sent.

    :raises CtlError: one of its subclasses, by the kind of failure.
    """
    return asyncio.run(_call(server, method, path, body, version))


async def _call(server: Server, method: str, path: str, body: t.Any, version: int | None) -> t.Any:
    headers = {"Authorization": f"Bearer {server.key}"}
    if version is not None:
        headers["If-Match"] = str(version)
    data = None if body is None else orjson.dumps(body)
    limit = aiohttp.ClientTimeout(total=server.timeout_s, connect=2.0)
    last = "no server was given"
    async with aiohttp.ClientSession(headers=headers, timeout=limit) as session:
        for address in server.addresses:
            url = f"{address.rstrip('/')}/api/v1/{path}"
            try:
                async with session.request(method, url, data=data) as response:
                    return _judge(response.status, await response.read())
            except aiohttp.ClientConnectorError as error:
                last = f"{address}: {error.os_error.strerror}"
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                last = f"{address}: {type(error).__name__}"
                if method != "GET":
                    text = f"{last}; the change may or may not have been made"
                    raise Unreachable(text) from None
    raise Unreachable(last)


def _judge(status: int, raw: bytes) -> t.Any:
    try:
        answer = orjson.loads(raw)
    except orjson.JSONDecodeError:
        raise CtlError(f"status {status}: not the resource API") from None
    if status < 400:
        return answer
    message = answer.get("error", {}).get("message", "refused")
    raise _BY_STATUS.get(status, CtlError)(message)
