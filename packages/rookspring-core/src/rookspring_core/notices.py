"""What endpoints say of themselves on the way of a request, and what is kept of it.

The head of an answer tells of the request, and of the endpoint as well: that it leaves, that
it wants rest, that another process has its address. An attempt's outcome is made of the first
part alone, so the second goes its own way, ahead of it and whatever becomes of the attempt.

It is kept by the life of the process that said it, apart from the view of its endpoint: a view
ends with an entry that lapses, and one that is made anew would begin as one that stays.
"""

import typing as t

from . import defaults
from .mixing import mix

# How long it is remembered that a life leaves which is on no list any more. One that leaves
# ends within seconds, at most a minute or so; its entry may come back late, as the store does.
LEAVING_KEPT_S = 600.0
# Lives that leave, and lives at rest, that are remembered: more than there are endpoints in
# the largest deployment (7,100).
NOTICES_MAX = 10_000
# The longest rest that is granted. No page names one; whoever asks for more errs in the unit,
# and would be lost to this node for good.
REST_MAX_S = 3600.0
# What a refusal without a time is taken to ask for: what sheds looks empty, and would be chosen
# again at once.
REST_UNTOLD_S = 0.25
# What a node adds to the load of an endpoint that turned another node's request away, in parts of
# its slots, and for how long at most. Rest is asked of one node; the others only prefer what has
# not shed.
SHED_LOAD = 0.5
SHED_TOLD_S = 3.0


class Notice(t.NamedTuple):
    """What the head of an endpoint's answer says of the endpoint.

    :param life: the process that answers, where it is told.
    :param leaving: it leaves, and is to get nothing new.
    :param turned_away: it had no room for what was asked.
    :param rest_s: it wants nothing from this node for so long, in seconds; None where it tells
        no time that can be read.
    :param misdirected: what was asked is not there, or another process answers.
    :param rate: the requests a second that it takes from all nodes together while it says
        so; None where it names none, or none that can be read.
    :param names_rate: it names one, whether it can be read or not.
    :param malformed: a header that can't be read, with its value.
    """

    life: str = ""
    leaving: bool = False
    turned_away: bool = False
    rest_s: float | None = None
    misdirected: bool = False
    rate: float | None = None
    names_rate: bool = False
    malformed: str = ""

    def says_nothing(self) -> bool:
        """Say whether the head told nothing of the endpoint but, maybe, its name."""
        return self._replace(life="") == NOTHING

    def asked_rest_s(self) -> float:
        """Give how long it is to get nothing from this node, in seconds; 0 for no rest."""
        if not self.turned_away:
            return 0.0
        return REST_UNTOLD_S if self.rest_s is None else min(self.rest_s, REST_MAX_S)


NOTHING = Notice()


class Leaving(t.NamedTuple):
    """A life that leaves.

    :param born: its start, as endpoints tell it; 0 where that is not known.
    :param at: when it said so, by this node's clock.
    """

    endpoint: str
    born: int
    at: float


class Rest(t.NamedTuple):
    """A life that wants nothing from this node until a moment of this node's clock."""

    born: int
    until: float


def same_life(born: int, other: int) -> bool:
    """Say whether two starts may be of one life; one that is not known may be any."""
    return born == other or 0 in (born, other)


class NoticeTable:
    """What endpoints have said of themselves, by their lives.

    That one leaves is a fact, which nodes tell each other; it is merged by its life, so it may
    come in any order and as often as it likes. Rest is asked of one node, and stays with it.
    """

    def __init__(self) -> None:
        self._leaving: dict[str, Leaving] = {}
        self._rests: dict[str, Rest] = {}
        # Last lives that tell an earlier start than the ones before; see :mod:`lives`.
        self._sure: dict[str, int] = {}
        self._expired_at = -1e9
        self._digest: int | None = None

    def take_leaving(self, rows: t.Iterable[Leaving], now: float) -> tuple[Leaving, ...]:
        """Merge lives that leave; gives those that are news."""
        news = tuple(one for one in rows if self._take(one, now))
        if news:
            self._digest = None
        return news

    def _take(self, one: Leaving, now: float) -> bool:
        known = self._leaving.get(one.endpoint)
        if now - one.at > LEAVING_KEPT_S:
            return False
        if known is not None and known.born >= one.born:
            return False
        if self._sure.get(one.endpoint, one.born) != one.born:
            # Of a life before: word of it comes round late.
            return False
        self._leaving[one.endpoint] = one
        _bound(self._leaving)
        return True

    def take_rest(self, endpoint: str, born: int, until: float) -> None:
        """Take that a life wants rest; of two times the later holds."""
        known = self._rests.get(endpoint)
        if known is not None and same_life(known.born, born):
            until = max(until, known.until)
        self._rests[endpoint] = Rest(born, until)
        _bound(self._rests)

    def begin(self, endpoint: str, born: int, sure: bool) -> None:
        """Take that another life has begun: what earlier ones said ends with them.

        :param sure: it is the last one, though it tells an earlier start.
        """
        if sure:
            self._sure[endpoint] = born
            _bound(self._sure)
        known = self._leaving.get(endpoint)
        if known is not None and known.born != born:
            del self._leaving[endpoint]
            self._digest = None
        self._rests.pop(endpoint, None)

    def leaves(self, endpoint: str, born: int) -> bool:
        """Say whether a life, or a later one of its endpoint, has said that it leaves."""
        known = self._leaving.get(endpoint)
        return known is not None and (same_life(known.born, born) or known.born > born)

    def rests_until(self, endpoint: str, born: int) -> float:
        """Give until when a life wants nothing from this node."""
        known = self._rests.get(endpoint)
        return known.until if known is not None and same_life(known.born, born) else -1e9

    def tick(self, now: float, there: t.Container[str]) -> None:
        """Forget what is over, now and then; what is listed yet is kept.

        :param there: names of the endpoints that are known.
        """
        if now - self._expired_at < defaults.EXPIRE_EVERY_S:
            return
        self._expired_at = now
        self._rests = {name: one for name, one in self._rests.items() if one.until > now}
        late = [
            name
            for name, one in self._leaving.items()
            if now - one.at > LEAVING_KEPT_S and name not in there
        ]
        for name in late:
            del self._leaving[name]
        self._digest = None

    def whole(self, now: float) -> tuple[Leaving, ...]:
        """Give all lives that another node is to know as leaving."""
        return tuple(one for one in self._leaving.values() if now - one.at <= LEAVING_KEPT_S)

    def digest(self, now: float) -> int:
        """Give a number that is the same on nodes that know the same lives as leaving."""
        if self._digest is None:
            found = 0
            for one in self.whole(now):
                found ^= mix("leaving", f"{one.endpoint}/{one.born}")
            self._digest = found
        return self._digest


K = t.TypeVar("K")


def _bound(table: dict[str, K]) -> None:
    """Let the oldest go where there are too many."""
    while len(table) > NOTICES_MAX:
        del table[next(iter(table))]
