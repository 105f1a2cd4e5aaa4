"""Simulation of a plain service under the load of many nodes, on a simulated clock.

The owner's queue is the real one; nodes and endpoints are modelled.
"""

import collections
import heapq
import itertools
import random

from rookspring_core.slot_queues import SlotEndpoint
from rookspring_core.slot_queues import SlotQueue
from rookspring_core.slot_queues import SlotRequest

OBJECTIVE_S = 0.3
# Network delay from a node to a service's owner, and the interval of heartbeats.
HOP_S = 0.0015
BEAT_S = 0.4
QUEUE = 24


class PlainEndpoint:
    """Runs as many requests at once as it has slots, and queues a few more."""

    def __init__(self, slots, run_s, drawn):
        self.slots = slots
        self.run_s = run_s
        self.drawn = drawn
        self.ends = []

    def take(self, now):
        """Return when a request that arrives now ends; None if it is rejected."""
        self.ends = sorted(end for end in self.ends if end > now)
        if len(self.ends) >= self.slots + QUEUE:
            return None
        start = now if len(self.ends) < self.slots else self.ends[-self.slots]
        end = start + self.drawn.uniform(0.5, 1.5) * self.run_s
        self.ends.append(end)
        return end

    def held(self, now):
        return sum(end > now for end in self.ends)


class PlainService:
    """A plain service under load, on a simulated clock."""

    def __init__(self, endpoints, slots, run_s):
        self.drawn = random.Random(5)
        self.endpoints = {
            f"e{number}": PlainEndpoint(slots, run_s, self.drawn) for number in range(endpoints)
        }
        self.slots = slots
        self.can_run_per_s = endpoints * slots / run_s
        self.took = []
        self.refused_after = []
        self.served = collections.Counter()
        self.shed = 0
        self.events = []
        self.numbers = itertools.count()

    def at(self, moment, call, *arguments):
        heapq.heappush(self.events, (moment, next(self.numbers), call, arguments))

    def play(self, rate, seconds, arrive):
        self.rate, self.seconds = rate, seconds
        now = 0.0
        while now < seconds:
            now += self.drawn.expovariate(rate)
            self.at(now, arrive, next(self.numbers))
        while self.events:
            moment, _, call, arguments = heapq.heappop(self.events)
            call(moment, *arguments)

    def send(self, now, name, arrived_at):
        """Send a request to an endpoint; returns when it ends there."""
        end = self.endpoints[name].take(now)
        if end is None:
            self.shed += 1
            return now
        self.took.append(end - arrived_at)
        return end


def simulate_owner(service, rate, seconds, whose=lambda number: ""):
    queue = SlotQueue()
    queue.set_endpoints(SlotEndpoint(name, service.slots) for name in service.endpoints)
    arrived = {}

    def arrive(now, number):
        arrived[str(number)] = now
        service.at(now + HOP_S, ask, str(number))

    def ask(now, key):
        tell(
            now,
            queue.request_slot(SlotRequest("n", key, 0, whose(int(key)), OBJECTIVE_S - HOP_S), now),
        )

    def tell(now, answers):
        for one in answers:
            if one.endpoint:
                service.at(now + HOP_S, run, one.key, one.endpoint)
            elif one.after_s > 0.0:
                service.refused_after.append(now + HOP_S - arrived[one.key])

    def run(now, key, name):
        end = service.send(now, name, arrived[key])
        service.served[whose(int(key))] += end - arrived[key] <= OBJECTIVE_S
        service.at(end + HOP_S, free, key, name, end - now)

    def free(now, key, name, took_s):
        tell(now, queue.free(name, "n", key, took_s, now))

    def settle(now):
        tell(now, queue.process_waiting(now))
        if now < seconds + 1.0:
            service.at(now + 0.05, settle)

    service.at(0.0, settle)
    service.play(rate, seconds, arrive)


def simulate_own_views(service, rate, seconds):
    """Let each node choose by the requests in flight at the last heartbeat, and by its own."""
    views = dict.fromkeys(service.endpoints, 0)
    own = [dict.fromkeys(service.endpoints, 0) for _ in range(69)]

    def beat(now):
        views.update({name: one.held(now) for name, one in service.endpoints.items()})
        if now < seconds:
            service.at(now + BEAT_S, beat)

    def arrive(now, number):
        service.at(now, look, number % 69, now)

    def look(now, node, arrived_at):
        loads = {name: views[name] + own[node][name] for name in views}
        name = min(loads, key=loads.get)
        if loads[name] >= service.slots:
            if now - arrived_at > OBJECTIVE_S / 4:
                service.refused_after.append(now - arrived_at)
            else:
                service.at(now + 0.02, look, node, arrived_at)
            return
        own[node][name] += 1
        service.at(service.send(now, name, arrived_at), over, node, name)

    def over(now, node, name):
        own[node][name] -= 1

    service.at(0.0, beat)
    service.play(rate, seconds, arrive)
