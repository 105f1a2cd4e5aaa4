"""Traffic for experiments on the virtual clock, and statistics of its results."""

import random
import typing as t

from rookspring_fakes.users import UserSize
from rookspring_fakes.world import CallerRequest
from rookspring_fakes.world import RequestResult
from rookspring_fakes.world import World

TOKENS = (20, 60, 120, 200)
MEAN_TOKENS = sum(TOKENS) / len(TOKENS)
DEADLINES_S = {"ranked": 8.0, "normal": 10.0, "casual": 12.0, "ledger": 8.0}
PRIORITY_MIX = (("ranked", 0.3), ("normal", 0.3), ("casual", 0.4))


class RequestStats:
    """Results of requests: how many met their deadline, and the goodput.

    The goodput counts the tokens of requests that succeeded by their deadline. Only the time from
    ``since`` until ``until`` is counted.
    """

    def __init__(self, since: float, until: float = float("inf")) -> None:
        self.since = since
        self.until = until
        self.sent: dict[str, int] = {}
        self.met_deadline: dict[str, int] = {}
        self.good_tokens = 0
        self.reasons: dict[str, int] = {}
        self.waits: list[float] = []
        self.deadline_results: list[tuple[float, bool]] = []

    def add_result(self, request: CallerRequest, result: RequestResult) -> None:
        """Add a result; shares count it by its request's time, the goodput by its own."""
        if self.since <= result.at < self.until and result.at <= request.deadline_at:
            self.good_tokens += request.tokens if result.outcome == "ran" else 0
        if not self.since <= request.at < self.until:
            return
        self.sent[request.priority] = self.sent.get(request.priority, 0) + 1
        good = result.outcome == "ran" and result.at <= request.deadline_at
        self.deadline_results.append((request.at, good))
        if good:
            self.met_deadline[request.priority] = self.met_deadline.get(request.priority, 0) + 1
        else:
            reason = result.reason if result.outcome != "ran" else "ran late"
            self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def attainment(self, priority: str = "") -> float:
        """Return the share of requests of a priority, or of all, that met their deadline."""
        sent = self.sent if not priority else {priority: self.sent.get(priority, 0)}
        met = sum(self.met_deadline.get(one, 0) for one in sent)
        return met / max(1, sum(sent.values()))


class Traffic:
    """Poisson arrivals for each model, sent to nodes that are live and not leaving.

    :param rates: returns each model's requests per second at a time.
    :param step_s: arrivals are drawn for steps of this length, in seconds.
    :param prefixes: how many prompt prefixes the requests share; 0 for none.
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
                self.world.clock.call(self.random.random() * self.step_s, self._send, model)
        self.world.clock.call(self.step_s, self._step)

    def _send(self, model: str) -> None:
        nodes = self.world.ready()
        if not nodes:
            return
        priority = self.random.choices(
            [one for one, _ in PRIORITY_MIX], [part for _, part in PRIORITY_MIX]
        )[0]
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


def _poisson(rng: random.Random, mean: float) -> int:
    """Draw a Poisson-distributed count by summing exponential intervals.

    The time that this takes grows with the count, but few requests arrive in a step.
    """
    count = 0
    elapsed = rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count


def models_of(size: UserSize) -> list[str]:
    """Return the names of a user's models."""
    return [f"{size.engine}-{number:02d}" for number in range(size.models)]


def capacity_of(world: World) -> float:
    """Return the tokens per second that all runners together generate at most."""
    return sum(engine.token_rate for engine in world.engines.values())


def zipf_rates(models: list[str], total: float, exponent: float = 0.5) -> dict[str, float]:
    """Split a total rate over models by Zipf's law; the first model gets the most.

    :param exponent: 0 splits it evenly.
    """
    weights = [1.0 / (rank + 1) ** exponent for rank in range(len(models))]
    scale = total / sum(weights)
    return {model: weight * scale for model, weight in zip(models, weights, strict=True)}
