"""Mutants of decisions about the store's answers that don't come."""

import asyncio
import typing as t

from rookspring import http_client
from rookspring import relay_store_loops
from rookspring.peers import Link
from rookspring.peers import PeerServer
from rookspring_core import defaults as core_defaults
from rookspring_core import watches
from rookspring_core.watches import ChangeBounds
from rookspring_core.watches import WatchTimes

from .mutant import SILENT_CHANNELS
from .mutant import WATCHES
from .mutant import Mutant


def _plan_longest(bounds: ChangeBounds, longest_s: float, idle_s: float = 0.0) -> WatchTimes:
    return WatchTimes(longest_s, longest_s + core_defaults.WATCH_ANSWER_S)


def _least_bound(self: ChangeBounds) -> float:
    return min(self)


async def _watch_once(platform: t.Any, kind: str, since: int, times: WatchTimes) -> t.Any:
    return await platform.watch(kind, since, times.wait_s)


async def _watch_instead(platform: t.Any, kind: str, since: int, times: WatchTimes) -> t.Any:
    """Give the first watch up, so that a slow store never answers one."""
    try:
        async with asyncio.timeout(times.repeat_after_s):
            return await platform.watch(kind, since, times.wait_s)
    except TimeoutError:
        return await _watch_instead(platform, kind, since, times)


def _hears_linked(self: PeerServer, name: str) -> bool:
    return name in self.links


def _prefer_first(self: PeerServer, link: Link, known: Link) -> bool:
    return known.closed


_call = http_client.call


async def _call_on_kept(*args: t.Any, **named: t.Any) -> t.Any:
    return await _call(*args, **{**named, "single_use": False})


MUTANTS = (
    Mutant("watches for longest", "configuration", watches, "plan_watch", _plan_longest, WATCHES),
    Mutant(
        "forgets a bound", "configuration", ChangeBounds, "unconfirmed_s", _least_bound, WATCHES
    ),
    Mutant(
        "watches once",
        "configuration",
        relay_store_loops,
        "_watch",
        _watch_once,
        SILENT_CHANNELS,
    ),
    Mutant(
        "gives a slow answer up",
        "configuration",
        relay_store_loops,
        "_watch",
        _watch_instead,
        SILENT_CHANNELS,
    ),
    Mutant("trusts links", "membership", PeerServer, "hears", _hears_linked, SILENT_CHANNELS),
    Mutant("keeps a link", "membership", PeerServer, "_prefer", _prefer_first, SILENT_CHANNELS),
    Mutant(
        "asks on an open connection",
        "configuration",
        http_client,
        "call",
        _call_on_kept,
        SILENT_CHANNELS,
    ),
)
