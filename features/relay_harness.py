"""Test harnesses of the reducer: a relaying node, and a lease holder with model runners."""

from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import reduce
from rookspring_core.effects import AdapterLeft
from rookspring_core.effects import Dispatch
from rookspring_core.effects import LoadRequestDeclined
from rookspring_core.effects import LoadRequestEnded
from rookspring_core.effects import ReadReport
from rookspring_core.effects import Refuse
from rookspring_core.effects import RequestLoad
from rookspring_core.effects import SendOrder
from rookspring_core.effects import ShareDown
from rookspring_core.effects import StartOrderTimer
from rookspring_core.effects import WriteLease
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import EndpointReported
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import LoadRequested
from rookspring_core.events import OrderAnswered
from rookspring_core.events import OrderDue
from rookspring_core.events import PlatformAnswered
from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms
from rookspring_core.events import Ticked
from rookspring_core.routes import CallerLimits
from rookspring_core.routes import EngineSize
from rookspring_core.routes import ModelSize
from rookspring_core.routes import Route
from rookspring_core.routes import RouteTable
from rookspring_core.routes import ServiceSize
from rookspring_core.routes import Split

LIMITS = CallerLimits(8192, 4096, 1.0, 5.0)
ONE = (Split("svc", 1.0),)
SIZES = {"m": 70_000.0, "n": 60_000.0}


def make_route(prefix="/a/", kind="safe", attempts=2, splits=()):
    return Route(prefix, "h", prefix, kind, 5.0, 0.4, 1, attempts, tuple(splits) or ONE)


def make_table(version=1, routes=(), sizes=None, loads_per_s=2.0):
    models = {
        name: ModelSize(name, mb, 8.0, 50.0, 1.2, 1.5) for name, mb in (sizes or SIZES).items()
    }
    engine = EngineSize(200_000.0, 2, loads_per_s, models)
    services = {"svc": ServiceSize(), "llm": ServiceSize(engine)}
    return RouteTable(version, {"h": tuple(routes)}, services, LIMITS)


class RelayHarness:
    """A relaying node's reducer, with the effects that it gave, by kind."""

    def __init__(self, sizes=None):
        self.now = 100.0
        self.state = NodeState(Identity("n", "n#1", "z"), 0.0)
        self.state.relaying = True
        self.state.full_checks = True
        self.sent = []
        self.refused = []
        self.ended = []
        self.orders = []
        self.wants = []
        self.shared_down = []
        # Log effects for operators, on wants and adapters.
        self.told = []
        self.submit(PlatformAnswered(self.now, True))
        self.submit(RouteTableSeen(self.now, make_table(sizes=sizes)))

    def submit(self, event):
        lists = {
            Dispatch: self.sent,
            Refuse: self.refused,
            SendOrder: self.orders,
            RequestLoad: self.wants,
            ShareDown: self.shared_down,
            LoadRequestDeclined: self.told,
            LoadRequestEnded: self.told,
            AdapterLeft: self.told,
        }
        effects = reduce(self.state, event)
        for effect in effects:
            lists.get(type(effect), []).append(effect)
            if isinstance(effect, Refuse):
                self.ended.append(effect.outcome)
            self.perform(effect)
        return effects

    def perform(self, effect):
        """Carry out an effect as the daemon would; for subclasses."""

    def list_endpoints(self, names, service, role, state="live"):
        rows = [BoxListed(name, name, "z", role, state, service) for name in names]
        self.submit(BoxListReceived(self.now, tuple(rows)))

    def report(self, name, resident=(), adapters=(), token=(0, 0), **fields):
        return EndpointReported(
            at=self.now,
            endpoint=name,
            incarnation=name,
            age_s=0.0,
            slots=fields.pop("slots", 8),
            running=0,
            queued=0,
            token_rate=0.0,
            stream_rate=0.0,
            memory_gb=0.0,
            resident=tuple((model, "1") for model in resident),
            adapters=tuple(adapters),
            order_token=token,
            **fields,
        )

    def ask(self, kind="safe", attempts=2, model="", adapter="", key="r1", **fields):
        objective_s = fields.pop("objective_s", 0.4)
        tokens = fields.pop("tokens", 10)
        deadline_s = fields.pop("deadline_s", 5.0)
        service = "llm" if model else "svc"
        terms = RouteTerms("r", service, 1, 1, attempts, 0.1, objective_s)
        self.submit(
            RequestArrived(
                at=self.now,
                request_id=key,
                team="",
                target=model or "svc",
                service=not model,
                adapter=adapter,
                deadline_at=self.now + deadline_s,
                tokens=tokens,
                prompt_tokens=fields.pop("prompt_tokens", 0),
                prefix=fields.pop("prefix", 0),
                repeatable=kind == "safe",
                stream=fields.pop("stream", False),
                route=terms,
            )
        )

    def meet(self, event):
        last = self.sent[-1]
        key = (last.request_id, last.attempt)
        if event == "succeeds":
            self.submit(AttemptStarted(self.now, *key))
            self.submit(AttemptSucceeded(self.now, *key))
            self.ended.append("ran")
        elif event == "unsent":
            self.submit(AttemptFailed(self.now, *key, False, False, "no connection"))
        else:
            self.submit(AttemptStarted(self.now, *key))
            self.now += 6.0 if event == "late" else 0.01
            refused = event == "refused"
            self.submit(AttemptFailed(self.now, *key, True, refused, event))


class HolderHarness(RelayHarness):
    """A lease holder, with runners that carry out orders as those of the platform do."""

    def __init__(self, held):
        self.runners = {}
        self.answer = "taken"
        # If set, is called with each lease write, which then gets no answer.
        self.on_lease_write = None
        self.carried = True
        # Runners whose process has ended; reads of their reports get no answer.
        self.dead = set()
        # The reads of reports, as (endpoint, time).
        self.reads = []
        names = {one for text in held for one in text.split("+")}
        super().__init__({name: mb for name, mb in SIZES.items() if name in names})
        for number, text in enumerate(held, start=1):
            models = [one for one in text.split("+") if not one.startswith("a")]
            adapters = [f"{models[0]}/{one}" for one in text.split("+") if one.startswith("a")]
            self.runners[f"e{number}"] = {
                "models": models,
                "adapters": adapters,
                "taken": 0,
                "disk": (),
            }
        self.list_endpoints(list(self.runners), "llm", "runner")
        self.relist()
        self.submit(LeaseSeen(self.now, 0, "", 0, ""))
        self.pass_time(6.0)

    def relist(self):
        """Submit the endpoint list's entry of each runner again."""
        for name in self.runners:
            self.submit(self.entry(name))

    def entry(self, name):
        """Make the report that the endpoint list's entry of a runner gives now."""
        runner = self.runners[name]
        fields = {"on_disk": runner["disk"], "started_ms": runner.get("born", 0)}
        return self.report(name, runner["models"], token=(0, -1), **fields)

    def perform(self, effect):
        if isinstance(effect, WriteLease) and self.on_lease_write is not None:
            self.on_lease_write(effect)
        elif isinstance(effect, WriteLease):
            self.submit(LeaseWritten(self.now, self.now, effect.nonce, True, effect.version + 1))
        elif isinstance(effect, ReadReport):
            self.read_report(effect)
        elif isinstance(effect, RequestLoad):
            self.submit(LoadRequested(self.now, *effect))
        elif isinstance(effect, StartOrderTimer):
            self.submit(OrderDue(self.now, effect.endpoint, effect.taken_before))
        elif isinstance(effect, SendOrder):
            self.carry_out(effect)

    def read_report(self, effect):
        self.reads.append((effect.endpoint, self.now))
        if effect.endpoint not in self.dead:
            runner = self.runners[effect.endpoint]
            token = (0, runner["taken"])
            models, adapters = runner["models"], runner["adapters"]
            disk = runner["disk"]
            fields = {"polled": True, "on_disk": disk, "started_ms": runner.get("born", 0)}
            report = self.report(effect.endpoint, models, adapters, token, **fields)
            self.submit(report)

    def carry_out(self, order):
        runner = self.runners[order.endpoint]
        if self.answer == "none":
            return
        if self.answer in ("lost once", "lost always"):
            self.answer = "taken" if self.answer == "lost once" else self.answer
            self.submit(OrderAnswered(self.now, order.endpoint, order.token, None, "reset"))
            return
        if self.answer == "lost":
            self.answer = "taken"
            self.submit(OrderAnswered(self.now, order.endpoint, order.token, None, "reset"))
            self.pass_time(0.5)
            return
        if self.answer in ("fenced", "other count"):
            reason = "fenced" if self.answer == "fenced" else "409"
            answer = OrderAnswered(self.now, order.endpoint, order.token, False, reason)
            # Further orders get no answer.
            self.answer = "none"
            self.submit(answer)
            return
        assert order.token[1] == runner["taken"], (
            "the order token does not match the runner's count"
        )
        runner["taken"] += 1
        held = runner["adapters"] if order.model_version else runner["models"]
        name = order.model_version or order.model
        if order.action == "load":
            held.append(name)
        else:
            held.remove(name)
            if not order.model_version:
                kept = [one for one in runner["adapters"] if not one.startswith(name)]
                runner["adapters"] = kept
        # Adapters are attached or detached at once; orders for models are answered as accepted.
        reason = "done" if order.model_version else "202"
        self.submit(OrderAnswered(self.now, order.endpoint, order.token, True, reason))

    def pass_time(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            self.submit(Ticked(self.now))

    def demand(self, model, rate):
        """Count a request, for a tenth of a second of some demand, and ask for an absent model."""
        self.state.control.meter.add(model, rate * 0.1)
        if not self.state.hosts.get(model):
            self.submit(LoadRequested(self.now, "llm", model, "", 0.0))

    def used_mb(self, name):
        runner = self.runners[name]
        sizes = self.state.table.services["llm"].engine.models
        weights = sum(sizes[model].memory_mb for model in runner["models"])
        return weights + 50.0 * len(runner["adapters"])
