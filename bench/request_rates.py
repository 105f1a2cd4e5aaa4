"""Compares ways to keep an endpoint's rate limit over all nodes that send requests to it.

Simulates the endpoints of one model on the virtual clock, one of which announces a rate limit.
Every way runs on the same seeds. Measured are the endpoint's peak of requests, how much of its
rate limit is used, how many requests are refused, and how many permits are requested.
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

LIMITED_ENDPOINT = "e0"
RUN_S = 0.1
# A run lasts at least so long, and long enough for so many permits at the rate limit.
LENGTH_MIN_S = 24.0
PERMITS_MIN = 16.0
# The endpoint announces its rate limit from the start; requests that arrive during the warm-up
# are not counted.
WARM_UP_S = 4.0
WINDOW_S = 4.0
# How long leased permits are valid, and how many a node gets at most with each grant.
LEASE_S = 1.0
LEASED_PERMITS_MAX = 8

Way = t.Callable[[FleetCallers], contextlib.AbstractContextManager[t.Any]]
WAYS: dict[str, Way] = {}


def way(name: str) -> t.Callable[[Way], Way]:
    """Register a way to keep the rate limit."""

    def register(make: Way) -> Way:
        WAYS[name] = make
        return make

    return register


@way("an owner grants each")
def _owner_grants(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return contextlib.nullcontext()


def _without_owner(
    callers: FleetCallers, share: t.Callable[[int], float]
) -> contextlib.AbstractContextManager[t.Any]:
    """Let each node grant permits to itself, without an owner, within a share of the rate limit.

    :param share: returns each node's share of the rate limit for a number of nodes.
    """
    node_share = share(len(callers.names()))
    set_endpoints = SlotQueue.set_endpoints

    def set_shares(
        self: SlotQueue, endpoints: t.Any, since: float = -1e9, now: float = 0.0
    ) -> None:
        rows = [
            one if one.rate is None else one._replace(rate=one.rate * node_share)
            for one in endpoints
        ]
        set_endpoints(self, rows, since, now)

    def decide_locally(peers: t.Any, asked: t.Any) -> None:
        peers.context.loop.call_soon(fleet_node.relay_slots.handle_request, peers, asked, None)

    def keep_nodes(self: OwnerTable, nodes: t.Any, now: float) -> None:
        self._updated_at = now

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(SlotQueue, "set_endpoints", set_shares))
    stack.enter_context(
        mock.patch.object(fleet_node.relay_slots.relay_owners, "ask_owner", decide_locally)
    )
    stack.enter_context(mock.patch.object(OwnerTable, "update_nodes", keep_nodes))
    return stack


@way("each node heeds the whole")
def _whole_limit(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _without_owner(callers, lambda nodes: 1.0)


@way("each node heeds its part")
def _equal_share(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _without_owner(callers, lambda nodes: 1.0 / nodes)


@way("an owner leases some to those that ask most")
def _owner_leases(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    fleet = callers.fleet
    leased: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    requested_at: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    grant_slots = SlotQueue._grant
    ask_permit = slot_requests.ask_permit

    def grant_and_lease(self: SlotQueue, now: float) -> list[t.Any]:
        answers = grant_slots(self, now)
        for one in answers:
            served = self._endpoints[one.endpoint]
            if served.bucket is None:
                continue
            key = (one.origin, one.endpoint)
            # A node that requested permits within half the lease time is likely to do so again,
            # so it gets as many in advance.
            recent = requested_at[key] = [
                at for at in requested_at[key] if now - at < LEASE_S / 2.0
            ]
            for _ in range(min(LEASED_PERMITS_MAX, len(recent))):
                if served.bucket.permits(now) < 1.0:
                    break
                served.bucket.take(now)
                leased[key].append(now + LEASE_S)
        return answers

    def ask_unless_leased(state: t.Any, request: t.Any, view: t.Any, until: float) -> list[t.Any]:
        effects = ask_permit(state, request, view, until)
        key = (state.identity.name, view.name)
        requested_at[key].append(state.now)
        leased[key] = [end for end in leased[key] if end > state.now]
        if not leased[key]:
            return effects
        leased[key].pop()
        identity = request.arrived.request_id
        queue = slot_requests.ENDPOINT_PREFIX + view.name
        answer = SlotAnswered(
            state.now,
            identity,
            queue,
            view.name,
            0.0,
            True,
            question=request.slot_question,
        )
        node = fleet.nodes[state.identity.name]
        fleet.at(fleet.now, lambda: node.submit(answer))
        return []

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(SlotQueue, "_grant", grant_and_lease))
    stack.enter_context(mock.patch.object(slot_requests, "ask_permit", ask_unless_leased))
    return stack


class Load(t.NamedTuple):
    """The size of a deployment and its load.

    :param rate_limit: of the one endpoint that announces one, in requests per second.
    :param requests_per_s: what callers send to all nodes together.
    """

    nodes: int
    endpoints: int
    rate_limit: float
    requests_per_s: float


class RateResult(t.NamedTuple):
    """The result of a simulation.

    :param peak_requests: the most requests that arrived at the endpoint within ``WINDOW_S``.
    :param used_share: the share of its rate limit that was used.
    :param refused_share: the share of callers' requests that was refused as not run.
    :param permit_requests_per_s: permit requests of all nodes per second.
    """

    peak_requests: float
    used_share: float
    refused_share: float
    permit_requests_per_s: float


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


def simulate(load: Load, name: str, seed: int) -> RateResult:
    """Simulate a load with one way to keep the rate limit."""
    callers = FleetCallers(load.nodes, load.endpoints)
    fleet = callers.fleet
    runners = callers.runners
    runners.default_run_s = RUN_S
    runners.rates[LIMITED_ENDPOINT] = load.rate_limit
    rng = random.Random(seed)
    names = callers.names()
    start = fleet.now
    seconds = max(LENGTH_MIN_S, WARM_UP_S + PERMITS_MIN / load.rate_limit)
    ask_slot = mock.Mock(wraps=fleet_node.relay_slots.ask_slot)
    sent = 0
    with WAYS[name](callers), mock.patch.object(fleet_node.relay_slots, "ask_slot", ask_slot):
        while fleet.now < start + seconds:
            callers.send(rng.choice(names), "", repeatable=True, attempts=2)
            sent += 1
            fleet.run(rng.expovariate(load.requests_per_s))
    counted_from = start + WARM_UP_S
    arrivals = [
        one.at
        for one in runners.arrivals
        if one.endpoint == LIMITED_ENDPOINT and one.at >= counted_from
    ]
    peak = max((sum(at <= one <= at + WINDOW_S for one in arrivals) for at in arrivals), default=0)
    counted_s = seconds - WARM_UP_S
    return RateResult(
        peak,
        len(arrivals) / (load.rate_limit * counted_s),
        sum(one.outcome == "not_run" for _, one in fleet.refusals) / sent,
        ask_slot.call_count / seconds,
    )


@experiment("request-rates")
def run(arguments: list[str]) -> int:
    """Measure every way under every load."""
    parser = argparse.ArgumentParser(prog="request-rates")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--loads", type=int, default=len(LOADS))
    given = parser.parse_args(arguments)
    configure("ERROR")
    rows = []
    for load in LOADS[: given.loads]:
        for name in given.ways.split(","):
            found = [simulate(load, name, seed) for seed in range(given.seeds)]
            means = [sum(column) / given.seeds for column in zip(*found, strict=True)]
            rows.append(
                {
                    "nodes": load.nodes,
                    "endpoints": load.endpoints,
                    "rate": load.rate_limit,
                    "asked a second": load.requests_per_s,
                    "way": name,
                    "borne in 4 s": 1.5 * load.rate_limit * WINDOW_S + 5,
                    "most in 4 s": max(one.peak_requests for one in found),
                    "used of its rate": means[1],
                    "refused": means[2],
                    "questions a second": means[3],
                }
            )
    report("request-rates", f"Ways to keep a rate limit, {given.seeds} seeds", rows)
    return 0
