"""What a node knows of whether it reaches endpoints, and what it has handed over meanwhile."""

import typing as t


class ReachingPeers(t.NamedTuple):
    """The nodes that requests are handed over to.

    :param position: of the membership's changes up to which they were chosen.
    """

    position: int
    names: tuple[str, ...]


class Reach:
    """Whether this node reaches endpoints; see :mod:`endpoint_reach`. Times are of its clock."""

    def __init__(self) -> None:
        # Since when it has reached none; None while it reaches some, or has had no reason to ask.
        self.isolated_since: float | None = None
        # When it last tried several endpoints.
        self.probed_at = -1e9
        # When a request of this node last got anything from an endpoint.
        self.heard_at = -1e9
        self.peers: ReachingPeers | None = None
        # The requests that are handed over now, by node.
        self.handed: dict[str, int] = {}

    @property
    def isolated(self) -> bool:
        """Whether this node reaches no endpoint."""
        return self.isolated_since is not None

    def count_handed(self, node: str, change: int) -> None:
        """Count a request that is handed over to a node, or that has ended there."""
        left = self.handed.get(node, 0) + change
        if left > 0:
            self.handed[node] = left
        else:
            self.handed.pop(node, None)
