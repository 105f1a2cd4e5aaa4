"""The store of a fleet: objects by kind and name, with one counter of revisions over all.

It may be away, and come back from an older copy: then its counter goes back, what was
written since is gone, and the era rises by one.
"""

import typing as t

from rookspring.platform import StoredObject

# Kinds of the fleet's objects.
ENDPOINTS = "endpoints"
TABLE = "table"
LEASE = "lease"
NODES = "nodes"


class FleetCopy(t.NamedTuple):
    """All that the store held at a moment."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class FleetStore:
    """What nodes, endpoints and the operator have written; a value None stands for a deletion."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.away = False
        self._objects: dict[tuple[str, str], StoredObject] = {}

    def put(self, kind: str, name: str, value: t.Any) -> int:
        """Write an object, whatever is there."""
        self.revision += 1
        self._objects[(kind, name)] = StoredObject(name, self.revision, value, self.era)
        return self.revision

    def put_if(self, kind: str, name: str, value: t.Any, expected: int) -> int | None:
        """Write an object if its revision is as expected, 0 for one that is not there.

        :return: the new revision, or None where it is another one.
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
        """Read what changed after a revision; None where the store has no such revision."""
        if since > self.revision:
            return None
        rows = (one for (its_kind, _), one in self._objects.items() if its_kind == kind)
        return tuple(one._replace(era=self.era) for one in rows if one.version > since)

    def copy(self) -> FleetCopy:
        """Keep all that it holds."""
        return FleetCopy(self.revision, dict(self._objects))

    def come_back(self, copy: FleetCopy) -> None:
        """Come back as it was when the copy was made."""
        self.revision = copy.revision
        self._objects = dict(copy.objects)
        self.era += 1
        self.away = False
