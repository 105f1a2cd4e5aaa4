"""Placement for runners that keep local copies of models that are not resident there.

A model loads within two seconds from a copy in the runner's own memory or on its disk.
From the weight store it takes five to nine, and the store's rate is limited. So this
policy prefers runners with a local copy. A model without demand is evicted for one with
demand even if that was its last replica: it is reloaded once it is requested again.
See ``docs/design/placement.md``.
"""

import math
import typing as t

from . import defaults
from .placement import Board
from .placement import DemandSplit
from .placement import Move
from .placement import PlanInput
from .placement import RunnerSnapshot
from .placement import Weights
from .placement import placement
from .placement import split_demand


class EvictionBounds(t.NamedTuple):
    """Limits on the loss that an eviction may cause, in tokens a second.

    :param spare: loss by evicting a replica of a model that keeps others.
    :param last: loss by evicting a model's last replica; None if none may be evicted.
    :param urgent: urgent demand of a model whose last replica is evicted.
    :param value_redundancy: whether a second replica has a value of its own, beside the
        demand that it serves.
    """

    spare: float
    last: float | None
    urgent: float
    value_redundancy: bool = True


class Queued(t.NamedTuple):
    """What is queued for a runner before a load that is considered there.

    :param wait_s: seconds that it takes, beyond the order under way.
    :param memory_gb: memory that it takes; negative if it frees memory.
    """

    wait_s: float = 0.0
    memory_gb: float = 0.0


NOTHING_QUEUED = Queued()


class LoadOption(t.NamedTuple):
    """A runner that could load a model, and what that costs; options sort by preference.

    :param cost_s: ``time_s``, with the runner's load, the loss by the evictions and
        ``delayed_tokens`` added as equivalent seconds.
    :param time_s: seconds until the model could serve there.
    :param lost: loss by the evictions, in tokens a second.
    :param evictions: replicas that would be unloaded, with their sizes in GB.
    :param delayed_tokens: tokens requested of adapters that cannot be attached there while
        the orders for the model are carried out.
    """

    cost_s: float
    time_s: float
    lost: float
    runner: str
    evictions: tuple[tuple[Weights, float], ...]
    delayed_tokens: float = 0.0


class SwapBoard(Board):
    """Board with values that a plan needs repeatedly, computed once.

    ``runner_load`` is what each runner serves, in tokens a second, and ``unserved`` the
    demand of each model that exceeds its runners' rates or was recently refused;
    :meth:`update_shares` recomputes both. ``quick_to_load`` are the models that some runner
    has a local copy of, ``loading`` those that some runner is loading, and ``making_room``
    those for which room is being made.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        super().__init__(plan_input)
        self.loading = {key[0] for runner in plan_input.runners for key in runner.loading}
        self.update_shares()
        self.quick_to_load = {
            model
            for runner in plan_input.runners
            for model, load_s in runner.load_s.items()
            if load_s <= defaults.QUICK_LOAD_S
        }
        self.making_room = {
            runner.room_for
            for runner in plan_input.runners
            if runner.busy and runner.free_in_s <= defaults.ROOM_PENDING_S
        }

    def update_shares(self) -> None:
        """Distribute the demand over the replicas as planned so far."""
        self._losses: dict[tuple[str, str, bool], float] = {}
        self._eviction_orders: dict[str, list[Weights]] = {}
        self.runner_load, self.unserved, self.share = self._split_demand()
        plan_input = self.plan_input
        for model, demand in plan_input.demand.items():
            if demand <= 0.0:
                continue
            refused = self.refused_demand(model, len(self.hosts[model]))
            missed = max(self.unserved.get(model, 0.0), refused)
            known = self.ready.get(model) or model in self.loading
            if known and len(self.hosts[model]) == 1:
                missed = max(
                    missed, defaults.SINGLE_REPLICA_LOSS_SHARE * plan_input.urgent.get(model, 0.0)
                )
            self.unserved[model] = missed

    def _split_demand(self) -> DemandSplit:
        return split_demand(self)

    def refused_demand(self, model: str, replicas: int) -> float:
        """Return the recently refused demand that one more replica would serve, in tokens a second.

        What was refused is remembered for longer than it takes to load more replicas, so it is
        spread over those that there are: each would otherwise count as the one that is missing.

        :param replicas: how many there are without it.
        """
        return self.plan_input.missed.get(model, 0.0) / max(1, replicas)

    def urgent(self, model: str) -> float:
        """Return what is requested of a model and cannot wait for a load, in tokens a second."""
        demand = self.plan_input.demand.get(model, 0.0)
        if demand <= 0.0:
            return 0.0
        return self.plan_input.requested_rate(model) * min(
            1.0, self.plan_input.urgent.get(model, 0.0) / demand
        )

    def may_wait(self, model: str) -> bool:
        """Return whether an absent model takes no place until a caller of it is there.

        It is in time for that caller if some runner loads it quickly.
        """
        absent = not self.hosts[model]
        return absent and model in self.quick_to_load and not self.plan_input.is_awaited(model)

    def loss(self, model: str, runner: str, value_redundancy: bool = True) -> float:
        """Predict the demand that would go unserved without a replica, in tokens a second.

        For a model's last replica that is all urgent demand and a part of the rest. For
        another it is what the remaining replicas have no room for, or what was recently
        refused, while there was one replica fewer.

        :param value_redundancy: count what the second of two replicas is worth by itself.
        """
        key = (model, runner, value_redundancy)
        loss = self._losses.get(key)
        if loss is None:
            loss = self._losses[key] = self._predict_loss(*key)
        return loss

    def unload(self, key: Weights, runner: str, gb: float, why: str, room_for: str = "") -> None:
        """Plan an unload; a replica that is left is worth more from then on."""
        super().unload(key, runner, gb, why, room_for)
        self._losses.clear()
        self._eviction_orders.clear()

    def eviction_order(self, runner: RunnerSnapshot) -> list[Weights]:
        """Return a runner's replicas: those not in use first, then by the loss."""
        known = self._eviction_orders.get(runner.name)
        if known is not None:
            return known

        def order(key: Weights) -> tuple[bool, float, int, Weights]:
            loss = self.loss(key[0], runner.name) if key[0] in self.ready else 0.0
            return key[0] in runner.in_use, loss, -len(self.ready.get(key[0], ())), key

        self._eviction_orders[runner.name] = sorted(runner.resident, key=order)
        return self._eviction_orders[runner.name]

    def _predict_loss(self, model: str, runner: str, value_redundancy: bool) -> float:
        plan_input = self.plan_input
        requested = plan_input.requested_rate(model)
        demand = plan_input.demand.get(model, 0.0)
        if requested <= 0.0 or demand <= 0.0:
            return 0.0
        others = self.ready[model] - {runner}
        if not others:
            urgent = self.urgent(model)
            return urgent + defaults.DEFERRABLE_LOSS_SHARE * (requested - urgent)
        spare = sum(
            max(0.0, self.runners[other].token_rate - self.runner_load[other]) for other in others
        )
        over = self.share.get((model, runner), 0.0) - spare
        missed = max(0.0, over, self.refused_demand(model, len(others)))
        if value_redundancy and len(others) == 1:
            missed = max(
                missed, defaults.SINGLE_REPLICA_LOSS_SHARE * plan_input.urgent.get(model, 0.0)
            )
        return requested / demand * missed


@placement("swap")
def plan_by_swaps(plan_input: PlanInput) -> list[Move]:
    """Load requested models, then add replicas, then load idle models into free room."""
    board = SwapBoard(plan_input)
    for runner in plan_input.runners:
        continue_load(board, runner)
    for model in _without_room(board, list_missing(board, requested=True)):
        if not board.may_wait(model):
            _load_requested(board, model)
    for _ in range(max(1, plan_input.policy.loads_at_once)):
        board.update_shares()
        if not add_paying_replica(board):
            break
    unawaited = [model for model in list_missing(board, requested=True) if board.may_wait(model)]
    for model in _without_room(board, unawaited + list_missing(board, requested=False)):
        load_idle(board, model)
    return board.moves


def continue_load(board: SwapBoard, runner: RunnerSnapshot) -> None:
    """Load the model that an unload has made room for, before another takes the room.

    If the room is still too small, plan the next unload: otherwise the model that was
    unloaded would be loaded into its own room again.
    """
    model = runner.room_for
    spec = board.plan_input.models.get(model)
    if spec is None or runner.name in board.unavailable or runner.name in board.hosts[model]:
        return
    if board.plan_input.demand.get(model, 0.0) <= 0.0 and board.hosts[model]:
        # It is resident elsewhere by now, and has no demand for another replica.
        return
    if board.may_wait(model):
        return
    need_gb = spec.memory_gb - board.free[runner.name]
    if need_gb <= 0:
        board.load(model, runner.name, "room was freed for it")
        return
    if board.hosts[model]:
        bounds = _bounds_for_extra_replica(board, model, board.unserved.get(model, 0.0))
    else:
        bounds = bounds_for_first_replica(board, model)
    evictions = _choose_evictions(board, runner, need_gb, bounds)
    if evictions is not None:
        _plan_evictions(board, model, runner.name, evictions, "more room")


def bounds_for_first_replica(board: SwapBoard, model: str) -> EvictionBounds:
    """Return the loss allowed for the first replica of a model.

    Redundancy of other models counts for nothing here: a first replica of one model goes
    before a second of another.
    """
    share = board.plan_input.aged_demand(model) * defaults.EVICTION_SHARE
    most = max(defaults.IDLE_TOKENS_PER_S, share)
    return EvictionBounds(spare=most, last=most, urgent=most, value_redundancy=False)


def _bounds_for_extra_replica(board: SwapBoard, model: str, missed: float) -> EvictionBounds:
    """Return the loss allowed for another replica of a model.

    Last replicas are evicted only if they are nearly idle; with a higher limit, rarely
    requested models would have no room left.

    :param missed: in tokens of the slowest model a second.
    """
    demand = board.plan_input.demand.get(model, 0.0)
    tokens = missed * board.plan_input.requested_rate(model) / demand if demand > 0.0 else 0.0
    share = tokens * defaults.EVICTION_SHARE
    last = min(share, defaults.IDLE_TOKENS_PER_S)
    return EvictionBounds(spare=share, last=last, urgent=last)


def list_missing(board: SwapBoard, requested: bool) -> list[str]:
    """List the models without a replica, greatest aged demand first.

    :param requested: whether to list those with demand or those without.
    """
    demand = board.plan_input.demand
    lacking = [
        model
        for model in board.plan_input.models
        if not board.hosts[model] and (demand.get(model, 0.0) > 0.0) == requested
    ]
    return sorted(lacking, key=lambda name: (-board.plan_input.aged_demand(name), name))


def _without_room(board: SwapBoard, models: list[str]) -> list[str]:
    return [model for model in models if model not in board.making_room]


def _load_requested(board: SwapBoard, model: str) -> None:
    """Load a requested model where it costs the least, or make room for it there.

    A busy runner with a local copy may have it sooner than a free one without; then
    nothing is planned until that runner is free.
    """
    bounds = bounds_for_first_replica(board, model)
    most = board.plan_input.aged_demand(model) * defaults.SWAP_HORIZON_S
    options = [
        option
        for runner in board.plan_input.runners
        if (option := evaluate(board, runner, model, bounds)) is not None
        and option.delayed_tokens <= most
    ]
    best = min(options, default=None)
    if best is not None and best.runner not in board.unavailable:
        plan_option(board, model, best, "no replica")
    elif board.plan_input.declined is not None:
        board.plan_input.declined[model] = (
            describe_wait(board.runners[best.runner]) if best else "no room for it"
        )


def describe_wait(runner: RunnerSnapshot) -> str:
    """Describe, for the log, which busy runner a model waits for, and what that is busy with."""
    loading = ", ".join(sorted(model for model, _ in runner.loading))
    if loading:
        return f"it waits for {runner.name}, which loads {loading}"
    if runner.room_for:
        return f"it waits for {runner.name}, which makes room for {runner.room_for}"
    return f"it waits for {runner.name}"


def _unavailable(board: SwapBoard, runner: RunnerSnapshot) -> bool:
    """Return whether a runner has a move in this plan, or is busy for an unknown time."""
    unknown = not runner.busy or math.isinf(runner.free_in_s)
    return runner.name in board.unavailable and unknown


def load_idle(board: SwapBoard, model: str) -> None:
    """Load a model into free room that nobody waits for.

    Replicas are evicted only for a model of which no runner has a local copy, and only if
    they are spare and idle; a model with a local copy loads quickly enough once it is
    requested. Runners with demand for unattached adapters are left out, as they could
    attach none during the load.
    """
    has_local_copy = model in board.quick_to_load
    bounds = EvictionBounds(spare=defaults.IDLE_TOKENS_PER_S, last=None, urgent=0.0)
    options = [
        option
        for runner in board.candidate_runners(model)
        if runner.unattached_demand <= defaults.IDLE_TOKENS_PER_S
        and (option := evaluate(board, runner, model, bounds)) is not None
        and (not option.evictions or not has_local_copy)
    ]
    best = min(options, default=None)
    if best is not None:
        plan_option(board, model, best, "no replica, none asked for")


def evaluate(
    board: SwapBoard,
    runner: RunnerSnapshot,
    model: str,
    bounds: EvictionBounds,
    queued: Queued = NOTHING_QUEUED,
) -> LoadOption | None:
    """Return the cost of loading a model at a runner; None if it cannot be loaded there."""
    spec = board.plan_input.models[model]
    if runner.engine != spec.engine or runner.name in board.hosts[model]:
        return None
    if (model, spec.version) in runner.barred or _unavailable(board, runner):
        return None
    need_gb = spec.memory_gb + queued.memory_gb - board.free[runner.name]
    evictions = _choose_evictions(board, runner, need_gb, bounds)
    if evictions is None:
        return None
    cost_s = runner.load_s.get(model, 0.0) + defaults.UNLOAD_S * len(evictions) + queued.wait_s
    if any(key[0] in runner.in_use for key, _ in evictions):
        # An unload waits until the last request that uses the model has ended.
        cost_s += board.plan_input.longest_s
    if runner.name in board.unavailable:
        cost_s += runner.free_in_s
    time_s = cost_s
    rate = max(runner.token_rate, 1e-9)
    lost = sum(board.loss(key[0], runner.name) for key, _ in evictions)
    cost_s += defaults.LOADED_RUNNER_S * board.runner_load[runner.name] / rate
    # The model's own demand loads a slow runner more than others.
    demand = board.plan_input.demand.get(model, 0.0)
    cost_s += defaults.LOADED_RUNNER_S * demand / rate * (1.0 - runner.speed)
    # Lost and delayed tokens become seconds by the requested rate of the model to load.
    requested = max(board.plan_input.requested_rate(model), defaults.IDLE_TOKENS_PER_S)
    delayed_tokens = runner.unattached_demand * time_s
    cost_s += (defaults.EVICTED_REPLICA_S * lost + delayed_tokens) / requested
    return LoadOption(cost_s, time_s, lost, runner.name, evictions, delayed_tokens)


def _choose_evictions(
    board: SwapBoard, runner: RunnerSnapshot, need_gb: float, bounds: EvictionBounds
) -> tuple[tuple[Weights, float], ...] | None:
    """Choose replicas to unload, smallest loss first; None if they free too little memory."""
    evictions: list[tuple[Weights, float]] = []
    for key in board.eviction_order(runner) if need_gb > 0 else ():
        if need_gb <= 0:
            break
        spec = board.plan_input.models.get(key[0])
        if spec is None or runner.name not in board.ready[key[0]] or key[0] in runner.protected:
            continue
        most = _loss_limit(board, key[0], bounds)
        if most is not None and board.loss(key[0], runner.name, bounds.value_redundancy) <= most:
            evictions.append((key, spec.memory_gb))
            need_gb -= spec.memory_gb
    return tuple(evictions) if need_gb <= 0 else None


def _loss_limit(board: SwapBoard, model: str, bounds: EvictionBounds) -> float | None:
    """Return the loss allowed for evicting a replica of a model; None if it must stay."""
    if board.has_spare_replica(model):
        return bounds.spare
    may_go = model in board.quick_to_load and board.urgent(model) <= bounds.urgent
    return bounds.last if may_go else None


def plan_option(board: SwapBoard, model: str, option: LoadOption, why: str) -> None:
    """Plan the load, or the evictions before it; a later plan then adds the load."""
    if not option.evictions:
        board.load(model, option.runner, why)
        return
    _plan_evictions(board, model, option.runner, option.evictions, why)


def _plan_evictions(
    board: SwapBoard,
    model: str,
    runner: str,
    evictions: tuple[tuple[Weights, float], ...],
    why: str,
) -> None:
    """Plan unloads that make room for a model, and reserve the room for it."""
    board.making_room.add(model)
    for key, gb in evictions:
        board.unload(key, runner, gb, f"room for {model}: {why}", model)


def add_paying_replica(board: SwapBoard) -> bool:
    """Add the most profitable replica of the model with the most unserved demand.

    Models for which no replica has a gain are passed over.

    :return: whether one was added.
    """
    for model, missed in sorted(board.unserved.items(), key=lambda item: (-item[1], item[0])):
        spec = board.plan_input.models.get(model)
        if spec is None or missed <= 0 or len(board.hosts[model]) >= spec.replicas_max:
            continue
        if model in board.making_room or not board.hosts[model]:
            # Its first replica is planned, or waits for the runner that has it soonest.
            continue
        options = _list_replica_options(board, model, missed)
        _decline_replica(board, model, options)
        speeds = {runner.name: runner.speed for runner in board.plan_input.runners}
        best = max(options, default=None, key=lambda one: (one[0], speeds[one[1].runner]))
        if best is not None and best[0] > 0.0:
            plan_option(board, model, best[1], f"gain {best[0]:.0f} tokens")
            return True
    return False


def _decline_replica(board: SwapBoard, model: str, options: list[tuple[float, LoadOption]]) -> None:
    """Note why a model gets no further replica, if it gets none."""
    declined = board.plan_input.declined
    if declined is None:
        return
    declined.pop(model, None)
    if not options:
        declined[model] = "no room for a further replica"
    elif max(options)[0] <= 0.0:
        declined[model] = "no further replica pays"


def _list_replica_options(
    board: SwapBoard, model: str, missed: float
) -> list[tuple[float, LoadOption]]:
    """List the runners that could take another replica, each with the gain in tokens.

    The replica serves the missed demand from the end of its load to the horizon. Against
    that count the loss by the evictions, until they could be reloaded, and the requests for
    adapters that are delayed meanwhile. A runner goes on serving during a load, so the load
    itself costs nothing.

    :param missed: in tokens of the slowest model a second.
    """
    plan_input = board.plan_input
    tokens = plan_input.requested_rate(model) / plan_input.demand[model]
    bounds = _bounds_for_extra_replica(board, model, missed)
    options: list[tuple[float, LoadOption]] = []
    for runner in board.candidate_runners(model):
        option = evaluate(board, runner, model, bounds)
        spare = runner.token_rate - board.runner_load[runner.name]
        if option is None or spare <= 0:
            continue
        gain = min(missed, spare) * tokens * (defaults.SWAP_HORIZON_S - option.time_s)
        gain -= option.lost * defaults.EVICTED_REPLICA_S + option.delayed_tokens
        gain -= plan_input.policy.move_weight * defaults.IDLE_TOKENS_PER_S * option.time_s
        options.append((gain, option))
    return options
