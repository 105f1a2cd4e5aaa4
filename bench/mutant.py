"""What a mutant is: one wrong decision, and the features that are to catch it."""

import typing as t

FEATURES = ("features/relay.feature", "features/swapping.feature", "features/platform.feature")
# Whole deployments on a virtual clock; they take longer, so only their own mutants run them.
SIZE = ("features/size.feature",)
ORGANISATIONS = ("features/organisations.feature",)
SLOTS = ("features/slots.feature",)
HANDOVER = ("features/lease_handover.feature",)
RELAY = ("features/relay.feature",)
STORE = ("features/weight_store.feature",)
ADAPTERS = ("features/adapters.feature",)
ENTRIES = ("features/entries.feature",)
CRASHES = ("features/crashes.feature",)
LIVES = ("features/lives.feature",)
CLOCKS = ("features/clocks.feature",)
RATES = ("features/rate_limits.feature", "features/rate_limits_sockets.feature")
COPIES = ("features/store_copies_sockets.feature", "features/store_copies.feature")
NOTICES = ("features/notices.feature", "features/notices_sockets.feature")


class Mutant(t.NamedTuple):
    """One wrong decision.

    :param rule: what would break by it, in the words of ``docs/failures.md``.
    """

    name: str
    rule: str
    target: t.Any
    attribute: str
    wrong: t.Any
    features: tuple[str, ...] = FEATURES
