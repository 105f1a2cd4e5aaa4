"""Which nodes to dial, so that every node that ought to be linked is."""

import time
import typing as t

from rookspring_core.membership import Membership

from . import defaults
from .peers import PeerServer

Spawn = t.Callable[[t.Coroutine[t.Any, t.Any, None]], t.Any]


class Dialler:
    """Dials listed nodes and the seeds; the lower name of a pair goes first.

    :param seeds: addresses to dial whatever the list says, since it may be out of reach.
    """

    def __init__(
        self, membership: Membership, server: PeerServer, seeds: t.Sequence[str], spawn: Spawn
    ) -> None:
        self._membership = membership
        self._server = server
        self.seeds = tuple(seeds)
        self._spawn = spawn
        self._dialling: set[str] = set()
        self._missing_since: dict[str, float] = {}

    def dial(self, address: str) -> None:
        """Connect to a node and stay with it in a task."""
        self._dialling.add(address)

        async def stay() -> None:
            try:
                await self._server.dial(address)
            finally:
                self._dialling.discard(address)

        self._spawn(stay())

    def dial_missing(self) -> None:
        """Dial the nodes that ought to be linked and are not."""
        now = time.monotonic()
        wanted = {row.name: row.address for row in self._membership.links()}
        for name, address in wanted.items():
            first = self._membership.name < name
            if name in self._server.links or address in self._dialling:
                self._missing_since.pop(name, None)
                continue
            since = self._missing_since.setdefault(name, now)
            if first or now - since > 2 * defaults.HEARTBEAT_S:
                self.dial(address)
        linked = {peer.heard.address for peer in self._membership.peers.values()}
        for address in self.seeds:
            if address not in linked and address not in self._dialling:
                self.dial(address)
