"""A fleet whose endpoints end under some requests, and callers who come again."""

import itertools

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
