"""Acceptance of the resources that operators declare, one after another.

The lease holder applies desired resources to the accepted set in the order of their platform
versions. If a resource is rejected, its last accepted version stays in force, and the entry
records the reason.
"""

import heapq
import typing as t

from . import defaults
from .catalogue import Entry
from .exceptions import ResourceInvalid
from .memory import Ledger
from .resources import Resource
from .resources import check_resource

Entries = t.Mapping[str, Entry]


class RunnerMemory(t.NamedTuple):
    """Memory of one runner that weights may use, in gigabytes, for the check whether models fit."""

    engine: str
    usable_gb: float


def list_runner_memory(
    ledgers: t.Iterable[Ledger], engines: t.Mapping[str, str]
) -> tuple[RunnerMemory, ...]:
    """Return the memory that weights may use on each known runner."""
    return tuple(
        RunnerMemory(engines.get(one.endpoint, ""), one.capacity_gb - one.reserve_gb)
        for one in ledgers
        if one.usable
    )


def fits(models: t.Iterable[t.Mapping[str, t.Any]], runners: t.Iterable[RunnerMemory]) -> bool:
    """Return whether each model can be resident once, with the largest placed first.

    :param models: specs with ``engine`` and ``memory_gb``.
    """
    heaps: dict[str, list[float]] = {}
    for runner in runners:
        heaps.setdefault(runner.engine, []).append(-runner.usable_gb)
    for heap in heaps.values():
        heapq.heapify(heap)
    for spec in sorted(models, key=lambda one: -float(one["memory_gb"])):
        heap = heaps.get(str(spec["engine"]), [])
        need = float(spec["memory_gb"])
        if not heap or -heap[0] < need:
            return False
        heapq.heapreplace(heap, heap[0] + need)
    return True


def accept(
    desired: t.Iterable[Resource], accepted: Entries, runners: tuple[RunnerMemory, ...]
) -> dict[str, Entry]:
    """Apply the desired resources to the accepted entries.

    :param desired: all resources as operators wrote them.
    :param accepted: entries of the revision in force.
    :return: entries of the next revision; equal to ``accepted`` if nothing changed.
    """
    wanted = {resource.key: resource for resource in desired}
    entries = {key: entry for key, entry in accepted.items() if key in wanted}
    for resource in sorted(wanted.values(), key=lambda one: (one.version, one.key)):
        known = entries.get(resource.key)
        if known is not None and _is_current(known, resource):
            continue
        reason = find_rejection(resource, entries, runners)
        if not reason:
            entries[resource.key] = Entry(resource)
            continue
        before = known.resource if known else None
        entries[resource.key] = Entry(before, resource.version, reason)
    return _drop_orphans(entries)


def _is_current(known: Entry, resource: Resource) -> bool:
    if known.resource is not None and known.resource.version == resource.version:
        return True
    # A rejection for lack of memory is checked again, since there may be more of it now.
    return known.rejected_version == resource.version and "fit" not in known.reason


def find_rejection(resource: Resource, entries: Entries, runners: tuple[RunnerMemory, ...]) -> str:
    """Return why a resource is rejected, or an empty string if it is accepted."""
    document = {"kind": resource.kind, "name": resource.name, "spec": resource.spec}
    try:
        check_resource(document)
    except ResourceInvalid as error:
        return str(error)
    if resource.kind == "Adapter":
        model = str(resource.spec["model"])
        if _accepted(entries, "Model", model) is None:
            return f"spec.model: {model!r} is not an accepted model"
    if resource.kind == "Model":
        return _check_memory(resource, entries, runners)
    return ""


def _check_memory(resource: Resource, entries: Entries, runners: tuple[RunnerMemory, ...]) -> str:
    specs = [
        entry.resource.spec
        for entry in entries.values()
        if entry.resource is not None and entry.resource.kind == "Model"
    ]
    # While a model changes its version, the old and the new one are resident at the same time, so
    # the memory of the old one does not count as free.
    if fits([*specs, resource.spec], runners):
        return ""
    need = resource.spec["memory_gb"]
    return f"spec.memory_gb: {need} GB do not fit beside every other declared model"


def _accepted(entries: Entries, kind: str, name: str) -> Resource | None:
    entry = entries.get(f"{kind}.{name}")
    return entry.resource if entry else None


def _drop_orphans(entries: dict[str, Entry]) -> dict[str, Entry]:
    for key, entry in list(entries.items()):
        resource = entry.resource
        if resource is None or resource.kind != "Adapter":
            continue
        model = str(resource.spec["model"])
        if _accepted(entries, "Model", model) is None:
            reason = f"spec.model: {model!r} is not an accepted model"
            entries[key] = Entry(None, resource.version, reason)
    return entries


def shard_of(key: str, count: int = defaults.SHARD_COUNT) -> int:
    """Return the shard in which a resource is published."""
    from .routing import stable_hash

    return stable_hash("shard", key) % count
