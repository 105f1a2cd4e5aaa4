"""Organisations, the keys that identify their requests, and their allotments.

Only digests of keys are kept. The key itself is discarded as soon as it is read, so that no
log line, metric or message between nodes can reveal it.
"""

import hashlib
import typing as t

TOKENS = "tokens"
REQUESTS = "requests"


class Allotment(t.NamedTuple):
    """The usage limit of an organisation, over all boxes together.

    :param rate: units a second; 0 means no limit.
    :param burst: units in addition to the rate, in any window.
    :param unit: ``tokens`` or ``requests``.
    :param default_tokens: tokens to count for a request that does not state its tokens.
    """

    rate: float = 0.0
    burst: float = 0.0
    unit: str = REQUESTS
    default_tokens: int = 0

    def cost(self, tokens: int | None) -> float:
        """Return the units that a request counts for.

        :param tokens: of its prompt and the limit of its answer together; None if not stated.
        """
        if self.unit != TOKENS:
            return 1.0
        return float(self.default_tokens if tokens is None else tokens)

    def max_units(self, window_s: float) -> float:
        """Return the most units that may run within any window; infinite without a limit."""
        return self.rate * window_s + self.burst if self.rate > 0.0 else float("inf")


class Organisation(t.NamedTuple):
    """One organisation of a configuration.

    :param digests: of its keys, see :func:`digest_of`; empty if all were revoked.
    :param rank: overrides the rank of a request's route; None to use that of the route.
    """

    name: str
    digests: tuple[str, ...] = ()
    allotment: Allotment = Allotment()
    rank: int | None = None


class Directory(t.NamedTuple):
    """All organisations of one configuration, by name and by the digests of their keys."""

    by_name: t.Mapping[str, Organisation]
    by_digest: t.Mapping[str, Organisation]

    def find(self, digest: str) -> Organisation | None:
        """Return the organisation of a key, by the key's digest.

        A plain lookup is safe: the digests are SHA-256, so timing that depends on how much of two
        digests is equal reveals nothing about a key.
        """
        return self.by_digest.get(digest)


def make_directory(organisations: t.Iterable[Organisation]) -> Directory:
    """Index organisations.

    :raises ValueError: if two organisations have the same name or the same key.
    """
    by_name: dict[str, Organisation] = {}
    by_digest: dict[str, Organisation] = {}
    for one in organisations:
        if one.name in by_name:
            raise ValueError(f"organisation {one.name!r} is declared twice")
        by_name[one.name] = one
        for digest in one.digests:
            if by_digest.setdefault(digest, one) is not one:
                other = by_digest[digest].name
                raise ValueError(f"organisations {other!r} and {one.name!r} have one key")
    return Directory(by_name, by_digest)


def digest_of(key: bytes) -> str:
    """Return the digest that identifies a key."""
    return hashlib.sha256(key).hexdigest()
