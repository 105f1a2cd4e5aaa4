"""Simulation of several nodes' real reducers against modelled endpoints, under a virtual clock.

There are no sockets and no threads: each effect is a callback after a latency, and faults are
switched on at the simulated parts. A run is determined by its seed. The randomised fault runs and
the policy experiments use this simulation; the daemon's I/O is tested over real sockets elsewhere.
"""

import random
import typing as t

from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.cluster import list_addresses
from rookspring_core.events import BoxListed
from rookspring_core.events import CallerLeft
from rookspring_core.events import Event
from rookspring_core.events import RequestArrived
from rookspring_core.events import SessionOpened

from . import effects as world_effects
from . import node_loops
from .clock import VirtualClock
from .engine import Engine
from .engine import WeightStore
from .faults import Faults
from .store import ObjectStore
from .users import UserSize
from .users import list_resources

LEAVING_BOUND_S = 5.0


class RequestResult(t.NamedTuple):
    """The answer that a caller got to a request, and when."""

    at: float
    outcome: str
    status: int
    reason: str
    retry_after_s: float


class CallerRequest(t.NamedTuple):
    """A request that a caller sent."""

    at: float
    request_id: str
    target: str
    tokens: int
    priority: str
    deadline_at: float
    node: str
    call: str = ""


class VirtualService:
    """A simulated endpoint of a plain service, which counts the runs of each call."""

    def __init__(self, name: str, work_s: float = 0.005) -> None:
        self.name = name
        self.work_s = work_s
        self.runs: dict[str, int] = {}
        self.faults = Faults()
        self.leaving_at: float | None = None


class VirtualNode:
    """A simulated node: its reducer's state, and whether its process is alive or paused."""

    def __init__(self, world: "World", name: str, data_centre: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.alive = True
        self.paused = False
        self.missed_events: list[Event] = []
        identity = Identity(name, f"{name}#{incarnation}", data_centre, name, name)
        self.state = NodeState(identity, world.clock.now)
        self.state.full_checks = world.full_checks
        self.revision_seen = 0
        self.desired_epoch = 0
        self.intent_versions: dict[str, int] = {}

    def submit(self, event: Event) -> None:
        """Reduce an event at the virtual time and carry out its effects; queue it while paused."""
        if not self.alive:
            return
        if self.paused:
            self.missed_events.append(event)
            return
        for effect in reduce(self.state, event._replace(at=self.world.clock.now)):
            world_effects.perform(self.world, self, effect)
        revision = self.state.catalogue.revision
        if revision < self.revision_seen:
            self.world.violations.append(f"{self.name} reverted to revision {revision}")
        if revision > self.revision_seen:
            self.revision_seen = revision
            self.world.record_applied(self, revision)


class World:
    """The simulated nodes, endpoints and platform of one user, with fault injection.

    :param nodes: number of entry nodes, spread over the user's data centres.
    :param checks_orders: whether a runner rejects outdated orders, by the runner's number.
    :param report_interval_s: mean interval at which load reports are polled, in seconds.
    """

    def __init__(
        self,
        size: UserSize,
        seed: int = 0,
        nodes: int = 3,
        checks_orders: t.Callable[[int], bool] = lambda number: True,
        full_checks: bool = True,
        report_interval_s: float = 0.5,
        engine_options: t.Mapping[str, t.Any] | None = None,
    ) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.store = ObjectStore()
        self.platform_faults = Faults(seed)
        self.order_faults = Faults(seed + 1)
        self.full_checks = full_checks
        self.report_interval_s = report_interval_s
        self.latency_s = 0.0005
        self.list_lag_s = 1.0
        self.cut_links: set[frozenset[str]] = set()
        self.violations: list[str] = []
        self.results: dict[str, RequestResult] = {}
        self.sent_requests: dict[str, CallerRequest] = {}
        self.published: dict[int, tuple[int, t.Any]] = {}
        self.published_at: dict[int, float] = {}
        self.propagation_delays: list[float] = []
        self.applied_by: dict[int, set[str]] = {}
        self.applied_by_all_at: dict[int, float] = {}
        self.weight_store = WeightStore(size.loads_at_once)
        self.engines: dict[str, Engine] = {}
        self.crashed_engines: set[str] = set()
        self.crashed_at: dict[str, float] = {}
        self.engine_crashes: list[tuple[float, frozenset[str]]] = []
        self.services: dict[str, VirtualService] = {}
        self.nodes: dict[str, VirtualNode] = {}
        self.boxes: dict[str, BoxListed] = {}
        self.leaving_at: dict[str, float] = {}
        self.stream_owners: dict[str, tuple[VirtualNode, str, int, int]] = {}
        self.attempts = 0
        self.orders_sent = 0
        self.platform_calls = 0
        self.on_result: t.Callable[[CallerRequest, RequestResult], None] | None = None
        self._incarnations = 0
        self._requests = 0
        self._create_endpoints(checks_orders, dict(engine_options or {}))
        for number in range(nodes):
            self.start_node(f"box-{number}")

    # Setup.

    def _create_endpoints(self, checks: t.Callable[[int], bool], options: dict[str, t.Any]) -> None:
        data_centres = self.size.data_centres
        for number in range(self.size.runners):
            name = f"{self.size.engine}-r{number}"
            engine = Engine(
                name, self.weight_store, checks_orders=checks(number), seed=number, **options
            )
            self.engines[name] = engine
            data_centre = data_centres[number % len(data_centres)]
            self.boxes[name] = BoxListed(
                name, name, data_centre, "runner", "live", self.size.engine
            )
        for number in range(self.size.service_endpoints):
            name = f"{self.size.service}-{number}"
            self.services[name] = VirtualService(name)
            data_centre = data_centres[number % len(data_centres)]
            self.boxes[name] = BoxListed(
                name, name, data_centre, "service", "live", self.size.service
            )

    def start_node(self, name: str) -> VirtualNode:
        """Start a node, as a new incarnation if a node of this name ran before."""
        self._incarnations += 1
        number = int(name.rpartition("-")[2])
        data_centre = self.size.data_centres[number % len(self.size.data_centres)]
        node = VirtualNode(self, name, data_centre, self._incarnations)
        self.nodes[name] = node
        self.boxes[name] = BoxListed(name, name, data_centre, "node", "live")
        node_loops.start_loops(self, node)
        return node

    def declare(self, documents: t.Iterable[dict[str, t.Any]] | None = None) -> None:
        """Write resources to the platform as operators do; by default those of the user."""
        from rookspring_core import check_resource

        for document in list_resources(self.size) if documents is None else documents:
            resource = check_resource(document)
            found = self.store.objects.get(("resource", resource.key))
            self.store.put(
                "resource",
                resource.key,
                world_effects.pack(list(resource)),
                found.version if found else 0,
            )

    def run_until_resident(self, until: float = 60.0) -> None:
        """Run until every node knows every model to be resident, at most up to ``until``."""
        while self.clock.now < until:
            self.clock.run(self.clock.now + 1.0)
            if self.resident_everywhere():
                return

    def resident_everywhere(self) -> bool:
        """Return whether every live node knows an endpoint for every declared model."""
        from rookspring_core.control_jobs import resident_models

        wanted = sum(1 for kind, name in self.store.objects if name.startswith("Model."))
        for node in self.live_nodes():
            hosts = resident_models(node.state)
            if len(hosts) < wanted or not all(hosts.values()):
                return False
        return True

    # Faults.

    def live_nodes(self) -> list[VirtualNode]:
        """List the nodes whose process is alive."""
        return [node for node in self.nodes.values() if node.alive]

    def kill_node(self, name: str) -> None:
        """Kill a node's process, which breaks its callers' connections."""
        node = self.nodes[name]
        node.alive = False
        for request_id in list(node.state.requests):
            self.record_result(node, request_id, "broken", 0, "connection broken", 0.0)
        for stream, owner in list(self.stream_owners.items()):
            if owner[0] is node:
                del self.stream_owners[stream]
        self.clock.call(self.list_lag_s, self._remove_box, name, node)

    def _remove_box(self, name: str, node: VirtualNode) -> None:
        if self.nodes.get(name) is node:
            self.boxes.pop(name, None)

    def pause_node(self, name: str, seconds: float) -> None:
        """Suspend a node's process for some seconds; it then handles the events it missed."""
        node = self.nodes[name]
        node.paused = True
        self.clock.call(seconds, self._unpause, node)

    def _unpause(self, node: VirtualNode) -> None:
        node.paused = False
        missed, node.missed_events = node.missed_events, []
        for event in missed:
            node.submit(event)

    def kill_engine(self, name: str) -> None:
        """Kill a runner: its streams break and its models are no longer resident."""
        engine = self.engines[name]
        engine.advance(self.clock.now)
        self.crashed_engines.add(name)
        self.crashed_at[name] = self.clock.now
        lost = frozenset(model for model, _ in engine.resident)
        self.engine_crashes.append((self.clock.now, lost))
        for stream in list(engine.streams):
            world_effects.break_stream(self, engine, stream)
        engine.faults.killed = True
        for _ in engine.loading:
            engine.store.end()

    def restart_engine(self, name: str) -> None:
        """Restart a runner as a new incarnation with no models; its counters continue."""
        old = self.engines[name]
        engine = Engine(
            name,
            old.store,
            old.memory_gb,
            old.slots,
            old.token_rate,
            old.stream_rate,
            old.checks_orders,
            f"{old.incarnation}+",
        )
        engine.now = self.clock.now
        engine.faults.report_lag_s = old.faults.report_lag_s
        engine.loads = old.loads
        engine.unloads = old.unloads
        engine.overcommits = old.overcommits
        engine.served_tokens = old.served_tokens
        self.engines[name] = engine
        self.crashed_engines.discard(name)
        self.leaving_at.pop(name, None)

    def drain_engine(self, name: str) -> None:
        """Make a runner refuse new work and finish what it is running."""
        self.engines[name].leaving = True
        self.leaving_at[name] = self.clock.now

    def reachable(self, one: str, other: str) -> bool:
        """Return whether two parts can reach each other now."""
        if frozenset((one, other)) in self.cut_links:
            return False
        return not (self.platform_faults.outage and "platform" in (one, other))

    # Callers.

    def ready(self) -> list[VirtualNode]:
        """List the live nodes that the addresses handed out to callers include."""
        listed: set[str] = set()
        for node in self.live_nodes():
            listed.update(row.address for row in list_addresses(node.state))
            if listed:
                break
        return [node for node in self.live_nodes() if node.name in listed]

    def send_request(
        self,
        node: VirtualNode,
        target: str,
        tokens: int,
        priority: str = "normal",
        deadline_s: float = 30.0,
        prefix: int = 0,
        **fields: t.Any,
    ) -> str:
        """Send a request to a node and return the request's id."""
        self._requests += 1
        request_id = f"q{self._requests}"
        now = self.clock.now
        request = CallerRequest(
            now,
            request_id,
            target,
            tokens,
            priority,
            now + deadline_s,
            node.name,
            str(fields.get("body_digest", "")),
        )
        self.sent_requests[request_id] = request
        event = RequestArrived(
            at=now,
            request_id=request_id,
            team="demo",
            target=target,
            priority=priority,
            deadline_at=now + deadline_s,
            tokens=tokens,
            prefix=prefix,
            fingerprint=f"{target}/{request.call or request_id}",
            **fields,
        )
        if not node.alive:
            self.record_result(node, request_id, "broken", 0, "connection refused", 0.0)
        else:
            node.submit(event)
        return request_id

    def open_session(self, node: VirtualNode) -> str:
        """Open a session at a node and return its id."""
        self._requests += 1
        session = f"{node.name}/{node.state.identity.incarnation}/s{self._requests}"
        node.submit(SessionOpened(self.clock.now, session, "demo"))
        return session

    def disconnect_caller(self, node: VirtualNode, request_id: str) -> None:
        """Disconnect the caller of a request."""
        node.submit(CallerLeft(self.clock.now, request_id))

    def record_result(
        self,
        node: VirtualNode,
        request_id: str,
        outcome: str,
        status: int,
        reason: str,
        after_s: float,
    ) -> None:
        """Record the answer to a request; a second answer to it is a violation."""
        if request_id not in self.sent_requests:
            return
        if request_id in self.results:
            self.violations.append(f"{request_id} was answered twice")
            return
        result = RequestResult(self.clock.now, outcome, status, reason, after_s)
        self.results[request_id] = result
        if self.on_result is not None:
            self.on_result(self.sent_requests[request_id], result)

    # Measurements and checks.

    def record_applied(self, node: VirtualNode, revision: int) -> None:
        """Record how long after its publication a node applied a revision."""
        at = self.published_at.get(revision)
        if at is None:
            return
        seen = self.applied_by.setdefault(revision, set())
        key = node.state.identity.incarnation
        if key not in seen:
            seen.add(key)
            self.propagation_delays.append(self.clock.now - at)
        living = self.live_nodes()
        if all(one.state.catalogue.revision >= revision for one in living):
            self.applied_by_all_at.setdefault(revision, self.clock.now)

    def moves(self) -> int:
        """Return the number of loads and unloads so far."""
        return sum(engine.loads + engine.unloads for engine in self.engines.values())

    def check(self) -> list[str]:
        """List all violations of the end-to-end guarantees."""
        found = list(self.violations)
        found += [
            f"{engine.name}: {engine.overcommits} orders exceeded its memory"
            for engine in self.engines.values()
            if engine.overcommits
        ]
        runs: dict[str, int] = {}
        for service in self.services.values():
            for call, count in service.runs.items():
                runs[call] = runs.get(call, 0) + count
        unrepeatable = {one.call for one in self.sent_requests.values() if one.call}
        found += [
            f"{call} ran {count} times"
            for call, count in runs.items()
            if count > 1 and call in unrepeatable
        ]
        return found + self._find_false_not_run(runs)

    def _find_false_not_run(self, runs: t.Mapping[str, int]) -> list[str]:
        """List calls that ran although all their requests were answered with ``not_run``."""
        ends: dict[str, set[str]] = {}
        for request_id, request in self.sent_requests.items():
            result = self.results.get(request_id)
            if request.call:
                ends.setdefault(request.call, set()).add(result.outcome if result else "open")
        return [
            f"{call} ran although all its requests were answered not_run"
            for call, outcomes in ends.items()
            if outcomes == {"not_run"} and runs.get(call)
        ]
