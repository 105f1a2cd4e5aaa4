"""Callers of a simulated fleet, whose requests crash endpoints or are interrupted by crashes.

For tests and experiments: a fatal request may crash each endpoint that runs it, endpoints may
crash without such a request, and a caller whose request was interrupted may retry it.
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

# The time after which a caller retries a failed request, in seconds.
RETRY_DELAY_S = 0.7
# How long the nodes run before the first request, in seconds.
SETTLED_S = 8.0
# The time after which a request that was not interrupted counts as answered, in seconds.
ANSWERED_S = 5.0
# The fingerprint of the fatal request, and the shortest and longest time between two sends of it,
# in seconds.
FATAL = "fatal"
FATAL_INTERVAL_S = (0.3, 4.0)


class FleetCallers:
    """Sends requests to a fleet's nodes, and looks up their outcomes."""

    def __init__(self, nodes: int, endpoints: int = 12) -> None:
        self.fleet = Fleet(FleetPlan(nodes, data_centres=3, endpoints=endpoints))
        self.fleet.run(SETTLED_S)
        self._numbers = itertools.count(1)

    @property
    def runners(self) -> FleetRunners:
        """The fleet's endpoints."""
        return self.fleet.runners

    def names(self) -> list[str]:
        """Return the names of the nodes that are neither ended nor frozen."""
        return [node.name for node in self.fleet.live()]

    def send(
        self,
        name: str,
        fingerprint: str,
        repeatable: bool = False,
        attempts: int = 1,
        parts: tuple[int, ...] = (),
    ) -> str:
        """Send a request to a node and return its id.

        :param parts: of its prompt, but for the last.
        """
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
            parts=parts,
        )
        self.runners.parts[fingerprint] = parts
        with self.fleet.virtual_clock():
            self.fleet.run_on_node(node, lambda: node.submit(arrived))
        return key

    def refusal(self, key: str) -> Refuse | None:
        """Return the refusal of a request, or None."""
        found = [one for _, one in self.fleet.refusals if one.request_id == key]
        return found[0] if found else None

    def third_crash_at(self, fingerprint: str) -> float:
        """Return when the third process crashed that was running a request."""
        return [one.at for one in self.runners.crashes if fingerprint in one.fingerprints][2]


class SentRequest(t.NamedTuple):
    """A sent request that its caller retries if it was interrupted.

    :param at: the earliest time of the retry.
    :param retries_left: how many retries remain.
    """

    at: float
    key: str
    fingerprint: str
    retries_left: int


class CrashScenario(t.NamedTuple):
    """A scenario in which endpoints crash.

    :param crashes: how many processes crash without a fatal request.
    :param seconds: how long requests are sent.
    :param rate: the number of requests per second.
    :param retries: how often a caller retries an interrupted request.
    :param durations_s: the shortest and the longest run of a request, in seconds.
    :param fatal: whether a request that crashes each process that runs it is sent repeatedly.
    """

    crashes: int = 40
    seconds: int = 80
    rate: int = 20
    retries: int = 1
    durations_s: tuple[float, float] = (0.3, 3.0)
    fatal: bool = False


class CrashRun:
    """One seeded run of a crash scenario, which is over when the constructor returns.

    :param weigh: the name of the function that weighs crash records; the default if empty.
    """

    def __init__(
        self, scenario: CrashScenario, seed: int = 1, nodes: int = 8, weigh: str = ""
    ) -> None:
        self._scenario = scenario
        self._random = random.Random(seed)
        self._pending: list[SentRequest] = []
        self.retried = 0
        self.callers = FleetCallers(nodes)
        if weigh:
            for node in self.callers.fleet.nodes.values():
                node.state.suspects.use(weigh)
        self._schedule_crashes()
        self._play()

    def _schedule_crashes(self) -> None:
        fleet = self.callers.fleet
        for _ in range(self._scenario.crashes):
            at = fleet.now + self._random.uniform(0.0, self._scenario.seconds)
            name = f"e{self._random.randrange(fleet.plan.endpoints)}"
            fleet.at(at, functools.partial(self.callers.runners.end, name))
        if self._scenario.fatal:
            self.callers.runners.fatal.add(FATAL)
            fleet.at(fleet.now + 1.0, self._send_fatal)

    def _send_fatal(self) -> None:
        fleet = self.callers.fleet
        self.callers.send(self._random.choice(self.callers.names()), FATAL)
        fleet.at(fleet.now + self._random.uniform(*FATAL_INTERVAL_S), self._send_fatal)

    def _play(self) -> None:
        scenario = self._scenario
        fleet = self.callers.fleet
        for number in range(scenario.seconds * scenario.rate):
            fingerprint = f"f{number}"
            self.callers.runners.durations_s[fingerprint] = self._random.uniform(
                *scenario.durations_s
            )
            self._send(fingerprint, scenario.retries)
            fleet.run(1.0 / scenario.rate)
            self._retry_interrupted()

    def _send(self, fingerprint: str, again: int) -> None:
        key = self.callers.send(self._random.choice(self.callers.names()), fingerprint)
        at = self.callers.fleet.now + RETRY_DELAY_S
        self._pending.append(SentRequest(at, key, fingerprint, again))

    def _retry_interrupted(self) -> None:
        """Retry the interrupted requests whose retry is due."""
        now = self.callers.fleet.now
        interrupted = {one for crash in self.callers.runners.crashes for one in crash.fingerprints}
        pending, self._pending = self._pending, []
        for one in pending:
            failed = one.fingerprint in interrupted and self.callers.refusal(one.key) is not None
            if one.at <= now and failed and one.retries_left:
                self.retried += 1
                self._send(one.fingerprint, one.retries_left - 1)
            elif one.at + ANSWERED_S > now:
                self._pending.append(one)

    def innocent_verdicts(self) -> set[str]:
        """Return the fingerprints other than the fatal one that any node has a verdict on."""
        found: set[str] = set()
        for node in self.callers.fleet.live():
            verdicts = node.state.suspects.verdicts(self.callers.fleet.now)
            found.update(one.fingerprint for one in verdicts)
        return found - {FATAL}

    def interrupted_by_fatal(self) -> int:
        """Count the other requests that were interrupted by crashes of the fatal one."""
        crashes = [one for one in self.callers.runners.crashes if FATAL in one.fingerprints]
        return sum(len(one.fingerprints) - 1 for one in crashes)
