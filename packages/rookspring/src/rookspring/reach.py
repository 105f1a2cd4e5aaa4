"""Whether the platform's store answers, told to the reducer and the log when that changes."""

from rookspring_core.events import PlatformAnswered

from . import clock
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .exceptions import PlatformTooOld
from .logs import log
from .relay_context import RelayContext


class Reach:
    """Whether the store answers this node."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self.lost_at: float | None = None
        self.back_at = -1e9

    def note_return(self, now: float) -> None:
        """Take that the store came back from a copy: what it lacks is yet to be written again."""
        self.back_at = now

    def failed(self, what: str, error: PlatformError) -> None:
        """A call failed."""
        if isinstance(error, (PlatformTooOld, PlatformMissing)):
            return
        log("store_call_failed", "WARNING", call=what, error=type(error).__name__, detail=error)
        if self.lost_at is None:
            self.lost_at = clock.now()
            log("platform_down", "WARNING", call=what)
            self._context.submit(PlatformAnswered(clock.now(), False))

    def answered(self) -> None:
        """A call was answered."""
        now = clock.now()
        if self.lost_at is not None:
            log("platform_up", out_s=now - self.lost_at)
            self.lost_at = None
            self.back_at = now
        self._context.submit(PlatformAnswered(now, True))
