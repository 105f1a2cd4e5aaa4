"""Routes: which services may get a request that is passed through unchanged.

A route table is immutable, has a version, and is replaced only by one of a higher
version. Platform adapters build it from the platform's configuration; a request is
matched to a route by its host and the longest prefix of its path.
"""

import math
import typing as t

from . import defaults
from .hashing import stable_hash
from .organisations import Directory


class Split(t.NamedTuple):
    """One service of a route with its share of the requests, as a weight."""

    service: str
    weight: float


class Route(t.NamedTuple):
    """The settings for requests of one host and path prefix.

    :param kind: ``safe``, ``unsafe`` or ``stream``.
    :param objective_s: target for the time to the answer, or to a stream's first event.
    :param timeout_s: longest time to the whole answer, whatever the caller's deadline.
    :param rank: 0 is the most urgent.
    :param attempts: most endpoints that one request may be sent to.
    :param resumable: a stream may be continued at another endpoint.
    :param pause_s: longest pause within a stream that counts as in time; 0 where none is set.
    :param public: its requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    objective_s: float
    rank: int
    attempts: int
    splits: tuple[Split, ...]
    resumable: bool = False
    pause_s: float = 0.0
    public: bool = False

    @property
    def stays_s(self) -> float:
        """How long callers wait for an event before they leave, in seconds; inf if to the end."""
        if self.kind != "stream":
            return math.inf
        return max(
            defaults.STREAM_LEFT_AFTER_S,
            defaults.STREAM_LEFT_OBJECTIVES * self.objective_s,
            defaults.STREAM_LEFT_PAUSES * self.pause_s,
        )

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.kind == "stream" and self.resumable)


class ModelSize(t.NamedTuple):
    """The memory and load times of a model, in megabytes and seconds.

    :param load_s: time to load from the weight store; ``warm_s`` from the runner's memory,
        ``disk_s`` from its disk.
    """

    name: str
    memory_mb: float
    load_s: float
    adapter_mb: float = 0.0
    warm_s: float = 0.0
    disk_s: float = 0.0


class EngineSize(t.NamedTuple):
    """The capacity of each endpoint of a model service.

    :param loads_per_s: loads a second that the weight store allows for all endpoints together.
    """

    memory_mb: float
    adapters_max: int
    loads_per_s: float
    models: t.Mapping[str, ModelSize]


class ServiceSize(t.NamedTuple):
    """A service of the configuration.

    :param engine: None where it serves no models.
    :param health_path: of the health checks of its endpoints; empty if none is set.
    """

    engine: EngineSize | None = None
    health_path: str = ""


class CallerLimits(t.NamedTuple):
    """Limits on the size of callers' requests and the time to send them, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class RouteTable(t.NamedTuple):
    """All routes, services and limits of one version.

    :param directory: the organisations and their keys; None where requests need no key.
    """

    version: int
    hosts: t.Mapping[str, tuple[Route, ...]]
    services: t.Mapping[str, ServiceSize]
    limits: CallerLimits
    directory: Directory | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        best: Route | None = None
        for route in self.hosts.get(host, ()):
            longer = best is None or len(route.prefix) > len(best.prefix)
            if longer and path.startswith(route.prefix):
                best = route
        return best

    def least_pause_s(self, service: str) -> float:
        """Return the least pause that streams of a service bear, in seconds; 0 if none is set."""
        pauses = [
            route.pause_s
            for routes in self.hosts.values()
            for route in routes
            if route.pause_s > 0.0 and any(split.service == service for split in route.splits)
        ]
        return min(pauses, default=0.0)

    def engine_of(self, model: str, service: str) -> EngineSize | None:
        """Return the engine of a service, or None if it does not declare the model."""
        size = self.services.get(service)
        if size is None or size.engine is None or model not in size.engine.models:
            return None
        return size.engine


def pick_service(route: Route, request_id: str) -> str:
    """Pick one of a route's services by weight, the same one each time for one request."""
    total = sum(split.weight for split in route.splits)
    point = stable_hash("split", route.name, request_id) % 1_000_000 / 1_000_000 * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.service
    return route.splits[-1].service
