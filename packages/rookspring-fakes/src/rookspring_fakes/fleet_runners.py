"""Endpoints of a fleet: what runs on each, and which requests end the process that runs them.

A process that ends closes its connections, so every node's attempts there break off and new
connections are refused. Its entry stands in the store's list for a while yet; then another
process starts at its place, with a later time of start.
"""

import typing as t

from rookspring_core import notice_handlers
from rookspring_core.effects import Dispatch
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import Event
from rookspring_core.events import NoticeReceived
from rookspring_core.notices import Notice

if t.TYPE_CHECKING:
    from .fleet import Fleet
    from .fleet_node import FleetNode

# How long a request runs, unless it tells otherwise, in seconds.
RUN_S = 0.1
# When the first event of an answer comes, in seconds from its begin.
FIRST_S = 0.05
# A request that is turned away is told so after so long, in seconds.
REFUSE_S = 0.003
# From the begin of a run to the end of the process that it ends, in seconds.
FATAL_S = 0.04
# How long an entry outlasts its process, and when another one is there, in seconds.
LAPSE_S = 3.5
BACK_S = 4.0


class Run(t.NamedTuple):
    """A request that runs at an endpoint, from the node that sent it."""

    node: "FleetNode"
    effect: Dispatch
    fingerprint: str
    at: float


class Ended(t.NamedTuple):
    """A process that ended, when, and what ran there."""

    at: float
    endpoint: str
    fingerprints: tuple[str, ...]


class Arrived(t.NamedTuple):
    """A request that reached an endpoint, from which node, and when its node sent it."""

    at: float
    fingerprint: str
    endpoint: str
    node: str
    start: int = 0


class Word(t.NamedTuple):
    """What a node heard an endpoint say of itself, and which of its processes said it."""

    at: float
    node: "FleetNode"
    endpoint: str
    start: int
    notice: Notice


class Shedding(t.NamedTuple):
    """Until when an endpoint turns requests away, of which nodes, and the rest it asks for."""

    until: float
    rest_s: float | None
    nodes: frozenset[str]


NOT_SHEDDING = Shedding(-1e9, None, frozenset())


class FleetRunners:
    """What runs at the endpoints, and the processes that have ended.

    :param fleet: gives the clock and the store.
    """

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self._running: dict[str, list[Run]] = {}
        self._down: set[str] = set()
        self._starts: dict[str, int] = {}
        # Fingerprints of requests that end each process that runs them.
        self.fatal: set[str] = set()
        # How long requests run, by fingerprint, in seconds.
        self.lasts: dict[str, float] = {}
        self.ended: list[Ended] = []
        # Each request that reached a process.
        self.arrived: list[Arrived] = []
        # Endpoints whose answers say that they leave, and those that turn requests away.
        self.leaving: set[str] = set()
        self.shedding: dict[str, Shedding] = {}
        # Requests a second that endpoints take from all nodes, named in each of their answers.
        self.rates: dict[str, float] = {}
        # The most that runs at once, where that is bounded, and how long runs take.
        self.limits: dict[str, int] = {}
        self.default_run_s = RUN_S
        # What nodes heard endpoints say of themselves.
        self.words: list[Word] = []
        # Requests that were turned away.
        self.turned_away: list[Arrived] = []

    def run(self, node: "FleetNode", effect: Dispatch, fingerprint: str) -> None:
        """Have an endpoint run a request; the node hears how it went."""
        fleet = self._fleet
        key = (effect.request_id, effect.attempt)
        if effect.endpoint in self._down:
            refused = AttemptFailed(fleet.now, *key, False, False, "refused", down=True)
            self._tell(node, refused, 0.0)
            return
        start = self._starts.get(effect.endpoint, 0)
        arrived = Arrived(fleet.now, fingerprint, effect.endpoint, node.name, start)
        self.arrived.append(arrived)
        shedding = self.shedding.get(effect.endpoint, NOT_SHEDDING)
        sheds = fleet.now < shedding.until and node.name in (shedding.nodes or (node.name,))
        running = len(self._running.get(effect.endpoint, ()))
        if sheds or running >= self.limits.get(effect.endpoint, running + 1):
            self.turned_away.append(arrived)
            self._tell(node, AttemptStarted(fleet.now, *key), 0.0)
            rest_s = shedding.rest_s if sheds else None
            self._say(node, effect, fleet.now, turned_away=True, rest_s=rest_s)
            self._tell(node, AttemptFailed(0.0, *key, True, True, "refused with 503"), REFUSE_S)
            return
        one = Run(node, effect, fingerprint, fleet.now)
        self._running.setdefault(effect.endpoint, []).append(one)
        self._tell(node, AttemptStarted(fleet.now, *key), 0.0)
        if fingerprint in self.fatal:
            fleet.at(fleet.now + FATAL_S, lambda: self._end_by(one))
            return
        lasts_s = self.lasts.get(fingerprint, self.default_run_s)
        if lasts_s > FIRST_S:
            fleet.at(fleet.now + FIRST_S, lambda: self._progress(one))
        fleet.at(fleet.now + lasts_s, lambda: self._finish(one))

    def _tell(self, node: "FleetNode", event: Event, after_s: float) -> None:
        fleet = self._fleet

        def come() -> None:
            fleet.hand(node, lambda: node.submit(event._replace(at=fleet.now)))

        fleet.at(fleet.now + after_s, come)

    def shed(
        self,
        endpoint: str,
        until: float,
        rest_s: float | None,
        nodes: frozenset[str] = frozenset(),
    ) -> None:
        """Have an endpoint turn requests away until a moment, and ask for rest.

        :param nodes: those that it turns away; all where none is named.
        """
        self.shedding[endpoint] = Shedding(until, rest_s, nodes)

    def _say(
        self,
        node: "FleetNode",
        effect: Dispatch,
        asked_at: float,
        turned_away: bool = False,
        rest_s: float | None = None,
    ) -> None:
        """Have the head of an answer say what its endpoint says of itself."""
        leaving = effect.endpoint in self.leaving
        rate = self.rates.get(effect.endpoint)
        notice = Notice(
            leaving=leaving,
            turned_away=turned_away,
            backoff_s=rest_s,
            rate=rate,
            names_rate=rate is not None,
        )
        view = node.state.endpoints.get(effect.endpoint)
        if view is None or not notice_handlers.has_news(node.state, effect.endpoint, notice):
            return
        born = notice_handlers.known_start(view)
        said = NoticeReceived(0.0, effect.endpoint, born, notice, view.address, asked_at=asked_at)
        start = self._starts.get(effect.endpoint, 0)
        fleet = self._fleet

        def hear() -> None:
            node.submit(said._replace(at=fleet.now))
            self.words.append(Word(fleet.now, node, effect.endpoint, start, notice))

        after_s = REFUSE_S if turned_away else 0.0
        fleet.at(fleet.now + after_s, lambda: fleet.hand(node, hear))

    def _progress(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            effect = one.effect
            self._say(one.node, effect, one.at)
            self._tell(one.node, AttemptProgressed(0.0, effect.request_id, effect.attempt, 1), 0.0)

    def _finish(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            self._running[one.effect.endpoint].remove(one)
            effect = one.effect
            self._say(one.node, effect, one.at)
            self._tell(one.node, AttemptSucceeded(0.0, effect.request_id, effect.attempt), 0.0)

    def _end_by(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            self.end(one.effect.endpoint)

    def end(self, endpoint: str) -> None:
        """End an endpoint's process, for whatever reason."""
        if endpoint in self._down:
            return
        fleet = self._fleet
        self._down.add(endpoint)
        broken = self._running.pop(endpoint, [])
        self.ended.append(Ended(fleet.now, endpoint, tuple(one.fingerprint for one in broken)))
        for one in broken:
            effect = one.effect
            failed = AttemptFailed(
                0.0,
                effect.request_id,
                effect.attempt,
                True,
                False,
                "connection closed",
                down=True,
                broken=True,
            )
            self._tell(one.node, failed, 0.001)
        fleet.at(fleet.now + LAPSE_S, lambda: fleet.remove_entry(endpoint))
        fleet.at(fleet.now + BACK_S, lambda: self._start(endpoint))

    def _start(self, endpoint: str) -> None:
        self._down.discard(endpoint)
        self.leaving.discard(endpoint)
        self.shedding.pop(endpoint, None)
        self.rates.pop(endpoint, None)
        self._starts[endpoint] = self._starts.get(endpoint, 0) + 1
        self._fleet.write_entry(endpoint, "live", "m", 1 + self._starts[endpoint])

    def start_of(self, endpoint: str) -> int:
        """Give how often an endpoint's process was started anew."""
        return self._starts.get(endpoint, 0)

    def ends_under(self, fingerprint: str) -> int:
        """Count the processes that ended while a request ran there."""
        return sum(1 for one in self.ended if fingerprint in one.fingerprints)
