"""Named disturbances of a simulated world, for tables of faults and randomised runs."""

import random
import typing as t

from .world import CallerRequest
from .world import RequestResult
from .world import VirtualNode
from .world import World

Disturbance = t.Callable[[World, random.Random], None]
DISTURBANCES: dict[str, Disturbance] = {}
OUTAGE_S = 20.0


def disturbance(name: str) -> t.Callable[[Disturbance], Disturbance]:
    """Register a disturbance under the name that tables of faults use."""

    def register(function: Disturbance) -> Disturbance:
        DISTURBANCES[name] = function
        return function

    return register


def find_lease_holder(world: World) -> VirtualNode | None:
    """Return the live, unpaused node that holds the lease, if there is one."""
    for node in world.live_nodes():
        if not node.paused and node.state.control.lease.holding(world.clock.now):
            return node
    return None


@disturbance("nothing fails")
def fail_nothing(world: World, rng: random.Random) -> None:
    """Inject no fault, as the baseline."""


@disturbance("the lease holder is killed")
def kill_holder(world: World, rng: random.Random) -> None:
    """Kill the holder and start a new node under its name 15 s later."""
    node = find_lease_holder(world) or world.live_nodes()[0]
    if len(world.live_nodes()) < 2:
        return
    world.kill_node(node.name)
    world.clock.call(15.0, _restart_node, world, node.name)


def _restart_node(world: World, name: str) -> None:
    if not world.nodes[name].alive:
        world.start_node(name)


@disturbance("the lease holder is paused past its lease")
def pause_holder(world: World, rng: random.Random) -> None:
    """Pause the holder's process for longer than its lease lasts."""
    node = find_lease_holder(world)
    if node is not None:
        world.pause_node(node.name, 12.0)


@disturbance("a runner dies")
def kill_runner(world: World, rng: random.Random) -> None:
    """Kill a runner for good, unless only three are left."""
    living = sorted(set(world.engines) - world.crashed_engines)
    if len(living) > 3:
        world.kill_engine(rng.choice(living))


@disturbance("a runner dies and comes back")
def restart_runner(world: World, rng: random.Random) -> None:
    """Kill a runner and restart it, with no models, 8 s later."""
    living = sorted(set(world.engines) - world.crashed_engines)
    if len(living) > 3:
        name = rng.choice(living)
        world.kill_engine(name)
        world.clock.call(8.0, world.restart_engine, name)


@disturbance("a runner is leaving")
def drain_runner(world: World, rng: random.Random) -> None:
    """Make a runner refuse new work, unless only four are left."""
    living = sorted(set(world.engines) - world.crashed_engines - set(world.leaving_at))
    if len(living) > 4:
        world.drain_engine(rng.choice(living))


@disturbance("a node is drained")
def drain_node(world: World, rng: random.Random) -> None:
    """Drain a node; a new one starts under its name 15 s later, if it has stopped."""
    living = world.live_nodes()
    if len(living) > 1:
        _drain(world, rng.choice(living))


def _drain(world: World, node: VirtualNode) -> None:
    from rookspring_core.events import DrainAsked

    node.submit(DrainAsked(world.clock.now))
    world.clock.call(15.0, _restart_node, world, node.name)


@disturbance("all nodes are replaced one after another")
def replace_all_nodes(world: World, rng: random.Random) -> None:
    """Drain the nodes one after another, 10 s apart, and restart each."""
    for number, node in enumerate(world.live_nodes()):
        world.clock.call(10.0 * number, _drain, world, node)


@disturbance("the platform is down")
def stop_platform(world: World, rng: random.Random) -> None:
    """Make the platform unreachable for ``OUTAGE_S``."""
    world.platform_faults.outage = True
    world.clock.call(OUTAGE_S, _set, world.platform_faults, "outage", False)


def _set(target: t.Any, field: str, value: t.Any) -> None:
    setattr(target, field, value)


def _set_temporarily(world: World, target: t.Any, field: str, value: t.Any) -> None:
    before = getattr(target, field)
    setattr(target, field, value)
    world.clock.call(OUTAGE_S, _set, target, field, before)


@disturbance("the platform applies writes without answering")
def lose_answers(world: World, rng: random.Random) -> None:
    """Lose half of the platform's answers to writes that were applied."""
    _set_temporarily(world, world.platform_faults, "applied_unanswered", 0.5)
    _change_versions(world, rng)


@disturbance("orders are lost")
def lose_orders(world: World, rng: random.Random) -> None:
    """Lose a third of all orders."""
    _set_temporarily(world, world.order_faults, "lose", 0.33)
    _change_versions(world, rng)


@disturbance("orders are late and doubled")
def delay_orders(world: World, rng: random.Random) -> None:
    """Delay some orders by up to 25 s, and deliver some twice."""
    _set_temporarily(world, world.order_faults, "delay_share", 0.3)
    _set_temporarily(world, world.order_faults, "delay_s", 25.0)
    _set_temporarily(world, world.order_faults, "repeat", 0.3)
    _change_versions(world, rng)


@disturbance("reports lag")
def lag_reports(world: World, rng: random.Random) -> None:
    """Make load reports five seconds old."""
    for engine in world.engines.values():
        _set_temporarily(world, engine.faults, "report_lag_s", 5.0)


@disturbance("two nodes are cut off from each other")
def cut_nodes(world: World, rng: random.Random) -> None:
    """Break the network between two nodes."""
    names = sorted(node.name for node in world.live_nodes())
    if len(names) < 2:
        return
    pair = frozenset(rng.sample(names, 2))
    world.cut_links.add(pair)
    world.clock.call(OUTAGE_S, world.cut_links.discard, pair)


@disturbance("a service breaks answers")
def break_service(world: World, rng: random.Random) -> None:
    """Make a service lose calls, and answers to calls that ran."""
    for service in world.services.values():
        _set_temporarily(world, service.faults, "lose", 0.2)
        _set_temporarily(world, service.faults, "applied_unanswered", 0.2)


@disturbance("operators change versions")
def change_versions(world: World, rng: random.Random) -> None:
    """Declare new versions of some models, twice."""
    _change_versions(world, rng)
    world.clock.call(6.0, _change_versions, world, rng)


def _change_versions(world: World, rng: random.Random) -> None:
    from . import effects as world_effects

    names = sorted(name for kind, name in world.store.objects if name.startswith("Model."))
    for name in rng.sample(names, min(3, len(names))):
        found = world.store.objects[("resource", name)]
        raw = world_effects.unpack(found.value)
        raw[2]["version"] = f"v{world.store.version}"
        world.store.put("resource", name, world_effects.pack(raw), found.version)


@disturbance("a data centre's runners die")
def kill_data_centre(world: World, rng: random.Random) -> None:
    """Kill all runners of one data centre and restart them, with no models, 60 s later."""
    data_centre = world.size.data_centres[0]
    for name in sorted(world.engines):
        row = world.boxes.get(name)
        if row is not None and row.data_centre == data_centre and name not in world.crashed_engines:
            world.kill_engine(name)
            world.clock.call(60.0, world.restart_engine, name)


def send_steady_traffic(world: World, seed: int, until: float, load: float) -> None:
    """Send requests to random models at a steady rate.

    :param until: virtual time at which to stop, in seconds.
    :param load: the token rate to request, as a fraction of the runners' capacity.
    """
    rng = random.Random(seed)
    tokens = 60
    capacity = sum(engine.token_rate for engine in world.engines.values())
    period = tokens / (load * capacity)

    def send_next() -> None:
        if world.clock.now >= until:
            return
        nodes = world.ready()
        model = f"{world.size.engine}-{rng.randrange(world.size.models):02d}"
        if nodes:
            world.send_request(rng.choice(nodes), model, tokens, "normal", 15.0)
        world.clock.call(period * (0.5 + rng.random()), send_next)

    world.clock.call(0.0, send_next)


class UnrepeatableCallers:
    """Callers of unrepeatable calls, which retry a call with its key until its outcome is known."""

    def __init__(self, world: World, seed: int, until: float) -> None:
        self.world = world
        self.random = random.Random(seed + 1)
        self.until = until
        self.count = 0
        self._sessions: dict[str, tuple[VirtualNode, str]] = {}
        self._pending: dict[str, tuple[str, str, int, int]] = {}
        world.on_result = self._retry
        world.clock.call(0.0, self._next)

    def _next(self) -> None:
        if self.world.clock.now >= self.until:
            return
        self.count += 1
        nodes = self.world.ready()
        if nodes:
            node = self.random.choice(nodes)
            session = self.world.open_session(node)
            self._sessions[session] = (node, session)
            call = f"call-{self.count}"
            self._send(session, call, 0)
            if self.random.random() < 0.2:
                # Sends a duplicate with the same key while the first request is in flight.
                self._send(session, call, 3)
        self.world.clock.call(0.2 * self.random.random(), self._next)

    def _send(self, session: str, call: str, tries: int) -> None:
        node, _ = self._sessions[session]
        request_id = self.world.send_request(
            node,
            self.world.size.service,
            1,
            "normal",
            5.0,
            service=True,
            repeatable=False,
            once_key=(session, 1),
            body_digest=call,
        )
        self._pending[request_id] = (session, call, tries, self.count)

    def _retry(self, request: CallerRequest, result: RequestResult) -> None:
        found = self._pending.pop(request.request_id, None)
        if found is None or result.outcome == "ran":
            return
        session, call, tries, _ = found
        node, _ = self._sessions[session]
        if tries < 3 and node.alive and result.outcome in ("broken", "not_run", "unknown"):
            self.world.clock.call(0.3, self._send, session, call, tries + 1)
