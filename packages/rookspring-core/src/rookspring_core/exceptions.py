"""Errors of the core, under one root that every other layer turns."""


class RookspringError(Exception):
    """Root of all errors that rookspring raises."""


class CoreError(RookspringError):
    """A decision could not be made from the state at hand."""


class InvariantBroken(CoreError):
    """A promise that must always hold does not; the program must not go on.

    :param name: the invariant, as registered.
    :param detail: what was seen.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"invariant {name} broken: {detail}")
        self.name = name
        self.detail = detail


class ResourceInvalid(CoreError):
    """A resource does not meet its schema.

    :param faults: every fault found, each as ``field: what was expected``.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class UnknownPolicy(CoreError):
    """A setting names a policy that no module registered."""
