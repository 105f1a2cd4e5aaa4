"""The era of the platform's store: how often it has been restored from an older backup.

Versions of objects order the writes within an era only; those of two eras can't be compared. A node
learns of an era from any response of the store or from another node. When a new era is first seen,
this module starts what the node has to do after a restore, and when the store's answers deny the
claim of another node, what it has to do to return to the store's era.
"""

import asyncio
import typing as t

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core.era_claims import EraClaims
from rookspring_core.events import StoreEraBegan
from rookspring_core.events import StoreEraDenied

from . import clock
from .exceptions import PlatformError
from .exceptions import PlatformTooOld
from .logs import log
from .platform import PlatformClient
from .store_reachability import StoreReachability

if t.TYPE_CHECKING:
    from .relay_context import RelayContext

T = t.TypeVar("T")

# The source of an era that an answer of the store names.
STORE = "store"


class StoreEras:
    """The newest era that this node knows of."""

    def __init__(self, context: "RelayContext", reach: StoreReachability) -> None:
        self._context = context
        self._reach = reach
        self._restored = asyncio.Event()
        # Whether the store has answered this node, so that a new era makes its data obsolete.
        self._answered = False
        # How often calls were given up because the era changed, to a new one or back.
        self.restores = 0
        self._claims = EraClaims()

    def attach_client(self, platform: PlatformClient) -> None:
        """Take eras from the responses that a client gets."""
        platform.record_era = lambda era: self.note_era(era, STORE)
        platform.check_claims = self.check_claims

    def note_era(self, era: int, source: str) -> int:
        """Take an era from a response or another node; one that is not newer changes nothing.

        :param source: ``STORE``, or which node claims it.
        :return: the newest known era.
        """
        state = self._context.state
        if source == STORE:
            self._claims.note_named(era)
        newer = era > state.store_era
        if newer and (source == STORE or self._claims.note_claim(era, clock.now())):
            self._begin(era, source)
        return state.store_era

    def check_claims(self, era: int, asked_at: float) -> None:
        """End another node's claim of a later era if the store's answers have denied it.

        :param era: the era that an answer of the store names.
        :param asked_at: when its call began.
        """
        known = self._context.state.store_era
        if era == known:
            self._claims.note_current(era, asked_at)
        elif era < known and self._claims.note_older(era, asked_at):
            log("store_era_denied", "WARNING", era=era, claimed=known)
            self._context.submit(StoreEraDenied(clock.now(), era))
            self._give_up_calls()
            self._context.lease_check_due.set()

    def _begin(self, era: int, source: str) -> None:
        state = self._context.state
        log("store_era", era=era, before=state.store_era, source=source, risen=self._answered)
        now = clock.now()
        self._reach.note_restore(now)
        self._context.submit(StoreEraBegan(now, era))
        if self._answered:
            self._give_up_calls()
        self._context.lease_check_due.set()

    def _give_up_calls(self) -> None:
        """End the calls that wait, since they were made in another era."""
        self.restores += 1
        restored, self._restored = self._restored, asyncio.Event()
        restored.set()

    async def call_in_era(
        self, call: t.Awaitable[Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        """Make a call to the store, and fail it if the era changes before its response.

        The call is then cancelled at once, since its response would be of the former era.
        """
        before = self.restores
        pending = asyncio.ensure_future(call)
        restored = asyncio.ensure_future(self._restored.wait())
        try:
            await asyncio.wait({pending, restored}, return_when=asyncio.FIRST_COMPLETED)
            if self.restores != before:
                return Failure(
                    PlatformTooOld("the store was restored from an older copy during the call")
                )
            result = pending.result()
            self._answered = self._answered or isinstance(result, Success)
            return result
        finally:
            restored.cancel()
            if not pending.done():
                pending.cancel()

    async def wait_restored(self) -> None:
        """Wait until calls are given up because the era has changed."""
        await self._restored.wait()
