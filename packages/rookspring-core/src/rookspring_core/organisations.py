"""Organisations: whose a request is, by its key, and how much each may run.

A key is known by its digest alone: the key itself is let go as soon as it is read, so
that no log line, metric or message between nodes can tell it.
"""

import hashlib
import typing as t

TOKENS = "tokens"
REQUESTS = "requests"


class Allotment(t.NamedTuple):
    """How much an organisation may run, over all boxes together.

    :param rate: units a second; 0 means that there is no limit.
    :param burst: units beyond the rate, in any window.
    :param unit: ``tokens`` or ``requests``.
    :param plain_tokens: what a request counts for that tells no tokens.
    """

    rate: float = 0.0
    burst: float = 0.0
    unit: str = REQUESTS
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> float:
        """Give what a request counts for.

        :param tokens: of its prompt and the most of its answer; None where it tells none.
        """
        if self.unit != TOKENS:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)

    def most(self, window_s: float) -> float:
        """Give the most that may run within any window; infinite without a limit."""
        return self.rate * window_s + self.burst if self.rate > 0.0 else float("inf")


class Organisation(t.NamedTuple):
    """One organisation of a configuration.

    :param digests: of its keys, as :func:`digest_of` gives them; it may have none left.
    :param rank: goes before that of a request's route; None where it has none.
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
        """Give the organisation that holds a key, by the key's digest.

        The digests are of SHA-256, so how far two of them are alike tells nothing of a key.
        """
        return self.by_digest.get(digest)


def make_directory(organisations: t.Iterable[Organisation]) -> Directory:
    """Index organisations.

    :raises ValueError: where two have one name or one key.
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
    """Give the digest by which a key is known."""
    return hashlib.sha256(key).hexdigest()
