"""Placement with claims: each requested model without a replica reserves one runner.

For deployments in which many models lose their replicas at once while the runners are busy.
A claim keeps a runner's next order for the model that is missed most, and keeps that model
from being put off from one busy runner to the next. Runners, evictions and extra replicas
are weighed as in :mod:`swapping`. See ``docs/design/claims.md``.
"""

from . import defaults
from .placement import Claim
from .placement import DemandSplit
from .placement import Move
from .placement import PlanInput
from .placement import RunnerSnapshot
from .placement import placement
from .placement import split_demand
from .swapping import LoadOption
from .swapping import Queued
from .swapping import SwapBoard
from .swapping import add_paying_replica
from .swapping import bounds_for_first_replica
from .swapping import continue_load
from .swapping import describe_wait
from .swapping import evaluate
from .swapping import list_missing
from .swapping import load_idle
from .swapping import plan_option


class ClaimBoard(SwapBoard):
    """Board that also knows which models claim which runners.

    ``kept`` are the claims of the last plan, as model by runner, and ``claimed`` those of
    this plan, as runner by model. A model for which room was freed has a claim there.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self._split: DemandSplit | None = None
        super().__init__(plan_input)
        self.claimed: dict[str, str] = {}
        self.kept = {
            runner: model
            for model, runner in plan_input.claimed.items()
            if runner in self.runners and self._is_missed(model)
        }
        known = set(self.kept.values())
        for runner in plan_input.runners:
            model = runner.room_for
            if self._is_missed(model) and model not in known and runner.name not in self.kept:
                self.kept[runner.name] = model
                known.add(model)

    def _split_demand(self) -> DemandSplit:
        """Bring the last distribution up to date, which takes fewer rounds than a new one."""
        self._split = split_demand(self, self._split)
        return self._split

    def _is_missed(self, model: str) -> bool:
        """Return whether a model of this plan is requested and has no replica."""
        # Of a model that is none of this plan's no replicas are known; it counts as not missed.
        return self.plan_input.demand.get(model, 0.0) > 0.0 and not self.hosts.get(model, {""})

    def missed_tokens(self, model: str) -> float:
        """Return what callers miss of a model, in tokens a second.

        Of a model without a replica that is its aged demand, of another one its unserved demand.
        """
        if not self.hosts[model]:
            return self.plan_input.aged_demand(model)
        demand = self.plan_input.demand.get(model, 0.0)
        if demand <= 0.0:
            return 0.0
        return self.unserved.get(model, 0.0) * self.plan_input.requested_rate(model) / demand

    def outbids(self, model: str, other: str) -> bool:
        """Return whether a model is missed so much more than another that it takes its runner."""
        return self.missed_tokens(model) >= defaults.CLAIM_FACTOR * self.missed_tokens(other)

    def wants_room(self, runner: RunnerSnapshot) -> bool:
        """Return whether the room freed at a runner is still to be used for its model."""
        model = runner.room_for
        if model not in self.plan_input.models or runner.name in self.hosts[model]:
            return False
        if self.hosts[model]:
            return self.missed_tokens(model) > 0.0
        return self.claimed.get(model, runner.name) == runner.name


@placement("claim")
def plan_by_claims(plan_input: PlanInput) -> list[Move]:
    """Have models without a replica claim runners, then use freed room, then add replicas."""
    board = ClaimBoard(plan_input)
    for model in list_missing(board, requested=True):
        _claim_runner(board, model)
    board.update_shares()
    for runner in plan_input.runners:
        if board.wants_room(runner):
            continue_load(board, runner)
    # Nothing else is planned at a claimed runner.
    board.unavailable.update(board.claimed.values())
    for _ in range(max(1, plan_input.policy.loads_at_once)):
        board.update_shares()
        if not add_paying_replica(board):
            break
    for model in list_missing(board, requested=False):
        if model not in board.making_room:
            load_idle(board, model)
    return board.moves


def _claim_runner(board: ClaimBoard, model: str) -> None:
    """Claim the best runner for a model, and plan its load or the evictions if it is free."""
    plan_input = board.plan_input
    options = _list_options(board, model)
    if not options:
        if plan_input.declined is not None:
            plan_input.declined[model] = "no room for it"
        return
    option = _choose_option(board, model, options)
    board.claimed[model] = option.runner
    if plan_input.claims is not None:
        plan_input.claims[model] = Claim(option.runner, option.time_s)
    if _begins_now(board, model, option):
        plan_option(board, model, option, "no replica")
    elif plan_input.declined is not None:
        plan_input.declined[model] = describe_wait(board.runners[option.runner])


def _list_options(board: ClaimBoard, model: str) -> list[LoadOption]:
    """List the runners that a model may claim, each with all that is queued before it."""
    bounds = bounds_for_first_replica(board, model)
    most = board.plan_input.aged_demand(model) * defaults.SWAP_HORIZON_S
    taken = set(board.claimed.values())
    options: list[LoadOption] = []
    for runner in board.plan_input.runners:
        owner = board.kept.get(runner.name, model)
        if runner.name in taken or owner != model and not board.outbids(model, owner):
            continue
        option = evaluate(board, runner, model, bounds, _find_queued(board, runner, model))
        if option is None:
            continue
        if option.delayed_tokens <= most or runner.room_for == model:
            options.append(option)
    return options


def _find_queued(board: ClaimBoard, runner: RunnerSnapshot, model: str) -> Queued:
    """Return what a runner does before it could load a model, beyond its order under way.

    That is the load of the model that room was freed for, unless this one is loaded in its
    place.
    """
    other = runner.room_for
    first = other != model and bool(board.hosts.get(other)) and board.wants_room(runner)
    if not first or board.outbids(model, other):
        return Queued(0.0, -runner.freeing_gb)
    spec = board.plan_input.models[other]
    return Queued(runner.load_s.get(other, 0.0), spec.memory_gb - runner.freeing_gb)


def _choose_option(board: ClaimBoard, model: str, options: list[LoadOption]) -> LoadOption:
    """Choose the runner to claim: the one claimed before, unless another is clearly better.

    One that can begin now needs no margin, as it ends the wait, unless room was freed already.
    """
    kept = next((one for one in options if board.kept.get(one.runner) == model), None)
    if kept is None:
        return min(options)
    room_freed = board.runners[kept.runner].room_for == model
    better: list[LoadOption] = []
    for option in options:
        free = not room_freed and _begins_now(board, model, option)
        margin_s = 0.0 if free else defaults.CLAIM_MARGIN_S
        if option.cost_s + margin_s < kept.cost_s:
            better.append(option)
    return min(better, default=kept)


def _begins_now(board: ClaimBoard, model: str, option: LoadOption) -> bool:
    if option.runner in board.unavailable:
        return False
    return _find_queued(board, board.runners[option.runner], model).wait_s <= 0.0
