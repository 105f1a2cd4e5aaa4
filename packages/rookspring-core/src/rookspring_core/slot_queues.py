"""Slots: leave to send one request to an endpoint, given out by one node for all.

A plain service has a few endpoints of a few slots each, and runs that are shorter than the
heartbeats by which nodes learn of each other's work. Left to themselves 69 nodes sent 30
requests to endpoints of 6 slots, which took 0.35 s in place of 0.06 s and turned the rest
away. So one node, the service's *owner*, gives each request a slot, by rank, and within a rank to
organisations in turn, and refuses at once what can't be answered within its objective.

It answers overload: what is served is served in time, and the rest is told so before it
waits. See ``docs/design/shifted.md`` for the other way and the figures.

An endpoint that names how many requests a second it takes from all nodes together gets no more
of them than its owner has given slots for, be it one of a plain service or a model runner, which
has a queue of its own. Nodes that each kept to the rate, or to a part of it, would pass the
bound or serve nothing: see ``docs/design/request-rates.md``.
"""

import heapq
import itertools
import typing as t

from . import defaults
from .rate_buckets import RateBucket
from .witness import RateWitness


class SlotAsk(t.NamedTuple):
    """A request that needs a slot.

    :param origin: the node that it came to; ``key`` is its name there.
    :param rank: 0 is the most urgent, and goes first.
    :param organisation: whose it is; within a rank they take turns.
    :param wait_s: how long it may wait and be in time yet, with nothing for its run.
    :param avoid: the endpoint that it failed at.
    :param rate: the requests a second that the endpoint names, as the origin knows it; None
        where it asks for any of a service.
    """

    origin: str
    key: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str = ""
    rate: float | None = None


class SlotAnswer(t.NamedTuple):
    """What becomes of a request that needs a slot.

    :param endpoint: where it has one; empty where it waits or is refused.
    :param after_s: when to come back where it is refused, in seconds; else 0.
    :param rated: the slot counts towards the requests a second that the endpoint takes.
    :param stay_s: how long its node is to use other endpoints, if there are any, in seconds.
    :param blind: it is refused as its owner knows no endpoint that takes work; its own node
        may.
    """

    origin: str
    key: str
    endpoint: str = ""
    after_s: float = 0.0
    rated: bool = False
    stay_s: float = 0.0
    blind: bool = False


class SlotEndpoint(t.NamedTuple):
    """An endpoint that takes work.

    :param slots: how many requests run there at once; 0 where that is no matter here.
    :param rate: how many requests it takes a second; None where it names none.
    """

    name: str
    slots: int
    rate: float | None = None


class _Grant(t.NamedTuple):
    """A slot that was given, when, and the turns that its endpoint had in hand before."""

    at: float
    before: float


class _Waiting(t.NamedTuple):
    """A request that waits; the tuple's order is that of service.

    :param turn: of its organisation, as start-time fair queueing numbers them.
    """

    rank: int
    turn: float
    number: int
    ask: SlotAsk
    until: float


class _Served:
    """What is known of one endpoint: who has its slots, and how long runs take there."""

    __slots__ = ("bucket", "grants", "run_s", "witness")

    def __init__(self) -> None:
        self.grants: dict[tuple[str, str], _Grant] = {}
        self.run_s = defaults.SLOT_RUN_S
        # Where it names a rate; and what the check of the sum remembers.
        self.bucket: RateBucket | None = None
        self.witness = RateWitness()

    def note(self, took_s: float) -> None:
        self.run_s += (took_s - self.run_s) * defaults.SLOT_RUN_GAIN

    def use_rate(self, rate: float | None, opens_at: float, now: float) -> None:
        """Take the rate that it names; one that names it anew begins with nothing in hand."""
        if rate is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = RateBucket(rate, max(opens_at, now))
        else:
            self.bucket.use(rate, now)

    def give(self, key: tuple[str, str], now: float) -> None:
        before = 0.0
        if self.bucket is not None:
            before = self.bucket.take(now)
            self.witness.note(now, self.bucket.rate)
        self.grants[key] = _Grant(now, before)

    def put_back(self, grant: _Grant, now: float) -> None:
        """Take back a slot with which nothing was sent."""
        if self.bucket is None:
            return
        self.witness.forget(grant.at)
        if not self.bucket.put_back(grant.before, grant.at, now):
            return
        # What was given since was given with one more in hand.
        for key, one in self.grants.items():
            if one.at >= grant.at:
                self.grants[key] = one._replace(before=one.before + 1.0)


class _Askers:
    """Which nodes have asked for turns lately, and for how long each is to use other endpoints.

    That is a part of the time that the others need to have their turns: of 195 nodes that asked
    whenever they could each would ask for each turn, and one would get it. The part falls while
    turns lie in hand that nobody asks for, and rises with each that asks in vain.
    """

    def __init__(self) -> None:
        self._asked: dict[str, float] = {}
        self._share = defaults.TURN_STAY_SHARE

    def stay_s(self, origin: str, rate: float, turns: float, now: float) -> float:
        """Give how long a node is to use other endpoints, in seconds.

        :param turns: in hand when it asked.
        """
        if turns < 1.0:
            self._share = min(defaults.TURN_STAY_SHARE, self._share * defaults.TURN_STAY_RISE)
        elif turns >= defaults.TURNS_IN_HAND:
            self._share = max(defaults.TURN_STAY_LEAST, self._share * defaults.TURN_STAY_FALL)
        self._asked.pop(origin, None)
        self._asked[origin] = now
        kept_s = max(defaults.TURN_ASKERS_S, 2.0 * len(self._asked) / rate)
        while now - next(iter(self._asked.values())) > kept_s:
            del self._asked[next(iter(self._asked))]
        share_s = len(self._asked) / rate * self._share
        return min(defaults.TURN_STAY_MOST_S, share_s)


class SlotQueue:
    """Slots and waiting requests of one service, of a part of its endpoints, or of one endpoint."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _Served] = {}
        # How many each that takes work gets at once.
        self._open: dict[str, float] = {}
        self._askers = _Askers()
        # The rate of its one endpoint, as whoever asked last knew it.
        self.asked_rate: float | None = None
        self._since = -1e9
        # The latest time to which a caller was told to come back.
        self._told_until = -1e9
        self._heap: list[_Waiting] = []
        self._numbers = itertools.count()
        # The turn that was served last, and each organisation's next one.
        self._turn = 0.0
        self._next_turns: dict[str, float] = {}

    def run_s(self, endpoint: str) -> float:
        """Give how long a run is taken to last at an endpoint, in seconds."""
        return self._endpoints[endpoint].run_s

    def idle(self) -> bool:
        """Say whether nobody waits."""
        return not self._heap

    def use(
        self, endpoints: t.Iterable[SlotEndpoint], since: float = -1e9, now: float = 0.0
    ) -> None:
        """Take which endpoints take work now.

        :param since: since when this node gives them out. Until then, and for as long as two nodes
            may think that they do, another may have given as many requests a second as it
            could; so it begins with none in hand, and not before that is over.
        """
        if since != self._since:
            self._since = since
            for served in self._endpoints.values():
                served.bucket = None
        self._open = {}
        for one in endpoints:
            self._open[one.name] = limit_of(one.slots)
            served = self._endpoints.setdefault(one.name, _Served())
            served.use_rate(one.rate, since + defaults.OWNER_SETTLES_S, now)
        for name in set(self._endpoints) - set(self._open):
            if not self._endpoints[name].grants:
                del self._endpoints[name]

    def ask(self, ask: SlotAsk, now: float) -> list[SlotAnswer]:
        """Take a request: it gets a slot, waits for one, or is refused at once."""
        self._expire(now)
        turn = max(self._turn, self._next_turns.get(ask.organisation, 0.0))
        wait_s = self._wait_s(ask.rank, turn, now)
        spare_s = ask.wait_s
        if ask.rate is None:
            spare_s -= defaults.SLOT_RUN_MARGIN * self._run_s()
        if not self._open or wait_s > max(0.0, spare_s):
            return [self._refuse(ask, wait_s, now)]
        self._next_turns[ask.organisation] = turn + 1.0
        until = now + max(0.0, spare_s)
        heapq.heappush(self._heap, _Waiting(ask.rank, turn, next(self._numbers), ask, until))
        answers = self._grant(now)
        if not any(one.key == ask.key and one.origin == ask.origin for one in answers):
            answers.append(SlotAnswer(ask.origin, ask.key))
        return answers

    def free(
        self,
        endpoint: str,
        origin: str,
        key: str,
        took_s: float,
        now: float,
        unsent: bool = False,
    ) -> list[SlotAnswer]:
        """Take that a request's run is over; the next one may have its slot.

        :param took_s: how long it took; 0 where nothing ran.
        :param unsent: nothing of it was sent.
        """
        served = self._endpoints.get(endpoint)
        grant = served.grants.pop((origin, key), None) if served is not None else None
        if served is not None and grant is not None:
            if took_s > 0.0:
                served.note(took_s)
            if unsent:
                served.put_back(grant, now)
        return self.settle(now)

    def settle(self, now: float) -> list[SlotAnswer]:
        """Give free slots, and refuse what has waited for too long."""
        self._expire(now)
        return [*self._grant(now), *self._give_up(now)]

    def _refuse(self, ask: SlotAsk, wait_s: float, now: float) -> SlotAnswer:
        least, most = defaults.SLOT_BACK_S
        if ask.rate is None:
            after_s = min(most, max(least, wait_s))
            return SlotAnswer(ask.origin, ask.key, "", after_s, blind=not self._open)
        stay_s = self._askers.stay_s(ask.origin, ask.rate, 0.0, now)
        after_s = max(defaults.TURN_AGAIN_S, wait_s)
        if ask.wait_s > 0.0:
            # Its caller is told when a turn is due, each a later one: told the same, all would
            # come back for it.
            due_at = max(now + after_s, self._told_until + 1.0 / ask.rate)
            self._told_until = min(due_at, now + most)
            after_s = max(after_s, self._told_until - now)
        return SlotAnswer(ask.origin, ask.key, "", after_s, False, max(stay_s, wait_s))

    def _grant(self, now: float) -> list[SlotAnswer]:
        answers = []
        while self._heap:
            ask = self._heap[0].ask
            name = self._choose(ask.avoid, now)
            if name is None:
                break
            self._turn = max(self._turn, heapq.heappop(self._heap).turn)
            served = self._endpoints[name]
            served.give((ask.origin, ask.key), now)
            rated = served.bucket is not None
            stay_s = 0.0
            if ask.rate is not None:
                turns = served.grants[(ask.origin, ask.key)].before
                stay_s = self._askers.stay_s(ask.origin, ask.rate, turns, now)
            answers.append(SlotAnswer(ask.origin, ask.key, name, 0.0, rated, stay_s))
        return answers

    def _choose(self, avoid: str, now: float) -> str | None:
        """Choose the endpoint with a free slot at which a run is over soonest."""
        free = {
            name: served.run_s * (1.0 + len(served.grants) / limit)
            for name, limit in self._open.items()
            if len((served := self._endpoints[name]).grants) < limit
            and (served.bucket is None or served.bucket.turns(now) >= 1.0)
        }
        others = [name for name in free if name != avoid]
        return min(others or free, key=free.__getitem__, default=None)

    def _give_up(self, now: float) -> list[SlotAnswer]:
        late = [one for one in self._heap if one.until <= now]
        if late:
            self._heap = [one for one in self._heap if one.until > now]
            heapq.heapify(self._heap)
        if not self._heap:
            # Nobody waits, so nobody is owed a turn.
            self._next_turns.clear()
        return [self._refuse(one.ask, self._wait_s(one.rank, one.turn, now), now) for one in late]

    def _expire(self, now: float) -> None:
        """Take back slots of which nothing was heard: their node is gone or cut off."""
        for served in self._endpoints.values():
            old = [
                key for key, one in served.grants.items() if now - one.at > defaults.SLOT_LEASE_S
            ]
            for key in old:
                del served.grants[key]

    def _run_s(self) -> float:
        """Give how long a run takes, over the endpoints that are open."""
        times = [self._endpoints[name].run_s for name in self._open]
        return sum(times) / len(times) if times else defaults.SLOT_RUN_S

    def _wait_s(self, rank: int, turn: float, now: float) -> float:
        """Predict how long a request of a rank and turn waits for a slot, in seconds."""
        if self._choose("", now) is not None and not self._heap:
            return 0.0
        ahead = 1 + sum(1 for one in self._heap if (one.rank, one.turn) <= (rank, turn))
        pace = sum(self._pace(name) for name in self._open)
        buckets = [self._endpoints[name].bucket for name in self._open]
        rated = [one for one in buckets if one is not None]
        if pace <= 0.0:
            return float("inf")
        if len(rated) < len(buckets):
            return ahead / pace
        return min(one.due_in_s(now) for one in rated) + (ahead - 1) / pace

    def _pace(self, name: str) -> float:
        """Give how many requests a second an endpoint can be given."""
        served = self._endpoints[name]
        pace = self._open[name] / served.run_s
        return pace if served.bucket is None else min(pace, served.bucket.rate)


def limit_of(slots: int) -> float:
    """Give how many requests an endpoint gets at once: so that its slots are never idle."""
    if slots == 0:
        return float("inf")
    return slots + max(1, round(slots * defaults.SLOT_AHEAD_SHARE))
