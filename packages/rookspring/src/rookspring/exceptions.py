"""Errors of the daemon's layers; each layer converts the errors of the one below."""

import typing as t

from rookspring_core import RookspringError


class SettingsError(RookspringError):
    """One or more settings are wrong.

    :param faults: all faults, each as ``setting: what was expected``.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class PlatformError(RookspringError):
    """A call to the platform failed."""


class PlatformUnreachable(PlatformError):
    """There was no answer; the call may or may not have taken effect."""


class PlatformConflict(PlatformError):
    """The object has another version than expected."""


class PlatformMissing(PlatformError):
    """The object does not exist."""


class PlatformTooOld(PlatformError):
    """A watch started from a version that is no longer kept; the kind must be listed again."""


class PlatformRefused(PlatformError):
    """The platform rejected the call, for its size or because of a rate limit."""


class EndpointError(RookspringError):
    """An attempt at an endpoint failed.

    :param sent: a byte of the request may have reached the endpoint.
    :param reported_not_run: the endpoint reported that it did not run the request.
    :param leaving: the endpoint is draining and accepts no new work.
    :param down: nothing listens at its address.
    :param broken: it closed the connection before its answer was complete.
    :param withheld: nothing was sent, since the endpoint left or requested a back-off meanwhile.
    :param open_ended: its answer ended with its connection, and nothing showed that it is whole.
    :param doubted: nothing was sent, since its process may be of another version than listed.
    :param copy: the copy that its run can go on from; empty if none.
    :param likely: its answer ended with its connection, and looked whole.
    :ivar backup: that copy is at the endpoint that holds the run's backup.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        reported_not_run: bool = False,
        leaving: bool = False,
        down: bool = False,
        broken: bool = False,
        withheld: bool = False,
        open_ended: bool = False,
        doubted: bool = False,
        copy: str = "",
        likely: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.doubted = doubted
        self.copy = copy
        self.likely = likely
        self.backup = False
        self.reported_not_run = reported_not_run
        self.leaving = leaving
        self.down = down
        self.broken = broken
        self.withheld = withheld
        self.open_ended = open_ended


class PeerError(RookspringError):
    """A stream to another node failed."""


class CallerGone(RookspringError):
    """The caller disconnected before its answer was complete."""


class CallerError(RookspringError):
    """A caller's request is refused because of its contents or the node's state.

    :param status: HTTP status.
    :param field: header, path or body field that caused the refusal.
    :param expected: what was expected there.
    :param request_id: the id that the caller gave the request, as far as it was read.
    """

    def __init__(
        self,
        status: int,
        field: str,
        expected: str,
        outcome: str = "not_run",
        request_id: str = "",
    ) -> None:
        super().__init__(f"{field}: {expected}")
        self.status = status
        self.field = field
        self.expected = expected
        self.outcome = outcome
        self.request_id = request_id

    def body(self) -> dict[str, t.Any]:
        """Return the error's body in the format that callers' client libraries parse."""
        return {
            "error": {
                "message": str(self),
                "type": "invalid_request_error",
                "param": self.field,
                "code": "bad_field",
            },
            "outcome": self.outcome,
        }
