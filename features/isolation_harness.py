"""A relaying node that may reach no endpoint, other nodes, and what it does about it."""

from relay_harness import RelayHarness

from rookspring_core import Identity
from rookspring_core.effects import HandOver
from rookspring_core.events import AttemptFailed
from rookspring_core.events import AttemptStarted
from rookspring_core.events import AttemptSucceeded
from rookspring_core.events import BoxListed
from rookspring_core.events import BoxListReceived
from rookspring_core.events import HeartbeatReceived
from rookspring_core.events import ReachProbed
from rookspring_core.events import Ticked

TICK_S = 0.1


class IsolationHarness(RelayHarness):
    """A relaying node ``a`` with plain endpoints, other nodes, and all effects that it gave."""

    def __init__(self, endpoints=3, boxes=0, role="service", name="a", data_centre="z"):
        self.given = []
        super().__init__()
        state = self.state
        identity = Identity(name, f"{name}#1", data_centre, f"peer-{name}", f"at-{name}")
        state.identity = identity
        state.membership.name, state.membership.data_centre = name, data_centre
        count = boxes or endpoints
        service = "svc" if role == "service" else "llm"
        rows = [
            BoxListed(f"e{one}", f"10.0.0.{one % count}:{one}", "z", role, "live", service)
            for one in range(endpoints)
        ]
        self.submit(BoxListReceived(self.now, tuple(rows)))
        for row in rows:
            self.submit(self.report(row.name, ["m"] if role == "runner" else []))
        self.others = []

    def perform(self, effect):
        self.given.append(effect)

    def effects(self, kind):
        return [one for one in self.given if isinstance(one, kind)]

    def beat(self, name, data_centre="z", isolated=False, leaving=False, revision=1):
        one = HeartbeatReceived(
            self.now,
            name,
            f"{name}#1",
            f"peer-{name}",
            f"at-{name}",
            data_centre,
            revision,
            leaving,
            uptime_s=100.0,
            isolated=isolated,
        )
        self.submit(one)
        return one

    def pass_time(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.submit(Ticked(self.now))
            for one in self.others:
                self.submit(one._replace(at=self.now))

    def isolate(self, reached=False):
        self.submit(ReachProbed(self.now, reached, "e0" if reached else ""))

    def meet_handover(self, failed=None, number=-1):
        """End a handover: with an answer, or with (sent, reason)."""
        effect = self.effects(HandOver)[number]
        key = (effect.request_id, effect.attempt)
        if failed is None or failed[0]:
            self.submit(AttemptStarted(self.now, *key))
        if failed is None:
            self.submit(AttemptSucceeded(self.now, *key, 200))
        else:
            self.submit(AttemptFailed(self.now, *key, failed[0], False, failed[1]))


def add_others(harness, text):
    """Add nodes from a text like ``b in z, c in y isolated, d in z leaving``."""
    for part in text.split(", "):
        name, _, data_centre, *rest = part.split()
        how = " ".join(rest)
        one = harness.beat(
            name,
            data_centre,
            isolated=how == "isolated",
            leaving=how == "leaving",
            revision=0 if how == "without a table" else 1,
        )
        harness.others.append(one)
