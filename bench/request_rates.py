"""Ways to keep an endpoint's requests a second, over all nodes that send to it.

Plays endpoints of one model on the virtual clock, one of which names a rate, each way on the same
seeds: what it gets, how much of its rate is used, what callers get and how many messages it takes.
"""

import argparse
import collections
import contextlib
import random
import typing as t
from unittest import mock

from rookspring.logs import configure
from rookspring_core import slot_requests
from rookspring_core.events import SlotAnswered
from rookspring_core.owners import OwnerTable
from rookspring_core.slot_queues import SlotQueue
from rookspring_fakes import fleet_node
from rookspring_fakes.fleet_callers import FleetCallers

from .registry import experiment
from .registry import report

LIMITED = "e0"
RUN_S = 0.1
# At least so long, and until so many turns are due.
SECONDS = 24.0
TURNS = 16.0
# The endpoint names its rate from the start; what comes in the first seconds is not counted.
SETTLED_S = 4.0
WINDOW_S = 4.0
# A lease of turns ends after so long, in seconds, and holds no more than so many.
LEASE_S = 1.0
LEASE_MOST = 8

Way = t.Callable[[FleetCallers], contextlib.AbstractContextManager[t.Any]]
WAYS: dict[str, Way] = {}


def way(name: str) -> t.Callable[[Way], Way]:
    """Register a way to keep the rate."""

    def register(make: Way) -> Way:
        WAYS[name] = make
        return make

    return register


@way("an owner grants each")
def _granted(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return contextlib.nullcontext()


def _alone(
    callers: FleetCallers, share: t.Callable[[int], float]
) -> contextlib.AbstractContextManager[t.Any]:
    """Have each node be the owner for itself, of a part of the rate."""
    part = share(len(callers.names()))
    use = SlotQueue.set_endpoints

    def take(self: SlotQueue, endpoints: t.Any, since: float = -1e9, now: float = 0.0) -> None:
        rows = [
            one if one.rate is None else one._replace(rate=one.rate * part) for one in endpoints
        ]
        use(self, rows, since, now)

    def ask(peers: t.Any, asked: t.Any) -> None:
        peers.context.loop.call_soon(fleet_node.relay_slots.handle_request, peers, asked, None)

    def keep(self: OwnerTable, nodes: t.Any, now: float) -> None:
        self._updated_at = now

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(SlotQueue, "set_endpoints", take))
    stack.enter_context(mock.patch.object(fleet_node.relay_slots.relay_owners, "ask_owner", ask))
    stack.enter_context(mock.patch.object(OwnerTable, "update_nodes", keep))
    return stack


@way("each node heeds the whole")
def _whole(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _alone(callers, lambda nodes: 1.0)


@way("each node heeds its part")
def _share(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _alone(callers, lambda nodes: 1.0 / nodes)


@way("an owner leases some to those that ask most")
def _leased(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    fleet = callers.fleet
    held: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    asked_at: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    give = SlotQueue._grant
    ask = slot_requests.ask_permit

    def grant(self: SlotQueue, now: float) -> list[t.Any]:
        answers = give(self, now)
        for one in answers:
            served = self._endpoints[one.endpoint]
            if served.bucket is None:
                continue
            key = (one.origin, one.endpoint)
            # What it asks in half a lease's time is likely to be asked again.
            recent = asked_at[key] = [at for at in asked_at[key] if now - at < LEASE_S / 2.0]
            for _ in range(min(LEASE_MOST, len(recent))):
                if served.bucket.permits(now) < 1.0:
                    break
                served.bucket.take(now)
                held[key].append(now + LEASE_S)
        return answers

    def ask_turn(state: t.Any, request: t.Any, view: t.Any, until: float) -> list[t.Any]:
        effects = ask(state, request, view, until)
        key = (state.identity.name, view.name)
        asked_at[key].append(state.now)
        held[key] = [end for end in held[key] if end > state.now]
        if not held[key]:
            return effects
        held[key].pop()
        identity = request.arrived.request_id
        told = SlotAnswered(
            state.now, identity, slot_requests.ENDPOINT_PREFIX + view.name, view.name, 0.0, True
        )
        node = fleet.nodes[state.identity.name]
        fleet.at(fleet.now, lambda: node.submit(told))
        return []

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(SlotQueue, "_grant", grant))
    stack.enter_context(mock.patch.object(slot_requests, "ask_permit", ask_turn))
    return stack


class Load(t.NamedTuple):
    """How many nodes and endpoints there are, the rate that one names, and what is asked."""

    nodes: int
    endpoints: int
    rate: float
    asked: float


class Played(t.NamedTuple):
    """What the endpoint got, what callers got, and what it took."""

    most: float
    used: float
    refused: float
    questions: float


LOADS = (
    Load(9, 4, 1.4, 30.0),
    Load(69, 4, 1.4, 40.0),
    Load(195, 4, 1.4, 60.0),
    Load(9, 4, 0.2, 30.0),
    Load(69, 4, 6.0, 120.0),
    Load(195, 4, 30.0, 300.0),
    Load(9, 1, 6.0, 20.0),
    Load(69, 1, 30.0, 90.0),
)


def play(load: Load, name: str, seed: int) -> Played:
    """Play some seconds."""
    callers = FleetCallers(load.nodes, load.endpoints)
    fleet = callers.fleet
    runners = callers.runners
    runners.default_run_s = RUN_S
    runners.rates[LIMITED] = load.rate
    drawn = random.Random(seed)
    names = callers.names()
    start = fleet.now
    seconds = max(SECONDS, SETTLED_S + TURNS / load.rate)
    asked = mock.Mock(wraps=fleet_node.relay_slots.ask_slot)
    sent = 0
    with WAYS[name](callers), mock.patch.object(fleet_node.relay_slots, "ask_slot", asked):
        while fleet.now < start + seconds:
            callers.send(drawn.choice(names), "", repeatable=True, attempts=2)
            sent += 1
            fleet.run(drawn.expovariate(load.asked))
    begins = start + SETTLED_S
    there = [one.at for one in runners.arrivals if one.endpoint == LIMITED and one.at >= begins]
    most = max((sum(at <= one <= at + WINDOW_S for one in there) for at in there), default=0)
    spent_s = seconds - SETTLED_S
    return Played(
        most,
        len(there) / (load.rate * spent_s),
        sum(one.outcome == "not_run" for _, one in fleet.refusals) / sent,
        asked.call_count / seconds,
    )


@experiment("request-rates")
def run(arguments: list[str]) -> int:
    """Compare the ways."""
    parser = argparse.ArgumentParser(prog="request-rates")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--loads", type=int, default=len(LOADS))
    given = parser.parse_args(arguments)
    configure("ERROR")
    rows = []
    for load in LOADS[: given.loads]:
        for name in given.ways.split(","):
            found = [play(load, name, seed) for seed in range(given.seeds)]
            means = [sum(column) / given.seeds for column in zip(*found, strict=True)]
            rows.append(
                {
                    "nodes": load.nodes,
                    "endpoints": load.endpoints,
                    "rate": load.rate,
                    "asked a second": load.asked,
                    "way": name,
                    "borne in 4 s": 1.5 * load.rate * WINDOW_S + 5,
                    "most in 4 s": max(one.most for one in found),
                    "used of its rate": means[1],
                    "refused": means[2],
                    "questions a second": means[3],
                }
            )
    report("request-rates", f"Ways to keep a rate, {given.seeds} seeds", rows)
    return 0
