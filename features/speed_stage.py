"""A relay that computes endpoints' speeds, and nodes that measure streams of those endpoints."""

import heapq
import itertools
import random
import statistics

from rookspring.event_gaps import GapMeter
from rookspring_core import Identity
from rookspring_core import NodeState
from rookspring_core import endpoint_speeds
from rookspring_core.endpoints import EndpointView
from rookspring_core.options import DecisionOptions
from rookspring_core.speed_samples import SampleTable

HEARTBEAT_S = 0.4
# Seconds an event by model at speed 1.
COSTS_S = {"a": 0.03, "b": 0.06, "c": 0.12, "d": 0.09}
# A step takes so much longer with a full batch, and so many of the steps then read prompts.
FULL_STEP_SHARE = 0.15
FULL_READING_SHARE = 0.35


class SpeedStage:
    """Nodes measure streams at endpoints and send samples to one relay, which computes speeds."""

    def __init__(self, speeds, models, streams_per_s, nodes=91, seed=1, noise=0.08):
        self.now = 100.0
        self.random = random.Random(seed)
        self.speeds = dict(speeds)
        self.models = models
        self.streams_per_s = streams_per_s
        self.noise = noise
        self.fullness = dict.fromkeys(speeds, 0.3)
        self.nodes = {f"n{one}": SampleTable() for one in range(nodes)}
        self.state = NodeState(Identity("relay", "relay#1", "z"), 0.0)
        self.state.options = DecisionOptions(endpoint_speeds=True)
        self.state.topology.relay = True
        for name in speeds:
            self.state.endpoints[name] = EndpointView(name, name, "z", service="llm")
        # Nodes that state a wrong time for an endpoint: node to (endpoint, factor).
        self.liars = {}
        self.logged = []
        self._queue = []
        self._order = itertools.count()
        self._at(self.now, self._arrive)
        self._at(self.now, self._beat)

    def _at(self, at, call):
        heapq.heappush(self._queue, (at, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def _arrive(self):
        """Begin a stream of some model at an endpoint that has it, through any node."""
        self._at(self.now + self.random.expovariate(self.streams_per_s), self._arrive)
        endpoint = self.random.choice(list(self.speeds))
        model = self.random.choice(self.models[endpoint])
        node = self.random.choice(list(self.nodes))
        self._step(node, endpoint, model, GapMeter(), self.random.randint(8, 57))

    def _step(self, node, endpoint, model, meter, left):
        gap_s = meter.add(1, self.now) if left else meter.end()
        if gap_s is not None:
            self.nodes[node].note(endpoint, model, gap_s, self.now)
        if left:
            at = self.now + self._step_s(endpoint, model)
            self._at(at, lambda: self._step(node, endpoint, model, meter, left - 1))

    def _step_s(self, endpoint, model):
        fullness = self.fullness[endpoint]
        step_s = COSTS_S[model] * (1.0 + FULL_STEP_SHARE * fullness) / self.speeds[endpoint]
        step_s *= self.random.lognormvariate(0.0, self.noise)
        if self.random.random() < FULL_READING_SHARE * fullness:
            step_s += self.random.uniform(0.1, 0.3)
        return step_s

    def _beat(self):
        self._at(self.now + HEARTBEAT_S, self._beat)
        for name, (endpoint, factor) in self.liars.items():
            for model in self.models[endpoint]:
                for _ in range(1000):
                    self.nodes[name].note(endpoint, model, COSTS_S[model] * factor, self.now)
        self.state.now = self.now
        for name, table in self.nodes.items():
            rows = table.take_unsent((), self.now)
            self.state.speeds.samples.take_rows(name, rows, self.now, 1, False)
        self.logged += endpoint_speeds.update(self.state)

    def read(self):
        """Return the speeds that the relay has."""
        return {name: view.speed for name, view in self.state.endpoints.items()}

    def expected(self):
        """Return the true speeds, relative to their median."""
        usual = statistics.median_high(self.speeds.values())
        return {name: speed / usual for name, speed in self.speeds.items()}

    def error(self):
        """Return the largest relative error."""
        true, read = self.expected(), self.read()
        return max(abs(read[name] / true[name] - 1.0) for name in true)
