"""Exponential back-off between the attempts of a call that fails."""

import asyncio
import random

from . import defaults


class BackOff:
    """Waits that double up to a bound, each times a random factor of 0.5 to 1.5.

    :param max_s: the bound before the factor, in seconds.
    """

    def __init__(self, max_s: float = defaults.BACKOFF_MAX_S) -> None:
        self._wait = defaults.BACKOFF_START_S
        self._most = max_s

    def reset(self) -> None:
        """Start again at the shortest wait, after a call succeeded."""
        self._wait = defaults.BACKOFF_START_S

    async def pause(self) -> None:
        """Wait, and double the next wait."""
        await asyncio.sleep(self._wait * (0.5 + random.random()))
        self._wait = min(self._most, self._wait * 2)
