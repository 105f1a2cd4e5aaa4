"""Which model is resident on which runner.

Policies register by name in ``PLACEMENT``; the bench runs them side by side.
Each gives the moves it wants now, most urgent first; the order book carries out
as many as memory, fencing and the weight store allow. A policy never unloads a
model's last resident replica.
"""

import math
import types
import typing as t

from . import defaults
from .exceptions import UnknownPolicy
from .policy_names import NAMES
from .resources import ModelSpec
from .resources import PolicySpec
from .routing import mix

Weights = tuple[str, str]


class RunnerRoom(t.NamedTuple):
    """One runner as placement sees it; rates in tokens a second, memory in GB.

    ``barred`` weights may not be loaded there yet, since a late unload may come.
    ``load_s`` tells how long a load of each model takes there, in seconds, where that
    differs by runner. ``free_in_s`` tells how soon a busy one is expected to be free, in
    seconds; infinite where that is not known. ``room_for`` names the model that the last
    unload there made room for. ``in_use`` names what requests use there now. ``awaited`` is
    what is asked of adapters of its models that are attached nowhere, in tokens a second:
    nothing is attached while a model is loaded or unloaded there. ``kept`` names models
    whose callers were told to come back about now.
    """

    name: str
    data_centre: str
    engine: str
    free_gb: float
    token_rate: float
    resident: frozenset[Weights]
    coming: frozenset[Weights]
    busy: bool
    barred: frozenset[Weights] = frozenset()
    load_s: t.Mapping[str, float] = types.MappingProxyType({})
    free_in_s: float = math.inf
    room_for: str = ""
    in_use: frozenset[str] = frozenset()
    awaited: float = 0.0
    kept: frozenset[str] = frozenset()


class Move(t.NamedTuple):
    """One load or unload that placement wants.

    :param last: an unload of a model's last replica, meant so: its runner reads it
        back within seconds, and nobody asks for it now.
    :param room_for: the model that an unload makes room for.
    """

    action: t.Literal["load", "unload"]
    endpoint: str
    key: Weights
    gb: float
    why: str
    last: bool = False
    room_for: str = ""


class PlanInput(t.NamedTuple):
    """All that a placement policy may know.

    :param demand: work asked for by model, in tokens a second of the slowest model.
    :param asked: tokens a second by model, whatever its pace; empty where that is the same.
    :param urgent: of the demand, what cannot wait for its model to be loaded.
    :param missed: of the demand, what was refused of late for want of room.
    :param owed: what was asked in vain of models that stand nowhere, in tokens.
    :param declined: the policy tells here why it does not bring a model that is asked for
        and stands nowhere; None where nobody asks.
    :param longest_s: how long about the longest of requests run, in seconds.
    """

    models: t.Mapping[str, ModelSpec]
    runners: tuple[RunnerRoom, ...]
    demand: t.Mapping[str, float]
    policy: PolicySpec
    asked: t.Mapping[str, float] = types.MappingProxyType({})
    urgent: t.Mapping[str, float] = types.MappingProxyType({})
    missed: t.Mapping[str, float] = types.MappingProxyType({})
    longest_s: float = 0.0
    owed: t.Mapping[str, float] = types.MappingProxyType({})
    declined: dict[str, str] | None = None

    def claim(self, model: str) -> float:
        """Give what a model without a replica counts for: the more, the more is owed.

        By its demand alone one that is asked for now and then never takes the place of
        another such one: between its callers that falls to nothing, while what is owed stays.
        """
        return self.asked_for(model) + self.owed.get(model, 0.0) / defaults.CLAIM_GROWS_S

    def asked_for(self, model: str) -> float:
        """Give how much callers ask of a model, in tokens a second."""
        return self.asked.get(model, self.demand.get(model, 0.0))


Planner = t.Callable[[PlanInput], list[Move]]
PLACEMENT: dict[str, Planner] = {}


def placement(name: str) -> t.Callable[[Planner], Planner]:
    """Register a placement policy.

    :param name: how ``Policy.placement`` names it.
    """

    def register(function: Planner) -> Planner:
        PLACEMENT[name] = function
        NAMES["placement"].append(name)
        return function

    return register


def find_placement(name: str) -> Planner:
    """Look a policy up.

    :raises UnknownPolicy: when no module registered the name.
    """
    try:
        return PLACEMENT[name]
    except KeyError:
        raise UnknownPolicy(f"placement: {name!r} is not one of {', '.join(PLACEMENT)}") from None


class Board:
    """A working copy of the placement, on which a policy tries its moves."""

    def __init__(self, given: PlanInput) -> None:
        self.given = given
        self.runners = {runner.name: runner for runner in given.runners}
        self.free = {runner.name: runner.free_gb for runner in given.runners}
        self.hosts: dict[str, set[str]] = {name: set() for name in given.models}
        self.ready: dict[str, set[str]] = {name: set() for name in given.models}
        self.moves: list[Move] = []
        self.touched = {runner.name for runner in given.runners if runner.busy}
        for runner in given.runners:
            for model, version in runner.resident | runner.coming:
                spec = given.models.get(model)
                if spec is not None and spec.version == version:
                    self.hosts[model].add(runner.name)
                    if (model, version) in runner.resident:
                        self.ready[model].add(runner.name)

    def load(self, model: str, runner: str, why: str) -> None:
        """Add a replica; later moves see its memory as taken."""
        spec = self.given.models[model]
        self.moves.append(Move("load", runner, (model, spec.version), spec.memory_gb, why))
        self.free[runner] -= spec.memory_gb
        self.hosts[model].add(runner)
        self.touched.add(runner)

    def unload(self, key: Weights, runner: str, gb: float, why: str, room_for: str = "") -> None:
        """Take a replica away; its memory is not free before a report shows it."""
        last = self.ready.get(key[0]) == {runner}
        self.moves.append(Move("unload", runner, key, gb, why, last, room_for))
        self.hosts.get(key[0], set()).discard(runner)
        self.ready.get(key[0], set()).discard(runner)
        self.touched.add(runner)

    def open_to(self, model: str) -> list[RunnerRoom]:
        """List the runners that could take another replica, were there room."""
        spec = self.given.models[model]
        return [
            runner
            for runner in self.given.runners
            if runner.engine == spec.engine
            and runner.name not in self.hosts[model]
            and runner.name not in self.touched
            and (model, spec.version) not in runner.barred
        ]

    def fitting(self, model: str) -> list[RunnerRoom]:
        """List the runners with room for another replica, the emptiest first."""
        need_gb = self.given.models[model].memory_gb
        open_runners = [
            runner for runner in self.open_to(model) if self.free[runner.name] >= need_gb
        ]
        return sorted(open_runners, key=lambda one: (-self.free[one.name], mix(model, one.name)))

    def spread(self, model: str, runners: list[RunnerRoom]) -> list[RunnerRoom]:
        """Put runners of data centres that lack the model first."""
        places = {self.runners[name].data_centre for name in self.hosts[model]}
        return sorted(runners, key=lambda one: one.data_centre in places)

    def spare(self, model: str) -> bool:
        """Say whether one replica may go: others are resident and enough."""
        spec = self.given.models[model]
        return len(self.ready[model]) > max(1, spec.replicas_min)


def _place_missing(board: Board, asked_only: bool = False) -> None:
    """Load models that have no replica, and raise the others to their least number.

    :param asked_only: leave the models out that nobody asks for now.
    """
    given = board.given
    lacking = [model for model in given.models if not board.hosts[model]]
    if asked_only:
        lacking = [model for model in lacking if given.demand.get(model, 0.0) > 0.0]
    lacking.sort(key=lambda name: (-given.demand.get(name, 0.0), -given.models[name].memory_gb))
    for model in lacking:
        _place_one(board, model, "no replica")
    for model, spec in given.models.items():
        while 0 < len(board.hosts[model]) < spec.replicas_min:
            if not _place_one(board, model, "below replicas_min"):
                break


def _place_one(board: Board, model: str, why: str) -> bool:
    fitting = board.spread(model, board.fitting(model))
    if fitting:
        board.load(model, fitting[0].name, why)
        return True
    return _make_room(board, model, why)


def _make_room(board: Board, model: str, why: str) -> bool:
    """Unload spare replicas on the runner where the least must go."""
    spec = board.given.models[model]
    best: tuple[int, float, str, list[tuple[Weights, float]]] | None = None
    for runner in board.open_to(model):
        goes = _evictable(board, runner, spec.memory_gb - board.free[runner.name])
        if goes is None:
            continue
        lost = sum(board.given.demand.get(key[0], 0.0) for key, _ in goes)
        if best is None or (len(goes), lost) < best[:2]:
            best = (len(goes), lost, runner.name, goes)
    if best is None:
        return False
    for key, gb in best[3]:
        board.unload(key, best[2], gb, f"room for {model}: {why}")
    return True


def _evictable(
    board: Board, runner: RunnerRoom, need_gb: float
) -> list[tuple[Weights, float]] | None:
    """Choose replicas to unload there, the least asked for first; None if too few are spare."""
    goes: list[tuple[Weights, float]] = []
    by_demand = sorted(
        runner.resident,
        key=lambda key: (
            board.given.demand.get(key[0], 0.0) / max(1, len(board.ready.get(key[0], ()))),
            # Before there is any demand, how often a model stands is all that is known.
            -len(board.ready.get(key[0], ())),
            key,
        ),
    )
    for key in by_demand:
        if need_gb <= 0:
            break
        spec = board.given.models.get(key[0])
        if spec is None or not board.spare(key[0]):
            continue
        goes.append((key, spec.memory_gb))
        need_gb -= spec.memory_gb
    return goes if need_gb <= 0 else None


def _retire_old(board: Board) -> None:
    """Unload versions and models that are no longer declared, once the new is resident."""
    for runner in board.given.runners:
        for key in sorted(runner.resident):
            spec = board.given.models.get(key[0])
            if runner.name in board.touched or key[0].startswith("adapter/"):
                continue
            if spec is None:
                board.unload(key, runner.name, 0.0, "no longer declared")
            elif key[1] != spec.version and board.ready[key[0]]:
                board.unload(key, runner.name, spec.memory_gb, "newer version is resident")


class Split(t.NamedTuple):
    """Demand as it is shared out over the replicas, in tokens a second.

    :param load: of each runner.
    :param unserved: of each model, beyond its runners' rates.
    :param share: of each model at each of its runners.
    """

    load: dict[str, float]
    unserved: dict[str, float]
    share: dict[tuple[str, str], float]


def serve_split(board: Board) -> Split:
    """Share each model's demand out over its replicas, towards equal load."""
    given = board.given
    load = dict.fromkeys(board.runners, 0.0)
    share: dict[tuple[str, str], float] = {}
    for _ in range(6):
        for model, wish in given.demand.items():
            hosts = sorted(board.hosts.get(model, ()))
            if not hosts or wish <= 0:
                continue
            for host in hosts:
                load[host] -= share.get((model, host), 0.0)
            parts = _level(wish, hosts, load, board.runners)
            for host, part in zip(hosts, parts, strict=True):
                share[(model, host)] = part
                load[host] += part
    unserved = {model: wish for model, wish in given.demand.items() if not board.hosts.get(model)}
    for (model, host), part in share.items():
        over = load[host] - board.runners[host].token_rate
        if over > 0:
            unserved[model] = unserved.get(model, 0.0) + over * part / load[host]
    return Split(load, unserved, share)


def _level(
    wish: float, hosts: list[str], load: t.Mapping[str, float], runners: t.Mapping[str, RunnerRoom]
) -> list[float]:
    """Pour one model's demand over its hosts so that their relative load evens out."""
    rates = {host: max(runners[host].token_rate, 1e-9) for host in hosts}
    order = sorted(hosts, key=lambda host: load[host] / rates[host])
    level = 0.0
    used: list[str] = []
    for position, host in enumerate(order):
        used.append(host)
        level = (wish + sum(load[one] for one in used)) / sum(rates[one] for one in used)
        last = position + 1 == len(order)
        if last or level <= load[order[position + 1]] / rates[order[position + 1]]:
            break
    return [max(0.0, level * rates[host] - load[host]) if host in used else 0.0 for host in hosts]


@placement("gain")
def plan_by_gain(given: PlanInput) -> list[Move]:
    """Move only where the forecast gain over the pay-back time is above the cost."""
    board = Board(given)
    _place_missing(board)
    _retire_old(board)
    for _ in range(max(1, given.policy.loads_at_once)):
        if not _best_gain(board):
            break
    _second_places(board)
    return board.moves


def _best_gain(board: Board) -> bool:
    """Add the replica that serves the most unserved demand, if it pays."""
    given = board.given
    load, unserved, _ = serve_split(board)
    for model, missed in sorted(unserved.items(), key=lambda item: -item[1]):
        spec = given.models.get(model)
        if spec is None or missed <= 0 or len(board.hosts[model]) >= spec.replicas_max:
            continue
        spare = _spare_rates(board, load, model)
        for runner, rate in spare:
            gain_s = min(missed, rate) / max(runner.token_rate, 1e-9) * defaults.PAY_BACK_S
            goes = _evictable(board, runner, spec.memory_gb - board.free[runner.name])
            if goes is None:
                continue
            cost_s = given.policy.move_weight * (1 + len(goes)) * defaults.MOVE_COST_S
            if gain_s <= cost_s:
                continue
            why = f"gain {gain_s:.1f}s over cost {cost_s:.1f}s"
            if not goes:
                board.load(model, runner.name, why)
                return True
            for key, gb in goes:
                board.unload(key, runner.name, gb, f"room for {model}: {why}")
            return True
    return False


def _spare_rates(
    board: Board, load: t.Mapping[str, float], model: str
) -> list[tuple[RunnerRoom, float]]:
    rows = [
        (runner, runner.token_rate - load[runner.name])
        for runner in board.open_to(model)
        if runner.token_rate > load[runner.name]
    ]
    return sorted(rows, key=lambda row: (-row[1], row[0].name))


def _second_places(board: Board) -> None:
    """Use memory that is free anyway for a second data centre, the most asked for first."""
    given = board.given
    if any(len(hosts) == 0 for hosts in board.hosts.values()):
        return
    for model in sorted(given.models, key=lambda name: (-given.demand.get(name, 0.0), name)):
        places = {board.runners[name].data_centre for name in board.hosts[model]}
        if len(places) != 1 or given.models[model].replicas_max < 2:
            continue
        others = [one for one in board.fitting(model) if one.data_centre not in places]
        if others:
            board.load(model, others[0].name, "second data centre")


@placement("static")
def plan_static(given: PlanInput) -> list[Move]:
    """Place each model once and in a second data centre, blind to demand (a baseline)."""
    board = Board(given._replace(demand={}))
    _place_missing(board)
    _retire_old(board)
    _second_places(board)
    return board.moves


@placement("greedy")
def plan_greedy(given: PlanInput) -> list[Move]:
    """Chase every gain at any cost (a baseline)."""
    free_moves = given.policy._replace(move_weight=0.0)
    return plan_by_gain(given._replace(policy=free_moves))


@placement("proportional")
def plan_proportional(given: PlanInput) -> list[Move]:
    """Give each model replicas in proportion to its demand (a baseline)."""
    board = Board(given)
    _place_missing(board)
    _retire_old(board)
    total = sum(given.demand.values()) or 1.0
    slots = sum(len(hosts) for hosts in board.hosts.values())
    slots += sum(int(free // 12.0) for free in board.free.values() if free > 0)
    for model, wish in sorted(given.demand.items(), key=lambda item: -item[1]):
        spec = given.models.get(model)
        if spec is None:
            continue
        target = min(len(board.runners), max(1, round(slots * wish / total)))
        if len(board.hosts[model]) < target:
            _place_one(board, model, "in proportion to demand")
    return board.moves


@placement("even")
def plan_even(given: PlanInput) -> list[Move]:
    """Keep each model once, and add replicas until every runner has about its part.

    What is asked for comes first: a runner takes one load at a time, for seconds.

    Nothing is unloaded but for a model that needs its room: copies that nobody asks
    for now cost nothing, and demand comes back to them.
    """
    board = Board(given)
    _place_missing(board, asked_only=True)
    for _ in range(max(1, given.policy.loads_at_once)):
        if not _best_gain(board):
            break
    _place_missing(board)
    return board.moves
