"""Limits of each team, divided among the nodes without a platform call.

Each node reports its recent demand by team in its heartbeats. A node's share of a
limit is its share of the known demand; a tenth is divided evenly, so that a node
whose first callers have just arrived has a share too. See ``docs/design/limits.md``.
"""

import typing as t

from . import defaults
from .resources import TeamSpec


class _Bucket:
    __slots__ = ("at", "inflight", "recent", "tokens")

    def __init__(self, at: float, tokens: float) -> None:
        self.at = at
        self.tokens = tokens
        self.inflight = 0
        self.recent = 0.0


class LimitTable:
    """Token buckets and concurrency counts of one node, by team."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, dict[str, float]] = {}

    def record_demand(self, peer: str, demand: t.Iterable[tuple[str, float]]) -> None:
        """Store another node's recent demand by team, in requests a second."""
        self._peers[peer] = dict(demand)

    def forget_peer(self, peer: str) -> None:
        """Remove a node that has gone; its share goes to the remaining nodes."""
        self._peers.pop(peer, None)

    def demand(self) -> tuple[tuple[str, float], ...]:
        """Return this node's own recent demand by team, for its heartbeat."""
        return tuple((team, bucket.recent) for team, bucket in sorted(self._buckets.items()))

    def share(self, team: str) -> float:
        """Return this node's share of a team's limits, from 0 to 1."""
        bucket = self._buckets.get(team)
        own = bucket.recent if bucket else 0.0
        others = [peer.get(team, 0.0) for peer in self._peers.values()]
        nodes = len(others) + 1
        total = own + sum(others)
        if total <= 0.0:
            return 1.0 / nodes
        # A tenth is divided evenly, so that demand can start at any node.
        return 0.9 * own / total + 0.1 / nodes

    def admit(self, team: str, spec: TeamSpec, now: float) -> float:
        """Count a request against its team's limits.

        :return: 0 if it is within them, else seconds after which to retry.
        """
        share = self.share(team)
        rate = spec.requests_per_s * share
        bucket = self._buckets.get(team)
        if bucket is None:
            # A new team starts with a full bucket of one second's requests, as after any pause.
            bucket = self._buckets[team] = _Bucket(now, max(1.0, rate))
        elapsed = max(0.0, now - bucket.at)
        bucket.at = now
        burst = max(1.0, rate)
        bucket.tokens = min(burst, bucket.tokens + elapsed * rate)
        decay = min(1.0, elapsed / defaults.LIMIT_SHARE_INTERVAL_S)
        bucket.recent += (0.0 - bucket.recent) * decay * 0.5 + 0.5
        if bucket.inflight >= max(1.0, spec.concurrency * share):
            return defaults.LIMIT_SHARE_INTERVAL_S
        if bucket.tokens < 1.0:
            return max(0.05, (1.0 - bucket.tokens) / max(rate, 1e-6))
        bucket.tokens -= 1.0
        bucket.inflight += 1
        return 0.0

    def release(self, team: str) -> None:
        """Count a request that is over as no longer in flight."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.inflight = max(0, bucket.inflight - 1)

    def decay_demand(self, passed: float) -> None:
        """Decay recent demand by the seconds since the last tick."""
        for bucket in self._buckets.values():
            bucket.recent *= max(0.0, 1.0 - 0.5 * passed / defaults.LIMIT_SHARE_INTERVAL_S)
