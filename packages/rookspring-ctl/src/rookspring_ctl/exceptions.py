"""Errors of the operator tool, each with its exit code."""


class CtlError(Exception):
    """Base class of the tool's errors.

    :cvar code: the exit code; 1 for an error without a class of its own.
    """

    code = 1


class UsageError(CtlError):
    """An argument or a file is invalid."""

    code = 2


class Unreachable(CtlError):
    """No node could be reached, or it did not respond."""

    code = 3


class NotFound(CtlError):
    """The requested item does not exist, such as a resource, a box or a request in a log."""

    code = 4


class Conflict(CtlError):
    """The resource has another version than expected, or its state does not allow the change."""

    code = 5


class Denied(CtlError):
    """The key is missing, or is not an operator's."""

    code = 6
