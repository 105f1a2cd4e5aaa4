"""Waits between tries of a call that fails."""

import asyncio
import random

from . import defaults


class BackOff:
    """Waits that double up to a bound, with full jitter.

    :param most_s: the bound, in seconds.
    """

    def __init__(self, most_s: float = defaults.BACKOFF_MAX_S) -> None:
        self._wait = defaults.BACKOFF_START_S
        self._most = most_s

    def reset(self) -> None:
        """A call succeeded."""
        self._wait = defaults.BACKOFF_START_S

    async def pause(self) -> None:
        """Wait, and wait longer the next time."""
        await asyncio.sleep(self._wait * (0.5 + random.random()))
        self._wait = min(self._most, self._wait * 2)
