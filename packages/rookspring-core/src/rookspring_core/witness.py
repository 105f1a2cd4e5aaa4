"""What the checks of invariants remember of endpoints' words, apart from the handlers."""

import collections
import typing as t

from . import defaults
from . import notices
from .exceptions import InvariantBroken

if t.TYPE_CHECKING:
    from .events import EndpointSaid

# Shorter than the handlers remember: what they may forget can't be held against them.
REMEMBERED_S = notices.LEAVING_KEPT_S / 2.0
# A life, by its endpoint and its start.
Life = tuple[str, int]


class ToldWitness:
    """Which lives said to this node that they leave or want rest, and when."""

    def __init__(self) -> None:
        self._leaving: dict[Life, float] = {}
        self._rests: dict[Life, float] = {}

    def note(self, event: "EndpointSaid") -> None:
        """Remember what an endpoint said of itself."""
        if event.notice.life not in ("", event.endpoint):
            return
        life = (event.endpoint, event.born)
        if event.notice.leaving:
            self._leaving.setdefault(life, event.at)
        rest_s = event.notice.rest_s
        if event.notice.turned_away and rest_s:
            until = event.at + min(rest_s, notices.REST_MAX_S)
            self._rests[life] = max(until, self._rests.get(life, until))
        self._bound(event.at)

    def _bound(self, now: float) -> None:
        oldest = now - REMEMBERED_S
        while self._leaving and next(iter(self._leaving.values())) < oldest:
            del self._leaving[next(iter(self._leaving))]
        if len(self._rests) > notices.NOTICES_MAX:
            self._rests = {life: until for life, until in self._rests.items() if until > now}

    def find_fault(self, endpoint: str, born: int, now: float, late_s: float) -> str:
        """Say why a life is to get nothing; empty where it may.

        :param late_s: how long what is on its way may take, in seconds.
        """
        said_at = self._leaving.get((endpoint, born), now)
        if late_s < now - said_at < REMEMBERED_S:
            return f"{endpoint} said {now - said_at:.2f} s ago that it leaves"
        until = self._rests.get((endpoint, born), now)
        if until > now and late_s == 0.0:
            return f"{endpoint} wants rest for {until - now:.2f} s yet"
        return ""


# Over how long the requests that an endpoint was granted are counted, in seconds.
RATE_WINDOW_S = 4.0


class RateWitness:
    """Counts what an owner gives of an endpoint's rate, apart from what decides it."""

    def __init__(self) -> None:
        self._given: collections.deque[tuple[float, float]] = collections.deque()

    def note(self, now: float, rate: float) -> None:
        """Count a turn.

        :raises InvariantBroken: where the window holds more than the rates in it allow.
        """
        self._given.append((now, rate))
        while now - self._given[0][0] > RATE_WINDOW_S:
            self._given.popleft()
        highest = max(one for _, one in self._given)
        most = highest * (RATE_WINDOW_S + defaults.TURNS_IN_HAND_S) + defaults.TURNS_IN_HAND
        if len(self._given) > most + 1e-6:
            text = f"{len(self._given)} in {RATE_WINDOW_S} s, where {most:.1f} are allowed"
            raise InvariantBroken("request-rate", text)

    def forget(self, at: float) -> None:
        """Count a turn no more that was given at a moment and not used."""
        for place, (given_at, _) in enumerate(self._given):
            if given_at == at:
                del self._given[place]
                return
