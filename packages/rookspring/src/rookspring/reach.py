"""Tracks whether the platform's store answers, for the reducer and the log."""

from . import clock
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .logs import log
from .relay_context import RelayContext
from rookspring_core.events import PlatformAnswered



class Reach:
    """Whether the store is reachable from this node, and since when."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self.lost_at: float | None = None
        self.back_at = -1e9

    def note_return(self, now: float) -> None:
        """Note a restore of the store from a backup: endpoints must rewrite what it lacks first."""
        self.back_at = now

    def failed(self, what: str, error: PlatformError) -> None:
        """Log a failed call, and report an outage that begins with it.

        Errors by which the store did answer are ignored.
        """
        if isinstance(error, (PlatformTooOld, PlatformMissing)):
            return
        log("store_call_failed", "WARNING", call=what, error=type(error).__name__, detail=error)
        if self.lost_at is None:
            self.lost_at = clock.now()
            log("platform_down", "WARNING", call=what)
            self._context.submit(PlatformAnswered(clock.now(), False))

    def answered(self) -> None:
        """Report an answered call, and log the end of an outage."""
        now = clock.now()
        if self.lost_at is not None:
            log("platform_up", out_s=now - self.lost_at)
            self.lost_at = None
            self.back_at = now
        self._context.submit(PlatformAnswered(now, True))
