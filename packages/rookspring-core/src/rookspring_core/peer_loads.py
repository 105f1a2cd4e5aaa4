"""The other nodes' requests in flight, and their unread prompts, by endpoint.

Part of each endpoint's load estimate; see :mod:`endpoints`.
"""

import typing as t


class PeerLoad:
    """The other nodes' requests in flight by endpoint, as their heartbeats give them.

    ``at`` is the time of the oldest heartbeat in the sums, updated at ticks.
    """

    __slots__ = ("_heard", "_prompts", "_rows", "at", "counts")

    def __init__(self) -> None:
        self._prompts: dict[str, dict[str, int]] = {}
        self._rows: dict[str, tuple[tuple[str, int], ...]] = {}
        self._heard: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.at = -1e9

    def replace(self, peer: str, rows: tuple[tuple[str, int], ...], at: float) -> None:
        """Replace a node's rows; the cost depends only on the number of its rows, old and new."""
        for endpoint, count in self._rows.pop(peer, ()):
            self.counts[endpoint] = self.counts.get(endpoint, 0) - count
        for endpoint, count in rows:
            self.counts[endpoint] = self.counts.get(endpoint, 0) + count
        if rows:
            self._rows[peer] = rows
        self._heard[peer] = at

    def settle(self) -> None:
        """Update the time of the oldest heartbeat in the sums."""
        self.at = min(self._heard.values(), default=-1e9)

    def forget(self, peer: str) -> None:
        """Remove a node that has gone, or whose requests are part of another node's sums."""
        self.replace(peer, (), 0.0)
        del self._heard[peer]
        for rows in self._prompts.values():
            rows.pop(peer, None)

    def without(self, peer: str) -> dict[str, int]:
        """Return the sums of requests in flight by endpoint, without those of one node."""
        sums = dict(self.counts)
        for endpoint, count in self._rows.get(peer, ()):
            sums[endpoint] -= count
        return sums

    def of(self, peers: t.Iterable[str]) -> dict[str, int]:
        """Return the sums of some nodes' requests in flight by endpoint."""
        sums: dict[str, int] = {}
        for peer in peers:
            for endpoint, count in self._rows.get(peer, ()):
                sums[endpoint] = sums.get(endpoint, 0) + count
        return sums

    def prompts_of(self, endpoint: str, peers: t.Container[str]) -> int:
        """Return the prompt tokens of some nodes' requests that an endpoint has yet to read."""
        rows = self._prompts.get(endpoint, {})
        return sum(tokens for peer, tokens in rows.items() if peer in peers)

    def set_prompts(self, peer: str, endpoint: str, tokens: int) -> None:
        """Set how many prompt tokens of a node's requests an endpoint has yet to read."""
        self._prompts.setdefault(endpoint, {})[peer] = tokens

    def replace_prompts(self, peer: str, rows: tuple[tuple[str, int], ...]) -> None:
        """Replace a node's counts of unread prompt tokens; endpoints left out have none."""
        for counts in self._prompts.values():
            counts.pop(peer, None)
        for endpoint, tokens in rows:
            self.set_prompts(peer, endpoint, tokens)

    def prompts(self, endpoint: str) -> int:
        """Return the prompt tokens of other nodes' requests that an endpoint has yet to read."""
        return sum(self._prompts.get(endpoint, {}).values())
