"""Simulated endpoints of a fleet: the requests that each runs, and the crashes that they cause.

When a process crashes, its connections close: the attempts of all nodes there fail, and new
connections are refused. Its entry stays in the store for a while; then another process starts in
its place, with a later start time.
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

# How long a request runs by default, in seconds.
RUN_S = 0.1
# The time from the start of a run to the first event of its answer, in seconds.
FIRST_EVENT_S = 0.05
# The time after which a request that an endpoint rejects is answered, in seconds.
REFUSE_S = 0.003
# The time from the start of a fatal request's run to the crash that it causes, in seconds.
CRASH_AFTER_S = 0.04
# The times from the crash of a process to the deletion of its entry, and to the start of the next
# process, in seconds.
LAPSE_S = 3.5
RESTART_S = 4.0


class Run(t.NamedTuple):
    """A request that is running at an endpoint, and the node that sent it."""

    node: "FleetNode"
    effect: Dispatch
    fingerprint: str
    at: float


class CrashedProcess(t.NamedTuple):
    """A process that crashed, when, and the fingerprints of the requests that it was running."""

    at: float
    endpoint: str
    fingerprints: tuple[str, ...]


class Arrival(t.NamedTuple):
    """A request that reached an endpoint: when, from which node, and at which process.

    :param start: how often the endpoint's process had been restarted.
    """

    at: float
    fingerprint: str
    endpoint: str
    node: str
    start: int = 0


class ReceivedNotice(t.NamedTuple):
    """A notice that a node received from an endpoint, and the process that sent it.

    :param start: how often the endpoint's process had been restarted.
    """

    at: float
    node: "FleetNode"
    endpoint: str
    start: int
    notice: Notice


class Shedding(t.NamedTuple):
    """How an endpoint sheds load.

    :param until: the time until which it rejects requests.
    :param backoff_s: the back-off that it requests, in seconds; None if it gives none.
    :param nodes: the nodes whose requests it rejects; empty for all nodes.
    """

    until: float
    backoff_s: float | None
    nodes: frozenset[str]


NOT_SHEDDING = Shedding(-1e9, None, frozenset())


class FleetRunners:
    """The requests that run at the endpoints, and the processes that crashed.

    :param fleet: provides the clock and the store.
    """

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self._running: dict[str, list[Run]] = {}
        self._down: set[str] = set()
        self._starts: dict[str, int] = {}
        # Fingerprints of requests that crash each process that runs them; the parts of each
        # request's prompt, and the parts that do the same.
        self.fatal: set[str] = set()
        self.parts: dict[str, tuple[int, ...]] = {}
        self.fatal_parts: set[int] = set()
        # How long requests run, in seconds, by fingerprint.
        self.durations_s: dict[str, float] = {}
        self.crashes: list[CrashedProcess] = []
        # The requests that reached a process.
        self.arrivals: list[Arrival] = []
        # Endpoints whose answers state that they are leaving; and those that reject requests.
        self.leaving: set[str] = set()
        self.shedding: dict[str, Shedding] = {}
        # The requests per second, from all nodes together, that endpoints state in their answers.
        self.rates: dict[str, float] = {}
        # The concurrency limits of endpoints that have one, and how long a request runs by default.
        self.limits: dict[str, int] = {}
        self.default_run_s = RUN_S
        # The notices that nodes received from endpoints.
        self.received_notices: list[ReceivedNotice] = []
        # The requests that were rejected.
        self.turned_away: list[Arrival] = []

    def run(self, node: "FleetNode", effect: Dispatch, fingerprint: str) -> None:
        """Have an endpoint run a request; the node receives the events of the attempt."""
        fleet = self._fleet
        key = (effect.request_id, effect.attempt)
        if effect.endpoint in self._down:
            refused = AttemptFailed(fleet.now, *key, False, False, "refused", down=True)
            self._submit_later(node, refused, 0.0)
            return
        start = self._starts.get(effect.endpoint, 0)
        arrived = Arrival(fleet.now, fingerprint, effect.endpoint, node.name, start)
        self.arrivals.append(arrived)
        shedding = self.shedding.get(effect.endpoint, NOT_SHEDDING)
        sheds = fleet.now < shedding.until and node.name in (shedding.nodes or (node.name,))
        running = len(self._running.get(effect.endpoint, ()))
        if sheds or running >= self.limits.get(effect.endpoint, running + 1):
            self.turned_away.append(arrived)
            self._submit_later(node, AttemptStarted(fleet.now, *key), 0.0)
            backoff_s = shedding.backoff_s if sheds else None
            self._deliver_notice(node, effect, fleet.now, turned_away=True, backoff_s=backoff_s)
            self._submit_later(
                node, AttemptFailed(0.0, *key, True, True, "refused with 503"), REFUSE_S
            )
            return
        one = Run(node, effect, fingerprint, fleet.now)
        self._running.setdefault(effect.endpoint, []).append(one)
        self._submit_later(node, AttemptStarted(fleet.now, *key), 0.0)
        if fingerprint in self.fatal or self.fatal_parts.intersection(
            self.parts.get(fingerprint, ())
        ):
            fleet.at(fleet.now + CRASH_AFTER_S, lambda: self._crash(one))
            return
        duration_s = self.durations_s.get(fingerprint, self.default_run_s)
        if duration_s > FIRST_EVENT_S:
            fleet.at(fleet.now + FIRST_EVENT_S, lambda: self._progress(one))
        fleet.at(fleet.now + duration_s, lambda: self._finish(one))

    def _submit_later(self, node: "FleetNode", event: Event, after_s: float) -> None:
        fleet = self._fleet

        def deliver() -> None:
            fleet.run_on_node(node, lambda: node.submit(event._replace(at=fleet.now)))

        fleet.at(fleet.now + after_s, deliver)

    def shed(
        self,
        endpoint: str,
        until: float,
        backoff_s: float | None,
        nodes: frozenset[str] = frozenset(),
    ) -> None:
        """Have an endpoint reject requests.

        :param until: the time until which it does so.
        :param backoff_s: the back-off that it requests, in seconds; None to give none.
        :param nodes: the nodes whose requests it rejects; empty for all nodes.
        """
        self.shedding[endpoint] = Shedding(until, backoff_s, nodes)

    def _deliver_notice(
        self,
        node: "FleetNode",
        effect: Dispatch,
        asked_at: float,
        turned_away: bool = False,
        backoff_s: float | None = None,
    ) -> None:
        """Deliver the notice in an answer's headers, if it contains anything new to the node.

        :param asked_at: when the node sent the request.
        :param backoff_s: the back-off that is requested, in seconds; None if none is given.
        """
        leaving = effect.endpoint in self.leaving
        rate = self.rates.get(effect.endpoint)
        notice = Notice(
            leaving=leaving,
            turned_away=turned_away,
            backoff_s=backoff_s,
            rate=rate,
            names_rate=rate is not None,
        )
        view = node.state.endpoints.get(effect.endpoint)
        if view is None or not notice_handlers.has_news(node.state, effect.endpoint, notice):
            return
        started_ms = notice_handlers.known_start(view)
        received = NoticeReceived(
            0.0, effect.endpoint, started_ms, notice, view.address, asked_at=asked_at
        )
        start = self._starts.get(effect.endpoint, 0)
        fleet = self._fleet

        def receive() -> None:
            node.submit(received._replace(at=fleet.now))
            self.received_notices.append(
                ReceivedNotice(fleet.now, node, effect.endpoint, start, notice)
            )

        after_s = REFUSE_S if turned_away else 0.0
        fleet.at(fleet.now + after_s, lambda: fleet.run_on_node(node, receive))

    def _progress(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            effect = one.effect
            self._deliver_notice(one.node, effect, one.at)
            self._submit_later(
                one.node, AttemptProgressed(0.0, effect.request_id, effect.attempt, 1), 0.0
            )

    def _finish(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            self._running[one.effect.endpoint].remove(one)
            effect = one.effect
            self._deliver_notice(one.node, effect, one.at)
            self._submit_later(
                one.node, AttemptSucceeded(0.0, effect.request_id, effect.attempt), 0.0
            )

    def _crash(self, one: Run) -> None:
        if one in self._running.get(one.effect.endpoint, ()):
            self.end(one.effect.endpoint)

    def end(self, endpoint: str) -> None:
        """Crash an endpoint's process, which fails its running requests; schedule a restart."""
        if endpoint in self._down:
            return
        fleet = self._fleet
        self._down.add(endpoint)
        broken = self._running.pop(endpoint, [])
        self.crashes.append(
            CrashedProcess(fleet.now, endpoint, tuple(one.fingerprint for one in broken))
        )
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
            self._submit_later(one.node, failed, 0.001)
        fleet.at(fleet.now + LAPSE_S, lambda: fleet.remove_entry(endpoint))
        fleet.at(fleet.now + RESTART_S, lambda: self._start(endpoint))

    def _start(self, endpoint: str) -> None:
        self._down.discard(endpoint)
        self.leaving.discard(endpoint)
        self.shedding.pop(endpoint, None)
        self.rates.pop(endpoint, None)
        self._starts[endpoint] = self._starts.get(endpoint, 0) + 1
        self._fleet.write_entry(endpoint, "live", "m", 1 + self._starts[endpoint])

    def restart_count(self, endpoint: str) -> int:
        """Return how often an endpoint's process was restarted."""
        return self._starts.get(endpoint, 0)

    def crashes_during(self, fingerprint: str) -> int:
        """Return how many processes crashed while they were running a request."""
        return sum(1 for one in self.crashes if fingerprint in one.fingerprints)
