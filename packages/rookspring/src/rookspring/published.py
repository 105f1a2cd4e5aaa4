"""Publication in the platform: immutable shards and one small head object that lists them.

A shard's name is a hash of its content, so an unchanged shard is neither written nor read
again. Only the head is updated, by a conditional write. As it lists all shards of its
revision, a reader never mixes two revisions.
"""

import hashlib
import typing as t

import orjson
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from rookspring_core import Entry
from rookspring_core import Resource
from rookspring_core.acceptance import shard_of
from rookspring_core.events import RevisionSeen

from . import defaults
from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .logs import log
from .platform import PlatformClient
from .platform import StoredObject

# What decoding an object raises if it is malformed.
MALFORMED = (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError)
KIND = "published"
HEAD = "head"


class Head(t.NamedTuple):
    """The head object, with its version in the platform.

    :param shards: name of each shard by its number.
    """

    version: int
    revision: int
    epoch: int
    shards: dict[str, str]


EMPTY_HEAD = Head(0, 0, 0, {})


def encode_entry(entry: Entry) -> list[t.Any]:
    """Encode an entry as JSON values."""
    return [list(entry.resource) if entry.resource else None, *entry[1:]]


def decode_entry(raw: t.Any) -> Entry:
    """Decode an entry from JSON values."""
    resource = Resource(*raw[0]) if raw[0] else None
    return Entry(resource, int(raw[1]), str(raw[2]))


class PublishedStore:
    """Reads and writes publications, and caches the shards of the last one."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._shards: dict[str, dict[str, Entry]] = {}
        self._recent_shards: list[frozenset[str]] = []

    async def read_head(self) -> Result[Head, PlatformError]:
        """Read the head; ``EMPTY_HEAD``, of revision 0, if there is none."""
        answer = await self._platform.get(KIND, HEAD)
        match answer:
            case Success(stored):
                return read_stored_head(stored)
            case Failure(PlatformMissing()):
                return Success(EMPTY_HEAD)
        return Failure(answer.failure())

    async def read_revision(self, head: Head, now: float) -> Result[RevisionSeen, PlatformError]:
        """Read the shards of a head that are not cached, and return all of its entries."""
        entries: dict[str, Entry] = {}
        shards: dict[str, dict[str, Entry]] = {}
        for name in head.shards.values():
            cached = self._shards.get(name)
            if cached is None:
                answer = await self._platform.get(KIND, name)
                if isinstance(answer, Failure):
                    return Failure(answer.failure())
                decoded = _read_shard(answer.unwrap())
                if isinstance(decoded, Failure):
                    return decoded
                cached = decoded.unwrap()
            shards[name] = cached
            entries.update(cached)
        self._shards = shards
        return Success(RevisionSeen(now, head.revision, head.epoch, entries))

    async def publish(
        self, revision: int, epoch: int, expected: int, entries: t.Mapping[str, Entry]
    ) -> Result[int, PlatformError]:
        """Write the shards that changed, then update the head.

        :param expected: version that the head must have now.
        :return: version of the updated head.
        """
        parts: dict[int, dict[str, t.Any]] = {}
        decoded: dict[int, dict[str, Entry]] = {}
        for key, entry in sorted(entries.items()):
            number = shard_of(key)
            parts.setdefault(number, {})[key] = encode_entry(entry)
            decoded.setdefault(number, {})[key] = entry
        names: dict[str, str] = {}
        shards: dict[str, dict[str, Entry]] = {}
        for number, part in parts.items():
            value = orjson.dumps({"entries": part}, option=orjson.OPT_SORT_KEYS)
            name = "shard-" + hashlib.sha256(value).hexdigest()[:32]
            names[str(number)] = name
            shards[name] = decoded[number]
            if name in self._shards:
                continue
            answer = await self._platform.put(KIND, name, {"entries": part}, 0)
            # On a conflict the shard exists already, with the same content.
            if isinstance(answer, Failure) and not isinstance(answer.failure(), PlatformConflict):
                return Failure(answer.failure())
        head = {"revision": revision, "epoch": epoch, "shards": names}
        answer = await self._platform.put(KIND, HEAD, head, expected)
        if isinstance(answer, Success):
            self._shards = shards
            self._recent_shards.append(frozenset(names.values()))
        return answer

    async def sweep(self, keep: int) -> None:
        """Delete shards that none of the last ``keep`` heads published here lists.

        A reader of an older head finds a shard missing and reads the head again.
        """
        while len(self._recent_shards) > keep:
            dropped = self._recent_shards.pop(0)
            kept = frozenset().union(*self._recent_shards)
            for name in sorted(dropped - kept):
                await self._platform.delete(KIND, name, None)


def read_stored_head(stored: StoredObject) -> Result[Head, PlatformError]:
    """Decode the head object; a malformed one is logged, and is a failure."""
    try:
        return Success(_parse_head(stored.version, stored.read_value()))
    except MALFORMED as error:
        return _fail_malformed(stored, error)


def _parse_head(version: int, value: t.Any) -> Head:
    shards = {str(number): str(name) for number, name in value["shards"].items()}
    return Head(version, int(value["revision"]), int(value["epoch"]), shards)


def _read_shard(stored: StoredObject) -> Result[dict[str, Entry], PlatformError]:
    try:
        rows = stored.read_value()["entries"].items()
        return Success({key: decode_entry(one) for key, one in rows})
    except MALFORMED as error:
        return _fail_malformed(stored, error)


def _fail_malformed(stored: StoredObject, error: Exception) -> Failure[t.Any]:
    detail = repr(error)[: defaults.DETAIL_MAX]
    log("object_malformed", "ERROR", kind=KIND, name=stored.name, detail=detail)
    return Failure(PlatformError(f"{KIND}/{stored.name}: malformed"))
