"""Compares ways to respect requested back-offs: which nodes back off, and how they return.

Simulates a service on the virtual clock. For a while, one of its endpoints refuses the requests
of some or all nodes and requests a back-off. Every way runs on the same seeds.
"""

import argparse
import contextlib
import functools
import random
import typing as t
from unittest import mock

from rookspring.logs import configure
from rookspring_core import notice_handlers
from rookspring_core import notices
from rookspring_core.endpoints import EndpointView
from rookspring_core.hashing import stable_hash
from rookspring_core.notices import NoticeTable
from rookspring_fakes.fleet_callers import FleetCallers

from .registry import experiment
from .registry import report

ENDPOINTS = 6
SLOTS = 12
RUN_S = 0.4
BACKOFF_S = 3.0
# The endpoint sheds load from the second to the eighth of twenty seconds.
SHEDDING_S = (2.0, 8.0)
LENGTH_S = 20.0
# The share of a back-off over which nodes return after it, in the way that spreads them.
RETURN_SPREAD_SHARE = 0.25

Way = t.Callable[[FleetCallers], contextlib.AbstractContextManager[t.Any]]
WAYS: dict[str, Way] = {}


def way(name: str) -> t.Callable[[Way], Way]:
    """Register a way to respect back-offs."""

    def register(make: Way) -> Way:
        WAYS[name] = make
        return make

    return register


@way("told to all, who add to its load; one request first")
def _unchanged(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return contextlib.nullcontext()


def _without_shed_load() -> contextlib.AbstractContextManager[t.Any]:
    return mock.patch.object(notices, "SHED_LOAD", 0.0)


@way("local, one request first")
def _local(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _without_shed_load()


@way("local, all at once")
def _at_once(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    stack = contextlib.ExitStack()
    stack.enter_context(_without_shed_load())
    stack.enter_context(
        mock.patch.object(EndpointView, "probing_after_backoff", lambda self, now: False)
    )
    return stack


@way("local, spread over a quarter of the rest")
def _spread_returns(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    stack = contextlib.ExitStack()
    stack.enter_context(_at_once(callers))
    restore = notice_handlers.restore_notices

    def restore_and_extend(state: t.Any, view: EndpointView) -> None:
        restore(state, view)
        if view.in_backoff(state.now):
            spread = stable_hash(state.identity.name, view.name) % 1000 / 1000.0
            view.backoff_until += spread * RETURN_SPREAD_SHARE * BACKOFF_S

    stack.enter_context(mock.patch.object(notice_handlers, "restore_notices", restore_and_extend))
    return stack


def _share_backoffs(
    callers: FleetCallers, apply: t.Callable[[t.Any, str, int, float], None]
) -> t.Any:
    """Pass each back-off that a node adds on to all other nodes, after the delay of two links.

    :param apply: sets the back-off at a node.
    """
    fleet = callers.fleet
    add_backoff = NoticeTable.add_backoff

    def add_and_share(self: NoticeTable, endpoint: str, born: int, until: float) -> None:
        add_backoff(self, endpoint, born, until)
        for node in fleet.nodes.values():
            if node.state.notices is not self:
                fleet.at(fleet.now + 0.003, functools.partial(apply, node, endpoint, born, until))

    return mock.patch.object(NoticeTable, "add_backoff", add_and_share)


@way("told to all, who rest as well")
def _all_back_off(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    def apply(node: t.Any, endpoint: str, born: int, until: float) -> None:
        view = node.state.endpoints.get(endpoint)
        if view is not None:
            view.backoff_until = max(view.backoff_until, until)

    stack = contextlib.ExitStack()
    stack.enter_context(_without_shed_load())
    stack.enter_context(_share_backoffs(callers, apply))
    return stack


class BackoffResult(t.NamedTuple):
    """The result of a simulation.

    :param endpoint_refusals: requests that the endpoint refused.
    :param refused: callers' requests that were refused as not run.
    :param peak_at_return: the most requests that arrived at the endpoint within 0.1 s, once it
        sheds load no longer.
    :param early_use: the requests that arrived in the first 4 s after that, as a share of what its
        slots can run.
    """

    endpoint_refusals: int
    refused: int
    peak_at_return: int
    early_use: float


def simulate(nodes: int, name: str, share: float, seed: int, load: float) -> BackoffResult:
    """Simulate twenty seconds with one way to respect back-offs.

    :param share: the share of the nodes whose requests the endpoint refuses; at least one node's.
    :param load: the request rate, as a share of what all slots can run.
    """
    callers = FleetCallers(nodes, ENDPOINTS)
    fleet = callers.fleet
    rng = random.Random(seed)
    names = callers.names()
    refused_nodes = frozenset(names[: max(1, round(share * nodes))])
    start = fleet.now
    shed = (start + SHEDDING_S[0], start + SHEDDING_S[1])
    callers.runners.limits = dict.fromkeys((f"e{one}" for one in range(ENDPOINTS)), SLOTS)
    callers.runners.default_run_s = RUN_S
    fleet.at(shed[0], lambda: callers.runners.shed("e0", shed[1], BACKOFF_S, refused_nodes))
    rate = load * ENDPOINTS * SLOTS / RUN_S
    with WAYS[name](callers):
        for _ in range(round(rate * LENGTH_S)):
            callers.send(rng.choice(names), "", repeatable=True, attempts=2)
            fleet.run(rng.expovariate(rate))
    arrivals = [one.at for one in callers.runners.arrivals if one.endpoint == "e0"]
    after = [at for at in arrivals if at >= shed[1]]
    peak = max((sum(1 for at in after if one <= at < one + 0.1) for one in after), default=0)
    # As a share of what its slots can run in the four seconds after it shed load.
    used = sum(1 for at in after if at < shed[1] + 4.0) / (4.0 * SLOTS / RUN_S)
    return BackoffResult(
        len(callers.runners.turned_away),
        sum(1 for at, one in fleet.refusals if one.outcome == "not_run"),
        peak,
        used,
    )


@experiment("rests")
def run(arguments: list[str]) -> int:
    """Measure every way, with all nodes refused and with one."""
    parser = argparse.ArgumentParser(prog="rests")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--nodes", default="9,69")
    given = parser.parse_args(arguments)
    configure("ERROR")
    rows = []
    for nodes in map(int, given.nodes.split(",")):
        for share, who in ((1.0, "all nodes"), (0.0, "one node")):
            for name in WAYS:
                found = [simulate(nodes, name, share, seed, 0.6) for seed in range(given.seeds)]
                sums = [sum(column) / given.seeds for column in zip(*found, strict=True)]
                rows.append(
                    {
                        "nodes": nodes,
                        "turned away": who,
                        "way": name,
                        "turned away there": sums[0],
                        "refused": sums[1],
                        "most within 0.1 s after": sums[2],
                        "of its slots used in 4 s after": sums[3],
                    }
                )
    report("rests", f"Ways to respect back-offs, means of {given.seeds} seeds", rows)
    return 0
