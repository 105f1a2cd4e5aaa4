"""Errors of the operator tool, each with its exit code."""


class CtlError(Exception):
    """Root of the tool's errors.

    :cvar code: the exit code; 1 for a refusal that has none of its own.
    """

    code = 1


class UsageError(CtlError):
    """An argument or a file is not as expected."""

    code = 2


class Unreachable(CtlError):
    """No node answered."""

    code = 3


class NotFound(CtlError):
    """There is no such resource."""

    code = 4


class Conflict(CtlError):
    """The resource was changed by someone else since it was read."""

    code = 5


class Denied(CtlError):
    """The key is not an operator's."""

    code = 6
