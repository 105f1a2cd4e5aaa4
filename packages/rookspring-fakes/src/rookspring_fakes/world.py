"""Several real reducers against the stand-ins' models, under a virtual clock.

No socket and no thread: effects become callbacks with a latency, and faults are
switches of the parts. What happens follows from the seed alone. This drives the
randomised runs and the policy experiments; the daemon's own I/O is tested over
real sockets elsewhere.
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
from . import loops
from .clock import VirtualClock
from .engine import Engine
from .engine import WeightStore
from .faults import Faults
from .store import ObjectStore
from .users import UserSize
from .users import declare

LEAVING_BOUND_S = 5.0


class Told(t.NamedTuple):
    """What a caller was told of a request."""

    at: float
    outcome: str
    status: int
    reason: str
    retry_after_s: float


class Asked(t.NamedTuple):
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
    """A plain service's model: counts runs by call."""

    def __init__(self, name: str, work_s: float = 0.005) -> None:
        self.name = name
        self.work_s = work_s
        self.runs: dict[str, int] = {}
        self.faults = Faults()
        self.leaving_at: float | None = None


class VirtualNode:
    """One node: its reducer's state, and whether its process lives or is paused."""

    def __init__(self, world: "World", name: str, place: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.place = place
        self.alive = True
        self.paused = False
        self.missed: list[Event] = []
        identity = Identity(name, f"{name}#{incarnation}", place, name, name)
        self.state = NodeState(identity, world.clock.now)
        self.state.full_checks = world.full_checks
        self.revision_seen = 0
        self.desired_epoch = 0
        self.intent_versions: dict[str, int] = {}

    def submit(self, event: Event) -> None:
        """Reduce an event at the world's time, and carry out its effects."""
        if not self.alive:
            return
        if self.paused:
            self.missed.append(event)
            return
        for effect in reduce(self.state, event._replace(at=self.world.clock.now)):
            world_effects.perform(self.world, self, effect)
        revision = self.state.catalogue.revision
        if revision < self.revision_seen:
            self.world.broken.append(f"{self.name} reverted to revision {revision}")
        if revision > self.revision_seen:
            self.revision_seen = revision
            self.world.in_force(self, revision)


class World:
    """Nodes, endpoints and the platform of one user, with faults.

    :param nodes: how many entry nodes, spread over the user's data centres.
    :param checks: says of each runner's number whether it checks orders.
    """

    def __init__(
        self,
        size: UserSize,
        seed: int = 0,
        nodes: int = 3,
        checks: t.Callable[[int], bool] = lambda number: True,
        full_checks: bool = True,
        report_s: float = 0.5,
        engine_options: t.Mapping[str, t.Any] | None = None,
    ) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.store = ObjectStore()
        self.platform = Faults(seed)
        self.orders = Faults(seed + 1)
        self.full_checks = full_checks
        self.report_s = report_s
        self.latency_s = 0.0005
        self.list_lag_s = 1.0
        self.cut: set[frozenset[str]] = set()
        self.broken: list[str] = []
        self.told: dict[str, Told] = {}
        self.asked: dict[str, Asked] = {}
        self.published: dict[int, tuple[int, t.Any]] = {}
        self.published_at: dict[int, float] = {}
        self.force_delays: list[float] = []
        self.force_seen: dict[int, set[str]] = {}
        self.force_all: dict[int, float] = {}
        self.weight_store = WeightStore(size.loads_at_once)
        self.engines: dict[str, Engine] = {}
        self.dead_engines: set[str] = set()
        self.died_at: dict[str, float] = {}
        self.deaths: list[tuple[float, frozenset[str]]] = []
        self.services: dict[str, VirtualService] = {}
        self.nodes: dict[str, VirtualNode] = {}
        self.boxes: dict[str, BoxListed] = {}
        self.leaving_at: dict[str, float] = {}
        self.owners: dict[str, tuple[VirtualNode, str, int, int]] = {}
        self.attempts = 0
        self.orders_sent = 0
        self.platform_calls = 0
        self.on_told: t.Callable[[Asked, Told], None] | None = None
        self._incarnations = 0
        self._requests = 0
        self._raise_endpoints(checks, dict(engine_options or {}))
        for number in range(nodes):
            self.raise_node(f"box-{number}")

    # Building.

    def _raise_endpoints(self, checks: t.Callable[[int], bool], options: dict[str, t.Any]) -> None:
        places = self.size.data_centres
        for number in range(self.size.runners):
            name = f"{self.size.engine}-r{number}"
            engine = Engine(
                name, self.weight_store, checks_orders=checks(number), seed=number, **options
            )
            self.engines[name] = engine
            place = places[number % len(places)]
            self.boxes[name] = BoxListed(name, name, place, "runner", "live", self.size.engine)
        for number in range(self.size.service_endpoints):
            name = f"{self.size.service}-{number}"
            self.services[name] = VirtualService(name)
            place = places[number % len(places)]
            self.boxes[name] = BoxListed(name, name, place, "service", "live", self.size.service)

    def raise_node(self, name: str) -> VirtualNode:
        """Start a node, as a new incarnation if there was one of the name."""
        self._incarnations += 1
        number = int(name.rpartition("-")[2])
        place = self.size.data_centres[number % len(self.size.data_centres)]
        node = VirtualNode(self, name, place, self._incarnations)
        self.nodes[name] = node
        self.boxes[name] = BoxListed(name, name, place, "node", "live")
        loops.begin(self, node)
        return node

    def declare(self, documents: t.Iterable[dict[str, t.Any]] | None = None) -> None:
        """Write resources to the platform as operators do."""
        from rookspring_core import check_resource

        for document in declare(self.size) if documents is None else documents:
            resource = check_resource(document)
            found = self.store.objects.get(("resource", resource.key))
            self.store.put(
                "resource",
                resource.key,
                world_effects.pack(list(resource)),
                found.version if found else 0,
            )

    def settle(self, until: float = 60.0) -> None:
        """Run until every declared model is resident, or the time is up."""
        while self.clock.now < until:
            self.clock.run(self.clock.now + 1.0)
            if self.resident_everywhere():
                return

    def resident_everywhere(self) -> bool:
        """Say whether every node knows every declared model to be resident."""
        from rookspring_core.control_jobs import resident_models

        wanted = sum(1 for kind, name in self.store.objects if name.startswith("Model."))
        for node in self.living():
            hosts = resident_models(node.state)
            if len(hosts) < wanted or not all(hosts.values()):
                return False
        return True

    # Faults.

    def living(self) -> list[VirtualNode]:
        """List the nodes whose process lives."""
        return [node for node in self.nodes.values() if node.alive]

    def kill_node(self, name: str) -> None:
        """End a node's process; its callers' connections break."""
        node = self.nodes[name]
        node.alive = False
        for request_id in list(node.state.requests):
            self.tell(node, request_id, "broken", 0, "connection broken", 0.0)
        for stream, owner in list(self.owners.items()):
            if owner[0] is node:
                del self.owners[stream]
        self.clock.call(self.list_lag_s, self._unlist, name, node)

    def _unlist(self, name: str, node: VirtualNode) -> None:
        if self.nodes.get(name) is node:
            self.boxes.pop(name, None)

    def pause_node(self, name: str, seconds: float) -> None:
        """Stop a node's process for a while, without its knowing."""
        node = self.nodes[name]
        node.paused = True
        self.clock.call(seconds, self._wake, node)

    def _wake(self, node: VirtualNode) -> None:
        node.paused = False
        missed, node.missed = node.missed, []
        for event in missed:
            node.submit(event)

    def kill_engine(self, name: str) -> None:
        """End a runner; its streams break and its memory is gone."""
        engine = self.engines[name]
        engine.advance(self.clock.now)
        self.dead_engines.add(name)
        self.died_at[name] = self.clock.now
        lost = frozenset(model for model, _ in engine.resident)
        self.deaths.append((self.clock.now, lost))
        for stream in list(engine.streams):
            world_effects.break_stream(self, engine, stream)
        engine.faults.killed = True
        for _ in engine.loading:
            engine.store.end()

    def revive_engine(self, name: str) -> None:
        """Start a runner anew, empty and as another incarnation."""
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
        self.dead_engines.discard(name)
        self.leaving_at.pop(name, None)

    def leave_engine(self, name: str) -> None:
        """Have a runner refuse new work and finish what it has."""
        self.engines[name].leaving = True
        self.leaving_at[name] = self.clock.now

    def reachable(self, one: str, other: str) -> bool:
        """Say whether two parts reach each other now."""
        if frozenset((one, other)) in self.cut:
            return False
        return not (self.platform.outage and "platform" in (one, other))

    # Callers.

    def ready(self) -> list[VirtualNode]:
        """List the nodes that are in the addresses which callers get."""
        listed: set[str] = set()
        for node in self.living():
            listed.update(row.address for row in list_addresses(node.state))
            if listed:
                break
        return [node for node in self.living() if node.name in listed]

    def ask(
        self,
        node: VirtualNode,
        target: str,
        tokens: int,
        priority: str = "normal",
        deadline_s: float = 30.0,
        prefix: int = 0,
        **fields: t.Any,
    ) -> str:
        """Send a request to a node."""
        self._requests += 1
        request_id = f"q{self._requests}"
        now = self.clock.now
        asked = Asked(
            now,
            request_id,
            target,
            tokens,
            priority,
            now + deadline_s,
            node.name,
            str(fields.get("body_digest", "")),
        )
        self.asked[request_id] = asked
        event = RequestArrived(
            at=now,
            request_id=request_id,
            team="demo",
            target=target,
            priority=priority,
            deadline_at=now + deadline_s,
            tokens=tokens,
            prefix=prefix,
            fingerprint=f"{target}/{asked.call or request_id}",
            **fields,
        )
        if not node.alive:
            self.tell(node, request_id, "broken", 0, "connection refused", 0.0)
        else:
            node.submit(event)
        return request_id

    def open_session(self, node: VirtualNode) -> str:
        """Open a session at a node."""
        self._requests += 1
        session = f"{node.name}/{node.state.identity.incarnation}/s{self._requests}"
        node.submit(SessionOpened(self.clock.now, session, "demo"))
        return session

    def leave(self, node: VirtualNode, request_id: str) -> None:
        """Have a caller go away."""
        node.submit(CallerLeft(self.clock.now, request_id))

    def tell(
        self,
        node: VirtualNode,
        request_id: str,
        outcome: str,
        status: int,
        reason: str,
        after_s: float,
    ) -> None:
        """Record what a caller is told, once."""
        if request_id not in self.asked:
            return
        if request_id in self.told:
            self.broken.append(f"{request_id} was answered twice")
            return
        told = Told(self.clock.now, outcome, status, reason, after_s)
        self.told[request_id] = told
        if self.on_told is not None:
            self.on_told(self.asked[request_id], told)

    # Accounts.

    def in_force(self, node: VirtualNode, revision: int) -> None:
        """Note how long a revision took to be in force at a node."""
        at = self.published_at.get(revision)
        if at is None:
            return
        seen = self.force_seen.setdefault(revision, set())
        key = node.state.identity.incarnation
        if key not in seen:
            seen.add(key)
            self.force_delays.append(self.clock.now - at)
        living = self.living()
        if all(one.state.catalogue.revision >= revision for one in living):
            self.force_all.setdefault(revision, self.clock.now)

    def moves(self) -> int:
        """Count loads and unloads so far."""
        return sum(engine.loads + engine.unloads for engine in self.engines.values())

    def check(self) -> list[str]:
        """List every end-to-end promise that broke."""
        found = list(self.broken)
        found += [
            f"{engine.name}: {engine.overcommits} orders beyond its memory"
            for engine in self.engines.values()
            if engine.overcommits
        ]
        runs: dict[str, int] = {}
        for service in self.services.values():
            for call, count in service.runs.items():
                runs[call] = runs.get(call, 0) + count
        unrepeatable = {one.call for one in self.asked.values() if one.call}
        found += [
            f"{call} ran {count} times"
            for call, count in runs.items()
            if count > 1 and call in unrepeatable
        ]
        return found + self._false_not_run(runs)

    def _false_not_run(self, runs: t.Mapping[str, int]) -> list[str]:
        """List calls that ran although every request for them was told ``not_run``."""
        ends: dict[str, set[str]] = {}
        for request_id, asked in self.asked.items():
            told = self.told.get(request_id)
            if asked.call:
                ends.setdefault(asked.call, set()).add(told.outcome if told else "open")
        return [
            f"{call} ran though told not run"
            for call, outcomes in ends.items()
            if outcomes == {"not_run"} and runs.get(call)
        ]
