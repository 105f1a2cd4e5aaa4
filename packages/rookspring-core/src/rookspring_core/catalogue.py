"""The accepted configuration that is in force on a node.

A catalogue is immutable and has a revision. A node only replaces it by one with a higher
revision, so an accepted change is never reverted.
"""

import typing as t

from .resources import AdapterSpec
from .resources import ModelSpec
from .resources import PolicySpec
from .resources import Resource
from .resources import ServiceSpec
from .resources import TeamSpec
from .resources import parse_spec


class Catalogue(t.NamedTuple):
    """Accepted specs, by kind and name.

    :param team_by_digest: the team of each digest of a caller's key.
    :param accepted: the accepted version, by resource key.
    :param rejected: the rejected version and the reason, by resource key.
    :param parsed: the version and the parsed spec, by resource key.
    """

    revision: int = 0
    models: t.Mapping[str, ModelSpec] = {}
    adapters: t.Mapping[str, AdapterSpec] = {}
    services: t.Mapping[str, ServiceSpec] = {}
    teams: t.Mapping[str, TeamSpec] = {}
    policy: PolicySpec = PolicySpec()
    team_by_digest: t.Mapping[str, str] = {}
    accepted: t.Mapping[str, int] = {}
    rejected: t.Mapping[str, tuple[int, str]] = {}
    parsed: t.Mapping[str, tuple[int, t.Any]] = {}


class Entry(t.NamedTuple):
    """A published resource: its accepted version, and why a newer one was rejected."""

    resource: Resource | None
    rejected_version: int = 0
    reason: str = ""


def build_catalogue(
    revision: int,
    entries: t.Mapping[str, Entry],
    before: Catalogue | None = None,
) -> Catalogue:
    """Index published entries for lookups by requests.

    :param revision: the revision of the head that the entries belong to.
    :param entries: by resource key.
    :param before: the catalogue in force; unchanged entries are not parsed again.
    """
    known = before.parsed if before else {}
    parsed: dict[str, tuple[int, t.Any]] = {}
    specs: dict[str, dict[str, t.Any]] = {
        name: {} for name in ("Model", "Adapter", "Service", "Team", "Policy")
    }
    accepted: dict[str, int] = {}
    rejected: dict[str, tuple[int, str]] = {}
    for key, entry in entries.items():
        if entry.reason:
            rejected[key] = (entry.rejected_version, entry.reason)
        resource = entry.resource
        if resource is None:
            continue
        cached = known.get(key)
        if cached is None or cached[0] != resource.version:
            cached = (resource.version, parse_spec(resource.kind, resource.spec))
        parsed[key] = cached
        specs[resource.kind][resource.name] = cached[1]
        accepted[key] = resource.version
    digests = {digest: name for name, team in specs["Team"].items() for digest in team.key_sha256}
    policies = specs["Policy"]
    policy = policies[min(policies)] if policies else PolicySpec()
    return Catalogue(
        revision=revision,
        models=specs["Model"],
        adapters=specs["Adapter"],
        services=specs["Service"],
        teams=specs["Team"],
        policy=policy,
        team_by_digest=digests,
        accepted=accepted,
        rejected=rejected,
        parsed=parsed,
    )
