"""What a placement policy is given, and what it returns: runners and demand, moves and claims.

The policies are in :mod:`placement`, :mod:`swapping` and :mod:`claims`.
"""

import math
import types
import typing as t

from . import defaults
from .resources import ModelSpec
from .resources import PolicySpec

Weights = tuple[str, str]


class RunnerSnapshot(t.NamedTuple):
    """State of one runner as input to placement; rates in tokens a second, memory in GB.

    :param loading: weights that are being loaded there.
    :param busy: an order is under way there, or none can be given now.
    :param barred: weights that may not be loaded there yet, since an unload of them that
        was sent earlier may still arrive.
    :param load_s: load time of each model there, in seconds, where it differs by runner.
    :param free_in_s: predicted seconds until a busy runner takes orders again; infinite if
        unknown.
    :param room_for: the model that the last unload there made room for.
    :param freeing_gb: memory of withdrawn weights, which an unload is about to free.
    :param in_use: names of models and adapters that requests use there now.
    :param unattached_demand: demand for adapters of its models that are attached nowhere,
        in tokens a second; none can be attached there while a model is loaded or unloaded.
    :param protected: models that may not be evicted yet, since callers that were told to
        retry are expected about now.
    :param speed: relative to the other runners; ``token_rate`` includes it.
    """

    name: str
    data_centre: str
    engine: str
    free_gb: float
    token_rate: float
    resident: frozenset[Weights]
    loading: frozenset[Weights]
    busy: bool
    barred: frozenset[Weights] = frozenset()
    load_s: t.Mapping[str, float] = types.MappingProxyType({})
    free_in_s: float = math.inf
    room_for: str = ""
    freeing_gb: float = 0.0
    in_use: frozenset[str] = frozenset()
    unattached_demand: float = 0.0
    protected: frozenset[str] = frozenset()
    speed: float = 1.0


class Move(t.NamedTuple):
    """One load or unload, as planned by a placement policy.

    :param last: planned as the unload of a model's last resident replica; the policy expects
        that its runner can reload it within seconds, and that it has little demand now.
    :param room_for: the model that an unload makes room for.
    """

    action: t.Literal["load", "unload"]
    endpoint: str
    key: Weights
    gb: float
    why: str
    last: bool = False
    room_for: str = ""


class Claim(t.NamedTuple):
    """A runner that is reserved for a model without a replica.

    :param in_s: predicted seconds until the model can serve there.
    """

    runner: str
    in_s: float


class PlanInput(t.NamedTuple):
    """Input of a placement policy.

    :param demand: requested work by model, in tokens a second of the slowest model.
    :param requested: requested tokens a second by model, not scaled by its speed; empty
        where that equals ``demand``.
    :param urgent: part of the demand that cannot wait for its model to be loaded.
    :param missed: part of the demand that was recently refused for lack of room.
    :param deficit: tokens requested of each model while it was resident nowhere.
    :param awaited: models whose callers wait for them or are to come back; None if unknown.
    :param declined: filled by the policy with the reason why a requested model without a
        replica is not loaded, by model; None if the caller does not need the reasons.
    :param longest_s: about how long the longest requests run, in seconds.
    :param claimed: the runner that the last plan reserved for each model without a replica.
    :param claims: filled by the policy with the runners that are now reserved, by model; None
        if the caller does not keep them.
    """

    models: t.Mapping[str, ModelSpec]
    runners: tuple[RunnerSnapshot, ...]
    demand: t.Mapping[str, float]
    policy: PolicySpec
    requested: t.Mapping[str, float] = types.MappingProxyType({})
    urgent: t.Mapping[str, float] = types.MappingProxyType({})
    missed: t.Mapping[str, float] = types.MappingProxyType({})
    longest_s: float = 0.0
    deficit: t.Mapping[str, float] = types.MappingProxyType({})
    awaited: frozenset[str] | None = None
    declined: dict[str, str] | None = None
    claimed: t.Mapping[str, str] = types.MappingProxyType({})
    claims: dict[str, Claim] | None = None

    def aged_demand(self, model: str) -> float:
        """Return the demand of a model without a replica, aged by its deficit, in tokens a second.

        The demand of a rarely requested model falls to nothing between two requests, so by
        demand alone it could never replace another rarely requested one. Its deficit stays.
        """
        return (
            self.requested_rate(model) + self.deficit.get(model, 0.0) / defaults.UNSERVED_DEMAND_S
        )

    def is_awaited(self, model: str) -> bool:
        """Return whether a caller of a model may be waiting for it, or is to come back."""
        return self.awaited is None or model in self.awaited

    def requested_rate(self, model: str) -> float:
        """Return what callers request of a model, in tokens a second."""
        return self.requested.get(model, self.demand.get(model, 0.0))
