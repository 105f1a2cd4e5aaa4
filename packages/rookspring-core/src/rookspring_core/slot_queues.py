"""The slots of a plain service's endpoints, given out by one node for all.

A plain service has a few endpoints of a few slots each, and runs that are shorter than the
heartbeats by which nodes learn of each other's work. Left to themselves 69 nodes sent 30
requests to endpoints of 6 slots, which took 0.35 s in place of 0.06 s and turned the rest
away. So one node, the service's *owner*, gives each request a slot, by rank, and within a rank to
organisations in turn, and refuses at once what can't be answered within its objective.

It answers overload: what is served is served in time, and the rest is told so before it
waits. See ``docs/design/shifted.md`` for the other way and the figures.
"""

import heapq
import itertools
import typing as t

from . import defaults


class SlotAsk(t.NamedTuple):
    """A request that needs a slot.

    :param origin: the node that it came to; ``key`` is its name there.
    :param rank: 0 is the most urgent, and goes first.
    :param organisation: whose it is; within a rank they take turns.
    :param wait_s: how long it may wait and be in time yet, with nothing for its run.
    :param avoid: the endpoint that it failed at.
    """

    origin: str
    key: str
    rank: int
    organisation: str
    wait_s: float
    avoid: str = ""


class SlotAnswer(t.NamedTuple):
    """What becomes of a request that needs a slot.

    :param endpoint: where it has one; empty where it waits or is refused.
    :param after_s: when to come back where it is refused, in seconds; else 0.
    """

    origin: str
    key: str
    endpoint: str = ""
    after_s: float = 0.0


class SlotEndpoint(t.NamedTuple):
    """An endpoint that takes work, and how many requests run there at once."""

    name: str
    slots: int


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

    __slots__ = ("grants", "run_s")

    def __init__(self) -> None:
        self.grants: dict[tuple[str, str], float] = {}
        self.run_s = defaults.SLOT_RUN_S

    def note(self, took_s: float) -> None:
        self.run_s += (took_s - self.run_s) * defaults.SLOT_RUN_GAIN


class SlotQueue:
    """Slots and waiting requests of one service, or of a part of its endpoints."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _Served] = {}
        self._open: dict[str, int] = {}
        self._heap: list[_Waiting] = []
        self._numbers = itertools.count()
        # The turn that was served last, and each organisation's next one.
        self._turn = 0.0
        self._next_turns: dict[str, float] = {}

    def run_s(self, endpoint: str) -> float:
        """Give how long a run is taken to last at an endpoint, in seconds."""
        return self._endpoints[endpoint].run_s

    def use(self, endpoints: t.Iterable[SlotEndpoint]) -> None:
        """Take which endpoints take work now."""
        self._open = {one.name: limit_of(one.slots) for one in endpoints}
        for name in self._open:
            self._endpoints.setdefault(name, _Served())
        for name in set(self._endpoints) - set(self._open):
            if not self._endpoints[name].grants:
                del self._endpoints[name]

    def ask(self, ask: SlotAsk, now: float) -> list[SlotAnswer]:
        """Take a request: it gets a slot, waits for one, or is refused at once."""
        self._expire(now)
        run_s = self._run_s()
        turn = max(self._turn, self._next_turns.get(ask.organisation, 0.0))
        wait_s = self._wait_s(ask.rank, turn)
        spare_s = ask.wait_s - defaults.SLOT_RUN_MARGIN * run_s
        if not self._open or wait_s > max(0.0, spare_s):
            return [self._refuse(ask, wait_s)]
        self._next_turns[ask.organisation] = turn + 1.0
        until = now + max(0.0, spare_s)
        heapq.heappush(self._heap, _Waiting(ask.rank, turn, next(self._numbers), ask, until))
        answers = self._grant(now)
        if not any(one.key == ask.key and one.origin == ask.origin for one in answers):
            answers.append(SlotAnswer(ask.origin, ask.key))
        return answers

    def free(
        self, endpoint: str, origin: str, key: str, took_s: float, now: float
    ) -> list[SlotAnswer]:
        """Take that a request's run is over; the next one may have its slot.

        :param took_s: how long it took; 0 where nothing ran.
        """
        served = self._endpoints.get(endpoint)
        held = served is not None and served.grants.pop((origin, key), None) is not None
        if served is not None and held and took_s > 0.0:
            served.note(took_s)
        return self.settle(now)

    def settle(self, now: float) -> list[SlotAnswer]:
        """Give free slots, and refuse what has waited for too long."""
        self._expire(now)
        return [*self._grant(now), *self._give_up(now)]

    def _refuse(self, ask: SlotAsk, wait_s: float) -> SlotAnswer:
        least, most = defaults.SLOT_BACK_S
        return SlotAnswer(ask.origin, ask.key, "", min(most, max(least, wait_s)))

    def _grant(self, now: float) -> list[SlotAnswer]:
        answers = []
        while self._heap:
            ask = self._heap[0].ask
            name = self._choose(ask.avoid)
            if name is None:
                break
            self._turn = max(self._turn, heapq.heappop(self._heap).turn)
            self._endpoints[name].grants[(ask.origin, ask.key)] = now
            answers.append(SlotAnswer(ask.origin, ask.key, name))
        return answers

    def _choose(self, avoid: str) -> str | None:
        """Choose the endpoint with a free slot at which a run is over soonest."""
        free = {
            name: self._endpoints[name].run_s * (1.0 + len(self._endpoints[name].grants) / limit)
            for name, limit in self._open.items()
            if len(self._endpoints[name].grants) < limit
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
        return [self._refuse(one.ask, self._wait_s(one.rank, one.turn)) for one in late]

    def _expire(self, now: float) -> None:
        """Take back slots of which nothing was heard: their node is gone or cut off."""
        for served in self._endpoints.values():
            old = [key for key, at in served.grants.items() if now - at > defaults.SLOT_LEASE_S]
            for key in old:
                del served.grants[key]

    def _run_s(self) -> float:
        """Give how long a run takes, over the endpoints that are open."""
        times = [self._endpoints[name].run_s for name in self._open]
        return sum(times) / len(times) if times else defaults.SLOT_RUN_S

    def _wait_s(self, rank: int, turn: float) -> float:
        """Predict how long a request of a rank and turn waits for a slot, in seconds."""
        if self._choose("") is not None and not self._heap:
            return 0.0
        ahead = 1 + sum(1 for one in self._heap if (one.rank, one.turn) <= (rank, turn))
        pace = sum(limit / self._endpoints[name].run_s for name, limit in self._open.items())
        return ahead / pace if pace > 0.0 else float("inf")


def limit_of(slots: int) -> int:
    """Give how many requests an endpoint gets at once: so that its slots are never idle."""
    return slots + max(1, round(slots * defaults.SLOT_AHEAD_SHARE))
