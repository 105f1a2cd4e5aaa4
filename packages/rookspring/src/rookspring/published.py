"""Publication in the platform: immutable shards behind one small head.

A shard is named by its content, so an unchanged one is neither written nor read
again. Only the head is moved, by conditional update; it names all its shards,
so a reader sees one whole revision or another, never a mixture.
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

from .exceptions import PlatformConflict
from .exceptions import PlatformError
from .exceptions import PlatformMissing
from .platform import PlatformClient

KIND = "published"
HEAD = "head"


class Head(t.NamedTuple):
    """The head object and the platform's version of it."""

    version: int
    revision: int
    epoch: int
    shards: dict[str, str]


EMPTY_HEAD = Head(0, 0, 0, {})


def encode_entry(entry: Entry) -> list[t.Any]:
    """Turn an entry into plain data."""
    return [list(entry.resource) if entry.resource else None, *entry[1:]]


def decode_entry(raw: t.Any) -> Entry:
    """Turn plain data into an entry."""
    resource = Resource(*raw[0]) if raw[0] else None
    return Entry(resource, int(raw[1]), str(raw[2]))


class PublishedStore:
    """Reads and writes publications, with the shards of the last one at hand."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._shards: dict[str, dict[str, Entry]] = {}
        self._names: list[frozenset[str]] = []

    async def read_head(self) -> Result[Head, PlatformError]:
        """Read the head; an absent one is revision 0."""
        answer = await self._platform.get(KIND, HEAD)
        match answer:
            case Success(stored):
                return Success(parse_head(stored.version, stored.value))
            case Failure(PlatformMissing()):
                return Success(EMPTY_HEAD)
        return Failure(answer.failure())

    async def read_revision(self, head: Head, now: float) -> Result[RevisionSeen, PlatformError]:
        """Read the shards of a head that are not at hand yet."""
        entries: dict[str, Entry] = {}
        shards: dict[str, dict[str, Entry]] = {}
        for name in head.shards.values():
            known = self._shards.get(name)
            if known is None:
                answer = await self._platform.get(KIND, name)
                if isinstance(answer, Failure):
                    return Failure(answer.failure())
                raw = answer.unwrap().value["entries"]
                known = {key: decode_entry(one) for key, one in raw.items()}
            shards[name] = known
            entries.update(known)
        self._shards = shards
        return Success(RevisionSeen(now, head.revision, head.epoch, entries))

    async def publish(
        self, revision: int, epoch: int, expected: int, entries: t.Mapping[str, Entry]
    ) -> Result[int, PlatformError]:
        """Write the shards that changed, then move the head.

        :return: the platform's version of the new head.
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
            # A conflict means that the same content is there already.
            if isinstance(answer, Failure) and not isinstance(answer.failure(), PlatformConflict):
                return Failure(answer.failure())
        head = {"revision": revision, "epoch": epoch, "shards": names}
        answer = await self._platform.put(KIND, HEAD, head, expected)
        if isinstance(answer, Success):
            self._shards = shards
            self._names.append(frozenset(names.values()))
        return answer

    async def sweep(self, keep: int) -> None:
        """Delete shards that none of the last ``keep`` heads names.

        A reader of an older head finds a shard missing and reads the head again.
        """
        while len(self._names) > keep:
            dropped = self._names.pop(0)
            kept = frozenset().union(*self._names)
            for name in sorted(dropped - kept):
                await self._platform.delete(KIND, name, None)


def parse_head(version: int, value: t.Mapping[str, t.Any]) -> Head:
    """Turn the head's value into a head."""
    return Head(version, int(value["revision"]), int(value["epoch"]), dict(value["shards"]))
