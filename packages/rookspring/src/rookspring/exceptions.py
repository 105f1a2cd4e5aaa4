"""Errors of the daemon's layers, each turned from those of the layer below."""

import typing as t

from rookspring_core import RookspringError


class SettingsError(RookspringError):
    """One or more settings are wrong.

    :param faults: every fault found, each as ``setting: what was expected``.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class PlatformError(RookspringError):
    """A call to the platform failed."""


class PlatformUnreachable(PlatformError):
    """No answer came; the call may or may not have taken effect."""


class PlatformConflict(PlatformError):
    """The object is at another version than expected."""


class PlatformMissing(PlatformError):
    """There is no such object."""


class PlatformTooOld(PlatformError):
    """A watch asked for a version that is no longer kept; list again."""


class PlatformRefused(PlatformError):
    """The platform will not take the call, for its size or rate."""


class EndpointError(RookspringError):
    """An attempt at an endpoint failed.

    :param sent: a byte of the request may have reached the endpoint.
    :param said_not_run: the endpoint's protocol said that it did not run.
    :param leaving: the endpoint takes no new work.
    :param down: nothing listens at its address.
    :param broken: it ended the connection before its answer was whole.
    :param withheld: nothing was sent, since it was found to want nothing.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        said_not_run: bool = False,
        leaving: bool = False,
        down: bool = False,
        broken: bool = False,
        withheld: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.said_not_run = said_not_run
        self.leaving = leaving
        self.down = down
        self.broken = broken
        self.withheld = withheld


class PeerError(RookspringError):
    """A stream to another node failed."""


class CallerGone(RookspringError):
    """The caller's connection broke before its answer ended."""


class CallerError(RookspringError):
    """A caller's request cannot be served as it stands.

    :param status: HTTP status.
    :param field: header, path or body field at fault.
    :param expected: what was expected there.
    """

    def __init__(self, status: int, field: str, expected: str, outcome: str = "not_run") -> None:
        super().__init__(f"{field}: {expected}")
        self.status = status
        self.field = field
        self.expected = expected
        self.outcome = outcome

    def body(self) -> dict[str, t.Any]:
        """Give the error's body in the shape that callers' libraries know."""
        return {
            "error": {
                "message": str(self),
                "type": "invalid_request_error",
                "param": self.field,
                "code": "bad_field",
            },
            "outcome": self.outcome,
        }
