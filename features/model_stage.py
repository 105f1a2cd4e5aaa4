"""Simulation of more requested models than places at runners, on a virtual clock.

As :mod:`adapter_stage`: the nodes run the real reducers. A few models are requested all the time,
and so much that they need several replicas. The others are requested by a few callers within
seconds, then not at all for a while. Callers retry once, at the time that they were told, as long
as that is within a third of the time that they have left.
"""

import typing as t

from adapter_stage import BEAT_S
from adapter_stage import NETWORK_S
from adapter_stage import Stage
from adapter_stage import make_table

from rookspring_core.effects import WriteLease
from rookspring_core.events import LeaseSeen
from rookspring_core.events import LeaseWritten
from rookspring_core.events import RouteTableSeen
from rookspring_core.events import RouteTerms

OBJECTIVE_S = 2.0
DEADLINE_S = 8.0
PATIENCE_SHARE = 0.25
RETRY_SHARE = 1.0 / 3.0
RUNNERS = 8
PLACES = 3
HOT = 4
RARE = 26
HOT_PER_S = 14.0
# Of a request, and its part of prompt tokens: an endpoint reads four prompts at a time.
TOKENS = 3000
PROMPT_SHARE = 1.0 / 3.0
# Requests for a rare model, the time within which they arrive, and the time without any after it.
RARE_ASKS = (3, 5)
RARE_SPELL_S = 4.0
RARE_PAUSE_S = (8.0, 16.0)
SETTLE_S = 6.0


class FirstLoad(t.NamedTuple):
    """A load of a model that stands nowhere.

    :param uncalled_s: for how long no caller of it had been there or was to come back.
    """

    model: str
    uncalled_s: float


class ModelStage(Stage):
    """Runners with a local copy of each model, and room for fewer models than are requested."""

    terms = RouteTerms("r", "llm", 1, 1, 1, OBJECTIVE_S * PATIENCE_SHARE, OBJECTIVE_S)
    deadline_s = DEADLINE_S
    prompt_share = PROMPT_SHARE

    def __init__(self, seed, lost_share=0.0):
        self.hot = [f"h{number}" for number in range(HOT)]
        self.rare = [f"r{number}" for number in range(RARE)]
        self.lease_version = 0
        # When each request arrived, and how many were held over half of their time and refused.
        self.asked_at = {}
        self.held_long = 0
        # Until when a caller of each model was there or is to come back; and the loads of models
        # that stood nowhere, each with the time since then.
        self.callers_until = {}
        self.first_loads = []
        names = self.hot + self.rare
        held = ["+".join(names[n * PLACES : (n + 1) * PLACES]) for n in range(RUNNERS)]
        super().__init__(held, seed, lost_share)
        for runner in self.runners.values():
            runner.disk = set(names)

    def begin(self):
        super().begin()
        for node in self.nodes:
            node.submit(RouteTableSeen(self.now, make_table(self.hot + self.rare, version=3)))

    def beat(self, node):
        """Send a node's heartbeat to all others."""
        self.after(BEAT_S, lambda: self.beat(node))
        heard = self.heartbeat(node)
        for other in self.nodes:
            if other is not node:
                self.after(NETWORK_S, lambda other=other: other.submit(heard._replace(at=self.now)))

    def heartbeat(self, node):
        control = node.state.control
        epoch = control.acting_epoch if control.holding(self.now) else 0
        return super().heartbeat(node)._replace(lease_epoch=epoch)

    def perform(self, node, effect):
        if not isinstance(effect, WriteLease):
            super().perform(node, effect)
            return
        won = node is self.holder
        self.lease_version += won
        answer = LeaseWritten(self.now, self.now, effect.nonce, won, self.lease_version)
        self.after(NETWORK_S, lambda: node.submit(answer))

    def move_lease(self):
        """Have another node take the lease, as when its holder stops."""
        before = self.holder
        self.holder = next(node for node in self.nodes if node is not before)
        self.lease_version += 1
        epoch = before.state.control.lease.epoch
        for node in self.nodes:
            node.submit(LeaseSeen(self.now, self.lease_version, "", epoch, ""))

    def ask(self, name, tokens=TOKENS, key="", retried=False, deadline_at=0.0):
        key = key or f"q{next(self._order)}"
        self.asked_at[key] = self.now
        super().ask(name, tokens, key, retried, deadline_at)

    def send_order(self, node, order):
        if order.action == "load" and not order.model_version and not self.is_held(order.model):
            self.first_loads.append(FirstLoad(order.model, self.uncalled_s(order.model)))
        super().send_order(node, order)

    def is_held(self, model):
        """Return whether a runner holds a model."""
        return any(one.alive and model in one.models for one in self.runners.values())

    def uncalled_s(self, model):
        """Return for how long no caller of a model has been there or is to come back."""
        if any(caller.name == model for caller in self._callers.values()):
            return 0.0
        return max(0.0, self.now - self.callers_until.get(model, -1e9))

    def expect_caller(self, model, until):
        """Note that a caller of a model is there, or to come back, until a time."""
        self.callers_until[model] = max(until, self.callers_until.get(model, -1e9))

    def refuse(self, refusal):
        """Have a refused caller retry once, if the time that it is told is soon enough for it."""
        caller = self._callers.pop(refusal.request_id)
        self.expect_caller(caller.name, self.now)
        self.note(caller, served=False)
        held_s = self.now - self.asked_at[refusal.request_id]
        self.held_long += held_s > (caller.deadline_at - self.now + held_s) / 2.0 + 0.15
        left_s = caller.deadline_at - self.now
        if caller.retried or refusal.retry_after_s > left_s * RETRY_SHARE + 1e-6:
            return
        self.expect_caller(caller.name, self.now + max(0.05, refusal.retry_after_s) + NETWORK_S)
        self.after(
            max(0.05, refusal.retry_after_s) + NETWORK_S,
            lambda: self.ask(
                caller.name,
                TOKENS,
                key=f"{caller.key}b",
                retried=True,
                deadline_at=caller.deadline_at,
            ),
        )

    def request(self, seconds):
        """Request the hot models at random, and the rare ones in spells."""
        end = self.now + seconds

        def ask_hot(name):
            if self.now < end:
                self.ask(name, TOKENS)
                self.after(self.random.expovariate(HOT_PER_S), lambda: ask_hot(name))

        def ask_rare(name):
            if self.now >= end:
                return
            for _ in range(self.random.randint(*RARE_ASKS)):
                self.after(self.random.uniform(0.0, RARE_SPELL_S), lambda: self.ask(name, TOKENS))
            pause_s = RARE_SPELL_S + self.random.uniform(*RARE_PAUSE_S)
            self.after(pause_s, lambda: ask_rare(name))

        for name in self.hot:
            self.after(self.random.uniform(0.0, 1.0), lambda name=name: ask_hot(name))
        for name in self.rare:
            self.after(self.random.uniform(0.0, 12.0), lambda name=name: ask_rare(name))
        self.run(seconds + SETTLE_S)

    def callers(self, names):
        """Return how many callers asked for models, and how many of them were served."""
        tries = [one for name in names for one in self.tries.get(name, ())]
        return len(tries), sum(one.served for one in tries)

    def longest_unserved(self):
        """Return the longest time over which four requests or more for one model went unserved."""
        longest = (0.0, "")
        for name, tries in self.tries.items():
            since = []
            for one in sorted(tries):
                since = [] if one.served else [*since, one.at]
                if len(since) >= 4:
                    longest = max(longest, (since[-1] - since[0], name))
        return longest
