"""Evacuated data centres, whose endpoints get nothing new until that is taken back.

A node that reads the platform's store knows all of them as of one revision. So of two lists the one
of the later revision holds, whichever node it came from, and no list needs to be merged.

If the store is restored from a backup, revisions go back and the list may lack evacuations that are
in force. These stay in force until the platform has had time to write them again.
"""

import typing as t

from . import defaults
from .hashing import stable_hash


class EvacuationList(t.NamedTuple):
    """All evacuated data centres, as the store listed them.

    :param era: how often the store had been restored from a backup.
    :param revision: the store's revision; 0 if nothing has been read.
    """

    era: int = 0
    revision: int = 0
    data_centres: frozenset[str] = frozenset()

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, which are ordered across restores too."""
        return self.era, self.revision


class EvacuationTable:
    """The latest list that a node knows, and the evacuations that hold although it lacks them."""

    def __init__(self) -> None:
        self.listed = EvacuationList()
        # Evacuations that a list after a restore lacked, and until when they hold.
        self._kept: dict[str, float] = {}

    @property
    def in_force(self) -> frozenset[str]:
        """The data centres to whose endpoints nothing new is sent."""
        return self.listed.data_centres.union(self._kept)

    def take(self, found: EvacuationList, now: float) -> bool:
        """Take a list if it is later than the known one; return whether it says anything new."""
        known = self.listed
        if found.position <= known.position:
            return False
        if found.era > known.era:
            until = now + defaults.EVACUATION_REWRITE_S
            self._kept = dict.fromkeys(self.in_force, until)
        for name in found.data_centres:
            self._kept.pop(name, None)
        self.listed = found
        return (found.era, found.data_centres) != (known.era, known.data_centres)

    def expire(self, now: float) -> bool:
        """End the evacuations that were not written again in time; return whether there are any."""
        ended = [name for name, until in self._kept.items() if now >= until]
        for name in ended:
            del self._kept[name]
        return bool(ended)

    def digest(self) -> int:
        """Return a hash that is equal on nodes that know the same list."""
        names = ",".join(sorted(self.listed.data_centres))
        return stable_hash("evacuations", names) if names else 0
