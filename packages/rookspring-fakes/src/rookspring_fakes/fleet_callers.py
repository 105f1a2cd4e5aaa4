"""Callers of a fleet, whose requests end endpoints or are broken off when these end.

Tests and experiments use it: one request may end each endpoint that runs it, endpoints may end
for no request's sake, and whoever was broken off comes again, with the same request.
"""

import functools
import itertools
import random
import typing as t

from rookspring_core.effects import Refuse
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms

from .fleet import Fleet
from .fleet import FleetPlan
from .fleet_runners import FleetRunners

# A caller of what has failed comes again after so long, in seconds.
AGAIN_S = 0.7
# How long nodes have run before the first request comes, in seconds.
SETTLED_S = 8.0
# A caller whose request was not heard of for so long has its answer, in seconds.
ANSWERED_S = 5.0
# The request that ends what runs it, and how long its caller waits between two times, in seconds.
FATAL = "fatal"
FATAL_EVERY_S = (0.3, 4.0)


class FleetCallers:
    """Requests to a fleet's nodes, and what became of each."""

    def __init__(self, nodes: int, endpoints: int = 12) -> None:
        self.fleet = Fleet(FleetPlan(nodes, data_centres=3, endpoints=endpoints))
        self.fleet.run(SETTLED_S)
        self._numbers = itertools.count(1)

    @property
    def runners(self) -> FleetRunners:
        """The fleet's endpoints."""
        return self.fleet.runners

    def names(self) -> list[str]:
        """Name the nodes that run."""
        return [node.name for node in self.fleet.live()]

    def send(self, name: str, fingerprint: str, repeatable: bool = False, attempts: int = 1) -> str:
        """Have a request come to a node; gives its key."""
        key = f"q{next(self._numbers)}"
        node = self.fleet.nodes[name]
        now = self.fleet.now
        arrived = RequestArrived(
            at=now,
            request_id=key,
            team="",
            target="m",
            deadline_at=now + 15.0,
            tokens=100,
            repeatable=repeatable,
            stream=True,
            route=RouteTerms("r", "llm", 1, 1, attempts, 0.5, 1.0),
            fingerprint=fingerprint,
        )
        with self.fleet.running():
            self.fleet.hand(node, lambda: node.submit(arrived))
        return key

    def refusal(self, key: str) -> Refuse | None:
        """Give how a request was refused, if it was."""
        found = [one for _, one in self.fleet.refusals if one.request_id == key]
        return found[0] if found else None

    def third_end(self, fingerprint: str) -> float:
        """Give when the third process ended under a request."""
        return [one.at for one in self.runners.ended if fingerprint in one.fingerprints][2]


class Coming(t.NamedTuple):
    """A caller who comes again at a moment, should its request have been broken off."""

    at: float
    key: str
    fingerprint: str
    again: int


class EndsDay(t.NamedTuple):
    """What happens on a day of ends.

    :param ends: processes that end for no request's sake.
    :param seconds: how long requests come.
    :param rate: requests a second.
    :param again: how often a caller comes again whose request was broken off.
    :param lasts_s: how long requests run, from least to most, in seconds.
    :param fatal: one request comes again and again that ends what runs it.
    """

    ends: int = 40
    seconds: int = 80
    rate: int = 20
    again: int = 1
    lasts_s: tuple[float, float] = (0.3, 3.0)
    fatal: bool = False


class EndsPlayed:
    """A played day of ends."""

    def __init__(self, day: EndsDay, seed: int = 1, nodes: int = 8, weigh: str = "") -> None:
        self._day = day
        self._random = random.Random(seed)
        self._waiting: list[Coming] = []
        self.came_again = 0
        self.callers = FleetCallers(nodes)
        if weigh:
            for node in self.callers.fleet.nodes.values():
                node.state.suspects.use(weigh)
        self._plan_ends()
        self._play()

    def _plan_ends(self) -> None:
        fleet = self.callers.fleet
        for _ in range(self._day.ends):
            at = fleet.now + self._random.uniform(0.0, self._day.seconds)
            name = f"e{self._random.randrange(fleet.plan.endpoints)}"
            fleet.at(at, functools.partial(self.callers.runners.end, name))
        if self._day.fatal:
            self.callers.runners.fatal.add(FATAL)
            fleet.at(fleet.now + 1.0, self._send_fatal)

    def _send_fatal(self) -> None:
        fleet = self.callers.fleet
        self.callers.send(self._random.choice(self.callers.names()), FATAL)
        fleet.at(fleet.now + self._random.uniform(*FATAL_EVERY_S), self._send_fatal)

    def _play(self) -> None:
        day = self._day
        fleet = self.callers.fleet
        for number in range(day.seconds * day.rate):
            fingerprint = f"f{number}"
            self.callers.runners.lasts[fingerprint] = self._random.uniform(*day.lasts_s)
            self._send(fingerprint, day.again)
            fleet.run(1.0 / day.rate)
            self._come_again()

    def _send(self, fingerprint: str, again: int) -> None:
        key = self.callers.send(self._random.choice(self.callers.names()), fingerprint)
        at = self.callers.fleet.now + AGAIN_S
        self._waiting.append(Coming(at, key, fingerprint, again))

    def _come_again(self) -> None:
        """Have those come again whose request was broken off, once their time has come."""
        now = self.callers.fleet.now
        broken = {one for ended in self.callers.runners.ended for one in ended.fingerprints}
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            failed = one.fingerprint in broken and self.callers.refusal(one.key) is not None
            if one.at <= now and failed and one.again:
                self.came_again += 1
                self._send(one.fingerprint, one.again - 1)
            elif one.at + ANSWERED_S > now:
                self._waiting.append(one)

    def condemned(self) -> set[str]:
        """Name the innocent requests on which there was a verdict at any node."""
        found: set[str] = set()
        for node in self.callers.fleet.live():
            verdicts = node.state.suspects.verdicts(self.callers.fleet.now)
            found.update(one.fingerprint for one in verdicts)
        return found - {FATAL}

    def broken_off(self) -> int:
        """Count the innocent requests that were broken off by ends under the fatal one."""
        ended = [one for one in self.callers.runners.ended if FATAL in one.fingerprints]
        return sum(len(one.fingerprints) - 1 for one in ended)
