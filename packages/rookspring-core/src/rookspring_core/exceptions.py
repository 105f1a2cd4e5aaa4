"""Errors of the core. All of rookspring's errors derive from ``RookspringError``."""


class RookspringError(Exception):
    """Base class of all errors that rookspring raises."""


class CoreError(RookspringError):
    """Base class of the errors of the core."""


class InvariantBroken(CoreError):
    """An invariant does not hold, so the process must end.

    :param name: the invariant, as registered.
    :param detail: what was found.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"invariant {name} broken: {detail}")
        self.name = name
        self.detail = detail


class ResourceInvalid(CoreError):
    """A resource does not match its schema.

    :param faults: every fault found, each as ``field: what was expected``.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class UnknownPolicy(CoreError):
    """A setting names a policy that no module has registered."""
