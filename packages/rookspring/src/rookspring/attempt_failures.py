"""Failures of attempts at endpoints, as the reducer gets them."""

from rookspring_core.effects import AttachStream
from rookspring_core.effects import Dispatch
from rookspring_core.events import AttemptFailed

from . import clock
from .exceptions import EndpointError


def make_failure(
    effect: Dispatch | AttachStream, error: EndpointError, followable: bool = True
) -> AttemptFailed:
    """Return the event that an attempt has failed now, with all that its error shows.

    :param followable: see :class:`AttemptFailed`.
    """
    return AttemptFailed(
        at=clock.now(),
        request_id=effect.request_id,
        attempt=effect.attempt,
        sent=error.sent,
        reported_not_run=error.reported_not_run,
        reason=error.reason,
        down=error.down,
        broken=error.broken,
        withheld=error.withheld,
        open_ended=error.open_ended,
        doubted=error.doubted,
        copy=error.copy,
        followable=followable,
        likely=error.likely,
        backup=error.backup,
    )
