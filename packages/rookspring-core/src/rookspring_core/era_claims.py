"""Eras of the platform's store that other nodes claim, and when the store's answers deny them.

A node takes an era from another node, as it must where the store does not answer it. If the store
does, it decides: it answers linearizably and its eras only rise, so an answer to a call that began
after the claim was heard, and that names an earlier era, shows that the claim is wrong.
"""

from . import defaults


class EraClaims:
    """What other nodes claim beyond the newest era that the store has named to this node."""

    def __init__(self) -> None:
        # The newest era that an answer of the store has named.
        self._store_era = 0
        # The claimed era, when it was heard, and how many answers have denied it since.
        self._claimed_era = 0
        self._heard_at = 0.0
        self._denials = 0
        # The greatest era whose claim was found to be wrong, and when an answer last denied it.
        self._denied_era = 0
        self._denied_at = float("-inf")

    def note_named(self, era: int) -> None:
        """Record an era that an answer of the store names."""
        self._store_era = max(self._store_era, era)

    def note_claim(self, era: int, now: float) -> bool:
        """Record a claim of an era that is newer than the known one.

        :return: whether to take it; not one that the store's answers have lately denied.
        """
        if era <= self._denied_era and now - self._denied_at < defaults.ERA_DENIAL_KEPT_S:
            return False
        self._claimed_era = era
        self._heard_at = now
        self._denials = 0
        return True

    def note_older(self, era: int, asked_at: float) -> bool:
        """Record an answer that names an earlier era than the known one.

        :param asked_at: when its call began.
        :return: whether the claim of the known one has to end, and this era is the store's.
        """
        if era < self._store_era or self._claimed_era <= self._store_era:
            # The store itself has named a later one, so this answer is merely late.
            return False
        if asked_at < self._heard_at:
            return False
        self._denials += 1
        asked_long_after = asked_at - self._heard_at >= defaults.ERA_DENIED_AFTER_S
        if not asked_long_after or self._denials < defaults.ERA_DENIALS_LEAST:
            return False
        self._denied_era = max(self._denied_era, self._claimed_era)
        self._denied_at = asked_at
        self._claimed_era = 0
        return True

    def note_current(self, era: int, asked_at: float) -> None:
        """Record an answer that names the known era, which denies later ones anew."""
        if era < self._denied_era:
            self._denied_at = max(self._denied_at, asked_at)
