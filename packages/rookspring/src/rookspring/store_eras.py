"""Which era the platform's store is in: how often it has come back from an older copy.

Within an era its versions order what was written; over eras they say nothing. A node hears of
an era by any answer, or by another node, and what is to be done then begins here, once.
"""

import asyncio
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core.events import StoreEraBegan

from . import clock
from .exceptions import PlatformError
from .exceptions import PlatformTooOld
from .logs import log
from .platform import PlatformClient
from .reach import Reach

if t.TYPE_CHECKING:
    from .relay_context import RelayContext

T = t.TypeVar("T")


class StoreEras:
    """The newest era that this node knows of."""

    def __init__(self, context: "RelayContext", reach: Reach) -> None:
        self._context = context
        self._reach = reach
        self._risen = asyncio.Event()
        # Whether the store has answered this node: what was read before an era has to go.
        self._answered = False
        # How often an era began while this node knew something of the one before.
        self.risen = 0

    def follow(self, platform: PlatformClient) -> None:
        """Hear of eras by the answers of a client."""
        platform.record_era = lambda era: self.hear(era, "store")

    def hear(self, era: int, source: str) -> int:
        """Take an era that an answer or another node names; an older one changes nothing.

        :return: the newest that is known.
        """
        state = self._context.state
        if era > state.store_era:
            self._begin(era, source)
        return state.store_era

    def _begin(self, era: int, source: str) -> None:
        state = self._context.state
        log("store_era", era=era, before=state.store_era, source=source, risen=self._answered)
        now = clock.now()
        self._reach.note_return(now)
        self._context.submit(StoreEraBegan(now, era))
        if self._answered:
            self.risen += 1
            risen, self._risen = self._risen, asyncio.Event()
            risen.set()
        self._context.lease_check_due.set()

    async def within(self, call: t.Awaitable[Result[T, PlatformError]]) -> Result[T, PlatformError]:
        """Make a call of the store that is to be asked and answered in one era.

        One that waits when an era begins is given up; what it would give is of no use.
        """
        before = self.risen
        asked = asyncio.ensure_future(call)
        risen = asyncio.ensure_future(self._risen.wait())
        try:
            await asyncio.wait({asked, risen}, return_when=asyncio.FIRST_COMPLETED)
            if self.risen != before:
                return Failure(PlatformTooOld("the store came back from a copy meanwhile"))
            result = asked.result()
            self._answered = self._answered or isinstance(result, Success)
            return result
        finally:
            risen.cancel()
            if not asked.done():
                asked.cancel()

    async def wait_risen(self) -> None:
        """Wait until an era begins while this node knows something of the one before."""
        await self._risen.wait()
