"""Handles what was read from endpoints in turns of the event loop, by :mod:`read_turns`."""

import asyncio
import typing as t

from rookspring_core.read_turns import ReadTurns
from rookspring_core.read_turns import measure_work

from . import defaults
from .logs import log


class Waiter(t.Protocol):
    """A connection with bytes that were read and not handled yet."""

    def handle_next(self) -> int:
        """Handle some of the bytes, and wait again if there are more.

        :return: the work in bytes; 0 if nothing can be handled now.
        """


class PacedReads:
    """The turns of one event loop, which all its connections to endpoints share."""

    def __init__(self) -> None:
        self._turns: ReadTurns[Waiter] = ReadTurns()
        self._scheduled = False
        self._logged: dict[str, int] = {}

    def admit(self, source: str, data: bytes) -> bool:
        """Return whether bytes that have just been read may be handled at once."""
        self._schedule()
        return self._turns.admit(source, measure_work(data))

    def wait(self, source: str, waiter: Waiter) -> None:
        """Handle what a connection has in the turns that come."""
        self._schedule()
        self._turns.wait(source, waiter)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        self._turns.begin()
        while taken := self._turns.take():
            source, waiter = taken
            self._turns.spend(source, waiter.handle_next())
            self._log(source)
        if self._turns.anyone_waits:
            self._schedule()
        else:
            self._logged.clear()
        self._turns.forget_served()

    def _log(self, source: str) -> None:
        """Tell from time to time whose bytes take the turns."""
        work = self._turns.work[source]
        if work - self._logged.get(source, 0) >= defaults.LOGGED_WORK_BYTES:
            self._logged[source] = work
            log(
                "reads_paced",
                "WARNING",
                source=source,
                work=work,
                waiting=self._turns.number_waiting(source),
            )
