"""Placement where runners keep copies of models that they do not hold.

A model is read back from a runner's own memory or disk within two seconds. From the
weight store it takes five to nine, and the store's rate is bounded. So this policy
goes to the runner that has a copy near. A model that nobody asks for now gives way
to one that is asked for, even where it is the last one resident: it is read back as
soon as it is asked for again. See ``docs/design/placement.md``.
"""

import math
import typing as t

from . import defaults
from .placement import Board
from .placement import Move
from .placement import PlanInput
from .placement import RunnerRoom
from .placement import Weights
from .placement import placement
from .placement import serve_split


class Bounds(t.NamedTuple):
    """What callers would miss may be up to this where replicas give way, in tokens a second.

    :param spare: for one beside which others stay.
    :param last: for the last one of a model; None where none may go.
    :param urgent: for what cannot wait for a model whose last one goes.
    :param pairs: whether it counts by itself that there are two of a model.
    """

    spare: float
    last: float | None
    urgent: float
    pairs: bool = True


class Option(t.NamedTuple):
    """One runner that could take a model; the tuple's order is that of preference.

    :param cost_s: seconds until it could serve there; the load there, and what others
        would miss, count as delays.
    :param time_s: those seconds alone.
    :param lost: what callers would miss without the replicas that give way, in tokens a
        second.
    :param goes: replicas that would give way, with their sizes in GB.
    :param held_up: what would be asked in vain of adapters while the orders for the model
        are carried out, in tokens.
    """

    cost_s: float
    time_s: float
    lost: float
    runner: str
    goes: tuple[tuple[Weights, float], ...]
    held_up: float = 0.0


class SwapBoard(Board):
    """A board with what a plan looks at again and again, worked out once.

    ``load_of`` is what each runner serves, in tokens a second, ``unserved`` what of each
    model's demand is beyond its runners' rates or was refused of late; :meth:`share_out`
    brings both up to date. ``quick`` are the models that some runner has near, ``coming``
    those that some runner is loading, ``on_way`` those for which one is making room.
    """

    def __init__(self, given: PlanInput) -> None:
        super().__init__(given)
        self.coming = {key[0] for runner in given.runners for key in runner.coming}
        self.share_out()
        self.quick = {
            model
            for runner in given.runners
            for model, load_s in runner.load_s.items()
            if load_s <= defaults.QUICK_LOAD_S
        }
        self.on_way = {
            runner.room_for
            for runner in given.runners
            if runner.busy and runner.free_in_s <= defaults.ON_WAY_S
        }

    def share_out(self) -> None:
        """Share the demand out over the replicas as they are now planned."""
        self.load_of, self.unserved, self.share = serve_split(self)
        given = self.given
        for model, demand in given.demand.items():
            if demand <= 0.0:
                continue
            missed = max(self.unserved.get(model, 0.0), given.missed.get(model, 0.0))
            known = self.ready.get(model) or model in self.coming
            if known and len(self.hosts[model]) == 1:
                missed = max(missed, defaults.SINGLE_LOSS * given.urgent.get(model, 0.0))
            self.unserved[model] = missed

    def urgent(self, model: str) -> float:
        """Give what is asked of a model and cannot wait for it, in tokens a second."""
        demand = self.given.demand.get(model, 0.0)
        if demand <= 0.0:
            return 0.0
        return self.given.asked_for(model) * min(1.0, self.given.urgent.get(model, 0.0) / demand)

    def loss(self, model: str, runner: str, pairs: bool = True) -> float:
        """Predict what callers would miss without a replica, in tokens a second.

        Without a last one, all that cannot wait for it to be loaded again, and a part of
        what can. Without a spare one, what the others have no room for, or what was
        refused of late, when there was one replica fewer.

        :param pairs: count what it is worth by itself that there are two.
        """
        given = self.given
        asked = given.asked_for(model)
        demand = given.demand.get(model, 0.0)
        if asked <= 0.0 or demand <= 0.0:
            return 0.0
        others = self.ready[model] - {runner}
        if not others:
            urgent = self.urgent(model)
            return urgent + defaults.PATIENT_LOSS * (asked - urgent)
        spare = sum(
            max(0.0, self.runners[other].token_rate - self.load_of[other]) for other in others
        )
        over = self.share.get((model, runner), 0.0) - spare
        missed = max(0.0, over, given.missed.get(model, 0.0))
        if pairs and len(others) == 1:
            missed = max(missed, defaults.SINGLE_LOSS * given.urgent.get(model, 0.0))
        return asked / demand * missed


@placement("swap")
def plan_by_swaps(given: PlanInput) -> list[Move]:
    """Bring what is asked for where it is near, then even out, then fill what is free."""
    board = SwapBoard(given)
    for runner in given.runners:
        _go_on(board, runner)
    for model in _missing(board, asked=True):
        _bring(board, model)
    for _ in range(max(1, given.policy.loads_at_once)):
        board.share_out()
        if not _add_copy(board):
            break
    for model in _missing(board, asked=False):
        _restore(board, model)
    return board.moves


def _go_on(board: SwapBoard, runner: RunnerRoom) -> None:
    """Load what an unload has made room for, before anything else takes the room.

    Where one unload was not enough, the next follows; else what was unloaded came back
    to the room that it had made.
    """
    model = runner.room_for
    spec = board.given.models.get(model)
    if spec is None or runner.name in board.touched or runner.name in board.hosts[model]:
        return
    if board.given.demand.get(model, 0.0) <= 0.0 and board.hosts[model]:
        # It stands elsewhere by now, and nobody asks for more of it.
        return
    need_gb = spec.memory_gb - board.free[runner.name]
    if need_gb <= 0:
        board.load(model, runner.name, "room was made for it")
        return
    if board.hosts[model]:
        bounds = _bounds_to_copy(board, model, board.unserved.get(model, 0.0))
    else:
        bounds = _bounds_to_bring(board, model)
    goes = _giving_way(board, runner, need_gb, bounds)
    if goes is not None:
        _unload(board, model, runner.name, goes, "more room")


def _bounds_to_bring(board: SwapBoard, model: str) -> Bounds:
    """Give what may be missed for a model that has no replica.

    That a model is reachable goes before a second replica of another.
    """
    share = board.given.claim(model) * defaults.GIVE_WAY_SHARE
    most = max(defaults.IDLE_TOKENS_PER_S, share)
    return Bounds(spare=most, last=most, urgent=most, pairs=False)


def _bounds_to_copy(board: SwapBoard, model: str, missed: float) -> Bounds:
    """Give what may be missed for another replica of a model.

    Of last ones only what is as good as idle gives way: with more, models asked for
    now and then have no place left.

    :param missed: in tokens of the slowest model a second.
    """
    demand = board.given.demand.get(model, 0.0)
    tokens = missed * board.given.asked_for(model) / demand if demand > 0.0 else 0.0
    share = tokens * defaults.GIVE_WAY_SHARE
    last = min(share, defaults.IDLE_TOKENS_PER_S)
    return Bounds(spare=share, last=last, urgent=last)


def _missing(board: SwapBoard, asked: bool) -> list[str]:
    """List the models without a replica, those with the greatest claim first."""
    demand = board.given.demand
    lacking = [
        model
        for model in board.given.models
        if not board.hosts[model]
        and model not in board.on_way
        and (demand.get(model, 0.0) > 0.0) == asked
    ]
    return sorted(lacking, key=lambda name: (-board.given.claim(name), name))


def _bring(board: SwapBoard, model: str) -> None:
    """Load a model that is asked for where it is there soonest, or make room for it.

    A runner that is busy for a moment may be sooner than a free one without a copy;
    then nothing is done until it is free.
    """
    bounds = _bounds_to_bring(board, model)
    most = board.given.claim(model) * defaults.SWAP_HORIZON_S
    options = [
        option
        for runner in board.given.runners
        if (option := _consider(board, runner, model, bounds)) is not None
        and option.held_up <= most
    ]
    best = min(options, default=None)
    if best is not None and best.runner not in board.touched:
        _take(board, model, best, "no replica")
    elif board.given.declined is not None:
        board.given.declined[model] = f"it waits for {best.runner}" if best else "no room for it"


def _waits(board: SwapBoard, runner: RunnerRoom) -> bool:
    """Say whether a runner is busy, by this plan or for a time that nobody knows."""
    unknown = not runner.busy or math.isinf(runner.free_in_s)
    return runner.name in board.touched and unknown


def _restore(board: SwapBoard, model: str) -> None:
    """Load a model that nobody asks for into free room.

    Only one that no runner has near makes others give way, and these only where they
    are spare and idle too: a near one is there soon enough once it is asked for. And it
    is not loaded where adapters are awaited: their endpoint could attach none for as long as a
    load takes.
    """
    near = model in board.quick
    bounds = Bounds(spare=defaults.IDLE_TOKENS_PER_S, last=None, urgent=0.0)
    options = [
        option
        for runner in board.open_to(model)
        if runner.awaited <= defaults.IDLE_TOKENS_PER_S
        and (option := _consider(board, runner, model, bounds)) is not None
        and (not option.goes or not near)
    ]
    best = min(options, default=None)
    if best is not None:
        _take(board, model, best, "no replica, none asked for")


def _consider(
    board: SwapBoard,
    runner: RunnerRoom,
    model: str,
    bounds: Bounds,
) -> Option | None:
    """Say what it would take to load a model at a runner; None where it cannot be."""
    spec = board.given.models[model]
    if runner.engine != spec.engine or runner.name in board.hosts[model]:
        return None
    if (model, spec.version) in runner.barred or _waits(board, runner):
        return None
    goes = _giving_way(board, runner, spec.memory_gb - board.free[runner.name], bounds)
    if goes is None:
        return None
    cost_s = runner.load_s.get(model, 0.0) + defaults.UNLOAD_S * len(goes)
    if any(key[0] in runner.in_use for key, _ in goes):
        # An unload waits for the last of what is running there.
        cost_s += board.given.longest_s
    if runner.name in board.touched:
        cost_s += runner.free_in_s
    time_s = cost_s
    rate = max(runner.token_rate, 1e-9)
    lost = sum(board.loss(key[0], runner.name) for key, _ in goes)
    cost_s += defaults.LOADED_RUNNER_S * board.load_of[runner.name] / rate
    # In seconds of what is asked of the model that comes.
    asked = max(board.given.asked_for(model), defaults.IDLE_TOKENS_PER_S)
    held_up = runner.awaited * time_s
    cost_s += (defaults.LOST_COPY_S * lost + held_up) / asked
    return Option(cost_s, time_s, lost, runner.name, goes, held_up)


def _giving_way(
    board: SwapBoard, runner: RunnerRoom, need_gb: float, bounds: Bounds
) -> tuple[tuple[Weights, float], ...] | None:
    """Choose replicas to unload, the least missed first; None where too few may go."""
    goes: list[tuple[Weights, float]] = []

    def order(key: Weights) -> tuple[bool, float, int, Weights]:
        loss = board.loss(key[0], runner.name) if key[0] in board.ready else 0.0
        return key[0] in runner.in_use, loss, -len(board.ready.get(key[0], ())), key

    for key in sorted(runner.resident, key=order):
        if need_gb <= 0:
            break
        spec = board.given.models.get(key[0])
        if spec is None or runner.name not in board.ready[key[0]] or key[0] in runner.kept:
            continue
        most = _most_missed(board, key[0], bounds)
        if most is not None and board.loss(key[0], runner.name, bounds.pairs) <= most:
            goes.append((key, spec.memory_gb))
            need_gb -= spec.memory_gb
    return tuple(goes) if need_gb <= 0 else None


def _most_missed(board: SwapBoard, model: str, bounds: Bounds) -> float | None:
    """Give what may be missed without a replica of a model; None where it must stay."""
    if board.spare(model):
        return bounds.spare
    may_go = model in board.quick and board.urgent(model) <= bounds.urgent
    return bounds.last if may_go else None


def _take(board: SwapBoard, model: str, option: Option, why: str) -> None:
    """Load, or unload first what gives way; the load is planned once that has gone."""
    if not option.goes:
        board.load(model, option.runner, why)
        return
    _unload(board, model, option.runner, option.goes, why)


def _unload(
    board: SwapBoard,
    model: str,
    runner: str,
    goes: tuple[tuple[Weights, float], ...],
    why: str,
) -> None:
    """Unload what gives way to a model, which has the first call on the room."""
    board.on_way.add(model)
    for key, gb in goes:
        board.unload(key, runner, gb, f"room for {model}: {why}", model)


def _add_copy(board: SwapBoard) -> bool:
    """Add the replica that gains the most for what is missed, if one pays in time.

    :return: whether one was added.
    """
    for model, missed in sorted(board.unserved.items(), key=lambda item: (-item[1], item[0])):
        spec = board.given.models.get(model)
        if spec is None or missed <= 0 or len(board.hosts[model]) >= spec.replicas_max:
            continue
        if model in board.on_way or not board.hosts[model]:
            # Its replica is under way, or waits for the runner that has it soonest.
            continue
        options = _list_copies(board, model, missed)
        best = max(options, default=None, key=lambda option: option[0])
        if best is not None and best[0] > 0.0:
            _take(board, model, best[1], f"gain {best[0]:.0f} tokens")
            return True
    return False


def _list_copies(board: SwapBoard, model: str, missed: float) -> list[tuple[float, Option]]:
    """List where another replica could be, each with its gain in tokens.

    It serves what is missed from its load's end to the horizon. What gives way is missed
    until it could be back, and the runner's orders are held up meanwhile. A runner goes on
    serving during a load, so that costs nothing by itself.

    :param missed: in tokens of the slowest model a second.
    """
    given = board.given
    tokens = given.asked_for(model) / given.demand[model]
    bounds = _bounds_to_copy(board, model, missed)
    options: list[tuple[float, Option]] = []
    for runner in board.open_to(model):
        option = _consider(board, runner, model, bounds)
        spare = runner.token_rate - board.load_of[runner.name]
        if option is None or spare <= 0:
            continue
        gain = min(missed, spare) * tokens * (defaults.SWAP_HORIZON_S - option.time_s)
        gain -= option.lost * defaults.LOST_COPY_S + option.held_up
        gain -= given.policy.move_weight * defaults.IDLE_TOKENS_PER_S * option.time_s
        options.append((gain, option))
    return options
