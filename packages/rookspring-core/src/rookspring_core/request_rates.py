"""How many requests a second endpoints say they take from all nodes together.

An endpoint in need names a rate in its answers, which holds for as long as it says so: an answer
of the same life without one ends it, a different figure replaces it. Every node is to know it,
since the bound is on the sum of what all of them send; :mod:`slot_queues` keeps that sum.

Words cross: heads of streams that began long ago, late answers, what other nodes tell. A word is
newer than another where its request left after the other was heard, by this node's clock; where
that can't be told, the stricter one holds, and the next answer settles it. Between nodes words
carry versions in place of times: whoever learns something newer counts one on. Of two of one
version the stricter holds.
"""

import typing as t

from . import defaults
from .mixing import mix
from .notices import LEAVING_KEPT_S
from .notices import NOTICES_MAX
from .notices import same_life

# The least rate that is kept: an endpoint that names none at all gets one request in so long,
# whose answer tells when it takes more.
RATE_LEAST_PER_S = 0.1
# From here on a rate binds nothing: the busiest endpoints of the largest deployment get some
# tens of requests a second (34,000 over 7,100 endpoints), and their slots bound them besides.
RATE_MOST_PER_S = 1_000.0
# A node that heard a rate named so lately does not believe another that it has ceased.
RATE_HEARD_S = 1.0


class RateWord(t.NamedTuple):
    """What is known of the rate that a life of an endpoint names.

    :param born: the life's start, as endpoints tell it; 0 where that is not known.
    :param rate: in requests a second; None where it names none any more.
    """

    endpoint: str
    born: int
    version: int
    rate: float | None


class _Known:
    """A word, when this node last learnt its figure, and when an answer to it last named any."""

    __slots__ = ("heard_at", "learnt_at", "word")

    def __init__(self, word: RateWord, learnt_at: float, heard_at: float) -> None:
        self.word = word
        self.learnt_at = learnt_at
        self.heard_at = heard_at


class RateTable:
    """The rates that endpoints name, by their lives, merged from what all nodes hear."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        # Last lives that tell an earlier start than the ones before; see :mod:`lives`.
        self._sure: dict[str, int] = {}
        self._expired_at = -1e9
        self._digest: int | None = None

    def name(
        self, endpoint: str, born: int, rate: float, asked_at: float | None, now: float
    ) -> tuple[RateWord, ...]:
        """Take that an answer names a rate; gives what is news to others.

        :param asked_at: when the request left that it answers; None where that is not known.
        """
        named = None if rate >= RATE_MOST_PER_S else max(rate, RATE_LEAST_PER_S)
        if named is None:
            return self.cease(endpoint, born, asked_at)
        known = self._of_life(endpoint, born)
        if known is None:
            return self._keep(RateWord(endpoint, born, 1, named), now, now)
        before = known.word.rate
        known.heard_at = now
        if before is not None and named > before and not _after(asked_at, known.learnt_at):
            return ()
        known.learnt_at = now
        if named == before:
            return ()
        return self._keep(known.word._replace(version=known.word.version + 1, rate=named), now, now)

    def cease(self, endpoint: str, born: int, asked_at: float | None) -> tuple[RateWord, ...]:
        """Take that an answer names no rate; gives what is news to others."""
        known = self._of_life(endpoint, born)
        if known is None or known.word.rate is None or not _after(asked_at, known.learnt_at):
            return ()
        word = known.word._replace(version=known.word.version + 1, rate=None)
        return self._keep(word, known.learnt_at, -1e9)

    def merge(self, rows: t.Iterable[RateWord], now: float) -> "Merged":
        """Merge what another node knows."""
        news: list[RateWord] = []
        denied: list[RateWord] = []
        for one in rows:
            known = self._known.get(one.endpoint)
            if self._sure.get(one.endpoint, one.born) != one.born:
                # Of a life before: word of it comes round late.
                continue
            if known is not None and _rank(one) <= _rank(known.word):
                continue
            if known is not None and self._doubts(known, one, now):
                again = known.word._replace(version=one.version + 1)
                denied += self._keep(again, now, known.heard_at)
            else:
                news += self._keep(one, now, -1e9)
        return Merged(tuple(news), tuple(denied))

    def _doubts(self, known: _Known, one: RateWord, now: float) -> bool:
        """Say whether this node has just heard named what another takes to have ceased."""
        if one.rate is not None or known.word.rate is None or one.born != known.word.born:
            return False
        return now - known.heard_at < RATE_HEARD_S

    def _keep(self, word: RateWord, learnt_at: float, heard_at: float) -> tuple[RateWord, ...]:
        self._known[word.endpoint] = _Known(word, learnt_at, heard_at)
        while len(self._known) > NOTICES_MAX:
            del self._known[next(iter(self._known))]
        self._digest = None
        return (word,)

    def _of_life(self, endpoint: str, born: int) -> _Known | None:
        known = self._known.get(endpoint)
        return known if known is not None and same_life(known.word.born, born) else None

    def rate_of(self, endpoint: str, born: int) -> float | None:
        """Give the rate that a life names, in requests a second; None where it names none."""
        known = self._of_life(endpoint, born)
        return known.word.rate if known is not None else None

    def begin(self, endpoint: str, born: int, sure: bool) -> None:
        """Take that another life has begun: what earlier ones named ends with them.

        :param sure: it is the last one, though it tells an earlier start.
        """
        if sure:
            self._sure[endpoint] = born
            while len(self._sure) > NOTICES_MAX:
                del self._sure[next(iter(self._sure))]
        known = self._known.get(endpoint)
        if known is not None and known.word.born != born:
            del self._known[endpoint]
            self._digest = None

    def tick(self, now: float, there: t.Container[str]) -> None:
        """Forget endpoints that are gone, now and then.

        :param there: names of the endpoints that are known.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return
        self._expired_at = now
        late = [
            name
            for name, one in self._known.items()
            if name not in there and now - one.learnt_at > LEAVING_KEPT_S
        ]
        for name in late:
            del self._known[name]
            self._digest = None

    def whole(self) -> tuple[RateWord, ...]:
        """Give all that another node is to know."""
        return tuple(one.word for one in self._known.values())

    def digest(self) -> int:
        """Give a number that is the same on nodes that know the same."""
        if self._digest is None:
            found = 0
            for one in self.whole():
                found ^= mix("rate", f"{one.endpoint}/{one.born}/{one.version}/{one.rate}")
            self._digest = found
        return self._digest


class Merged(t.NamedTuple):
    """What came of merging: news to pass on, and what whoever told it is to be told."""

    news: tuple[RateWord, ...]
    denied: tuple[RateWord, ...]


def _after(asked_at: float | None, learnt_at: float) -> bool:
    """Say whether an answer is surely newer than what was learnt at a moment."""
    return asked_at is not None and asked_at > learnt_at


def _rank(word: RateWord) -> tuple[int, int, bool, float]:
    """Order words: by life, by version, and of one version the stricter last."""
    return word.born, word.version, word.rate is not None, -(word.rate or 0.0)
