"""Simulation of a model with more requested adapters than adapter slots, on a virtual clock.

The lease holder and the entry nodes run the real reducers. Runners, callers, the network and
the store's lease are simulated, with the delays that matter here: nodes share what their
requests use every 0.4 s, reports lag by 0.2 s, an endpoint carries out one order at a time,
and an unload waits for running requests.
"""

import heapq
import itertools
import random
import typing as t

from adapter_runner import ADAPTER_SLOTS
from adapter_runner import DISK_LOAD_S
from adapter_runner import STORE_LOAD_S
from adapter_runner import Runner
from relay_harness import LIMITS
from relay_harness import RelayHarness

from rookspring_core import attaching
from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import Dispatch
from rookspring_core.effects import ReadReport
from rookspring_core.effects import Refuse
from rookspring_core.effects import RequestLoad
from rookspring_core.effects import SendOrder
from rookspring_core.effects import ShareLoading
from rookspring_core.effects import ShareReport
from rookspring_core.effects import StartOrderTimer
from rookspring_core.effects import WriteLease
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptProgressed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import LoadingReceived
from rookspring_core.events import LoadRequested
from rookspring_core.events import NoticeReceived
from rookspring_core.events import OrderAnswered
from rookspring_core.events import OrderDue
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import Ticked
from rookspring_core.notices import Notice
from rookspring_core.routes import EngineSize
from rookspring_core.routes import ModelSize
from rookspring_core.routes import RouteTable
from rookspring_core.routes import ServiceSize

NETWORK_S = 0.001
BEAT_S = 0.4
TICK_S = 0.1
REPORT_LAG_S = 0.2
ORDER_CALL_S = 0.3
SLOTS = 48
# The hot model's adapters; the models are of 60 GB, two or three to a runner of 200 GB.
ADAPTERS = 20
MODEL_MB = 60_000.0
# The callers' limits by the users' requirements; they retry once after a refusal.
OBJECTIVE_S = 0.8
PATIENCE_S = 0.2
DEADLINE_S = 10.0
RUN_S = (0.3, 1.5)
# How often a stream makes progress; a runner that is silent for much longer counts as failed.
PROGRESS_S = 0.25


class Caller(t.NamedTuple):
    """One request of a caller, who retries once."""

    key: str
    name: str
    deadline_at: float
    retried: bool


class Try(t.NamedTuple):
    """One request for a model or adapter, and whether it was served."""

    at: float
    served: bool


class Node(RelayHarness):
    """A node of the simulation, around a real reducer."""

    def __init__(self, stage: "Stage", name: str) -> None:
        self.stage = stage
        self.name = name
        super().__init__()

    def submit(self, event):
        self.now = max(self.now, self.stage.now)
        return super().submit(event)

    def perform(self, effect):
        self.stage.perform(self, effect)


class Stage:
    """The simulated nodes, runners and callers, and the results of their requests.

    :param held: the models of each runner, joined by ``+``.
    :param lost_share: share of orders that get no answer and are carried out 1 to 3 s late.
    """

    # What the callers' route allows.
    terms = RouteTerms("r", "llm", 1, 1, 1, PATIENCE_S, OBJECTIVE_S)
    deadline_s = DEADLINE_S
    # Prompt tokens by tokens.
    prompt_share = 0.1

    def __init__(self, held: t.Sequence[str], seed: int, lost_share: float = 0.0) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.lost_share = lost_share
        self.tries: dict[str, list[Try]] = {}
        # How long requests for a name run, in seconds; by default a random time within ``RUN_S``.
        self.run_s: dict[str, float] = {}
        self.left: list[AdapterLeft] = []
        self.orders: list[tuple[float, SendOrder]] = []
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self._callers: dict[str, Caller] = {}
        self.asked_of: dict[str, Node] = {}
        self.runners = {
            f"e{number}": Runner(f"e{number}", text.split("+"), self.after, lambda: self.now)
            for number, text in enumerate(held, start=1)
        }
        self.nodes: list[Node] = []
        self.nodes = [Node(self, f"n{number}") for number in range(3)]
        self.holder = self.nodes[0]
        self.begin()

    def begin(self) -> None:
        """List the endpoints, have a node take the lease, and run until it may give orders."""
        names = {model for runner in self.runners.values() for model in runner.models}
        for node in self.nodes:
            node.submit(RouteTableSeen(self.now, make_table(sorted(names))))
        self.relist()
        for runner in self.runners.values():
            for node in self.nodes:
                node.submit(self.report(runner)._replace(order_token=(0, -1)))
        for node in self.nodes:
            self.at(self.now, lambda node=node: self.tick(node))
            self.at(self.now + 0.05, lambda node=node: self.beat(node))
        self.holder.submit(LeaseSeen(self.now, 0, "", 0, ""))
        self.run(8.0)
        assert self.holder.state.control.holding(self.now)

    # Time.

    def at(self, moment: float, call: t.Callable[[], None]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self._queue, (moment, next(self._order), call))

    def after(self, seconds: float, call: t.Callable[[], None]) -> None:
        """Schedule a call after some seconds."""
        self.at(self.now + seconds, call)

    def run(self, seconds: float) -> None:
        """Run the scheduled calls of some seconds."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            moment, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, moment)
            call()
        self.now = end

    def tick(self, node: Node) -> None:
        """Send a node its tick, every ``TICK_S``."""
        node.submit(Ticked(self.now))
        self.after(TICK_S, lambda: self.tick(node))

    def beat(self, node: Node) -> None:
        """Send a node's heartbeat to the lease holder, every ``BEAT_S``."""
        self.after(BEAT_S, lambda: self.beat(node))
        if node is self.holder:
            return
        heard = self.heartbeat(node)
        self.after(NETWORK_S, lambda: self.holder.submit(heard._replace(at=self.now)))

    def heartbeat(self, node: Node) -> HeartbeatReceived:
        """Return a node's heartbeat with its own figures."""
        control = node.state.control
        return HeartbeatReceived(
            self.now,
            node.name,
            node.name,
            node.name,
            node.name,
            "z",
            1,
            False,
            demand=tuple(control.meter.rates.items()),
            used=attaching.used_rows(node.state),
            urgent_demand=tuple(control.urgent_demand.meter.rates.items()),
            refused_demand=tuple(control.refused_demand.meter.rates.items()),
        )

    # Endpoints.

    def relist(self) -> None:
        """Send the list of live endpoints to all nodes."""
        rows = tuple(
            BoxListed(one.name, one.name, "z", "runner", "live", "llm")
            for one in self.runners.values()
            if one.alive
        )
        for node in self.nodes:
            node.submit(BoxListReceived(self.now, rows))

    def lose(self, name: str, silent: bool = False) -> None:
        """Fail a runner; its entry in the list is removed a second later.

        :param silent: connections are not reset, so that running requests fail only at their
            deadlines.
        """
        runner = self.runners[name]
        runner.alive = False
        for key in list(runner.runs):
            end = runner.ends[key]
            self.after(DEADLINE_S if silent else NETWORK_S, lambda end=end: end(False))
        self.after(1.0, self.relist)

    def report(self, runner: Runner):
        """Return a runner's report as of now."""
        report = self.holder.report(
            runner.name,
            runner.models,
            runner.adapters,
            (0, runner.taken),
            slots=SLOTS,
            on_disk=tuple(runner.disk),
            loading=self._loading(runner),
        )
        return report._replace(at=self.now)

    def _loading(self, runner: Runner):
        order = runner.order
        return ((order.model, ""),) if order is not None and not order.model_version else ()

    # Effects.

    def perform(self, node: Node, effect) -> None:
        """Carry out an effect of a node's reducer."""
        match effect:
            case WriteLease():
                answer = LeaseWritten(self.now, self.now, effect.nonce, True, effect.version + 1)
                self.after(NETWORK_S, lambda: node.submit(answer))
            case RequestLoad():
                self.after(NETWORK_S, lambda: self.holder.submit(LoadRequested(self.now, *effect)))
            case ShareReport() if node is self.holder:
                for other in self.others(node):
                    self.after(NETWORK_S, lambda other=other: other.submit(effect.report))
            case ShareLoading():
                for other in self.others(node):
                    self.after(
                        NETWORK_S,
                        lambda other=other: self.tell_coming(other, effect),
                    )
            case ReadReport():
                self.read(node, effect)
            case StartOrderTimer():
                due = (effect.endpoint, effect.taken_before)
                self.after(effect.after_s, lambda: node.submit(OrderDue(self.now, *due)))
            case SendOrder():
                self.orders.append((self.now, effect))
                self.send_order(node, effect)
            case Dispatch():
                self.after(NETWORK_S, lambda: self.start_run(node, effect))
            case Refuse():
                self.refuse(effect)
            case AdapterLeft():
                self.left.append(effect)

    def others(self, node: Node) -> list[Node]:
        """Return the nodes beside one, whichever of them holds the lease."""
        return [one for one in self.nodes if one is not node]

    def tell_coming(self, node: Node, told: ShareLoading) -> None:
        """Send a node the notice of a load under way."""
        node.submit(LoadingReceived(self.now, told.endpoint, told.model, told.in_s))

    def read(self, node: Node, effect: ReadReport) -> None:
        """Read a runner's own report, which arrives with a lag."""
        runner = self.runners[effect.endpoint]
        if not runner.alive:
            return

        def look() -> None:
            report = self.report(runner)._replace(polled=True)
            self.after(REPORT_LAG_S, lambda: node.submit(report._replace(at=self.now)))

        self.after(max(0.0, effect.after_s - REPORT_LAG_S), look)

    def send_order(self, node: Node, order: SendOrder) -> None:
        """Deliver an order to its runner, at once or late and without an answer."""
        runner = self.runners[order.endpoint]

        def answer(taken, reason):
            node.submit(OrderAnswered(self.now, order.endpoint, order.token, taken, reason))

        if self.random.random() < self.lost_share or not runner.alive:
            self.after(ORDER_CALL_S, lambda: answer(None, "no answer in time"))
            self.after(self.random.uniform(1.0, 3.0), lambda: runner.take(order))
            return
        taken = runner.take(order)
        self.after(NETWORK_S * 2, lambda: answer(taken != "409", taken))

    # Requests.

    def ask(
        self,
        name: str,
        tokens: int = 1000,
        key: str = "",
        retried: bool = False,
        deadline_at: float = 0.0,
    ) -> None:
        """Send a request for a model or adapter to a random node.

        :param deadline_at: the caller's deadline; 0 if its time begins now.
        """
        key = key or f"r{next(self._order)}"
        caller = Caller(key, name, deadline_at or self.now + self.deadline_s, retried)
        self._callers[key] = caller
        node = self.random.choice(self.nodes)
        self.asked_of[key] = node
        model, slash, _ = name.partition("/")
        arrived = RequestArrived(
            at=self.now,
            request_id=key,
            team="",
            target=model,
            service=False,
            adapter=name if slash else "",
            deadline_at=caller.deadline_at,
            tokens=tokens,
            prompt_tokens=round(tokens * self.prompt_share),
            repeatable=False,
            route=self.terms,
        )
        node.submit(arrived)

    def refuse(self, refusal: Refuse) -> None:
        """Handle a refusal: the caller retries once, at the time that it was told."""
        caller = self._callers.pop(refusal.request_id)
        self.note(caller, served=False)
        if caller.retried or refusal.outcome != "not_run":
            return
        after_s = max(0.05, refusal.retry_after_s) + NETWORK_S
        self.after(after_s, lambda: self.ask(caller.name, key=f"{caller.key}b", retried=True))

    def note(self, caller: Caller, served: bool) -> None:
        """Record whether a request was served."""
        self.tries.setdefault(caller.name, []).append(Try(self.now, served))

    def _reject(self, node: Node, effect: Dispatch, name: str, held: bool) -> None:
        if not held:
            model, slash, _ = name.partition("/")
            lacks = Notice(misdirected=True)
            adapter = name if slash else ""
            node.submit(NoticeReceived(self.now, effect.endpoint, 0, lacks, "", model, adapter))
        node.submit(AttemptFailed(self.now, effect.request_id, effect.attempt, True, True, "421"))

    def start_run(self, node: Node, effect: Dispatch) -> None:
        """Start a request at its runner, or fail it if the runner lacks the model or adapter."""
        runner = self.runners[effect.endpoint]
        key = (effect.request_id, effect.attempt)
        caller = self._callers[effect.request_id]
        model, slash, _ = caller.name.partition("/")
        held = model in runner.models and (not slash or caller.name in runner.adapters)
        going = runner.order is not None and runner.order.action == "unload"
        name = (runner.order.model_version or runner.order.model) if runner.order else ""
        node.submit(AttemptStarted(self.now, *key))
        if not runner.alive or not held or (going and name in (caller.name, model)):
            self.after(NETWORK_S, lambda: self._reject(node, effect, caller.name, held))
            return
        runner.runs[effect.request_id] = caller.name

        def end(whole: bool) -> None:
            if runner.runs.pop(effect.request_id, None) is None:
                return
            if whole:
                self.note(self._callers.pop(effect.request_id), served=True)
                node.submit(AttemptSucceeded(self.now, *key))
            else:
                node.submit(AttemptFailed(self.now, *key, True, False, "connection reset"))

        def progress() -> None:
            if effect.request_id in runner.runs and runner.alive:
                node.submit(AttemptProgressed(self.now, *key, 1))
                self.after(PROGRESS_S, progress)

        runner.ends[effect.request_id] = end
        self.after(PROGRESS_S, progress)
        length_s = self.run_s.get(caller.name, self.random.uniform(*RUN_S))
        self.after(length_s, lambda: end(True) if runner.alive else None)

    # Results.

    def starved(self) -> list[str]:
        """List the models and adapters requested four times or more over 8 s and never served."""
        return sorted(
            name
            for name, tries in self.tries.items()
            if len(tries) >= 4
            and tries[-1].at - tries[0].at >= 8.0
            and not any(one.served for one in tries)
        )

    def longest_failure_run(self, adapters: bool) -> tuple[int, str]:
        """Return the longest run of failed requests for one adapter, or model, and its name."""
        worst = (0, "")
        for name, tries in self.tries.items():
            if ("/" in name) != adapters:
                continue
            count = 0
            for one in tries:
                count = 0 if one.served else count + 1
                worst = max(worst, (count, name))
        return worst

    def longest_wait(self) -> tuple[float, str]:
        """Return the longest time for which all tries for one name failed, and the name."""
        worst = (0.0, "")
        for name, tries in self.tries.items():
            failed_at: float | None = None
            for one in tries:
                if failed_at is not None:
                    worst = max(worst, (one.at - failed_at, name))
                failed_at = None if one.served else failed_at or one.at
        return worst

    def served_share(self) -> float:
        """Return the share of requests that were served; a retry counts as another request."""
        served = sum(one.served for tries in self.tries.values() for one in tries)
        asked = sum(len(tries) for tries in self.tries.values())
        return served / max(1, asked)

    def unused_share(self) -> float:
        """Return the share of the unloaded adapters that no request was known to use."""
        if not self.left:
            return 0.0
        return sum(not one.used for one in self.left) / len(self.left)


def make_table(models: t.Sequence[str], version: int = 2) -> RouteTable:
    """Return a route table with models of equal size."""
    sizes = {
        name: ModelSize(name, MODEL_MB, STORE_LOAD_S, 50.0, 1.2, DISK_LOAD_S) for name in models
    }
    engine = EngineSize(200_000.0, ADAPTER_SLOTS, 2.0, sizes)
    services = {"llm": ServiceSize(engine)}
    return RouteTable(version, {}, services, LIMITS)


def request_at_random(
    stage: Stage, seconds: float, per_s: float, others: t.Sequence[str] = ()
) -> None:
    """Request random adapters of the hot model, and other models every 2 to 6 s.

    :param per_s: mean requests a second for the adapters.
    :param others: the other models.
    """
    end = stage.now + seconds

    def request_adapter() -> None:
        if stage.now < end:
            stage.ask(f"m/a{stage.random.randrange(ADAPTERS) + 1}")
            stage.after(stage.random.expovariate(per_s), request_adapter)

    def request_model(name: str) -> None:
        if stage.now < end:
            stage.ask(name)
            stage.after(stage.random.uniform(2.0, 6.0), lambda: request_model(name))

    request_adapter()
    for name in others:
        stage.after(stage.random.uniform(0.0, 4.0), lambda name=name: request_model(name))
    stage.run(seconds + 3.0)


def request_steadily(stage: Stage, seconds: float, rates: t.Mapping[str, float]) -> None:
    """Request each name at random times, at its own mean rate in requests a second."""
    end = stage.now + seconds

    def request(name: str) -> None:
        if stage.now < end:
            stage.ask(name)
            stage.after(stage.random.expovariate(rates[name]), lambda: request(name))

    for name, rate in rates.items():
        stage.after(stage.random.expovariate(rate), lambda name=name: request(name))
    stage.run(seconds + 3.0)
