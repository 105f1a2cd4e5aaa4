"""Mutants of the rule that a request is sent at most once on a connection."""

import asyncio
import typing as t

import aiohttp

from rookspring import defaults as daemon_defaults
from rookspring import http_client
from rookspring import http_platform
from rookspring import relay_notices
from rookspring.dialect import AnswerMatch
from rookspring.endpoints import HttpEndpoint
from rookspring.http_client import ClientConnection
from rookspring.http_client import ConnectionPool
from rookspring.http_messages import HttpHead
from rookspring_platform import PlatformDialect

from .mutant import FULL_ENDPOINTS
from .mutant import HANDOVERS_SOCKETS
from .mutant import RESENDS
from .mutant import Mutant

NO_BOUND = 1 << 40

_match = PlatformDialect.match_answer
_call = http_client.call


def _never(*args: t.Any) -> bool:
    return False


def _always(*args: t.Any) -> bool:
    return True


def _match_calls_with_any(self: PlatformDialect, head: HttpHead, request_id: str) -> AnswerMatch:
    return _match(self, head, request_id) if request_id else AnswerMatch(matches=True)


async def _call_anywhere(*args: t.Any, **named: t.Any) -> t.Any:
    return await _call(*args, **{**named, "request_id": None})


def _keep_connections(self: HttpEndpoint) -> aiohttp.ClientSession:
    if self._session is None:
        self._session = aiohttp.ClientSession()
    return self._session


async def _call_on_kept(*args: t.Any, **named: t.Any) -> t.Any:
    return await _call(*args, **{**named, "single_use": False})


class _KeptConnector(aiohttp.TCPConnector):
    """Keeps its connections when its session is closed."""

    def close(self, **named: t.Any) -> t.Any:
        return asyncio.sleep(0)


_connectors: dict[t.Any, _KeptConnector] = {}


def _share_connector() -> _KeptConnector:
    loop = asyncio.get_running_loop()
    if loop not in _connectors:
        _connectors[loop] = _KeptConnector()
    return _connectors[loop]


def _keep_busy(self: ConnectionPool, address: str, connection: ClientConnection) -> None:
    """Keep a connection whose answer nobody waits for any more."""
    connection._reply = None
    self.release(address, connection)


MUTANTS = (
    Mutant(
        "keeps a connection whose answer is to come",
        "a handed-over request's answer is to its request",
        ConnectionPool,
        "release_or_close",
        _keep_busy,
        HANDOVERS_SOCKETS,
    ),
    Mutant(
        "uses a new connection before its reset may have come",
        "what was not sent is told as not run",
        daemon_defaults,
        "CONNECTION_SETTLES_S",
        0.0,
        FULL_ENDPOINTS,
    ),
    Mutant(
        "keeps a connection in whose place another is needed",
        "what was not sent is told as not run",
        daemon_defaults,
        "NEW_RESETS_KNOWN_S",
        0.0,
        FULL_ENDPOINTS,
    ),
    Mutant(
        "hears a late answer as one to the request in flight",
        "what an endpoint says of a request is of that request",
        relay_notices,
        "_is_own",
        _always,
        RESENDS,
    ),
    Mutant(
        "keeps connections to the store",
        "an answer belongs to one call of the platform",
        http_client,
        "call",
        _call_on_kept,
        RESENDS,
    ),
    Mutant(
        "keeps connections to a platform",
        "an answer belongs to one call of the platform",
        http_platform,
        "SingleUseConnector",
        _share_connector,
        RESENDS,
    ),
    Mutant(
        "keeps connections whose answers don't name their request",
        "an answer belongs to one send of its request",
        HttpEndpoint,
        "_get_session",
        _keep_connections,
        RESENDS,
    ),
    Mutant(
        "sends a request again on its connection",
        "an answer belongs to one send of its request",
        ClientConnection,
        "has_carried",
        _never,
        RESENDS,
    ),
    Mutant(
        "keeps no connection for other requests",
        "connections are kept",
        ClientConnection,
        "has_carried",
        _always,
        RESENDS,
    ),
    Mutant(
        "remembers requests without end",
        "what a connection remembers is bounded",
        daemon_defaults,
        "CARRIED_REQUESTS_MAX",
        NO_BOUND,
        RESENDS,
    ),
    Mutant(
        "takes a request's answer for a call's",
        "an answer belongs to one send of its request",
        PlatformDialect,
        "match_answer",
        _match_calls_with_any,
        RESENDS,
    ),
    Mutant(
        "makes calls on any connection",
        "an answer belongs to one send of its request",
        http_client,
        "call",
        _call_anywhere,
        RESENDS,
    ),
)
