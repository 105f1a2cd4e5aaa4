"""Resources that operators declare, and the checks of a single one.

The resource API checks each write with :func:`check_resource`. The lease holder checks again on
acceptance, since other clients can write the platform's objects as well. Specs are ``NamedTuple``
classes in the registry ``KINDS``. Their fields are checked by :mod:`_validation`, which imports
pydantic only when a document is checked.
"""

import re
import typing as t

from .exceptions import ResourceInvalid
from .policy_names import REGISTERED


class FieldBounds:
    """Bounds of a field, by pydantic's names for them.

    Used in annotations, so that they don't need pydantic. A relay node checks no documents; without
    pydantic its start takes 0.31 s of processor time rather than 0.49 s, and 30 MiB rather than 40
    (medians of ten processes).

    :param bounds: such as ``ge`` or ``pattern``.
    """

    def __init__(self, **bounds: t.Any) -> None:
        self.bounds = bounds

    def __get_pydantic_core_schema__(
        self, source: t.Any, handler: t.Callable[[t.Any], dict[str, t.Any]]
    ) -> dict[str, t.Any]:
        """Add the bounds to pydantic's schema of the field's type."""
        return {**handler(source), **self.bounds}


Name = t.Annotated[str, FieldBounds(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Positive = t.Annotated[float, FieldBounds(gt=0, allow_inf_nan=False)]
Priority = t.Literal["casual", "normal", "ranked", "ledger"]

Spec = t.TypeVar("Spec", bound=type[t.Any])
KINDS: dict[str, type[t.Any]] = {}
_NAME = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
_RESOURCE_FIELDS = {"kind", "name", "spec", "version", "status"}


def kind(name: str) -> t.Callable[[Spec], Spec]:
    """Register a spec class under a resource kind.

    :param name: the kind as operators write it, such as ``Model``.
    """

    def register(cls: Spec) -> Spec:
        KINDS[name] = cls
        return cls

    return register


@kind("Model")
class ModelSpec(t.NamedTuple):
    """A model that has to stay reachable; memory in gigabytes of one runner's accelerators."""

    version: t.Annotated[str, FieldBounds(min_length=1, max_length=64)]
    memory_gb: Positive
    engine: Name = "pitwall-llm"
    priority: Priority = "normal"
    replicas_min: t.Annotated[int, FieldBounds(ge=1, le=1000)] = 1
    replicas_max: t.Annotated[int, FieldBounds(ge=1, le=10000)] = 1000
    deadline_s: t.Annotated[float, FieldBounds(gt=0, le=600)] = 60.0


@kind("Adapter")
class AdapterSpec(t.NamedTuple):
    """A small set of weights that extends a base model."""

    model: Name
    memory_gb: Positive = 0.1


@kind("Service")
class ServiceSpec(t.NamedTuple):
    """A plain service; ``unrepeatable`` lists path prefixes that run at most once."""

    unrepeatable: tuple[t.Annotated[str, FieldBounds(max_length=256)], ...] = ()
    priority: Priority = "normal"
    deadline_s: t.Annotated[float, FieldBounds(gt=0, le=600)] = 10.0
    concurrency: t.Annotated[int, FieldBounds(ge=1, le=100000)] = 64


@kind("Team")
class TeamSpec(t.NamedTuple):
    """Callers that share keys and limits; keys are stored as SHA-256 digests."""

    key_sha256: tuple[t.Annotated[str, FieldBounds(pattern=r"^[0-9a-f]{64}$")], ...]
    requests_per_s: Positive = 1e6
    concurrency: t.Annotated[int, FieldBounds(ge=1)] = 1_000_000
    operator: bool = False


@kind("Policy")
class PolicySpec(t.NamedTuple):
    """The weight of moves against demand, the policies, and the limits of the weight store."""

    move_weight: t.Annotated[float, FieldBounds(ge=0, le=1e6, allow_inf_nan=False)] = 1.0
    placement: Name = "gain"
    routing: Name = "least-finish"
    loads_per_s: Positive = 1.5
    loads_at_once: t.Annotated[int, FieldBounds(ge=1, le=10000)] = 10


class Resource(t.NamedTuple):
    """A declared resource with its version in the platform (0 before it is written)."""

    kind: str
    name: str
    spec: dict[str, t.Any]
    version: int = 0

    @property
    def key(self) -> str:
        """Name of the resource's object in the platform."""
        return f"{self.kind}.{self.name}"


def parse_spec(kind_name: str, spec: object) -> t.Any:
    """Convert a mapping to the kind's spec.

    :raises ResourceInvalid: with every faulty field named.
    """
    # Imported here to avoid the import of pydantic; see ``FieldBounds``.
    from . import _validation  # noqa: PLC0415

    cls = KINDS.get(kind_name)
    if cls is None:
        raise ResourceInvalid((f"kind: {kind_name!r} is not one of {', '.join(KINDS)}",))
    if not isinstance(spec, dict):
        raise ResourceInvalid(("spec: a mapping was expected",))
    parsed = _validation.validate(cls, spec)
    if kind_name == "Model" and parsed.replicas_max < parsed.replicas_min:
        raise ResourceInvalid(("spec.replicas_max: must not be below replicas_min",))
    if kind_name == "Policy":
        _check_policy(parsed)
    return parsed


def _check_policy(policy: PolicySpec) -> None:
    """Check that the named policies are registered, since every request needs them."""
    faults = [
        f"spec.{field}: one of {', '.join(names)} was expected"
        for field, names in REGISTERED.items()
        if getattr(policy, field) not in names
    ]
    if faults:
        raise ResourceInvalid(tuple(faults))


def check_resource(document: object) -> Resource:
    """Check one resource document and return it in its canonical form.

    :param document: what an operator wrote, decoded from JSON or YAML.
    :raises ResourceInvalid: with every faulty field named.
    """
    if not isinstance(document, dict):
        raise ResourceInvalid(("document: a mapping was expected",))
    faults = [f"{field}: unknown field" for field in sorted(set(document) - _RESOURCE_FIELDS)]
    name = document.get("name")
    if not isinstance(name, str) or not _NAME.match(name):
        faults.append("name: lower-case letters, digits, dots and dashes were expected (1 to 63)")
    version = document.get("version", 0)
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        faults.append("version: a whole number from 0 was expected")
    spec: dict[str, t.Any] = {}
    try:
        spec = parse_spec(str(document.get("kind")), document.get("spec"))._asdict()
    except ResourceInvalid as error:
        faults.extend(error.faults)
    if faults:
        raise ResourceInvalid(tuple(faults))
    return Resource(str(document["kind"]), str(name), spec, t.cast(int, version))
