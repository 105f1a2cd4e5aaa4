"""Tracks whether the platform's store answers, for the reducer and the log."""

from rookspring_core.events import PlatformAnswered

from . import clock
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .logs import log
from .relay_context import RelayContext


class StoreReachability:
    """Whether the store is reachable from this node, and since when."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self.unreachable_since: float | None = None
        self.recovered_at = -1e9

    def note_restore(self, now: float) -> None:
        """Note a restore of the store from a backup: endpoints must rewrite what it lacks first."""
        self.recovered_at = now

    def note_failure(self, what: str, error: PlatformError) -> None:
        """Log a failed call, and report an outage that begins with it.

        Errors by which the store did answer are ignored.
        """
        if isinstance(error, (PlatformTooOld, PlatformMissing)):
            return
        log("store_call_failed", "WARNING", call=what, error=type(error).__name__, detail=error)
        if self.unreachable_since is None:
            self.unreachable_since = clock.now()
            log("platform_down", "WARNING", call=what)
            self._context.submit(PlatformAnswered(clock.now(), False))

    def note_answer(self) -> None:
        """Report an answered call, and log the end of an outage."""
        now = clock.now()
        if self.unreachable_since is not None:
            log("platform_up", out_s=now - self.unreachable_since)
            self.unreachable_since = None
            self.recovered_at = now
        self._context.submit(PlatformAnswered(now, True))
