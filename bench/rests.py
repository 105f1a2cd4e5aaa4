"""Ways to heed rests: who is told, and how nodes come back once they are over.

Plays a service on the virtual clock of whose endpoints one turns requests away for a while and
asks each node for rest, each way on the same seeds.
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
REST_S = 3.0
# The endpoint sheds from the second to the eighth second of twenty.
SHEDS_S = (2.0, 8.0)
SECONDS = 20.0
# Part of a rest over which the nodes' returns are spread, where they are.
RAMP_SHARE = 0.25

Way = t.Callable[[FleetCallers], contextlib.AbstractContextManager[t.Any]]
WAYS: dict[str, Way] = {}


def way(name: str) -> t.Callable[[Way], Way]:
    """Register a way to heed rests."""

    def register(make: Way) -> Way:
        WAYS[name] = make
        return make

    return register


@way("told to all, who add to its load; one request first")
def _as_is(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return contextlib.nullcontext()


def _untold() -> contextlib.AbstractContextManager[t.Any]:
    return mock.patch.object(notices, "SHED_LOAD", 0.0)


@way("local, one request first")
def _local(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    return _untold()


@way("local, all at once")
def _at_once(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    stack = contextlib.ExitStack()
    stack.enter_context(_untold())
    stack.enter_context(
        mock.patch.object(EndpointView, "probing_after_backoff", lambda self, now: False)
    )
    return stack


@way("local, spread over a quarter of the rest")
def _ramp(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    stack = contextlib.ExitStack()
    stack.enter_context(_at_once(callers))
    recall = notice_handlers.restore_notices

    def later(state: t.Any, view: EndpointView) -> None:
        recall(state, view)
        if view.in_backoff(state.now):
            spread = stable_hash(state.identity.name, view.name) % 1000 / 1000.0
            view.backoff_until += spread * RAMP_SHARE * REST_S

    stack.enter_context(mock.patch.object(notice_handlers, "restore_notices", later))
    return stack


def _on_rest(callers: FleetCallers, tell: t.Callable[[t.Any, str, int, float], None]) -> t.Any:
    """Have all other nodes told of a rest, two ways of links later."""
    fleet = callers.fleet
    take = NoticeTable.add_backoff

    def take_and_tell(self: NoticeTable, endpoint: str, born: int, until: float) -> None:
        take(self, endpoint, born, until)
        for node in fleet.nodes.values():
            if node.state.notices is not self:
                fleet.at(fleet.now + 0.003, functools.partial(tell, node, endpoint, born, until))

    return mock.patch.object(NoticeTable, "add_backoff", take_and_tell)


@way("told to all, who rest as well")
def _told(callers: FleetCallers) -> contextlib.AbstractContextManager[t.Any]:
    def tell(node: t.Any, endpoint: str, born: int, until: float) -> None:
        view = node.state.endpoints.get(endpoint)
        if view is not None:
            view.backoff_until = max(view.backoff_until, until)

    stack = contextlib.ExitStack()
    stack.enter_context(_untold())
    stack.enter_context(_on_rest(callers, tell))
    return stack


class Played(t.NamedTuple):
    """What callers got, and what the endpoint was spared."""

    turned_away: int
    refused: int
    most_at_return: int
    early_use: float


def play(nodes: int, name: str, share: float, seed: int, load: float) -> Played:
    """Play twenty seconds.

    :param share: of the nodes which the endpoint turns away.
    :param load: of all slots.
    """
    callers = FleetCallers(nodes, ENDPOINTS)
    fleet = callers.fleet
    drawn = random.Random(seed)
    names = callers.names()
    shunned = frozenset(names[: max(1, round(share * nodes))])
    start = fleet.now
    shed = (start + SHEDS_S[0], start + SHEDS_S[1])
    callers.runners.limits = dict.fromkeys((f"e{one}" for one in range(ENDPOINTS)), SLOTS)
    callers.runners.default_run_s = RUN_S
    fleet.at(shed[0], lambda: callers.runners.shed("e0", shed[1], REST_S, shunned))
    rate = load * ENDPOINTS * SLOTS / RUN_S
    with WAYS[name](callers):
        for _ in range(round(rate * SECONDS)):
            callers.send(drawn.choice(names), "", repeatable=True, attempts=2)
            fleet.run(drawn.expovariate(rate))
    there = [one.at for one in callers.runners.arrivals if one.endpoint == "e0"]
    after = [at for at in there if at >= shed[1]]
    peak = max((sum(1 for at in after if one <= at < one + 0.1) for one in after), default=0)
    # Of what its slots could run in the four seconds since.
    used = sum(1 for at in after if at < shed[1] + 4.0) / (4.0 * SLOTS / RUN_S)
    return Played(
        len(callers.runners.turned_away),
        sum(1 for at, one in fleet.refusals if one.outcome == "not_run"),
        peak,
        used,
    )


@experiment("rests")
def run(arguments: list[str]) -> int:
    """Compare the ways."""
    parser = argparse.ArgumentParser(prog="rests")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--nodes", default="9,69")
    given = parser.parse_args(arguments)
    configure("ERROR")
    rows = []
    for nodes in map(int, given.nodes.split(",")):
        for share, who in ((1.0, "all nodes"), (0.0, "one node")):
            for name in WAYS:
                found = [play(nodes, name, share, seed, 0.6) for seed in range(given.seeds)]
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
    report("rests", f"Ways to heed rests, means of {given.seeds} seeds", rows)
    return 0
