"""Limits of each team, shared out over the nodes without a platform call.

Each node tells its recent demand by team in its heartbeats. A node's share of a
limit is its part of the demand it knows of; an even floor keeps a share for a
node whose first callers have just come. See ``docs/design/limits.md``.
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

    def hear(self, peer: str, demand: t.Iterable[tuple[str, float]]) -> None:
        """Take another node's recent demand by team, in requests a second."""
        self._peers[peer] = dict(demand)

    def lose(self, peer: str) -> None:
        """Forget a node that has gone; its share falls to those that stay."""
        self._peers.pop(peer, None)

    def demand(self) -> tuple[tuple[str, float], ...]:
        """Give this node's own recent demand by team, for its heartbeat."""
        return tuple((team, bucket.recent) for team, bucket in sorted(self._buckets.items()))

    def share(self, team: str) -> float:
        """Give this node's part of a team's limits, from 0 to 1."""
        bucket = self._buckets.get(team)
        own = bucket.recent if bucket else 0.0
        others = [peer.get(team, 0.0) for peer in self._peers.values()]
        nodes = len(others) + 1
        total = own + sum(others)
        if total <= 0.0:
            return 1.0 / nodes
        # A tenth is spread evenly, so that demand can begin anywhere.
        return 0.9 * own / total + 0.1 / nodes

    def admit(self, team: str, spec: TeamSpec, now: float) -> float:
        """Count a request against its team's limits.

        :return: 0 when it is within them, else seconds after which to come back.
        """
        share = self.share(team)
        rate = spec.requests_per_s * share
        bucket = self._buckets.get(team)
        if bucket is None:
            # A new team begins with a second's worth, as any has after a pause.
            bucket = self._buckets[team] = _Bucket(now, max(1.0, rate))
        passed = max(0.0, now - bucket.at)
        bucket.at = now
        burst = max(1.0, rate)
        bucket.tokens = min(burst, bucket.tokens + passed * rate)
        decay = min(1.0, passed / defaults.LIMIT_SHARE_INTERVAL_S)
        bucket.recent += (0.0 - bucket.recent) * decay * 0.5 + 0.5
        if bucket.inflight >= max(1.0, spec.concurrency * share):
            return defaults.LIMIT_SHARE_INTERVAL_S
        if bucket.tokens < 1.0:
            return max(0.05, (1.0 - bucket.tokens) / max(rate, 1e-6))
        bucket.tokens -= 1.0
        bucket.inflight += 1
        return 0.0

    def release(self, team: str) -> None:
        """A counted request is over."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.inflight = max(0, bucket.inflight - 1)

    def tick(self, passed: float) -> None:
        """Let recent demand fade."""
        for bucket in self._buckets.values():
            bucket.recent *= max(0.0, 1.0 - 0.5 * passed / defaults.LIMIT_SHARE_INTERVAL_S)
