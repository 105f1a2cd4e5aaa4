"""A fleet whose endpoints end under some requests, and callers who come again."""

import itertools
import random

from rookspring_core.events import RequestArrived
from rookspring_core.events import RouteTerms
from rookspring_fakes.fleet import Fleet
from rookspring_fakes.fleet import FleetPlan

# A caller of what has failed comes again after so long, in seconds.
AGAIN_S = 0.7


class CrashStage:
    """Requests to a fleet's nodes, and what became of each."""

    def __init__(self, nodes, endpoints=12):
        self.fleet = Fleet(FleetPlan(nodes, data_centres=3, endpoints=endpoints))
        self.fleet.run(8.0)
        self._numbers = itertools.count(1)

    @property
    def runners(self):
        return self.fleet.runners

    def names(self):
        return [node.name for node in self.fleet.live()]

    def send(self, name, fingerprint, repeatable=False, attempts=1, organisation=""):
        """Have a request come to a node; gives its key."""
        key = f"q{next(self._numbers)}"
        node = self.fleet.nodes[name]
        now = self.fleet.now
        terms = RouteTerms("r", "llm", 1, 1, attempts, 0.5, 1.0)
        arrived = RequestArrived(
            at=now,
            request_id=key,
            team=organisation,
            target="m",
            deadline_at=now + 15.0,
            tokens=100,
            repeatable=repeatable,
            stream=True,
            route=terms,
            fingerprint=fingerprint,
        )
        with self.fleet.running():
            self.fleet.hand(node, lambda: node.submit(arrived))
        return key

    def refusal(self, key):
        found = [one for _, one in self.fleet.refusals if one.request_id == key]
        return found[0] if found else None

    def arrivals(self, fingerprint, since=0.0):
        return sum(1 for at, one in self.runners.arrived if one == fingerprint and at > since)

    def third_end(self, fingerprint):
        """Give when the third process ended under a request."""
        return [one.at for one in self.runners.ended if fingerprint in one.fingerprints][2]


class OrdinaryEnds:
    """Endpoints that end for no request's sake, and callers who come again some times."""

    def __init__(self, nodes, times, seconds, seed=1, again=1, lasts_s=(0.3, 3.0)):
        self.stage = CrashStage(nodes)
        self.random = random.Random(seed)
        self.seconds = seconds
        self.again = again
        self.lasts_s = lasts_s
        self.came_again = 0
        fleet = self.stage.fleet
        for _ in range(times):
            at = fleet.now + self.random.uniform(0.0, seconds)
            endpoint = f"e{self.random.randrange(12)}"
            fleet.at(at, lambda name=endpoint: self.stage.runners.end(name))

    def play(self, rate):
        stage = self.stage
        names = stage.names()
        waiting = []
        for step in range(self.seconds * rate):
            fingerprint = f"f{step}"
            stage.runners.lasts[fingerprint] = self.random.uniform(*self.lasts_s)
            self._send(names, fingerprint, self.again, waiting)
            stage.fleet.run(1.0 / rate)
            self._come_again(names, waiting)

    def _send(self, names, fingerprint, again, waiting):
        key = self.stage.send(self.random.choice(names), fingerprint)
        waiting.append((self.stage.fleet.now + AGAIN_S, key, fingerprint, again))

    def _come_again(self, names, waiting):
        """Have those come again whose connection broke off, once their time has come."""
        now = self.stage.fleet.now
        broken = {name for one in self.stage.runners.ended for name in one.fingerprints}
        for row in [row for row in waiting if row[0] <= now]:
            _, key, fingerprint, again = row
            if fingerprint in broken and again and self.stage.refusal(key) is not None:
                waiting.remove(row)
                self.came_again += 1
                self._send(names, fingerprint, again - 1, waiting)
            elif now - row[0] > 5.0:
                waiting.remove(row)

    def condemned(self):
        return [one for _, one in self.stage.fleet.refusals if one.reason == "ends_endpoints"]
