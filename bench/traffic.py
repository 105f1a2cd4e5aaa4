"""Traffic for experiments under the virtual clock, and the account of its ends."""

import random
import typing as t

from rookspring_fakes.users import UserSize
from rookspring_fakes.world import CallerRequest
from rookspring_fakes.world import RequestResult
from rookspring_fakes.world import World

TOKENS = (20, 60, 120, 200)
MEAN_TOKENS = sum(TOKENS) / len(TOKENS)
DEADLINES_S = {"ranked": 8.0, "normal": 10.0, "casual": 12.0, "ledger": 8.0}
MIX = (("ranked", 0.3), ("normal", 0.3), ("casual", 0.4))


class Account:
    """How requests ended, with tokens served in time as the goodput."""

    def __init__(self, since: float, until: float = float("inf")) -> None:
        self.since = since
        self.until = until
        self.asked: dict[str, int] = {}
        self.met: dict[str, int] = {}
        self.good_tokens = 0
        self.reasons: dict[str, int] = {}
        self.waits: list[float] = []
        self.met_at: list[tuple[float, bool]] = []

    def take(self, asked: CallerRequest, told: RequestResult) -> None:
        """Count one end: shares by when a request was asked, goodput by when it ended."""
        if self.since <= told.at < self.until and told.at <= asked.deadline_at:
            self.good_tokens += asked.tokens if told.outcome == "ran" else 0
        if not self.since <= asked.at < self.until:
            return
        self.asked[asked.priority] = self.asked.get(asked.priority, 0) + 1
        good = told.outcome == "ran" and told.at <= asked.deadline_at
        self.met_at.append((asked.at, good))
        if good:
            self.met[asked.priority] = self.met.get(asked.priority, 0) + 1
        else:
            reason = told.reason if told.outcome != "ran" else "ran late"
            self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def attainment(self, priority: str = "") -> float:
        """Give the share that met its deadline."""
        asked = self.asked if not priority else {priority: self.asked.get(priority, 0)}
        met = sum(self.met.get(one, 0) for one in asked)
        return met / max(1, sum(asked.values()))


class Traffic:
    """Poisson arrivals by model, sent to nodes that are live and not leaving.

    :param rates: gives requests a second of each model at a time.
    """

    def __init__(
        self,
        world: World,
        rates: t.Callable[[float], dict[str, float]],
        seed: int,
        until: float,
        step_s: float = 0.1,
        prefixes: int = 0,
    ) -> None:
        self.world = world
        self.rates = rates
        self.random = random.Random(seed)
        self.until = until
        self.step_s = step_s
        self.prefixes = prefixes
        world.clock.call(0.0, self._step)

    def _step(self) -> None:
        now = self.world.clock.now
        if now >= self.until:
            return
        for model, rate in self.rates(now).items():
            for _ in range(_poisson(self.random, rate * self.step_s)):
                self.world.clock.call(self.random.random() * self.step_s, self._ask, model)
        self.world.clock.call(self.step_s, self._step)

    def _ask(self, model: str) -> None:
        nodes = self.world.ready()
        if not nodes:
            return
        priority = self.random.choices([one for one, _ in MIX], [part for _, part in MIX])[0]
        tokens = self.random.choice(TOKENS)
        prefix = self.random.randrange(1, self.prefixes + 1) if self.prefixes else 0
        self.world.send_request(
            self.random.choice(nodes),
            model,
            tokens,
            priority,
            DEADLINES_S[priority],
            prefix=prefix,
        )


def _poisson(chance: random.Random, mean: float) -> int:
    """Draw a count; arrivals in a step are few, so the sum of exponentials serves."""
    count = 0
    passed = chance.expovariate(1.0)
    while passed < mean:
        count += 1
        passed += chance.expovariate(1.0)
    return count


def models_of(size: UserSize) -> list[str]:
    """Name a user's models."""
    return [f"{size.engine}-{number:02d}" for number in range(size.models)]


def capacity_of(world: World) -> float:
    """Give the tokens a second that all runners make at most."""
    return sum(engine.token_rate for engine in world.engines.values())


def skewed(models: list[str], total: float, power: float = 0.5) -> dict[str, float]:
    """Share a rate out over models, the first the most asked for."""
    weights = [1.0 / (rank + 1) ** power for rank in range(len(models))]
    scale = total / sum(weights)
    return {model: weight * scale for model, weight in zip(models, weights, strict=True)}
