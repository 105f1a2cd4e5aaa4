"""Placement policies: which model is resident on which runner.

Policies register by name in ``PLACEMENT``; the benchmarks compare them. Each returns
its moves, most urgent first; the lease holder then orders as many of them as memory,
fencing and the weight store allow. The policies of this module never unload the last
resident replica of a declared model.
"""

import typing as t

from . import defaults
from .exceptions import UnknownPolicy
from .placement_plans import Claim as Claim
from .placement_plans import Move as Move
from .placement_plans import PlanInput as PlanInput
from .placement_plans import RunnerSnapshot as RunnerSnapshot
from .placement_plans import Weights as Weights
from .policy_names import REGISTERED
from .routing import stable_hash

Planner = t.Callable[[PlanInput], list[Move]]
PLACEMENT: dict[str, Planner] = {}


def placement(name: str) -> t.Callable[[Planner], Planner]:
    """Register a placement policy.

    :param name: the value of ``Policy.placement`` that selects it.
    """

    def register(function: Planner) -> Planner:
        PLACEMENT[name] = function
        REGISTERED["placement"].append(name)
        return function

    return register


def find_placement(name: str) -> Planner:
    """Return the policy of a name.

    :raises UnknownPolicy: if no module has registered the name.
    """
    try:
        return PLACEMENT[name]
    except KeyError:
        raise UnknownPolicy(f"placement: {name!r} is not one of {', '.join(PLACEMENT)}") from None


class Board:
    """Working copy of the placement that a policy applies its moves to.

    ``hosts`` are the runners that hold or load each model, ``ready`` those that hold it.
    ``unavailable`` are runners that are busy or already have a move in this plan.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self.plan_input = plan_input
        self.runners = {runner.name: runner for runner in plan_input.runners}
        self.free = {runner.name: runner.free_gb for runner in plan_input.runners}
        self.hosts: dict[str, set[str]] = {name: set() for name in plan_input.models}
        self.ready: dict[str, set[str]] = {name: set() for name in plan_input.models}
        self.moves: list[Move] = []
        self.unavailable = {runner.name for runner in plan_input.runners if runner.busy}
        for runner in plan_input.runners:
            for model, version in runner.resident | runner.loading:
                spec = plan_input.models.get(model)
                if spec is not None and spec.version == version:
                    self.hosts[model].add(runner.name)
                    if (model, version) in runner.resident:
                        self.ready[model].add(runner.name)

    def load(self, model: str, runner: str, why: str) -> None:
        """Plan a load; its memory counts as taken for later moves."""
        spec = self.plan_input.models[model]
        self.moves.append(Move("load", runner, (model, spec.version), spec.memory_gb, why))
        self.free[runner] -= spec.memory_gb
        self.hosts[model].add(runner)
        self.unavailable.add(runner)

    def unload(self, key: Weights, runner: str, gb: float, why: str, room_for: str = "") -> None:
        """Plan an unload; its memory is not free until a report shows it gone."""
        last = self.ready.get(key[0]) == {runner}
        self.moves.append(Move("unload", runner, key, gb, why, last, room_for))
        self.hosts.get(key[0], set()).discard(runner)
        self.ready.get(key[0], set()).discard(runner)
        self.unavailable.add(runner)

    def candidate_runners(self, model: str) -> list[RunnerSnapshot]:
        """List the runners that could take another replica if they had the memory."""
        spec = self.plan_input.models[model]
        return [
            runner
            for runner in self.plan_input.runners
            if runner.engine == spec.engine
            and runner.name not in self.hosts[model]
            and runner.name not in self.unavailable
            and (model, spec.version) not in runner.barred
        ]

    def runners_with_room(self, model: str) -> list[RunnerSnapshot]:
        """List the runners with room for another replica, most free memory first."""
        need_gb = self.plan_input.models[model].memory_gb
        open_runners = [
            runner for runner in self.candidate_runners(model) if self.free[runner.name] >= need_gb
        ]
        return sorted(
            open_runners, key=lambda one: (-self.free[one.name], stable_hash(model, one.name))
        )

    def prefer_new_data_centres(
        self, model: str, runners: list[RunnerSnapshot]
    ) -> list[RunnerSnapshot]:
        """Sort runners in data centres without the model first."""
        places = {self.runners[name].data_centre for name in self.hosts[model]}
        return sorted(runners, key=lambda one: one.data_centre in places)

    def has_spare_replica(self, model: str) -> bool:
        """Return whether a replica can be unloaded without going below one or ``replicas_min``."""
        spec = self.plan_input.models[model]
        return len(self.ready[model]) > max(1, spec.replicas_min)


def _place_missing(board: Board, with_demand_only: bool = False) -> None:
    """Load models that have no replica, and raise the others to ``replicas_min``.

    :param with_demand_only: of the models without a replica, load only those with demand.
    """
    plan_input = board.plan_input
    lacking = [model for model in plan_input.models if not board.hosts[model]]
    if with_demand_only:
        lacking = [model for model in lacking if plan_input.demand.get(model, 0.0) > 0.0]
    lacking.sort(
        key=lambda name: (-plan_input.demand.get(name, 0.0), -plan_input.models[name].memory_gb)
    )
    for model in lacking:
        _add_replica(board, model, "no replica")
    for model, spec in plan_input.models.items():
        while 0 < len(board.hosts[model]) < spec.replicas_min:
            if not _add_replica(board, model, "below replicas_min"):
                break


def _add_replica(board: Board, model: str, why: str) -> bool:
    fitting = board.prefer_new_data_centres(model, board.runners_with_room(model))
    if fitting:
        board.load(model, fitting[0].name, why)
        return True
    return _make_room(board, model, why)


def _make_room(board: Board, model: str, why: str) -> bool:
    """Unload spare replicas on the runner where the fewest, with the least demand, must go."""
    spec = board.plan_input.models[model]
    best: tuple[int, float, str, list[tuple[Weights, float]]] | None = None
    for runner in board.candidate_runners(model):
        evictions = _evictable(board, runner, spec.memory_gb - board.free[runner.name])
        if evictions is None:
            continue
        lost = sum(board.plan_input.demand.get(key[0], 0.0) for key, _ in evictions)
        if best is None or (len(evictions), lost) < best[:2]:
            best = (len(evictions), lost, runner.name, evictions)
    if best is None:
        return False
    for key, gb in best[3]:
        board.unload(key, best[2], gb, f"room for {model}: {why}")
    return True


def _evictable(
    board: Board, runner: RunnerSnapshot, need_gb: float
) -> list[tuple[Weights, float]] | None:
    """Choose spare replicas to unload, lowest demand first; None if they free too little."""
    evictions: list[tuple[Weights, float]] = []
    by_demand = sorted(
        runner.resident,
        key=lambda key: (
            board.plan_input.demand.get(key[0], 0.0) / max(1, len(board.ready.get(key[0], ()))),
            # Without any demand yet, models with more replicas go first.
            -len(board.ready.get(key[0], ())),
            key,
        ),
    )
    for key in by_demand:
        if need_gb <= 0:
            break
        spec = board.plan_input.models.get(key[0])
        if spec is None or not board.has_spare_replica(key[0]):
            continue
        evictions.append((key, spec.memory_gb))
        need_gb -= spec.memory_gb
    return evictions if need_gb <= 0 else None


def _retire_old(board: Board) -> None:
    """Unload models that are no longer declared, and versions whose successor is resident."""
    for runner in board.plan_input.runners:
        for key in sorted(runner.resident):
            spec = board.plan_input.models.get(key[0])
            if runner.name in board.unavailable or key[0].startswith("adapter/"):
                continue
            if spec is None:
                board.unload(key, runner.name, 0.0, "no longer declared")
            elif key[1] != spec.version and board.ready[key[0]]:
                board.unload(key, runner.name, spec.memory_gb, "newer version is resident")


class DemandSplit(t.NamedTuple):
    """Demand as distributed over the replicas, in tokens a second.

    :param load: demand at each runner.
    :param unserved: demand of each model beyond the rates of its runners.
    :param share: demand of each model at each of its runners.
    """

    load: dict[str, float]
    unserved: dict[str, float]
    share: dict[tuple[str, str], float]


def split_demand(board: Board, before: DemandSplit | None = None) -> DemandSplit:
    """Distribute each model's demand over its replicas so that relative load evens out.

    :param before: a distribution to start from, which fewer rounds bring up to date.
    """
    plan_input = board.plan_input
    load = dict.fromkeys(board.runners, 0.0)
    share: dict[tuple[str, str], float] = {}
    for (model, host), part in before.share.items() if before else ():
        if host in board.hosts[model]:
            share[(model, host)] = part
            load[host] += part
    placed = [
        (model, model_demand, sorted(board.hosts[model]))
        for model, model_demand in plan_input.demand.items()
        if model_demand > 0 and board.hosts.get(model)
    ]
    for _ in range(defaults.SPLIT_ROUNDS_MORE if before else defaults.SPLIT_ROUNDS):
        for model, model_demand, hosts in placed:
            for host in hosts:
                load[host] -= share.get((model, host), 0.0)
            parts = _water_fill(model_demand, hosts, load, board.runners)
            for host, part in zip(hosts, parts, strict=True):
                share[(model, host)] = part
                load[host] += part
    unserved = {
        model: model_demand
        for model, model_demand in plan_input.demand.items()
        if not board.hosts.get(model)
    }
    for (model, host), part in share.items():
        over = load[host] - board.runners[host].token_rate
        if over > 0:
            unserved[model] = unserved.get(model, 0.0) + over * part / load[host]
    return DemandSplit(load, unserved, share)


def _water_fill(
    model_demand: float,
    hosts: list[str],
    load: t.Mapping[str, float],
    runners: t.Mapping[str, RunnerSnapshot],
) -> list[float]:
    """Distribute one model's demand over its hosts by water-filling.

    The least loaded hosts are filled up to a common load relative to their rates.
    """
    if len(hosts) == 1:
        rate = max(runners[hosts[0]].token_rate, 1e-9)
        carried = load[hosts[0]]
        return [max(0.0, (model_demand + carried) / rate * rate - carried)]
    rates = {host: max(runners[host].token_rate, 1e-9) for host in hosts}
    order = sorted(hosts, key=lambda host: load[host] / rates[host])
    level = 0.0
    used: list[str] = []
    for position, host in enumerate(order):
        used.append(host)
        level = (model_demand + sum(load[one] for one in used)) / sum(rates[one] for one in used)
        last = position + 1 == len(order)
        if last or level <= load[order[position + 1]] / rates[order[position + 1]]:
            break
    return [max(0.0, level * rates[host] - load[host]) if host in used else 0.0 for host in hosts]


@placement("gain")
def plan_by_gain(plan_input: PlanInput) -> list[Move]:
    """Add replicas only where the gain forecast over the pay-back time exceeds the cost."""
    board = Board(plan_input)
    _place_missing(board)
    _retire_old(board)
    for _ in range(max(1, plan_input.policy.loads_at_once)):
        if not _add_paying_replica(board):
            break
    _add_second_data_centre(board)
    return board.moves


def _add_paying_replica(board: Board) -> bool:
    """Add one replica of the model with the most unserved demand for which one pays.

    :return: whether a load, or the unloads before it, were planned.
    """
    plan_input = board.plan_input
    load, unserved, _ = split_demand(board)
    for model, missed in sorted(unserved.items(), key=lambda item: -item[1]):
        spec = plan_input.models.get(model)
        if spec is None or missed <= 0 or len(board.hosts[model]) >= spec.replicas_max:
            continue
        spare = _list_spare_rates(board, load, model)
        for runner, rate in spare:
            gain_s = min(missed, rate) / max(runner.token_rate, 1e-9) * defaults.PAY_BACK_S
            evictions = _evictable(board, runner, spec.memory_gb - board.free[runner.name])
            if evictions is None:
                continue
            cost_s = plan_input.policy.move_weight * (1 + len(evictions)) * defaults.MOVE_COST_S
            if gain_s <= cost_s:
                continue
            why = f"gain {gain_s:.1f}s over cost {cost_s:.1f}s"
            if not evictions:
                board.load(model, runner.name, why)
                return True
            for key, gb in evictions:
                board.unload(key, runner.name, gb, f"room for {model}: {why}")
            return True
    return False


def _list_spare_rates(
    board: Board, load: t.Mapping[str, float], model: str
) -> list[tuple[RunnerSnapshot, float]]:
    rows = [
        (runner, runner.token_rate - load[runner.name])
        for runner in board.candidate_runners(model)
        if runner.token_rate > load[runner.name]
    ]
    return sorted(rows, key=lambda row: (-row[1], row[0].name))


def _add_second_data_centre(board: Board) -> None:
    """Load models into free memory of a second data centre, highest demand first."""
    plan_input = board.plan_input
    if any(len(hosts) == 0 for hosts in board.hosts.values()):
        return
    for model in sorted(
        plan_input.models, key=lambda name: (-plan_input.demand.get(name, 0.0), name)
    ):
        places = {board.runners[name].data_centre for name in board.hosts[model]}
        if len(places) != 1 or plan_input.models[model].replicas_max < 2:
            continue
        others = [one for one in board.runners_with_room(model) if one.data_centre not in places]
        if others:
            board.load(model, others[0].name, "second data centre")


@placement("static")
def plan_static(plan_input: PlanInput) -> list[Move]:
    """Place each model once and in a second data centre, ignoring demand (a baseline)."""
    board = Board(plan_input._replace(demand={}))
    _place_missing(board)
    _retire_old(board)
    _add_second_data_centre(board)
    return board.moves


@placement("greedy")
def plan_greedy(plan_input: PlanInput) -> list[Move]:
    """Move for any gain, whatever the move costs (a baseline)."""
    free_moves = plan_input.policy._replace(move_weight=0.0)
    return plan_by_gain(plan_input._replace(policy=free_moves))


@placement("proportional")
def plan_proportional(plan_input: PlanInput) -> list[Move]:
    """Give each model replicas in proportion to its demand (a baseline)."""
    board = Board(plan_input)
    _place_missing(board)
    _retire_old(board)
    total = sum(plan_input.demand.values()) or 1.0
    slots = sum(len(hosts) for hosts in board.hosts.values())
    slots += sum(int(free // 12.0) for free in board.free.values() if free > 0)
    for model, model_demand in sorted(plan_input.demand.items(), key=lambda item: -item[1]):
        spec = plan_input.models.get(model)
        if spec is None:
            continue
        target = min(len(board.runners), max(1, round(slots * model_demand / total)))
        if len(board.hosts[model]) < target:
            _add_replica(board, model, "in proportion to demand")
    return board.moves


@placement("even")
def plan_even(plan_input: PlanInput) -> list[Move]:
    """Keep one replica of each model, and add replicas where another one pays.

    Models with demand are loaded first, since a runner takes one load at a time and each
    takes seconds. Replicas are unloaded only to make room for another model: an idle one
    costs nothing, and its demand may return.
    """
    board = Board(plan_input)
    _place_missing(board, with_demand_only=True)
    for _ in range(max(1, plan_input.policy.loads_at_once)):
        if not _add_paying_replica(board):
            break
    _place_missing(board)
    return board.moves
