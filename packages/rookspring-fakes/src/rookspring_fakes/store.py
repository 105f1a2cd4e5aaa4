"""In-memory model of the platform's object store: versions, conditional writes, a change history.

It does no I/O; ``platform.py`` serves it over HTTP and tests call it directly.
"""

import typing as t

VALUE_BYTES_MAX = 1_000_000
HISTORY_MAX = 2000


class StoreError(Exception):
    """A refused call, with its HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Stored(t.NamedTuple):
    """One object with its version."""

    kind: str
    name: str
    version: int
    value: bytes


class Change(t.NamedTuple):
    """One change of an object; ``value`` is None for a deletion."""

    kind: str
    name: str
    version: int
    value: bytes | None


class StoreBackup(t.NamedTuple):
    """A backup of a store.

    :param compacted: the version up to which the history had been discarded.
    """

    version: int
    objects: dict[tuple[str, str], Stored]
    history: list[Change]
    compacted: int


class BoxRow(t.TypedDict):
    """One row of the box list."""

    name: str
    address: str
    data_centre: str
    role: str
    state: str
    service: str


class ObjectStore:
    """Objects by kind and name, with one version counter for all."""

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[tuple[str, str], Stored] = {}
        self.history: list[Change] = []
        self.boxes: dict[str, BoxRow] = {}
        self.calls: dict[str, int] = {}
        # How often it was restored from a backup.
        self.era = 0
        self._compacted = 0

    def count(self, call: str) -> None:
        """Count a call; a watch counts once, however long it waits."""
        self.calls[call] = self.calls.get(call, 0) + 1

    def get(self, kind: str, name: str) -> Stored:
        """Read one object."""
        self.count("get")
        found = self.objects.get((kind, name))
        if found is None:
            raise StoreError(404, f"{kind}/{name}: no such object")
        return found

    def list_kind(self, kind: str) -> tuple[int, list[Stored]]:
        """Read all objects of a kind, and the store's version."""
        self.count("list")
        rows = [one for (its_kind, _), one in sorted(self.objects.items()) if its_kind == kind]
        return self.version, rows

    def put(self, kind: str, name: str, value: bytes, expected: int | None) -> Stored:
        """Write an object if its version is the expected one.

        :param expected: the version; 0 if it must not exist, None to write unconditionally.
        :raises StoreError: 413 if the value is too large, 409 if the version differs.
        """
        self.count("put")
        if len(value) > VALUE_BYTES_MAX:
            raise StoreError(413, f"value: {len(value)} bytes are above {VALUE_BYTES_MAX}")
        known = self.objects.get((kind, name))
        current = known.version if known else 0
        if expected is not None and expected != current:
            raise StoreError(409, f"{kind}/{name}: version is {current}, not {expected}")
        self.version += 1
        stored = Stored(kind, name, self.version, value)
        self.objects[(kind, name)] = stored
        self._append_history(Change(kind, name, self.version, value))
        return stored

    def delete(self, kind: str, name: str, expected: int | None) -> int:
        """Delete an object if its version is the expected one.

        :param expected: the version; None to delete unconditionally.
        :raises StoreError: 404 if there is no such object, 409 if the version differs.
        """
        self.count("delete")
        known = self.objects.get((kind, name))
        if known is None:
            raise StoreError(404, f"{kind}/{name}: no such object")
        if expected is not None and expected != known.version:
            raise StoreError(409, f"{kind}/{name}: version is {known.version}, not {expected}")
        self.version += 1
        del self.objects[(kind, name)]
        self._append_history(Change(kind, name, self.version, None))
        return self.version

    def changes(self, kind: str, since: int) -> list[Change]:
        """Return a kind's changes after a version.

        :raises StoreError: 410 if the history from there is discarded, or not reached yet.
        """
        if since < self._compacted or since > self.version:
            raise StoreError(410, f"version {since} is not kept; list again")
        return [one for one in self.history if one.kind == kind and one.version > since]

    def copy(self) -> StoreBackup:
        """Return a backup of the objects and the history."""
        return StoreBackup(self.version, dict(self.objects), list(self.history), self._compacted)

    def restore(self, copy: StoreBackup) -> None:
        """Restore a backup: later writes are lost, and the version counter goes back."""
        self.version = copy.version
        self.objects = dict(copy.objects)
        self.history = list(copy.history)
        self._compacted = copy.compacted
        self.era += 1

    def _append_history(self, change: Change) -> None:
        self.history.append(change)
        if len(self.history) > HISTORY_MAX:
            half = HISTORY_MAX // 2
            self._compacted = self.history[half - 1].version
            del self.history[:half]
