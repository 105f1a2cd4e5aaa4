"""The store of a fleet: objects by kind and name, with one revision counter for all.

It may be unavailable, and be restored from an older backup: its counter then goes back to the
backup's, later writes are lost, and the era increases by one.
"""

import typing as t

from rookspring.platform import StoredObject

# Kinds of objects.
ENDPOINTS = "endpoints"
TABLE = "table"
LEASE = "lease"
# One object for each evacuated data centre.
EVACUATIONS = "evacuations"
NODES = "nodes"


class FleetBackup(t.NamedTuple):
    """A backup of the store."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class FleetStore:
    """The objects that nodes, endpoints and the operator write; None marks a deleted one."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.unavailable = False
        self._objects: dict[tuple[str, str], StoredObject] = {}

    def put(self, kind: str, name: str, value: t.Any) -> int:
        """Write an object unconditionally and return its revision."""
        self.revision += 1
        self._objects[(kind, name)] = StoredObject(name, self.revision, value, self.era)
        return self.revision

    def put_if(self, kind: str, name: str, value: t.Any, expected: int) -> int | None:
        """Write an object if its revision is the expected one; 0 if it must not exist.

        :return: the new revision, or None if the revision differs.
        """
        found = self.get(kind, name)
        if (found.version if found else 0) != expected:
            return None
        return self.put(kind, name, value)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object."""
        found = self._objects.get((kind, name))
        if found is None or found.value is None:
            return None
        return found._replace(era=self.era)

    def rows(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind."""
        rows = (one for (its_kind, _), one in self._objects.items() if its_kind == kind)
        return tuple(one._replace(era=self.era) for one in rows if one.value is not None)

    def changes(self, kind: str, since: int) -> tuple[StoredObject, ...] | None:
        """Return what changed after a revision, or None if the store has not reached it."""
        if since > self.revision:
            return None
        rows = (one for (its_kind, _), one in self._objects.items() if its_kind == kind)
        return tuple(one._replace(era=self.era) for one in rows if one.version > since)

    def copy(self) -> FleetBackup:
        """Return a backup of all objects."""
        return FleetBackup(self.revision, dict(self._objects))

    def restore(self, copy: FleetBackup) -> None:
        """Restore the state of a backup, begin the next era and become available."""
        self.revision = copy.revision
        self._objects = dict(copy.objects)
        self.era += 1
        self.unavailable = False
